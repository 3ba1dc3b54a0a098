//! HAProxy's agent-check (HAProxy Configuration Manual, `agent-check`): one ASCII line per connection.
//!
//! Only parses queries and formats replies; it does no I/O.

use super::{Reason, State, Status};
use crate::interface::GroupId;

/// The longest `agent-send` text that is accepted, in bytes.
pub const MAX_QUERY_BYTES: usize = 64;

/// The scope that a balancer queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selector {
    /// The line is not terminated yet; more bytes are needed.
    Incomplete,
    /// The line asks for the status of the whole gateway.
    Gateway,
    /// The line asks for the status of one group.
    Group(GroupId),
    /// The line is not a valid query, or is longer than [`MAX_QUERY_BYTES`].
    Invalid,
}

/// Parses the text of `agent-send`: an empty line or `gateway`, or a group's number, also as `group N`.
pub fn parse_selector(bytes: &[u8]) -> Selector {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() < MAX_QUERY_BYTES {
            Selector::Incomplete
        } else {
            Selector::Invalid
        };
    };
    let Ok(line) = std::str::from_utf8(&bytes[..end]) else {
        return Selector::Invalid;
    };
    let line = line.trim();
    if end >= MAX_QUERY_BYTES {
        return Selector::Invalid;
    }
    if line.is_empty() || line == "gateway" {
        return Selector::Gateway;
    }
    let number = line
        .strip_prefix("group")
        .map_or(line, |rest| rest.trim_start_matches([' ', '=', '/', ':']));
    number
        .parse()
        .map_or(Selector::Invalid, |number| Selector::Group(GroupId(number)))
}

/// Formats the reply line for a status, with `maxconn` if given. Without a status the group is unknown.
pub fn reply_line(status: Option<Status>, maxconn: Option<usize>) -> String {
    let Some(status) = status else {
        return "down #unknown-group\n".into();
    };
    match (status.state, status.reason) {
        (State::Starting, _) => format!("down #{}\n", status.reason.code()),
        (State::Hung, _) => "down #hung\n".into(),
        // `maint` puts the server in maintenance on the operator's request; `drain` lets existing sessions finish.
        (_, Reason::Maintenance) => "maint\n".into(),
        (State::Draining, _) => "drain 0%\n".into(),
        (State::Stopping, _) => "stopped #drained\n".into(),
        (State::Up | State::Degraded, _) if status.weight == 0 => {
            format!("down #{}\n", status.reason.code())
        }
        (State::Up | State::Degraded, _) => {
            let maxconn = maxconn.map_or(String::new(), |most| format!(" maxconn:{most}"));
            // `ready` cancels a `drain` or `maint` that an earlier process of this gateway reported.
            format!("ready up {}%{maxconn}\n", status.weight)
        }
    }
}

/// A reply line as a balancer interprets it; unknown words are skipped, as HAProxy does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentReply {
    /// `up` or `down` (also `fail` and `stopped`).
    pub up: Option<bool>,
    /// True for `ready`; false for `drain` and `maint`, which take the server out of service.
    pub ready: Option<bool>,
    /// The weight in percent.
    pub weight: Option<u32>,
    /// The `maxconn` that the agent sets for the server.
    pub maxconn: Option<u32>,
    /// The description after `#`.
    pub description: Option<String>,
}

/// Parses a reply line as a balancer does; `None` until the line is terminated.
pub fn parse_reply(bytes: &[u8]) -> Option<AgentReply> {
    let end = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let line = String::from_utf8_lossy(&bytes[..end]);
    let (words, description) = line
        .split_once('#')
        .map_or((&*line, None), |(words, rest)| (words, Some(rest)));
    let mut reply = AgentReply {
        description: description.map(|rest| rest.trim().to_owned()),
        ..AgentReply::default()
    };
    for word in words
        .split([' ', ',', '\t'])
        .filter(|word| !word.is_empty())
    {
        let number = |text: Option<&str>| text.and_then(|text| text.parse().ok());
        match word.to_ascii_lowercase().as_str() {
            "up" => reply.up = Some(true),
            "down" | "fail" | "stopped" => reply.up = Some(false),
            "ready" => reply.ready = Some(true),
            "drain" | "maint" => reply.ready = Some(false),
            other => {
                reply.weight = number(other.strip_suffix('%')).or(reply.weight);
                reply.maxconn = number(other.strip_prefix("maxconn:")).or(reply.maxconn);
            }
        }
    }
    Some(reply)
}

#[cfg(test)]
mod tests;

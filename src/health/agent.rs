//! HAProxy's agent-check (HAProxy Configuration Manual, `agent-check`): one ASCII line per connection.
//!
//! No input or output: bytes in, words out.

use super::{Reason, State, Status};
use crate::interface::GroupId;

/// The longest text of a balancer's `agent-send` that is taken in.
pub const LONGEST: usize = 64;

/// What a balancer asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selector {
    /// Its line has not ended yet.
    More,
    /// The whole gateway.
    Gateway,
    /// One group.
    Group(GroupId),
    /// Nothing that makes sense.
    Bad,
}

/// Reads the text of `agent-send`: an empty line or `gateway`, or a group's number, also as `group N`.
pub fn selector(bytes: &[u8]) -> Selector {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return if bytes.len() < LONGEST {
            Selector::More
        } else {
            Selector::Bad
        };
    };
    let Ok(line) = std::str::from_utf8(&bytes[..end]) else {
        return Selector::Bad;
    };
    let line = line.trim();
    if end >= LONGEST {
        return Selector::Bad;
    }
    if line.is_empty() || line == "gateway" {
        return Selector::Gateway;
    }
    let number = line
        .strip_prefix("group")
        .map_or(line, |rest| rest.trim_start_matches([' ', '=', '/', ':']));
    number
        .parse()
        .map_or(Selector::Bad, |number| Selector::Group(GroupId(number)))
}

/// The line that tells a status; `maxconn` is told where given.
pub fn line(status: Option<Status>, maxconn: Option<usize>) -> String {
    let Some(status) = status else {
        return "down #unknown-group\n".into();
    };
    match (status.state, status.reason) {
        (State::Starting, _) => format!("down #{}\n", status.reason.word()),
        (State::Hung, _) => "down #hung\n".into(),
        // `maint` takes the operator's word over; `drain` keeps what is there.
        (_, Reason::Maintenance) => "maint\n".into(),
        (State::Draining, _) => "drain 0%\n".into(),
        (State::Stopping, _) => "stopped #drained\n".into(),
        (State::Up | State::Degraded, _) if status.weight == 0 => {
            format!("down #{}\n", status.reason.word())
        }
        (State::Up | State::Degraded, _) => {
            let maxconn = maxconn.map_or(String::new(), |most| format!(" maxconn:{most}"));
            // `ready` takes back a drain or `maint` of this gateway's earlier life.
            format!("ready up {}%{maxconn}\n", status.weight)
        }
    }
}

/// What a line says, as a balancer reads it; words that are not known are skipped, as HAProxy does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// `up` or `down` (also `fail` and `stopped`).
    pub up: Option<bool>,
    /// `ready`, or `drain` and `maint`, which take it out of service.
    pub ready: Option<bool>,
    /// The weight in percent.
    pub weight: Option<u32>,
    /// `maxconn`.
    pub maxconn: Option<u32>,
    /// What stands behind `#`.
    pub remark: Option<String>,
}

/// Reads a line as a balancer does; nothing while it has not ended.
pub fn parse(bytes: &[u8]) -> Option<Told> {
    let end = bytes
        .iter()
        .position(|byte| matches!(byte, b'\n' | b'\r'))?;
    let line = String::from_utf8_lossy(&bytes[..end]);
    let (words, remark) = line
        .split_once('#')
        .map_or((&*line, None), |(words, rest)| (words, Some(rest)));
    let mut told = Told {
        remark: remark.map(|rest| rest.trim().to_owned()),
        ..Told::default()
    };
    for word in words
        .split([' ', ',', '\t'])
        .filter(|word| !word.is_empty())
    {
        let number = |text: Option<&str>| text.and_then(|text| text.parse().ok());
        match word.to_ascii_lowercase().as_str() {
            "up" => told.up = Some(true),
            "down" | "fail" | "stopped" => told.up = Some(false),
            "ready" => told.ready = Some(true),
            "drain" | "maint" => told.ready = Some(false),
            other => {
                told.weight = number(other.strip_suffix('%')).or(told.weight);
                told.maxconn = number(other.strip_prefix("maxconn:")).or(told.maxconn);
            }
        }
    }
    Some(told)
}

#[cfg(test)]
mod tests;

//! Checks invariants on the JSON log lines of gateways.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The message of the line that the testbench adds to a gateway's log when its process has exited.
pub const KILLED: &str = "killed";

/// A line of one gateway's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// The gateway's number.
    pub gateway: u64,
    /// The fields of the JSON line, or the text of a line that is not JSON.
    pub fields: Value,
}

/// A half-open interval in which a gateway may act, `from` (inclusive) to `until` (exclusive), Unix microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Span {
    gateway: u64,
    token: u64,
    from: u64,
    until: u64,
}

fn number(line: &Line, key: &str) -> u64 {
    line.fields[key].as_u64().unwrap_or(0)
}

fn message(line: &Line) -> &str {
    line.fields["message"].as_str().unwrap_or("")
}

/// Collects the spans in which gateways may act: `acting` lines say until when, and lines that begin with `stopped` end
/// a span earlier. Only lines that satisfy `same`, and
/// [`KILLED`] lines, are used.
fn spans<'a>(
    lines: impl Iterator<Item = &'a Line>,
    acting: &str,
    stopped: &str,
    same: impl Fn(&Line) -> bool,
) -> Vec<Span> {
    let mut all: Vec<Span> = Vec::new();
    for line in lines.filter(|line| same(line) || message(line) == KILLED) {
        let (gateway, at) = (line.gateway, number(line, "at"));
        // A process that has exited no longer acts; the next process logs its own spans.
        if message(line) == KILLED {
            let of_gateway = all.iter_mut().filter(|span| span.gateway == gateway);
            of_gateway.for_each(|span| span.until = span.until.min(at));
        } else if message(line) == acting {
            let (token, until) = (number(line, "token"), number(line, "until"));
            let open = all.iter_mut().rev().find(|span| span.gateway == gateway);
            match open.filter(|span| span.token == token && span.until >= at) {
                Some(span) => span.until = span.until.max(until),
                None => all.push(Span {
                    gateway,
                    token,
                    from: at,
                    until,
                }),
            }
        } else if message(line).starts_with(stopped) {
            if let Some(span) = all.iter_mut().rev().find(|span| span.gateway == gateway) {
                span.until = span.until.min(at);
            }
        }
    }
    all.retain(|span| span.from < span.until);
    all
}

/// Describes all violated invariants: no two gateways hold a duty at the same time, each holder's token is newer than
/// the former one's, and gateways agree on versions, as `versions` checks.
pub fn violations(lines: &[Line]) -> Vec<String> {
    let mut found = Vec::new();
    let duties: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line.fields["duty"].as_str())
        .collect();
    for duty in duties {
        let same_duty = |line: &Line| line.fields["duty"].as_str() == Some(duty);
        let mut held = spans(
            lines.iter(),
            "duty: acting",
            "duty: stopped acting",
            same_duty,
        );
        held.sort_by_key(|span| span.from);
        for (one, other) in held
            .iter()
            .enumerate()
            .flat_map(|(n, one)| held[n + 1..].iter().map(move |o| (one, o)))
        {
            if other.from < one.until && one.gateway != other.gateway {
                found.push(format!("{duty}: {one:?} and {other:?} act at once"));
            }
            if other.gateway != one.gateway && other.token <= one.token {
                found.push(format!(
                    "{duty}: {other:?} follows {one:?} with a token that is not newer"
                ));
            }
        }
    }
    found.extend(versions(lines));
    found
}

/// Checks that gateways act only on the newest version and its predecessor at any time, and that each version has the
/// same predecessor at all gateways.
fn versions(lines: &[Line]) -> Vec<String> {
    let mut found = Vec::new();
    let mut predecessors: BTreeMap<(String, u64), u64> = BTreeMap::new();
    // By topic and gateway: when each version came into force, and its number.
    let mut activations: BTreeMap<String, BTreeMap<u64, Vec<(u64, u64)>>> = BTreeMap::new();
    for line in lines
        .iter()
        .filter(|line| message(line) == "version: activated")
    {
        let topic = line.fields["topic"].as_str().unwrap_or("").to_owned();
        let (version, predecessor) = (number(line, "number"), number(line, "before"));
        if *predecessors
            .entry((topic.clone(), version))
            .or_insert(predecessor)
            != predecessor
        {
            found.push(format!(
                "{topic}: version {version} follows version {predecessor} at gateway {}, and another one elsewhere",
                line.gateway
            ));
        }
        let of = activations
            .entry(topic)
            .or_default()
            .entry(line.gateway)
            .or_default();
        of.push((number(line, "at"), version));
    }
    let registrations = spans(
        lines.iter(),
        "registration: acting",
        "registration: stopped acting",
        |_| true,
    );
    for (topic, gateways) in &activations {
        let times = gateways.values().flatten().map(|(at, _)| *at);
        for at in times.chain(registrations.iter().map(|registration| registration.from)) {
            let active_versions = registrations
                .iter()
                .filter(|registration| (registration.from..registration.until).contains(&at))
                .filter_map(|registration| {
                    let activations = gateways.get(&registration.gateway)?;
                    activations
                        .iter()
                        .rev()
                        .find(|(from, _)| *from <= at)
                        .map(|(_, version)| *version)
                });
            let active_versions: BTreeSet<u64> = active_versions.collect();
            let Some(&newest) = active_versions.last() else {
                continue;
            };
            let predecessor = predecessors
                .get(&(topic.clone(), newest))
                .copied()
                .unwrap_or(0);
            if active_versions
                .iter()
                .any(|version| *version != newest && *version != predecessor)
            {
                found.push(format!(
                    "{topic}: at {at} gateways act on versions {active_versions:?}, but only {newest} and its predecessor {predecessor} may \
                     be acted on"
                ));
            }
        }
    }
    found
}

#[cfg(test)]
mod tests;

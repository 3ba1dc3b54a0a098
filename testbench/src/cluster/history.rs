//! What gateways said that they did, and what of it must never be: read from their JSON log lines.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What the testbench adds to a gateway's lines once its process has been killed.
pub const KILLED: &str = "killed";

/// A line of one gateway's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// Which gateway.
    pub gateway: u64,
    /// Its fields.
    pub fields: Value,
}

/// A span of time in which a gateway may act, microseconds on the machine's clock; `until` is not part of it.
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

/// Spans from lines that say until when a gateway may act, and lines that say that it stopped earlier.
fn spans<'a>(
    lines: impl Iterator<Item = &'a Line>,
    acting: &str,
    stopped: &str,
    same: impl Fn(&Line) -> bool,
) -> Vec<Span> {
    let mut all: Vec<Span> = Vec::new();
    for line in lines.filter(|line| same(line) || message(line) == KILLED) {
        let (gateway, at) = (line.gateway, number(line, "at"));
        // A process that is gone does nothing more, and the next one's log begins with what it learns anew.
        if message(line) == KILLED {
            let own = all.iter_mut().filter(|span| span.gateway == gateway);
            own.for_each(|span| span.until = span.until.min(at));
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

/// All that must never be and was, in words; empty where nothing was.
pub fn violations(lines: &[Line]) -> Vec<String> {
    let mut found = Vec::new();
    let duties: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line.fields["duty"].as_str())
        .collect();
    for duty in duties {
        let own = |line: &Line| line.fields["duty"].as_str() == Some(duty);
        let mut held = spans(lines.iter(), "duty: acting", "duty: stopped acting", own);
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
                    "{duty}: {other:?} came after {one:?} with a token that is not newer"
                ));
            }
        }
    }
    found.extend(versions(lines));
    found
}

/// Never a third version, and everywhere the same order of them.
fn versions(lines: &[Line]) -> Vec<String> {
    let mut found = Vec::new();
    let mut before: BTreeMap<(String, u64), u64> = BTreeMap::new();
    // By topic and gateway, from when it acted on which version.
    let mut steps: BTreeMap<String, BTreeMap<u64, Vec<(u64, u64)>>> = BTreeMap::new();
    for line in lines
        .iter()
        .filter(|line| message(line) == "version: activated")
    {
        let topic = line.fields["topic"].as_str().unwrap_or("").to_owned();
        let (version, former) = (number(line, "number"), number(line, "before"));
        if *before.entry((topic.clone(), version)).or_insert(former) != former {
            found.push(format!(
                "{topic}: {version} follows {former} at {} and another elsewhere",
                line.gateway
            ));
        }
        let of = steps
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
    for (topic, gateways) in &steps {
        let moments = gateways.values().flatten().map(|(at, _)| *at);
        for at in moments.chain(registrations.iter().map(|registration| registration.from)) {
            let acted = registrations
                .iter()
                .filter(|registration| (registration.from..registration.until).contains(&at))
                .filter_map(|registration| {
                    let steps = gateways.get(&registration.gateway)?;
                    steps
                        .iter()
                        .rev()
                        .find(|(from, _)| *from <= at)
                        .map(|(_, version)| *version)
                });
            let acted: BTreeSet<u64> = acted.collect();
            let Some(&newest) = acted.last() else {
                continue;
            };
            let former = before.get(&(topic.clone(), newest)).copied().unwrap_or(0);
            if acted
                .iter()
                .any(|version| *version != newest && *version != former)
            {
                found.push(format!(
                    "{topic}: at {at} versions {acted:?} are acted on, and {former} was before {newest}"
                ));
            }
        }
    }
    found
}

#[cfg(test)]
mod tests;

//! The tables and the chart of the measurements at each size of a fleet.

use super::fleet::{Sample, Voter};
use super::hollow::{Used, Work};
use super::traffic::{MemberTotals, TrafficRates};
use crate::chart;
use asterreel_control::traffic::TrafficTotals;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

const SECOND_US: f64 = 1e6;
/// The name of the first event: the start of the fleet, until all gateways act on a first version.
pub const START: &str = "start";
/// The roles and statistics that charts and slopes use. A fleet has one leader, and so no `worst` of it.
pub(super) const ROLES: [(&str, &str); 4] = [
    ("leader", "median"),
    ("follower", "median"),
    ("gateway", "median"),
    ("gateway", "worst"),
];

/// The resources that the median or worst gateway of a role used in one event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of gateways of the fleet.
    pub gateways: u32,
    /// Name of the event.
    pub event: String,
    /// Duration of the measurement, seconds.
    pub seconds: f64,
    /// `leader` and `follower` (control members), or `gateway` (hollow).
    pub role: String,
    /// The statistic over the gateways of the role: `median` or `worst`.
    pub of: String,
    /// CPU time of the control plane's thread, percent of a core.
    pub cpu_percent: f64,
    /// Frames received per second: by a gateway from the leader, or by a control member from gateways.
    pub messages_in_s: Option<f64>,
    /// Frames sent per second, between the same parties.
    pub messages_out_s: Option<f64>,
    /// Bytes received per second, between the same parties.
    pub bytes_in_s: Option<f64>,
    /// Bytes sent per second, between the same parties.
    pub bytes_out_s: Option<f64>,
    /// Frames that a control member received per second from other control members; none for gateways and in tables of
    /// older builds.
    #[serde(default)]
    pub member_messages_in_s: Option<f64>,
    /// Frames sent per second, between control members.
    #[serde(default)]
    pub member_messages_out_s: Option<f64>,
    /// Bytes received per second, between control members.
    #[serde(default)]
    pub member_bytes_in_s: Option<f64>,
    /// Bytes sent per second, between control members.
    #[serde(default)]
    pub member_bytes_out_s: Option<f64>,
    /// Resident memory at the end, KiB. For hollow gateways, an equal share of their process's memory, less the memory
    /// of the process before its gateways were started.
    pub memory_kib: f64,
    /// Open file descriptors at the end, shared in the same way.
    pub descriptors: f64,
    /// Open sockets at the end, shared in the same way.
    pub connections: f64,
    /// Bytes written to disk per second; for hollow gateways, an equal share of their process's.
    pub disk_bytes_s: f64,
}

/// How soon a version or another event reached the gateways.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Change {
    /// Number of gateways of the fleet.
    pub gateways: u32,
    /// Name of the event.
    pub event: String,
    /// Number of gateways that it was expected to reach.
    pub awaited: usize,
    /// Number of gateways that it reached in time.
    pub reached: usize,
    /// Time from its start until it reached the first gateway, milliseconds; none if it reached none.
    pub first_ms: Option<f64>,
    /// The same until the median of the gateways that it reached.
    pub median_ms: Option<f64>,
    /// The same until the last of the gateways that it reached.
    pub last_ms: Option<f64>,
    /// Number of clients' requests since the previous event.
    pub asked: u64,
    /// Number of those requests that were served within their latency target.
    pub served: u64,
}

impl Load {
    /// The row as a line of progress output.
    pub fn line(&self) -> String {
        let (event, role, of, cpu) = (&self.event, &self.role, &self.of, self.cpu_percent);
        let messages =
            [self.messages_in_s, self.messages_out_s].map(|rate| rate.unwrap_or(f64::NAN));
        format!("  {event}: {role}, {of}: {cpu:.2}% of a core, {messages:.0?} messages a second in and out")
    }
}

impl Change {
    /// The row as a line of progress output.
    pub fn line(&self) -> String {
        let (event, reached, awaited) = (&self.event, self.reached, self.awaited);
        let times = [self.first_ms, self.median_ms, self.last_ms].map(|ms| ms.unwrap_or(f64::NAN));
        format!("  {event}: {reached} of {awaited}; first, median, last after {times:.0?} ms")
    }
}

/// A row of a table with one set of rows for each size of a fleet.
pub trait AtSize {
    /// The number of gateways of the fleet.
    fn gateways(&self) -> u32;
}

impl AtSize for Load {
    fn gateways(&self) -> u32 {
        self.gateways
    }
}

impl AtSize for Change {
    fn gateways(&self) -> u32 {
        self.gateways
    }
}

pub(super) fn rounded(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// The median (the upper one of an even number of values) and the largest value; 0 if there are none.
fn median_and_worst(mut values: Vec<f64>) -> [f64; 2] {
    values.sort_by(f64::total_cmp);
    let at = |place: usize| values.get(place).copied().unwrap_or(0.0);
    [at(values.len() / 2), at(values.len().saturating_sub(1))]
}

/// The resources that one gateway used between two samples: CPU in percent of a core, and disk in bytes per second.
#[derive(Clone, Copy, Default)]
struct Rates {
    cpu: f64,
    /// Between gateways and control members.
    traffic: Option<TrafficRates>,
    /// Between control members.
    member_traffic: Option<TrafficRates>,
    memory: f64,
    descriptors: f64,
    connections: f64,
    disk: f64,
}

/// The rates of each hollow gateway of a process that is in both samples.
fn hollow(before: &Used, after: &Used) -> Vec<Rates> {
    let seconds = (after.at - before.at) as f64 / SECOND_US;
    let share = |whole: f64| whole / after.gateways.len() as f64;
    let added = |now: u64, empty: u64| share(now.saturating_sub(empty) as f64);
    let (now, empty) = (&after.process, &after.empty);
    let pairs = before.gateways.iter().zip(&after.gateways);
    pairs
        .map(|(was, is)| Rates {
            cpu: is.cpu_ns.saturating_sub(was.cpu_ns) as f64 / 1e7 / seconds,
            traffic: Some(TrafficRates::between(&was.traffic, &is.traffic, seconds)),
            member_traffic: None,
            memory: added(now.resident_kib, empty.resident_kib),
            descriptors: added(now.descriptors, empty.descriptors),
            connections: added(now.sockets, empty.sockets),
            disk: share(now.written.saturating_sub(before.process.written) as f64 / seconds),
        })
        .collect()
}

/// The rates of a control member that is in both samples.
fn voter(before: &Voter, after: &Voter) -> Rates {
    let seconds = (after.at - before.at) as f64 / SECOND_US;
    let logged = before.traffic.zip(after.traffic);
    // After a restart the counts begin at 0, so no rates can be computed.
    let logged = logged
        .filter(|(was, is)| is.at > was.at && is.members.frames_out >= was.members.frames_out);
    let rates = |of: fn(&MemberTotals) -> &TrafficTotals| {
        let (was, is) = logged.as_ref()?;
        Some(TrafficRates::between(
            of(was),
            of(is),
            (is.at - was.at) as f64 / SECOND_US,
        ))
    };
    Rates {
        cpu: after.cpu_ns.saturating_sub(before.cpu_ns) as f64 / 1e7 / seconds,
        traffic: rates(|totals| &totals.gateways),
        member_traffic: rates(|totals| &totals.members),
        memory: after.process.resident_kib as f64,
        descriptors: after.process.descriptors as f64,
        connections: after.process.sockets as f64,
        disk: after.process.written.saturating_sub(before.process.written) as f64 / seconds,
    }
}

/// The rows of an event, from the samples before and after it, by role.
pub fn loads(
    gateways: u32,
    event: &str,
    leader: u32,
    before: &Sample,
    after: &Sample,
) -> Vec<Load> {
    // A process that was restarted between the samples is left out, as its counts began at 0 again.
    let same = |was: &Used, is: &Used| {
        let all = |used: &Used| {
            used.gateways
                .iter()
                .map(|work| work.gateway)
                .collect::<Vec<u32>>()
        };
        let grown = |(was, is): (&Work, &Work)| {
            is.cpu_ns >= was.cpu_ns && is.traffic.frames_in >= was.traffic.frames_in
        };
        all(was) == all(is) && was.gateways.iter().zip(&is.gateways).all(grown)
    };
    let pairs = after
        .hollow
        .iter()
        .filter_map(|is| Some((before.hollow.iter().find(|was| same(was, is))?, is)));
    let hollows: Vec<Rates> = pairs.flat_map(|(was, is)| hollow(was, is)).collect();
    let both = after
        .voters
        .iter()
        .filter_map(|(number, is)| Some((*number, before.voters.get(number)?, is)));
    let voters: BTreeMap<u32, Rates> = both
        .map(|(number, was, is)| (number, voter(was, is)))
        .collect();
    let leads = voters.get(&leader).copied();
    let follow: Vec<Rates> = voters
        .iter()
        .filter(|(n, _)| **n != leader)
        .map(|(_, one)| *one)
        .collect();
    let seconds = match (before.voters.values().next(), after.voters.values().next()) {
        (Some(before), Some(after)) => (after.at - before.at) as f64 / SECOND_US,
        _ => 0.0,
    };
    let roles = [
        ("leader", Vec::from_iter(leads)),
        ("follower", follow),
        ("gateway", hollows),
    ];
    roles
        .into_iter()
        .flat_map(|(role, all)| rows(gateways, event, seconds, role, &all))
        .collect()
}

fn rows(gateways: u32, event: &str, seconds: f64, role: &str, all: &[Rates]) -> Vec<Load> {
    let of = |value: fn(&Rates) -> f64| median_and_worst(all.iter().map(value).collect());
    let known =
        |side: fn(&Rates) -> Option<TrafficRates>| all.iter().filter_map(side).collect::<Vec<_>>();
    let (traffic, member_traffic) = (known(|one| one.traffic), known(|one| one.member_traffic));
    let rate = |of: &[TrafficRates], value: fn(&TrafficRates) -> f64| {
        (!of.is_empty()).then(|| median_and_worst(of.iter().map(value).collect()))
    };
    let (cpu, memory, disk) = (of(|one| one.cpu), of(|one| one.memory), of(|one| one.disk));
    let (descriptors, connections) = (of(|one| one.descriptors), of(|one| one.connections));
    let directions = |of: &[TrafficRates]| {
        let frames = [
            rate(of, |one| one.frames_in),
            rate(of, |one| one.frames_out),
        ];
        (
            frames,
            [rate(of, |one| one.bytes_in), rate(of, |one| one.bytes_out)],
        )
    };
    let ([messages_in, messages_out], [bytes_in, bytes_out]) = directions(&traffic);
    let (member_messages, member_bytes) = directions(&member_traffic);
    let row = |(place, name): (usize, &str)| {
        let one = |rate: Option<[f64; 2]>| rate.map(|both| rounded(both[place]));
        Load {
            gateways,
            event: event.to_owned(),
            seconds: rounded(seconds),
            role: role.to_owned(),
            of: name.to_owned(),
            cpu_percent: rounded(cpu[place]),
            messages_in_s: one(messages_in),
            messages_out_s: one(messages_out),
            bytes_in_s: one(bytes_in),
            bytes_out_s: one(bytes_out),
            member_messages_in_s: one(member_messages[0]),
            member_messages_out_s: one(member_messages[1]),
            member_bytes_in_s: one(member_bytes[0]),
            member_bytes_out_s: one(member_bytes[1]),
            memory_kib: rounded(memory[place]),
            descriptors: rounded(descriptors[place]),
            connections: rounded(connections[place]),
            disk_bytes_s: rounded(disk[place]),
        }
    };
    // The only leader is both the median and the worst.
    let names = if role == "leader" {
        &["median"][..]
    } else {
        &["median", "worst"][..]
    };
    names.iter().copied().enumerate().map(row).collect()
}

/// The row of an event that began at `began` and reached gateways at the times `reached`, of `awaited` gateways; Unix
/// microseconds.
pub fn change(
    gateways: u32,
    event: &str,
    began: u64,
    mut reached: Vec<u64>,
    awaited: usize,
) -> Change {
    reached.sort_unstable();
    let after = |at: Option<&u64>| at.map(|at| at.saturating_sub(began) as f64 / 1e3);
    Change {
        gateways,
        event: event.to_owned(),
        awaited,
        reached: reached.len(),
        first_ms: after(reached.first()),
        median_ms: after(reached.get(reached.len() / 2)),
        last_ms: after(reached.last()),
        asked: 0,
        served: 0,
    }
}

/// Writes a table; existing rows of sizes that are not in `sizes` are kept.
///
/// # Errors
///
/// The file could not be read or written.
pub fn write<Row: AtSize + Serialize + DeserializeOwned>(
    path: &Path,
    sizes: &[u32],
    rows: &[Row],
) -> anyhow::Result<()> {
    let kept = csv::Reader::from_path(path)
        .map(|reader| reader.into_deserialize().collect::<Result<Vec<Row>, _>>());
    let kept = kept.ok().transpose()?.unwrap_or_default();
    let kept = kept.iter().filter(|row| !sizes.contains(&row.gateways()));
    let mut all: Vec<&Row> = kept.chain(rows).collect();
    all.sort_by_key(|row| row.gateways());
    let mut table = csv::Writer::from_path(path)?;
    all.into_iter().try_for_each(|row| table.serialize(row))?;
    Ok(table.flush()?)
}

/// Draws the CPU time of each role in an event by the size of the fleet, from the table of loads.
///
/// # Errors
///
/// The table could not be read, or the chart could not be written.
pub fn draw(table: &Path, chart: &Path, event: &str) -> anyhow::Result<()> {
    let mut rows = csv::Reader::from_path(table)?
        .into_deserialize()
        .collect::<Result<Vec<Load>, _>>()?;
    rows.retain(|row| row.event == event);
    if rows.is_empty() {
        return Ok(());
    }
    let line = |role: &str, of: &str| -> chart::Line {
        let of_role = rows.iter().filter(|row| row.role == role && row.of == of);
        let points = of_role
            .map(|row| (f64::from(row.gateways), row.cpu_percent))
            .collect();
        (format!("{role}, {of}"), points)
    };
    let lines = ROLES.map(|(role, of)| line(role, of));
    let title = format!("Processor time of the control plane, {event}");
    chart::lines(chart, &title, ("gateways", "% of a core"), &lines)
}

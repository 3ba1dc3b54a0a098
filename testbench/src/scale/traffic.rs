//! The traffic counts that control members log.

use crate::gateway::Line;
use asterreel_control::traffic::TrafficTotals;
use serde_json::Value;

/// The frames and bytes that a control member has sent and received since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberTotals {
    /// Time of the count, Unix microseconds.
    pub at: u64,
    /// Traffic with other control members.
    pub members: TrafficTotals,
    /// Traffic with the gateways that it serves.
    pub gateways: TrafficTotals,
}

/// The counts whose keys begin with `side`; none if one is missing.
fn totals(fields: &Value, side: &str) -> Option<TrafficTotals> {
    let count = |name: &str| fields[format!("{side}.{name}")].as_u64();
    Some(TrafficTotals {
        frames_in: count("frames_in")?,
        frames_out: count("frames_out")?,
        bytes_in: count("bytes_in")?,
        bytes_out: count("bytes_out")?,
    })
}

impl MemberTotals {
    /// The last counts in a control member's log; none if there are none or a count is missing.
    pub fn logged(log: &[Line]) -> Option<MemberTotals> {
        let last = log
            .iter()
            .rfind(|line| line.fields["message"] == "control: traffic")?;
        let (members, gateways) = (
            totals(&last.fields, "members")?,
            totals(&last.fields, "gateways")?,
        );
        Some(MemberTotals {
            at: last.fields["at"].as_u64()?,
            members,
            gateways,
        })
    }
}

/// Frames and bytes per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficRates {
    /// Frames received.
    pub frames_in: f64,
    /// Frames sent.
    pub frames_out: f64,
    /// Bytes received.
    pub bytes_in: f64,
    /// Bytes sent.
    pub bytes_out: f64,
}

impl TrafficRates {
    /// The rates between two counts with `seconds` between them.
    pub fn between(before: &TrafficTotals, after: &TrafficTotals, seconds: f64) -> TrafficRates {
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        TrafficRates {
            frames_in: rate(before.frames_in, after.frames_in),
            frames_out: rate(before.frames_out, after.frames_out),
            bytes_in: rate(before.bytes_in, after.bytes_in),
            bytes_out: rate(before.bytes_out, after.bytes_out),
        }
    }
}

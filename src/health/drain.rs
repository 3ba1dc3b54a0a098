//! The drain's timetable: how long a gateway that was told to end goes on taking requests, so that no balancer
//! sends a client to a closed door, and until when it answers.

use crate::interface::Micros;
use asterreel_control::settings::{check_within, SettingError};
use serde::{Deserialize, Serialize};

/// Nothing is sent to a gateway later than this after its drain was announced.
const MAX_ANNOUNCE_MS: u64 = 2_000;
/// What the status needs to reach the checks, and a client that was sent at the last moment to arrive.
const PROPAGATION_MARGIN_MS: u64 = 150;
/// A gateway keeps serving for this long in any case: the platform's front sends new connections for 0.4 s, and
/// what comes after 0.7 s must be answered before the process may be killed.
const MIN_ANNOUNCE_MS: u64 = 750;
/// Nobody kills the process earlier than the longest deadline, this much of it at most, ...
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// ... and so much more after SIGTERM.
const KILL_GRACE_PERIOD: Micros = 700_000;
/// Time for the last answers.
pub const LAST_ANSWERS: Micros = 100_000;

/// How the balancer in front checks; its keys are named as balancers name them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancer {
    /// Time between two checks of one gateway; 10 to 2000, default 250.
    pub interval_ms: u64,
    /// Failed checks in a row that take a gateway out; 1 to 10, default 2. An agent's `drain` needs one.
    pub fall: u64,
    /// How long a check may take; 10 to 2000, default 250.
    pub timeout_ms: u64,
}

impl Default for Balancer {
    fn default() -> Balancer {
        Balancer {
            interval_ms: 250,
            fall: 2,
            timeout_ms: 250,
        }
    }
}

/// What the operator says of the drain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long requests are still taken after SIGTERM; computed where it is left out.
    pub announce_ms: Option<u64>,
    /// When the process may be killed, after SIGTERM; where left out, the platform's rule holds: the longest
    /// deadline, 3 s of it at most, and 0.7 s.
    pub kill_after_ms: Option<u64>,
}

/// What follows for a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timetable {
    /// How long after SIGTERM requests are still taken.
    pub announce: Micros,
    /// Until when after SIGTERM everything must be answered.
    pub answer_until: Micros,
}

/// When the platform may kill the process, after SIGTERM.
fn killed_after(longest_deadline: Micros) -> Micros {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE_PERIOD
}

impl Timetable {
    /// Without balancers to tell: what the platform's front needs.
    pub fn plain(longest_deadline: Micros) -> Timetable {
        Timetable {
            announce: MIN_ANNOUNCE_MS * 1000,
            answer_until: killed_after(longest_deadline) - LAST_ANSWERS,
        }
    }
}

/// How a balancer finds out that a gateway drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectionMethod {
    /// An agent-check: one answer counts at once.
    AgentCheck,
    /// Health checks: `fall` of them must fail in a row.
    FailedChecks,
}

impl Balancer {
    /// The longest time from a change until the balancer acts on it, milliseconds.
    pub fn detection_time_ms(&self, detection_method: DetectionMethod) -> u64 {
        let checks = if detection_method == DetectionMethod::AgentCheck {
            1
        } else {
            self.fall
        };
        // The change may come just after a check; each answer takes as long as it may.
        checks * self.interval_ms + self.timeout_ms + PROPAGATION_MARGIN_MS
    }
}

impl Drain {
    /// Computes the timetable, or says which keys can't be kept together.
    ///
    /// # Errors
    ///
    /// The key at fault, and which others it can't be kept with.
    pub fn timetable(
        &self,
        balancer: &Balancer,
        detection_method: DetectionMethod,
        longest_deadline: Micros,
    ) -> Result<Timetable, SettingError> {
        check_within("balancer.interval_ms", balancer.interval_ms, 10, 2_000)?;
        check_within("balancer.fall", balancer.fall, 1, 10)?;
        check_within("balancer.timeout_ms", balancer.timeout_ms, 10, 2_000)?;
        let heard = balancer.detection_time_ms(detection_method);
        let keys = "balancer.interval_ms, balancer.fall and balancer.timeout_ms";
        if heard > MAX_ANNOUNCE_MS {
            let fault =
                format!("with balancer.fall and balancer.timeout_ms a drain is heard after {heard} ms, and nothing may be sent {MAX_ANNOUNCE_MS} ms after its word");
            return Err(SettingError::new("balancer.interval_ms", fault));
        }
        let announce = self.announce_ms.unwrap_or(heard.max(MIN_ANNOUNCE_MS));
        if announce < heard {
            let fault = format!(
                "{announce} is less than the {heard} ms after which {keys} let a drain be heard"
            );
            return Err(SettingError::new("drain.announce_ms", fault));
        }
        check_within(
            "drain.announce_ms",
            announce,
            MIN_ANNOUNCE_MS,
            MAX_ANNOUNCE_MS,
        )?;
        let killed = self
            .kill_after_ms
            .map_or(killed_after(longest_deadline), |ms| ms.saturating_mul(1000));
        let answer_until = killed.saturating_sub(LAST_ANSWERS);
        if announce * 1000 + LAST_ANSWERS > answer_until {
            let fault = format!(
                "{} ms leave no time to answer what drain.announce_ms, {announce}, still takes",
                killed / 1000
            );
            return Err(SettingError::new("drain.kill_after_ms", fault));
        }
        Ok(Timetable {
            announce: announce * 1000,
            answer_until,
        })
    }
}

#[cfg(test)]
mod tests;

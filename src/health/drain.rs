//! The timetable of a drain: for how long after SIGTERM the gateway still accepts requests, so that no balancer sends
//! a client to a closed port, and until when it must have answered them.

use crate::interface::Micros;
use asterreel_control::settings::{check_within, SettingError};
use serde::{Deserialize, Serialize};

/// Balancers must have stopped sending clients to a gateway this long after it announced its drain.
const MAX_ANNOUNCE_MS: u64 = 2_000;
/// Time for a new status to reach the health checks, and for a client that was sent just before to connect.
const PROPAGATION_MARGIN_MS: u64 = 150;
/// A draining gateway accepts requests for at least this long: the platform's front sends new connections for 0.4 s,
/// and a request that arrives after 0.7 s must be answered before the process may be killed.
const MIN_ANNOUNCE_MS: u64 = 750;
/// After SIGTERM the platform waits for the longest deadline, of which at most this much counts, before it kills the
/// process, microseconds.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The platform waits this much longer than the counted deadline, microseconds.
const KILL_GRACE_PERIOD: Micros = 700_000;
/// Time to write the last answers before the process may be killed, microseconds.
pub const FINAL_ANSWER_TIME: Micros = 100_000;

/// How the balancer checks the gateway. The keys have the names that balancers use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancer {
    /// Time between two checks of one gateway, milliseconds; 10 to 2000, default 250.
    pub interval_ms: u64,
    /// Consecutive failed checks after which the balancer takes a gateway out of service; 1 to 10, default 2. For an
    /// agent-check a single `drain` reply is enough.
    pub fall: u64,
    /// How long a check may take, milliseconds; 10 to 2000, default 250.
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

/// The operator's settings for the drain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long requests are still accepted after SIGTERM, milliseconds; computed from [`Balancer`] if left out.
    pub announce_ms: Option<u64>,
    /// When the process may be killed, milliseconds after SIGTERM. If left out, the platform's rule applies: the
    /// longest deadline, of which at most 3 s count, plus 0.7 s.
    pub kill_after_ms: Option<u64>,
}

/// The phases of a drain, computed from the settings of the operator and the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timetable {
    /// How long after SIGTERM requests are still accepted.
    pub announce: Micros,
    /// How long after SIGTERM all requests must have been answered.
    pub answer_until: Micros,
}

/// When the platform may kill the process, microseconds after SIGTERM.
fn kill_after(longest_deadline: Micros) -> Micros {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE_PERIOD
}

impl Timetable {
    /// The timetable without health checks, where only the platform's front must stop sending connections.
    pub fn without_balancers(longest_deadline: Micros) -> Timetable {
        Timetable {
            announce: MIN_ANNOUNCE_MS * 1000,
            answer_until: kill_after(longest_deadline) - FINAL_ANSWER_TIME,
        }
    }
}

/// How a balancer detects that a gateway drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetectionMethod {
    /// The balancer detects it by an agent-check, where a single reply takes effect.
    AgentCheck,
    /// The balancer detects it by health checks, of which `fall` in a row must fail.
    FailedChecks,
}

impl Balancer {
    /// The longest time between a change of status and the balancer's reaction, milliseconds.
    pub fn detection_time_ms(&self, detection_method: DetectionMethod) -> u64 {
        let checks = if detection_method == DetectionMethod::AgentCheck {
            1
        } else {
            self.fall
        };
        // Worst case: the status changes just after a check, and the last check takes its whole timeout.
        checks * self.interval_ms + self.timeout_ms + PROPAGATION_MARGIN_MS
    }
}

impl Drain {
    /// Computes the timetable and checks that the settings are compatible with each other.
    ///
    /// # Errors
    ///
    /// The key at fault, and the other keys that it conflicts with.
    pub fn timetable(
        &self,
        balancer: &Balancer,
        detection_method: DetectionMethod,
        longest_deadline: Micros,
    ) -> Result<Timetable, SettingError> {
        check_within("balancer.interval_ms", balancer.interval_ms, 10, 2_000)?;
        check_within("balancer.fall", balancer.fall, 1, 10)?;
        check_within("balancer.timeout_ms", balancer.timeout_ms, 10, 2_000)?;
        let detection_ms = balancer.detection_time_ms(detection_method);
        let keys = "balancer.interval_ms, balancer.fall and balancer.timeout_ms";
        if detection_ms > MAX_ANNOUNCE_MS {
            let fault = format!(
                "with balancer.fall and balancer.timeout_ms, the balancer detects a drain only after {detection_ms} ms, but it must within {MAX_ANNOUNCE_MS} ms; lower one of the three"
            );
            return Err(SettingError::new("balancer.interval_ms", fault));
        }
        let announce = self
            .announce_ms
            .unwrap_or(detection_ms.max(MIN_ANNOUNCE_MS));
        if announce < detection_ms {
            let fault = format!(
                "{announce} is less than the {detection_ms} ms that a balancer needs to detect a drain with {keys}; raise it or lower those"
            );
            return Err(SettingError::new("drain.announce_ms", fault));
        }
        check_within(
            "drain.announce_ms",
            announce,
            MIN_ANNOUNCE_MS,
            MAX_ANNOUNCE_MS,
        )?;
        let kill_at = self
            .kill_after_ms
            .map_or(kill_after(longest_deadline), |ms| ms.saturating_mul(1000));
        let answer_until = kill_at.saturating_sub(FINAL_ANSWER_TIME);
        if announce * 1000 + FINAL_ANSWER_TIME > answer_until {
            let fault = format!(
                "{} ms leave no time to answer the requests accepted during drain.announce_ms, {announce} ms; set it to at least {} ms or lower drain.announce_ms",
                kill_at / 1000,
                announce + 2 * FINAL_ANSWER_TIME / 1000
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

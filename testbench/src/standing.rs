//! The state of a gateway in its fleet: the version in force, and until when its registration lets it act.

use crate::gateway::Line;
use serde::{Deserialize, Serialize};

/// The state of one gateway in its fleet. Times are Unix microseconds; 0 is never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The gateway's number.
    pub gateway: u32,
    /// Number of the version of the operator's file in force; 0 is none.
    pub in_force: u64,
    /// Since when that version is in force.
    pub since: u64,
    /// When its registration expires, unless it is renewed.
    pub until: u64,
}

impl Standing {
    /// Derives the state from the log lines of a gateway's current process.
    pub fn logged(gateway: u32, log: &[Line]) -> Standing {
        let mut found = Standing {
            gateway,
            ..Standing::default()
        };
        for Line { fields, .. } in log {
            let number = |key: &str| fields[key].as_u64().unwrap_or(0);
            match fields["message"].as_str().unwrap_or("") {
                "version: activated" => {
                    (found.in_force, found.since) = (number("number"), number("at"))
                }
                "registration: acting" => found.until = number("until"),
                message if message.starts_with("registration: stopped acting") => found.until = 0,
                _ => {}
            }
        }
        found
    }

    /// Whether it may act at this time. A gateway that has just connected may learn the version in force before it has
    /// a registration; it does not act on that version yet.
    pub fn acts(&self, at: u64) -> bool {
        self.until > at
    }

    /// Whether it may act now.
    pub fn acts_now(&self) -> bool {
        self.acts(crate::now())
    }

    /// When the heartbeat was sent that gained its registration, given the length of a lease.
    pub fn heartbeat_sent_at(&self, lease_us: u64) -> u64 {
        self.until.saturating_sub(lease_us)
    }
}

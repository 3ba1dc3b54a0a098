//! How a gateway stands with its fleet: what is in force there, and until when it may act.

use crate::gateway::Line;
use serde::{Deserialize, Serialize};

/// How one gateway stands. Times are Unix microseconds; 0 is never.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its number.
    pub gateway: u32,
    /// The version of the operator's file in force there; 0 is none.
    pub in_force: u64,
    /// Since when that version is in force.
    pub since: u64,
    /// When its right to act ends, unless it is renewed.
    pub until: u64,
}

impl Standing {
    /// How a real gateway stands, by what it has logged in its present life.
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

    /// Whether it may act at this time. A gateway that has just connected may know of a version in force before it has a
    /// registration: it does not act on it yet.
    pub fn acts(&self, at: u64) -> bool {
        self.until > at
    }

    /// Whether it may act at this moment.
    pub fn acts_now(&self) -> bool {
        self.acts(crate::now())
    }

    /// When the heartbeat was sent to which it owes its right, where rights last so long.
    pub fn asked_at(&self, lease_us: u64) -> u64 {
        self.until.saturating_sub(lease_us)
    }
}

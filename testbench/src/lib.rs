//! Stand-ins of the systems around asterreel, on loopback, and what experiments with them share.
//!
//! Written from public specifications: PostgreSQL's protocol, discovery's watch as the gateway reads it, and a
//! balancer that checks as HAProxy's manual describes. Plain threads and blocking sockets: few of each.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod balancer;
pub mod bounded;
pub mod capacity;
pub mod chart;
pub mod cluster;
pub mod database;
pub mod fit;
pub mod fleet;
pub mod gateway;
pub mod load;
pub mod process;
pub mod scale;
pub mod standing;

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in microseconds, the clock of all records.
pub fn now() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    unix.as_micros() as u64
}

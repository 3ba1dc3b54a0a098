//! Simulated databases, discovery, load balancers and clients for asterreel, on loopback, and the code that experiments
//! with them share.
//!
//! They implement public specifications: the PostgreSQL protocol, the discovery watch that the gateway reads, and a
//! balancer whose health checks follow HAProxy's manual. They use plain threads and blocking sockets, as there are few
//! of each.
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

/// The current Unix time in microseconds; all records use this clock.
pub fn now() -> u64 {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    unix.as_micros() as u64
}

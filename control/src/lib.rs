//! The control plane of a fleet of gateways: a replicated log at its control members, and the gateways that are their
//! clients.
//!
//! [`lease`], [`versions`] and [`state_machine`] are state machines without I/O: events in, actions out, time an argument.
//! [`service`] runs them on a Raft log with its store, on links between the processes, and in one loop on a thread of its
//! own. A gateway starts it with [`service::start`], and so do experiments that run many gateways in one process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
mod codec;
mod frame;
#[cfg(test)]
#[path = "../../src/bin/asterreel/fuzz.rs"]
#[allow(dead_code)] // This crate's parsers are fed whole frames: `cuts` serves the other crates.
mod fuzz;
#[cfg(test)]
mod golden_tests;
pub mod lease;
mod link;
mod node;
pub mod service;
pub mod settings;
pub mod state_machine;
mod store;
pub mod traffic;
pub mod versions;

/// Microseconds, of a time span or of a clock.
pub type Micros = u64;

//! The control plane of a fleet of gateways: the control members, which replicate a log, and the gateways, which are their
//! clients.
//!
//! [`lease`], [`versions`] and [`state_machine`] are state machines without I/O: they handle events and return actions, and
//! the time is an argument. [`service`] runs them in one loop on a thread of its own, with a Raft log, its store, and links
//! between the processes. A gateway starts it with [`service::start`], as do experiments that run many gateways in one
//! process.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
mod codec;
mod frame;
#[cfg(test)]
#[path = "../../src/bin/asterreel/fuzz.rs"]
#[allow(dead_code)]
// `cuts` is used by other crates only: the parsers of this crate get whole frames.
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

/// A duration in microseconds, or a time on a clock in microseconds.
pub type Micros = u64;

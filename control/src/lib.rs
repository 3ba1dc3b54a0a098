//! What a fleet of gateways agrees on, and how: the log at its control members, and the gateways that are their clients.
//!
//! [`lease`], [`versions`] and [`state_machine`] decide, free of input and output: events in, actions out, time an argument.
//! [`service`] runs them: the replicated log with its store, the links between gateways, and one loop on a thread of its
//! own. The gateway starts it with [`service::start`]; so do the experiments that play many gateways in one process.
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

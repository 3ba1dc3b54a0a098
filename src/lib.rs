//! The decisions of a gateway for replicated databases, and the decoding of their settings and lists of endpoints.
//!
//! [`policy`] and [`interface`] do no input or output: a gateway passes [`interface::Event`]s to a [`policy::Router`]
//! and carries out the [`interface::Action`]s that it returns. [`config`] reads the file and environment that a gateway
//! is started with.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cells;
pub mod config;
pub mod discovery;
/// Helpers of the parser tests, shared with the tests of the gateway's binary.
#[cfg(test)]
#[path = "bin/asterreel/fuzz.rs"]
mod fuzz;
pub mod health;
pub mod interface;
pub mod memory;
pub mod operator;
pub mod policy;
pub mod readmission;
pub mod scheduling;
pub mod settings;
pub mod statements;

pub use policy::fleet;

pub use asterreel_control::{lease, state_machine, versions};

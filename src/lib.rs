//! The decisions of a gateway for replicated databases, and how their settings and lists are decoded.
//!
//! [`policy`] and [`interface`] do no input or output: a gateway feeds a [`policy::Router`] with
//! [`interface::Event`]s and carries out the [`interface::Action`]s it answers with. [`config`] reads the file
//! and environment that a gateway is started with.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cells;
pub mod config;
pub mod discovery;
/// The one helper of all parser tests; the program's share it.
#[cfg(test)]
#[path = "bin/asterreel/fuzz.rs"]
mod fuzz;
pub mod health;
pub mod interface;
pub mod operator;
pub mod policy;
pub mod readmission;
pub mod settings;
pub mod statements;

pub use policy::fleet;

pub use asterreel_control::{lease, state_machine, versions};

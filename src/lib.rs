//! The decisions of a query router for sharded, replicated databases.
//!
//! The library does no input or output. A front feeds a [`policy::Router`] with
//! [`interface::Event`]s and carries out the [`interface::Action`]s it answers with.
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod interface;
pub mod policy;
pub mod settings;
mod state;

//! Large fleets of real gateways that are voters and serve clients, and of hollow gateways; measures the cost of the
//! control plane for each role.
//!
//! A hollow gateway is the real control plane (`asterreel-control`) over real sockets, without a request path; many run
//! in one process. No code here implements the protocol itself.

mod clients;
pub mod cut;
pub mod fleet;
pub mod group;
pub mod hollow;
pub mod layout;
pub mod schedule;
pub mod slopes;
pub mod table;
pub mod traffic;

pub use fleet::{Fleet, Size};
pub use group::{Host, Part};
pub use schedule::{run, Event, Measured, Timing};

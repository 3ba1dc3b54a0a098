//! Fleets at size: real gateways that vote and serve, hollow ones beside them, and what each role's control plane costs.
//!
//! A hollow gateway is the program's own control plane (`asterreel-control`) over real sockets without a request path,
//! many in one process. Nothing here speaks the protocol itself.

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
pub use schedule::{play, Event, Measured, Pace};

//! Attempts at servers, from the router's dispatch to the outcome, and the connections that they use.
//!
//! `cancellation`, `write_gate` and `round_trip` are used by `pool`, which opens a connection with a round trip for the
//! startup message, and by `attempt`, which sends a statement over a connection of the pool. `outcome` maps the end of
//! an attempt to what it proves about what ran.

pub(crate) mod attempt;
pub(crate) mod cancellation;
pub(crate) mod outcome;
pub(crate) mod pool;
pub(crate) mod round_trip;
pub(crate) mod write_gate;

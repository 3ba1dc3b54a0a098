//! From a dispatch decision to its outcome: connections to servers, and attempts over them.
//!
//! `cancellation` and `round_trip` stand below both `pool`, which opens connections by a round trip of its own, and
//! `attempt`, which uses them; `outcome` says what an attempt's end proves.

pub(crate) mod attempt;
pub(crate) mod cancellation;
pub(crate) mod outcome;
pub(crate) mod pool;
pub(crate) mod round_trip;

//! From a dispatch decision to its outcome: connections to databases, and attempts over them.

pub(crate) mod attempt;
pub(crate) mod pool;

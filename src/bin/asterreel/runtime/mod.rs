//! What connections are built on: sockets with a read buffer each, coroutines and their turns, locks, timers and the memory budget.

pub(crate) mod buffer;
pub(crate) mod coroutine;
pub(crate) mod memory;
pub(crate) mod net;
pub(crate) mod sync;
pub(crate) mod timer;
pub(crate) mod turns;

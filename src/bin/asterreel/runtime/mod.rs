//! What all connections run on: sockets with one buffer each, coroutines, and timers.

pub(crate) mod buffer;
pub(crate) mod coroutine;
pub(crate) mod net;
pub(crate) mod sync;
pub(crate) mod timer;

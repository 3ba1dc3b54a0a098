//! What connections are built on: sockets with a read buffer each, coroutines, locks and timers.

pub(crate) mod buffer;
pub(crate) mod coroutine;
pub(crate) mod net;
pub(crate) mod sync;
pub(crate) mod timer;

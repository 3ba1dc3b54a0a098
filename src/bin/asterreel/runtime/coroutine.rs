//! Coroutines and the size of their stacks.

use std::io;

/// Stack of a coroutine in machine words (128 KiB), many times what the deepest call chain uses. An overflow kills the
/// process, and only pages that are touched take memory. With an odd number may reports how much of a stack was used.
pub(crate) const STACK_WORDS: usize = 0x4000;

/// Stack of the coroutine that decodes JSON, in machine words (1 MiB). A document nested as deeply as the decoder allows
/// needs more than 128 KiB.
pub(crate) const JSON_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine. `go!` contains an unsafe block: it is undefined behaviour if a coroutine overflows its stack, or
/// uses a reference to a thread-local across a yield. No coroutine of this program keeps a thread-local or a tracing
/// span across a wait.
pub(crate) fn spawn(work: impl FnOnce() + Send + 'static) {
    may::go!(work);
}

/// Starts a coroutine with a stack of this size in machine words.
///
/// # Errors
///
/// A stack that can't be allocated.
pub(crate) fn spawn_with_stack(
    stack_words: usize,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    may::go!(may::coroutine::Builder::new().stack_size(stack_words), work).map(drop)
}

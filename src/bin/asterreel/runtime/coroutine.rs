//! Coroutines and the size of their stacks.

use std::io;

/// Stack of a coroutine in machine words (128 KiB), many times what the deepest uses. An overflow kills the process, and
/// only what is touched takes memory. An odd number makes may report how much was used.
pub(crate) const STACK_WORDS: usize = 0x4000;

/// Stack of the coroutine that decodes JSON in machine words (1 MiB): a document nested as deeply as the decoder allows
/// needs more than 128 KiB.
pub(crate) const JSON_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine. `go!` hides an unsafe block: a coroutine that overflows its stack, or keeps a thread-local across
/// a yield, is undefined behaviour. No coroutine here keeps a thread-local or a tracing span across a wait.
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

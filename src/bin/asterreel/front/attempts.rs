//! The attempts of one request that are in flight.

use crate::request::cancellation::CancellationToken;
use asterreel::interface::{AttemptNo, MemberId, Micros};
use std::sync::Arc;

/// An attempt that has not ended.
pub(super) struct Attempt {
    /// When the attempt was started; its latency counts from here.
    pub started_at: Micros,
    /// The member that it is sent to.
    pub member: MemberId,
    /// Cancels the attempt.
    pub token: Arc<CancellationToken>,
}

/// The attempts of a request, indexed by number; `None` for one that has ended or was never started.
#[derive(Default)]
pub(super) struct Attempts(Vec<Option<Attempt>>);

impl Attempts {
    /// Whether any attempt is in flight.
    pub(super) fn any_in_flight(&self) -> bool {
        self.0.iter().any(Option::is_some)
    }

    /// Adds an attempt that starts now, and returns its number.
    pub(super) fn start(&mut self, attempt: Attempt) -> AttemptNo {
        self.push(Some(attempt))
    }

    /// Returns the number of an attempt that was dispatched and will not be started. The router counts it too.
    pub(super) fn skip(&mut self) -> AttemptNo {
        self.push(None)
    }

    fn push(&mut self, attempt: Option<Attempt>) -> AttemptNo {
        self.0.push(attempt);
        AttemptNo(self.0.len() as u32 - 1)
    }

    /// Cancels an attempt, unless it has ended or was never started.
    pub(super) fn cancel(&self, number: AttemptNo) {
        if let Some(Some(attempt)) = self.0.get(number.0 as usize) {
            attempt.token.cancel();
        }
    }

    /// Removes an attempt that has ended; `None` if it was removed before.
    pub(super) fn finish(&mut self, number: AttemptNo) -> Option<Attempt> {
        self.0.get_mut(number.0 as usize)?.take()
    }
}

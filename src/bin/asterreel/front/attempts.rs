//! The attempts of one request that are in flight.

use crate::request::cancellation::CancellationToken;
use asterreel::interface::{AttemptNo, MemberId, Micros};
use std::sync::Arc;

/// An attempt in flight.
pub(super) struct Attempt {
    /// When the router's command to dispatch it was carried out.
    pub started_at: Micros,
    /// The member it goes to.
    pub member: MemberId,
    /// Cancels it.
    pub token: Arc<CancellationToken>,
}

/// The attempts of a request by number; those that have ended or were never started leave nothing but their number.
#[derive(Default)]
pub(super) struct Attempts(Vec<Option<Attempt>>);

impl Attempts {
    /// Whether any attempt has not ended.
    pub(super) fn any_in_flight(&self) -> bool {
        self.0.iter().any(Option::is_some)
    }

    /// Takes in an attempt that starts now, and numbers it.
    pub(super) fn start(&mut self, attempt: Attempt) -> AttemptNo {
        self.push(Some(attempt))
    }

    /// Uses up the number of an attempt that was dispatched and will not be started.
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

    /// Removes an attempt that has ended.
    pub(super) fn finish(&mut self, number: AttemptNo) -> Option<Attempt> {
        self.0.get_mut(number.0 as usize)?.take()
    }
}

//! The former names of [`crate::discovery::CallBackoff`], for callers that still use them.

pub use crate::discovery::CallBackoff as Calls;
pub use crate::discovery::WATCH_SILENCE_TIMEOUT_US as SILENCE;

use crate::interface::{Micros, WatchLoss};

impl Calls {
    /// See [`Calls::initial_delay`].
    pub fn begin(&self, rng: &mut fastrand::Rng) -> Micros {
        self.initial_delay(rng)
    }

    /// See [`Calls::update_received`].
    pub fn answered(&mut self) {
        self.update_received();
    }

    /// See [`Calls::next_retry_delay`].
    pub fn again(&mut self, loss: WatchLoss, rng: &mut fastrand::Rng) -> Micros {
        self.next_retry_delay(loss, rng)
    }
}

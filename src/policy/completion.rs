//! Final answers, and the end of requests.
//!
//! A request gets one final answer at most from here: a rejection where a retry by the client is harmless, a failure
//! elsewhere. It is removed once it has its answer and no attempt is in flight.

use super::requests::Request;
use super::Router;
use crate::interface::{Action, AttemptNo, Micros, RequestId};

/// Mean latencies that an attempt is expected to take, when its latest dispatch is decided on.
const EXPECTED_LATENCY_SHARE: f64 = 0.5;
/// Batches of events that an attempt takes at least.
const MIN_EXPECTED_BATCHES: Micros = 2;

impl Router {
    /// The latest dispatch of a request that still makes sense.
    pub(super) fn latest_dispatch(&self, request: &Request) -> Micros {
        let class = request.class();
        let expected = (self.classes.mean_latency(class) * EXPECTED_LATENCY_SHARE) as Micros;
        let least = MIN_EXPECTED_BATCHES * self.settings.batch_period;
        request.latest_dispatch(&self.settings.classes[class], expected.max(least))
    }

    /// Gives the final answer of a request that is not served.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.answered || request.streaming {
            return;
        }
        let answer = if request.is_retry_harmless() {
            Action::Reject {
                request: id,
                retry_after: self.retry_after(request),
            }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
        self.complete(id);
    }

    /// When a rejected client should retry: sooner where a primary is known.
    fn retry_after(&self, request: &Request) -> Option<Micros> {
        let group = self.topology.group(request.arrival.group)?;
        let longest = self.settings.max_retry_after;
        let wait = if group.known_primary.is_some() {
            (self.classes.mean_latency(request.class()) as Micros).min(longest)
        } else {
            longest / 2
        };
        self.settings.retry_after.granted().then_some(wait)
    }

    /// Nothing is owed for a request any more: cancels its attempts in flight, where that is allowed.
    pub(super) fn complete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.answered = true;
        request.queued = false;
        if self.settings.cancel.granted() && !request.streaming {
            let in_flight =
                (0..request.attempts.len()).filter(|number| request.is_attempt_in_flight(*number));
            self.actions
                .extend(in_flight.map(|number| Action::CancelAttempt {
                    request: id,
                    attempt: AttemptNo(number as u32),
                }));
        }
        self.remove_if_done(id);
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub(super) fn remove_if_done(&mut self, id: RequestId) {
        let is_done = self
            .requests
            .get(&id)
            .is_some_and(|request| request.answered && !request.has_attempt_in_flight());
        if is_done {
            self.requests.remove(&id);
        }
    }

    /// The answer of a request is being streamed: its attempt belongs to the client now.
    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }
}

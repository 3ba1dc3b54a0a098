//! Final answers, and the end of requests.
//!
//! This module gives a request at most one final answer: a rejection if a retry by the client is harmless, otherwise a
//! failure. The request is removed once it has its answer and no attempt
//! is in flight.

use super::requests::Request;
use super::Router;
use crate::interface::{Action, AttemptNo, Micros, RequestId};

/// The share of its class's mean latency that an attempt is expected to take when its latest dispatch is computed.
const EXPECTED_LATENCY_SHARE: f64 = 0.5;
/// The least latency expected of an attempt, in batch periods.
const MIN_EXPECTED_BATCHES: Micros = 2;

impl Router {
    /// The latest time at which it is useful, and allowed by its earlier attempts, to dispatch a request.
    pub(super) fn latest_dispatch(&self, request: &Request) -> Micros {
        let class = request.class();
        let expected = (self.classes.mean_latency(class) * EXPECTED_LATENCY_SHARE) as Micros;
        let least = MIN_EXPECTED_BATCHES * self.settings.batch_period;
        request
            .latest_dispatch(&self.settings.classes[class], expected.max(least))
            .min(request.repeatable_until(None))
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

    /// How long a rejected client should wait before a retry, microseconds: less if the primary is known.
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

    /// Marks a request as answered and cancels its attempts in flight, if that is allowed and none is being streamed.
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

    /// Marks a request whose answer is being streamed: from now on it is neither retried nor cancelled.
    pub(super) fn on_stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }
}

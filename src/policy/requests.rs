//! Open requests: their attempts, and until when it is useful to dispatch them.
//!
//! All deadlines here are pure functions of a request and its class. None is later than the client's own deadline.

use crate::interface::{Arrival, Class, ConsistencyLevel, Idempotency, MemberId, Micros};

/// The least late weight that makes a read worth its capacity after its objective has passed.
const MIN_LATE_WEIGHT: f64 = 0.5;

/// A request without its final answer, or with an attempt in flight.
pub(crate) struct Request {
    pub arrival: Arrival,
    pub consistency: ConsistencyLevel,
    pub idempotency: Idempotency,
    pub received_at: Micros,
    /// Drawn uniformly from 0 to 1: decides whether the request is within a fraction of arrivals.
    pub sampling_point: f64,
    /// The log position that a session read must see.
    pub required_position: Micros,
    pub attempts: Vec<Attempt>,
    /// The client has its final answer.
    pub answered: bool,
    /// An answer is being streamed to the client.
    pub streaming: bool,
    pub queued: bool,
    /// Consecutive attempts that were never sent.
    pub consecutive_unsent: u32,
    /// The request is not dispatched before this time (retry backoff).
    pub backoff_until: Micros,
}

/// One dispatch of a request.
pub(crate) struct Attempt {
    pub member: MemberId,
    pub dispatched_at: Micros,
    /// The member was the known primary of its group at the dispatch.
    pub to_known_primary: bool,
    pub in_flight: bool,
    pub may_have_run: bool,
    /// When its first byte was permitted to be written; `None` before, and where the caller does not ask.
    pub sent_at: Option<Micros>,
}

impl Request {
    /// A request that has just arrived.
    pub(super) fn new(
        arrival: Arrival,
        consistency: ConsistencyLevel,
        idempotency: Idempotency,
        required_position: Micros,
        received_at: Micros,
        sampling_point: f64,
    ) -> Request {
        Request {
            arrival,
            consistency,
            idempotency,
            received_at,
            sampling_point,
            required_position,
            attempts: Vec::new(),
            answered: false,
            streaming: false,
            queued: false,
            consecutive_unsent: 0,
            backoff_until: 0,
        }
    }

    /// Whether replicas may serve it.
    pub(super) fn may_use_replica(&self) -> bool {
        !self.consistency.needs_primary()
    }

    /// The index of its class; [`super::admission`] rejects a request whose class is not in the settings.
    pub(super) fn class(&self) -> usize {
        self.arrival.class.0
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    pub(super) fn is_attempt_in_flight(&self, number: usize) -> bool {
        self.attempts
            .get(number)
            .is_some_and(|attempt| attempt.in_flight)
    }

    /// Whether an attempt went to this member.
    pub(super) fn was_dispatched_to(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|attempt| attempt.member == member)
    }

    /// The first attempt, other than the one with number `own`, that may have had an effect.
    pub(super) fn first_may_have_run(&self, own: Option<usize>) -> Option<&Attempt> {
        let mut attempts = self.attempts.iter().enumerate();
        attempts
            .find(|(number, attempt)| Some(*number) != own && attempt.may_have_run)
            .map(|(_, attempt)| attempt)
    }

    /// The time until which its attempts, other than the one with number `own`, allow another send.
    pub(super) fn repeatable_until(&self, own: Option<usize>) -> Micros {
        match (self.first_may_have_run(own), self.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Micros::MAX,
            (Some(_), Idempotency::NonIdempotent) => 0,
            (Some(first), Idempotency::IdempotencyKey { window, .. }) => first
                .sent_at
                .unwrap_or(first.dispatched_at)
                .saturating_add(window),
        }
    }

    /// Adds an attempt; until it ends it may have run.
    pub(super) fn record_dispatch(
        &mut self,
        member: MemberId,
        dispatched_at: Micros,
        to_known_primary: bool,
    ) {
        self.queued = false;
        self.attempts.push(Attempt {
            member,
            dispatched_at,
            to_known_primary,
            in_flight: true,
            may_have_run: true,
            sent_at: None,
        });
    }

    /// Whether the client may send it again without harm, however much later it does. An idempotency key makes a repeat
    /// harmless for a time only, and the client's repeat may come after that.
    pub(super) fn is_retry_harmless(&self) -> bool {
        self.idempotency == Idempotency::Idempotent || self.first_may_have_run(None).is_none()
    }

    /// The time until which an answer has its full weight.
    fn objective_deadline(&self, class: &Class) -> Micros {
        let extension = self.arrival.estimate.unwrap_or(0) as f64 * class.objective_work_factor;
        let objective = class.latency_objective.saturating_add(extension as Micros);
        self.received_at
            .saturating_add(objective)
            .min(self.arrival.due)
    }

    /// The time until which an answer has any weight; an attempt times out then.
    pub(super) fn useful_until(&self, class: &Class) -> Micros {
        if class.late_weight > 0.0 {
            self.arrival.due
        } else {
            self.objective_deadline(class)
        }
    }

    /// The latest dispatch whose answer still has enough weight if it takes `expected_latency`.
    pub(super) fn latest_dispatch(&self, class: &Class, expected_latency: Micros) -> Micros {
        let keeps_weight =
            self.consistency == ConsistencyLevel::Write || class.late_weight >= MIN_LATE_WEIGHT;
        let end = if keeps_weight {
            self.useful_until(class)
        } else if self.attempts.is_empty() {
            // A read without any attempt is rejected after half of its time: waiting longer would cost the client that
            // time for nothing.
            self.objective_deadline(class)
                .min(self.halfway_to_deadline() + expected_latency)
        } else {
            self.objective_deadline(class)
        };
        end.saturating_sub(expected_latency)
    }

    fn halfway_to_deadline(&self) -> Micros {
        let available = self.arrival.due.saturating_sub(self.received_at);
        self.received_at.saturating_add(available / 2)
    }
}

#[cfg(test)]
mod tests;

//! Attempts that ended, and retries.
//!
//! A retry is dispatched only if the outcomes of earlier attempts allow it, while there is time, up to the maximum of
//! attempts, and from a retry budget, unless the previous attempt cost next to nothing. A request that may have run
//! and must not run twice is never retried.

use super::member_health::HEALTH_CHECK_INTERVAL;
use super::queues::DRAIN_INTERVAL;
use super::requests::Request;
use super::role_arbitration::RoleSource;
use super::Router;
use crate::interface::{
    Action, AnswerStatus, AttemptEnded, ConsistencyLevel, GroupId, MemberId, Micros, Outcome,
    SessionId,
};

/// Retries that each arrival adds to the budget: a tenth can't sustain a retry storm.
const BUDGET_PER_ARRIVAL: f64 = 0.1;
/// The most retries the budget holds.
const MAX_BUDGET: f64 = 20.0;
/// Consecutive attempts that were never sent after which a request backs off: while this machine briefly lacks
/// descriptors, ports or routes, the request would otherwise use up all its attempts.
const UNSENT_BEFORE_BACKOFF: u32 = 2;
/// The most doublings of that backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// An error within a class's mean latency divided by this cost next to nothing.
const QUICK_ERROR_DIVISOR: f64 = 4.0;
/// How long a replica that rejected a read as too stale is assumed to be stale, microseconds.
const STALE_FOR: Micros = HEALTH_CHECK_INTERVAL;

/// The number of retries that may still be made, to which each arrival adds.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            retries: MAX_BUDGET,
        }
    }
}

impl RetryBudget {
    /// Adds [`BUDGET_PER_ARRIVAL`].
    pub(super) fn deposit(&mut self) {
        self.retries = (self.retries + BUDGET_PER_ARRIVAL).min(MAX_BUDGET);
    }

    /// Takes the cost of a retry from the budget. Returns whether the budget covered it.
    fn try_spend(&mut self, cost: f64) -> bool {
        let has_cost = self.retries >= cost;
        if has_cost {
            self.retries -= cost;
        }
        has_cost
    }
}

/// An attempt that ended, with the properties of its request.
struct EndedAttempt {
    member: MemberId,
    dispatched_at: Micros,
    class: usize,
    consistency: ConsistencyLevel,
    group: GroupId,
    session: Option<SessionId>,
}

impl Router {
    /// Handles the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, ended: &AttemptEnded) {
        let Some(attempt) = self.end_attempt(ended) else {
            return;
        };
        let EndedAttempt {
            member,
            dispatched_at,
            ..
        } = attempt;
        self.observe_report(
            member,
            ended.load_report,
            dispatched_at,
            RoleSource::LoadReport,
        );
        self.observe_outcome(member, attempt.class, ended);
        let source = RoleSource::of_answer(attempt.consistency, ended.outcome);
        self.observe_report(member, ended.answer_report, dispatched_at, source);
        self.observe_replication(&attempt, ended);
        self.record_commit(&attempt, ended);
        self.continue_request(ended);
        self.drain_queues(attempt.group);
        self.drop_if_removed(member);
    }

    /// Marks an attempt as ended. Returns `None` if no such attempt is in flight.
    fn end_attempt(&mut self, ended: &AttemptEnded) -> Option<EndedAttempt> {
        let number = ended.attempt.0 as usize;
        let request = self.requests.get_mut(&ended.request)?;
        if !request.is_attempt_in_flight(number) {
            return None;
        }
        let attempt = &mut request.attempts[number];
        attempt.in_flight = false;
        attempt.may_have_run = !ended.outcome.proves_no_effect();
        let (member, dispatched_at) = (attempt.member, attempt.dispatched_at);
        update_backoff(request, ended.outcome, self.now);
        Some(EndedAttempt {
            member,
            dispatched_at,
            class: request.class(),
            consistency: request.consistency,
            group: request.arrival.group,
            session: request.arrival.session,
        })
    }

    /// Records from the end of a read how far its replica is behind.
    fn observe_replication(&mut self, attempt: &EndedAttempt, ended: &AttemptEnded) {
        let group = self.topology.group(attempt.group);
        let is_replica = group.is_some_and(|group| group.known_primary != Some(attempt.member));
        let stale_until = self.now.saturating_add(STALE_FOR);
        let Some(member) = self.topology.member_mut(attempt.member) else {
            return;
        };
        let is_eventual = attempt.consistency == ConsistencyLevel::Eventual;
        if is_replica && is_eventual && ended.outcome == Outcome::Served {
            let lag = member.replication_lag();
            self.replication_delay
                .record(attempt.class, lag, ended.latency);
        }
        let is_write = attempt.consistency == ConsistencyLevel::Write;
        if ended.outcome == Outcome::Misrouted && !is_write {
            member.stale_until = stale_until;
        }
    }

    /// Remembers the commit of a session's write, where any class has session reads.
    fn record_commit(&mut self, attempt: &EndedAttempt, ended: &AttemptEnded) {
        let levels = &self.settings.consistency_levels;
        let is_committed = ended.outcome == Outcome::Served
            && attempt.consistency == ConsistencyLevel::Write
            && levels.contains(&ConsistencyLevel::Session);
        if !is_committed {
            return;
        }
        if let (Some(session), Some(commit)) = (attempt.session, ended.answer_report.position) {
            self.sessions.record(session, commit);
        }
    }

    fn continue_request(&mut self, ended: &AttemptEnded) {
        let id = ended.request;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if ended.outcome == Outcome::Served || ended.answer == AnswerStatus::Finished {
            self.complete(id);
        } else if request.answered {
            self.remove_if_done(id);
        } else if !request.has_attempt_in_flight() {
            self.retry(ended);
        }
    }

    /// Dispatches or queues another attempt, or gives the final answer.
    fn retry(&mut self, ended: &AttemptEnded) {
        let id = ended.request;
        if ended.outcome == Outcome::InvalidRequest {
            self.actions.push(Action::Fail(id));
            return self.complete(id);
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let cost = self.retry_cost(request, ended);
        if !self.may_retry(request) || !self.retry_budget.try_spend(cost) {
            return self.reject_or_fail(id);
        }
        if !self.try_dispatch(id) {
            self.enqueue(id);
        }
    }

    fn may_retry(&self, request: &Request) -> bool {
        let has_attempts_left = request.attempts.len() < self.settings.max_attempts as usize;
        has_attempts_left && !request.streaming && self.now < self.latest_dispatch(request)
    }

    /// What a retry takes from the budget: nothing after an attempt that cost next to nothing.
    fn retry_cost(&self, request: &Request, ended: &AttemptEnded) -> f64 {
        let mean_latency = self.classes.mean_latency(request.class());
        let is_quick_error = ended.outcome == Outcome::Error
            && (ended.latency as f64) < mean_latency / QUICK_ERROR_DIVISOR;
        if is_quick_error || ended.outcome.proves_no_effect() {
            0.0
        } else {
            1.0
        }
    }
}

/// Counts consecutive attempts that were never sent, and makes the request back off after some of them.
fn update_backoff(request: &mut Request, outcome: Outcome, now: Micros) {
    if outcome != Outcome::NotSent {
        request.consecutive_unsent = 0;
        return;
    }
    request.consecutive_unsent += 1;
    if let Some(doublings) = request
        .consecutive_unsent
        .checked_sub(UNSENT_BEFORE_BACKOFF)
    {
        let backoff = DRAIN_INTERVAL << doublings.min(MAX_BACKOFF_DOUBLINGS);
        request.backoff_until = now.saturating_add(backoff);
    }
}

#[cfg(test)]
mod tests;

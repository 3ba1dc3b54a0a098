//! Member health: scheduled health checks, consecutive failures, half-open trials and outlier ejection.
//!
//! Decides from health checks and from how attempts ended whether a member is in use. A health check alone never
//! clears a member that left requests unanswered, and no time-out or failed check counts against a member at the
//! moment when a stall of this process is detected.

use super::estimates::update_mean;
use super::member::{Member, FAILURE_THRESHOLD};
use super::role_arbitration::RoleSource;
use super::timers::Timer;
use super::Router;
use crate::interface::{
    Action, AttemptEnded, MemberId, MemberReport, MemberTransition, Micros, Outcome,
};

/// Time between health checks, or half-open trials, of a member in a small fleet, microseconds.
pub(super) const HEALTH_CHECK_INTERVAL: Micros = 1_000_000;
/// The share of errors among all attempts from which errors are no longer attributed to single members.
const GENERAL_ERROR_SHARE: f64 = 0.3;
/// How long a gateway of a large fleet sends no reads to a member that let one time out, microseconds: it gets so few
/// answers from each member that the next would arrive too late to rely on.
const EJECTION_TIME: Micros = 3_000_000;

/// The running share of attempts, at all members, that end with an error.
#[derive(Default)]
pub(crate) struct ErrorRate(f64);

impl ErrorRate {
    fn record(&mut self, outcome: Outcome) {
        let sample = f64::from(u8::from(outcome == Outcome::Error));
        update_mean(&mut self.0, sample);
    }

    /// Whether errors are so frequent at all members that failing members for them would leave none in use.
    fn is_general(&self) -> bool {
        self.0 >= GENERAL_ERROR_SHARE
    }
}

impl Router {
    /// Checks a member's health, unless a check is in flight or forbidden.
    pub(super) fn check_health(&mut self, id: MemberId) {
        let drain_signal = self.settings.drain_signal;
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        let is_allowed = self.settings.probes.granted();
        if !is_allowed || member.check_in_flight || member.must_drain(drain_signal) {
            return;
        }
        member.check_in_flight = true;
        member.checked_at = self.now;
        self.actions.push(Action::CheckHealth(id));
    }

    /// Runs the scheduled health check. Gateways of a large fleet check failed members only: the state of the others
    /// is known well enough from answers, and from polls when a position is needed.
    pub(super) fn run_scheduled_check(&mut self, id: MemberId) {
        let interval = self.fleet.scale_interval(HEALTH_CHECK_INTERVAL);
        let Some(member) = self.topology.member(id) else {
            return;
        };
        if !self.fleet.is_large() || member.has_failed() {
            self.check_health(id);
        }
        let jitter = self.rng.u64(0..interval / 5);
        self.schedule(interval - interval / 10 + jitter, Timer::CheckHealth(id));
    }

    /// Handles the result of a health check.
    pub(super) fn on_health_checked(
        &mut self,
        id: MemberId,
        outcome: Outcome,
        report: MemberReport,
    ) {
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        let served = outcome == Outcome::Served;
        member.check_in_flight = false;
        member.failed_checks = if served { 0 } else { member.failed_checks + 1 };
        let (group, requested_at) = (member.group, member.checked_at);
        if served {
            member.verified = true;
            // A good check shows that the process runs, but not that it answers requests.
            if !member.unresponsive {
                member.consecutive_failures = 0;
            }
            self.observe_report(id, report, requested_at, RoleSource::LoadReport);
        } else if outcome != Outcome::Rejected && !self.watchdog.is_stalled(self.now) {
            // A check rejected for too many connections shows that the process runs.
            self.record_failure(id);
        }
        self.drain_queues(group);
    }

    /// Counts a failure; at the threshold the member is failed and no longer the known primary.
    fn record_failure(&mut self, id: MemberId) {
        let next_trial_at = self.next_trial_at();
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        member.next_trial_at = next_trial_at;
        member.consecutive_failures = member.consecutive_failures.saturating_add(1);
        if member.consecutive_failures == FAILURE_THRESHOLD {
            self.actions.push(Action::ReportTransition {
                member: id,
                transition: MemberTransition::Failed,
            });
            self.demote(id);
        }
    }

    /// When the next half-open trial is due of a member that has a dispatch or a failure now.
    pub(super) fn next_trial_at(&self) -> Micros {
        self.now
            .saturating_add(self.fleet.scale_interval(HEALTH_CHECK_INTERVAL))
    }

    /// Updates a member's health, latency and load by how an attempt ended.
    pub(super) fn observe_outcome(&mut self, id: MemberId, class: usize, ended: &AttemptEnded) {
        let now = self.now;
        let objective = self.settings.classes[class].latency_objective.max(1);
        let latency_ratio = ended.latency as f64 / objective as f64;
        self.observe_load(id, ended.outcome, latency_ratio);
        self.error_rate.record(ended.outcome);
        let is_timing_valid = !self.watchdog.is_stalled(now);
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        match ended.outcome {
            Outcome::Served => {
                member.record_answer(now);
                if is_timing_valid {
                    self.learn_from_answer(id, class, ended.latency, latency_ratio);
                }
            }
            Outcome::Misrouted => member.record_answer(now),
            Outcome::Rejected => {
                member.unanswered_since = now;
                self.record_failure(id);
            }
            Outcome::Error => {
                member.unanswered_since = now;
                if !self.error_rate.is_general() {
                    self.record_failure(id);
                }
            }
            Outcome::TimedOut | Outcome::Cancelled if is_timing_valid => {
                self.observe_missing_answer(id, class, ended, latency_ratio);
            }
            // The member answered and the request was invalid: not a failure, as one client may send hundreds of
            // those.
            Outcome::InvalidRequest => member.unanswered_since = now,
            Outcome::ConnectFailed | Outcome::Reset => self.record_failure(id),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn learn_from_answer(
        &mut self,
        id: MemberId,
        class: usize,
        latency: Micros,
        latency_ratio: f64,
    ) {
        let now = self.now;
        self.classes.record(class, latency);
        let work = self.classes.relative_work(class);
        if let Some((member, group)) = self.topology.member_and_group_mut(id) {
            member.latency.record(latency);
            member.limit.record(latency_ratio, member.in_flight, now);
            group.throughput.record(now, work);
        }
    }

    /// Handles an attempt that ended without an answer, by a time-out or a cancellation.
    fn observe_missing_answer(
        &mut self,
        id: MemberId,
        class: usize,
        ended: &AttemptEnded,
        latency_ratio: f64,
    ) {
        let now = self.now;
        let is_large_fleet = self.fleet.is_large();
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        let timed_out = ended.outcome == Outcome::TimedOut;
        if timed_out && is_large_fleet {
            member.ejected_until = now.saturating_add(EJECTION_TIME);
        }
        // A time-out counts as late, however short the wait was.
        let ratio = if timed_out {
            latency_ratio.max(1.0)
        } else {
            latency_ratio
        };
        member.limit.record(ratio, member.in_flight, now);
        // A member that answered other requests during the wait is loaded rather than faulty.
        let answered_none = now.saturating_sub(ended.latency) >= member.unanswered_since;
        if answered_none && ended.latency as f64 >= member.latency.tail() {
            // Such a long wait without any answer counts as two failures, which alone do not fail a member.
            member.unresponsive = true;
            member.consecutive_failures = member
                .consecutive_failures
                .saturating_add(1)
                .min(FAILURE_THRESHOLD - 1);
            self.record_failure(id);
        } else {
            // If only answers were recorded, the estimates would show the latencies of quick requests alone.
            member.latency.record(ended.latency);
            self.classes.record(class, ended.latency);
        }
    }

    /// Whether a member may get requests: neither failed nor silent nor draining.
    pub(super) fn is_healthy(&self, member: &Member) -> bool {
        !member.has_failed()
            && !member.is_silent(self.now)
            && !member.must_drain(self.settings.drain_signal)
    }

    /// Whether a failed or silent member is due a half-open trial by a request: health checks are forbidden, or could
    /// not show that it answers requests again.
    pub(super) fn is_trial_due(&self, member: &Member) -> bool {
        let silent = member.is_silent(self.now);
        let by_request = member.unresponsive || silent || !self.settings.probes.granted();
        (member.has_failed() || silent) && by_request && member.next_trial_at <= self.now
    }
}

//! Member health: scheduled health checks, consecutive failures, half-open trials and outlier ejection.
//!
//! Decides from health checks and from how attempts ended whether a member is in use. A health check alone never
//! clears a member that left requests unanswered, and nothing counts against a member in the moment after this
//! process was stalled.

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
/// Share of errors among all attempts from which they are no longer attributed to single members.
const GENERAL_ERROR_SHARE: f64 = 0.3;
/// How long a gateway of a large fleet sends no reads to a member that let one time out, microseconds: it has so few
/// answers of each member that the next would come too late.
const EJECTION_TIME: Micros = 3_000_000;

/// The running share of attempts, at all members, that end with an error.
#[derive(Default)]
pub(crate) struct ErrorRate(f64);

impl ErrorRate {
    fn record(&mut self, outcome: Outcome) {
        let sample = f64::from(u8::from(outcome == Outcome::Error));
        update_mean(&mut self.0, sample);
    }

    /// Whether errors come from everywhere: to fail members for them would end all service.
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

    /// The scheduled health check. Gateways of a large fleet check failed members only: answers, and polls when they
    /// need a position, tell enough of the others.
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

    /// Takes in the result of a health check.
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
            // A check shows that the process runs; it does not excuse unanswered requests.
            if !member.unresponsive {
                member.consecutive_failures = 0;
            }
            self.observe_report(id, report, requested_at, RoleSource::LoadReport);
        } else if outcome != Outcome::Rejected && !self.watchdog.is_stalled(self.now) {
            // A check rejected for too many others shows that the process runs.
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

    /// When a member that was dispatched to or has failed now is next due a half-open trial.
    pub(super) fn next_trial_at(&self) -> Micros {
        self.now
            .saturating_add(self.fleet.scale_interval(HEALTH_CHECK_INTERVAL))
    }

    /// Takes in what an attempt's outcome says of the member's health, speed and load.
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
            // It answered, and the request was at fault: one client may send hundreds of those.
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

    /// An attempt ended without an answer, by a time-out or a cancellation.
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
        // A time-out is past the objective, however short the wait was.
        let ratio = if timed_out {
            latency_ratio.max(1.0)
        } else {
            latency_ratio
        };
        member.limit.record(ratio, member.in_flight, now);
        // A wait during which the member answered others shows load rather than a fault.
        let answered_none = now.saturating_sub(ended.latency) >= member.unanswered_since;
        if answered_none && ended.latency as f64 >= member.latency.tail() {
            // So long a silence weighs as much as two quick errors, but it alone fails no member.
            member.unresponsive = true;
            member.consecutive_failures = member
                .consecutive_failures
                .saturating_add(1)
                .min(FAILURE_THRESHOLD - 1);
            self.record_failure(id);
        } else {
            // Answers alone would teach only the latencies of the quick ones.
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

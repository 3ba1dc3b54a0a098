//! Endpoint updates: which members are in use.
//!
//! Adds members, restarts their slow start when their process is new, and stops using those that drain or are removed.
//! A member is dropped only once it is removed and has no attempt in flight. Endpoint updates never dispatch a
//! request.

use super::estimates::LatencyEstimate;
use super::member::Member;
use super::member_health::HEALTH_CHECK_INTERVAL;
use super::slow_start::TokenBucket;
use super::timers::Timer;
use super::Router;
use crate::interface::{
    Action, DiscoveryMode, Endpoint, EndpointState, MemberId, Micros, Role, UpdateKind, WatchLoss,
};
use std::collections::BTreeSet;

impl Router {
    /// Applies an endpoint update.
    pub(super) fn on_endpoints_updated(&mut self, kind: UpdateKind, endpoints: &[Endpoint]) {
        self.schedule_first_watch(kind);
        if kind != UpdateKind::Delta {
            self.remove_unlisted(endpoints);
        }
        for endpoint in endpoints {
            match endpoint.state {
                EndpointState::Ready => self.add_or_refresh(endpoint),
                state => self.stop_using(endpoint.member, state),
            }
        }
    }

    /// Schedules the first call to discovery. A cached snapshot arrives at the start, before any watch is open; every
    /// other update shows that a watch is open.
    fn schedule_first_watch(&mut self, kind: UpdateKind) {
        let starts_watch =
            kind == UpdateKind::CachedSnapshot && self.settings.discovery == DiscoveryMode::Watch;
        if !starts_watch {
            self.discovery.update_received();
            return;
        }
        match self.discovery.initial_delay(&mut self.rng) {
            0 => self.actions.push(Action::Watch),
            wait => self.schedule(wait, Timer::CallDiscovery),
        }
    }

    /// Handles a failed call to discovery or a lost watch: schedules the next call after a backoff.
    pub(super) fn on_watch_lost(&mut self, loss: WatchLoss) {
        let wait = self.discovery.next_retry_delay(loss, &mut self.rng);
        self.schedule(wait, Timer::CallDiscovery);
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<MemberId> = endpoints.iter().map(|entry| entry.member).collect();
        let unlisted: Vec<MemberId> = self
            .topology
            .members()
            .map(|member| member.id)
            .filter(|id| !listed.contains(id))
            .collect();
        for id in unlisted {
            self.stop_using(id, EndpointState::Removed);
        }
    }

    fn add_or_refresh(&mut self, endpoint: &Endpoint) {
        let id = endpoint.member;
        let is_new = !self.topology.contains(id);
        if is_new {
            self.add_member(endpoint);
        }
        let initial_tokens = self.rng.f64();
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        member.state = EndpointState::Ready;
        member.drain_seen = false;
        if is_new || member.started_at < endpoint.started {
            self.on_process_started(id, endpoint.started, initial_tokens);
        }
        if let Some(member) = self.topology.member_mut(id) {
            member.listed_primary = endpoint.role == Role::Primary;
        }
    }

    fn add_member(&mut self, endpoint: &Endpoint) {
        let classes = self.settings.classes.iter();
        let longest_objective = classes
            .map(|class| class.latency_objective)
            .max()
            .unwrap_or(HEALTH_CHECK_INTERVAL);
        let latency = LatencyEstimate::from_objective(longest_objective);
        let member = Member::new(endpoint, latency, self.now);
        self.topology.insert(member, self.classes.count());
        let interval = self.fleet.scale_interval(HEALTH_CHECK_INTERVAL);
        let first_check = self.rng.u64(0..interval);
        self.schedule(first_check, Timer::CheckHealth(endpoint.member));
    }

    /// Resets a member whose process is new: it is warming up, has no failures, and its role is not known.
    fn on_process_started(&mut self, id: MemberId, started_at: Micros, initial_tokens: f64) {
        let has_no_checks = !self.settings.probes.granted();
        if let Some(member) = self.topology.member_mut(id) {
            member.started_at = started_at;
            member.slow_start_tokens = TokenBucket::new(initial_tokens, self.now);
            member.consecutive_failures = 0;
            member.unresponsive = false;
            member.verified = has_no_checks;
        }
        self.demote(id);
        // All gateways are notified of a new process at the same time. Those of a large fleet check it only when they
        // need a report, so that their checks do not all reach it at once.
        if !self.fleet.is_large() {
            self.check_health(id);
        }
    }

    fn stop_using(&mut self, id: MemberId, state: EndpointState) {
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        member.state = state;
        member.drain_seen |= state == EndpointState::Draining;
        if !member.must_drain(self.settings.drain_signal) {
            return;
        }
        self.demote(id);
        self.drop_if_removed(id);
    }

    /// Drops a member that is removed and has no attempt in flight.
    pub(super) fn drop_if_removed(&mut self, id: MemberId) {
        let drain_signal = self.settings.drain_signal;
        let is_unused = self.topology.member(id).is_some_and(|member| {
            member.state == EndpointState::Removed
                && member.in_flight == 0
                && member.must_drain(drain_signal)
        });
        if is_unused {
            self.topology.remove(id);
        }
    }
}

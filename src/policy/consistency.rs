//! Consistency: which replicas are known to have what a read must see.
//!
//! Where members don't check reads themselves, no read goes to a replica whose reported position does not satisfy its
//! consistency level; before such a bounded read spills to the primary, a replica may be polled for its position.

use super::member::Member;
use super::member_health::HEALTH_CHECK_INTERVAL;
use super::requests::Request;
use super::Router;
use crate::interface::{ConsistencyLevel, MemberId, Micros, ReplicaChecks, RequestId};

/// How long a reported lag is assumed to hold, microseconds: two check intervals, so that one check may be lost.
const LAG_VALID_FOR: Micros = 2 * HEALTH_CHECK_INTERVAL;
/// How long a bounded read waits for a polled position, microseconds: a connection and a round trip, twice.
const MAX_POLL_WAIT: Micros = 60_000;
/// How long a poll may be unanswered before another replica is polled, microseconds.
const POLL_TIMEOUT: Micros = 25_000;
/// A position is polled again after the staleness bound divided by this.
const POLL_BOUND_DIVISOR: Micros = 2;
/// A position is polled again no sooner than after the replica's lag divided by this.
const POLL_LAG_DIVISOR: Micros = 4;
/// The most doublings of the poll interval for a member that does not answer.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 6;

impl Router {
    /// Whether a replica is known or assumed to have applied what a read must see. `without_primary` says that its
    /// group has no healthy primary: then only a known position counts.
    pub(super) fn is_in_sync(
        &self,
        request: &Request,
        member: &Member,
        without_primary: bool,
    ) -> bool {
        if member.ejected_until > self.now {
            return false;
        }
        let required = match request.consistency {
            ConsistencyLevel::Eventual => return true,
            ConsistencyLevel::BoundedStaleness => self
                .now
                .saturating_sub(self.settings.staleness_bounds[request.class()]),
            ConsistencyLevel::Session => request.required_position,
            ConsistencyLevel::Strong | ConsistencyLevel::Write => return false,
        };
        let is_known = required == 0 || member.applied_position >= required;
        if is_known || self.settings.replica_checks == ReplicaChecks::None {
            return is_known;
        }
        if !self.settings.positions.granted() {
            return member.stale_until < self.now;
        }
        // Members check reads themselves here. A reported lag is assumed to hold for `LAG_VALID_FOR`, or for as long
        // as the replica needs to catch up. After that it is unknown, and the read is sent: a rejection costs little
        // and shows whether the replica still lags.
        let age = self.now.saturating_sub(member.position_reported_at);
        let lag_holds = age < LAG_VALID_FOR.max(member.replication_lag());
        !without_primary && (!lag_holds || member.applied_position.saturating_add(age) >= required)
    }

    fn is_bounded_without_checks(&self, request: &Request) -> bool {
        request.consistency == ConsistencyLevel::BoundedStaleness
            && self.settings.replica_checks == ReplicaChecks::None
    }

    /// Polls a replica for its position, where a queued read needs one.
    pub(super) fn poll_position(&mut self, id: RequestId) {
        let polled = self
            .requests
            .get(&id)
            .and_then(|request| self.replica_to_poll(request));
        if let Some(member) = polled {
            self.check_health(member);
        }
    }

    /// The replica to poll, or that is being polled, before a bounded read spills to the primary. With little traffic
    /// every reported position is too old by the time of the next read; without polls all such reads would spill.
    pub(super) fn replica_to_poll(&self, request: &Request) -> Option<MemberId> {
        let group = self.topology.group(request.arrival.group)?;
        let may_wait = self.now < request.received_at.saturating_add(MAX_POLL_WAIT);
        let may_poll = self.settings.probes.granted();
        if !self.is_bounded_without_checks(request) || !may_wait || !may_poll {
            return None;
        }
        let mut candidates: Vec<&Member> = self
            .healthy_replicas(group)
            .filter(|member| self.may_dispatch(request, member))
            .filter(|member| member.ejected_until <= self.now)
            .filter(|member| self.is_position_outdated(request, member))
            .collect();
        let polled = candidates
            .iter()
            .find(|member| member.check_in_flight && member.checked_at + POLL_TIMEOUT > self.now);
        if let Some(polled) = polled {
            return Some(polled.id);
        }
        candidates.retain(|member| !member.check_in_flight);
        // Skips the replica on which long reads concentrate, which has the lowest hash, if there is another.
        candidates.sort_by_key(|member| member.tie_break_hash);
        let skipped = usize::from(candidates.len() > 1);
        self.less_loaded_of_two(&candidates[skipped..])
    }

    fn is_position_outdated(&self, request: &Request, member: &Member) -> bool {
        let half_bound = self.settings.staleness_bounds[request.class()] / POLL_BOUND_DIVISOR;
        let lag_part = member.replication_lag() / POLL_LAG_DIVISOR;
        let doublings = member.failed_checks.min(MAX_POLL_BACKOFF_DOUBLINGS);
        let interval = half_bound.max(lag_part) << doublings;
        let last_at = member.position_reported_at.max(member.checked_at);
        member.check_in_flight || self.now.saturating_sub(last_at) >= interval
    }
}

//! Consistency: which replicas are known to have what a read must see.
//!
//! Where members don't check reads themselves, no read goes to a replica whose reported position does not satisfy its
//! consistency level; before such a bounded read spills to the primary, a replica may be polled for its position.

use super::member::Member;
use super::member_health::HEALTH_CHECK_INTERVAL;
use super::requests::Request;
use super::Router;
use crate::interface::{ConsistencyLevel, MemberId, Micros, ReplicaChecks, RequestId};

/// How long a reported lag is taken to hold, microseconds: two health checks, so that one may be lost.
const LAG_VALID_FOR: Micros = 2 * HEALTH_CHECK_INTERVAL;
/// How long a bounded read waits for a polled position, microseconds: a connection and a round trip, twice.
const POLL_PATIENCE: Micros = 60_000;
/// How long a poll may be unanswered before another replica is polled, microseconds.
const POLL_TIMEOUT: Micros = 25_000;
/// Part of the staleness bound, and of the lag, after which a position is polled again.
const POLL_BOUND_DIVISOR: Micros = 2;
const POLL_LAG_DIVISOR: Micros = 4;
/// Most doublings of that interval for a member that does not answer.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 6;
/// Time that writing a request into a socket may take, microseconds: a bound counts from its last byte.
const SOCKET_WRITE_MARGIN: Micros = 2_000;

impl Router {
    /// Whether a replica is known, or may be taken, to have applied what a read must see. `without_primary` says that
    /// its group has no healthy primary: then only a position that is known counts.
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
        // Where members check reads, a reported lag is taken to hold for a while, or as long as making it up would
        // take; then it is unknown, and a rejection, which costs little, will tell.
        let age = self.now.saturating_sub(member.position_reported_at);
        let lag_holds = age < LAG_VALID_FOR.max(member.replication_lag());
        !without_primary && (!lag_holds || member.applied_position.saturating_add(age) >= required)
    }

    /// Whether an attempt decided on earlier may be written now: opening its connection took time, in which data ages
    /// and drains are notified. A caller that writes at once need not ask.
    pub fn may_send(&self, now: Micros, id: RequestId, to: MemberId) -> bool {
        let Some((request, member)) = self.requests.get(&id).zip(self.topology.member(to)) else {
            return false;
        };
        !request.answered
            && !member.must_drain(self.settings.drain_signal)
            && self.is_fresh_enough(now, request, member)
    }

    fn is_fresh_enough(&self, now: Micros, request: &Request, member: &Member) -> bool {
        if !self.is_bounded_without_checks(request) {
            return true;
        }
        let bound = self.settings.staleness_bounds[request.class()];
        let oldest = now.saturating_sub(bound.saturating_sub(SOCKET_WRITE_MARGIN));
        let group = self.topology.group(member.group);
        let is_primary = group.is_some_and(|group| group.known_primary == Some(member.id));
        is_primary || member.applied_position >= oldest
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
    /// each reported position is old when the next read comes, and all of them would spill.
    pub(super) fn replica_to_poll(&self, request: &Request) -> Option<MemberId> {
        let group = self.topology.group(request.arrival.group)?;
        let is_patient = self.now < request.received_at.saturating_add(POLL_PATIENCE);
        let may_poll = self.settings.probes.granted();
        if !self.is_bounded_without_checks(request) || !is_patient || !may_poll {
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
        // Not where long reads concentrate, as long as there is another.
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

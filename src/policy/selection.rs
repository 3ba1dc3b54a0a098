//! Member selection: which member gets a request now, if any.
//!
//! Writes and strong reads go to the known primary. Other reads go to the less loaded of two random replicas in sync,
//! and spill to the primary where there is none and it has spare capacity. Long reads with eventual consistency, which
//! delay replication, concentrate on few replicas. A read never goes to the same member twice.

use super::estimates::update_mean;
use super::limits::HIGH_PRESSURE;
use super::load_shedding::LOADED_PRESSURE;
use super::member::Member;
use super::requests::Request;
use super::topology::Group;
use super::Router;
use crate::interface::{ConsistencyLevel, Idempotency, MemberId, Micros, ReplicaChecks};
use std::cmp::Reverse;

/// Replication lag from which a replica is far behind, microseconds: many times the time that log shipping takes.
const FAR_BEHIND: Micros = 100_000;
/// The work of a long read, as a multiple of that of the lightest class.
pub(super) const LONG_READ_WORK: f64 = 2.0;
/// A class delays replication if at least this share of its reads left their replica far behind.
const DELAYING_SHARE: f64 = 0.5;
/// Share of the primary's concurrency limit that is open to reads that spill.
const SPILL_LIMIT_SHARE: f64 = 0.5;
/// In a large fleet, at most the reads that this many members of the group get on average may spill.
const SPILL_MEMBERS: f64 = 2.0;
/// In a large fleet, at most the reads that this many members get on average may spill without waiting for a poll.
const UNPOLLED_SPILL_MEMBERS: f64 = 1.5;
/// The least slow-start fraction by which loads are divided when they are compared.
const MIN_COMPARED_FRACTION: f64 = 0.01;

/// For each class, the running share of reads with eventual consistency that left their replica far behind.
pub(crate) struct ReplicationDelay {
    far_behind_shares: Vec<f64>,
}

impl ReplicationDelay {
    /// All classes are assumed to delay replication until their answers show otherwise.
    pub(super) fn new(classes: usize) -> ReplicationDelay {
        ReplicationDelay {
            far_behind_shares: vec![1.0; classes],
        }
    }

    /// Records the lag of a replica after it served a read, and the latency of the read, both in microseconds.
    pub(super) fn record(&mut self, class: usize, lag: Micros, latency: Micros) {
        let is_far_behind = lag >= FAR_BEHIND.max(latency / 2);
        let sample = f64::from(u8::from(is_far_behind));
        update_mean(&mut self.far_behind_shares[class], sample);
    }

    fn is_attributed_to(&self, class: usize) -> bool {
        self.far_behind_shares[class] >= DELAYING_SHARE
    }
}

impl Router {
    /// The member that a request is to be dispatched to now, if any.
    pub(super) fn select_member(&self, request: &Request) -> Option<MemberId> {
        let group = self.topology.group(request.arrival.group)?;
        if !request.may_use_replica() {
            return self.primary_with_capacity(request, group, 1.0);
        }
        if let Some(trial) = self.half_open_trial(request, group) {
            return Some(trial);
        }
        let is_large_fleet = self.fleet.is_large();
        let is_primary_quick = group.primary_load.pressure < LOADED_PRESSURE;
        let spill = |is_permitted: bool| {
            is_permitted
                .then(|| self.primary_to_spill_to(request, group))
                .flatten()
        };
        let mut in_sync = self.replicas_in_sync(request, group);
        if in_sync.is_empty() && self.replica_to_poll(request).is_some() {
            // The primary has capacity for its share of the reads, which need not wait for a poll.
            let is_within_share =
                group.is_within_share_of(UNPOLLED_SPILL_MEMBERS, request.sampling_point);
            return spill(is_primary_quick && is_large_fleet && is_within_share);
        }
        if in_sync.is_empty() || !self.is_admitted(request, false) {
            return spill(in_sync.is_empty() || is_primary_quick);
        }
        let is_eventual = request.consistency == ConsistencyLevel::Eventual;
        if !(is_eventual && is_large_fleet) {
            let any_verified = in_sync.iter().any(|member| member.verified);
            in_sync.retain(|member| member.verified == any_verified);
        }
        if is_eventual {
            return self.select_eventual(request.class(), &in_sync);
        }
        in_sync.retain(|member| self.has_capacity(member, 1.0));
        if in_sync.is_empty() && request.consistency == ConsistencyLevel::BoundedStaleness {
            return spill(is_primary_quick);
        }
        self.less_loaded_of_two(&in_sync)
    }

    /// The known primary, if it is healthy, may take the request and is within a share of its concurrency limit.
    fn primary_with_capacity(
        &self,
        request: &Request,
        group: &Group,
        limit_share: f64,
    ) -> Option<MemberId> {
        self.healthy_primary(group)
            .filter(|member| self.may_dispatch(request, member))
            .filter(|member| self.has_capacity(member, limit_share))
            .map(|member| member.id)
    }

    /// The known primary, if it may take a read that replicas should serve.
    fn primary_to_spill_to(&self, request: &Request, group: &Group) -> Option<MemberId> {
        let primary = self.healthy_primary(group)?;
        let is_within_share = !self.fleet.is_large()
            || group.is_within_share_of(SPILL_MEMBERS, request.sampling_point);
        if self.is_warming_up(primary) || !is_within_share || !self.is_admitted(request, true) {
            return None;
        }
        self.primary_with_capacity(request, group, SPILL_LIMIT_SHARE)
    }

    /// Members of a group that a read has not been dispatched to yet and may be.
    fn untried_members<'a>(
        &'a self,
        request: &'a Request,
        group: &'a Group,
    ) -> impl Iterator<Item = &'a Member> {
        self.topology.members_of(group).filter(|member| {
            !request.was_dispatched_to(member.id) && self.may_dispatch(request, member)
        })
    }

    /// A member that is due a half-open trial, if this read may serve as one: another member could still answer it.
    fn half_open_trial(&self, request: &Request, group: &Group) -> Option<MemberId> {
        let is_first =
            request.idempotency == Idempotency::Idempotent && request.attempts.is_empty();
        let is_checked = self.settings.replica_checks == ReplicaChecks::RejectStale;
        self.untried_members(request, group)
            .filter(|member| is_first && (is_checked || self.is_in_sync(request, member, true)))
            .find(|member| self.is_trial_due(member))
            .map(|member| member.id)
    }

    /// The healthy replicas that have what a read must see.
    fn replicas_in_sync<'a>(&'a self, request: &'a Request, group: &'a Group) -> Vec<&'a Member> {
        let without_primary = self.healthy_primary(group).is_none();
        self.untried_members(request, group)
            .filter(|member| Some(member.id) != group.known_primary && self.is_healthy(member))
            .filter(|member| self.is_in_sync(request, member, without_primary))
            .collect()
    }

    /// Whether a member's attempts in flight are below a share of its concurrency limit.
    fn has_capacity(&self, member: &Member, limit_share: f64) -> bool {
        let limit = member.limit.max_in_flight * limit_share * self.slow_start_fraction(member);
        f64::from(member.in_flight) < limit.max(1.0)
    }

    /// Whether reads of a class delay replication: long ones, until their answers show otherwise.
    fn delays_replication(&self, class: usize) -> bool {
        let is_long = self.classes.mean_latency(class) >= FAR_BEHIND as f64
            && self.classes.relative_work(class) >= LONG_READ_WORK;
        is_long && self.replication_delay.is_attributed_to(class)
    }

    /// Selects a replica for a read with eventual consistency. Reads that delay replication concentrate, so that the
    /// other replicas stay in sync.
    fn select_eventual(&self, class: usize, replicas: &[&Member]) -> Option<MemberId> {
        if !self.delays_replication(class) {
            return self.spread(replicas);
        }
        if self.fleet.is_large() {
            return self.concentrate_by_hash(replicas);
        }
        self.concentrate_by_lag(replicas)
    }

    fn spread(&self, replicas: &[&Member]) -> Option<MemberId> {
        let mut available = replicas.to_vec();
        available.retain(|member| self.has_capacity(member, 1.0));
        self.less_loaded_of_two(&available)
    }

    /// Gateways that get few answers from a group can't observe where the others concentrate reads, so the hash of the
    /// members' names decides.
    fn concentrate_by_hash(&self, replicas: &[&Member]) -> Option<MemberId> {
        let mut ordered = replicas.to_vec();
        ordered.sort_by_key(|member| {
            (
                self.is_warming_up(member),
                member.listed_primary,
                member.tie_break_hash,
            )
        });
        ordered
            .into_iter()
            .find(|member| self.has_capacity(member, 1.0))
            .map(|member| member.id)
    }

    /// Concentrates on the replicas furthest behind, half of them at most. A replica whose answers are late gets no more
    /// reads while any are in flight there. An idle one gets another, as only an answer can show that the pressure has
    /// eased.
    fn concentrate_by_lag(&self, replicas: &[&Member]) -> Option<MemberId> {
        let mut ordered = replicas.to_vec();
        ordered.sort_by_key(|member| {
            let lag = member.replication_lag();
            (self.is_warming_up(member), Reverse(lag))
        });
        let furthest = ordered.first()?;
        if furthest.replication_lag() <= FAR_BEHIND || self.is_warming_up(furthest) {
            return self.spread(replicas);
        }
        ordered.truncate((replicas.len() / 2).max(1));
        ordered
            .into_iter()
            .filter(|member| member.in_flight == 0 || member.limit.pressure <= HIGH_PRESSURE)
            .find(|member| self.has_capacity(member, 1.0))
            .map(|member| member.id)
    }

    /// The less loaded of two random members, by this gateway's attempts in flight; of equals the one in its zone.
    pub(super) fn less_loaded_of_two(&self, members: &[&Member]) -> Option<MemberId> {
        members.first()?;
        // Draws from a copy: the generator itself advances in `dispatch`, so that a selection without a dispatch
        // leaves it unchanged.
        let mut rng = self.rng.clone();
        let first = rng.usize(0..members.len());
        let offset = rng.usize(0..members.len().max(2) - 1) + 1;
        let (one, other) = (members[first], members[(first + offset) % members.len()]);
        let rank = |member: &Member| {
            let fraction = self.slow_start_fraction(member).max(MIN_COMPARED_FRACTION);
            let load = f64::from(member.in_flight + 1) / fraction;
            (load, member.zone != self.settings.zone)
        };
        let less_loaded = if rank(other) < rank(one) { other } else { one };
        Some(less_loaded.id)
    }
}

//! Admission: whether a request that arrives is dispatched, queued or rejected.
//!
//! A request that load shedding does not admit is rejected at once, unless a member has spare capacity. Writes are
//! never shed. Reads of the least value for their work are shed first.

use super::load_shedding::AnswerConditions;
use super::requests::Request;
use super::topology::Group;
use super::Router;
use crate::interface::{
    Action, Arrival, ConsistencyLevel, MemberId, Micros, Outcome, SessionTokens,
};

/// With fewer attempts in flight per member of a group, a large fleet sheds load; with more, concurrency limits act.
const LOW_TRAFFIC_PER_MEMBER: f64 = 2.0;

impl Router {
    /// Handles a request from a client.
    pub(super) fn on_request_arrived(&mut self, arrival: Arrival) {
        let (id, class) = (arrival.request, arrival.class.0);
        let Some(is_queue_empty) = self.validate_arrival(&arrival) else {
            self.actions.push(Action::Reject {
                request: id,
                retry_after: None,
            });
            return;
        };
        self.retry_budget.deposit();
        let consistency = self.settings.consistency_levels[class];
        let request = Request::new(
            arrival,
            consistency,
            self.settings.classes[class].idempotency,
            self.required_position(&arrival),
            self.now,
            self.rng.f64(),
        );
        let is_admitted = self.is_admitted(&request, consistency == ConsistencyLevel::Strong);
        self.requests.insert(id, request);
        // A request that is not admitted bypasses the queue if a member has spare capacity.
        if (is_queue_empty || !is_admitted) && self.try_dispatch(id) {
            return;
        }
        if is_admitted {
            self.enqueue(id);
        } else {
            self.reject_or_fail(id);
        }
    }

    /// Returns whether the queue of an arrival's class is empty, or `None` if the arrival can't be handled: its class
    /// or group is unknown, the group has no members, or its identifier is in use.
    fn validate_arrival(&self, arrival: &Arrival) -> Option<bool> {
        let class = arrival.class.0;
        let group = self.topology.group(arrival.group)?;
        let is_valid = class < self.settings.classes.len()
            && !group.members.is_empty()
            && !self.requests.contains_key(&arrival.request);
        is_valid.then(|| group.queues[class].is_empty())
    }

    /// The log position that a session read must see.
    fn required_position(&self, arrival: &Arrival) -> Micros {
        match (self.settings.session_tokens, arrival.since_write) {
            (SessionTokens::FromClient, Some(since_write)) => self.now.saturating_sub(since_write),
            (SessionTokens::FromClient, None) => 0,
            (SessionTokens::Remembered, _) => self.sessions.required_position(arrival.session),
        }
    }

    /// Whether a request is within the admitted fraction, at the known primary of its group or at the replicas.
    pub(super) fn is_admitted(&self, request: &Request, at_primary: bool) -> bool {
        let Some(group) = self.topology.group(request.arrival.group) else {
            return true;
        };
        let load = if at_primary {
            &group.primary_load
        } else {
            &group.replica_load
        };
        let admits_all = request.consistency == ConsistencyLevel::Write
            || load.fraction >= 1.0
            || !self.has_low_traffic(group);
        if admits_all {
            return true;
        }
        let value = self.classes.value(request.class()).max(f64::MIN_POSITIVE);
        let relative_cost = self.highest_read_value() / value;
        request.sampling_point < load.fraction.powf(relative_cost)
    }

    /// The highest value of any class of reads.
    fn highest_read_value(&self) -> f64 {
        let levels = self.settings.consistency_levels.iter().enumerate();
        levels
            .filter(|(_, consistency)| **consistency != ConsistencyLevel::Write)
            .map(|(class, _)| self.classes.value(class))
            .fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Whether so few attempts are in flight at each member that concurrency limits can't act.
    fn has_low_traffic(&self, group: &Group) -> bool {
        let per_member = self.fleet.scale_factor().min(LOW_TRAFFIC_PER_MEMBER);
        f64::from(group.in_flight) < per_member * group.members.len() as f64
    }

    /// Updates the admitted fraction by how an attempt ended. The known primary has one of its own, all replicas share
    /// one: a gateway with low traffic gets too few answers from each single replica.
    pub(super) fn observe_load(&mut self, id: MemberId, outcome: Outcome, latency_ratio: f64) {
        let Some(group) = self
            .topology
            .member(id)
            .and_then(|member| self.topology.group(member.group))
        else {
            return;
        };
        let conditions = AnswerConditions {
            is_timing_valid: !self.watchdog.is_stalled(self.now),
            has_low_traffic: self.has_low_traffic(group),
        };
        let Some((_, group)) = self.topology.member_and_group_mut(id) else {
            return;
        };
        group.in_flight = group.in_flight.saturating_sub(1);
        let load = if group.known_primary == Some(id) {
            &mut group.primary_load
        } else {
            &mut group.replica_load
        };
        load.record(outcome, latency_ratio, conditions);
    }
}

//! The rules on a send, judged in one place: when a member is selected, and again whenever bytes are about to be written.
//!
//! Between its dispatch and the write of its last byte an attempt waits for a connection, for that connection's startup,
//! and for room in the socket's buffer. Meanwhile the client may leave, the deadline or the window of repeats may pass,
//! the member may drain or lose its role, and a replica's data ages. Invariant: no byte of an attempt is written at a
//! time at which these rules forbid the send. What an attempt costs (slow start, concurrency limits, the retry budget)
//! is decided by [`super::dispatch`] alone.

use super::member::Member;
use super::requests::{Attempt, Request};
use super::Router;
use crate::interface::{
    AttemptNo, ConsistencyLevel, DeduplicationScope, Idempotency, Micros, ReplicaChecks, RequestId,
    SendRefusal,
};

/// Time reserved for writing a request to its socket, microseconds: the staleness bound counts from the last byte.
const SOCKET_WRITE_MARGIN: Micros = 2_000;

impl Router {
    /// Whether bytes of an attempt may be written now. To be asked before each write, as every wait before it may have
    /// been long. The first permission counts as the time of the attempt's send.
    ///
    /// # Errors
    ///
    /// The rule that forbids the send. A statement of which no last byte was written has not run.
    pub fn permit_send(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: AttemptNo,
    ) -> Result<(), SendRefusal> {
        let number = attempt.0 as usize;
        self.check_send(now, id, number)?;
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts[number].sent_at.get_or_insert(now);
        }
        Ok(())
    }

    fn check_send(&self, now: Micros, id: RequestId, number: usize) -> Result<(), SendRefusal> {
        let request = self.requests.get(&id).ok_or(SendRefusal::RequestEnded)?;
        if request.answered || !request.is_attempt_in_flight(number) {
            return Err(SendRefusal::RequestEnded);
        }
        if now >= request.useful_until(&self.settings.classes[request.class()]) {
            return Err(SendRefusal::DeadlinePassed);
        }
        let attempt = &request.attempts[number];
        let member = self
            .topology
            .member(attempt.member)
            .ok_or(SendRefusal::MemberDraining)?;
        self.check_drain_and_repeat(now, request, member, Some(number))?;
        if !self.is_role_current(request, attempt, member) {
            return Err(SendRefusal::NotPrimary);
        }
        if !self.has_required_data(now, request, member) {
            return Err(SendRefusal::StaleData);
        }
        Ok(())
    }

    /// The rules on drains and repeats, for the attempt with number `own`, or for one that is not dispatched yet.
    pub(super) fn check_drain_and_repeat(
        &self,
        now: Micros,
        request: &Request,
        member: &Member,
        own: Option<usize>,
    ) -> Result<(), SendRefusal> {
        if member.must_drain(self.settings.drain_signal) {
            return Err(SendRefusal::MemberDraining);
        }
        if now >= request.repeatable_until(own) || !self.shares_deduplication(request, member, own)
        {
            return Err(SendRefusal::RepeatForbidden);
        }
        Ok(())
    }

    /// Whether a member recognizes a request as a repeat of the first attempt that may have run, if there is one.
    fn shares_deduplication(&self, request: &Request, member: &Member, own: Option<usize>) -> bool {
        let (Some(first), Idempotency::IdempotencyKey { scope, .. }) =
            (request.first_may_have_run(own), request.idempotency)
        else {
            return true;
        };
        let first_zone = self.topology.member(first.member).map(|first| first.zone);
        scope != DeduplicationScope::Zone || Some(member.zone) == first_zone
    }

    /// Whether a request that needs the primary may still go to a member. Without a known primary, one that was the known
    /// primary at the dispatch may still be it until a report says otherwise, and a search is for members of any role.
    fn is_role_current(&self, request: &Request, attempt: &Attempt, member: &Member) -> bool {
        if request.may_use_replica() {
            return true;
        }
        let group = self.topology.group(member.group);
        match group.and_then(|group| group.known_primary) {
            Some(primary) => primary == member.id,
            None => {
                !attempt.to_known_primary || member.reported_replica_at <= attempt.dispatched_at
            }
        }
    }

    /// Whether a member that does not check reads itself has the data that a read must see.
    fn has_required_data(&self, now: Micros, request: &Request, member: &Member) -> bool {
        if self.settings.replica_checks == ReplicaChecks::RejectStale {
            return true;
        }
        let required = match request.consistency {
            ConsistencyLevel::BoundedStaleness => {
                let bound = self.settings.staleness_bounds[request.class()];
                now.saturating_sub(bound.saturating_sub(SOCKET_WRITE_MARGIN))
            }
            ConsistencyLevel::Session => request.required_position,
            ConsistencyLevel::Eventual | ConsistencyLevel::Strong | ConsistencyLevel::Write => 0,
        };
        required == 0
            || member.applied_position >= required
            || self.topology.is_known_primary(member.id)
    }
}

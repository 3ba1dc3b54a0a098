//! The known primary of each group.
//!
//! Promotes and demotes members by their latest role report, and finds the primary by dispatching requests that a
//! replica rejects without running them. A group has at most one known primary, which is never a draining member.
//! Which report counts as the latest is decided by [`super::role_arbitration`].

use super::member::Member;
use super::requests::Request;
use super::role_arbitration::RoleSource;
use super::topology::Group;
use super::Router;
use crate::interface::{
    Action, ConsistencyLevel, GroupId, MemberId, MemberReport, MemberTransition, Micros,
    ReplicaChecks, RequestId, Role,
};

/// The most attempts in flight that a promoted primary starts with, so that queued writes do not overload it.
const PROMOTED_LIMIT: f64 = 4.0;
/// The least time between two searches for a group's primary, microseconds.
const SEARCH_INTERVAL: Micros = super::queues::DRAIN_INTERVAL;
/// Attempts that a search for the primary leaves a request for use once it is found.
const RESERVED_ATTEMPTS: u32 = 3;

impl Router {
    /// Applies a member's report that was requested at `requested_at`.
    pub(super) fn observe_report(
        &mut self,
        id: MemberId,
        report: MemberReport,
        requested_at: Micros,
        source: RoleSource,
    ) {
        let now = self.now;
        let Some(member) = self.topology.member_mut(id) else {
            return;
        };
        if let Some(position) = report
            .position
            .filter(|position| *position >= member.applied_position)
        {
            member.applied_position = position;
            member.position_reported_at = now;
            member.stale_until = 0;
        }
        match member.roles.observe(report.role, requested_at, source, now) {
            Some(Role::Primary) => self.promote(id),
            Some(Role::Replica) => {
                member.reported_replica_at = now;
                self.demote(id);
            }
            None => {}
        }
    }

    fn promote(&mut self, id: MemberId) {
        let drain_signal = self.settings.drain_signal;
        let Some((member, group)) = self.topology.member_and_group_mut(id) else {
            return;
        };
        if member.must_drain(drain_signal) || group.known_primary == Some(id) {
            return;
        }
        group.known_primary = Some(id);
        member.limit.lower_to(PROMOTED_LIMIT);
        self.actions.push(Action::ReportTransition {
            member: id,
            transition: MemberTransition::Promoted,
        });
    }

    /// Records that a member is not, or no longer, the primary.
    pub(super) fn demote(&mut self, id: MemberId) {
        let now = self.now;
        let Some((member, group)) = self.topology.member_and_group_mut(id) else {
            return;
        };
        member.listed_primary = false;
        member.ruled_out_at = now;
        if group.known_primary == Some(id) {
            group.known_primary = None;
            self.actions.push(Action::ReportTransition {
                member: id,
                transition: MemberTransition::Demoted,
            });
        }
    }

    /// The known primary of a group, if it is healthy.
    pub(super) fn healthy_primary(&self, group: &Group) -> Option<&Member> {
        group
            .known_primary
            .and_then(|id| self.topology.member(id))
            .filter(|member| self.is_healthy(member))
    }

    /// The healthy members of a group that are not its known primary.
    pub(super) fn healthy_replicas<'a>(
        &'a self,
        group: &'a Group,
    ) -> impl Iterator<Item = &'a Member> {
        self.topology
            .members_of(group)
            .filter(|member| Some(member.id) != group.known_primary && self.is_healthy(member))
    }

    /// With no healthy primary, dispatches one queued request at a time to find it: to the member listed as primary
    /// first, then to the one that was ruled out longest ago.
    pub(super) fn find_primary(&mut self, id: GroupId) {
        let Some((candidate, request)) = self.next_search(id) else {
            return;
        };
        let now = self.now;
        if let Some((member, group)) = self.topology.member_and_group_mut(candidate) {
            group.primary_searched_at = now;
            member.ruled_out_at = now;
            member.listed_primary = false;
        }
        self.dispatch(request, candidate);
    }

    fn next_search(&self, id: GroupId) -> Option<(MemberId, RequestId)> {
        let group = self.topology.group(id)?;
        let next_search_at = group.primary_searched_at.saturating_add(SEARCH_INTERVAL);
        if self.healthy_primary(group).is_some() || self.now < next_search_at {
            return None;
        }
        let candidate = self
            .healthy_replicas(group)
            .min_by_key(|member| (!member.listed_primary, member.ruled_out_at))?;
        let mut queued = group.queues.iter().flatten().copied();
        let request = queued.find(|id| {
            self.requests
                .get(id)
                .is_some_and(|request| self.may_search_with(request, candidate))
        })?;
        Some((candidate.id, request))
    }

    /// Whether a replica would reject this request without running it, and attempts are left for the primary.
    fn may_search_with(&self, request: &Request, member: &Member) -> bool {
        let max_attempts = self.settings.max_attempts;
        let search_attempts = max_attempts.saturating_sub(RESERVED_ATTEMPTS).max(1) as usize;
        request.queued
            && request.attempts.len() < search_attempts
            && (request.consistency == ConsistencyLevel::Write
                || self.settings.replica_checks == ReplicaChecks::RejectStale)
            && self.may_dispatch(request, member)
    }
}

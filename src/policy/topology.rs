//! The members and groups that a router knows.
//!
//! Every member's group exists, and lists the member; groups are never removed.

use super::estimates::ThroughputEstimate;
use super::load_shedding::AdmittedFraction;
use super::member::Member;
use crate::interface::{GroupId, MemberId, Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// One primary and its replicas, and the requests that wait for them.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<MemberId>,
    pub known_primary: Option<MemberId>,
    pub throughput: ThroughputEstimate,
    /// When a request was last dispatched to find the primary.
    pub primary_searched_at: Micros,
    /// Attempts of this gateway in flight at its members.
    pub in_flight: u32,
    pub replica_load: AdmittedFraction,
    pub primary_load: AdmittedFraction,
    /// Queued requests, by class.
    pub queues: Vec<VecDeque<RequestId>>,
    /// A timer to drain the queues is set.
    pub drain_scheduled: bool,
}

impl Group {
    /// The mean work per microsecond that one member does for this gateway.
    pub(super) fn throughput_per_member(&self, now: Micros) -> f64 {
        self.throughput.rate(now) / self.members.len().max(1) as f64
    }

    /// Whether a sampling point falls within the share of reads that this many members of the group would get.
    pub(super) fn is_within_share_of(&self, members: f64, sampling_point: f64) -> bool {
        sampling_point < members / self.members.len() as f64
    }
}

/// Members and groups by their identifiers.
#[derive(Default)]
pub(crate) struct Topology {
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
}

impl Topology {
    /// Adds a member to its group, which has a queue for each class.
    pub(super) fn insert(&mut self, member: Member, classes: usize) {
        let group = self.groups.entry(member.group).or_default();
        group.queues.resize(classes, VecDeque::new());
        group.members.push(member.id);
        self.members.insert(member.id, member);
    }

    /// Removes a member, also from its group.
    pub(super) fn remove(&mut self, id: MemberId) {
        let Some(member) = self.members.remove(&id) else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&member.group) {
            group.members.retain(|other| *other != id);
        }
    }

    pub(super) fn contains(&self, id: MemberId) -> bool {
        self.members.contains_key(&id)
    }

    pub(super) fn member(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub(super) fn member_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    pub(super) fn group(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    pub(super) fn group_mut(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.get_mut(&id)
    }

    /// Whether a member is the known primary of its group.
    pub(super) fn is_known_primary(&self, id: MemberId) -> bool {
        self.member(id)
            .and_then(|member| self.group(member.group))
            .is_some_and(|group| group.known_primary == Some(id))
    }

    /// A member and its group.
    pub(super) fn member_and_group_mut(
        &mut self,
        id: MemberId,
    ) -> Option<(&mut Member, &mut Group)> {
        let member = self.members.get_mut(&id)?;
        let group = self.groups.get_mut(&member.group)?;
        Some((member, group))
    }

    /// All members, in the order of their identifiers.
    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(super) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut()
    }

    /// The members of a group, in the order they were listed.
    pub(super) fn members_of<'a>(
        &'a self,
        group: &'a Group,
    ) -> impl Iterator<Item = &'a Member> + Clone {
        group.members.iter().filter_map(|id| self.members.get(id))
    }
}

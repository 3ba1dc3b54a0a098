//! Mismatch tracking: statements that members rejected because they did not fit the schema there, and what follows from it
//! at this gateway.
//!
//! One wrong member must not invalidate a statement for a whole group: it takes [`MIN_MEMBERS`]. What a member that has not
//! applied the schema change answers says nothing of the others, and is never counted.

use super::StatementFingerprint;
use crate::interface::{GroupId, MemberId, Micros};
use std::collections::BTreeMap;

/// The members that must have rejected a statement before it is suspended for the group.
const MIN_MEMBERS: usize = 2;
/// How long a rejection counts, microseconds.
const REJECTION_LIFETIME_US: Micros = 30_000_000;
/// How long a statement is suspended before it is tried again, microseconds.
const SUSPENSION_US: Micros = 5_000_000;
/// The most statements that are tracked, at about 100 bytes each; the one rejected longest ago goes first.
const MAX_TRACKED: usize = 1_024;

/// What follows from an error that a member answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// Nothing: it is another error.
    None,
    /// The member has not reached the position from which the statement fits; it was sent too early.
    ReplicaBehind,
    /// The member is not to get the statement for a while; others may.
    Member,
    /// The statement is suspended for the group here, and the fleet is to agree on it.
    Group,
}

/// The error that a member answered a statement with.
#[derive(Clone, Copy, Debug)]
pub struct MemberError<'a> {
    /// The member.
    pub member: MemberId,
    /// Up to where the member has applied its group's log, where that is known.
    pub position: Option<Micros>,
    /// The position that the statement needs, if any.
    pub required_position: Option<Micros>,
    /// The error code.
    pub sqlstate: &'a [u8],
}

impl MemberError<'_> {
    /// Whether it says that the statement does not fit the schema, with no effect: a cached plan that must not change its
    /// result, a prepared statement, a column or a table that is not there (PostgreSQL, appendix A).
    fn is_mismatch(&self) -> bool {
        matches!(self.sqlstate, b"0A000" | b"26000" | b"42703" | b"42P01")
    }

    fn is_behind(&self) -> bool {
        self.required_position
            .is_some_and(|required| self.position.is_none_or(|position| position < required))
    }
}

/// The members that rejected one statement in one group.
#[derive(Clone, Debug, Default)]
struct Rejections {
    /// By member, when it rejected the statement last.
    members: BTreeMap<MemberId, Micros>,
    suspended_until: Micros,
    last_at: Micros,
}

/// The mismatches that one gateway has seen.
#[derive(Clone, Debug, Default)]
pub struct MismatchTracker {
    rejections: BTreeMap<(GroupId, StatementFingerprint), Rejections>,
}

impl MismatchTracker {
    /// A member of a group answered a statement with an error.
    pub fn observe_error(
        &mut self,
        now: Micros,
        group: GroupId,
        statement: StatementFingerprint,
        error: MemberError<'_>,
    ) -> Mismatch {
        if !error.is_mismatch() {
            return Mismatch::None;
        }
        if error.is_behind() {
            return Mismatch::ReplicaBehind;
        }
        let rejections = self.rejections.entry((group, statement)).or_default();
        let mismatch = rejections.record(now, error.member);
        self.drop_oldest();
        mismatch
    }

    /// A member served the statement: its rejections there are over.
    pub fn observe_success(
        &mut self,
        group: GroupId,
        statement: StatementFingerprint,
        member: MemberId,
    ) {
        if let Some(rejections) = self.rejections.get_mut(&(group, statement)) {
            rejections.members.remove(&member);
            if rejections.members.is_empty() {
                self.rejections.remove(&(group, statement));
            }
        }
    }

    /// Whether a member may get a statement now, as far as mismatches tell.
    pub fn allows(
        &self,
        now: Micros,
        group: GroupId,
        statement: StatementFingerprint,
        member: MemberId,
    ) -> bool {
        self.rejections
            .get(&(group, statement))
            .is_none_or(|rejections| rejections.allow(now, member))
    }

    /// A member was removed: its rejections go with it.
    pub fn remove_member(&mut self, member: MemberId) {
        for rejections in self.rejections.values_mut() {
            rejections.members.remove(&member);
        }
        self.rejections
            .retain(|_, rejections| !rejections.members.is_empty());
    }

    fn drop_oldest(&mut self) {
        while self.rejections.len() > MAX_TRACKED {
            let oldest = self
                .rejections
                .iter()
                .min_by_key(|(_, rejections)| rejections.last_at)
                .map(|(key, _)| *key);
            oldest.and_then(|key| self.rejections.remove(&key));
        }
    }
}

impl Rejections {
    fn record(&mut self, now: Micros, member: MemberId) -> Mismatch {
        self.last_at = now;
        self.members
            .retain(|_, at| now.saturating_sub(*at) < REJECTION_LIFETIME_US);
        self.members.insert(member, now);
        if self.members.len() < MIN_MEMBERS {
            return Mismatch::Member;
        }
        self.suspended_until = now.saturating_add(SUSPENSION_US);
        Mismatch::Group
    }

    fn allow(&self, now: Micros, member: MemberId) -> bool {
        let has_rejected = self
            .members
            .get(&member)
            .is_some_and(|at| now.saturating_sub(*at) < SUSPENSION_US);
        now >= self.suspended_until && !has_rejected
    }
}

#[cfg(test)]
mod tests;

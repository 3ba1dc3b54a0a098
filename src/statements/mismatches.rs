//! Mismatch tracking: statements that members rejected because they did not match the member's schema, and whether this
//! gateway still sends them.
//!
//! A single faulty member must not suspend a statement for a whole group: that takes [`MIN_MEMBERS`]. A rejection by a member
//! that has not applied the schema change says nothing about the other members and is never counted.

use super::StatementFingerprint;
use crate::interface::{GroupId, MemberId, Micros};
use std::collections::BTreeMap;

/// How many members must have rejected a statement before it is suspended for the group.
const MIN_MEMBERS: usize = 2;
/// How long a rejection counts towards [`MIN_MEMBERS`], microseconds.
const REJECTION_LIFETIME_US: Micros = 30_000_000;
/// How long a statement is suspended, for a member or the group, before it is sent again, microseconds.
const SUSPENSION_US: Micros = 5_000_000;
/// The most statements that are tracked, at about 100 bytes each; the one rejected longest ago is removed first.
const MAX_TRACKED: usize = 1_024;

/// What an error of a member means for the statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The error is not a schema mismatch.
    None,
    /// The member has not applied the position that the statement needs; the statement was sent too early.
    ReplicaBehind,
    /// The statement is suspended for this member; other members may get it.
    Member,
    /// The statement is suspended for the whole group at this gateway, and the fleet should agree on a new catalog.
    Group,
}

/// An error with which a member answered a statement.
#[derive(Clone, Copy, Debug)]
pub struct MemberError<'a> {
    /// The member that sent the error.
    pub member: MemberId,
    /// The position up to which the member has applied its group's log, if known.
    pub position: Option<Micros>,
    /// The position that the statement needs, if any.
    pub required_position: Option<Micros>,
    /// The SQLSTATE code of the error.
    pub sqlstate: &'a [u8],
}

impl MemberError<'_> {
    /// Whether the error means that the statement does not match the schema and had no effect: a cached plan whose result
    /// type has changed, or an unknown prepared statement, column or table (PostgreSQL, appendix A).
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
    /// When each member last rejected the statement.
    members: BTreeMap<MemberId, Micros>,
    suspended_until: Micros,
    last_at: Micros,
}

/// The mismatches that members have reported to one gateway.
#[derive(Clone, Debug, Default)]
pub struct MismatchTracker {
    rejections: BTreeMap<(GroupId, StatementFingerprint), Rejections>,
}

impl MismatchTracker {
    /// Records an error with which a member of a group answered a statement.
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

    /// Records that a member served a statement, which clears the member's rejection of it.
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

    /// Whether a member may get a statement now, considering only mismatches.
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

    /// Clears the rejections of a member that was removed.
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

//! What members answered that did not fit the catalog, and what follows from it at this gateway.

use super::Shape;
use crate::interface::{GroupId, MemberId, Micros};
use std::collections::BTreeMap;

/// Members of a group that must have said so, one of them twice at least a moment apart being still one, before a shape
/// is set aside for the whole group: a single wrong member must not invalidate a shape. Ours.
const MEMBERS: usize = 2;
/// How long what a member said counts, and how long a shape is set aside before it is tried again, microseconds. Ours.
const COUNTS: Micros = 30_000_000;
const ASIDE: Micros = 5_000_000;
/// Shapes of groups that are kept in mind; the one heard of longest ago goes first. Ours: about 100 bytes each.
const KEPT: usize = 1_024;

/// What follows from an answer that says that a statement does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing: it says something else.
    Nothing,
    /// The member has not reached the position from which the statement fits; it was sent too early.
    Behind,
    /// This member is not to get the shape for a while; others may.
    Member,
    /// The shape is set aside for the group here, and the fleet is to agree on it.
    Group,
}

#[derive(Clone, Debug, Default)]
struct Heard {
    /// By member, when it said so last.
    members: BTreeMap<MemberId, Micros>,
    aside_until: Micros,
    at: Micros,
}

/// One gateway's evidence.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    heard: BTreeMap<(GroupId, Shape), Heard>,
}

/// Whether an answer says that a statement does not fit the schema, with no effect: a cached plan that must not change
/// its result, a prepared statement, a column or a table that is not there (PostgreSQL, appendix A).
fn misfits(sqlstate: &[u8]) -> bool {
    matches!(sqlstate, b"0A000" | b"26000" | b"42703" | b"42P01")
}

impl Evidence {
    /// A member whose log is at `position` answered so to a statement that needs `needs`, if any.
    pub fn answered(
        &mut self,
        now: Micros,
        (group, shape): (GroupId, Shape),
        (member, position): (MemberId, Option<Micros>),
        needs: Option<Micros>,
        sqlstate: &[u8],
    ) -> Told {
        if !misfits(sqlstate) {
            return Told::Nothing;
        }
        // One that has not applied the change says what is true there, and nothing of the others.
        if needs.is_some_and(|needs| position.is_none_or(|position| position < needs)) {
            return Told::Behind;
        }
        let heard = self.heard.entry((group, shape)).or_default();
        heard.at = now;
        heard
            .members
            .retain(|_, at| now.saturating_sub(*at) < COUNTS);
        heard.members.insert(member, now);
        let told = if heard.members.len() >= MEMBERS {
            heard.aside_until = now.saturating_add(ASIDE);
            Told::Group
        } else {
            Told::Member
        };
        while self.heard.len() > KEPT {
            let oldest = self
                .heard
                .iter()
                .min_by_key(|(_, heard)| heard.at)
                .map(|(key, _)| *key);
            oldest.and_then(|key| self.heard.remove(&key));
        }
        told
    }

    /// A member served the shape: whatever was held against it there is over.
    pub fn served(&mut self, group: GroupId, shape: Shape, member: MemberId) {
        if let Some(heard) = self.heard.get_mut(&(group, shape)) {
            heard.members.remove(&member);
            if heard.members.is_empty() {
                self.heard.remove(&(group, shape));
            }
        }
    }

    /// Whether a member may get a shape now, as far as answers tell.
    pub fn allows(&self, now: Micros, group: GroupId, shape: Shape, member: MemberId) -> bool {
        self.heard.get(&(group, shape)).is_none_or(|heard| {
            let said = heard
                .members
                .get(&member)
                .is_some_and(|at| now.saturating_sub(*at) < ASIDE);
            now >= heard.aside_until && !said
        })
    }

    /// A member is gone: what it said goes with it.
    pub fn gone(&mut self, member: MemberId) {
        for heard in self.heard.values_mut() {
            heard.members.remove(&member);
        }
        self.heard.retain(|_, heard| !heard.members.is_empty());
    }
}

#[cfg(test)]
mod tests;

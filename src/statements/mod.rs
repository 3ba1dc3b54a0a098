//! Which statements are valid in which group while its schema changes, and which members may get them.
//!
//! Gateways agree on the catalog as [`crate::versions::Topic::Catalog`]: each step of a schema change is a version of the
//! catalog, activated through the fleet's log, so that no two gateways are ever more than one step apart. A change takes
//! effect in a group at a position of the group's own log, and members reach that position at different times. A statement
//! that needs the new schema is therefore sent only to members that are known to have reached the position; one that needs
//! the old schema is sent to any member while the old schema is valid. This narrows the candidates before the router selects
//! a member; it never selects one.
//!
//! The steps are those of an online schema change in F1 (Rae et al. 2013): the new schema exists before it is used, and the
//! old one is no longer used before it is removed. [`Catalog`] is shared by all gateways; [`MismatchTracker`] is local to a
//! gateway and records which statements members rejected. A catalog is stored as JSON, where renamed fields keep their former
//! names.

mod fingerprint;
mod mismatches;

pub use fingerprint::StatementFingerprint;
pub use mismatches::{MemberError, Mismatch, MismatchTracker};

use crate::interface::{GroupId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most statements of one tenant in a catalog. The limit keeps a catalog within the size of a version.
pub const MAX_STATEMENTS_PER_TENANT: usize = 256;
/// The most statements in a catalog.
pub const MAX_STATEMENTS: usize = 1_024;

/// A step of a schema change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// All gateways know the change; none uses the new schema.
    Proposed,
    /// Both schemas are valid: the old one at all members, the new one at those that have applied it.
    Both,
    /// Only the new schema is used; the old one still exists.
    NewOnly,
    /// The old schema may be removed.
    Forgotten,
}

impl Step {
    /// The step after this one.
    pub fn next(self) -> Option<Step> {
        match self {
            Step::Proposed => Some(Step::Both),
            Step::Both => Some(Step::NewOnly),
            Step::NewOnly => Some(Step::Forgotten),
            Step::Forgotten => None,
        }
    }

    /// The step before this one; there is no way back from `Forgotten`, as the old schema may have been removed.
    pub fn previous(self) -> Option<Step> {
        match self {
            Step::Both => Some(Step::Proposed),
            Step::NewOnly => Some(Step::Both),
            Step::Proposed | Step::Forgotten => None,
        }
    }
}

/// A schema change of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SchemaChange {
    /// The number of the new schema; the old one is the group's in [`Catalog::schemas`].
    pub to: u64,
    /// The step that the change has reached.
    pub step: Step,
    /// The position of the group's log at which the change takes effect; none until the primary has applied it.
    pub position: Option<Micros>,
}

/// The schemas with which a statement is valid; stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, Option<u64>)", into = "(u64, Option<u64>)")]
pub struct SchemaRange {
    /// The first schema with which the statement is valid.
    pub first: u64,
    /// The last schema with which the statement is valid; none if there is no last one yet.
    pub last: Option<u64>,
}

impl SchemaRange {
    fn contains(self, schema: u64) -> bool {
        self.first <= schema && self.last.is_none_or(|last| schema <= last)
    }
}

impl From<(u64, Option<u64>)> for SchemaRange {
    fn from((first, last): (u64, Option<u64>)) -> SchemaRange {
        SchemaRange { first, last }
    }
}

impl From<SchemaRange> for (u64, Option<u64>) {
    fn from(range: SchemaRange) -> (u64, Option<u64>) {
        (range.first, range.last)
    }
}

/// A statement in the catalog, and the schemas with which it is valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KnownStatement {
    /// The name of the tenant that uses the statement.
    pub tenant: String,
    /// The name of the class of its requests.
    pub class: String,
    /// A digest of the columns of its result.
    #[serde(rename = "form")]
    pub result_digest: u64,
    /// The schemas with which the statement is valid, by group.
    #[serde(rename = "groups")]
    pub schemas: BTreeMap<u64, SchemaRange>,
}

/// What happens to a statement that is not in the catalog.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownStatements {
    /// The statement may be sent to any member.
    #[default]
    Pass,
    /// The statement is rejected without being sent.
    #[serde(rename = "Refuse")]
    Reject,
}

/// Which members may get a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All members of the group.
    All,
    /// The members known to have applied the group's log up to this position.
    AtPosition(Micros),
    /// No member yet: the request waits within its deadline, or is rejected without being sent.
    NoneYet,
    /// No member: the statement's schema is not valid in this group, or not any more.
    Never,
}

/// The statements and schemas that all gateways agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The known statements, by [`StatementFingerprint`].
    #[serde(rename = "shapes")]
    pub statements: BTreeMap<u64, KnownStatement>,
    /// The number of the schema in use, by group; 0 for groups that are not listed.
    pub schemas: BTreeMap<u64, u64>,
    /// The schema change in progress, by group.
    pub changes: BTreeMap<u64, SchemaChange>,
    /// What happens to statements that are not in `statements`.
    pub unknown: UnknownStatements,
}

/// Why a catalog can't follow another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CatalogError {
    /// The content is not a catalog.
    #[error("the catalog can't be read: {0}; write it with the version that the fleet runs")]
    Unreadable(String),
    /// A schema change takes more than one step at once.
    #[error(
        "group {group}: the change to schema {to} goes from {from:?} to {step:?}; take one step at a time"
    )]
    SkippedStep {
        /// The group of the change.
        group: u64,
        /// The schema that the change leads to.
        to: u64,
        /// The step before; none if the change is new.
        from: Option<Step>,
        /// The step after; none if the change is no longer listed.
        step: Option<Step>,
    },
    /// Only the new schema is to be used, but the position at which it takes effect is not known.
    #[error(
        "group {0}: from step NewOnly on, a change needs its position; apply it at the primary and set the position first"
    )]
    MissingPosition(u64),
    /// The schema in use changes without a completed schema change.
    #[error("group {group}: schema {schema} replaces {before} without a change at step Forgotten; take the change through its steps first")]
    SchemaWithoutChange {
        /// The group of the schema.
        group: u64,
        /// The schema that the new catalog names for the group.
        schema: u64,
        /// The schema that the catalog before it names for the group.
        before: u64,
    },
    /// Too many statements, of a tenant or in all.
    #[error("{0} has too many statements; remove the least used ones")]
    TooManyStatements(String),
}

impl Catalog {
    /// Decodes a catalog from the content of a version.
    ///
    /// # Errors
    ///
    /// [`CatalogError::Unreadable`], if the content is not a catalog.
    pub fn read(bytes: &[u8]) -> Result<Catalog, CatalogError> {
        serde_json::from_slice(bytes).map_err(|fault| CatalogError::Unreadable(fault.to_string()))
    }

    /// Encodes the catalog as the content of a version.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn schema(&self, group: u64) -> u64 {
        self.schemas.get(&group).copied().unwrap_or(0)
    }

    /// Checks that this catalog may follow `before`: the change of each group has taken one step at most, forward or back. So
    /// while some gateways use this catalog and others `before`, none sends a statement whose schema may not exist at the
    /// member.
    ///
    /// # Errors
    ///
    /// [`CatalogError`] names the group whose change has gone more than one step.
    pub fn follows(&self, before: &Catalog) -> Result<(), CatalogError> {
        self.check_size()?;
        for group in self
            .changes
            .keys()
            .chain(before.changes.keys())
            .chain(self.schemas.keys())
        {
            self.check_group(before, *group)?;
        }
        Ok(())
    }

    fn check_size(&self) -> Result<(), CatalogError> {
        let mut tenants = BTreeMap::<&str, usize>::new();
        for statement in self.statements.values() {
            *tenants.entry(&statement.tenant).or_default() += 1;
        }
        let mut counts = tenants.iter();
        if let Some((tenant, _)) = counts.find(|(_, count)| **count > MAX_STATEMENTS_PER_TENANT) {
            return Err(CatalogError::TooManyStatements(format!("tenant {tenant}")));
        }
        if self.statements.len() > MAX_STATEMENTS {
            return Err(CatalogError::TooManyStatements("the catalog".into()));
        }
        Ok(())
    }

    fn check_group(&self, before: &Catalog, group: u64) -> Result<(), CatalogError> {
        self.check_schema(before, group)?;
        self.check_step(before, group)?;
        let change = self.changes.get(&group);
        let has_position =
            change.is_none_or(|new| new.step < Step::NewOnly || new.position.is_some());
        if !has_position {
            return Err(CatalogError::MissingPosition(group));
        }
        Ok(())
    }

    /// Checks that the schema in use changes only to that of a completed change, or from none to a group's first.
    fn check_schema(&self, before: &Catalog, group: u64) -> Result<(), CatalogError> {
        let (old, new) = (before.changes.get(&group), self.changes.get(&group));
        let (schema, schema_before) = (self.schema(group), before.schema(group));
        let completed = old.filter(|old| old.step == Step::Forgotten && new.is_none());
        let is_completed = completed.is_some_and(|change| change.to == schema);
        let is_first = schema_before == 0 && old.is_none();
        if schema == schema_before || is_completed || is_first {
            return Ok(());
        }
        Err(CatalogError::SchemaWithoutChange {
            group,
            schema,
            before: schema_before,
        })
    }

    fn check_step(&self, before: &Catalog, group: u64) -> Result<(), CatalogError> {
        let (old, new) = (before.changes.get(&group), self.changes.get(&group));
        let is_one_step = match (old, new) {
            (None, None) => true,
            (None, Some(new)) => new.step == Step::Proposed && new.to > before.schema(group),
            (Some(old), None) => {
                let is_applied = old.step == Step::Forgotten && self.schema(group) == old.to;
                old.step == Step::Proposed || is_applied
            }
            (Some(old), Some(new)) => {
                let steps = [Some(old.step), old.step.next(), old.step.previous()];
                old.to == new.to && steps.contains(&Some(new.step))
            }
        };
        if is_one_step {
            return Ok(());
        }
        Err(CatalogError::SkippedStep {
            group,
            to: new.or(old).map_or(0, |change| change.to),
            from: old.map(|old| old.step),
            step: new.map(|new| new.step),
        })
    }

    /// Which members of a group may get a statement.
    pub fn candidates(&self, statement: StatementFingerprint, group: GroupId) -> Candidates {
        let Some(known) = self.statements.get(&statement.0) else {
            return match self.unknown {
                UnknownStatements::Pass => Candidates::All,
                UnknownStatements::Reject => Candidates::Never,
            };
        };
        let Some(range) = known.schemas.get(&group.0) else {
            return Candidates::Never;
        };
        let valid_with_old = range.contains(self.schema(group.0));
        let Some(change) = self.changes.get(&group.0) else {
            return if valid_with_old {
                Candidates::All
            } else {
                Candidates::Never
            };
        };
        change.candidates(valid_with_old, range.contains(change.to))
    }
}

impl SchemaChange {
    /// Which members may get a statement that is valid with the schema before the change, with the one after it, or both.
    fn candidates(&self, valid_with_old: bool, valid_with_new: bool) -> Candidates {
        let where_applied = self
            .position
            .map_or(Candidates::NoneYet, Candidates::AtPosition);
        match (self.step, valid_with_old, valid_with_new) {
            (_, true, true) => Candidates::All,
            (_, false, false) => Candidates::Never,
            // The old schema still exists at members that have applied the new one.
            (Step::Proposed | Step::Both, true, false) => Candidates::All,
            // Statements that are valid only with the old schema are no longer sent.
            (Step::NewOnly | Step::Forgotten, true, false) => Candidates::Never,
            (Step::Proposed, false, true) => Candidates::NoneYet,
            (Step::Both | Step::NewOnly | Step::Forgotten, false, true) => where_applied,
        }
    }
}

#[cfg(test)]
mod tests;

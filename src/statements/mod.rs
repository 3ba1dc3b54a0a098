//! Which statements are valid in which group while its schema changes, and which members may get them.
//!
//! The catalog is what gateways agree on as [`crate::versions::Topic::Catalog`]: each step of a schema change is a
//! version of it, made active by the fleet's log, so that no two gateways are ever more than one step apart. A change takes
//! effect in a group at a position of the group's own log, and members reach that position at different times. So a
//! statement that needs the new schema goes only to members that are known to have passed it; one of the old schema goes
//! where that is still valid. This narrows the candidates before the router selects a member; it never selects one.
//!
//! The steps are those of an online schema change in F1 (Rae et al. 2013): what is new is there before it is used, and
//! what is old is used no more before it goes. [`Catalog`] is the agreed part, [`MismatchTracker`] a gateway's own: which
//! statements members rejected. A catalog is stored as JSON, so renamed fields keep their former names there.

mod fingerprint;
mod mismatches;

pub use fingerprint::StatementFingerprint;
pub use mismatches::{MemberError, Mismatch, MismatchTracker};

use crate::interface::{GroupId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most statements of one tenant in a catalog, which so stays within the size of a version.
pub const MAX_STATEMENTS_PER_TENANT: usize = 256;
/// The most statements in a catalog.
pub const MAX_STATEMENTS: usize = 1_024;

/// A step of a schema change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Step {
    /// Known to all, used by none.
    Proposed,
    /// Both schemas are valid: the old everywhere, the new where it has been applied.
    Both,
    /// Only the new one is used; the old one is still there.
    NewOnly,
    /// The old one may go.
    Forgotten,
}

impl Step {
    /// The one after it.
    pub fn next(self) -> Option<Step> {
        match self {
            Step::Proposed => Some(Step::Both),
            Step::Both => Some(Step::NewOnly),
            Step::NewOnly => Some(Step::Forgotten),
            Step::Forgotten => None,
        }
    }

    /// The one before it; what is forgotten can't come back.
    pub fn back(self) -> Option<Step> {
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
    /// The schema that it leads to; it leads from the one before.
    pub to: u64,
    /// How far it is.
    pub step: Step,
    /// The position of the group's log at which it takes effect, once its primary has applied it.
    pub position: Option<Micros>,
}

/// The schemas that a statement fits; stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, Option<u64>)", into = "(u64, Option<u64>)")]
pub struct SchemaRange {
    /// The first that it fits.
    pub first: u64,
    /// The last that it fits; none is until further notice.
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

/// A statement that the fleet knows, and the schemas that it fits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KnownStatement {
    /// The tenant that uses it.
    pub tenant: String,
    /// The class that its requests name.
    pub class: String,
    /// A digest of the columns of its result.
    #[serde(rename = "form")]
    pub result_digest: u64,
    /// The schemas that it fits, by group.
    #[serde(rename = "groups")]
    pub schemas: BTreeMap<u64, SchemaRange>,
}

/// What happens to a statement that the catalog does not know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownStatements {
    /// It passes, to any member.
    #[default]
    Pass,
    /// It is rejected unsent.
    #[serde(rename = "Refuse")]
    Reject,
}

/// Which members may get a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All of the group.
    All,
    /// Those known to have applied the group's log up to this position.
    AtPosition(Micros),
    /// None as yet: it waits within its deadline, or is rejected unsent.
    NoneYet,
    /// None: its schema is not valid here, or not any more.
    Never,
}

/// All that gateways agree on about statements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The statements that are known, by fingerprint.
    #[serde(rename = "shapes")]
    pub statements: BTreeMap<u64, KnownStatement>,
    /// The schema in use, by group.
    pub schemas: BTreeMap<u64, u64>,
    /// The change under way, by group.
    pub changes: BTreeMap<u64, SchemaChange>,
    /// What happens to all others.
    pub unknown: UnknownStatements,
}

/// Why a catalog can't follow another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CatalogError {
    /// Not a catalog.
    #[error("it can't be read: {0}; write it with the build that the fleet runs")]
    Unreadable(String),
    /// More than one step at once.
    #[error(
        "group {group}: the change to schema {to} goes from {from:?} to {step:?}; take one step at a time"
    )]
    Steps {
        /// Where.
        group: u64,
        /// To what.
        to: u64,
        /// From which step; none is that it was not known.
        from: Option<Step>,
        /// To which step; none is that it is gone.
        step: Option<Step>,
    },
    /// New statements would be admitted at no known position.
    #[error(
        "group {0}: only the new schema is valid, and its position is not known; apply the change first"
    )]
    Position(u64),
    /// A schema without the change that leads to it.
    #[error("group {group}: schema {schema} follows {before} with no change that was forgotten; go through its steps")]
    Schema {
        /// Where.
        group: u64,
        /// The new one.
        schema: u64,
        /// The one in use.
        before: u64,
    },
    /// Too many statements.
    #[error("{0} holds too many shapes; drop those that are used least")]
    TooMany(String),
}

impl Catalog {
    /// Reads the content of a version.
    ///
    /// # Errors
    ///
    /// [`CatalogError`], where the content is no catalog.
    pub fn read(bytes: &[u8]) -> Result<Catalog, CatalogError> {
        serde_json::from_slice(bytes).map_err(|fault| CatalogError::Unreadable(fault.to_string()))
    }

    /// The content of a version.
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn schema(&self, group: u64) -> u64 {
        self.schemas.get(&group).copied().unwrap_or(0)
    }

    /// Whether this one may follow `before`: each group's change has taken one step at most, forward or back, so that
    /// gateways on this and on `before` never find each other's statements at a member on the wrong side.
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
            return Err(CatalogError::TooMany(format!("tenant {tenant}")));
        }
        if self.statements.len() > MAX_STATEMENTS {
            return Err(CatalogError::TooMany("the catalog".into()));
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
            return Err(CatalogError::Position(group));
        }
        Ok(())
    }

    /// The schema in use changes only to that of a change that is over, or to a group's first.
    fn check_schema(&self, before: &Catalog, group: u64) -> Result<(), CatalogError> {
        let (old, new) = (before.changes.get(&group), self.changes.get(&group));
        let (schema, schema_before) = (self.schema(group), before.schema(group));
        let completed = old.filter(|old| old.step == Step::Forgotten && new.is_none());
        let is_completed = completed.is_some_and(|change| change.to == schema);
        let is_first = schema_before == 0 && old.is_none();
        if schema == schema_before || is_completed || is_first {
            return Ok(());
        }
        Err(CatalogError::Schema {
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
                let steps = [Some(old.step), old.step.next(), old.step.back()];
                old.to == new.to && steps.contains(&Some(new.step))
            }
        };
        if is_one_step {
            return Ok(());
        }
        Err(CatalogError::Steps {
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
        let fits_old = range.contains(self.schema(group.0));
        let Some(change) = self.changes.get(&group.0) else {
            return if fits_old {
                Candidates::All
            } else {
                Candidates::Never
            };
        };
        change.candidates(fits_old, range.contains(change.to))
    }
}

impl SchemaChange {
    /// Which members may get a statement that fits the schema before the change, or the one that it leads to, or both.
    fn candidates(&self, fits_old: bool, fits_new: bool) -> Candidates {
        let where_applied = self
            .position
            .map_or(Candidates::NoneYet, Candidates::AtPosition);
        match (self.step, fits_old, fits_new) {
            (_, true, true) => Candidates::All,
            (_, false, false) => Candidates::Never,
            // The old schema is still there wherever the new one has been applied.
            (Step::Proposed | Step::Both, true, false) => Candidates::All,
            // What fits only the old schema is used no more.
            (Step::NewOnly | Step::Forgotten, true, false) => Candidates::Never,
            (Step::Proposed, false, true) => Candidates::NoneYet,
            (Step::Both | Step::NewOnly | Step::Forgotten, false, true) => where_applied,
        }
    }
}

#[cfg(test)]
mod tests;

//! Which statements are valid in which group while its schema changes, and which members may get them.
//!
//! The catalog is what gateways agree on as [`crate::versions::Topic::Catalog`]: each step of a schema change is a
//! version of it, in force by the fleet's log, so that no two gateways are ever more than one step apart. A change takes
//! effect in a group at a position of the group's own log, and members reach that position at different times. So a
//! statement that needs the new schema goes only to members that are known to have passed it; one of the old schema goes
//! where that is still valid. This narrows the candidates before the decision module chooses; it never chooses.
//!
//! The steps are those of an online schema change in F1 (Rae et al. 2013): what is new is there before it is used, and
//! what is old is used no more before it goes. [`Catalog`] is the agreed part, [`Evidence`] a gateway's own: what members
//! answered that did not fit.

mod evidence;
mod shape;

pub use evidence::{Evidence, Told};
pub use shape::Shape;

use crate::interface::{GroupId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Shapes that a catalog may hold, of one tenant and in all: with its bounds it stays within what a version may be.
pub const SHAPES_EACH: usize = 256;
/// See [`SHAPES_EACH`].
pub const SHAPES: usize = 1_024;

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
pub struct Change {
    /// The schema that it leads to; it leads from the one before.
    pub to: u64,
    /// How far it is.
    pub step: Step,
    /// The position of the group's log at which it takes effect, once its primary has applied it.
    pub position: Option<Micros>,
}

/// A shape of statement, and the schemas of its group that it fits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Known {
    /// Whose.
    pub tenant: String,
    /// The class that its requests name.
    pub class: String,
    /// A digest of the form of its result.
    pub form: u64,
    /// By group, the first schema that it fits and the last; no last is until further notice.
    pub groups: BTreeMap<u64, (u64, Option<u64>)>,
}

/// What a statement of no known shape gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Unknown {
    /// It passes, to any member.
    #[default]
    Pass,
    /// It is refused untouched.
    Refuse,
}

/// Which members may get a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidates {
    /// All of the group.
    All,
    /// Those known to have applied the group's log up to here.
    Past(Micros),
    /// None as yet: it waits within its deadline, or is refused untouched.
    NoneYet,
    /// None: its schema is not valid here, or not any more.
    Never,
}

/// All that gateways agree on about statements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// By shape.
    pub shapes: BTreeMap<u64, Known>,
    /// By group, the schema in use.
    pub schemas: BTreeMap<u64, u64>,
    /// By group, the change under way.
    pub changes: BTreeMap<u64, Change>,
    /// What others get.
    pub unknown: Unknown,
}

/// Why a catalog can't follow another.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCatalog {
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
    /// New statements would be let in at no known position.
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
    /// Too many shapes.
    #[error("{0} holds too many shapes; drop those that are used least")]
    TooMany(String),
}

impl Catalog {
    /// Reads the content of a version.
    ///
    /// # Errors
    ///
    /// [`BadCatalog`], where the content is no catalog.
    pub fn read(bytes: &[u8]) -> Result<Catalog, BadCatalog> {
        serde_json::from_slice(bytes).map_err(|fault| BadCatalog::Unreadable(fault.to_string()))
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
    /// [`BadCatalog`] names the group whose change has gone more than one step.
    pub fn follows(&self, before: &Catalog) -> Result<(), BadCatalog> {
        let tenants =
            self.shapes
                .values()
                .fold(BTreeMap::<&str, usize>::new(), |mut all, known| {
                    *all.entry(&known.tenant).or_default() += 1;
                    all
                });
        if let Some((tenant, _)) = tenants.iter().find(|(_, count)| **count > SHAPES_EACH) {
            return Err(BadCatalog::TooMany(format!("tenant {tenant}")));
        }
        if self.shapes.len() > SHAPES {
            return Err(BadCatalog::TooMany("the catalog".into()));
        }
        for group in self
            .changes
            .keys()
            .chain(before.changes.keys())
            .chain(self.schemas.keys())
        {
            self.one_step(before, *group)?;
        }
        Ok(())
    }

    fn one_step(&self, before: &Catalog, group: u64) -> Result<(), BadCatalog> {
        let (old, new) = (before.changes.get(&group), self.changes.get(&group));
        let (schema, was) = (self.schema(group), before.schema(group));
        // A change that is over leaves its schema in use.
        let over = old
            .filter(|old| old.step == Step::Forgotten && new.is_none())
            .map(|old| old.to);
        if schema != was && over != Some(schema) && !(was == 0 && old.is_none()) {
            return Err(BadCatalog::Schema {
                group,
                schema,
                before: was,
            });
        }
        let may = match (old, new) {
            (None, None) => true,
            (None, Some(new)) => new.step == Step::Proposed && new.to > was,
            (Some(old), None) => {
                old.step == Step::Proposed || old.step == Step::Forgotten && schema == old.to
            }
            (Some(old), Some(new)) => {
                let steps = [Some(old.step), old.step.next(), old.step.back()];
                old.to == new.to && steps.contains(&Some(new.step))
            }
        };
        if !may {
            let to = new.or(old).map_or(0, |change| change.to);
            let (from, step) = (old.map(|old| old.step), new.map(|new| new.step));
            return Err(BadCatalog::Steps {
                group,
                to,
                from,
                step,
            });
        }
        let placed = new.is_none_or(|new| new.step < Step::NewOnly || new.position.is_some());
        placed.then_some(()).ok_or(BadCatalog::Position(group))
    }

    /// Which members of a group may get a statement.
    pub fn candidates(&self, shape: Shape, group: GroupId) -> Candidates {
        let Some(known) = self.shapes.get(&shape.0) else {
            return if self.unknown == Unknown::Pass {
                Candidates::All
            } else {
                Candidates::Never
            };
        };
        let Some(&(first, last)) = known.groups.get(&group.0) else {
            return Candidates::Never;
        };
        let fits = |schema: u64| first <= schema && last.is_none_or(|last| schema <= last);
        let schema = self.schema(group.0);
        let Some(change) = self.changes.get(&group.0) else {
            return if fits(schema) {
                Candidates::All
            } else {
                Candidates::Never
            };
        };
        let (old, new) = (fits(schema), fits(change.to));
        let past = change
            .position
            .map_or(Candidates::NoneYet, Candidates::Past);
        match change.step {
            Step::Proposed => {
                if old {
                    Candidates::All
                } else if new {
                    Candidates::NoneYet
                } else {
                    Candidates::Never
                }
            }
            // The old schema is still there wherever the new one has been applied.
            Step::Both => {
                if old {
                    Candidates::All
                } else if new {
                    past
                } else {
                    Candidates::Never
                }
            }
            // One that fits both goes anywhere; what fits only the old one is used no more.
            Step::NewOnly | Step::Forgotten => match (old, new) {
                (true, true) => Candidates::All,
                (false, true) => past,
                (_, false) => Candidates::Never,
            },
        }
    }
}

#[cfg(test)]
mod tests;

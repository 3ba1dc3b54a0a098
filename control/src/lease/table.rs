//! What the log says of each duty: applied entry by entry, alike on every gateway.

use super::{Command, Duty, Index, NodeIdentity, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of one duty after the entries applied so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Who holds it, if anybody; whether that lease still runs is a matter of clocks, not of the log.
    pub holder: Option<NodeIdentity>,
    /// The lease that was granted last; 0 before the first.
    pub token: Token,
    /// The entry that last granted, renewed or released it: a claim must have seen it.
    pub changed: Index,
}

/// What an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A claim took effect: `token` is its own index.
    Granted {
        /// The duty.
        duty: Duty,
        /// Who holds it now.
        holder: NodeIdentity,
        /// The new lease.
        token: Token,
    },
    /// A renewal took effect.
    Renewed {
        /// The duty.
        duty: Duty,
        /// Who holds it.
        holder: NodeIdentity,
        /// Its lease.
        token: Token,
    },
    /// The duty is free.
    Released {
        /// The duty.
        duty: Duty,
        /// Who held it.
        holder: NodeIdentity,
    },
    /// The entry took no effect.
    Refused {
        /// The duty.
        duty: Duty,
        /// Who wrote it.
        holder: NodeIdentity,
        /// Why.
        why: Refusal,
    },
    /// The entry was applied before: a log replayed from its start.
    Again,
}

/// Why an entry took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// A claim that did not see the last change of its duty: somebody renewed or took it meanwhile.
    Changed,
    /// A renewal or release of a lease that is not the current one, or not the writer's.
    Stale,
}

/// Applying an entry that is not the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The entry that was due.
    pub due: Index,
    /// The one that came.
    pub came: Index,
}

/// All duties, as the log has them. Deterministic: the same entries give the same table on every gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    duties: BTreeMap<Duty, Entry>,
    applied: Index,
}

impl Table {
    /// A duty as it stands; one that was never written of is free, changed at 0.
    pub fn entry(&self, duty: Duty) -> Entry {
        self.duties.get(&duty).copied().unwrap_or_default()
    }

    /// The last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Applies the entry at `index`, which must be the next one (or one applied before, which is left alone).
    ///
    /// # Errors
    ///
    /// [`Gap`] where entries in between were not applied; nothing changes then.
    pub fn apply(&mut self, index: Index, command: &Command) -> Result<Outcome, Gap> {
        if index <= self.applied {
            return Ok(Outcome::Again);
        }
        let due = Index(self.applied.0 + 1);
        if index != due {
            return Err(Gap { due, came: index });
        }
        self.applied = index;
        let (duty, holder) = (command.duty(), command.holder());
        let entry = self.duties.entry(duty).or_default();
        let refused = |why| Ok(Outcome::Refused { duty, holder, why });
        match *command {
            Command::Claim { seen, .. } => {
                if seen != entry.changed {
                    return refused(Refusal::Changed);
                }
                let token = Token(index.0);
                *entry = Entry {
                    holder: Some(holder),
                    token,
                    changed: index,
                };
                Ok(Outcome::Granted {
                    duty,
                    holder,
                    token,
                })
            }
            Command::Renew { token, .. } => {
                if entry.holder != Some(holder) || entry.token != token {
                    return refused(Refusal::Stale);
                }
                entry.changed = index;
                Ok(Outcome::Renewed {
                    duty,
                    holder,
                    token,
                })
            }
            Command::Release { token, .. } => {
                if entry.holder != Some(holder) || entry.token != token {
                    return refused(Refusal::Stale);
                }
                *entry = Entry {
                    holder: None,
                    token,
                    changed: index,
                };
                Ok(Outcome::Released { duty, holder })
            }
        }
    }
}

#[cfg(test)]
mod tests;

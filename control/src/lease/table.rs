//! The replicated state of the leases: entries are applied in log order, with the same result on every gateway.

use super::{Command, Duty, Index, NodeIdentity, Token};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The lease of one duty after the entries applied so far. Its stored field names are part of snapshots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DutyState {
    /// The holder, if there is one. The log does not say whether its lease has expired: each gateway tells by its clock.
    pub holder: Option<NodeIdentity>,
    /// The token of the lease that was granted last; 0 before the first.
    pub token: Token,
    /// The entry that last granted, renewed or released the lease: a claim takes effect only if it names this entry.
    #[serde(rename = "changed")]
    pub last_change: Index,
}

/// What an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A claim took effect.
    Granted {
        /// The duty that was claimed.
        duty: Duty,
        /// The gateway that claimed the duty and holds it now.
        holder: NodeIdentity,
        /// The new lease's token: the index of the entry.
        token: Token,
    },
    /// A renewal took effect.
    Renewed {
        /// The duty whose lease was renewed.
        duty: Duty,
        /// The gateway that holds the duty and renewed its lease.
        holder: NodeIdentity,
        /// The token of the lease, which a renewal doesn't change.
        token: Token,
    },
    /// A release took effect: the duty has no holder.
    Released {
        /// The duty that has no holder now.
        duty: Duty,
        /// The gateway that held the duty and released it.
        holder: NodeIdentity,
    },
    /// The entry took no effect.
    Rejected {
        /// The duty that the entry is about; its lease is unchanged.
        duty: Duty,
        /// The gateway that proposed the entry.
        holder: NodeIdentity,
        /// Why the entry was rejected.
        reason: Rejection,
    },
    /// The entry was applied before: the log is replayed from an earlier entry.
    AlreadyApplied,
}

/// Why an entry took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rejection {
    /// A claim that does not name the last change of its duty: another gateway renewed or claimed it meanwhile.
    Outdated,
    /// A renewal or release of a lease that is not the current one, or not the proposer's.
    NotHolder,
}

/// An entry that is not the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The index expected next.
    pub expected: Index,
    /// The index of the entry passed in.
    pub found: Index,
}

/// The leases of all duties. Deterministic: the same entries give the same table on every gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    duties: BTreeMap<Duty, DutyState>,
    applied: Index,
}

impl Table {
    /// The lease of a duty. Before the first entry about a duty it has no holder, and its last change is 0.
    pub fn duty(&self, duty: Duty) -> DutyState {
        self.duties.get(&duty).copied().unwrap_or_default()
    }

    /// The index of the last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Applies the entry at `index`, which must be the next one. An entry that was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// [`Gap`] if entries in between were not applied; nothing changes then.
    pub fn apply(&mut self, index: Index, command: &Command) -> Result<Outcome, Gap> {
        if index <= self.applied {
            return Ok(Outcome::AlreadyApplied);
        }
        let expected = Index(self.applied.0 + 1);
        if index != expected {
            return Err(Gap {
                expected,
                found: index,
            });
        }
        self.applied = index;
        let (duty, holder) = (command.duty(), command.holder());
        let state = self.duties.entry(duty).or_default();
        let outcome = state.apply(index, command);
        Ok(outcome.unwrap_or_else(|reason| Outcome::Rejected {
            duty,
            holder,
            reason,
        }))
    }
}

impl DutyState {
    /// Applies an entry about this duty; a rejected one changes nothing.
    fn apply(&mut self, index: Index, command: &Command) -> Result<Outcome, Rejection> {
        match *command {
            Command::Claim {
                duty, holder, seen, ..
            } => {
                if seen != self.last_change {
                    return Err(Rejection::Outdated);
                }
                let token = Token(index.0);
                self.holder = Some(holder);
                self.token = token;
                self.last_change = index;
                Ok(Outcome::Granted {
                    duty,
                    holder,
                    token,
                })
            }
            Command::Renew {
                duty,
                holder,
                token,
                ..
            } => {
                self.require_holder(holder, token)?;
                self.last_change = index;
                Ok(Outcome::Renewed {
                    duty,
                    holder,
                    token,
                })
            }
            Command::Release {
                duty,
                holder,
                token,
            } => {
                self.require_holder(holder, token)?;
                // The token is kept: the token of the next grant is larger.
                self.holder = None;
                self.last_change = index;
                Ok(Outcome::Released { duty, holder })
            }
        }
    }

    fn require_holder(&self, holder: NodeIdentity, token: Token) -> Result<(), Rejection> {
        if self.holder == Some(holder) && self.token == token {
            return Ok(());
        }
        Err(Rejection::NotHolder)
    }
}

#[cfg(test)]
mod tests;

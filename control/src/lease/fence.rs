//! Fencing at the receiver of actions: rejects actions that a former holder sends after the lease passed to another one.

use super::{Duty, Token};
use std::collections::BTreeMap;

/// The newest token seen, by duty. Bounded by the number of duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    newest: BTreeMap<Duty, Token>,
}

/// An action under a lease that has passed to another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the token is stale: the duty was granted again with token {}", newest.0)]
pub struct StaleToken {
    /// The newest token seen under the duty.
    pub newest: Token,
}

impl Fence {
    /// Admits an action under `duty` with `token`. An equal token is the same lease.
    ///
    /// # Errors
    ///
    /// [`StaleToken`] if `token` is older than the newest seen; nothing changes then.
    pub fn admit(&mut self, duty: Duty, token: Token) -> Result<(), StaleToken> {
        let newest = self.newest.entry(duty).or_default();
        if token < *newest {
            return Err(StaleToken { newest: *newest });
        }
        *newest = token;
        Ok(())
    }

    /// The newest token seen under a duty.
    pub fn newest(&self, duty: Duty) -> Option<Token> {
        self.newest.get(&duty).copied()
    }
}

#[cfg(test)]
mod tests;

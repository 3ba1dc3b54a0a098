//! What a receiver of actions under duties keeps, so that a holder that woke too late is not heard.

use super::{Duty, Token};
use std::collections::BTreeMap;

/// The newest token seen by duty. Bounded by the number of duties, which the operator's file lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    newest: BTreeMap<Duty, Token>,
}

impl Fence {
    /// Takes an action under `duty` with `token`, or refuses it.
    ///
    /// # Errors
    ///
    /// The newest token seen, where `token` is older. An equal token is the same lease, and is taken.
    pub fn admit(&mut self, duty: Duty, token: Token) -> Result<(), Token> {
        let newest = self.newest.entry(duty).or_default();
        if token < *newest {
            return Err(*newest);
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

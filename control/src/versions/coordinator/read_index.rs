//! Read-index rounds: heartbeats that wait until a quorum has confirmed that this member still leads.
//!
//! Invariant: a heartbeat is answered only by a round that was requested after it arrived. One round serves all heartbeats
//! that wait for it, so a whole fleet shares its cost.

use crate::lease::{NodeIdentity, Token};
use crate::Micros;

/// Maximum number of rounds in each renewal interval if each is confirmed.
pub(super) const ROUNDS_PER_RENEWAL: u64 = 20;
/// How often an unconfirmed round is replaced in each renewal interval: its request may be lost.
pub(super) const ROUND_RETRIES_PER_RENEWAL: u64 = 4;

/// A heartbeat that waits for a round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingHeartbeat {
    /// The gateway that sent it.
    pub(super) identity: NodeIdentity,
    /// The token of the registration in the heartbeat, if it has one.
    pub(super) token: Option<Token>,
    /// When the heartbeat was sent, on the gateway's clock.
    pub(super) sent_at: Micros,
    /// When the heartbeat arrived, on this member's clock.
    pub(super) received_at: Micros,
    /// The first round requested after the heartbeat arrived.
    pub(super) round: u64,
    /// Whether the heartbeat may renew the gateway's registration.
    pub(super) renewable: bool,
}

/// The latest round that was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Round {
    requested_at: Micros,
    confirmed: bool,
}

/// The rounds of one epoch. The caller numbers rounds over all epochs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReadIndexRounds {
    pending: Vec<PendingHeartbeat>,
    latest: Option<Round>,
}

impl ReadIndexRounds {
    /// Adds a heartbeat that waits for its round.
    pub(super) fn add(&mut self, heartbeat: PendingHeartbeat) {
        self.pending.push(heartbeat);
    }

    /// Handles the confirmation of a round. Returns the heartbeats that it covers, in the order in which they arrived.
    pub(super) fn confirm(&mut self, round: u64, last_round: u64) -> Vec<PendingHeartbeat> {
        if let Some(latest) = self.latest.as_mut().filter(|_| round == last_round) {
            latest.confirmed = true;
        }
        let pending = std::mem::take(&mut self.pending);
        let (covered, pending) = pending
            .into_iter()
            .partition(|heartbeat| heartbeat.round <= round);
        self.pending = pending;
        covered
    }

    /// Drops heartbeats older than a lease: the permission in an answer would already have ended.
    pub(super) fn discard_expired(&mut self, now: Micros, lease_us: Micros) {
        self.pending
            .retain(|heartbeat| now < heartbeat.received_at.saturating_add(lease_us));
    }

    /// Returns whether a round is to be requested now, because heartbeats wait and the next round is due; it then counts as
    /// requested.
    pub(super) fn begin_if_due(&mut self, now: Micros, renew_us: Micros) -> bool {
        let has_pending = !self.pending.is_empty();
        let due = has_pending && self.earliest_next(renew_us).is_none_or(|at| now >= at);
        if due {
            self.latest = Some(Round {
                requested_at: now,
                confirmed: false,
            });
        }
        due
    }

    /// When the next round is due, if heartbeats wait for one and it is not the first of the epoch.
    pub(super) fn next_due(&self, renew_us: Micros) -> Option<Micros> {
        self.earliest_next(renew_us)
            .filter(|_| !self.pending.is_empty())
    }

    /// The earliest time of the next round, after the first one of the epoch.
    fn earliest_next(&self, renew_us: Micros) -> Option<Micros> {
        let latest = self.latest?;
        let rounds_per_renewal = if latest.confirmed {
            ROUNDS_PER_RENEWAL
        } else {
            ROUND_RETRIES_PER_RENEWAL
        };
        Some(
            latest
                .requested_at
                .saturating_add(renew_us / rounds_per_renewal),
        )
    }
}

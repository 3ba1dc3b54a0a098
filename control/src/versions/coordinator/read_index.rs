//! Read-index rounds: heartbeats that wait until a quorum has confirmed that this member still leads.
//!
//! Invariant: a heartbeat is answered only by a round that was requested after it arrived. One round serves all heartbeats
//! that wait for it, so a whole fleet shares its cost.

use crate::lease::{NodeIdentity, Token};
use crate::Micros;

/// Rounds that may be requested in each renewal interval while each is confirmed.
pub(super) const ROUNDS_PER_RENEWAL: u64 = 20;
/// An unconfirmed round is replaced after this part of a renewal interval: its request may be lost.
pub(super) const ROUND_RETRIES_PER_RENEWAL: u64 = 4;

/// A heartbeat that waits for a round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingHeartbeat {
    /// Who sent it.
    pub(super) who: NodeIdentity,
    /// The registration that it named.
    pub(super) token: Option<Token>,
    /// When it was sent, on the gateway's clock.
    pub(super) sent_at: Micros,
    /// When it arrived, on this member's clock.
    pub(super) received_at: Micros,
    /// The first round requested after it arrived.
    pub(super) round: u64,
    /// Whether it may renew the registration.
    pub(super) renewable: bool,
}

/// The latest round that was requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Round {
    requested_at: Micros,
    confirmed: bool,
}

/// The rounds of one epoch. Their numbers are counted over all epochs, by the caller.
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

    /// Takes the confirmation of a round; returns the heartbeats that it covers, in the order in which they arrived.
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

    /// Drops heartbeats older than a lease: their permission would have ended before the answer arrived.
    pub(super) fn discard_expired(&mut self, now: Micros, lease_us: Micros) {
        self.pending
            .retain(|heartbeat| now < heartbeat.received_at.saturating_add(lease_us));
    }

    /// Notes that a round is requested now, where heartbeats wait and one is due; returns whether it is.
    pub(super) fn begin_if_due(&mut self, now: Micros, renew_us: Micros) -> bool {
        let waits = !self.pending.is_empty();
        let due = waits && self.earliest_next(renew_us).is_none_or(|at| now >= at);
        if due {
            self.latest = Some(Round {
                requested_at: now,
                confirmed: false,
            });
        }
        due
    }

    /// When the next round is due, where heartbeats wait for one and it is not the first of the epoch.
    pub(super) fn next_due(&self, renew_us: Micros) -> Option<Micros> {
        self.earliest_next(renew_us)
            .filter(|_| !self.pending.is_empty())
    }

    /// When the next round may be requested, after a first one.
    fn earliest_next(&self, renew_us: Micros) -> Option<Micros> {
        let latest = self.latest?;
        let parts = if latest.confirmed {
            ROUNDS_PER_RENEWAL
        } else {
            ROUND_RETRIES_PER_RENEWAL
        };
        Some(latest.requested_at.saturating_add(renew_us / parts))
    }
}

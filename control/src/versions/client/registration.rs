//! A gateway's registration and its lease of permission to act.
//!
//! Invariant: a permission ends one lease after the heartbeat that renewed it was sent, on this gateway's clock, and is
//! never granted for a registration that was already lost.

use super::Permission;
use crate::lease::{Timing, Token};
use crate::Micros;

/// Initial backoff before a gateway that lost its registration joins again, in renewal intervals. A gateway that keeps
/// joining and losing its registration would otherwise delay every version that is proposed meanwhile.
const INITIAL_REJOIN_BACKOFF_RENEWALS: u64 = 1;
/// Maximum of that backoff, in renewal intervals.
const MAX_REJOIN_BACKOFF_RENEWALS: u64 = 32;
/// A registration that lasted for this many leases resets the backoff.
const BACKOFF_RESET_LEASES: u64 = 10;

/// The registration of one gateway, as known to the gateway itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RegistrationLease {
    token: Option<Token>,
    /// Registrations with lower tokens were lost: late messages about them are ignored.
    min_valid_token: Token,
    permission: Option<Permission>,
    registered_at: Option<Micros>,
    /// How many gateways were registered at the last renewal.
    registrations: u32,
    rejoin_at: Micros,
    /// The backoff after the next loss, in renewal intervals.
    rejoin_backoff: u64,
}

impl RegistrationLease {
    pub(super) fn new() -> RegistrationLease {
        RegistrationLease {
            token: None,
            min_valid_token: Token(0),
            permission: None,
            registered_at: None,
            registrations: 0,
            rejoin_at: 0,
            rejoin_backoff: INITIAL_REJOIN_BACKOFF_RENEWALS,
        }
    }

    /// The token of the registration, if there is one.
    pub(super) fn token(&self) -> Option<Token> {
        self.token
    }

    /// The last permission, which may have ended.
    pub(super) fn permission(&self) -> Option<Permission> {
        self.permission
    }

    /// How many gateways were registered at the last renewal.
    pub(super) fn registrations(&self) -> u32 {
        self.registrations
    }

    /// The earliest time of the next heartbeat: at any time with a registration, after the backoff without one.
    pub(super) fn heartbeat_allowed_at(&self) -> Micros {
        match self.token {
            Some(_) => 0,
            None => self.rejoin_at,
        }
    }

    /// Handles a renewal, which counts from when its heartbeat was sent. Returns the new permission if it is valid and ends
    /// later than the current one, or belongs to another registration.
    pub(super) fn renew(
        &mut self,
        now: Micros,
        timing: &Timing,
        token: Token,
        sent_at: Micros,
        registrations: u32,
    ) -> Option<Permission> {
        let late = token < self.min_valid_token || self.token.is_some_and(|own| token < own);
        if late || sent_at > now {
            return None;
        }
        self.registrations = registrations;
        if self.token != Some(token) {
            self.token = Some(token);
            self.registered_at = Some(now);
        }
        let permission = Permission {
            token,
            until: sent_at.saturating_add(timing.lease_us),
        };
        let extends = self
            .permission
            .is_none_or(|current| current.token != token || current.until < permission.until);
        if !extends || !permission.is_valid(now) {
            return None;
        }
        self.permission = Some(permission);
        self.permission
    }

    /// Ends the permission; returns whether there was one.
    pub(super) fn revoke_permission(&mut self) -> bool {
        self.permission.take().is_some()
    }

    /// Forgets the registration and returns its token. Later messages about it, or about older ones, are ignored.
    pub(super) fn release(&mut self) -> Option<Token> {
        let token = self.token.take()?;
        self.min_valid_token = Token(token.0.saturating_add(1));
        Some(token)
    }

    /// Begins the backoff before the next attempt to join. It doubles with each loss, up to a maximum.
    pub(super) fn back_off(&mut self, now: Micros, timing: &Timing) {
        let reset_after_us = BACKOFF_RESET_LEASES * timing.lease_us;
        let registered_at = self.registered_at.take();
        if registered_at.is_some_and(|at| now.saturating_sub(at) >= reset_after_us) {
            self.rejoin_backoff = INITIAL_REJOIN_BACKOFF_RENEWALS;
        }
        self.rejoin_at = now.saturating_add(self.rejoin_backoff * timing.renew_us);
        self.rejoin_backoff = (self.rejoin_backoff * 2).min(MAX_REJOIN_BACKOFF_RENEWALS);
    }
}

//! A gateway's registration and its lease of permission to act.
//!
//! Invariant: a permission ends a lease after the heartbeat that earned it was sent, on this gateway's clock, and is never
//! granted for a registration that was lost before.

use super::Permission;
use crate::lease::{Timing, Token};
use crate::Micros;

/// First and longest backoff before a gateway that lost its registration joins again, in renewal intervals: one that comes
/// and goes would otherwise hold up every version proposed meanwhile.
const INITIAL_REJOIN_BACKOFF_RENEWALS: u64 = 1;
const MAX_REJOIN_BACKOFF_RENEWALS: u64 = 32;
/// Leases for which a registration must have lasted to reset the backoff.
const BACKOFF_RESET_LEASES: u64 = 10;

/// The registration of one gateway, as far as it knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RegistrationLease {
    token: Option<Token>,
    /// Registrations with lower tokens were lost: messages about them are late.
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

    /// The registration, if it has one.
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

    /// The earliest time of a heartbeat: at once with a registration, after the backoff without.
    pub(super) fn heartbeat_allowed_at(&self) -> Micros {
        match self.token {
            Some(_) => 0,
            None => self.rejoin_at,
        }
    }

    /// Takes a renewal, counted from when its heartbeat was sent; returns the permission where that is a longer one.
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

    /// Gives up the registration, and any older one; returns its token.
    pub(super) fn release(&mut self) -> Option<Token> {
        let token = self.token.take()?;
        self.min_valid_token = Token(token.0.saturating_add(1));
        Some(token)
    }

    /// Backs off before the next attempt to join, for longer after each loss.
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

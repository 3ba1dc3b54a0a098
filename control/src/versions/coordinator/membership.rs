//! Which registrations may still be renewed, and which have expired.
//!
//! Invariant: the expiry of a registration is proposed only after a full wait without a heartbeat that could have renewed
//! it, counted from the later of that heartbeat and the beginning of the epoch. By then its gateway's permission to act
//! has ended. Nothing here changes the log's table: expiry takes effect when its entry is applied.

use crate::lease::Timing;
use crate::versions::{Registration, Table};
use crate::Micros;
use std::collections::BTreeMap;

/// How often all registrations are checked in each renewal interval.
const EXPIRY_CHECKS_PER_RENEWAL: u64 = 8;

/// When each registered gateway was last in contact during one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Membership {
    /// By gateway, when its last heartbeat that may have renewed its registration arrived.
    last_contact_at: BTreeMap<u32, Micros>,
    /// By gateway, when the expiry of its registration was last proposed. Such a registration is no longer renewed.
    expiring: BTreeMap<u32, Micros>,
    last_check_at: Option<Micros>,
}

impl Membership {
    /// Begins an epoch. What former leaders renewed is unknown, so every registered gateway counts as in contact now.
    pub(super) fn begin(now: Micros, table: &Table) -> Membership {
        let gateways = table
            .registrations()
            .map(|registration| registration.identity.gateway);
        Membership {
            last_contact_at: gateways.map(|gateway| (gateway, now)).collect(),
            expiring: BTreeMap::new(),
            last_check_at: None,
        }
    }

    /// Whether the expiry of this gateway's registration has been proposed.
    pub(super) fn is_expiring(&self, gateway: u32) -> bool {
        self.expiring.contains_key(&gateway)
    }

    /// Records that a gateway registered, or sent a heartbeat that may renew its registration.
    pub(super) fn record_contact(&mut self, gateway: u32, now: Micros) {
        self.last_contact_at.insert(gateway, now);
    }

    /// Forgets a gateway whose registration has ended.
    pub(super) fn remove(&mut self, gateway: u32) {
        self.last_contact_at.remove(&gateway);
        self.expiring.remove(&gateway);
    }

    /// Excludes `stalled_us`, in which this member did not run, from the time since the last contact of each gateway.
    pub(super) fn discount_stall(&mut self, stalled_us: Micros) {
        for at in self.last_contact_at.values_mut() {
            *at = at.saturating_add(stalled_us);
        }
    }

    /// Whether registrations are to be checked at `now`.
    pub(super) fn is_check_due(&self, now: Micros, timing: &Timing) -> bool {
        let interval_us = timing.renew_us / EXPIRY_CHECKS_PER_RENEWAL;
        self.last_check_at
            .is_none_or(|at| now >= at.saturating_add(interval_us))
    }

    /// Checks all registrations. Returns those whose expiry is to be proposed now; the proposal is repeated after a renewal
    /// interval.
    pub(super) fn take_expired(
        &mut self,
        now: Micros,
        timing: &Timing,
        table: &Table,
    ) -> Vec<Registration> {
        self.last_check_at = Some(now);
        let registrations = table.registrations().copied();
        registrations
            .filter(|registration| {
                self.begin_expiry_if_due(now, timing, registration.identity.gateway)
            })
            .collect()
    }

    /// Returns whether the expiry of a gateway's registration is to be proposed now; it then counts as proposed.
    fn begin_expiry_if_due(&mut self, now: Micros, timing: &Timing, gateway: u32) -> bool {
        let last_contact_at = *self.last_contact_at.entry(gateway).or_insert(now);
        let proposed_at = self.expiring.get(&gateway);
        let due = proposed_at.is_none_or(|at| now >= at.saturating_add(timing.renew_us));
        let expires = due && now >= last_contact_at.saturating_add(timing.wait_us());
        if expires {
            self.expiring.insert(gateway, now);
        }
        expires
    }
}

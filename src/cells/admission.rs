//! What a session asks before a request goes to the decision module, and while it is there: who asks, where that tenant
//! lives, whether its cell has room, whether its shape is shut out.

use super::bulkhead::{Bounds, Bulkheads, Exhausted, Resource};
use super::placement::Placement;
use super::quarantine::{
    fingerprint, Fingerprint, MemberOutcome, Quarantine, QuarantineDecision, QuarantineOptions,
};
use super::tenants::{Caller, TenantResolver};
use super::{stable_hash, CellId, Epoch};
use crate::interface::{GroupId, Idempotency, MemberId, Micros};

/// A retry-after time for what a migration or a placement that is too old holds up. A migration is meant to take a second.
const MIGRATING_RETRY_AFTER_US: Micros = 250_000;

/// The same for a cell that has lost all its members: about how often those are probed.
pub const LOST_CELL_RETRY_AFTER_US: Micros = 1_000_000;

/// What the operator's file says of cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionRules {
    /// Who asks.
    pub tenant_resolver: TenantResolver,
    /// Bounds of cells by name; `default` for those that are not named.
    pub bounds: Vec<(String, Bounds)>,
    /// See `bounds`.
    pub default_bounds: Bounds,
    /// Of poison.
    pub quarantine: QuarantineOptions,
}

impl AdmissionRules {
    fn bounds_of(&self, placement: &Placement) -> Vec<Bounds> {
        let named = |name: &str| {
            self.bounds
                .iter()
                .find(|(cell, _)| cell == name)
                .map(|(_, bounds)| *bounds)
        };
        placement
            .cells()
            .iter()
            .map(|cell| named(&cell.name).unwrap_or(self.default_bounds))
            .collect()
    }
}

/// Why a request, or a session, is not taken. Nothing of it ran: it may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Nobody knows who asks.
    UnknownTenant,
    /// Its cell is full.
    Exhausted(Exhausted, Micros),
    /// Its tenant is being moved: no writes now.
    Moving(Micros),
    /// Its shape or its tenant is quarantined.
    Poison,
    /// The placement is too old to write by.
    Stale(Micros),
    /// Its group has lost all its members, and it may go nowhere else.
    AllMembersLost(Micros),
}

impl Rejection {
    /// What to tell the client, and when to retry.
    pub fn message(self) -> (&'static str, Option<Micros>) {
        match self {
            Rejection::UnknownTenant => ("no tenant is known for this client", None),
            Rejection::Exhausted(Exhausted::Requests | Exhausted::Held, wait) => {
                ("the cell has too many requests", Some(wait))
            }
            Rejection::Exhausted(Exhausted::Sessions | Exhausted::Descriptors, wait) => {
                ("the cell has too many connections", Some(wait))
            }
            Rejection::Exhausted(Exhausted::Bytes, wait) => ("the cell holds too much", Some(wait)),
            Rejection::Moving(wait) => ("the tenant is being moved", Some(wait)),
            Rejection::Poison => ("this statement is quarantined", None),
            Rejection::AllMembersLost(wait) => ("the cell has lost all its members", Some(wait)),
            Rejection::Stale(wait) => ("the placement is too old", Some(wait)),
        }
    }
}

/// A request that was taken, with what must be given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The cell.
    pub cell: CellId,
    /// The epoch it was placed by.
    pub epoch: Epoch,
    /// The group that serves it, in the cell.
    pub group: GroupId,
    /// Its session's last write may be newer than what replicas of its new home show.
    pub settling: bool,
    tenant: u64,
    shape: Fingerprint,
    bytes: u32,
    at: Micros,
}

/// All of it; see the module.
pub struct CellAdmission {
    rules: AdmissionRules,
    placement: Placement,
    bulkheads: Bulkheads,
    quarantine: Quarantine,
    /// Until when the placement may be written by.
    fresh_until: Micros,
}

impl CellAdmission {
    /// With a placement that may be written by until a time.
    pub fn new(rules: AdmissionRules, placement: Placement, fresh_until: Micros) -> CellAdmission {
        CellAdmission {
            bulkheads: Bulkheads::new(rules.bounds_of(&placement)),
            quarantine: Quarantine::new(rules.quarantine),
            rules,
            placement,
            fresh_until,
        }
    }

    /// The placement's source was asked and has this; one of an older epoch is refused.
    pub fn update_placement(&mut self, placement: Placement, fresh_until: Micros) -> bool {
        if placement.epoch < self.placement.epoch {
            return false;
        }
        self.bulkheads.set_bounds(self.rules.bounds_of(&placement));
        (self.placement, self.fresh_until) = (placement, fresh_until.max(self.fresh_until));
        true
    }

    /// The source was asked and has nothing new.
    pub fn renew_lease(&mut self, fresh_until: Micros) {
        self.fresh_until = fresh_until.max(self.fresh_until);
    }

    /// The epoch in force.
    pub fn epoch(&self) -> Epoch {
        self.placement.epoch
    }

    /// Takes a request, or says why not; `write` where it changes data.
    ///
    /// # Errors
    ///
    /// [`Refusal`]: who asks is not known, the cell is full or moving, or its statement is in quarantine.
    pub fn admit(
        &mut self,
        now: Micros,
        caller: &Caller,
        (cluster, key): (u64, &[u8]),
        statement: &[u8],
        write: bool,
    ) -> Result<Admitted, Rejection> {
        let name = self
            .rules
            .tenant_resolver
            .resolve(caller)
            .ok_or(Rejection::UnknownTenant)?;
        let place = self.placement.place(name, key);
        if write && place.home.held {
            return Err(Rejection::Moving(MIGRATING_RETRY_AFTER_US));
        }
        // Who can't hear of a migration must not write by what it last knew; reads go on.
        if write && now >= self.fresh_until {
            return Err(Rejection::Stale(MIGRATING_RETRY_AFTER_US));
        }
        let (tenant, shape) = (stable_hash(name.as_bytes()), fingerprint(name, statement));
        if self
            .quarantine
            .admit(now, (tenant, shape), Idempotency::Idempotent, false, 0)
            != QuarantineDecision::Allow
        {
            return Err(Rejection::Poison);
        }
        let bytes = u32::try_from(statement.len()).unwrap_or(u32::MAX);
        let cell = place.home.cell;
        self.bulkheads
            .acquire(cell, Resource::Request(bytes))
            .map_err(|(full, wait)| Rejection::Exhausted(full, wait))?;
        Ok(Admitted {
            cell,
            epoch: place.home.epoch,
            group: place.group(cluster),
            settling: place.home.settling,
            tenant,
            shape,
            bytes,
            at: now,
        })
    }

    /// Whether an attempt of a request may go out; `victims` is how many of its own attempts a member died under.
    pub fn admit_attempt(
        &mut self,
        now: Micros,
        admitted: &Admitted,
        idempotency: Idempotency,
        ran: bool,
        victims: usize,
    ) -> QuarantineDecision {
        self.quarantine.admit(
            now,
            (admitted.tenant, admitted.shape),
            idempotency,
            ran,
            victims,
        )
    }

    /// An attempt has ended, and its member fared so.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        admitted: &Admitted,
        member: MemberId,
        after: MemberOutcome,
    ) {
        self.quarantine
            .ended(now, (admitted.tenant, admitted.shape), member, after);
    }

    /// A request is over.
    pub fn request_ended(&mut self, now: Micros, admitted: &Admitted) {
        let open = now.saturating_sub(admitted.at);
        self.bulkheads
            .release(admitted.cell, Resource::Request(admitted.bytes), open);
    }

    /// Requests in hand and refusals, by cell's name.
    pub fn counts(&self) -> Vec<(String, u32, u64)> {
        let cells = self.placement.cells().iter().enumerate();
        let counts = cells.map(|(at, cell)| {
            let (requests, _, refused) = self.bulkheads.counts(CellId(at as u16));
            (cell.name.clone(), requests, refused)
        });
        counts.collect()
    }

    /// What is quarantined, and until when.
    pub fn quarantined(&self, now: Micros) -> Vec<(Fingerprint, Micros)> {
        self.quarantine.list(now)
    }
}

#[cfg(test)]
mod tests;

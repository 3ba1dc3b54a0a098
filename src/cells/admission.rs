//! Admission of requests to cells, before the router gets them and before each attempt: which tenant a request belongs to,
//! where that tenant is placed, whether its cell has capacity, and whether its statement is quarantined.

use super::bulkhead::{Bounds, Bulkheads, Exhausted, Resource};
use super::placement::Placement;
use super::quarantine::{
    fingerprint, Fingerprint, MemberOutcome, Quarantine, QuarantineDecision, QuarantineOptions,
};
use super::tenants::{Caller, TenantResolver};
use super::{stable_hash, CellId, Epoch};
use crate::interface::{GroupId, Idempotency, MemberId, Micros};

/// The retry-after time of writes that are rejected because of a migration or an outdated placement, microseconds. A
/// migration should take about a second.
const MIGRATING_RETRY_AFTER_US: Micros = 250_000;

/// The retry-after time of requests for a group that has lost all its members, microseconds; about the probe interval.
pub const LOST_CELL_RETRY_AFTER_US: Micros = 1_000_000;

/// The settings of admission to cells, from the operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionRules {
    /// Resolves the tenant of a request.
    pub tenant_resolver: TenantResolver,
    /// Bounds by the name of the cell.
    pub bounds: Vec<(String, Bounds)>,
    /// Bounds of all other cells.
    pub default_bounds: Bounds,
    /// When statements that crash members are quarantined.
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

/// Why a request is not admitted. Nothing of it has run, so that the client may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No source has a tenant name for the client.
    UnknownTenant,
    /// The request's cell has reached a bound; with the retry-after time, microseconds.
    Exhausted(Exhausted, Micros),
    /// A write, while its tenant is being migrated; with the retry-after time, microseconds.
    Migrating(Micros),
    /// The request's statement or tenant is quarantined.
    Quarantined,
    /// A write, when the lease on the placement has ended; with the retry-after time, microseconds.
    StalePlacement(Micros),
    /// The request's group has lost all its members, and no other may serve it; with the retry-after time,
    /// microseconds.
    AllMembersLost(Micros),
}

impl Rejection {
    /// The error text for the client, and the retry-after time, microseconds.
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
            Rejection::Migrating(wait) => ("the tenant is being moved", Some(wait)),
            Rejection::Quarantined => ("this statement is quarantined", None),
            Rejection::AllMembersLost(wait) => ("the cell has lost all its members", Some(wait)),
            Rejection::StalePlacement(wait) => ("the placement is too old", Some(wait)),
        }
    }
}

/// An admitted request and the resources that [`CellAdmission::request_ended`] releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The cell of its tenant.
    pub cell: CellId,
    /// The epoch of its tenant's home.
    pub epoch: Epoch,
    /// The group in the cell that serves it.
    pub group: GroupId,
    /// Whether the tenant was migrated recently, so that replicas may not have the session's last write yet.
    pub settling: bool,
    tenant: u64,
    fingerprint: Fingerprint,
    bytes: u32,
    admitted_at: Micros,
}

/// Admission of requests to the cells of one placement; see the module.
pub struct CellAdmission {
    rules: AdmissionRules,
    placement: Placement,
    bulkheads: Bulkheads,
    quarantine: Quarantine,
    /// When the lease on the placement ends: writes may follow the placement until then.
    fresh_until: Micros,
}

impl CellAdmission {
    /// Creates the admission for a placement that writes may follow until `fresh_until`.
    pub fn new(rules: AdmissionRules, placement: Placement, fresh_until: Micros) -> CellAdmission {
        CellAdmission {
            bulkheads: Bulkheads::new(rules.bounds_of(&placement)),
            quarantine: Quarantine::new(rules.quarantine),
            rules,
            placement,
            fresh_until,
        }
    }

    /// Puts a newly read placement in force. Returns false, with no effect, if its epoch is older than the one in force.
    pub fn update_placement(&mut self, placement: Placement, fresh_until: Micros) -> bool {
        if placement.epoch < self.placement.epoch {
            return false;
        }
        self.bulkheads.set_bounds(self.rules.bounds_of(&placement));
        (self.placement, self.fresh_until) = (placement, fresh_until.max(self.fresh_until));
        true
    }

    /// Extends the lease of the placement in force, which was read again unchanged.
    pub fn renew_lease(&mut self, fresh_until: Micros) {
        self.fresh_until = fresh_until.max(self.fresh_until);
    }

    /// The epoch of the placement in force.
    pub fn epoch(&self) -> Epoch {
        self.placement.epoch
    }

    /// Admits a request with the caller's cluster number and key; `write` if it changes data.
    ///
    /// # Errors
    ///
    /// [`Rejection`]: the tenant is unknown or migrating, the placement is outdated, the cell has reached a bound, or the
    /// statement is quarantined.
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
            return Err(Rejection::Migrating(MIGRATING_RETRY_AFTER_US));
        }
        // Without a lease a migration may have begun unnoticed, so that writes must stop; reads continue.
        if write && now >= self.fresh_until {
            return Err(Rejection::StalePlacement(MIGRATING_RETRY_AFTER_US));
        }
        let (tenant, fingerprint) = (stable_hash(name.as_bytes()), fingerprint(name, statement));
        if self.quarantine.admit(
            now,
            (tenant, fingerprint),
            Idempotency::Idempotent,
            false,
            0,
        ) != QuarantineDecision::Allow
        {
            return Err(Rejection::Quarantined);
        }
        let bytes = u32::try_from(statement.len()).unwrap_or(u32::MAX);
        let cell = place.home.cell;
        self.bulkheads
            .acquire(cell, Resource::Request(bytes))
            .map_err(|(exhausted, wait)| Rejection::Exhausted(exhausted, wait))?;
        Ok(Admitted {
            cell,
            epoch: place.home.epoch,
            group: place.group(cluster),
            settling: place.home.settling,
            tenant,
            fingerprint,
            bytes,
            admitted_at: now,
        })
    }

    /// Whether an attempt of a request may be dispatched; `may_have_run` if an earlier attempt may have run, and
    /// `failed_members` is the number of members that crashed under the request's own attempts.
    pub fn admit_attempt(
        &mut self,
        now: Micros,
        admitted: &Admitted,
        idempotency: Idempotency,
        may_have_run: bool,
        failed_members: usize,
    ) -> QuarantineDecision {
        self.quarantine.admit(
            now,
            (admitted.tenant, admitted.fingerprint),
            idempotency,
            may_have_run,
            failed_members,
        )
    }

    /// Records how an attempt ended for its member.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        admitted: &Admitted,
        member: MemberId,
        outcome: MemberOutcome,
    ) {
        self.quarantine.attempt_ended(
            now,
            (admitted.tenant, admitted.fingerprint),
            member,
            outcome,
        );
    }

    /// Releases the resources of a request that has ended.
    pub fn request_ended(&mut self, now: Micros, admitted: &Admitted) {
        let duration = now.saturating_sub(admitted.admitted_at);
        self.bulkheads
            .release(admitted.cell, Resource::Request(admitted.bytes), duration);
    }

    /// Open requests and rejections so far, by the name of the cell.
    pub fn counts(&self) -> Vec<(String, u32, u64)> {
        let cells = self.placement.cells().iter().enumerate();
        let counts = cells.map(|(index, cell)| {
            let (requests, _, rejections) = self.bulkheads.counts(CellId(index as u16));
            (cell.name.clone(), requests, rejections)
        });
        counts.collect()
    }

    /// The statements that are quarantined at `now`, each with the time when its quarantine ends.
    pub fn quarantined(&self, now: Micros) -> Vec<(Fingerprint, Micros)> {
        self.quarantine.list(now)
    }
}

#[cfg(test)]
mod tests;

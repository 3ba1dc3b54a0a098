//! Admission of requests to cells: which tenant a request belongs to, where that tenant is placed, whether its cell has
//! capacity, and whether its statement is quarantined.
//!
//! A request is admitted before the router gets it. What the admission found may change while the request waits, so that
//! [`CellAdmission::check_send`] judges each attempt again: when it starts, and before bytes of it are written.

use super::bulkhead::{Bounds, Bulkheads, Exhausted, Resource};
use super::placement::{Place, Placement};
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
    /// Another group serves the tenant since the request was admitted; with the retry-after time, microseconds.
    Moved(Micros),
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
            Rejection::Moved(wait) => ("the tenant was moved", Some(wait)),
        }
    }
}

/// What an attempt of an admitted request is judged by, besides the placement in force.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Whether the request changes data.
    pub write: bool,
    /// Whether running the request more than once does harm.
    pub idempotency: Idempotency,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Members that crashed under the request's own attempts.
    pub failed_members: usize,
}

/// Why an attempt of an admitted request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendRefusal {
    /// The reason.
    pub reason: Rejection,
    /// Whether the client may send the request again without harm: nothing of it has run, or repeats have no effect.
    pub retry_is_harmless: bool,
}

/// An admitted request and the resources that [`CellAdmission::request_ended`] releases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The cell of its tenant.
    pub cell: CellId,
    /// The epoch of its tenant's home.
    pub epoch: Epoch,
    /// The group in the cell that serves it.
    pub group: GroupId,
    /// Whether the tenant was migrated recently, so that replicas may not have the session's last write yet.
    pub settling: bool,
    tenant_name: Box<str>,
    cluster: u64,
    key: Box<[u8]>,
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
        let place = self.place(now, name, key, write)?;
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
            tenant_name: name.into(),
            cluster,
            key: key.into(),
            tenant,
            fingerprint,
            bytes,
            admitted_at: now,
        })
    }

    /// The place of a tenant's key, if the placement in force allows to use it now.
    fn place(&self, now: Micros, name: &str, key: &[u8], write: bool) -> Result<Place, Rejection> {
        let place = self.placement.place(name, key);
        if write && place.home.held {
            return Err(Rejection::Migrating(MIGRATING_RETRY_AFTER_US));
        }
        // Without a lease a migration may have begun unnoticed, so that writes must stop; reads continue.
        if write && now >= self.fresh_until {
            return Err(Rejection::StalePlacement(MIGRATING_RETRY_AFTER_US));
        }
        Ok(place)
    }

    /// Whether an attempt of a request may be sent to its group now, by the placement and the quarantine in force.
    ///
    /// # Errors
    ///
    /// [`SendRefusal`]: the tenant is being moved or was moved, the placement is outdated, or the statement is
    /// quarantined.
    pub fn check_send(
        &mut self,
        now: Micros,
        admitted: &Admitted,
        attempt: Attempt,
    ) -> Result<(), SendRefusal> {
        let is_idempotent = attempt.idempotency == Idempotency::Idempotent;
        let refuse = |reason| SendRefusal {
            reason,
            retry_is_harmless: is_idempotent || !attempt.may_have_run,
        };
        let place = self
            .place(now, &admitted.tenant_name, &admitted.key, attempt.write)
            .map_err(refuse)?;
        if place.group(admitted.cluster) != admitted.group {
            return Err(refuse(Rejection::Moved(MIGRATING_RETRY_AFTER_US)));
        }
        let decision = self.quarantine.admit(
            now,
            (admitted.tenant, admitted.fingerprint),
            attempt.idempotency,
            attempt.may_have_run,
            attempt.failed_members,
        );
        match decision {
            QuarantineDecision::Allow => Ok(()),
            QuarantineDecision::Refuse | QuarantineDecision::Fail => {
                Err(refuse(Rejection::Quarantined))
            }
        }
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

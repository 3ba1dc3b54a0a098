//! Migration of a tenant from one cell to another, such that no two gateways ever write its data to two cells.
//!
//! [`Migration`] is the migrator's side, with the steps preparing, holding, fencing, cut over, settling, placed. Every step
//! is recorded before it takes effect. Resuming from any record repeats the effects of its step, which are idempotent. A
//! migration can be aborted at any point before the cut-over; after it, it only goes forward. [`GatewayLease`] is the
//! gateway's side: a lease on the placement, and the writes of each tenant that may still run.

use super::placement::Home;
use super::{CellId, Epoch};
use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of a gateway that holds leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u16);

/// The durations of a migration, microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a lease lasts.
    pub lease: Micros,
    /// How far two clocks may drift apart during a lease. A rate error of 0.1% plus one clock step is a generous value.
    pub drift: Micros,
    /// How long writes may be held until the migration is aborted.
    pub hold: Micros,
    /// How long after the cut-over a session's reads of its own writes go to the primary.
    pub settle: Micros,
}

/// The step of a migration, as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The target is being prepared; gateways still use the source.
    Preparing,
    /// Gateways send no new writes and wait for those in flight to end.
    Holding,
    /// The source rejects all writes of the tenant, also from gateways with an older placement.
    Fencing,
    /// The tenant is placed in the target.
    CutOver,
    /// The target serves the tenant; a session's reads of its own writes go to the primary for a while.
    Settling,
    /// Completed: the target serves the tenant without restrictions.
    Placed,
    /// The migration is being aborted; the source is to serve the tenant again.
    Aborting,
    /// Aborted: the source serves the tenant as before.
    Aborted,
}

impl Step {
    /// Whether the migration can still be aborted.
    pub fn may_abort(self) -> bool {
        matches!(self, Step::Preparing | Step::Holding | Step::Fencing)
    }

    /// Whether the migration has been completed or aborted.
    pub fn is_over(self) -> bool {
        matches!(self, Step::Placed | Step::Aborted)
    }
}

/// The record of a migration, which is all that resuming it needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MigrationRecord {
    /// The name of the tenant that is migrated.
    pub tenant: String,
    /// The cell that serves the tenant until the cut-over.
    pub from: CellId,
    /// The cell that serves the tenant after the cut-over.
    pub to: CellId,
    /// The epoch before it began; the migration uses the three that follow.
    pub base: Epoch,
    /// The step that the migration has reached; resuming repeats its effects.
    pub step: Step,
}

impl MigrationRecord {
    /// The epoch at which the tenant's writes are held.
    fn hold_epoch(&self) -> Epoch {
        self.base.next()
    }

    /// The epoch of the cut-over, or of the return to the source.
    fn decision_epoch(&self) -> Epoch {
        self.hold_epoch().next()
    }

    /// The epoch at which the target serves the tenant without restrictions.
    fn settled_epoch(&self) -> Epoch {
        self.decision_epoch().next()
    }
}

/// An event that a migration handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The record of this step is durable.
    Recorded(Step),
    /// The target can accept the tenant's data.
    Prepared,
    /// A gateway was granted a lease, which ends at this time of the migrator's clock.
    Leased(GatewayId, Micros),
    /// A gateway sends no more writes at epochs before this one, and none that it has sent can still run.
    Acknowledged(GatewayId, Epoch),
    /// The source rejects the tenant's writes.
    Fenced,
    /// The target has all writes that the source accepted.
    CaughtUp,
    /// The placement of this epoch is published: every later fetch returns it or a newer one.
    Published(Epoch),
    /// The operator requested that the migration is aborted.
    Abort,
    /// Time passed.
    Tick,
}

/// An action that the caller carries out for a migration. All but `Record` may be carried out twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Store the record; no other action follows before it is durable.
    Record(MigrationRecord),
    /// Prepare the target for the tenant's data.
    Prepare,
    /// Publish the tenant's home in the placement.
    Publish(Home),
    /// Make a cell reject the tenant's writes.
    Fence(CellId),
    /// Make a cell accept the tenant's writes from this epoch on.
    Unfence(CellId, Epoch),
    /// Copy to the target all writes that the source accepted.
    CatchUp,
    /// The migration has ended with this step.
    Finished(Step),
}

/// Why a migration can't begin or be aborted, and what an operator can do about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigrationError(pub String);

/// The migrator's side of one migration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Migration {
    record: MigrationRecord,
    timing: Timing,
    /// Whether the record of the step is durable, so that its effects may take place.
    is_recorded: bool,
    /// When the step began.
    step_began_at: Micros,
    /// When the lease of each gateway ends; 0 once the gateway has acknowledged the hold.
    leases: BTreeMap<GatewayId, Micros>,
    /// When all leases have ended that were granted before this migrator began, which it may not know of.
    earlier_leases_until: Micros,
    caught_up: bool,
    fenced: bool,
    published: bool,
    /// Whether `Action::Finished` was returned; it is returned once.
    is_finished: bool,
}

impl Migration {
    /// Begins a migration; `base` is the epoch in force.
    ///
    /// # Errors
    ///
    /// [`MigrationError`], if the source and the target are the same cell.
    pub fn begin(
        tenant: &str,
        (from, to): (CellId, CellId),
        base: Epoch,
        timing: Timing,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Result<Migration, MigrationError> {
        if from == to {
            return Err(MigrationError(format!(
                "tenant {tenant:?} is in cell {} already; choose another target",
                to.0
            )));
        }
        let record = MigrationRecord {
            tenant: tenant.to_owned(),
            from,
            to,
            base,
            step: Step::Preparing,
        };
        let mut migration = Migration::at_step(record, timing, now);
        migration.enter(now, Step::Preparing, actions);
        Ok(migration)
    }

    /// Resumes a migration from its last record and repeats the effects of that step.
    pub fn resume(
        record: MigrationRecord,
        timing: Timing,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Migration {
        let mut migration = Migration::at_step(record, timing, now);
        migration.is_recorded = true;
        migration.append_effects(actions);
        migration
    }

    fn at_step(record: MigrationRecord, timing: Timing, now: Micros) -> Migration {
        Migration {
            record,
            timing,
            is_recorded: false,
            step_began_at: now,
            leases: BTreeMap::new(),
            earlier_leases_until: now
                .saturating_add(timing.lease)
                .saturating_add(timing.drift),
            caught_up: false,
            fenced: false,
            published: false,
            is_finished: false,
        }
    }

    /// The current record, which may not be durable yet.
    pub fn record(&self) -> &MigrationRecord {
        &self.record
    }

    /// Handles an event and appends the actions to carry out.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Recorded(step) if step == self.record.step && !self.is_recorded => {
                self.is_recorded = true;
                self.append_effects(actions);
            }
            Event::Leased(gateway, until) => {
                let lease = self.leases.entry(gateway).or_default();
                *lease = until.max(*lease);
            }
            // A gateway that has acknowledged the hold sends no more writes, however long its lease.
            Event::Acknowledged(gateway, epoch) if epoch >= self.record.hold_epoch() => {
                self.leases.insert(gateway, 0);
            }
            Event::Fenced => self.fenced |= self.record.step == Step::Fencing && self.is_recorded,
            Event::CaughtUp => self.caught_up |= self.fenced,
            Event::Published(epoch) => self.published |= Some(epoch) == self.awaited_epoch(),
            Event::Abort if self.record.step.may_abort() => {
                self.enter(now, Step::Aborting, actions);
                return;
            }
            _ => {}
        }
        if self.is_recorded {
            self.advance(now, event, actions);
        }
    }

    /// The epoch whose publication the step waits for.
    fn awaited_epoch(&self) -> Option<Epoch> {
        match self.record.step {
            Step::Holding => Some(self.record.hold_epoch()),
            Step::CutOver | Step::Aborting => Some(self.record.decision_epoch()),
            Step::Placed => Some(self.record.settled_epoch()),
            _ => None,
        }
    }

    fn advance(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match self.record.step {
            Step::Preparing if event == Event::Prepared => self.enter(now, Step::Holding, actions),
            Step::Holding => {
                // Every gateway that could still write by the old placement has acknowledged the hold, or its lease has
                // ended.
                let no_old_writers = self.leases.values().all(|until| *until <= now)
                    && self.earlier_leases_until <= now;
                if self.published && no_old_writers {
                    self.enter(now, Step::Fencing, actions);
                } else if now.saturating_sub(self.step_began_at) >= self.timing.hold {
                    self.enter(now, Step::Aborting, actions);
                }
            }
            Step::Fencing if self.caught_up => self.enter(now, Step::CutOver, actions),
            Step::Fencing if self.fenced && event == Event::Fenced => actions.push(Action::CatchUp),
            Step::CutOver if self.published => self.enter(now, Step::Settling, actions),
            Step::Settling if now.saturating_sub(self.step_began_at) >= self.timing.settle => {
                self.enter(now, Step::Placed, actions);
            }
            Step::Placed if self.published && !self.is_finished => {
                self.is_finished = true;
                actions.push(Action::Finished(Step::Placed));
            }
            Step::Aborting if self.published => self.enter(now, Step::Aborted, actions),
            _ => {}
        }
    }

    fn enter(&mut self, now: Micros, step: Step, actions: &mut Vec<Action>) {
        self.record.step = step;
        (self.is_recorded, self.published, self.step_began_at) = (false, false, now);
        actions.push(Action::Record(self.record.clone()));
    }

    /// Appends the actions of the step, once it is recorded.
    fn append_effects(&self, actions: &mut Vec<Action>) {
        let record = &self.record;
        let home = |cell, epoch, held, settling| {
            Action::Publish(Home {
                cell,
                epoch,
                held,
                settling,
            })
        };
        match record.step {
            Step::Preparing => actions.push(Action::Prepare),
            Step::Holding => actions.push(home(record.from, record.hold_epoch(), true, false)),
            Step::Fencing => actions.push(Action::Fence(record.from)),
            Step::CutOver => {
                // The tenant may have been in the target before, which was fenced when the tenant left it.
                actions.push(Action::Unfence(record.to, record.decision_epoch()));
                actions.push(home(record.to, record.decision_epoch(), false, true));
            }
            Step::Settling => {}
            Step::Placed => actions.push(home(record.to, record.settled_epoch(), false, false)),
            Step::Aborting => {
                actions.push(Action::Unfence(record.from, record.decision_epoch()));
                actions.push(home(record.from, record.decision_epoch(), false, false));
            }
            Step::Aborted => actions.push(Action::Finished(Step::Aborted)),
        }
    }
}

/// The migrations in progress, one a tenant at most.
#[derive(Clone, Debug, Default)]
pub struct Migrations {
    by_tenant: BTreeMap<String, MigrationRecord>,
}

impl Migrations {
    /// Applies a new record; a record of the last step removes its migration.
    pub fn update(&mut self, record: &MigrationRecord) {
        if record.step.is_over() {
            self.by_tenant.remove(&record.tenant);
        } else {
            self.by_tenant.insert(record.tenant.clone(), record.clone());
        }
    }

    /// Checks that a migration of a tenant may begin.
    ///
    /// # Errors
    ///
    /// [`MigrationError`], while another migration of the tenant is in progress.
    pub fn may_begin(&self, tenant: &str) -> Result<(), MigrationError> {
        self.by_tenant.get(tenant).map_or(Ok(()), |record| {
            let text = format!(
                "tenant {tenant:?} is already migrating from cell {} to {}, at step {:?}; wait for it to end, or abort it",
                record.from.0, record.to.0, record.step
            );
            Err(MigrationError(text))
        })
    }

    /// Checks that the migration of a tenant may be aborted.
    ///
    /// # Errors
    ///
    /// [`MigrationError`], if the tenant is not migrating, or its migration has reached the cut-over.
    pub fn may_abort(&self, tenant: &str) -> Result<(), MigrationError> {
        match self.by_tenant.get(tenant) {
            None => Err(MigrationError(format!(
                "tenant {tenant:?} is not migrating; there is nothing to abort"
            ))),
            Some(record) if record.step.may_abort() => Ok(()),
            Some(record) => Err(MigrationError(format!(
                "the migration of tenant {tenant:?} has passed the point of no return, at step {:?}; let it complete",
                record.step
            ))),
        }
    }
}

/// The writes of one tenant that a gateway has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct SentWrites {
    /// Writes without a result yet.
    in_flight: u32,
    /// Until when a write that ended with an unknown outcome may still run.
    unknown_until: Micros,
}

/// The gateway's side of migrations: its lease on the placement, and the writes that it has sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GatewayLease {
    /// The epoch of the gateway's placement.
    epoch: Epoch,
    lease_until: Micros,
    sent: BTreeMap<String, SentWrites>,
}

impl GatewayLease {
    /// Applies the answer to a fetch of the placement that began at `requested_at`. The lease counts from then, however
    /// long the answer took. Returns false, with no effect, if the answer's epoch is older than the gateway's.
    pub fn renew(&mut self, requested_at: Micros, timing: &Timing, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.lease_until = self
            .lease_until
            .max(requested_at.saturating_add(timing.lease));
        true
    }

    /// Whether a write of a tenant with this home may be sent now.
    pub fn may_write(&self, now: Micros, home: &Home) -> bool {
        now < self.lease_until && home.epoch <= self.epoch && !home.held
    }

    /// Records that a write of a tenant is sent.
    pub fn write_sent(&mut self, tenant: &str) {
        self.sent.entry(tenant.to_owned()).or_default().in_flight += 1;
    }

    /// Records that a write has ended. If its outcome is unknown, it may still run until `unknown_until`.
    pub fn write_ended(&mut self, now: Micros, tenant: &str, unknown_until: Option<Micros>) {
        let Some(sent) = self.sent.get_mut(tenant) else {
            return;
        };
        sent.in_flight = sent.in_flight.saturating_sub(1);
        sent.unknown_until = sent.unknown_until.max(unknown_until.unwrap_or(0));
        // Bounds the map: a tenant without writes that may still run is removed.
        if sent.in_flight == 0 && sent.unknown_until <= now {
            self.sent.remove(tenant);
        }
    }

    /// Whether the hold of a tenant's writes can be acknowledged: no write sent before it can still run.
    pub fn may_acknowledge(&mut self, now: Micros, tenant: &str, home: &Home) -> bool {
        let none_can_run = self
            .sent
            .get(tenant)
            .is_none_or(|sent| sent.in_flight == 0 && sent.unknown_until <= now);
        if none_can_run {
            self.sent.remove(tenant);
        }
        none_can_run && home.held && home.epoch <= self.epoch
    }

    /// How long ago the lease ended, microseconds; 0 while it lasts.
    pub fn expired_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.lease_until)
    }

    /// The epoch of the gateway's placement.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

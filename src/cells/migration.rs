//! Moving a tenant from one cell to another, so that no two gateways ever write it to two cells.
//!
//! [`Move`] is the migrator's side: placed, preparing, holding, fencing, cut over, settling, placed. Every step is recorded
//! before it takes effect, and resuming from any record repeats that step's effects, which do no harm twice. Before
//! the cut-over it can be aborted at any point; after it, it only goes forward. [`Holder`] is the gateway's side: a
//! lease on the placement, and what writes of a tenant may still run.

use super::placement::Home;
use super::{CellId, Epoch};
use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A gateway that holds leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayId(pub u16);

/// The times of a migration, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    /// How long a lease lasts.
    pub lease: Micros,
    /// How far two clocks may run apart while a lease lasts: 0.1% and a step would be much.
    pub drift: Micros,
    /// How long writes may be held before the migration is aborted.
    pub hold: Micros,
    /// How long reads of what a session wrote go to the primary after the cut-over.
    pub settle: Micros,
}

/// Where a migration stands, as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The target is being made ready; nothing has changed for anybody.
    Preparing,
    /// Gateways send no new writes, and let those that run end.
    Holding,
    /// The source takes no more writes of the tenant, from anybody, whatever a gateway believes.
    Fencing,
    /// The target is where the tenant lives.
    CutOver,
    /// It lives there; reads of what a session wrote go to the primary for a while.
    Settling,
    /// Done.
    Placed,
    /// It goes back to as it was.
    Aborting,
    /// Done: as it was.
    Aborted,
}

impl Step {
    /// Whether it can still be called off.
    pub fn may_abort(self) -> bool {
        matches!(self, Step::Preparing | Step::Holding | Step::Fencing)
    }

    /// Whether the migration has come to its end.
    pub fn is_over(self) -> bool {
        matches!(self, Step::Placed | Step::Aborted)
    }
}

/// What is recorded of a migration: all that resuming it needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Who migrations.
    pub tenant: String,
    /// From this cell.
    pub from: CellId,
    /// To that.
    pub to: CellId,
    /// The epoch before it began; the migration uses the three that follow.
    pub base: Epoch,
    /// Where it stands.
    pub step: Step,
}

impl Record {
    fn held(&self) -> Epoch {
        self.base.next()
    }

    fn decided(&self) -> Epoch {
        self.held().next()
    }

    fn settled(&self) -> Epoch {
        self.decided().next()
    }
}

/// What happens to a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A record is where a crash leaves it.
    Recorded(Step),
    /// The target can take the tenant's data.
    Prepared,
    /// A gateway was granted a lease, which by the migrator's clock ends then.
    Leased(GatewayId, Micros),
    /// A gateway sends no writes at epochs before this, and none that it sent can still run.
    Acknowledged(GatewayId, Epoch),
    /// The source refuses the tenant's writes.
    Fenced,
    /// The target has all that the source took.
    CaughtUp,
    /// Whoever asks for the placement is told of this epoch.
    Published(Epoch),
    /// The operator wants it called off.
    Abort,
    /// Time passed.
    Tick,
}

/// What a migration wants done. All but `Record` may be done twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the record; nothing follows before it is safe.
    Record(Record),
    /// Make the target ready.
    Prepare,
    /// Publish the tenant's home.
    Publish(Home),
    /// Have a cell refuse the tenant's writes.
    Fence(CellId),
    /// Have a cell take the tenant's writes from this epoch on.
    Unfence(CellId, Epoch),
    /// Bring the target up to where the source stopped.
    CatchUp,
    /// It is over.
    Finished(Step),
}

/// Why a migration can't begin, or be called off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MigrationError(pub String);

/// The migrator's side of one move.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Migration {
    record: Record,
    times: Times,
    /// The record of this step is safe, and its effects may be had.
    recorded: bool,
    since: Micros,
    /// When leases end that were granted before the hold was published.
    leases: BTreeMap<GatewayId, Micros>,
    /// Leases that this migrator may know nothing of, granted before it began, end by then.
    blanket: Micros,
    caught_up: bool,
    fenced: bool,
    published: bool,
    /// Its end was told, once.
    over: bool,
}

impl Migration {
    /// A new move, at the epoch that is in force.
    ///
    /// # Errors
    ///
    /// [`Refused`], where the placement does not allow the migration.
    pub fn begin(
        tenant: &str,
        (from, to): (CellId, CellId),
        base: Epoch,
        times: Times,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Result<Migration, MigrationError> {
        if from == to {
            return Err(MigrationError(format!(
                "{tenant} lives in cell {} already",
                to.0
            )));
        }
        let record = Record {
            tenant: tenant.to_owned(),
            from,
            to,
            base,
            step: Step::Preparing,
        };
        let mut this = Migration::at(record, times, now);
        this.enter(now, Step::Preparing, actions);
        Ok(this)
    }

    /// Takes up a migration where its last record left it; the effects of that step are had again.
    pub fn resume(
        record: Record,
        times: Times,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Migration {
        let mut this = Migration::at(record, times, now);
        this.recorded = true;
        this.effects(actions);
        this
    }

    fn at(record: Record, times: Times, now: Micros) -> Migration {
        Migration {
            record,
            times,
            recorded: false,
            since: now,
            leases: BTreeMap::new(),
            blanket: now.saturating_add(times.lease).saturating_add(times.drift),
            caught_up: false,
            fenced: false,
            published: false,
            over: false,
        }
    }

    /// What is recorded, or about to be.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Recorded(step) if step == self.record.step && !self.recorded => {
                self.recorded = true;
                self.effects(actions);
            }
            Event::Leased(gateway, until) => {
                let lease = self.leases.entry(gateway).or_default();
                *lease = until.max(*lease);
            }
            // Whoever has acknowledged the hold can do no harm, however long its lease.
            Event::Acknowledged(gateway, epoch) if epoch >= self.record.held() => {
                self.leases.insert(gateway, 0);
            }
            Event::Fenced => self.fenced |= self.record.step == Step::Fencing && self.recorded,
            Event::CaughtUp => self.caught_up |= self.fenced,
            Event::Published(epoch) => self.published |= Some(epoch) == self.awaited(),
            Event::Abort if self.record.step.may_abort() => {
                self.enter(now, Step::Aborting, actions);
                return;
            }
            _ => {}
        }
        if self.recorded {
            self.advance(now, event, actions);
        }
    }

    /// The epoch whose publishing the step waits for.
    fn awaited(&self) -> Option<Epoch> {
        match self.record.step {
            Step::Holding => Some(self.record.held()),
            Step::CutOver | Step::Aborting => Some(self.record.decided()),
            Step::Placed => Some(self.record.settled()),
            _ => None,
        }
    }

    fn advance(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match self.record.step {
            Step::Preparing if event == Event::Prepared => self.enter(now, Step::Holding, actions),
            Step::Holding => {
                // Everybody who could still send under the old placement has said that it won't, or has lost the right.
                let quiet = self.leases.values().all(|until| *until <= now) && self.blanket <= now;
                if self.published && quiet {
                    self.enter(now, Step::Fencing, actions);
                } else if now.saturating_sub(self.since) >= self.times.hold {
                    self.enter(now, Step::Aborting, actions);
                }
            }
            Step::Fencing if self.caught_up => self.enter(now, Step::CutOver, actions),
            Step::Fencing if self.fenced && event == Event::Fenced => actions.push(Action::CatchUp),
            Step::CutOver if self.published => self.enter(now, Step::Settling, actions),
            Step::Settling if now.saturating_sub(self.since) >= self.times.settle => {
                self.enter(now, Step::Placed, actions);
            }
            Step::Placed if self.published && !self.over => {
                self.over = true;
                actions.push(Action::Finished(Step::Placed));
            }
            Step::Aborting if self.published => self.enter(now, Step::Aborted, actions),
            _ => {}
        }
    }

    fn enter(&mut self, now: Micros, step: Step, actions: &mut Vec<Action>) {
        self.record.step = step;
        (self.recorded, self.published, self.since) = (false, false, now);
        actions.push(Action::Record(self.record.clone()));
    }

    /// What the step does, once it is recorded.
    fn effects(&self, actions: &mut Vec<Action>) {
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
            Step::Holding => actions.push(home(record.from, record.held(), true, false)),
            Step::Fencing => actions.push(Action::Fence(record.from)),
            Step::CutOver => {
                // It may have lived there before, and been fenced when it left.
                actions.push(Action::Unfence(record.to, record.decided()));
                actions.push(home(record.to, record.decided(), false, true));
            }
            Step::Settling => {}
            Step::Placed => actions.push(home(record.to, record.settled(), false, false)),
            Step::Aborting => {
                actions.push(Action::Unfence(record.from, record.decided()));
                actions.push(home(record.from, record.decided(), false, false));
            }
            Step::Aborted => actions.push(Action::Finished(Step::Aborted)),
        }
    }
}

/// Moves that are under way, by tenant.
#[derive(Clone, Debug, Default)]
pub struct Migrations {
    under_way: BTreeMap<String, Record>,
}

impl Migrations {
    /// Takes in a record; one that is over ends its move.
    pub fn recorded(&mut self, record: &Record) {
        if record.step.is_over() {
            self.under_way.remove(&record.tenant);
        } else {
            self.under_way.insert(record.tenant.clone(), record.clone());
        }
    }

    /// Whether a tenant may begin to move: not while it migrations.
    ///
    /// # Errors
    ///
    /// [`Refused`], while the tenant migrations.
    pub fn may_begin(&self, tenant: &str) -> Result<(), MigrationError> {
        self.under_way.get(tenant).map_or(Ok(()), |record| {
            let text = format!(
                "{tenant} moves already, from cell {} to {}: {:?}",
                record.from.0, record.to.0, record.step
            );
            Err(MigrationError(text))
        })
    }

    /// Whether a migration may be called off.
    ///
    /// # Errors
    ///
    /// [`Refused`], where it does not move, or has passed the point of no return.
    pub fn may_abort(&self, tenant: &str) -> Result<(), MigrationError> {
        match self.under_way.get(tenant) {
            None => Err(MigrationError(format!("{tenant} does not move"))),
            Some(record) if record.step.may_abort() => Ok(()),
            Some(record) => Err(MigrationError(format!(
                "{tenant} is past the point of return: {:?}",
                record.step
            ))),
        }
    }
}

/// Writes of one tenant that a gateway has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Sent {
    /// Those that are out.
    out: u32,
    /// Until when one that is over without a known outcome may yet run.
    unknown_until: Micros,
}

/// The gateway's side: its lease, and what it has sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GatewayLease {
    /// The epoch of the placement that it holds.
    epoch: Epoch,
    lease_until: Micros,
    sent: BTreeMap<String, Sent>,
}

impl GatewayLease {
    /// The placement's source answered a call that was *made* at this time: the lease counts from then, however long
    /// the answer took. One of an older epoch is refused.
    pub fn learned(&mut self, asked: Micros, times: &Times, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        self.lease_until = self.lease_until.max(asked.saturating_add(times.lease));
        true
    }

    /// Whether a write may be sent under this home, now.
    pub fn may_write(&self, now: Micros, home: &Home) -> bool {
        now < self.lease_until && home.epoch <= self.epoch && !home.held
    }

    /// A write of a tenant goes out.
    pub fn sends(&mut self, tenant: &str) {
        self.sent.entry(tenant.to_owned()).or_default().out += 1;
    }

    /// It is over; with no known outcome, it may yet run until then.
    pub fn ended(&mut self, now: Micros, tenant: &str, unknown_until: Option<Micros>) {
        let Some(sent) = self.sent.get_mut(tenant) else {
            return;
        };
        sent.out = sent.out.saturating_sub(1);
        sent.unknown_until = sent.unknown_until.max(unknown_until.unwrap_or(0));
        // Tenants come and go: one that owes nothing is forgotten.
        if sent.out == 0 && sent.unknown_until <= now {
            self.sent.remove(tenant);
        }
    }

    /// Whether a hold can be acknowledged: nothing that was sent before it can still run.
    pub fn may_acknowledge(&mut self, now: Micros, tenant: &str, home: &Home) -> bool {
        let quiet = self
            .sent
            .get(tenant)
            .is_none_or(|sent| sent.out == 0 && sent.unknown_until <= now);
        if quiet {
            self.sent.remove(tenant);
        }
        quiet && home.held && home.epoch <= self.epoch
    }

    /// How old the placement is by its lease: time since it ran out.
    pub fn overdue(&self, now: Micros) -> Micros {
        now.saturating_sub(self.lease_until)
    }

    /// The epoch it holds.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }
}

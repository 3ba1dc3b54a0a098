//! Model check of a migration: all interleavings of two gateways and one migrator, with crashes, lost messages, and a pause
//! of any length between a gateway's decision to write and the arrival of the write. The model runs the program's own state
//! machines.

use asterreel::cells::migration::{
    Action, Event, GatewayId, GatewayLease, Migration, MigrationRecord, Step, Timing,
};
use asterreel::cells::placement::Home;
use asterreel::cells::{CellId, Epoch};
use stateright::{Checker, Model, Property};

const SOURCE: CellId = CellId(0);
const TARGET: CellId = CellId(1);
const TENANT: &str = "t";
const TIMING: Timing = Timing {
    lease: 2,
    drift: 1,
    hold: 5,
    settle: 1,
};

/// The bounds of the model, and whether the fence is in effect.
#[derive(Clone, Copy)]
struct MigrationModel {
    /// Whether the source rejects writes that arrive after the fence.
    fence: bool,
    /// The time at which the clock stops.
    ticks: u64,
    /// The most crashes, of the migrator and gateways together.
    crashes: u8,
    /// The most lost messages.
    losses: u8,
    /// Whether the operator may abort the migration.
    aborts: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    lease: GatewayLease,
    home: Option<Home>,
    /// A write that the gateway decided to send and that has not arrived; the process may pause here for any time.
    write_in_flight: Option<(CellId, Epoch)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: u64,
    migrator: Option<Migration>,
    /// The last durable record.
    record: Option<MigrationRecord>,
    /// The actions that the migrator has not carried out yet.
    pending: Vec<PendingAction>,
    published: Home,
    /// The epoch from which each cell accepts writes; none if the cell is fenced.
    accepts_from: [Option<Epoch>; 2],
    gateways: [Gateway; 2],
    target_wrote: bool,
    caught_up: bool,
    finished: bool,
    violation: Option<&'static str>,
    crashes: u8,
    losses: u8,
}

/// [`Action`] in a form that can be hashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum PendingAction {
    Record(MigrationRecord),
    Prepare,
    Publish(CellId, Epoch, bool, bool),
    Fence(CellId),
    Unfence(CellId, Epoch),
    CatchUp,
    Finished,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Transition {
    Tick,
    /// The migrator carries out its first pending action.
    CarryOut,
    Abort,
    CrashMigrator,
    Resume,
    /// A gateway fetches the placement, and whether the answer arrives.
    Fetch(usize, bool),
    /// A gateway decides to write.
    Decide(usize),
    /// A gateway's write arrives at its cell.
    Arrive(usize),
    /// A gateway acknowledges the hold, and whether the message arrives.
    Acknowledge(usize, bool),
    CrashGateway(usize),
}

impl ModelState {
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        if let Some(migrator) = &mut self.migrator {
            migrator.handle(self.now, event, &mut actions);
        }
        self.enqueue(actions);
    }

    fn enqueue(&mut self, actions: Vec<Action>) {
        self.pending
            .extend(actions.into_iter().map(|action| match action {
                Action::Record(record) => PendingAction::Record(record),
                Action::Prepare => PendingAction::Prepare,
                Action::Publish(home) => {
                    PendingAction::Publish(home.cell, home.epoch, home.held, home.settling)
                }
                Action::Fence(cell) => PendingAction::Fence(cell),
                Action::Unfence(cell, epoch) => PendingAction::Unfence(cell, epoch),
                Action::CatchUp => PendingAction::CatchUp,
                Action::Finished(_) => PendingAction::Finished,
            }));
    }

    fn carry_out_next(&mut self, fence: bool) {
        match self.pending.remove(0) {
            PendingAction::Record(record) => {
                let step = record.step;
                self.record = Some(record);
                self.handle(Event::Recorded(step));
            }
            PendingAction::Prepare => self.handle(Event::Prepared),
            PendingAction::Publish(cell, epoch, held, settling) => {
                self.published = Home {
                    cell,
                    epoch,
                    held,
                    settling,
                };
                self.handle(Event::Published(epoch));
            }
            PendingAction::Fence(cell) => {
                if fence {
                    self.accepts_from[usize::from(cell.0)] = None;
                }
                self.handle(Event::Fenced);
            }
            PendingAction::Unfence(cell, epoch) => {
                self.accepts_from[usize::from(cell.0)] = Some(epoch)
            }
            PendingAction::CatchUp => {
                self.caught_up = true;
                self.handle(Event::CaughtUp);
            }
            PendingAction::Finished => self.finished = true,
        }
    }

    /// The time of the gateways' clocks, which are behind the migrator's by the greatest drift.
    fn gateway_now(&self) -> u64 {
        self.now.saturating_sub(TIMING.drift)
    }

    fn arrive(&mut self, gateway: usize) {
        let Some((cell, epoch)) = self.gateways[gateway].write_in_flight.take() else {
            return;
        };
        let is_accepted = self.accepts_from[usize::from(cell.0)].is_some_and(|from| epoch >= from);
        let step = self.record.as_ref().map(|record| record.step);
        let is_cut_over = matches!(step, Some(Step::CutOver | Step::Settling | Step::Placed));
        if is_accepted && cell == TARGET {
            self.target_wrote = true;
        }
        if is_accepted && cell == SOURCE && self.target_wrote {
            self.violation = Some("written to two cells");
        } else if is_accepted && cell == SOURCE && is_cut_over && self.caught_up {
            self.violation = Some("a write that the target never gets");
        }
        let now = self.now;
        self.gateways[gateway].lease.write_ended(now, TENANT, None);
    }
}

impl Model for MigrationModel {
    type State = ModelState;
    type Action = Transition;

    fn init_states(&self) -> Vec<ModelState> {
        let home = Home {
            cell: SOURCE,
            epoch: Epoch(1),
            held: false,
            settling: false,
        };
        let gateway = Gateway {
            lease: GatewayLease::default(),
            home: None,
            write_in_flight: None,
        };
        let mut state = ModelState {
            now: 1,
            migrator: None,
            record: None,
            pending: Vec::new(),
            published: home,
            accepts_from: [Some(Epoch(0)), Some(Epoch(0))],
            gateways: [gateway.clone(), gateway],
            target_wrote: false,
            caught_up: false,
            finished: false,
            violation: None,
            crashes: 0,
            losses: 0,
        };
        let mut actions = Vec::new();
        let migration = Migration::begin(
            TENANT,
            (SOURCE, TARGET),
            Epoch(1),
            TIMING,
            state.now,
            &mut actions,
        );
        state.migrator = Some(migration.expect("two cells"));
        state.enqueue(actions);
        vec![state]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Transition>) {
        // The migration has ended and no write is in flight.
        let is_over = state.finished
            && state
                .gateways
                .iter()
                .all(|gateway| gateway.write_in_flight.is_none());
        if state.violation.is_some() || is_over && state.target_wrote {
            return;
        }
        if state.now < self.ticks {
            actions.push(Transition::Tick);
        }
        if !state.pending.is_empty() {
            actions.push(Transition::CarryOut);
        }
        match &state.migrator {
            Some(migrator) if !state.finished => {
                if self.aborts && migrator.record().step.may_abort() {
                    actions.push(Transition::Abort);
                }
                if state.crashes < self.crashes {
                    actions.push(Transition::CrashMigrator);
                }
            }
            None if state.record.is_some() => actions.push(Transition::Resume),
            _ => {}
        }
        for (number, gateway) in state.gateways.iter().enumerate() {
            if gateway.home != Some(state.published)
                || gateway.lease.expired_for(state.gateway_now() + 1) > 0
            {
                actions.push(Transition::Fetch(number, true));
                if state.losses < self.losses {
                    actions.push(Transition::Fetch(number, false));
                }
            }
            let now = state.gateway_now();
            match (gateway.write_in_flight, &gateway.home) {
                (Some(_), _) => actions.push(Transition::Arrive(number)),
                (None, Some(home)) if gateway.lease.may_write(now, home) => {
                    actions.push(Transition::Decide(number))
                }
                (None, Some(home))
                    if home.held && gateway.lease.clone().may_acknowledge(now, TENANT, home) =>
                {
                    actions.push(Transition::Acknowledge(number, true));
                    if state.losses < self.losses {
                        actions.push(Transition::Acknowledge(number, false));
                    }
                }
                _ => {}
            }
            if state.crashes < self.crashes && gateway.home.is_some() {
                actions.push(Transition::CrashGateway(number));
            }
        }
    }

    fn next_state(&self, before: &ModelState, action: Transition) -> Option<ModelState> {
        let mut state = before.clone();
        match action {
            Transition::Tick => {
                state.now += 1;
                state.handle(Event::Tick);
            }
            Transition::CarryOut => state.carry_out_next(self.fence),
            Transition::Abort => state.handle(Event::Abort),
            Transition::CrashMigrator => {
                // The record and the effects of actions stay; pending actions are lost.
                (state.migrator, state.crashes) = (None, state.crashes + 1);
                state.pending.clear();
            }
            Transition::Resume => {
                let (mut actions, record) = (Vec::new(), state.record.clone()?);
                state.migrator = Some(Migration::resume(record, TIMING, state.now, &mut actions));
                state.enqueue(actions);
            }
            Transition::Fetch(number, arrives) => {
                let (requested_at, home) = (state.gateway_now(), state.published);
                state.handle(Event::Leased(
                    GatewayId(number as u16),
                    state.now + TIMING.lease + TIMING.drift,
                ));
                state.losses += u8::from(!arrives);
                if arrives
                    && state.gateways[number]
                        .lease
                        .renew(requested_at, &TIMING, home.epoch)
                {
                    state.gateways[number].home = Some(home);
                }
            }
            Transition::Decide(number) => {
                let gateway = &mut state.gateways[number];
                let home = gateway.home?;
                gateway.write_in_flight = Some((home.cell, home.epoch));
                gateway.lease.write_sent(TENANT);
            }
            Transition::Arrive(number) => state.arrive(number),
            Transition::Acknowledge(number, arrives) => {
                let (now, home) = (state.gateway_now(), state.gateways[number].home?);
                state.losses += u8::from(!arrives);
                if state.gateways[number]
                    .lease
                    .may_acknowledge(now, TENANT, &home)
                    && arrives
                {
                    state.handle(Event::Acknowledged(GatewayId(number as u16), home.epoch));
                }
            }
            Transition::CrashGateway(number) => {
                // A write in flight may still arrive.
                state.crashes += 1;
                (state.gateways[number].lease, state.gateways[number].home) =
                    (GatewayLease::default(), None);
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no write to two cells and none lost",
                |_, state: &ModelState| state.violation.is_none(),
            ),
            Property::sometimes("a migration is completed", |_, state: &ModelState| {
                state.finished && state.published.cell == TARGET
            }),
            Property::sometimes("a migration is aborted", |_, state: &ModelState| {
                state.finished && state.published.cell == SOURCE
            }),
            Property::sometimes("the target is written", |_, state: &ModelState| {
                state.target_wrote
            }),
        ]
    }
}

fn explore(model: MigrationModel) -> (usize, Vec<&'static str>) {
    let checker = model.checker().threads(8).spawn_bfs().join();
    let found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    println!(
        "{} states, {} unique, found {found:?}",
        checker.state_count(),
        checker.unique_state_count()
    );
    (checker.unique_state_count(), found)
}

/// Checks that no interleaving violates the safety property; returns the number of states.
fn assert_safe(model: MigrationModel) -> usize {
    let (states, found) = explore(model);
    assert!(!found.contains(&"no write to two cells and none lost"));
    assert!(
        found.contains(&"a migration is completed") && found.contains(&"the target is written"),
        "{found:?}"
    );
    assert_eq!(found.contains(&"a migration is aborted"), model.aborts);
    states
}

/// The bounds of the tests that always run. Each is explored exhaustively within its bounds.
const QUICK: MigrationModel = MigrationModel {
    fence: true,
    ticks: 5,
    crashes: 0,
    losses: 0,
    aborts: false,
};

#[test]
fn no_interleaving_writes_to_two_cells_or_loses_a_write() {
    let states = assert_safe(QUICK);
    assert!(states > 10_000, "only {states} states were explored");
    assert_safe(MigrationModel {
        aborts: true,
        ..QUICK
    });
    assert_safe(MigrationModel { losses: 1, ..QUICK });
    assert_safe(MigrationModel {
        crashes: 1,
        ..QUICK
    });
}

/// All faults together, as in docs/measurements/cells-model.md.
#[test]
#[ignore = "a measurement: cargo test --release --test cells_model -- --ignored --nocapture"]
fn no_interleaving_with_all_faults_together_is_unsafe() {
    assert_safe(MigrationModel {
        ticks: 6,
        crashes: 1,
        losses: 1,
        aborts: true,
        ..QUICK
    });
}

#[test]
fn migration_without_the_fence_is_unsafe() {
    let (_, found) = explore(MigrationModel {
        fence: false,
        ..QUICK
    });
    assert!(
        found.contains(&"no write to two cells and none lost"),
        "{found:?}"
    );
}

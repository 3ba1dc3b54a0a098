//! All interleavings of a move: two gateways, one mover, crashes, lost messages, and a pause at any point between a
//! gateway's decision to write and the write's arrival. The machines are the program's own.

use asterreel::cells::migration::{
    Action, Event, GatewayId, GatewayLease, Migration, Record, Step, Times,
};
use asterreel::cells::placement::Home;
use asterreel::cells::{CellId, Epoch};
use stateright::{Checker, Model, Property};

const SOURCE: CellId = CellId(0);
const TARGET: CellId = CellId(1);
const TENANT: &str = "t";
const TIMES: Times = Times {
    lease: 2,
    drift: 1,
    hold: 5,
    settle: 1,
};

/// What is explored, and which safeguard is taken out.
#[derive(Clone, Copy)]
struct Explored {
    /// The source refuses what comes after the fence.
    fence: bool,
    ticks: u64,
    crashes: u8,
    losses: u8,
    aborts: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    holder: GatewayLease,
    home: Option<Home>,
    /// A write that was decided on and has not arrived: the process may pause here for ever.
    air: Option<(CellId, Epoch)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    mover: Option<Migration>,
    record: Option<Record>,
    /// What the mover has yet to do.
    todo: Vec<Deed>,
    published: Home,
    /// By cell: from which epoch on it takes writes; none at all where it is fenced.
    takes: [Option<Epoch>; 2],
    gateways: [Gateway; 2],
    target_wrote: bool,
    caught_up: bool,
    finished: bool,
    wrong: Option<&'static str>,
    crashes: u8,
    losses: u8,
}

/// [`Action`] without what can't be hashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Deed {
    Record(Record),
    Prepare,
    Publish(CellId, Epoch, bool, bool),
    Fence(CellId),
    Unfence(CellId, Epoch),
    CatchUp,
    Finished,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Do {
    Tick,
    Deed,
    Abort,
    CrashMover,
    Resume,
    Fetch(usize, bool),
    Decide(usize),
    Arrive(usize),
    Acknowledge(usize, bool),
    CrashGateway(usize),
}

impl World {
    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        if let Some(mover) = &mut self.mover {
            mover.handle(self.now, event, &mut actions);
        }
        self.owe(actions);
    }

    fn owe(&mut self, actions: Vec<Action>) {
        self.todo
            .extend(actions.into_iter().map(|action| match action {
                Action::Record(record) => Deed::Record(record),
                Action::Prepare => Deed::Prepare,
                Action::Publish(home) => {
                    Deed::Publish(home.cell, home.epoch, home.held, home.settling)
                }
                Action::Fence(cell) => Deed::Fence(cell),
                Action::Unfence(cell, epoch) => Deed::Unfence(cell, epoch),
                Action::CatchUp => Deed::CatchUp,
                Action::Finished(_) => Deed::Finished,
            }));
    }

    fn deed(&mut self, fence: bool) {
        match self.todo.remove(0) {
            Deed::Record(record) => {
                let step = record.step;
                self.record = Some(record);
                self.tell(Event::Recorded(step));
            }
            Deed::Prepare => self.tell(Event::Prepared),
            Deed::Publish(cell, epoch, held, settling) => {
                self.published = Home {
                    cell,
                    epoch,
                    held,
                    settling,
                };
                self.tell(Event::Published(epoch));
            }
            Deed::Fence(cell) => {
                if fence {
                    self.takes[usize::from(cell.0)] = None;
                }
                self.tell(Event::Fenced);
            }
            Deed::Unfence(cell, epoch) => self.takes[usize::from(cell.0)] = Some(epoch),
            Deed::CatchUp => {
                self.caught_up = true;
                self.tell(Event::CaughtUp);
            }
            Deed::Finished => self.finished = true,
        }
    }

    /// The gateway's clock may be behind by the drift that is allowed for.
    fn gateways_now(&self) -> u64 {
        self.now.saturating_sub(TIMES.drift)
    }

    fn arrive(&mut self, gateway: usize) {
        let Some((cell, epoch)) = self.gateways[gateway].air.take() else {
            return;
        };
        let taken = self.takes[usize::from(cell.0)].is_some_and(|from| epoch >= from);
        let moving = self.record.as_ref().map(|record| record.step);
        let gone = matches!(moving, Some(Step::CutOver | Step::Settling | Step::Placed));
        if taken && cell == TARGET {
            self.target_wrote = true;
        }
        if taken && cell == SOURCE && self.target_wrote {
            self.wrong = Some("written to two cells");
        } else if taken && cell == SOURCE && gone && self.caught_up {
            self.wrong = Some("a write that the target never gets");
        }
        let now = self.now;
        self.gateways[gateway].holder.ended(now, TENANT, None);
    }
}

impl Model for Explored {
    type State = World;
    type Action = Do;

    fn init_states(&self) -> Vec<World> {
        let home = Home {
            cell: SOURCE,
            epoch: Epoch(1),
            held: false,
            settling: false,
        };
        let gateway = Gateway {
            holder: GatewayLease::default(),
            home: None,
            air: None,
        };
        let mut world = World {
            now: 1,
            mover: None,
            record: None,
            todo: Vec::new(),
            published: home,
            takes: [Some(Epoch(0)), Some(Epoch(0))],
            gateways: [gateway.clone(), gateway],
            target_wrote: false,
            caught_up: false,
            finished: false,
            wrong: None,
            crashes: 0,
            losses: 0,
        };
        let mut actions = Vec::new();
        let begun = Migration::begin(
            TENANT,
            (SOURCE, TARGET),
            Epoch(1),
            TIMES,
            world.now,
            &mut actions,
        );
        world.mover = Some(begun.expect("two cells"));
        world.owe(actions);
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Do>) {
        // Over, and nothing on its way any more.
        let over = world.finished && world.gateways.iter().all(|gateway| gateway.air.is_none());
        if world.wrong.is_some() || over && world.target_wrote {
            return;
        }
        if world.now < self.ticks {
            actions.push(Do::Tick);
        }
        if !world.todo.is_empty() {
            actions.push(Do::Deed);
        }
        match &world.mover {
            Some(mover) if !world.finished => {
                if self.aborts && mover.record().step.may_abort() {
                    actions.push(Do::Abort);
                }
                if world.crashes < self.crashes {
                    actions.push(Do::CrashMover);
                }
            }
            None if world.record.is_some() => actions.push(Do::Resume),
            _ => {}
        }
        for (number, gateway) in world.gateways.iter().enumerate() {
            if gateway.home != Some(world.published)
                || gateway.holder.overdue(world.gateways_now() + 1) > 0
            {
                actions.push(Do::Fetch(number, true));
                if world.losses < self.losses {
                    actions.push(Do::Fetch(number, false));
                }
            }
            let now = world.gateways_now();
            match (gateway.air, &gateway.home) {
                (Some(_), _) => actions.push(Do::Arrive(number)),
                (None, Some(home)) if gateway.holder.may_write(now, home) => {
                    actions.push(Do::Decide(number))
                }
                (None, Some(home))
                    if home.held && gateway.holder.clone().may_acknowledge(now, TENANT, home) =>
                {
                    actions.push(Do::Acknowledge(number, true));
                    if world.losses < self.losses {
                        actions.push(Do::Acknowledge(number, false));
                    }
                }
                _ => {}
            }
            if world.crashes < self.crashes && gateway.home.is_some() {
                actions.push(Do::CrashGateway(number));
            }
        }
    }

    fn next_state(&self, before: &World, action: Do) -> Option<World> {
        let mut world = before.clone();
        match action {
            Do::Tick => {
                world.now += 1;
                world.tell(Event::Tick);
            }
            Do::Deed => world.deed(self.fence),
            Do::Abort => world.tell(Event::Abort),
            Do::CrashMover => {
                // What was recorded and done stays; what was only meant is gone.
                (world.mover, world.crashes) = (None, world.crashes + 1);
                world.todo.clear();
            }
            Do::Resume => {
                let (mut actions, record) = (Vec::new(), world.record.clone()?);
                world.mover = Some(Migration::resume(record, TIMES, world.now, &mut actions));
                world.owe(actions);
            }
            Do::Fetch(number, arrives) => {
                let (asked, home) = (world.gateways_now(), world.published);
                world.tell(Event::Leased(
                    GatewayId(number as u16),
                    world.now + TIMES.lease + TIMES.drift,
                ));
                world.losses += u8::from(!arrives);
                if arrives
                    && world.gateways[number]
                        .holder
                        .learned(asked, &TIMES, home.epoch)
                {
                    world.gateways[number].home = Some(home);
                }
            }
            Do::Decide(number) => {
                let gateway = &mut world.gateways[number];
                let home = gateway.home?;
                gateway.air = Some((home.cell, home.epoch));
                gateway.holder.sends(TENANT);
            }
            Do::Arrive(number) => world.arrive(number),
            Do::Acknowledge(number, arrives) => {
                let (now, home) = (world.gateways_now(), world.gateways[number].home?);
                world.losses += u8::from(!arrives);
                if world.gateways[number]
                    .holder
                    .may_acknowledge(now, TENANT, &home)
                    && arrives
                {
                    world.tell(Event::Acknowledged(GatewayId(number as u16), home.epoch));
                }
            }
            Do::CrashGateway(number) => {
                // What it had on the way may still arrive.
                world.crashes += 1;
                (world.gateways[number].holder, world.gateways[number].home) =
                    (GatewayLease::default(), None);
            }
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no write to two cells and none lost", |_, world: &World| {
                world.wrong.is_none()
            }),
            Property::sometimes("a move is completed", |_, world: &World| {
                world.finished && world.published.cell == TARGET
            }),
            Property::sometimes("a move is aborted", |_, world: &World| {
                world.finished && world.published.cell == SOURCE
            }),
            Property::sometimes("the target is written", |_, world: &World| {
                world.target_wrote
            }),
        ]
    }
}

fn explore(explored: Explored) -> (usize, Vec<&'static str>) {
    let checker = explored.checker().threads(8).spawn_bfs().join();
    let found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    println!(
        "{} states, {} unique, found {found:?}",
        checker.state_count(),
        checker.unique_state_count()
    );
    (checker.unique_state_count(), found)
}

fn is_safe(explored: Explored) -> usize {
    let (states, found) = explore(explored);
    assert!(!found.contains(&"no write to two cells and none lost"));
    assert!(
        found.contains(&"a move is completed") && found.contains(&"the target is written"),
        "{found:?}"
    );
    assert_eq!(found.contains(&"a move is aborted"), explored.aborts);
    states
}

/// Exhaustive, within its bounds.
const QUICK: Explored = Explored {
    fence: true,
    ticks: 5,
    crashes: 0,
    losses: 0,
    aborts: false,
};

#[test]
fn no_interleaving_writes_a_tenant_to_two_cells_or_loses_a_write() {
    let states = is_safe(QUICK);
    assert!(
        states > 10_000,
        "{states} states are too few to mean anything"
    );
    is_safe(Explored {
        aborts: true,
        ..QUICK
    });
    is_safe(Explored { losses: 1, ..QUICK });
    is_safe(Explored {
        crashes: 1,
        ..QUICK
    });
}

/// The command of docs/measurements/cells-model.md.
#[test]
#[ignore = "a measurement: cargo test --release --test cells_model -- --ignored --nocapture"]
fn the_same_with_all_of_it_at_once() {
    is_safe(Explored {
        ticks: 6,
        crashes: 1,
        losses: 1,
        aborts: true,
        ..QUICK
    });
}

#[test]
fn without_the_fence_a_paused_gateway_is_caught_writing_where_it_must_not() {
    let (_, found) = explore(Explored {
        fence: false,
        ..QUICK
    });
    assert!(
        found.contains(&"no write to two cells and none lost"),
        "{found:?}"
    );
}

//! Model check of versions: all interleavings of registered gateways and the control members that share a log.
//!
//! Messages, proposals and confirmations are delayed, reordered or lost, entries are applied late, control members learn of
//! elections late, timers fire and gateways crash at any point. The model runs the real state machines, [`Client`] and
//! [`Coordinator`].

use asterreel::lease::{Index, NodeIdentity, Timing, Token};
use asterreel::versions::{client, coordinator, Client, Command, Content, Coordinator, Formats};
use asterreel::versions::{Outcome, Table, ToControl, ToGateway, Topic};
use stateright::{Checker, Model, Property};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

const TOPIC: Topic = Topic::Catalog;
const FORMATS: Formats = Formats {
    oldest: 1,
    newest: 1,
};
/// A tick of the model, microseconds. It is so short that most fractions of a renewal interval are zero: acks are written
/// and rounds are requested at once, and an unconfirmed round is replaced after one tick.
const TICK: u64 = 4;

/// The limits of one exploration.
#[derive(Clone, Copy)]
struct Exploration {
    /// The length of a lease in ticks. The renewal interval is one tick, and all clocks run at the same rate.
    lease: u64,
    gateways: usize,
    members: usize,
    /// How many ticks pass.
    ticks: u64,
    /// Maximum number of log entries in addition to the initial ones.
    log: usize,
    /// Maximum number of messages in flight at once.
    in_flight: usize,
    proposals: u8,
    crashes: u8,
    elections: u8,
    /// All timers fire, and all messages and entries arrive, before time advances.
    fair: bool,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum InFlight {
    ToControl(usize, ToControl),
    ToGateway(usize, ToGateway),
    Proposal(Command),
    /// A read-index round on its way to a quorum, with the number of entries committed when it was requested.
    Round {
        member: usize,
        round: u64,
        committed: usize,
    },
    Confirmed {
        member: usize,
        round: u64,
        committed: usize,
    },
}

impl InFlight {
    /// The order of messages in flight does not matter. Sorting them by this key makes equivalent states compare equal.
    fn sort_key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    log: Vec<Command>,
    /// The number of initial entries: an epoch, the registrations, a proposal and its acks.
    initial_entries: usize,
    /// The table of the complete log.
    reference: Table,
    /// The predecessor of each version that was ever active.
    predecessors: BTreeMap<u64, u64>,
    gateways: Vec<Client>,
    incarnations: Vec<u32>,
    members: Vec<Coordinator>,
    /// The elected members, in order.
    elections: Vec<usize>,
    /// By member, how many elections it knows of.
    known_elections: Vec<usize>,
    in_flight: Vec<InFlight>,
    proposals: u8,
    /// Gateways that proposed, and have not crashed since.
    proposers: BTreeSet<usize>,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// A gateway's timer fires. Its messages are sent to the member with the second number.
    RunGateway(usize, usize),
    RunMember(usize),
    Apply(usize),
    /// A member learns which member was elected last.
    ObserveElection(usize),
    Deliver(usize),
    Drop(usize),
    Propose(usize),
    Elect(usize),
    Crash(usize),
    /// On fair paths: all messages and entries arrive, all timers fire, then time advances.
    FairRound,
}

fn identity(number: usize, incarnation: u32) -> NodeIdentity {
    NodeIdentity {
        gateway: number as u32,
        incarnation,
    }
}

impl World {
    fn begin(exploration: &Exploration) -> World {
        let members = (0..exploration.members)
            .map(|number| Coordinator::new(identity(100 + number, 0), exploration.timing()));
        let mut world = World {
            now: 0,
            log: Vec::new(),
            initial_entries: 0,
            reference: Table::default(),
            predecessors: BTreeMap::new(),
            gateways: Vec::new(),
            incarnations: vec![0; exploration.gateways],
            members: members.collect(),
            elections: vec![0],
            known_elections: vec![0; exploration.members],
            in_flight: Vec::new(),
            proposals: 0,
            proposers: BTreeSet::new(),
            crashes: 0,
        };
        for number in 0..exploration.gateways {
            world
                .gateways
                .push(World::start_gateway(exploration, number, 0, 0));
        }
        for member in 0..exploration.members {
            world.observe_election(member);
        }
        // In the initial state all gateways are registered and act on the first version. Further proposals are the second
        // and the third version.
        world.run_until_idle();
        world.now += TICK;
        world.run_until_idle();
        world.propose(0);
        world.run_until_idle();
        assert_eq!(
            world.versions_in_use().len(),
            1,
            "gateways do not act on exactly one version: {world:#?}"
        );
        assert!((0..exploration.gateways).all(|number| world.usable_version(number).is_some()));
        world.proposals = 0;
        world.proposers.clear();
        world.initial_entries = world.log.len();
        world
    }

    fn start_gateway(
        exploration: &Exploration,
        number: usize,
        incarnation: u32,
        now: u64,
    ) -> Client {
        let mut client = Client::new(
            identity(number, incarnation),
            exploration.timing(),
            FORMATS,
            0,
        );
        client.handle(now, client::Event::Serve, &mut Vec::new());
        client
    }

    /// Passes an event to a gateway, and validates proposals at once. Its messages are sent to `member`.
    fn gateway_event(&mut self, number: usize, member: usize, event: client::Event) {
        let mut out = Vec::new();
        let client = &mut self.gateways[number];
        client.handle(self.now, event, &mut out);
        while let Some(action) = out.pop() {
            match action {
                client::Action::Send(message) => {
                    self.in_flight.push(InFlight::ToControl(member, message))
                }
                client::Action::Validate { number, .. } => {
                    let validated = client::Event::Validated {
                        topic: TOPIC,
                        number,
                        result: Ok(()),
                    };
                    client.handle(self.now, validated, &mut out);
                }
                _ => {}
            }
        }
    }

    fn member_event(&mut self, number: usize, event: coordinator::Event) {
        let mut out = Vec::new();
        self.members[number].handle(self.now, event, &mut out);
        for action in out {
            match action {
                coordinator::Action::Propose(command) => {
                    self.in_flight.push(InFlight::Proposal(command))
                }
                coordinator::Action::RequestRound(round) => {
                    let committed = self.log.len();
                    self.in_flight.push(InFlight::Round {
                        member: number,
                        round,
                        committed,
                    });
                }
                coordinator::Action::Send(identity, message) => {
                    self.in_flight
                        .push(InFlight::ToGateway(identity.gateway as usize, message));
                }
                coordinator::Action::Broadcast(message) => {
                    let all = 0..self.gateways.len();
                    self.in_flight
                        .extend(all.map(|gateway| InFlight::ToGateway(gateway, message.clone())));
                }
                coordinator::Action::ReportCounted { .. } | coordinator::Action::Wake(_) => {}
            }
        }
    }

    fn leader(&self) -> usize {
        self.elections.last().copied().unwrap_or(0)
    }

    fn observe_election(&mut self, number: usize) {
        self.known_elections[number] = self.elections.len();
        let leader = self.leader();
        self.member_event(number, coordinator::Event::Leading(leader == number));
    }

    fn propose(&mut self, number: usize) {
        let content = Content {
            format: 1,
            bytes: vec![self.proposals],
        };
        let member = self.leader();
        self.gateway_event(
            number,
            member,
            client::Event::ProposeVersion {
                topic: TOPIC,
                content,
            },
        );
        self.proposals += 1;
        self.proposers.insert(number);
    }

    fn applied(&self, number: usize) -> usize {
        self.members[number].table().applied().0 as usize
    }

    fn apply(&mut self, number: usize) {
        let next = self.applied(number);
        let command = self.log[next].clone();
        self.member_event(
            number,
            coordinator::Event::Applied {
                index: Index(next as u64 + 1),
                command,
            },
        );
    }

    fn commit(&mut self, command: Command) {
        let mut outcomes = Vec::new();
        self.log.push(command.clone());
        let index = Index(self.log.len() as u64);
        self.reference
            .apply(index, &command, &mut outcomes)
            .expect("the next entry");
        for outcome in outcomes {
            if let Outcome::Activated {
                number, previous, ..
            } = outcome
            {
                self.predecessors.insert(number, previous);
            }
        }
    }

    /// Delivers a message. Messages of a gateway that result from it are sent to the leader.
    fn deliver(&mut self, message: InFlight) {
        match message {
            InFlight::ToControl(member, message) => {
                self.member_event(member, coordinator::Event::Received(message));
            }
            InFlight::ToGateway(gateway, message) => {
                let member = self.leader();
                self.gateway_event(gateway, member, client::Event::Received(message));
            }
            InFlight::Proposal(command) => self.commit(command),
            InFlight::Round {
                member,
                round,
                committed,
            } => {
                // A round is confirmed only if no other member has been elected by now, which is after the request.
                if self.leader() == member {
                    self.in_flight.push(InFlight::Confirmed {
                        member,
                        round,
                        committed,
                    });
                }
            }
            InFlight::Confirmed { member, round, .. } => {
                self.member_event(member, coordinator::Event::RoundConfirmed(round));
            }
        }
    }

    /// Whether a message may arrive. A confirmation arrives after the entries that it covers were applied.
    fn is_deliverable(&self, message: &InFlight) -> bool {
        match message {
            InFlight::Confirmed {
                member, committed, ..
            } => self.applied(*member) >= *committed,
            _ => true,
        }
    }

    /// Fires all timers, applies all entries and delivers all messages, until no message is left.
    fn run_until_idle(&mut self) {
        loop {
            for number in 0..self.members.len() {
                while self.applied(number) < self.log.len() {
                    self.apply(number);
                }
                self.member_event(number, coordinator::Event::Tick);
            }
            let leader = self.leader();
            for number in 0..self.gateways.len() {
                self.gateway_event(number, leader, client::Event::Tick);
            }
            if self.in_flight.is_empty() {
                return;
            }
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .for_each(|message| self.deliver(message));
        }
    }

    fn usable_version(&self, number: usize) -> Option<(u64, Token)> {
        self.gateways[number].usable_version(TOPIC, self.now)
    }

    fn versions_in_use(&self) -> BTreeSet<u64> {
        (0..self.gateways.len())
            .filter_map(|number| Some(self.usable_version(number)?.0))
            .collect()
    }

    /// Whether a gateway does not act, or acts under the registration that the log grants it.
    fn acts_only_if_registered(&self, number: usize) -> bool {
        let registration = self
            .reference
            .registration(identity(number, self.incarnations[number]));
        self.usable_version(number).is_none_or(|(_, token)| {
            registration.is_some_and(|registration| registration.token == token)
        })
    }
}

impl Model for Exploration {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::begin(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        let end = self.end();
        // On fair paths the last faults leave enough time for every proposal to be decided.
        let time_left = !self.fair || world.now + 14 * TICK < end;
        let gateways = 0..self.gateways;
        if world.proposals < self.proposals && time_left {
            // The second and the third gateway are interchangeable, so the third proposes nothing.
            actions.extend([0, 1].map(Step::Propose));
        }
        if world.crashes < self.crashes && time_left {
            actions.extend(gateways.clone().map(Step::Crash));
        }
        if world.elections.len() <= usize::from(self.elections) && time_left {
            let others = (0..self.members).filter(|member| *member != world.leader());
            actions.extend(others.map(Step::Elect));
        }
        if self.fair {
            actions.extend((world.now < end).then_some(Step::FairRound));
            return;
        }
        if world.now < end {
            actions.push(Step::Tick);
        }
        for number in gateways {
            actions.extend((0..self.members).map(|member| Step::RunGateway(number, member)));
        }
        for member in 0..self.members {
            actions.push(Step::RunMember(member));
            if world.applied(member) < world.log.len() {
                actions.push(Step::Apply(member));
            }
            if world.known_elections[member] < world.elections.len() {
                actions.push(Step::ObserveElection(member));
            }
        }
        for (position, message) in world.in_flight.iter().enumerate() {
            actions.extend(
                world
                    .is_deliverable(message)
                    .then_some(Step::Deliver(position)),
            );
            actions.push(Step::Drop(position));
        }
    }

    fn next_state(&self, before: &World, action: Step) -> Option<World> {
        let mut world = before.clone();
        match action {
            Step::Tick => world.now += TICK,
            Step::RunGateway(number, member) => {
                world.gateway_event(number, member, client::Event::Tick)
            }
            Step::RunMember(member) => world.member_event(member, coordinator::Event::Tick),
            Step::Apply(member) => world.apply(member),
            Step::ObserveElection(member) => world.observe_election(member),
            Step::Deliver(position) => {
                let message = world.in_flight.remove(position);
                world.deliver(message);
            }
            Step::Drop(position) => drop(world.in_flight.remove(position)),
            Step::Propose(number) => {
                world.propose(number);
                // A gateway without permission proposes nothing.
                let propose = |message: &InFlight| {
                    matches!(
                        message,
                        InFlight::ToControl(_, ToControl::ProposeVersion { .. })
                    )
                };
                world.in_flight.iter().any(propose).then_some(())?;
            }
            Step::Elect(member) => world.elections.push(member),
            Step::Crash(number) => {
                world.incarnations[number] += 1;
                world.proposers.remove(&number);
                world.gateways[number] =
                    World::start_gateway(self, number, world.incarnations[number], world.now);
                world.crashes += 1;
            }
            Step::FairRound => {
                (0..self.members).for_each(|member| world.observe_election(member));
                world.run_until_idle();
                world.now += TICK;
            }
        }
        world.in_flight.sort_by_key(InFlight::sort_key);
        world.in_flight.dedup();
        let within_limits = world.in_flight.len() <= self.in_flight
            && world.log.len() <= world.initial_entries + self.log;
        (world != *before && (self.fair || within_limits)).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no third version is acted on", |_, world: &World| {
                let acted = world.versions_in_use();
                let Some(newest) = acted.last() else {
                    return true;
                };
                let predecessor = world.predecessors.get(newest).copied().unwrap_or(0);
                acted
                    .iter()
                    .all(|version| version == newest || *version == predecessor)
            }),
            Property::always(
                "no gateway acts under a registration that is not its own",
                |_, world: &World| {
                    (0..world.gateways.len()).all(|number| world.acts_only_if_registered(number))
                },
            ),
            Property::eventually(
                "every proposal is decided and all act on the newest version",
                |exploration: &Exploration, world: &World| {
                    let versions: Vec<_> = (0..exploration.gateways)
                        .map(|number| world.usable_version(number).map(|(one, _)| one))
                        .collect();
                    let same =
                        versions[0].is_some() && versions.iter().all(|one| *one == versions[0]);
                    let pending = world
                        .reference
                        .topic(TOPIC)
                        .is_some_and(|status| status.proposal.is_some());
                    // On a path without a proposal the first version stays active. It may also stay active if the proposal
                    // reached a former leader, and the proposer crashed before it could repeat the proposal.
                    let one_leader = world.elections.len() == 1;
                    let must_change = if one_leader {
                        world.proposals > 0
                    } else {
                        !world.proposers.is_empty()
                    };
                    let first = world.predecessors.keys().next().copied();
                    let changed = !must_change || versions[0] > first;
                    world.now == exploration.end() && same && changed && !pending
                },
            ),
            Property::sometimes("two versions are acted on at once", |_, world: &World| {
                world.versions_in_use().len() == 2
            }),
            Property::sometimes(
                "a registration expires",
                |exploration: &Exploration, world: &World| {
                    world.reference.registrations().count() < exploration.gateways
                },
            ),
        ]
    }
}

impl Exploration {
    fn timing(&self) -> Timing {
        Timing {
            lease_us: self.lease * TICK,
            renew_us: TICK,
            drift_ppm: 0,
            margin_us: 0,
        }
    }

    /// The time at which an exploration ends. It begins after one tick.
    fn end(&self) -> u64 {
        (self.ticks + 1) * TICK
    }
}

fn explore(exploration: Exploration) -> (usize, Vec<&'static str>) {
    let checker = exploration.checker().threads(4).spawn_dfs().join();
    let found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    println!(
        "{} states, {} unique, found {found:?}",
        checker.state_count(),
        checker.unique_state_count()
    );
    (checker.unique_state_count(), found)
}

/// The base of the other explorations.
const QUICK: Exploration = Exploration {
    lease: 2,
    gateways: 3,
    members: 1,
    ticks: 0,
    log: 2,
    in_flight: 3,
    proposals: 1,
    crashes: 0,
    elections: 0,
    fair: false,
};

/// Explores, and checks that no safety property is violated and that the expected state was found. Returns the number of
/// unique states.
fn assert_safe(exploration: Exploration, expected: &'static str) -> usize {
    let (states, found) = explore(exploration);
    assert!(
        !found.contains(&"no third version is acted on"),
        "{found:?}"
    );
    assert!(
        !found.contains(&"no gateway acts under a registration that is not its own"),
        "{found:?}"
    );
    assert!(found.contains(&expected), "{found:?}");
    states
}

/// Paths on which all messages arrive before time advances, long enough for every proposal to be decided.
const FAIR: Exploration = Exploration {
    lease: 3,
    ticks: 20,
    crashes: 1,
    fair: true,
    ..QUICK
};

/// Two control members that may both believe that they lead, and one gateway whose messages may reach either.
const TWO_LEADERS: Exploration = Exploration {
    gateways: 1,
    members: 2,
    ticks: 2,
    in_flight: 1,
    proposals: 0,
    elections: 1,
    ..QUICK
};

#[test]
fn no_interleaving_uses_third_version() {
    // The second proposal can become active while some gateways still act on the first version. Acting on a third version
    // would be detected.
    let two_proposals = assert_safe(
        Exploration {
            log: 8,
            proposals: 2,
            ..QUICK
        },
        "two versions are acted on at once",
    );
    let one_tick_later = Exploration {
        gateways: 2,
        ticks: 1,
        log: 3,
        in_flight: 2,
        ..QUICK
    };
    let states = two_proposals + assert_safe(one_tick_later, "two versions are acted on at once");
    assert!(
        states > 50_000,
        "{states} states explored, fewer than expected"
    );
}

#[test]
fn no_interleaving_acts_after_expiry() {
    let states = assert_safe(TWO_LEADERS, "a registration expires");
    assert!(
        states > 20_000,
        "{states} states explored, fewer than expected"
    );
}

/// Explorations with more messages in flight and more time. To run them:
/// `cargo test --release --test versions_model -- --ignored --nocapture`.
#[test]
#[ignore = "long: larger explorations"]
fn larger_explorations_are_safe() {
    assert_safe(
        Exploration {
            in_flight: 2,
            ..TWO_LEADERS
        },
        "a registration expires",
    );
    assert_safe(
        Exploration {
            ticks: 3,
            ..TWO_LEADERS
        },
        "a registration expires",
    );
    let more_in_flight = Exploration {
        gateways: 2,
        ticks: 1,
        log: 3,
        in_flight: 3,
        ..QUICK
    };
    assert_safe(more_in_flight, "two versions are acted on at once");
}

#[test]
fn fair_paths_complete_every_proposal() {
    let two_leaders = Exploration {
        members: 2,
        elections: 1,
        ..FAIR
    };
    for exploration in [
        Exploration {
            proposals: 2,
            ..FAIR
        },
        two_leaders,
    ] {
        let (_, found) = explore(exploration);
        assert!(
            !found.contains(&"every proposal is decided and all act on the newest version"),
            "{found:?}"
        );
        assert!(
            !found.contains(&"no third version is acted on"),
            "{found:?}"
        );
        assert!(
            !found.contains(&"no gateway acts under a registration that is not its own"),
            "{found:?}"
        );
    }
}

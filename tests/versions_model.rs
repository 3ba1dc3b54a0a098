//! All interleavings of gateways with registrations and the control members that share a log: frames, proposals and confirmations
//! that are late, swapped or lost, entries applied late, elections of which members hear late, looks and crashes at any
//! point. The machines are the program's own ([`Client`], [`Coordinator`]).

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
/// A tick of the model. Most parts of a renewal that the machines know are none at all then: verdicts are written and
/// rounds asked for at once, and a round without an answer is replaced after a tick.
const TICK: u64 = 4;
#[derive(Clone, Copy)]
struct Explored {
    /// How many ticks a right lasts. It is asked for again after one; clocks run at one rate.
    lease: u64,
    gateways: usize,
    members: usize,
    ticks: u64,
    /// Entries the log may hold beside those that it begins with.
    log: usize,
    /// What may be on its way at once.
    mail: usize,
    offers: u8,
    crashes: u8,
    elections: u8,
    /// All look, send and apply all, in turn, before time moves on; what is sent arrives.
    fair: bool,
}

/// What is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Parcel {
    ToControl(usize, ToControl),
    ToGateway(usize, ToGateway),
    Proposal(Command),
    /// A confirmation round on its way to a quorum, with the entries that were committed when it was asked for.
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

impl Parcel {
    /// The order in a world's mail does not matter: equal worlds are to look equal.
    fn place(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    log: Vec<Command>,
    /// Entries that it began with: an epoch, the registrations, an offer and the verdicts on it.
    begun: usize,
    /// The whole log applied, and by version the one before it.
    truth: Table,
    before: BTreeMap<u64, u64>,
    gateways: Vec<Client>,
    incarnations: Vec<u32>,
    members: Vec<Coordinator>,
    /// Who was elected, in order, and by member the last election that it heard of.
    elections: Vec<usize>,
    heard_of: Vec<usize>,
    mail: Vec<Parcel>,
    offers: u8,
    /// Gateways that offered, and have not crashed since.
    offerers: BTreeSet<usize>,
    crashes: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Do {
    Tick,
    /// A gateway looks; what it says is on its way to a member.
    Look(usize, usize),
    LookMember(usize),
    Apply(usize),
    /// A member hears who was elected last.
    Tell(usize),
    Arrive(usize),
    Lose(usize),
    Offer(usize),
    Elect(usize),
    Crash(usize),
    /// On fair paths: all that is on its way arrives, everyone looks and applies, then time moves on.
    Round,
}

fn holder(number: usize, incarnation: u32) -> NodeIdentity {
    NodeIdentity {
        gateway: number as u32,
        incarnation,
    }
}

impl World {
    fn begin(explored: &Explored) -> World {
        let members = (0..explored.members)
            .map(|number| Coordinator::new(holder(100 + number, 0), explored.timing()));
        let mut world = World {
            now: 0,
            log: Vec::new(),
            begun: 0,
            truth: Table::default(),
            before: BTreeMap::new(),
            gateways: Vec::new(),
            incarnations: vec![0; explored.gateways],
            members: members.collect(),
            elections: vec![0],
            heard_of: vec![0; explored.members],
            mail: Vec::new(),
            offers: 0,
            offerers: BTreeSet::new(),
            crashes: 0,
        };
        for number in 0..explored.gateways {
            world.gateways.push(World::born(explored, number, 0, 0));
        }
        for member in 0..explored.members {
            world.tell(member);
        }
        // The first version is in force, all have registrations and act on it: the next is the second, the one after a third.
        world.settle();
        world.now += TICK;
        world.settle();
        world.offer(0);
        world.settle();
        assert_eq!(
            world.acted_on().len(),
            1,
            "a version is acted on: {world:#?}"
        );
        assert!((0..explored.gateways).all(|number| world.acting(number).is_some()));
        world.offers = 0;
        world.offerers.clear();
        world.begun = world.log.len();
        world
    }

    fn born(explored: &Explored, number: usize, incarnation: u32, now: u64) -> Client {
        let mut client = Client::new(holder(number, incarnation), explored.timing(), FORMATS, 0);
        client.handle(now, client::Event::Serve, &mut Vec::new());
        client
    }

    /// Hands a gateway an event, and has it judge at once what it is asked to. What it says goes to a member.
    fn gateway(&mut self, number: usize, member: usize, event: client::Event) {
        let mut out = Vec::new();
        let client = &mut self.gateways[number];
        client.handle(self.now, event, &mut out);
        while let Some(action) = out.pop() {
            match action {
                client::Action::Send(message) => self.mail.push(Parcel::ToControl(member, message)),
                client::Action::Validate { number, .. } => {
                    let judged = client::Event::Validated {
                        topic: TOPIC,
                        number,
                        result: Ok(()),
                    };
                    client.handle(self.now, judged, &mut out);
                }
                _ => {}
            }
        }
    }

    fn member(&mut self, number: usize, event: coordinator::Event) {
        let mut out = Vec::new();
        self.members[number].handle(self.now, event, &mut out);
        for action in out {
            match action {
                coordinator::Action::Propose(command) => self.mail.push(Parcel::Proposal(command)),
                coordinator::Action::Confirm(round) => {
                    let committed = self.log.len();
                    self.mail.push(Parcel::Round {
                        member: number,
                        round,
                        committed,
                    });
                }
                coordinator::Action::Send(who, message) => {
                    self.mail
                        .push(Parcel::ToGateway(who.gateway as usize, message));
                }
                coordinator::Action::Broadcast(message) => {
                    let all = 0..self.gateways.len();
                    self.mail
                        .extend(all.map(|gateway| Parcel::ToGateway(gateway, message.clone())));
                }
                coordinator::Action::Counted { .. } | coordinator::Action::Wake(_) => {}
            }
        }
    }

    fn leader(&self) -> usize {
        self.elections.last().copied().unwrap_or(0)
    }

    fn tell(&mut self, number: usize) {
        self.heard_of[number] = self.elections.len();
        let leader = self.leader();
        self.member(number, coordinator::Event::Leading(leader == number));
    }

    fn offer(&mut self, number: usize) {
        let content = Content {
            format: 1,
            bytes: vec![self.offers],
        };
        let member = self.leader();
        self.gateway(
            number,
            member,
            client::Event::ProposeVersion {
                topic: TOPIC,
                content,
            },
        );
        self.offers += 1;
        self.offerers.insert(number);
    }

    fn applied(&self, number: usize) -> usize {
        self.members[number].table().applied().0 as usize
    }

    fn apply(&mut self, number: usize) {
        let next = self.applied(number);
        let command = self.log[next].clone();
        self.member(
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
        self.truth
            .apply(index, &command, &mut outcomes)
            .expect("the next entry");
        for outcome in outcomes {
            if let Outcome::Activated {
                number,
                previous: before,
                ..
            } = outcome
            {
                self.before.insert(number, before);
            }
        }
    }

    /// Hands over what is on its way. What comes of it for a gateway goes to the leader.
    fn arrive(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::ToControl(member, message) => {
                self.member(member, coordinator::Event::Received(message));
            }
            Parcel::ToGateway(gateway, message) => {
                let member = self.leader();
                self.gateway(gateway, member, client::Event::Received(message));
            }
            Parcel::Proposal(command) => self.commit(command),
            Parcel::Round {
                member,
                round,
                committed,
            } => {
                // The truth of a confirmation: at this moment, after it was asked for, no other had been elected.
                if self.leader() == member {
                    self.mail.push(Parcel::Confirmed {
                        member,
                        round,
                        committed,
                    });
                }
            }
            Parcel::Confirmed { member, round, .. } => {
                self.member(member, coordinator::Event::Confirmed(round));
            }
        }
    }

    /// Whether a parcel may arrive: a confirmation does after the entries that it stands for.
    fn ready(&self, parcel: &Parcel) -> bool {
        match parcel {
            Parcel::Confirmed {
                member, committed, ..
            } => self.applied(*member) >= *committed,
            _ => true,
        }
    }

    /// Everyone looks, applies all, and gets all that is on its way, until nothing is left to do.
    fn settle(&mut self) {
        loop {
            for number in 0..self.members.len() {
                while self.applied(number) < self.log.len() {
                    self.apply(number);
                }
                self.member(number, coordinator::Event::Tick);
            }
            let leader = self.leader();
            for number in 0..self.gateways.len() {
                self.gateway(number, leader, client::Event::Tick);
            }
            if self.mail.is_empty() {
                return;
            }
            std::mem::take(&mut self.mail)
                .into_iter()
                .for_each(|parcel| self.arrive(parcel));
        }
    }

    fn acting(&self, number: usize) -> Option<(u64, Token)> {
        self.gateways[number].acting(TOPIC, self.now)
    }

    fn acted_on(&self) -> BTreeSet<u64> {
        (0..self.gateways.len())
            .filter_map(|number| Some(self.acting(number)?.0))
            .collect()
    }

    /// Whether a gateway acts under no registration, or under the one that the log gives it.
    fn registered(&self, number: usize) -> bool {
        let registration = self
            .truth
            .registration(holder(number, self.incarnations[number]));
        self.acting(number).is_none_or(|(_, token)| {
            registration.is_some_and(|registration| registration.token == token)
        })
    }
}

impl Model for Explored {
    type State = World;
    type Action = Do;

    fn init_states(&self) -> Vec<World> {
        vec![World::begin(self)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Do>) {
        let end = self.end();
        let early = !self.fair || world.now + 14 * TICK < end;
        let gateways = 0..self.gateways;
        if world.offers < self.offers && early {
            // The second and the third are alike.
            actions.extend([0, 1].map(Do::Offer));
        }
        if world.crashes < self.crashes && early {
            actions.extend(gateways.clone().map(Do::Crash));
        }
        if world.elections.len() <= usize::from(self.elections) && early {
            let others = (0..self.members).filter(|member| *member != world.leader());
            actions.extend(others.map(Do::Elect));
        }
        if self.fair {
            actions.extend((world.now < end).then_some(Do::Round));
            return;
        }
        if world.now < end {
            actions.push(Do::Tick);
        }
        for number in gateways {
            actions.extend((0..self.members).map(|member| Do::Look(number, member)));
        }
        for member in 0..self.members {
            actions.push(Do::LookMember(member));
            if world.applied(member) < world.log.len() {
                actions.push(Do::Apply(member));
            }
            if world.heard_of[member] < world.elections.len() {
                actions.push(Do::Tell(member));
            }
        }
        for (place, parcel) in world.mail.iter().enumerate() {
            actions.extend(world.ready(parcel).then_some(Do::Arrive(place)));
            actions.push(Do::Lose(place));
        }
    }

    fn next_state(&self, before: &World, action: Do) -> Option<World> {
        let mut world = before.clone();
        match action {
            Do::Tick => world.now += TICK,
            Do::Look(number, member) => world.gateway(number, member, client::Event::Tick),
            Do::LookMember(member) => world.member(member, coordinator::Event::Tick),
            Do::Apply(member) => world.apply(member),
            Do::Tell(member) => world.tell(member),
            Do::Arrive(place) => {
                let parcel = world.mail.remove(place);
                world.arrive(parcel);
            }
            Do::Lose(place) => drop(world.mail.remove(place)),
            Do::Offer(number) => {
                world.offer(number);
                // One without a right offers nothing.
                let offer = |parcel: &Parcel| {
                    matches!(
                        parcel,
                        Parcel::ToControl(_, ToControl::ProposeVersion { .. })
                    )
                };
                world.mail.iter().any(offer).then_some(())?;
            }
            Do::Elect(member) => world.elections.push(member),
            Do::Crash(number) => {
                world.incarnations[number] += 1;
                world.offerers.remove(&number);
                world.gateways[number] =
                    World::born(self, number, world.incarnations[number], world.now);
                world.crashes += 1;
            }
            Do::Round => {
                (0..self.members).for_each(|member| world.tell(member));
                world.settle();
                world.now += TICK;
            }
        }
        world.mail.sort_by_key(Parcel::place);
        world.mail.dedup();
        let room = world.mail.len() <= self.mail && world.log.len() <= world.begun + self.log;
        (world != *before && (self.fair || room)).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no third version is acted on", |_, world: &World| {
                let acted = world.acted_on();
                let Some(newest) = acted.last() else {
                    return true;
                };
                let before = world.before.get(newest).copied().unwrap_or(0);
                acted
                    .iter()
                    .all(|version| version == newest || *version == before)
            }),
            Property::always(
                "nobody acts under a registration that is not its own",
                |_, world: &World| (0..world.gateways.len()).all(|number| world.registered(number)),
            ),
            Property::eventually(
                "every offer ends and all act on the newest",
                |explored: &Explored, world: &World| {
                    let all: Vec<_> = (0..explored.gateways)
                        .map(|number| world.acting(number).map(|(one, _)| one))
                        .collect();
                    let same = all[0].is_some() && all.iter().all(|one| *one == all[0]);
                    let open = world
                        .truth
                        .topic(TOPIC)
                        .is_some_and(|status| status.proposal.is_some());
                    // A path that makes no offer stays with the version that it began with. So does one whose offer
                    // came to a former leader, if the gateway that offered crashed before it could offer again.
                    let one_leader = world.elections.len() == 1;
                    let offered = if one_leader {
                        world.offers > 0
                    } else {
                        !world.offerers.is_empty()
                    };
                    let first = world.before.keys().next().copied();
                    let moved = !offered || all[0] > first;
                    world.now == explored.end() && same && moved && !open
                },
            ),
            Property::sometimes("two versions are acted on at once", |_, world: &World| {
                world.acted_on().len() == 2
            }),
            Property::sometimes(
                "a registration is taken away",
                |explored: &Explored, world: &World| {
                    world.truth.registrations().count() < explored.gateways
                },
            ),
        ]
    }
}

impl Explored {
    fn timing(&self) -> Timing {
        Timing {
            lease_us: self.lease * TICK,
            renew_us: TICK,
            drift_ppm: 0,
            margin_us: 0,
        }
    }

    /// When time is over: it begins after one tick.
    fn end(&self) -> u64 {
        (self.ticks + 1) * TICK
    }
}

fn explore(explored: Explored) -> (usize, Vec<&'static str>) {
    let checker = explored.checker().threads(4).spawn_dfs().join();
    let found: Vec<&'static str> = checker.discoveries().into_keys().collect();
    println!(
        "{} states, {} unique, found {found:?}",
        checker.state_count(),
        checker.unique_state_count()
    );
    (checker.unique_state_count(), found)
}

const QUICK: Explored = Explored {
    lease: 2,
    gateways: 3,
    members: 1,
    ticks: 0,
    log: 2,
    mail: 3,
    offers: 1,
    crashes: 0,
    elections: 0,
    fair: false,
};

fn is_safe(explored: Explored, seen: &'static str) -> usize {
    let (states, found) = explore(explored);
    assert!(
        !found.contains(&"no third version is acted on"),
        "{found:?}"
    );
    assert!(
        !found.contains(&"nobody acts under a registration that is not its own"),
        "{found:?}"
    );
    assert!(found.contains(&seen), "{found:?}");
    states
}

const FAIR: Explored = Explored {
    lease: 3,
    ticks: 20,
    crashes: 1,
    fair: true,
    ..QUICK
};

/// Two members that may both believe that they lead, and one gateway that may hear either.
const LED_BY_TWO: Explored = Explored {
    gateways: 1,
    members: 2,
    ticks: 2,
    mail: 1,
    offers: 0,
    elections: 1,
    ..QUICK
};

#[test]
fn in_no_interleaving_is_a_third_version_acted_on() {
    // The second offer can come in force while some act on the first version still: a third would show.
    let third = is_safe(
        Explored {
            log: 8,
            offers: 2,
            ..QUICK
        },
        "two versions are acted on at once",
    );
    let later = Explored {
        gateways: 2,
        ticks: 1,
        log: 3,
        mail: 2,
        ..QUICK
    };
    let states = third + is_safe(later, "two versions are acted on at once");
    assert!(
        states > 50_000,
        "{states} states are too few to mean anything"
    );
}

#[test]
fn in_no_interleaving_does_a_gateway_act_after_a_leader_took_its_registration_away() {
    let states = is_safe(LED_BY_TWO, "a registration is taken away");
    assert!(
        states > 20_000,
        "{states} states are too few to mean anything"
    );
}

/// More on its way at once, and more time: `cargo test --release --test versions_model -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn the_same_with_more_on_its_way_and_more_time() {
    is_safe(
        Explored {
            mail: 2,
            ..LED_BY_TWO
        },
        "a registration is taken away",
    );
    is_safe(
        Explored {
            ticks: 3,
            ..LED_BY_TWO
        },
        "a registration is taken away",
    );
    let more = Explored {
        gateways: 2,
        ticks: 1,
        log: 3,
        mail: 3,
        ..QUICK
    };
    is_safe(more, "two versions are acted on at once");
}

#[test]
fn on_fair_paths_every_offer_ends_whoever_crashes_or_leads() {
    let two_leaders = Explored {
        members: 2,
        elections: 1,
        ..FAIR
    };
    for explored in [Explored { offers: 2, ..FAIR }, two_leaders] {
        let (_, found) = explore(explored);
        assert!(
            !found.contains(&"every offer ends and all act on the newest"),
            "{found:?}"
        );
        assert!(
            !found.contains(&"no third version is acted on"),
            "{found:?}"
        );
        assert!(
            !found.contains(&"nobody acts under a registration that is not its own"),
            "{found:?}"
        );
    }
}

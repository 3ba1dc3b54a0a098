//! Versions of five gateways on one virtual clock, from seeds: clocks that run at other rates, proposals lost, late and
//! doubled, entries applied late, stalls, cuts, crashes with a new life, contents that some refuse. After every step no
//! gateway may act on a version that is neither the newest that any acts on nor the one before it; reports count each
//! action once; at the end, with the faults over, a version that is offered is in force everywhere within a bound.

use asterreel::lease::{Holder, Index, Timing};
use asterreel::versions::{Action, Command, Content, Event, Formats, Topic, Versions};
use std::collections::{BTreeMap, BTreeSet};

const TIMING: Timing =
    Timing { lease_us: 3_000_000, renew_us: 1_000_000, drift_ppm: 1_000, margin_us: 50_000 };
const GATEWAYS: usize = 5;
const TOPIC: Topic = Topic::Catalog;
const FORMATS: Formats = Formats { oldest: 1, newest: 1 };
/// Longest that a proposal travels to the log, and an entry from the log to a gateway.
const TRAVEL_US: u64 = 200_000;
/// With the faults over: the wait for seats, a rejoin that is damped as far as a run of this length takes it, an offer,
/// the verdicts, and the travels of each.
const CALM_US: u64 = 60_000_000;

struct Gateway {
    versions: Versions,
    rate_ppm: i64,
    life: u32,
    born: u64,
    stalled_until: u64,
    cut_until: u64,
    applied: usize,
    /// Versions to judge, and when it will have.
    judging: Vec<(u64, u64)>,
    /// Actions of this life by version, as they were done.
    acted: BTreeMap<u64, u64>,
}

impl Gateway {
    fn clock(&self, real: u64) -> u64 {
        let lived = (real - self.born) as i128;
        (1_000_000 + lived + lived * i128::from(self.rate_ppm) / 1_000_000) as u64
    }

    fn new(number: usize, life: u32, born: u64, rate_ppm: i64, timing: Timing) -> Gateway {
        let versions = Versions::new(Holder { gateway: number as u32 + 1, life }, timing, FORMATS);
        let (stalled_until, cut_until, applied) = (0, 0, 0);
        let (judging, acted) = (Vec::new(), BTreeMap::new());
        Gateway {
            versions,
            rate_ppm,
            life,
            born,
            stalled_until,
            cut_until,
            applied,
            judging,
            acted,
        }
    }
}

#[derive(Debug, Default)]
struct Seen {
    breaches: Vec<String>,
    in_force: BTreeSet<u64>,
    refused: usize,
    /// From the last offer, in the calm, to the moment when it was in force everywhere.
    agreed_after: Option<u64>,
    /// By gateway that lived through the whole run: what it did, and what the audit has of it.
    counts: Vec<(u64, u64)>,
}

struct World {
    rng: fastrand::Rng,
    gateways: Vec<Gateway>,
    log: Vec<(Command, u64)>,
    travelling: Vec<(Command, u64)>,
    seen: Seen,
    before: BTreeMap<u64, u64>,
}

impl World {
    fn feed(&mut self, number: usize, real: u64, event: Event) {
        let mut out = Vec::new();
        let gateway = &mut self.gateways[number];
        gateway.versions.handle(gateway.clock(real), event, &mut out);
        for action in out {
            match action {
                Action::Propose(command) => {
                    let cut = real < self.gateways[number].cut_until;
                    let copies = if cut || self.rng.u8(0..10) == 0 { 0 } else { 1 + self.rng.u8(0..10) / 9 };
                    for _ in 0..copies {
                        self.travelling.push((command.clone(), real + self.rng.u64(0..TRAVEL_US)));
                    }
                }
                Action::Judge { number: version, .. } => {
                    let when =
                        if self.rng.u8(0..20) == 0 { u64::MAX } else { real + self.rng.u64(0..500_000) };
                    self.gateways[number].judging.push((version, when));
                }
                Action::Enforce { number, before, .. } => {
                    self.seen.in_force.insert(number);
                    let known = *self.before.entry(number).or_insert(before);
                    assert_eq!(known, before, "the same order everywhere");
                }
                Action::Dropped { .. } => self.seen.refused += 1,
                _ => {}
            }
        }
    }

    /// Which versions are acted on now.
    fn acted_on(&self, real: u64) -> BTreeSet<u64> {
        // One that stands still doesn't act, but may take up again what it began: the fence is for that.
        let awake = self.gateways.iter().filter(|gateway| real >= gateway.stalled_until);
        awake.filter_map(|gateway| Some(gateway.versions.acting(TOPIC, gateway.clock(real))?.0)).collect()
    }
}

/// Plays a run in which the first gateway has a timing of its own.
fn play(seed: u64, drift_ppm: i64, first: Timing, faults_us: u64) -> Seen {
    let timing = |number: usize| if number == 0 { first } else { TIMING };
    let mut rng = fastrand::Rng::with_seed(seed);
    let gateways = (0..GATEWAYS)
        .map(|number| Gateway::new(number, 1, 0, rng.i64(-drift_ppm..=drift_ppm), timing(number)))
        .collect();
    let (log, travelling, seen, before) = (Vec::new(), Vec::new(), Seen::default(), BTreeMap::new());
    let mut world = World { rng, gateways, log, travelling, seen, before };
    (0..GATEWAYS).for_each(|number| world.feed(number, 0, Event::Serve));
    world.feed(0, 0, Event::Leading(true));
    let (mut real, mut leader, mut offered_at) = (0, 0, None);
    while real < faults_us + CALM_US && world.seen.agreed_after.is_none() {
        real += world.rng.u64(1_000..20_000);
        let faulty = real < faults_us;
        let one = world.rng.usize(0..GATEWAYS);
        if faulty && world.rng.u32(0..300) == 0 {
            let until = real + world.rng.u64(0..8_000_000);
            match world.rng.u8(0..5) {
                0 => world.gateways[one].stalled_until = until,
                1 => world.gateways[one].cut_until = until,
                2 => {
                    let (life, rate) = (world.gateways[one].life + 1, world.gateways[one].rate_ppm);
                    world.gateways[one] = Gateway::new(one, life, real, rate, timing(one));
                    world.feed(one, real, Event::Serve);
                    world.feed(one, real, Event::Leading(one == leader));
                }
                _ => {
                    world.feed(leader, real, Event::Leading(false));
                    leader = one;
                    world.feed(one, real, Event::Leading(true));
                }
            }
        }
        if real >= faults_us && offered_at.is_none_or(|at| real > at + 2_000_000) {
            offered_at = Some(real);
            let content = Content { format: 1, bytes: vec![0] };
            world.feed(one, real, Event::Offer { topic: TOPIC, content });
        } else if faulty && world.rng.u32(0..60) == 0 {
            // Some contents are refused by whoever judges them, some are not understood.
            let format = if world.rng.u8(0..10) == 0 { 2 } else { 1 };
            let content = Content { format, bytes: vec![u8::from(world.rng.u8(0..8) == 0)] };
            world.feed(one, real, Event::Offer { topic: TOPIC, content });
        }
        // What has reached the log is committed, in any order.
        let (come, on_their_way) = world.travelling.drain(..).partition(|(_, at)| *at <= real);
        world.travelling = on_their_way;
        let come: Vec<(Command, u64)> = come;
        world.log.extend(come.into_iter().map(|(command, _)| (command, real)));
        for number in 0..GATEWAYS {
            let gateway = &world.gateways[number];
            if real < gateway.stalled_until {
                continue;
            }
            let lag = if faulty { world.rng.u64(0..TRAVEL_US) } else { 0 };
            let next = gateway.applied;
            let cut = real < gateway.cut_until;
            let ready = world.log[next..].iter().take_while(|(_, at)| !cut && at + lag <= real);
            let ready: Vec<Command> = ready.map(|(command, _)| command.clone()).collect();
            for (offset, command) in ready.into_iter().enumerate() {
                world.gateways[number].applied += 1;
                let index = Index((next + offset) as u64 + 1);
                world.feed(number, real, Event::Applied { index, command });
            }
            let (done, left) = world.gateways[number].judging.drain(..).partition(|(_, at)| *at <= real);
            world.gateways[number].judging = left;
            let done: Vec<(u64, u64)> = done;
            for (version, _) in done {
                let open = world.gateways[number].versions.table().topic(TOPIC).and_then(|t| t.open.as_ref());
                let bad = open.is_some_and(|open| open.version.content.bytes == [1]);
                let verdict = if bad { Err("it is bad".to_owned()) } else { Ok(()) };
                world.feed(number, real, Event::Judged { topic: TOPIC, number: version, verdict });
            }
            world.feed(number, real, Event::Tick);
            let gateway = &world.gateways[number];
            if let Some((version, _)) = gateway.versions.acting(TOPIC, gateway.clock(real)) {
                *world.gateways[number].acted.entry(version).or_default() += 1;
                world.feed(number, real, Event::Acted { topic: TOPIC, number: version, count: 1 });
            }
        }
        let acted = world.acted_on(real);
        if let Some(newest) = acted.last() {
            let before = world.before.get(newest).copied().unwrap_or(0);
            if acted.iter().any(|version| version != newest && *version != before) {
                world.seen.breaches.push(format!("{real}: {acted:?}, {before} before {newest}"));
            }
        }
        if let Some(at) = offered_at {
            let newest = world.seen.in_force.last().copied().unwrap_or(0);
            let standing = |g: &Gateway| g.versions.acting(TOPIC, g.clock(real)).map(|(number, _)| number);
            let everywhere = world.gateways.iter().all(|gateway| standing(gateway) == Some(newest));
            let last = world.log.iter().rposition(|(command, _)| matches!(command, Command::Offer { .. }));
            if everywhere && last.is_some_and(|last| last as u64 + 1 == newest) {
                world.seen.agreed_after = Some(real - at);
            }
        }
    }
    // Time for the last reports to be counted, with nothing more to report.
    for _ in 0..4_000 {
        real += 10_000;
        let come: Vec<(Command, u64)> = world.travelling.drain(..).collect();
        world.log.extend(come.into_iter().map(|(command, _)| (command, real)));
        for number in 0..GATEWAYS {
            let next = world.gateways[number].applied;
            let ready: Vec<Command> = world.log[next..].iter().map(|(command, _)| command.clone()).collect();
            for (offset, command) in ready.into_iter().enumerate() {
                world.gateways[number].applied += 1;
                world.feed(
                    number,
                    real,
                    Event::Applied { index: Index((next + offset) as u64 + 1), command },
                );
            }
            world.feed(number, real, Event::Tick);
        }
    }
    let audit = world.gateways[0].versions.table().audit().clone();
    for (number, gateway) in world.gateways.iter().enumerate() {
        let who = Holder { gateway: number as u32 + 1, life: gateway.life };
        let rows = audit.rows().iter().filter(|row| row.who == who);
        world.seen.counts.push((gateway.acted.values().sum(), rows.map(|row| row.span.count).sum()));
    }
    world.seen
}

fn check(seeds: std::ops::RangeInclusive<u64>) {
    let mut took = Vec::new();
    let (mut in_force, mut refused) = (0, 0);
    for seed in seeds {
        let seen = play(seed, 1_000, TIMING, 60_000_000);
        assert_eq!(seen.breaches, Vec::<String>::new(), "seed {seed}");
        took.push(seen.agreed_after.unwrap_or_else(|| panic!("seed {seed}: nothing agreed in the calm")));
        for (gateway, (done, counted)) in seen.counts.iter().enumerate() {
            assert_eq!(done, counted, "seed {seed}: gateway {gateway} did, and the audit has");
        }
        (in_force, refused) = (in_force + seen.in_force.len(), refused + seen.refused);
    }
    took.sort_unstable();
    let (median, worst) = (took[took.len() / 2], took[took.len() - 1]);
    println!("{} runs, {in_force} versions in force, {refused} refusals heard", took.len());
    println!("in the calm, from offer to in force everywhere: median {median} us, worst {worst} us");
    assert!(in_force > took.len() && refused > 0);
}

#[test]
fn no_third_version_is_acted_on_and_each_action_counts_once_under_faults() {
    check(1..=20);
}

#[test]
#[ignore = "long: 200 seeds"]
fn the_same_over_two_hundred_seeds() {
    check(1..=200);
}

/// The check can fail: a gateway whose rights last longer than the others wait. Gateways turn such a peer away when they
/// meet it.
#[test]
fn a_right_that_outlasts_the_others_wait_is_caught() {
    let generous = Timing { lease_us: 4 * TIMING.lease_us, ..TIMING };
    let breached = (1..=60).find(|seed| !play(*seed, 1_000, generous, 60_000_000).breaches.is_empty());
    assert!(breached.is_some(), "no seed shows it");
}

//! Experiments on health: how soon a balancer hears, what a rolling restart, a lost primary and an overload cost with
//! and without it, and what it costs itself.

use anyhow::{ensure, Context};
use asterreel_rig::balancer::{Balancer, Change, Check, Pace};
use asterreel_rig::chart::{self, quantile};
use asterreel_rig::fleet::{self, Fleet};
use asterreel_rig::gateway::{Gateway, Plan};
use asterreel_rig::load::{self, goodput, Fate, Record};
use asterreel_rig::now;
use clap::ValueEnum;
use nix::sys::signal::Signal;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// What is measured.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Experiment {
    /// How soon a balancer records each kind of change
    Changes,
    /// A rolling restart of three gateways under load, with and without health
    Rolling,
    /// One gateway cut off from the primary, a primary that dies, and a gateway that stands still most of the time
    Outage,
    /// CPU, memory and descriptors, off and on, with 200 checks a second
    Cost,
}

/// Where and with what.
pub struct Setting {
    pub seed: u64,
    pub program: PathBuf,
    pub out: PathBuf,
}

/// Between a gateway's exit and its next start.
const RELEASE: Duration = Duration::from_secs(2);
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Gateways that the changes are measured on at once.
const LANES: usize = 10;

impl Experiment {
    pub fn play(self, setting: &Setting, rounds: u32) -> anyhow::Result<()> {
        match self {
            Experiment::Changes => changes(setting, rounds),
            Experiment::Rolling => rolling(setting),
            Experiment::Outage => outage(setting),
            Experiment::Cost => cost(setting),
        }
    }
}

pub fn plan(
    setting: &Setting,
    fleet: &Fleet,
    gateway: usize,
    health: bool,
    extra: &str,
) -> anyhow::Result<Plan> {
    let plan = Plan::beside(fleet, gateway, setting.program.clone())?;
    Ok(Plan { health, extra: extra.into(), ..plan })
}

/// The first change of a server from an index on that satisfies this.
pub fn recorded(
    balancer: &Balancer,
    server: usize,
    from: usize,
    wanted: impl Fn(&Change) -> bool,
) -> Option<Change> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let changes = balancer.changes();
        let found = changes.iter().skip(from).find(|change| change.gateway == server && wanted(change));
        if let Some(change) = found {
            return Some(change.clone());
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

/// A kind of change and its scope.
type Kind = (&'static str, &'static str);
type Delays = BTreeMap<Kind, Vec<u64>>;

struct Lane {
    plan: Plan,
    fleet: Arc<Fleet>,
    leads: bool,
    seed: u64,
    together: Arc<Barrier>,
}

impl Lane {
    fn play(&self, rounds: u32) -> anyhow::Result<Delays> {
        let scopes = [("gateway", "\n"), ("group", "group 0\n")];
        let checks = scopes.iter().map(|(_, text)| Check::Agent(self.plan.agent, (*text).into())).collect();
        let balancer = Balancer::start(checks, Pace::default());
        let mut delays = Delays::new();
        let mut note =
            |kind, from: usize, cause: u64, wanted: &dyn Fn(&Change) -> bool| -> anyhow::Result<()> {
                for (server, (scope, _)) in scopes.iter().enumerate() {
                    let change = recorded(&balancer, server, from, wanted);
                    let change =
                        change.with_context(|| format!("{kind} of the {scope} was never recorded"))?;
                    delays.entry((kind, scope)).or_default().push(change.at.saturating_sub(cause));
                }
                Ok(())
            };
        // Lanes must not meet the balancer's checks all at the same point of its interval.
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut somewhen = || thread::sleep(Duration::from_micros(random.u64(0..200_000)));
        for _ in 0..rounds {
            self.together.wait();
            somewhen();
            let from = balancer.changes().len();
            let mut gateway = Gateway::start(&self.plan)?;
            let told = |state: &'static str| {
                move |fields: &serde_json::Value| fields["scope"] == "gateway" && fields["state"] == state
            };
            let up = gateway.logged(0, PATIENCE, told("Up")).context("it never came up")?;
            note("up", from, up.at, &|change| change.weight == 100)?;

            self.together.wait();
            let (from, line) = (balancer.changes().len(), gateway.log().len());
            if self.leads {
                self.fleet.elect(None);
            }
            let lost = gateway.logged(line, PATIENCE, |fields| fields["message"] == "Unmarked");
            note("no primary", from, lost.context("the loss was not seen")?.at, &|change| {
                change.weight < 100
            })?;

            self.together.wait();
            let (from, line) = (balancer.changes().len(), gateway.log().len());
            if self.leads {
                self.fleet.elect(Some(0));
            }
            let found = gateway.logged(line, PATIENCE, |fields| fields["message"] == "Active");
            note("primary again", from, found.context("the primary was not seen")?.at, &|change| {
                change.weight == 100
            })?;

            self.together.wait();
            somewhen();
            let from = balancer.changes().len();
            let frozen = gateway.freeze().context("the worker can't be stopped")?;
            note("hung", from, now(), &|change| change.word.starts_with("down hung"))?;
            drop(frozen);
            let moving =
                recorded(&balancer, 0, balancer.changes().len().saturating_sub(1), |c| c.weight == 100);
            moving.context("it never moved again")?;

            self.together.wait();
            somewhen();
            let from = balancer.changes().len();
            let cause = now();
            gateway.signal(Signal::SIGTERM)?;
            note("draining", from, cause, &|change| change.word.starts_with("drain"))?;
            // With nothing owed it is gone as soon as it closes its connections.
            ensure!(gateway.wait(PATIENCE)?, "it ended badly");
            note("stopped", from, now(), &|change| {
                change.word.starts_with("stopped") || change.word == "no-answer"
            })?;
        }
        balancer.stop();
        Ok(delays)
    }
}

fn changes(setting: &Setting, rounds: u32) -> anyhow::Result<()> {
    let fleet = Fleet::start(fleet::Shape { gateways: LANES, ..fleet::Shape::default() })?;
    let together = Arc::new(Barrier::new(LANES));
    // Weights move at once, so that the balancer's hearing is measured and not their slow rise.
    let knobs =
        "knobs = knobs(rise_every_ms = 50, rise_step = 100, flaps_per_minute = 60, recover_after_ms = 100),";
    let lanes: Vec<_> = (0..LANES)
        .map(|number| {
            let plan = plan(setting, &fleet, number, true, knobs)?;
            let lane = Lane {
                plan,
                fleet: fleet.clone(),
                leads: number == 0,
                seed: setting.seed * 100 + number as u64,
                together: together.clone(),
            };
            Ok(thread::spawn(move || {
                lane.play(rounds).unwrap_or_else(|error| {
                    // The others wait for this one: a lane that failed ends the whole measurement.
                    eprintln!("lane {number}: {error:#}");
                    std::process::exit(1);
                })
            }))
        })
        .collect::<anyhow::Result<_>>()?;
    let mut all = Delays::new();
    for lane in lanes {
        for (kind, delays) in lane.join().expect("a lane panicked") {
            all.entry(kind).or_default().extend(delays);
        }
    }
    let mut table = csv::Writer::from_path(setting.out.join("health-changes.csv"))?;
    table.write_record(["change", "scope", "count", "median ms", "95% ms", "worst ms"])?;
    let (mut lines, mut worst_of_all) = (Vec::new(), 0);
    for ((kind, scope), delays) in &mut all {
        delays.sort_unstable();
        let ms = |share| format!("{:.1}", quantile(delays, share) as f64 / 1e3);
        table.write_record([
            *kind,
            *scope,
            &delays.len().to_string(),
            &ms(0.5),
            &ms(0.95),
            &ms(1.0),
        ])?;
        println!(
            "{kind:14} {scope:8} n={:4} median {:>6} 95% {:>6} worst {:>6} ms",
            delays.len(),
            ms(0.5),
            ms(0.95),
            ms(1.0)
        );
        worst_of_all = worst_of_all.max(quantile(delays, 1.0));
        let of = delays.len() as f64;
        let points = delays.iter().enumerate().map(|(at, delay)| (*delay as f64 / 1e3, (at + 1) as f64 / of));
        if *scope == "gateway" {
            lines.push(((*kind).to_owned(), points.collect()));
        }
    }
    table.flush()?;
    chart::lines(
        &setting.out.join("health-changes.svg"),
        "Share of changes that the balancer had recorded after so long",
        ("ms since the change", "share"),
        &lines,
    )?;
    println!("worst of all: {:.1} ms", worst_of_all as f64 / 1e3);
    Ok(())
}

/// How the balancer learns of gateways.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Front {
    /// Whether a connection opens, every 2 s, and three in a row.
    SlowConnect,
    /// The same every 100 ms, and two in a row.
    Connect,
    /// Agent-check every 100 ms.
    Agent,
}

/// What three gateways under load came to.
struct Played {
    records: Vec<Record>,
    begun: u64,
    doubled: usize,
    unknown: usize,
}

/// Plays a load over three gateways while `faults` does what it does to them.
fn play(
    setting: &Setting,
    front: Front,
    shape: load::Shape,
    faults: impl FnOnce(&Fleet, &mut [Gateway], &[Plan], &Balancer) -> anyhow::Result<()>,
) -> anyhow::Result<Played> {
    let fleet = Fleet::start(fleet::Shape { members: 4, gateways: 3, ..fleet::Shape::default() })?;
    let health = front == Front::Agent;
    let plans: Vec<Plan> =
        (0..3).map(|number| plan(setting, &fleet, number, health, "")).collect::<anyhow::Result<_>>()?;
    let mut gateways: Vec<Gateway> = plans.iter().map(Gateway::start).collect::<Result<_, _>>()?;
    let check = |plan: &Plan| match health {
        true => Check::Agent(plan.agent, "\n".into()),
        false => Check::Connect(plan.client),
    };
    let pace = match front {
        // What balancers do unless told otherwise.
        Front::SlowConnect => Pace { interval: Duration::from_secs(2), fall: 3, rise: 2, ..Pace::default() },
        Front::Connect | Front::Agent => Pace::default(),
    };
    let balancer = Balancer::start(plans.iter().map(check).collect(), pace);
    for number in 0..3 {
        ensure!(recorded(&balancer, number, 0, |change| change.weight == 100).is_some(), "it never came up");
    }
    // Without health, a gateway is in as soon as its port opens: give its members the time that health would wait for.
    thread::sleep(Duration::from_secs(1));
    let addresses: Vec<_> = plans.iter().map(|plan| plan.client).collect();
    let (playing, begun) = (balancer.clone(), now());
    let load = thread::spawn(move || load::play(shape, &playing, &addresses));
    faults(&fleet, &mut gateways, &plans, &balancer)?;
    let records = load.join().expect("the load panicked");
    balancer.stop();
    let mut counts: HashMap<String, usize> = HashMap::new();
    fleet.taken().into_iter().for_each(|taken| *counts.entry(taken.id).or_default() += 1);
    let served = |record: &&Record| record.write && matches!(record.fate, Fate::Served | Fate::Late);
    let unknown = records.iter().filter(served).filter(|record| !counts.contains_key(&record.id)).count();
    Ok(Played {
        records,
        begun,
        doubled: counts.values().filter(|count| **count > 1).count(),
        unknown,
    })
}

impl Played {
    fn count(&self, fate: Fate) -> String {
        self.records.iter().filter(|record| record.fate == fate).count().to_string()
    }

    /// Goodput by second.
    fn by_second(&self) -> Vec<(f64, f64)> {
        let mut seconds: BTreeMap<u64, Vec<&Record>> = BTreeMap::new();
        for record in &self.records {
            seconds.entry(record.due.saturating_sub(self.begun) / 1_000_000).or_default().push(record);
        }
        seconds.iter().map(|(at, records)| (*at as f64, goodput(records.iter().copied()))).collect()
    }

    fn row(&self, arm: &str, late_sends: usize) -> Vec<String> {
        let worst = self.by_second().iter().map(|point| point.1).fold(1.0, f64::min);
        let mut row = vec![arm.to_owned(), self.records.len().to_string()];
        row.push(format!("{:.4}", goodput(self.records.iter())));
        row.push(format!("{worst:.3}"));
        let fates = [
            Fate::Late,
            Fate::Refused,
            Fate::Failed,
            Fate::NoGateway,
            Fate::Lost,
        ];
        row.extend(fates.iter().map(|fate| self.count(*fate)));
        row.extend([late_sends, self.doubled, self.unknown].map(|count| count.to_string()));
        row
    }
}

const COLUMNS: [&str; 12] = [
    "arm",
    "requests",
    "goodput",
    "worst second",
    "late",
    "refused",
    "failed",
    "no gateway",
    "lost",
    "sent 2 s after the drain's word",
    "bookings doubled",
    "bookings served and not taken",
];

fn write(
    setting: &Setting,
    name: &str,
    title: &str,
    rows: &[Vec<String>],
    lines: &[chart::Line],
) -> anyhow::Result<()> {
    let mut table = csv::Writer::from_path(setting.out.join(format!("{name}.csv")))?;
    table.write_record(COLUMNS)?;
    for row in rows {
        table.write_record(row)?;
        let cells: Vec<String> =
            COLUMNS.iter().zip(row).map(|(name, cell)| format!("{name} {cell}")).collect();
        println!("{}", cells.join(", "));
    }
    table.flush()?;
    chart::lines(&setting.out.join(format!("{name}.svg")), title, ("s", "share of worth served"), lines)
}

fn rolling(setting: &Setting) -> anyhow::Result<()> {
    let shape = load::Shape {
        rate: 400.0,
        span: Duration::from_secs(30),
        clients: 96,
        seed: setting.seed,
        ..load::Shape::default()
    };
    let (mut rows, mut lines) = (Vec::new(), Vec::new());
    for (arm, front) in [
        ("connect check every 2 s", Front::SlowConnect),
        ("connect check every 100 ms", Front::Connect),
        ("agent-check every 100 ms", Front::Agent),
    ] {
        let mut drains: Vec<(usize, u64, u64)> = Vec::new();
        let played = play(setting, front, shape, |_, gateways, plans, balancer| {
            thread::sleep(Duration::from_secs(3));
            for number in 0..3 {
                let told = now();
                gateways[number].signal(Signal::SIGTERM)?;
                ensure!(gateways[number].wait(PATIENCE)?, "it ended badly");
                // What a new release takes to be put in place.
                thread::sleep(RELEASE);
                gateways[number] = Gateway::start(&plans[number])?;
                drains.push((number, told, now()));
                let until = Instant::now() + PATIENCE;
                while balancer.now(number).1 < 100 {
                    ensure!(Instant::now() < until, "gateway {number} never came up again");
                    thread::sleep(Duration::from_millis(10));
                }
                thread::sleep(Duration::from_secs(1));
            }
            Ok(())
        })?;
        let late = |record: &&Record| {
            let sent = record.sent;
            drains.iter().any(|(number, told, again)| {
                record.gateway == Some(*number) && sent > told + 2_000_000 && sent < *again
            })
        };
        let late = played.records.iter().filter(late).count();
        rows.push(played.row(arm, late));
        lines.push((arm.to_owned(), played.by_second()));
    }
    write(
        setting,
        "health-rolling",
        "A rolling restart of three gateways at 400 requests a second",
        &rows,
        &lines,
    )
}

/// What befalls the gateways or the fleet.
#[derive(Clone, Copy)]
enum Trouble {
    Cut,
    Outage,
    Overload,
}

fn outage(setting: &Setting) -> anyhow::Result<()> {
    let shape = load::Shape {
        rate: 300.0,
        span: Duration::from_secs(25),
        clients: 192,
        seed: setting.seed,
        ..load::Shape::default()
    };
    for (name, title, fault) in [
        ("health-cut", "One of three gateways is cut off from the primary, 5 s to 15 s", Trouble::Cut),
        ("health-outage", "The primary dies at 5 s, the next is elected at 9 s", Trouble::Outage),
        (
            "health-overload",
            "One of three gateways stands still 0.7 s of each second, 5 s to 15 s",
            Trouble::Overload,
        ),
    ] {
        let (mut rows, mut lines) = (Vec::new(), Vec::new());
        for (arm, front) in [
            ("without weights", Front::Connect),
            ("with weights", Front::Agent),
        ] {
            let played = play(setting, front, shape, |fleet, gateways, _, _| {
                thread::sleep(Duration::from_secs(5));
                match fault {
                    Trouble::Cut => {
                        fleet.cut(0, 0, true);
                        thread::sleep(Duration::from_secs(10));
                        fleet.cut(0, 0, false);
                    }
                    Trouble::Outage => {
                        fleet.crash(0);
                        fleet.elect(None);
                        thread::sleep(Duration::from_secs(4));
                        fleet.elect(Some(1));
                        thread::sleep(Duration::from_secs(4));
                        fleet.restart(0);
                    }
                    Trouble::Overload => {
                        let until = Instant::now() + Duration::from_secs(10);
                        while Instant::now() < until {
                            gateways[0].signal(Signal::SIGSTOP)?;
                            thread::sleep(Duration::from_millis(700));
                            gateways[0].signal(Signal::SIGCONT)?;
                            thread::sleep(Duration::from_millis(300));
                        }
                    }
                }
                Ok(())
            })?;
            rows.push(played.row(arm, 0));
            lines.push((arm.to_owned(), played.by_second()));
        }
        write(setting, name, title, &rows, &lines)?;
    }
    Ok(())
}

fn cost(setting: &Setting) -> anyhow::Result<()> {
    let mut table = csv::Writer::from_path(setting.out.join("health-cost.csv"))?;
    table.write_record([
        "arm",
        "requests",
        "CPU us a request",
        "resident KiB",
        "descriptors",
    ])?;
    let shape = load::Shape {
        rate: 300.0,
        span: Duration::from_secs(8),
        clients: 48,
        seed: setting.seed,
        ..load::Shape::default()
    };
    for (arm, health, checks) in [
        ("off", false, 0),
        ("on, no checks", true, 0),
        ("on, 200 agent-checks a second", true, 200),
        ("on, 200 HTTP checks a second", true, 201),
    ] {
        let mut runs = Vec::new();
        for _ in 0..3 {
            let fleet = Fleet::start(fleet::Shape::default())?;
            let plan = plan(setting, &fleet, 0, health, "")?;
            let gateway = Gateway::start(&plan)?;
            thread::sleep(Duration::from_secs(3));
            let ending = Arc::new(AtomicBool::new(false));
            let check = match checks {
                201 => Check::Http(plan.http, "/readyz".into()),
                _ => Check::Agent(plan.agent, "\n".into()),
            };
            let checkers: Vec<_> = (0..if checks > 0 { 10 } else { 0 })
                .map(|_| {
                    let (ending, check) = (ending.clone(), check.clone());
                    thread::spawn(move || {
                        while !ending.load(Ordering::Acquire) {
                            let began = Instant::now();
                            let _ = check.run(Duration::from_secs(1));
                            thread::sleep(Duration::from_millis(50).saturating_sub(began.elapsed()));
                        }
                    })
                })
                .collect();
            let balancer = Balancer::start(
                vec![Check::Connect(plan.client)],
                Pace { interval: Duration::from_secs(5), ..Pace::default() },
            );
            ensure!(recorded(&balancer, 0, 0, |change| change.weight == 100).is_some(), "never up");
            let before = gateway.cpu_us()?;
            let records = load::play(shape, &balancer, &[plan.client]);
            let used = gateway.cpu_us()? - before;
            let (descriptors, resident) = gateway.holds()?;
            ending.store(true, Ordering::Release);
            balancer.stop();
            for checker in checkers {
                let _ = checker.join();
            }
            runs.push((used as f64 / records.len() as f64, records.len(), resident, descriptors));
        }
        runs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (cpu, requests, resident, descriptors) = runs[1];
        println!("{arm}: {cpu:.1} us a request over {requests}, {resident} KiB, {descriptors} descriptors (runs {runs:?})");
        table.write_record([
            arm,
            &requests.to_string(),
            &format!("{cpu:.1}"),
            &resident.to_string(),
            &descriptors.to_string(),
        ])?;
    }
    table.flush()?;
    Ok(())
}

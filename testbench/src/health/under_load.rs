//! Runs a load through a balancer and three gateways, and summarizes the outcomes of the requests.

use super::{plan, recorded, Setting, TIMEOUT};
use anyhow::ensure;
use asterreel_testbench::balancer::{Balancer, Check, CheckSettings};
use asterreel_testbench::chart::{self};
use asterreel_testbench::fleet::{self, Fleet};
use asterreel_testbench::gateway::{Gateway, Plan};
use asterreel_testbench::load::{self, goodput, Outcome, Record};
use asterreel_testbench::now;
use std::collections::{BTreeMap, HashMap};
use std::thread;
use std::time::Duration;

/// How the balancer checks the gateways.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckMode {
    /// TCP connect every 2 s; three failures in a row are down, two successes up.
    SlowConnect,
    /// TCP connect every 100 ms; two failures in a row are down.
    Connect,
    /// Agent-check every 100 ms.
    Agent,
}

/// The outcome of a load.
pub(super) struct LoadResult {
    /// Each request with its outcome.
    pub records: Vec<Record>,
    /// Start of the load, Unix microseconds.
    started_at: u64,
    /// Writes that databases executed more than once.
    duplicates: usize,
    /// Writes that were reported as served, but that no database executed.
    not_executed: usize,
}

/// Runs a load over three gateways while `faults` injects faults on the calling thread.
pub(super) fn run(
    setting: &Setting,
    check_mode: CheckMode,
    shape: load::Shape,
    faults: impl FnOnce(&Fleet, &mut [Gateway], &[Plan], &Balancer) -> anyhow::Result<()>,
) -> anyhow::Result<LoadResult> {
    let fleet = Fleet::start(fleet::Shape {
        members: 4,
        gateways: 3,
        ..fleet::Shape::default()
    })?;
    let health = check_mode == CheckMode::Agent;
    let plans: Vec<Plan> = (0..3)
        .map(|number| plan(setting, &fleet, number, health, ""))
        .collect::<anyhow::Result<_>>()?;
    let mut gateways: Vec<Gateway> = plans.iter().map(Gateway::start).collect::<Result<_, _>>()?;
    let check = |plan: &Plan| match health {
        true => Check::Agent(plan.agent, "\n".into()),
        false => Check::Connect(plan.client),
    };
    let settings = match check_mode {
        // The defaults of common balancers.
        CheckMode::SlowConnect => CheckSettings {
            interval: Duration::from_secs(2),
            fall: 3,
            rise: 2,
            ..CheckSettings::default()
        },
        CheckMode::Connect | CheckMode::Agent => CheckSettings::default(),
    };
    let balancer = Balancer::start(plans.iter().map(check).collect(), settings);
    for number in 0..3 {
        ensure!(
            recorded(&balancer, number, 0, |change| change.weight == 100).is_some(),
            "gateway {number} did not reach weight 100 within {TIMEOUT:?}"
        );
    }
    // Without health checks a gateway is up as soon as its port is open. This gives its connections to members the time
    // that health checks would wait for.
    thread::sleep(Duration::from_secs(1));
    let addresses: Vec<_> = plans.iter().map(|plan| plan.client).collect();
    let (load_balancer, started_at) = (balancer.clone(), now());
    let load = thread::spawn(move || load::run(shape, &load_balancer, &addresses));
    faults(&fleet, &mut gateways, &plans, &balancer)?;
    let records = load.join().expect("the load panicked");
    balancer.stop();
    let mut counts: HashMap<String, usize> = HashMap::new();
    fleet
        .executed_writes()
        .into_iter()
        .for_each(|taken| *counts.entry(taken.id).or_default() += 1);
    let served = |record: &&Record| {
        record.write && matches!(record.outcome, Outcome::Served | Outcome::Late)
    };
    let not_executed = records
        .iter()
        .filter(served)
        .filter(|record| !counts.contains_key(&record.id))
        .count();
    Ok(LoadResult {
        records,
        started_at,
        duplicates: counts.values().filter(|count| **count > 1).count(),
        not_executed,
    })
}

impl LoadResult {
    fn count(&self, outcome: Outcome) -> String {
        self.records
            .iter()
            .filter(|record| record.outcome == outcome)
            .count()
            .to_string()
    }

    /// Goodput by second since the start of the load.
    pub(super) fn by_second(&self) -> Vec<(f64, f64)> {
        let mut seconds: BTreeMap<u64, Vec<&Record>> = BTreeMap::new();
        for record in &self.records {
            seconds
                .entry(record.due.saturating_sub(self.started_at) / 1_000_000)
                .or_default()
                .push(record);
        }
        seconds
            .iter()
            .map(|(at, records)| (*at as f64, goodput(records.iter().copied())))
            .collect()
    }

    /// The row of the table; `late_sends` counts requests sent to a gateway more than 2 s after the start of its drain.
    pub(super) fn row(&self, arm: &str, late_sends: usize) -> Vec<String> {
        let worst = self
            .by_second()
            .iter()
            .map(|point| point.1)
            .fold(1.0, f64::min);
        let mut row = vec![arm.to_owned(), self.records.len().to_string()];
        row.push(format!("{:.4}", goodput(self.records.iter())));
        row.push(format!("{worst:.3}"));
        let outcomes = [
            Outcome::Late,
            Outcome::Refused,
            Outcome::Failed,
            Outcome::NoGateway,
            Outcome::Lost,
        ];
        row.extend(outcomes.iter().map(|outcome| self.count(*outcome)));
        row.extend([late_sends, self.duplicates, self.not_executed].map(|count| count.to_string()));
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

/// Writes the table and the chart of an experiment.
pub(super) fn write(
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
        let cells: Vec<String> = COLUMNS
            .iter()
            .zip(row)
            .map(|(name, cell)| format!("{name} {cell}"))
            .collect();
        println!("{}", cells.join(", "));
    }
    table.flush()?;
    chart::lines(
        &setting.out.join(format!("{name}.svg")),
        title,
        ("s", "share of worth served"),
        lines,
    )
}

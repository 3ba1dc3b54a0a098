//! Measures how soon a balancer records each kind of change of a gateway's state.

use super::{plan, recorded, Setting, TIMEOUT};
use anyhow::{ensure, Context};
use asterreel_testbench::balancer::{Balancer, Change, Check, CheckSettings};
use asterreel_testbench::chart::{self, quantile};
use asterreel_testbench::fleet::{self, Fleet};
use asterreel_testbench::gateway::{Gateway, Plan};
use asterreel_testbench::now;
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

/// Number of gateways that are measured in parallel.
const SUBJECTS: usize = 10;

/// The name of a change, and its scope: `gateway` or `group`.
type Kind = (&'static str, &'static str);
/// Microseconds from a change to the balancer's record of it.
type Delays = BTreeMap<Kind, Vec<u64>>;

/// A gateway under measurement, on a thread of its own. All of them go through the same steps at the same time, as they
/// share the fleet.
struct Subject {
    plan: Plan,
    fleet: Arc<Fleet>,
    /// Whether this one elects and removes the fleet's primary.
    controls_primary: bool,
    seed: u64,
    step_barrier: Arc<Barrier>,
}

impl Subject {
    fn run(&self, rounds: u32) -> anyhow::Result<Delays> {
        let scopes = [("gateway", "\n"), ("group", "group 0\n")];
        let checks = scopes
            .iter()
            .map(|(_, text)| Check::Agent(self.plan.agent, (*text).into()))
            .collect();
        let balancer = Balancer::start(checks, CheckSettings::default());
        let mut delays = Delays::new();
        let mut record = |kind,
                          from: usize,
                          cause: u64,
                          wanted: &dyn Fn(&Change) -> bool|
         -> anyhow::Result<()> {
            for (server, (scope, _)) in scopes.iter().enumerate() {
                let change = recorded(&balancer, server, from, wanted);
                let change = change
                    .with_context(|| format!("{kind} of the {scope} was not recorded in time"))?;
                delays
                    .entry((kind, scope))
                    .or_default()
                    .push(change.at.saturating_sub(cause));
            }
            Ok(())
        };
        // Random pauses, so that changes occur at random points of the balancers' check intervals.
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut random_pause = || thread::sleep(Duration::from_micros(random.u64(0..200_000)));
        for _ in 0..rounds {
            self.step_barrier.wait();
            random_pause();
            let from = balancer.changes().len();
            let mut gateway = Gateway::start(&self.plan)?;
            let logged_state = |state: &'static str| {
                move |fields: &serde_json::Value| {
                    fields["scope"] == "gateway" && fields["state"] == state
                }
            };
            let up = gateway
                .logged(0, TIMEOUT, logged_state("Up"))
                .context("the gateway did not log the state Up in time")?;
            record("up", from, up.at, &|change| change.weight == 100)?;

            self.step_barrier.wait();
            let (from, line) = (balancer.changes().len(), gateway.log().len());
            if self.controls_primary {
                self.fleet.elect(None);
            }
            let lost = gateway.logged(line, TIMEOUT, |fields| fields["message"] == "Demoted");
            record(
                "no primary",
                from,
                lost.context("the gateway did not log Demoted in time")?.at,
                &|change| change.weight < 100,
            )?;

            self.step_barrier.wait();
            let (from, line) = (balancer.changes().len(), gateway.log().len());
            if self.controls_primary {
                self.fleet.elect(Some(0));
            }
            let found = gateway.logged(line, TIMEOUT, |fields| fields["message"] == "Promoted");
            record(
                "primary again",
                from,
                found
                    .context("the gateway did not log Promoted in time")?
                    .at,
                &|change| change.weight == 100,
            )?;

            self.step_barrier.wait();
            random_pause();
            let from = balancer.changes().len();
            let frozen = gateway
                .freeze()
                .context("cannot trace the gateway's worker threads")?;
            record("hung", from, now(), &|change| {
                change.state_text.starts_with("down hung")
            })?;
            drop(frozen);
            let resumed = recorded(
                &balancer,
                0,
                balancer.changes().len().saturating_sub(1),
                |c| c.weight == 100,
            );
            resumed.context("the resumed gateway did not reach weight 100 in time")?;

            self.step_barrier.wait();
            random_pause();
            let from = balancer.changes().len();
            let cause = now();
            gateway.signal(Signal::SIGTERM)?;
            record("draining", from, cause, &|change| {
                change.state_text.starts_with("drain")
            })?;
            // Without requests in progress it exits as soon as it has closed its connections.
            ensure!(gateway.wait(TIMEOUT)?, "the gateway exited with an error");
            record("stopped", from, now(), &|change| {
                change.state_text.starts_with("stopped") || change.state_text == "no-answer"
            })?;
        }
        balancer.stop();
        Ok(delays)
    }
}

/// Measures all gateways in parallel and writes the table and the chart.
pub(super) fn run(setting: &Setting, rounds: u32) -> anyhow::Result<()> {
    let fleet = Fleet::start(fleet::Shape {
        gateways: SUBJECTS,
        ..fleet::Shape::default()
    })?;
    let step_barrier = Arc::new(Barrier::new(SUBJECTS));
    // Weights change at once, so that the delay of the balancer is measured and not the slow rise of weights.
    let knobs =
        "knobs = knobs(rise_every_ms = 50, rise_step = 100, flaps_per_minute = 60, recover_after_ms = 100),";
    let subjects: Vec<_> = (0..SUBJECTS)
        .map(|number| {
            let plan = plan(setting, &fleet, number, true, knobs)?;
            let subject = Subject {
                plan,
                fleet: fleet.clone(),
                controls_primary: number == 0,
                seed: setting.seed * 100 + number as u64,
                step_barrier: step_barrier.clone(),
            };
            Ok(thread::spawn(move || {
                subject.run(rounds).unwrap_or_else(|error| {
                    // The other threads would wait at the barrier for this one, so the whole process exits.
                    eprintln!("gateway {number}: {error:#}");
                    std::process::exit(1);
                })
            }))
        })
        .collect::<anyhow::Result<_>>()?;
    let mut all = Delays::new();
    for subject in subjects {
        for (kind, delays) in subject.join().expect("the thread of a gateway panicked") {
            all.entry(kind).or_default().extend(delays);
        }
    }
    let mut table = csv::Writer::from_path(setting.out.join("health-changes.csv"))?;
    table.write_record([
        "change",
        "scope",
        "count",
        "median ms",
        "95% ms",
        "worst ms",
    ])?;
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
        let count = delays.len() as f64;
        let points = delays
            .iter()
            .enumerate()
            .map(|(at, delay)| (*delay as f64 / 1e3, (at + 1) as f64 / count));
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

//! How soon a balancer records each kind of change.

use super::{plan, recorded, Setting, PATIENCE};
use anyhow::{ensure, Context};
use asterreel_testbench::balancer::{Balancer, Change, Check, Pace};
use asterreel_testbench::chart::{self, quantile};
use asterreel_testbench::fleet::{self, Fleet};
use asterreel_testbench::gateway::{Gateway, Plan};
use asterreel_testbench::now;
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

/// Gateways that the changes are measured on at once.
const LANES: usize = 10;

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
        let checks = scopes
            .iter()
            .map(|(_, text)| Check::Agent(self.plan.agent, (*text).into()))
            .collect();
        let balancer = Balancer::start(checks, Pace::default());
        let mut delays = Delays::new();
        let mut note = |kind,
                        from: usize,
                        cause: u64,
                        wanted: &dyn Fn(&Change) -> bool|
         -> anyhow::Result<()> {
            for (server, (scope, _)) in scopes.iter().enumerate() {
                let change = recorded(&balancer, server, from, wanted);
                let change =
                    change.with_context(|| format!("{kind} of the {scope} was never recorded"))?;
                delays
                    .entry((kind, scope))
                    .or_default()
                    .push(change.at.saturating_sub(cause));
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
                move |fields: &serde_json::Value| {
                    fields["scope"] == "gateway" && fields["state"] == state
                }
            };
            let up = gateway
                .logged(0, PATIENCE, told("Up"))
                .context("it never came up")?;
            note("up", from, up.at, &|change| change.weight == 100)?;

            self.together.wait();
            let (from, line) = (balancer.changes().len(), gateway.log().len());
            if self.leads {
                self.fleet.elect(None);
            }
            let lost = gateway.logged(line, PATIENCE, |fields| fields["message"] == "Demoted");
            note(
                "no primary",
                from,
                lost.context("the loss was not seen")?.at,
                &|change| change.weight < 100,
            )?;

            self.together.wait();
            let (from, line) = (balancer.changes().len(), gateway.log().len());
            if self.leads {
                self.fleet.elect(Some(0));
            }
            let found = gateway.logged(line, PATIENCE, |fields| fields["message"] == "Promoted");
            note(
                "primary again",
                from,
                found.context("the primary was not seen")?.at,
                &|change| change.weight == 100,
            )?;

            self.together.wait();
            somewhen();
            let from = balancer.changes().len();
            let frozen = gateway.freeze().context("the worker can't be stopped")?;
            note("hung", from, now(), &|change| {
                change.word.starts_with("down hung")
            })?;
            drop(frozen);
            let moving = recorded(
                &balancer,
                0,
                balancer.changes().len().saturating_sub(1),
                |c| c.weight == 100,
            );
            moving.context("it never moved again")?;

            self.together.wait();
            somewhen();
            let from = balancer.changes().len();
            let cause = now();
            gateway.signal(Signal::SIGTERM)?;
            note("draining", from, cause, &|change| {
                change.word.starts_with("drain")
            })?;
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

/// Measures how soon a balancer records each kind of change, over all lanes at once.
pub(super) fn play(setting: &Setting, rounds: u32) -> anyhow::Result<()> {
    let fleet = Fleet::start(fleet::Shape {
        gateways: LANES,
        ..fleet::Shape::default()
    })?;
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
        let of = delays.len() as f64;
        let points = delays
            .iter()
            .enumerate()
            .map(|(at, delay)| (*delay as f64 / 1e3, (at + 1) as f64 / of));
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

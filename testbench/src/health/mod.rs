//! Experiments on health: how soon a balancer hears, what a rolling restart, a lost primary and an overload cost with
//! and without it, and what it costs itself.

mod changes;
mod cost;
mod outage;
mod rolling;
mod under_load;

use asterreel_testbench::balancer::{Balancer, Change};
use asterreel_testbench::fleet::Fleet;
use asterreel_testbench::gateway::Plan;
use clap::ValueEnum;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// What is measured.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub(crate) enum Experiment {
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
pub(crate) struct Setting {
    /// Of the load's schedule.
    pub seed: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// The folder for tables and charts.
    pub out: PathBuf,
}

/// How long anything that must come is waited for.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

impl Experiment {
    /// Runs it, and writes its table and chart.
    pub(crate) fn play(self, setting: &Setting, rounds: u32) -> anyhow::Result<()> {
        match self {
            Experiment::Changes => changes::play(setting, rounds),
            Experiment::Rolling => rolling::play(setting),
            Experiment::Outage => outage::play(setting),
            Experiment::Cost => cost::play(setting),
        }
    }
}

/// A gateway of the fleet with health on or off, and what else its operator's file says of it.
pub(crate) fn plan(
    setting: &Setting,
    fleet: &Fleet,
    gateway: usize,
    health: bool,
    extra: &str,
) -> anyhow::Result<Plan> {
    let plan = Plan::beside(fleet, gateway, setting.program.clone())?;
    Ok(Plan {
        health,
        extra: extra.into(),
        ..plan
    })
}

/// The first change of a server from an index on that satisfies this.
pub(crate) fn recorded(
    balancer: &Balancer,
    server: usize,
    from: usize,
    wanted: impl Fn(&Change) -> bool,
) -> Option<Change> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let changes = balancer.changes();
        let found = changes
            .iter()
            .skip(from)
            .find(|change| change.gateway == server && wanted(change));
        if let Some(change) = found {
            return Some(change.clone());
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

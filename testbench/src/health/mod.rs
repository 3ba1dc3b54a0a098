//! Experiments on health checks: how soon a balancer detects changes; the effect of a rolling restart, a lost primary
//! and an overloaded gateway with and without health checks; and the cost of health checks.

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

/// An experiment on health checks.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub(crate) enum Experiment {
    /// How soon a balancer records each kind of change
    Changes,
    /// A rolling restart of three gateways under load, with and without health checks
    Rolling,
    /// A gateway cut off from the primary, a primary that crashes, and a gateway that is suspended most of the time
    Outage,
    /// CPU, memory and descriptors with health off, on, and with 200 checks per second
    Cost,
}

/// The settings of an experiment.
pub(crate) struct Setting {
    /// Seed of the load's schedule.
    pub seed: u64,
    /// Path of the asterreel executable.
    pub program: PathBuf,
    /// Directory for tables and charts.
    pub out: PathBuf,
}

/// Time limit for each awaited event.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

impl Experiment {
    /// Runs the experiment and writes its table and chart. `rounds` is used by `changes` only.
    pub(crate) fn run(self, setting: &Setting, rounds: u32) -> anyhow::Result<()> {
        match self {
            Experiment::Changes => changes::run(setting, rounds),
            Experiment::Rolling => rolling::run(setting),
            Experiment::Outage => outage::run(setting),
            Experiment::Cost => cost::run(setting),
        }
    }
}

/// The plan of a fleet's gateway, with health on or off and further arguments of `health(...)`.
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

/// Waits for a recorded change of a gateway that satisfies `wanted`, at or after the index `from`.
pub(crate) fn recorded(
    balancer: &Balancer,
    gateway: usize,
    from: usize,
    wanted: impl Fn(&Change) -> bool,
) -> Option<Change> {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        let changes = balancer.changes();
        let found = changes
            .iter()
            .skip(from)
            .find(|change| change.gateway == gateway && wanted(change));
        if let Some(change) = found {
            return Some(change.clone());
        }
        thread::sleep(Duration::from_millis(2));
    }
    None
}

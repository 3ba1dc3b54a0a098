//! Experiments with real gateways in front of stand-ins; each writes a table (CSV) and, where it has one, a chart.
#![forbid(unsafe_code)]

mod cells;
mod health;

use clap::{Parser, Subcommand};
use std::path::PathBuf;

/// Experiments with real gateways in front of stand-ins, on loopback
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// What balancers learn of gateways, and what that is worth
    Health(Health),
    /// How far a poisoned tenant reaches, with cells and without
    Cells(Common),
}

#[derive(clap::Args)]
struct Health {
    /// Which experiment
    #[arg(value_enum)]
    experiment: health::Experiment,
    #[command(flatten)]
    common: Common,
    /// How many rounds, for `changes`
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=1000))]
    rounds: u32,
}

#[derive(clap::Args)]
struct Common {
    /// Of the load's schedule
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The gateway's program
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
    /// Where tables and charts go
    #[arg(long, default_value = "docs/measurements")]
    out: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let (common, health) = match Cli::parse().command {
        Command::Health(Health { experiment, common, rounds }) => (common, Some((experiment, rounds))),
        Command::Cells(common) => (common, None),
    };
    std::fs::create_dir_all(&common.out)?;
    let setting = health::Setting { seed: common.seed, program: common.program, out: common.out };
    match health {
        Some((experiment, rounds)) => experiment.play(&setting, rounds),
        None => cells::blast(&setting),
    }
}

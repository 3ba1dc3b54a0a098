//! Experiments with real gateways in front of stand-ins; each writes a table (CSV) and, where it has one, a chart.
#![forbid(unsafe_code)]

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
}

#[derive(clap::Args)]
struct Health {
    /// Which experiment
    #[arg(value_enum)]
    experiment: health::Experiment,
    /// Of the load's schedule
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many rounds, for `changes`
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=1000))]
    rounds: u32,
    /// The gateway's program
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
    /// Where tables and charts go
    #[arg(long, default_value = "docs/measurements")]
    out: PathBuf,
}

fn main() -> anyhow::Result<()> {
    let Command::Health(asked) = Cli::parse().command;
    std::fs::create_dir_all(&asked.out)?;
    let setting = health::Setting { seed: asked.seed, program: asked.program, out: asked.out };
    asked.experiment.play(&setting, asked.rounds)
}

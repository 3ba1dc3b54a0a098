//! Experiments with real gateways in front of stand-ins; each writes a table (CSV) and, where it has one, a chart.
#![forbid(unsafe_code)]

mod cells;
mod health;
mod sizes;

use asterreel_testbench::{capacity, chart, cluster, scale};
use clap::{Parser, Subcommand, ValueEnum};
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
    /// Fleets that share a log, under faults drawn from seeds; fails if anything happened that never must
    Cluster(Cluster),
    /// What one more connection, statement, gateway or database costs: slopes for docs/CAPACITY.md
    Capacity(Capacity),
    /// What the control plane costs each role at sizes: real control members, hollow gateways beside them
    Scale(sizes::Scale),
    /// A process of hollow gateways, driven over its standard input by `scale`
    #[command(hide = true)]
    ScaleHollow,
}

#[derive(clap::Args)]
struct Capacity {
    /// Only these experiments; all of them otherwise
    #[arg(long, value_enum)]
    only: Vec<capacity::Experiment>,
    /// How often each point is measured
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=20))]
    repeats: u32,
    #[command(flatten)]
    common: Common,
}

impl Capacity {
    fn play(self) -> anyhow::Result<()> {
        let Common { seed, program, out } = self.common;
        std::fs::create_dir_all(&out)?;
        let setting = capacity::Setting {
            seed,
            program,
            out,
            repeats: self.repeats,
        };
        let all = capacity::Experiment::value_variants();
        let chosen = if self.only.is_empty() {
            all
        } else {
            &self.only
        };
        chosen
            .iter()
            .try_for_each(|experiment| experiment.play(&setting))
    }
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
struct Cluster {
    /// The first run's seed; the others' follow
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many runs
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    runs: u64,
    /// How many runs at a time
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
    beside: u64,
    /// Gateways of each fleet; 3 of them vote, or 5 where there are so many
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=9))]
    gateways: u64,
    /// How long faults go on in each run, seconds
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// The gateway's program
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
}

impl Cluster {
    /// Plays the runs; a line each, and the sum.
    fn play(&self) -> anyhow::Result<()> {
        let (mut bad, mut faults, mut versions, mut took) = (Vec::new(), 0, 0, Vec::new());
        let seeds: Vec<u64> = (self.seed..self.seed + self.runs).collect();
        for some in seeds.chunks(self.beside as usize) {
            let run = |seed: u64| {
                let (program, gateways) = (self.program.clone(), self.gateways as usize);
                let span = std::time::Duration::from_secs(self.seconds);
                std::thread::spawn(move || cluster::play(program, seed, gateways, span))
            };
            let runs: Vec<_> = some.iter().map(|seed| (*seed, run(*seed))).collect();
            for (seed, run) in runs {
                let found = run
                    .join()
                    .map_err(|_| anyhow::anyhow!("seed {seed}: the run itself failed"))??;
                println!(
                    "seed {seed}: {} faults, {} versions, {} lines, well after {} ms, {} violations",
                    found.faults,
                    found.versions,
                    found.lines,
                    found.well_after.as_millis(),
                    found.violations.len()
                );
                found
                    .violations
                    .iter()
                    .for_each(|violation| println!("  {violation}"));
                (faults, versions) = (faults + found.faults, versions + found.versions);
                took.push(found.well_after.as_millis() as u64);
                if !found.violations.is_empty() {
                    bad.push(seed);
                }
            }
        }
        took.sort_unstable();
        let (median, worst) = (
            chart::quantile(&took, 0.5),
            took.last().copied().unwrap_or(0),
        );
        println!(
            "{} runs: {faults} faults, {versions} versions; well after {median} ms, worst {worst} ms",
            took.len()
        );
        let again = |seed: &u64| {
            let (gateways, seconds) = (self.gateways, self.seconds);
            format!("asterreel-testbench cluster --seed {seed} --gateways {gateways} --seconds {seconds}")
        };
        let again: Vec<String> = bad.iter().map(again).collect();
        anyhow::ensure!(
            bad.is_empty(),
            "violations; to play them again:\n{}",
            again.join("\n")
        );
        Ok(())
    }
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
        Command::Health(Health {
            experiment,
            common,
            rounds,
        }) => (common, Some((experiment, rounds))),
        Command::Cells(common) => (common, None),
        Command::Cluster(cluster) => return cluster.play(),
        Command::Capacity(capacity) => return capacity.play(),
        Command::Scale(scale) => return scale.play(),
        Command::ScaleHollow => {
            return scale::hollow::serve(std::io::stdin().lock(), std::io::stdout())
        }
    };
    std::fs::create_dir_all(&common.out)?;
    let setting = health::Setting {
        seed: common.seed,
        program: common.program,
        out: common.out,
    };
    match health {
        Some((experiment, rounds)) => experiment.play(&setting, rounds),
        None => cells::blast_radius(&setting),
    }
}

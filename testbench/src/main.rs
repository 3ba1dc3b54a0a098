//! Experiments with real gateways in front of simulated databases; each writes a CSV table, and some an SVG chart.
#![forbid(unsafe_code)]

mod cells;
mod health;
mod sizes;

use asterreel_testbench::{capacity, chart, cluster, scale};
use clap::{Parser, Subcommand, ValueEnum};
use std::path::PathBuf;

/// Experiments with real gateways in front of simulated databases, on loopback
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// How fast balancers detect changes of gateways, and how much goodput health checks save
    Health(Health),
    /// Which tenants are affected by one whose queries crash databases, with and without cells
    Cells(Common),
    /// Fleets that share a Raft log, under random faults from a seed; fails if an invariant was violated
    Cluster(Cluster),
    /// The cost of one more connection, statement, gateway or database: slopes for docs/CAPACITY.md
    Capacity(Capacity),
    /// The cost of the control plane per role and fleet size: real control members and hollow gateways
    Scale(sizes::Scale),
    /// Runs hollow gateways (control plane only) in this process, on commands that `scale` writes to standard input
    #[command(hide = true)]
    ScaleHollow,
}

#[derive(clap::Args)]
struct Capacity {
    /// Run only these experiments; by default, all
    #[arg(long, value_enum)]
    only: Vec<capacity::Experiment>,
    /// Number of measurements of each point
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=20))]
    repeats: u32,
    #[command(flatten)]
    common: Common,
}

impl Capacity {
    fn run(self) -> anyhow::Result<()> {
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
            .try_for_each(|experiment| experiment.run(&setting))
    }
}

#[derive(clap::Args)]
struct Health {
    /// The experiment to run
    #[arg(value_enum)]
    experiment: health::Experiment,
    #[command(flatten)]
    common: Common,
    /// Number of rounds of the experiment `changes`
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=1000))]
    rounds: u32,
}

#[derive(clap::Args)]
struct Cluster {
    /// Seed of the first run; each further run adds 1
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    runs: u64,
    /// Number of runs at the same time
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
    beside: u64,
    /// Gateways of each fleet; 5 of them are voters, or 3 in a fleet of fewer than 5
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=9))]
    gateways: u64,
    /// How long faults are injected in each run, seconds
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Path of the asterreel executable
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
}

impl Cluster {
    /// Executes the runs; prints one line for each, and a summary.
    fn run(&self) -> anyhow::Result<()> {
        let (mut failed_seeds, mut faults, mut versions, mut recovery_ms) =
            (Vec::new(), 0, 0, Vec::new());
        let seeds: Vec<u64> = (self.seed..self.seed + self.runs).collect();
        for batch in seeds.chunks(self.beside as usize) {
            let run = |seed: u64| {
                let (program, gateways) = (self.program.clone(), self.gateways as usize);
                let span = std::time::Duration::from_secs(self.seconds);
                std::thread::spawn(move || cluster::run(program, seed, gateways, span))
            };
            let runs: Vec<_> = batch.iter().map(|seed| (*seed, run(*seed))).collect();
            for (seed, run) in runs {
                let found = run
                    .join()
                    .map_err(|_| anyhow::anyhow!("seed {seed}: the run panicked"))??;
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
                recovery_ms.push(found.well_after.as_millis() as u64);
                if !found.violations.is_empty() {
                    failed_seeds.push(seed);
                }
            }
        }
        recovery_ms.sort_unstable();
        let (median, worst) = (
            chart::quantile(&recovery_ms, 0.5),
            recovery_ms.last().copied().unwrap_or(0),
        );
        println!(
            "{} runs: {faults} faults, {versions} versions; well after {median} ms, worst {worst} ms",
            recovery_ms.len()
        );
        let repeat_command = |seed: &u64| {
            let (gateways, seconds) = (self.gateways, self.seconds);
            format!("asterreel-testbench cluster --seed {seed} --gateways {gateways} --seconds {seconds}")
        };
        let repeat_commands: Vec<String> = failed_seeds.iter().map(repeat_command).collect();
        anyhow::ensure!(
            failed_seeds.is_empty(),
            "invariants were violated; to repeat these runs:\n{}",
            repeat_commands.join("\n")
        );
        Ok(())
    }
}

#[derive(clap::Args)]
struct Common {
    /// Seed of the load's schedule
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Path of the asterreel executable
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
    /// Directory for tables and charts
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
        Command::Cluster(cluster) => return cluster.run(),
        Command::Capacity(capacity) => return capacity.run(),
        Command::Scale(scale) => return scale.run(),
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
        Some((experiment, rounds)) => experiment.run(&setting, rounds),
        None => cells::blast_radius(&setting),
    }
}

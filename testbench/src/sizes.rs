//! The command `scale`: runs fleets of several sizes and writes their tables and charts.

use asterreel_testbench::scale::{self, slopes, table, Event, Host, Size, Timing};
use clap::ValueEnum;
use std::path::PathBuf;
use std::time::Duration;

/// The event whose measurements the slopes and the chart use.
const AT_REST: &str = "at rest";
const KIB_OF_GIB: u64 = 1 << 20;

#[derive(clap::Args)]
pub(crate) struct Scale {
    /// Gateways of each fleet, voters included
    #[arg(long, value_delimiter = ',', default_value = "25,50,100,200,410")]
    gateways: Vec<u32>,
    /// The events of each fleet, in this order; by default, all
    #[arg(long, value_enum, value_delimiter = ',')]
    events: Vec<Event>,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests per second of clients
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Minimum minutes for which the event `cut` disconnects a third of the fleet; the rest get a new version each 36 s
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=120))]
    cut_minutes: u64,
    /// Minutes after which no further event is started in a fleet
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=60))]
    minutes: u64,
    /// Memory that a fleet may use, GiB
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=1024))]
    gib: u64,
    /// Prefix of the file names of tables and charts
    #[arg(long, default_value = "scale")]
    name: String,
    /// Path of the asterreel executable
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
    /// Directory for tables and charts
    #[arg(long, default_value = "docs/measurements")]
    out: PathBuf,
    /// Start no fleets; recompute the slopes and the chart from the existing tables
    #[arg(long)]
    no_play: bool,
}

impl Scale {
    /// Runs a fleet of each size; writes its measurements before the next one starts.
    pub(crate) fn run(&self) -> anyhow::Result<()> {
        std::fs::create_dir_all(&self.out)?;
        if self.no_play {
            return self.write_results();
        }
        let events = if self.events.is_empty() {
            Event::value_variants()
        } else {
            &self.events
        };
        let minutes = |count: u64| Duration::from_secs(60 * count);
        let timing = Timing {
            cut: minutes(self.cut_minutes),
            until: minutes(self.minutes),
            ..Timing::default()
        };
        for &gateways in &self.gateways {
            let size = Size {
                program: self.program.clone(),
                host: Host::Processes(std::env::current_exe()?),
                gateways,
                seed: self.seed,
                rate: self.rate,
                memory_kib: self.gib * KIB_OF_GIB,
            };
            println!("{gateways} gateways");
            let found = scale::run(size, events, timing)?;
            if let Some(reason) = &found.ended {
                println!("{gateways} gateways: {reason}");
            }
            table::write(&self.file("loads.csv"), &[gateways], &found.loads)?;
            table::write(&self.file("changes.csv"), &[gateways], &found.changes)?;
            self.write_results()?;
        }
        Ok(())
    }

    /// Writes the slopes and the chart from the tables of all sizes.
    fn write_results(&self) -> anyhow::Result<()> {
        let loads = self.file("loads.csv");
        slopes::write(
            &loads,
            &self.file("changes.csv"),
            &self.file("slopes.csv"),
            AT_REST,
        )?;
        table::draw(&loads, &self.file("rest.svg"), AT_REST)
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.out.join(format!("{}-{kind}", self.name))
    }
}

//! The command that plays fleets of several sizes, and writes their tables and charts.

use asterreel_testbench::scale::{self, slopes, table, Event, Host, Pace, Size};
use clap::ValueEnum;
use std::path::PathBuf;
use std::time::Duration;

/// The event that slopes and charts are about.
const AT_REST: &str = "at rest";
const KIB_OF_GIB: u64 = 1 << 20;

#[derive(clap::Args)]
pub(crate) struct Scale {
    /// Gateways of each fleet, voters included
    #[arg(long, value_delimiter = ',', default_value = "25,50,100,200,410")]
    gateways: Vec<u32>,
    /// What happens to each, in this order; all by default
    #[arg(long, value_enum, value_delimiter = ',')]
    events: Vec<Event>,
    /// Of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests a second of clients
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Minutes for which the third of the event `cut` stays cut off at least, with a change each 36 s among the rest
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=120))]
    cut_minutes: u64,
    /// Minutes after which a fleet begins no further event
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=60))]
    minutes: u64,
    /// Memory of the machine that a fleet may take, GiB
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=1024))]
    gib: u64,
    /// What the tables' names begin with
    #[arg(long, default_value = "scale")]
    name: String,
    /// The gateway's program
    #[arg(long, default_value = "target/release/asterreel")]
    program: PathBuf,
    /// Where tables and charts go
    #[arg(long, default_value = "docs/measurements")]
    out: PathBuf,
    /// Play nothing: fit slopes and draw the chart anew from the tables that are there
    #[arg(long)]
    no_play: bool,
}

impl Scale {
    /// Plays each size; what is measured of one is written before the next.
    pub(crate) fn play(&self) -> anyhow::Result<()> {
        std::fs::create_dir_all(&self.out)?;
        if self.no_play {
            return self.conclude();
        }
        let events = if self.events.is_empty() {
            Event::value_variants()
        } else {
            &self.events
        };
        let minutes = |count: u64| Duration::from_secs(60 * count);
        let pace = Pace {
            cut: minutes(self.cut_minutes),
            until: minutes(self.minutes),
            ..Pace::default()
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
            let found = scale::play(size, events, pace)?;
            if let Some(why) = &found.ended {
                println!("{gateways} gateways: {why}");
            }
            table::write(&self.file("loads.csv"), &[gateways], &found.loads)?;
            table::write(&self.file("changes.csv"), &[gateways], &found.changes)?;
            self.conclude()?;
        }
        Ok(())
    }

    /// Writes what follows from the tables of all sizes.
    fn conclude(&self) -> anyhow::Result<()> {
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

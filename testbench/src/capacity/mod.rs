//! The cost of one more connection, statement, gateway or database: the slopes on which `docs/CAPACITY.md` is based.
//!
//! Each experiment measures real gateways in front of simulated databases at several sizes. Each size is measured
//! several times, one pass over all sizes after another, so that other load on the machine affects all sizes alike. CPU
//! is CPU time, not elapsed time.

mod accept;
mod busy;
mod databases;
mod front;
mod kept;
mod list;
mod neighbours;
mod resting;
mod stage;
mod statements;
mod table;

use clap::ValueEnum;
use std::path::PathBuf;

/// The planned size of the deployment, and the share of one gateway or one database.
pub mod plan {
    /// Number of gateways.
    pub const GATEWAYS: f64 = 410.0;
    /// The same for the setting `FleetSize`; in a large fleet each gateway probes less.
    pub const FLEET_SIZE: usize = 410;
    /// Number of databases.
    pub const DATABASES: f64 = 910.0;
    /// Client connections of one gateway; 3.4 million in total.
    pub const CONNECTIONS_PER_GATEWAY: f64 = 8_300.0;
    /// The platform's limit on a gateway's file descriptors.
    pub const DESCRIPTORS: f64 = 1_024.0;
    /// Statements per second of one gateway; 550,000 in total.
    pub const STATEMENTS_PER_GATEWAY: f64 = 1_340.0;
    /// Statements per second from one gateway to one database: 1,340 / 910.
    pub const STATEMENTS_PER_PAIR: f64 = 1.47;
    /// Requests in progress at one gateway while no database answers: 1,340 per second for 1.2 s, the deadline of a
    /// search.
    pub const REQUESTS_IN_FLIGHT_PER_GATEWAY: f64 = 1_608.0;
    /// Health checks per second of one gateway: two balancers in each of ten zones, one check per second each.
    pub const CHECKS_PER_GATEWAY: f64 = 20.0;
}

/// An experiment that the capacity command runs, named by what it measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Experiment {
    /// Memory, descriptors and CPU by the number of idle client connections
    Resting,
    /// Idle client connections that are kept, by the number of descriptors allowed
    Kept,
    /// CPU time to accept one more connection, by the number of open connections
    Accept,
    /// Memory, descriptors and CPU by the number of requests in progress, all sent to databases
    Busy,
    /// Memory, descriptors and CPU by the number of requests in progress, nearly all queued in the gateway
    Waiting,
    /// CPU by the number of statements per second
    Statements,
    /// Load on databases and discovery by the number of gateways, with constant total traffic
    Databases,
    /// The same, with constant traffic from each gateway to each database
    Pairs,
    /// Memory and CPU of a gateway, and bytes of a list, by the number of databases listed
    List,
    /// CPU by the number of health checks per second
    Front,
}

/// The settings of an experiment.
pub struct Setting {
    /// Seed of the load's schedule.
    pub seed: u64,
    /// Path of the asterreel executable.
    pub program: PathBuf,
    /// Directory for tables and charts.
    pub out: PathBuf,
    /// Number of measurements of each point.
    pub repeats: u32,
}

impl Experiment {
    /// Runs the experiment, writes the tables and the chart, and prints the fits.
    ///
    /// # Errors
    ///
    /// A process could not be started or measured, or a file could not be written.
    pub fn run(self, setting: &Setting) -> anyhow::Result<()> {
        match self {
            Experiment::Resting => resting::run(setting),
            Experiment::Kept => kept::run(setting),
            Experiment::Accept => accept::run(setting),
            Experiment::Busy => busy::run(setting, busy::RequestLocation::AtDatabases),
            Experiment::Waiting => busy::run(setting, busy::RequestLocation::Waiting),
            Experiment::Statements => statements::run(setting),
            Experiment::Databases => databases::run(setting, databases::Traffic::Total),
            Experiment::Pairs => databases::run(setting, databases::Traffic::PerPair),
            Experiment::List => list::run(setting),
            Experiment::Front => front::run(setting),
        }
    }
}

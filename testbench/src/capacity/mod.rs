//! What one more connection, statement, gateway or database costs: the slopes that `docs/CAPACITY.md` is worked out from.
//!
//! Real gateways before stand-ins, several sizes each. Every point is measured several times, the sizes in turn, so that
//! what else runs on the machine spreads over all of them; CPU is time on a processor, not on the wall.

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

/// The size that the operators plan for, and what of it falls to one gateway or one database.
pub mod plan {
    /// Gateways.
    pub const GATEWAYS: f64 = 410.0;
    /// The same, as the platform's settings tell it: a gateway of a large fleet probes and spends less.
    pub const FLEET: usize = 410;
    /// Databases.
    pub const DATABASES: f64 = 910.0;
    /// Connections of clients at one gateway: 3.4 million over all.
    pub const CONNECTIONS_EACH: f64 = 8_300.0;
    /// Descriptors that the platform gives a gateway at most.
    pub const DESCRIPTORS: f64 = 1_024.0;
    /// Statements a second at one gateway: 550,000 over all.
    pub const STATEMENTS_EACH: f64 = 1_340.0;
    /// Statements a second of one gateway at one database: 1,340 over 910.
    pub const STATEMENTS_A_PAIR: f64 = 1.47;
    /// Requests in hand at one gateway when no database answers: 1,340 a second for 1.2 s, as long as a search waits.
    pub const IN_HAND_EACH: f64 = 1_608.0;
    /// Checks a second at one gateway: two balancers in each of ten zones, one check a second each.
    pub const CHECKS_EACH: f64 = 20.0;
}

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Experiment {
    /// Memory, descriptors and CPU against resting connections of clients
    Resting,
    /// Resting connections kept against descriptors given
    Kept,
    /// What accepting one more costs against connections that are open
    Accept,
    /// The same as `resting` against requests in hand that are at databases
    Busy,
    /// The same against requests in hand that nearly all wait in the gateway
    Waiting,
    /// CPU against statements a second
    Statements,
    /// What databases and discovery see of more gateways, at one traffic of all
    Databases,
    /// The same, at one traffic of each gateway to each database
    Pairs,
    /// Memory and CPU of a gateway, and bytes of a list, against databases listed
    List,
    /// CPU against checks of balancers
    Front,
}

/// Where and with what.
pub struct Setting {
    /// Of the load's schedule.
    pub seed: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// Where tables and charts go.
    pub out: PathBuf,
    /// How often each point is measured.
    pub repeats: u32,
}

impl Experiment {
    /// Measures, writes the table and the chart, and prints the fits.
    ///
    /// # Errors
    ///
    /// A process could not be started or measured, or a file could not be written.
    pub fn play(self, setting: &Setting) -> anyhow::Result<()> {
        match self {
            Experiment::Resting => resting::play(setting),
            Experiment::Kept => kept::play(setting),
            Experiment::Accept => accept::play(setting),
            Experiment::Busy => busy::play(setting, busy::Whereabouts::AtDatabases),
            Experiment::Waiting => busy::play(setting, busy::Whereabouts::Waiting),
            Experiment::Statements => statements::play(setting),
            Experiment::Databases => databases::play(setting, databases::Traffic::Whole),
            Experiment::Pairs => databases::play(setting, databases::Traffic::Pair),
            Experiment::List => list::play(setting),
            Experiment::Front => front::play(setting),
        }
    }
}

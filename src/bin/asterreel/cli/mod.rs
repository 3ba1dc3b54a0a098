//! The command line: what can be asked for, and the commands that need no gateway of their own.

pub(crate) mod cells;
pub(crate) mod check;
mod exchange;
pub(crate) mod health;
pub(crate) mod probe;

use asterreel::operator::{self, Evaluated};
use cells::CellsCommand;
use clap::{Args, Parser, Subcommand, ValueEnum};
use health::Health;
use probe::Probe;
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

/// A gateway between the clients of a replicated database and its servers.
///
/// Without a command it runs the gateway. RELAY_CONFIG names its configuration; the README lists all variables.
#[derive(Parser)]
#[command(version, about)]
pub(crate) struct Cli {
    /// How log lines are written, to standard error; RELAY_LOG sets the level.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: LogFormat,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The form of a log line.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run the gateway (the default)
    Run(Files),
    /// Check the configuration and the operator's file; opens no socket
    ///
    /// Exits with 0 when both are good, with 1 when one is not; the message names the file, line and key.
    Check(Files),
    /// Check a gateway's health as a balancer would
    ///
    /// Exits with 0 when it is ready for clients, 1 when it says that it is not, 2 when the arguments are wrong, 3 when
    /// nothing answers in time, 4 when the answer makes no sense.
    Probe(Probe),
    /// Show what a running gateway tells of itself, by group
    ///
    /// Exits with 0 when it was told, 3 when nothing answers, 4 when the answer makes no sense.
    Health(Health),
    /// Run a control member that serves no clients of its own
    ///
    /// It holds the log on which the fleet's gateways agree, with the other voters of the operator's file, and serves
    /// gateways; it opens no listener but `lease.listen` and reads no other configuration. SIGTERM ends it in order.
    Control(Control),
    /// Say where tenants live, and publish placements
    #[command(subcommand)]
    Cells(CellsCommand),
}

#[derive(Args, Default)]
pub(crate) struct Files {
    /// The operator's file (Starlark); without one all that it could set is off
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

impl Files {
    /// Has the operator's file evaluated, if there is one.
    pub(crate) fn evaluate(
        &self,
        within: Duration,
    ) -> Result<Evaluated, operator::OperatorFileError> {
        let Some(path) = &self.operator else {
            return Ok(Evaluated::default());
        };
        let evaluator = operator::evaluator().map_err(|error| operator::OperatorFileError {
            file: path.display().to_string(),
            at: None,
            key: None,
            fault: format!("no evaluator: {error}"),
        })?;
        operator::evaluate(&evaluator, path, within)
    }
}

/// How long the evaluation of an operator's file may take at the start.
pub(crate) const EVALUATION: Duration = Duration::from_secs(5);
/// How long it may take while the gateway runs; shorter, as signals are not handled meanwhile.
pub(crate) const RELOAD_EVALUATION_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Args)]
pub(crate) struct Control {
    /// The operator's file (Starlark); its `lease(...)` has to make this process a voter
    #[arg(long, value_name = "FILE")]
    pub operator: PathBuf,
}

/// A reader that has gone away is no reason to panic.
fn say(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

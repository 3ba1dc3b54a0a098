//! The command line, and the commands that do not run a gateway.

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
    /// The format of log lines on standard error; RELAY_LOG sets the level.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: LogFormat,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The format of a log line.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
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
    /// Exits with 0 if it is ready for clients, 1 if it reports that it is not, 2 if the arguments are wrong, 3 if no
    /// answer arrives in time, 4 if the answer is invalid.
    Probe(Probe),
    /// Show the health that a running gateway reports, by group
    ///
    /// Exits with 0 if it answers, 3 if no answer arrives, 4 if the answer is invalid.
    Health(Health),
    /// Run a control member that serves no clients of its own
    ///
    /// With the other voters of the operator's file it replicates the log of the fleet's control plane, and it serves the
    /// gateways. It listens on `lease.listen` only and reads no other configuration. SIGTERM shuts it down in order.
    Control(Control),
    /// Show where tenants are placed, and publish placements
    #[command(subcommand)]
    Cells(CellsCommand),
}

#[derive(Args, Default)]
pub(crate) struct Files {
    /// The operator's file (Starlark); without it, all that it can set is off
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

impl Files {
    /// Evaluates the operator's file, if there is one, within this time.
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
            fault: format!("the path of its evaluator is unknown: {error}"),
        })?;
        operator::evaluate(&evaluator, path, within)
    }
}

/// How long the evaluation of an operator's file may take at the start.
pub(crate) const EVALUATION: Duration = Duration::from_secs(5);
/// How long the evaluation of an operator's file may take while the gateway runs; shorter than at the start, as signals are
/// not handled meanwhile.
pub(crate) const RELOAD_EVALUATION_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Args)]
pub(crate) struct Control {
    /// The operator's file (Starlark); its `lease(...)` must make this process a voter
    #[arg(long, value_name = "FILE")]
    pub operator: PathBuf,
}

/// Prints a line to standard output. Errors are ignored: `println!` would panic once the reader has closed the pipe.
fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

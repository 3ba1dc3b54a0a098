//! The gateway: accepts requests from clients on sockets and sends them to the members that the router chooses.
//!
//! `front` serves clients, `request` dispatches attempts to servers, `core` runs the router between them, and `discovery`
//! supplies its endpoints. `health` answers load balancers, `control` connects to the control plane, and `cli` holds the
//! other commands.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod cells;
mod cli;
mod control;
mod core;
mod discovery;
mod front;
#[cfg(test)]
mod fuzz;
mod health;
mod postgres;
mod probe;
mod request;
mod runtime;
mod server;
mod startup;

use crate::cells::Cells;
use crate::cli::{Cli, Command, Files, LogFormat};
use crate::control::client::ControlClient;
use crate::discovery::{FirstList, Source};
use crate::front::{ClientLimits, Gateway};
use crate::runtime::{coroutine, turns};
use crate::server::Server;
use crate::startup::{Descriptors, RequestPath};
use asterreel::config::Config;
use asterreel::memory::MemoryPlan;
use asterreel::operator::Operator;
use asterreel::readmission::Readmission;
use asterreel_control::clock::Clock;
use asterreel_control::service;
use clap::Parser;
use may::net::TcpListener;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use tracing::{info, level_filters::LevelFilter, warn};

/// How many stacks of ended coroutines are kept for new ones.
const COROUTINE_POOL_CAPACITY: usize = 64;

fn main() -> ExitCode {
    let cli = Cli::parse();
    start_logging(cli.log_format);
    let result = match cli.command.unwrap_or(Command::Run(Files::default())) {
        Command::Run(files) => run(&files),
        Command::Check(files) => cli::check::run(&files),
        Command::Control(control) => control::member::run(&control),
        Command::Cells(command) => cli::cells::run(&command),
        Command::Probe(probe) => return cli::probe::run(&probe),
        Command::Health(health) => return cli::health::run(&health),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterreel: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts logging to standard error, at the level of `RELAY_LOG`, or at INFO if that is unset or invalid.
fn start_logging(format: LogFormat) {
    let level = std::env::var("RELAY_LOG")
        .ok()
        .and_then(|level| level.parse().ok())
        .unwrap_or(LevelFilter::INFO);
    // tracing reports write errors on standard error, which panics if standard error is closed.
    let log = tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}

/// Runs a gateway until SIGTERM or SIGINT.
fn run(files: &Files) -> Result<(), Box<dyn Error>> {
    // First of all, so that an early signal does not kill the process.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let config = Config::from_env()?;
    let evaluated = files.evaluate(cli::EVALUATION)?;
    let timetable = evaluated.check_with_config(&config)?;
    let operator = evaluated.operator;
    configure_coroutines();
    turns::start()?;

    let clock = Clock::start();
    let control_loop = operator
        .lease
        .as_ref()
        .map(|lease| service::start(lease, clock))
        .transpose()?;
    let gateways = configured_gateways(&config, &operator);
    let StartedGateway {
        gateway,
        source,
        first_list,
    } = start_gateway(&config, &operator, gateways, clock)?;
    if !first_list.wait(discovery::FIRST_LIST_TIMEOUT) {
        warn!(
            "no list from discovery yet; serving with the list in the configuration, which may be out of date; check that \
             discovery runs at the address set in `discovery`"
        );
    }
    accept(&gateway, config.listen)?;
    let health = operator
        .health
        .as_ref()
        .map(|health| health::start(&config.name, health, gateway.clone(), config.listen))
        .transpose()?;
    info!(name = config.name, listen = %config.listen, "serving");

    let control = control_loop.map(|(handle, events)| ControlClient::new(handle, events, gateways));
    let server = Server {
        config,
        files,
        source: &source,
        health,
        cells: operator.cells,
        timetable,
        control,
    };
    server.run(&gateway, &mut signals);
    Ok(())
}

/// How many gateways the fleet has: the larger of the number of peers in the operator's file and `FleetSize` of the
/// settings, as the file must list only the control members.
fn configured_gateways(config: &Config, operator: &Operator) -> u32 {
    let listed = operator
        .lease
        .as_ref()
        .map_or(0, |lease| lease.peers.len() as u32);
    listed.max(config.settings.fleet_size)
}

/// A started gateway that does not accept clients yet.
struct StartedGateway {
    gateway: Arc<Gateway>,
    source: Arc<Source>,
    first_list: Arc<FirstList>,
}

/// Starts everything that serves requests, without accepting clients yet.
fn start_gateway(
    config: &Config,
    operator: &Operator,
    gateways: u32,
    clock: Clock,
) -> Result<StartedGateway, Box<dyn Error>> {
    let for_health = operator
        .health
        .as_ref()
        .map_or(0, |health| health.descriptors());
    let descriptors = Descriptors::divide(config.max_descriptors, for_health);
    let memory = MemoryPlan::divide(config.memory_mb, descriptors.clients);
    runtime::memory::set_limit(memory.held_bytes);
    let RequestPath {
        core,
        pool,
        source,
        first_list,
    } = startup::start(config, operator, descriptors.servers, clock)?;
    let cells = operator
        .cells
        .as_ref()
        .map(|cells| Cells::start(cells, clock))
        .transpose()?;
    let gateway = Arc::new(Gateway::new(
        core,
        pool,
        &config.setup,
        &config.settings,
        ClientLimits::new(memory.max_sessions, config.max_descriptors),
        cells,
    ));
    if let Some(pacing) = operator.readmission.clone() {
        gateway.set_admission_pacing(Readmission::new(pacing, gateways, config.seed));
    }
    Ok(StartedGateway {
        gateway,
        source,
        first_list,
    })
}

/// Configures one worker, as a gateway has one core. The worker is not pinned: may pins the first worker to the first core,
/// which all gateways of a machine would then share.
fn configure_coroutines() {
    may::config()
        .set_workers(1)
        .set_stack_size(coroutine::STACK_WORDS)
        .set_pool_capacity(COROUTINE_POOL_CAPACITY)
        .set_worker_pin(false);
}

/// Listens for clients and starts to accept them.
fn accept(gateway: &Arc<Gateway>, listen: SocketAddr) -> Result<(), Box<dyn Error>> {
    let listener = TcpListener::bind(listen).map_err(|error| {
        format!("listen: cannot listen on {listen}: {error}; choose a free address of this machine")
    })?;
    let accepting = gateway.clone();
    coroutine::spawn(move || front::accept(&accepting, &listener));
    Ok(())
}

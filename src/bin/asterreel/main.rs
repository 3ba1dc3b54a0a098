//! The gateway: takes requests from clients on real sockets and sends them where the module decides.
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
use crate::control::client::Fleetwide;
use crate::front::Gateway;
use crate::runtime::net;
use crate::server::Running;
use crate::startup::{Decisions, Descriptors};
use asterreel::config::Config;
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

fn main() -> ExitCode {
    let cli = Cli::parse();
    let level = std::env::var("RELAY_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    let level = level.unwrap_or(LevelFilter::INFO);
    // A log that can't be written is reported on standard error, and that panics when it is closed.
    let log = tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_max_level(level);
    let log = log.with_writer(std::io::stderr).with_ansi(false);
    match cli.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    let done = match cli.command.unwrap_or(Command::Run(Files::default())) {
        Command::Run(files) => run(&files),
        Command::Check(files) => cli::check::run(&files),
        Command::Control(control) => control::member::run(&control),
        Command::Cells(command) => cli::cells::run(&command),
        Command::Probe(probe) => return cli::probe::run(&probe),
        Command::Health(health) => return cli::health::run(&health),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterreel: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(files: &Files) -> Result<(), Box<dyn Error>> {
    // Before anything else, so that a signal that comes early ends nothing.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let config = Config::from_env()?;
    let evaluated = files.evaluate(cli::EVALUATION)?;
    let table = evaluated.beside(&config)?;
    let operator = evaluated.operator;
    configure_coroutines();

    let clock = Clock::start();
    let peers = operator
        .lease
        .as_ref()
        .map(|lease| service::start(lease, clock))
        .transpose()?;
    let for_health = operator
        .health
        .as_ref()
        .map_or(0, |health| health.descriptors());
    let descriptors = Descriptors::share(config.sockets, for_health);
    let decisions = startup::start(&config, &operator, descriptors.databases, clock)?;
    let Decisions {
        core,
        pool,
        source,
        first_list,
    } = decisions;
    let cells = operator
        .cells
        .as_ref()
        .map(|cells| Cells::start(cells, clock))
        .transpose()?;
    let most = descriptors.clients;
    let gateway = Gateway::new(
        core,
        pool,
        &config.setup,
        &config.settings,
        most,
        config.sockets,
        cells,
    );
    let gateway = Arc::new(gateway);
    // Gateways that are served need not be listed.
    let listed = operator
        .lease
        .as_ref()
        .map_or(0, |lease| lease.peers.len() as u32);
    let gateways = listed.max(config.settings.fleet_size);
    if let Some(knobs) = operator.readmission.clone() {
        gateway.set_admission_pacing(Readmission::new(knobs, gateways, config.seed));
    }
    if !first_list.wait(discovery::FIRST_LIST_TIMEOUT) {
        warn!(
            "no list from discovery yet: serving by the one in the configuration, which may be out of date"
        );
    }
    accept(&gateway, config.listen)?;
    let health = match &operator.health {
        Some(health) => Some(health::start(
            &config.name,
            health,
            gateway.clone(),
            config.listen,
        )?),
        None => None,
    };
    info!(name = config.name, listen = %config.listen, "serving");

    let agreed = peers.map(|(peers, notices)| Fleetwide::new(peers, notices, gateways));
    let running = Running {
        config,
        files,
        source: &source,
        health,
        cells: operator.cells,
        table,
        agreed,
    };
    running.run(&gateway, &mut signals);
    Ok(())
}

/// One core, so one worker; pinned, all gateways of a machine would share the first core.
fn configure_coroutines() {
    let coroutines = may::config();
    coroutines
        .set_workers(1)
        .set_stack_size(net::STACK_WORDS)
        .set_pool_capacity(64)
        .set_worker_pin(false);
}

/// Listens for clients, and accepts them from now on.
fn accept(gateway: &Arc<Gateway>, listen: SocketAddr) -> Result<(), Box<dyn Error>> {
    let listener =
        TcpListener::bind(listen).map_err(|error| format!("listen: {listen}: {error}"))?;
    let accepting = gateway.clone();
    net::spawn(move || front::accept(&accepting, &listener));
    Ok(())
}

//! Starts what a gateway needs before it listens: the router with its timer, health checks and watch on discovery, and the
//! pool of connections to servers. Divides the file descriptors between clients and servers.

use crate::core::{Core, HealthCheck};
use crate::discovery::{self, FirstList, Source};
use crate::probe;
use crate::request::pool::Pool;
use crate::runtime::coroutine;
use crate::runtime::timer::Timer;
use asterreel::config::{Config, EndpointList};
use asterreel::interface::{DiscoveryMode, UpdateKind};
use asterreel::operator::Operator;
use asterreel_control::clock::Clock;
use may::sync::mpsc::{self, Receiver};
use std::error::Error;
use std::io;
use std::sync::Arc;

/// Descriptors for everything but connections of clients and to servers: eleven stay open; the rest is for files and
/// sockets that are opened before others are closed.
const RESERVED_DESCRIPTORS: usize = 24;

/// How many of the process's descriptors connections of clients and to servers may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Descriptors {
    /// The most descriptors that connections of clients may hold.
    pub clients: usize,
    /// The most descriptors that connections to servers may hold.
    pub servers: usize,
}

impl Descriptors {
    /// Divides `all`, less the reserved ones and those of the health listeners. At most a third of the rest serve clients
    /// with an open request, each of which needs a connection to a server as well. What remains must suffice for idle
    /// connections to servers, and for clients that are between two requests.
    pub(crate) fn divide(all: usize, for_health: usize) -> Descriptors {
        let available = all.saturating_sub(RESERVED_DESCRIPTORS + for_health);
        let servers = available * 3 / 8;
        Descriptors {
            clients: available - servers,
            servers,
        }
    }
}

/// The router, the sources of its events, and the connections that it dispatches to.
pub(crate) struct RequestPath {
    /// Delivers events to the router and carries out its actions.
    pub core: Arc<Core>,
    /// Connections to servers.
    pub pool: Arc<Pool>,
    /// Discovery's address, which SIGHUP may change.
    pub source: Arc<Source>,
    /// Settled once discovery's first list has arrived, or can't arrive soon.
    pub first_list: Arc<FirstList>,
}

/// Starts the router with its timer, its health checks and its watch on discovery. At most `max_connections` connections
/// to servers are open at a time.
///
/// # Errors
///
/// Settings or known members that the router rejects, and threads that can't be started.
pub(crate) fn start(
    config: &Config,
    operator: &Operator,
    max_connections: usize,
    clock: Clock,
) -> Result<RequestPath, Box<dyn Error>> {
    let timer = Timer::new(clock);
    let (health_checks, check_requests) = mpsc::channel();
    let (watches, watch_requests) = mpsc::channel();
    let source = Arc::new(Source::new(config.discovery, clock, watches.clone()));
    // In push mode the watch starts at once: the router requests watches only where discovery must be called, and this
    // gateway counts as notified of the agent's updates whether it watches or not.
    if config.settings.discovery == DiscoveryMode::Push {
        // Can't fail: the receiver lives until this function returns.
        let _ = watches.send(());
    }
    let core = Arc::new(Core::new(
        config,
        clock,
        timer.clone(),
        health_checks,
        watches,
    )?);
    if operator.health.is_some() || operator.cells.is_some() {
        core.observe(&config.settings);
    }
    let allowed = &config.setup.allowed;
    let pool = Arc::new(Pool::new(
        clock,
        timer.clone(),
        max_connections,
        allowed.conn_idle_us,
        allowed.connect_timeout_us,
    ));
    start_timer(timer, &core)?;
    let (checking_core, checking_pool) = (core.clone(), pool.clone());
    coroutine::spawn(move || run_health_checks(&checking_core, &checking_pool, &check_requests));
    core.listed(UpdateKind::CachedSnapshot, &config.known_endpoints)
        .map_err(|error| format!("configuration: known: {error}"))?;
    let first_list = watch_discovery(&core, &source, &config.known_endpoints, watch_requests)?;
    Ok(RequestPath {
        core,
        pool,
        source,
        first_list,
    })
}

/// Starts the timer's thread, which also wakes the router.
fn start_timer(timer: Arc<Timer>, core: &Arc<Core>) -> io::Result<()> {
    let woken = core.clone();
    std::thread::Builder::new()
        .name("timer".into())
        .spawn(move || timer.run(|| woken.timer_fired()))?;
    Ok(())
}

/// Starts the coroutine that watches discovery, from the revision of the configuration's list (`known`) on.
fn watch_discovery(
    core: &Arc<Core>,
    source: &Arc<Source>,
    known: &EndpointList,
    watch_requests: Receiver<()>,
) -> io::Result<Arc<FirstList>> {
    let (core, source, revision) = (core.clone(), source.clone(), known.revision);
    let first_list = Arc::<FirstList>::default();
    let listed = first_list.clone();
    let watch = move || discovery::run(&core, &source, revision, &watch_requests, &listed);
    coroutine::spawn_with_stack(coroutine::JSON_STACK_WORDS, watch)?;
    Ok(first_list)
}

/// Runs the health checks that the router requests, each in a coroutine of its own.
fn run_health_checks(core: &Arc<Core>, pool: &Arc<Pool>, requests: &Receiver<HealthCheck>) {
    while let Ok(HealthCheck { member, address }) = requests.recv() {
        let (core, pool) = (core.clone(), pool.clone());
        coroutine::spawn(move || {
            let (outcome, report) = probe::run(&pool, address);
            core.health_check_ended(member, outcome, report);
        });
    }
}

#[cfg(test)]
mod tests;

//! What a gateway starts before it listens: the router with what feeds it, the pool of connections to servers, and how the
//! descriptors are divided.

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

/// Descriptors for everything that is neither a client nor a server: eleven stay open, and each file or socket that is
/// opened before another is closed takes one more.
const RESERVED_DESCRIPTORS: usize = 24;

/// How many descriptors clients and servers may hold, of those that the platform gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Descriptors {
    /// For connections of clients.
    pub clients: usize,
    /// For connections to servers.
    pub servers: usize,
}

impl Descriptors {
    /// Divides all of them, less those of the health front ends. At most a third of all serve open requests, each with a
    /// connection to a server as well; beyond those there must be capacity for idle connections to servers, and for
    /// clients that are between two requests.
    pub(crate) fn divide(all: usize, for_health: usize) -> Descriptors {
        let available = all.saturating_sub(RESERVED_DESCRIPTORS + for_health);
        let servers = available * 3 / 8;
        Descriptors {
            clients: available - servers,
            servers,
        }
    }
}

/// The router, and what it is fed by and acts through.
pub(crate) struct RequestPath {
    /// The router, where events and actions meet.
    pub core: Arc<Core>,
    /// Connections to servers.
    pub pool: Arc<Pool>,
    /// Where discovery is.
    pub source: Arc<Source>,
    /// Whether discovery's first list has come.
    pub first_list: Arc<FirstList>,
}

/// Starts the router with its timer, its health checks and its watch on discovery. At most `max_connections` to servers
/// are open at a time.
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
    let (health_checks, checks_asked) = mpsc::channel();
    let (watches, watches_asked) = mpsc::channel();
    let source = Arc::new(Source::new(config.discovery, clock, watches.clone()));
    // A pushing agent is watched from the start: the router asks for watches only where discovery must be called, and
    // this gateway counts as notified of what the agent holds whether it is watched or not.
    if config.settings.discovery == DiscoveryMode::Push {
        // The receiver is alive until this function returns.
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
    let (checking, checking_pool) = (core.clone(), pool.clone());
    coroutine::spawn(move || run_health_checks(&checking, &checking_pool, &checks_asked));
    core.listed(UpdateKind::CachedSnapshot, &config.known_endpoints)
        .map_err(|error| format!("configuration: known: {error}"))?;
    let first_list = watch_discovery(&core, &source, &config.known_endpoints, watches_asked)?;
    Ok(RequestPath {
        core,
        pool,
        source,
        first_list,
    })
}

/// Starts the thread of the timer, which wakes the router.
fn start_timer(timer: Arc<Timer>, core: &Arc<Core>) -> io::Result<()> {
    let woken = core.clone();
    std::thread::Builder::new()
        .name("timer".into())
        .spawn(move || timer.run(|| woken.timer_fired()))?;
    Ok(())
}

/// Starts the coroutine that watches discovery, from the revision of the known list on.
fn watch_discovery(
    core: &Arc<Core>,
    source: &Arc<Source>,
    known: &EndpointList,
    watches_asked: Receiver<()>,
) -> io::Result<Arc<FirstList>> {
    let (core, source, revision) = (core.clone(), source.clone(), known.revision);
    let first_list = Arc::<FirstList>::default();
    let listed = first_list.clone();
    let watch = move || discovery::run(&core, &source, revision, &watches_asked, &listed);
    coroutine::spawn_with_stack(coroutine::JSON_STACK_WORDS, watch)?;
    Ok(first_list)
}

/// Runs the health checks that the router asks for, each beside the others.
fn run_health_checks(core: &Arc<Core>, pool: &Arc<Pool>, asked: &Receiver<HealthCheck>) {
    while let Ok(HealthCheck { member, address }) = asked.recv() {
        let (core, pool) = (core.clone(), pool.clone());
        coroutine::spawn(move || {
            let (outcome, report) = probe::run(&pool, address);
            core.health_check_ended(member, outcome, report);
        });
    }
}

#[cfg(test)]
mod tests;

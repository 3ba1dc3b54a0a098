//! What a gateway starts before it listens: the decision module with what feeds it, and the share of descriptors.

use crate::core::{Core, HealthCheck};
use crate::discovery::{self, FirstList, Source};
use crate::probe;
use crate::request::pool::Pool;
use crate::runtime::net;
use crate::runtime::timer::Timer;
use asterreel::config::Config;
use asterreel::interface::{DiscoveryMode, UpdateKind};
use asterreel::operator::Operator;
use asterreel_control::clock::Clock;
use may::sync::mpsc::{self, Receiver};
use std::error::Error;
use std::sync::Arc;

/// Descriptors for everything that is neither a client nor a database: eleven were counted, and each thing that
/// is opened before another is closed takes one more.
const RESERVED: usize = 24;

/// How many descriptors clients and databases may hold, of those that the platform gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Descriptors {
    /// Of clients.
    pub clients: usize,
    /// Of databases.
    pub databases: usize,
}

impl Descriptors {
    /// Shares all of them, less those for health's fronts. Requests hold a third of all at most, and each holds one to a
    /// database as well: beside those there must be room for connections kept for the next request, and for clients that
    /// are between two.
    pub(crate) fn share(all: usize, for_health: usize) -> Descriptors {
        let to_share = all.saturating_sub(RESERVED + for_health);
        let databases = to_share * 3 / 8;
        Descriptors {
            clients: to_share - databases,
            databases,
        }
    }
}

/// The decision module, and what it is fed by and acts through.
pub(crate) struct Decisions {
    /// The module, where events and actions meet.
    pub core: Arc<Core>,
    /// Connections to databases.
    pub pool: Arc<Pool>,
    /// Where discovery is.
    pub source: Arc<Source>,
    /// Whether discovery's list has come.
    pub first_list: Arc<FirstList>,
}

/// Starts the decision module with its timer, its probes and its watch on discovery.
///
/// # Errors
///
/// Settings or known members that the module refuses, and threads that can't be had.
pub(crate) fn start(
    config: &Config,
    operator: &Operator,
    databases: usize,
    clock: Clock,
) -> Result<Decisions, Box<dyn Error>> {
    let timer = Timer::new(clock);
    let (probes, probes_asked) = mpsc::channel();
    let (watches, watches_asked) = mpsc::channel();
    let source = Arc::new(Source::new(config.discovery, clock, watches.clone()));
    // A pushing agent is watched from the start: the module asks for watches only where discovery must be called,
    // and what the agent holds counts as told whether it is watched or not.
    if config.settings.discovery == DiscoveryMode::Push {
        let _ = watches.send(());
    }
    let core = Arc::new(Core::new(config, clock, timer.clone(), probes, watches)?);
    if operator.health.is_some() || operator.cells.is_some() {
        core.observe(&config.settings);
    }
    let allowed = &config.setup.allowed;
    let pool = Pool::new(
        clock,
        timer.clone(),
        databases,
        allowed.conn_idle_us,
        allowed.connect_timeout_us,
    );
    let pool = Arc::new(pool);

    let woken = core.clone();
    std::thread::Builder::new()
        .name("timer".into())
        .spawn(move || timer.run(|| woken.wake()))?;
    let (probing, probing_pool) = (core.clone(), pool.clone());
    net::spawn(move || run_probes(&probing, &probing_pool, &probes_asked));
    core.listed(UpdateKind::CachedSnapshot, &config.known)
        .map_err(|fault| format!("configuration: known: {fault}"))?;
    let (watching, watched, revision) = (core.clone(), source.clone(), config.known.revision);
    let first_list = Arc::<FirstList>::default();
    let listed = first_list.clone();
    let watch = move || discovery::run(&watching, &watched, revision, &watches_asked, &listed);
    net::spawn_with_stack(net::JSON_STACK_WORDS, watch)?;
    Ok(Decisions {
        core,
        pool,
        source,
        first_list,
    })
}

/// Runs the probes that the module asks for, each beside the others.
fn run_probes(core: &Arc<Core>, pool: &Arc<Pool>, asked: &Receiver<HealthCheck>) {
    while let Ok(HealthCheck { member, address }) = asked.recv() {
        let (core, pool) = (core.clone(), pool.clone());
        net::spawn(move || {
            let (outcome, report) = probe::run(&pool, address);
            core.probed(member, outcome, report);
        });
    }
}

#[cfg(test)]
mod tests;

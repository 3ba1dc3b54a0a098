//! The request router: where a gateway sends each request, when it retries, and what it rejects.
//!
//! [`Router`] handles [`Event`]s and returns [`Action`]s. It does no input or output and reads no clock: time and
//! the seed of its random numbers are arguments, so that the same events give the same actions. Each gateway decides
//! by itself, per group of one primary and its replicas:
//!
//! - `endpoints`: which members are in use, as discovery lists them.
//! - `member_health`: health checks, consecutive failures, half-open trials, outlier ejection.
//! - `primary`, `role_arbitration`: which member is the known primary, and which role report is current.
//! - `admission`, `load_shedding`, `queues`: whether an arrival is dispatched, queued or rejected.
//! - `selection`, `consistency`: which member gets a request, and which replicas have what it must see.
//! - `dispatch`: whether a request may be dispatched to a member, and the bookkeeping of a dispatch.
//! - `send_rules`: the rules on a send, judged at the dispatch and again when bytes are written.
//! - `slow_start`, `limits`: how many requests a member gets while it warms up, and how many attempts at once.
//! - `retries`, `completion`: what follows an attempt, and the final answer.
//!
//! Below them are `topology` and `member` (members and groups), `requests`, `sessions`, `estimates`, `timers` and
//! `fleet` (what the number of gateways means for one of them).
//!
//! Invariants: a request gets one final answer; one that may have run and must not run twice is neither retried nor
//! rejected as harmless; no request is dispatched to a member that drains; where members do not check reads, no read
//! is dispatched to a replica not known to be in sync.

mod admission;
mod completion;
mod consistency;
mod dispatch;
mod endpoints;
mod estimates;
pub mod fleet;
mod limits;
mod load_shedding;
mod member;
mod member_health;
mod primary;
mod queues;
mod requests;
mod retries;
mod role_arbitration;
mod selection;
mod send_rules;
mod sessions;
pub mod slow_start;
mod timers;
mod topology;

use crate::discovery::CallBackoff;
use crate::interface::{Action, Event, MemberId, Micros, RequestId, Settings, SettingsError};
use estimates::ClassEstimates;
use fleet::Fleet;
use member_health::ErrorRate;
use requests::Request;
use retries::RetryBudget;
use selection::ReplicationDelay;
use sessions::SessionCommits;
use std::collections::BTreeMap;
use timers::{TimerQueue, Watchdog};
use topology::Topology;

/// The request router of one gateway.
pub struct Router {
    settings: Settings,
    fleet: Fleet,
    rng: fastrand::Rng,
    now: Micros,
    /// The actions that the current event has led to so far.
    actions: Vec<Action>,
    topology: Topology,
    requests: BTreeMap<RequestId, Request>,
    classes: ClassEstimates,
    sessions: SessionCommits,
    timers: TimerQueue,
    watchdog: Watchdog,
    retry_budget: RetryBudget,
    discovery: CallBackoff,
    error_rate: ErrorRate,
    replication_delay: ReplicationDelay,
}

impl Router {
    /// Creates a router without any members.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], where the settings contradict themselves.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Router, SettingsError> {
        check_settings(&settings)?;
        Ok(Router {
            fleet: Fleet::new(settings.fleet_size),
            rng: fastrand::Rng::with_seed(seed),
            now,
            actions: Vec::new(),
            topology: Topology::default(),
            requests: BTreeMap::new(),
            classes: ClassEstimates::new(&settings.classes),
            sessions: SessionCommits::default(),
            timers: TimerQueue::default(),
            watchdog: Watchdog::default(),
            retry_budget: RetryBudget::default(),
            discovery: CallBackoff::new(&settings),
            error_rate: ErrorRate::default(),
            replication_delay: ReplicationDelay::new(settings.classes.len()),
            settings,
        })
    }

    /// Handles one event and appends the resulting actions. Time never runs backwards: an earlier time counts as the
    /// latest one seen.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.detect_stall(now);
        match event {
            Event::RequestArrived(arrival) => self.on_request_arrived(arrival),
            Event::AttemptEnded(ended) => self.on_attempt_ended(&ended),
            Event::StreamStarted(id) => self.on_stream_started(id),
            Event::ClientGone(id) => self.complete(id),
            Event::HealthChecked(id, outcome, report) => {
                self.on_health_checked(id, outcome, report);
            }
            Event::EndpointsUpdated(kind, endpoints) => {
                self.on_endpoints_updated(kind, &endpoints);
            }
            Event::WatchLost(loss) => self.on_watch_lost(loss),
            Event::TimerFired => {}
        }
        self.run_timers();
        actions.append(&mut self.actions);
    }

    /// Whether a member is known: it was listed, and has not been removed with all its attempts ended.
    pub fn has_member(&self, id: MemberId) -> bool {
        self.topology.contains(id)
    }
}

/// Checks that settings do not contradict themselves.
fn check_settings(settings: &Settings) -> Result<(), SettingsError> {
    if settings.fleet_size == 0 {
        return Err(SettingsError::NoGateways);
    }
    if settings.max_attempts == 0 {
        return Err(SettingsError::NoAttempts);
    }
    let classes = settings.classes.len();
    let consistency_levels = settings.consistency_levels.len();
    let staleness_bounds = settings.staleness_bounds.len();
    if consistency_levels != classes || staleness_bounds != classes {
        return Err(SettingsError::UnequalClassLists {
            classes,
            consistency_levels,
            staleness_bounds,
        });
    }
    let initial_share = settings.slow_start_initial_share;
    let overload_multiple = settings.overload_multiple;
    let is_finite = (initial_share + overload_multiple).is_finite();
    if !is_finite || initial_share.min(overload_multiple) < 0.0 {
        return Err(SettingsError::InvalidSlowStart {
            initial_share,
            overload_multiple,
        });
    }
    Ok(())
}

//! The router of this process behind a lock: events go in, and its actions are carried out.
//!
//! Nothing here knows the protocol that clients or members speak. The lock is never held over a wait, and every action
//! is carried out under the lock under which it was decided, so that mailboxes get commands in the router's order.

mod commands;
mod members;

pub(crate) use commands::{Command, CommandCounters, CommandMailbox, Dispatch};
pub(crate) use members::ListingError;

use members::Members;

use crate::runtime::sync::lock;
use crate::runtime::timer::Timer;
use asterreel::config::{Config, EndpointList};
use asterreel::health::{Observer, Report};
use asterreel::interface::*;
use asterreel::policy::Router;
use asterreel_control::clock::Clock;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, TryLockError};
use tracing::{debug, info, warn};

/// The router, and everything that its actions reach.
pub(crate) struct Core {
    /// The clock of all events.
    pub clock: Clock,
    /// The timer that wakes the router and coroutines.
    pub timer: Arc<Timer>,
    /// How many commands mailboxes were sent and sessions received.
    pub commands: Arc<CommandCounters>,
    state: Mutex<State>,
}

struct State {
    router: Router,
    /// Follows events and actions for health reports and cells, where either is configured.
    observer: Option<Observer>,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// Requests that have arrived since the start.
    requests: u64,
    members: Members,
    /// Kept between events for its allocation; empty outside of `feed`.
    actions: Vec<Action>,
    health_checks: Sender<HealthCheck>,
    watches: Sender<()>,
}

/// A request that commands can still go to.
struct OpenRequest {
    mailbox: Arc<dyn CommandMailbox>,
    due: Micros,
}

/// A health check that the router asks for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCheck {
    /// The member to check.
    pub member: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Core {
    /// A router without members. It asks for health checks and for watches on discovery through these channels.
    ///
    /// # Errors
    ///
    /// Settings that the router rejects.
    pub(crate) fn new(
        config: &Config,
        clock: Clock,
        timer: Arc<Timer>,
        health_checks: Sender<HealthCheck>,
        watches: Sender<()>,
    ) -> Result<Core, SettingsError> {
        let router = Router::new(config.settings.clone(), config.seed, clock.now())?;
        let state = State {
            router,
            observer: None,
            open_requests: HashMap::new(),
            requests: 0,
            members: Members::new(config.setup.zones.clone()),
            actions: Vec::new(),
            health_checks,
            watches,
        };
        Ok(Core {
            clock,
            timer,
            commands: Arc::default(),
            state: Mutex::new(state),
        })
    }

    /// Runs this under the lock.
    #[cfg(test)]
    pub(crate) fn hold(&self, work: impl FnOnce()) {
        self.with(|_| work());
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut lock(&self.state))
    }

    /// From now on an observer follows events and actions. Call it before the first list, or it misses that.
    pub(crate) fn observe(&self, settings: &Settings) {
        self.with(|state| state.observer = Some(Observer::new(settings)));
    }

    /// The report of the observer, or nothing where the lock is held: never waits.
    pub(crate) fn look(&self) -> Option<Report> {
        let mut state = match self.state.try_lock() {
            Ok(state) => state,
            Err(TryLockError::Poisoned(poisoned)) => poisoned.into_inner(),
            Err(TryLockError::WouldBlock) => return None,
        };
        let now = self.clock.now();
        Some(
            state
                .observer
                .as_mut()
                .map_or_else(Report::default, |observer| observer.report(now)),
        )
    }

    /// Whether a group has lost all its members; false without an observer.
    pub(crate) fn has_lost_all_members(&self, group: GroupId) -> bool {
        self.with(|state| {
            state
                .observer
                .as_ref()
                .is_some_and(|observer| observer.has_lost_all_members(group))
        })
    }

    /// Takes the lock and releases it, which shows that requests could take it too.
    pub(crate) fn wait_for_lock(&self) {
        self.with(|_| ());
    }

    fn feed(&self, event: Event) {
        self.with(|state| state.feed(self, event));
    }

    /// How many requests arrived since the start.
    pub(crate) fn requests(&self) -> u64 {
        self.with(|state| state.requests)
    }

    /// A request has arrived; its commands go to the mailbox until [`Core::forget`]. Returns its number.
    pub(crate) fn arrive(
        &self,
        mut arrival: Arrival,
        mailbox: Arc<dyn CommandMailbox>,
    ) -> RequestId {
        self.with(|state| {
            state.requests += 1;
            arrival.request = RequestId(state.requests);
            let due = arrival.due;
            state
                .open_requests
                .insert(arrival.request, OpenRequest { mailbox, due });
            state.feed(self, Event::RequestArrived(arrival));
            arrival.request
        })
    }

    /// An attempt has ended.
    pub(crate) fn attempt_ended(&self, ended: AttemptEnded) {
        self.feed(Event::AttemptEnded(ended));
    }

    /// Whether an attempt that was dispatched earlier may still be sent to its member, see [`Router::may_send`].
    pub(crate) fn may_send(&self, request: RequestId, member: MemberId) -> bool {
        self.with(|state| state.router.may_send(self.clock.now(), request, member))
    }

    /// The client of a request has gone.
    pub(crate) fn client_gone(&self, request: RequestId) {
        self.feed(Event::ClientGone(request));
    }

    /// A health check has ended.
    pub(crate) fn health_check_ended(
        &self,
        member: MemberId,
        outcome: Outcome,
        report: MemberReport,
    ) {
        self.feed(Event::HealthChecked(member, outcome, report));
    }

    /// The watch on discovery was lost.
    pub(crate) fn list_lost(&self, loss: WatchLoss) {
        self.feed(Event::WatchLost(loss));
    }

    /// The time has come for which the router set its timer.
    pub(crate) fn timer_fired(&self) {
        self.feed(Event::TimerFired);
    }

    /// Commands for a request are dropped from now on.
    pub(crate) fn forget(&self, request: RequestId) {
        self.with(|state| state.open_requests.remove(&request));
    }

    /// Takes in an update of the endpoints.
    ///
    /// # Errors
    ///
    /// An endpoint that is invalid; the update then changes nothing.
    pub(crate) fn listed(
        &self,
        kind: UpdateKind,
        listing: &EndpointList,
    ) -> Result<(), ListingError> {
        self.with(|state| {
            let endpoints = state.members.endpoints(listing)?;
            state.feed(self, Event::EndpointsUpdated(kind, endpoints.into()));
            let router = &state.router;
            state.members.retain(|member| router.has_member(member));
            Ok(())
        })
    }
}

impl State {
    fn feed(&mut self, core: &Core, event: Event) {
        let now = core.clock.now();
        // Together with the names of members these lines allow a run to be replayed from the logs of a fleet.
        debug!(now, "{event:?}");
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(observer) = &mut self.observer {
            observer.event(now, &event);
        }
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            if let Some(observer) = &mut self.observer {
                observer.action(now, &action);
            }
            debug!(now, "{action:?}");
            self.carry_out(core, now, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, core: &Core, now: Micros, action: Action) {
        match action {
            Action::Dispatch {
                request,
                member,
                timeout,
            } => {
                let Some(address) = self.members.address(member) else {
                    return warn!("a send to a member without an address");
                };
                let Some(open) = self.open_requests.get(&request) else {
                    return;
                };
                let deadline = now.saturating_add(timeout).min(open.due);
                open.mailbox.send(Command::Dispatch(Dispatch {
                    member,
                    address,
                    deadline,
                }));
            }
            Action::CancelAttempt { request, attempt } => {
                self.send(request, Command::CancelAttempt(attempt))
            }
            Action::Reject {
                request,
                retry_after,
            } => self.send(request, Command::Reject { retry_after }),
            Action::Fail(request) => self.send(request, Command::Fail),
            Action::CheckHealth(member) => {
                if let Some(address) = self.members.address(member) {
                    // The receiver lasts as long as the process.
                    let _ = self.health_checks.send(HealthCheck { member, address });
                }
            }
            Action::Watch => {
                // The receiver lasts as long as the process.
                let _ = self.watches.send(());
            }
            Action::ReportTransition { member, transition } => {
                let name = self.members.name(member).unwrap_or("?");
                info!(member = name, "{transition:?}");
            }
            Action::SetTimer(after) => core.timer.wake_at(now.saturating_add(after)),
        }
    }

    fn send(&self, request: RequestId, command: Command) {
        if let Some(open) = self.open_requests.get(&request) {
            open.mailbox.send(command);
        }
    }
}

#[cfg(test)]
mod tests;

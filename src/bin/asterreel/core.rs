//! The router of this process behind a lock: passes events to it and carries out its actions.
//!
//! This module does not depend on the protocol of clients and members. The lock is never held across a wait, and every
//! action is carried out under the lock under which it was decided, so that mailboxes get commands in the router's
//! order.

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

/// The router, and everything that its actions need.
pub(crate) struct Core {
    /// The clock for the times of events.
    pub clock: Clock,
    /// The timer that wakes the router and coroutines.
    pub timer: Arc<Timer>,
    /// How many commands were sent to mailboxes, and how many of them sessions have received.
    pub commands: Arc<CommandCounters>,
    state: Mutex<State>,
}

struct State {
    router: Router,
    /// Observes events and actions for health reports and cells; `None` where neither is configured.
    observer: Option<Observer>,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// How many requests have arrived since the process started.
    request_count: u64,
    members: Members,
    /// Reused from event to event to save allocations; empty outside of [`State::handle`].
    actions: Vec<Action>,
    health_checks: Sender<HealthCheck>,
    watches: Sender<()>,
}

/// A request to which commands can still be sent.
struct OpenRequest {
    mailbox: Arc<dyn CommandMailbox>,
    due: Micros,
}

/// A health check that the router has requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCheck {
    /// The member to check.
    pub member: MemberId,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl Core {
    /// A router without members. Its requests for health checks and for watches on discovery are sent to these
    /// channels.
    ///
    /// # Errors
    ///
    /// If the router rejects the settings.
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
            request_count: 0,
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

    /// Runs `work` while the lock is held.
    #[cfg(test)]
    pub(crate) fn with_lock_held(&self, work: impl FnOnce()) {
        self.with(|_| work());
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut lock(&self.state))
    }

    /// Adds an observer of events and actions. To be called before the first list, which the observer would miss
    /// otherwise.
    pub(crate) fn observe(&self, settings: &Settings) {
        self.with(|state| state.observer = Some(Observer::new(settings)));
    }

    /// The observer's report, which is empty without an observer; `None` where the lock is held, as this never waits.
    pub(crate) fn observer_report(&self) -> Option<Report> {
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

    /// Takes the lock and releases it. Returning shows that requests can get the lock.
    pub(crate) fn wait_for_lock(&self) {
        self.with(|_| ());
    }

    fn handle(&self, event: Event) {
        self.with(|state| state.handle(self, event));
    }

    /// How many requests have arrived since the process started.
    pub(crate) fn request_count(&self) -> u64 {
        self.with(|state| state.request_count)
    }

    /// Handles the arrival of a request and returns its id. Commands for it are sent to the mailbox until
    /// [`Core::forget`].
    pub(crate) fn arrive(
        &self,
        mut arrival: Arrival,
        mailbox: Arc<dyn CommandMailbox>,
    ) -> RequestId {
        self.with(|state| {
            state.request_count += 1;
            arrival.request = RequestId(state.request_count);
            let due = arrival.due;
            state
                .open_requests
                .insert(arrival.request, OpenRequest { mailbox, due });
            state.handle(self, Event::RequestArrived(arrival));
            arrival.request
        })
    }

    /// Handles the end of an attempt.
    pub(crate) fn attempt_ended(&self, ended: AttemptEnded) {
        self.handle(Event::AttemptEnded(ended));
    }

    /// Whether bytes of an attempt may be written now.
    ///
    /// # Errors
    ///
    /// The rule that forbids it, see [`Router::permit_send`].
    pub(crate) fn permit_send(
        &self,
        request: RequestId,
        attempt: AttemptNo,
    ) -> Result<(), SendRefusal> {
        self.with(|state| {
            let now = self.clock.now();
            state.router.permit_send(now, request, attempt)
        })
    }

    /// Reports to the router that a request needs no answer from it any more: its client has gone or cancelled it, or
    /// its deadline has passed.
    pub(crate) fn client_gone(&self, request: RequestId) {
        self.handle(Event::ClientGone(request));
    }

    /// Handles the end of a health check.
    pub(crate) fn health_check_ended(
        &self,
        member: MemberId,
        outcome: Outcome,
        report: MemberReport,
    ) {
        self.handle(Event::HealthChecked(member, outcome, report));
    }

    /// Handles the loss of the watch on discovery.
    pub(crate) fn watch_lost(&self, loss: WatchLoss) {
        self.handle(Event::WatchLost(loss));
    }

    /// Handles the expiry of the router's timer.
    pub(crate) fn timer_fired(&self) {
        self.handle(Event::TimerFired);
    }

    /// Drops commands for a request from now on.
    pub(crate) fn forget(&self, request: RequestId) {
        self.with(|state| state.open_requests.remove(&request));
    }

    /// Applies an update of the endpoints.
    ///
    /// # Errors
    ///
    /// If an endpoint is invalid; the update then changes nothing.
    pub(crate) fn listed(
        &self,
        kind: UpdateKind,
        listing: &EndpointList,
    ) -> Result<(), ListingError> {
        self.with(|state| {
            let endpoints = state.members.endpoints(listing)?;
            state.handle(self, Event::EndpointsUpdated(kind, endpoints.into()));
            let router = &state.router;
            state.members.retain(|member| router.has_member(member));
            Ok(())
        })
    }
}

impl State {
    fn handle(&mut self, core: &Core, event: Event) {
        let now = core.clock.now();
        // Together with the lines that log members' names, these lines allow a run to be replayed from a fleet's logs.
        debug!(now, "{event:?}");
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(observer) = &mut self.observer {
            observer.observe_event(now, &event);
        }
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            if let Some(observer) = &mut self.observer {
                observer.observe_action(now, &action);
            }
            debug!(now, "{action:?}");
            self.execute(core, now, action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, core: &Core, now: Micros, action: Action) {
        match action {
            Action::Dispatch {
                request,
                member,
                timeout,
                send_within,
            } => {
                let Some(address) = self.members.address(member) else {
                    return warn!(
                        member = self.members.name(member).unwrap_or("?"),
                        "cannot dispatch an attempt: no endpoint update has given the member's address"
                    );
                };
                let Some(open) = self.open_requests.get(&request) else {
                    return;
                };
                let deadline = now.saturating_add(timeout).min(open.due);
                open.mailbox.send(Command::Dispatch(Dispatch {
                    member,
                    address,
                    deadline,
                    send_by: now.saturating_add(send_within).min(deadline),
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
                    // The receiver lives as long as the process.
                    let _ = self.health_checks.send(HealthCheck { member, address });
                }
            }
            Action::Watch => {
                // The receiver lives as long as the process.
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

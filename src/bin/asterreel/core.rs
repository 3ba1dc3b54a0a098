//! One router behind a lock: takes in events, hands its actions to whom they concern.
//!
//! Nothing here knows the protocol that clients or members speak. The lock is never held over a wait.

use crate::runtime::timer::Timer;
use asterreel::config::{Config, Listing};
use asterreel::health::{Observer, Report};
use asterreel::interface::*;
use asterreel::policy::Router;
use asterreel_control::clock::Clock;
use may::sync::mpsc::Sender;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, TryLockError};
use tracing::{debug, info, warn};

/// An attempt that the router wants made.
#[derive(Debug)]
pub(crate) struct Dispatch {
    /// The member it goes to.
    pub member: MemberId,
    /// Where that member listens.
    pub address: SocketAddr,
    /// Until when its answer is waited for.
    pub deadline: Micros,
}

/// What the router wants done for one request.
#[derive(Debug)]
pub(crate) enum Command {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Cancel an attempt.
    CancelAttempt(AttemptNo),
    /// Final answer: rejected; a retry makes sense after the delay at best.
    Reject { retry_after: Option<Micros> },
    /// Final answer: failed.
    Fail,
}

/// Where the router's commands for a request go.
pub(crate) trait CommandMailbox: Send + Sync {
    /// Takes a command; called under the router's lock, so it must not wait.
    fn send(&self, command: Command);
}

/// How many commands were sent to mailboxes, and how many sessions have received or will never receive. Read without a
/// lock, by the liveness check.
#[derive(Default)]
pub(crate) struct CommandCounters {
    /// Commands that mailboxes were sent.
    pub sent: AtomicU64,
    /// Commands that left their mailbox.
    pub received: AtomicU64,
}

impl CommandCounters {
    /// How many were sent and received; never fewer sent.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let received = self.received.load(Ordering::Acquire);
        (self.sent.load(Ordering::Acquire), received)
    }
}

pub(crate) struct Core {
    pub clock: Clock,
    pub timer: Arc<Timer>,
    pub commands: Arc<CommandCounters>,
    state: Mutex<State>,
}

struct State {
    router: Router,
    /// Looks on, where somebody wants to know.
    observer: Option<Observer>,
    requests_open: HashMap<RequestId, (Arc<dyn CommandMailbox>, Micros)>,
    requests: u64,
    /// By name, those that the router knows.
    members: HashMap<String, MemberId>,
    /// Their names and where they listen.
    places: HashMap<MemberId, (String, Option<SocketAddr>)>,
    next_member: u32,
    zones: Vec<String>,
    actions: Vec<Action>,
    probes: Sender<(MemberId, SocketAddr)>,
    watches: Sender<()>,
}

impl Core {
    pub(crate) fn new(
        config: &Config,
        clock: Clock,
        timer: Arc<Timer>,
        probes: Sender<(MemberId, SocketAddr)>,
        watches: Sender<()>,
    ) -> Result<Core, SettingsError> {
        let router = Router::new(config.settings.clone(), config.seed, clock.now())?;
        let state = State {
            router,
            observer: None,
            requests_open: HashMap::new(),
            requests: 0,
            members: HashMap::new(),
            places: HashMap::new(),
            next_member: 0,
            zones: config.setup.zones.clone(),
            actions: Vec::new(),
            probes,
            watches,
        };
        Ok(Core {
            clock,
            timer,
            commands: Arc::default(),
            state: Mutex::new(state),
        })
    }

    #[cfg(test)]
    pub(crate) fn hold(&self, work: impl FnOnce()) {
        self.with(|_| work());
    }

    fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// From now on an observer looks on; before the first list, or it misses that.
    pub(crate) fn observe(&self, settings: &Settings) {
        self.with(|state| state.observer = Some(Observer::new(settings)));
    }

    /// What the observer sees, or nothing where the lock is held: never waits.
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

    /// Whether a group has lost all its members, where an observer looks on.
    pub(crate) fn lost(&self, group: GroupId) -> bool {
        self.with(|state| {
            state
                .observer
                .as_ref()
                .is_some_and(|observer| observer.lost(group))
        })
    }

    /// Takes the lock and gives it back: whoever gets through here shows that requests could.
    pub(crate) fn wait_for_lock(&self) {
        self.with(|_| ());
    }

    fn feed(&self, event: Event) {
        self.with(|state| state.feed(self, event));
    }

    /// How many requests came in since the start.
    pub(crate) fn requests(&self) -> u64 {
        self.with(|state| state.requests)
    }

    /// A request came in; its orders go to the mailbox until [`Core::forget`].
    pub(crate) fn arrive(
        &self,
        mut arrival: Arrival,
        mailbox: Arc<dyn CommandMailbox>,
    ) -> RequestId {
        self.with(|state| {
            state.requests += 1;
            arrival.request = RequestId(state.requests);
            state
                .requests_open
                .insert(arrival.request, (mailbox, arrival.due));
            state.feed(self, Event::RequestArrived(arrival));
            arrival.request
        })
    }

    pub(crate) fn ended(&self, ended: AttemptEnded) {
        self.feed(Event::AttemptEnded(ended));
    }

    /// Whether an attempt that was ordered earlier may be written now.
    pub(crate) fn may_write(&self, request: RequestId, member: MemberId) -> bool {
        self.with(|state| state.router.may_write(self.clock.now(), request, member))
    }

    pub(crate) fn departed(&self, request: RequestId) {
        self.feed(Event::ClientGone(request));
    }

    pub(crate) fn probed(&self, member: MemberId, outcome: Outcome, report: MemberReport) {
        self.feed(Event::HealthChecked(member, outcome, report));
    }

    pub(crate) fn list_lost(&self, loss: WatchLoss) {
        self.feed(Event::WatchLost(loss));
    }

    pub(crate) fn wake(&self) {
        self.feed(Event::TimerFired);
    }

    /// No orders are wanted any more.
    pub(crate) fn forget(&self, request: RequestId) {
        self.with(|state| state.requests_open.remove(&request));
    }

    /// Takes in a list; one with an entry that makes no sense changes nothing.
    pub(crate) fn listed(&self, kind: UpdateKind, listing: &Listing) -> Result<(), String> {
        self.with(|state| {
            let entries = state.entries(listing)?;
            state.feed(self, Event::EndpointsUpdated(kind, entries.into()));
            state.forget_members();
            Ok(())
        })
    }
}

impl State {
    fn entries(&mut self, listing: &Listing) -> Result<Vec<Endpoint>, String> {
        let mut entries = Vec::with_capacity(listing.members.len());
        let mut addresses = Vec::with_capacity(listing.members.len());
        for item in &listing.members {
            let entry = item
                .entry(MemberId(0), &self.zones)
                .map_err(|f| format!("{}: {f}", item.store))?;
            let address = match item.address.parse() {
                Ok(address) => Some(address),
                Err(_) if entry.state != EndpointState::Ready => None,
                Err(_) => return Err(format!("{}: bad address {:?}", item.store, item.address)),
            };
            entries.push(entry);
            addresses.push(address);
        }
        for ((entry, item), address) in entries.iter_mut().zip(&listing.members).zip(addresses) {
            let next = MemberId(self.next_member);
            entry.member = *self.members.entry(item.store.clone()).or_insert(next);
            self.next_member += u32::from(entry.member == next);
            let place = self
                .places
                .entry(entry.member)
                .or_insert_with(|| (item.store.clone(), None));
            debug!("{:?} is {}", entry.member, item.store);
            place.1 = address.or(place.1);
        }
        Ok(entries)
    }

    /// Servers are replaced by new ones under new names all day: what the router has done with goes.
    fn forget_members(&mut self) {
        let (router, places) = (&self.router, &mut self.places);
        places.retain(|member, _| router.knows(*member));
        self.members.retain(|_, member| places.contains_key(member));
    }

    fn feed(&mut self, core: &Core, event: Event) {
        let now = core.clock.now();
        // With what names say which member is meant, these lines let a day be replayed and counted over a fleet.
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
                let Some(address) = self.places.get(&member).and_then(|place| place.1) else {
                    return warn!("a send to a member without an address");
                };
                let Some((mailbox, due)) = self.requests_open.get(&request) else {
                    return;
                };
                let deadline = now.saturating_add(timeout).min(*due);
                mailbox.send(Command::Dispatch(Dispatch {
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
                if let Some(address) = self.places.get(&member).and_then(|place| place.1) {
                    let _ = self.probes.send((member, address));
                }
            }
            Action::Watch => {
                let _ = self.watches.send(());
            }
            Action::ReportTransition { member, transition } => {
                let name = self
                    .places
                    .get(&member)
                    .map_or("?", |place| place.0.as_str());
                info!(member = name, "{transition:?}");
            }
            Action::SetTimer(after) => core.timer.wake_at(now.saturating_add(after)),
        }
    }

    fn send(&self, request: RequestId, command: Command) {
        if let Some((mailbox, _)) = self.requests_open.get(&request) {
            mailbox.send(command);
        }
    }
}

#[cfg(test)]
mod tests;

//! Tells balancers how fit this gateway is for clients.
//!
//! All of it runs on one plain thread with an event loop of its own, beside `may`'s worker: what answers health must
//! not stand still when the worker does, and must not wait for any lock that the request path holds. It never writes
//! a log line itself, as a full pipe would stop it; another thread does.

mod client;
mod fronts;
mod grpc;
mod heartbeat;
mod notify;
#[cfg(test)]
mod tests;

use crate::front::Gateway;
use asterreel::health::connection_limit::ConnectionLimiter;
use asterreel::health::{
    http::Snapshot, Action, Capacity, CommandAge, Event, Machine, Scope, State, Status,
};
use asterreel::operator::Health;
use asterreel_control::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::{AbortHandle, LocalSet};
use tracing::info;

/// Time between two observations: the longest that a change waits before it is announced.
const TICK: Duration = Duration::from_millis(25);
/// Changes that may wait to be logged; more are dropped, as the next one says the same.
const LOG_QUEUE_LENGTH: usize = 256;
/// Descriptors held in reserve, given up when accepting finds none.
const RESERVED_DESCRIPTORS: usize = 2;

/// What the program asks of the health thread.
enum Command {
    Terminate,
    Stopping,
    RegistrationLost(bool),
    Reload(Box<Health>),
}

/// Sends commands to the health thread.
pub(crate) struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    /// What was set when it started.
    settings: Health,
}

impl Handle {
    /// SIGTERM came: told to balancers from now on.
    pub(crate) fn terminate(&self) {
        let _ = self.commands.send(Command::Terminate);
    }

    /// Connections are being closed.
    pub(crate) fn stopping(&self) {
        let _ = self.commands.send(Command::Stopping);
    }

    /// Whether the gateway has no registration in the fleet's log.
    pub(crate) fn registration_lost(&self, lost: bool) {
        let _ = self.commands.send(Command::RegistrationLost(lost));
    }

    /// Puts what was read again into force; the keys that have to wait for the next start.
    pub(crate) fn reload(&mut self, settings: Health) -> Vec<&'static str> {
        let before = &self.settings;
        let later = [
            (
                "health: listeners",
                before.listeners() != settings.listeners(),
            ),
            (
                "health.connections",
                before.connections != settings.connections,
            ),
            ("health.notify", before.notify != settings.notify),
            ("health.balancer and health.drain", {
                (&before.balancer, &before.drain) != (&settings.balancer, &settings.drain)
            }),
        ];
        let _ = self.commands.send(Command::Reload(Box::new(settings)));
        later
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}

/// What all parts of the thread share; nothing of it leaves the thread.
struct Shared {
    name: String,
    clock: Clock,
    gateway: Arc<Gateway>,
    settings: RefCell<Health>,
    machine: RefCell<Machine>,
    started: Cell<bool>,
    capacity: Cell<Capacity>,
    connections: RefCell<ConnectionLimiter>,
    clients: RefCell<HashMap<u64, AbortHandle>>,
    reserved_descriptors: RefCell<Vec<File>>,
    /// The heartbeat rests: the program ends, and its sessions must not hold that up.
    ending: Cell<bool>,
    connect_check: Notify,
    /// Counts changes, for those that watch.
    changes: watch::Sender<u64>,
    log: SyncSender<(Scope, Option<Status>)>,
    notify: Option<SyncSender<notify::Command>>,
}

impl Shared {
    fn event(&self, event: Event) {
        let mut actions = Vec::new();
        self.machine
            .borrow_mut()
            .handle(self.clock.now(), event, &mut actions);
        for action in &actions {
            let (scope, status) = match *action {
                Action::Announce(scope, status) => (scope, Some(status)),
                Action::Withdraw(scope) => (scope, None),
            };
            if let (Scope::Gateway, Some(status)) = (scope, status) {
                self.started
                    .set(self.started.get() || status.state != State::Starting);
                if let Some(notify) = &self.notify {
                    let _ = notify.try_send(notify::Command::Changed(status));
                }
            }
            let _ = self.log.try_send((scope, status));
        }
        if !actions.is_empty() {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn status(&self, scope: Scope) -> Option<Status> {
        self.machine.borrow().status(scope)
    }

    fn snapshot(&self) -> Snapshot {
        let machine = self.machine.borrow();
        let settings = self.settings.borrow();
        Snapshot {
            name: self.name.clone(),
            version: env!("CARGO_PKG_VERSION"),
            statuses: machine.statuses().collect(),
            capacity: self.capacity.get(),
            retry_after: settings.balancer.interval_ms.div_ceil(1000).max(1),
            started: self.started.get(),
            groups: machine.group_reports().cloned().collect(),
        }
    }
}

/// Binds the listeners; an error names the key.
fn bind_listeners(settings: &Health) -> io::Result<Vec<(&'static str, TcpListener)>> {
    let mut listeners = Vec::new();
    for (key, address) in settings.listeners() {
        let bound = TcpListener::bind(address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            Ok(listener)
        });
        let bound =
            bound.map_err(|error| io::Error::other(format!("health.{key}: {address}: {error}")))?;
        listeners.push((key, bound));
    }
    Ok(listeners)
}

/// Starts the thread that writes the log, which a full pipe may hold up.
fn start_log() -> io::Result<SyncSender<(Scope, Option<Status>)>> {
    let (log, logged) = sync_channel::<(Scope, Option<Status>)>(LOG_QUEUE_LENGTH);
    std::thread::Builder::new()
        .name("health-log".into())
        .spawn(move || {
            for (scope, status) in logged {
                write_log(scope, status);
            }
        })?;
    Ok(log)
}

/// Binds the fronts and starts the thread; an error names the key.
pub(crate) fn start(
    name: &str,
    settings: &Health,
    gateway: Arc<Gateway>,
    client: SocketAddr,
) -> io::Result<Handle> {
    let listeners = bind_listeners(settings)?;
    let log = start_log()?;
    let notify = if settings.notify {
        notify::start()?
    } else {
        None
    };
    let (commands, told) = mpsc::unbounded_channel();
    let (clock, own) = (gateway.core.clock, settings.clone());
    let name = name.to_owned();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("health".into())
        .spawn(move || {
            let shared = Rc::new(Shared {
                name,
                clock,
                machine: RefCell::new(Machine::new(own.options.clone(), clock.now())),
                connections: RefCell::new(ConnectionLimiter::new(
                    own.allow.clone(),
                    own.connections,
                )),
                settings: RefCell::new(own),
                gateway,
                started: Cell::default(),
                capacity: Cell::default(),
                clients: RefCell::default(),
                reserved_descriptors: RefCell::default(),
                ending: Cell::default(),
                connect_check: Notify::new(),
                changes: watch::Sender::new(0),
                log,
                notify,
            });
            let set = LocalSet::new();
            set.block_on(&runtime, run(shared, listeners, told, client));
        })?;
    Ok(Handle {
        commands,
        settings: settings.clone(),
    })
}

fn write_log(scope: Scope, status: Option<Status>) {
    let scope = match scope {
        Scope::Gateway => "gateway".to_owned(),
        Scope::Group(group) => format!("group {}", group.0),
    };
    match status {
        Some(Status {
            state,
            weight,
            reason,
        }) => {
            info!(scope, ?state, weight, reason = reason.code(), "health");
        }
        None => info!(scope, "health: no longer served"),
    }
}

async fn run(
    shared: Rc<Shared>,
    listeners: Vec<(&'static str, TcpListener)>,
    mut commands: mpsc::UnboundedReceiver<Command>,
    client: SocketAddr,
) {
    shared
        .reserved_descriptors
        .borrow_mut()
        .extend((0..RESERVED_DESCRIPTORS).filter_map(|_| File::open("/dev/null").ok()));
    for (key, listener) in listeners {
        // Registering fails only where the process has no descriptors at all, which the start has shown otherwise.
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            continue;
        };
        let front = fronts::Front::of(key);
        tokio::task::spawn_local(fronts::accept(shared.clone(), listener, front));
    }
    heartbeat::start(&shared, connectable(client));
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut command_age = CommandAge::default();
    let mut observe = true;
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => shared.apply(command),
                // The program is gone, but for its exit.
                None => return,
            },
            _ = ticks.tick() => {
                shared.measure_command_age(&mut command_age);
                // Every other tick: observing takes the core's lock, if only for some microseconds.
                observe = !observe;
                if observe {
                    shared.observe();
                }
                shared.notify_service_manager();
            }
        }
    }
}

/// An address to connect to: one that stands for all of the machine's is replaced by a loopback address.
fn connectable(address: SocketAddr) -> SocketAddr {
    if address.ip().is_unspecified() {
        (Ipv4Addr::LOCALHOST, address.port()).into()
    } else {
        address
    }
}

impl Shared {
    /// Does what the program asks for.
    fn apply(&self, command: Command) {
        match command {
            Command::Terminate => {
                self.ending.set(true);
                self.connect_check.notify_waiters();
                self.event(Event::Terminate);
            }
            Command::Stopping => self.event(Event::Stopping),
            Command::RegistrationLost(lost) => self.event(Event::RegistrationLost(lost)),
            Command::Reload(settings) => {
                self.connections.borrow_mut().allow(settings.allow.clone());
                self.event(Event::Configured(settings.options.clone()));
                let mut own = self.settings.borrow_mut();
                (own.options, own.allow) = (settings.options, settings.allow);
            }
        }
    }

    /// Reports how old the oldest command is that the request path has not taken.
    fn measure_command_age(&self, command_age: &mut CommandAge) {
        let (given, taken) = self.gateway.core.commands.counts();
        let age = command_age.sample(self.clock.now(), given, taken);
        self.event(Event::OldestCommandAge(age));
    }

    /// Reports what the decision module did since the last time, if its lock is free.
    fn observe(&self) {
        let capacity = self.gateway.capacity().unwrap_or(self.capacity.get());
        self.capacity.set(capacity);
        let seen = self.gateway.core.look();
        let event = seen.map_or(Event::ObservationMissed, |report| {
            Event::Observed(report, capacity)
        });
        self.event(event);
    }

    /// Tells the service manager that the request path moves; while it does not, nothing is told.
    fn notify_service_manager(&self) {
        if let Some(notify) = &self.notify {
            if self.machine.borrow().makes_progress() {
                let _ = notify.try_send(notify::Command::Moves);
            }
        }
    }
}

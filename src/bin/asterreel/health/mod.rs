//! Serves the health fronts, which report the gateway's state and weight to load balancers.
//!
//! All of it runs on one thread with its own event loop, beside the worker of `may`: health must be answered even while
//! the worker makes no progress, so this thread waits for no lock that the request path holds. A separate thread writes
//! the log lines, because writing to a full pipe would block.

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

/// Time between two ticks. The core is observed at every other one, so a change of its counts is announced within two
/// ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Changes that may be queued for the log. More are dropped: the line of a later change states the status anyway.
const LOG_QUEUE_LENGTH: usize = 256;
/// File descriptors held in reserve, closed when accepting fails for lack of a descriptor.
const RESERVED_DESCRIPTORS: usize = 2;

/// A command to the health thread.
enum Command {
    Terminate,
    Stopping,
    RegistrationLost(bool),
    Reload(Box<Health>),
}

/// Sends commands to the health thread.
pub(crate) struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    /// The settings at the start, to find the keys that need a restart.
    settings: Health,
}

impl Handle {
    /// Reports the drain to balancers from now on, after SIGTERM or SIGINT.
    pub(crate) fn terminate(&self) {
        let _ = self.commands.send(Command::Terminate);
    }

    /// Reports that the gateway has begun to close its connections.
    pub(crate) fn stopping(&self) {
        let _ = self.commands.send(Command::Stopping);
    }

    /// Reports whether the gateway has lost its registration in the fleet's log.
    pub(crate) fn registration_lost(&self, lost: bool) {
        let _ = self.commands.send(Command::RegistrationLost(lost));
    }

    /// Applies reloaded settings; returns the keys whose changes take effect only at the next start.
    pub(crate) fn reload(&mut self, settings: Health) -> Vec<&'static str> {
        let before = &self.settings;
        let restart_keys = [
            (
                "health listeners (agent, http, postgres, grpc)",
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
        restart_keys
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }
}

/// The state that all tasks of the health thread share; it never leaves the thread.
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
    /// Whether the program terminates: the heartbeat stops then, because its sessions would delay the drain.
    terminating: Cell<bool>,
    /// Wakes the tasks of the heartbeat: to connect again at once, or to end.
    connect_check: Notify,
    /// Counts the changes of statuses, to wake `Watch` calls.
    changes: watch::Sender<u64>,
    log: SyncSender<(Scope, Option<Status>)>,
    notify: Option<SyncSender<notify::Command>>,
}

impl Shared {
    fn handle_event(&self, event: Event) {
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
                    let _ = notify.try_send(notify::Command::StatusChanged(status));
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

/// Binds the listeners of the fronts; an error names the settings key.
fn bind_listeners(settings: &Health) -> io::Result<Vec<(&'static str, TcpListener)>> {
    let mut listeners = Vec::new();
    for (key, address) in settings.listeners() {
        let bound = TcpListener::bind(address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            Ok(listener)
        });
        let bound = bound.map_err(|error| {
            io::Error::other(format!("health.{key}: cannot listen on {address}: {error}"))
        })?;
        listeners.push((key, bound));
    }
    Ok(listeners)
}

/// Starts the thread that writes the log lines, so that a full pipe blocks only this thread.
fn start_log() -> io::Result<SyncSender<(Scope, Option<Status>)>> {
    let (log, changes) = sync_channel::<(Scope, Option<Status>)>(LOG_QUEUE_LENGTH);
    std::thread::Builder::new()
        .name("health-log".into())
        .spawn(move || {
            for (scope, status) in changes {
                write_log(scope, status);
            }
        })?;
    Ok(log)
}

/// Binds the fronts and starts the health thread. `client` is the address of the gateway's client listener, where the
/// heartbeat connects; an error of a listener names the settings key.
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
    let (commands, received_commands) = mpsc::unbounded_channel();
    let (clock, own_settings) = (gateway.core.clock, settings.clone());
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
                machine: RefCell::new(Machine::new(own_settings.options.clone(), clock.now())),
                connections: RefCell::new(ConnectionLimiter::new(
                    own_settings.allow.clone(),
                    own_settings.connections,
                )),
                settings: RefCell::new(own_settings),
                gateway,
                started: Cell::default(),
                capacity: Cell::default(),
                clients: RefCell::default(),
                reserved_descriptors: RefCell::default(),
                terminating: Cell::default(),
                connect_check: Notify::new(),
                changes: watch::Sender::new(0),
                log,
                notify,
            });
            let tasks = LocalSet::new();
            tasks.block_on(&runtime, run(shared, listeners, received_commands, client));
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
        None => info!(scope, "health: scope is no longer served"),
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
        // Registration fails only without a free descriptor, and the start has already opened more.
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            continue;
        };
        let front = fronts::Front::for_key(key);
        tokio::task::spawn_local(fronts::accept(shared.clone(), listener, front));
    }
    heartbeat::start(&shared, connectable(client));
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut command_age = CommandAge::default();
    let mut observe = true;
    loop {
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(command) => shared.apply(command),
                // The program has dropped its handle and is about to exit.
                None => return,
            },
            _ = ticks.tick() => {
                shared.measure_command_age(&mut command_age);
                // Every other tick only, because observing holds the core's lock for some microseconds.
                observe = !observe;
                if observe {
                    shared.observe();
                }
                shared.notify_service_manager();
            }
        }
    }
}

/// An address to connect to: an unspecified address is replaced by the loopback address.
fn connectable(address: SocketAddr) -> SocketAddr {
    if address.ip().is_unspecified() {
        (Ipv4Addr::LOCALHOST, address.port()).into()
    } else {
        address
    }
}

impl Shared {
    fn apply(&self, command: Command) {
        match command {
            Command::Terminate => {
                self.terminating.set(true);
                self.connect_check.notify_waiters();
                self.handle_event(Event::Terminate);
            }
            Command::Stopping => self.handle_event(Event::Stopping),
            Command::RegistrationLost(lost) => self.handle_event(Event::RegistrationLost(lost)),
            Command::Reload(settings) => {
                self.connections.borrow_mut().allow(settings.allow.clone());
                self.handle_event(Event::Configured(settings.options.clone()));
                let mut own_settings = self.settings.borrow_mut();
                (own_settings.options, own_settings.allow) = (settings.options, settings.allow);
            }
        }
    }

    /// Passes the age of the oldest command that no session has received to the state machine.
    fn measure_command_age(&self, command_age: &mut CommandAge) {
        let (sent, received) = self.gateway.core.commands.counts();
        let age = command_age.sample(self.clock.now(), sent, received);
        self.handle_event(Event::OldestCommandAge(age));
    }

    /// Passes the observer's report and the capacity in use to the state machine, if the core's lock is free.
    fn observe(&self) {
        let capacity = self.gateway.capacity().unwrap_or(self.capacity.get());
        self.capacity.set(capacity);
        let report = self.gateway.core.observer_report();
        let event = report.map_or(Event::ObservationMissed, |report| {
            Event::Observed(report, capacity)
        });
        self.handle_event(event);
    }

    /// Notifies the service manager while the request path makes progress.
    fn notify_service_manager(&self) {
        if let Some(notify) = &self.notify {
            if self.machine.borrow().makes_progress() {
                let _ = notify.try_send(notify::Command::Progress);
            }
        }
    }
}

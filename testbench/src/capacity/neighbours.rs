//! Simulated databases and a discovery service that count the requests of gateways.

use crate::database::{self, Reply, Role, Watch};
use crate::now;
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Number of databases in a group: one primary and four replicas.
pub(super) const GROUP_SIZE: usize = 5;
/// Replication lag.
const LAG_MS: u64 = 10;
/// Interval of discovery's heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Stack size of the threads, bytes: small, as there are thousands of threads, and each copies only a few hundred
/// bytes.
const STACK_BYTES: usize = 128 * 1024;

/// The counts so far, over all databases.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Count {
    /// Connections that databases accepted; each is a handshake.
    pub handshakes: u64,
    /// Open connections to databases.
    pub open: u64,
    /// Requests for a load report.
    pub probes: u64,
    /// Other statements: those of clients.
    pub statements: u64,
    /// Connections that discovery accepted.
    pub calls: u64,
    /// Open watches; a closed one is counted until its next heartbeat fails.
    pub watches: u64,
    /// Bytes of member lists that discovery has sent, without heartbeats.
    pub list_bytes: u64,
}

#[derive(Default)]
struct Counters {
    handshakes: AtomicU64,
    open: AtomicU64,
    probes: AtomicU64,
    statements: AtomicU64,
    calls: AtomicU64,
    watches: AtomicU64,
    list_bytes: AtomicU64,
    ending: AtomicBool,
    /// With `released`, wakes the threads that delay an answer.
    held: Mutex<()>,
    released: Condvar,
}

/// Databases in groups of five, and their discovery service; all of them end when this is dropped.
pub(super) struct Backends {
    counters: Arc<Counters>,
    databases: Vec<SocketAddr>,
    discovery: SocketAddr,
}

/// A guard that increments a counter, and decrements it on drop.
struct Open<'a>(&'a AtomicU64);

impl<'a> Open<'a> {
    fn count(counter: &'a AtomicU64) -> Open<'a> {
        counter.fetch_add(1, Ordering::Relaxed);
        Open(counter)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Backends {
    /// Starts the databases and discovery. `statement_time` is the execution time of a client's statement; load reports
    /// are answered at once.
    pub(super) fn start(databases: usize, statement_time: Duration) -> io::Result<Backends> {
        let counters = Arc::new(Counters::default());
        let listeners: Vec<TcpListener> = (0..databases)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let discovery = listener.local_addr()?;
        let line = format!("{}\n", list(&addresses));
        for (number, listener) in listeners.into_iter().enumerate() {
            let counters = counters.clone();
            let role = if number % GROUP_SIZE == 0 {
                Role::Primary
            } else {
                Role::Replica
            };
            spawn_with_small_stack(move || {
                accept(&listener, &counters, move |client, counters| {
                    serve(client, counters, role, statement_time)
                })
            })?;
        }
        let serving = counters.clone();
        spawn_with_small_stack(move || {
            accept(&listener, &serving, move |client, counters| {
                watch(client, counters, &line)
            })
        })?;
        Ok(Backends {
            counters,
            databases: addresses,
            discovery,
        })
    }

    /// The address of discovery.
    pub(super) fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The member list of all databases.
    pub(super) fn list(&self) -> Value {
        list(&self.databases)
    }

    /// The number of groups of databases.
    pub(super) fn groups(&self) -> usize {
        self.databases.len().div_ceil(GROUP_SIZE)
    }

    /// The counts so far.
    pub(super) fn count(&self) -> Count {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        Count {
            handshakes: read(&counters.handshakes),
            open: read(&counters.open),
            probes: read(&counters.probes),
            statements: read(&counters.statements),
            calls: read(&counters.calls),
            watches: read(&counters.watches),
            list_bytes: read(&counters.list_bytes),
        }
    }
}

impl Drop for Backends {
    fn drop(&mut self) {
        self.counters.ending.store(true, Ordering::Release);
        let held = self
            .counters
            .held
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.counters.released.notify_all();
        drop(held);
        // One more connection unblocks each `accept`, so that its thread sees `ending`.
        for address in self.databases.iter().chain([&self.discovery]) {
            let _ = TcpStream::connect(address);
        }
    }
}

fn spawn_with_small_stack(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(work)
        .map(drop)
}

fn accept(
    listener: &TcpListener,
    counters: &Arc<Counters>,
    work: impl Fn(TcpStream, &Counters) -> io::Result<()> + Clone + Send + 'static,
) {
    for client in listener.incoming() {
        if counters.ending.load(Ordering::Acquire) {
            return;
        }
        let Ok(client) = client else { continue };
        let (counters, work) = (counters.clone(), work.clone());
        // The error of a failed connection needs no handling: the connection is closed when its thread ends.
        let _ = spawn_with_small_stack(move || drop(work(client, &counters)));
    }
}

fn serve(
    client: TcpStream,
    counters: &Counters,
    role: Role,
    statement_time: Duration,
) -> io::Result<()> {
    counters.handshakes.fetch_add(1, Ordering::Relaxed);
    let _open = Open::count(&counters.open);
    database::session(client, |statement| {
        let position = now() / 1000 - if role == Role::Primary { 0 } else { LAG_MS };
        let answer_end = database::answer_end(role, position);
        if statement == b"SHOW usage" {
            counters.probes.fetch_add(1, Ordering::Relaxed);
            return Reply::Answer([database::report(role, position, 0.1), answer_end].concat());
        }
        counters.statements.fetch_add(1, Ordering::Relaxed);
        if !counters.ending.load(Ordering::Acquire) {
            let held = counters.held.lock().unwrap_or_else(PoisonError::into_inner);
            drop(counters.released.wait_timeout(held, statement_time));
        }
        let answer = if statement.starts_with(b"INSERT") && role == Role::Replica {
            database::error("25006", "this is a replica")
        } else {
            database::row(b"rig")
        };
        Reply::Answer([answer, answer_end].concat())
    })
}

fn watch(client: TcpStream, counters: &Counters, line: &str) -> io::Result<()> {
    counters.calls.fetch_add(1, Ordering::Relaxed);
    let mut watch = Watch::begin(client)?;
    let _open = Open::count(&counters.watches);
    watch.send(line)?;
    counters
        .list_bytes
        .fetch_add(line.len() as u64, Ordering::Relaxed);
    while !counters.ending.load(Ordering::Acquire) {
        thread::sleep(HEARTBEAT);
        watch.send("\n")?;
    }
    Ok(())
}

fn list(databases: &[SocketAddr]) -> Value {
    let members: Vec<Value> = databases
        .iter()
        .enumerate()
        .map(|(number, address)| {
            json!({
                "id": format!("s-{number:08x}"), "host_port": address.to_string(), "locality": "here", "flavor": "rig",
                "cell": number / GROUP_SIZE, "phase": "ready", "size": 1.0, "up_since_ms": 0,
                "access": if number % GROUP_SIZE == 0 { "writer" } else { "reader" },
            })
        })
        .collect();
    json!({"revision": 1, "complete": true, "members": members})
}

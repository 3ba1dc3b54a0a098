//! Stand-ins of databases and of discovery that count what gateways ask of them.

use crate::database::{self, Reply, Role, Watch};
use crate::now;
use serde_json::{json, Value};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Databases of a group: one primary and four replicas.
pub(super) const GROUP: usize = 5;
/// How far replicas are behind.
const LAG_MS: u64 = 10;
/// How often discovery says that nothing has changed.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Of threads that only copy a few hundred bytes; there are thousands.
const STACK: usize = 128 * 1024;

/// What was counted so far, over all databases.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Count {
    /// Connections that were accepted: each is a handshake.
    pub handshakes: u64,
    /// Connections that are open.
    pub open: u64,
    /// Questions for a load report.
    pub probes: u64,
    /// Statements of clients.
    pub statements: u64,
    /// Calls to discovery.
    pub calls: u64,
    /// Watches that are open; one that has ended is noticed at its next heartbeat.
    pub watches: u64,
    /// Bytes of lists that discovery has sent, without heartbeats.
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
    /// Wakes those that hold an answer back.
    held: Mutex<()>,
    released: Condvar,
}

/// Databases in groups of five, and their discovery; they end when this is dropped.
pub(super) struct Neighbours {
    counters: Arc<Counters>,
    databases: Vec<SocketAddr>,
    discovery: SocketAddr,
}

/// Counts something as open until it is dropped.
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

impl Neighbours {
    /// Starts so many databases, each of which takes so long over a statement, and none over a probe.
    pub(super) fn start(databases: usize, takes: Duration) -> io::Result<Neighbours> {
        let counters = Arc::new(Counters::default());
        let doors: Vec<TcpListener> = (0..databases)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<Result<_, _>>()?;
        let places: Vec<SocketAddr> = doors
            .iter()
            .map(TcpListener::local_addr)
            .collect::<Result<_, _>>()?;
        let door = TcpListener::bind("127.0.0.1:0")?;
        let discovery = door.local_addr()?;
        let line = format!("{}\n", list(&places));
        for (number, door) in doors.into_iter().enumerate() {
            let counters = counters.clone();
            let role = if number % GROUP == 0 {
                Role::Primary
            } else {
                Role::Replica
            };
            small(move || {
                accept(&door, &counters, move |client, counters| {
                    serve(client, counters, role, takes)
                })
            })?;
        }
        let serving = counters.clone();
        small(move || {
            accept(&door, &serving, move |client, counters| {
                watch(client, counters, &line)
            })
        })?;
        Ok(Neighbours {
            counters,
            databases: places,
            discovery,
        })
    }

    /// Where discovery is.
    pub(super) fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// The list of databases.
    pub(super) fn list(&self) -> Value {
        list(&self.databases)
    }

    /// Groups of databases.
    pub(super) fn groups(&self) -> usize {
        self.databases.len().div_ceil(GROUP)
    }

    /// What was counted until now.
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

impl Drop for Neighbours {
    fn drop(&mut self) {
        self.counters.ending.store(true, Ordering::Release);
        let held = self
            .counters
            .held
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.counters.released.notify_all();
        drop(held);
        // Whoever accepts learns of the end by one more connection.
        for place in self.databases.iter().chain([&self.discovery]) {
            let _ = TcpStream::connect(place);
        }
    }
}

fn small(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}

fn accept(
    door: &TcpListener,
    counters: &Arc<Counters>,
    work: impl Fn(TcpStream, &Counters) -> io::Result<()> + Clone + Send + 'static,
) {
    for client in door.incoming() {
        if counters.ending.load(Ordering::Acquire) {
            return;
        }
        let Ok(client) = client else { continue };
        let (counters, work) = (counters.clone(), work.clone());
        // A connection that breaks ends its thread; there is nothing to clean up.
        let _ = small(move || drop(work(client, &counters)));
    }
}

fn serve(client: TcpStream, counters: &Counters, role: Role, takes: Duration) -> io::Result<()> {
    counters.handshakes.fetch_add(1, Ordering::Relaxed);
    let _open = Open::count(&counters.open);
    database::session(client, |statement| {
        let position = now() / 1000 - if role == Role::Primary { 0 } else { LAG_MS };
        let note = database::note(role, position);
        if statement == b"SHOW usage" {
            counters.probes.fetch_add(1, Ordering::Relaxed);
            return Reply::Answer([database::report(role, position, 0.1), note].concat());
        }
        counters.statements.fetch_add(1, Ordering::Relaxed);
        if !counters.ending.load(Ordering::Acquire) {
            let held = counters.held.lock().unwrap_or_else(PoisonError::into_inner);
            drop(counters.released.wait_timeout(held, takes));
        }
        let answer = if statement.starts_with(b"INSERT") && role == Role::Replica {
            database::error("25006", "this is a replica")
        } else {
            database::row(b"rig")
        };
        Reply::Answer([answer, note].concat())
    })
}

fn watch(client: TcpStream, counters: &Counters, line: &str) -> io::Result<()> {
    counters.calls.fetch_add(1, Ordering::Relaxed);
    let mut watch = Watch::begin(client)?;
    let _open = Open::count(&counters.watches);
    watch.tell(line)?;
    counters
        .list_bytes
        .fetch_add(line.len() as u64, Ordering::Relaxed);
    while !counters.ending.load(Ordering::Acquire) {
        thread::sleep(HEARTBEAT);
        watch.tell("\n")?;
    }
    Ok(())
}

fn list(databases: &[SocketAddr]) -> Value {
    let members: Vec<Value> = databases
        .iter()
        .enumerate()
        .map(|(number, place)| {
            json!({
                "id": format!("s-{number:08x}"), "host_port": place.to_string(), "locality": "here", "flavor": "rig",
                "cell": number / GROUP, "phase": "ready", "size": 1.0, "up_since_ms": 0,
                "access": if number % GROUP == 0 { "writer" } else { "reader" },
            })
        })
        .collect();
    json!({"revision": 1, "complete": true, "members": members})
}

//! Groups of simulated databases that can crash, drain, lag, start cold and elect a primary, and their discovery
//! service.

use crate::database::{self, Reply, Role, Watch};
use crate::now;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a database is slower after a start.
const COLD_MS: u64 = 10_000;
/// The share of its full speed with which a database starts; it grows linearly to 1 within `COLD_MS`.
const COLD_START_SPEED: f64 = 0.25;

/// A write that a database executed.
#[derive(Clone, Debug)]
pub struct ExecutedWrite {
    /// The request's id, from the statement's comment.
    pub id: String,
    /// Time of execution, Unix microseconds.
    pub at: u64,
    /// Number of the database.
    pub member: usize,
}

struct Member {
    role: Role,
    alive: bool,
    phase: &'static str,
    lag_ms: u64,
    /// Unix milliseconds of its last restart; 0 if it has run since the start of the fleet and is not cold.
    started_ms: u64,
    busy: usize,
    waiting: usize,
    open: Vec<TcpStream>,
    /// Gateways that can't reach it.
    cut: HashSet<usize>,
}

struct State {
    members: Vec<Member>,
    revision: u64,
    executed_writes: Vec<ExecutedWrite>,
    /// The ids of writes that reached a replica.
    misrouted_writes: HashSet<String>,
    deaths: Vec<(usize, u64)>,
}

/// The size of a fleet and the speed of its databases.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of groups.
    pub groups: usize,
    /// Databases in each group.
    pub members: usize,
    /// Number of gateways; each reaches every database at a separate address.
    pub gateways: usize,
    /// Requests that a database executes at the same time.
    pub cores: usize,
    /// Requests that may wait in a database; further ones are rejected.
    pub queue: usize,
    /// Execution time of a read at full speed, milliseconds.
    pub read_ms: u64,
    /// Execution time of a write at full speed, milliseconds.
    pub write_ms: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            groups: 1,
            members: 3,
            gateways: 1,
            cores: 3,
            queue: 64,
            read_ms: 10,
            write_ms: 15,
        }
    }
}

/// A running fleet; its threads run until the process exits.
pub struct Fleet {
    shape: Shape,
    state: Mutex<State>,
    changed: Condvar,
    /// By gateway, then member.
    addresses: Vec<Vec<SocketAddr>>,
    /// By gateway.
    discoveries: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts the databases, with the first of each group as primary, and the discovery service.
    ///
    /// # Errors
    ///
    /// A listener could not be bound.
    pub fn start(shape: Shape) -> std::io::Result<Arc<Fleet>> {
        let bind = |count: usize| -> std::io::Result<Vec<TcpListener>> {
            (0..count)
                .map(|_| TcpListener::bind("127.0.0.1:0"))
                .collect()
        };
        let listeners: Vec<Vec<TcpListener>> = (0..shape.gateways)
            .map(|_| bind(shape.groups * shape.members))
            .collect::<Result<_, _>>()?;
        let lists = bind(shape.gateways)?;
        let places =
            |listeners: &Vec<TcpListener>| listeners.iter().map(TcpListener::local_addr).collect();
        let addresses: Vec<Vec<SocketAddr>> =
            listeners.iter().map(places).collect::<Result<_, _>>()?;
        let discoveries: Vec<SocketAddr> = places(&lists)?;
        let member = |number: usize| Member {
            role: if number % shape.members == 0 {
                Role::Primary
            } else {
                Role::Replica
            },
            alive: true,
            phase: "ready",
            lag_ms: 10,
            started_ms: 0,
            busy: 0,
            waiting: 0,
            open: Vec::new(),
            cut: HashSet::new(),
        };
        let members = (0..shape.groups * shape.members).map(member).collect();
        let state = Mutex::new(State {
            members,
            revision: 1,
            executed_writes: Vec::new(),
            misrouted_writes: HashSet::new(),
            deaths: Vec::new(),
        });
        let fleet = Arc::new(Fleet {
            shape,
            state,
            changed: Condvar::new(),
            addresses,
            discoveries,
        });
        for (gateway, listeners) in listeners.into_iter().enumerate() {
            for (number, listener) in listeners.into_iter().enumerate() {
                let fleet = fleet.clone();
                thread::spawn(move || fleet.accept(&listener, gateway, number));
            }
        }
        for (gateway, list) in lists.into_iter().enumerate() {
            let fleet = fleet.clone();
            thread::spawn(move || {
                for client in list.incoming().flatten() {
                    let fleet = fleet.clone();
                    thread::spawn(move || fleet.watch(client, gateway));
                }
            });
        }
        Ok(fleet)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of the discovery service for a gateway.
    pub fn discovery(&self, gateway: usize) -> SocketAddr {
        self.discoveries[gateway]
    }

    /// The member list as discovery sends it to a gateway, with the addresses for that gateway.
    pub fn list(&self, gateway: usize) -> Value {
        let state = self.lock();
        let members: Vec<Value> = state
            .members
            .iter()
            .zip(&self.addresses[gateway])
            .enumerate()
            .map(|(number, (member, address))| {
                json!({
                    "id": format!("s-{number}"), "host_port": address.to_string(), "locality": "here",
                    "flavor": "rig", "cell": number / self.shape.members, "phase": member.phase, "size": 1.0,
                    "up_since_ms": member.started_ms, "access": if number % self.shape.members == 0 { "writer" } else { "reader" },
                })
            })
            .collect();
        json!({"revision": state.revision, "complete": true, "members": members})
    }

    fn watch(&self, client: TcpStream, gateway: usize) -> std::io::Result<()> {
        let mut watch = Watch::begin(client)?;
        let mut told = 0;
        loop {
            let revision = self.lock().revision;
            let line = if revision == told {
                "\n".to_owned()
            } else {
                format!("{}\n", self.list(gateway))
            };
            told = revision;
            watch.send(&line)?;
            let state = self.lock();
            if state.revision == told {
                drop(self.changed.wait_timeout(state, Duration::from_secs(2)));
            }
        }
    }

    fn accept(self: &Arc<Fleet>, listener: &TcpListener, gateway: usize, number: usize) {
        for client in listener.incoming().flatten() {
            {
                let mut state = self.lock();
                let member = &mut state.members[number];
                if !member.alive || member.cut.contains(&gateway) {
                    continue;
                }
                member.open.retain(|open| open.peer_addr().is_ok());
                member.open.extend(client.try_clone());
            }
            let fleet = self.clone();
            thread::spawn(move || {
                let ended = client.try_clone();
                let _ =
                    database::session(client, |statement| fleet.reply(gateway, number, statement));
                // `Member::open` holds a duplicate for `crash`; without a shutdown it would keep the connection open.
                let _ = ended.map(|stream| stream.shutdown(Shutdown::Both));
            });
        }
    }

    fn reply(&self, gateway: usize, number: usize, statement: &[u8]) -> Reply {
        let write = statement.starts_with(b"INSERT");
        // A poisoned statement crashes the database that executes it.
        if statement.windows(6).any(|word| word == b"poison") {
            self.crash(number);
            self.lock().deaths.push((number, now()));
            return Reply::Last(Vec::new());
        }
        let mut state = self.lock();
        let member = &mut state.members[number];
        if !member.alive || member.cut.contains(&gateway) {
            return Reply::Last(Vec::new());
        }
        let lag = if member.role == Role::Primary {
            0
        } else {
            member.lag_ms
        };
        let answer_end = |role| database::answer_end(role, now() / 1000 - lag);
        if statement == b"SHOW usage" {
            let util = member.busy as f64 / self.shape.cores as f64;
            let report = database::report(member.role, now() / 1000 - lag, util);
            return Reply::Answer([report, answer_end(member.role)].concat());
        }
        if write && member.role == Role::Replica {
            let end = answer_end(member.role);
            state.misrouted_writes.insert(comment(statement, "id"));
            return Reply::Answer([database::error("25006", "this is a replica"), end].concat());
        }
        if member.phase != "ready" || member.waiting >= self.shape.queue {
            return Reply::Answer(
                [database::error("53300", "full"), answer_end(member.role)].concat(),
            );
        }
        member.waiting += 1;
        while state.members[number].busy >= self.shape.cores && state.members[number].alive {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let member = &mut state.members[number];
        member.waiting -= 1;
        member.busy += 1;
        let age = (now() / 1000).saturating_sub(member.started_ms);
        let cold = member.started_ms > 0 && age < COLD_MS;
        let speed = if cold {
            COLD_START_SPEED + (1.0 - COLD_START_SPEED) * age as f64 / COLD_MS as f64
        } else {
            1.0
        };
        let work = if write {
            self.shape.write_ms
        } else {
            self.shape.read_ms
        };
        drop(state);
        thread::sleep(Duration::from_micros((work as f64 * 1e3 / speed) as u64));
        let mut state = self.lock();
        state.members[number].busy -= 1;
        self.changed.notify_all();
        let member = &state.members[number];
        if !member.alive {
            return Reply::Last(Vec::new());
        }
        let role = member.role;
        if write {
            let write = ExecutedWrite {
                id: comment(statement, "id"),
                at: now(),
                member: number,
            };
            state.executed_writes.push(write);
        }
        Reply::Answer([database::row(b"rig"), answer_end(role)].concat())
    }

    /// Simulates the crash of a database: all its connections are shut down, new ones are closed.
    pub fn crash(&self, number: usize) {
        let mut state = self.lock();
        state.members[number].alive = false;
        for open in state.members[number].open.drain(..) {
            let _ = open.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Restarts a crashed database, cold and as a replica.
    pub fn restart(&self, number: usize) {
        let mut state = self.lock();
        let member = &mut state.members[number];
        (member.alive, member.role, member.started_ms) = (true, Role::Replica, now() / 1000);
        state.revision += 1;
        self.changed.notify_all();
    }

    /// Makes a database the only primary of the fleet, or leaves the fleet without one; for fleets of one group.
    pub fn elect(&self, number: Option<usize>) {
        self.elect_all(number.as_slice());
    }

    /// Makes these databases the only primaries of the fleet.
    pub fn elect_all(&self, numbers: &[usize]) {
        let mut state = self.lock();
        for (other, member) in state.members.iter_mut().enumerate() {
            member.role = if numbers.contains(&other) {
                Role::Primary
            } else {
                Role::Replica
            };
        }
    }

    /// Sets the phase that discovery reports for a database: `ready`, `draining` or `gone`.
    pub fn phase(&self, number: usize, phase: &'static str) {
        let mut state = self.lock();
        state.members[number].phase = phase;
        state.revision += 1;
        self.changed.notify_all();
    }

    /// Sets the replication lag of a database while it is a replica.
    pub fn lag(&self, number: usize, ms: u64) {
        self.lock().members[number].lag_ms = ms;
    }

    /// Blocks or restores the connections from one gateway to a database.
    pub fn cut(&self, gateway: usize, number: usize, is_cut: bool) {
        let mut state = self.lock();
        let member = &mut state.members[number];
        if is_cut {
            member.cut.insert(gateway);
        } else {
            member.cut.remove(&gateway);
        }
    }

    /// Restarts, in their former roles, the databases that a statement crashed at least `after` ago. Returns how often
    /// any database has crashed so.
    pub fn revive(&self, after: Duration) -> usize {
        let due = now().saturating_sub(after.as_micros() as u64);
        let dead: Vec<usize> = {
            let state = self.lock();
            let dead = state
                .deaths
                .iter()
                .filter(|(number, at)| *at <= due && !state.members[*number].alive);
            dead.map(|(number, _)| *number).collect()
        };
        for number in &dead {
            let role = self.lock().members[*number].role;
            self.restart(*number);
            self.lock().members[*number].role = role;
        }
        self.lock().deaths.len()
    }

    /// Whether a replica has rejected a write with this id.
    pub fn has_misrouted_write(&self, id: &str) -> bool {
        self.lock().misrouted_writes.contains(id)
    }

    /// All writes that were executed.
    pub fn executed_writes(&self) -> Vec<ExecutedWrite> {
        self.lock().executed_writes.clone()
    }
}

/// The value of a key in a statement's trailing comment; empty if it is missing.
fn comment(statement: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(statement);
    let comment = text.rsplit_once("/*").map_or("", |(_, comment)| comment);
    let mut pairs = comment
        .trim_end_matches(['*', '/', ' '])
        .split(',')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| key.trim() == name)
        .map_or(String::new(), |(_, value)| value.trim().to_owned())
}

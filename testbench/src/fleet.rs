//! Groups of databases that can crash, drain, lag, start cold and elect a primary, with its discovery.

use crate::database::{self, Reply, Role, Watch};
use crate::now;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a start stays cold, and the share of its speed that it begins with.
const COLD_MS: u64 = 10_000;
const COLD_SHARE: f64 = 0.25;

/// A write that a database took.
#[derive(Clone, Debug)]
pub struct Taken {
    /// The request's id.
    pub id: String,
    /// When, Unix microseconds.
    pub at: u64,
    /// By which database.
    pub member: usize,
}

struct Member {
    role: Role,
    alive: bool,
    phase: &'static str,
    lag_ms: u64,
    /// When its process started; 0 is long ago.
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
    taken: Vec<Taken>,
    deaths: Vec<(usize, u64)>,
}

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Groups, and databases of each.
    pub groups: usize,
    /// See `groups`.
    pub members: usize,
    /// Gateways, each of which reaches every database at an address of its own.
    pub gateways: usize,
    /// Requests that a database works on at once, and how many may wait.
    pub cores: usize,
    /// See `cores`.
    pub queue: usize,
    /// The work of a read and of a write, milliseconds.
    pub read_ms: u64,
    /// See `read_ms`.
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

/// A running fleet; its threads end with the process.
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
    /// Starts the databases, the first of each group primary, and discovery.
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
        let doors: Vec<Vec<TcpListener>> = (0..shape.gateways)
            .map(|_| bind(shape.groups * shape.members))
            .collect::<Result<_, _>>()?;
        let lists = bind(shape.gateways)?;
        let places = |doors: &Vec<TcpListener>| doors.iter().map(TcpListener::local_addr).collect();
        let addresses: Vec<Vec<SocketAddr>> = doors.iter().map(places).collect::<Result<_, _>>()?;
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
            taken: Vec::new(),
            deaths: Vec::new(),
        });
        let fleet = Arc::new(Fleet {
            shape,
            state,
            changed: Condvar::new(),
            addresses,
            discoveries,
        });
        for (gateway, doors) in doors.into_iter().enumerate() {
            for (number, door) in doors.into_iter().enumerate() {
                let fleet = fleet.clone();
                thread::spawn(move || fleet.accept(&door, gateway, number));
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

    /// Where discovery answers a gateway.
    pub fn discovery(&self, gateway: usize) -> SocketAddr {
        self.discoveries[gateway]
    }

    /// The list as a gateway is told it.
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
            watch.tell(&line)?;
            let state = self.lock();
            if state.revision == told {
                drop(self.changed.wait_timeout(state, Duration::from_secs(2)));
            }
        }
    }

    fn accept(self: &Arc<Fleet>, door: &TcpListener, gateway: usize, number: usize) {
        for client in door.incoming().flatten() {
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
                // The copy that is kept to cut it must not keep it open.
                let _ = ended.map(|stream| stream.shutdown(Shutdown::Both));
            });
        }
    }

    fn reply(&self, gateway: usize, number: usize, statement: &[u8]) -> Reply {
        let write = statement.starts_with(b"INSERT");
        // A statement that kills whoever runs it.
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
        let note = |role| database::note(role, now() / 1000 - lag);
        if statement == b"SHOW usage" {
            let util = member.busy as f64 / self.shape.cores as f64;
            let report = database::report(member.role, now() / 1000 - lag, util);
            return Reply::Answer([report, note(member.role)].concat());
        }
        if write && member.role == Role::Replica {
            return Reply::Answer(
                [
                    database::error("25006", "this is a replica"),
                    note(member.role),
                ]
                .concat(),
            );
        }
        if member.phase != "ready" || member.waiting >= self.shape.queue {
            return Reply::Answer([database::error("53300", "full"), note(member.role)].concat());
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
        let warmth = if cold {
            COLD_SHARE + (1.0 - COLD_SHARE) * age as f64 / COLD_MS as f64
        } else {
            1.0
        };
        let work = if write {
            self.shape.write_ms
        } else {
            self.shape.read_ms
        };
        drop(state);
        thread::sleep(Duration::from_micros((work as f64 * 1e3 / warmth) as u64));
        let mut state = self.lock();
        state.members[number].busy -= 1;
        self.changed.notify_all();
        let member = &state.members[number];
        if !member.alive {
            return Reply::Last(Vec::new());
        }
        let role = member.role;
        if write {
            let taken = Taken {
                id: comment(statement, "id"),
                at: now(),
                member: number,
            };
            state.taken.push(taken);
        }
        Reply::Answer([database::row(b"rig"), note(role)].concat())
    }

    /// The process of a database dies; its connections are reset.
    pub fn crash(&self, number: usize) {
        let mut state = self.lock();
        state.members[number].alive = false;
        for open in state.members[number].open.drain(..) {
            let _ = open.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// It starts again, cold, as a replica.
    pub fn restart(&self, number: usize) {
        let mut state = self.lock();
        let member = &mut state.members[number];
        (member.alive, member.role, member.started_ms) = (true, Role::Replica, now() / 1000);
        state.revision += 1;
        self.changed.notify_all();
    }

    /// Makes a database the primary of the one group, and no other.
    pub fn elect(&self, number: Option<usize>) {
        let mut state = self.lock();
        for (other, member) in state.members.iter_mut().enumerate() {
            member.role = if Some(other) == number {
                Role::Primary
            } else {
                Role::Replica
            };
        }
    }

    /// Sets what discovery says of a database: `ready`, `draining` or `gone`.
    pub fn phase(&self, number: usize, phase: &'static str) {
        let mut state = self.lock();
        state.members[number].phase = phase;
        state.revision += 1;
        self.changed.notify_all();
    }

    /// How far a replica is behind.
    pub fn lag(&self, number: usize, ms: u64) {
        self.lock().members[number].lag_ms = ms;
    }

    /// Cuts a database off from one gateway, or mends that.
    pub fn cut(&self, gateway: usize, number: usize, is_cut: bool) {
        let mut state = self.lock();
        let member = &mut state.members[number];
        if is_cut {
            member.cut.insert(gateway);
        } else {
            member.cut.remove(&gateway);
        }
    }

    /// Databases that died of a statement, and when; each is started again by whoever asks after this long.
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

    /// All writes that were taken.
    pub fn taken(&self) -> Vec<Taken> {
        self.lock().taken.clone()
    }
}

/// A value of a statement's comment.
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

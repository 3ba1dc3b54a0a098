//! A balancer: checks gateways, spreads requests by smooth weighted round robin, and records every change.

use crate::now;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How a gateway is checked.
#[derive(Clone, Debug)]
pub enum Check {
    /// Whether a connection opens: all that a front without health protocols learns.
    Connect(SocketAddr),
    /// Agent-check, with the text of `agent-send`.
    Agent(SocketAddr, String),
    /// HTTP: 200 is up, and `x-asterreel-weight` the weight.
    Http(SocketAddr, String),
}

/// How often, and how many checks count.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time between two checks.
    pub interval: Duration,
    /// Failed checks that take a gateway out; an agent's word needs one.
    pub fall: u32,
    /// Good ones that take it in.
    pub rise: u32,
    /// How long a check may take.
    pub timeout: Duration,
    /// How long after coming in a gateway's share grows to its full.
    pub slow_start: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        let ms = Duration::from_millis;
        Pace {
            interval: ms(100),
            fall: 2,
            rise: 1,
            timeout: ms(200),
            slow_start: ms(0),
        }
    }
}

/// What a check found: the word for it, the weight, and whether it counts at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// `up`, `drain`, `down` and what the gateway added.
    pub word: String,
    /// 0 to 100.
    pub weight: u32,
    at_once: bool,
}

/// A change, as recorded.
#[derive(Clone, Debug)]
pub struct Change {
    /// Unix microseconds.
    pub at: u64,
    /// Which gateway.
    pub gateway: usize,
    /// What was found.
    pub word: String,
    /// The weight from then on.
    pub weight: u32,
}

struct Server {
    weight: u32,
    word: String,
    bad: u32,
    good: u32,
    since: Instant,
    /// Of the round robin.
    credit: i64,
}

/// A running balancer.
pub struct Balancer {
    servers: Mutex<Vec<Server>>,
    changes: Mutex<Vec<Change>>,
    pace: Pace,
    stop: AtomicBool,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Balancer {
    /// Checks these gateways, each on a thread of its own, until [`Balancer::stop`].
    pub fn start(checks: Vec<Check>, pace: Pace) -> Arc<Balancer> {
        let server = |_: &Check| Server {
            weight: 0,
            word: "none".into(),
            bad: 0,
            good: 0,
            since: Instant::now(),
            credit: 0,
        };
        let balancer = Arc::new(Balancer {
            servers: Mutex::new(checks.iter().map(server).collect()),
            changes: Mutex::default(),
            pace,
            stop: AtomicBool::new(false),
        });
        for (gateway, check) in checks.into_iter().enumerate() {
            let balancer = balancer.clone();
            thread::spawn(move || {
                while !balancer.stop.load(Ordering::Acquire) {
                    let began = Instant::now();
                    let found = check.run(balancer.pace.timeout);
                    balancer.found(gateway, found);
                    thread::sleep(balancer.pace.interval.saturating_sub(began.elapsed()));
                }
            });
        }
        balancer
    }

    fn found(&self, gateway: usize, found: io::Result<Found>) {
        let found = found.unwrap_or(Found {
            word: "no-answer".into(),
            weight: 0,
            at_once: false,
        });
        let mut servers = lock(&self.servers);
        let server = &mut servers[gateway];
        (server.bad, server.good) = if found.weight == 0 {
            (server.bad + 1, 0)
        } else {
            (0, server.good + 1)
        };
        let counts = match found.weight {
            0 => found.at_once || server.bad >= self.pace.fall,
            _ => server.weight > 0 || server.good >= self.pace.rise,
        };
        if counts && (server.weight != found.weight || server.word != found.word) {
            if server.weight == 0 && found.weight > 0 {
                server.since = Instant::now();
            }
            (server.weight, server.word) = (found.weight, found.word.clone());
            drop(servers);
            lock(&self.changes).push(Change {
                at: now(),
                gateway,
                word: found.word,
                weight: found.weight,
            });
        }
    }

    /// The gateway for the next request; none when all are out.
    pub fn pick(&self) -> Option<usize> {
        let mut servers = lock(&self.servers);
        let slow = self.pace.slow_start;
        let mut total = 0;
        for server in servers.iter_mut() {
            let grown = if slow.is_zero() {
                1.0
            } else {
                (server.since.elapsed().as_secs_f64() / slow.as_secs_f64()).min(1.0)
            };
            let weight = if server.weight == 0 {
                0
            } else {
                ((f64::from(server.weight) * grown * 100.0) as i64).max(1)
            };
            server.credit = if weight == 0 {
                0
            } else {
                server.credit + weight
            };
            total += weight;
        }
        let open = servers
            .iter_mut()
            .enumerate()
            .filter(|(_, server)| server.weight > 0);
        let (number, server) = open.max_by_key(|(_, server)| server.credit)?;
        server.credit -= total;
        Some(number)
    }

    /// The word and weight of a gateway now.
    pub fn now(&self, gateway: usize) -> (String, u32) {
        let servers = lock(&self.servers);
        (servers[gateway].word.clone(), servers[gateway].weight)
    }

    /// All changes so far.
    pub fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }

    /// Ends the checks.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }
}

impl Check {
    /// Checks once.
    ///
    /// # Errors
    ///
    /// The connection failed, or nothing that can be understood came within the timeout.
    pub fn run(&self, timeout: Duration) -> io::Result<Found> {
        match self {
            Check::Connect(address) => {
                TcpStream::connect_timeout(address, timeout)?;
                Ok(Found {
                    word: "up".into(),
                    weight: 100,
                    at_once: false,
                })
            }
            Check::Agent(address, text) => {
                let line = exchange(*address, text.as_bytes(), timeout)?;
                Ok(agent(&line))
            }
            Check::Http(address, path) => {
                let call = format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n");
                let answer = exchange(*address, call.as_bytes(), timeout)?;
                let head = answer.split("\r\n\r\n").next().unwrap_or_default();
                let good = head.starts_with("HTTP/1.1 200");
                let find = |name: &str| {
                    head.lines()
                        .find_map(|line| line.strip_prefix(name))
                        .map(str::trim)
                };
                let weight = find("x-asterreel-weight:")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(100);
                let at_once = find("x-envoy-immediate-health-check-fail:").is_some();
                let word = answer
                    .split("\r\n\r\n")
                    .nth(1)
                    .unwrap_or_default()
                    .trim()
                    .to_owned();
                Ok(Found {
                    word,
                    weight: if good { weight } else { 0 },
                    at_once,
                })
            }
        }
    }
}

/// Reads an agent's line by the manual's words: what is not known is skipped, and `#` begins a remark.
fn agent(line: &str) -> Found {
    let (words, remark) = line.trim().split_once('#').unwrap_or((line.trim(), ""));
    let (mut weight, mut out) = (100, None);
    for word in words.split([' ', ',', '\t']) {
        match word {
            "drain" | "maint" | "down" | "fail" | "stopped" => out = Some(word),
            word => {
                if let Some(percent) = word
                    .strip_suffix('%')
                    .and_then(|number| number.parse().ok())
                {
                    weight = percent;
                }
            }
        }
    }
    let word = out.map_or("up".to_owned(), |word| {
        format!("{word} {remark}").trim().to_owned()
    });
    Found {
        word,
        weight: if out.is_some() { 0 } else { weight },
        at_once: true,
    }
}

fn exchange(address: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(bytes)?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    if answer.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

#[cfg(test)]
mod tests;

//! A load balancer that checks gateways, distributes requests by smooth weighted round robin, and records each change
//! of a gateway's state.

use crate::now;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The kind of health check.
#[derive(Clone, Debug)]
pub enum Check {
    /// A TCP connect: all that a balancer without a health protocol checks.
    Connect(SocketAddr),
    /// HAProxy's agent-check, with the text of `agent-send`.
    Agent(SocketAddr, String),
    /// An HTTP GET of a path: 200 is up, and the header `x-asterreel-weight` gives the weight.
    Http(SocketAddr, String),
}

/// Check interval, thresholds and slow start.
#[derive(Clone, Copy, Debug)]
pub struct CheckSettings {
    /// Time from the start of one check to the start of the next.
    pub interval: Duration,
    /// Consecutive failed checks after which a gateway is down; one is enough for an agent's answer.
    pub fall: u32,
    /// Consecutive successful checks after which it is up.
    pub rise: u32,
    /// Timeout of a check.
    pub timeout: Duration,
    /// How long after it comes up a gateway's share of requests grows linearly to its full weight.
    pub slow_start: Duration,
}

impl Default for CheckSettings {
    fn default() -> CheckSettings {
        let ms = Duration::from_millis;
        CheckSettings {
            interval: ms(100),
            fall: 2,
            rise: 1,
            timeout: ms(200),
            slow_start: ms(0),
        }
    }
}

/// The result of a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// State of the gateway, as `up`, `drain` or `down`, and the reason that it gave; the body of an HTTP answer.
    pub state_text: String,
    /// Weight in percent, 0 to 100; 0 is down.
    pub weight: u32,
    /// Whether a weight of 0 takes effect without waiting for `fall` failed checks.
    at_once: bool,
}

/// A recorded change of a gateway's state or weight.
#[derive(Clone, Debug)]
pub struct Change {
    /// Time of the change, Unix microseconds.
    pub at: u64,
    /// Index of the gateway.
    pub gateway: usize,
    /// The new state; see [`Found::state_text`].
    pub state_text: String,
    /// The new weight, 0 to 100.
    pub weight: u32,
}

struct Server {
    weight: u32,
    state_text: String,
    failures: u32,
    successes: u32,
    up_since: Instant,
    /// Current weight in smooth weighted round robin; the server with the highest is picked next.
    current_weight: i64,
}

/// A running balancer; its check threads end after [`Balancer::stop`].
pub struct Balancer {
    servers: Mutex<Vec<Server>>,
    changes: Mutex<Vec<Change>>,
    settings: CheckSettings,
    stop: AtomicBool,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Balancer {
    /// Starts a thread for each gateway that checks it until [`Balancer::stop`].
    pub fn start(checks: Vec<Check>, settings: CheckSettings) -> Arc<Balancer> {
        let server = |_: &Check| Server {
            weight: 0,
            state_text: "none".into(),
            failures: 0,
            successes: 0,
            up_since: Instant::now(),
            current_weight: 0,
        };
        let balancer = Arc::new(Balancer {
            servers: Mutex::new(checks.iter().map(server).collect()),
            changes: Mutex::default(),
            settings,
            stop: AtomicBool::new(false),
        });
        for (gateway, check) in checks.into_iter().enumerate() {
            let balancer = balancer.clone();
            thread::spawn(move || {
                while !balancer.stop.load(Ordering::Acquire) {
                    let began = Instant::now();
                    let found = check.run(balancer.settings.timeout);
                    balancer.found(gateway, found);
                    thread::sleep(balancer.settings.interval.saturating_sub(began.elapsed()));
                }
            });
        }
        balancer
    }

    fn found(&self, gateway: usize, found: io::Result<Found>) {
        let found = found.unwrap_or(Found {
            state_text: "no-answer".into(),
            weight: 0,
            at_once: false,
        });
        let mut servers = lock(&self.servers);
        let server = &mut servers[gateway];
        (server.failures, server.successes) = if found.weight == 0 {
            (server.failures + 1, 0)
        } else {
            (0, server.successes + 1)
        };
        let counts = match found.weight {
            0 => found.at_once || server.failures >= self.settings.fall,
            _ => server.weight > 0 || server.successes >= self.settings.rise,
        };
        if counts && (server.weight != found.weight || server.state_text != found.state_text) {
            if server.weight == 0 && found.weight > 0 {
                server.up_since = Instant::now();
            }
            (server.weight, server.state_text) = (found.weight, found.state_text.clone());
            drop(servers);
            lock(&self.changes).push(Change {
                at: now(),
                gateway,
                state_text: found.state_text,
                weight: found.weight,
            });
        }
    }

    /// Chooses the gateway for the next request; none if all are down.
    pub fn pick(&self) -> Option<usize> {
        let mut servers = lock(&self.servers);
        let slow = self.settings.slow_start;
        let mut total = 0;
        for server in servers.iter_mut() {
            let grown = if slow.is_zero() {
                1.0
            } else {
                (server.up_since.elapsed().as_secs_f64() / slow.as_secs_f64()).min(1.0)
            };
            let weight = if server.weight == 0 {
                0
            } else {
                ((f64::from(server.weight) * grown * 100.0) as i64).max(1)
            };
            server.current_weight = if weight == 0 {
                0
            } else {
                server.current_weight + weight
            };
            total += weight;
        }
        let open = servers
            .iter_mut()
            .enumerate()
            .filter(|(_, server)| server.weight > 0);
        let (number, server) = open.max_by_key(|(_, server)| server.current_weight)?;
        server.current_weight -= total;
        Some(number)
    }

    /// The current state and weight of a gateway.
    pub fn now(&self, gateway: usize) -> (String, u32) {
        let servers = lock(&self.servers);
        (servers[gateway].state_text.clone(), servers[gateway].weight)
    }

    /// All recorded changes, oldest first.
    pub fn changes(&self) -> Vec<Change> {
        lock(&self.changes).clone()
    }

    /// Stops all checks.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
    }
}

impl Check {
    /// Performs one check.
    ///
    /// # Errors
    ///
    /// The connection failed, or no answer came within the timeout.
    pub fn run(&self, timeout: Duration) -> io::Result<Found> {
        match self {
            Check::Connect(address) => {
                TcpStream::connect_timeout(address, timeout)?;
                Ok(Found {
                    state_text: "up".into(),
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
                let is_ok = head.starts_with("HTTP/1.1 200");
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
                    state_text: word,
                    weight: if is_ok { weight } else { 0 },
                    at_once,
                })
            }
        }
    }
}

/// Parses an agent's line as HAProxy's manual specifies: unknown words are skipped, and `#` begins a description.
fn agent(line: &str) -> Found {
    let (words, reason) = line.trim().split_once('#').unwrap_or((line.trim(), ""));
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
        format!("{word} {reason}").trim().to_owned()
    });
    Found {
        state_text: word,
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

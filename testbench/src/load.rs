//! An open-loop load: requests are sent on a schedule drawn from a seed, independent of how earlier ones end.

use crate::balancer::Balancer;
use crate::{database, now};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Mean number of requests per second.
    pub rate: f64,
    /// The share of requests that are writes (class booking), 0 to 1.
    pub writes: f64,
    /// Duration of the schedule.
    pub span: Duration,
    /// Number of client threads, each with at most one request at a time.
    pub clients: usize,
    /// Seed of the schedule.
    pub seed: u64,
    /// Number of tenants, each with its own user name; clients are assigned to them in turn. 0 is one user, `web`.
    pub tenants: usize,
    /// Number of clusters that requests name at random; 0 counts as 1.
    pub clusters: u64,
    /// The tenant whose reads crash the database that executes them, if any.
    pub poison: Option<usize>,
}

impl Default for Shape {
    /// One minute of 300 requests per second of one user, 15% of them bookings.
    fn default() -> Shape {
        Shape {
            rate: 300.0,
            writes: 0.15,
            span: Duration::from_secs(60),
            clients: 96,
            seed: 1,
            tenants: 0,
            clusters: 1,
            poison: None,
        }
    }
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served within its latency target.
    Served,
    /// Served after its latency target.
    Late,
    /// Rejected with SQLSTATE 53300 or 57P03.
    Refused,
    /// Any other error.
    Failed,
    /// The connection was closed before the end of the answer, or the answer timed out.
    Lost,
    /// All gateways were down, or no session could be opened.
    NoGateway,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request's id.
    pub id: String,
    /// The scheduled time, Unix microseconds.
    pub due: u64,
    /// The time when it was sent, Unix microseconds.
    pub sent: u64,
    /// Index of the gateway that it was sent to, if any.
    pub gateway: Option<usize>,
    /// Whether it is a write.
    pub write: bool,
    /// Number of the tenant that sent it.
    pub tenant: usize,
    /// How the request ended, as the client saw it.
    pub outcome: Outcome,
    /// Time from the scheduled time to the outcome, microseconds.
    pub took: u64,
}

/// The number of requests that were served within their latency target.
pub fn served(records: &[Record]) -> usize {
    records
        .iter()
        .filter(|record| record.outcome == Outcome::Served)
        .count()
}

impl Record {
    /// The worth of the request if it is served within its latency target.
    pub fn worth(&self) -> f64 {
        if self.write {
            3.0
        } else {
            2.0
        }
    }

    /// The worth that was earned: a part of it if it was served late, 0 if it was not served.
    pub fn earned(&self) -> f64 {
        match self.outcome {
            Outcome::Served => self.worth(),
            Outcome::Late => self.worth() * if self.write { 0.5 } else { 0.2 },
            _ => 0.0,
        }
    }
}

/// The worth that was earned as a share of the worth of all requests.
pub fn goodput<'a>(records: impl Iterator<Item = &'a Record> + Clone) -> f64 {
    let asked: f64 = records.clone().map(Record::worth).sum();
    records.map(Record::earned).sum::<f64>() / asked.max(f64::MIN_POSITIVE)
}

/// Sends a load through a balancer; returns when all requests have ended.
pub fn run(shape: Shape, balancer: &Arc<Balancer>, gateways: &[SocketAddr]) -> Vec<Record> {
    let mut random = fastrand::Rng::with_seed(shape.seed);
    let (mut at, end) = (0.0, shape.span.as_secs_f64());
    let begin = now() + 50_000;
    // The schedule assigns requests to tenants, so that a tenant's load does not depend on which clients are free.
    let mut due: Vec<VecDeque<(u64, bool, u64)>> = vec![VecDeque::new(); shape.tenants.max(1)];
    while at < end {
        at += -(1.0 - random.f64()).ln() / shape.rate;
        let (write, id) = (random.f64() < shape.writes, random.u64(..));
        let tenant = (id >> 32) as usize % due.len();
        due[tenant].push_back((begin + (at * 1e6) as u64, write, id));
    }
    let due: Arc<Vec<Due>> = Arc::new(due.into_iter().map(Mutex::new).collect());
    let clients: Vec<_> = (0..shape.clients)
        .map(|number| {
            let (due, balancer, gateways) = (due.clone(), balancer.clone(), gateways.to_vec());
            thread::spawn(move || client(&due, &balancer, &gateways, shape, number))
        })
        .collect();
    let mut records: Vec<Record> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    records.sort_by_key(|record| record.due);
    records
}

type Due = Mutex<VecDeque<(u64, bool, u64)>>;

fn client(
    due: &[Due],
    balancer: &Balancer,
    gateways: &[SocketAddr],
    shape: Shape,
    number: usize,
) -> Vec<Record> {
    let tenant = number % shape.tenants.max(1);
    let mut open: Vec<Option<TcpStream>> = gateways.iter().map(|_| None).collect();
    let mut records = Vec::new();
    loop {
        let next = due[tenant]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front();
        let Some((at, write, id)) = next else {
            return records;
        };
        thread::sleep(Duration::from_micros(at.saturating_sub(now())));
        let cluster = id % shape.clusters.max(1);
        let poison = shape.poison == Some(tenant) && !write;
        let user = if shape.tenants > 0 {
            format!("tenant-{tenant}")
        } else {
            "web".to_owned()
        };
        let id = format!("{id:016x}");
        let statement = statement(&id, write, cluster, poison);
        let sent = now();
        let (gateway, outcome) = request(&mut open, balancer, gateways, &user, &statement);
        let took = now().saturating_sub(at);
        let latency_target_us = if write { 1_000_000 } else { 300_000 };
        let outcome = if outcome == Outcome::Served && took > latency_target_us {
            Outcome::Late
        } else {
            outcome
        };
        records.push(Record {
            id,
            due: at,
            sent,
            gateway,
            write,
            tenant,
            outcome,
            took,
        });
    }
}

/// Sends one request. If a reused connection turns out to be closed before any answer, the request is repeated once on
/// a new connection.
fn request(
    open: &mut [Option<TcpStream>],
    balancer: &Balancer,
    gateways: &[SocketAddr],
    user: &str,
    statement: &str,
) -> (Option<usize>, Outcome) {
    for is_repetition in [false, true] {
        let Some(gateway) = balancer.pick() else {
            return (None, Outcome::NoGateway);
        };
        // The repetition uses a new connection, as another reused one may be closing too.
        let reused = open[gateway].take().filter(|_| !is_repetition);
        let used_before = reused.is_some();
        let stream = reused.map_or_else(|| connect(gateways[gateway], user), Ok);
        let Ok(mut stream) = stream else {
            return (Some(gateway), Outcome::NoGateway);
        };
        match send_request(&mut stream, statement) {
            Ok((outcome, keep)) => {
                open[gateway] = keep.then_some(stream);
                return (Some(gateway), outcome);
            }
            Err(true) if used_before => {}
            Err(_) => return (Some(gateway), Outcome::Lost),
        }
    }
    (None, Outcome::Lost)
}

/// Opens a session as the given user.
pub(crate) fn connect(address: SocketAddr, user: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(3_500)))?;
    let words = format!("user\0{user}\0database\0orders\0\0");
    let length = (words.len() as u32 + 8).to_be_bytes();
    stream.write_all(&[&length[..], &[0, 3, 0, 0], words.as_bytes()].concat())?;
    answer(&mut stream).map_err(|_| io::ErrorKind::UnexpectedEof)?;
    Ok(stream)
}

/// The SQL statement of a request, with the comment that the gateway reads.
pub(crate) fn statement(id: &str, write: bool, cluster: u64, poison: bool) -> String {
    let column = if poison { "poison" } else { "payload" };
    if write {
        let text = "INSERT INTO entries (ref, payload) VALUES";
        return format!(
            "{text} ('{id}', '\\x01') RETURNING payload /* id={id},c=booking,d=3000,cluster={cluster} */"
        );
    }
    format!("SELECT {column} FROM entries WHERE ref = '{id}' /* id={id},c=search,d=1200,cluster={cluster} */")
}

/// Sends a request and reads the answer; returns the outcome and whether the connection can be reused. The error is
/// whether the connection ended before the first byte of an answer.
pub(crate) fn send_request(
    stream: &mut TcpStream,
    statement: &str,
) -> Result<(Outcome, bool), bool> {
    let query = database::message(b'Q', &[statement.as_bytes(), b"\0"].concat());
    stream.write_all(&query).map_err(|_| true)?;
    answer(stream)
}

fn answer(stream: &mut TcpStream) -> Result<(Outcome, bool), bool> {
    let mut outcome = Outcome::Failed;
    let mut first = true;
    loop {
        let mut tag = [0];
        stream
            .read_exact(&mut tag)
            .map_err(|error| first && error.kind() != io::ErrorKind::WouldBlock)?;
        first = false;
        let body = database::read_body(stream).map_err(|_| false)?;
        match tag[0] {
            b'C' => outcome = Outcome::Served,
            b'E' => {
                let refused = body
                    .split(|byte| *byte == 0)
                    .any(|field| matches!(field, b"C53300" | b"C57P03"));
                outcome = if refused {
                    Outcome::Refused
                } else {
                    Outcome::Failed
                };
                if body.starts_with(b"SFATAL") {
                    return Ok((outcome, false));
                }
            }
            b'Z' => return Ok((outcome, true)),
            _ => {}
        }
    }
}

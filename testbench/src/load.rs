//! An open load: requests arrive on a schedule drawn from a seed, whatever becomes of them.

use crate::balancer::Balancer;
use crate::{database, now};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Requests a second.
    pub rate: f64,
    /// The share of bookings.
    pub writes: f64,
    /// For how long.
    pub span: Duration,
    /// Clients that ask at once, at most.
    pub clients: usize,
    /// Of the schedule.
    pub seed: u64,
    /// Clients name a user of their own, by their number, and any of so many clusters; 0 is one user and one cluster.
    pub tenants: usize,
    /// See `tenants`.
    pub clusters: u64,
    /// This tenant's reads are poison.
    pub poison: Option<usize>,
}

impl Default for Shape {
    /// A minute of three hundred requests a second, of which the platform's share are bookings, of one user.
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

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served within the wanted time.
    Served,
    /// Served later.
    Late,
    /// 53300 or 57P03.
    Refused,
    /// Any other error.
    Failed,
    /// The connection ended inside it, or nothing came.
    Lost,
    /// No gateway took it: all out, or the connection was refused.
    NoGateway,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// When it was due to be sent, and sent; Unix microseconds.
    pub due: u64,
    /// See `due`.
    pub sent: u64,
    /// To which gateway, if any.
    pub gateway: Option<usize>,
    /// It changes data.
    pub write: bool,
    /// Whose it was.
    pub tenant: usize,
    /// Its end, and how long that took in microseconds.
    pub fate: Fate,
    /// See `fate`.
    pub took: u64,
}

/// How many requests were served in time.
pub fn served(records: &[Record]) -> usize {
    records
        .iter()
        .filter(|record| record.fate == Fate::Served)
        .count()
}

impl Record {
    /// What it is worth when served in time.
    pub fn worth(&self) -> f64 {
        if self.write {
            3.0
        } else {
            2.0
        }
    }

    /// What it earned.
    pub fn earned(&self) -> f64 {
        match self.fate {
            Fate::Served => self.worth(),
            Fate::Late => self.worth() * if self.write { 0.5 } else { 0.2 },
            _ => 0.0,
        }
    }
}

/// The share of the worth asked for that was earned.
pub fn goodput<'a>(records: impl Iterator<Item = &'a Record> + Clone) -> f64 {
    let asked: f64 = records.clone().map(Record::worth).sum();
    records.map(Record::earned).sum::<f64>() / asked.max(f64::MIN_POSITIVE)
}

/// Plays a load through a balancer; returns when all requests have ended.
pub fn play(shape: Shape, balancer: &Arc<Balancer>, gateways: &[SocketAddr]) -> Vec<Record> {
    let mut random = fastrand::Rng::with_seed(shape.seed);
    let (mut at, end) = (0.0, shape.span.as_secs_f64());
    let begin = now() + 50_000;
    // Whose a request is belongs to the schedule, not to whichever client is free.
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
        let who = if shape.tenants > 0 {
            format!("tenant-{tenant}")
        } else {
            "web".to_owned()
        };
        let id = format!("{id:016x}");
        let statement = statement(&id, write, cluster, poison);
        let sent = now();
        let (gateway, fate) = request(&mut open, balancer, gateways, &who, &statement);
        let took = now().saturating_sub(at);
        let aim = if write { 1_000_000 } else { 300_000 };
        let fate = if fate == Fate::Served && took > aim {
            Fate::Late
        } else {
            fate
        };
        records.push(Record {
            id,
            due: at,
            sent,
            gateway,
            write,
            tenant,
            fate,
            took,
        });
    }
}

/// One request. A close that crosses it on a connection used before is no end of it: it is sent once more, anew.
fn request(
    open: &mut [Option<TcpStream>],
    balancer: &Balancer,
    gateways: &[SocketAddr],
    who: &str,
    statement: &str,
) -> (Option<usize>, Fate) {
    for again in [false, true] {
        let Some(gateway) = balancer.pick() else {
            return (None, Fate::NoGateway);
        };
        // The second time on a connection of its own: another that was kept may be closing as well.
        let kept = open[gateway].take().filter(|_| !again);
        let used_before = kept.is_some();
        let stream = kept.map_or_else(|| connect(gateways[gateway], who), Ok);
        let Ok(mut stream) = stream else {
            return (Some(gateway), Fate::NoGateway);
        };
        match ask(&mut stream, statement) {
            Ok((fate, keep)) => {
                open[gateway] = keep.then_some(stream);
                return (Some(gateway), fate);
            }
            Err(true) if used_before => {}
            Err(_) => return (Some(gateway), Fate::Lost),
        }
    }
    (None, Fate::Lost)
}

/// Opens a session of this user.
pub(crate) fn connect(address: SocketAddr, who: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(3_500)))?;
    let words = format!("user\0{who}\0database\0orders\0\0");
    let length = (words.len() as u32 + 8).to_be_bytes();
    stream.write_all(&[&length[..], &[0, 3, 0, 0], words.as_bytes()].concat())?;
    answer(&mut stream).map_err(|_| io::ErrorKind::UnexpectedEof)?;
    Ok(stream)
}

/// A request's statement, as the platform writes it.
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

/// Sends a request and reads its end; an error says whether the connection ended before anything came of it.
pub(crate) fn ask(stream: &mut TcpStream, statement: &str) -> Result<(Fate, bool), bool> {
    let query = database::message(b'Q', &[statement.as_bytes(), b"\0"].concat());
    stream.write_all(&query).map_err(|_| true)?;
    answer(stream)
}

fn answer(stream: &mut TcpStream) -> Result<(Fate, bool), bool> {
    let mut fate = Fate::Failed;
    let mut first = true;
    loop {
        let mut tag = [0];
        stream
            .read_exact(&mut tag)
            .map_err(|error| first && error.kind() != io::ErrorKind::WouldBlock)?;
        first = false;
        let body = database::read_body(stream).map_err(|_| false)?;
        match tag[0] {
            b'C' => fate = Fate::Served,
            b'E' => {
                let refused = body
                    .split(|byte| *byte == 0)
                    .any(|field| matches!(field, b"C53300" | b"C57P03"));
                fate = if refused { Fate::Refused } else { Fate::Failed };
                if body.starts_with(b"SFATAL") {
                    return Ok((fate, false));
                }
            }
            b'Z' => return Ok((fate, true)),
            _ => {}
        }
    }
}

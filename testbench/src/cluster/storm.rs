//! Many clients that connect to one gateway at the same time, as after the failure of another gateway.

use crate::database::read_body;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Read timeout of a client.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Retry delay of a client that was refused without a retry delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retry delay of a client whose connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// The results of many clients that opened sessions at the same time. A client that is refused retries after the delay
/// that the gateway gave, until it is admitted or the time limit passes.
#[derive(Clone, Debug, Default)]
pub struct Storm {
    /// The time at which each admitted client was admitted, Unix microseconds.
    pub admitted: Vec<u64>,
    /// Number of refusals of all clients.
    pub refused: usize,
    /// Whether every refusal contained a retry delay.
    pub retry_delays_given: bool,
}

/// A gateway's answer to a client that opens a session.
enum Answer {
    Admitted,
    /// With the retry delay, if the answer contained one.
    Refused(Option<Duration>),
}

/// Opens a session, reads the first message of the answer, and disconnects.
fn open_session(address: SocketAddr) -> io::Result<Answer> {
    let mut client = TcpStream::connect(address)?;
    client.set_read_timeout(Some(READ_TIMEOUT))?;
    let words = b"user\0web\0database\0orders\0\0";
    let opening = [
        &(words.len() as u32 + 8).to_be_bytes()[..],
        &[0, 3, 0, 0],
        words,
    ]
    .concat();
    client.write_all(&opening)?;
    let mut tag = [0];
    client.read_exact(&mut tag)?;
    let body = read_body(&mut client)?;
    if tag[0] != b'E' {
        return Ok(Answer::Admitted);
    }
    let detail = body
        .split(|byte| *byte == 0)
        .find(|field| field.first() == Some(&b'D'));
    let text = detail.and_then(|field| std::str::from_utf8(&field[1..]).ok());
    let wait = text
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    Ok(Answer::Refused(wait))
}

/// Runs `clients` clients at the same time until all are admitted or the time limit has passed.
pub(super) fn run(address: SocketAddr, clients: usize, within: Duration) -> Storm {
    let until = Instant::now() + within;
    let all: Vec<_> = (0..clients)
        .map(|_| spawn(move || one_client(address, until)))
        .collect();
    let all = all.into_iter().filter_map(|client| client.join().ok());
    all.fold(
        Storm {
            retry_delays_given: true,
            ..Storm::default()
        },
        Storm::merge,
    )
}

/// Runs one client until it is admitted or the time limit has passed.
fn one_client(address: SocketAddr, until: Instant) -> Storm {
    let mut storm = Storm {
        retry_delays_given: true,
        ..Storm::default()
    };
    while Instant::now() < until {
        match open_session(address) {
            Ok(Answer::Admitted) => {
                storm.admitted.push(crate::now());
                break;
            }
            Ok(Answer::Refused(wait)) => {
                storm.refused += 1;
                storm.retry_delays_given &= wait.is_some();
                sleep(wait.unwrap_or(DEFAULT_RETRY_DELAY));
            }
            Err(_) => sleep(RECONNECT_DELAY),
        }
    }
    storm
}

impl Storm {
    fn merge(mut self, other: Storm) -> Storm {
        self.admitted.extend(other.admitted);
        self.refused += other.refused;
        self.retry_delays_given &= other.retry_delays_given;
        self
    }
}

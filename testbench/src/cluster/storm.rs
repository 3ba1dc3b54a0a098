//! Clients that come to one gateway all at once, as when another one has died.

use crate::database::read_body;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// How long a client waits for a gateway's word.
const PATIENCE: Duration = Duration::from_secs(2);
/// When a client comes again that was refused and not told when.
const UNTOLD: Duration = Duration::from_millis(100);
/// When a client comes again that was not answered at all.
const UNANSWERED: Duration = Duration::from_millis(20);

/// What a crowd of clients met.
#[derive(Clone, Debug, Default)]
pub struct Storm {
    /// When each was admitted, Unix microseconds.
    pub admitted: Vec<u64>,
    /// How often clients were refused.
    pub refused: usize,
    /// Whether each refusal said when to come again.
    pub told: bool,
}

/// How a gateway answers a client that opens a session.
enum Answer {
    Admitted,
    /// With the time after which to come again, where it said one.
    Refused(Option<Duration>),
}

/// Opens a session and closes it.
fn knock(address: SocketAddr) -> io::Result<Answer> {
    let mut client = TcpStream::connect(address)?;
    client.set_read_timeout(Some(PATIENCE))?;
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

/// Has so many clients come to a gateway at once, and again when they are told, until all are in or time is up.
pub(super) fn play(address: SocketAddr, clients: usize, within: Duration) -> Storm {
    let until = Instant::now() + within;
    let all: Vec<_> = (0..clients)
        .map(|_| spawn(move || one_client(address, until)))
        .collect();
    let all = all.into_iter().filter_map(|client| client.join().ok());
    all.fold(
        Storm {
            told: true,
            ..Storm::default()
        },
        Storm::with,
    )
}

/// One of them, until it is in or time is up.
fn one_client(address: SocketAddr, until: Instant) -> Storm {
    let mut met = Storm {
        told: true,
        ..Storm::default()
    };
    while Instant::now() < until {
        match knock(address) {
            Ok(Answer::Admitted) => {
                met.admitted.push(crate::now());
                break;
            }
            Ok(Answer::Refused(wait)) => {
                met.refused += 1;
                met.told &= wait.is_some();
                sleep(wait.unwrap_or(UNTOLD));
            }
            Err(_) => sleep(UNANSWERED),
        }
    }
    met
}

impl Storm {
    fn with(mut self, other: Storm) -> Storm {
        self.admitted.extend(other.admitted);
        self.refused += other.refused;
        self.told &= other.told;
        self
    }
}

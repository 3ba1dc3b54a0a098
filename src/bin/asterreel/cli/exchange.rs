//! One question to a gateway, and its answer.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Why a probe has no verdict.
pub(super) enum Fault {
    Silent(io::Error),
    Senseless(String),
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Fault {
        Fault::Silent(error)
    }
}

/// Sends, and reads until there is enough or the other side closes.
pub(super) fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    within: Duration,
    enough: impl Fn(&[u8]) -> bool,
) -> Result<Vec<u8>, Fault> {
    let until = Instant::now() + within;
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&address, left()?)?;
    stream.write_all(bytes)?;
    let (mut answer, mut chunk) = (Vec::new(), [0; 4096]);
    while !enough(&answer) {
        stream.set_read_timeout(Some(left()?))?;
        match stream.read(&mut chunk) {
            Ok(0) if answer.is_empty() => {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
            }
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(error.into()),
        }
        if answer.len() > 1 << 20 {
            return Err(Fault::Senseless("more than a megabyte".into()));
        }
    }
    Ok(answer)
}

pub(super) fn get(
    address: SocketAddr,
    path: &str,
    within: Duration,
) -> Result<(u16, String), Fault> {
    let call = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let answer = exchange(address, call.as_bytes(), within, |_| false)?;
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(&answer) {
        Ok(httparse::Status::Complete(length)) => {
            let body = String::from_utf8_lossy(&answer[length..]).into_owned();
            Ok((head.code.unwrap_or(0), body))
        }
        Ok(httparse::Status::Partial) => Err(Fault::Senseless("half an answer".into())),
        Err(error) => Err(Fault::Senseless(error.to_string())),
    }
}

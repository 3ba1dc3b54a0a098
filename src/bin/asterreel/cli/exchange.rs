//! Sends one request to a gateway and reads its response.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The longest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Why there is no valid response.
pub(super) enum ExchangeError {
    /// The connection failed, or no response arrived in time.
    Io(io::Error),
    /// A response arrived that is not valid; the text says why.
    Invalid(String),
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> ExchangeError {
        ExchangeError::Io(error)
    }
}

/// Sends a request, and reads until the response is complete or the peer closes the connection.
pub(super) fn exchange(
    address: SocketAddr,
    request: &[u8],
    timeout: Duration,
    is_complete: impl Fn(&[u8]) -> bool,
) -> Result<Vec<u8>, ExchangeError> {
    let deadline = Instant::now() + timeout;
    let left = || {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&address, left()?)?;
    stream.write_all(request)?;
    let (mut response, mut chunk) = (Vec::new(), [0; 4096]);
    while !is_complete(&response) {
        stream.set_read_timeout(Some(left()?))?;
        match stream.read(&mut chunk) {
            Ok(0) if response.is_empty() => {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into())
            }
            Ok(0) => break,
            Ok(count) => response.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(error.into()),
        }
        if response.len() > MAX_RESPONSE_BYTES {
            return Err(ExchangeError::Invalid(
                "the response is longer than 1 MiB".into(),
            ));
        }
    }
    Ok(response)
}

/// Sends an HTTP GET request; returns the status code and the body.
pub(super) fn get(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(u16, String), ExchangeError> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let response = exchange(address, request.as_bytes(), timeout, |_| false)?;
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(&response) {
        Ok(httparse::Status::Complete(length)) => {
            let body = String::from_utf8_lossy(&response[length..]).into_owned();
            Ok((head.code.unwrap_or(0), body))
        }
        Ok(httparse::Status::Partial) => {
            Err(ExchangeError::Invalid("the HTTP head is truncated".into()))
        }
        Err(error) => Err(ExchangeError::Invalid(error.to_string())),
    }
}

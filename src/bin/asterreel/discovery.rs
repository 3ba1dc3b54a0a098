//! The watch on discovery's list of members.

use crate::core::Core;
use crate::net::Stream;
use asterreel::config::Listing;
use asterreel::interface::{ListKind, Micros};
use may::io::WaitIoWaker;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use tracing::{info, warn};

/// How long a connection to discovery may take.
const CONNECT: Micros = 1_000_000;
/// How long a call may go without the first byte of its answer; discovery itself gives up on one after 2 s.
const CALL: Micros = 2_500_000;
/// How long a watch may be silent: two of its heartbeats.
const SILENCE: Micros = 4_000_000;
/// The longest head of an answer, and the longest line, that are taken in.
const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_LINE: usize = 1 << 20;

/// Where discovery is, which may change while it is watched.
pub struct Source {
    place: Mutex<(SocketAddr, Option<WaitIoWaker>)>,
    asks: Sender<()>,
}

impl Source {
    pub fn new(address: SocketAddr, asks: Sender<()>) -> Source {
        Source { place: Mutex::new((address, None)), asks }
    }

    fn place<T>(&self, work: impl FnOnce(&mut (SocketAddr, Option<WaitIoWaker>)) -> T) -> T {
        work(&mut self.place.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn address(&self) -> SocketAddr {
        self.place(|place| place.0)
    }

    /// From now on discovery is watched here; a watch elsewhere ends at once.
    pub fn move_to(&self, address: SocketAddr) {
        self.place(|place| {
            place.0 = address;
            place.1.iter().for_each(WaitIoWaker::wakeup);
        });
        // It may be between two watches, and what the new place tells counts as told soon: don't sit that out.
        let _ = self.asks.send(());
    }
}

/// Watches whenever the module asks for it; a watch that ends is reported as lost.
pub fn run(core: &Core, source: &Source, mut revision: u64, asked: &Receiver<()>) {
    while asked.recv().is_ok() {
        loop {
            let address = source.address();
            let fault = watch(core, source, address, &mut revision);
            if source.address() == address {
                info!("watch lost: {fault}");
                break;
            }
            // Members stay known on the way. What another place counts as a version is its own affair, and a
            // change missed for that would never be told: ask for all there is.
            revision = 0;
        }
        // What was asked for meanwhile has been done; left here, each would make one more watch for good.
        while asked.try_recv().is_ok() {}
        core.list_lost();
    }
}

/// Keeps a watch until it ends, and says why it did.
fn watch(core: &Core, source: &Source, address: SocketAddr, revision: &mut u64) -> String {
    let mut stream = match Stream::connect(address, CONNECT, &core.timer) {
        Ok(stream) => stream,
        Err(error) => return format!("connect: {error}"),
    };
    source.place(|place| place.1 = Some(stream.waker()));
    let call = format!("GET /v1/servers?watch=1&after={revision} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let mut silent_at = core.clock.now() + CALL;
    let mut alarm = core.timer.alarm(silent_at, stream.waker());
    if let Err(error) = stream.write_all(call.as_bytes(), || core.clock.now() < silent_at) {
        return format!("call: {error}");
    }
    let mut reader = Reader::default();
    loop {
        let used = match reader.take(stream.buffer.data()) {
            Ok(used) => used,
            Err(fault) => return fault,
        };
        stream.buffer.consume(used);
        while let Some(line) = reader.line() {
            if line.trim_ascii().is_empty() {
                continue;
            }
            // A list that makes no sense leaves the old one standing; the next watch starts from there.
            if let Err(fault) = told(core, &line, revision) {
                warn!("bad list: {fault}");
                return fault;
            }
        }
        match stream.read_now() {
            Ok(Some(0)) => return "ended".into(),
            Ok(Some(_)) => {
                drop(alarm);
                silent_at = core.clock.now() + SILENCE;
                alarm = core.timer.alarm(silent_at, stream.waker());
                continue;
            }
            Ok(None) => {}
            Err(error) => return error.to_string(),
        }
        // An old place that still answers must not be listened to any longer.
        if source.address() != address {
            return "moved".into();
        }
        if core.clock.now() >= silent_at {
            return "silent".into();
        }
        stream.wait();
    }
}

fn told(core: &Core, line: &[u8], revision: &mut u64) -> Result<(), String> {
    let listing: Listing = serde_json::from_slice(line).map_err(|fault| fault.to_string())?;
    let kind = if listing.complete { ListKind::Full } else { ListKind::Changes };
    core.listed(kind, &listing)?;
    *revision = listing.revision;
    Ok(())
}

/// Reads an HTTP answer as it comes and takes its body apart into lines. No input or output.
#[derive(Default)]
pub struct Reader {
    body: Body,
    lines: Vec<u8>,
}

#[derive(Clone, Copy, Default)]
enum Body {
    #[default]
    Head,
    /// Sent as it is, until the connection ends.
    Plain,
    ChunkSize,
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// All has come.
    Over,
}

impl Reader {
    /// Takes in bytes and says how many were used; the rest is to be offered again with more.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, String> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.body {
                Body::Head => match head(rest)? {
                    Some((length, body)) => (self.body, used) = (body, used + length),
                    None => return Ok(used),
                },
                Body::Plain => {
                    self.lines.extend_from_slice(rest);
                    used = bytes.len();
                }
                Body::ChunkSize => match httparse::parse_chunk_size(rest) {
                    Ok(httparse::Status::Complete((length, 0))) => {
                        (self.body, used) = (Body::Over, used + length);
                    }
                    Ok(httparse::Status::Complete((length, size))) => {
                        let size = usize::try_from(size).map_err(|_| "chunk too long")?;
                        (self.body, used) = (Body::Chunk(size), used + length);
                    }
                    Ok(httparse::Status::Partial) if rest.len() < LONGEST_HEAD => return Ok(used),
                    _ => return Err("bad chunk size".into()),
                },
                Body::Chunk(left) => {
                    let count = left.min(rest.len());
                    self.lines.extend_from_slice(&rest[..count]);
                    used += count;
                    self.body = if count == left { Body::ChunkEnd } else { Body::Chunk(left - count) };
                }
                Body::ChunkEnd => match rest {
                    [b'\r', b'\n', ..] => (self.body, used) = (Body::ChunkSize, used + 2),
                    [] | [b'\r'] => return Ok(used),
                    _ => return Err("bad chunk end".into()),
                },
                Body::Over => return Ok(bytes.len()),
            }
            if self.lines.len() > LONGEST_LINE && !self.lines.contains(&b'\n') {
                return Err("line too long".into());
            }
            if used == bytes.len() {
                return Ok(used);
            }
        }
    }

    /// The next whole line, without its end.
    pub fn line(&mut self) -> Option<Vec<u8>> {
        let end = self.lines.iter().position(|byte| *byte == b'\n')?;
        let rest = self.lines.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.lines, rest);
        line.truncate(end);
        Some(line)
    }
}

/// The length of an answer's head and how its body comes, once the head is there as a whole.
fn head(bytes: &[u8]) -> Result<Option<(usize, Body)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes).map_err(|fault| fault.to_string())? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() < LONGEST_HEAD => return Ok(None),
        httparse::Status::Partial => return Err("head too long".into()),
    };
    if response.code != Some(200) {
        return Err(format!("status {}", response.code.unwrap_or(0)));
    }
    let chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().ends_with(b"chunked")
    });
    Ok(Some((length, if chunked { Body::ChunkSize } else { Body::Plain })))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fuzz;

    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        3\r\none\r\n7\r\n two\n\nt\r\n5\r\nhree\n\r\n0\r\n\r\n";

    fn lines(reader: &mut Reader) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| reader.line()).collect()
    }

    #[test]
    fn lines_are_the_same_however_the_answer_is_cut() {
        fuzz::cuts(ANSWER, |ends| {
            let (mut reader, mut used, mut found) = (Reader::default(), 0, Vec::new());
            for end in ends {
                used += reader.take(&ANSWER[used..*end]).expect("valid");
                found.extend(lines(&mut reader));
            }
            assert_eq!(found, [&b"one two"[..], b"", b"three"]);
        });
    }

    #[test]
    fn garbage_is_an_error_or_incomplete_and_a_refused_call_is_an_error() {
        fuzz::garbage(ANSWER, |bytes| {
            let used = Reader::default().take(bytes);
            assert!(used.is_err() || used.is_ok_and(|used| used <= bytes.len()));
        });
        let refused = Reader::default().take(b"HTTP/1.1 503 Busy\r\n\r\n");
        assert_eq!(refused, Err("status 503".into()));
    }

    #[test]
    fn a_deeply_nested_list_is_an_error_and_fits_the_stack() {
        // serde_json stops at 128 levels; a zone is buffered, which recurses.
        let nested = |depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        let line = |depth| {
            format!(
                "{{\"revision\":1,\"members\":[{{\"id\":\"s\",\"phase\":\"ready\",\"locality\":{}}}]}}",
                nested(depth)
            )
        };
        let lines = [line(100), line(100_000), nested(100_000)];
        let parse = move || lines.map(|line| serde_json::from_str::<Listing>(&line).is_err());
        // The first to start a coroutine sets the workers for all tests, some of which rely on there being one.
        may::config().set_workers(1).set_worker_pin(false);
        let parsed = may::go!(may::coroutine::Builder::new().stack_size(crate::net::JSON_STACK_WORDS), parse);
        assert_eq!(parsed.expect("started").join().expect("no panic"), [true; 3]);
    }
}

//! The watch on discovery's list of members.

mod reader;
mod source;

pub use source::Source;

use crate::core::Core;
use crate::net::Stream;
use asterreel::config::Listing;
use asterreel::fleet::SILENCE;
use asterreel::interface::{ListKind, Micros};
use may::sync::mpsc::Receiver;
use reader::{Reader, Unread};
use std::net::SocketAddr;
use tracing::{info, warn};

/// How long a connection to discovery may take.
const CONNECT: Micros = 1_000_000;
/// How long a call may go without the first byte of its answer; discovery itself gives up on one after 2 s.
const CALL: Micros = 2_500_000;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("connect: {0}; is discovery up at the address in `discovery`?")]
    Connect(std::io::Error),
    #[error("call: {0}")]
    Call(std::io::Error),
    #[error("answer: {0}")]
    Answer(#[from] Unread),
    #[error("bad list: {0}; the list in force stays")]
    List(String),
    #[error("silent for {} ms", .0 / 1000)]
    Silent(Micros),
    #[error("ended")]
    Ended(#[source] Option<std::io::Error>),
    #[error("discovery moved")]
    Moved,
}

/// What this gateway holds of discovery's list, and what its calls came to; for the log.
struct Record {
    revision: u64,
    /// Until when the list in force is known to hold all that discovery had; since the start before the first answer.
    current_at: Micros,
    calls: u64,
    lists: u64,
    /// Calls without a list since the last list.
    failed_in_a_row: u32,
}

impl Record {
    /// For how long the list in force may have been out of date, in milliseconds.
    fn stale_ms(&self, now: Micros) -> u64 {
        now.saturating_sub(self.current_at) / 1000
    }
}

/// Watches whenever the module asks for it; a watch that ends is reported as lost.
pub fn run(core: &Core, source: &Source, revision: u64, asked: &Receiver<()>) {
    let current_at = core.clock.now();
    let mut record = Record { revision, current_at, calls: 0, lists: 0, failed_in_a_row: 0 };
    info!(revision, "list from the configuration in force, of unknown age");
    while asked.recv().is_ok() {
        loop {
            let address = source.address();
            let mut heard_at = core.clock.now();
            record.calls += 1;
            record.failed_in_a_row += 1;
            let (calls, stale_ms) = (record.calls, record.stale_ms(heard_at));
            info!(calls, after = record.revision, stale_ms, %address, "calling discovery");
            let fault = watch(core, source, address, &mut record, &mut heard_at);
            let (failed, stale_ms) = (record.failed_in_a_row, record.stale_ms(core.clock.now()));
            info!(calls, lists = record.lists, failed, stale_ms, "watch lost: {fault}");
            if !source.has_moved(address, asked) {
                core.list_lost(core.clock.now().saturating_sub(source.missed_since(heard_at)));
                break;
            }
            // Members stay known on the way. What another place counts as a version is its own affair, and a
            // change missed for that would never be told: ask for all there is.
            record.revision = 0;
        }
    }
}

/// Keeps a watch until it ends, and says why it did, and until when it told all there was to tell.
fn watch(
    core: &Core,
    source: &Source,
    address: SocketAddr,
    record: &mut Record,
    heard_at: &mut Micros,
) -> Fault {
    let mut stream = match Stream::connect(address, CONNECT, &core.timer) {
        Ok(stream) => stream,
        Err(error) => return Fault::Connect(error),
    };
    source.place(|place| place.watch = Some(stream.waker()));
    let call =
        format!("GET /v1/servers?watch=1&after={} HTTP/1.1\r\nHost: {address}\r\n\r\n", record.revision);
    let mut silent_at = core.clock.now() + CALL;
    let mut alarm = core.timer.alarm(silent_at, stream.waker());
    if let Err(error) = stream.write_all(call.as_bytes(), || core.clock.now() < silent_at) {
        return Fault::Call(error);
    }
    let mut reader = Reader::default();
    loop {
        let used = match reader.take(stream.buffer.data()) {
            Ok(used) => used,
            Err(fault) => return fault.into(),
        };
        stream.buffer.consume(used);
        while let Some(listing) = reader.listing() {
            // A list that makes no sense leaves the old one standing; the next watch starts from there.
            let told = listing.map_err(|fault| fault.to_string()).and_then(|list| told(core, &list, record));
            if let Err(fault) = told {
                warn!("bad list: {fault}");
                return Fault::List(fault);
            }
            source.heard(address);
        }
        if reader.is_over() {
            *heard_at = core.clock.now();
            return Fault::Ended(None);
        }
        // Before its head is whole the call has not been answered, however that comes or ends.
        if used > 0 && reader.has_begun() {
            drop(alarm);
            *heard_at = core.clock.now();
            if record.failed_in_a_row == 0 && !reader.is_within_list() {
                record.current_at = *heard_at;
            }
            silent_at = *heard_at + SILENCE;
            alarm = core.timer.alarm(silent_at, stream.waker());
        }
        let ended = match stream.read_now() {
            Ok(Some(0)) => Some(None),
            Ok(Some(_)) => continue,
            Ok(None) => None,
            Err(error) => Some(Some(error)),
        };
        if let Some(error) = ended {
            // Up to its end an answered watch has told all there was to tell.
            if reader.has_begun() {
                *heard_at = core.clock.now();
            }
            return Fault::Ended(error);
        }
        // An old place that still answers must not be listened to any longer.
        if source.address() != address {
            return Fault::Moved;
        }
        let now = core.clock.now();
        if now >= silent_at {
            return Fault::Silent(now.saturating_sub(*heard_at));
        }
        stream.wait();
    }
}

fn told(core: &Core, listing: &Listing, record: &mut Record) -> Result<(), String> {
    let kind = if listing.complete { ListKind::Full } else { ListKind::Changes };
    core.listed(kind, listing)?;
    let stale_ms = record.stale_ms(core.clock.now());
    (record.revision, record.current_at) = (listing.revision, core.clock.now());
    record.lists += 1;
    record.failed_in_a_row = 0;
    let (revision, entries) = (listing.revision, listing.members.len());
    info!(revision, ?kind, entries, stale_ms, "list taken");
    Ok(())
}

#[cfg(test)]
mod tests;

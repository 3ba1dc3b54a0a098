//! The watch on discovery's list of members.

mod first_list;
mod reader;
mod source;

pub(crate) use first_list::{FirstList, PATIENCE as FIRST_LIST_PATIENCE};
pub(crate) use source::Source;

use crate::core::Core;
use crate::runtime::net::Stream;
use asterreel::config::Listing;
use asterreel::interface::{Micros, UpdateKind, WatchLoss};
use asterreel::watch::Watch;
use may::sync::mpsc::Receiver;
use reader::{Reader, Unread};
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{info, warn};

/// How long a connection to discovery may take.
const CONNECT: Micros = 1_000_000;

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

/// Watches whenever the module asks for it; a watch that ends is reported as lost. The first list, and whatever shows that
/// none will come soon, opens the door to clients.
pub(crate) fn run(
    core: &Core,
    source: &Source,
    revision: u64,
    asked: &Receiver<()>,
    first_list: &FirstList,
) {
    let current_at = core.clock.now();
    let mut record = Record {
        revision,
        current_at,
        calls: 0,
        lists: 0,
        failed_in_a_row: 0,
    };
    info!(
        revision,
        "list from the configuration in force, of unknown age"
    );
    while asked.recv().is_ok() {
        loop {
            let address = source.address();
            let called_at = core.clock.now();
            record.calls += 1;
            record.failed_in_a_row += 1;
            let (calls, stale_ms) = (record.calls, record.stale_ms(called_at));
            info!(calls, after = record.revision, stale_ms, %address, "calling discovery");
            let mut watch = Watch::call(called_at);
            let fault = listen(core, source, address, &mut record, &mut watch, first_list);
            let now = core.clock.now();
            let (failed, stale_ms) = (record.failed_in_a_row, record.stale_ms(now));
            info!(
                calls,
                lists = record.lists,
                failed,
                stale_ms,
                "watch lost: {fault}"
            );
            // Any other error may be over in a moment, or be this machine's own.
            if matches!(&fault, Fault::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
            {
                first_list.settle();
            }
            if !source.has_moved(address, asked) {
                core.list_lost(loss(source, &fault, &watch, now));
                break;
            }
            // Members stay known on the way. What another place counts as a version is its own affair, and a
            // change missed for that would never be told: ask for all there is.
            record.revision = 0;
        }
    }
}

/// What is lost with a watch that ended now with this fault.
fn loss(source: &Source, fault: &Fault, watch: &Watch, now: Micros) -> WatchLoss {
    let (lost, heard_at) = match fault {
        Fault::Ended(_) => watch.ended(now),
        _ => watch.given_up(now),
    };
    WatchLoss {
        staleness: now.saturating_sub(source.missed_since(heard_at)),
        truncated: lost.truncated || matches!(fault, Fault::List(_)),
    }
}

/// Calls discovery and takes in what it tells until the watch ends; says why it did.
fn listen(
    core: &Core,
    source: &Source,
    address: SocketAddr,
    record: &mut Record,
    watch: &mut Watch,
    first_list: &FirstList,
) -> Fault {
    let mut stream = match Stream::connect(address, CONNECT, &core.timer) {
        Ok(stream) => stream,
        Err(error) => return Fault::Connect(error),
    };
    source.place(|place| place.watch = Some(stream.waker()));
    let after = record.revision;
    let call = format!("GET /v1/servers?watch=1&after={after} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    let mut alarm = core.timer.alarm(watch.broken_at(), stream.waker());
    if let Err(error) = stream.write_all(call.as_bytes(), || core.clock.now() < watch.broken_at()) {
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
            let told = listing
                .map_err(|fault| fault.to_string())
                .and_then(|list| told(core, &list, record));
            if let Err(fault) = told {
                warn!("bad list: {fault}");
                return Fault::List(fault);
            }
            source.heard(address);
            first_list.settle();
        }
        if used > 0 {
            watch.receive(core.clock.now(), reader.received());
            if record.failed_in_a_row == 0 {
                record.current_at = watch.heard_at();
            }
            drop(alarm);
            alarm = core.timer.alarm(watch.broken_at(), stream.waker());
        }
        if reader.is_over() {
            return Fault::Ended(None);
        }
        match stream.read_now() {
            Ok(Some(0)) => return Fault::Ended(None),
            Ok(Some(_)) => continue,
            Ok(None) => {}
            Err(error) => return Fault::Ended(Some(error)),
        }
        // An old place that still answers must not be listened to any longer.
        if source.address() != address {
            return Fault::Moved;
        }
        let now = core.clock.now();
        if now >= watch.broken_at() {
            return Fault::Silent(now.saturating_sub(watch.heard_at()));
        }
        stream.wait();
    }
}

fn told(core: &Core, listing: &Listing, record: &mut Record) -> Result<(), String> {
    let kind = if listing.complete {
        UpdateKind::Snapshot
    } else {
        UpdateKind::Delta
    };
    core.listed(kind, listing)
        .map_err(|error| error.to_string())?;
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

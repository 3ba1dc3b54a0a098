//! Runs the subscription to discovery's list of endpoints: connects, sends the request, reads and applies updates.
//!
//! [`Subscription`] decides when a watch is broken and how stale the list is; after a loss the router requests the next
//! call. An invalid update changes nothing: the current list stays.

mod first_list;
mod framing;
mod reader;
mod source;

pub(crate) use first_list::{FirstList, FIRST_LIST_TIMEOUT};
pub(crate) use source::Source;

use crate::core::Core;
use crate::runtime::net::Stream;
use asterreel::config::EndpointList;
use asterreel::discovery::{Subscription, WatchEnd};
use asterreel::interface::{Micros, UpdateKind, WatchLoss};
use framing::ResponseError;
use may::sync::mpsc::Receiver;
use reader::ResponseReader;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{info, warn};

/// How long a connection to discovery may take.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connecting to discovery: {0}; check that it runs at the address set in `discovery`")]
    Connect(std::io::Error),
    #[error("sending the request: {0}")]
    Send(std::io::Error),
    #[error("reading the response: {0}")]
    Response(#[from] ResponseError),
    #[error("invalid list: {0}; keeping the current list")]
    InvalidUpdate(String),
    #[error("no data from discovery for {} ms; check that it runs and is reachable", .0 / 1000)]
    Silent(Micros),
    #[error("the connection to discovery ended")]
    Closed(#[source] Option<std::io::Error>),
    #[error("the address in `discovery` changed")]
    Moved,
}

/// Starts a watch on each request, and reports to the router when it is lost. The first list, or a refused connection,
/// settles `first_list`, so that the gateway accepts clients.
pub(crate) fn run(
    core: &Core,
    source: &Source,
    revision: u64,
    requested: &Receiver<()>,
    first_list: &FirstList,
) {
    let mut watcher = Watcher {
        core,
        source,
        first_list,
        subscription: Subscription::new(core.clock.now(), revision),
    };
    info!(
        revision,
        "using the list in the configuration, of unknown age, until discovery sends one"
    );
    while requested.recv().is_ok() {
        watcher.watch_until_lost(requested);
    }
}

/// The subscription and what it acts on.
struct Watcher<'a> {
    core: &'a Core,
    source: &'a Source,
    first_list: &'a FirstList,
    subscription: Subscription,
}

impl Watcher<'_> {
    /// Watches until the watch is lost, and reports the loss; starts over at once when discovery's address has changed.
    fn watch_until_lost(&mut self, requested: &Receiver<()>) {
        loop {
            let address = self.source.address();
            self.begin_call(address);
            let Err(error) = self.watch(address);
            let now = self.core.clock.now();
            self.log_loss(&error, now);
            // Other errors may be temporary, or have their cause on this machine: the first list may still arrive soon.
            if matches!(&error, WatchError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
            {
                self.first_list.settle();
            }
            if !self.source.has_moved(address, requested) {
                self.core.watch_lost(self.loss(&error, now));
                return;
            }
            self.subscription.reset_revision();
        }
    }

    fn begin_call(&mut self, address: SocketAddr) {
        let now = self.core.clock.now();
        self.subscription.call_started(now);
        info!(
            calls = self.subscription.calls(),
            after = self.subscription.revision(),
            stale_ms = self.subscription.staleness(now) / 1000,
            %address,
            "calling discovery"
        );
    }

    fn log_loss(&self, error: &WatchError, now: Micros) {
        info!(
            calls = self.subscription.calls(),
            lists = self.subscription.updates(),
            failed = self.subscription.consecutive_failures(),
            stale_ms = self.subscription.staleness(now) / 1000,
            "watch lost: {error}"
        );
    }

    /// Describes the loss of a watch that ended at `now` with this error: how stale the list is, and whether an update was
    /// truncated.
    fn loss(&self, error: &WatchError, now: Micros) -> WatchLoss {
        let WatchEnd {
            last_contact_at,
            truncated,
        } = match error {
            WatchError::Closed(_) => self.subscription.closed(now),
            _ => self.subscription.abandoned(),
        };
        WatchLoss {
            staleness: now.saturating_sub(self.source.missed_since(last_contact_at)),
            truncated: truncated || matches!(error, WatchError::InvalidUpdate(_)),
        }
    }

    /// Calls discovery and applies its updates until the watch ends.
    fn watch(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let clock = self.core.clock;
        let mut stream = Stream::connect(address, CONNECT_TIMEOUT_US, &self.core.timer)
            .map_err(WatchError::Connect)?;
        self.source.set_waker(stream.waker());
        let times_out_at = self.subscription.times_out_at();
        let mut alarm = self.core.timer.alarm(times_out_at, stream.waker());
        stream
            .write_until(self.request(address).as_bytes(), clock, times_out_at)
            .map_err(WatchError::Send)?;
        let mut reader = ResponseReader::default();
        loop {
            if self.receive(&mut stream, &mut reader, address)? {
                drop(alarm);
                let times_out_at = self.subscription.times_out_at();
                alarm = self.core.timer.alarm(times_out_at, stream.waker());
            }
            if reader.is_complete() {
                return Err(WatchError::Closed(None));
            }
            stream.take_turn();
            match stream.read_now() {
                Ok(Some(0)) => return Err(WatchError::Closed(None)),
                Ok(Some(_)) => continue,
                Ok(None) => {}
                Err(error) => return Err(WatchError::Closed(Some(error))),
            }
            self.check_watch(address)?;
            stream.wait();
        }
    }

    fn request(&self, address: SocketAddr) -> String {
        let after = self.subscription.revision();
        format!("GET /v1/servers?watch=1&after={after} HTTP/1.1\r\nHost: {address}\r\n\r\n")
    }

    /// Processes the bytes in the stream's buffer and applies each update that is complete; returns whether any byte was
    /// consumed.
    fn receive(
        &mut self,
        stream: &mut Stream,
        reader: &mut ResponseReader,
        address: SocketAddr,
    ) -> Result<bool, WatchError> {
        let used = reader.feed(stream.buffer.data())?;
        stream.buffer.consume(used);
        while let Some(list) = reader.next_list() {
            list.map_err(|error| error.to_string())
                .and_then(|list| self.apply(&list))
                .map_err(|fault| {
                    warn!("discovery sent an invalid list: {fault}");
                    WatchError::InvalidUpdate(fault)
                })?;
            self.source.record_contact(address);
            self.first_list.settle();
        }
        if used > 0 {
            let now = self.core.clock.now();
            self.subscription.receive(now, reader.received());
        }
        Ok(used > 0)
    }

    /// Applies an update; an invalid one leaves the current list as it is, and the next watch starts from its revision.
    fn apply(&mut self, list: &EndpointList) -> Result<(), String> {
        let kind = if list.complete {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        };
        self.core
            .listed(kind, list)
            .map_err(|error| error.to_string())?;
        let now = self.core.clock.now();
        let staleness = self.subscription.update_applied(now, list.revision);
        info!(
            revision = list.revision,
            ?kind,
            entries = list.members.len(),
            stale_ms = staleness / 1000,
            "list applied"
        );
        Ok(())
    }

    /// Checks that the watch may continue: discovery's address is unchanged, and data arrived in time.
    fn check_watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        // A discovery at the previous address may still answer, but its updates must not be applied any longer.
        if self.source.address() != address {
            return Err(WatchError::Moved);
        }
        let now = self.core.clock.now();
        if now >= self.subscription.times_out_at() {
            return Err(WatchError::Silent(self.subscription.silence(now)));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

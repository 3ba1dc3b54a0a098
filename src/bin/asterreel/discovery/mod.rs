//! Carries out the subscription to discovery's list of endpoints: connects, calls, reads and applies updates.
//!
//! [`Subscription`] decides when a watch is broken and how stale the list is; the router asks for each call after a loss.
//! A bad update changes nothing: the list in force stays.

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
use framing::AnswerError;
use may::sync::mpsc::Receiver;
use reader::AnswerReader;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tracing::{info, warn};

/// How long a connection to discovery may take.
const CONNECT_TIMEOUT_US: Micros = 1_000_000;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("connect: {0}; is discovery up at the address in `discovery`?")]
    Connect(std::io::Error),
    #[error("call: {0}")]
    Call(std::io::Error),
    #[error("answer: {0}")]
    Answer(#[from] AnswerError),
    #[error("bad list: {0}; the list in force stays")]
    BadUpdate(String),
    #[error("silent for {} ms", .0 / 1000)]
    Silent(Micros),
    #[error("ended")]
    Closed(#[source] Option<std::io::Error>),
    #[error("discovery moved")]
    Moved,
}

/// Watches whenever the router asks for it, and reports each watch that ends as lost. The first list, and whatever shows
/// that none will come soon, lets the gateway accept clients.
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
        "list from the configuration in force, of unknown age"
    );
    while requested.recv().is_ok() {
        watcher.watch_until_lost(requested);
    }
}

/// One gateway's subscription, with what it takes to carry it out.
struct Watcher<'a> {
    core: &'a Core,
    source: &'a Source,
    first_list: &'a FirstList,
    subscription: Subscription,
}

impl Watcher<'_> {
    /// Watches, from one place after the other while discovery moves, and reports the loss.
    fn watch_until_lost(&mut self, requested: &Receiver<()>) {
        loop {
            let address = self.source.address();
            self.begin_call(address);
            let Err(error) = self.watch(address);
            let now = self.core.clock.now();
            self.log_loss(&error, now);
            // Any other error may be over in a moment, or be this machine's own.
            if matches!(&error, WatchError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
            {
                self.first_list.settle();
            }
            if !self.source.has_moved(address, requested) {
                self.core.list_lost(self.loss(&error, now));
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

    /// What is lost with a watch that ended now with this error.
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
            truncated: truncated || matches!(error, WatchError::BadUpdate(_)),
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
            .write_all(self.request(address).as_bytes(), || {
                clock.now() < times_out_at
            })
            .map_err(WatchError::Call)?;
        let mut reader = AnswerReader::default();
        loop {
            if self.receive(&mut stream, &mut reader, address)? {
                drop(alarm);
                let times_out_at = self.subscription.times_out_at();
                alarm = self.core.timer.alarm(times_out_at, stream.waker());
            }
            if reader.is_over() {
                return Err(WatchError::Closed(None));
            }
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

    /// Takes in what has come, and applies each update that is complete; returns whether anything was used.
    fn receive(
        &mut self,
        stream: &mut Stream,
        reader: &mut AnswerReader,
        address: SocketAddr,
    ) -> Result<bool, WatchError> {
        let used = reader.take(stream.buffer.data())?;
        stream.buffer.consume(used);
        while let Some(list) = reader.next_list() {
            list.map_err(|error| error.to_string())
                .and_then(|list| self.apply(&list))
                .map_err(|fault| {
                    warn!("bad list: {fault}");
                    WatchError::BadUpdate(fault)
                })?;
            self.source.contacted(address);
            self.first_list.settle();
        }
        if used > 0 {
            let now = self.core.clock.now();
            self.subscription.receive(now, reader.received());
        }
        Ok(used > 0)
    }

    /// Applies an update; one that makes no sense leaves the list in force as it is, and the next watch starts from there.
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
            "list taken"
        );
        Ok(())
    }

    /// Whether the watch may go on: discovery is still there, and it was not silent for too long.
    fn check_watch(&self, address: SocketAddr) -> Result<(), WatchError> {
        // An old place that still answers must not be listened to any longer.
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

//! Where discovery is, which SIGHUP may change while it is watched.

use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// How much sooner than otherwise an update of a discovery that moved counts as notified, microseconds: 4 s after the move.
const MOVE_LEAD_US: Micros = 2_000_000;

/// The address of discovery, shared by the thread that takes signals and the watch.
pub(crate) struct Source {
    clock: Clock,
    location: Mutex<Location>,
    /// Asks for a watch.
    requests: Sender<()>,
}

struct Location {
    address: SocketAddr,
    /// Wakes the watch.
    waker: Option<WaitIoWaker>,
    /// The first move since there was contact with discovery where it is now.
    moved_at: Option<Micros>,
}

impl Source {
    pub(crate) fn new(address: SocketAddr, clock: Clock, requests: Sender<()>) -> Source {
        let location = Location {
            address,
            waker: None,
            moved_at: None,
        };
        Source {
            clock,
            location: Mutex::new(location),
            requests,
        }
    }

    fn with_location<T>(&self, work: impl FnOnce(&mut Location) -> T) -> T {
        work(&mut self.location.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.with_location(|location| location.address)
    }

    /// A move wakes this watch from now on.
    pub(super) fn set_waker(&self, waker: WaitIoWaker) {
        self.with_location(|location| location.waker = Some(waker));
    }

    /// From now on discovery is watched here; a watch elsewhere ends at once.
    pub(crate) fn move_to(&self, address: SocketAddr) {
        self.with_location(|location| {
            location.address = address;
            // A further move without contact gives no time anew: the first one counts until a list comes.
            location.moved_at.get_or_insert(self.clock.now());
            location.waker.iter().for_each(WaitIoWaker::wakeup);
        });
        // The watch may be in its backoff, and updates of the new place count as notified soon: call now. The channel is
        // closed only where the watch has ended for good, with the process.
        let _ = self.requests.send(());
    }

    /// Whether discovery has moved from there. Drops the watches requested while it was watched there: each that is left
    /// would make one more watch for good. A move sets the address before it requests a watch, so the address is looked
    /// at last: a move that comes after that leaves its request.
    pub(super) fn has_moved(&self, from: SocketAddr, requested: &Receiver<()>) -> bool {
        while requested.try_recv().is_ok() {}
        self.address() != from
    }

    /// A list came from this address.
    pub(super) fn contacted(&self, from: SocketAddr) {
        self.with_location(|location| {
            location.moved_at = location.moved_at.filter(|_| location.address != from);
        });
    }

    /// Since when updates may have been missed, with the last contact at this time.
    pub(super) fn missed_since(&self, last_contact_at: Micros) -> Micros {
        let moved_at = self.with_location(|location| location.moved_at);
        moved_at.map_or(last_contact_at, |at| {
            last_contact_at.min(at.saturating_sub(MOVE_LEAD_US))
        })
    }
}

//! Discovery's address, which SIGHUP may change during a watch.

use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// After a change of discovery's address its updates count as notified this much sooner than otherwise, microseconds: 4 s
/// after the change.
const MOVE_LEAD_US: Micros = 2_000_000;

/// Discovery's address, shared by the thread that handles signals and the watch.
pub(crate) struct Source {
    clock: Clock,
    location: Mutex<Location>,
    /// Requests a watch.
    requests: Sender<()>,
}

struct Location {
    address: SocketAddr,
    /// Wakes the current watch.
    waker: Option<WaitIoWaker>,
    /// The first change of the address since the last contact with discovery at its current address.
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

    /// Sets the watch that a change of the address wakes.
    pub(super) fn set_waker(&self, waker: WaitIoWaker) {
        self.with_location(|location| location.waker = Some(waker));
    }

    /// Changes discovery's address; a watch at another address ends at once.
    pub(crate) fn move_to(&self, address: SocketAddr) {
        self.with_location(|location| {
            location.address = address;
            // The first change counts until a list arrives: a further change does not extend the time.
            location.moved_at.get_or_insert(self.clock.now());
            location.waker.iter().for_each(WaitIoWaker::wakeup);
        });
        // The watch may be in its backoff, and updates at the new address count as notified soon: call now. The channel is
        // closed only when the watch has ended with the process.
        let _ = self.requests.send(());
    }

    /// Whether discovery's address is no longer `from`. First drops the watches requested while `from` was watched, as each
    /// of them would start one more watch later. `move_to` sets the address before it requests a watch, so the address is
    /// read last: a change after that leaves its request in the channel.
    pub(super) fn has_moved(&self, from: SocketAddr, requested: &Receiver<()>) -> bool {
        while requested.try_recv().is_ok() {}
        self.address() != from
    }

    /// Records that a list was received from this address.
    pub(super) fn record_contact(&self, from: SocketAddr) {
        self.with_location(|location| {
            location.moved_at = location.moved_at.filter(|_| location.address != from);
        });
    }

    /// The time since which updates may have been missed, given the time of the last contact.
    pub(super) fn missed_since(&self, last_contact_at: Micros) -> Micros {
        let moved_at = self.with_location(|location| location.moved_at);
        moved_at.map_or(last_contact_at, |at| {
            last_contact_at.min(at.saturating_sub(MOVE_LEAD_US))
        })
    }
}

//! Where discovery is, and the moves that SIGHUP tells.

use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Where discovery is, which may change while it is watched.
pub(crate) struct Source {
    clock: Clock,
    place: Mutex<Place>,
    asks: Sender<()>,
}

pub(super) struct Place {
    address: SocketAddr,
    /// Wakes the watch.
    pub(super) watch: Option<WaitIoWaker>,
    /// When it first moved since a list came, for as long as nothing has been heard from here.
    moved_at: Option<Micros>,
}

/// How much sooner than otherwise what a new place has to tell counts as told, counted from the move: after 4 s.
const MOVED_SOONER: Micros = 2_000_000;

impl Source {
    pub(crate) fn new(address: SocketAddr, clock: Clock, asks: Sender<()>) -> Source {
        Source {
            clock,
            place: Mutex::new(Place {
                address,
                watch: None,
                moved_at: None,
            }),
            asks,
        }
    }

    pub(super) fn place<T>(&self, work: impl FnOnce(&mut Place) -> T) -> T {
        work(&mut self.place.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.place(|place| place.address)
    }

    /// From now on discovery is watched here; a watch elsewhere ends at once.
    pub(crate) fn move_to(&self, address: SocketAddr) {
        self.place(|place| {
            place.address = address;
            // A further move while nothing was heard gives no time anew: the first one counts until a list comes.
            place.moved_at.get_or_insert(self.clock.now());
            place.watch.iter().for_each(WaitIoWaker::wakeup);
        });
        // It may be between two watches, and what the new place tells counts as told soon: don't sit that out.
        let _ = self.asks.send(());
    }

    /// Whether discovery has moved from there. Drops what was asked for while it was watched there: that has been done,
    /// and left, each would make one more watch for good. A move sets the address before it asks, so that the address
    /// is looked at last: a move that comes after that leaves what it asks.
    pub(super) fn has_moved(&self, from: SocketAddr, asked: &Receiver<()>) -> bool {
        while asked.try_recv().is_ok() {}
        self.address() != from
    }

    /// Something was heard from the place.
    pub(super) fn heard(&self, from: SocketAddr) {
        self.place(|place| place.moved_at = place.moved_at.filter(|_| place.address != from));
    }

    /// Since when what discovery has to tell may have been missed, where nothing was heard since a time.
    pub(super) fn missed_since(&self, heard_at: Micros) -> Micros {
        let moved = self.place(|place| place.moved_at);
        moved.map_or(heard_at, |at| heard_at.min(at.saturating_sub(MOVED_SOONER)))
    }
}

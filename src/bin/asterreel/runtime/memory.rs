//! The memory budget of this process, and the reservations that count against it.

use crate::runtime::sync::lock;
use crate::runtime::turns::Owner;
use asterreel::memory::{MemoryBudget, Purpose};
use std::sync::{LazyLock, Mutex};

/// The budget, without a limit until [`set_limit`].
static BUDGET: LazyLock<Mutex<MemoryBudget<Owner>>> =
    LazyLock::new(|| Mutex::new(MemoryBudget::new(usize::MAX)));

/// Sets how many bytes may be held for all clients and servers.
pub(crate) fn set_limit(bytes: usize) {
    lock(&BUDGET).set_limit(bytes);
}

/// Bytes that are held for an owner and this purpose; given back on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    owner: Owner,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// A reservation of no bytes.
    pub(crate) fn empty(owner: Owner, purpose: Purpose) -> Reservation {
        Reservation {
            owner,
            purpose,
            bytes: 0,
        }
    }

    /// Reserves this many bytes; `None` without room for them.
    pub(crate) fn new(owner: Owner, purpose: Purpose, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation::empty(owner, purpose);
        reservation.try_resize(bytes).then_some(reservation)
    }

    /// Reserves this many bytes that are held already.
    pub(crate) fn of_held(owner: Owner, purpose: Purpose, bytes: usize) -> Reservation {
        let mut reservation = Reservation::empty(owner, purpose);
        reservation.resize(bytes);
        reservation
    }

    /// Changes the number of bytes; false, and no change, without room for more.
    pub(crate) fn try_resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            if !lock(&BUDGET).has_room(&self.owner, self.purpose, more) {
                return false;
            }
        }
        self.resize(bytes);
        true
    }

    /// Changes the number of bytes, whether there is room for more or not.
    pub(crate) fn resize(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let mut budget = lock(&BUDGET);
        budget.release(&self.owner, self.purpose, self.bytes);
        budget.hold(&self.owner, self.purpose, bytes);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

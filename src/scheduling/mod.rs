//! Start-time fair queueing: in which order connections with work get their turns at the one worker.
//!
//! Shares are equal among the owners of connections, and among the connections of each owner; many connections give an
//! owner no more than one does. Whoever has used less than those who wait goes first, so a connection that works rarely
//! hardly waits, however many others always have work. Nothing is held back while nobody waits.
//!
//! After Goyal, Vin and Cheng, "Start-time Fair Queuing" (1996), on two levels. Costs are measured after a turn, not
//! known before: a turn is charged an estimate when it is granted, and the difference at its end.

use crate::interface::Micros;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

/// The fewest owners without connections that are kept before a sweep for those that are square.
const MIN_SWEEP_OWNERS: usize = 64;

/// A place in a queue, in the order in which turns are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// The virtual time at which the turn may start.
    start: Micros,
    /// When the last turn ended. At the same start, whoever has rested for longer goes first.
    rested_since: Micros,
    number: u64,
}

/// The place of a connection that waits, with which it can leave the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(Place);

/// What one connection has used; kept by the connection.
#[derive(Debug, Default)]
pub struct Account {
    /// When its last turn ended, in the virtual time of its owner.
    finish: Micros,
}

/// What an owner's connections have used together, and those of them that wait.
#[derive(Debug)]
struct Owner<T> {
    connections: usize,
    /// When its last turn ended, in the virtual time of the queue.
    finish: Micros,
    /// The start of the connection that was granted a turn last.
    virtual_time: Micros,
    waiting: BTreeMap<Place, T>,
    /// Its place among owners, while connections of it wait.
    place: Option<Place>,
}

impl<T> Owner<T> {
    fn new() -> Owner<T> {
        Owner {
            connections: 0,
            finish: 0,
            virtual_time: 0,
            waiting: BTreeMap::new(),
            place: None,
        }
    }
}

/// Connections that wait for a turn, each as an item of type `T`, by owner `K`.
#[derive(Debug)]
pub struct FairQueue<K, T> {
    owners: HashMap<K, Owner<T>>,
    /// The owners with connections that wait.
    waiting: BTreeMap<Place, K>,
    /// The start of the owner that was granted a turn last.
    virtual_time: Micros,
    last_number: u64,
    /// The number of owners at which those without connections are swept.
    sweep_at: usize,
}

impl<K, T> Default for FairQueue<K, T> {
    fn default() -> FairQueue<K, T> {
        FairQueue {
            owners: HashMap::new(),
            waiting: BTreeMap::new(),
            virtual_time: 0,
            last_number: 0,
            sweep_at: MIN_SWEEP_OWNERS,
        }
    }
}

impl<K: Clone + Eq + Hash, T> FairQueue<K, T> {
    /// Adds a connection of this owner, which is charged `cost` for it. Otherwise an owner's new connections, one after
    /// the other, would keep those that it already has from working.
    pub fn open(&mut self, owner: &K, cost: Micros) -> Account {
        if self.owners.len() >= self.sweep_at {
            self.sweep();
        }
        self.owner(owner).connections += 1;
        let mut account = Account::default();
        self.charge(owner, &mut account, cost, 0);
        account
    }

    /// Removes a connection of this owner. What it used still counts against new connections of its owner.
    pub fn close(&mut self, key: &K) {
        let virtual_time = self.virtual_time;
        let owner = self.owner(key);
        owner.connections = owner.connections.saturating_sub(1);
        if owner.connections == 0 && owner.finish <= virtual_time {
            self.owners.remove(key);
        }
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many owners are known.
    pub fn owner_count(&self) -> usize {
        self.owners.len()
    }

    /// Whether a connection that does not wait may work at once: nobody waits, or all who wait have used as much as it.
    pub fn may_start(&mut self, key: &K, account: &Account) -> bool {
        let (is_idle, virtual_time) = (self.waiting.is_empty(), self.virtual_time);
        let owner = self.owner(key);
        let finish = owner.finish;
        if is_idle {
            self.virtual_time = virtual_time.max(finish);
            return true;
        }
        finish <= virtual_time && (owner.waiting.is_empty() || account.finish <= owner.virtual_time)
    }

    /// Adds a connection to those that wait.
    pub fn enqueue(&mut self, key: &K, account: &Account, item: T) -> Ticket {
        self.last_number += 1;
        let (number, virtual_time) = (self.last_number, self.virtual_time);
        let owner = self.owner(key);
        let place = Place {
            start: account.finish.max(owner.virtual_time),
            rested_since: account.finish,
            number,
        };
        owner.waiting.insert(place, item);
        if owner.place.is_none() {
            let owner_place = Place {
                start: owner.finish.max(virtual_time),
                rested_since: owner.finish,
                number,
            };
            owner.place = Some(owner_place);
            self.waiting.insert(owner_place, key.clone());
        }
        Ticket(place)
    }

    /// Takes a connection out of the queue, unless it has been granted its turn.
    pub fn leave(&mut self, key: &K, ticket: Ticket) {
        let owner = self.owner(key);
        owner.waiting.remove(&ticket.0);
        if owner.waiting.is_empty() {
            if let Some(place) = owner.place.take() {
                self.waiting.remove(&place);
            }
        }
    }

    /// Grants the next turn, and charges it `estimate` until [`FairQueue::charge`] is told its cost.
    pub fn grant(&mut self, estimate: Micros) -> Option<T> {
        let (owner_place, key) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(owner_place.start);
        let owner = self.owner(&key);
        owner.place = None;
        owner.finish = owner.finish.max(owner_place.start) + estimate;
        let (place, item) = owner.waiting.pop_first()?;
        owner.virtual_time = owner.virtual_time.max(place.start);
        if !owner.waiting.is_empty() {
            let next = Place {
                start: owner.finish,
                rested_since: owner.finish,
                number: owner_place.number,
            };
            owner.place = Some(next);
            self.waiting.insert(next, key);
        }
        Some(item)
    }

    /// Charges a connection the cost of a turn, of which `prepaid` was charged when it was granted: 0 for a turn that
    /// started at once.
    pub fn charge(&mut self, key: &K, account: &mut Account, cost: Micros, prepaid: Micros) {
        let virtual_time = self.virtual_time;
        let owner = self.owner(key);
        if prepaid == 0 {
            owner.finish = owner.finish.max(virtual_time);
        }
        owner.finish = (owner.finish + cost).saturating_sub(prepaid);
        account.finish = account.finish.max(owner.virtual_time) + cost;
    }

    fn owner(&mut self, key: &K) -> &mut Owner<T> {
        self.owners.entry(key.clone()).or_insert_with(Owner::new)
    }

    /// Forgets the owners without connections that have used no more than those who wait.
    fn sweep(&mut self) {
        let virtual_time = self.virtual_time;
        let is_idle = self.waiting.is_empty();
        self.owners
            .retain(|_, owner| owner.connections > 0 || (!is_idle && owner.finish > virtual_time));
        self.sweep_at = (self.owners.len() * 2).max(MIN_SWEEP_OWNERS);
    }
}

#[cfg(test)]
mod tests;

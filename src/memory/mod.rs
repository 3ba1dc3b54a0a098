//! The memory budget of a gateway: how many bytes it may hold for others.
//!
//! What is held for a client or a server is reserved first. Input gives way to requests in hand, and these to answers,
//! so that what has been taken on can be finished. No owner's input takes more than what is left for all others.

use std::collections::HashMap;
use std::hash::Hash;

const MIB: usize = 1024 * 1024;

/// The share of `limits.memory_mb` that the process plans to use, in percent. The rest is for what can't be counted,
/// such as memory that was freed and is kept by the allocator.
const USED_PERCENT: usize = 85;
/// What the process uses without clients, with its list of endpoints and the pages of its program.
const PROCESS_BYTES: usize = 8 * MIB;
/// What a session uses besides the bytes that it holds: its stack, its connection to a server, one chunk that is read, and
/// their bookkeeping.
const SESSION_BYTES: usize = 20 * 1024;
/// The least share of the memory for clients that is for bytes held, and not for sessions.
const MIN_HELD_DIVISOR: usize = 3;

/// How `limits.memory_mb` is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The most sessions that may be open.
    pub max_sessions: usize,
    /// The most bytes that may be held for all clients and servers.
    pub held_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory of a process that has descriptors for so many sessions.
    pub fn divide(memory_mb: usize, sessions: usize) -> MemoryPlan {
        let usable = memory_mb.saturating_mul(MIB) / 100 * USED_PERCENT;
        let for_clients = usable.saturating_sub(PROCESS_BYTES);
        let for_sessions = for_clients - for_clients / MIN_HELD_DIVISOR;
        let max_sessions = sessions.min(for_sessions / SESSION_BYTES).max(1);
        MemoryPlan {
            max_sessions,
            held_bytes: for_clients.saturating_sub(max_sessions * SESSION_BYTES),
        }
    }
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// What a client has sent and is not a request in hand yet.
    Input,
    /// The statement of a request in hand.
    Request,
    /// An answer, from the server's first byte until the client has it.
    Answer,
}

impl Purpose {
    /// The part of the budget up to which bytes are reserved for this purpose, in eighths.
    fn eighths(self) -> usize {
        match self {
            Purpose::Input => 5,
            Purpose::Request => 6,
            Purpose::Answer => 8,
        }
    }
}

/// The bytes that are held, by all and by the input of each owner.
#[derive(Debug)]
pub struct MemoryBudget<K> {
    limit: usize,
    held: usize,
    input: HashMap<K, usize>,
}

impl<K: Clone + Eq + Hash> MemoryBudget<K> {
    /// A budget of this many bytes.
    pub fn new(limit: usize) -> MemoryBudget<K> {
        MemoryBudget {
            limit,
            held: 0,
            input: HashMap::new(),
        }
    }

    /// Changes the number of bytes that may be held.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// How many bytes are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether this owner may hold so many more bytes for this purpose.
    pub fn has_room(&self, owner: &K, purpose: Purpose, bytes: usize) -> bool {
        let limit = self.limit / 8 * purpose.eighths();
        let Some(left) = limit.checked_sub(self.held.saturating_add(bytes)) else {
            return false;
        };
        purpose != Purpose::Input || self.input.get(owner).is_none_or(|held| *held <= left)
    }

    /// Counts bytes that an owner holds from now on, whether there is room or not.
    pub fn hold(&mut self, owner: &K, purpose: Purpose, bytes: usize) {
        self.held += bytes;
        if purpose == Purpose::Input && bytes > 0 {
            *self.input.entry(owner.clone()).or_default() += bytes;
        }
    }

    /// Counts bytes that an owner no longer holds.
    pub fn release(&mut self, owner: &K, purpose: Purpose, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        if purpose != Purpose::Input {
            return;
        }
        if let Some(held) = self.input.get_mut(owner) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.input.remove(owner);
            }
        }
    }
}

#[cfg(test)]
mod tests;

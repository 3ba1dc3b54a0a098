//! Bulkheads: what each cell may hold of this gateway. A cell at its bounds refuses its own requests, at once, and never
//! another's.

use super::CellId;
use crate::interface::Micros;
use serde::Deserialize;

/// The most that a cell may hold; 0 is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Requests that are open, from their arrival to their final answer.
    pub requests: u32,
    /// Of them, those that wait for their first send.
    pub held: u32,
    /// Client sessions whose tenant lives there.
    pub sessions: u32,
    /// Descriptors, to clients and databases together.
    pub descriptors: u32,
    /// Bytes of statements and answers in hand.
    pub bytes: u64,
}

/// What is wanted, and given back, one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// A request of so many bytes, which needs a descriptor to a database as well.
    Request(u32),
    /// A place to wait for a first send.
    Hold,
    /// A session, with its descriptor.
    Session,
}

/// Why there is no room: what the cell has too much of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhausted {
    /// Requests.
    Requests,
    /// Requests that wait.
    Held,
    /// Sessions.
    Sessions,
    /// Descriptors.
    Descriptors,
    /// Bytes.
    Bytes,
}

/// Least and most time that a refused client is told to stay away.
const MIN_RETRY_AFTER_US: Micros = 20_000;
const MAX_RETRY_AFTER_US: Micros = 2_000_000;
/// Share of a newly measured service time in the running mean.
const LEARN: f64 = 0.1;

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    requests: u32,
    held: u32,
    sessions: u32,
    descriptors: u32,
    bytes: u64,
    /// Running mean of how long a request is open.
    usual: f64,
    refused: u64,
}

/// The bulkheads of all cells.
#[derive(Clone, Debug, Default)]
pub struct Bulkheads {
    cells: Vec<(Bounds, Held)>,
}

impl Bulkheads {
    /// One for each cell, in their order.
    pub fn new(bounds: Vec<Bounds>) -> Bulkheads {
        Bulkheads {
            cells: bounds
                .into_iter()
                .map(|bounds| (bounds, Held::default()))
                .collect(),
        }
    }

    /// Takes what is wanted, or says what is full and when to retry. A cell that is not known has no room.
    ///
    /// # Errors
    ///
    /// What is full, and when to retry, microseconds.
    pub fn acquire(&mut self, cell: CellId, want: Resource) -> Result<(), (Exhausted, Micros)> {
        let Some((bounds, held)) = self.cells.get_mut(usize::from(cell.0)) else {
            return Err((Exhausted::Requests, MAX_RETRY_AFTER_US));
        };
        let at = |held: u32, most: u32| most > 0 && held >= most;
        let full = match want {
            Resource::Request(_) if at(held.requests, bounds.requests) => Some(Exhausted::Requests),
            Resource::Request(bytes)
                if bounds.bytes > 0 && held.bytes + u64::from(bytes) > bounds.bytes =>
            {
                Some(Exhausted::Bytes)
            }
            Resource::Hold if at(held.held, bounds.held) => Some(Exhausted::Held),
            Resource::Session if at(held.sessions, bounds.sessions) => Some(Exhausted::Sessions),
            Resource::Request(_) | Resource::Session
                if at(held.descriptors, bounds.descriptors) =>
            {
                Some(Exhausted::Descriptors)
            }
            _ => None,
        };
        if let Some(full) = full {
            held.refused += 1;
            // About when one of those in hand ends: they end one by one.
            let share = held.usual / f64::from(held.requests.max(1));
            let wait = (share * f64::from(held.held + 1)) as Micros;
            return Err((full, wait.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US)));
        }
        match want {
            Resource::Request(bytes) => {
                held.requests += 1;
                held.descriptors += 1;
                held.bytes += u64::from(bytes);
            }
            Resource::Hold => held.held += 1,
            Resource::Session => {
                held.sessions += 1;
                held.descriptors += 1;
            }
        }
        Ok(())
    }

    /// Gives back what was taken; `open` is how long a request was.
    pub fn release(&mut self, cell: CellId, want: Resource, open: Micros) {
        let Some((_, held)) = self.cells.get_mut(usize::from(cell.0)) else {
            return;
        };
        match want {
            Resource::Request(bytes) => {
                held.requests = held.requests.saturating_sub(1);
                held.descriptors = held.descriptors.saturating_sub(1);
                held.bytes = held.bytes.saturating_sub(u64::from(bytes));
                held.usual += LEARN * (open as f64 - held.usual);
            }
            Resource::Hold => held.held = held.held.saturating_sub(1),
            Resource::Session => {
                held.sessions = held.sessions.saturating_sub(1);
                held.descriptors = held.descriptors.saturating_sub(1);
            }
        }
    }

    /// Other bounds from now on, for as many cells as there are then; what is held stays counted.
    pub fn set_bounds(&mut self, bounds: Vec<Bounds>) {
        self.cells
            .resize(bounds.len(), (Bounds::default(), Held::default()));
        self.cells
            .iter_mut()
            .zip(bounds)
            .for_each(|(cell, bounds)| cell.0 = bounds);
    }

    /// Requests, sessions and refusals of a cell.
    pub fn counts(&self, cell: CellId) -> (u32, u32, u64) {
        let held = self
            .cells
            .get(usize::from(cell.0))
            .map(|cell| cell.1)
            .unwrap_or_default();
        (held.requests, held.sessions, held.refused)
    }
}

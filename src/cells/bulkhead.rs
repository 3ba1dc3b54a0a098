//! Bulkheads: the bounds on what each cell may hold of this gateway. A cell at its bounds rejects its own requests at once,
//! and never those of another cell.

use super::CellId;
use crate::interface::Micros;
use serde::Deserialize;

/// The most that a cell may hold of this gateway; 0 means no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Open requests, from their arrival to their final answer.
    pub requests: u32,
    /// Open requests that wait for their first dispatch.
    pub held: u32,
    /// Client sessions whose tenant is placed in the cell.
    pub sessions: u32,
    /// File descriptors of connections to clients and databases together.
    pub descriptors: u32,
    /// Bytes of the statements of open requests.
    pub bytes: u64,
}

/// A resource of a cell, acquired and released one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// A request with a statement of so many bytes, and a file descriptor for its connection to a database.
    Request(u32),
    /// A place to wait for the first dispatch.
    Hold,
    /// A client session and its file descriptor.
    Session,
}

/// The resource of a cell that has reached its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhausted {
    /// Open requests.
    Requests,
    /// Requests that wait for their first dispatch.
    Held,
    /// Client sessions.
    Sessions,
    /// File descriptors.
    Descriptors,
    /// Bytes of statements.
    Bytes,
}

/// The shortest and longest retry-after time of a rejection, microseconds.
const MIN_RETRY_AFTER_US: Micros = 20_000;
const MAX_RETRY_AFTER_US: Micros = 2_000_000;
/// The weight of a new request's duration in the moving average, 0 to 1.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;

/// What a cell holds now.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    requests: u32,
    held: u32,
    sessions: u32,
    descriptors: u32,
    bytes: u64,
    /// Moving average of how long a request is open, microseconds.
    mean_duration: f64,
    rejections: u64,
}

/// The bulkheads of all cells.
#[derive(Clone, Debug, Default)]
pub struct Bulkheads {
    cells: Vec<(Bounds, Usage)>,
}

impl Bulkheads {
    /// Creates a bulkhead for each cell, in the order of the placement.
    pub fn new(bounds: Vec<Bounds>) -> Bulkheads {
        Bulkheads {
            cells: bounds
                .into_iter()
                .map(|bounds| (bounds, Usage::default()))
                .collect(),
        }
    }

    /// Acquires a resource of a cell. An unknown cell has none.
    ///
    /// # Errors
    ///
    /// The resource that has reached its bound, and the retry-after time, microseconds.
    pub fn acquire(&mut self, cell: CellId, resource: Resource) -> Result<(), (Exhausted, Micros)> {
        let Some((bounds, usage)) = self.cells.get_mut(usize::from(cell.0)) else {
            return Err((Exhausted::Requests, MAX_RETRY_AFTER_US));
        };
        let is_full = |used: u32, bound: u32| bound > 0 && used >= bound;
        let full = match resource {
            Resource::Request(_) if is_full(usage.requests, bounds.requests) => {
                Some(Exhausted::Requests)
            }
            Resource::Request(bytes)
                if bounds.bytes > 0 && usage.bytes + u64::from(bytes) > bounds.bytes =>
            {
                Some(Exhausted::Bytes)
            }
            Resource::Hold if is_full(usage.held, bounds.held) => Some(Exhausted::Held),
            Resource::Session if is_full(usage.sessions, bounds.sessions) => {
                Some(Exhausted::Sessions)
            }
            Resource::Request(_) | Resource::Session
                if is_full(usage.descriptors, bounds.descriptors) =>
            {
                Some(Exhausted::Descriptors)
            }
            _ => None,
        };
        if let Some(full) = full {
            usage.rejections += 1;
            // About the time until enough of the open requests have ended: they end one by one.
            let interval = usage.mean_duration / f64::from(usage.requests.max(1));
            let wait = (interval * f64::from(usage.held + 1)) as Micros;
            return Err((full, wait.clamp(MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US)));
        }
        match resource {
            Resource::Request(bytes) => {
                usage.requests += 1;
                usage.descriptors += 1;
                usage.bytes += u64::from(bytes);
            }
            Resource::Hold => usage.held += 1,
            Resource::Session => {
                usage.sessions += 1;
                usage.descriptors += 1;
            }
        }
        Ok(())
    }

    /// Releases a resource of a cell; `duration` is how long it was held, used for requests only.
    pub fn release(&mut self, cell: CellId, resource: Resource, duration: Micros) {
        let Some((_, usage)) = self.cells.get_mut(usize::from(cell.0)) else {
            return;
        };
        match resource {
            Resource::Request(bytes) => {
                usage.requests = usage.requests.saturating_sub(1);
                usage.descriptors = usage.descriptors.saturating_sub(1);
                usage.bytes = usage.bytes.saturating_sub(u64::from(bytes));
                usage.mean_duration += NEW_SAMPLE_WEIGHT * (duration as f64 - usage.mean_duration);
            }
            Resource::Hold => usage.held = usage.held.saturating_sub(1),
            Resource::Session => {
                usage.sessions = usage.sessions.saturating_sub(1);
                usage.descriptors = usage.descriptors.saturating_sub(1);
            }
        }
    }

    /// Replaces the bounds, and with them the number of cells; the usage of cells that stay is kept.
    pub fn set_bounds(&mut self, bounds: Vec<Bounds>) {
        self.cells
            .resize(bounds.len(), (Bounds::default(), Usage::default()));
        self.cells
            .iter_mut()
            .zip(bounds)
            .for_each(|(cell, bounds)| cell.0 = bounds);
    }

    /// Open requests, sessions and rejections so far of a cell.
    pub fn counts(&self, cell: CellId) -> (u32, u32, u64) {
        let usage = self
            .cells
            .get(usize::from(cell.0))
            .map(|cell| cell.1)
            .unwrap_or_default();
        (usage.requests, usage.sessions, usage.rejections)
    }
}

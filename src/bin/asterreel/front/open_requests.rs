//! The client-assigned ids of requests: each is used by one open request at most, and one that may have run and must not
//! run twice is not run again.

use crate::runtime::sync::lock;
use asterreel::interface::Micros;
use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex};

/// For how long the id of a request that may have run is remembered: far longer than any client waits or retries.
const REMEMBERED_FOR_US: Micros = 60_000_000;
/// The most ids that are remembered. Beyond them, requests that must not run twice are rejected.
const MAX_REMEMBERED: usize = 50_000;

/// Why an id can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdRefusal {
    /// An open request uses it.
    Open,
    /// A request with this id may have run, and must not run twice.
    MayHaveRun,
    /// No further ids can be remembered now.
    TooMany,
}

/// The ids that are in use or remembered.
#[derive(Clone, Default)]
pub(super) struct OpenRequests(Arc<Mutex<Ids>>);

#[derive(Default)]
struct Ids {
    open: HashSet<Vec<u8>>,
    may_have_run: RememberedIds,
}

/// The hashes of ids of requests that may have run, by a key of this process.
#[derive(Default)]
struct RememberedIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    in_order: VecDeque<(Micros, u64)>,
}

impl RememberedIds {
    fn forget_old(&mut self, now: Micros) {
        while let Some((at, hash)) = self.in_order.front().copied() {
            if now.saturating_sub(at) < REMEMBERED_FOR_US {
                break;
            }
            self.in_order.pop_front();
            self.hashes.remove(&hash);
        }
    }

    fn contains(&self, id: &[u8]) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn insert(&mut self, id: &[u8], now: Micros) {
        let hash = self.hasher.hash_one(id);
        if self.hashes.insert(hash) {
            self.in_order.push_back((now, hash));
        }
    }
}

impl OpenRequests {
    /// Reserves an id until the result is dropped. `may_repeat` tells whether a request with it may run that may have run
    /// before.
    ///
    /// # Errors
    ///
    /// Why the id can't be used now.
    pub(super) fn reserve(
        &self,
        id: &[u8],
        may_repeat: bool,
        now: Micros,
    ) -> Result<OpenRequestId, IdRefusal> {
        let mut ids = lock(&self.0);
        if !may_repeat {
            ids.may_have_run.forget_old(now);
            if ids.may_have_run.contains(id) {
                return Err(IdRefusal::MayHaveRun);
            }
            if ids.may_have_run.hashes.len() + ids.open.len() >= MAX_REMEMBERED {
                return Err(IdRefusal::TooMany);
            }
        }
        if !ids.open.insert(id.to_vec()) {
            return Err(IdRefusal::Open);
        }
        Ok(OpenRequestId {
            requests: self.clone(),
            id: id.to_vec(),
        })
    }

    /// How many requests are open; `None` where the lock is held, as this never waits.
    pub(super) fn try_count(&self) -> Option<usize> {
        Some(self.0.try_lock().ok()?.open.len())
    }
}

/// The reservation of an open request's id, which is released on drop.
pub(super) struct OpenRequestId {
    requests: OpenRequests,
    id: Vec<u8>,
}

impl OpenRequestId {
    /// Remembers the id from `now` on: the request may have run, and must not run twice.
    pub(super) fn remember(&self, now: Micros) {
        lock(&self.requests.0).may_have_run.insert(&self.id, now);
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        lock(&self.requests.0).open.remove(&self.id);
    }
}

#[cfg(test)]
mod tests;

//! The client-assigned ids of open requests, each of which is used by one open request at most.

use crate::runtime::sync::lock;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// The set of ids that open requests use.
#[derive(Clone, Default)]
pub(super) struct OpenRequests(Arc<Mutex<HashSet<Vec<u8>>>>);

impl OpenRequests {
    /// Reserves an id until the result is dropped; `None` where an open request uses it.
    pub(super) fn reserve(&self, id: &[u8]) -> Option<OpenRequestId> {
        let is_free = lock(&self.0).insert(id.to_vec());
        is_free.then(|| OpenRequestId {
            open: self.clone(),
            id: id.to_vec(),
        })
    }

    /// How many requests are open; `None` where the lock is held, as this never waits.
    pub(super) fn try_count(&self) -> Option<usize> {
        Some(self.0.try_lock().ok()?.len())
    }
}

/// The reservation of an open request's id, which is released on drop.
pub(super) struct OpenRequestId {
    open: OpenRequests,
    id: Vec<u8>,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        lock(&self.open.0).remove(&self.id);
    }
}

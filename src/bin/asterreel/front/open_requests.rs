//! The ids of open requests, of which no two are the same.

use crate::runtime::sync::lock;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// The ids by which clients name the requests that are open.
#[derive(Clone, Default)]
pub(super) struct OpenRequests(Arc<Mutex<HashSet<Vec<u8>>>>);

impl OpenRequests {
    /// Reserves an id; nothing where an open request has it.
    pub(super) fn reserve(&self, id: &[u8]) -> Option<OpenRequestId> {
        let is_free = lock(&self.0).insert(id.to_vec());
        is_free.then(|| OpenRequestId {
            open: self.clone(),
            id: id.to_vec(),
        })
    }

    /// How many requests are open; nothing where the lock is held, as this never waits.
    pub(super) fn try_count(&self) -> Option<usize> {
        Some(self.0.try_lock().ok()?.len())
    }
}

/// The id of an open request, which is free again once this is dropped.
pub(super) struct OpenRequestId {
    open: OpenRequests,
    id: Vec<u8>,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        lock(&self.open.0).remove(&self.id);
    }
}

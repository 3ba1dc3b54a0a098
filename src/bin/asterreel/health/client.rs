//! A client connection to a health front, and its entry in the connection limiter.

use super::{Shared, RESERVED_DESCRIPTORS};
use std::rc::Rc;

/// A connection that the limiter admitted; dropping it releases its entry and refills the reserved descriptors.
pub(super) struct HealthClient {
    pub shared: Rc<Shared>,
    number: u64,
}

impl HealthClient {
    /// `number` is the one under which the limiter admitted the connection.
    pub(super) fn new(shared: Rc<Shared>, number: u64) -> HealthClient {
        HealthClient { shared, number }
    }

    /// Marks the connection as active because it has sent a request.
    pub(super) fn touch(&self) {
        self.shared
            .connections
            .borrow_mut()
            .touch(self.shared.clock.now(), self.number);
    }
}

impl Drop for HealthClient {
    fn drop(&mut self) {
        self.shared.connections.borrow_mut().release(self.number);
        self.shared.clients.borrow_mut().remove(&self.number);
        let mut reserved_descriptors = self.shared.reserved_descriptors.borrow_mut();
        if reserved_descriptors.len() < RESERVED_DESCRIPTORS {
            reserved_descriptors.extend(std::fs::File::open("/dev/null"));
        }
    }
}

//! A connection to one of the health fronts, and its permit among all of them.

use super::{Shared, RESERVED_DESCRIPTORS};
use std::rc::Rc;

/// One connection's permit; dropping it gives the permit back.
pub(super) struct HealthClient {
    pub shared: Rc<Shared>,
    number: u64,
}

impl HealthClient {
    /// The connection that the limiter admitted under this number.
    pub(super) fn new(shared: Rc<Shared>, number: u64) -> HealthClient {
        HealthClient { shared, number }
    }

    /// It has sent a request: it counts as active.
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

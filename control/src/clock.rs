//! The only clock of the gateway and its control plane: Unix time in microseconds that never goes back.

use crate::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time read once, carried on by the monotonic clock, so that a step of the system's clock moves no
/// deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Micros,
    started: Instant,
}

impl Clock {
    /// A clock that starts from the system's time.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            base: unix.as_micros() as Micros,
            started: Instant::now(),
        }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.base + self.started.elapsed().as_micros() as Micros
    }
}

//! The clock of the gateway and its control plane: Unix time in microseconds that never goes back. Decision code has the
//! time as an argument; only the code that runs it reads this clock.

use crate::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time that is read once and then advanced by the monotonic clock, so that a step of the system clock moves no
/// deadline.
#[derive(Clone, Copy)]
pub struct Clock {
    /// Unix time at the start, microseconds.
    unix_start_us: Micros,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the system time, or at the Unix epoch if the system clock is set before it.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_start_us: unix.as_micros() as Micros,
            started: Instant::now(),
        }
    }

    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.unix_start_us + self.started.elapsed().as_micros() as Micros
    }
}

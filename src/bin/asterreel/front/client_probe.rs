//! Finds out whether a client is still there that has sent more than is read ahead.
//!
//! The end of a connection is behind all that was sent before, and may be held back by the client's own machine. So the
//! client is told a parameter that it knows already: a machine that has closed the connection answers with a reset.

use crate::postgres as pg;
use crate::runtime::net::Stream;
use asterreel::interface::Micros;

/// The interval at which the client is told something: a request is not sent on later than 0.1 s after the close.
const PROBE_INTERVAL_US: Micros = 50_000;

/// The probes of one connection, which run while input is left unread during a request.
#[derive(Debug, Default)]
pub(super) struct ClientProbe {
    /// When the next probe is due; `None` while all input is read.
    next_at: Option<Micros>,
    /// The rest of a probe that the socket took a part of.
    unsent: Vec<u8>,
}

impl ClientProbe {
    /// Input is left unread; has no effect if it was left before.
    pub(super) fn start(&mut self, now: Micros) {
        self.next_at.get_or_insert(now + PROBE_INTERVAL_US);
    }

    /// All input is read.
    pub(super) fn stop(&mut self) {
        self.next_at = None;
    }

    /// Takes what must be written before anything else.
    pub(super) fn take_unsent(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.unsent)
    }

    /// Sends a probe if one is due; returns when the next one is. Errors show at the next read.
    pub(super) fn run(&mut self, now: Micros, stream: &mut Stream) -> Option<Micros> {
        let due = self.next_at?;
        if now < due {
            return Some(due);
        }
        // A client that does not take the last probe is not sent another.
        if self.unsent.is_empty() {
            pg::client_encoding_status(&mut self.unsent);
            let written = stream.write_now(&self.unsent).unwrap_or(0);
            self.unsent.drain(..written);
            if written == 0 {
                self.unsent.clear();
            }
        }
        self.next_at = Some(now + PROBE_INTERVAL_US);
        self.next_at
    }
}

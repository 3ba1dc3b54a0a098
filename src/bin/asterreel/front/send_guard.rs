//! Judges, each time before bytes of an attempt are written, whether the attempt may be sent.

use super::gateway::Gateway;
use crate::cells::CellPermit;
use crate::request::cancellation::CancellationToken;
use crate::request::write_gate::{WriteGate, WriteRefusal};
use crate::runtime::net::PeerState;
use asterreel::cells;
use asterreel::interface::{AttemptNo, Micros, RequestId};
use std::sync::Arc;

/// For how long the session's look at the client's connection holds, when it starts an attempt. Attempts that need not
/// wait are sent well within it.
const CLIENT_CHECK_VALID_US: Micros = 10_000;

/// How long it may take to write a statement: it tells the server how much time is left, as of its first byte.
const MAX_WRITE_TIME_US: Micros = 100_000;

/// The gate of one attempt: everything that a send depends on, and that may change while the attempt waits.
pub(super) struct SendGuard {
    /// The gateway, whose router knows the rules.
    pub gateway: Arc<Gateway>,
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNo,
    /// Cancels the attempt.
    pub token: Arc<CancellationToken>,
    /// When the attempt ends if it has not been sent by then.
    pub send_by: Micros,
    /// When the session started the attempt. It looked whether the client was there right before.
    pub started_at: Micros,
    /// The client's connection.
    pub client: PeerState,
    /// The request's admission to its tenant's cell, where cells are configured.
    pub cell: Option<CellAttempt>,
}

/// An attempt as the cell of its tenant judges it.
pub(super) struct CellAttempt {
    /// The request's admission to the cell.
    pub permit: Arc<CellPermit>,
    /// What the attempt is judged by.
    pub attempt: cells::Attempt,
}

impl CellAttempt {
    /// Whether the placement and the quarantine in force allow the send.
    pub(super) fn check(&self) -> Result<(), cells::SendRefusal> {
        self.permit.check_send(self.attempt)
    }
}

impl SendGuard {
    /// Whether the client has closed its connection. The session sees that as well, but in a process that was held up it
    /// may get its turn after an attempt whose connection became ready in that time.
    fn has_client_gone(&self) -> bool {
        let waited = self
            .gateway
            .core
            .clock
            .now()
            .saturating_sub(self.started_at);
        waited >= CLIENT_CHECK_VALID_US && self.client.has_closed()
    }
}

impl WriteGate for SendGuard {
    fn check(&self, composed_at: Micros) -> Result<(), WriteRefusal> {
        let core = &self.gateway.core;
        if !self.token.is_active(core.clock) {
            return Err(WriteRefusal::Stopped);
        }
        if core.clock.now() >= composed_at.saturating_add(MAX_WRITE_TIME_US) {
            return Err(WriteRefusal::Stalled);
        }
        if self.has_client_gone() {
            return Err(WriteRefusal::ClientGone);
        }
        if let Some(cell) = &self.cell {
            cell.check().map_err(WriteRefusal::Cell)?;
        }
        core.permit_send(self.request, self.attempt)?;
        Ok(())
    }

    fn write_by(&self, composed_at: Micros) -> Micros {
        self.send_by
            .min(composed_at.saturating_add(MAX_WRITE_TIME_US))
    }
}

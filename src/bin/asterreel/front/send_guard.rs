//! Judges, each time before bytes of an attempt are written, whether the attempt may be sent.

use super::gateway::Gateway;
use crate::cells::CellPermit;
use crate::request::cancellation::CancellationToken;
use crate::request::write_gate::{WriteGate, WriteRefusal};
use asterreel::cells;
use asterreel::interface::{AttemptNo, Micros, RequestId};
use std::sync::Arc;

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

impl WriteGate for SendGuard {
    fn check(&self) -> Result<(), WriteRefusal> {
        let core = &self.gateway.core;
        if !self.token.is_active(core.clock) {
            return Err(WriteRefusal::Stopped);
        }
        if let Some(cell) = &self.cell {
            cell.check().map_err(WriteRefusal::Cell)?;
        }
        core.permit_send(self.request, self.attempt)?;
        Ok(())
    }

    fn write_by(&self) -> Micros {
        self.send_by
    }
}

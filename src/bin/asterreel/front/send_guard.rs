//! Judges, each time before bytes of an attempt are written, whether the attempt may be sent.

use super::gateway::Gateway;
use crate::request::cancellation::CancellationToken;
use crate::request::write_gate::{WriteGate, WriteRefusal};
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
}

impl WriteGate for SendGuard {
    fn check(&self) -> Result<(), WriteRefusal> {
        let core = &self.gateway.core;
        if !self.token.is_active(core.clock) {
            return Err(WriteRefusal::Stopped);
        }
        core.permit_send(self.request, self.attempt)?;
        Ok(())
    }

    fn write_by(&self) -> Micros {
        self.send_by
    }
}

//! Admission of requests, and what the router is given about them.

use super::error_answer::ErrorAnswer;
use super::open_requests::{IdRefusal, OpenRequestId};
use super::session::Session;
use crate::cells::CellPermit;
use crate::postgres::Statement;
use crate::runtime::memory::Reservation;
use crate::runtime::turns::Owner;
use asterreel::cells::tenants::Caller;
use asterreel::cells::{Rejection, LOST_CELL_RETRY_AFTER_US};
use asterreel::interface::*;
use asterreel::memory::Purpose;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use tracing::debug;

/// Requests that take no more than this are never rejected for lack of memory: long ones give way to them.
const SMALL_REQUEST_BYTES: usize = 4 * 1024;

/// What an admitted request holds until it has completed.
pub(super) struct Admitted {
    /// The number of its class.
    pub class: ClassId,
    /// Whether running it more than once does harm.
    pub idempotency: Idempotency,
    /// Whether the request writes, and otherwise how recent the data that it reads must be.
    pub consistency: ConsistencyLevel,
    /// When its client stops waiting for an answer.
    pub due: Micros,
    /// The request's admission to the cell of its tenant, where cells are configured.
    pub cell_permit: Option<Arc<CellPermit>>,
    /// The reservation of its id.
    pub open_id: OpenRequestId,
    _memory: Reservation,
}

impl Session {
    /// Admits a request, or returns the final answer of one that is not admitted.
    pub(super) fn admit(
        &self,
        statement: &Statement,
        received_at: Micros,
    ) -> Result<Admitted, ErrorAnswer> {
        let gateway = &self.gateway;
        let class = gateway
            .class(&statement.class)
            .ok_or(ErrorAnswer::InvalidRequest("unknown class"))?;
        // A server could mix up the answers of two open requests with the same id.
        let may_repeat = class.idempotency != Idempotency::NonIdempotent;
        let open_id = gateway
            .open_requests
            .reserve(&statement.id, may_repeat, gateway.core.clock.now())
            .map_err(|refusal| match refusal {
                IdRefusal::Open => ErrorAnswer::InvalidRequest("a request with this id is open"),
                IdRefusal::MayHaveRun => {
                    ErrorAnswer::InvalidRequest("a request with this id may have run")
                }
                IdRefusal::TooMany => ErrorAnswer::OutOfMemory,
            })?;
        // No client waits longer than its class allows: a huge deadline must not hold capacity.
        let wait = statement.wait_ms.saturating_mul(1000).min(class.max_wait);
        let due = received_at
            .saturating_add(wait)
            .min(gateway.last_answer_at());
        if gateway.core.clock.now() >= due {
            // Its deadline passed while it was queued behind others of its session. An attempt could no longer be
            // written, and the connection acquired for it would be closed.
            debug!(
                class = class.id.0,
                wait = statement.wait_ms,
                "deadline passed before the request was handled"
            );
            return Err(ErrorAnswer::Failed("out of time"));
        }
        let memory = self.reserve_memory(statement)?;
        let cell_permit = self.admit_to_cell(statement, class.consistency)?;
        Ok(Admitted {
            class: class.id,
            idempotency: class.idempotency,
            consistency: class.consistency,
            due,
            cell_permit,
            open_id,
            _memory: memory,
        })
    }

    /// Reserves the memory of a request: its statement, and the copy of it that is sent to a server.
    fn reserve_memory(&self, statement: &Statement) -> Result<Reservation, ErrorAnswer> {
        let owner = Owner::Client(self.client.address);
        let bytes = 2 * statement.text().len();
        if bytes <= SMALL_REQUEST_BYTES {
            return Ok(Reservation::of_held(owner, Purpose::Request, bytes));
        }
        Reservation::new(owner, Purpose::Request, bytes).ok_or(ErrorAnswer::OutOfMemory)
    }

    /// Admits a request to the cell of its tenant; `None` where cells are not configured.
    pub(super) fn admit_to_cell(
        &self,
        statement: &Statement,
        consistency: ConsistencyLevel,
    ) -> Result<Option<Arc<CellPermit>>, Rejection> {
        let Some(cells) = &self.gateway.cells else {
            return Ok(None);
        };
        let comment = if cells.by_statement {
            statement.comment()
        } else {
            Vec::new()
        };
        let client = &self.client;
        let caller = Caller {
            user: &client.user,
            application: &client.application,
            address: Some(client.address),
            comment: &comment,
        };
        let target = (statement.group, &statement.key[..]);
        let cell_permit = cells.admit(
            &caller,
            target,
            statement.text(),
            consistency == ConsistencyLevel::Write,
        )?;
        // No member of another cell may serve the request, so it is rejected instead of waiting until its deadline.
        if self
            .gateway
            .core
            .has_lost_all_members(cell_permit.admitted.group)
        {
            return Err(Rejection::AllMembersLost(LOST_CELL_RETRY_AFTER_US));
        }
        Ok(Some(Arc::new(cell_permit)))
    }

    /// The arrival event of a request, as the router is given it.
    pub(super) fn arrival(&self, statement: &Statement, admitted: &Admitted) -> Arrival {
        let now = self.gateway.core.clock.now();
        let is_in_session = matches!(
            admitted.consistency,
            ConsistencyLevel::Write | ConsistencyLevel::Session
        );
        let after_us = statement
            .after_ms
            .map(|after_ms| after_ms.saturating_mul(1000));
        let since_write = after_us
            .filter(|after_us| *after_us > 0)
            .map(|after_us| now.saturating_sub(after_us));
        // The tenant has just moved: replicas of the new cell may lack what the session wrote in the old one.
        let is_settling = admitted.consistency == ConsistencyLevel::Session
            && admitted
                .cell_permit
                .as_ref()
                .is_some_and(|cell_permit| cell_permit.admitted.settling);
        Arrival {
            request: RequestId(0),
            class: admitted.class,
            tenant: TenantId(0),
            session: is_in_session.then(|| session_id(&statement.key)),
            due: admitted.due,
            estimate: None,
            group: admitted
                .cell_permit
                .as_ref()
                .map_or(GroupId(statement.group), |cell_permit| {
                    cell_permit.admitted.group
                }),
            since_write: if is_settling { Some(0) } else { since_write },
        }
    }
}

fn session_id(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}

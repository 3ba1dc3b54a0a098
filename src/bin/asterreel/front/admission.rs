//! Whether a request is admitted, and what the router gets to know of it.

use super::error_answer::ErrorAnswer;
use super::open_requests::OpenRequestId;
use super::session::Session;
use crate::cells::Placed;
use crate::postgres::Statement;
use asterreel::cells::tenants::Caller;
use asterreel::cells::{Rejection, LOST_CELL_RETRY_AFTER_US};
use asterreel::interface::*;
use std::hash::{DefaultHasher, Hash, Hasher};
use tracing::debug;

/// What an admitted request holds until it is over.
pub(super) struct Admitted {
    /// Its class.
    pub class: ClassId,
    /// What repeating it does.
    pub idempotency: Idempotency,
    /// What data it needs.
    pub consistency: ConsistencyLevel,
    /// When its client stops waiting.
    pub due: Micros,
    /// Its place in its cell, where cells are on.
    pub placed: Option<Placed>,
    _open_id: OpenRequestId,
}

impl Session {
    /// Admits a request, or says with which final answer it is not.
    pub(super) fn admit(
        &self,
        statement: &Statement,
        received_at: Micros,
    ) -> Result<Admitted, ErrorAnswer> {
        let gateway = &self.gateway;
        let class = gateway
            .class(&statement.class)
            .ok_or(ErrorAnswer::InvalidRequest("unknown class"))?;
        // Two open requests with one id could get each other's answers from a server.
        let open_id =
            gateway
                .open_requests
                .reserve(&statement.id)
                .ok_or(ErrorAnswer::InvalidRequest(
                    "a request with this id is open",
                ))?;
        // No client waits longer than its class allows: a huge deadline must not hold capacity.
        let wait = statement.wait_ms.saturating_mul(1000).min(class.deadline);
        let due = received_at
            .saturating_add(wait)
            .min(gateway.last_answer_at());
        if gateway.core.clock.now() >= due {
            // Its time passed while it was queued behind others: an attempt could not be written any more, and would
            // cost the connection that it takes.
            debug!(
                class = class.id.0,
                wait = statement.wait_ms,
                "out of time before its turn"
            );
            return Err(ErrorAnswer::Failed("out of time"));
        }
        let placed = self.placed(statement, class.consistency)?;
        Ok(Admitted {
            class: class.id,
            idempotency: class.idempotency,
            consistency: class.consistency,
            due,
            placed,
            _open_id: open_id,
        })
    }

    /// Where a request's tenant is served, with a place in its cell; nothing where cells are off.
    fn placed(
        &self,
        statement: &Statement,
        consistency: ConsistencyLevel,
    ) -> Result<Option<Placed>, Rejection> {
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
        let placed = cells.admit(
            &caller,
            target,
            statement.text(),
            consistency == ConsistencyLevel::Write,
        )?;
        // It would wait in vain: nothing of another cell may serve it.
        if self
            .gateway
            .core
            .has_lost_all_members(placed.admitted.group)
        {
            return Err(Rejection::AllMembersLost(LOST_CELL_RETRY_AFTER_US));
        }
        Ok(Some(placed))
    }

    /// What the router gets to know of a request.
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
        // Just moved: replicas of the new cell may lack what the session wrote in the old one.
        let is_settling = admitted.consistency == ConsistencyLevel::Session
            && admitted
                .placed
                .as_ref()
                .is_some_and(|placed| placed.admitted.settling);
        Arrival {
            request: RequestId(0),
            class: admitted.class,
            tenant: TenantId(0),
            session: is_in_session.then(|| session_id(&statement.key)),
            due: admitted.due,
            estimate: None,
            group: admitted
                .placed
                .as_ref()
                .map_or(GroupId(statement.group), |placed| placed.admitted.group),
            since_write: if is_settling { Some(0) } else { since_write },
        }
    }
}

fn session_id(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}

//! Handling of one request: its admission, its attempts and its final answer.
//!
//! The router decides; this module carries out its commands and reports to it how attempts end. An admitted request
//! gets exactly one final answer, at the latest [`DECISION_GRACE_US`] after its deadline. No attempt is dispatched for
//! a client that has disconnected, and a statement is sent again only on a command of the router. A request of which
//! nothing may have run, or that may be repeated, follows its tenant to another cell: it is given to the router anew.

use super::admission::Admitted;
use super::attempts::{Attempt, Attempts};
use super::error_answer::ErrorAnswer;
use super::mailbox::SessionEvent;
use super::send_guard::{CellAttempt, SendGuard};
use super::session::{Session, SessionError};
use crate::core::{Command, Dispatch};
use crate::postgres::{self as pg, Statement};
use crate::request::attempt::{self, AttemptResult};
use crate::request::cancellation::CancellationToken;
use crate::request::write_gate::WriteRefusal;
use crate::runtime::coroutine::spawn;
use crate::runtime::memory::Reservation;
use asterreel::cells::{self, Rejection};
use asterreel::interface::*;
use std::collections::HashSet;
use std::sync::Arc;
use tracing::{debug, warn};

/// How long after a request's deadline the session still waits for the router's decision before it sends an error
/// itself.
const DECISION_GRACE_US: Micros = 10_000;

/// An admitted request, with the state of its attempts and of its answer.
struct Request {
    id: RequestId,
    statement: Arc<Statement>,
    admitted: Admitted,
    attempts: Attempts,
    /// The final answer has not been decided yet.
    answer_pending: bool,
    /// Whether an attempt was served, also where its answer came too late.
    was_served: bool,
    /// Whether an attempt that was not served may have run the statement.
    may_have_run: bool,
    /// The members whose connections broke during an attempt of this request.
    failed_members: HashSet<MemberId>,
    /// Its tenant was moved, and it is to be admitted to the tenant's new cell.
    must_follow_tenant: bool,
    /// The memory that the answer takes.
    answer_memory: Option<Reservation>,
}

impl Request {
    /// Appends this error as the final answer, unless one has been decided before.
    fn finish_with_error(&mut self, answer: &ErrorAnswer, out: &mut Vec<u8>) {
        if std::mem::replace(&mut self.answer_pending, false) {
            answer.write(out);
        }
    }

    /// Whether it may have run, and its class forbids that it runs twice.
    fn must_not_run_again(&self) -> bool {
        (self.was_served || self.may_have_run)
            && self.admitted.idempotency == Idempotency::NonIdempotent
    }

    /// Handles the refusal of an attempt by the cell of the request's tenant.
    fn refused_by_cell(&mut self, refusal: cells::SendRefusal, out: &mut Vec<u8>) {
        let is_moved = matches!(refusal.reason, Rejection::Moved(_));
        if self.answer_pending && is_moved && refusal.retry_is_harmless {
            self.must_follow_tenant = true;
        } else {
            self.finish_with_error(&ErrorAnswer::from(refusal), out);
        }
    }

    /// The next attempt, as the cell of the request's tenant judges it.
    fn cell_attempt(&self) -> Option<CellAttempt> {
        let permit = self.admitted.cell_permit.clone()?;
        let attempt = cells::Attempt {
            write: self.admitted.consistency == ConsistencyLevel::Write,
            idempotency: self.admitted.idempotency,
            may_have_run: self.may_have_run,
            failed_members: self.failed_members.len(),
        };
        Some(CellAttempt { permit, attempt })
    }

    /// The `NotSent` end of an attempt that was dispatched and never started. It uses the next attempt number.
    fn unstarted_attempt(&mut self) -> AttemptEnded {
        AttemptEnded {
            request: self.id,
            attempt: self.attempts.skip(),
            outcome: Outcome::NotSent,
            latency: 0,
            answer_report: MemberReport::default(),
            load_report: MemberReport::default(),
            answer: AnswerStatus::Finished,
        }
    }
}

impl Session {
    /// Handles one request, from its arrival to the end of its last attempt. The final answer is appended to `out`;
    /// where attempts are still in flight when it is decided, it is written to the client without waiting for their
    /// ends.
    pub(super) fn request(
        &mut self,
        statement: Statement,
        received_at: Micros,
        out: &mut Vec<u8>,
    ) -> Result<(), SessionError> {
        let admitted = match self.admit(&statement, received_at) {
            Ok(admitted) => admitted,
            Err(answer) => {
                answer.write(out);
                return Ok(());
            }
        };
        let decision_deadline = admitted.due.saturating_add(DECISION_GRACE_US);
        let core = self.gateway.core.clone();
        let _alarm = core.timer.alarm(decision_deadline, self.stream.waker());
        let mut request = self.submit(statement, admitted);
        while request.answer_pending || request.attempts.any_in_flight() {
            self.write_decided_answer(&request, out);
            let event = self.next_event(request.answer_pending.then_some(decision_deadline));
            self.handle(&mut request, event, out);
            if request.must_follow_tenant {
                self.follow_tenant(&mut request, out);
            }
        }
        if request.must_not_run_again() {
            request.admitted.open_id.remember(core.clock.now());
        }
        self.report_unstarted_dispatches(&mut request);
        core.forget(request.id);
        self.log_completion(&request, received_at);
        self.answer_memory = request.answer_memory.take();
        if self.client_gone {
            return Err(SessionError::ClientGone);
        }
        Ok(())
    }

    /// Registers an admitted request with the router.
    fn submit(&mut self, statement: Statement, admitted: Admitted) -> Request {
        // A cancel request that arrived between two requests applies to neither of them.
        self.mailbox.clear();
        self.client_probe.stop();
        let arrival = self.arrival(&statement, &admitted);
        let id = self.gateway.core.arrive(arrival, self.mailbox.clone());
        Request {
            id,
            statement: Arc::new(statement),
            admitted,
            attempts: Attempts::default(),
            answer_pending: true,
            was_served: false,
            may_have_run: false,
            failed_members: HashSet::new(),
            must_follow_tenant: false,
            answer_memory: None,
        }
    }

    /// Admits a request to the cell that its tenant was moved to, and gives it to the router anew.
    fn follow_tenant(&self, request: &mut Request, out: &mut Vec<u8>) {
        request.must_follow_tenant = false;
        let core = &self.gateway.core;
        core.forget(request.id);
        match self.admit_to_cell(&request.statement, request.admitted.consistency) {
            Ok(cell_permit) => {
                request.admitted.cell_permit = cell_permit;
                request.attempts = Attempts::default();
                let arrival = self.arrival(&request.statement, &request.admitted);
                request.id = core.arrive(arrival, self.mailbox.clone());
            }
            Err(rejection) => request.finish_with_error(&ErrorAnswer::from(rejection), out),
        }
    }

    /// Writes a final answer that was decided while attempts are in flight, since a cancelled attempt may take a while
    /// to end. Events in the mailbox are handled first, because a client that reads slowly blocks the write.
    fn write_decided_answer(&mut self, request: &Request, out: &mut Vec<u8>) {
        if !request.answer_pending && !out.is_empty() && self.mailbox.is_empty() {
            self.client_gone |= !self.client_gone && self.write(out).is_err();
            out.clear();
        }
    }

    /// Waits for the next event of a request. With `decision_deadline`, its passing is an event too.
    fn next_event(&mut self, decision_deadline: Option<Micros>) -> SessionEvent {
        loop {
            // Checked before any command is taken, so that nothing is started for a client that has disconnected.
            // Requests that it pipelines stay in the buffer, up to a limit; beyond that only the socket shows its
            // close.
            if !self.client_gone && self.check_client_gone() {
                self.client_gone = true;
                return SessionEvent::ClientGone;
            }
            if let Some(event) = self.mailbox.take() {
                return event;
            }
            if decision_deadline.is_some_and(|at| self.gateway.core.clock.now() >= at) {
                return SessionEvent::DeadlinePassed;
            }
            let now = self.gateway.core.clock.now();
            let next_probe = self.client_probe.run(now, &mut self.stream);
            let _alarm =
                next_probe.map(|at| self.gateway.core.timer.alarm(at, self.stream.waker()));
            self.stream.wait();
        }
    }

    /// Reads ahead, except while draining, and returns whether the client has closed its connection or its sending
    /// side.
    fn check_client_gone(&mut self) -> bool {
        while !self.gateway.is_draining() {
            let is_full = self.stream.buffer.data().len() >= pg::MAX_MESSAGE_BYTES;
            if is_full || self.overflow.is_active() || !self.stream.make_room(usize::MAX) {
                self.client_probe.start(self.gateway.core.clock.now());
                break;
            }
            self.stream.take_turn();
            match self.stream.read_now() {
                Ok(Some(0)) | Err(_) => return true,
                Ok(Some(_)) => {}
                Ok(None) => {
                    self.client_probe.stop();
                    return false;
                }
            }
        }
        self.stream.has_peer_closed()
    }

    fn handle(&self, request: &mut Request, event: SessionEvent, out: &mut Vec<u8>) {
        match event {
            SessionEvent::Command(Command::Dispatch(dispatch)) => {
                self.dispatch(request, &dispatch, out);
            }
            SessionEvent::Command(Command::CancelAttempt(number)) => {
                request.attempts.cancel(number);
            }
            SessionEvent::Command(Command::Reject { retry_after }) => {
                let text = "refused, try again";
                request.finish_with_error(&ErrorAnswer::Rejected { text, retry_after }, out);
            }
            SessionEvent::Command(Command::Fail) => {
                request.finish_with_error(&ErrorAnswer::Failed("failed"), out);
            }
            SessionEvent::AttemptEnded(number, result) => {
                self.attempt_ended(request, number, result, out);
            }
            SessionEvent::CancelRequested if !request.answer_pending => {}
            SessionEvent::CancelRequested => {
                request.finish_with_error(&ErrorAnswer::Cancelled, out);
                self.gateway.core.client_gone(request.id);
            }
            SessionEvent::ClientGone | SessionEvent::DeadlinePassed => {
                if request.answer_pending {
                    warn!(
                        left = self.client_gone,
                        "the client left or the deadline passed before the router decided the request's answer"
                    );
                }
                request.finish_with_error(&ErrorAnswer::Failed("out of time"), out);
                self.gateway.core.client_gone(request.id);
            }
        }
    }

    /// Starts an attempt, unless the final answer was decided after the router's command or the tenant's cell forbids it;
    /// the attempt is then reported as not sent.
    fn dispatch(&self, request: &mut Request, dispatch: &Dispatch, out: &mut Vec<u8>) {
        let &Dispatch {
            member,
            address,
            deadline,
            send_by,
        } = dispatch;
        let cell = request.cell_attempt();
        if request.answer_pending {
            debug!(
                request = request.id.0,
                class = request.admitted.class.0,
                member = member.0,
                due = request.admitted.due,
                "dispatching attempt"
            );
            if let Some(Err(refusal)) = cell.as_ref().map(CellAttempt::check) {
                request.refused_by_cell(refusal, out);
            }
        }
        if !request.answer_pending || request.must_follow_tenant {
            self.gateway.core.attempt_ended(request.unstarted_attempt());
            return;
        }
        let token = Arc::new(CancellationToken::new(deadline));
        let started_at = self.gateway.core.clock.now();
        let number = request.attempts.start(Attempt {
            started_at,
            member,
            token: token.clone(),
        });
        let (gateway, mailbox) = (self.gateway.clone(), self.mailbox.clone());
        let statement = request.statement.clone();
        let guard = SendGuard {
            gateway: gateway.clone(),
            request: request.id,
            attempt: number,
            token: token.clone(),
            send_by,
            started_at,
            client: self.stream.peer(),
            cell,
        };
        spawn(move || {
            let pool = &gateway.pool;
            let result = attempt::run(pool, address, &statement, &token, send_by, &guard);
            // Released first, so that the request's end releases what it holds of its cell.
            drop(guard);
            mailbox.post(SessionEvent::AttemptEnded(number, result));
        });
    }

    /// Handles the end of an attempt and reports it to the router.
    fn attempt_ended(
        &self,
        request: &mut Request,
        number: AttemptNo,
        result: AttemptResult,
        out: &mut Vec<u8>,
    ) {
        let Some(attempt) = request.attempts.finish(number) else {
            return;
        };
        let core = &self.gateway.core;
        let (outcome, role) = (result.outcome, result.answer_report.role);
        if let Some(WriteRefusal::Cell(refusal)) = result.refusal {
            request.refused_by_cell(refusal, out);
        }
        let is_served = outcome == Outcome::Served;
        let is_finished = is_served || !request.answer_pending || request.must_follow_tenant;
        request.was_served |= is_served;
        request.may_have_run |= !is_served && !outcome.proves_no_effect();
        if let Some(cell_permit) = &request.admitted.cell_permit {
            cell_permit.attempt_ended(attempt.member, outcome);
            if outcome == Outcome::Reset {
                request.failed_members.insert(attempt.member);
            }
        }
        if is_served && std::mem::replace(&mut request.answer_pending, false) {
            out.extend_from_slice(&result.rows);
            request.answer_memory = result.memory;
        }
        let latency = core.clock.now().saturating_sub(attempt.started_at);
        debug!(
            request = request.id.0,
            attempt = number.0,
            ?outcome,
            refusal = result.refusal.map(tracing::field::display),
            ?role,
            latency,
            "attempt ended"
        );
        core.attempt_ended(AttemptEnded {
            request: request.id,
            attempt: number,
            outcome,
            latency,
            answer_report: result.answer_report,
            load_report: MemberReport::default(),
            answer: if is_finished {
                AnswerStatus::Finished
            } else {
                AnswerStatus::Pending
            },
        });
    }

    /// Discards the remaining events of a completed request. Dispatches that were not carried out are reported as not
    /// sent, because the router would wait for their ends otherwise.
    fn report_unstarted_dispatches(&self, request: &mut Request) {
        while let Some(event) = self.mailbox.take() {
            if matches!(event, SessionEvent::Command(Command::Dispatch(_))) {
                self.gateway.core.attempt_ended(request.unstarted_attempt());
            }
        }
    }

    fn log_completion(&self, request: &Request, received_at: Micros) {
        let took = self.gateway.core.clock.now().saturating_sub(received_at);
        let (class, group) = (request.admitted.class.0, request.statement.group);
        let wait = request.statement.wait_ms;
        debug!(
            request = request.id.0,
            class, group, took, wait, "request done"
        );
    }
}

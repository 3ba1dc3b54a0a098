//! The life of one request: whether it is taken in, its attempts, and its one final answer.
//!
//! The decision module chooses; here its orders are carried out, and it is told how attempts end.

use super::gateway::Name;
use super::mailbox::Notice;
use super::session::{Ending, Session};
use crate::cells::Placed;
use crate::core::Order;
use crate::postgres::{self as pg, sqlstate, Severity, Statement};
use crate::request::attempt::{self, AttemptResult};
use crate::request::cancellation::CancellationToken;
use crate::runtime::net::spawn;
use asterreel::cells::quarantine::Verdict;
use asterreel::cells::who::Caller;
use asterreel::cells::{Refusal, LOST};
use asterreel::interface::*;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::{debug, warn};

/// How long after a request's deadline the session answers by itself, should the module have said nothing.
const OVERDUE: Micros = 10_000;

/// A final answer other than a row.
enum Denial {
    /// The request is no proper one.
    Invalid(&'static str),
    /// Nobody knows the client.
    Unknown(&'static str),
    /// Nothing ran; it may come again, and after so long at best.
    Refused(&'static str, Option<Micros>),
    Failed(&'static str),
    Cancelled,
}

impl Denial {
    fn write(&self, out: &mut Vec<u8>) {
        let (code, text, retry_after) = match self {
            Denial::Invalid(text) => (sqlstate::PROTOCOL_VIOLATION, *text, None),
            Denial::Unknown(text) => (sqlstate::INVALID_AUTHORIZATION, *text, None),
            Denial::Refused(text, retry_after) => {
                (sqlstate::TOO_MANY_CONNECTIONS, *text, *retry_after)
            }
            Denial::Failed(text) => (sqlstate::SYSTEM_ERROR, *text, None),
            Denial::Cancelled => (
                sqlstate::QUERY_CANCELED,
                "cancelled as its client asked",
                None,
            ),
        };
        pg::error(
            out,
            Severity::Error,
            code,
            text,
            retry_after.map(|wait| wait.div_ceil(1_000)),
        );
    }
}

impl From<Refusal> for Denial {
    fn from(refusal: Refusal) -> Denial {
        match (refusal.told(), refusal == Refusal::Nobody) {
            ((text, _), true) => Denial::Unknown(text),
            ((text, retry_after), false) => Denial::Refused(text, retry_after),
        }
    }
}

/// What a request that is taken in holds until it is over.
struct Admitted {
    class: ClassId,
    idempotency: Idempotency,
    consistency: ConsistencyLevel,
    /// When its client has waited long enough.
    due: Micros,
    /// Its place in its cell, where cells are on.
    placed: Option<Placed>,
    _name: Name,
}

/// An attempt that is out: when it was ordered, where, and how to call it off.
struct Attempt {
    ordered: Micros,
    member: MemberId,
    token: Arc<CancellationToken>,
}

/// The attempts of a request by number; nothing is kept of those that have ended or were never begun.
#[derive(Default)]
struct Attempts(Vec<Option<Attempt>>);

impl Attempts {
    fn any_out(&self) -> bool {
        self.0.iter().any(Option::is_some)
    }

    fn begin(&mut self, attempt: Attempt) -> AttemptNo {
        self.0.push(Some(attempt));
        AttemptNo(self.0.len() as u32 - 1)
    }

    /// One was ordered that will not be begun.
    fn skip(&mut self) -> AttemptNo {
        self.0.push(None);
        AttemptNo(self.0.len() as u32 - 1)
    }

    fn call_off(&self, number: AttemptNo) {
        if let Some(Some(attempt)) = self.0.get(number.0 as usize) {
            attempt.token.cancel();
        }
    }

    fn end(&mut self, number: AttemptNo) -> Option<Attempt> {
        self.0.get_mut(number.0 as usize)?.take()
    }
}

/// A request that the module knows, and how far it has come.
struct Request {
    id: RequestId,
    statement: Arc<Statement>,
    admitted: Admitted,
    attempts: Attempts,
    /// Its final answer has not been decided.
    owed: bool,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
    /// The members that died under an attempt.
    victims: HashSet<MemberId>,
}

impl Request {
    /// The final answer, unless there is one.
    fn deny(&mut self, denial: &Denial, out: &mut Vec<u8>) {
        if std::mem::replace(&mut self.owed, false) {
            denial.write(out);
        }
    }

    /// Whether its cell lets an attempt go out, or what is to be said instead.
    fn quarantine(&self) -> Result<(), Denial> {
        let shut = |placed: &Placed| {
            placed.attempt(
                self.admitted.idempotency,
                self.may_have_run,
                self.victims.len(),
            )
        };
        let text = "this statement is quarantined";
        match self.admitted.placed.as_ref().map_or(Verdict::Go, shut) {
            Verdict::Go => Ok(()),
            Verdict::Refuse => Err(Denial::Refused(text, None)),
            Verdict::Fail => Err(Denial::Failed(text)),
        }
    }
}

impl Session {
    /// The life of one request, from its arrival to the end of its last attempt. Its final answer is written as soon as it
    /// is decided, where attempts are still out then; otherwise it is appended to `out`.
    pub(super) fn request(
        &mut self,
        statement: Statement,
        received: Micros,
        out: &mut Vec<u8>,
    ) -> Result<(), Ending> {
        let core = self.gateway.core.clone();
        let admitted = match self.admit(&statement, received) {
            Ok(admitted) => admitted,
            Err(denial) => {
                denial.write(out);
                return Ok(());
            }
        };
        let overdue = admitted.due.saturating_add(OVERDUE);
        let _alarm = core.timer.alarm(overdue, self.stream.waker());
        // A cancel that came between two requests is for none of them.
        self.mailbox.clear();
        let id = core.arrive(self.arrival(&statement, &admitted), self.mailbox.clone());
        let mut request = Request {
            id,
            statement: Arc::new(statement),
            admitted,
            attempts: Attempts::default(),
            owed: true,
            may_have_run: false,
            victims: HashSet::new(),
        };
        while request.owed || request.attempts.any_out() {
            // An attempt that was called off may take a while to end: the client hears at once what was decided. What the
            // module wants called off goes first, as a client that reads slowly may hold this up.
            if !request.owed && !out.is_empty() && self.mailbox.is_empty() {
                self.left |= !self.left && self.write(out).is_err();
                out.clear();
            }
            match self.next(request.owed.then_some(overdue)) {
                Notice::Order(Order::Send {
                    member,
                    address,
                    until,
                }) => {
                    self.send(&mut request, (member, address, until), out);
                }
                Notice::Order(Order::Cancel(number)) => request.attempts.call_off(number),
                Notice::Order(Order::Refuse(retry_after)) => {
                    request.deny(&Denial::Refused("refused, try again", retry_after), out);
                }
                Notice::Order(Order::Fail) => request.deny(&Denial::Failed("failed"), out),
                Notice::Ended(number, end) => self.attempt_ended(&mut request, number, end, out),
                Notice::Cancelled if !request.owed => {}
                Notice::Cancelled => {
                    request.deny(&Denial::Cancelled, out);
                    core.departed(id);
                }
                Notice::Left | Notice::Overdue => {
                    if request.owed {
                        warn!(
                            left = self.left,
                            "request ended without the module's answer"
                        );
                    }
                    request.deny(&Denial::Failed("out of time"), out);
                    core.departed(id);
                }
            }
        }
        self.give_back(&mut request);
        core.forget(id);
        let took = core.clock.now().saturating_sub(received);
        let Request {
            statement,
            admitted,
            ..
        } = &request;
        let (class, group, wait) = (admitted.class.0, statement.cluster, statement.wait_ms);
        debug!(request = id.0, class, group, took, wait, "done");
        if self.left {
            return Err(Ending::Left);
        }
        Ok(())
    }

    /// Takes a request in, or says why not.
    fn admit(&self, statement: &Statement, received: Micros) -> Result<Admitted, Denial> {
        let gateway = &self.gateway;
        let (number, class) = gateway
            .class(&statement.class)
            .ok_or(Denial::Invalid("unknown class"))?;
        // A database that got the other's copy first could give one client the answer made for another.
        let name = Name::take(gateway, &statement.id);
        let name = name.ok_or(Denial::Invalid("a request with this id is open"))?;
        // No client waits longer than its class does: a deadline out of all bounds must not hold room.
        let wait = statement.wait_ms.saturating_mul(1000).min(class.deadline);
        let due = received.saturating_add(wait).min(gateway.answers_until());
        if gateway.core.clock.now() >= due {
            // Its time was over before its turn came, behind others: an attempt could not be written any more, and would
            // cost the connection that it takes.
            debug!(
                class = number.0,
                wait = statement.wait_ms,
                "out of time before its turn"
            );
            return Err(Denial::Failed("out of time"));
        }
        let placed = self.placed(statement, class.consistency)?;
        Ok(Admitted {
            class: number,
            idempotency: class.idempotency,
            consistency: class.consistency,
            due,
            placed,
            _name: name,
        })
    }

    /// Where a request's tenant lives, with a place in its cell; nothing where cells are off.
    fn placed(
        &self,
        statement: &Statement,
        consistency: ConsistencyLevel,
    ) -> Result<Option<Placed>, Refusal> {
        let Some(cells) = &self.gateway.cells else {
            return Ok(None);
        };
        let comment = if cells.by_statement {
            statement.comment()
        } else {
            Vec::new()
        };
        let client = &self.client;
        let (user, application, address) =
            (&client.user, &client.application, Some(client.address));
        let caller = Caller {
            user,
            application,
            address,
            comment: &comment,
        };
        let target = (statement.cluster, &statement.key[..]);
        let placed = cells.admit(
            &caller,
            target,
            statement.text(),
            consistency == ConsistencyLevel::Write,
        )?;
        // It would wait in vain: nothing of another cell may serve it.
        if self.gateway.core.lost(placed.admitted.group) {
            return Err(Refusal::Lost(LOST));
        }
        Ok(Some(placed))
    }

    /// What the module is told of a request.
    fn arrival(&self, statement: &Statement, admitted: &Admitted) -> Arrival {
        let now = self.gateway.core.clock.now();
        let Admitted {
            class,
            consistency,
            due,
            placed,
            ..
        } = admitted;
        let in_session = matches!(
            consistency,
            ConsistencyLevel::Write | ConsistencyLevel::Session
        );
        let after = statement.after.map(|after| after.saturating_mul(1000));
        let since_write = after
            .filter(|after| *after > 0)
            .map(|after| now.saturating_sub(after));
        // Just moved: replicas of the new home may lack what the session wrote in the old one.
        let settling = *consistency == ConsistencyLevel::Session
            && placed.as_ref().is_some_and(|p| p.admitted.settling);
        Arrival {
            request: RequestId(0),
            class: *class,
            tenant: TenantId(0),
            session: in_session.then(|| session_id(&statement.key)),
            due: *due,
            estimate: None,
            group: placed
                .as_ref()
                .map_or(GroupId(statement.cluster), |placed| placed.admitted.group),
            since_write: if settling { Some(0) } else { since_write },
        }
    }

    /// What comes next for the request in hand.
    fn next(&mut self, overdue: Option<Micros>) -> Notice {
        loop {
            // Before any order is taken: for a client that has left nothing is begun. What it sends ahead stays in the
            // buffer, up to a limit; what is beyond that only the socket can tell.
            if !self.left && self.client_has_left() {
                self.left = true;
                return Notice::Left;
            }
            if let Some(notice) = self.mailbox.take() {
                return notice;
            }
            if overdue.is_some_and(|at| self.gateway.core.clock.now() >= at) {
                return Notice::Overdue;
            }
            self.stream.wait();
        }
    }

    /// Reads on, but not in a drain, and says whether the client has closed its connection or sending on it.
    fn client_has_left(&mut self) -> bool {
        let draining = self.gateway.is_draining();
        while !draining && self.stream.buffer.data().len() < pg::MAX_MESSAGE_BYTES {
            match self.stream.read_now() {
                Ok(Some(0)) | Err(_) => return true,
                Ok(Some(_)) => {}
                Ok(None) => return false,
            }
        }
        self.stream.has_left()
    }

    /// Begins an attempt that was ordered, unless nothing is to be begun any more.
    fn send(
        &self,
        request: &mut Request,
        (member, address, until): (MemberId, SocketAddr, Micros),
        out: &mut Vec<u8>,
    ) {
        let (gateway, mailbox) = (self.gateway.clone(), self.mailbox.clone());
        let id = request.id;
        // It may have been ordered in the moment in which the client left or the time was over.
        if request.owed {
            debug!(
                request = id.0,
                class = request.admitted.class.0,
                member = member.0,
                due = request.admitted.due,
                "send"
            );
            if let Err(denial) = request.quarantine() {
                request.deny(&denial, out);
            }
        }
        if !request.owed {
            gateway.core.ended(never_sent(id, request.attempts.skip()));
            return;
        }
        let token = Arc::new(CancellationToken::new(until));
        let ordered = gateway.core.clock.now();
        let number = request.attempts.begin(Attempt {
            ordered,
            member,
            token: token.clone(),
        });
        let statement = request.statement.clone();
        spawn(move || {
            let may_write = || gateway.core.may_write(id, member);
            let end = attempt::run(&gateway.pool, address, &statement, &token, may_write);
            mailbox.post(Notice::Ended(number, end));
        });
    }

    /// Takes an attempt's end in, and tells the module.
    fn attempt_ended(
        &self,
        request: &mut Request,
        number: AttemptNo,
        end: AttemptResult,
        out: &mut Vec<u8>,
    ) {
        let Some(attempt) = request.attempts.end(number) else {
            return;
        };
        let core = &self.gateway.core;
        let (outcome, role) = (end.outcome, end.answer_report.role);
        let served = outcome == Outcome::Served;
        let finished = served || !request.owed;
        request.may_have_run |= !served && !outcome.proves_no_effect();
        if let Some(placed) = &request.admitted.placed {
            placed.attempted(attempt.member, outcome);
            request
                .victims
                .extend((outcome == Outcome::Reset).then_some(attempt.member));
        }
        if served && std::mem::replace(&mut request.owed, false) {
            out.extend_from_slice(&end.rows);
        }
        let latency = core.clock.now().saturating_sub(attempt.ordered);
        debug!(
            request = request.id.0,
            attempt = number.0,
            ?outcome,
            ?role,
            latency
        );
        core.ended(AttemptEnded {
            request: request.id,
            attempt: number,
            outcome,
            latency,
            answer_report: end.answer_report,
            load_report: MemberReport::default(),
            answer: if finished {
                AnswerStatus::Finished
            } else {
                AnswerStatus::Owed
            },
        });
    }

    /// Drops what is left for a request that is over. Sends that were ordered and never made are given back: the module
    /// would wait for their ends.
    fn give_back(&self, request: &mut Request) {
        while let Some(notice) = self.mailbox.take() {
            if matches!(notice, Notice::Order(Order::Send { .. })) {
                self.gateway
                    .core
                    .ended(never_sent(request.id, request.attempts.skip()));
            }
        }
    }
}

/// How an attempt ended that was ordered and never begun, with its request.
fn never_sent(request: RequestId, attempt: AttemptNo) -> AttemptEnded {
    AttemptEnded {
        request,
        attempt,
        outcome: Outcome::NotSent,
        latency: 0,
        answer_report: MemberReport::default(),
        load_report: MemberReport::default(),
        answer: AnswerStatus::Finished,
    }
}

fn session_id(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}

//! One attempt at a server, from acquiring a connection to the outcome.
//!
//! The statement is written at most once per attempt; an attempt that ends before its answer is complete closes its
//! connection, unless nothing was written to it.

use crate::postgres::{Answer, Statement};
use crate::request::cancellation::CancellationToken;
use crate::request::outcome;
use crate::request::pool::Pool;
use crate::request::round_trip::{round_trip, ConnectionError};
use crate::request::write_gate::{WriteGate, WriteRefusal};
use crate::runtime::memory::Reservation;
use crate::runtime::turns::Owner;
use asterreel::interface::{MemberReport, Micros, Outcome};
use asterreel::memory::Purpose;
use std::net::SocketAddr;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    /// The attempt's outcome, which says what may have run.
    pub outcome: Outcome,
    /// Why the statement was not written to its end, where that was forbidden.
    pub refusal: Option<WriteRefusal>,
    /// What the server reported about itself with its answer.
    pub answer_report: MemberReport,
    /// The messages of the row as the server sent them; empty unless the attempt was served.
    pub rows: Vec<u8>,
    /// The memory that the rows take.
    pub memory: Option<Reservation>,
}

impl AttemptResult {
    fn without_connection(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            refusal: None,
            answer_report: MemberReport::default(),
            rows: Vec::new(),
            memory: None,
        }
    }
}

/// Makes one attempt. `gate` is asked before each write of the statement, and the attempt ends as not sent if it has no
/// connection by `send_by`.
pub(crate) fn run(
    pool: &Pool,
    address: SocketAddr,
    statement: &Statement,
    token: &CancellationToken,
    send_by: Micros,
    gate: &dyn WriteGate,
) -> AttemptResult {
    let mut connection = match pool.acquire(address, send_by) {
        Ok(connection) => connection,
        Err(error) => {
            let deadline_passed = pool.clock.now() >= send_by;
            let outcome = outcome::without_connection(error, deadline_passed);
            return AttemptResult::without_connection(outcome);
        }
    };
    let left_us = token.deadline.saturating_sub(pool.clock.now());
    let query = statement.forward((left_us / 1000).max(1));
    let mut answer = Answer::default();
    let ended = round_trip(
        &mut connection.stream,
        query,
        gate,
        &mut answer,
        token,
        pool.clock,
    );
    pool.release_if_complete(address, connection, ended, &answer);
    let outcome = outcome::of_round_trip(ended, answer.result.as_ref(), token.is_cancelled());
    let refusal = match ended {
        Err(ConnectionError::Refused { refusal, .. }) => Some(refusal),
        _ => None,
    };
    let owner = Owner::Server(address);
    let memory = Reservation::of_held(owner, Purpose::Answer, answer.rows.len());
    AttemptResult {
        outcome,
        refusal,
        answer_report: answer.report,
        rows: answer.rows,
        memory: Some(memory),
    }
}

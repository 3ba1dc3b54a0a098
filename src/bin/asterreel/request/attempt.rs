//! One attempt at a server, from acquiring a connection to the outcome.
//!
//! The statement is written at most once per attempt; an attempt that ends before its answer is complete closes its
//! connection.

use crate::postgres::{Answer, Statement};
use crate::request::cancellation::CancellationToken;
use crate::request::outcome;
use crate::request::pool::Pool;
use crate::request::round_trip::round_trip;
use asterreel::interface::{MemberReport, Outcome};
use std::net::SocketAddr;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    /// The attempt's outcome, which says what may have run.
    pub outcome: Outcome,
    /// What the server reported about itself with its answer.
    pub answer_report: MemberReport,
    /// The messages of the row as the server sent them; empty unless the attempt was served.
    pub rows: Vec<u8>,
}

impl AttemptResult {
    fn without_answer(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            answer_report: MemberReport::default(),
            rows: Vec::new(),
        }
    }
}

/// Makes one attempt. `may_send` is called once, when the connection is ready; if it returns false, nothing is sent.
pub(crate) fn run(
    pool: &Pool,
    address: SocketAddr,
    statement: &Statement,
    token: &CancellationToken,
    may_send: impl Fn() -> bool,
) -> AttemptResult {
    let mut connection = match pool.acquire(address, token.deadline) {
        Ok(connection) => connection,
        Err(error) => {
            let deadline_passed = pool.clock.now() >= token.deadline;
            let outcome = outcome::without_connection(error, deadline_passed);
            return AttemptResult::without_answer(outcome);
        }
    };
    // Connecting may have taken long: the staleness bound may have been exceeded, or a drain begun, since the decision.
    if !may_send() {
        pool.release(address, connection);
        return AttemptResult::without_answer(Outcome::NotSent);
    }
    let left_us = token.deadline.saturating_sub(pool.clock.now());
    let query = statement.forward((left_us / 1000).max(1));
    let mut answer = Answer::default();
    let ended = round_trip(
        &mut connection.stream,
        &query,
        &mut answer,
        token,
        pool.clock,
    );
    pool.release_if_complete(address, connection, ended, &answer);
    let outcome = outcome::of_round_trip(ended, answer.result.as_ref(), token.is_cancelled());
    AttemptResult {
        outcome,
        answer_report: answer.report,
        rows: answer.rows,
    }
}

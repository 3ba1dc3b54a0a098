//! Health checks of databases: query the load report once, on a pooled connection or a new one.

use crate::postgres::{self as pg, sqlstate, Answer, QueryResult};
use crate::request::cancellation::CancellationToken;
use crate::request::outcome;
use crate::request::pool::Pool;
use crate::request::round_trip::{round_trip, ConnectionError};
use crate::request::write_gate::UntilStopped;
use asterreel::interface::{MemberReport, Outcome};
use std::net::SocketAddr;

/// The query for the load report.
const REPORT_QUERY: &str = "SHOW usage";

/// Checks a database; returns the outcome, and the report if the query was served. The check fails if it takes longer than
/// the pool's timeout for connecting.
pub(crate) fn run(pool: &Pool, address: SocketAddr) -> (Outcome, MemberReport) {
    let token = CancellationToken::new(pool.clock.now() + pool.connect_timeout);
    let mut connection = match pool.acquire(address, token.deadline) {
        Ok(connection) => connection,
        // A lack of descriptors in this process is no failure of the database.
        Err(fault) => match outcome::without_connection(fault, false) {
            Outcome::NotSent => return (Outcome::Rejected, MemberReport::default()),
            outcome => return (outcome, MemberReport::default()),
        },
    };
    let mut answer = Answer::default();
    let query = pg::simple_query(REPORT_QUERY);
    let gate = UntilStopped {
        token: &token,
        clock: pool.clock,
    };
    let end = round_trip(
        &mut connection.stream,
        query,
        &gate,
        &mut answer,
        &token,
        pool.clock,
    );
    pool.release_if_complete(address, connection, end, &answer);
    match (&answer.result, end) {
        (Some(QueryResult::Row), _) => (
            Outcome::Served,
            answer.value().map(pg::load_report).unwrap_or_default(),
        ),
        (Some(QueryResult::Error(code)), _) if is_rejection(*code) => {
            (Outcome::Rejected, MemberReport::default())
        }
        (_, Err(ConnectionError::Stopped { .. })) => (Outcome::TimedOut, MemberReport::default()),
        (_, Err(ConnectionError::Lost { .. })) => (Outcome::Reset, MemberReport::default()),
        _ => (Outcome::Error, MemberReport::default()),
    }
}

/// Whether the error says that the database is up, but accepts no connections at the moment.
fn is_rejection(code: sqlstate::SqlState) -> bool {
    matches!(
        code,
        sqlstate::TOO_MANY_CONNECTIONS | sqlstate::CANNOT_CONNECT_NOW
    )
}

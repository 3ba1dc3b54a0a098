//! Health checks of databases: one query for the load report, on a pooled connection or a new one.

use crate::attempt::{exchange, finish, unconnected, Broken, Stop};
use crate::pg::{self, Answer, Verdict};
use crate::pool::Pool;
use asterreel::interface::{MemberReport, Outcome};
use std::net::SocketAddr;

/// The query for the load report.
const REPORT_QUERY: &str = "SHOW usage";
/// SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &[u8] = b"53300";
/// SQLSTATE `cannot_connect_now`: the database starts up or shuts down.
const CANNOT_CONNECT_NOW: &[u8] = b"57P03";

/// Checks a database; returns the outcome, and its report where it was served. A check that takes longer than a connection
/// may has failed.
pub(crate) fn run(pool: &Pool, address: SocketAddr) -> (Outcome, MemberReport) {
    let stop = Stop::at(pool.clock.now() + pool.connect_timeout);
    let mut connection = match pool
        .take(address)
        .map_or_else(|| pool.open(address, stop.at), Ok)
    {
        Ok(connection) => connection,
        // A lack of descriptors here says nothing of the database.
        Err(fault) => match unconnected(fault, false) {
            Outcome::NotSent => return (Outcome::Rejected, MemberReport::default()),
            outcome => return (outcome, MemberReport::default()),
        },
    };
    let mut answer = Answer::default();
    let query = pg::simple_query(REPORT_QUERY);
    let end = exchange(
        &mut connection.stream,
        &query,
        &mut answer,
        &stop,
        pool.clock,
    );
    finish(pool, address, connection, end, &answer);
    match (&answer.verdict, end) {
        (Some(Verdict::Row), _) => (
            Outcome::Served,
            answer.value().map(pg::report).unwrap_or_default(),
        ),
        (Some(Verdict::Error(code)), _) if is_rejection(code) => {
            (Outcome::Rejected, MemberReport::default())
        }
        (_, Err(Broken::Stopped { .. })) => (Outcome::TimedOut, MemberReport::default()),
        (_, Err(Broken::Connection { .. })) => (Outcome::Reset, MemberReport::default()),
        _ => (Outcome::Error, MemberReport::default()),
    }
}

/// Whether an error says that the database is up and takes no connections now.
fn is_rejection(sqlstate: &[u8]) -> bool {
    sqlstate == TOO_MANY_CONNECTIONS || sqlstate == CANNOT_CONNECT_NOW
}

//! The table of outcomes: what an attempt that ended in some way proves about what ran.

use crate::postgres::{sqlstate, QueryResult};
use crate::request::pool::AcquireError;
use crate::request::round_trip::ConnectionError;
use asterreel::interface::Outcome;

/// The outcome of an attempt that got no connection: nothing ran, whatever the reason.
pub(crate) fn without_connection(error: AcquireError, deadline_passed: bool) -> Outcome {
    match error {
        AcquireError::Rejected => Outcome::Rejected,
        AcquireError::NoCapacity => Outcome::NotSent,
        AcquireError::ConnectFailed if deadline_passed => Outcome::NotSent,
        AcquireError::ConnectFailed => Outcome::ConnectFailed,
    }
}

/// The outcome of an attempt whose round trip ended like this, with this result if one came.
pub(crate) fn of_round_trip(
    round_trip: Result<(), ConnectionError>,
    result: Option<&QueryResult>,
    cancelled: bool,
) -> Outcome {
    match (result, round_trip) {
        (Some(QueryResult::Row), _) => Outcome::Served,
        (Some(QueryResult::Error(code)), _) => match *code {
            sqlstate::READ_ONLY_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => Outcome::Misrouted,
            sqlstate::TOO_MANY_CONNECTIONS => Outcome::Rejected,
            // Any other member would answer alike, and a retry would count as a failure of each.
            code if code.is_invalid_statement() => Outcome::InvalidRequest,
            _ => Outcome::Error,
        },
        // A server starts a query once its last byte has come: one not written to its end never runs.
        (None, Err(ConnectionError::Lost { written: false })) => Outcome::ConnectFailed,
        (None, Err(ConnectionError::Stopped { written: false })) => Outcome::NotSent,
        (None, Err(ConnectionError::Lost { written: true })) => Outcome::Reset,
        (None, Err(ConnectionError::Stopped { written: true })) if cancelled => Outcome::Cancelled,
        (None, Err(ConnectionError::Stopped { written: true })) => Outcome::TimedOut,
        (None, Ok(()) | Err(ConnectionError::Malformed)) => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;

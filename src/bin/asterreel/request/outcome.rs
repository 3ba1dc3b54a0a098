//! The outcome of an attempt: what the way it ended proves about whether the statement ran.

use crate::postgres::{sqlstate, QueryResult};
use crate::request::pool::AcquireError;
use crate::request::round_trip::ConnectionError;
use crate::request::write_gate::WriteRefusal;
use asterreel::interface::Outcome;

/// The outcome of an attempt that got no connection. Nothing was sent, whatever the reason.
pub(crate) fn without_connection(error: AcquireError, deadline_passed: bool) -> Outcome {
    match error {
        AcquireError::Rejected => Outcome::Rejected,
        AcquireError::NoCapacity => Outcome::NotSent,
        AcquireError::ConnectFailed if deadline_passed => Outcome::NotSent,
        AcquireError::ConnectFailed => Outcome::ConnectFailed,
    }
}

/// The outcome of an attempt from the end of its round trip, the result that was received, if any, and whether the
/// attempt was cancelled.
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
            // Any other member would answer the same, and each retry would be counted as a failure of its member.
            code if code.is_invalid_statement() => Outcome::InvalidRequest,
            _ => Outcome::Error,
        },
        // A server runs a query only once its last byte has arrived: one that was not written completely never runs.
        (
            None,
            Err(
                ConnectionError::Lost { written: false }
                | ConnectionError::Refused {
                    refusal: WriteRefusal::Stalled,
                    ..
                },
            ),
        ) => Outcome::ConnectFailed,
        (
            None,
            Err(ConnectionError::Stopped { written: false } | ConnectionError::Refused { .. }),
        ) => Outcome::NotSent,
        (None, Err(ConnectionError::Lost { written: true })) => Outcome::Reset,
        (None, Err(ConnectionError::Stopped { written: true })) if cancelled => Outcome::Cancelled,
        (None, Err(ConnectionError::Stopped { written: true })) => Outcome::TimedOut,
        (None, Ok(()) | Err(ConnectionError::Malformed)) => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;

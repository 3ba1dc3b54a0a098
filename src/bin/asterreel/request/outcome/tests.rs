use super::*;
use crate::postgres::sqlstate::SqlState;

fn error(code: &[u8; 5]) -> Option<QueryResult> {
    Some(QueryResult::Error(SqlState(*code)))
}

#[test]
fn round_trip_end_decides_what_can_have_run() {
    let lost = |written| Err(ConnectionError::Lost { written });
    let stopped = |written| Err(ConnectionError::Stopped { written });
    let refused = |refusal| {
        let begun = true;
        Err(ConnectionError::Refused { refusal, begun })
    };
    let row = Some(QueryResult::Row);
    let cases = [
        (Ok(()), row.clone(), false, Outcome::Served),
        // A row makes the attempt served, even if the connection breaks before the report.
        (lost(true), row, false, Outcome::Served),
        (Ok(()), error(b"25006"), false, Outcome::Misrouted),
        (Ok(()), error(b"72000"), false, Outcome::Misrouted),
        (Ok(()), error(b"XX000"), false, Outcome::Error),
        (Ok(()), error(b"53300"), false, Outcome::Rejected),
        (Ok(()), error(b"42601"), false, Outcome::InvalidRequest),
        (Ok(()), error(b"08P01"), false, Outcome::InvalidRequest),
        // Only the codes above prove that nothing ran; a shutdown notice does not.
        (lost(true), error(b"57P03"), false, Outcome::Error),
        (lost(false), None, false, Outcome::ConnectFailed),
        (lost(true), None, false, Outcome::Reset),
        (stopped(false), None, true, Outcome::NotSent),
        (
            refused(WriteRefusal::ClientGone),
            None,
            false,
            Outcome::NotSent,
        ),
        // A server that takes no bytes is at fault.
        (
            refused(WriteRefusal::Stalled),
            None,
            false,
            Outcome::ConnectFailed,
        ),
        (stopped(true), None, true, Outcome::Cancelled),
        (stopped(true), None, false, Outcome::TimedOut),
        (Err(ConnectionError::Malformed), None, false, Outcome::Error),
        (Ok(()), None, false, Outcome::Error),
    ];
    for (ended, result, cancelled, expected) in cases {
        assert_eq!(
            of_round_trip(ended, result.as_ref(), cancelled),
            expected,
            "{ended:?} {result:?}"
        );
    }
}

/// Without a connection nothing ran. Only failures that the member caused may count against it.
#[test]
fn missing_connection_maps_to_outcome_by_cause() {
    assert_eq!(
        without_connection(AcquireError::Rejected, false),
        Outcome::Rejected
    );
    assert_eq!(
        without_connection(AcquireError::NoCapacity, false),
        Outcome::NotSent
    );
    assert_eq!(
        without_connection(AcquireError::ConnectFailed, true),
        Outcome::NotSent
    );
    assert_eq!(
        without_connection(AcquireError::ConnectFailed, false),
        Outcome::ConnectFailed
    );
}

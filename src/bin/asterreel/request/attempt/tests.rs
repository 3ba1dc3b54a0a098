use super::*;
use crate::postgres::sqlstate::SqlState;

fn error(code: &[u8; 5]) -> Option<QueryResult> {
    Some(QueryResult::Error(SqlState(*code)))
}

#[test]
fn every_ending_maps_to_whether_it_can_have_run() {
    let broken = |written| Err(Broken::Connection { written });
    let stopped = |written| Err(Broken::Stopped { written });
    let cases = [
        (Ok(()), Some(QueryResult::Row), false, Outcome::Served),
        // Served is served, even if the connection breaks before the note.
        (broken(true), Some(QueryResult::Row), false, Outcome::Served),
        (Ok(()), error(b"25006"), false, Outcome::Misrouted),
        (Ok(()), error(b"72000"), false, Outcome::Misrouted),
        (Ok(()), error(b"XX000"), false, Outcome::Error),
        (Ok(()), error(b"53300"), false, Outcome::Rejected),
        (Ok(()), error(b"42601"), false, Outcome::InvalidRequest),
        (Ok(()), error(b"08P01"), false, Outcome::InvalidRequest),
        // Only the codes of the table prove anything; a shutdown notice does not.
        (broken(true), error(b"57P03"), false, Outcome::Error),
        (broken(false), None, false, Outcome::ConnectFailed),
        (broken(true), None, false, Outcome::Reset),
        (stopped(false), None, true, Outcome::NotSent),
        (stopped(true), None, true, Outcome::Cancelled),
        (stopped(true), None, false, Outcome::TimedOut),
        (Err(Broken::Malformed), None, false, Outcome::Error),
        (Ok(()), None, false, Outcome::Error),
    ];
    for (end, verdict, called_off, wanted) in cases {
        assert_eq!(
            outcome(end, verdict.as_ref(), called_off),
            wanted,
            "{end:?} {verdict:?}"
        );
    }
}

#[test]
fn without_a_connection_nothing_ran_and_only_the_member_is_blamed_for_what_it_did() {
    assert_eq!(
        unconnected(NoConnection::TurnedAway, false),
        Outcome::Rejected
    );
    assert_eq!(unconnected(NoConnection::NoRoom, false), Outcome::NotSent);
    assert_eq!(unconnected(NoConnection::Failed, true), Outcome::NotSent);
    assert_eq!(
        unconnected(NoConnection::Failed, false),
        Outcome::ConnectFailed
    );
}

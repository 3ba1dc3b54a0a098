use super::super::{Reason, State};
use super::*;
use crate::fuzz;

fn startup(database: &str) -> Vec<u8> {
    let parameters = format!("user\0web\0database\0{database}\0\0");
    let length = (parameters.len() as u32 + 8).to_be_bytes();
    [&length[..], &[0, 3, 0, 0], parameters.as_bytes()].concat()
}

fn status(state: State, weight: u8) -> Option<Status> {
    Some(Status {
        state,
        weight,
        reason: Reason::Fine,
    })
}

#[test]
fn startup_after_refused_encryption_is_answered_by_status() {
    let (mut check, mut out) = (Check::default(), Vec::new());
    let ssl = [0, 0, 0, 8, 4, 210, 22, 47];
    assert_eq!(check.process(&ssl, &mut out), (8, Next::Read));
    assert_eq!(out, b"N");
    let start = startup("orders");
    assert_eq!(check.process(&start[..9], &mut out), (0, Next::Read));
    assert_eq!(
        check.process(&start, &mut out),
        (start.len(), Next::AnswerStartup(None))
    );
    assert!(!answer_startup(status(State::Up, 100), &mut out) && out.ends_with(b"Z\0\0\0\x05I"));
    assert_eq!(check.process(b"X\0\0\0\x04", &mut out), (5, Next::Close));
    let mut out = Vec::new();
    assert!(answer_startup(status(State::Draining, 0), &mut out));
    assert!(out.starts_with(b"E") && out.windows(6).any(|at| at == b"C57P03"));
}

#[test]
fn database_name_selects_group_and_invalid_messages_close() {
    let next = |bytes: &[u8]| Check::default().process(bytes, &mut Vec::new()).1;
    assert_eq!(
        next(&startup("group-7")),
        Next::AnswerStartup(Some(GroupId(7)))
    );
    assert_eq!(next(&startup("groupx")), Next::AnswerStartup(None));
    assert_eq!(next(b"\xff\xff\xff\xff"), Next::Close);
    assert_eq!(next(b"\0\0\0\x08\0\x02\0\0"), Next::Close);
    assert_eq!(
        next(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0"),
        Next::Close,
        "a cancel request"
    );
    let mut check = Check {
        startup_done: true,
        encryption_requested: false,
    };
    assert_eq!(check.process(b"Q", &mut Vec::new()), (1, Next::Close));
}

#[test]
fn partial_startup_is_awaited_and_random_bytes_are_bounded() {
    let whole = startup("group-7");
    fuzz::cuts(&whole, |ends| {
        for end in ends {
            let (used, next) = Check::default().process(&whole[..*end], &mut Vec::new());
            let wanted = if *end == whole.len() {
                (*end, Next::AnswerStartup(Some(GroupId(7))))
            } else {
                (0, Next::Read)
            };
            assert_eq!((used, next), wanted);
        }
    });
    fuzz::garbage(&whole, |bytes| {
        let mut out = Vec::new();
        let (used, next) = Check::default().process(bytes, &mut out);
        assert!(used <= bytes.len() && out.len() < 256);
        assert!(next != Next::Read || used > 0 || bytes.len() < MAX_STARTUP_BYTES);
    });
}

use super::super::{Reason, State};
use super::*;
use crate::fuzz;

fn startup(database: &str) -> Vec<u8> {
    let words = format!("user\0web\0database\0{database}\0\0");
    let length = (words.len() as u32 + 8).to_be_bytes();
    [&length[..], &[0, 3, 0, 0], words.as_bytes()].concat()
}

fn status(state: State, weight: u8) -> Option<Status> {
    Some(Status {
        state,
        weight,
        reason: Reason::Fine,
    })
}

#[test]
fn encryption_is_refused_once_then_the_startup_is_greeted_as_health_has_it() {
    let (mut check, mut out) = (Check::default(), Vec::new());
    let ssl = [0, 0, 0, 8, 4, 210, 22, 47];
    assert_eq!(check.take(&ssl, &mut out), (8, Next::More));
    assert_eq!(out, b"N");
    let start = startup("orders");
    assert_eq!(check.take(&start[..9], &mut out), (0, Next::More));
    assert_eq!(
        check.take(&start, &mut out),
        (start.len(), Next::Greet(None))
    );
    assert!(!greet(status(State::Up, 100), &mut out) && out.ends_with(b"Z\0\0\0\x05I"));
    assert_eq!(check.take(b"X\0\0\0\x04", &mut out), (5, Next::Close));
    let mut out = Vec::new();
    assert!(greet(status(State::Draining, 0), &mut out));
    assert!(out.starts_with(b"E") && out.windows(6).any(|at| at == b"C57P03"));
}

#[test]
fn a_database_named_for_a_group_selects_it_and_nonsense_ends_the_connection() {
    let next = |bytes: &[u8]| Check::default().take(bytes, &mut Vec::new()).1;
    assert_eq!(next(&startup("group-7")), Next::Greet(Some(GroupId(7))));
    assert_eq!(next(&startup("groupx")), Next::Greet(None));
    assert_eq!(next(b"\xff\xff\xff\xff"), Next::Close);
    assert_eq!(next(b"\0\0\0\x08\0\x02\0\0"), Next::Close);
    assert_eq!(
        next(b"\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\0\0\0\0\0"),
        Next::Close,
        "a cancel request"
    );
    let mut check = Check {
        greeted: true,
        encrypt_asked: false,
    };
    assert_eq!(check.take(b"Q", &mut Vec::new()), (1, Next::Close));
}

#[test]
fn cuts_wait_for_the_rest_and_garbage_is_bounded() {
    let whole = startup("group-7");
    fuzz::cuts(&whole, |ends| {
        for end in ends {
            let (used, next) = Check::default().take(&whole[..*end], &mut Vec::new());
            let wanted = if *end == whole.len() {
                (*end, Next::Greet(Some(GroupId(7))))
            } else {
                (0, Next::More)
            };
            assert_eq!((used, next), wanted);
        }
    });
    fuzz::garbage(&whole, |bytes| {
        let mut out = Vec::new();
        let (used, next) = Check::default().take(bytes, &mut out);
        assert!(used <= bytes.len() && out.len() < 256);
        assert!(next != Next::More || used > 0 || bytes.len() < LONGEST);
    });
}

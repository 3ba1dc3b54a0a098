use super::super::{Reason, State};
use super::*;
use crate::fuzz;

#[test]
fn requests_come_back_from_their_frames_and_never_half() {
    let whole = frame(&Request {
        service: "7".into(),
    });
    assert_eq!(whole, b"\0\0\0\0\x03\x0a\x017");
    for cut in 0..whole.len() {
        assert_eq!(request(&whole[..cut]), Ok(None));
    }
    let found = request(&whole).expect("valid").expect("whole");
    assert_eq!(scope(&found.service), Some(Scope::Group(GroupId(7))));
    assert_eq!((scope(""), scope("orders")), (Some(Scope::Gateway), None));
    assert!(request(b"\x01\0\0\0\0").is_err() && request(b"\0\xff\0\0\0").is_err());
    assert!(request(b"\0\0\0\0\x02\xff\xff").is_err());
}

#[test]
fn only_what_is_ready_serves() {
    let told = |state, weight| {
        serving(Some(Status {
            state,
            weight,
            reason: Reason::Fine,
        }))
    };
    assert_eq!(told(State::Degraded, 10), Serving::Serving);
    assert_eq!(
        (told(State::Degraded, 0), told(State::Hung, 0)),
        (Serving::NotServing, Serving::NotServing)
    );
    assert_eq!(
        frame(&Response {
            status: serving(None) as i32
        }),
        b"\0\0\0\0\x02\x08\x03"
    );
}

#[test]
fn garbage_is_an_error_or_incomplete_and_never_read_past() {
    fuzz::garbage(
        &frame(&Request {
            service: "17".into(),
        }),
        |bytes| {
            if let Ok(Some(found)) = request(bytes) {
                assert!(found.service.len() + 5 <= bytes.len());
            }
        },
    );
}

use super::super::{Reason, State};
use super::*;
use crate::fuzz;

#[test]
fn requests_decode_only_from_whole_frames() {
    let whole = encode_frame(&Request {
        service: "7".into(),
    });
    assert_eq!(whole, b"\0\0\0\0\x03\x0a\x017");
    for cut in 0..whole.len() {
        assert_eq!(decode_request(&whole[..cut]), Ok(None));
    }
    let found = decode_request(&whole).expect("valid").expect("whole");
    assert_eq!(
        service_scope(&found.service),
        Some(Scope::Group(GroupId(7)))
    );
    assert_eq!(
        (service_scope(""), service_scope("orders")),
        (Some(Scope::Gateway), None)
    );
    assert!(decode_request(b"\x01\0\0\0\0").is_err() && decode_request(b"\0\xff\0\0\0").is_err());
    assert!(decode_request(b"\0\0\0\0\x02\xff\xff").is_err());
}

#[test]
fn only_ready_scopes_are_serving() {
    let reported = |state, weight| {
        serving_status(Some(Status {
            state,
            weight,
            reason: Reason::Fine,
        }))
    };
    assert_eq!(reported(State::Degraded, 10), ServingStatus::Serving);
    assert_eq!(
        (reported(State::Degraded, 0), reported(State::Hung, 0)),
        (ServingStatus::NotServing, ServingStatus::NotServing)
    );
    assert_eq!(
        encode_frame(&Response {
            status: serving_status(None) as i32
        }),
        b"\0\0\0\0\x02\x08\x03"
    );
}

#[test]
fn random_bytes_are_never_read_past_their_end() {
    fuzz::garbage(
        &encode_frame(&Request {
            service: "17".into(),
        }),
        |bytes| {
            if let Ok(Some(found)) = decode_request(bytes) {
                assert!(found.service.len() + 5 <= bytes.len());
            }
        },
    );
}

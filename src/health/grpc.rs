//! Messages of the gRPC health checking protocol (grpc/health/v1): a service's name is a group's number, and the
//! empty name is the whole gateway. Framing only; HTTP/2 is the front's.

use super::{Scope, Status};
use crate::interface::GroupId;
use prost::Message;

/// The longest request that is taken in, with its frame.
pub const LONGEST: usize = 256;

/// `HealthCheckRequest`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Request {
    /// Which service is asked for.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// `HealthCheckResponse`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Response {
    /// A [`Serving`].
    #[prost(enumeration = "Serving", tag = "1")]
    pub status: i32,
}

/// `HealthCheckResponse.ServingStatus`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Serving {
    /// Never told here.
    Unknown = 0,
    /// New work is welcome.
    Serving = 1,
    /// It is not.
    NotServing = 2,
    /// Told by `Watch` only.
    ServiceUnknown = 3,
}

/// What a service's name stands for.
pub fn scope(service: &str) -> Option<Scope> {
    if service.is_empty() {
        return Some(Scope::Gateway);
    }
    service.parse().ok().map(|number| Scope::Group(GroupId(number)))
}

/// What is told of a status.
pub fn serving(status: Option<Status>) -> Serving {
    match status {
        None => Serving::ServiceUnknown,
        Some(status) if status.ready() => Serving::Serving,
        Some(_) => Serving::NotServing,
    }
}

/// The request in a frame: nothing while it is not whole, an error when it never will be.
pub fn request(bytes: &[u8]) -> Result<Option<Request>, &'static str> {
    let Some((head, rest)) = bytes.split_first_chunk::<5>() else { return Ok(None) };
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    match (head[0], length) {
        (1, _) => Err("compressed messages are not taken"),
        (0, 0..=LONGEST) if rest.len() < length => Ok(None),
        (0, 0..=LONGEST) => {
            Request::decode(&rest[..length]).map(Some).map_err(|_| "not a HealthCheckRequest")
        }
        _ => Err("frame out of bounds"),
    }
}

/// A message in its frame.
pub fn frame(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    [&[0][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

#[cfg(test)]
mod tests {
    use super::super::{Reason, State};
    use super::*;
    use crate::fuzz;

    #[test]
    fn requests_come_back_from_their_frames_and_never_half() {
        let whole = frame(&Request { service: "7".into() });
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
        let told = |state, weight| serving(Some(Status { state, weight, reason: Reason::Fine }));
        assert_eq!(told(State::Degraded, 10), Serving::Serving);
        assert_eq!(
            (told(State::Degraded, 0), told(State::Hung, 0)),
            (Serving::NotServing, Serving::NotServing)
        );
        assert_eq!(frame(&Response { status: serving(None) as i32 }), b"\0\0\0\0\x02\x08\x03");
    }

    #[test]
    fn garbage_is_an_error_or_incomplete_and_never_read_past() {
        fuzz::garbage(&frame(&Request { service: "17".into() }), |bytes| {
            if let Ok(Some(found)) = request(bytes) {
                assert!(found.service.len() + 5 <= bytes.len());
            }
        });
    }
}

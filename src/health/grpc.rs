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
    service
        .parse()
        .ok()
        .map(|number| Scope::Group(GroupId(number)))
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
///
/// # Errors
///
/// What is wrong with the frame.
pub fn request(bytes: &[u8]) -> Result<Option<Request>, &'static str> {
    let Some((head, rest)) = bytes.split_first_chunk::<5>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    match (head[0], length) {
        (1, _) => Err("compressed messages are not taken"),
        (0, 0..=LONGEST) if rest.len() < length => Ok(None),
        (0, 0..=LONGEST) => Request::decode(&rest[..length])
            .map(Some)
            .map_err(|_| "not a HealthCheckRequest"),
        _ => Err("frame out of bounds"),
    }
}

/// A message in its frame.
pub fn frame(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    [&[0][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

#[cfg(test)]
mod tests;

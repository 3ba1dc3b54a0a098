//! Messages of the gRPC health checking protocol (grpc/health/v1). A service name is a group's number; the empty name
//! stands for the whole gateway. This module only encodes and decodes frames; the gRPC front handles HTTP/2.

use super::{Scope, Status};
use crate::interface::GroupId;
use prost::Message;

/// The longest request that is accepted, in bytes; the gRPC front counts its frame header as well.
pub const MAX_REQUEST_BYTES: usize = 256;

/// `HealthCheckRequest`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Request {
    /// The service to check; empty for the whole gateway.
    #[prost(string, tag = "1")]
    pub service: String,
}

/// `HealthCheckResponse`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Response {
    /// A [`ServingStatus`].
    #[prost(enumeration = "ServingStatus", tag = "1")]
    pub status: i32,
}

/// `HealthCheckResponse.ServingStatus`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ServingStatus {
    /// Part of the protocol; this gateway never sends it.
    Unknown = 0,
    /// New clients should be sent.
    Serving = 1,
    /// No new clients should be sent.
    NotServing = 2,
    /// The service is not known; sent by `Watch` only, as `Check` ends with the status NOT_FOUND.
    ServiceUnknown = 3,
}

/// The scope that a service name stands for; `None` if it is not a number.
pub fn service_scope(service: &str) -> Option<Scope> {
    if service.is_empty() {
        return Some(Scope::Gateway);
    }
    service
        .parse()
        .ok()
        .map(|number| Scope::Group(GroupId(number)))
}

/// The serving status to report for a status; `None` means that the service is not known.
pub fn serving_status(status: Option<Status>) -> ServingStatus {
    match status {
        None => ServingStatus::ServiceUnknown,
        Some(status) if status.ready() => ServingStatus::Serving,
        Some(_) => ServingStatus::NotServing,
    }
}

/// Decodes the request in a frame; `None` while the frame is incomplete.
///
/// # Errors
///
/// What is wrong with the frame.
pub fn decode_request(bytes: &[u8]) -> Result<Option<Request>, &'static str> {
    let Some((header, rest)) = bytes.split_first_chunk::<5>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    match (header[0], length) {
        (1, _) => Err("compressed messages are not supported"),
        (0, 0..=MAX_REQUEST_BYTES) if rest.len() < length => Ok(None),
        (0, 0..=MAX_REQUEST_BYTES) => Request::decode(&rest[..length])
            .map(Some)
            .map_err(|_| "the message is not a HealthCheckRequest"),
        _ => Err("the message is too long or its compression flag is invalid"),
    }
}

/// Encodes a message with its frame header.
pub fn encode_frame(message: &impl Message) -> Vec<u8> {
    let body = message.encode_to_vec();
    [&[0][..], &(body.len() as u32).to_be_bytes(), &body].concat()
}

#[cfg(test)]
mod tests;

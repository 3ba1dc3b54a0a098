//! Wire format of the messages between gateways and control members: one `prost` message per direction, with a `oneof` of
//! its kinds.
//!
//! Lengths are checked before anything is kept. A message that cannot be decoded completely is an error, and no part of it
//! takes effect.

mod to_control;
mod to_gateway;

use super::{Topic, MAX_CONTENT_BYTES};
use crate::codec::{DecodeError, WireIdentity};
use crate::lease::{NodeIdentity, Token};
use prost::Message;

/// Upper bound for the bytes of a message without the contents of versions.
const MAX_OVERHEAD_BYTES: usize = 4 * 1024;
/// Maximum length of a message, bytes: the active and the proposed versions of all topics, and the other fields.
const MAX_MESSAGE_BYTES: usize = 2 * Topic::ALL.len() * MAX_CONTENT_BYTES + MAX_OVERHEAD_BYTES;

/// Decodes a message of at most [`MAX_MESSAGE_BYTES`].
fn decode_bounded<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong("length"));
    }
    Ok(M::decode(bytes)?)
}

/// A gateway's registration on the wire, identified by its token.
#[derive(Clone, PartialEq, Message)]
struct WireRegistration {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    token: u64,
}

impl WireRegistration {
    fn new(identity: NodeIdentity, token: Token) -> WireRegistration {
        WireRegistration {
            identity: identity.into(),
            token: token.0,
        }
    }
}

#[cfg(test)]
mod tests;

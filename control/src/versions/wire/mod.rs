//! How the messages between gateways and control members are written: one `prost` message each way, with one kind each.
//!
//! Lengths are bounded before anything is kept. A message that is not understood completely is an error, and nothing of it
//! takes effect.

mod to_control;
mod to_gateway;

use super::{Topic, MAX_CONTENT_BYTES};
use crate::codec::{DecodeError, WireIdentity};
use crate::lease::{NodeIdentity, Token};
use prost::Message;

/// Bytes of a message beside the contents of versions.
const MAX_OVERHEAD_BYTES: usize = 4 * 1024;
/// The longest message, bytes: the proposed versions of all topics, and what comes with them.
const MAX_MESSAGE_BYTES: usize = Topic::ALL.len() * MAX_CONTENT_BYTES + MAX_OVERHEAD_BYTES;

fn read<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong("length"));
    }
    Ok(M::decode(bytes)?)
}

/// A gateway's registration on the wire, by its token.
#[derive(Clone, PartialEq, Message)]
struct WireRegistration {
    #[prost(message, required, tag = "1")]
    who: WireIdentity,
    #[prost(uint64, tag = "2")]
    token: u64,
}

impl WireRegistration {
    fn new(who: NodeIdentity, token: Token) -> WireRegistration {
        WireRegistration {
            who: who.into(),
            token: token.0,
        }
    }
}

#[cfg(test)]
mod tests;

//! Encodings that log entries and messages share: `prost` messages of identities and reports, the format number of
//! entries, and the errors of decoding either.
//!
//! Tags and types are never changed or reused: stored logs and connected processes of other builds depend on them.

use crate::lease::NodeIdentity;
use crate::versions::{Content, Span, Topic, MAX_CONTENT_BYTES, MAX_SPANS_PER_REPORT};
use prost::Message;

/// The format of entries and snapshots that this build writes, and the only one that it reads: in format 1 all gateways
/// were members of the log.
pub const FORMAT: u32 = 2;

/// Why an entry or a message was not decoded. Nothing of it takes effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Written by a newer build.
    #[error(
        "format {found} is newer than format {FORMAT} of this build; start a build that reads it"
    )]
    Newer {
        /// The format number found.
        found: u32,
    },
    /// Written by an older build, whose entries mean something else.
    #[error(
        "an older build wrote format {found}, and this build reads only format {FORMAT}; stop all control members, remove \
         the log's folder at each, start them, and propose the operator's file again by a SIGHUP to one gateway"
    )]
    Older {
        /// The format number found.
        found: u32,
    },
    /// A part is longer than any build writes it; names the part.
    #[error("the {0} is longer than any build writes")]
    TooLong(&'static str),
    /// The bytes are not a `prost` message of the expected kind.
    #[error("the bytes are damaged: {0}")]
    Damaged(String),
    /// A kind, or a value within it, that this build does not know; names the part.
    #[error("the {0} is missing or unknown to this build")]
    Unknown(&'static str),
}

impl From<prost::DecodeError> for DecodeError {
    fn from(error: prost::DecodeError) -> DecodeError {
        DecodeError::Damaged(error.to_string())
    }
}

/// Decodes the number of a topic.
pub(crate) fn decode_topic(number: u32) -> Result<Topic, DecodeError> {
    Topic::from_number(number).ok_or(DecodeError::Unknown("topic"))
}

/// Checks the length of a content that was received, and returns it with its format.
pub(crate) fn decode_content(format: u32, bytes: Vec<u8>) -> Result<Content, DecodeError> {
    if bytes.len() > MAX_CONTENT_BYTES {
        return Err(DecodeError::TooLong("content"));
    }
    Ok(Content { format, bytes })
}

/// [`NodeIdentity`] on the wire.
#[derive(Clone, Copy, PartialEq, Message)]
pub(crate) struct WireIdentity {
    #[prost(uint32, tag = "1")]
    gateway: u32,
    #[prost(uint32, tag = "2")]
    incarnation: u32,
}

impl From<NodeIdentity> for WireIdentity {
    fn from(identity: NodeIdentity) -> WireIdentity {
        WireIdentity {
            gateway: identity.gateway,
            incarnation: identity.incarnation,
        }
    }
}

impl From<WireIdentity> for NodeIdentity {
    fn from(identity: WireIdentity) -> NodeIdentity {
        NodeIdentity {
            gateway: identity.gateway,
            incarnation: identity.incarnation,
        }
    }
}

/// A gateway's report to the audit on the wire.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireReport {
    #[prost(message, required, tag = "1")]
    pub(crate) identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    #[prost(message, repeated, tag = "3")]
    spans: Vec<WireSpan>,
}

/// [`Span`] on the wire.
#[derive(Clone, PartialEq, Message)]
struct WireSpan {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(uint64, tag = "3")]
    from: u64,
    #[prost(uint64, tag = "4")]
    until: u64,
    #[prost(uint64, tag = "5")]
    count: u64,
}

impl From<&Span> for WireSpan {
    fn from(span: &Span) -> WireSpan {
        WireSpan {
            topic: span.topic.number(),
            number: span.number,
            from: span.from,
            until: span.until,
            count: span.count,
        }
    }
}

impl TryFrom<&WireSpan> for Span {
    type Error = DecodeError;

    fn try_from(span: &WireSpan) -> Result<Span, DecodeError> {
        Ok(Span {
            topic: decode_topic(span.topic)?,
            number: span.number,
            from: span.from,
            until: span.until,
            count: span.count,
        })
    }
}

impl WireReport {
    /// Encodes a report as a message.
    pub(crate) fn new(identity: NodeIdentity, sequence: u64, spans: &[Span]) -> WireReport {
        WireReport {
            identity: identity.into(),
            sequence,
            spans: spans.iter().map(WireSpan::from).collect(),
        }
    }

    /// Decodes the spans; more than [`MAX_SPANS_PER_REPORT`] are an error.
    pub(crate) fn spans(&self) -> Result<Vec<Span>, DecodeError> {
        if self.spans.len() > MAX_SPANS_PER_REPORT {
            return Err(DecodeError::TooLong("list of spans"));
        }
        self.spans.iter().map(Span::try_from).collect()
    }
}

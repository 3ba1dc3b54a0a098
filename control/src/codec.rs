//! What log entries and messages have in common on the wire: `prost` messages of identities and reports, the formats of
//! entries, and the errors of reading either.
//!
//! Tags and types are fixed by the stored logs and by the builds that are connected: they are never reused or changed.

use crate::lease::NodeIdentity;
use crate::versions::{Content, Span, Topic, MAX_CONTENT_BYTES, MAX_SPANS_PER_REPORT};
use prost::Message;

/// The format of entries and snapshots that this build writes, and the only one that it reads: in format 1 all gateways
/// were members of the log.
pub const FORMAT: u32 = 2;

/// Why an entry or a message was not read. Nothing of it takes effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Written by a newer build.
    #[error(
        "it has format {found}, this build reads up to {FORMAT}; start a build that understands it"
    )]
    Newer {
        /// The format it needs.
        found: u32,
    },
    /// Written by an older build, whose entries mean something else.
    #[error(
        "it has format {found} of an older build, this one reads {FORMAT} alone; stop all control members, remove the \
         log's folder at each, start them and offer the file again"
    )]
    Older {
        /// Its format.
        found: u32,
    },
    /// Longer than any build writes; names the part.
    #[error("its {0} is longer than any build writes")]
    TooLong(&'static str),
    /// Not a `prost` message of the expected kind.
    #[error("it is damaged: {0}")]
    Damaged(String),
    /// A kind, or a value within it, that this build does not know; names the part.
    #[error("its {0} is unknown or missing")]
    Unknown(&'static str),
}

impl From<prost::DecodeError> for DecodeError {
    fn from(fault: prost::DecodeError) -> DecodeError {
        DecodeError::Damaged(fault.to_string())
    }
}

/// The topic with a number.
pub(crate) fn topic(number: u32) -> Result<Topic, DecodeError> {
    Topic::from_number(number).ok_or(DecodeError::Unknown("topic"))
}

/// A content from a message, whose length is bounded.
pub(crate) fn content(format: u32, bytes: Vec<u8>) -> Result<Content, DecodeError> {
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

/// An audit report on the wire.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct WireReport {
    #[prost(message, required, tag = "1")]
    pub(crate) who: WireIdentity,
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
            topic: topic(span.topic)?,
            number: span.number,
            from: span.from,
            until: span.until,
            count: span.count,
        })
    }
}

impl WireReport {
    /// The message of a report.
    pub(crate) fn new(who: NodeIdentity, sequence: u64, spans: &[Span]) -> WireReport {
        WireReport {
            who: who.into(),
            sequence,
            spans: spans.iter().map(WireSpan::from).collect(),
        }
    }

    /// The spans that it reports, whose number is bounded.
    pub(crate) fn spans(&self) -> Result<Vec<Span>, DecodeError> {
        if self.spans.len() > MAX_SPANS_PER_REPORT {
            return Err(DecodeError::TooLong("list of spans"));
        }
        self.spans.iter().map(Span::try_from).collect()
    }
}

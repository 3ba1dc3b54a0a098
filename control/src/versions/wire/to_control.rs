//! Encoding and decoding of [`ToControl`].

use super::{decode_bounded, WireRegistration};
use crate::codec::{decode_content, decode_topic, DecodeError, WireIdentity, WireReport};
use crate::lease::{Index, Token};
use crate::versions::{truncate_reason, Formats, ToControl};
use prost::Message;

#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "2")]
    ValidationResult(ValidationResult),
    #[prost(message, tag = "3")]
    ProposeVersion(ProposeVersion),
    #[prost(message, tag = "4")]
    Report(WireReport),
    #[prost(message, tag = "5")]
    Leave(WireRegistration),
}

#[derive(Clone, PartialEq, Message)]
struct Heartbeat {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint32, tag = "2")]
    oldest: u32,
    #[prost(uint32, tag = "3")]
    newest: u32,
    #[prost(uint64, optional, tag = "4")]
    token: Option<u64>,
    #[prost(uint64, tag = "5")]
    sent_at: u64,
    #[prost(uint64, tag = "6")]
    known_index: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ValidationResult {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint32, tag = "3")]
    topic: u32,
    #[prost(uint64, tag = "4")]
    number: u64,
    /// Why the version is invalid; absent if it is valid.
    #[prost(string, optional, tag = "5")]
    reason: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
struct ProposeVersion {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint32, tag = "3")]
    topic: u32,
    #[prost(uint64, tag = "4")]
    replaces: u64,
    #[prost(uint32, tag = "5")]
    format: u32,
    #[prost(bytes = "vec", tag = "6")]
    content: Vec<u8>,
}

impl ToControl {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let kind = Some(Kind::from(self));
        Envelope { kind }.encode_to_vec()
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the bytes cannot be decoded completely.
    pub fn decode(bytes: &[u8]) -> Result<ToControl, DecodeError> {
        let envelope: Envelope = decode_bounded(bytes)?;
        let kind = envelope.kind.ok_or(DecodeError::Unknown("kind"))?;
        kind.try_into()
    }
}

impl From<&ToControl> for Kind {
    fn from(message: &ToControl) -> Kind {
        match message {
            ToControl::Heartbeat {
                identity,
                formats,
                token,
                sent_at,
                known_index,
            } => Kind::Heartbeat(Heartbeat {
                identity: (*identity).into(),
                oldest: formats.oldest,
                newest: formats.newest,
                token: token.map(|token| token.0),
                sent_at: *sent_at,
                known_index: known_index.0,
            }),
            ToControl::ValidationResult {
                identity,
                token,
                topic,
                number,
                result,
            } => Kind::ValidationResult(ValidationResult {
                identity: (*identity).into(),
                token: token.0,
                topic: topic.number(),
                number: *number,
                reason: result.as_ref().err().cloned(),
            }),
            ToControl::ProposeVersion {
                identity,
                token,
                topic,
                replaces,
                content,
            } => Kind::ProposeVersion(ProposeVersion {
                identity: (*identity).into(),
                token: token.0,
                topic: topic.number(),
                replaces: *replaces,
                format: content.format,
                content: content.bytes.clone(),
            }),
            ToControl::Report {
                identity,
                sequence,
                spans,
            } => Kind::Report(WireReport::new(*identity, *sequence, spans)),
            ToControl::Leave { identity, token } => {
                Kind::Leave(WireRegistration::new(*identity, *token))
            }
        }
    }
}

impl TryFrom<Kind> for ToControl {
    type Error = DecodeError;

    fn try_from(kind: Kind) -> Result<ToControl, DecodeError> {
        Ok(match kind {
            Kind::Heartbeat(heartbeat) => ToControl::Heartbeat {
                identity: heartbeat.identity.into(),
                formats: Formats {
                    oldest: heartbeat.oldest,
                    newest: heartbeat.newest,
                },
                token: heartbeat.token.map(Token),
                sent_at: heartbeat.sent_at,
                known_index: Index(heartbeat.known_index),
            },
            Kind::ValidationResult(validation) => ToControl::ValidationResult {
                identity: validation.identity.into(),
                token: Token(validation.token),
                topic: decode_topic(validation.topic)?,
                number: validation.number,
                result: validation
                    .reason
                    .map_or(Ok(()), |reason| Err(truncate_reason(&reason))),
            },
            Kind::ProposeVersion(proposal) => ToControl::ProposeVersion {
                identity: proposal.identity.into(),
                token: Token(proposal.token),
                topic: decode_topic(proposal.topic)?,
                replaces: proposal.replaces,
                content: decode_content(proposal.format, proposal.content)?,
            },
            Kind::Report(report) => ToControl::Report {
                identity: report.identity.into(),
                sequence: report.sequence,
                spans: report.spans()?,
            },
            Kind::Leave(registration) => ToControl::Leave {
                identity: registration.identity.into(),
                token: Token(registration.token),
            },
        })
    }
}

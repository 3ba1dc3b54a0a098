//! Encoding and decoding of [`ToGateway`].

use super::{decode_bounded, WireRegistration};
use crate::codec::{decode_content, decode_topic, DecodeError, WireIdentity};
use crate::lease::{Index, NodeIdentity, Token};
use crate::versions::{truncate_reason, Content, Rejection, ToGateway, Topic, TopicState, Version};
use prost::Message;

#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7")]
    kind: Option<Kind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Kind {
    #[prost(message, tag = "1")]
    RegistrationRenewed(RegistrationRenewed),
    #[prost(message, tag = "2")]
    TopicStates(TopicStates),
    #[prost(message, tag = "3")]
    RegistrationExpired(WireRegistration),
    #[prost(message, tag = "4")]
    RequestRejected(RequestRejected),
    #[prost(message, tag = "5")]
    ProposalRejected(ProposalRejected),
    #[prost(message, tag = "6")]
    ReportCounted(ReportCounted),
    #[prost(message, tag = "7")]
    NotLeader(NotLeader),
}

#[derive(Clone, PartialEq, Message)]
struct RegistrationRenewed {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint64, tag = "3")]
    sent_at: u64,
    #[prost(uint64, tag = "4")]
    required_index: u64,
    #[prost(uint32, tag = "5")]
    registrations: u32,
}

#[derive(Clone, PartialEq, Message)]
struct TopicStates {
    #[prost(uint64, tag = "1")]
    state_index: u64,
    #[prost(uint64, tag = "2")]
    since: u64,
    #[prost(message, repeated, tag = "3")]
    topics: Vec<WireTopicState>,
}

#[derive(Clone, PartialEq, Message)]
struct WireTopicState {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    active: u64,
    #[prost(uint64, tag = "3")]
    previous: u64,
    #[prost(message, optional, tag = "4")]
    proposal: Option<WireVersion>,
    /// The active version with its content; builds before this field ignore it and do not send it.
    #[prost(message, optional, tag = "5")]
    active_version: Option<WireVersion>,
}

#[derive(Clone, PartialEq, Message)]
struct WireVersion {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint32, tag = "2")]
    format: u32,
    #[prost(bytes = "vec", tag = "3")]
    content: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct RequestRejected {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    /// The code of the reason; [`RequestRejected::new`] assigns them.
    #[prost(uint32, tag = "2")]
    code: u32,
    /// The version number or the format that the reason names; 0 if it names neither.
    #[prost(uint64, tag = "3")]
    number: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ProposalRejected {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(message, required, tag = "3")]
    by: WireIdentity,
    #[prost(string, tag = "4")]
    reason: String,
}

#[derive(Clone, PartialEq, Message)]
struct ReportCounted {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

#[derive(Clone, PartialEq, Message)]
struct NotLeader {
    #[prost(uint32, optional, tag = "1")]
    leader: Option<u32>,
}

impl ToGateway {
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
    pub fn decode(bytes: &[u8]) -> Result<ToGateway, DecodeError> {
        let envelope: Envelope = decode_bounded(bytes)?;
        let kind = envelope.kind.ok_or(DecodeError::Unknown("kind"))?;
        kind.try_into()
    }
}

impl From<&ToGateway> for Kind {
    fn from(message: &ToGateway) -> Kind {
        match message {
            ToGateway::RegistrationRenewed {
                identity,
                token,
                sent_at,
                required_index,
                registrations,
            } => Kind::RegistrationRenewed(RegistrationRenewed {
                identity: (*identity).into(),
                token: token.0,
                sent_at: *sent_at,
                required_index: required_index.0,
                registrations: *registrations,
            }),
            ToGateway::TopicStates {
                state_index,
                since,
                topics,
            } => Kind::TopicStates(TopicStates {
                state_index: state_index.0,
                since: since.0,
                topics: topics.iter().map(WireTopicState::from).collect(),
            }),
            ToGateway::RegistrationExpired { identity, token } => {
                Kind::RegistrationExpired(WireRegistration::new(*identity, *token))
            }
            ToGateway::RequestRejected { identity, reason } => {
                Kind::RequestRejected(RequestRejected::new(*identity, *reason))
            }
            ToGateway::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => Kind::ProposalRejected(ProposalRejected {
                topic: topic.number(),
                number: *number,
                by: (*by).into(),
                reason: reason.clone(),
            }),
            ToGateway::ReportCounted { identity, sequence } => Kind::ReportCounted(ReportCounted {
                identity: (*identity).into(),
                sequence: *sequence,
            }),
            ToGateway::NotLeader { leader } => Kind::NotLeader(NotLeader { leader: *leader }),
        }
    }
}

impl TryFrom<Kind> for ToGateway {
    type Error = DecodeError;

    fn try_from(kind: Kind) -> Result<ToGateway, DecodeError> {
        Ok(match kind {
            Kind::RegistrationRenewed(renewed) => ToGateway::RegistrationRenewed {
                identity: renewed.identity.into(),
                token: Token(renewed.token),
                sent_at: renewed.sent_at,
                required_index: Index(renewed.required_index),
                registrations: renewed.registrations,
            },
            Kind::TopicStates(states) => ToGateway::TopicStates {
                state_index: Index(states.state_index),
                since: Index(states.since),
                topics: topic_states(states.topics)?,
            },
            Kind::RegistrationExpired(registration) => ToGateway::RegistrationExpired {
                identity: registration.identity.into(),
                token: Token(registration.token),
            },
            Kind::RequestRejected(rejected) => ToGateway::RequestRejected {
                identity: rejected.identity.into(),
                reason: rejected.reason()?,
            },
            Kind::ProposalRejected(rejected) => ToGateway::ProposalRejected {
                topic: decode_topic(rejected.topic)?,
                number: rejected.number,
                by: rejected.by.into(),
                reason: truncate_reason(&rejected.reason),
            },
            Kind::ReportCounted(counted) => ToGateway::ReportCounted {
                identity: counted.identity.into(),
                sequence: counted.sequence,
            },
            Kind::NotLeader(not_leader) => ToGateway::NotLeader {
                leader: not_leader.leader,
            },
        })
    }
}

fn topic_states(topics: Vec<WireTopicState>) -> Result<Vec<TopicState>, DecodeError> {
    if topics.len() > Topic::ALL.len() {
        return Err(DecodeError::TooLong("list of topics"));
    }
    topics.into_iter().map(TopicState::try_from).collect()
}

/// The content of the active version. One that belongs to another number is an error, as a gateway would act on it.
fn active_content(
    active: u64,
    version: Option<WireVersion>,
) -> Result<Option<Content>, DecodeError> {
    let Some(Version { number, content }) = version.map(Version::try_from).transpose()? else {
        return Ok(None);
    };
    if number != active {
        return Err(DecodeError::Unknown("number of the active version"));
    }
    Ok(Some(content))
}

impl From<&TopicState> for WireTopicState {
    fn from(state: &TopicState) -> WireTopicState {
        WireTopicState {
            topic: state.topic.number(),
            active: state.active,
            previous: state.previous,
            proposal: state.proposal.as_ref().map(WireVersion::from),
            active_version: state.active_content.as_ref().map(|content| WireVersion {
                number: state.active,
                format: content.format,
                content: content.bytes.clone(),
            }),
        }
    }
}

impl TryFrom<WireTopicState> for TopicState {
    type Error = DecodeError;

    fn try_from(state: WireTopicState) -> Result<TopicState, DecodeError> {
        Ok(TopicState {
            topic: decode_topic(state.topic)?,
            active: state.active,
            previous: state.previous,
            active_content: active_content(state.active, state.active_version)?,
            proposal: state.proposal.map(Version::try_from).transpose()?,
        })
    }
}

impl From<&Version> for WireVersion {
    fn from(version: &Version) -> WireVersion {
        WireVersion {
            number: version.number,
            format: version.content.format,
            content: version.content.bytes.clone(),
        }
    }
}

impl TryFrom<WireVersion> for Version {
    type Error = DecodeError;

    fn try_from(version: WireVersion) -> Result<Version, DecodeError> {
        Ok(Version {
            number: version.number,
            content: decode_content(version.format, version.content)?,
        })
    }
}

impl RequestRejected {
    fn new(identity: NodeIdentity, reason: Rejection) -> RequestRejected {
        let (code, number) = match reason {
            Rejection::StaleRegistration => (1, 0),
            Rejection::AlreadyRegistered => (2, 0),
            Rejection::UnsupportedFormat { needed } => (3, needed.into()),
            Rejection::StaleEpoch => (4, 0),
            Rejection::ProposalPending(number) => (5, number),
            Rejection::ActiveVersionChanged(number) => (6, number),
            Rejection::ContentTooLong => (7, 0),
            Rejection::AlreadyDecided => (8, 0),
        };
        RequestRejected {
            identity: identity.into(),
            code,
            number,
        }
    }

    fn reason(&self) -> Result<Rejection, DecodeError> {
        Ok(match self.code {
            1 => Rejection::StaleRegistration,
            2 => Rejection::AlreadyRegistered,
            3 => Rejection::UnsupportedFormat {
                needed: self
                    .number
                    .try_into()
                    .map_err(|_| DecodeError::Unknown("format"))?,
            },
            4 => Rejection::StaleEpoch,
            5 => Rejection::ProposalPending(self.number),
            6 => Rejection::ActiveVersionChanged(self.number),
            7 => Rejection::ContentTooLong,
            8 => Rejection::AlreadyDecided,
            _ => return Err(DecodeError::Unknown("rejection code")),
        })
    }
}

/// A message with this topic state in which the content of the active version has another number.
#[cfg(test)]
pub(super) fn encode_with_active_number(state: &TopicState, number: u64) -> Vec<u8> {
    let mut topic = WireTopicState::from(state);
    if let Some(version) = &mut topic.active_version {
        version.number = number;
    }
    let states = TopicStates {
        state_index: 9,
        since: 0,
        topics: vec![topic],
    };
    let kind = Some(Kind::TopicStates(states));
    Envelope { kind }.encode_to_vec()
}

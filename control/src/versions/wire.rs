//! How messages between gateways and control members are written: `prost` messages, one kind each.
//!
//! Lengths are bounded before anything is kept; what is not understood whole is an error, and nothing of it is taken.

use super::audit::SPANS;
use super::{
    reason_up_to_longest, Content, Formats, Refusal, Span, ToControl, ToGateway, Topic, TopicState,
    LONGEST_CONTENT,
};
use crate::lease::{Index, NodeIdentity, Token};
use crate::state_machine::DecodeError;
use prost::Message;

/// The longest message, bytes: the open versions of all topics, and room for what else it says.
const LONGEST: usize = Topic::ALL.len() * LONGEST_CONTENT + 4 * 1024;

impl ToControl {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = match self {
            ToControl::Heartbeat {
                who,
                formats,
                token,
                sent,
                seen,
            } => FromGateway::Heartbeat(Heartbeat {
                who: Who::of(*who),
                oldest: formats.oldest,
                newest: formats.newest,
                token: token.map(|token| token.0),
                sent: *sent,
                seen: seen.0,
            }),
            ToControl::ValidationResult {
                who,
                token,
                topic,
                number,
                verdict,
            } => FromGateway::Verdict(Verdict {
                who: Who::of(*who),
                token: token.0,
                topic: topic.number(),
                number: *number,
                refused: verdict.as_ref().err().cloned(),
            }),
            ToControl::ProposeVersion {
                who,
                token,
                topic,
                seen,
                content,
            } => FromGateway::Offer(Offer {
                who: Who::of(*who),
                token: token.0,
                topic: topic.number(),
                seen: *seen,
                format: content.format,
                content: content.bytes.clone(),
            }),
            ToControl::Report {
                who,
                sequence,
                spans,
            } => FromGateway::Report(Report::of(*who, *sequence, spans)),
            ToControl::Leave { who, token } => FromGateway::Leave(Registration::of(*who, *token)),
        };
        ControlMessage { body: Some(body) }.encode_to_vec()
    }

    /// What bytes say.
    ///
    /// # Errors
    ///
    /// [`DecodeError`], where they are not understood whole.
    pub fn decode(bytes: &[u8]) -> Result<ToControl, DecodeError> {
        let message: ControlMessage = read(bytes)?;
        Ok(match message.body.ok_or(DecodeError::Unknown("kind"))? {
            FromGateway::Heartbeat(heartbeat) => ToControl::Heartbeat {
                who: heartbeat.who.identity(),
                formats: Formats {
                    oldest: heartbeat.oldest,
                    newest: heartbeat.newest,
                },
                token: heartbeat.token.map(Token),
                sent: heartbeat.sent,
                seen: Index(heartbeat.seen),
            },
            FromGateway::Verdict(verdict) => ToControl::ValidationResult {
                who: verdict.who.identity(),
                token: Token(verdict.token),
                topic: topic(verdict.topic)?,
                number: verdict.number,
                verdict: verdict
                    .refused
                    .map_or(Ok(()), |reason| Err(reason_up_to_longest(&reason))),
            },
            FromGateway::Offer(offer) => ToControl::ProposeVersion {
                who: offer.who.identity(),
                token: Token(offer.token),
                topic: topic(offer.topic)?,
                seen: offer.seen,
                content: content(offer.format, offer.content)?,
            },
            FromGateway::Report(report) => ToControl::Report {
                who: report.who.identity(),
                sequence: report.sequence,
                spans: report.spans()?,
            },
            FromGateway::Leave(registration) => ToControl::Leave {
                who: registration.who.identity(),
                token: Token(registration.token),
            },
        })
    }
}

impl ToGateway {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let body = match self {
            ToGateway::RegistrationRenewed {
                who,
                token,
                sent,
                required,
                registrations,
            } => FromControl::Kept(Kept {
                who: Who::of(*who),
                token: token.0,
                sent: *sent,
                required: required.0,
                registrations: *registrations,
            }),
            ToGateway::TopicStates {
                as_of,
                since,
                topics,
            } => FromControl::State(State {
                as_of: as_of.0,
                since: since.0,
                topics: topics.iter().map(TopicStatus::of).collect(),
            }),
            ToGateway::RegistrationExpired { who, token } => {
                FromControl::Gone(Registration::of(*who, *token))
            }
            ToGateway::RequestRejected { who, why } => {
                FromControl::Refused(Refused::of(*who, *why))
            }
            ToGateway::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => FromControl::Dropped(Dropped {
                topic: topic.number(),
                number: *number,
                by: Who::of(*by),
                reason: reason.clone(),
            }),
            ToGateway::ReportCounted { who, sequence } => FromControl::Reported(Reported {
                who: Who::of(*who),
                sequence: *sequence,
            }),
            ToGateway::NotLeader { leader } => {
                FromControl::Elsewhere(Elsewhere { leader: *leader })
            }
        };
        GatewayMessage { body: Some(body) }.encode_to_vec()
    }

    /// What bytes say.
    ///
    /// # Errors
    ///
    /// [`DecodeError`], where they are not understood whole.
    pub fn decode(bytes: &[u8]) -> Result<ToGateway, DecodeError> {
        let message: GatewayMessage = read(bytes)?;
        Ok(match message.body.ok_or(DecodeError::Unknown("kind"))? {
            FromControl::Kept(kept) => ToGateway::RegistrationRenewed {
                who: kept.who.identity(),
                token: Token(kept.token),
                sent: kept.sent,
                required: Index(kept.required),
                registrations: kept.registrations,
            },
            FromControl::State(state) => {
                if state.topics.len() > Topic::ALL.len() {
                    return Err(DecodeError::TooLong("list of topics"));
                }
                let topics = state.topics.into_iter().map(TopicStatus::state);
                ToGateway::TopicStates {
                    as_of: Index(state.as_of),
                    since: Index(state.since),
                    topics: topics.collect::<Result<_, DecodeError>>()?,
                }
            }
            FromControl::Gone(registration) => ToGateway::RegistrationExpired {
                who: registration.who.identity(),
                token: Token(registration.token),
            },
            FromControl::Refused(refused) => ToGateway::RequestRejected {
                who: refused.who.identity(),
                why: refused.refusal()?,
            },
            FromControl::Dropped(dropped) => ToGateway::ProposalRejected {
                topic: topic(dropped.topic)?,
                number: dropped.number,
                by: dropped.by.identity(),
                reason: reason_up_to_longest(&dropped.reason),
            },
            FromControl::Reported(reported) => ToGateway::ReportCounted {
                who: reported.who.identity(),
                sequence: reported.sequence,
            },
            FromControl::Elsewhere(elsewhere) => ToGateway::NotLeader {
                leader: elsewhere.leader,
            },
        })
    }
}

fn read<M: Message + Default>(bytes: &[u8]) -> Result<M, DecodeError> {
    if bytes.len() > LONGEST {
        return Err(DecodeError::TooLong("length"));
    }
    M::decode(bytes).map_err(|fault| DecodeError::Damaged(fault.to_string()))
}

/// The topic at a place.
pub(crate) fn topic(number: u32) -> Result<Topic, DecodeError> {
    Topic::numbered(number).ok_or(DecodeError::Unknown("topic"))
}

fn content(format: u32, bytes: Vec<u8>) -> Result<Content, DecodeError> {
    if bytes.len() > LONGEST_CONTENT {
        return Err(DecodeError::TooLong("content"));
    }
    Ok(Content { format, bytes })
}

/// The incarnation of a gateway, as it is written.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Who {
    #[prost(uint32, tag = "1")]
    gateway: u32,
    #[prost(uint32, tag = "2")]
    incarnation: u32,
}

impl Who {
    /// How it is written.
    pub(crate) fn of(holder: NodeIdentity) -> Who {
        Who {
            gateway: holder.gateway,
            incarnation: holder.incarnation,
        }
    }

    /// What it says.
    pub(crate) fn identity(&self) -> NodeIdentity {
        NodeIdentity {
            gateway: self.gateway,
            incarnation: self.incarnation,
        }
    }
}

/// A report, as it is written.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Report {
    #[prost(message, required, tag = "1")]
    pub(crate) who: Who,
    #[prost(uint64, tag = "2")]
    pub(crate) sequence: u64,
    #[prost(message, repeated, tag = "3")]
    spans: Vec<Acted>,
}

#[derive(Clone, PartialEq, Message)]
struct Acted {
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

impl Report {
    /// How it is written.
    pub(crate) fn of(who: NodeIdentity, sequence: u64, spans: &[Span]) -> Report {
        let acted = |span: &Span| Acted {
            topic: span.topic.number(),
            number: span.number,
            from: span.from,
            until: span.until,
            count: span.count,
        };
        Report {
            who: Who::of(who),
            sequence,
            spans: spans.iter().map(acted).collect(),
        }
    }

    /// What it says was done.
    pub(crate) fn spans(&self) -> Result<Vec<Span>, DecodeError> {
        if self.spans.len() > SPANS {
            return Err(DecodeError::TooLong("list of spans"));
        }
        let span = |acted: &Acted| {
            Ok(Span {
                topic: topic(acted.topic)?,
                number: acted.number,
                from: acted.from,
                until: acted.until,
                count: acted.count,
            })
        };
        self.spans.iter().map(span).collect()
    }
}

#[derive(Clone, PartialEq, Message)]
struct ControlMessage {
    #[prost(oneof = "FromGateway", tags = "1, 2, 3, 4, 5")]
    body: Option<FromGateway>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum FromGateway {
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "2")]
    Verdict(Verdict),
    #[prost(message, tag = "3")]
    Offer(Offer),
    #[prost(message, tag = "4")]
    Report(Report),
    #[prost(message, tag = "5")]
    Leave(Registration),
}

#[derive(Clone, PartialEq, Message)]
struct Heartbeat {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint32, tag = "2")]
    oldest: u32,
    #[prost(uint32, tag = "3")]
    newest: u32,
    #[prost(uint64, optional, tag = "4")]
    token: Option<u64>,
    #[prost(uint64, tag = "5")]
    sent: u64,
    #[prost(uint64, tag = "6")]
    seen: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Verdict {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint32, tag = "3")]
    topic: u32,
    #[prost(uint64, tag = "4")]
    number: u64,
    /// Why it was refused.
    #[prost(string, optional, tag = "5")]
    refused: Option<String>,
}

#[derive(Clone, PartialEq, Message)]
struct Offer {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint32, tag = "3")]
    topic: u32,
    #[prost(uint64, tag = "4")]
    seen: u64,
    #[prost(uint32, tag = "5")]
    format: u32,
    #[prost(bytes = "vec", tag = "6")]
    content: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct Registration {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    token: u64,
}

impl Registration {
    fn of(who: NodeIdentity, token: Token) -> Registration {
        Registration {
            who: Who::of(who),
            token: token.0,
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct GatewayMessage {
    #[prost(oneof = "FromControl", tags = "1, 2, 3, 4, 5, 6, 7")]
    body: Option<FromControl>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum FromControl {
    #[prost(message, tag = "1")]
    Kept(Kept),
    #[prost(message, tag = "2")]
    State(State),
    #[prost(message, tag = "3")]
    Gone(Registration),
    #[prost(message, tag = "4")]
    Refused(Refused),
    #[prost(message, tag = "5")]
    Dropped(Dropped),
    #[prost(message, tag = "6")]
    Reported(Reported),
    #[prost(message, tag = "7")]
    Elsewhere(Elsewhere),
}

#[derive(Clone, PartialEq, Message)]
struct Kept {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint64, tag = "3")]
    sent: u64,
    #[prost(uint64, tag = "4")]
    required: u64,
    #[prost(uint32, tag = "5")]
    registrations: u32,
}

#[derive(Clone, PartialEq, Message)]
struct State {
    #[prost(uint64, tag = "1")]
    as_of: u64,
    #[prost(uint64, tag = "2")]
    since: u64,
    #[prost(message, repeated, tag = "3")]
    topics: Vec<TopicStatus>,
}

#[derive(Clone, PartialEq, Message)]
struct TopicStatus {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    active: u64,
    #[prost(uint64, tag = "3")]
    before: u64,
    #[prost(message, optional, tag = "4")]
    open: Option<Proposal>,
}

#[derive(Clone, PartialEq, Message)]
struct Proposal {
    #[prost(uint64, tag = "1")]
    number: u64,
    #[prost(uint32, tag = "2")]
    format: u32,
    #[prost(bytes = "vec", tag = "3")]
    content: Vec<u8>,
}

impl TopicStatus {
    fn of(state: &TopicState) -> TopicStatus {
        let open = |(number, content): &(u64, Content)| Proposal {
            number: *number,
            format: content.format,
            content: content.bytes.clone(),
        };
        TopicStatus {
            topic: state.topic.number(),
            active: state.active,
            before: state.before,
            open: state.open.as_ref().map(open),
        }
    }

    fn state(self) -> Result<TopicState, DecodeError> {
        let open = |open: Proposal| Ok((open.number, content(open.format, open.content)?));
        Ok(TopicState {
            topic: topic(self.topic)?,
            active: self.active,
            before: self.before,
            open: self.open.map(open).transpose()?,
        })
    }
}

#[derive(Clone, PartialEq, Message)]
struct Refused {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint32, tag = "2")]
    why: u32,
    /// The version, or the format, that it is about.
    #[prost(uint64, tag = "3")]
    number: u64,
}

impl Refused {
    fn of(who: NodeIdentity, why: Refusal) -> Refused {
        let (why, number) = match why {
            Refusal::Stale => (1, 0),
            Refusal::Occupied => (2, 0),
            Refusal::Format { needed } => (3, needed.into()),
            Refusal::Epoch => (4, 0),
            Refusal::Busy(number) => (5, number),
            Refusal::Behind(number) => (6, number),
            Refusal::TooLong => (7, 0),
            Refusal::Settled => (8, 0),
        };
        Refused {
            who: Who::of(who),
            why,
            number,
        }
    }

    fn refusal(&self) -> Result<Refusal, DecodeError> {
        Ok(match self.why {
            1 => Refusal::Stale,
            2 => Refusal::Occupied,
            3 => {
                let needed =
                    u32::try_from(self.number).map_err(|_| DecodeError::Unknown("format"))?;
                Refusal::Format { needed }
            }
            4 => Refusal::Epoch,
            5 => Refusal::Busy(self.number),
            6 => Refusal::Behind(self.number),
            7 => Refusal::TooLong,
            8 => Refusal::Settled,
            _ => return Err(DecodeError::Unknown("refusal")),
        })
    }
}

#[derive(Clone, PartialEq, Message)]
struct Dropped {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(message, required, tag = "3")]
    by: Who,
    #[prost(string, tag = "4")]
    reason: String,
}

#[derive(Clone, PartialEq, Message)]
struct Reported {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    sequence: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Elsewhere {
    #[prost(uint32, optional, tag = "1")]
    leader: Option<u32>,
}

#[cfg(test)]
mod tests;

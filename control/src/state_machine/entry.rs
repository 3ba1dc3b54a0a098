//! How entries of the log are written: `prost` messages, one kind each, with the format they need.

use super::Command;
use crate::lease::{self, Duty, Index, NodeIdentity, Token};
use crate::versions::{self, topic, Content, Formats, Report, Who};
use prost::Message;

/// The format of entries and snapshots that this build writes, and the only one that it reads: format 1 kept registrations by
/// entries of gateways that were all members of the log.
pub const FORMAT: u32 = 2;

/// Why an entry was not understood. Nothing of it was applied.
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
    /// More than is ever written.
    #[error("its {0} is longer than any build writes")]
    TooLong(&'static str),
    /// Not an entry.
    #[error("it is damaged: {0}")]
    Damaged(String),
    /// A kind, or a value within it, that this build does not know.
    #[error("its {0} is unknown or missing")]
    Unknown(&'static str),
}

#[derive(Clone, PartialEq, Message)]
struct Entry {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 7, 8, 9, 11, 12, 13, 14")]
    body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum Body {
    #[prost(message, tag = "2")]
    Claim(Lease),
    #[prost(message, tag = "3")]
    Renew(Lease),
    #[prost(message, tag = "4")]
    Release(Lease),
    #[prost(message, tag = "5")]
    Join(Registration),
    #[prost(message, tag = "7")]
    Leave(Registration),
    #[prost(message, tag = "8")]
    Expel(Registration),
    #[prost(message, tag = "9")]
    Offer(Change),
    #[prost(message, tag = "11")]
    Report(Report),
    #[prost(message, tag = "12")]
    Refuse(Change),
    #[prost(message, tag = "13")]
    Lead(Who),
    #[prost(message, tag = "14")]
    Accept(Accepted),
}

#[derive(Clone, PartialEq, Message)]
struct Lease {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint32, tag = "2")]
    duty: u32,
    /// The token, or the index that was seen.
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    at: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Registration {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint64, tag = "3")]
    epoch: u64,
    #[prost(uint32, tag = "4")]
    oldest: u32,
    #[prost(uint32, tag = "5")]
    newest: u32,
}

#[derive(Clone, PartialEq, Message)]
struct Change {
    #[prost(message, required, tag = "1")]
    who: Who,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint32, tag = "3")]
    topic: u32,
    /// The version refused, or the one in force when it was offered.
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(uint32, tag = "5")]
    format: u32,
    #[prost(bytes = "vec", tag = "6")]
    content: Vec<u8>,
    /// Why it was refused.
    #[prost(string, tag = "7")]
    reason: String,
}

#[derive(Clone, PartialEq, Message)]
struct Accepted {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(message, repeated, tag = "3")]
    by: Vec<Registration>,
}

/// The bytes of an entry.
pub fn encode(command: &Command) -> Vec<u8> {
    let body = match command {
        Command::Lease(command) => lease_body(command),
        Command::Version(command) => version_body(command),
    };
    Entry {
        format: FORMAT,
        body: Some(body),
    }
    .encode_to_vec()
}

fn lease_body(command: &lease::Command) -> Body {
    let duty = command.duty().0.into();
    let who = Who::of(command.holder());
    match *command {
        lease::Command::Claim { seen, at, .. } => Body::Claim(Lease {
            who,
            duty,
            number: seen.0,
            at,
        }),
        lease::Command::Renew { token, at, .. } => Body::Renew(Lease {
            who,
            duty,
            number: token.0,
            at,
        }),
        lease::Command::Release { token, .. } => Body::Release(Lease {
            who,
            duty,
            number: token.0,
            at: 0,
        }),
    }
}

fn version_body(command: &versions::Command) -> Body {
    use versions::Command as V;
    match command {
        V::BeginEpoch { who } => Body::Lead(Who::of(*who)),
        V::Join { who, formats } => Body::Join(Registration {
            oldest: formats.oldest,
            newest: formats.newest,
            ..registration(*who, Token(0))
        }),
        V::Leave { who, token } => Body::Leave(registration(*who, *token)),
        V::Expire { who, token, epoch } => Body::Expel(Registration {
            epoch: epoch.0,
            ..registration(*who, *token)
        }),
        V::ProposeVersion {
            who,
            token,
            topic,
            seen,
            content,
        } => Body::Offer(Change {
            who: Who::of(*who),
            token: token.0,
            topic: topic.number(),
            number: *seen,
            format: content.format,
            content: content.bytes.clone(),
            reason: String::new(),
        }),
        V::Ack { topic, number, by } => Body::Accept(Accepted {
            topic: topic.number(),
            number: *number,
            by: by
                .iter()
                .map(|(who, token)| registration(*who, *token))
                .collect(),
        }),
        V::Nack {
            who,
            token,
            topic,
            number,
            reason,
        } => Body::Refuse(Change {
            who: Who::of(*who),
            token: token.0,
            topic: topic.number(),
            number: *number,
            format: 0,
            content: Vec::new(),
            reason: reason.clone(),
        }),
        V::Report {
            who,
            sequence,
            spans,
        } => Body::Report(Report::of(*who, *sequence, spans)),
    }
}

fn registration(who: NodeIdentity, token: Token) -> Registration {
    Registration {
        who: Who::of(who),
        token: token.0,
        epoch: 0,
        oldest: 0,
        newest: 0,
    }
}

/// What an entry says.
///
/// # Errors
///
/// [`DecodeError`], where it is not understood whole.
pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
    use versions::Command as V;
    let entry = Entry::decode(bytes).map_err(|fault| DecodeError::Damaged(fault.to_string()))?;
    if entry.format > FORMAT {
        return Err(DecodeError::Newer {
            found: entry.format,
        });
    }
    if entry.format < FORMAT {
        return Err(DecodeError::Older {
            found: entry.format,
        });
    }
    Ok(match entry.body.ok_or(DecodeError::Unknown("kind"))? {
        Body::Claim(l) => Command::Lease(lease::Command::Claim {
            duty: duty(l.duty)?,
            holder: l.who.identity(),
            seen: Index(l.number),
            at: l.at,
        }),
        Body::Renew(l) => Command::Lease(lease::Command::Renew {
            duty: duty(l.duty)?,
            holder: l.who.identity(),
            token: Token(l.number),
            at: l.at,
        }),
        Body::Release(l) => Command::Lease(lease::Command::Release {
            duty: duty(l.duty)?,
            holder: l.who.identity(),
            token: Token(l.number),
        }),
        Body::Lead(who) => Command::Version(V::BeginEpoch {
            who: who.identity(),
        }),
        Body::Join(s) => Command::Version(V::Join {
            who: s.who.identity(),
            formats: Formats {
                oldest: s.oldest,
                newest: s.newest,
            },
        }),
        Body::Leave(s) => Command::Version(V::Leave {
            who: s.who.identity(),
            token: Token(s.token),
        }),
        Body::Expel(s) => Command::Version(V::Expire {
            who: s.who.identity(),
            token: Token(s.token),
            epoch: Index(s.epoch),
        }),
        Body::Offer(c) => Command::Version(V::ProposeVersion {
            who: c.who.identity(),
            token: Token(c.token),
            topic: topic(c.topic)?,
            seen: c.number,
            content: Content {
                format: c.format,
                bytes: c.content,
            },
        }),
        Body::Accept(a) => Command::Version(V::Ack {
            topic: topic(a.topic)?,
            number: a.number,
            by: a
                .by
                .iter()
                .map(|registration| (registration.who.identity(), Token(registration.token)))
                .collect(),
        }),
        Body::Refuse(c) => Command::Version(V::Nack {
            who: c.who.identity(),
            token: Token(c.token),
            topic: topic(c.topic)?,
            number: c.number,
            reason: c.reason,
        }),
        Body::Report(r) => Command::Version(V::Report {
            who: r.who.identity(),
            sequence: r.sequence,
            spans: r.spans()?,
        }),
    })
}

fn duty(number: u32) -> Result<Duty, DecodeError> {
    let known = usize::try_from(number).is_ok_and(|place| place < lease::DUTIES.len());
    known
        .then_some(Duty(number as u16))
        .ok_or(DecodeError::Unknown("duty"))
}

#[cfg(test)]
mod tests;

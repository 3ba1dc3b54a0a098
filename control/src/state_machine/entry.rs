//! The encoding of log entries: a `prost` message with a format number and one body.
//!
//! Stored logs hold these bytes: tags and types never change, and a change of meaning needs a new format number.

use super::Command;
use crate::codec::{decode_topic, WireIdentity, WireReport};
use crate::lease::{self, Duty, Index, NodeIdentity, Token};
use crate::versions::{self, Content, Formats};
use prost::Message;
use std::cmp::Ordering;

pub use crate::codec::{DecodeError, FORMAT};

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
    Claim(WireLease),
    #[prost(message, tag = "3")]
    Renew(WireLease),
    #[prost(message, tag = "4")]
    Release(WireLease),
    #[prost(message, tag = "5")]
    Join(WireRegistration),
    #[prost(message, tag = "7")]
    Leave(WireRegistration),
    #[prost(message, tag = "8")]
    Expire(WireRegistration),
    #[prost(message, tag = "9")]
    ProposeVersion(WireVersionChange),
    #[prost(message, tag = "11")]
    Report(WireReport),
    #[prost(message, tag = "12")]
    Nack(WireVersionChange),
    #[prost(message, tag = "13")]
    BeginEpoch(WireIdentity),
    #[prost(message, tag = "14")]
    Ack(WireAck),
}

#[derive(Clone, PartialEq, Message)]
struct WireLease {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint32, tag = "2")]
    duty: u32,
    /// The token of the lease; in a claim, the index of the last entry about the duty that the claimer has applied.
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    at: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireRegistration {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
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
struct WireVersionChange {
    #[prost(message, required, tag = "1")]
    identity: WireIdentity,
    #[prost(uint64, tag = "2")]
    token: u64,
    #[prost(uint32, tag = "3")]
    topic: u32,
    /// In a nack, the rejected version; in a proposal, the active version that it is to replace.
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(uint32, tag = "5")]
    format: u32,
    #[prost(bytes = "vec", tag = "6")]
    content: Vec<u8>,
    /// In a nack, why the version was rejected; empty in a proposal.
    #[prost(string, tag = "7")]
    reason: String,
}

#[derive(Clone, PartialEq, Message)]
struct WireAck {
    #[prost(uint32, tag = "1")]
    topic: u32,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(message, repeated, tag = "3")]
    by: Vec<WireRegistration>,
}

/// Encodes a command as a log entry.
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
    let identity = command.holder().into();
    match *command {
        lease::Command::Claim { seen, at, .. } => Body::Claim(WireLease {
            identity,
            duty,
            number: seen.0,
            at,
        }),
        lease::Command::Renew { token, at, .. } => Body::Renew(WireLease {
            identity,
            duty,
            number: token.0,
            at,
        }),
        lease::Command::Release { token, .. } => Body::Release(WireLease {
            identity,
            duty,
            number: token.0,
            at: 0,
        }),
    }
}

fn version_body(command: &versions::Command) -> Body {
    use versions::Command as V;
    match command {
        V::BeginEpoch { identity } => Body::BeginEpoch((*identity).into()),
        V::Join { identity, formats } => Body::Join(WireRegistration {
            oldest: formats.oldest,
            newest: formats.newest,
            ..wire_registration(*identity, Token(0))
        }),
        V::Leave { identity, token } => Body::Leave(wire_registration(*identity, *token)),
        V::Expire {
            identity,
            token,
            epoch,
        } => Body::Expire(WireRegistration {
            epoch: epoch.0,
            ..wire_registration(*identity, *token)
        }),
        V::ProposeVersion {
            identity,
            token,
            topic,
            replaces,
            content,
        } => Body::ProposeVersion(WireVersionChange {
            identity: (*identity).into(),
            token: token.0,
            topic: topic.number(),
            number: *replaces,
            format: content.format,
            content: content.bytes.clone(),
            reason: String::new(),
        }),
        V::Ack { topic, number, by } => Body::Ack(WireAck {
            topic: topic.number(),
            number: *number,
            by: by
                .iter()
                .map(|(identity, token)| wire_registration(*identity, *token))
                .collect(),
        }),
        V::Nack {
            identity,
            token,
            topic,
            number,
            reason,
        } => Body::Nack(WireVersionChange {
            identity: (*identity).into(),
            token: token.0,
            topic: topic.number(),
            number: *number,
            format: 0,
            content: Vec::new(),
            reason: reason.clone(),
        }),
        V::Report {
            identity,
            sequence,
            spans,
        } => Body::Report(WireReport::new(*identity, *sequence, spans)),
    }
}

fn wire_registration(identity: NodeIdentity, token: Token) -> WireRegistration {
    WireRegistration {
        identity: identity.into(),
        token: token.0,
        epoch: 0,
        oldest: 0,
        newest: 0,
    }
}

/// Decodes a log entry.
///
/// # Errors
///
/// [`DecodeError`] if this build does not understand the whole entry.
pub fn decode(bytes: &[u8]) -> Result<Command, DecodeError> {
    let entry = Entry::decode(bytes)?;
    let found = entry.format;
    match found.cmp(&FORMAT) {
        Ordering::Greater => Err(DecodeError::Newer { found }),
        Ordering::Less => Err(DecodeError::Older { found }),
        Ordering::Equal => decode_body(entry.body.ok_or(DecodeError::Unknown("kind"))?),
    }
}

fn decode_body(body: Body) -> Result<Command, DecodeError> {
    use versions::Command as V;
    Ok(match body {
        Body::Claim(lease) => Command::Lease(lease::Command::Claim {
            duty: decode_duty(lease.duty)?,
            holder: lease.identity.into(),
            seen: Index(lease.number),
            at: lease.at,
        }),
        Body::Renew(lease) => Command::Lease(lease::Command::Renew {
            duty: decode_duty(lease.duty)?,
            holder: lease.identity.into(),
            token: Token(lease.number),
            at: lease.at,
        }),
        Body::Release(lease) => Command::Lease(lease::Command::Release {
            duty: decode_duty(lease.duty)?,
            holder: lease.identity.into(),
            token: Token(lease.number),
        }),
        Body::BeginEpoch(identity) => Command::Version(V::BeginEpoch {
            identity: identity.into(),
        }),
        Body::Join(registration) => Command::Version(V::Join {
            identity: registration.identity.into(),
            formats: Formats {
                oldest: registration.oldest,
                newest: registration.newest,
            },
        }),
        Body::Leave(registration) => Command::Version(V::Leave {
            identity: registration.identity.into(),
            token: Token(registration.token),
        }),
        Body::Expire(registration) => Command::Version(V::Expire {
            identity: registration.identity.into(),
            token: Token(registration.token),
            epoch: Index(registration.epoch),
        }),
        Body::ProposeVersion(change) => Command::Version(V::ProposeVersion {
            identity: change.identity.into(),
            token: Token(change.token),
            topic: decode_topic(change.topic)?,
            replaces: change.number,
            content: Content {
                format: change.format,
                bytes: change.content,
            },
        }),
        Body::Ack(ack) => Command::Version(V::Ack {
            topic: decode_topic(ack.topic)?,
            number: ack.number,
            by: ack.gateways(),
        }),
        Body::Nack(change) => Command::Version(V::Nack {
            identity: change.identity.into(),
            token: Token(change.token),
            topic: decode_topic(change.topic)?,
            number: change.number,
            reason: change.reason,
        }),
        Body::Report(report) => Command::Version(V::Report {
            identity: report.identity.into(),
            sequence: report.sequence,
            spans: report.spans()?,
        }),
    })
}

impl WireAck {
    fn gateways(&self) -> Vec<(NodeIdentity, Token)> {
        let registrations = self.by.iter();
        registrations
            .map(|registration| (registration.identity.into(), Token(registration.token)))
            .collect()
    }
}

fn decode_duty(number: u32) -> Result<Duty, DecodeError> {
    let known = usize::try_from(number).is_ok_and(|index| index < lease::DUTIES.len());
    known
        .then_some(Duty(number as u16))
        .ok_or(DecodeError::Unknown("duty"))
}

#[cfg(test)]
mod tests;

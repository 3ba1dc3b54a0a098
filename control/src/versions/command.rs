//! Entries of the log on versions. Whether one takes effect depends on the log alone.

use super::{Content, Formats, Index, NodeIdentity, Span, Token, Topic};

/// An entry of the log on versions, proposed by the leading control member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Begins an epoch: from here on this control member, as the leader, decides which registrations expire.
    BeginEpoch {
        /// The control member.
        who: NodeIdentity,
    },
    /// Registers a gateway.
    Join {
        /// The gateway.
        who: NodeIdentity,
        /// The formats that it supports.
        formats: Formats,
    },
    /// Ends the registration of a gateway that has stopped acting.
    Leave {
        /// The gateway.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
    },
    /// Ends the registration of a gateway whose permission to act has ended.
    Expire {
        /// The gateway.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// The epoch in which this was decided: in a later one it has no effect.
        epoch: Index,
    },
    /// Proposes a version, which becomes active once all registered gateways have acked it.
    ProposeVersion {
        /// The gateway that proposes it.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// The topic.
        topic: Topic,
        /// The number of the active version that it is to replace; 0 is none.
        replaces: u64,
        /// Its content.
        content: Content,
    },
    /// Acks of a proposed version.
    Ack {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The gateways, and their registrations.
        by: Vec<(NodeIdentity, Token)>,
    },
    /// A gateway's nack of a proposed version, which rejects it.
    Nack {
        /// The gateway.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// Why, up to [`super::MAX_REASON_BYTES`] bytes.
        reason: String,
    },
    /// An audit report of a gateway's actions. Reports of an incarnation are numbered from 1, and each counts once.
    Report {
        /// The gateway.
        who: NodeIdentity,
        /// The number of the report.
        sequence: u64,
        /// The actions.
        spans: Vec<Span>,
    },
}

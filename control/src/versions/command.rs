//! Log entries on versions. Whether an entry takes effect depends on the log alone.

use super::{Content, Formats, Index, NodeIdentity, Span, Token, Topic};

/// A log entry on versions, proposed by the leading control member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// Begins an epoch: from here on this control member, as the leader, decides which registrations expire.
    BeginEpoch {
        /// The control member that leads.
        identity: NodeIdentity,
    },
    /// Registers a gateway.
    Join {
        /// The gateway that joins.
        identity: NodeIdentity,
        /// The formats that it supports.
        formats: Formats,
    },
    /// Ends the registration of a gateway that has stopped acting.
    Leave {
        /// The gateway that leaves.
        identity: NodeIdentity,
        /// The token of its registration.
        token: Token,
    },
    /// Ends the registration of a gateway whose permission to act has ended.
    Expire {
        /// The gateway whose registration expires.
        identity: NodeIdentity,
        /// The token of the registration.
        token: Token,
        /// The epoch in which this was decided. The entry has no effect in a later one.
        epoch: Index,
    },
    /// Proposes a version, which becomes active once all registered gateways have acked it.
    ProposeVersion {
        /// The gateway that proposes it.
        identity: NodeIdentity,
        /// The token of its registration.
        token: Token,
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the active version that it is to replace; 0 is none.
        replaces: u64,
        /// The content of the new version.
        content: Content,
    },
    /// Acks of a proposed version, from one or more gateways.
    Ack {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The gateways that acked it, with the tokens of their registrations.
        by: Vec<(NodeIdentity, Token)>,
    },
    /// A gateway's nack of a proposed version, which rejects it.
    Nack {
        /// The gateway that rejects it.
        identity: NodeIdentity,
        /// The token of its registration.
        token: Token,
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// Why the gateway rejects it, up to [`super::MAX_REASON_BYTES`] bytes.
        reason: String,
    },
    /// An audit report of a gateway's actions. Reports of an incarnation are numbered from 1, and each counts once.
    Report {
        /// The gateway that reports.
        identity: NodeIdentity,
        /// The number of the report.
        sequence: u64,
        /// Actions that no earlier report contains, by topic and version.
        spans: Vec<Span>,
    },
}

//! Messages between gateways and the leading control member; the module `wire` encodes them.

use super::{Content, Formats, Rejection, Span, Topic, Version};
use crate::lease::{Index, NodeIdentity, Token};
use crate::Micros;

/// A message from a gateway to a control member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToControl {
    /// Asks for a registration, or for its renewal for another lease.
    Heartbeat {
        /// The gateway that sends it.
        identity: NodeIdentity,
        /// The formats that it supports.
        formats: Formats,
        /// The token of its registration, once it has one.
        token: Option<Token>,
        /// When the heartbeat was sent, microseconds on the gateway's monotonic clock; the lease counts from then.
        sent_at: Micros,
        /// The index of the entry up to which the gateway knows the state of the topics.
        known_index: Index,
    },
    /// The result of a proposed version's validation.
    ValidationResult {
        /// The gateway that validated it.
        identity: NodeIdentity,
        /// The token of its registration.
        token: Token,
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// An ack, or a nack with a reason of up to [`super::MAX_REASON_BYTES`] bytes.
        result: Result<(), String>,
    },
    /// Proposes a version.
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
    /// An audit report of the gateway's actions. Reports of an incarnation are numbered from 1, and each counts once.
    Report {
        /// The gateway that reports.
        identity: NodeIdentity,
        /// The number of the report.
        sequence: u64,
        /// Actions that no earlier report contains, by topic and version.
        spans: Vec<Span>,
    },
    /// Ends the registration of a gateway that has stopped acting.
    Leave {
        /// The gateway that leaves.
        identity: NodeIdentity,
        /// The token of its registration.
        token: Token,
    },
}

/// The state of a topic as sent to gateways.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TopicState {
    /// The topic whose state this is.
    pub topic: Topic,
    /// The number of the active version; 0 is none.
    pub active: u64,
    /// The content of the active version, for gateways that did not validate it while it was proposed; `None` if there is
    /// none, or from a control member of a build that does not send it.
    pub active_content: Option<Content>,
    /// The number of the version that was active before; 0 is none.
    pub previous: u64,
    /// The proposed version, if there is one.
    pub proposal: Option<Version>,
}

/// A message from a control member to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToGateway {
    /// A registration was granted or renewed: the gateway may act for a lease, counted from when it sent the heartbeat.
    RegistrationRenewed {
        /// The gateway whose heartbeat this answers.
        identity: NodeIdentity,
        /// The token of its registration.
        token: Token,
        /// When the heartbeat was sent, as stated in it.
        sent_at: Micros,
        /// The index of the entry that last changed a topic: only a gateway that knows that change may act.
        required_index: Index,
        /// How many gateways are registered.
        registrations: u32,
    },
    /// The states of the topics that changed after the entry `since`.
    TopicStates {
        /// The index of the entry up to which this is complete.
        state_index: Index,
        /// Only gateways that know all changes up to the entry with this index may apply it.
        since: Index,
        /// The topics that changed in between.
        topics: Vec<TopicState>,
    },
    /// A registration has ended: the gateway stops acting, and joins again later.
    RegistrationExpired {
        /// The gateway that was registered.
        identity: NodeIdentity,
        /// The token of the registration that has ended.
        token: Token,
    },
    /// A gateway's request for a registration, or its proposal, was rejected.
    RequestRejected {
        /// The gateway that sent the request.
        identity: NodeIdentity,
        /// Why the request has no effect.
        reason: Rejection,
    },
    /// A proposed version was rejected; the active one stays.
    ProposalRejected {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The gateway that sent the nack.
        by: NodeIdentity,
        /// The reason that the gateway gave.
        reason: String,
    },
    /// An audit report was counted: the gateway stops repeating it.
    ReportCounted {
        /// The gateway that reported.
        identity: NodeIdentity,
        /// The number of the report.
        sequence: u64,
    },
    /// This control member does not lead.
    NotLeader {
        /// The gateway number of the leader, if it is known.
        leader: Option<u32>,
    },
}

impl ToControl {
    /// The gateway that sent it.
    pub fn identity(&self) -> NodeIdentity {
        match self {
            ToControl::Heartbeat { identity, .. }
            | ToControl::ValidationResult { identity, .. }
            | ToControl::ProposeVersion { identity, .. }
            | ToControl::Report { identity, .. }
            | ToControl::Leave { identity, .. } => *identity,
        }
    }
}

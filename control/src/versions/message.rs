//! What gateways and the control member that leads say to each other; `wire` says how it is written.

use super::{Content, Formats, Refusal, Span, Topic, Version};
use crate::lease::{Index, NodeIdentity, Token};
use crate::Micros;

/// What a gateway says to a control member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToControl {
    /// Keep my registration for another lease, or give me one.
    Heartbeat {
        /// Who.
        who: NodeIdentity,
        /// What it understands.
        formats: Formats,
        /// Its registration, once it has one.
        token: Option<Token>,
        /// When it asked, microseconds on its own clock; it counts its right from then.
        sent_at: Micros,
        /// The entry up to which it knows how the topics stand.
        known_index: Index,
    },
    /// I accept this version, or refuse it for a reason.
    ValidationResult {
        /// Who judges.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// The reason of a refusal is up to [`super::MAX_REASON_BYTES`] bytes.
        result: Result<(), String>,
    },
    /// Put this version in force once all accept it.
    ProposeVersion {
        /// Who offers.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// Of what.
        topic: Topic,
        /// The version in force that it is to follow; 0 is none.
        replaces: u64,
        /// What it says.
        content: Content,
    },
    /// What I did under which version; reports of an incarnation count from 1, and each counts once.
    Report {
        /// Who reports.
        who: NodeIdentity,
        /// Its place among this incarnation's reports.
        sequence: u64,
        /// What it did.
        spans: Vec<Span>,
    },
    /// Take my registration: I have stopped acting.
    Leave {
        /// Who.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
    },
}

/// How a topic stands, as gateways are told; contents in force are not sent again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TopicState {
    /// Of what.
    pub topic: Topic,
    /// The version in force; 0 is none.
    pub active: u64,
    /// The one before it; 0 is none.
    pub previous: u64,
    /// The version that is offered, and what it says.
    pub proposal: Option<Version>,
}

/// What a control member says to a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToGateway {
    /// You may act for another lease, counted from when you asked.
    RegistrationRenewed {
        /// Who.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// When it asked, as its heartbeat said.
        sent_at: Micros,
        /// The entry that last changed a topic: the right holds only for who has seen it.
        required_index: Index,
        /// How many gateways have a registration.
        registrations: u32,
    },
    /// How the topics stand that changed after `since`.
    TopicStates {
        /// The entry up to which this is complete.
        as_of: Index,
        /// Only for who has seen the entries up to this one.
        since: Index,
        /// The topics that changed in between.
        topics: Vec<TopicState>,
    },
    /// That registration is not yours any more: stop, and join again later.
    RegistrationExpired {
        /// Whose.
        who: NodeIdentity,
        /// The registration.
        token: Token,
    },
    /// What a gateway asked for, a registration or a version, was refused.
    RequestRejected {
        /// Who asked.
        who: NodeIdentity,
        /// Why.
        reason: Refusal,
    },
    /// A version was refused; the former stays.
    ProposalRejected {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// Who refused it.
        by: NodeIdentity,
        /// Why.
        reason: String,
    },
    /// A report was counted.
    ReportCounted {
        /// Whose.
        who: NodeIdentity,
        /// Its place among that incarnation's reports.
        sequence: u64,
    },
    /// This control member does not lead.
    NotLeader {
        /// The gateway number of the one that does, where that is known.
        leader: Option<u32>,
    },
}

impl ToControl {
    /// Who says it.
    pub fn who(&self) -> NodeIdentity {
        match self {
            ToControl::Heartbeat { who, .. }
            | ToControl::ValidationResult { who, .. }
            | ToControl::ProposeVersion { who, .. }
            | ToControl::Report { who, .. }
            | ToControl::Leave { who, .. } => *who,
        }
    }
}

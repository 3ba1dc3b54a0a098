//! Which version of what the fleet shares is in force, who may act on it, and who acted on which.
//!
//! A *topic* has versions: the operator's file, the placement of cells, the catalog of statements, the program's own
//! format. A new version is **offered** by an entry of the log, every gateway that holds a **registration** judges it, and it
//! comes **in force** at the entry that completes their verdicts: each has accepted it, or has lost its registration. One refusal
//! drops it, with its reason, and the former one stays. A registration is a right to act.
//!
//! There are two roles. **Control members** hold the log. The one that leads it opens an **epoch** by an entry
//! ([`Command::BeginEpoch`]); its [`Coordinator`] keeps registrations in memory, tells gateways how the topics stand, and writes what
//! they decide. **Gateways** hold no log: the [`Client`] of each sends **heartbeats** to the control member that leads. A
//! heartbeat is answered only once a quorum has confirmed, after it came, that no later leader was elected; its gateway
//! may then act for a lease, counted from when it sent the heartbeat. A registration is taken away ([`Command::Expire`]) only when
//! a whole wait has passed since the last heartbeat that may have kept it, and since the epoch began; and only by the
//! epoch that is the last in the log. So a gateway stops by itself before its registration is gone.
//!
//! Why no gateway ever acts on a third version: a verdict on version `n` comes from a gateway that was told that `n` is
//! offered and its predecessor in force, and that ignores older word from then on; `n` comes in force only with the
//! verdicts of all registrations; a newcomer acts only once it has seen the last change of any topic. So whoever has a right to
//! act then acts on `n` or on its predecessor. It rests on the log's order and, for registrations that are taken away, on clock
//! rates alone (`docs/design/control.md`).
//!
//! [`Coordinator`] and [`Client`] are the doors of the two roles: events in, actions out, time an argument. Nothing here
//! sends, stores, reads a clock or a file, or looks into what a version holds: the caller judges contents.

mod audit;
pub mod client;
pub mod coordinator;
mod message;
mod table;
mod wire;

pub(crate) use audit::MAX_SPANS_PER_REPORT;
pub use audit::{Audit, Row, Span};
pub use client::{Client, Permission, StopReason};
pub use coordinator::Coordinator;
pub use message::{ToControl, ToGateway, TopicState};
pub use table::{Outcome, Proposal, Refusal, Registration, Table, TopicStatus, Version};

use crate::lease::{Index, NodeIdentity, Token};
use serde::{Deserialize, Serialize};

/// The longest content of a version, bytes: control members keep what is agreed in memory, twice per topic.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;
/// The longest reason for a refusal that is kept, bytes.
pub const MAX_REASON_BYTES: usize = 200;

/// The reason of a refusal, cut at a whole character where it is too long.
fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}

/// What has versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// The operator's file; its content here is a digest.
    Operator,
    /// The placement of tenants in cells.
    Placement,
    /// The statements that are valid, and the schema they need.
    Catalog,
    /// The format that gateways write.
    Program,
}

impl Topic {
    /// All of them; their order is the same in every version of the program.
    pub const ALL: [Topic; 4] = [
        Topic::Operator,
        Topic::Placement,
        Topic::Catalog,
        Topic::Program,
    ];

    /// Its place in [`Topic::ALL`].
    pub fn number(self) -> u32 {
        self as u32
    }

    /// The topic at a place, if there is one.
    pub fn numbered(number: u32) -> Option<Topic> {
        usize::try_from(number)
            .ok()
            .and_then(|place| Topic::ALL.get(place))
            .copied()
    }
}

/// The formats of contents that a build understands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Formats {
    /// The oldest.
    pub oldest: u32,
    /// The newest.
    pub newest: u32,
}

impl Formats {
    /// Whether a content of this format is understood.
    pub fn understand(self, format: u32) -> bool {
        (self.oldest..=self.newest).contains(&format)
    }
}

/// What a version says, opaque here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Content {
    /// What a build must understand to judge it.
    pub format: u32,
    /// Up to [`MAX_CONTENT_BYTES`] bytes.
    pub bytes: Vec<u8>,
}

/// What control members write into the log about versions. Whether one takes effect depends on the log alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Command {
    /// I lead the log: from here on registrations are kept and taken away by my word.
    BeginEpoch {
        /// The control member.
        who: NodeIdentity,
    },
    /// Give this gateway a registration.
    Join {
        /// Which.
        who: NodeIdentity,
        /// What it understands.
        formats: Formats,
    },
    /// Take the registration of a gateway that has stopped acting.
    Leave {
        /// Whose.
        who: NodeIdentity,
        /// The registration.
        token: Token,
    },
    /// Take the registration of a gateway whose right has run out.
    Expire {
        /// Whose.
        who: NodeIdentity,
        /// The registration.
        token: Token,
        /// The epoch in which this was decided: in a later one it has no effect.
        epoch: Index,
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
    /// These gateways accept a version.
    Ack {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// Who, and their registrations.
        by: Vec<(NodeIdentity, Token)>,
    },
    /// A gateway refuses a version.
    Nack {
        /// Who.
        who: NodeIdentity,
        /// Its registration.
        token: Token,
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// Why, up to [`MAX_REASON_BYTES`] bytes.
        reason: String,
    },
    /// What a gateway did under which version; reports of an incarnation count from 1, and each counts once.
    Report {
        /// Who reports.
        who: NodeIdentity,
        /// Its place among this incarnation's reports.
        sequence: u64,
        /// What it did.
        spans: Vec<Span>,
    },
}

//! Inputs and outputs of a [`Client`](super::Client), and the permission that it grants.

use crate::lease::{NodeIdentity, Token};
use crate::versions::{Content, Rejection, ToControl, ToGateway, Topic};
use crate::Micros;

/// An input of a [`Client`](super::Client).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Register this gateway whenever that is possible.
    Serve,
    /// A link to a control member is up.
    Connected,
    /// A message of the connected control member.
    Received(ToGateway),
    /// The caller has validated a version.
    Validated {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// Whether it is valid; if not, why.
        result: Result<(), String>,
    },
    /// The operator has a new version here: propose it to the fleet.
    ProposeVersion {
        /// The topic.
        topic: Topic,
        /// Its content.
        content: Content,
    },
    /// Actions were begun under a version.
    Acted {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// How many.
        count: u64,
    },
    /// A timer fired. Harmless at any time.
    Tick,
    /// Graceful shutdown: the gateway stops acting and gives its registration back.
    Drain,
}

/// Permission to act on the active versions, as a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permission {
    /// The registration, as the fencing token of every action under it.
    pub token: Token,
    /// When it ends: nothing may begin at or after this, microseconds on this gateway's monotonic clock.
    pub until: Micros,
}

impl Permission {
    /// Whether an action may begin under it at a time.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// Why a gateway's permission to act ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum StopReason {
    /// Its registration could not be renewed in time.
    #[error("the fleet's log could not be reached in time; look at the links to its voters and how many of them run")]
    LeaseExpired,
    /// Its registration expired in the log.
    #[error(
        "the others took its registration away after hearing nothing; it joins again by itself"
    )]
    RegistrationExpired,
    /// It is shutting down gracefully.
    #[error("it drains")]
    Draining,
}

/// An output of a [`Client`](super::Client), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send the connected control member a message. It may be lost.
    Send(ToControl),
    /// The connected control member does not lead, or does not answer: connect to the one with this gateway number, or to
    /// another one after a backoff where the leader is unknown.
    Redirect(Option<u32>),
    /// It may act on the active versions.
    Act(Permission),
    /// It may not act from now on.
    Stop(StopReason),
    /// Validate this version, and answer with [`Event::Validated`].
    Validate {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// Its content.
        content: Content,
    },
    /// A version is active: what begins from now on begins under it.
    Activate {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The one before it, which others may act on for a moment still; 0 is none.
        previous: u64,
    },
    /// A proposed version was rejected; the active one stays.
    ProposalRejected {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The gateway that rejected it.
        by: NodeIdentity,
        /// Why.
        reason: String,
    },
    /// A registration or a proposal of this gateway was rejected.
    RequestRejected(Rejection),
    /// Send [`Event::Tick`] at this time at the latest, microseconds on this gateway's monotonic clock.
    Wake(Micros),
}

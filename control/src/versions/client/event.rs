//! Inputs and outputs of a [`Client`](super::Client), and the permission that it grants.

use crate::lease::{NodeIdentity, Token};
use crate::versions::{Content, Rejection, ToControl, ToGateway, Topic};
use crate::Micros;

/// An input of a [`Client`](super::Client).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Start to register this gateway, and keep it registered.
    Serve,
    /// A link to a control member is up.
    Connected,
    /// A message from the connected control member.
    Received(ToGateway),
    /// The caller has validated a version.
    Validated {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// `Ok` if the version is valid, otherwise the reason for the nack.
        result: Result<(), String>,
    },
    /// The operator of this gateway has a new version: propose it to the fleet.
    ProposeVersion {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The content of the new version.
        content: Content,
    },
    /// This gateway began actions under a version; they are reported for the audit.
    Acted {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The number of actions.
        count: u64,
    },
    /// A timer fired. More ticks than requested are harmless.
    Tick,
    /// Graceful shutdown: the gateway stops acting and ends its registration.
    Drain,
}

/// Permission to act on the active versions until a lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permission {
    /// The token of the registration: the fencing token of every action under it.
    pub token: Token,
    /// When the permission ends, microseconds on this gateway's monotonic clock: no action may begin at or after this time.
    pub until: Micros,
}

impl Permission {
    /// Whether an action may begin under it at `now`.
    pub fn is_valid(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// Why a gateway's permission to act ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum StopReason {
    /// The gateway's registration could not be renewed in time.
    #[error(
        "the registration could not be renewed in time; check the links to the control members and how many voters run"
    )]
    LeaseExpired,
    /// The gateway's registration expired in the log.
    #[error(
        "the control members let the registration expire, as heartbeats or a validation result did not arrive in time; \
         the gateway joins again by itself"
    )]
    RegistrationExpired,
    /// A version is active whose content this gateway has not validated.
    #[error("a version is active that was not validated here; the gateway acts again once it has validated it")]
    UnvalidatedVersion,
    /// The gateway is shutting down gracefully.
    #[error("the gateway is draining")]
    Draining,
}

/// An output of a [`Client`](super::Client), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send the connected control member a message. It may be lost.
    Send(ToControl),
    /// The connected control member does not lead, or does not answer: connect to the one with this gateway number, or, if
    /// the leader is unknown, to another one after a backoff.
    Redirect(Option<u32>),
    /// The gateway may act on the active versions from now on.
    Act(Permission),
    /// The gateway may not act from now on.
    Stop(StopReason),
    /// Validate this version, and answer with [`Event::Validated`].
    Validate {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The content to validate.
        content: Content,
    },
    /// A version became active: actions that begin from now on begin under it.
    Activate {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The number of the version before it, on which other gateways may still act; 0 is none.
        previous: u64,
    },
    /// This gateway can't act, as the active version of a topic is not valid here. It is validated again after a backoff.
    ActiveVersionInvalid {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// Why it is not valid here.
        reason: String,
    },
    /// A proposed version was rejected; the active one stays.
    ProposalRejected {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The gateway that rejected it.
        by: NodeIdentity,
        /// The reason that the gateway gave.
        reason: String,
    },
    /// A registration or a proposal of this gateway was rejected.
    RequestRejected(Rejection),
    /// Send [`Event::Tick`] at this time at the latest, microseconds on this gateway's monotonic clock.
    Wake(Micros),
}

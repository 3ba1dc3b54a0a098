//! What an entry on versions did when it was applied.

use super::{NodeIdentity, Registration, Topic, MAX_CONTENT_BYTES};

/// The effect of an applied entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A control member began an epoch, which is identified by the index of this entry.
    EpochBegun(NodeIdentity),
    /// A gateway was registered.
    Registered(Registration),
    /// A gateway left, which ended its registration.
    Left(Registration),
    /// A gateway's registration expired.
    Expired(Registration),
    /// A version was proposed.
    VersionProposed {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
    },
    /// Gateways acked a proposed version.
    Acked {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
    },
    /// A version became active.
    Activated {
        /// The topic that the version belongs to.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The number of the version that was active before; 0 is none.
        previous: u64,
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
    /// An audit report was counted.
    Reported {
        /// The gateway that sent it.
        identity: NodeIdentity,
        /// The number of the report; each incarnation counts its reports from 1.
        sequence: u64,
    },
    /// The entry took no effect.
    Rejected(Rejection),
}

/// Why an entry took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// The gateway has no registration, or one with another token.
    #[error("this gateway has no valid registration; try again once it has joined the fleet")]
    StaleRegistration,
    /// The gateway number is registered, perhaps for an earlier incarnation that may still act.
    #[error(
        "this gateway number is still registered, perhaps by an earlier incarnation; the gateway can join once that \
         registration has ended"
    )]
    AlreadyRegistered,
    /// The gateway does not support the format of an active version.
    #[error("an active version has format {needed}, which this build does not support; start a build that supports it")]
    UnsupportedFormat {
        /// The format of the active version.
        needed: u32,
    },
    /// The expiry was decided by a control member whose epoch has ended.
    #[error("the expiry was decided in an earlier epoch; the current leader decides which registrations expire")]
    StaleEpoch,
    /// The version with this number is still proposed.
    #[error("version {0} is still proposed; try again once it is active or rejected")]
    ProposalPending(u64),
    /// The version with this number is active, and the proposal was meant to replace another one.
    #[error("version {0} has become active in the meantime; check it and propose again")]
    ActiveVersionChanged(u64),
    /// The content is longer than [`MAX_CONTENT_BYTES`].
    #[error("the content of the proposed version is longer than {MAX_CONTENT_BYTES} bytes; propose a shorter one")]
    ContentTooLong,
    /// An ack or nack of a version that is no longer proposed, or a report out of sequence.
    #[error("the version is no longer proposed, or the report is out of sequence")]
    AlreadyDecided,
}

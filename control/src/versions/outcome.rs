//! What an entry on versions did when it was applied.

use super::{NodeIdentity, Registration, Topic, MAX_CONTENT_BYTES};

/// The effect of an applied entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A control member began an epoch, which has the index of this entry.
    EpochBegun(NodeIdentity),
    /// A gateway was registered.
    Registered(Registration),
    /// A gateway gave its registration back.
    Left(Registration),
    /// A gateway's registration expired.
    Expired(Registration),
    /// A version was proposed.
    VersionProposed {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
    },
    /// Gateways acked a proposed version.
    Acked {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
    },
    /// A version became active.
    Activated {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The number of the version that was active before; 0 is none.
        previous: u64,
    },
    /// A proposed version was rejected; the active one stays.
    ProposalRejected {
        /// The topic.
        topic: Topic,
        /// The number of the version.
        number: u64,
        /// The gateway that sent the nack.
        by: NodeIdentity,
        /// Why.
        reason: String,
    },
    /// A report was counted.
    Reported {
        /// The gateway.
        who: NodeIdentity,
        /// The number of the report.
        sequence: u64,
    },
    /// The entry took no effect.
    Rejected(Rejection),
}

/// Why an entry took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// The registration is not, or no longer, the gateway's.
    #[error("its registration was taken away; it has to join again")]
    StaleRegistration,
    /// The gateway is registered, perhaps as an earlier incarnation that may still act.
    #[error("an earlier incarnation of this gateway may still act; it may join once that one's right has run out")]
    AlreadyRegistered,
    /// The gateway does not support the format of an active version.
    #[error("format {needed} is needed; start a build that understands it")]
    UnsupportedFormat {
        /// The format that it would have to support.
        needed: u32,
    },
    /// Decided by a control member whose epoch has ended.
    #[error("another control member leads since; that one decides who keeps its registration")]
    StaleEpoch,
    /// This other version is proposed already.
    #[error("version {0} is being agreed on; ask again once it is in force or refused")]
    ProposalPending(u64),
    /// This version is active, and the proposal is not meant to replace it.
    #[error("version {0} is in force; look at it and offer again")]
    ActiveVersionChanged(u64),
    /// The content is longer than [`MAX_CONTENT_BYTES`].
    #[error("its content is longer than {MAX_CONTENT_BYTES} bytes")]
    ContentTooLong,
    /// An ack or nack of a version that is not proposed any more, or a report out of sequence.
    #[error("it was settled already")]
    AlreadyDecided,
}

//! What can be wrong with a frame, with the peer that sent it, or with the link to it.

use super::{NEWEST_FORMAT, OLDEST_FORMAT};

/// Why a link is closed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// A read or write failed.
    #[error("the link broke: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed its side.
    #[error("the peer closed the link")]
    Closed,
    /// Nothing arrived, or nothing could be written, before a timeout.
    #[error("it said nothing in time")]
    TimedOut,
    /// The bytes are no frame.
    #[error("not a frame: {0}")]
    Malformed(String),
    /// A kind of frame that is unknown, or that the peer may not send.
    #[error("a frame without a kind that this build knows")]
    UnexpectedKind,
    /// The peer and this build share no format; holds the peer's oldest and newest.
    #[error("it speaks formats {0} to {1}, this build {OLDEST_FORMAT} to {NEWEST_FORMAT}; upgrade the older one first")]
    UnsupportedFormats(u32, u32),
    /// The peer belongs to another fleet.
    #[error(
        "it is of another fleet: the voters of its `lease.peers`, or how long its leases last, differ from this file's"
    )]
    OtherFleet,
    /// The peer is, or speaks for, another gateway than expected; holds the number that it gave.
    #[error("it says it is gateway {0}, which is not expected there; look at `lease.me` and `lease.peers`")]
    UnexpectedGateway(u64),
    /// The peer sends messages of the log and is no control member of this fleet; holds its number.
    #[error(
        "it takes part in the log as gateway {0}, which is no voter of this file; look at `lease.peers`"
    )]
    NotAVoter(u64),
    /// The limit of served gateways is reached; holds the limit.
    #[error("{0} gateways are served already; close idle ones, or look who connects")]
    TooManyGateways(usize),
}

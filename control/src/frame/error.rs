//! Errors of frames, of the peers that send them, and of the links to these peers.

use super::{NEWEST_FORMAT, OLDEST_FORMAT};

/// Why a link is closed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// A read or write failed, or a frame is longer than [`super::MAX_FRAME_BYTES`].
    #[error("the link failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed its side, or has too many links to this member already.
    #[error("the peer closed the link")]
    Closed,
    /// Nothing arrived, or nothing could be written, before a timeout.
    #[error("the peer timed out; check that it runs and that the network reaches it")]
    TimedOut,
    /// The bytes cannot be encoded or decoded as a frame.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// A kind of frame that is unknown, or that the peer may not send.
    #[error("a frame of a kind that this build does not know, or that the peer may not send on this link")]
    UnexpectedKind,
    /// The peer and this build share no format; holds the peer's oldest and newest.
    #[error(
        "the peer supports frame formats {0} to {1}, this build {OLDEST_FORMAT} to {NEWEST_FORMAT}; upgrade the older of \
         the two"
    )]
    UnsupportedFormats(u32, u32),
    /// The peer belongs to another fleet.
    #[error(
        "the peer belongs to another fleet: the voters in its `lease.peers`, or its `lease_ms`, `renew_ms`, `drift_ppm` or \
         `margin_ms`, differ from this file's; use the same values in all files of a fleet"
    )]
    OtherFleet,
    /// The peer is another gateway than expected, or sends a message in the name of another; holds the number in its hello.
    #[error(
        "the peer's hello says gateway {0}, which is not expected on this link, or it sends messages of another gateway; \
         check `lease.me` and `lease.peers`"
    )]
    UnexpectedGateway(u64),
    /// The peer connects as a control member and is no voter of this fleet; holds its number.
    #[error(
        "the peer connects as control member {0}, which is not a voter in this file; check `lease.peers`"
    )]
    NotAVoter(u64),
    /// The limit on served gateways is reached; holds the limit.
    #[error(
        "{0} gateways are connected already, which is the limit; stop those that are not needed, and check which machines \
         connect"
    )]
    TooManyGateways(usize),
}

//! The handshake: the first frame of each side identifies the sender, and shows whether the two can communicate.

use super::{FrameError, NEWEST_FORMAT, OLDEST_FORMAT};
use crate::lease::NodeIdentity;

/// The first frame of each side.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Hello {
    /// The oldest format of frames that the sender reads and writes.
    #[prost(uint32, tag = "1")]
    pub oldest: u32,
    /// The newest format of frames that the sender reads and writes.
    #[prost(uint32, tag = "2")]
    pub newest: u32,
    /// A digest of the voters and the lease times, which are the same in all settings of a fleet.
    #[prost(uint64, tag = "3")]
    pub fleet_digest: u64,
    /// The sender's number in the fleet.
    #[prost(uint64, tag = "4")]
    pub gateway: u64,
    /// The sender's Raft id; 0 in a control member that has no log yet, and in a gateway.
    #[prost(uint64, tag = "5")]
    pub raft_id: u64,
    /// Whether the sender knows of no log entry that was ever committed.
    #[prost(bool, tag = "6")]
    pub fresh: bool,
    /// Whether the sender is a gateway that is to be served on this link, rather than a control member.
    #[prost(bool, tag = "7")]
    pub client: bool,
    /// The incarnation of the sender's process; see [`NodeIdentity`].
    #[prost(uint32, tag = "8")]
    pub incarnation: u32,
}

impl Hello {
    /// The first frame of a gateway that wants to be served.
    pub(crate) fn of_client(me: NodeIdentity, fleet_digest: u64) -> Hello {
        Hello {
            oldest: OLDEST_FORMAT,
            newest: NEWEST_FORMAT,
            fleet_digest,
            gateway: me.gateway.into(),
            raft_id: 0,
            fresh: false,
            client: true,
            incarnation: me.incarnation,
        }
    }

    /// Checks that the sender shares a format, is of this fleet, and is gateway `expected` if that is given.
    pub(crate) fn check(&self, fleet_digest: u64, expected: Option<u64>) -> Result<(), FrameError> {
        if self.newest < OLDEST_FORMAT || self.oldest > NEWEST_FORMAT {
            return Err(FrameError::UnsupportedFormats(self.oldest, self.newest));
        }
        if self.fleet_digest != fleet_digest {
            return Err(FrameError::OtherFleet);
        }
        match expected {
            Some(expected) if expected != self.gateway => {
                Err(FrameError::UnexpectedGateway(self.gateway))
            }
            _ => Ok(()),
        }
    }

    /// The sender's identity; an error if its number is not one that a gateway can have (1 to 65535).
    pub(crate) fn identity(&self) -> Result<NodeIdentity, FrameError> {
        let gateway = u16::try_from(self.gateway)
            .ok()
            .filter(|gateway| *gateway > 0);
        let gateway = gateway.ok_or(FrameError::UnexpectedGateway(self.gateway))?;
        Ok(NodeIdentity {
            gateway: gateway.into(),
            incarnation: self.incarnation,
        })
    }
}

//! What the size of the fleet means for one gateway.
//!
//! Each gateway limits by itself what all of them together do at members and at discovery. It never asks who the
//! other gateways are or what they do.

use crate::interface::Micros;

/// Gateways that may each keep their own schedule at a member; a larger fleet shares what so many would do.
const SMALL_FLEET_GATEWAYS: f64 = 8.0;

/// The fleet, as one of its gateways takes it into account.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    gateways: f64,
}

impl Fleet {
    /// A fleet of so many gateways.
    pub fn new(gateways: u32) -> Fleet {
        Fleet {
            gateways: f64::from(gateways),
        }
    }

    /// How many gateways there are.
    pub(crate) fn gateways(self) -> f64 {
        self.gateways
    }

    /// The size of the fleet as a multiple of a small one; 1 at least.
    pub(crate) fn oversize(self) -> f64 {
        (self.gateways / SMALL_FLEET_GATEWAYS).max(1.0)
    }

    /// Whether traffic is spread over so many gateways that each learns little of a member from its own answers.
    pub fn is_large(self) -> bool {
        self.oversize() > 1.0
    }

    /// Stretches an interval, microseconds, so that a large fleet does not multiply what is done at a member.
    pub(crate) fn scale_interval(self, interval: Micros) -> Micros {
        (interval as f64 * self.oversize()) as Micros
    }
}

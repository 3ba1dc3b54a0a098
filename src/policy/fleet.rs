//! How one gateway scales its own activity to the size of the fleet.
//!
//! Each gateway by itself limits the load that all of them together put on members and on discovery. It knows only
//! their number, and exchanges nothing with the others.

use crate::interface::Micros;

/// Up to this many gateways each keep their own schedule for a member. A larger fleet as a whole does as much as this
/// many gateways would.
const SMALL_FLEET_GATEWAYS: f64 = 8.0;

/// The size of the fleet, by which one of its gateways scales its activity.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    gateways: f64,
}

impl Fleet {
    /// A fleet of this many gateways.
    pub fn new(gateways: u32) -> Fleet {
        Fleet {
            gateways: f64::from(gateways),
        }
    }

    pub(crate) fn gateways(self) -> f64 {
        self.gateways
    }

    /// The size of the fleet as a multiple of a small one; at least 1.
    pub(crate) fn scale_factor(self) -> f64 {
        (self.gateways / SMALL_FLEET_GATEWAYS).max(1.0)
    }

    /// Whether traffic is spread over so many gateways that each gets few answers from any one member.
    pub fn is_large(self) -> bool {
        self.scale_factor() > 1.0
    }

    /// Lengthens an interval, microseconds, so that a large fleet does not multiply the load on a member.
    pub(crate) fn scale_interval(self, interval: Micros) -> Micros {
        (interval as f64 * self.scale_factor()) as Micros
    }
}

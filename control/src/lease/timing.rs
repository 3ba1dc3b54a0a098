//! How long a lease lasts on the clocks of different gateways.

use crate::Micros;
use serde::{Deserialize, Serialize};

const PARTS_PER_MILLION: u128 = 1_000_000;

/// The lowest drift that is rejected, parts per million: a clock that is so far from real time is broken.
pub const MAX_DRIFT_PPM: u32 = 100_000;

/// How long leases last, and how far clocks may disagree. Microseconds.
///
/// Clocks are monotonic and may run at rates between `1 - drift` and `1 + drift` of real time; where they start does
/// not matter. A holder acts for at most `lease_us` on its clock after its request, which is at most
/// `lease_us / (1 - drift)` of real time. Another gateway considers the lease expired [`Timing::wait_us`] on its own clock
/// after it applied the grant, which is at least `wait_us / (1 + drift)` of real time, and it applied the grant only after
/// the holder's request. `wait_us` is the shortest wait for which the first time span is no longer than the second, plus
/// `margin_us` for the granularity of timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// How long a holder may act after it requested a lease or its renewal.
    pub lease_us: Micros,
    /// Time from one request of a gateway (claim or renewal) to its next.
    pub renew_us: Micros,
    /// How far a clock's rate may be from real time, parts per million; below [`MAX_DRIFT_PPM`].
    pub drift_ppm: u32,
    /// Added to every wait, for timers that fire late and clocks with a coarse resolution.
    pub margin_us: Micros,
}

/// A contradiction between values of [`Timing`]; the text uses the operator's keys and units.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TimingError {
    /// The drift is too large for a clock that works.
    #[error("{drift_ppm} is not below {MAX_DRIFT_PPM}: a clock that drifts so far is broken")]
    DriftTooLarge {
        /// The configured drift, parts per million.
        drift_ppm: u32,
    },
    /// The renewal interval is zero.
    #[error("must not be 0: a holder would request renewals without a pause")]
    NoRenewalInterval,
    /// A lease expires before its renewal can be requested, committed and applied.
    #[error(
        "{lease_ms} ms is not longer than renew_ms and margin_ms together ({renewal_ms} ms), so a lease would expire \
         before its renewal; raise lease_ms or lower renew_ms"
    )]
    LeaseTooShort {
        /// The configured length of a lease, milliseconds.
        lease_ms: u64,
        /// The renewal interval and the margin together, milliseconds.
        renewal_ms: u64,
    },
}

impl TimingError {
    /// The settings key of the rejected value.
    pub fn key(&self) -> &'static str {
        match self {
            TimingError::DriftTooLarge { .. } => "drift_ppm",
            TimingError::NoRenewalInterval => "renew_ms",
            TimingError::LeaseTooShort { .. } => "lease_ms",
        }
    }
}

impl Timing {
    /// How long after applying the last grant or renewal a gateway considers another gateway's lease expired,
    /// microseconds on its own clock.
    pub fn wait_us(&self) -> Micros {
        let drift = u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let fastest = PARTS_PER_MILLION + drift;
        let slowest = PARTS_PER_MILLION - drift;
        let wait_us = (u128::from(self.lease_us) * fastest).div_ceil(slowest);
        Micros::try_from(wait_us)
            .unwrap_or(Micros::MAX)
            .saturating_add(self.margin_us)
    }

    /// Checks that the values are consistent.
    ///
    /// # Errors
    ///
    /// [`TimingError`] for the first contradiction.
    pub fn check(&self) -> Result<(), TimingError> {
        if self.drift_ppm >= MAX_DRIFT_PPM {
            return Err(TimingError::DriftTooLarge {
                drift_ppm: self.drift_ppm,
            });
        }
        if self.renew_us == 0 {
            return Err(TimingError::NoRenewalInterval);
        }
        // A renewal must be requested, committed and applied before the lease that it extends expires.
        let renewal_us = self.renew_us.saturating_add(self.margin_us);
        if self.lease_us <= renewal_us {
            return Err(TimingError::LeaseTooShort {
                lease_ms: self.lease_us / 1000,
                renewal_ms: renewal_us / 1000,
            });
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

//! The operator's settings for health decisions, with their units, defaults and bounds.

use crate::interface::Micros;
use asterreel_control::settings::{check_within, SettingError};
use serde::{Deserialize, Serialize};

/// The options that `knobs` sets in the operator's file; in milliseconds where a name ends in `_ms`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// `expecting` keeps the type name that error messages about the operator's file show.
#[serde(default, deny_unknown_fields, expecting = "struct Knobs")]
pub struct HealthOptions {
    /// Lowest weight while any request can be served; 1 to 50, default 10.
    pub floor: u8,
    /// Share of requests rejected, failed or late at which the weight is lowered by a step; above 0 to 1, default 0.2.
    pub strain_high: f64,
    /// Share up to which the load counts as low; at least 0 and less than `strain_high`, default 0.05.
    pub strain_low: f64,
    /// How long the load must be low before the weight is raised by a step; 100 to 60000, default 2000.
    pub calm_ms: u64,
    /// Least time between two increases of a weight; 50 to 60000, default 500.
    pub rise_every_ms: u64,
    /// How much one increase adds to the weight; 1 to 100, default 20.
    pub rise_step: u8,
    /// How often per minute a weight may change from falling to rising; 1 to 60, default 6.
    pub flaps_per_minute: u32,
    /// Time between two heartbeats; 20 to 1000, default 50.
    pub beat_every_ms: u64,
    /// The request path counts as hung once a heartbeat is unanswered for this long; 100 to 10000 and at least twice
    /// `beat_every_ms`, default 250.
    pub hung_after_ms: u64,
    /// How long heartbeats must be answered after a hang before it is over; 100 to 30000, default 1000. Doubles with
    /// each hang that begins within a minute of the last.
    pub recover_after_ms: u64,
    /// How long the start waits for discovery and a usable member of each group; 0 to 600000, default 10000.
    pub start_wait_ms: u64,
    /// Asks balancers to send no new clients: reported as `maint` by the agent front, as 503 by the HTTP front.
    pub maintenance: bool,
}

impl Default for HealthOptions {
    fn default() -> HealthOptions {
        HealthOptions {
            floor: 10,
            strain_high: 0.2,
            strain_low: 0.05,
            calm_ms: 2_000,
            rise_every_ms: 500,
            rise_step: 20,
            flaps_per_minute: 6,
            beat_every_ms: 50,
            hung_after_ms: 250,
            recover_after_ms: 1_000,
            start_wait_ms: 10_000,
            maintenance: false,
        }
    }
}

impl HealthOptions {
    /// Checks each value's range and that the values are compatible with each other.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check(&self) -> Result<(), SettingError> {
        check_within("floor", u64::from(self.floor), 1, 50)?;
        check_within("rise_step", u64::from(self.rise_step), 1, 100)?;
        check_within("rise_every_ms", self.rise_every_ms, 50, 60_000)?;
        check_within("calm_ms", self.calm_ms, 100, 60_000)?;
        check_within("flaps_per_minute", u64::from(self.flaps_per_minute), 1, 60)?;
        check_within("beat_every_ms", self.beat_every_ms, 20, 1_000)?;
        check_within("hung_after_ms", self.hung_after_ms, 100, 10_000)?;
        check_within("recover_after_ms", self.recover_after_ms, 100, 30_000)?;
        check_within("start_wait_ms", self.start_wait_ms, 0, 600_000)?;
        if !(self.strain_high > 0.0 && self.strain_high <= 1.0) {
            return Err(SettingError::new(
                "strain_high",
                format!("{} is not above 0 and at most 1", self.strain_high),
            ));
        }
        if !(self.strain_low >= 0.0 && self.strain_low < self.strain_high) {
            let fault = format!(
                "{} is not at least 0 and below strain_high, {}",
                self.strain_low, self.strain_high
            );
            return Err(SettingError::new("strain_low", fault));
        }
        if self.hung_after_ms < 2 * self.beat_every_ms {
            let fault = format!(
                "{} is less than twice beat_every_ms, {}; raise it or lower beat_every_ms",
                self.hung_after_ms, self.beat_every_ms
            );
            return Err(SettingError::new("hung_after_ms", fault));
        }
        Ok(())
    }

    pub(super) fn calm(&self) -> Micros {
        self.calm_ms * 1000
    }

    pub(super) fn rise_every(&self) -> Micros {
        self.rise_every_ms * 1000
    }

    pub(super) fn hung_after(&self) -> Micros {
        self.hung_after_ms * 1000
    }

    pub(super) fn recover_after(&self) -> Micros {
        self.recover_after_ms * 1000
    }

    pub(super) fn start_wait(&self) -> Micros {
        self.start_wait_ms * 1000
    }
}

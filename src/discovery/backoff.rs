//! The backoff of calls to discovery: the delay before a gateway calls again, and its upper bounds.
//!
//! The delay depends on how the previous call ended, for how long there was no contact, and the size of the fleet, as all
//! its gateways share one discovery service. An update that a gateway misses counts as notified
//! [`NOTIFICATION_DEADLINE_US`] after discovery had it, whatever became of the calls in between, and a draining member must
//! get no requests once its grace period is over. So no delay is measured from the latest call alone: calls that fail begin
//! at most [`MAX_CALL_INTERVAL_US`] apart, and the first call after a start or a loss begins within
//! [`FIRST_CALL_DEADLINE_US`].
//!
//! This module does no input or output and does not decide what is done with an update.

use crate::fleet::Fleet;
use crate::interface::{DiscoveryMode, Micros, Settings, WatchLoss};

/// The first mean delay before a lost watch is renewed in a small fleet, microseconds.
const INITIAL_BACKOFF_US: Micros = 200_000;
/// The delay before the next call where lists are pushed, microseconds. It is short because the agent serves only this
/// gateway, answers at once and at no cost, and the updates that it has count as notified even if it is not called.
const PUSH_RETRY_DELAY_US: Micros = 50_000;
/// How long a call to discovery may take, microseconds: discovery answers calls one by one and fails those that have
/// waited longer.
const MAX_CALL_DURATION_US: Micros = 2_000_000;
/// How long after discovery had it a missed update counts as notified, microseconds, however the watch was lost and however
/// many calls have failed since. The platform sets this time.
const NOTIFICATION_DEADLINE_US: Micros = 6_000_000;
/// How long a watch may be silent before it counts as broken, microseconds: one and a half of the heartbeats that
/// discovery sends every two seconds. The rest of `NOTIFICATION_DEADLINE_US` is for the next call and its jitter.
pub const WATCH_SILENCE_TIMEOUT_US: Micros = 3_000_000;
/// The longest delay of the first call after a start or a loss, microseconds. Two more calls can then fail before the end
/// of a drain's grace period, 2 s after [`NOTIFICATION_DEADLINE_US`].
const FIRST_CALL_DEADLINE_US: Micros = 2_000_000;
/// The longest time from the start of a failed call to the start of the next, microseconds: the longest duration of a call
/// and half a second of jitter.
const MAX_CALL_INTERVAL_US: Micros = 2_500_000;
/// The least range of the jitter after a call that took all of [`MAX_CALL_INTERVAL_US`], microseconds.
const MIN_JITTER_RANGE_US: Micros = 500_000;
/// How much each gateway of a large fleet widens the range over which first calls are spread, microseconds. Discovery
/// answers some 150 calls a second and queues the others: 900 gateways wait for less than 2 s.
const JITTER_PER_GATEWAY_US: Micros = 4_500;
/// The most doublings of the delay after truncated updates.
const MAX_TRUNCATION_DOUBLINGS: u32 = 4;

/// The backoff of one gateway's calls to discovery.
#[derive(Clone, Copy, Debug)]
pub struct CallBackoff {
    discovery: DiscoveryMode,
    /// Whether delays are spread over the whole fleet; a gateway of a small fleet backs off by itself.
    is_large_fleet: bool,
    /// The range over which the first calls of all gateways are spread, microseconds.
    first_call_jitter: Micros,
    /// How long after discovery had it a missed update counts as notified, microseconds.
    notification_deadline: Micros,
    /// Failed calls and lost watches since the last update; the start counts as one.
    consecutive_losses: u32,
    /// The mean of the next delay of a gateway in a small fleet, microseconds.
    mean_delay: Micros,
}

impl CallBackoff {
    /// The backoff of a gateway that has not called yet. A missed update counts as notified after
    /// [`Settings::poll_interval`] where that is shorter than what the platform sets.
    pub fn new(settings: &Settings) -> CallBackoff {
        let all_gateways = JITTER_PER_GATEWAY_US * Micros::from(settings.fleet_size);
        CallBackoff {
            discovery: settings.discovery,
            is_large_fleet: Fleet::new(settings.fleet_size).is_large(),
            first_call_jitter: all_gateways.min(FIRST_CALL_DEADLINE_US),
            notification_deadline: NOTIFICATION_DEADLINE_US.min(settings.poll_interval),
            consecutive_losses: 1,
            mean_delay: INITIAL_BACKOFF_US,
        }
    }

    /// The delay before the first call after a start, microseconds. It is spread because all gateways may start at once,
    /// and bounded because the age of the list in the configuration is not known: the changes that the list lacks may
    /// count as notified soon.
    pub fn initial_delay(&self, rng: &mut fastrand::Rng) -> Micros {
        if self.is_large_fleet {
            rng.u64(0..=self.first_call_jitter)
        } else {
            0
        }
    }

    /// Resets the backoff after an update.
    pub fn update_received(&mut self) {
        self.consecutive_losses = 0;
        self.mean_delay = INITIAL_BACKOFF_US;
    }

    /// The delay before the next call, microseconds, after a call failed or a watch was lost. It is drawn at random each
    /// time, as the watches of all gateways may be lost together.
    pub fn next_retry_delay(&mut self, loss: WatchLoss, rng: &mut fastrand::Rng) -> Micros {
        if self.discovery == DiscoveryMode::Push {
            return PUSH_RETRY_DELAY_US;
        }
        let max_delay = self.max_delay(loss);
        self.consecutive_losses = self.consecutive_losses.saturating_add(1);
        if self.is_large_fleet {
            return rng.u64(0..=max_delay);
        }
        let mean_delay = self.mean_delay.min(max_delay * 2 / 3);
        self.mean_delay = (self.mean_delay * 2).min(MAX_CALL_INTERVAL_US);
        mean_delay / 2 + rng.u64(0..=mean_delay)
    }

    fn max_delay(&self, loss: WatchLoss) -> Micros {
        // The changes in a truncated update count as notified already: call soon, unless every update is truncated.
        if loss.truncated {
            let doublings = self.consecutive_losses.min(MAX_TRUNCATION_DOUBLINGS);
            return (INITIAL_BACKOFF_US << doublings).min(MAX_CALL_INTERVAL_US);
        }
        let until_deadline = self
            .notification_deadline
            .saturating_sub(loss.staleness + MAX_CALL_DURATION_US)
            .max(INITIAL_BACKOFF_US);
        let until_next_call = if self.consecutive_losses == 0 && self.is_large_fleet {
            self.first_call_jitter
        } else {
            MAX_CALL_INTERVAL_US
                .saturating_sub(loss.staleness)
                .max(MIN_JITTER_RANGE_US)
        };
        until_next_call.min(until_deadline)
    }
}

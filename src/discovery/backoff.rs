//! The backoff of calls to discovery: when a gateway calls, and by when it has to.
//!
//! Decides the delay before each call from how the call before ended, for how long there was no contact, and the size of
//! the fleet, all of which shares one discovery. An update that a gateway misses counts as notified
//! [`NOTIFICATION_DEADLINE_US`] after discovery had it, whatever became of the calls in between, and a drain binds once its
//! grace period is over. So no delay is measured from the latest call alone: calls that fail begin at most
//! [`MAX_CALL_INTERVAL_US`] apart, and the first call after a start or a loss begins within [`FIRST_CALL_DEADLINE_US`].
//!
//! Never decides what is done with an update, and does no input or output.

use crate::fleet::Fleet;
use crate::interface::{DiscoveryMode, Micros, Settings, WatchLoss};

/// The first mean delay before a lost watch is renewed in a small fleet, microseconds.
const INITIAL_BACKOFF_US: Micros = 200_000;
/// The same where lists are pushed, microseconds: the agent serves this gateway alone, at once and at no cost, and what
/// it has counts as notified whether it is called or not.
const PUSH_RETRY_DELAY_US: Micros = 50_000;
/// How long a call to discovery may take, microseconds: it answers calls one by one, and fails those that wait longer.
const MAX_CALL_DURATION_US: Micros = 2_000_000;
/// How long after discovery had it an update that was missed counts as notified, microseconds, however the watch was lost
/// and however many calls have failed since. Set by the platform.
const NOTIFICATION_DEADLINE_US: Micros = 6_000_000;
/// How long a watch may be silent before it counts as broken, microseconds: one and a half of the heartbeats that
/// discovery sends every two seconds. The rest of [`NOTIFICATION_DEADLINE_US`] is for the next call and its jitter.
pub const WATCH_SILENCE_TIMEOUT_US: Micros = 3_000_000;
/// The latest that the first call after a start or a loss begins, microseconds. Two more that fail fit before the grace
/// of a drain (2 s) after [`NOTIFICATION_DEADLINE_US`] is over.
const FIRST_CALL_DEADLINE_US: Micros = 2_000_000;
/// The longest time from the beginning of a call that failed to that of the next, microseconds: what a call may take, and
/// half a second of jitter.
const MAX_CALL_INTERVAL_US: Micros = 2_500_000;
/// The least range of the jitter after a call that took all of [`MAX_CALL_INTERVAL_US`], microseconds.
const MIN_JITTER_RANGE_US: Micros = 500_000;
/// What each gateway of a large fleet adds to the range that first calls are spread over, microseconds. Discovery answers
/// some 150 calls a second and queues the others: 900 gateways wait for under 2 s.
const JITTER_PER_GATEWAY_US: Micros = 4_500;
/// The most doublings of the delay after updates that came truncated.
const MAX_TRUNCATION_DOUBLINGS: u32 = 4;

/// The backoff of one gateway's calls to discovery.
#[derive(Clone, Copy, Debug)]
pub struct CallBackoff {
    discovery: DiscoveryMode,
    /// Each gateway of a small fleet waits as it would alone.
    is_large_fleet: bool,
    /// The range that the first calls of all gateways are spread over.
    first_call_jitter: Micros,
    /// How long after discovery had it an update that was missed counts as notified.
    notification_deadline: Micros,
    /// Calls that failed, and watches that were lost, since the last update; the start counts as one.
    consecutive_losses: u32,
    /// The mean delay of a gateway in a small fleet.
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

    /// The delay before the first call after a start, microseconds. All gateways may start at once; and as the age of the
    /// list in the configuration is not known, what it lacks may bind soon.
    pub fn initial_delay(&self, rng: &mut fastrand::Rng) -> Micros {
        if self.is_large_fleet {
            rng.u64(0..=self.first_call_jitter)
        } else {
            0
        }
    }

    /// An update came: the backoff starts anew.
    pub fn update_received(&mut self) {
        self.consecutive_losses = 0;
        self.mean_delay = INITIAL_BACKOFF_US;
    }

    /// The delay before the next call, microseconds, after one failed or a watch was lost. Drawn anew each time, as the
    /// watches of all gateways may be lost together.
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
        // What a truncated update holds counts as notified already: call soon, unless every update comes truncated.
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

//! When a gateway calls discovery, and by when it has to.
//!
//! Decides the wait before each call, from how the call before ended, for how long nothing was heard, and the size of the
//! fleet, which shares one discovery. What a gateway misses counts as told [`MISSED_TOLD`] after discovery had it, whatever
//! became of the calls meanwhile, and the grace of a drain later it must not be acted against. So no wait is measured from
//! the latest call alone: calls that fail begin at most [`CYCLE`] apart, and the first one after a start or a loss begins
//! within [`FIRST_CALL`]. Never decides what is done with a list, and does no input or output.

use crate::fleet::Fleet;
use crate::interface::{DiscoveryMode, Micros, Settings, WatchLoss};

/// First wait before a lost watch is renewed where a gateway is one of few, microseconds. Ours.
const RENEW_FIRST: Micros = 200_000;
/// The same where lists are pushed: the agent serves this gateway alone, at once and at no cost, and what it has counts
/// as told whether it is asked or not. Ours.
const RENEW_AT_AGENT: Micros = 50_000;
/// What a call to discovery may take, microseconds: it answers calls one by one, and fails those that wait longer.
const CALL_TAKES: Micros = 2_000_000;
/// After how long what a watch or a call misses counts as told, microseconds, however the watch was lost and however
/// many calls have failed since. The platform's.
const MISSED_TOLD: Micros = 6_000_000;
/// How long a watch that says something every two seconds may be silent before it is taken for broken,
/// microseconds: a beat and a half. What is left until [`MISSED_TOLD`] is for the next call and its spread.
pub const SILENCE: Micros = 3_000_000;
/// The latest that the first call after a start or a loss begins, microseconds. Two more that fail fit before the grace
/// of a drain (2 s) after [`MISSED_TOLD`] is over. Ours.
const FIRST_CALL: Micros = 2_000_000;
/// The longest time from the beginning of a call that failed to that of the next, microseconds: what a call may take, and
/// half a second for the calls of all gateways to fall apart in. Ours.
const CYCLE: Micros = 2_500_000;
/// The longest wait after a call that took all of [`CYCLE`], microseconds. Ours.
const LEAST_SPREAD: Micros = 500_000;
/// The time that first calls are spread over for each gateway of a large fleet, microseconds. A discovery answered 150
/// calls a second where it was measured: what comes faster waits in its queue, up to 900 gateways for under 2 s. Ours.
const SPREAD_EACH: Micros = 4_500;

/// The calls of one gateway to discovery.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    discovery: DiscoveryMode,
    /// Each gateway of a small fleet waits as it would alone.
    is_large: bool,
    /// What the first calls of all gateways are spread over.
    spread: Micros,
    /// After how long what was missed counts as told.
    told_after: Micros,
    /// Calls that failed, and watches that were lost, since the last list; that of the start is one.
    losses: u32,
    /// Mean wait of a gateway of a small fleet.
    wait: Micros,
}

impl Calls {
    /// The calls of one gateway; a list that is not asked for counts as told after a time that the settings give.
    pub fn new(settings: &Settings) -> Calls {
        Calls {
            discovery: settings.discovery,
            is_large: Fleet::new(settings.fleet_size).is_large(),
            spread: (SPREAD_EACH * Micros::from(settings.fleet_size)).min(FIRST_CALL),
            told_after: MISSED_TOLD.min(settings.poll_interval),
            losses: 1,
            wait: RENEW_FIRST,
        }
    }

    /// The wait before the first call after a start: all gateways may start at once. What the list in the configuration
    /// misses may bind soon, as its age is not known.
    pub fn begin(&self, rng: &mut fastrand::Rng) -> Micros {
        if self.is_large {
            rng.u64(0..=self.spread)
        } else {
            0
        }
    }

    /// A list came.
    pub fn answered(&mut self) {
        (self.losses, self.wait) = (0, RENEW_FIRST);
    }

    /// The wait before the next call, after one failed or a watch was lost. Drawn anew each time, as watches of all
    /// gateways are lost together.
    pub fn again(&mut self, loss: WatchLoss, rng: &mut fastrand::Rng) -> Micros {
        if self.discovery == DiscoveryMode::Push {
            return RENEW_AT_AGENT;
        }
        let longest = self.longest(loss);
        self.losses = self.losses.saturating_add(1);
        if self.is_large {
            return rng.u64(0..=longest);
        }
        let mean = self.wait.min(longest * 2 / 3);
        self.wait = (self.wait * 2).min(CYCLE);
        mean / 2 + rng.u64(0..=mean)
    }

    /// The longest wait before the next call.
    fn longest(&self, loss: WatchLoss) -> Micros {
        // What was written counts as told already: the next call hurries, unless each list is cut.
        if loss.truncated {
            return (RENEW_FIRST << self.losses.min(4)).min(CYCLE);
        }
        let left = self
            .told_after
            .saturating_sub(loss.staleness + CALL_TAKES)
            .max(RENEW_FIRST);
        let apart = if self.losses == 0 && self.is_large {
            self.spread
        } else {
            CYCLE.saturating_sub(loss.staleness).max(LEAST_SPREAD)
        };
        apart.min(left)
    }
}

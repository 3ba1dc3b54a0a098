//! Slow start: how many requests a member that has just started may get.
//!
//! A member warms up for [`Settings::slow_start_duration`]. Until then each gateway dispatches to it from a token
//! bucket. All gateways share the rate; each computes its own part without asking the others.

use super::fleet::Fleet;
use super::member::Member;
use super::requests::Request;
use super::selection::LONG_READ_WORK;
use super::Router;
use crate::interface::{Micros, Settings};

/// The share of the overload multiple that the fleet uses. It applies to a mean load, which is below the capacity.
const OVERLOAD_MARGIN: f64 = 1.0;
/// The least number of requests per overload duration that a budget allows for, as arrivals vary by chance.
const CHANCE_REQUESTS: f64 = 2.0;

/// The least share of its capacity, from 0 to 1, that a member has at `now`; a `started_at` of 0 is long ago.
pub fn slow_start_fraction(settings: &Settings, started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= settings.slow_start_duration {
        return 1.0;
    }
    let progress = age as f64 / settings.slow_start_duration.max(1) as f64;
    let initial = settings.slow_start_initial_share;
    (initial + (1.0 - initial) * progress).min(1.0)
}

/// What one gateway may dispatch to a member that is warming up, in requests of the lightest class per microsecond.
///
/// `throughput` is the mean work that one member of its group does for this gateway per microsecond, and
/// `lightest_latency` the latency of the lightest class, microseconds. All gateways together send a share of the
/// throughput of such a member. If that is low, each gateway uses its part of what a member with one core could do, up
/// to one request per overload duration for each gateway of a small fleet.
pub(crate) fn dispatch_rate(
    fleet: Fleet,
    settings: &Settings,
    slow_start_fraction: f64,
    throughput: f64,
    lightest_latency: f64,
) -> f64 {
    let share = OVERLOAD_MARGIN * settings.overload_multiple * slow_start_fraction;
    let span = settings.overload_duration.max(1) as f64;
    let one_core = (share / lightest_latency.max(1.0)).max(CHANCE_REQUESTS / span);
    let least = (one_core / fleet.gateways()).min(1.0 / (span * fleet.scale_factor()));
    (share * throughput).max(least)
}

/// The dispatches that a gateway may still make to a member that is warming up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// A bucket that holds `tokens` at `now`; a negative number is a debt.
    pub(crate) fn new(tokens: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            tokens,
            updated_at: now,
        }
    }

    /// The tokens at `now`, if `rate_per_us` are added per microsecond. A bucket holds at most the tokens of half of
    /// `span`, as all gateways may use theirs at the same time.
    pub(crate) fn available(&self, now: Micros, rate_per_us: f64, span: Micros) -> f64 {
        let earned = now.saturating_sub(self.updated_at) as f64 * rate_per_us;
        let tokens = self.tokens + earned;
        let capacity = rate_per_us * span as f64 / 2.0;
        // If half of a span adds less than a whole token, a token expires after half of a span: this bounds how many
        // gateways hold one at the same time.
        if capacity < 1.0 && tokens.max(0.0).fract() > capacity {
            tokens.fract()
        } else {
            tokens.min(capacity.max(1.0))
        }
    }
}

impl Router {
    /// The slow-start fraction of a member now.
    pub(super) fn slow_start_fraction(&self, member: &Member) -> f64 {
        slow_start_fraction(&self.settings, member.started_at, self.now)
    }

    pub(super) fn is_warming_up(&self, member: &Member) -> bool {
        self.slow_start_fraction(member) < 1.0
    }

    /// The slow-start tokens that are available for a member that is warming up.
    pub(super) fn slow_start_tokens(&self, member: &Member) -> f64 {
        let throughput = self
            .topology
            .group(member.group)
            .map_or(0.0, |group| group.throughput_per_member(self.now));
        let rate = dispatch_rate(
            self.fleet,
            &self.settings,
            self.slow_start_fraction(member),
            throughput,
            self.classes.lightest_latency(),
        );
        let span = self.settings.overload_duration.max(1);
        member.slow_start_tokens.available(self.now, rate, span)
    }

    /// Whether a member is warm, or has enough tokens for a request. A long read needs more of them, in proportion to
    /// its sampling point, as every gateway that holds one token may have a long read to send.
    pub(super) fn has_slow_start_tokens(&self, request: &Request, member: &Member) -> bool {
        if !self.is_warming_up(member) {
            return true;
        }
        let work = self.classes.relative_work(request.class());
        let cost = if request.may_use_replica() && work >= LONG_READ_WORK {
            (request.sampling_point * work).max(1.0)
        } else {
            1.0
        };
        self.slow_start_tokens(member) >= cost
    }
}

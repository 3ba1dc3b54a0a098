//! Slow start: what a member that has just started may be sent.
//!
//! A member warms up for [`Settings::slow_start_duration`]. Until then each gateway dispatches to it from a token
//! bucket, whose rate all gateways share by a calculation that each makes alone.

use super::fleet::Fleet;
use super::member::Member;
use super::requests::Request;
use super::selection::LONG_READ_WORK;
use super::Router;
use crate::interface::{Micros, Settings};

/// Share of the overload multiple that the fleet uses, of a mean load that lies below the capacity.
const OVERLOAD_MARGIN: f64 = 1.0;
/// Requests beyond itself that each budget must allow for: arrivals vary by chance.
const CHANCE_REQUESTS: f64 = 2.0;

/// The least share of its capacity, from 0 to 1, that a member has which started at a time; 0 is long ago.
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
/// `throughput` is what one member of its group carries for this gateway on the mean, in work per microsecond, and
/// `lightest` the latency of the lightest class, microseconds. All gateways together send a share of what such a
/// member carries. Where little was carried, each takes its part of what a member of one core could do, up to one
/// request a span for each gateway of a small fleet.
pub(crate) fn dispatch_rate(
    fleet: Fleet,
    settings: &Settings,
    slow_start_fraction: f64,
    throughput: f64,
    lightest: f64,
) -> f64 {
    let share = OVERLOAD_MARGIN * settings.overload_multiple * slow_start_fraction;
    let span = settings.overload_duration.max(1) as f64;
    let one_core = (share / lightest.max(1.0)).max(CHANCE_REQUESTS / span);
    let least = (one_core / fleet.gateways()).min(1.0 / (span * fleet.oversize()));
    (share * throughput).max(least)
}

/// The dispatches that a gateway has saved up for a member that is warming up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// A bucket that holds so many tokens at a time; fewer than none is a debt.
    pub(crate) fn new(tokens: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            tokens,
            updated_at: now,
        }
    }

    /// The tokens at a time, where so many are earned per microsecond. It holds at most what half the span earns, as
    /// all gateways may spend theirs together.
    pub(crate) fn available(&self, now: Micros, rate_per_us: f64, span: Micros) -> f64 {
        let earned = now.saturating_sub(self.updated_at) as f64 * rate_per_us;
        let tokens = self.tokens + earned;
        let capacity = rate_per_us * span as f64 / 2.0;
        // A bucket that earns less than a whole token keeps one for half a span: that bounds how many gateways hold one
        // at the same time.
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

    /// The dispatches saved up for a member that is warming up.
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
            self.classes.lightest(),
        );
        let span = self.settings.overload_duration.max(1);
        member.slow_start_tokens.available(self.now, rate, span)
    }

    /// Whether a member is warm, or enough dispatches are saved up for a request. A long read needs more of them, by
    /// its sampling point: each gateway that saved up one dispatch may have one to send.
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

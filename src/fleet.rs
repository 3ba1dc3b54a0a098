//! What a fleet of fronts may spend at members that all of them share, and what part of it falls to one front.
//!
//! It decides, from the size of the fleet, the settings and this front's own answers, how far apart in time this front
//! does what each front does at every member and at discovery, what a cold member may get from it, and what share of
//! reads it takes. It never asks who the other fronts are or what they do.

use crate::interface::{Micros, Outcome, Settings};

/// Fronts that may each keep a pace at one member; a larger fleet shares what these would do. Ours.
const FRONTS_AT_PACE: f64 = 8.0;

/// Share of the fall multiple that we let ourselves use, of a mean load that lies below the capacity. Ours.
const COLD_SAFETY: f64 = 1.0;
/// Requests that any budget has room for beyond itself: chance, as the platform counts it.
const CHANCE: f64 = 2.0;

/// The fleet, as seen from one of its fronts.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    fronts: f64,
}

impl Fleet {
    /// A fleet of so many fronts.
    pub fn new(fronts: u32) -> Fleet {
        Fleet {
            fronts: f64::from(fronts),
        }
    }

    /// How many times the fleet exceeds what each front may do at its own pace; 1 for a small one.
    pub fn sharing(self) -> f64 {
        (self.fronts / FRONTS_AT_PACE).max(1.0)
    }

    /// Whether traffic is spread over so many fronts that each hears little of a member.
    pub fn is_large(self) -> bool {
        self.sharing() > 1.0
    }

    /// What this front may send a member of this warmth, in requests of the lightest class a microsecond: all fronts
    /// together a share of what one of its group carries for this front on the mean. Before anything was carried, and
    /// where little is, its part of what a member of one core could do, up to a request for each span of each front that
    /// keeps a pace of its own.
    pub fn cold_rate(self, settings: &Settings, warmth: f64, carried: f64, lightest: f64) -> f64 {
        let share = COLD_SAFETY * settings.overload_multiple * warmth;
        let span = settings.overload_duration.max(1) as f64;
        let core = (share / lightest.max(1.0)).max(CHANCE / span);
        let least = (core / self.fronts).min(1.0 / (span * self.sharing()));
        (share * carried).max(least)
    }

    /// A time, microseconds, stretched so that a large fleet does not multiply what each front does at a member.
    pub fn pace(self, alone: Micros) -> Micros {
        (alone as f64 * self.sharing()) as Micros
    }
}

/// The share of its capacity that a member started at a time, 0 for long ago, has at least.
pub fn warmth(settings: &Settings, started: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started);
    if started == 0 || age >= settings.slow_start_duration {
        return 1.0;
    }
    let ramp = age as f64 / settings.slow_start_duration.max(1) as f64;
    (settings.slow_start_initial_share + (1.0 - settings.slow_start_initial_share) * ramp).min(1.0)
}

/// Over what time the work that a group carries is averaged, microseconds: long beside a release of servers, in
/// which it must not be learned anew. Ours.
const CARRIED_OVER: Micros = 30_000_000;
/// The least time that an average is taken over: the first answers come in a burst. Ours.
const CARRIED_LEAST: Micros = 2_000_000;

/// What a group's members have carried for this front, in work of the lightest class: only what was answered, so
/// that a crowd of requests does not look like room. Each front's own part, however little and chancy, adds up to
/// what the group carries for the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct Carried {
    work: f64,
    since: Option<Micros>,
    at: Micros,
}

impl Carried {
    /// An answer to a request of so much work.
    pub fn answered(&mut self, now: Micros, work: f64) {
        self.since.get_or_insert(now);
        self.work = self.left(now) + work;
        self.at = now;
    }

    fn left(&self, now: Micros) -> f64 {
        self.work * (-(now.saturating_sub(self.at) as f64) / CARRIED_OVER as f64).exp()
    }

    /// Work a microsecond.
    pub fn rate(&self, now: Micros) -> f64 {
        let age = self
            .since
            .map_or(0, |since| now.saturating_sub(since))
            .max(CARRIED_LEAST) as f64;
        let over = CARRIED_OVER as f64;
        self.left(now) / (over * (1.0 - (-age / over).exp()))
    }
}

/// Sends saved up for a cold member.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credit {
    credit: f64,
    at: Micros,
}

impl Credit {
    /// So much credit at a time; less than none is a debt.
    pub fn new(credit: f64, at: Micros) -> Credit {
        Credit { credit, at }
    }

    /// What is saved up at a time, earning so many sends a microsecond, spent within a span: what half a span earns at
    /// most, as all fronts may spend theirs together.
    pub fn saved(&self, now: Micros, per_micro: f64, span: Micros) -> f64 {
        let earned = now.saturating_sub(self.at) as f64 * per_micro;
        let (credit, most) = (self.credit + earned, per_micro * span as f64 / 2.0);
        // One that earns less than a whole send holds it for half a span: so many of them hold one at any time.
        if most < 1.0 && credit.max(0.0).fract() > most {
            credit.fract()
        } else {
            credit.min(most.max(1.0))
        }
    }
}

/// Latency over wanted time above which a limit shrinks or a share stops growing. Ours.
pub const PRESSED: f64 = 0.6;
/// Latency over wanted time of answers above which late ones speak of load, not of single members. Ours.
pub const LOADED: f64 = 0.35;
/// Share of a newly measured value in a running mean. Ours; a tenth follows change within a second or so.
pub const LEARN: f64 = 0.1;
/// Share of arriving reads taken: what a late answer takes off, one in good time adds, and the least. Ours.
const SHARE_LOSS: f64 = 0.15;
const SHARE_GAIN: f64 = 0.02;
const SHARE_FLOOR: f64 = 0.2;

/// What a front's attempts at some members, taken together, say of their load.
pub struct Flow {
    /// Share of arriving reads taken.
    pub share: f64,
    /// Running mean of latency over wanted time, of answers.
    pub pressure: f64,
}

impl Default for Flow {
    fn default() -> Flow {
        Flow {
            share: 1.0,
            pressure: 0.0,
        }
    }
}

impl Flow {
    /// Takes in how an attempt ended, in what part of the wanted time; `told` says that the time can be trusted,
    /// `thin` that limits in flight can't act here.
    pub fn learn(&mut self, outcome: Outcome, ratio: f64, told: bool, thin: bool) {
        let served = outcome == Outcome::Served;
        if served && told {
            self.pressure += LEARN * (ratio - self.pressure);
        }
        let late = outcome == Outcome::TimedOut || served && ratio >= 1.0;
        if served && ratio < PRESSED {
            self.share = (self.share + SHARE_GAIN).min(1.0);
        } else if thin && told && (late && self.pressure > LOADED || outcome == Outcome::Rejected) {
            self.share = (self.share * (1.0 - SHARE_LOSS)).max(SHARE_FLOOR);
        }
    }
}

/// Attempts in flight that a member may start with, and the least the limit shrinks to. Ours.
const LIMIT_START: f64 = 8.0;
const LIMIT_LEAST: f64 = 2.0;
/// The least time between two reductions of a limit, microseconds: an answer must show what the last one did. Ours.
const LIMIT_RESTS: Micros = 100_000;

/// How many own attempts in flight keep a member's latency under the wanted time.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Most own attempts in flight.
    pub most: f64,
    /// Running mean of latency over wanted time.
    pub pressure: f64,
    moved: Micros,
}

impl Default for Limit {
    fn default() -> Limit {
        Limit {
            most: LIMIT_START,
            pressure: 0.0,
            moved: 0,
        }
    }
}

impl Limit {
    /// Brings the limit down to so many, from where it grows again.
    pub fn lower(&mut self, most: f64) {
        self.most = self.most.min(most);
    }

    /// Takes in an answer in what part of the wanted time, while so many others were out.
    pub fn learn(&mut self, ratio: f64, in_flight: u32, now: Micros) {
        self.pressure += LEARN * (ratio - self.pressure);
        let reached = f64::from(in_flight + 1);
        let rested = now.saturating_sub(self.moved) > LIMIT_RESTS;
        if self.pressure > PRESSED && rested {
            self.most = (self.most.min(reached) * 0.9).max(LIMIT_LEAST);
            self.moved = now;
        } else if self.pressure < PRESSED * 0.75 && reached >= self.most * 0.5 {
            self.most += 1.0 / self.most.max(1.0);
        }
    }
}

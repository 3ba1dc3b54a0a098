//! How much load this gateway should get from whoever balances clients over gateways.
//!
//! Decides a [`State`] and a weight of 0 to 100, for the whole gateway and for each group, from what
//! [`Observer`] saw of the decision module's events and actions, from the heartbeat of the request path, from the
//! capacity that is left, and from the drain's timetable. One entry point: [`Machine::handle`]. It never routes, rejects
//! or delays a request, and does no input or output; `docs/design/health.md` says why it decides as it does.

pub mod agent;
pub mod connection_limit;
pub mod drain;
pub mod grpc;
pub mod http;
mod liveness;
mod observer;
pub mod options;
pub mod postgres;
mod weight;

pub use liveness::{CommandAge, Heartbeat, Liveness};
pub use observer::{GroupReport, Observer, Report};
pub use options::HealthOptions;
pub use weight::{WeightRamp, WeightSteps};

use crate::interface::{GroupId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The highest weight.
pub const FULL: u8 = 100;

/// What the whole gateway, or one group through it, is fit for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not yet ready for clients.
    Starting,
    /// Serving all it should.
    Up,
    /// Serving less than it should.
    Degraded,
    /// Still serving what comes, but nothing new should be sent.
    Draining,
    /// Closing what is left.
    Stopping,
    /// The request path makes no progress, whether or not its port accepts connections.
    Hung,
}

/// Why a state or weight is as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Nothing is wrong.
    Fine,
    /// No endpoint list yet, or a group with no reachable member yet.
    Start,
    /// It recovers: the weight rises slowly.
    Recovering,
    /// No member is marked primary.
    NoPrimary,
    /// Rejections and late answers, or little capacity left.
    Overload,
    /// No member can serve.
    NoMember,
    /// Fresh connections are not accepted; those that are open are served.
    Accept,
    /// The fleet's log can't be reached, or the others took the gateway's registration away: it may not act on what they agree.
    ShutOut,
    /// The operator's file says so.
    Maintenance,
    /// The program was told to end.
    Drain,
    /// The heartbeat is not answered.
    Hung,
}

impl Reason {
    /// Its code in protocols and logs.
    pub fn code(self) -> &'static str {
        match self {
            Reason::Fine => "fine",
            Reason::Start => "start",
            Reason::Recovering => "recovering",
            Reason::NoPrimary => "no-primary",
            Reason::Overload => "overload",
            Reason::NoMember => "no-member",
            Reason::Accept => "accept",
            Reason::ShutOut => "shut-out",
            Reason::Maintenance => "maintenance",
            Reason::Drain => "drain",
            Reason::Hung => "hung",
        }
    }
}

/// What is reported about a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Fitness.
    pub state: State,
    /// 0 to 100.
    pub weight: u8,
    /// Why.
    pub reason: Reason,
}

impl Status {
    /// Whether new clients should be sent.
    pub fn ready(&self) -> bool {
        matches!(self.state, State::Up | State::Degraded) && self.weight > 0
    }
}

/// What a status is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The whole gateway.
    Gateway,
    /// One group, as served through this gateway.
    Group(GroupId),
}

/// How much of what it may hold the gateway holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Client connections that are open, and the most there may be.
    pub sessions: usize,
    /// See `sessions`.
    #[serde(rename = "most_sessions")]
    pub max_sessions: usize,
    /// Requests that are open, and the most that descriptors allow.
    pub requests: usize,
    /// See `requests`.
    #[serde(rename = "most_requests")]
    pub max_requests: usize,
}

impl Capacity {
    /// The share that is taken, of whatever is nearest its limit; idle sessions make room for others, so they
    /// count only once not even that helps.
    fn utilization(&self) -> f64 {
        let share = |held: usize, most: usize| {
            if most == 0 {
                0.0
            } else {
                held as f64 / most as f64
            }
        };
        let sessions = share(self.sessions, self.max_sessions);
        share(self.requests, self.max_requests).max(if sessions >= 0.99 { sessions } else { 0.0 })
    }

    /// No further session can be accepted.
    pub fn is_full(&self) -> bool {
        self.max_sessions > 0 && self.sessions >= self.max_sessions
    }
}

/// What happens to a [`Machine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The decision module's report and the capacity in use.
    Observed(Report, Capacity),
    /// The decision module could not be asked: its lock is held.
    ObservationMissed,
    /// Progress of the heartbeat.
    Heartbeat(Heartbeat),
    /// The age of the oldest command that no session has taken.
    OldestCommandAge(Micros),
    /// The program was told to end.
    Terminate,
    /// Connections are being closed.
    Stopping,
    /// Whether the gateway has no registration in the fleet's log, where there is one.
    RegistrationLost(bool),
    /// The operator's file was read again.
    Configured(HealthOptions),
    /// Time passed.
    Tick,
}

/// What a [`Machine`] wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Report this status from now on.
    Announce(Scope, Status),
    /// A scope is no longer served or reported.
    Withdraw(Scope),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Serving,
    Draining,
    Stopping,
}

/// The state of a group.
struct Group {
    /// The share of its priority weight that needs the primary, as it was when the primary was lost.
    lost_primary_share: Option<f64>,
    steps: WeightSteps,
    ramp: WeightRamp,
    /// The last that was seen of it.
    seen: GroupReport,
}

/// The state machine; see the module.
pub struct Machine {
    options: HealthOptions,
    started_at: Micros,
    now: Micros,
    phase: Phase,
    liveness: Liveness,
    groups: BTreeMap<GroupId, Group>,
    steps: WeightSteps,
    ramp: WeightRamp,
    list_received: bool,
    registration_lost: bool,
    announced: BTreeMap<Scope, Status>,
}

impl Machine {
    /// A gateway that has just started; `options` must have passed [`HealthOptions::check`].
    pub fn new(options: HealthOptions, now: Micros) -> Machine {
        Machine {
            liveness: Liveness::new(now),
            options,
            started_at: now,
            now,
            phase: Phase::Starting,
            groups: BTreeMap::new(),
            steps: WeightSteps::default(),
            ramp: WeightRamp::new(0, now),
            list_received: false,
            registration_lost: false,
            announced: BTreeMap::new(),
        }
    }

    /// Takes in one event and appends what is to be done. Time never goes back.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.liveness.advance(self.now);
        match event {
            Event::Observed(report, capacity) => self.observed(report, capacity),
            Event::ObservationMissed => self.liveness.observation_missed(self.now),
            Event::Heartbeat(beat) => self.liveness.heartbeat(self.now, beat),
            Event::OldestCommandAge(age) => self.liveness.oldest_command_age(age),
            // A second signal changes nothing, and nothing leads back.
            Event::Terminate if self.phase < Phase::Draining => self.phase = Phase::Draining,
            Event::Stopping => self.phase = Phase::Stopping,
            Event::Configured(options) => self.options = options,
            Event::RegistrationLost(registration_lost) => {
                self.registration_lost = registration_lost
            }
            Event::Terminate | Event::Tick => {}
        }
        self.liveness.evaluate(self.now, &self.options);
        self.leave_start();
        self.move_weights();
        self.announce(actions);
    }

    /// The status of a scope that is reported now.
    pub fn status(&self, scope: Scope) -> Option<Status> {
        self.announced.get(&scope).copied()
    }

    /// All statuses that are reported now.
    pub fn statuses(&self) -> impl Iterator<Item = (Scope, Status)> + '_ {
        self.announced
            .iter()
            .map(|(scope, status)| (*scope, *status))
    }

    /// Whether the request path makes progress, as far as is known: what a watchdog may be told.
    pub fn moves(&self) -> bool {
        !self.liveness.is_hung()
    }

    /// The last that was seen of the groups.
    pub fn seen_groups(&self) -> impl Iterator<Item = &GroupReport> {
        self.groups.values().map(|group| &group.seen)
    }

    fn observed(&mut self, report: Report, capacity: Capacity) {
        let (now, options) = (self.now, &self.options);
        self.liveness.observed(capacity.is_full());
        self.list_received |= report.list_received;
        self.groups
            .retain(|id, _| report.groups.iter().any(|group| group.group == *id));
        for seen in report.groups {
            let group = self.groups.entry(seen.group).or_insert_with(|| Group {
                lost_primary_share: None,
                steps: WeightSteps::default(),
                ramp: WeightRamp::new(0, 0),
                seen: seen.clone(),
            });
            // Frozen when it is lost: without a primary, clients' retries would count over and over.
            group.lost_primary_share = match (seen.primary, group.lost_primary_share) {
                (true, _) => None,
                (false, None) => Some(seen.needs_primary),
                (false, share) => share,
            };
            group.steps.update(now, seen.overload_share(), 0.0, options);
            group.seen = seen;
        }
        self.steps
            .update(now, None, capacity.utilization(), options);
    }

    fn leave_start(&mut self) {
        if self.phase != Phase::Starting || !self.liveness.has_answered() {
            return;
        }
        let usable =
            !self.groups.is_empty() && self.groups.values().all(|group| group.seen.usable > 0);
        let waited = self.now.saturating_sub(self.started_at) >= self.options.start_wait();
        if (self.list_received && usable) || waited {
            self.phase = Phase::Serving;
            // A new gateway starts slowly.
            self.ramp = WeightRamp::new(self.options.floor, self.now);
            for group in self.groups.values_mut() {
                let floor = if group.seen.usable > 0 {
                    self.options.floor
                } else {
                    0
                };
                group.ramp = WeightRamp::new(floor, self.now);
            }
        }
    }

    /// The weight a group should have, and why.
    fn group_target(&self, group: &Group) -> (u8, Reason) {
        if group.seen.usable == 0 {
            return (0, Reason::NoMember);
        }
        let level = group.steps.weight(&self.options);
        let served = f64::from(level) * (1.0 - group.lost_primary_share.unwrap_or(0.0));
        // Reads can be served: never 0, or the last gateways of a group would be taken out with it.
        let weight = (served.round() as u8).clamp(self.options.floor, FULL);
        match group.lost_primary_share {
            Some(_) => (weight, Reason::NoPrimary),
            None if level < FULL => (weight, Reason::Overload),
            None => (weight, Reason::Fine),
        }
    }

    /// The weight of the whole gateway: its groups' by their priority weight, less what it lacks capacity for.
    fn target(&self) -> (u8, Reason) {
        let (mut weight_sum, mut sum, mut reason) = (0.0, 0.0, Reason::Fine);
        for group in self.groups.values() {
            let (weight, why) = self.group_target(group);
            weight_sum += group.seen.recent_weight;
            sum += group.seen.recent_weight * f64::from(weight);
            reason = reason.max(why);
        }
        if weight_sum <= 0.0 || sum <= 0.0 {
            return (0, Reason::NoMember);
        }
        let level = self.steps.weight(&self.options);
        let weight = sum / weight_sum * f64::from(level) / f64::from(FULL);
        let weight = (weight.round() as u8).clamp(self.options.floor, FULL);
        let accepts = self.liveness.accepts();
        // Never 0 without a registration: it serves clients on, and if all gateways lost theirs, none is better.
        let weight = if accepts && !self.registration_lost {
            weight
        } else {
            self.options.floor
        };
        let reason = match reason {
            _ if !accepts => Reason::Accept,
            _ if self.registration_lost => Reason::ShutOut,
            Reason::Fine if level < FULL => Reason::Overload,
            reason => reason,
        };
        (weight, reason)
    }

    fn move_weights(&mut self) {
        let (now, hung) = (self.now, self.liveness.is_hung());
        let targets: Vec<(GroupId, u8)> = self
            .groups
            .iter()
            .map(|(id, group)| (*id, self.group_target(group).0))
            .collect();
        let gateway_target = if hung {
            self.options.floor
        } else {
            self.target().0
        };
        for (id, target) in targets {
            if let Some(group) = self.groups.get_mut(&id) {
                let target = if hung {
                    target.min(self.options.floor)
                } else {
                    target
                };
                group.ramp.move_towards(now, target, &self.options);
            }
        }
        if self.phase == Phase::Serving {
            self.ramp.move_towards(now, gateway_target, &self.options);
        }
    }

    /// What outranks any weight: the same for the gateway and all its groups.
    fn overriding(&self) -> Option<Status> {
        let status = |state, reason| {
            Some(Status {
                state,
                weight: 0,
                reason,
            })
        };
        match self.phase {
            Phase::Stopping => status(State::Stopping, Reason::Drain),
            Phase::Draining => status(State::Draining, Reason::Drain),
            _ if self.liveness.is_hung() => status(State::Hung, Reason::Hung),
            Phase::Starting => status(State::Starting, Reason::Start),
            Phase::Serving if self.options.maintenance => {
                status(State::Draining, Reason::Maintenance)
            }
            Phase::Serving => None,
        }
    }

    fn announce(&mut self, actions: &mut Vec<Action>) {
        let overriding = self.overriding();
        let shown = |weight: u8, (target, reason): (u8, Reason)| {
            let reason = if reason == Reason::Fine && weight < target {
                Reason::Recovering
            } else {
                reason
            };
            let state = if weight == FULL {
                State::Up
            } else {
                State::Degraded
            };
            overriding.unwrap_or(Status {
                state,
                weight,
                reason,
            })
        };
        let mut now = vec![(Scope::Gateway, shown(self.ramp.weight(), self.target()))];
        now.extend(self.groups.iter().map(|(id, group)| {
            (
                Scope::Group(*id),
                shown(group.ramp.weight(), self.group_target(group)),
            )
        }));
        let gone = |scope: &&Scope| !now.iter().any(|(told, _)| told == *scope);
        let gone: Vec<Scope> = self.announced.keys().filter(gone).copied().collect();
        for scope in gone {
            self.announced.remove(&scope);
            actions.push(Action::Withdraw(scope));
        }
        for (scope, status) in now {
            if self.announced.insert(scope, status) != Some(status) {
                actions.push(Action::Announce(scope, status));
            }
        }
    }
}

impl PartialOrd for Phase {
    fn partial_cmp(&self, other: &Phase) -> Option<std::cmp::Ordering> {
        (*self as u8).partial_cmp(&(*other as u8))
    }
}

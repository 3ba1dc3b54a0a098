//! Health of the gateway for load balancers: how many of the clients this gateway should receive.
//!
//! [`Machine`] decides a [`State`] and a weight of 0 to 100, for the whole gateway and for each group, from the
//! counts of [`Observer`], the heartbeat of the request path, the capacity in use and the phase of a drain. Its entry
//! point is [`Machine::handle`]. It never routes, rejects or delays a request and does no I/O.
//! `docs/design/health.md` gives the reasons for its rules.

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

/// The highest weight, which a gateway or group has when nothing is wrong.
pub const MAX_WEIGHT: u8 = 100;

/// The state of the whole gateway, or of one group as served through it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Not yet ready for clients.
    Starting,
    /// Serving with full weight.
    Up,
    /// Serving with a lower weight, which is 0 if no member can serve.
    Degraded,
    /// Still accepting and serving requests, but no new clients should be sent.
    Draining,
    /// Closing the remaining connections.
    Stopping,
    /// The request path makes no progress, even if its port still accepts connections.
    Hung,
}

/// The reason for a state or weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Nothing is wrong.
    Fine,
    /// No endpoint list yet, or a group with no reachable member yet.
    Start,
    /// The cause of a lower weight is gone and the weight rises slowly.
    Recovering,
    /// No member is marked primary.
    NoPrimary,
    /// Many requests are rejected, failed or late, or little capacity is left.
    Overload,
    /// No member can serve.
    NoMember,
    /// New connections are not accepted; open ones are served.
    Accept,
    /// The gateway has no registration in the fleet's log, because it cannot reach the log or the other gateways
    /// removed it. It may not act on the decisions that the fleet agrees on there.
    ShutOut,
    /// The operator's file sets `maintenance`.
    Maintenance,
    /// The gateway drains after SIGTERM or SIGINT.
    Drain,
    /// The request path makes no progress, for example because heartbeats are not answered.
    Hung,
}

impl Reason {
    /// The code of the reason in protocols and logs.
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

/// The status that is reported for a scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Whether and how the scope serves.
    pub state: State,
    /// The weight for balancing, from 0 (no new clients) to 100 (a full share).
    pub weight: u8,
    /// The reason for the state and weight.
    pub reason: Reason,
}

impl Status {
    /// Whether new clients should be sent.
    pub fn ready(&self) -> bool {
        matches!(self.state, State::Up | State::Degraded) && self.weight > 0
    }
}

/// The subject of a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The whole gateway.
    Gateway,
    /// One group, as served through this gateway.
    Group(GroupId),
}

/// The capacity of the gateway: what is in use, and the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Capacity {
    /// Open client connections.
    pub sessions: usize,
    /// The most client connections; 0 means no limit.
    #[serde(rename = "most_sessions")]
    pub max_sessions: usize,
    /// Open requests.
    pub requests: usize,
    /// The most open requests that the file descriptors allow; 0 means no limit.
    #[serde(rename = "most_requests")]
    pub max_requests: usize,
}

impl Capacity {
    /// The share in use of the resource that is nearest its limit. Sessions count only when nearly all are in use,
    /// because idle ones are closed to make room for new ones.
    fn utilization(&self) -> f64 {
        let share = |used: usize, limit: usize| {
            if limit == 0 {
                0.0
            } else {
                used as f64 / limit as f64
            }
        };
        let sessions = share(self.sessions, self.max_sessions);
        share(self.requests, self.max_requests).max(if sessions >= 0.99 { sessions } else { 0.0 })
    }

    /// Whether no further session can be accepted.
    pub fn is_full(&self) -> bool {
        self.max_sessions > 0 && self.sessions >= self.max_sessions
    }
}

/// The input of a [`Machine`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The observer's report and the capacity in use.
    Observed(Report, Capacity),
    /// The observer could not be read because the lock of the core was held.
    ObservationMissed,
    /// An event of the heartbeat.
    Heartbeat(Heartbeat),
    /// The age of the oldest command that no session has received, microseconds.
    OldestCommandAge(Micros),
    /// SIGTERM or SIGINT was received.
    Terminate,
    /// The gateway has begun to close its connections.
    Stopping,
    /// Whether the gateway has lost its registration in the fleet's log; sent only if the gateway uses one.
    RegistrationLost(bool),
    /// The operator's file was reloaded.
    Configured(HealthOptions),
    /// Only the time advanced.
    Tick,
}

/// The output of a [`Machine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Report this status from now on.
    Announce(Scope, Status),
    /// Stop reporting a scope, because the gateway no longer serves it.
    Withdraw(Scope),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Serving,
    Draining,
    Stopping,
}

/// The health of one group.
struct Group {
    /// The share of the group's priority weight that only the primary can serve, as it was when the primary was lost.
    lost_primary_share: Option<f64>,
    steps: WeightSteps,
    ramp: WeightRamp,
    last_report: GroupReport,
}

/// The state machine that decides the status of the gateway and of each group.
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
    /// The state of a gateway that has just started; `options` must have passed [`HealthOptions::check`].
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

    /// Handles one event and appends the resulting actions. If the clock steps back, the time of the previous event is
    /// used.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.liveness.advance(self.now);
        match event {
            Event::Observed(report, capacity) => self.apply_report(report, capacity),
            Event::ObservationMissed => self.liveness.observation_missed(self.now),
            Event::Heartbeat(beat) => self.liveness.heartbeat(self.now, beat),
            Event::OldestCommandAge(age) => self.liveness.oldest_command_age(age),
            // A repeated signal has no effect, and a drain cannot be cancelled.
            Event::Terminate if self.phase < Phase::Draining => self.phase = Phase::Draining,
            Event::Stopping => self.phase = Phase::Stopping,
            Event::Configured(options) => self.options = options,
            Event::RegistrationLost(registration_lost) => {
                self.registration_lost = registration_lost
            }
            Event::Terminate | Event::Tick => {}
        }
        self.liveness.evaluate(self.now, &self.options);
        self.serve_if_started();
        self.update_weights();
        self.announce_changes(actions);
    }

    /// The status that is currently reported for a scope.
    pub fn status(&self, scope: Scope) -> Option<Status> {
        self.announced.get(&scope).copied()
    }

    /// All statuses that are currently reported.
    pub fn statuses(&self) -> impl Iterator<Item = (Scope, Status)> + '_ {
        self.announced
            .iter()
            .map(|(scope, status)| (*scope, *status))
    }

    /// Whether the request path makes progress as far as is known, so that a watchdog may be notified.
    pub fn makes_progress(&self) -> bool {
        !self.liveness.is_hung()
    }

    /// The latest report of each group.
    pub fn group_reports(&self) -> impl Iterator<Item = &GroupReport> {
        self.groups.values().map(|group| &group.last_report)
    }

    fn apply_report(&mut self, report: Report, capacity: Capacity) {
        let (now, options) = (self.now, &self.options);
        self.liveness.observed(capacity.is_full());
        self.list_received |= report.list_received;
        self.groups
            .retain(|id, _| report.groups.iter().any(|group| group.group == *id));
        for group_report in report.groups {
            let group = self
                .groups
                .entry(group_report.group)
                .or_insert_with(|| Group {
                    lost_primary_share: None,
                    steps: WeightSteps::default(),
                    ramp: WeightRamp::new(0, 0),
                    last_report: group_report.clone(),
                });
            // The share is kept as it was when the primary was lost: afterwards, clients' retries of requests for the
            // primary would raise it.
            group.lost_primary_share = match (group_report.has_primary, group.lost_primary_share) {
                (true, _) => None,
                (false, None) => Some(group_report.primary_only_share),
                (false, share) => share,
            };
            group
                .steps
                .update(now, group_report.overload_share(), 0.0, options);
            group.last_report = group_report;
        }
        self.steps
            .update(now, None, capacity.utilization(), options);
    }

    /// Ends the start once discovery has sent a list and each group has a usable member, or the start has waited long
    /// enough.
    fn serve_if_started(&mut self) {
        if self.phase != Phase::Starting || !self.liveness.has_answered() {
            return;
        }
        let usable = !self.groups.is_empty()
            && self
                .groups
                .values()
                .all(|group| group.last_report.usable > 0);
        let waited = self.now.saturating_sub(self.started_at) >= self.options.start_wait();
        if (self.list_received && usable) || waited {
            self.phase = Phase::Serving;
            // The weight of a new gateway rises slowly from the floor.
            self.ramp = WeightRamp::new(self.options.floor, self.now);
            for group in self.groups.values_mut() {
                let floor = if group.last_report.usable > 0 {
                    self.options.floor
                } else {
                    0
                };
                group.ramp = WeightRamp::new(floor, self.now);
            }
        }
    }

    /// The weight that a group should have, and the reason.
    fn group_target(&self, group: &Group) -> (u8, Reason) {
        if group.last_report.usable == 0 {
            return (0, Reason::NoMember);
        }
        let level = group.steps.weight(&self.options);
        let served = f64::from(level) * (1.0 - group.lost_primary_share.unwrap_or(0.0));
        // At least the floor, because reads can be served: with 0, balancers would take all gateways of the group out
        // of service.
        let weight = (served.round() as u8).clamp(self.options.floor, MAX_WEIGHT);
        match group.lost_primary_share {
            Some(_) => (weight, Reason::NoPrimary),
            None if level < MAX_WEIGHT => (weight, Reason::Overload),
            None => (weight, Reason::Fine),
        }
    }

    /// The weight that the whole gateway should have, and the reason: the mean of its groups' weights by their priority
    /// weight, lowered when capacity runs short.
    fn gateway_target(&self) -> (u8, Reason) {
        let (mut weight_sum, mut sum, mut reason) = (0.0, 0.0, Reason::Fine);
        for group in self.groups.values() {
            let (weight, group_reason) = self.group_target(group);
            weight_sum += group.last_report.recent_weight;
            sum += group.last_report.recent_weight * f64::from(weight);
            reason = reason.max(group_reason);
        }
        if weight_sum <= 0.0 || sum <= 0.0 {
            return (0, Reason::NoMember);
        }
        let level = self.steps.weight(&self.options);
        let weight = sum / weight_sum * f64::from(level) / f64::from(MAX_WEIGHT);
        let weight = (weight.round() as u8).clamp(self.options.floor, MAX_WEIGHT);
        let accepts = self.liveness.accepts();
        // Without a registration the weight is the floor, not 0: the gateway still serves clients, and if all gateways
        // lost theirs, balancers must not take all of them out of service.
        let weight = if accepts && !self.registration_lost {
            weight
        } else {
            self.options.floor
        };
        let reason = match reason {
            _ if !accepts => Reason::Accept,
            _ if self.registration_lost => Reason::ShutOut,
            Reason::Fine if level < MAX_WEIGHT => Reason::Overload,
            reason => reason,
        };
        (weight, reason)
    }

    /// Moves the weights of the gateway and its groups towards their targets.
    fn update_weights(&mut self) {
        let (now, hung) = (self.now, self.liveness.is_hung());
        let targets: Vec<(GroupId, u8)> = self
            .groups
            .iter()
            .map(|(id, group)| (*id, self.group_target(group).0))
            .collect();
        let gateway_target = if hung {
            self.options.floor
        } else {
            self.gateway_target().0
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

    /// The status that replaces the weighted one, for the gateway and all its groups alike.
    fn override_status(&self) -> Option<Status> {
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

    /// Appends actions for the statuses that changed.
    fn announce_changes(&mut self, actions: &mut Vec<Action>) {
        let override_status = self.override_status();
        let status_for = |weight: u8, (target, reason): (u8, Reason)| {
            let reason = if reason == Reason::Fine && weight < target {
                Reason::Recovering
            } else {
                reason
            };
            let state = if weight == MAX_WEIGHT {
                State::Up
            } else {
                State::Degraded
            };
            override_status.unwrap_or(Status {
                state,
                weight,
                reason,
            })
        };
        let mut current = vec![(
            Scope::Gateway,
            status_for(self.ramp.weight(), self.gateway_target()),
        )];
        current.extend(self.groups.iter().map(|(id, group)| {
            (
                Scope::Group(*id),
                status_for(group.ramp.weight(), self.group_target(group)),
            )
        }));
        let is_gone = |scope: &&Scope| !current.iter().any(|(current, _)| current == *scope);
        let withdrawn: Vec<Scope> = self.announced.keys().filter(is_gone).copied().collect();
        for scope in withdrawn {
            self.announced.remove(&scope);
            actions.push(Action::Withdraw(scope));
        }
        for (scope, status) in current {
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

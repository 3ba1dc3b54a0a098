//! A fleet of gateways and their members on one virtual clock.

use super::common::*;
use asterreel::interface::*;
use asterreel::policy::Router;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

pub(crate) const SECOND: Micros = 1_000 * MS;
/// How long a member works on a short request.
pub(crate) const WORK: Micros = 30 * MS;
/// The round trip of a health check.
pub(crate) const ROUND_TRIP: Micros = 2 * MS;
/// How long a member works on a long read, during which it applies nothing from the log.
pub(crate) const LONG_READ_WORK: Micros = 300 * MS;
/// How long a call waits at discovery before it fails.
pub(crate) const CALL_TIMEOUT: Micros = 2 * SECOND;
/// How old a load report is.
pub(crate) const REPORT_AGE: Micros = 150 * MS;
/// How many members each group has.
pub(crate) const MEMBERS: u32 = 5;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SimEvent {
    Arrival,
    Wake(usize),
    Answer(usize, u64, u32),
    Report(usize, u32),
    CallFailed(usize),
}

/// A fleet of gateways, and groups of [`MEMBERS`] members. The first member of each group is its primary, the others
/// are in sync with it.
pub(crate) struct World {
    pub now: Micros,
    pub gateways: Vec<Router>,
    pub groups: u32,
    pub events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    /// Orders events of the same time.
    pub number: u64,
    pub rng: fastrand::Rng,
    pub classes: BTreeMap<u64, usize>,
    pub attempts: BTreeMap<(usize, u64), u32>,
    /// By member.
    pub health_checks: BTreeMap<u32, u32>,
    /// By class and member.
    pub dispatches: BTreeMap<(usize, u32), u32>,
    /// When a request was dispatched to each member, and of which class.
    pub dispatch_times: BTreeMap<u32, Vec<(Micros, usize)>>,
    /// When discovery was called; every call fails after 2 s.
    pub calls: Vec<Micros>,
    /// Members whose process is gone.
    pub dead: Vec<u32>,
    pub arrived: u32,
    /// Requests that were rejected or failed.
    pub unserved: u32,
    /// Some gateways get several times as many arrivals as others.
    pub uneven: bool,
    /// Arrivals come in bursts, which take half of the time.
    pub bursts: bool,
}

impl World {
    pub(crate) fn new(gateways: u32, groups: u32, seed: u64) -> World {
        World::with(settings_with_long_reads(), gateways, groups, seed)
    }

    pub(crate) fn with(settings: Settings, gateways: u32, groups: u32, seed: u64) -> World {
        let list: std::sync::Arc<[Endpoint]> = (0..groups * MEMBERS)
            .map(|m| Endpoint {
                role: role(m),
                ..listed(m, EndpointState::Ready, 0)
            })
            .collect();
        let settings = Settings {
            fleet_size: gateways,
            replica_checks: ReplicaChecks::None,
            discovery: DiscoveryMode::Watch,
            ..settings
        };
        let router =
            |n| Router::new(settings.clone(), seed * 1_000 + n, START).expect("good settings");
        let mut world = World {
            now: START,
            gateways: (0..u64::from(gateways)).map(router).collect(),
            groups,
            events: BinaryHeap::new(),
            number: 0,
            rng: fastrand::Rng::with_seed(seed),
            classes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            health_checks: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            dispatch_times: BTreeMap::new(),
            calls: Vec::new(),
            dead: Vec::new(),
            arrived: 0,
            unserved: 0,
            uneven: false,
            bursts: false,
        };
        world.schedule(1, SimEvent::Arrival);
        for gateway in 0..world.gateways.len() {
            world.handle(
                gateway,
                Event::EndpointsUpdated(UpdateKind::CachedSnapshot, list.clone()),
            );
        }
        world
    }

    /// Restarts all gateways with this list.
    pub(crate) fn restart(
        &mut self,
        settings: &Settings,
        list: &std::sync::Arc<[Endpoint]>,
        seed: u64,
    ) {
        for gateway in 0..self.gateways.len() {
            let settings = Settings {
                fleet_size: self.gateways.len() as u32,
                replica_checks: ReplicaChecks::None,
                discovery: DiscoveryMode::Watch,
                ..settings.clone()
            };
            let router = Router::new(settings, seed * 1_000 + gateway as u64, self.now);
            self.gateways[gateway] = router.expect("good settings");
            self.handle(
                gateway,
                Event::EndpointsUpdated(UpdateKind::CachedSnapshot, list.clone()),
            );
        }
    }

    pub(crate) fn schedule(&mut self, after: Micros, next: SimEvent) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, next)));
    }

    pub(crate) fn handle(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch {
                    request, member, ..
                } => {
                    let class = self.classes[&request.0];
                    *self.dispatches.entry((class, member.0)).or_default() += 1;
                    self.dispatch_times
                        .entry(member.0)
                        .or_default()
                        .push((self.now, class));
                    *self.attempts.entry((gateway, request.0)).or_default() += 1;
                    self.schedule(work(class), SimEvent::Answer(gateway, request.0, member.0));
                }
                Action::CheckHealth(member) => {
                    *self.health_checks.entry(member.0).or_default() += 1;
                    self.schedule(ROUND_TRIP, SimEvent::Report(gateway, member.0));
                }
                Action::SetTimer(after) => self.schedule(after, SimEvent::Wake(gateway)),
                Action::Reject { .. } | Action::Fail(_) => self.unserved += 1,
                Action::Watch => {
                    self.calls.push(self.now);
                    self.schedule(CALL_TIMEOUT, SimEvent::CallFailed(gateway));
                }
                Action::CancelAttempt { .. } | Action::ReportTransition { .. } => {}
            }
        }
    }

    /// How a member answers, with a report of the state that it had `age` ago.
    pub(crate) fn reply(&self, member: u32, age: Micros) -> (Outcome, MemberReport) {
        match self.dead.contains(&member) {
            true => (Outcome::ConnectFailed, MemberReport::default()),
            false => (Outcome::Served, member_report(role(member), self.now - age)),
        }
    }

    /// Runs for a span, with `rate` requests per second over the whole fleet.
    pub(crate) fn run(&mut self, span: Micros, rate: u64) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|event| event.0 .0 < end) {
            let Some(Reverse((at, _, next))) = self.events.pop() else {
                break;
            };
            self.now = at;
            match next {
                SimEvent::Arrival => {
                    let wait = -(1.0 - self.rng.f64()).ln() * 1e6 / rate as f64;
                    let quiet = self.bursts && self.now % (2 * SECOND) >= SECOND;
                    let wait = if self.bursts { wait / 2.0 } else { wait };
                    let pause = if quiet { SECOND } else { 0 };
                    self.schedule(wait as Micros + 1 + pause, SimEvent::Arrival);
                    self.arrive();
                }
                SimEvent::Wake(gateway) => self.handle(gateway, Event::TimerFired),
                SimEvent::CallFailed(gateway) => self.handle(
                    gateway,
                    Event::WatchLost(WatchLoss::after_silence(CALL_TIMEOUT)),
                ),
                SimEvent::Answer(gateway, request, member) => {
                    let attempt = self.attempts[&(gateway, request)] - 1;
                    let class = self.classes[&request];
                    // A member applies nothing while it works on a long read.
                    let behind = if class == EVENTUAL {
                        LONG_READ_WORK
                    } else {
                        5 * MS
                    };
                    let (outcome, report) = self.reply(member, behind);
                    let ended =
                        attempt_ended(RequestId(request), attempt, outcome, work(class), report);
                    self.handle(gateway, Event::AttemptEnded(ended));
                }
                SimEvent::Report(gateway, member) => {
                    let (outcome, report) = self.reply(member, REPORT_AGE);
                    self.handle(
                        gateway,
                        Event::HealthChecked(MemberId(member), outcome, report),
                    );
                }
            }
        }
        self.now = end;
    }

    pub(crate) fn arrive(&mut self) {
        self.arrived += 1;
        let sample = self.rng.f64();
        let share = if self.uneven {
            sample * sample * sample
        } else {
            sample
        };
        let gateway = (share * self.gateways.len() as f64) as usize;
        let class = match self.rng.u32(0..100) {
            0..80 => BOUNDED,
            80..84 => EVENTUAL,
            _ => WRITE,
        };
        let request = u64::from(self.arrived);
        let group = GroupId(u64::from(self.rng.u32(0..self.groups)));
        self.classes.insert(request, class);
        self.handle(
            gateway,
            Event::RequestArrived(Arrival {
                request: RequestId(request),
                class: ClassId(class),
                tenant: TenantId(0),
                session: None,
                due: self.now + 2 * SECOND,
                estimate: None,
                group,
                since_write: None,
            }),
        );
    }

    /// Notifies all gateways of a member at the same time.
    pub(crate) fn update_endpoint(&mut self, member: u32, state: EndpointState, started: Micros) {
        let entries: std::sync::Arc<[Endpoint]> = [listed(member, state, started)].into();
        for gateway in 0..self.gateways.len() {
            self.handle(
                gateway,
                Event::EndpointsUpdated(UpdateKind::Delta, entries.clone()),
            );
        }
    }

    pub(crate) fn sent(&self, class: usize, to: impl Fn(u32) -> bool) -> u32 {
        let dispatches = self
            .dispatches
            .iter()
            .filter(|((of, member), _)| *of == class && to(*member));
        dispatches.map(|(_, count)| count).sum()
    }

    pub(crate) fn total_health_checks(&self) -> u32 {
        self.health_checks.values().sum()
    }
}

pub(crate) fn work(class: usize) -> Micros {
    if class == EVENTUAL {
        LONG_READ_WORK
    } else {
        WORK
    }
}

/// A member as the endpoint list has it.
pub(crate) fn listed(member: u32, state: EndpointState, started: Micros) -> Endpoint {
    let group = GroupId(u64::from(member / MEMBERS));
    Endpoint {
        group,
        tie_break_hash: u64::from(member).wrapping_mul(0x9E37_79B9),
        ..endpoint(member, state, started)
    }
}

pub(crate) fn role(member: u32) -> Role {
    if member % MEMBERS == 0 {
        Role::Primary
    } else {
        Role::Replica
    }
}

pub(crate) fn is_primary(member: u32) -> bool {
    role(member) == Role::Primary
}

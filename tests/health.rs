//! Tests of the health state machine, its weights and its observer with a simulated clock.
mod common;

use asterreel::health::{
    Action, Capacity, Event, GroupReport, HealthOptions, Heartbeat, Machine, Observer, Reason,
    Report, Scope, State, Status, WeightRamp, WeightSteps, MAX_WEIGHT,
};
use asterreel::interface::{Event as RouterEvent, *};
use common::{attempt_ended, endpoint, settings, TestGateway, GROUP, MS, START};
use proptest::prelude::*;

const S: Micros = 1_000 * MS;

/// A state machine under test, its clock, its inputs, and the statuses that it announced for the whole gateway.
struct Subject {
    machine: Machine,
    now: Micros,
    history: Vec<(Micros, Status)>,
    group: GroupReport,
    /// Whether heartbeats are answered.
    answers: bool,
    /// Whether the core can be observed.
    observes: bool,
    /// Whether new connections are accepted.
    accepts: bool,
    capacity: Capacity,
}

fn group_report() -> GroupReport {
    GroupReport {
        group: GROUP,
        has_primary: true,
        primary_since: START,
        usable: 3,
        members: 3,
        in_flight: 0,
        queued: 0,
        ended: 100,
        overloaded: 0,
        primary_only_share: 0.4,
        recent_weight: 10.0,
    }
}

impl Subject {
    fn new(options: HealthOptions) -> Subject {
        options.check().expect("good options");
        let mut subject = Subject {
            machine: Machine::new(options, START),
            now: START,
            history: Vec::new(),
            group: group_report(),
            answers: true,
            observes: true,
            accepts: true,
            capacity: Capacity {
                sessions: 5,
                max_sessions: 100,
                requests: 1,
                max_requests: 50,
            },
        };
        subject.event(Event::Heartbeat(Heartbeat::ConnectStarted));
        subject.event(Event::Heartbeat(Heartbeat::Connected));
        subject
    }

    /// A state machine that has started and reached the full weight.
    fn up() -> Subject {
        let mut subject = Subject::new(HealthOptions::default());
        subject.advance(10 * S);
        assert_eq!(subject.status(), (State::Up, MAX_WEIGHT, Reason::Fine));
        subject.history.clear();
        subject
    }

    fn event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.machine.handle(self.now, event, &mut actions);
        for action in actions {
            if let Action::Announce(Scope::Gateway, status) = action {
                self.history.push((self.now, status));
            }
        }
    }

    /// Advances the time with the events of the health thread: observations, heartbeats and ticks.
    fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 25 * MS;
            let report = Report {
                list_received: true,
                groups: vec![self.group.clone()],
            };
            self.event(if self.observes {
                Event::Observed(report, self.capacity)
            } else {
                Event::ObservationMissed
            });
            self.event(Event::Heartbeat(Heartbeat::Sent));
            if self.answers {
                self.event(Event::Heartbeat(Heartbeat::Answered));
            }
            if self.now % S < 25 * MS {
                self.event(Event::Heartbeat(Heartbeat::ConnectStarted));
                if self.accepts {
                    self.event(Event::Heartbeat(Heartbeat::Connected));
                }
            }
            self.event(Event::Tick);
        }
    }

    fn status(&self) -> (State, u8, Reason) {
        let status = self
            .machine
            .status(Scope::Gateway)
            .expect("always reported");
        (status.state, status.weight, status.reason)
    }

    fn group_status(&self) -> Status {
        self.machine.status(Scope::Group(GROUP)).expect("listed")
    }
}

#[test]
fn start_ends_with_a_usable_member_and_weight_rises_slowly() {
    let mut subject = Subject::new(HealthOptions::default());
    subject.group.usable = 0;
    subject.advance(S);
    assert_eq!(subject.status(), (State::Starting, 0, Reason::Start));
    subject.group.usable = 1;
    subject.advance(25 * MS);
    assert_eq!(
        (subject.status().0, subject.status().1),
        (State::Degraded, 10)
    );
    subject.advance(5 * S);
    assert_eq!(subject.status().1, MAX_WEIGHT);
    let weights: Vec<u8> = subject
        .history
        .iter()
        .map(|(_, status)| status.weight)
        .collect();
    assert_eq!(weights, [0, 10, 30, 50, 70, 90, 100]);
}

#[test]
fn start_without_discovery_ends_after_the_configured_wait() {
    let options = HealthOptions {
        start_wait_ms: 3_000,
        ..HealthOptions::default()
    };
    let mut machine = Machine::new(options, START);
    let mut actions = Vec::new();
    let mut observe = |machine: &mut Machine, at, usable| {
        let group = GroupReport {
            usable,
            ..group_report()
        };
        machine.handle(at, Event::Heartbeat(Heartbeat::Connected), &mut actions);
        let report = Report {
            list_received: false,
            groups: vec![group],
        };
        machine.handle(
            at,
            Event::Observed(report, Capacity::default()),
            &mut actions,
        );
        machine.status(Scope::Gateway).expect("reported").state
    };
    assert_eq!(
        observe(&mut machine, START + 2_900 * MS, 2),
        State::Starting
    );
    assert_eq!(
        observe(&mut machine, START + 3_000 * MS, 2),
        State::Degraded
    );
    assert_eq!(
        observe(&mut machine, START + 3_100 * MS, 0),
        State::Degraded
    );
    assert_eq!(
        machine.status(Scope::Gateway).expect("reported").weight,
        0,
        "no member can serve"
    );
}

#[test]
fn lost_primary_lowers_weight_by_its_share_until_the_next() {
    let mut subject = Subject::up();
    subject.group.has_primary = false;
    subject.advance(25 * MS);
    assert_eq!(subject.status(), (State::Degraded, 60, Reason::NoPrimary));
    assert_eq!(subject.group_status().weight, 60);
    // Retries of clients while there is no primary do not change the share.
    subject.group.primary_only_share = 1.0;
    subject.advance(5 * S);
    assert_eq!(subject.status().1, 60);
    subject.group.has_primary = true;
    subject.advance(5 * S);
    assert_eq!(subject.status(), (State::Up, MAX_WEIGHT, Reason::Fine));
    // A group with writes only keeps the floor, because reads could be served.
    subject.group.has_primary = false;
    subject.advance(25 * MS);
    assert_eq!(subject.status().1, HealthOptions::default().floor);
}

#[test]
fn group_without_usable_members_does_not_affect_other_groups() {
    let mut subject = Subject::up();
    let other = GroupReport {
        group: GroupId(8),
        ..group_report()
    };
    let unusable = GroupReport {
        usable: 0,
        ..group_report()
    };
    let report = Report {
        list_received: true,
        groups: vec![unusable, other],
    };
    subject.now += 25 * MS;
    subject.event(Event::Observed(report.clone(), subject.capacity));
    subject.now += 25 * MS;
    subject.event(Event::Observed(report, subject.capacity));
    assert_eq!(
        subject.group_status(),
        Status {
            state: State::Degraded,
            weight: 0,
            reason: Reason::NoMember
        }
    );
    assert_eq!(
        (subject.status().0, subject.status().1),
        (State::Degraded, 50)
    );
    let mut actions = Vec::new();
    let report = Report {
        list_received: true,
        groups: vec![group_report()],
    };
    subject.machine.handle(
        subject.now,
        Event::Observed(report, subject.capacity),
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Withdraw(Scope::Group(GroupId(8)))),
        "{actions:?}"
    );
}

#[test]
fn overload_lowers_weight_in_steps_to_the_floor_but_not_below() {
    let mut subject = Subject::up();
    subject.group.overloaded = 60;
    subject.advance(10 * S);
    assert_eq!(subject.status(), (State::Degraded, 10, Reason::Overload));
    let weights: Vec<u8> = subject
        .history
        .iter()
        .map(|(_, status)| status.weight)
        .collect();
    assert_eq!(weights, [75, 50, 25, 10]);
    // The weight stays while the load is between the thresholds, and rises once the load is low.
    subject.group.overloaded = 10;
    subject.advance(5 * S);
    assert_eq!(subject.status().1, 10);
    subject.group.overloaded = 0;
    subject.advance(15 * S);
    assert_eq!(subject.status(), (State::Up, MAX_WEIGHT, Reason::Fine));
}

#[test]
fn gateways_that_are_all_overloaded_keep_a_weight() {
    let mut gateways = [Subject::up(), Subject::up(), Subject::up()];
    for _ in 0..400 {
        for gateway in &mut gateways {
            gateway.group.overloaded = 100;
            gateway.capacity.requests = gateway.capacity.max_requests;
            gateway.advance(25 * MS);
        }
        let statuses: Vec<_> = gateways.iter().map(Subject::status).collect();
        let sum: u32 = statuses
            .iter()
            .map(|(_, weight, _)| u32::from(*weight))
            .sum();
        assert!(
            sum >= 30 && statuses.iter().all(|(state, ..)| *state <= State::Degraded),
            "{statuses:?}"
        );
    }
}

#[test]
fn hang_is_reported_within_half_a_second_for_each_cause() {
    let hangs: [fn(&mut Subject); 3] = [
        |subject| subject.answers = false,
        |subject| subject.observes = false,
        |subject| {
            let now = subject.now;
            for age in (0..400).step_by(25) {
                subject.now = now + age * MS;
                subject.event(Event::OldestCommandAge(age * MS));
            }
        },
    ];
    for hang in hangs {
        let mut subject = Subject::up();
        let began = subject.now;
        hang(&mut subject);
        subject.advance(400 * MS);
        let (at, status) = subject.history[0];
        assert_eq!(
            status,
            Status {
                state: State::Hung,
                weight: 0,
                reason: Reason::Hung
            }
        );
        assert!(at - began <= 350 * MS, "{}", at - began);
        assert!(!subject.machine.makes_progress());
    }
}

#[test]
fn recovery_time_after_a_hang_doubles_with_each_relapse() {
    let mut subject = Subject::up();
    let mut recovery_times = Vec::new();
    for _ in 0..3 {
        subject.answers = false;
        subject.advance(S);
        assert_eq!(subject.status().0, State::Hung);
        let answered_at = subject.now;
        subject.answers = true;
        while subject.status().0 == State::Hung {
            subject.advance(25 * MS);
        }
        assert!(
            subject.status().1 <= 30,
            "the weight rises from the floor: {:?}",
            subject.status()
        );
        recovery_times.push((subject.now - answered_at) / S);
    }
    assert_eq!(recovery_times, [1, 2, 4]);
}

#[test]
fn stopped_process_is_not_hung_when_it_continues() {
    let mut subject = Subject::up();
    subject.event(Event::Heartbeat(Heartbeat::Sent));
    subject.now += 20 * S;
    subject.event(Event::Tick);
    assert_eq!(subject.status().0, State::Up);
    subject.advance(S);
    assert_eq!(subject.status().0, State::Up);
    assert!(subject.history.is_empty());
}

#[test]
fn clock_that_steps_back_changes_nothing() {
    let mut subject = Subject::up();
    let now = subject.now;
    let mut actions = Vec::new();
    for back in [S, 60 * S, now] {
        subject
            .machine
            .handle(now - back, Event::Heartbeat(Heartbeat::Sent), &mut actions);
        subject
            .machine
            .handle(now - back, Event::Tick, &mut actions);
    }
    assert_eq!(actions, []);
    subject.advance(S);
    assert_eq!(subject.status(), (State::Up, MAX_WEIGHT, Reason::Fine));
}

#[test]
fn unaccepted_connections_lower_weight_or_indicate_a_hang() {
    let mut subject = Subject::up();
    subject.accepts = false;
    subject.advance(2 * S);
    assert_eq!(subject.status(), (State::Degraded, 10, Reason::Accept));
    // The heartbeat's session is lost while all sessions are in use: this indicates load, not a hang.
    subject.capacity.sessions = subject.capacity.max_sessions;
    subject.event(Event::Heartbeat(Heartbeat::SessionLost));
    subject.answers = true;
    for _ in 0..80 {
        subject.now += 25 * MS;
        let report = Report {
            list_received: true,
            groups: vec![subject.group.clone()],
        };
        subject.event(Event::Observed(report, subject.capacity));
        subject.event(Event::Heartbeat(Heartbeat::ConnectStarted));
    }
    assert_eq!(subject.status().0, State::Degraded);
    // With free sessions and no open session of the heartbeat, a path that accepts no connection is hung.
    subject.capacity.sessions = 1;
    let report = Report {
        list_received: true,
        groups: vec![subject.group.clone()],
    };
    subject.event(Event::Observed(report, subject.capacity));
    assert_eq!(subject.status().0, State::Hung);
}

/// A gateway without its registration still serves clients, but others are preferred. The weight is not 0, or balancers
/// would take all gateways out of service when all lost theirs.
#[test]
fn lost_registration_lowers_weight_to_the_floor_until_regained() {
    let mut subject = Subject::up();
    subject.event(Event::RegistrationLost(true));
    subject.advance(2 * S);
    assert_eq!(subject.status(), (State::Degraded, 10, Reason::ShutOut));
    assert!(
        subject
            .machine
            .status(Scope::Gateway)
            .is_some_and(|status| status.ready()),
        "the weight is not 0"
    );
    subject.event(Event::RegistrationLost(false));
    subject.advance(10 * S);
    assert_eq!(subject.status(), (State::Up, MAX_WEIGHT, Reason::Fine));
}

/// A drain is reported also without a primary, and neither a new primary nor reloaded options cancel it.
#[test]
fn drain_is_reported_at_once_and_never_cancelled() {
    let mut subject = Subject::up();
    subject.group.has_primary = false;
    subject.advance(S);
    subject.event(Event::Terminate);
    assert_eq!(subject.status(), (State::Draining, 0, Reason::Drain));
    assert_eq!(subject.group_status().state, State::Draining);
    subject.group.has_primary = true;
    subject.event(Event::Configured(HealthOptions::default()));
    subject.advance(S);
    assert_eq!(subject.status().0, State::Draining);
    subject.event(Event::Stopping);
    subject.event(Event::Terminate);
    subject.advance(S);
    assert_eq!(subject.status(), (State::Stopping, 0, Reason::Drain));
}

#[test]
fn maintenance_ends_when_a_reloaded_file_unsets_it() {
    let mut subject = Subject::up();
    subject.event(Event::Configured(HealthOptions {
        maintenance: true,
        ..HealthOptions::default()
    }));
    assert_eq!(subject.status(), (State::Draining, 0, Reason::Maintenance));
    subject.event(Event::Configured(HealthOptions::default()));
    assert_eq!(subject.status().0, State::Up);
}

#[test]
fn repeated_loss_of_the_primary_keeps_the_bound_on_flaps() {
    let options = HealthOptions {
        flaps_per_minute: 3,
        ..HealthOptions::default()
    };
    let mut subject = Subject::new(options);
    subject.advance(10 * S);
    subject.history.clear();
    for _ in 0..60 {
        subject.group.has_primary = !subject.group.has_primary;
        subject.advance(S);
    }
    assert_eq!(max_flaps(&subject.history, 60 * S), 3);
    assert!(subject.status().1 >= 10);
}

/// The most changes from falling to rising within any window of length `span`.
fn max_flaps(history: &[(Micros, Status)], span: Micros) -> usize {
    let (mut fell, mut last, mut times) = (false, MAX_WEIGHT, Vec::new());
    for (at, status) in history {
        if status.weight > last && fell {
            times.push(*at);
        }
        fell = if status.weight == last {
            fell
        } else {
            status.weight < last
        };
        last = status.weight;
    }
    let within = |from: &Micros| {
        times
            .iter()
            .filter(|at| **at >= *from && **at < from + span)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// A router and an observer that receives its events and actions as in the program.
struct Observed {
    observer: Observer,
    gateway: TestGateway,
}

impl Observed {
    fn new() -> Observed {
        let settings = settings();
        Observed {
            observer: Observer::new(&settings),
            gateway: TestGateway::new(settings, 0).0,
        }
    }

    /// Passes the event to the observer and the router, then the router's actions to the observer. Returns the
    /// requests of the attempts that are dispatched.
    fn feed(&mut self, event: RouterEvent) -> Vec<RequestId> {
        self.observer.observe_event(self.gateway.now, &event);
        let actions = self.gateway.event(event);
        for action in &actions {
            self.observer.observe_action(self.gateway.now, action);
        }
        let sent = common::dispatches(&actions);
        sent.iter().map(|(request, _)| *request).collect()
    }

    /// The current report of the only group.
    fn group(&mut self) -> GroupReport {
        self.observer.report(self.gateway.now).groups[0].clone()
    }

    fn list(&mut self, members: u32) {
        let list = (0..members).map(|m| endpoint(m, EndpointState::Ready, 0));
        let list = list.collect();
        self.feed(RouterEvent::EndpointsUpdated(UpdateKind::Snapshot, list));
    }

    fn healthy(&mut self, member: u32, report: MemberReport) {
        let member = MemberId(member);
        self.feed(RouterEvent::HealthChecked(member, Outcome::Served, report));
    }

    /// A write for a group arrives; returns the requests of the attempts that are dispatched.
    fn write(&mut self, group: GroupId) -> Vec<RequestId> {
        self.gateway.next_request_id += 1;
        self.feed(RouterEvent::RequestArrived(Arrival {
            request: RequestId(self.gateway.next_request_id),
            class: ClassId(common::WRITE),
            tenant: TenantId(0),
            session: None,
            due: self.gateway.now + 2 * S,
            estimate: None,
            group,
            since_write: None,
        }))
    }

    /// A write is dispatched at once and served after `took`.
    fn write_served_after(&mut self, took: Micros) {
        assert_eq!(self.write(GROUP).len(), 1);
        assert_eq!(self.group().in_flight, 1);
        self.gateway.now += took;
        let request = RequestId(self.gateway.next_request_id);
        let report = common::member_report(Role::Primary, self.gateway.now);
        let served = attempt_ended(request, 0, Outcome::Served, took, report);
        self.feed(RouterEvent::AttemptEnded(served));
    }

    /// Advances the time; every attempt ends as misrouted, beginning with those given.
    fn misroute_attempts(&mut self, mut attempts: Vec<RequestId>, time: Micros) {
        let end = self.gateway.now + time;
        while self.gateway.now < end {
            self.gateway.now += 20 * MS;
            attempts.extend(self.feed(RouterEvent::TimerFired));
            let mut ended_attempts = 0;
            while ended_attempts < attempts.len() {
                let request = attempts[ended_attempts];
                let earlier = attempts[..ended_attempts].iter();
                let number = earlier.filter(|other| **other == request).count() as u32;
                let report = common::member_report(Role::Replica, self.gateway.now);
                let misrouted = attempt_ended(request, number, Outcome::Misrouted, MS, report);
                attempts.extend(self.feed(RouterEvent::AttemptEnded(misrouted)));
                ended_attempts += 1;
            }
        }
    }
}

#[test]
fn observer_follows_members_and_requests() {
    let mut observed = Observed::new();
    observed.list(3);
    assert_eq!(observed.group().usable, 0, "no health check yet");
    for member in 0..3 {
        let role = if member == 0 {
            Role::Primary
        } else {
            Role::Replica
        };
        let report = common::member_report(role, observed.gateway.now);
        observed.healthy(member, report);
    }
    let report = observed.observer.report(observed.gateway.now);
    assert!(report.list_received && report.groups[0].has_primary);
    assert_eq!((report.groups[0].usable, report.groups[0].members), (3, 3));

    // Twenty writes in sequence, all within the latency objective.
    for round in 0..20 {
        let took = if round % 2 == 0 { 10 * MS } else { 60 * MS };
        observed.write_served_after(took);
    }
    let group = observed.group();
    assert!(group.overloaded == 0 && group.ended >= 10, "{group:?}");
    assert!(group.primary_only_share > 0.8, "{group:?}");

    // The primary reports that it is a replica and is demoted. Writes are queued and then rejected, which does not
    // count as overload.
    observed.healthy(0, common::member_report(Role::Replica, 0));
    assert!(!observed.group().has_primary);
    let attempts: Vec<RequestId> = (0..10).flat_map(|_| observed.write(GROUP)).collect();
    let group = observed.group();
    let open = group.queued + group.in_flight;
    assert_eq!(
        open, 10,
        "one of them may be dispatched to find the primary"
    );
    observed.misroute_attempts(attempts, 3 * S);
    let group = observed.group();
    let open = observed.observer.open_requests();
    assert_eq!((group.queued, group.in_flight, open), (0, 0, 0));
    let share = group.overload_share();
    assert_eq!(share, None, "rejected for lack of a primary: {group:?}");

    // A request for a group that does not exist leaves no state behind.
    observed.write(GroupId(99));
    let groups = observed.observer.report(observed.gateway.now).groups.len();
    assert_eq!((observed.observer.open_requests(), groups), (0, 1));
    observed.list(0);
    assert_eq!(observed.observer.report(observed.gateway.now).groups, []);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Primary(bool),
    Overloaded(u32),
    Usable(u32),
    Answers(bool),
    Observes(bool),
    Accepts(bool),
    Full(bool),
    /// Advances the clock by this many milliseconds without events.
    Gap(u64),
    Terminate,
    Stopping,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Primary),
        4 => (0u32..=100).prop_map(Step::Overloaded),
        1 => (0u32..=3).prop_map(Step::Usable),
        2 => any::<bool>().prop_map(Step::Answers),
        1 => any::<bool>().prop_map(Step::Observes),
        1 => any::<bool>().prop_map(Step::Accepts),
        1 => any::<bool>().prop_map(Step::Full),
        1 => (0u64..30_000).prop_map(Step::Gap),
        1 => Just(Step::Terminate),
        1 => Just(Step::Stopping),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn weights_stay_within_bounds_and_drains_are_not_cancelled(
        steps in proptest::collection::vec((step(), 1u64..40), 1..60),
        floor in 1u8..=50,
        flaps in 1u32..6,
    ) {
        let options = HealthOptions { floor, flaps_per_minute: flaps, start_wait_ms: 1_000, ..HealthOptions::default() };
        let mut subject = Subject::new(options);
        let (mut drained, mut stopped) = (false, false);
        for (step, ticks) in steps {
            match step {
                Step::Primary(has_primary) => subject.group.has_primary = has_primary,
                Step::Overloaded(overloaded) => subject.group.overloaded = overloaded,
                Step::Usable(usable) => subject.group.usable = usable,
                Step::Answers(answers) => subject.answers = answers,
                Step::Observes(observes) => subject.observes = observes,
                Step::Accepts(accepts) => subject.accepts = accepts,
                Step::Full(full) => subject.capacity.requests = if full { 50 } else { 0 },
                Step::Gap(ms) => subject.now += ms * MS,
                Step::Terminate => { subject.event(Event::Terminate); drained = true; }
                Step::Stopping => { subject.event(Event::Stopping); stopped = true; }
            }
            subject.advance(ticks * 25 * MS);
            let (state, weight, _) = subject.status();
            prop_assert!(weight <= MAX_WEIGHT);
            prop_assert_eq!(stopped, state == State::Stopping);
            prop_assert_eq!(drained && !stopped, state == State::Draining);
            // At least the floor while any request can be served and the path makes progress.
            if matches!(state, State::Up | State::Degraded) && subject.group.usable > 0 && subject.observes {
                prop_assert!(weight >= floor, "{:?} {} under {}", state, weight, floor);
            }
        }
        let served: Vec<_> = subject.history.iter().copied()
            .filter(|(_, status)| matches!(status.state, State::Up | State::Degraded)).collect();
        prop_assert!(max_flaps(&served, 60 * S) <= flaps as usize + 1, "{:?}", served);
    }

    #[test]
    fn ramp_falls_at_once_and_rises_by_steps_with_bounded_flaps(
        targets in proptest::collection::vec((0u8..=120, 10u64..3_000), 1..200),
        flaps in 1u32..10,
    ) {
        let options = HealthOptions { flaps_per_minute: flaps, ..HealthOptions::default() };
        let (mut ramp, mut now, mut history) = (WeightRamp::new(100, 0), 0, Vec::new());
        for (target, wait) in targets {
            now += wait * MS;
            let before = ramp.weight();
            ramp.move_towards(now, target, &options);
            let after = ramp.weight();
            let step = options.rise_step.max(options.floor);
            prop_assert!(after <= MAX_WEIGHT && after <= before.saturating_add(step));
            prop_assert!(target.min(MAX_WEIGHT) >= before || after == target);
            if after != before {
                history.push((now, Status { state: State::Up, weight: after, reason: Reason::Fine }));
            }
        }
        prop_assert!(max_flaps(&history, 60 * S) <= flaps as usize);
    }

    #[test]
    fn overload_never_lowers_the_step_weight_below_the_floor(
        loads in proptest::collection::vec((proptest::option::of(0.0..=1.0f64), 0.0..=1.5f64, 1u64..900), 1..100),
        floor in 1u8..=50,
    ) {
        let options = HealthOptions { floor, ..HealthOptions::default() };
        let (mut steps, mut now) = (WeightSteps::default(), 0);
        for (share, utilization, wait) in loads {
            now += wait * MS;
            steps.update(now, share, utilization, &options);
            prop_assert!(steps.weight(&options) >= floor);
        }
    }
}

//! What a gateway tells of itself, replayed on the state machine with a clock of the test's own.
mod common;

use asterreel::health::{
    Action, Capacity, Event, GroupReport, HealthOptions, Heartbeat, Machine, Observer, Reason,
    Report, Scope, State, Status, WeightRamp, WeightSteps, MAX_WEIGHT,
};
use asterreel::interface::{Event as RouterEvent, *};
use common::{attempt_ended, endpoint, settings, TestGateway, GROUP, MS, START};
use proptest::prelude::*;

const S: Micros = 1_000 * MS;

/// A machine under test, its clock, and what it announced for the whole gateway.
struct Subject {
    machine: Machine,
    now: Micros,
    history: Vec<(Micros, Status)>,
    group: GroupReport,
    /// What a round of the heartbeat does.
    answers: bool,
    sees: bool,
    enters: bool,
    room: Capacity,
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
            sees: true,
            enters: true,
            room: Capacity {
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

    /// One that has started and risen to its full weight.
    fn up() -> Subject {
        let mut subject = Subject::new(HealthOptions::default());
        subject.pass(10 * S);
        assert_eq!(subject.told(), (State::Up, MAX_WEIGHT, Reason::Fine));
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

    /// Time passes as the front makes it pass: ticks, a look at the core, beats.
    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 25 * MS;
            let report = Report {
                list_received: true,
                groups: vec![self.group.clone()],
            };
            self.event(if self.sees {
                Event::Observed(report, self.room)
            } else {
                Event::ObservationMissed
            });
            self.event(Event::Heartbeat(Heartbeat::Sent));
            if self.answers {
                self.event(Event::Heartbeat(Heartbeat::Answered));
            }
            if self.now % S < 25 * MS {
                self.event(Event::Heartbeat(Heartbeat::ConnectStarted));
                if self.enters {
                    self.event(Event::Heartbeat(Heartbeat::Connected));
                }
            }
            self.event(Event::Tick);
        }
    }

    fn told(&self) -> (State, u8, Reason) {
        let status = self.machine.status(Scope::Gateway).expect("always told");
        (status.state, status.weight, status.reason)
    }

    fn told_of_group(&self) -> Status {
        self.machine.status(Scope::Group(GROUP)).expect("listed")
    }
}

#[test]
fn it_starts_once_discovery_told_and_each_group_has_a_member_and_rises_slowly() {
    let mut subject = Subject::new(HealthOptions::default());
    subject.group.usable = 0;
    subject.pass(S);
    assert_eq!(subject.told(), (State::Starting, 0, Reason::Start));
    subject.group.usable = 1;
    subject.pass(25 * MS);
    assert_eq!((subject.told().0, subject.told().1), (State::Degraded, 10));
    subject.pass(5 * S);
    assert_eq!(subject.told().1, MAX_WEIGHT);
    let weights: Vec<u8> = subject
        .history
        .iter()
        .map(|(_, status)| status.weight)
        .collect();
    assert_eq!(weights, [0, 10, 30, 50, 70, 90, 100]);
}

#[test]
fn with_discovery_down_from_the_start_it_serves_what_it_knows_after_the_stated_wait() {
    let options = HealthOptions {
        start_wait_ms: 3_000,
        ..HealthOptions::default()
    };
    let mut machine = Machine::new(options, START);
    let mut actions = Vec::new();
    let mut look = |machine: &mut Machine, at, usable| {
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
        machine.status(Scope::Gateway).expect("told").state
    };
    assert_eq!(look(&mut machine, START + 2_900 * MS, 2), State::Starting);
    assert_eq!(look(&mut machine, START + 3_000 * MS, 2), State::Degraded);
    assert_eq!(look(&mut machine, START + 3_100 * MS, 0), State::Degraded);
    assert_eq!(
        machine.status(Scope::Gateway).expect("told").weight,
        0,
        "no member at all can serve"
    );
}

#[test]
fn without_a_primary_the_weight_falls_by_what_needs_one_and_rises_only_with_the_next() {
    let mut subject = Subject::up();
    subject.group.has_primary = false;
    subject.pass(25 * MS);
    assert_eq!(subject.told(), (State::Degraded, 60, Reason::NoPrimary));
    assert_eq!(subject.told_of_group().weight, 60);
    // What clients ask again meanwhile changes nothing.
    subject.group.primary_only_share = 1.0;
    subject.pass(5 * S);
    assert_eq!(subject.told().1, 60);
    subject.group.has_primary = true;
    subject.pass(5 * S);
    assert_eq!(subject.told(), (State::Up, MAX_WEIGHT, Reason::Fine));
    // A group of writes alone still keeps the floor: its reads could be served.
    subject.group.has_primary = false;
    subject.pass(25 * MS);
    assert_eq!(subject.told().1, HealthOptions::default().floor);
}

#[test]
fn a_group_without_any_member_has_no_weight_and_the_others_keep_theirs() {
    let mut subject = Subject::up();
    let other = GroupReport {
        group: GroupId(8),
        ..group_report()
    };
    let lost = GroupReport {
        usable: 0,
        ..group_report()
    };
    let report = Report {
        list_received: true,
        groups: vec![lost, other],
    };
    subject.now += 25 * MS;
    subject.event(Event::Observed(report.clone(), subject.room));
    subject.now += 25 * MS;
    subject.event(Event::Observed(report, subject.room));
    assert_eq!(
        subject.told_of_group(),
        Status {
            state: State::Degraded,
            weight: 0,
            reason: Reason::NoMember
        }
    );
    assert_eq!((subject.told().0, subject.told().1), (State::Degraded, 50));
    let mut actions = Vec::new();
    let report = Report {
        list_received: true,
        groups: vec![group_report()],
    };
    subject.machine.handle(
        subject.now,
        Event::Observed(report, subject.room),
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Withdraw(Scope::Group(GroupId(8)))),
        "{actions:?}"
    );
}

#[test]
fn overload_lowers_the_weight_in_steps_to_the_floor_and_never_says_down() {
    let mut subject = Subject::up();
    subject.group.overloaded = 60;
    subject.pass(10 * S);
    assert_eq!(subject.told(), (State::Degraded, 10, Reason::Overload));
    let weights: Vec<u8> = subject
        .history
        .iter()
        .map(|(_, status)| status.weight)
        .collect();
    assert_eq!(weights, [75, 50, 25, 10]);
    // Between the thresholds it stays; calm, it rises.
    subject.group.overloaded = 10;
    subject.pass(5 * S);
    assert_eq!(subject.told().1, 10);
    subject.group.overloaded = 0;
    subject.pass(15 * S);
    assert_eq!(subject.told(), (State::Up, MAX_WEIGHT, Reason::Fine));
}

#[test]
fn three_gateways_overloaded_together_keep_a_weight_between_them() {
    let mut gateways = [Subject::up(), Subject::up(), Subject::up()];
    for _ in 0..400 {
        for gateway in &mut gateways {
            gateway.group.overloaded = 100;
            gateway.room.requests = gateway.room.max_requests;
            gateway.pass(25 * MS);
        }
        let statuses: Vec<_> = gateways.iter().map(Subject::told).collect();
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
fn a_hang_is_told_within_half_a_second_whatever_hangs() {
    let hangs: [fn(&mut Subject); 3] = [
        |subject| subject.answers = false,
        |subject| subject.sees = false,
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
        subject.pass(400 * MS);
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
fn after_a_hang_it_must_show_that_it_moves_and_for_longer_each_time() {
    let mut subject = Subject::up();
    let mut proofs = Vec::new();
    for _ in 0..3 {
        subject.answers = false;
        subject.pass(S);
        assert_eq!(subject.told().0, State::Hung);
        let mended = subject.now;
        subject.answers = true;
        while subject.told().0 == State::Hung {
            subject.pass(25 * MS);
        }
        assert!(
            subject.told().1 <= 30,
            "it rises from the floor: {:?}",
            subject.told()
        );
        proofs.push((subject.now - mended) / S);
    }
    assert_eq!(proofs, [1, 2, 4]);
}

#[test]
fn a_process_that_was_stopped_as_a_whole_does_not_wake_up_hung() {
    let mut subject = Subject::up();
    subject.event(Event::Heartbeat(Heartbeat::Sent));
    subject.now += 20 * S;
    subject.event(Event::Tick);
    assert_eq!(subject.told().0, State::Up);
    subject.pass(S);
    assert_eq!(subject.told().0, State::Up);
    assert!(subject.history.is_empty());
}

#[test]
fn a_clock_that_steps_back_moves_nothing() {
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
    subject.pass(S);
    assert_eq!(subject.told(), (State::Up, MAX_WEIGHT, Reason::Fine));
}

#[test]
fn connections_that_are_not_accepted_lower_the_weight_while_open_ones_are_served() {
    let mut subject = Subject::up();
    subject.enters = false;
    subject.pass(2 * S);
    assert_eq!(subject.told(), (State::Degraded, 10, Reason::Accept));
    // Its own session lost as well, for lack of room: load, not a hang.
    subject.room.sessions = subject.room.max_sessions;
    subject.event(Event::Heartbeat(Heartbeat::SessionLost));
    subject.answers = true;
    for _ in 0..80 {
        subject.now += 25 * MS;
        let report = Report {
            list_received: true,
            groups: vec![subject.group.clone()],
        };
        subject.event(Event::Observed(report, subject.room));
        subject.event(Event::Heartbeat(Heartbeat::ConnectStarted));
    }
    assert_eq!(subject.told().0, State::Degraded);
    // With room to spare and nothing open, a path that lets nobody in is hung.
    subject.room.sessions = 1;
    let report = Report {
        list_received: true,
        groups: vec![subject.group.clone()],
    };
    subject.event(Event::Observed(report, subject.room));
    assert_eq!(subject.told().0, State::Hung);
}

/// One without its registration serves clients on, but others are better; when all are, they are alike.
#[test]
fn one_that_is_shut_out_of_the_fleet_is_worth_the_floor_until_it_is_back() {
    let mut subject = Subject::up();
    subject.event(Event::RegistrationLost(true));
    subject.pass(2 * S);
    assert_eq!(subject.told(), (State::Degraded, 10, Reason::ShutOut));
    assert!(
        subject
            .machine
            .status(Scope::Gateway)
            .is_some_and(|status| status.ready()),
        "never 0"
    );
    subject.event(Event::RegistrationLost(false));
    subject.pass(10 * S);
    assert_eq!(subject.told(), (State::Up, MAX_WEIGHT, Reason::Fine));
}

#[test]
fn a_drain_is_told_at_once_also_without_a_primary_and_nothing_leads_back() {
    let mut subject = Subject::up();
    subject.group.has_primary = false;
    subject.pass(S);
    subject.event(Event::Terminate);
    assert_eq!(subject.told(), (State::Draining, 0, Reason::Drain));
    assert_eq!(subject.told_of_group().state, State::Draining);
    subject.group.has_primary = true;
    subject.event(Event::Configured(HealthOptions::default()));
    subject.pass(S);
    assert_eq!(subject.told().0, State::Draining);
    subject.event(Event::Stopping);
    subject.event(Event::Terminate);
    subject.pass(S);
    assert_eq!(subject.told(), (State::Stopping, 0, Reason::Drain));
}

#[test]
fn maintenance_takes_it_out_and_the_file_read_again_brings_it_back() {
    let mut subject = Subject::up();
    subject.event(Event::Configured(HealthOptions {
        maintenance: true,
        ..HealthOptions::default()
    }));
    assert_eq!(subject.told(), (State::Draining, 0, Reason::Maintenance));
    subject.event(Event::Configured(HealthOptions::default()));
    assert_eq!(subject.told().0, State::Up);
}

#[test]
fn a_primary_lost_and_found_over_and_over_turns_the_weight_no_oftener_than_allowed() {
    let options = HealthOptions {
        flaps_per_minute: 3,
        ..HealthOptions::default()
    };
    let mut subject = Subject::new(options);
    subject.pass(10 * S);
    subject.history.clear();
    for _ in 0..60 {
        subject.group.has_primary = !subject.group.has_primary;
        subject.pass(S);
    }
    assert_eq!(turns(&subject.history, 60 * S), 3);
    assert!(subject.told().1 >= 10);
}

/// The most turns from falling to rising within any such span.
fn turns(history: &[(Micros, Status)], span: Micros) -> usize {
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

/// A router with an observer beside it, fed as the program feeds both.
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

    /// The observer is given each event first, then the router's actions. Where attempts go out by them.
    fn feed(&mut self, event: RouterEvent) -> Vec<RequestId> {
        self.observer.event(self.gateway.now, &event);
        let actions = self.gateway.event(event);
        for action in &actions {
            self.observer.action(self.gateway.now, action);
        }
        let sent = common::dispatches(&actions);
        sent.iter().map(|(request, _)| *request).collect()
    }

    /// The only group, as it is seen now.
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

    /// A write for a group arrives; the attempts that go out.
    fn write(&mut self, group: GroupId) -> Vec<RequestId> {
        self.gateway.next += 1;
        self.feed(RouterEvent::RequestArrived(Arrival {
            request: RequestId(self.gateway.next),
            class: ClassId(common::WRITE),
            tenant: TenantId(0),
            session: None,
            due: self.gateway.now + 2 * S,
            estimate: None,
            group,
            since_write: None,
        }))
    }

    /// A write that is dispatched at once and served after so long.
    fn write_served_after(&mut self, took: Micros) {
        assert_eq!(self.write(GROUP).len(), 1);
        assert_eq!(self.group().in_flight, 1);
        self.gateway.now += took;
        let request = RequestId(self.gateway.next);
        let report = common::member_report(Role::Primary, self.gateway.now);
        let served = attempt_ended(request, 0, Outcome::Served, took, report);
        self.feed(RouterEvent::AttemptEnded(served));
    }

    /// Time passes in which every attempt is misrouted, these that are out first.
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

    // Twenty writes, one after the other: all within the objective.
    for round in 0..20 {
        let took = if round % 2 == 0 { 10 * MS } else { 60 * MS };
        observed.write_served_after(took);
    }
    let group = observed.group();
    assert!(group.overloaded == 0 && group.ended >= 10, "{group:?}");
    assert!(group.primary_only_share > 0.8, "{group:?}");

    // The primary reports as a replica: it is demoted, writes are queued and then rejected, which is no overload.
    observed.healthy(0, common::member_report(Role::Replica, 0));
    assert!(!observed.group().has_primary);
    let attempts: Vec<RequestId> = (0..10).flat_map(|_| observed.write(GROUP)).collect();
    let group = observed.group();
    let open = group.queued + group.in_flight;
    assert_eq!(open, 10, "one of them may seek the primary");
    observed.misroute_attempts(attempts, 3 * S);
    let group = observed.group();
    let open = observed.observer.open_requests();
    assert_eq!((group.queued, group.in_flight, open), (0, 0, 0));
    let share = group.overload_share();
    assert_eq!(share, None, "rejected for lack of a primary: {group:?}");

    // A client that names a group that does not exist leaves nothing behind.
    observed.write(GroupId(99));
    let groups = observed.observer.report(observed.gateway.now).groups.len();
    assert_eq!((observed.observer.open_requests(), groups), (0, 1));
    observed.list(0);
    assert_eq!(observed.observer.report(observed.gateway.now).groups, []);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Primary(bool),
    Strain(u32),
    Usable(u32),
    Answers(bool),
    Sees(bool),
    Enters(bool),
    Full(bool),
    Leap(u64),
    Terminate,
    Stopping,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => any::<bool>().prop_map(Step::Primary),
        4 => (0u32..=100).prop_map(Step::Strain),
        1 => (0u32..=3).prop_map(Step::Usable),
        2 => any::<bool>().prop_map(Step::Answers),
        1 => any::<bool>().prop_map(Step::Sees),
        1 => any::<bool>().prop_map(Step::Enters),
        1 => any::<bool>().prop_map(Step::Full),
        1 => (0u64..30_000).prop_map(Step::Leap),
        1 => Just(Step::Terminate),
        1 => Just(Step::Stopping),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn weights_keep_their_bounds_and_a_drain_never_turns_back(
        steps in proptest::collection::vec((step(), 1u64..40), 1..60),
        floor in 1u8..=50,
        flaps in 1u32..6,
    ) {
        let options = HealthOptions { floor, flaps_per_minute: flaps, start_wait_ms: 1_000, ..HealthOptions::default() };
        let mut subject = Subject::new(options);
        let (mut drained, mut stopped) = (false, false);
        for (step, ticks) in steps {
            match step {
                Step::Primary(there) => subject.group.has_primary = there,
                Step::Strain(overloaded) => subject.group.overloaded = overloaded,
                Step::Usable(usable) => subject.group.usable = usable,
                Step::Answers(answers) => subject.answers = answers,
                Step::Sees(sees) => subject.sees = sees,
                Step::Enters(enters) => subject.enters = enters,
                Step::Full(full) => subject.room.requests = if full { 50 } else { 0 },
                Step::Leap(ms) => subject.now += ms * MS,
                Step::Terminate => { subject.event(Event::Terminate); drained = true; }
                Step::Stopping => { subject.event(Event::Stopping); stopped = true; }
            }
            subject.pass(ticks * 25 * MS);
            let (state, weight, _) = subject.told();
            prop_assert!(weight <= MAX_WEIGHT);
            prop_assert_eq!(stopped, state == State::Stopping);
            prop_assert_eq!(drained && !stopped, state == State::Draining);
            // The floor, for as long as anything could be served and the path moved.
            if matches!(state, State::Up | State::Degraded) && subject.group.usable > 0 && subject.sees {
                prop_assert!(weight >= floor, "{:?} {} under {}", state, weight, floor);
            }
        }
        let served: Vec<_> = subject.history.iter().copied()
            .filter(|(_, status)| matches!(status.state, State::Up | State::Degraded)).collect();
        prop_assert!(turns(&served, 60 * S) <= flaps as usize + 1, "{:?}", served);
    }

    #[test]
    fn a_weight_falls_at_once_rises_by_steps_and_turns_within_its_bound(
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
        prop_assert!(turns(&history, 60 * S) <= flaps as usize);
    }

    #[test]
    fn strain_alone_never_takes_the_ladder_under_the_floor(
        strains in proptest::collection::vec((proptest::option::of(0.0..=1.0f64), 0.0..=1.5f64, 1u64..900), 1..100),
        floor in 1u8..=50,
    ) {
        let options = HealthOptions { floor, ..HealthOptions::default() };
        let (mut steps, mut now) = (WeightSteps::default(), 0);
        for (share, taken, wait) in strains {
            now += wait * MS;
            steps.update(now, share, taken, &options);
            prop_assert!(steps.weight(&options) >= floor);
        }
    }
}

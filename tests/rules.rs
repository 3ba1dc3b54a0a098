//! The invariants of the router, one by one and over arbitrary legal event sequences.
mod common;
use asterreel::interface::*;
use common::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// A non-idempotent request that may have run is failed, and neither rejected nor dispatched again.
#[test]
fn non_idempotent_request_that_may_have_run_fails() {
    for outcome in [
        Outcome::TimedOut,
        Outcome::Error,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut gateway = TestGateway::ready(settings(), 3);
        let (write, _) = gateway.arrive(WRITE);
        let actions = gateway.end_attempt(write, 0, outcome, MemberReport::default());
        assert!(is_failed(&actions, write), "{outcome:?}");
        assert!(dispatches(&actions).is_empty() && !is_rejected(&actions, write));
    }
}

/// A queued write is rejected in time.
#[test]
fn queued_write_is_rejected_in_time() {
    let mut gateway = TestGateway::ready(settings(), 2);
    gateway.report_role(0, Role::Replica);
    let due = gateway.now + 2_000 * MS;
    let (write, mut actions) = gateway.arrive(WRITE);
    let mut attempt = 0;
    while !is_rejected(&actions, write) {
        assert!(gateway.now < due, "no answer in time");
        assert!(!is_failed(&actions, write));
        // Each search for the primary is rejected without running the write.
        if !dispatches(&actions).is_empty() {
            let replica = member_report(Role::Replica, gateway.now);
            actions = gateway.end_attempt(write, attempt, Outcome::Misrouted, replica);
            attempt += 1;
        } else {
            actions = gateway.advance(5 * MS);
        }
    }
    assert!(
        gateway.now > due - 200 * MS,
        "it was queued while it could still be served in time"
    );
}

/// Nothing is dispatched to a member listed as draining or removed.
#[test]
fn draining_or_removed_member_gets_nothing() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut gateway = TestGateway::ready(settings(), 3);
        gateway.update_endpoint(1, state, 0);
        for _ in 0..20 {
            let (_, actions) = gateway.arrive(EVENTUAL);
            assert!(dispatches(&actions).iter().all(|(_, m)| *m != 1));
        }
    }
}

/// Where a removal alone does not stop dispatches, a removed member stays in use.
#[test]
fn removed_member_stays_in_use_under_draining_only() {
    let mut settings = settings();
    settings.drain_signal = DrainSignal::DrainingOnly;
    let mut gateway = TestGateway::ready(settings, 2);
    gateway.update_endpoint(1, EndpointState::Removed, 0);
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(dispatches(&actions)[0].1, 1);
    gateway.update_endpoint(1, EndpointState::Draining, 0);
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(dispatches(&actions)[0].1, 0);
}

/// A member that is warming up gets few requests at first.
#[test]
fn started_member_gets_few_dispatches_at_first() {
    let mut gateway = TestGateway::ready(settings(), 2);
    gateway.update_endpoint(1, EndpointState::Ready, START);
    gateway.report_role(1, Role::Replica);
    let mut sent = 0;
    for _ in 0..100 {
        let (read, actions) = gateway.arrive(EVENTUAL);
        if let Some((_, 1)) = dispatches(&actions).first() {
            sent += 1;
            gateway.end_attempt(read, 0, Outcome::Rejected, MemberReport::default());
        }
    }
    assert!(
        sent <= 2,
        "{sent} dispatches to a member that has just started"
    );
}

/// Where members do not check reads, no read is dispatched to a replica that is not known to be in sync.
#[test]
fn unchecked_reads_go_only_to_replicas_known_in_sync() {
    let mut settings = settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 3);
    gateway.now += 400 * MS;
    let (read, mut actions) = gateway.arrive(BOUNDED);
    assert!(actions.iter().any(|a| matches!(a, Action::CheckHealth(_))));
    assert_eq!(
        dispatches(&actions),
        [],
        "a replica is polled for its position first"
    );
    for member in [1, 2] {
        assert_eq!(dispatches(&actions), [], "a replica has not reported yet");
        gateway.now += MS;
        actions = gateway.report_lag(member, Role::Replica, 350 * MS);
    }
    assert_eq!(
        dispatches(&actions),
        [(read, 0)],
        "all replicas that were polled are behind"
    );
}

/// Settings that contradict themselves are an error.
#[test]
fn contradictory_settings_are_an_error() {
    let error_of = |change: fn(&mut Settings)| {
        let mut settings = settings();
        change(&mut settings);
        asterreel::policy::Router::new(settings, 1, 0).err()
    };
    let unequal = SettingsError::UnequalClassLists {
        classes: 6,
        consistency_levels: 6,
        staleness_bounds: 5,
    };
    let missing_bound = |settings: &mut Settings| settings.staleness_bounds.truncate(5);
    assert_eq!(error_of(missing_bound), Some(unequal));
    let no_gateways = |settings: &mut Settings| settings.fleet_size = 0;
    assert_eq!(error_of(no_gateways), Some(SettingsError::NoGateways));
    let no_attempts = |settings: &mut Settings| settings.max_attempts = 0;
    assert_eq!(error_of(no_attempts), Some(SettingsError::NoAttempts));
    let negative = |settings: &mut Settings| settings.overload_multiple = -1.0;
    let invalid = SettingsError::InvalidSlowStart {
        initial_share: 0.2,
        overload_multiple: -1.0,
    };
    assert_eq!(error_of(negative), Some(invalid));
}

/// A request of an unknown class or group is rejected, and events with unknown identifiers are ignored.
#[test]
fn unknown_class_is_rejected_and_unknown_ids_ignored() {
    let mut gateway = TestGateway::ready(settings(), 2);
    let (request, actions) = gateway.arrive(99);
    assert!(is_rejected(&actions, request));
    gateway.end_attempt(
        RequestId(12345),
        3,
        Outcome::Served,
        MemberReport::default(),
    );
    gateway.event(Event::ClientGone(RequestId(777)));
    gateway.event(Event::HealthChecked(
        MemberId(99),
        Outcome::Served,
        MemberReport::default(),
    ));
    let (mut empty, _) = TestGateway::new(settings(), 0);
    let (request, actions) = empty.arrive(EVENTUAL);
    assert!(is_rejected(&actions, request));
}

/// The state of a request, as far as events and actions show it.
struct SeenRequest {
    class: usize,
    due: Micros,
    in_flight: Vec<u32>,
    may_have_run: bool,
    dispatch_count: u32,
    done: bool,
}

/// An attempt that was dispatched and has not ended.
#[derive(Clone, Copy)]
struct AttemptInFlight {
    request: RequestId,
    number: u32,
    member: u32,
    times_out_at: Micros,
}

/// Checks the rules on every action.
#[derive(Default)]
struct RuleChecker {
    requests: BTreeMap<RequestId, SeenRequest>,
    in_flight: Vec<AttemptInFlight>,
    drained: BTreeMap<u32, Micros>,
    position: BTreeMap<u32, Micros>,
    been_primary: BTreeSet<u32>,
}

impl RuleChecker {
    fn check(&mut self, settings: &Settings, now: Micros, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Dispatch {
                    request: id,
                    member: MemberId(m),
                    timeout,
                    ..
                } => {
                    let seen = self.requests.get_mut(&id).expect("a known request");
                    assert!(!seen.done, "dispatched after the final answer");
                    assert!(seen.dispatch_count < settings.max_attempts);
                    if !settings.parallel.granted() {
                        assert!(seen.in_flight.is_empty(), "two attempts in flight");
                    }
                    if settings.classes[seen.class].idempotency == Idempotency::NonIdempotent {
                        assert!(!seen.may_have_run && seen.in_flight.is_empty());
                    }
                    if let Some(notified_at) = self.drained.get(&m) {
                        assert!(
                            now <= notified_at + settings.drain_grace,
                            "dispatched to a drained member after the grace period"
                        );
                    }
                    if settings.replica_checks == ReplicaChecks::None
                        && !self.been_primary.contains(&m)
                    {
                        let position = self.position.get(&m).copied().unwrap_or(0);
                        match settings.consistency_levels[seen.class] {
                            ConsistencyLevel::BoundedStaleness => {
                                assert!(position + settings.staleness_bounds[seen.class] >= now);
                            }
                            ConsistencyLevel::Strong => {
                                panic!("a strong read dispatched to a replica")
                            }
                            _ => {}
                        }
                    }
                    let number = seen.dispatch_count;
                    seen.dispatch_count += 1;
                    seen.in_flight.push(number);
                    self.in_flight.push(AttemptInFlight {
                        request: id,
                        number,
                        member: m,
                        times_out_at: now + timeout,
                    });
                }
                Action::Reject { request: id, .. } | Action::Fail(id) => {
                    let seen = self.requests.get_mut(&id).expect("a known request");
                    assert!(!seen.done, "two final answers");
                    if matches!(action, Action::Reject { .. }) {
                        let idempotency = settings.classes[seen.class].idempotency;
                        let safe = idempotency == Idempotency::Idempotent;
                        assert!(safe || (!seen.may_have_run && seen.in_flight.is_empty()));
                    }
                    seen.done = true;
                }
                _ => {}
            }
        }
        for seen in self.requests.values() {
            assert!(
                seen.done || now <= seen.due + settings.answer_slack,
                "no answer in time"
            );
        }
    }
}

fn run(steps: Vec<(u8, u8, u8)>, checks: ReplicaChecks, parallel: Permit, probes: Permit) {
    let mut settings = settings();
    settings.replica_checks = checks;
    settings.parallel = parallel;
    settings.probes = probes;
    let (mut gateway, actions) = TestGateway::new(settings.clone(), 4);
    let mut checker = RuleChecker::default();
    checker.check(&settings, gateway.now, &actions);
    for (kind, a, b) in steps {
        gateway.now += u64::from(b % 16) * MS;
        end_timed_out_attempts(&mut checker, &mut gateway, &settings);
        match kind % 8 {
            0..=2 => {
                let id = RequestId(gateway.next_request_id);
                let class = usize::from(a) % settings.classes.len();
                let seen = SeenRequest {
                    class,
                    due: gateway.now + 2_000 * MS,
                    in_flight: Vec::new(),
                    may_have_run: false,
                    dispatch_count: 0,
                    done: false,
                };
                checker.requests.insert(id, seen);
                let (_, actions) = gateway.arrive_with(class, Some(u64::from(b)), None);
                checker.check(&settings, gateway.now, &actions);
            }
            3 | 4 if !checker.in_flight.is_empty() => {
                let attempt = checker.in_flight[usize::from(a) % checker.in_flight.len()];
                let outcome = [
                    Outcome::Served,
                    Outcome::Served,
                    Outcome::Misrouted,
                    Outcome::Rejected,
                    Outcome::Error,
                    Outcome::Reset,
                    Outcome::ConnectFailed,
                    Outcome::Cancelled,
                ][usize::from(b) % 8];
                end_attempt(&mut checker, &mut gateway, &settings, attempt, outcome, a);
            }
            5 => {
                let m = u32::from(a) % 4;
                let role = if b % 3 == 0 {
                    Role::Primary
                } else {
                    Role::Replica
                };
                let lag = u64::from(b) * 4 * MS;
                observe(&mut checker, m, member_report(role, gateway.now - lag));
                let actions = gateway.report_lag(m, role, lag);
                checker.check(&settings, gateway.now, &actions);
            }
            6 if b % 4 == 0 => {
                let m = u32::from(a) % 4;
                let state = [
                    EndpointState::Ready,
                    EndpointState::Draining,
                    EndpointState::Removed,
                ];
                let state = state[usize::from(a / 4) % 3];
                if state == EndpointState::Ready {
                    checker.drained.remove(&m);
                } else {
                    checker.drained.entry(m).or_insert(gateway.now);
                }
                let actions = gateway.update_endpoint(m, state, 0);
                checker.check(&settings, gateway.now, &actions);
            }
            _ => {
                let actions = gateway.event(Event::TimerFired);
                checker.check(&settings, gateway.now, &actions);
            }
        }
    }
    // Time-outs and timers give every request its answer in the end.
    for _ in 0..500 {
        gateway.now += 5 * MS;
        end_timed_out_attempts(&mut checker, &mut gateway, &settings);
        let actions = gateway.event(Event::TimerFired);
        checker.check(&settings, gateway.now, &actions);
    }
    assert!(checker.requests.values().all(|seen| seen.done));
}

/// Ends the attempts that have reached their time-out, as the gateway does.
fn end_timed_out_attempts(
    checker: &mut RuleChecker,
    gateway: &mut TestGateway,
    settings: &Settings,
) {
    let mut late = checker.in_flight.clone();
    late.retain(|attempt| attempt.times_out_at <= gateway.now);
    for attempt in late {
        end_attempt(checker, gateway, settings, attempt, Outcome::TimedOut, 0);
    }
}

fn observe(checker: &mut RuleChecker, m: u32, report: MemberReport) {
    let position = checker.position.entry(m).or_insert(0);
    *position = (*position).max(report.position.unwrap_or(0));
    match report.role {
        Some(Role::Primary) => {
            checker.been_primary.insert(m);
        }
        Some(Role::Replica) => {
            checker.been_primary.remove(&m);
        }
        None => {}
    }
}

fn end_attempt(
    checker: &mut RuleChecker,
    gateway: &mut TestGateway,
    settings: &Settings,
    attempt: AttemptInFlight,
    outcome: Outcome,
    a: u8,
) {
    let (id, number, m) = (attempt.request, attempt.number, attempt.member);
    checker
        .in_flight
        .retain(|other| (other.request, other.number) != (id, number));
    let seen = checker.requests.get_mut(&id).expect("a known request");
    seen.in_flight.retain(|other| *other != number);
    use Outcome::*;
    seen.may_have_run |= !matches!(outcome, Rejected | ConnectFailed | NotSent | Misrouted);
    seen.done |= outcome == Served;
    let answered = matches!(outcome, Served | Misrouted | Rejected | Error);
    let role = if a % 2 == 0 {
        Role::Primary
    } else {
        Role::Replica
    };
    let report = if answered {
        member_report(role, gateway.now - 5 * MS)
    } else {
        MemberReport::default()
    };
    let answer = if seen.done {
        AnswerStatus::Finished
    } else {
        AnswerStatus::Pending
    };
    observe(checker, m, report);
    let actions = gateway.event(Event::AttemptEnded(AttemptEnded {
        answer,
        ..attempt_ended(id, number, outcome, 60 * MS, report)
    }));
    checker.check(settings, gateway.now, &actions);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6066),
        ..ProptestConfig::default()
    })]
    /// The rules hold over any legal events.
    #[test]
    fn rules_hold_over_arbitrary_events(
        steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 1..300),
        checks in any::<bool>(),
        parallel in any::<bool>(),
        probes in any::<bool>(),
    ) {
        let permit = |allowed| if allowed { Permit::Allowed } else { Permit::Forbidden };
        let checks = if checks { ReplicaChecks::None } else { ReplicaChecks::RejectStale };
        run(steps, checks, permit(parallel), permit(probes));
    }
}

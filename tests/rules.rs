//! The five rules, one by one and over arbitrary legal event sequences.
mod common;
use asterreel::interface::*;
use common::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_refused_or_resent() {
    for outcome in [
        Outcome::TimedOut,
        Outcome::Error,
        Outcome::Reset,
        Outcome::Cancelled,
    ] {
        let mut front = Front::ready(settings(), 3);
        let (write, _) = front.arrive(WRITE);
        let actions = front.ends(write, 0, outcome, MemberReport::default());
        assert!(failed(&actions, write), "{outcome:?}");
        assert!(sends(&actions).is_empty() && !refused(&actions, write));
    }
}

#[test]
fn a_held_write_is_refused_in_time() {
    let mut front = Front::ready(settings(), 2);
    front.tell(0, Role::Replica);
    let due = front.now + 2_000 * MS;
    let (write, mut actions) = front.arrive(WRITE);
    let mut attempt = 0;
    while !refused(&actions, write) {
        assert!(front.now < due, "no answer in time");
        assert!(!failed(&actions, write));
        // Each search for the primary is turned away untouched.
        if !sends(&actions).is_empty() {
            let replica = note(Role::Replica, front.now);
            actions = front.ends(write, attempt, Outcome::Misrouted, replica);
            attempt += 1;
        } else {
            actions = front.pass(5 * MS);
        }
    }
    assert!(
        front.now > due - 200 * MS,
        "it was held while it could still make it"
    );
}

#[test]
fn nothing_goes_to_a_member_told_draining_or_gone() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut front = Front::ready(settings(), 3);
        front.change(1, state, 0);
        for _ in 0..20 {
            let (_, actions) = front.arrive(ANY);
            assert!(sends(&actions).iter().all(|(_, m)| *m != 1));
        }
    }
}

#[test]
fn where_gone_does_not_bind_a_gone_member_stays_in_use() {
    let mut settings = settings();
    settings.drain_signal = DrainSignal::DrainingOnly;
    let mut front = Front::ready(settings, 2);
    front.change(1, EndpointState::Removed, 0);
    let (_, actions) = front.arrive(ANY);
    assert_eq!(sends(&actions)[0].1, 1);
    front.change(1, EndpointState::Draining, 0);
    let (_, actions) = front.arrive(ANY);
    assert_eq!(sends(&actions)[0].1, 0);
}

#[test]
fn a_cold_member_gets_little_at_first() {
    let mut front = Front::ready(settings(), 2);
    front.change(1, EndpointState::Ready, START);
    front.tell(1, Role::Replica);
    let mut sent = 0;
    for _ in 0..100 {
        let (read, actions) = front.arrive(ANY);
        if let Some((_, 1)) = sends(&actions).first() {
            sent += 1;
            front.ends(read, 0, Outcome::Rejected, MemberReport::default());
        }
    }
    assert!(sent <= 2, "{sent} sends to a member just started");
}

#[test]
fn without_checks_no_read_goes_to_a_replica_not_known_in_sync() {
    let mut settings = settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut front = Front::ready(settings, 3);
    front.now += 400 * MS;
    let (read, mut actions) = front.arrive(BOUNDED);
    assert!(actions.iter().any(|a| matches!(a, Action::CheckHealth(_))));
    assert_eq!(
        sends(&actions),
        [],
        "a standby is asked first how far it is"
    );
    for member in [1, 2] {
        assert_eq!(sends(&actions), [], "one is left to hear from");
        front.now += MS;
        actions = front.tell_behind(member, Role::Replica, 350 * MS);
    }
    assert_eq!(
        sends(&actions),
        [(read, 0)],
        "all that were asked are behind"
    );
}

#[test]
fn settings_that_contradict_themselves_are_an_error() {
    let mut settings = settings();
    settings.staleness_bounds.pop();
    assert!(asterreel::policy::Router::new(settings, 1, 0).is_err());
}

#[test]
fn unknown_class_or_group_gets_a_final_answer_and_unknown_names_are_ignored() {
    let mut front = Front::ready(settings(), 2);
    let (request, actions) = front.arrive(99);
    assert!(refused(&actions, request));
    front.ends(
        RequestId(12345),
        3,
        Outcome::Served,
        MemberReport::default(),
    );
    front.event(Event::ClientGone(RequestId(777)));
    front.event(Event::HealthChecked(
        MemberId(99),
        Outcome::Served,
        MemberReport::default(),
    ));
    let (mut empty, _) = Front::new(settings(), 0);
    let (request, actions) = empty.arrive(ANY);
    assert!(refused(&actions, request));
}

/// What the test knows of a request, from the actions alone.
struct Seen {
    class: usize,
    due: Micros,
    out: Vec<u32>,
    may_have_run: bool,
    sends: u32,
    done: bool,
}

#[derive(Default)]
struct Watcher {
    requests: BTreeMap<RequestId, Seen>,
    out: Vec<(RequestId, u32, u32, Micros)>,
    drained: BTreeMap<u32, Micros>,
    position: BTreeMap<u32, Micros>,
    been_primary: BTreeSet<u32>,
}

impl Watcher {
    fn check(&mut self, settings: &Settings, now: Micros, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Dispatch {
                    request: id,
                    member: MemberId(m),
                    timeout,
                } => {
                    let seen = self.requests.get_mut(&id).expect("a known request");
                    assert!(!seen.done, "a send after the final answer");
                    assert!(seen.sends < settings.max_attempts);
                    if !settings.parallel.granted() {
                        assert!(seen.out.is_empty(), "two attempts out");
                    }
                    if settings.classes[seen.class].idempotency == Idempotency::NonIdempotent {
                        assert!(!seen.may_have_run && seen.out.is_empty());
                    }
                    if let Some(told) = self.drained.get(&m) {
                        assert!(now <= told + settings.drain_grace, "a drain not kept");
                    }
                    if settings.replica_checks == ReplicaChecks::None
                        && !self.been_primary.contains(&m)
                    {
                        let position = self.position.get(&m).copied().unwrap_or(0);
                        match settings.consistency_levels[seen.class] {
                            ConsistencyLevel::BoundedStaleness => {
                                assert!(position + settings.staleness_bounds[seen.class] >= now);
                            }
                            ConsistencyLevel::Strong => panic!("a fresh read at a replica"),
                            _ => {}
                        }
                    }
                    let number = seen.sends;
                    seen.sends += 1;
                    seen.out.push(number);
                    self.out.push((id, number, m, now + timeout));
                }
                Action::Reject { request: id, .. } | Action::Fail(id) => {
                    let seen = self.requests.get_mut(&id).expect("a known request");
                    assert!(!seen.done, "two final answers");
                    if matches!(action, Action::Reject { .. }) {
                        let idempotency = settings.classes[seen.class].idempotency;
                        let safe = idempotency == Idempotency::Idempotent;
                        assert!(safe || (!seen.may_have_run && seen.out.is_empty()));
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
    let (mut front, actions) = Front::new(settings.clone(), 4);
    let mut watcher = Watcher::default();
    watcher.check(&settings, front.now, &actions);
    for (kind, a, b) in steps {
        front.now += u64::from(b % 16) * MS;
        expire(&mut watcher, &mut front, &settings);
        match kind % 8 {
            0..=2 => {
                let id = RequestId(front.next);
                let class = usize::from(a) % settings.classes.len();
                let seen = Seen {
                    class,
                    due: front.now + 2_000 * MS,
                    out: Vec::new(),
                    may_have_run: false,
                    sends: 0,
                    done: false,
                };
                watcher.requests.insert(id, seen);
                let (_, actions) = front.arrive_with(class, Some(u64::from(b)), None);
                watcher.check(&settings, front.now, &actions);
            }
            3 | 4 if !watcher.out.is_empty() => {
                let (id, number, m, _) = watcher.out[usize::from(a) % watcher.out.len()];
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
                end(
                    &mut watcher,
                    &mut front,
                    &settings,
                    (id, number, m),
                    outcome,
                    a,
                );
            }
            5 => {
                let m = u32::from(a) % 4;
                let role = if b % 3 == 0 {
                    Role::Primary
                } else {
                    Role::Replica
                };
                let lag = u64::from(b) * 4 * MS;
                hear(&mut watcher, m, note(role, front.now - lag));
                let actions = front.tell_behind(m, role, lag);
                watcher.check(&settings, front.now, &actions);
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
                    watcher.drained.remove(&m);
                } else {
                    watcher.drained.entry(m).or_insert(front.now);
                }
                let actions = front.change(m, state, 0);
                watcher.check(&settings, front.now, &actions);
            }
            _ => {
                let actions = front.event(Event::TimerFired);
                watcher.check(&settings, front.now, &actions);
            }
        }
    }
    // Everything is answered in the end: time-outs arrive, timers fire.
    for _ in 0..500 {
        front.now += 5 * MS;
        expire(&mut watcher, &mut front, &settings);
        let actions = front.event(Event::TimerFired);
        watcher.check(&settings, front.now, &actions);
    }
    assert!(watcher.requests.values().all(|seen| seen.done));
}

/// Attempts that reach their time-out end with it, as the wire would have it.
fn expire(watcher: &mut Watcher, front: &mut Front, settings: &Settings) {
    let mut late = watcher.out.clone();
    late.retain(|out| out.3 <= front.now);
    for (id, number, member, _) in late {
        let attempt = (id, number, member);
        end(watcher, front, settings, attempt, Outcome::TimedOut, 0);
    }
}

fn hear(watcher: &mut Watcher, m: u32, report: MemberReport) {
    let position = watcher.position.entry(m).or_insert(0);
    *position = (*position).max(report.position.unwrap_or(0));
    match report.role {
        Some(Role::Primary) => {
            watcher.been_primary.insert(m);
        }
        Some(Role::Replica) => {
            watcher.been_primary.remove(&m);
        }
        None => {}
    }
}

fn end(
    watcher: &mut Watcher,
    front: &mut Front,
    settings: &Settings,
    (id, number, m): (RequestId, u32, u32),
    outcome: Outcome,
    a: u8,
) {
    watcher.out.retain(|o| (o.0, o.1) != (id, number));
    let seen = watcher.requests.get_mut(&id).expect("a known request");
    seen.out.retain(|other| *other != number);
    use Outcome::*;
    seen.may_have_run |= !matches!(outcome, Rejected | ConnectFailed | NotSent | Misrouted);
    seen.done |= outcome == Served;
    let answered = matches!(outcome, Served | Misrouted | Rejected | Error);
    let role = if a % 2 == 0 {
        Role::Primary
    } else {
        Role::Replica
    };
    let said = if answered {
        note(role, front.now - 5 * MS)
    } else {
        MemberReport::default()
    };
    let answer = if seen.done {
        AnswerStatus::Finished
    } else {
        AnswerStatus::Owed
    };
    hear(watcher, m, said);
    let actions = front.event(Event::AttemptEnded(AttemptEnded {
        answer,
        ..ended(id, number, outcome, 60 * MS, said)
    }));
    watcher.check(settings, front.now, &actions);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6066),
        ..ProptestConfig::default()
    })]
    #[test]
    fn the_rules_hold_over_any_legal_events(
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

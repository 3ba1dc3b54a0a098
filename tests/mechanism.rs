//! Each part of the router in normal operation.
mod common;
use asterreel::interface::*;
use common::*;

/// Members are checked before the first dispatch and about every second.
#[test]
fn health_checks_run_at_start_and_every_second() {
    let (mut gateway, first) = TestGateway::new(settings(), 2);
    for m in 0..2 {
        assert!(first.contains(&Action::CheckHealth(MemberId(m))));
        gateway.report_role(m, Role::Replica);
    }
    let mut checks = 0;
    for _ in 0..5 {
        for action in gateway.advance(1_000 * MS) {
            if let Action::CheckHealth(MemberId(m)) = action {
                checks += 1;
                gateway.report_role(m, Role::Replica);
            }
        }
    }
    assert!(
        (6..=14).contains(&checks),
        "{checks} checks in 5 s of 2 members"
    );
}

/// No health check where checks are forbidden.
#[test]
fn health_checks_stay_off_where_forbidden() {
    let mut settings = settings();
    settings.probes = Permit::Forbidden;
    let (mut gateway, mut actions) = TestGateway::new(settings, 3);
    actions.extend(gateway.advance(3_000 * MS));
    assert!(!actions.iter().any(|a| matches!(a, Action::CheckHealth(_))));
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(
        dispatches(&actions).len(),
        1,
        "unverified members serve requests then"
    );
}

/// Writes and strong reads go to the known primary.
#[test]
fn writes_and_strong_reads_go_to_known_primary() {
    let mut gateway = TestGateway::ready(settings(), 4);
    for class in [WRITE, STRONG, KEYED] {
        let (request, actions) = gateway.arrive(class);
        assert_eq!(dispatches(&actions), [(request, 0)]);
    }
}

/// A report of the replica role demotes a member at once, and a report of the primary role promotes one.
#[test]
fn replica_report_demotes_and_primary_report_promotes() {
    let mut gateway = TestGateway::ready(settings(), 3);
    gateway.now += MS;
    gateway.report_role(0, Role::Replica);
    let (searching, actions) = gateway.arrive(WRITE);
    let searches = dispatches(&actions);
    assert!(
        searches.len() == 1 && searches[0].1 != 0,
        "one write searches for the primary at another member"
    );
    let (write, actions) = gateway.arrive(WRITE);
    assert!(
        dispatches(&actions).is_empty(),
        "writes wait while no primary is known"
    );
    gateway.now += MS;
    let replica = member_report(Role::Replica, gateway.now);
    let actions = gateway.end_attempt(searching, 0, Outcome::Misrouted, replica);
    assert!(
        dispatches(&actions).is_empty(),
        "the next search begins 20 ms later at the earliest"
    );
    let mut actions = gateway.report_role(2, Role::Primary);
    actions.extend(gateway.advance(20 * MS));
    let mut dispatched = dispatches(&actions);
    dispatched.sort();
    assert_eq!(dispatched, [(searching, 2), (write, 2)]);
}

/// A misrouted write demotes the known primary and waits for the next one.
#[test]
fn misrouted_write_demotes_and_waits_for_next_primary() {
    let mut gateway = TestGateway::ready(settings(), 3);
    let (write, _) = gateway.arrive(WRITE);
    gateway.now += MS;
    let actions = gateway.end_attempt(write, 0, Outcome::Misrouted, MemberReport::default());
    assert!(dispatches(&actions).iter().all(|(_, m)| *m != 0));
    assert!(!is_rejected(&actions, write) && !is_failed(&actions, write));
    let actions = gateway.end_attempt(write, 1, Outcome::Misrouted, MemberReport::default());
    assert!(!is_rejected(&actions, write) && !is_failed(&actions, write));
    assert_eq!(
        dispatches(&gateway.report_role(2, Role::Primary)),
        [(write, 2)]
    );
}

/// A misrouted read shows only that its replica is behind, and the known primary stays.
#[test]
fn misrouted_read_keeps_known_primary() {
    let mut gateway = TestGateway::ready(settings(), 3);
    let (read, actions) = gateway.arrive(BOUNDED);
    let (_, replica) = dispatches(&actions)[0];
    assert_ne!(replica, 0);
    let behind = member_report(Role::Replica, START - 900 * MS);
    let actions = gateway.end_attempt(read, 0, Outcome::Misrouted, behind);
    assert_eq!(dispatches(&actions).len(), 1);
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(
        dispatches(&actions),
        [(write, 0)],
        "the primary is still known"
    );
}

/// The failure threshold fails a member and a good health check brings it back.
#[test]
fn failure_threshold_fails_member_until_good_check() {
    let mut gateway = TestGateway::ready(settings(), 2);
    for _ in 0..3 {
        gateway.fail_health_check(1);
    }
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(
        dispatches(&actions)[0].1,
        1,
        "three bad results are not enough"
    );
    gateway.fail_health_check(1);
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(
        dispatches(&actions)[0].1,
        0,
        "no replica is left, the primary serves"
    );
    gateway.report_role(1, Role::Replica);
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(dispatches(&actions)[0].1, 1);
}

/// A good health check resets the count of consecutive failures.
#[test]
fn good_check_resets_consecutive_failures() {
    let mut gateway = TestGateway::ready(settings(), 2);
    for _ in 0..10 {
        for _ in 0..3 {
            gateway.fail_health_check(1);
        }
        gateway.report_role(1, Role::Replica);
    }
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(dispatches(&actions)[0].1, 1);
}

/// Reads with eventual consistency stay off the known primary and spread over the replicas by attempts in flight.
#[test]
fn eventual_reads_spread_over_replicas() {
    let mut gateway = TestGateway::ready(settings(), 4);
    let mut counts = [0; 4];
    for _ in 0..18 {
        let (_, actions) = gateway.arrive(EVENTUAL);
        counts[dispatches(&actions)[0].1 as usize] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(
        counts[1..].iter().all(|n| (3..=9).contains(n)),
        "{counts:?}"
    );
}

/// Bounded reads spill to the known primary while every replica lags.
#[test]
fn bounded_reads_spill_to_primary_when_replicas_lag() {
    let mut gateway = TestGateway::ready(settings(), 3);
    gateway.advance(50 * MS);
    gateway.now += 1_000 * MS;
    for m in 1..3 {
        gateway.report_lag(m, Role::Replica, 800 * MS);
    }
    let (_, actions) = gateway.arrive(BOUNDED);
    assert_eq!(dispatches(&actions)[0].1, 0);
}

/// Session reads go to a replica that has their required position, and to any replica if they require none.
#[test]
fn session_reads_require_position_of_their_write() {
    let mut gateway = TestGateway::ready(settings(), 2);
    let (mut behind, _) = TestGateway::new(settings(), 2);
    behind.report_role(0, Role::Primary);
    behind.report_lag(1, Role::Replica, 500 * MS);
    let (_, actions) = behind.arrive_with(SESSION, Some(1), Some(100 * MS));
    assert_eq!(
        dispatches(&actions)[0].1,
        0,
        "the replica has not applied the write"
    );
    let (_, actions) = behind.arrive_with(SESSION, Some(1), None);
    assert_eq!(
        dispatches(&actions)[0].1,
        1,
        "the session has no write to see"
    );
    let (_, actions) = gateway.arrive_with(SESSION, Some(1), Some(100 * MS));
    assert_eq!(
        dispatches(&actions)[0].1,
        1,
        "the replica has applied the write"
    );
}

/// Where the router remembers sessions, a session read must see the commit that its session was answered with.
#[test]
fn remembered_session_reads_see_their_commit() {
    let mut settings = settings();
    settings.session_tokens = SessionTokens::Remembered;
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 2);
    let (write, _) = gateway.arrive_with(WRITE, Some(9), None);
    let commit = START + 40 * MS;
    gateway.end_attempt(
        write,
        0,
        Outcome::Served,
        member_report(Role::Primary, commit),
    );
    let (_, actions) = gateway.arrive_with(SESSION, Some(9), None);
    assert_eq!(dispatches(&actions)[0].1, 0);
    let (_, actions) = gateway.arrive_with(SESSION, Some(8), None);
    assert_eq!(
        dispatches(&actions)[0].1,
        1,
        "another session has written nothing"
    );
}

/// Queued writes are dispatched to a new primary gradually.
#[test]
fn queued_writes_ramp_up_on_promoted_primary() {
    let mut gateway = TestGateway::ready(settings(), 3);
    gateway.report_role(0, Role::Replica);
    let waiting: Vec<RequestId> = (0..40).map(|_| gateway.arrive(WRITE).0).collect();
    // The oldest was dispatched to search for the primary; rejected there, it keeps its place in the queue.
    gateway.end_attempt(
        waiting[0],
        0,
        Outcome::Misrouted,
        member_report(Role::Replica, gateway.now),
    );
    let first = dispatches(&gateway.report_role(1, Role::Primary));
    assert!((1..=4).contains(&first.len()), "{} at once", first.len());
    let (done, _) = first[0];
    assert_eq!(done, waiting[0], "the oldest first");
    let more = gateway.end_attempt(
        done,
        1,
        Outcome::Served,
        member_report(Role::Primary, gateway.now),
    );
    assert!((1..=2).contains(&dispatches(&more).len()));
}

/// A lost watch is renewed with backoff.
#[test]
fn lost_watch_is_renewed_with_backoff() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Watch;
    let (mut gateway, actions) = TestGateway::new(settings, 2);
    assert!(actions.contains(&Action::Watch));
    let mut calls = 0;
    for _ in 0..20 {
        gateway.event(Event::WatchLost(WatchLoss::default()));
        for _ in 0..40 {
            let actions = gateway.advance(100 * MS);
            if actions.contains(&Action::Watch) {
                calls += 1;
                break;
            }
        }
    }
    assert_eq!(calls, 20, "each loss is followed by a call");
    gateway.event(Event::WatchLost(WatchLoss::default()));
    let early = gateway.advance(900 * MS);
    assert!(
        !early.contains(&Action::Watch),
        "after many losses the wait is long"
    );
}

/// The same events give the same actions.
#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut gateway = TestGateway::ready(settings(), 5);
        let mut all = Vec::new();
        for n in 0..200 {
            all.extend(gateway.arrive(n % 6).1);
            all.extend(gateway.advance(3 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}

/// A connection may take long to open: if the member drains or the client disconnects meanwhile, nothing is sent.
#[test]
fn attempt_is_not_sent_after_drain_or_client_gone() {
    for ending in [EndpointState::Draining, EndpointState::Removed] {
        let mut gateway = TestGateway::ready(settings(), 3);
        let (write, actions) = gateway.arrive(WRITE);
        let (_, to) = dispatches(&actions)[0];
        assert_eq!(gateway.permit_send(write, 0), Ok(()));
        gateway.update_endpoint(to, ending, 0);
        assert_eq!(
            gateway.permit_send(write, 0),
            Err(SendRefusal::MemberDraining),
            "{ending:?}"
        );
    }
    let mut gateway = TestGateway::ready(settings(), 3);
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(dispatches(&actions).len(), 1);
    gateway.event(Event::ClientGone(write));
    assert_eq!(
        gateway.permit_send(write, 0),
        Err(SendRefusal::RequestEnded)
    );
}

//! Member selection: concentrating, spreading and spilling reads.

use super::common::*;
use asterreel::interface::*;

/// Incident i9ab903: eventual reads that block applying were spread, so that every replica fell behind.
#[test]
fn long_reads_concentrate_on_furthest_behind_replica() {
    let mut gateway = TestGateway::ready(settings_with_long_reads(), 4);
    gateway.now += 1_000 * MS;
    for (m, lag) in [(1, 10), (2, 700), (3, 300)] {
        gateway.report_lag(m, Role::Replica, lag * MS);
    }
    for _ in 0..3 {
        let (_, actions) = gateway.arrive(EVENTUAL);
        assert_eq!(dispatches(&actions)[0].1, 2);
    }
}

/// A dispatch delayed by its connection is not written on old data or into a drain.
#[test]
fn late_write_rechecks_staleness_and_drain() {
    let mut settings = settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 3);
    let (read, actions) = gateway.arrive(BOUNDED);
    let to = dispatches(&actions)[0].1;
    assert_ne!(to, 0, "a replica in sync is picked");
    let member = MemberId(to);
    assert!(gateway.router.may_send(gateway.now, read, member));
    // The bound is 300 ms and counts from the last byte: what was in sync at the decision no longer is.
    assert!(gateway
        .router
        .may_send(gateway.now + 290 * MS, read, member));
    assert!(!gateway
        .router
        .may_send(gateway.now + 299 * MS, read, member));
    assert!(!gateway
        .router
        .may_send(gateway.now + 301 * MS, read, member));
    // The known primary stands at the present, and any data does for an eventual read.
    assert!(gateway
        .router
        .may_send(gateway.now + 301 * MS, read, MemberId(0)));
    let (any, _) = gateway.arrive(EVENTUAL);
    assert!(gateway.router.may_send(gateway.now + 301 * MS, any, member));
    gateway.update_endpoint(to, EndpointState::Draining, 0);
    assert!(!gateway.router.may_send(gateway.now, any, member));
}

/// A gateway whose member 2 lags and concentrates the eventual reads, one of which stays in flight if `one_out`; the
/// others are answered there this late.
fn concentrated(latency: Micros, one_out: bool) -> (TestGateway, bool) {
    let mut gateway = TestGateway::ready(settings_with_long_reads(), 4);
    gateway.now += 500 * MS;
    gateway.report_lag(2, Role::Replica, 350 * MS);
    if one_out {
        gateway.arrive(EVENTUAL);
    }
    for _ in 0..20 {
        let (read, actions) = gateway.arrive(EVENTUAL);
        let to = dispatches(&actions).first().map(|(_, m)| *m);
        if to != Some(2) {
            return (gateway, to.is_none());
        }
        gateway.now += 10 * MS;
        let late = attempt_ended(
            read,
            0,
            Outcome::Served,
            latency,
            member_report(Role::Replica, gateway.now - 350 * MS),
        );
        gateway.event(Event::AttemptEnded(late));
    }
    (gateway, false)
}

/// Reads with eventual consistency wait while the replica they concentrate on is late.
#[test]
fn concentrated_reads_wait_while_their_replica_is_late() {
    // The latency objective is 400 ms: more reads would only time out there, or block the other replicas' log.
    assert!(
        !concentrated(100 * MS, true).1,
        "in good time: they go on concentrating"
    );
    let (mut gateway, held) = concentrated(390 * MS, true);
    assert!(held, "late: they wait");
    let (_, actions) = gateway.arrive(BOUNDED);
    assert_ne!(dispatches(&actions)[0].1, 2, "others go on");
}

/// A churn day: what was learned of the replica that reports concentrated on stood still once it got no more, so it
/// sat idle for 20 s while half of all long reads were rejected.
#[test]
fn idle_replica_gets_concentrated_reads_again() {
    let (gateway, held) = concentrated(390 * MS, false);
    assert!(
        !held && gateway.next == 20,
        "each answer lets the next one go"
    );
}

/// The same days: one replica can't bear all reports of a busy group, and spread they stop the log everywhere.
#[test]
fn concentrated_reads_use_half_of_replicas_at_most() {
    let mut gateway = TestGateway::ready(settings_with_long_reads(), 5);
    gateway.now += 500 * MS;
    for (m, lag) in [(1, 400), (2, 300), (3, 200), (4, 10)] {
        gateway.report_lag(m, Role::Replica, lag * MS);
    }
    let placed = (0..40)
        .flat_map(|_| dispatches(&gateway.arrive(EVENTUAL).1))
        .map(|(_, m)| m)
        .collect::<Vec<u32>>();
    let full = placed.iter().filter(|m| **m == 1).count();
    assert!(
        full > 1 && placed[..full].iter().all(|m| *m == 1),
        "the furthest behind first: {placed:?}"
    );
    assert_eq!(
        placed[full..],
        vec![2; full],
        "then the next, then they wait"
    );
}

/// vejle-tarif rough-1: short reads that any member may answer, a third of all, concentrated on one of two or three
/// replicas that all lagged for another reason, and a fifth of them was rejected at half of the load.
#[test]
fn reads_that_delay_no_replication_spread() {
    let spread = |settings: Settings, latency: Micros, lag: Micros| {
        let mut gateway = TestGateway::ready(settings, 4);
        let mut sent = [0; 4];
        for round in 0..120 {
            gateway.now += 20 * MS;
            (1..4).for_each(|m| {
                drop(gateway.report_lag(m, Role::Replica, lag + u64::from(m) * 10 * MS))
            });
            let (read, actions) = gateway.arrive(EVENTUAL);
            let Some((_, to)) = dispatches(&actions).first().copied() else {
                panic!("held: {sent:?}")
            };
            // The first answers teach how long such reads take, and whether they leave their replica behind.
            sent[to as usize] += u32::from(round >= 40);
            gateway.now += latency;
            let behind = member_report(Role::Replica, gateway.now - lag - u64::from(to) * 10 * MS);
            gateway.serve(read, latency, behind);
        }
        sent
    };
    for (what, sent) in [
        (
            "short ones, however far all lag",
            spread(settings(), 35 * MS, 2_000 * MS),
        ),
        (
            "long ones that leave their replica little behind",
            spread(settings_with_long_reads(), 300 * MS, 100 * MS),
        ),
    ] {
        assert!(
            sent[0] == 0 && sent[1..].iter().all(|count| *count > 12),
            "{what}: {sent:?}"
        );
    }
    let concentrated = spread(settings_with_long_reads(), 300 * MS, 400 * MS);
    assert_eq!(
        concentrated,
        [0, 0, 0, 80],
        "long ones that leave it behind"
    );
}

/// A churn day: the one replica in sync was full and reads waited for it, while the primary had nothing to do.
#[test]
fn bounded_reads_spill_to_primary_when_replicas_are_full() {
    let mut gateway = TestGateway::ready(settings(), 3);
    gateway.now += 400 * MS;
    let placed: Vec<u32> = (0..40)
        .flat_map(|_| dispatches(&gateway.arrive(BOUNDED).1))
        .map(|(_, m)| m)
        .collect();
    let replica = placed.iter().take_while(|m| **m != 0).count();
    assert!(
        replica > 1 && replica < placed.len(),
        "the replicas first, then the known primary: {placed:?}"
    );
    assert_eq!(placed[replica..], vec![0; placed.len() - replica]);
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(
        dispatches(&actions),
        [(write, 0)],
        "its capacity is left to writes for the most part"
    );
}

/// A read never dispatched is rejected at half its time.
#[test]
fn undispatched_read_is_rejected_at_half_its_time() {
    let (mut gateway, _) = concentrated(390 * MS, true);
    let (read, mut actions) = gateway.arrive(EVENTUAL);
    let arrived = gateway.now;
    while !is_rejected(&actions, read) {
        assert!(
            gateway.now < arrived + 1_010 * MS,
            "its second half has begun"
        );
        actions = gateway.advance(5 * MS);
    }
}

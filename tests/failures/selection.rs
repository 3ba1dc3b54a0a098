//! Member selection: concentrating, spreading and spilling reads.

use super::common::*;
use asterreel::interface::*;

/// Eventual reads that delay replication were spread, so that every replica fell behind.
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

/// An attempt that waits for its connection is not sent if the data is too old by then, or the member drains.
#[test]
fn delayed_send_rechecks_staleness_and_drain() {
    let mut settings = settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 3);
    let (read, actions) = gateway.arrive(BOUNDED);
    let to = dispatches(&actions)[0].1;
    assert_ne!(to, 0, "a replica in sync is selected");
    let dispatched_at = gateway.now;
    assert_eq!(gateway.permit_send(read, 0), Ok(()));
    // The bound is 300 ms and counts from the last byte: a replica in sync at the dispatch may be too old by then.
    gateway.now = dispatched_at + 290 * MS;
    assert_eq!(gateway.permit_send(read, 0), Ok(()));
    for late in [299 * MS, 301 * MS] {
        gateway.now = dispatched_at + late;
        assert_eq!(gateway.permit_send(read, 0), Err(SendRefusal::StaleData));
    }
    // An eventual read may get data of any age.
    gateway.now = dispatched_at;
    let (any, actions) = gateway.arrive(EVENTUAL);
    let to = dispatches(&actions)[0].1;
    gateway.now = dispatched_at + 301 * MS;
    assert_eq!(gateway.permit_send(any, 0), Ok(()));
    gateway.update_endpoint(to, EndpointState::Draining, 0);
    assert_eq!(
        gateway.permit_send(any, 0),
        Err(SendRefusal::MemberDraining)
    );
    // The known primary has all commits.
    let mut settings = super::common::settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 1);
    let (read, actions) = gateway.arrive(BOUNDED);
    assert_eq!(dispatches(&actions), [(read, 0)]);
    gateway.now += 301 * MS;
    assert_eq!(gateway.permit_send(read, 0), Ok(()));
}

/// A gateway that concentrates eventual reads on member 2, which lags. One of them stays in flight if `one_in_flight`;
/// the others are answered after `latency`. Returns the gateway, and whether a read was held back.
fn concentrated(latency: Micros, one_in_flight: bool) -> (TestGateway, bool) {
    let mut gateway = TestGateway::ready(settings_with_long_reads(), 4);
    gateway.now += 500 * MS;
    gateway.report_lag(2, Role::Replica, 350 * MS);
    if one_in_flight {
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
    // The latency objective is 400 ms: more reads would only time out there, or delay the other replicas.
    assert!(
        !concentrated(100 * MS, true).1,
        "answers within the objective: reads go on concentrating"
    );
    let (mut gateway, held) = concentrated(390 * MS, true);
    assert!(held, "late answers: reads wait");
    let (_, actions) = gateway.arrive(BOUNDED);
    assert_ne!(
        dispatches(&actions)[0].1,
        2,
        "reads of other classes are dispatched elsewhere"
    );
}

/// The estimates of the replica that long reads concentrated on did not change once it got no more of them, so it was
/// idle for 20 s while half of all long reads were rejected.
#[test]
fn idle_replica_gets_concentrated_reads_again() {
    let (gateway, held) = concentrated(390 * MS, false);
    assert!(
        !held && gateway.next_request_id == 20,
        "each answer allows the next dispatch"
    );
}

/// One replica can't serve all long reads of a busy group, and spread over all replicas they delay replication
/// everywhere.
#[test]
fn concentrated_reads_use_half_of_replicas_at_most() {
    let mut gateway = TestGateway::ready(settings_with_long_reads(), 5);
    gateway.now += 500 * MS;
    for (m, lag) in [(1, 400), (2, 300), (3, 200), (4, 10)] {
        gateway.report_lag(m, Role::Replica, lag * MS);
    }
    let dispatched = (0..40)
        .flat_map(|_| dispatches(&gateway.arrive(EVENTUAL).1))
        .map(|(_, m)| m)
        .collect::<Vec<u32>>();
    let full = dispatched.iter().filter(|m| **m == 1).count();
    assert!(
        full > 1 && dispatched[..full].iter().all(|m| *m == 1),
        "the replica furthest behind first: {dispatched:?}"
    );
    assert_eq!(
        dispatched[full..],
        vec![2; full],
        "then the next replica, then reads wait"
    );
}

/// Short eventual reads, a third of all requests, were concentrated on one of two or three replicas, which all lagged
/// for another reason. A fifth of these reads was rejected at half of the load.
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
                panic!("a read was not dispatched, after {sent:?}")
            };
            // The first answers set the estimates: how long such reads take, and whether they delay replication.
            sent[to as usize] += u32::from(round >= 40);
            gateway.now += latency;
            let behind = member_report(Role::Replica, gateway.now - lag - u64::from(to) * 10 * MS);
            gateway.serve(read, latency, behind);
        }
        sent
    };
    for (what, sent) in [
        (
            "short reads, however far all replicas lag",
            spread(settings(), 35 * MS, 2_000 * MS),
        ),
        (
            "long reads that leave their replica little behind",
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
        "long reads that leave their replica far behind"
    );
}

/// The only replica in sync had no capacity left and reads waited for it, while the primary was idle.
#[test]
fn bounded_reads_spill_to_primary_when_replicas_are_full() {
    let mut gateway = TestGateway::ready(settings(), 3);
    gateway.now += 400 * MS;
    let dispatched: Vec<u32> = (0..40)
        .flat_map(|_| dispatches(&gateway.arrive(BOUNDED).1))
        .map(|(_, m)| m)
        .collect();
    let replica = dispatched.iter().take_while(|m| **m != 0).count();
    assert!(
        replica > 1 && replica < dispatched.len(),
        "the replicas first, then the known primary: {dispatched:?}"
    );
    assert_eq!(dispatched[replica..], vec![0; dispatched.len() - replica]);
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(
        dispatches(&actions),
        [(write, 0)],
        "its capacity is left to writes for the most part"
    );
}

/// A read that was never dispatched is rejected after half of its time.
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

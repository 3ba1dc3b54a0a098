//! Requests: timers, load shedding, queues, retries and backoff.

use super::common::*;
use asterreel::interface::*;

/// Each wake-up that an earlier one had superseded requested another one, and wake-ups piled up.
#[test]
fn superseded_timers_do_not_pile_up() {
    let mut gateway = TestGateway::ready(settings(), 3);
    let mut wakes = 0;
    for n in 0..50 {
        gateway.arrive(n % 5);
        let actions = gateway.event(Event::TimerFired);
        wakes += actions
            .iter()
            .filter(|a| matches!(a, Action::SetTimer(_)))
            .count();
    }
    assert!(wakes <= 2, "{wakes} timers for 50 wake-ups at one time");
}

/// Gateways with few answers took a long read for a silent member, cancelled the read and sent it again: 5% of
/// attempts without any fault in the system.
#[test]
fn long_read_is_neither_cancelled_nor_duplicated() {
    for parallel in [Permit::Forbidden, Permit::Allowed] {
        let mut settings = settings();
        settings.parallel = parallel;
        let mut gateway = TestGateway::ready(settings, 3);
        let (read, _) = gateway.arrive(EVENTUAL);
        let cancellation = Action::CancelAttempt {
            request: read,
            attempt: AttemptNo(0),
        };
        let actions = gateway.advance(390 * MS);
        assert!(!actions.contains(&cancellation) && dispatches(&actions).is_empty());
    }
}

/// Gateways with less than one attempt in flight per member could not shed an overload by concurrency limits.
#[test]
fn low_traffic_gateway_sheds_load_on_late_answers() {
    let mut settings = settings();
    settings.fleet_size = 100;
    let rejected_at_latency = |latency: Micros| {
        let mut gateway = TestGateway::ready(settings.clone(), 4);
        let mut rejections = 0;
        for _ in 0..200 {
            let (read, actions) = gateway.arrive(BOUNDED);
            rejections += usize::from(is_rejected(&actions, read));
            gateway.advance(20 * MS);
            gateway.report_roles(4);
            if !dispatches(&actions).is_empty() {
                let replica = member_report(Role::Replica, gateway.now);
                gateway.serve(read, latency, replica);
            }
        }
        rejections
    };
    assert_eq!(
        rejected_at_latency(80 * MS),
        0,
        "nothing is rejected while answers are within the objective"
    );
    let rejections = rejected_at_latency(450 * MS);
    assert!((50..190).contains(&rejections), "{rejections} of 200");
}

/// A primary could not keep up, and queued writes were dispatched oldest first, each with too little time left.
#[test]
fn backlog_drains_newest_first() {
    let mut gateway = TestGateway::ready(settings(), 2);
    let (first, _) = gateway.arrive(WRITE);
    let mut filling = vec![first];
    let mut waiting = vec![];
    while waiting.len() < 6 {
        let (write, actions) = gateway.arrive(WRITE);
        if dispatches(&actions).is_empty() {
            waiting.push(write)
        } else {
            filling.push(write)
        };
        gateway.now += MS;
    }
    // Oldest first while they have waited for less than half of 400 ms, then newest first.
    let mut sent = vec![];
    for write in filling {
        let primary = member_report(Role::Primary, gateway.now);
        sent.extend(
            dispatches(&gateway.end_attempt(write, 0, Outcome::Served, primary))
                .into_iter()
                .map(|(id, _)| id),
        );
        gateway.advance(250 * MS);
    }
    let oldest_first = sent
        .iter()
        .zip(&waiting)
        .take_while(|(sent, wait)| sent == wait)
        .count();
    let newest_first: Vec<RequestId> = waiting[oldest_first..].iter().rev().copied().collect();
    assert!((1..5).contains(&oldest_first), "{sent:?}");
    assert_eq!(
        sent[oldest_first..],
        newest_first[..sent.len() - oldest_first]
    );
}

/// If `socket` or `connect` failed at once, a request spent all its attempts in the same moment and was rejected,
/// although the machine had descriptors, ports or routes again soon after.
#[test]
fn unsent_attempts_back_off_and_end_no_request() {
    for class in [WRITE, EVENTUAL, BOUNDED] {
        let mut gateway = TestGateway::ready(settings(), 3);
        let (request, mut actions) = gateway.arrive(class);
        let over_at = gateway.now + 100 * MS;
        let mut attempt = 0;
        loop {
            let ended = is_rejected(&actions, request) || is_failed(&actions, request);
            assert!(!ended, "class {class}: given up after {attempt} attempts");
            let sent = dispatches(&actions)
                .iter()
                .any(|(sent, _)| *sent == request);
            if sent && gateway.now >= over_at {
                break;
            }
            if sent {
                actions = gateway.end_attempt(
                    request,
                    attempt,
                    Outcome::NotSent,
                    MemberReport::default(),
                );
                attempt += 1;
            } else {
                gateway.now += 5 * MS;
                actions = gateway.event(Event::TimerFired);
            }
            assert!(
                gateway.now < over_at + 100 * MS,
                "class {class}: not retried in time"
            );
        }
    }
}

//! Requests: timers, load shedding, queues, retries and backoff.

use super::common::*;
use asterreel::interface::*;

/// First run: each wake-up of an overtaken timer asked for another one, and they piled up.
#[test]
fn overtaken_timers_do_not_pile_up() {
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

/// kingston-prod-later, quiet day: gateways with few answers took long work for a quiet member, called it off and
/// sent it again; 5% of attempts on a day without trouble.
#[test]
fn long_read_is_neither_cancelled_nor_duplicated() {
    for parallel in [Permit::Forbidden, Permit::Allowed] {
        let mut settings = settings();
        settings.parallel = parallel;
        let mut gateway = TestGateway::ready(settings, 3);
        let (read, _) = gateway.arrive(EVENTUAL);
        let off = Action::CancelAttempt {
            request: read,
            attempt: AttemptNo(0),
        };
        let actions = gateway.advance(390 * MS);
        assert!(!actions.contains(&off) && dispatches(&actions).is_empty());
    }
}

/// montego-bay-aler-later overload: gateways with less than one attempt in flight a member could not shed load by
/// limits.
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
        "in good time nothing is rejected"
    );
    let rejections = rejected_at_latency(450 * MS);
    assert!((50..190).contains(&rejections), "{rejections} of 200");
}

/// The same day: a primary fell behind, and writes went out oldest first, each with too little time left.
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
    // In turn while they wait for less than half of 400 ms, then in reverse.
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
    let in_turn = sent
        .iter()
        .zip(&waiting)
        .take_while(|(sent, wait)| sent == wait)
        .count();
    let newest: Vec<RequestId> = waiting[in_turn..].iter().rev().copied().collect();
    assert!((1..5).contains(&in_turn), "{sent:?}");
    assert_eq!(sent[in_turn..], newest[..sent.len() - in_turn]);
}

/// Found by review: where `socket` or `connect` failed at once, all attempts of a request were spent in the same
/// moment, and it was refused though the machine had what it needs again soon after.
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

//! Member health: failures, silence, half-open trials and stalls of this process.

use super::common::*;
use asterreel::interface::*;

/// Time-outs under load failed members that went on answering other requests.
#[test]
fn timeouts_under_load_fail_no_answering_member() {
    let mut gateway = TestGateway::ready(settings(), 2);
    for _ in 0..8 {
        let (slow, _) = gateway.arrive(EVENTUAL);
        gateway.now += 10 * MS;
        let (quick, _) = gateway.arrive(EVENTUAL);
        gateway.now += 300 * MS;
        let replica = member_report(Role::Replica, gateway.now);
        gateway.end_attempt(quick, 0, Outcome::Served, replica);
        gateway.now += MS;
        let actions = gateway.time_out(slow, 311 * MS);
        let failed = transition(1, MemberTransition::Failed);
        assert!(!actions.contains(&failed));
    }
}

/// A hung primary accepts writes and answers none: once it is silent, writes are queued instead of lost there.
#[test]
fn silent_primary_gets_no_more_writes() {
    let mut gateway = TestGateway::ready(settings(), 3);
    for _ in 0..3 {
        gateway.arrive(WRITE);
    }
    gateway.advance(1_500 * MS);
    let (late, actions) = gateway.arrive(WRITE);
    assert!(dispatches(&actions).iter().all(|(_, m)| *m != 0));
    assert!(!is_failed(&actions, late));
}

/// Health checks bypass a member's request queue: a good one must not restore a member that let requests time out.
#[test]
fn good_check_does_not_clear_unresponsive_member() {
    let mut gateway = TestGateway::ready(settings(), 2);
    // Each time-out counts as two failures, as the member answered no other request meanwhile.
    for _ in 0..2 {
        let (read, actions) = gateway.arrive(EVENTUAL);
        assert_eq!(dispatches(&actions)[0].1, 1);
        gateway.advance(900 * MS);
        gateway.time_out(read, 900 * MS);
        gateway.report_role(0, Role::Primary);
    }
    gateway.report_role(1, Role::Replica);
    let (_, actions) = gateway.arrive(EVENTUAL);
    assert_eq!(dispatches(&actions)[0].1, 0);
}

/// After a stall of the gateway's own process every member looks silent, although none is at fault.
#[test]
fn stalled_process_fails_and_silences_no_member() {
    let mut gateway = TestGateway::ready(settings(), 3);
    let reads: Vec<RequestId> = (0..6).map(|_| gateway.arrive(EVENTUAL).0).collect();
    let (write, _) = gateway.arrive(WRITE);
    gateway.now += 1_900 * MS;
    let mut actions = Vec::new();
    for read in reads {
        actions.extend(gateway.time_out(read, 1_900 * MS));
    }
    for m in 0..3 {
        actions.extend(gateway.fail_health_check(m));
    }
    actions.extend(gateway.time_out(write, 1_900 * MS));
    assert!(!actions
        .iter()
        .any(|a| matches!(a, Action::ReportTransition { .. })));
    let (read, actions) = gateway.arrive(EVENTUAL);
    assert!(dispatches(&actions)
        .iter()
        .any(|(r, m)| *r == read && *m != 0));
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(dispatches(&actions), [(write, 0)]);
}

/// One slow answer, the first over a new connection, must not take a member out of use.
#[test]
fn slow_first_answer_keeps_member_in_use() {
    let mut gateway = TestGateway::ready(settings(), 2);
    let (read, _) = gateway.arrive(EVENTUAL);
    gateway.advance(350 * MS);
    let replica = member_report(Role::Replica, gateway.now);
    gateway.serve(read, 350 * MS, replica);
    for _ in 0..4 {
        let (read, actions) = gateway.arrive(EVENTUAL);
        assert_eq!(dispatches(&actions), [(read, 1)]);
        gateway.end_attempt(read, 0, Outcome::Served, replica);
    }
}

/// Each gateway of a large fleet gave a hung member one trial a second, and all of them together loaded it.
#[test]
fn large_fleet_gives_hung_member_few_trials() {
    let mut settings = settings();
    settings.fleet_size = 80;
    let mut trials = 0;
    for seed in 0..80 {
        let mut gateway = TestGateway::seeded(settings.clone(), 3, seed);
        gateway.report_roles(3);
        // Member 1 hangs: reads sent there time out, until the gateway stops using it.
        for round in 0..400 {
            let (read, actions) = gateway.arrive(EVENTUAL);
            let to = dispatches(&actions).first().map(|(_, m)| *m);
            gateway.advance(50 * MS);
            if to == Some(1) {
                gateway.advance(700 * MS);
                gateway.time_out(read, 750 * MS);
                trials += u32::from(round >= 200);
            } else if to.is_some() {
                let replica = member_report(Role::Replica, gateway.now);
                gateway.end_attempt(read, 0, Outcome::Served, replica);
            }
            gateway.report_role(2, Role::Replica);
        }
    }
    // Half a run lasts over 10 s: at one trial a second of each gateway there would be over 800.
    assert!(
        (1..=240).contains(&trials),
        "{trials} trials of 80 gateways"
    );
}

/// Every member answered most requests with quick errors, and all members were failed for it.
#[test]
fn general_errors_fail_no_member_and_are_retried() {
    let mut gateway = TestGateway::ready(settings(), 4);
    let mut actions = Vec::new();
    for _ in 0..30 {
        let (read, arrival_actions) = gateway.arrive(EVENTUAL);
        assert_eq!(
            dispatches(&arrival_actions).len(),
            1,
            "reads are still sent"
        );
        let (mut attempt, mut more) = (0, true);
        while more {
            gateway.now += MS;
            let quick = attempt_ended(read, attempt, Outcome::Error, MS, MemberReport::default());
            let next = gateway.event(Event::AttemptEnded(quick));
            (attempt, more) = (attempt + 1, !dispatches(&next).is_empty());
            actions.extend(next);
        }
        gateway.advance(2_000 * MS);
    }
    assert!(
        dispatches(&actions).len() >= 60,
        "a quick error is retried: {}",
        dispatches(&actions).len()
    );
    let failed = |a: &&Action| {
        matches!(
            a,
            Action::ReportTransition {
                transition: MemberTransition::Failed,
                ..
            }
        )
    };
    assert_eq!(actions.iter().filter(failed).count(), 0);
}

/// One member that answers with errors, while others serve, still fails at the failure threshold.
#[test]
fn member_with_errors_of_its_own_fails() {
    let mut gateway = TestGateway::ready(settings(), 5);
    let mut actions = Vec::new();
    for _ in 0..60 {
        let (read, arrival_actions) = gateway.arrive(EVENTUAL);
        let to = dispatches(&arrival_actions)[0].1;
        let outcome = if to == 2 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        let replica = member_report(Role::Replica, gateway.now);
        actions.extend(gateway.end_attempt(read, 0, outcome, replica));
    }
    assert!(actions.contains(&transition(2, MemberTransition::Failed)));
}

//! Slow start: what members that are warming up get.

use super::common::*;
use asterreel::interface::*;

/// A minimum of one dispatch per gateway let hundreds of gateways overload a member that was warming up.
#[test]
fn large_fleet_sends_started_member_few_requests() {
    let mut settings = settings();
    settings.fleet_size = 200;
    let (fleet, span) = (200, settings.overload_duration);
    let mut to_started = 0;
    for seed in 0..fleet {
        let mut gateway = TestGateway::seeded(settings.clone(), 2, seed);
        gateway.report_role(0, Role::Primary);
        gateway.update_endpoint(2, EndpointState::Ready, gateway.now - 1);
        gateway.report_role(2, Role::Replica);
        // The only other replica fails, so that all reads would go to the one that is warming up.
        for _ in 0..4 {
            gateway.fail_health_check(1);
        }
        let end = gateway.now + span;
        while gateway.now < end {
            let (_, actions) = gateway.arrive(EVENTUAL);
            to_started += dispatches(&actions).iter().filter(|(_, m)| *m == 2).count();
            gateway.now += 100 * MS;
        }
    }
    assert!(
        (1..=40).contains(&to_started),
        "{to_started} dispatches to the started member by {fleet} gateways"
    );
}

/// Long reads use more of a member's slow-start tokens.
#[test]
fn long_reads_cost_more_slow_start_tokens() {
    let sent = |class: usize| {
        let mut gateway = TestGateway::ready(settings(), 2);
        // Eventual reads take ten times as long as bounded ones.
        for (class, latency) in [(BOUNDED, 20 * MS), (EVENTUAL, 200 * MS)] {
            for _ in 0..60 {
                let (read, actions) = gateway.arrive(class);
                assert_eq!(dispatches(&actions).len(), 1);
                let replica = member_report(Role::Replica, gateway.now);
                gateway.serve(read, latency, replica);
                gateway.report_role(0, Role::Primary);
            }
        }
        gateway.advance(1_200 * MS);
        gateway.update_endpoint(1, EndpointState::Ready, gateway.now);
        let mut sent = 0;
        for _ in 0..200 {
            gateway.advance(5 * MS);
            gateway.report_role(0, Role::Primary);
            gateway.report_role(1, Role::Replica);
            let (read, actions) = gateway.arrive(class);
            let to = dispatches(&actions).first().map(|(_, m)| *m);
            sent += usize::from(to == Some(1));
            if to.is_some() {
                let role = if to == Some(1) {
                    Role::Replica
                } else {
                    Role::Primary
                };
                let answer = member_report(role, gateway.now);
                let latency = if class == EVENTUAL { 200 * MS } else { 20 * MS };
                gateway.serve(read, latency, answer);
            }
        }
        sent
    };
    let (light, long) = (sent(BOUNDED), sent(EVENTUAL));
    assert!(
        long >= 1 && long * 3 <= light,
        "{long} long reads, {light} light reads"
    );
}

//! The known primary: which role report counts.

use super::common::*;
use asterreel::interface::*;

/// A primary that hands over reports the new role only at the end. Until then its answers to reads sent earlier
/// promoted it again, and each time queued writes spent attempts on it until they had none left.
#[test]
fn primary_report_older_than_misrouted_write_is_ignored() {
    let mut gateway = TestGateway::ready(settings(), 2);
    let (old, actions) = gateway.arrive(STRONG);
    assert_eq!(dispatches(&actions), [(old, 0)]);
    gateway.now += MS;
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(dispatches(&actions), [(write, 0)]);
    gateway.now += MS;
    gateway.end_attempt(write, 0, Outcome::Misrouted, MemberReport::default());
    gateway.now += MS;
    let primary = member_report(Role::Primary, gateway.now);
    let actions = gateway.end_attempt(old, 0, Outcome::Served, primary);
    assert!(!actions.contains(&transition(0, MemberTransition::Promoted)));
    // A health check sent before the rejection proves nothing; one sent long enough after it does.
    let actions = gateway.report_role(0, Role::Primary);
    assert!(!actions.contains(&transition(0, MemberTransition::Promoted)));
    for _ in 0..3 {
        let actions = gateway.advance(1_500 * MS);
        assert!(actions.contains(&Action::CheckHealth(MemberId(0))));
        gateway.report_role(0, Role::Primary);
    }
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(dispatches(&actions), [(write, 0)]);
}

/// Reads sent after a write was rejected were still answered with the primary's role until the handover was complete.
#[test]
fn served_write_promotes_after_misrouted_write() {
    let mut gateway = TestGateway::ready(settings(), 1);
    let (write, _) = gateway.arrive(WRITE);
    gateway.now += MS;
    gateway.end_attempt(write, 0, Outcome::Misrouted, MemberReport::default());
    let mut searches = vec![];
    for _ in 0..4 {
        gateway.now += 20 * MS;
        let (read, mut actions) = gateway.arrive(EVENTUAL);
        assert!(dispatches(&actions).contains(&(read, 0)));
        gateway.now += MS;
        let primary = member_report(Role::Primary, gateway.now);
        actions.extend(gateway.end_attempt(read, 0, Outcome::Served, primary));
        assert!(!actions.contains(&transition(0, MemberTransition::Promoted)));
        // Queued writes search for the primary at this member too.
        actions.extend(gateway.arrive(WRITE).1);
        searches.extend(
            dispatches(&actions)
                .into_iter()
                .filter(|(id, _)| *id != read),
        );
    }
    let (found, _) = *searches
        .last()
        .expect("a write searches for the primary there");
    let primary = member_report(Role::Primary, gateway.now);
    let actions = gateway.end_attempt(found, 0, Outcome::Served, primary);
    assert!(actions.contains(&transition(0, MemberTransition::Promoted)));
}

/// Advances the clock until a member is checked, by two seconds at most.
fn advance_until_checked(gateway: &mut TestGateway, m: u32) {
    let checked = (0..400).any(|_| {
        gateway
            .advance(5 * MS)
            .contains(&Action::CheckHealth(MemberId(m)))
    });
    assert!(checked, "member {m} is checked once a second");
}

/// An answer showed that the primary had lost its role. A health check sent 72 ms later returned a load report from
/// before that, as load reports are refreshed now and then and arrive late. The member was promoted again, bounded
/// reads were dispatched to it, and one answer was 2.1 s too old. Simulator: roll+brink, seed 146091645706.
#[test]
fn load_report_older_than_replica_answer_is_ignored() {
    let mut settings = settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 2);
    advance_until_checked(&mut gateway, 0);
    let last_position = gateway.now;
    gateway.report_role(0, Role::Primary);
    gateway.advance(800 * MS);
    let (read, actions) = gateway.arrive(STRONG);
    assert_eq!(dispatches(&actions), [(read, 0)]);
    gateway.now += MS;
    let actions = gateway.end_attempt(
        read,
        0,
        Outcome::Served,
        member_report(Role::Replica, last_position),
    );
    assert!(actions.contains(&transition(0, MemberTransition::Demoted)));
    advance_until_checked(&mut gateway, 0);
    let lag = gateway.now - last_position;
    let actions = gateway.report_lag(0, Role::Primary, lag);
    assert!(
        !actions.contains(&transition(0, MemberTransition::Promoted)),
        "{actions:?}"
    );
    // The other member is at least 0.8 s behind, and the bound is 300 ms.
    let (read, actions) = gateway.arrive(BOUNDED);
    assert_eq!(
        dispatches(&actions),
        [],
        "neither member may answer request {read:?}"
    );
    // The member has been elected again since: a report that was requested later promotes it.
    advance_until_checked(&mut gateway, 0);
    let actions = gateway.report_role(0, Role::Primary);
    assert!(actions.contains(&transition(0, MemberTransition::Promoted)));
}

/// A replica that answers reads without a break is elected: the next answer that reports the new role promotes it.
#[test]
fn elected_replica_is_promoted_by_its_next_answer() {
    for class in [EVENTUAL, BOUNDED] {
        let mut gateway = TestGateway::ready(settings(), 1);
        gateway.report_role(0, Role::Replica);
        let (first, actions) = gateway.arrive(class);
        assert_eq!(dispatches(&actions), [(first, 0)]);
        let (second, actions) = gateway.arrive(class);
        assert_eq!(dispatches(&actions), [(second, 0)]);
        gateway.now += MS;
        gateway.end_attempt(
            first,
            0,
            Outcome::Served,
            member_report(Role::Replica, gateway.now),
        );
        gateway.now += MS;
        let actions = gateway.end_attempt(
            second,
            0,
            Outcome::Served,
            member_report(Role::Primary, gateway.now),
        );
        assert!(
            actions.contains(&transition(0, MemberTransition::Promoted)),
            "class {class}"
        );
    }
}

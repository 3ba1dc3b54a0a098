//! Endpoint updates: shrunk, outdated and wrong lists, and removal.

use super::common::*;
use asterreel::interface::*;

fn list(kind: UpdateKind, members: &[u32]) -> Event {
    let entries = members
        .iter()
        .map(|m| endpoint(*m, EndpointState::Ready, 0))
        .collect();
    Event::EndpointsUpdated(kind, entries)
}

fn draining_only_settings() -> Settings {
    Settings {
        drain_signal: DrainSignal::DrainingOnly,
        ..settings()
    }
}

/// A list that lacks some or all members, though they still answer. Where a removal alone does not stop dispatches,
/// they go on serving reads and writes.
#[test]
fn shrunk_list_keeps_members_under_draining_only() {
    for named in [&[1][..], &[]] {
        let mut gateway = TestGateway::ready(draining_only_settings(), 3);
        gateway.event(list(UpdateKind::Snapshot, named));
        let (write, actions) = gateway.arrive(WRITE);
        assert_eq!(dispatches(&actions), [(write, 0)]);
        let (_, actions) = gateway.arrive(BOUNDED);
        assert_ne!(dispatches(&actions)[0].1, 0);
        let back = gateway.event(list(UpdateKind::Snapshot, &[0, 1, 2]));
        let checks = back
            .iter()
            .filter(|a| matches!(a, Action::CheckHealth(_)))
            .count();
        assert_eq!(
            checks, 0,
            "the return of the complete list restarts no member"
        );
    }
}

/// The same lists where a removal stops dispatches: removed members get nothing new, and a request that no member may
/// serve is rejected in time.
#[test]
fn shrunk_list_stops_dispatches_under_draining_or_removed() {
    let mut gateway = TestGateway::ready(settings(), 3);
    gateway.event(list(UpdateKind::Snapshot, &[1]));
    let (_, actions) = gateway.arrive(BOUNDED);
    assert!(dispatches(&actions).iter().all(|(_, m)| *m == 1));
    gateway.event(list(UpdateKind::Snapshot, &[]));
    let (read, mut actions) = gateway.arrive(BOUNDED);
    actions.extend(gateway.advance(2_000 * MS));
    assert!(dispatches(&actions).is_empty() && is_rejected(&actions, read));
}

/// An outdated list, which names members as they were before, must not drain, restart or demote any of them.
#[test]
fn outdated_list_neither_demotes_nor_restarts_member() {
    let mut gateway = TestGateway::ready(draining_only_settings(), 3);
    gateway.update_endpoint(2, EndpointState::Ready, gateway.now - 20_000 * MS);
    gateway.report_role(2, Role::Primary);
    gateway.event(list(UpdateKind::Snapshot, &[0, 1, 2]));
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(dispatches(&actions), [(write, 2)]);
}

/// A list that names servers that do not exist: a member that never answered gets no reads while others answer, and no
/// writes at all.
#[test]
fn unverified_members_get_no_requests() {
    for settings in [settings(), draining_only_settings()] {
        let mut gateway = TestGateway::ready(settings, 3);
        let mut all = gateway.event(list(UpdateKind::Snapshot, &[0, 1, 2, 8, 9]));
        for _ in 0..20 {
            let (read, actions) = gateway.arrive(BOUNDED);
            all.extend(actions);
            let (_, actions) = gateway.arrive(WRITE);
            all.extend(actions);
            let replica = member_report(Role::Replica, gateway.now);
            all.extend(gateway.end_attempt(read, 0, Outcome::Served, replica));
        }
        assert!(dispatches(&all).iter().all(|(_, m)| *m < 8));
    }
}

/// A member that was removed while an attempt was in flight was never dropped, and its health checks went on.
#[test]
fn removed_member_is_dropped_after_its_last_attempt() {
    let mut gateway = TestGateway::ready(settings(), 3);
    let (write, actions) = gateway.arrive(WRITE);
    assert_eq!(dispatches(&actions), [(write, 0)]);
    gateway.update_endpoint(0, EndpointState::Removed, 0);
    assert!(
        gateway.router.has_member(MemberId(0)),
        "an attempt is still in flight"
    );
    gateway.end_attempt(write, 0, Outcome::Served, MemberReport::default());
    assert!(!gateway.router.has_member(MemberId(0)));
}

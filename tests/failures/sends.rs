//! Sends: what may change between the dispatch of an attempt and the write of its statement.

use super::common::*;
use asterreel::interface::*;

/// How long the first attempt of a write waits for its connection.
const CONNECT: Micros = 30 * MS;
const WINDOW: Micros = 1_000 * MS;

fn settings_with_window() -> Settings {
    let mut settings = settings();
    settings.classes[KEYED].idempotency = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Group,
        window: WINDOW,
    };
    settings
}

/// A gateway with a keyed write whose first attempt was sent and may have run; returns also when it was sent.
fn gateway_with_sent_write() -> (TestGateway, RequestId, Micros) {
    let mut gateway = TestGateway::ready(settings_with_window(), 3);
    let (write, actions) = gateway.arrive(KEYED);
    assert_eq!(dispatches(&actions), [(write, 0)]);
    gateway.now += CONNECT;
    assert_eq!(gateway.permit_send(write, 0), Ok(()));
    let sent_at = gateway.now;
    (gateway, write, sent_at)
}

fn lose_connection(gateway: &mut TestGateway, request: RequestId, attempt: u32) -> Vec<Action> {
    gateway.end_attempt(request, attempt, Outcome::Reset, MemberReport::default())
}

/// The window in which repeats are dropped was compared when a repeat was decided and not when it was sent, so that a write
/// whose connection came up after the window ran twice.
#[test]
fn keyed_repeat_is_refused_after_its_window() {
    let (mut gateway, write, sent_at) = gateway_with_sent_write();
    gateway.now = sent_at + WINDOW - 10 * MS;
    let actions = lose_connection(&mut gateway, write, 0);
    let send_within = actions.iter().find_map(|action| match action {
        Action::Dispatch { send_within, .. } => Some(*send_within),
        _ => None,
    });
    assert_eq!(
        send_within,
        Some(10 * MS),
        "the repeat may wait until the end of the window"
    );
    gateway.now = sent_at + WINDOW - 1;
    assert_eq!(gateway.permit_send(write, 1), Ok(()), "within the window");
    gateway.now = sent_at + WINDOW;
    assert_eq!(
        gateway.permit_send(write, 1),
        Err(SendRefusal::RepeatForbidden)
    );
    let actions = gateway.end_attempt(write, 1, Outcome::NotSent, MemberReport::default());
    assert!(
        is_failed(&actions, write),
        "the final answer follows at once: {actions:?}"
    );
}

/// A repeat that waited in the queue when its window ended was answered only shortly before its deadline.
#[test]
fn queued_keyed_repeat_fails_when_its_window_ends() {
    let (mut gateway, write, sent_at) = gateway_with_sent_write();
    for member in 0..3 {
        gateway.update_endpoint(member, EndpointState::Draining, 0);
    }
    let actions = lose_connection(&mut gateway, write, 0);
    assert!(dispatches(&actions).is_empty() && !is_failed(&actions, write));
    gateway.now = sent_at + WINDOW - 1;
    assert!(!is_failed(&gateway.event(Event::TimerFired), write));
    gateway.now = sent_at + WINDOW;
    assert!(is_failed(&gateway.event(Event::TimerFired), write));
}

/// An attempt that was dispatched and not sent has no window: the repeat after it is the first send.
#[test]
fn window_counts_from_the_first_send() {
    let mut gateway = TestGateway::ready(settings_with_window(), 3);
    let (write, _) = gateway.arrive(KEYED);
    gateway.now += 400 * MS;
    let actions = gateway.end_attempt(write, 0, Outcome::NotSent, MemberReport::default());
    assert_eq!(dispatches(&actions), [(write, 0)]);
    assert_eq!(gateway.permit_send(write, 1), Ok(()));
    gateway.now += WINDOW - MS;
    let actions = lose_connection(&mut gateway, write, 1);
    assert_eq!(dispatches(&actions), [(write, 0)]);
    assert_eq!(gateway.permit_send(write, 2), Ok(()));
}

/// A write that must not run twice has no window at all, and an idempotent read has no end of it.
#[test]
fn window_applies_to_keyed_requests_only() {
    let mut gateway = TestGateway::ready(settings_with_window(), 3);
    let (write, _) = gateway.arrive(WRITE);
    assert_eq!(gateway.permit_send(write, 0), Ok(()));
    assert!(is_failed(&lose_connection(&mut gateway, write, 0), write));
    let (read, _) = gateway.arrive(EVENTUAL);
    assert_eq!(gateway.permit_send(read, 0), Ok(()));
    let actions = lose_connection(&mut gateway, read, 0);
    assert_eq!(dispatches(&actions).len(), 1);
    assert_eq!(gateway.permit_send(read, 1), Ok(()));
}

/// A write that waited for its connection was sent to a member that had lost its role meanwhile.
#[test]
fn write_is_not_sent_to_a_former_primary() {
    for class in [WRITE, STRONG] {
        let mut gateway = TestGateway::ready(settings(), 3);
        let (request, actions) = gateway.arrive(class);
        assert_eq!(dispatches(&actions), [(request, 0)]);
        gateway.now += CONNECT;
        assert_eq!(gateway.permit_send(request, 0), Ok(()));
        gateway.report_role(0, Role::Replica);
        assert_eq!(
            gateway.permit_send(request, 0),
            Err(SendRefusal::NotPrimary)
        );
        gateway.report_role(1, Role::Primary);
        assert_eq!(
            gateway.permit_send(request, 0),
            Err(SendRefusal::NotPrimary)
        );
        let not_sent = Outcome::NotSent;
        let actions = gateway.end_attempt(request, 0, not_sent, MemberReport::default());
        assert_eq!(dispatches(&actions), [(request, 1)]);
        assert_eq!(gateway.permit_send(request, 1), Ok(()));
    }
}

/// An attempt that searches for the primary was refused when a health check, between its dispatch and its send, showed what the
/// search assumes anyway: that the member may be a replica. The request lost one of its attempts without asking any member.
#[test]
fn search_for_the_primary_is_sent_to_a_member_that_reports_as_replica() {
    let (mut gateway, _) = TestGateway::new(settings(), 3);
    for member in 0..3 {
        gateway.report_role(member, Role::Replica);
    }
    gateway.now += CONNECT;
    let (write, mut actions) = gateway.arrive(WRITE);
    while dispatches(&actions).is_empty() {
        gateway.now += CONNECT;
        actions = gateway.event(Event::TimerFired);
    }
    let (_, candidate) = dispatches(&actions)[0];
    gateway.now += MS;
    gateway.report_role(candidate, Role::Replica);
    assert_eq!(gateway.permit_send(write, 0), Ok(()));
    let other = (candidate + 1) % 3;
    gateway.report_role(other, Role::Primary);
    assert_eq!(gateway.permit_send(write, 0), Err(SendRefusal::NotPrimary));
}

/// A primary whose health checks fail may still be the primary, so that a write on its way there is sent.
#[test]
fn write_is_sent_to_a_primary_that_failed_meanwhile() {
    let mut gateway = TestGateway::ready(settings(), 3);
    let (write, _) = gateway.arrive(WRITE);
    let mut actions = Vec::new();
    for _ in 0..8 {
        gateway.now += MS;
        let failed = Outcome::ConnectFailed;
        let checked = Event::HealthChecked(MemberId(0), failed, MemberReport::default());
        actions.extend(gateway.event(checked));
    }
    assert!(actions.contains(&transition(0, MemberTransition::Demoted)));
    assert_eq!(gateway.permit_send(write, 0), Ok(()));
}

/// A session read that waited for its connection was sent to a member that no longer had what the read must see.
#[test]
fn session_read_is_not_sent_to_a_former_primary_that_lags() {
    let mut settings = settings();
    settings.replica_checks = ReplicaChecks::None;
    let mut gateway = TestGateway::ready(settings, 3);
    gateway.now += 100 * MS;
    let (read, actions) = gateway.arrive_with(SESSION, Some(1), Some(10 * MS));
    assert_eq!(
        dispatches(&actions),
        [(read, 0)],
        "only the primary has the write"
    );
    assert_eq!(gateway.permit_send(read, 0), Ok(()));
    gateway.report_role(1, Role::Primary);
    assert_eq!(gateway.permit_send(read, 0), Err(SendRefusal::StaleData));
    gateway.report_role(0, Role::Replica);
    assert_eq!(gateway.permit_send(read, 0), Ok(()), "it has caught up");
}

/// A keyed write that may have run, and was given up as its window ended, was rejected where all groups drop repeats: its
/// client would have sent it again after the window, and it would have run twice.
#[test]
fn keyed_write_that_may_have_run_is_not_rejected() {
    for scope in [
        DeduplicationScope::All,
        DeduplicationScope::Zone,
        DeduplicationScope::Group,
    ] {
        let mut settings = settings();
        settings.classes[KEYED].idempotency = Idempotency::IdempotencyKey {
            scope,
            window: WINDOW,
        };
        let mut gateway = TestGateway::ready(settings, 3);
        let (write, _) = gateway.arrive(KEYED);
        assert_eq!(gateway.permit_send(write, 0), Ok(()));
        gateway.now += WINDOW;
        let actions = lose_connection(&mut gateway, write, 0);
        assert!(
            is_failed(&actions, write) && !is_rejected(&actions, write),
            "{scope:?}"
        );
    }
}

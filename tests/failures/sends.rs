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

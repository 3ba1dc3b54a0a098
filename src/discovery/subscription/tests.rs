use super::*;

const SECOND: Micros = 1_000_000;

fn between_updates() -> Received {
    Received {
        answered: true,
        within_update: false,
        payload_bytes: 100,
    }
}

#[test]
fn calls_without_update_leave_the_list_stale() {
    let mut subscription = Subscription::new(SECOND, 7);
    for call in 1..4 {
        let called_at = call * 2 * SECOND;
        subscription.call_started(called_at);
        subscription.receive(called_at + SECOND, between_updates());
        let now = called_at + 2 * SECOND;
        assert_eq!(
            subscription.staleness(now),
            now - SECOND,
            "stale since the start"
        );
        assert_eq!(
            subscription.silence(now),
            SECOND,
            "silent since the last contact of this watch"
        );
        assert_eq!(subscription.calls(), call);
        assert_eq!(u64::from(subscription.consecutive_failures()), call);
    }
    assert_eq!((subscription.revision(), subscription.updates()), (7, 0));
}

#[test]
fn contact_after_an_update_keeps_the_list_current() {
    let mut subscription = Subscription::new(0, 7);
    subscription.call_started(SECOND);
    let staleness = subscription.update_applied(2 * SECOND, 8);
    assert_eq!(
        staleness,
        2 * SECOND,
        "staleness of the list before the update"
    );
    assert_eq!((subscription.revision(), subscription.updates()), (8, 1));
    subscription.receive(3 * SECOND, between_updates());
    assert_eq!(subscription.staleness(5 * SECOND), 2 * SECOND);
    assert_eq!(subscription.consecutive_failures(), 0);
    subscription.call_started(6 * SECOND);
    subscription.receive(7 * SECOND, between_updates());
    assert_eq!(
        subscription.staleness(7 * SECOND),
        4 * SECOND,
        "the next watch has not delivered an update yet"
    );
}

#[test]
fn reset_revision_requests_the_complete_list() {
    let mut subscription = Subscription::new(0, 7);
    subscription.reset_revision();
    assert_eq!(subscription.revision(), 0);
}

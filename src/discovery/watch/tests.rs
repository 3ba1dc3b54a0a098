use super::*;

const SECOND: Micros = 1_000_000;

fn received(within_update: bool, payload_bytes: u64) -> Received {
    Received {
        answered: true,
        within_update,
        payload_bytes,
    }
}

fn complete_until(last_contact_at: Micros) -> WatchEnd {
    WatchEnd {
        last_contact_at,
        truncated: false,
    }
}

#[test]
fn unanswered_call_times_out_and_reports_nothing() {
    let mut watch = Watch::call(10 * SECOND);
    assert_eq!(watch.times_out_at(), 10 * SECOND + CALL_TIMEOUT_US);
    // An incomplete head does not count as an answer.
    watch.receive(11 * SECOND, Received::default());
    assert_eq!(watch.times_out_at(), 10 * SECOND + CALL_TIMEOUT_US);
    for end in [watch.closed(12 * SECOND), watch.abandoned()] {
        assert_eq!(
            end,
            complete_until(10 * SECOND),
            "no contact since the call began"
        );
    }
}

#[test]
fn heartbeats_between_updates_extend_the_timeout() {
    let mut watch = Watch::call(0);
    for heartbeat in 1..10 {
        watch.receive(heartbeat * 2 * SECOND, received(false, 100));
        assert_eq!(
            watch.times_out_at(),
            heartbeat * 2 * SECOND + WATCH_SILENCE_TIMEOUT_US
        );
    }
    assert_eq!(
        watch.closed(19 * SECOND),
        complete_until(19 * SECOND),
        "a closed watch reported every change up to its end"
    );
    assert_eq!(
        watch.abandoned(),
        complete_until(18 * SECOND),
        "an abandoned watch reported every change up to the last heartbeat"
    );
}

#[test]
fn heartbeats_within_an_update_do_not_extend_the_timeout() {
    let mut watch = Watch::call(0);
    watch.receive(SECOND, received(false, 50));
    watch.receive(2 * SECOND, received(true, 60));
    for heartbeat in 1..6 {
        watch.receive(2 * SECOND + heartbeat * SECOND / 2, received(true, 60));
    }
    assert_eq!(watch.times_out_at(), 2 * SECOND + WATCH_SILENCE_TIMEOUT_US);
    assert_eq!(watch.last_contact_at(), SECOND);
    assert_eq!(
        watch.closed(4 * SECOND),
        WatchEnd {
            last_contact_at: SECOND,
            truncated: true
        },
        "the update is truncated"
    );
    watch.receive(4 * SECOND, received(false, 70));
    assert_eq!(
        watch.closed(4 * SECOND),
        complete_until(4 * SECOND),
        "the update has become complete"
    );
}

#[test]
fn update_that_arrives_in_pieces_times_out() {
    let mut watch = Watch::call(0);
    watch.receive(SECOND, received(false, 0));
    for piece in 0..8 {
        watch.receive((2 + piece) * SECOND, received(true, 10 + piece));
    }
    assert_eq!(watch.times_out_at(), 2 * SECOND + UPDATE_TIMEOUT_US);
    // The timeout starts again with the next update.
    watch.receive(10 * SECOND, received(false, 20));
    watch.receive(20 * SECOND, received(true, 30));
    assert_eq!(watch.times_out_at(), 20 * SECOND + WATCH_SILENCE_TIMEOUT_US);
}

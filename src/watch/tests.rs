use super::*;

const SECOND: Micros = 1_000_000;

fn received(within_list: bool, solid: u64) -> Received {
    Received {
        answered: true,
        within_list,
        solid,
    }
}

#[test]
fn a_call_without_an_answer_is_broken_when_its_time_is_over_and_says_nothing_since_it_began() {
    let mut watch = Watch::call(10 * SECOND);
    assert_eq!(watch.broken_at(), 10 * SECOND + CALL);
    // A part of the head is no answer.
    watch.receive(11 * SECOND, Received::default());
    assert_eq!(watch.broken_at(), 10 * SECOND + CALL);
    for (loss, since) in [watch.ended(12 * SECOND), watch.given_up(12 * SECOND)] {
        assert_eq!(
            (loss, since),
            (WatchLoss::after_silence(2 * SECOND), 10 * SECOND)
        );
    }
}

#[test]
fn beats_between_lists_keep_it_and_its_end_leaves_nothing_unheard() {
    let mut watch = Watch::call(0);
    for beat in 1..10 {
        watch.receive(beat * 2 * SECOND, received(false, 100));
        assert_eq!(watch.broken_at(), beat * 2 * SECOND + SILENCE);
    }
    assert_eq!(watch.ended(19 * SECOND).0, WatchLoss::after_silence(0));
    assert_eq!(
        watch.given_up(21 * SECOND).0,
        WatchLoss::after_silence(3 * SECOND),
        "it fell silent"
    );
}

#[test]
fn beats_within_a_list_keep_nothing_and_its_end_cuts_the_list() {
    let mut watch = Watch::call(0);
    watch.receive(SECOND, received(false, 50));
    watch.receive(2 * SECOND, received(true, 60));
    for beat in 1..6 {
        watch.receive(2 * SECOND + beat * SECOND / 2, received(true, 60));
    }
    assert_eq!(watch.broken_at(), 2 * SECOND + SILENCE);
    assert_eq!(watch.heard_at(), SECOND);
    assert_eq!(
        watch.ended(4 * SECOND).0,
        WatchLoss {
            staleness: 3 * SECOND,
            truncated: true
        }
    );
    watch.receive(4 * SECOND, received(false, 70));
    assert_eq!(
        watch.ended(4 * SECOND).0,
        WatchLoss::after_silence(0),
        "it came whole after all"
    );
}

#[test]
fn a_list_that_comes_in_pieces_has_its_time_and_no_more() {
    let mut watch = Watch::call(0);
    watch.receive(SECOND, received(false, 0));
    for piece in 0..8 {
        watch.receive((2 + piece) * SECOND, received(true, 10 + piece));
    }
    assert_eq!(watch.broken_at(), 2 * SECOND + LIST_TAKES);
    // The next list has a time of its own.
    watch.receive(10 * SECOND, received(false, 20));
    watch.receive(20 * SECOND, received(true, 30));
    assert_eq!(watch.broken_at(), 20 * SECOND + SILENCE);
}

use super::*;

const NOW: Micros = 1_000;

#[test]
fn timers_fire_by_time_then_kind() {
    let mut timers = TimerQueue::default();
    timers.insert(NOW + 1, Timer::Watchdog);
    timers.insert(NOW, Timer::CallDiscovery);
    timers.insert(NOW, Timer::ExpireRequest(RequestId(7)));
    let due = |timer: Option<Timer>, expected: Timer| timer == Some(expected);
    assert!(due(timers.pop_due(NOW), Timer::ExpireRequest(RequestId(7))));
    assert!(due(timers.pop_due(NOW), Timer::CallDiscovery));
    assert!(timers.pop_due(NOW).is_none(), "the watchdog is not due yet");
    assert!(due(timers.pop_due(NOW + 1), Timer::Watchdog));
}

#[test]
fn wake_up_is_requested_once_unless_an_earlier_one_is_needed() {
    let mut timers = TimerQueue::default();
    assert_eq!(timers.next_wake_up(NOW), None, "nothing to wait for");
    timers.insert(NOW + 50, Timer::Watchdog);
    assert_eq!(timers.next_wake_up(NOW), Some(50));
    assert_eq!(timers.next_wake_up(NOW), None, "it was requested already");
    timers.insert(NOW + 20, Timer::CallDiscovery);
    assert_eq!(timers.next_wake_up(NOW), Some(20));
    assert_eq!(timers.lateness(NOW + 19), 0);
    assert_eq!(timers.lateness(NOW + 25), 5);
}

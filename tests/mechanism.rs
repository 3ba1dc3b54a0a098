//! Each part of the mechanism on the ordinary path.
mod common;
use asterreel::interface::*;
use common::*;

#[test]
fn members_are_probed_before_the_first_send_and_about_every_second() {
    let (mut front, first) = Front::new(settings(), 2);
    for m in 0..2 {
        assert!(first.contains(&Action::CheckHealth(MemberId(m))));
        front.tell(m, Role::Replica);
    }
    let mut probes = 0;
    for _ in 0..5 {
        for action in front.pass(1_000 * MS) {
            if let Action::CheckHealth(MemberId(m)) = action {
                probes += 1;
                front.tell(m, Role::Replica);
            }
        }
    }
    assert!(
        (6..=14).contains(&probes),
        "{probes} probes in 5 s of 2 members"
    );
}

#[test]
fn no_probe_where_probes_are_forbidden() {
    let mut settings = settings();
    settings.probes = Permit::Forbidden;
    let (mut front, mut actions) = Front::new(settings, 3);
    actions.extend(front.pass(3_000 * MS));
    assert!(!actions.iter().any(|a| matches!(a, Action::CheckHealth(_))));
    let (_, actions) = front.arrive(ANY);
    assert_eq!(sends(&actions).len(), 1, "unproven members serve then");
}

#[test]
fn writes_and_fresh_reads_go_to_the_active_member() {
    let mut front = Front::ready(settings(), 4);
    for class in [WRITE, FRESH, KEYED] {
        let (request, actions) = front.arrive(class);
        assert_eq!(sends(&actions), [(request, 0)]);
    }
}

#[test]
fn a_replicas_answer_unmarks_at_once_and_a_primary_answer_marks() {
    let mut front = Front::ready(settings(), 3);
    front.now += MS;
    front.tell(0, Role::Replica);
    let (asked, actions) = front.arrive(WRITE);
    let seeks = sends(&actions);
    assert!(
        seeks.len() == 1 && seeks[0].1 != 0,
        "one write seeks the primary, elsewhere"
    );
    let (write, actions) = front.arrive(WRITE);
    assert!(
        sends(&actions).is_empty(),
        "writes wait while none is active"
    );
    front.now += MS;
    let replica = note(Role::Replica, front.now);
    let actions = front.ends(asked, 0, Outcome::Misrouted, replica);
    assert!(
        sends(&actions).is_empty(),
        "the next one asks no sooner than 20 ms on"
    );
    let mut actions = front.tell(2, Role::Primary);
    actions.extend(front.pass(20 * MS));
    let mut placed = sends(&actions);
    placed.sort();
    assert_eq!(placed, [(asked, 2), (write, 2)]);
}

#[test]
fn a_write_miss_unmarks_and_the_write_waits_for_the_next_primary() {
    let mut front = Front::ready(settings(), 3);
    let (write, _) = front.arrive(WRITE);
    front.now += MS;
    let actions = front.ends(write, 0, Outcome::Misrouted, MemberReport::default());
    assert!(sends(&actions).iter().all(|(_, m)| *m != 0));
    assert!(!refused(&actions, write) && !failed(&actions, write));
    let actions = front.ends(write, 1, Outcome::Misrouted, MemberReport::default());
    assert!(!refused(&actions, write) && !failed(&actions, write));
    assert_eq!(sends(&front.tell(2, Role::Primary)), [(write, 2)]);
}

#[test]
fn a_read_miss_marks_only_that_replica_behind() {
    let mut front = Front::ready(settings(), 3);
    let (read, actions) = front.arrive(BOUNDED);
    let (_, missed) = sends(&actions)[0];
    assert_ne!(missed, 0);
    let behind = note(Role::Replica, START - 900 * MS);
    let actions = front.ends(read, 0, Outcome::Misrouted, behind);
    assert_eq!(sends(&actions).len(), 1);
    let (write, actions) = front.arrive(WRITE);
    assert_eq!(sends(&actions), [(write, 0)], "the mark stays");
}

#[test]
fn the_fail_point_fails_a_member_and_a_good_probe_brings_it_back() {
    let mut front = Front::ready(settings(), 2);
    for _ in 0..3 {
        front.probe_fails(1);
    }
    let (_, actions) = front.arrive(ANY);
    assert_eq!(sends(&actions)[0].1, 1, "three bad results are not enough");
    front.probe_fails(1);
    let (_, actions) = front.arrive(ANY);
    assert_eq!(
        sends(&actions)[0].1,
        0,
        "no standby is left, the active serves"
    );
    front.tell(1, Role::Replica);
    let (_, actions) = front.arrive(ANY);
    assert_eq!(sends(&actions)[0].1, 1);
}

#[test]
fn a_good_result_resets_the_counter() {
    let mut front = Front::ready(settings(), 2);
    for _ in 0..10 {
        for _ in 0..3 {
            front.probe_fails(1);
        }
        front.tell(1, Role::Replica);
    }
    let (_, actions) = front.arrive(ANY);
    assert_eq!(sends(&actions)[0].1, 1);
}

#[test]
fn any_reads_stay_off_the_active_member_and_spread_by_own_in_flight() {
    let mut front = Front::ready(settings(), 4);
    let mut counts = [0; 4];
    for _ in 0..18 {
        let (_, actions) = front.arrive(ANY);
        counts[sends(&actions)[0].1 as usize] += 1;
    }
    assert_eq!(counts[0], 0);
    assert!(
        counts[1..].iter().all(|n| (3..=9).contains(n)),
        "{counts:?}"
    );
}

#[test]
fn bounded_reads_spill_to_the_active_member_while_every_replica_lags() {
    let mut front = Front::ready(settings(), 3);
    front.pass(50 * MS);
    front.now += 1_000 * MS;
    for m in 1..3 {
        front.tell_behind(m, Role::Replica, 800 * MS);
    }
    let (_, actions) = front.arrive(BOUNDED);
    assert_eq!(sends(&actions)[0].1, 0);
}

#[test]
fn session_reads_go_past_the_token_and_anywhere_when_none_is_owed() {
    let mut front = Front::ready(settings(), 2);
    let (mut behind, _) = Front::new(settings(), 2);
    behind.tell(0, Role::Primary);
    behind.tell_behind(1, Role::Replica, 500 * MS);
    let (_, actions) = behind.arrive_with(SESSION, Some(1), Some(100 * MS));
    assert_eq!(sends(&actions)[0].1, 0, "the replica has not got the write");
    let (_, actions) = behind.arrive_with(SESSION, Some(1), None);
    assert_eq!(sends(&actions)[0].1, 1, "no write is owed");
    let (_, actions) = front.arrive_with(SESSION, Some(1), Some(100 * MS));
    assert_eq!(sends(&actions)[0].1, 1, "the replica has got it");
}

#[test]
fn remembered_sessions_must_see_the_commit_they_were_answered_with() {
    let mut settings = settings();
    settings.session_tokens = SessionTokens::Remembered;
    settings.replica_checks = ReplicaChecks::None;
    let mut front = Front::ready(settings, 2);
    let (write, _) = front.arrive_with(WRITE, Some(9), None);
    let commit = START + 40 * MS;
    front.ends(write, 0, Outcome::Served, note(Role::Primary, commit));
    let (_, actions) = front.arrive_with(SESSION, Some(9), None);
    assert_eq!(sends(&actions)[0].1, 0);
    let (_, actions) = front.arrive_with(SESSION, Some(8), None);
    assert_eq!(
        sends(&actions)[0].1,
        1,
        "another session has written nothing"
    );
}

#[test]
fn held_writes_are_released_on_a_new_primary_in_a_paced_way() {
    let mut front = Front::ready(settings(), 3);
    front.tell(0, Role::Replica);
    let waiting: Vec<RequestId> = (0..40).map(|_| front.arrive(WRITE).0).collect();
    // The oldest went out to seek the primary; turned away, it keeps its place.
    front.ends(
        waiting[0],
        0,
        Outcome::Misrouted,
        note(Role::Replica, front.now),
    );
    let first = sends(&front.tell(1, Role::Primary));
    assert!((1..=4).contains(&first.len()), "{} at once", first.len());
    let (done, _) = first[0];
    assert_eq!(done, waiting[0], "the oldest first");
    let more = front.ends(done, 1, Outcome::Served, note(Role::Primary, front.now));
    assert!((1..=2).contains(&sends(&more).len()));
}

#[test]
fn a_lost_watch_is_renewed_with_backoff() {
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Watch;
    let (mut front, actions) = Front::new(settings, 2);
    assert!(actions.contains(&Action::Watch));
    let mut calls = 0;
    for _ in 0..20 {
        front.event(Event::WatchLost(WatchLoss::default()));
        for _ in 0..40 {
            let actions = front.pass(100 * MS);
            if actions.contains(&Action::Watch) {
                calls += 1;
                break;
            }
        }
    }
    assert_eq!(calls, 20, "each loss is followed by a call");
    front.event(Event::WatchLost(WatchLoss::default()));
    let early = front.pass(900 * MS);
    assert!(
        !early.contains(&Action::Watch),
        "after many losses the wait is long"
    );
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut front = Front::ready(settings(), 5);
        let mut all = Vec::new();
        for n in 0..200 {
            all.extend(front.arrive(n % 6).1);
            all.extend(front.pass(3 * MS));
        }
        all
    };
    assert_eq!(run(), run());
}

/// A connection may take long to come up: what was told or happened meanwhile holds for the write as well.
#[test]
fn a_send_decided_on_is_not_written_once_its_member_drains_or_its_client_has_gone() {
    for ending in [EndpointState::Draining, EndpointState::Removed] {
        let mut front = Front::ready(settings(), 3);
        let (write, actions) = front.arrive(WRITE);
        let (_, to) = sends(&actions)[0];
        assert!(front.router.may_write(front.now, write, MemberId(to)));
        front.change(to, ending, 0);
        assert!(
            !front.router.may_write(front.now, write, MemberId(to)),
            "{ending:?}"
        );
    }
    let mut front = Front::ready(settings(), 3);
    let (write, actions) = front.arrive(WRITE);
    let (_, to) = sends(&actions)[0];
    front.event(Event::ClientGone(write));
    assert!(!front.router.may_write(front.now, write, MemberId(to)));
}

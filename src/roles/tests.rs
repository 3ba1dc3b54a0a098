use super::*;

const NOW: Micros = 10 * DOUBT;
const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn without_any_doubt_each_word_is_believed_and_none_says_nothing() {
    for source in [Source::Report, Source::Answer, Source::ServedWrite] {
        for told in [PRIMARY, REPLICA, None] {
            assert_eq!(
                Doubt::default().hear(told, 0, source, NOW),
                told,
                "{source:?}"
            );
        }
    }
}

#[test]
fn after_an_answer_of_a_replica_reports_that_may_be_older_are_passed_over_and_answers_are_not() {
    let mut doubt = Doubt::default();
    assert_eq!(doubt.hear(REPLICA, NOW - 1, Source::Answer, NOW), REPLICA);
    assert_eq!(
        doubt.hear(PRIMARY, NOW + DOUBT - 1, Source::Report, NOW + DOUBT),
        None
    );
    assert_eq!(
        doubt.hear(PRIMARY, NOW + DOUBT, Source::Report, NOW + DOUBT),
        PRIMARY
    );
    assert_eq!(
        doubt.hear(PRIMARY, NOW - 1, Source::Answer, NOW),
        PRIMARY,
        "made as it was answered"
    );
}

#[test]
fn a_report_of_a_replica_makes_no_doubt_as_the_next_report_is_newer() {
    let mut doubt = Doubt::default();
    assert_eq!(doubt.hear(REPLICA, NOW, Source::Report, NOW), REPLICA);
    assert_eq!(
        doubt.hear(PRIMARY, NOW + 1, Source::Report, NOW + 1),
        PRIMARY
    );
}

#[test]
fn a_write_that_was_turned_away_shows_a_replica_and_only_one_that_goes_through_shows_more_at_once()
{
    for told in [PRIMARY, REPLICA, None] {
        let mut doubt = Doubt::default();
        assert_eq!(doubt.hear(told, NOW, Source::MissedWrite, NOW), REPLICA);
        for source in [Source::Report, Source::Answer] {
            assert_eq!(
                doubt.hear(PRIMARY, NOW + DOUBT - 1, source, NOW + DOUBT),
                None,
                "{source:?}"
            );
            assert_eq!(
                doubt.hear(PRIMARY, NOW + DOUBT, source, NOW + DOUBT),
                PRIMARY,
                "{source:?}"
            );
        }
        assert_eq!(
            doubt.hear(PRIMARY, NOW - 1, Source::ServedWrite, NOW),
            PRIMARY
        );
    }
}

#[test]
fn the_source_of_a_note_is_told_by_what_was_asked_and_how_it_ended() {
    assert_eq!(
        Source::of(ConsistencyLevel::Write, Outcome::Served),
        Source::ServedWrite
    );
    assert_eq!(
        Source::of(ConsistencyLevel::Write, Outcome::Misrouted),
        Source::MissedWrite
    );
    assert_eq!(
        Source::of(ConsistencyLevel::Write, Outcome::Error),
        Source::Answer
    );
    assert_eq!(
        Source::of(ConsistencyLevel::BoundedStaleness, Outcome::Misrouted),
        Source::Answer
    );
}

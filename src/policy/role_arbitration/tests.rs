use super::*;

const NOW: Micros = 10 * DISTRUST_PERIOD;
const PRIMARY: Option<Role> = Some(Role::Primary);
const REPLICA: Option<Role> = Some(Role::Replica);

#[test]
fn reports_are_believed_by_default() {
    for source in [
        RoleSource::LoadReport,
        RoleSource::Answer,
        RoleSource::ServedWrite,
    ] {
        for reported in [PRIMARY, REPLICA, None] {
            assert_eq!(
                RoleArbitration::default().observe(reported, 0, source, NOW),
                reported,
                "{source:?}"
            );
        }
    }
}

#[test]
fn replica_answer_distrusts_older_load_reports() {
    let mut arbitration = RoleArbitration::default();
    assert_eq!(
        arbitration.observe(REPLICA, NOW - 1, RoleSource::Answer, NOW),
        REPLICA
    );
    assert_eq!(
        arbitration.observe(
            PRIMARY,
            NOW + DISTRUST_PERIOD - 1,
            RoleSource::LoadReport,
            NOW + DISTRUST_PERIOD
        ),
        None
    );
    assert_eq!(
        arbitration.observe(
            PRIMARY,
            NOW + DISTRUST_PERIOD,
            RoleSource::LoadReport,
            NOW + DISTRUST_PERIOD
        ),
        PRIMARY
    );
    assert_eq!(
        arbitration.observe(PRIMARY, NOW - 1, RoleSource::Answer, NOW),
        PRIMARY,
        "an answer shows the role at that time"
    );
}

#[test]
fn replica_load_report_distrusts_nothing() {
    let mut arbitration = RoleArbitration::default();
    assert_eq!(
        arbitration.observe(REPLICA, NOW, RoleSource::LoadReport, NOW),
        REPLICA
    );
    assert_eq!(
        arbitration.observe(PRIMARY, NOW + 1, RoleSource::LoadReport, NOW + 1),
        PRIMARY
    );
}

#[test]
fn misrouted_write_is_overruled_by_served_write_alone() {
    for reported in [PRIMARY, REPLICA, None] {
        let mut arbitration = RoleArbitration::default();
        assert_eq!(
            arbitration.observe(reported, NOW, RoleSource::MisroutedWrite, NOW),
            REPLICA
        );
        for source in [RoleSource::LoadReport, RoleSource::Answer] {
            assert_eq!(
                arbitration.observe(
                    PRIMARY,
                    NOW + DISTRUST_PERIOD - 1,
                    source,
                    NOW + DISTRUST_PERIOD
                ),
                None,
                "{source:?}"
            );
            assert_eq!(
                arbitration.observe(
                    PRIMARY,
                    NOW + DISTRUST_PERIOD,
                    source,
                    NOW + DISTRUST_PERIOD
                ),
                PRIMARY,
                "{source:?}"
            );
        }
        assert_eq!(
            arbitration.observe(PRIMARY, NOW - 1, RoleSource::ServedWrite, NOW),
            PRIMARY
        );
    }
}

#[test]
fn source_follows_consistency_and_outcome() {
    assert_eq!(
        RoleSource::of_answer(ConsistencyLevel::Write, Outcome::Served),
        RoleSource::ServedWrite
    );
    assert_eq!(
        RoleSource::of_answer(ConsistencyLevel::Write, Outcome::Misrouted),
        RoleSource::MisroutedWrite
    );
    assert_eq!(
        RoleSource::of_answer(ConsistencyLevel::Write, Outcome::Error),
        RoleSource::Answer
    );
    assert_eq!(
        RoleSource::of_answer(ConsistencyLevel::BoundedStaleness, Outcome::Misrouted),
        RoleSource::Answer
    );
}

use super::*;

fn timetable(
    announce: Option<u64>,
    kill: Option<u64>,
    balancer: &Balancer,
) -> Result<Timetable, SettingError> {
    let drain = Drain {
        announce_ms: announce,
        kill_after_ms: kill,
    };
    drain.timetable(balancer, DetectionMethod::FailedChecks, 10_000_000)
}

#[test]
fn announcement_lasts_until_the_balancer_detects_the_drain() {
    let quick = Balancer {
        interval_ms: 50,
        fall: 2,
        timeout_ms: 50,
    };
    let wanted = Timetable {
        announce: 750_000,
        answer_until: 3_600_000,
    };
    assert_eq!(timetable(None, None, &quick), Ok(wanted));
    let slow = Balancer {
        interval_ms: 500,
        fall: 3,
        timeout_ms: 100,
    };
    assert_eq!(
        timetable(None, None, &slow).map(|timetable| timetable.announce),
        Ok(1_750_000)
    );
    assert_eq!(
        Timetable::without_balancers(10_000_000),
        wanted,
        "the shortest announcement"
    );
    let agent = Drain::default().timetable(&slow, DetectionMethod::AgentCheck, 10_000_000);
    assert_eq!(agent.map(|timetable| timetable.announce), Ok(750_000));
}

#[test]
fn incompatible_drain_settings_are_rejected_by_key() {
    let slow = Balancer {
        interval_ms: 1_000,
        fall: 3,
        timeout_ms: 100,
    };
    let cases = [
        (None, None, slow, "balancer.interval_ms"),
        (Some(800), None, Balancer::default(), "drain.announce_ms"),
        (Some(2_001), None, Balancer::default(), "drain.announce_ms"),
        (
            Some(1_500),
            Some(1_600),
            Balancer::default(),
            "drain.kill_after_ms",
        ),
        (
            None,
            None,
            Balancer {
                fall: 0,
                ..Balancer::default()
            },
            "balancer.fall",
        ),
    ];
    for (announce, kill, balancer, key) in cases {
        assert_eq!(
            timetable(announce, kill, &balancer).map_err(|fault| fault.key),
            Err(key.into())
        );
    }
}

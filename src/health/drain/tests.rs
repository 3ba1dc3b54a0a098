use super::*;

fn table(
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
fn the_announcement_lasts_until_every_balancer_has_heard() {
    let quick = Balancer {
        interval_ms: 50,
        fall: 2,
        timeout_ms: 50,
    };
    let wanted = Timetable {
        announce: 750_000,
        answer_until: 3_600_000,
    };
    assert_eq!(table(None, None, &quick), Ok(wanted));
    let slow = Balancer {
        interval_ms: 500,
        fall: 3,
        timeout_ms: 100,
    };
    assert_eq!(
        table(None, None, &slow).map(|table| table.announce),
        Ok(1_750_000)
    );
    assert_eq!(Timetable::plain(10_000_000), wanted, "the least there is");
    let agent = Drain::default().timetable(&slow, DetectionMethod::AgentCheck, 10_000_000);
    assert_eq!(agent.map(|table| table.announce), Ok(750_000));
}

#[test]
fn what_can_not_reach_the_balancer_in_time_is_rejected_by_key() {
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
            table(announce, kill, &balancer).map_err(|fault| fault.key),
            Err(key.into())
        );
    }
}

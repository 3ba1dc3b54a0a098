use super::*;
use serde_json::json;

fn line(gateway: u64, fields: Value) -> Line {
    Line { gateway, fields }
}

fn duty(gateway: u64, at: u64, token: u64, until: u64) -> Line {
    let fields = json!({"message": "duty: acting", "duty": "probes", "at": at, "token": token, "until": until});
    line(gateway, fields)
}

fn registration(gateway: u64, at: u64, until: u64) -> Line {
    line(
        gateway,
        json!({"message": "registration: acting", "at": at, "token": 1, "until": until}),
    )
}

fn activated(gateway: u64, at: u64, number: u64, before: u64) -> Line {
    let fields = json!({"message": "version: activated", "topic": "Operator", "at": at, "number": number, "before": before});
    line(gateway, fields)
}

#[test]
fn overlapping_duty_holders_and_stale_tokens_are_violations() {
    let good = [duty(1, 10, 1, 40), duty(1, 30, 1, 60), duty(2, 60, 5, 90)];
    assert_eq!(violations(&good), Vec::<String>::new());
    assert!(violations(&[duty(1, 10, 1, 40), duty(2, 39, 5, 90)])[0].contains("at once"));
    assert!(violations(&[duty(1, 10, 5, 40), duty(2, 41, 5, 90)])[0].contains("not newer"));
    // The first holder stopped before its right ended.
    let stopped = line(
        1,
        json!({"message": "duty: stopped acting", "duty": "probes", "at": 30}),
    );
    assert_eq!(
        violations(&[duty(1, 10, 1, 60), stopped, duty(2, 31, 5, 90)]),
        Vec::<String>::new()
    );
}

#[test]
fn third_active_version_and_diverging_order_are_violations() {
    let good = [
        registration(1, 0, 100),
        registration(2, 0, 100),
        activated(1, 10, 3, 0),
        activated(2, 20, 3, 0),
        activated(1, 30, 7, 3),
    ];
    assert_eq!(violations(&good), Vec::<String>::new());
    let third = [&good[..], &[activated(1, 40, 9, 7)]].concat();
    assert!(
        violations(&third)[0].contains("[3, 9]") || violations(&third)[0].contains("{3, 9}"),
        "{:?}",
        violations(&third)
    );
    // A gateway that was killed restarts and activates the version again, while the registration of its former process
    // would not have expired.
    let killed = line(2, json!({"message": KILLED, "at": 25}));
    let restarted = [
        registration(1, 0, 100),
        registration(2, 0, 100),
        activated(2, 5, 3, 0),
        killed,
        activated(2, 30, 3, 0),
    ];
    let rest = [
        activated(1, 10, 3, 0),
        activated(1, 20, 7, 3),
        activated(1, 26, 9, 7),
    ];
    assert_eq!(
        violations(&[&restarted[..], &rest[..]].concat()),
        Vec::<String>::new()
    );
    // A gateway whose registration has expired does not act on any version.
    let expired = [
        registration(1, 0, 100),
        registration(2, 0, 35),
        activated(2, 20, 3, 0),
        activated(1, 30, 7, 3),
        activated(1, 40, 9, 7),
    ];
    assert_eq!(violations(&expired), Vec::<String>::new());
    assert!(violations(&[activated(1, 10, 3, 0), activated(2, 10, 3, 1)])[0].contains("elsewhere"));
}

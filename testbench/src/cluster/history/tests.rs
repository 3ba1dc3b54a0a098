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

fn force(gateway: u64, at: u64, number: u64, before: u64) -> Line {
    let fields = json!({"message": "version: activated", "topic": "Operator", "at": at, "number": number, "before": before});
    line(gateway, fields)
}

#[test]
fn two_holders_at_once_or_a_token_that_does_not_grow_is_found() {
    let good = [duty(1, 10, 1, 40), duty(1, 30, 1, 60), duty(2, 60, 5, 90)];
    assert_eq!(violations(&good), Vec::<String>::new());
    assert!(violations(&[duty(1, 10, 1, 40), duty(2, 39, 5, 90)])[0].contains("at once"));
    assert!(violations(&[duty(1, 10, 5, 40), duty(2, 41, 5, 90)])[0].contains("not newer"));
    // It stopped earlier than it had to.
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
fn a_third_version_or_another_order_is_found() {
    let good = [
        registration(1, 0, 100),
        registration(2, 0, 100),
        force(1, 10, 3, 0),
        force(2, 20, 3, 0),
        force(1, 30, 7, 3),
    ];
    assert_eq!(violations(&good), Vec::<String>::new());
    let third = [&good[..], &[force(1, 40, 9, 7)]].concat();
    assert!(
        violations(&third)[0].contains("[3, 9]") || violations(&third)[0].contains("{3, 9}"),
        "{:?}",
        violations(&third)
    );
    // One that was killed starts again and learns the versions anew, while its former life's right would still run.
    let killed = line(2, json!({"message": KILLED, "at": 25}));
    let reborn = [
        registration(1, 0, 100),
        registration(2, 0, 100),
        force(2, 5, 3, 0),
        killed,
        force(2, 30, 3, 0),
    ];
    let rest = [force(1, 10, 3, 0), force(1, 20, 7, 3), force(1, 26, 9, 7)];
    assert_eq!(
        violations(&[&reborn[..], &rest[..]].concat()),
        Vec::<String>::new()
    );
    // One whose right has run out acts on nothing.
    let lapsed = [
        registration(1, 0, 100),
        registration(2, 0, 35),
        force(2, 20, 3, 0),
        force(1, 30, 7, 3),
        force(1, 40, 9, 7),
    ];
    assert_eq!(violations(&lapsed), Vec::<String>::new());
    assert!(violations(&[force(1, 10, 3, 0), force(2, 10, 3, 1)])[0].contains("elsewhere"));
}

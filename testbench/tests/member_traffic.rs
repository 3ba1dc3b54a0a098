//! Traffic counts that are read from control members' log lines, and rates between them.

use asterreel_testbench::gateway::Line;
use asterreel_testbench::scale::traffic::{MemberTotals, TrafficRates};
use serde_json::{json, Value};

fn line(fields: Value) -> Line {
    Line { at: 0, fields }
}

fn traffic(at: u64, count: u64) -> Line {
    line(json!({
        "message": "control: traffic", "at": at, "gateway": 1,
        "members.frames_in": count, "members.frames_out": 2 * count,
        "members.bytes_in": 30 * count, "members.bytes_out": 40 * count,
        "gateways.frames_in": 5 * count, "gateways.frames_out": 6 * count,
        "gateways.bytes_in": 70 * count, "gateways.bytes_out": 80 * count,
    }))
}

#[test]
fn last_traffic_line_is_used_and_none_if_a_count_is_missing() {
    assert_eq!(MemberTotals::logged(&[line(json!("no JSON"))]), None);
    let log = [
        traffic(1, 1),
        traffic(2_000_001, 5),
        line(json!({"message": "registration: acting"})),
    ];
    let last = MemberTotals::logged(&log).expect("a traffic line");
    assert_eq!(
        (last.at, last.members.frames_in, last.gateways.bytes_out),
        (2_000_001, 5, 400)
    );
    let mut incomplete = traffic(3, 9);
    incomplete
        .fields
        .as_object_mut()
        .expect("an object")
        .remove("gateways.bytes_in");
    assert_eq!(MemberTotals::logged(&[traffic(1, 1), incomplete]), None);
}

#[test]
fn rates_are_increases_per_second() {
    let [before, after] = [(0, 10), (4_000_000, 18)]
        .map(|(at, count)| MemberTotals::logged(&[traffic(at, count)]).expect("a traffic line"));
    let rates = TrafficRates::between(&before.members, &after.members, 4.0);
    let expected = TrafficRates {
        frames_in: 2.0,
        frames_out: 4.0,
        bytes_in: 60.0,
        bytes_out: 80.0,
    };
    assert_eq!(rates, expected);
}

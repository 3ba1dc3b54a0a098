//! The state of gateways in their fleet, from their log lines.

use asterreel_testbench::gateway::Line;
use asterreel_testbench::standing::Standing;
use serde_json::{json, Value};

const LEASE_US: u64 = 30;

fn logged(lines: &[Value]) -> Standing {
    let lines: Vec<Line> = lines
        .iter()
        .map(|fields| Line {
            at: 0,
            fields: fields.clone(),
        })
        .collect();
    Standing::logged(4, &lines)
}

fn in_force(at: u64, number: u64) -> Value {
    json!({"message": "version: activated", "topic": "Operator", "at": at, "number": number, "before": 0})
}

fn acting(at: u64, until: u64) -> Value {
    json!({"message": "registration: acting", "at": at, "token": 6, "until": until})
}

#[test]
fn version_without_a_registration_is_not_acted_on() {
    let unregistered = logged(&[json!("no JSON"), in_force(5, 3)]);
    assert_eq!(
        unregistered,
        Standing {
            gateway: 4,
            in_force: 3,
            since: 5,
            until: 0
        }
    );
    assert!(!unregistered.acts(6));
}

#[test]
fn registration_starts_at_heartbeat_and_ends_by_time_or_stop() {
    let registered = logged(&[
        in_force(5, 3),
        acting(8, 37),
        acting(20, 49),
        in_force(21, 7),
    ]);
    assert_eq!(
        registered,
        Standing {
            gateway: 4,
            in_force: 7,
            since: 21,
            until: 49
        }
    );
    assert!(registered.acts(48) && !registered.acts(49));
    assert_eq!(registered.heartbeat_sent_at(LEASE_US), 19);
    let stopped = json!({"message": "registration: stopped acting: it drains", "at": 22});
    assert!(!logged(&[in_force(5, 3), acting(20, 49), stopped]).acts(23));
}

//! The simulator's adapter as a process: messages on standard input and output.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_asterreel-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a pipe");
    for line in lines {
        // The adapter may already have exited at a malformed line.
        let _ = writeln!(input, "{line}");
    }
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn setup(bounds: &str) -> String {
    format!(
        r#"{{"Allowed":{{"Cancel":true,"MaxAttempts":6,"MaxRetryAfterUs":1000000,"MayProbe":true,"ParallelTries":false,"RetryAfter":true,"NewKey":1}},"Customers":[],"Discovery":"automatic","FamilyInfo":{{"Checks":"bounce","Consistency":["lag_bound","mutate"],"PositionZeroUs":1000,"ProgressTold":true,"RoleListed":"trailing","SessionMarks":"brought","StalenessBoundUs":{bounds}}},"FleetSize":1,"OverShareWorth":0.1,"PeriodUs":1000,"Profiles":[{{"DeadlineUs":1000000,"Effect":"free","Group":"all","LateWorth":0.0,"SloUs":400000,"Worth":1.0}},{{"DeadlineUs":2000000,"Effect":"single_shot","Group":"all","LateWorth":0.3,"SloUs":700000,"Worth":6.0}}],"Report":{{"Names":["x0","x1"],"Source":"probe"}},"Rules":{{"AnswerSlackUs":20000,"AskEveryUs":10000000,"ColdUs":18000000,"DrainGraceUs":500000,"FallMultiple":4.0,"FallUs":1500000,"StartCapacity":0.19}},"Zone":0}}"#
    )
}

fn batch(number: u32, now: u64, instance: &str, events: &str) -> String {
    format!(
        r#"{{"SimTimeUs":{now},"batch":{number},"parts":[{{"I":"{instance}","in":[{events}]}}]}}"#
    )
}

fn start() -> String {
    let events = format!(
        r#"{{"NEW_INSTANCE":{{"Entropy":5,"Setup":{}}}}},{{"DEFINE_LIST":{{"Table":0,"Items":[{{"Campus":0,"State":"on","Writer":1,"Cell":3,"Size":1,"Store":"store.a","FamilyType":0}}]}}}},{{"VIEW":{{"How":"warm_copy","Stamp":1,"Table":0}}}}"#,
        setup("[300000,0]")
    );
    batch(1, 5_000_000, "front-0", &events)
}

fn accept() -> String {
    let event = r#"{"HEALTH":{"Store":"store.a","Result":10,"LatencyUs":500,"Feedback":[4.9,1]}},{"ACCEPT":{"Job":"j1","Profile":1,"ClientKey":4,"DueUs":7000000,"DbNo":3,"Unknown":true}}"#;
    batch(2, 5_001_000, "front-0", event)
}

#[test]
fn write_is_routed_to_primary_and_end_of_input_succeeds() {
    let output = run(&[
        r#"{"SimTimeUs":1,"batch":0,"parts":[]}"#.to_owned(),
        start(),
        accept(),
    ]);
    let text = String::from_utf8_lossy(&output.stdout);
    let lines: Vec<&str> = text.lines().collect();
    assert!(output.status.success());
    assert_eq!(lines[0], r#"{"batch":0,"parts":[]}"#);
    assert!(lines[1].contains(r#"{"TEST":{"Store":"store.a"}}"#));
    assert!(lines[2].contains(r#""ROUTE":{"Job":"j1""#), "{}", lines[2]);
    assert_eq!(lines.len(), 3);
}

#[test]
fn malformed_line_ends_the_run_with_one_error_and_no_reply() {
    let bad = [
        "not json".to_owned(),
        r#"{"batch":2,"parts":[]}"#.to_owned(),
        batch(2, 6_000_000, "front-0", r#"{"NONSENSE":{}}"#),
        batch(2, 6_000_000, "front-0", r#"{"ACCEPT":{"Job":"j1"}}"#),
        batch(2, 6_000_000, "front-9", r#"{"DUE":{"Cookie":0}}"#),
        batch(
            2,
            6_000_000,
            "front-0",
            r#"{"VIEW":{"How":"total","Stamp":2,"Table":9}}"#,
        ),
    ];
    for line in bad {
        let output = run(&[start(), line.clone()]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert_eq!(error.lines().count(), 1, "{error}");
        assert!(error.contains("batch"), "{error}");
        let replies = String::from_utf8_lossy(&output.stdout).lines().count();
        assert_eq!(replies, 1, "only the valid batch is answered");
    }
}

#[test]
fn class_arrays_of_unequal_length_are_rejected() {
    let events = format!(
        r#"{{"NEW_INSTANCE":{{"Entropy":5,"Setup":{}}}}}"#,
        setup("[1]")
    );
    let output = run(&[batch(1, 5, "front-0", &events)]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("unequal"));
}

#[test]
fn same_input_gives_same_output() {
    let lines = [start(), accept()];
    assert_eq!(run(&lines).stdout, run(&lines).stdout);
}

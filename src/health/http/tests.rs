use super::*;
use crate::fuzz;

fn snapshot(state: State, weight: u8, reason: Reason) -> Snapshot {
    let status = Status {
        state,
        weight,
        reason,
    };
    Snapshot {
        name: "one".into(),
        version: "0",
        statuses: vec![(Scope::Gateway, status), (Scope::Group(GroupId(3)), status)],
        capacity: Capacity {
            sessions: 1,
            max_sessions: 10,
            requests: 2,
            max_requests: 4,
        },
        retry_after: 1,
        started: state != State::Starting,
        groups: vec![GroupReport {
            group: GroupId(3),
            has_primary: true,
            primary_since: 0,
            usable: 3,
            members: 4,
            in_flight: 1,
            queued: 2,
            ended: 0,
            overloaded: 0,
            primary_only_share: 0.5,
            recent_weight: 1.0,
        }],
    }
}

fn respond(text: &str, snapshot: &Snapshot) -> (u16, String, bool) {
    let parsed = parse_request(text.as_bytes()).map(|found| found.expect("whole"));
    let (bytes, ends) = answer(&parsed, snapshot);
    let text = String::from_utf8(bytes).expect("text");
    (text[9..12].parse().expect("a code"), text, ends)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")
}

#[test]
fn each_endpoint_has_its_status_code_in_each_state() {
    let paths = [
        "/livez",
        "/readyz",
        "/startupz",
        "/health",
        "/health/groups/3",
    ];
    let cases = [
        (State::Starting, 0, Reason::Start, [200, 503, 503, 503, 503]),
        (State::Up, 100, Reason::Fine, [200, 200, 200, 200, 200]),
        (
            State::Degraded,
            10,
            Reason::Overload,
            [200, 200, 200, 200, 200],
        ),
        (
            State::Degraded,
            0,
            Reason::NoMember,
            [200, 503, 200, 503, 503],
        ),
        (State::Draining, 0, Reason::Drain, [200, 503, 200, 503, 503]),
        (State::Stopping, 0, Reason::Drain, [200, 503, 200, 503, 503]),
        (State::Hung, 0, Reason::Hung, [503, 503, 200, 503, 503]),
    ];
    for (state, weight, reason, codes) in cases {
        let snapshot = snapshot(state, weight, reason);
        for (path, code) in paths.iter().zip(codes) {
            let (answered, text, _) = respond(&get(path), &snapshot);
            assert_eq!(answered, code, "{state:?} {path}");
            assert_eq!(text.contains("retry-after: 1"), code == 503, "{text}");
            assert_eq!(
                text.contains("x-envoy-degraded: true"),
                state == State::Degraded
            );
            let fails_at_once = matches!(state, State::Draining | State::Stopping | State::Hung);
            assert_eq!(
                text.contains("x-envoy-immediate-health-check-fail: true"),
                fails_at_once
            );
            assert!(
                text.contains("endpoint-load-metrics: JSON {\"application_utilization\":0.5"),
                "{text}"
            );
        }
    }
}

#[test]
fn health_body_is_json_with_each_group_and_empty_for_head() {
    let snapshot = snapshot(State::Degraded, 60, Reason::NoPrimary);
    let (_, text, ends) = respond(&get("/health"), &snapshot);
    let body = text.split_once("\r\n\r\n").expect("a head").1;
    let value: Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(
        (&value["status"], &value["weight"], &value["reason"]),
        (&json!("warn"), &json!(60), &json!("no-primary"))
    );
    assert_eq!(value["checks"]["group:3"][0]["usable_members"], json!(3));
    assert!(!ends && text.contains("application/health+json"));
    let (code, text, _) = respond("HEAD /health HTTP/1.1\r\nHost: x\r\n\r\n", &snapshot);
    assert!(
        code == 200
            && text.ends_with("\r\n\r\n")
            && text.contains(&format!("Content-Length: {}", body.len()))
    );
}

#[test]
fn unknown_and_invalid_requests_have_their_status_codes() {
    let snapshot = snapshot(State::Up, 100, Reason::Fine);
    let long = format!(
        "GET /{} HTTP/1.1\r\nHost: x\r\n\r\n",
        "x".repeat(MAX_HEAD_BYTES)
    );
    let cases = [
        (get("/"), 404, false),
        (get("/health/groups/9"), 404, false),
        (get("/health/groups/x"), 404, false),
        (
            "POST /livez HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".into(),
            405,
            false,
        ),
        (
            "POST /livez HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n".into(),
            413,
            true,
        ),
        ("GET /livez HTTP/1.1\r\n\r\n".into(), 400, true),
        ("GET /livez HTTP/2.0\r\nHost: x\r\n\r\n".into(), 505, true),
        (
            "GET http://x/ HTTP/1.1\r\nHost: x\r\n\r\n".into(),
            400,
            true,
        ),
        ("nonsense\r\n\r\n".into(), 400, true),
        ("GET /livez HTTP/1.0\r\n\r\n".into(), 200, true),
        (
            "GET /livez?x=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".into(),
            200,
            true,
        ),
        (long, 431, true),
    ];
    for (text, code, ends) in cases {
        let (answered, _, ended) = respond(&text, &snapshot);
        assert_eq!((answered, ended), (code, ends), "{text:.60}");
    }
}

#[test]
fn partial_request_is_awaited_and_random_bytes_are_bounded() {
    let text = get("/health/groups/3");
    let whole = parse_request(text.as_bytes())
        .expect("valid")
        .expect("whole");
    fuzz::cuts(text.as_bytes(), |ends| {
        for end in ends {
            let found = parse_request(&text.as_bytes()[..*end]).expect("valid");
            assert_eq!(found.as_ref(), Some(&whole).filter(|_| *end == text.len()));
        }
    });
    let snapshot = snapshot(State::Up, 100, Reason::Fine);
    fuzz::garbage(text.as_bytes(), |bytes| {
        let found = parse_request(bytes);
        assert!(!matches!(&found, Ok(Some(request)) if request.length > bytes.len()));
        if let Some(found) = found.transpose() {
            assert!(answer(&found, &snapshot).0.starts_with(b"HTTP/1.1 "));
        }
    });
}

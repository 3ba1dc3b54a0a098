//! Compares what clients, balancers and operators read from a gateway with recorded bytes: each outcome that a request of a
//! client can have, and the answers of the health listeners. Values that differ from run to run are masked.

mod golden;
mod process;

use asterreel_testbench::database;
use asterreel_testbench::fleet::{Fleet, Shape};
use asterreel_testbench::gateway::{Gateway as FleetGateway, Plan};
use process::*;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The databases' error for statements that contain `FAIL`.
fn error_for_fail(statement: &[u8]) -> Option<Vec<u8>> {
    statement
        .windows(4)
        .any(|word| word == b"FAIL")
        .then(|| database::error("22012", "division by zero"))
}

/// Masks the session's key for cancel requests, which differs from run to run.
fn mask_cancel_key(mut bytes: Vec<u8>) -> Vec<u8> {
    if let Some(at) = bytes.windows(5).position(|head| head == b"K\0\0\0\x0c") {
        bytes[at + 5..at + 13].fill(b'_');
    }
    bytes
}

/// Sends these bytes on a new connection, after the startup if `started`, and returns this many answers.
fn exchange(gateway: &Gateway, started: bool, bytes: &[u8], answers: usize) -> String {
    let mut client = if started {
        Client::ready(gateway)
    } else {
        Client::connect(gateway)
    };
    client.send(bytes);
    let all: Vec<u8> = (0..answers).flat_map(|_| client.read_answer().1).collect();
    golden::escaped(&mask_cancel_key(all))
}

/// A query whose statement ends with this comment.
fn query_with_comment(text: &str, comment: &str) -> Vec<u8> {
    query(format!("{text} /* {comment} */").as_bytes())
}

const READ: &str = "SELECT payload FROM entries WHERE ref = 'k'";
const WRITE: &str = "INSERT INTO entries VALUES ('k') RETURNING payload";

/// The name of a case, whether the session is started first, what the client sends, and how many answers it reads.
type Case = (&'static str, bool, Vec<u8>, usize);

/// Startups, and messages other than requests.
fn message_cases() -> Vec<Case> {
    let ssl = [0, 0, 0, 8, 4, 210, 22, 47];
    let long = [&b"Q"[..], &200_000_u32.to_be_bytes()].concat();
    vec![
        ("startup", false, startup(), 1),
        (
            "startup of another version",
            false,
            vec![0, 0, 0, 8, 0, 2, 0, 0],
            1,
        ),
        ("startup without end", false, vec![0xff; 8], 1),
        (
            "encryption, then startup",
            false,
            [&ssl[..], &startup()].concat(),
            0,
        ),
        ("empty query", true, query(b" ; "), 1),
        ("set", true, query(b"SET x = 1"), 1),
        ("reset", true, query(b"reset all"), 1),
        ("discard", true, query(b"DISCARD ALL"), 1),
        ("sync", true, database::message(b'S', b""), 1),
        (
            "parse and sync",
            true,
            [
                database::message(b'P', b"\0\0\0\0"),
                database::message(b'S', b""),
            ]
            .concat(),
            1,
        ),
        ("unknown message", true, database::message(b'?', b""), 1),
        ("message that is too long", true, long, 1),
        (
            "query without its end",
            true,
            database::message(b'Q', b"SELECT 1"),
            1,
        ),
    ]
}

/// Requests whose answer depends on their statement alone.
fn request_cases() -> Vec<Case> {
    vec![
        ("no comment", true, query(b"SELECT 1"), 1),
        (
            "comment without id",
            true,
            query_with_comment(READ, "c=search,d=900,cluster=0"),
            1,
        ),
        (
            "comment without class",
            true,
            query_with_comment(READ, "id=a,d=900,cluster=0"),
            1,
        ),
        (
            "comment without wait",
            true,
            query_with_comment(READ, "id=b,c=search,cluster=0"),
            1,
        ),
        (
            "comment without group",
            true,
            query_with_comment(READ, "id=c,c=search,d=900"),
            1,
        ),
        (
            "wait that is no number",
            true,
            query_with_comment(READ, "id=d,c=search,d=x,cluster=0"),
            1,
        ),
        (
            "unknown class",
            true,
            query_with_comment(READ, "id=e,c=none,d=900,cluster=0"),
            1,
        ),
        (
            "unknown group",
            true,
            query_with_comment(READ, "id=f,c=search,d=900,cluster=7"),
            1,
        ),
        (
            "no time left",
            true,
            query_with_comment(READ, "id=g,c=search,d=0,cluster=0"),
            1,
        ),
        (
            "served read",
            true,
            query_with_comment(READ, "id=h,c=search,d=20000,cluster=0,k=1"),
            1,
        ),
        (
            "served write",
            true,
            query_with_comment(WRITE, "id=i,c=booking,d=20000,cluster=0,k=1"),
            1,
        ),
        (
            "write that the database fails",
            true,
            query_with_comment("INSERT FAIL", "id=j,c=booking,d=20000,cluster=0"),
            1,
        ),
        (
            "read that the databases fail",
            true,
            query_with_comment("SELECT FAIL", "id=l,c=search,d=20000,cluster=0"),
            1,
        ),
    ]
}

#[test]
fn client_answers_match_record() {
    let (sender, _statements) = channel();
    let primary = Database::start(true, true, &sender, error_for_fail);
    let replica = Database::start(false, true, &sender, error_for_fail);
    let discovery = listen().local_addr().expect("bound");
    let (gateway, log) =
        start_with_databases([primary.address, replica.address], discovery, |config| {
            config
        });
    let mut output = String::new();
    for (name, started, bytes, answers) in message_cases().into_iter().chain(request_cases()) {
        writeln!(
            output,
            "{name}: {}",
            exchange(&gateway, started, &bytes, answers)
        )
        .expect("a string");
    }
    let mut client = Client::connect(&gateway);
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut answer = [0];
    client.0.read_exact(&mut answer).expect("an answer");
    writeln!(output, "encryption: {}", golden::escaped(&answer)).expect("a string");

    // From here on the databases receive statements but do not answer them.
    primary.gate.set(false);
    replica.gate.set(false);
    let (mut cancelled, key) = Client::ready_with_key(&gateway);
    cancelled.send(&query_with_comment(READ, "id=m,c=search,d=20000,cluster=0"));
    assert!(
        log.wait_for_line("dispatching attempt request="),
        "an attempt is dispatched"
    );
    let duplicate = exchange(
        &gateway,
        true,
        &query_with_comment(READ, "id=m,c=search,d=20000,cluster=0"),
        1,
    );
    writeln!(output, "id of an open request: {duplicate}").expect("a string");
    Client::connect(&gateway).send(&cancel_request(&key));
    writeln!(
        output,
        "cancelled: {}",
        golden::escaped(&cancelled.read_answer().1)
    )
    .expect("a string");
    let expired = exchange(
        &gateway,
        true,
        &query_with_comment(WRITE, "id=n,c=booking,d=400,cluster=0"),
        1,
    );
    writeln!(output, "write that may have run, out of time: {expired}").expect("a string");
    let expired = exchange(
        &gateway,
        true,
        &query_with_comment(READ, "id=o,c=search,d=400,cluster=0"),
        1,
    );
    writeln!(output, "read out of time: {expired}").expect("a string");
    golden::assert_matches("client-answers.txt", &output);
}

#[test]
fn rejection_without_primary_matches_record() {
    let (sender, _statements) = channel();
    let databases = [(); 2].map(|()| Database::start(false, true, &sender, error_for_fail));
    let discovery = listen().local_addr().expect("bound");
    for (record, retry_after) in [
        ("rejection.txt", false),
        ("rejection-retry-after.txt", true),
    ] {
        let change = |config: String| match retry_after {
            true => config.replace(
                "\"RetryAfter\": false",
                "\"RetryAfter\": true, \"MaxRetryAfterUs\": 1000000",
            ),
            false => config,
        };
        let addresses = [databases[0].address, databases[1].address];
        let (gateway, _log) = start_with_databases(addresses, discovery, change);
        let answer = exchange(
            &gateway,
            true,
            &query_with_comment(WRITE, "id=a,c=booking,d=400,cluster=0"),
            1,
        );
        golden::assert_matches(record, &format!("write without a primary: {answer}\n"));
    }
    assert!(databases
        .iter()
        .all(|database| !database.primary.load(Ordering::SeqCst)));
}

/// Sends these bytes and returns what is received until the connection is closed or nothing arrives for 700 ms.
fn read_all(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_millis(700)))
        .expect("set");
    stream.write_all(bytes).expect("sent");
    let mut all = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        all.extend(&buffer[..length]);
    }
    golden::escaped(&all)
}

/// Masks the utilization and request rate in a health answer, which differ from run to run.
fn mask_measurements(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(|c: char| c.is_ascii_digit()) {
        let is_measurement =
            rest[..at].ends_with("utilization\\\":") || rest[..at].ends_with("rps\\\":");
        let digits = rest[at..]
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(rest.len() - at);
        out += &rest[..at];
        out += if is_measurement {
            "_"
        } else {
            &rest[at..at + digits]
        };
        rest = &rest[at + digits..];
    }
    out + rest
}

fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").into_bytes()
}

#[test]
fn health_answers_match_record() {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let free_plan =
        Plan::beside(&fleet, 0, env!("CARGO_BIN_EXE_asterreel").into()).expect("free ports");
    let postgres = asterreel_testbench::gateway::free(1).expect("a free port")[0];
    let extra = format!("postgres = listener(listen = '{postgres}'),");
    let plan = Plan {
        extra,
        sockets: 256,
        ..free_plan
    };
    let gateway = FleetGateway::start(&plan).expect("started");
    let began = Instant::now();
    let ready = |text: &str| text.starts_with("ready up 100%");
    while !TcpStream::connect(plan.agent).is_ok_and(|_| ready(&read_all(plan.agent, b""))) {
        assert!(
            began.elapsed() < WAIT_LIMIT,
            "the gateway does not become ready"
        );
    }
    let mut output = String::new();
    for text in ["", "\n", "group 0\n", "0\n", "group 99\n", "group x\n"] {
        writeln!(
            output,
            "agent {text:?}: {}",
            read_all(plan.agent, text.as_bytes())
        )
        .expect("a string");
    }
    let paths = [
        "/livez",
        "/readyz",
        "/startupz",
        "/health",
        "/health/groups/0",
        "/health/groups/99",
        "/nothing",
    ];
    for path in paths {
        let answer = mask_measurements(&read_all(plan.http, &get(path)));
        writeln!(output, "http {path}: {answer}").expect("a string");
    }
    let post = b"POST /livez HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    writeln!(
        output,
        "http post: {}",
        mask_measurements(&read_all(plan.http, post))
    )
    .expect("a string");
    writeln!(output, "postgres: {}", read_all(postgres, &startup())).expect("a string");
    writeln!(
        output,
        "postgres, old: {}",
        read_all(postgres, &[0, 0, 0, 8, 0, 2, 0, 0])
    )
    .expect("a string");
    drop(gateway);
    golden::assert_matches("health-answers.txt", &output);
}

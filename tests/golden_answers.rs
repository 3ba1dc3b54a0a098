//! What clients, balancers and operators read from a gateway, pinned byte for byte: each ending that an answer to a client
//! can have, and the answers of the health fronts. What differs from run to run is masked.

mod golden;
mod process;

use asterreel_testbench::database as toy;
use asterreel_testbench::fleet::{Fleet, Shape};
use asterreel_testbench::gateway::{Gateway as Rigged, Plan};
use process::*;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// What the databases say to some statements.
fn instead(statement: &[u8]) -> Option<Vec<u8>> {
    statement
        .windows(4)
        .any(|word| word == b"FAIL")
        .then(|| toy::error("22012", "division by zero"))
}

/// A key that differs from run to run, with nothing in its place.
fn masked(mut bytes: Vec<u8>) -> Vec<u8> {
    if let Some(at) = bytes.windows(5).position(|head| head == b"K\0\0\0\x0c") {
        bytes[at + 5..at + 13].fill(b'_');
    }
    bytes
}

/// Sends on a connection of its own, after the startup where `greeted`, and takes so many answers; all that came.
fn exchange(gateway: &Gateway, greeted: bool, bytes: &[u8], answers: usize) -> String {
    let mut client = if greeted {
        Client::ready(gateway)
    } else {
        Client::connect(gateway)
    };
    client.send(bytes);
    let all: Vec<u8> = (0..answers).flat_map(|_| client.answer().1).collect();
    golden::escaped(&masked(all))
}

fn statement(text: &str, comment: &str) -> Vec<u8> {
    query(format!("{text} /* {comment} */").as_bytes())
}

const READ: &str = "SELECT payload FROM entries WHERE ref = 'k'";
const WRITE: &str = "INSERT INTO entries VALUES ('k') RETURNING payload";

/// What a client sends, whether after its startup, and how many answers come.
type Case = (&'static str, bool, Vec<u8>, usize);

/// Openings and messages other than requests.
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
        ("sync", true, toy::message(b'S', b""), 1),
        (
            "parse and sync",
            true,
            [toy::message(b'P', b"\0\0\0\0"), toy::message(b'S', b"")].concat(),
            1,
        ),
        ("unknown message", true, toy::message(b'?', b""), 1),
        ("message that is too long", true, long, 1),
        (
            "query without its end",
            true,
            toy::message(b'Q', b"SELECT 1"),
            1,
        ),
    ]
}

/// Requests, where nothing but their statement is needed.
fn request_cases() -> Vec<Case> {
    vec![
        ("no comment", true, query(b"SELECT 1"), 1),
        (
            "comment without id",
            true,
            statement(READ, "c=search,d=900,cluster=0"),
            1,
        ),
        (
            "comment without class",
            true,
            statement(READ, "id=a,d=900,cluster=0"),
            1,
        ),
        (
            "comment without wait",
            true,
            statement(READ, "id=b,c=search,cluster=0"),
            1,
        ),
        (
            "comment without group",
            true,
            statement(READ, "id=c,c=search,d=900"),
            1,
        ),
        (
            "wait that is no number",
            true,
            statement(READ, "id=d,c=search,d=x,cluster=0"),
            1,
        ),
        (
            "unknown class",
            true,
            statement(READ, "id=e,c=none,d=900,cluster=0"),
            1,
        ),
        (
            "unknown group",
            true,
            statement(READ, "id=f,c=search,d=900,cluster=7"),
            1,
        ),
        (
            "no time left",
            true,
            statement(READ, "id=g,c=search,d=0,cluster=0"),
            1,
        ),
        (
            "served read",
            true,
            statement(READ, "id=h,c=search,d=20000,cluster=0,k=1"),
            1,
        ),
        (
            "served write",
            true,
            statement(WRITE, "id=i,c=booking,d=20000,cluster=0,k=1"),
            1,
        ),
        (
            "write that the database fails",
            true,
            statement("INSERT FAIL", "id=j,c=booking,d=20000,cluster=0"),
            1,
        ),
        (
            "read that the databases fail",
            true,
            statement("SELECT FAIL", "id=l,c=search,d=20000,cluster=0"),
            1,
        ),
    ]
}

#[test]
fn client_answers_match_record() {
    let (tell, _seen) = channel();
    let primary = Database::start(true, true, &tell, instead);
    let replica = Database::start(false, true, &tell, instead);
    let nowhere = listen().local_addr().expect("bound");
    let (gateway, log) = staged([primary.address, replica.address], nowhere, |config| config);
    let mut seen = String::new();
    for (name, greeted, bytes, answers) in message_cases().into_iter().chain(request_cases()) {
        writeln!(
            seen,
            "{name}: {}",
            exchange(&gateway, greeted, &bytes, answers)
        )
        .expect("a string");
    }
    let mut client = Client::connect(&gateway);
    client.send(&[0, 0, 0, 8, 4, 210, 22, 47]);
    let mut answer = [0];
    client.0.read_exact(&mut answer).expect("an answer");
    writeln!(seen, "encryption: {}", golden::escaped(&answer)).expect("a string");

    // From here on the databases have statements and do not answer.
    primary.gate.set(false);
    replica.gate.set(false);
    let (mut cancelled, key) = Client::ready_with_key(&gateway);
    cancelled.send(&statement(READ, "id=m,c=search,d=20000,cluster=0"));
    assert!(log.says("send request="), "an attempt is out");
    let other = exchange(
        &gateway,
        true,
        &statement(READ, "id=m,c=search,d=20000,cluster=0"),
        1,
    );
    writeln!(seen, "id of an open request: {other}").expect("a string");
    Client::connect(&gateway).send(&cancel_request(&key));
    writeln!(
        seen,
        "cancelled: {}",
        golden::escaped(&cancelled.answer().1)
    )
    .expect("a string");
    let late = exchange(
        &gateway,
        true,
        &statement(WRITE, "id=n,c=booking,d=400,cluster=0"),
        1,
    );
    writeln!(seen, "write that may have run, out of time: {late}").expect("a string");
    let late = exchange(
        &gateway,
        true,
        &statement(READ, "id=o,c=search,d=400,cluster=0"),
        1,
    );
    writeln!(seen, "read out of time: {late}").expect("a string");
    golden::assert_matches("client-answers.txt", &seen);
}

#[test]
fn rejection_without_primary_matches_record() {
    let (tell, _seen) = channel();
    let databases = [(); 2].map(|()| Database::start(false, true, &tell, instead));
    let nowhere = listen().local_addr().expect("bound");
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
        let places = [databases[0].address, databases[1].address];
        let (gateway, _log) = staged(places, nowhere, change);
        let answer = exchange(
            &gateway,
            true,
            &statement(WRITE, "id=a,c=booking,d=400,cluster=0"),
            1,
        );
        golden::assert_matches(record, &format!("write without a primary: {answer}\n"));
    }
    assert!(databases
        .iter()
        .all(|database| !database.primary.load(Ordering::SeqCst)));
}

/// What comes on a connection up to its end, or until nothing has come for a moment.
fn read_all(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream
        .set_read_timeout(Some(Duration::from_millis(700)))
        .expect("set");
    stream.write_all(bytes).expect("sent");
    let mut all = Vec::new();
    let mut part = [0; 4096];
    while let Ok(read @ 1..) = stream.read(&mut part) {
        all.extend(&part[..read]);
    }
    golden::escaped(&all)
}

/// Numbers that differ from run to run, with nothing in their place.
fn without_measures(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find(|c: char| c.is_ascii_digit()) {
        let measure = rest[..at].ends_with("utilization\\\":") || rest[..at].ends_with("rps\\\":");
        let digits = rest[at..]
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(rest.len() - at);
        out += &rest[..at];
        out += if measure { "_" } else { &rest[at..at + digits] };
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
    let place =
        Plan::beside(&fleet, 0, env!("CARGO_BIN_EXE_asterreel").into()).expect("free ports");
    let postgres = asterreel_testbench::gateway::free(1).expect("a free port")[0];
    let extra = format!("postgres = listener(listen = '{postgres}'),");
    let plan = Plan {
        extra,
        sockets: 256,
        ..place
    };
    let gateway = Rigged::start(&plan).expect("started");
    let began = Instant::now();
    let ready = |text: &str| text.starts_with("ready up 100%");
    while !TcpStream::connect(plan.agent).is_ok_and(|_| ready(&read_all(plan.agent, b""))) {
        assert!(began.elapsed() < PATIENCE, "never ready");
    }
    let mut seen = String::new();
    for text in ["", "\n", "group 0\n", "0\n", "group 99\n", "group x\n"] {
        writeln!(
            seen,
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
        let answer = without_measures(&read_all(plan.http, &get(path)));
        writeln!(seen, "http {path}: {answer}").expect("a string");
    }
    let post = b"POST /livez HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    writeln!(
        seen,
        "http post: {}",
        without_measures(&read_all(plan.http, post))
    )
    .expect("a string");
    writeln!(seen, "postgres: {}", read_all(postgres, &startup())).expect("a string");
    writeln!(
        seen,
        "postgres, old: {}",
        read_all(postgres, &[0, 0, 0, 8, 0, 2, 0, 0])
    )
    .expect("a string");
    drop(gateway);
    golden::assert_matches("health-answers.txt", &seen);
}

//! Health answers over sockets: a gateway process in front of the testbench's databases, checked as balancers check it,
//! also under a flood of connections and without free file descriptors.

use asterreel_testbench::balancer::Check;
use asterreel_testbench::fleet::{Fleet, Shape};
use asterreel_testbench::gateway::{free, Gateway, Plan};
use bytes::Bytes;
use nix::sys::signal::Signal;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longer than any expected answer takes even on a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const PROGRAM: &str = env!("CARGO_BIN_EXE_asterreel");

/// A running gateway and the databases behind it.
struct TestBed {
    fleet: Arc<Fleet>,
    plan: Plan,
    gateway: Gateway,
}

fn plan(fleet: &Fleet, extra: &str) -> Plan {
    let plan = Plan::beside(fleet, 0, PROGRAM.into()).expect("free ports");
    Plan {
        extra: extra.into(),
        sockets: 256,
        ..plan
    }
}

fn test_bed(extra: &str) -> TestBed {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let plan = plan(&fleet, extra);
    let gateway = Gateway::start(&plan).expect("started");
    let test_bed = TestBed {
        fleet,
        plan,
        gateway,
    };
    test_bed.wait_for_agent("", |line| line.starts_with("ready up 100%"));
    test_bed
}

impl TestBed {
    fn agent(&self, text: &str) -> String {
        let check = Check::Agent(self.plan.agent, text.into());
        check.run(ANSWER_TIMEOUT).map_or_else(
            |error| error.to_string(),
            |found| format!("{} {}", found.state_text, found.weight),
        )
    }

    /// Waits until the reply line of the agent satisfies `wanted`.
    #[track_caller]
    fn wait_for_agent(&self, text: &str, wanted: impl Fn(&str) -> bool) -> String {
        wait_for(|| {
            let line = exchange(self.plan.agent, text.as_bytes());
            wanted(&line).then_some(line)
        })
    }

    fn get(&self, path: &str) -> String {
        exchange(
            self.plan.http,
            format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes(),
        )
    }
}

#[track_caller]
fn wait_for<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(
            began.elapsed() < ANSWER_TIMEOUT,
            "the expected state was not reached within {ANSWER_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends `bytes` and reads to the end; returns what was read before an error.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut text = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(ANSWER_TIMEOUT));
        let _ = stream.write_all(bytes);
        let _ = stream.read_to_end(&mut text);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Sends one query on a new connection; returns the message tags of its answer.
fn request(client: SocketAddr, statement: &str) -> String {
    let mut stream = TcpStream::connect(client).expect("connected");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    let startup = b"\0\0\0\x22\0\x03\0\0user\0web\0database\0orders\0\0";
    let query = asterreel_testbench::database::message(b'Q', format!("{statement}\0").as_bytes());
    stream.write_all(startup).expect("sent");
    stream.write_all(&query).expect("sent");
    let (mut tags, mut ready_messages) = (String::new(), 0);
    while ready_messages < 2 {
        let mut tag = [0];
        stream.read_exact(&mut tag).expect("an answer");
        asterreel_testbench::database::read_body(&mut stream).expect("whole");
        ready_messages += i32::from(tag[0] == b'Z');
        tags.push(tag[0].into());
    }
    tags.rsplit_once("KZ")
        .map_or(String::new(), |(_, tags)| tags.to_owned())
}

fn search(client: SocketAddr, id: &str) -> String {
    request(
        client,
        &format!(
            "SELECT payload FROM entries WHERE ref = '1' /* id={id},c=search,d=1200,cluster=0 */"
        ),
    )
}

fn asterreel(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("it runs")
}

/// The drain is announced also for a group without a primary, and SIGHUP during the drain does not cancel it.
#[test]
fn drain_is_announced_while_requests_are_still_accepted() {
    let mut test_bed = test_bed("drain = drain(announce_ms = 2000),");
    assert!(test_bed.get("/readyz").starts_with("HTTP/1.1 200"));
    test_bed.fleet.elect(None);
    let line = test_bed.wait_for_agent("group 0\n", |line| !line.starts_with("ready up 100%"));
    assert!(
        line.starts_with("ready up 40%"),
        "a group without a primary still serves reads: {line}"
    );
    assert!(test_bed
        .get("/health/groups/0")
        .contains("\"reason\":\"no-primary\""));

    test_bed.gateway.signal(Signal::SIGTERM).expect("sent");
    test_bed.wait_for_agent("", |line| line.starts_with("drain"));
    assert!(
        test_bed.get("/livez").starts_with("HTTP/1.1 200"),
        "a draining gateway is alive"
    );
    assert_eq!(
        search(test_bed.plan.client, "a"),
        "TDCZ",
        "a client that was sent before the balancer detected the drain is served"
    );
    test_bed.gateway.signal(Signal::SIGHUP).expect("sent");
    test_bed.fleet.elect(Some(0));
    let reloaded = test_bed.gateway.logged(0, ANSWER_TIMEOUT, |line| {
        line["message"] == "operator's file read again"
    });
    assert!(reloaded.is_some());
    assert_eq!(test_bed.agent("group 0\n"), "drain 0");
    assert!(test_bed
        .get("/readyz")
        .contains("x-envoy-immediate-health-check-fail: true"));
    assert!(test_bed.gateway.wait(ANSWER_TIMEOUT).expect("it ends"));
}

#[test]
fn connection_flood_on_health_ports_blocks_no_request_or_check() {
    let test_bed = test_bed("allow = ['127.0.0.1/32', '127.0.0.2/32'],\n  connections = 16,");
    let (before, _) = test_bed.gateway.resource_usage().expect("it runs");
    let mut flood = Vec::new();
    for number in 0..500 {
        let address = if number % 2 == 0 {
            test_bed.plan.agent
        } else {
            test_bed.plan.http
        };
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        // Nothing, one byte, a line without an end, an incomplete request.
        let text: &[u8] = match number % 4 {
            0 => b"",
            1 => b"G",
            2 => b"111111111111111111111111111111111111111111111111111111111111111111111111111111111111",
            _ => b"GET /health HTTP/1.1\r\nx: ",
        };
        let _ = stream.write_all(text);
        flood.push(stream);
    }
    // One client sends a megabyte without a line end.
    if let Ok(mut stream) = TcpStream::connect(test_bed.plan.agent) {
        let _ = stream.write_all(&vec![b'1'; 1 << 20]);
    }
    let (held, _) = test_bed.gateway.resource_usage().expect("it runs");
    assert!(
        held <= before + 16 + 4,
        "{held} descriptors, {before} before"
    );
    // A balancer at another address is served in spite of the flood.
    let line = wait_for(|| {
        let stream = socket_from("127.0.0.2", test_bed.plan.agent)?;
        let line = read_all(stream);
        line.starts_with("ready up").then_some(line)
    });
    assert!(line.contains("up"));
    for number in 0..20 {
        assert_eq!(search(test_bed.plan.client, &format!("r{number}")), "TDCZ");
    }
    // A connection from an address that is not allowed is closed without an answer.
    let not_allowed = socket_from("127.0.0.3", test_bed.plan.agent).expect("it connects");
    assert_eq!(read_all(not_allowed), "");
    drop(flood);
    test_bed.wait_for_agent("", |line| line.starts_with("ready up"));
}

/// Connects from the address `from`, which the standard library cannot choose.
fn socket_from(from: &str, to: SocketAddr) -> Option<TcpStream> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()
        .ok()?;
    runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().ok()?;
        socket.bind(SocketAddr::new(from.parse().ok()?, 0)).ok()?;
        let stream = socket.connect(to).await.ok()?.into_std().ok()?;
        stream.set_nonblocking(false).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        Some(stream)
    })
}

fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn health_answers_without_free_descriptors_and_gives_the_reason() {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let mut plan = plan(&fleet, "connections = 8,");
    // The process limit is below the configured number of sockets, so that accepting fails for clients and for health
    // checks.
    plan.before = Some("ulimit -n 60".into());
    plan.sockets = 512;
    let gateway = Gateway::start(&plan).expect("started");
    let test_bed = TestBed {
        fleet,
        plan,
        gateway,
    };
    test_bed.wait_for_agent("", |line| line.starts_with("ready up 100%"));
    // Idle clients connect until no connection is accepted any more.
    let mut clients = Vec::new();
    let body = wait_for(|| {
        clients.extend(TcpStream::connect(test_bed.plan.client));
        let body = test_bed.get("/health");
        body.contains("\"reason\":\"accept\"").then_some(body)
    });
    assert!(
        body.starts_with("HTTP/1.1 200") && body.contains("x-asterreel-weight: 10"),
        "{body}"
    );
    drop(clients);
    test_bed.wait_for_agent("", |line| line.starts_with("ready up 100%"));
}

#[test]
fn gateway_without_discovery_starts_after_the_configured_wait() {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let mut plan = plan(&fleet, "knobs = knobs(start_wait_ms = 1500),");
    // No discovery service listens on this port.
    plan.discovery = free(1).expect("a port")[0];
    let gateway = Gateway::start(&plan).expect("started");
    let began = Instant::now();
    let test_bed = TestBed {
        fleet,
        plan,
        gateway,
    };
    test_bed.wait_for_agent("", |line| line.starts_with("down #start"));
    assert!(test_bed.get("/startupz").starts_with("HTTP/1.1 503"));
    test_bed.wait_for_agent("", |line| line.starts_with("ready up"));
    assert!(began.elapsed() >= Duration::from_millis(1500));
    assert!(test_bed.get("/startupz").starts_with("HTTP/1.1 200"));
    assert_eq!(
        search(test_bed.plan.client, "a"),
        "TDCZ",
        "served from the list in the configuration"
    );
}

#[test]
fn systemd_gets_status_but_no_watchdog_during_a_hang() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("notify");
    let socket = UnixDatagram::bind(&path).expect("bound");
    socket.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let mut plan = plan(&fleet, "notify = True,");
    plan.before = Some(format!(
        "export NOTIFY_SOCKET={} WATCHDOG_USEC=200000",
        path.display()
    ));
    let mut gateway = Gateway::start(&plan).expect("started");
    let next = || {
        let mut bytes = [0; 512];
        let count = socket.recv(&mut bytes).expect("a notification");
        String::from_utf8_lossy(&bytes[..count]).into_owned()
    };
    let wait_for_notification =
        |wanted: &str| wait_for(|| Some(next()).filter(|text| text.contains(wanted)));
    wait_for_notification("READY=1");
    wait_for_notification("STATUS=up, weight 100, fine");
    wait_for_notification("WATCHDOG=1");
    let frozen = gateway.freeze().expect("the worker stops");
    wait_for_notification("STATUS=hung");
    // No notification is sent until the worker continues.
    socket
        .set_read_timeout(Some(Duration::from_millis(600)))
        .expect("set");
    let mut bytes = [0; 512];
    assert!(
        socket.recv(&mut bytes).is_err(),
        "{}",
        String::from_utf8_lossy(&bytes)
    );
    socket.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    drop(frozen);
    wait_for_notification("WATCHDOG=1");
    gateway.signal(Signal::SIGTERM).expect("sent");
    wait_for_notification("STOPPING=1");
    assert!(gateway.wait(ANSWER_TIMEOUT).expect("it ends"));
}

#[test]
fn grpc_check_and_watch_report_groups_and_the_drain() {
    let grpc_address = free(1).expect("a port")[0];
    let test_bed = test_bed(&format!("grpc = listener(listen = '{grpc_address}'),"));
    let address = grpc_address.to_string();
    let probe = |arguments: &[&str]| {
        let all = [
            &[
                "probe",
                &address,
                "--protocol",
                "grpc",
                "--timeout-ms",
                "20000",
            ],
            arguments,
        ]
        .concat();
        let output = asterreel(&all);
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let (code, text) = probe(&[]);
    assert!(code == Some(0) && text.contains("SERVING"), "{text}");
    assert_eq!(probe(&["--group", "0"]).0, Some(0));
    let (code, text) = probe(&["--group", "9"]);
    assert!(
        code == Some(1) && text.contains("unknown service"),
        "{text}"
    );

    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let statuses = runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(grpc_address)
            .await
            .expect("connected");
        let (client, connection) = h2::client::handshake(stream).await.expect("a handshake");
        tokio::spawn(connection);
        let mut client = client.ready().await.expect("ready");
        let request =
            http::Request::post(format!("http://{grpc_address}/grpc.health.v1.Health/Watch"));
        let request = request
            .header("content-type", "application/grpc")
            .body(())
            .expect("good");
        let (answer, mut body) = client.send_request(request, false).expect("sent");
        body.send_data(Bytes::from_static(b"\0\0\0\0\x03\x0a\x010"), true)
            .expect("sent");
        let mut body = answer.await.expect("an answer").into_body();
        let first = body.data().await.expect("a message").expect("whole");
        test_bed.gateway.signal(Signal::SIGTERM).expect("sent");
        let second = body.data().await.expect("a message").expect("whole");
        [first, second]
    });
    assert_eq!(
        statuses,
        [&b"\0\0\0\0\x02\x08\x01"[..], b"\0\0\0\0\x02\x08\x02"]
    );
}

#[test]
fn commands_report_results_and_exit_as_documented() {
    let test_bed = test_bed("");
    let (agent, http) = (
        test_bed.plan.agent.to_string(),
        test_bed.plan.http.to_string(),
    );
    let unused = free(1).expect("a port")[0].to_string();
    let client = test_bed.plan.client.to_string();
    let cases: &[(&[&str], i32, &str)] = &[
        (&["probe", &http], 0, "ready (up 100 fine)"),
        (
            &["probe", &agent, "--protocol", "agent", "--json"],
            0,
            "\"verdict\":\"ready\"",
        ),
        (
            &["probe", &agent, "--protocol", "agent", "--group", "7"],
            1,
            "unknown-group",
        ),
        (&["probe", &http, "--group", "7"], 4, "404"),
        (&["probe", &unused, "--timeout-ms", "500"], 3, "no answer"),
        (&["probe", "nowhere"], 2, ""),
        (&["probe", &client, "--protocol", "postgres"], 0, "greeted"),
        (&["health", &http], 0, "group 0"),
        (&["health", &http, "--json"], 0, "\"serviceId\":\"rig\""),
        (&["health", &unused], 3, ""),
        (&["nonsense"], 2, ""),
        (&["--help"], 0, "probe"),
    ];
    for (arguments, code, wanted) in cases {
        let output = asterreel(arguments);
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(
            output.status.code(),
            Some(*code),
            "{arguments:?}: {text}{}",
            String::from_utf8_lossy(&output.stderr)
        );
        assert!(text.contains(wanted), "{arguments:?}: {text}");
    }
    let check = |operator: &str| {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("operator.star");
        std::fs::write(&path, operator).expect("written");
        let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/config.json");
        let mut command = Command::new(PROGRAM);
        let command = command
            .env("RELAY_CONFIG", config)
            .args(["check", "--operator"])
            .arg(&path);
        let output = command.output().expect("it runs");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(
        check("health(http = listener(listen = '127.0.0.1:1'))").0,
        Some(0)
    );
    let (code, text) = check("health(\n  http = listener(listen = '127.0.0.1:6433'))");
    assert!(
        code == Some(1) && text.contains("operator.star:2:19: health.http.listen"),
        "{text}"
    );
}

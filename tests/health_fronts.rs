//! Health on sockets: a real gateway, in front of the testbench's databases, asked as balancers ask, and bothered.

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

/// As long as no machine, however crowded, should take.
const PATIENCE: Duration = Duration::from_secs(30);
const PROGRAM: &str = env!("CARGO_BIN_EXE_asterreel");

struct Scene {
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

fn scene(extra: &str) -> Scene {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let plan = plan(&fleet, extra);
    let gateway = Gateway::start(&plan).expect("started");
    let scene = Scene {
        fleet,
        plan,
        gateway,
    };
    scene.until_agent("", |line| line.starts_with("ready up 100%"));
    scene
}

impl Scene {
    fn agent(&self, text: &str) -> String {
        let check = Check::Agent(self.plan.agent, text.into());
        check.run(PATIENCE).map_or_else(
            |error| error.to_string(),
            |found| format!("{} {}", found.word, found.weight),
        )
    }

    /// Waits until the agent's own line satisfies this.
    #[track_caller]
    fn until_agent(&self, text: &str, wanted: impl Fn(&str) -> bool) -> String {
        until(|| {
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
fn until<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(began.elapsed() < PATIENCE, "it never came to that");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends, and reads to the end; what went wrong is nothing said.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut text = Vec::new();
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _ = stream.set_read_timeout(Some(PATIENCE));
        let _ = stream.write_all(bytes);
        let _ = stream.read_to_end(&mut text);
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// One request on a connection of its own: the tags of its answer.
fn request(client: SocketAddr, statement: &str) -> String {
    let mut stream = TcpStream::connect(client).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let startup = b"\0\0\0\x22\0\x03\0\0user\0web\0database\0orders\0\0";
    let query = asterreel_testbench::database::message(b'Q', format!("{statement}\0").as_bytes());
    stream.write_all(startup).expect("sent");
    stream.write_all(&query).expect("sent");
    let (mut tags, mut readies) = (String::new(), 0);
    while readies < 2 {
        let mut tag = [0];
        stream.read_exact(&mut tag).expect("an answer");
        asterreel_testbench::database::read_body(&mut stream).expect("whole");
        readies += i32::from(tag[0] == b'Z');
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

#[test]
fn a_drain_is_announced_while_requests_are_taken_also_without_a_primary_and_through_sighup() {
    let mut scene = scene("drain = drain(announce_ms = 2000),");
    assert!(scene.get("/readyz").starts_with("HTTP/1.1 200"));
    scene.fleet.elect(None);
    let line = scene.until_agent("group 0\n", |line| !line.starts_with("ready up 100%"));
    assert!(
        line.starts_with("ready up 40%"),
        "a group without a primary still serves reads: {line}"
    );
    assert!(scene
        .get("/health/groups/0")
        .contains("\"reason\":\"no-primary\""));

    scene.gateway.signal(Signal::SIGTERM).expect("sent");
    scene.until_agent("", |line| line.starts_with("drain"));
    assert!(
        scene.get("/livez").starts_with("HTTP/1.1 200"),
        "it is alive, and owes answers"
    );
    assert_eq!(
        search(scene.plan.client, "a"),
        "TDCZ",
        "a client that was sent before the word came is served"
    );
    scene.gateway.signal(Signal::SIGHUP).expect("sent");
    scene.fleet.elect(Some(0));
    let again = scene.gateway.logged(0, PATIENCE, |line| {
        line["message"] == "operator's file read again"
    });
    assert!(again.is_some());
    assert_eq!(scene.agent("group 0\n"), "drain 0");
    assert!(scene
        .get("/readyz")
        .contains("x-envoy-immediate-health-check-fail: true"));
    assert!(scene.gateway.wait(PATIENCE).expect("it ends"));
}

#[test]
fn a_crowd_on_the_health_ports_costs_no_request_a_descriptor_and_no_balancer_its_check() {
    let scene = scene("allow = ['127.0.0.1/32', '127.0.0.2/32'],\n  connections = 16,");
    let (before, _) = scene.gateway.holds().expect("it runs");
    let mut crowd = Vec::new();
    for number in 0..500 {
        let place = if number % 2 == 0 {
            scene.plan.agent
        } else {
            scene.plan.http
        };
        let Ok(mut stream) = TcpStream::connect(place) else {
            continue;
        };
        // Nothing, a byte, a line that does not end, half a request.
        let text: &[u8] = match number % 4 {
            0 => b"",
            1 => b"G",
            2 => b"111111111111111111111111111111111111111111111111111111111111111111111111111111111111",
            _ => b"GET /health HTTP/1.1\r\nx: ",
        };
        let _ = stream.write_all(text);
        crowd.push(stream);
    }
    // One that never ends its line, a megabyte long.
    if let Ok(mut stream) = TcpStream::connect(scene.plan.agent) {
        let _ = stream.write_all(&vec![b'1'; 1 << 20]);
    }
    let (held, _) = scene.gateway.holds().expect("it runs");
    assert!(
        held <= before + 16 + 4,
        "{held} descriptors, {before} before"
    );
    // A balancer whose checks come from elsewhere is served as if nobody were there.
    let line = until(|| {
        let from = socket_from("127.0.0.2", scene.plan.agent)?;
        let line = read_all(from);
        line.starts_with("ready up").then_some(line)
    });
    assert!(line.contains("up"));
    for number in 0..20 {
        assert_eq!(search(scene.plan.client, &format!("r{number}")), "TDCZ");
    }
    // Whoever is not allowed is closed without a word.
    let stranger = socket_from("127.0.0.3", scene.plan.agent).expect("it connects");
    assert_eq!(read_all(stranger), "");
    drop(crowd);
    scene.until_agent("", |line| line.starts_with("ready up"));
}

/// A connection from this address; the standard library can't choose one.
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
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(stream)
    })
}

fn read_all(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn with_no_descriptor_left_health_still_answers_and_says_what_is_wrong() {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let mut plan = plan(&fleet, "connections = 8,");
    // The system allows fewer than the configuration says: accepting fails, for clients and for health.
    plan.before = Some("ulimit -n 60".into());
    plan.sockets = 512;
    let gateway = Gateway::start(&plan).expect("started");
    let scene = Scene {
        fleet,
        plan,
        gateway,
    };
    scene.until_agent("", |line| line.starts_with("ready up 100%"));
    // Ever more clients that say nothing, until nobody gets in.
    let mut clients = Vec::new();
    let body = until(|| {
        clients.extend(TcpStream::connect(scene.plan.client));
        let body = scene.get("/health");
        body.contains("\"reason\":\"accept\"").then_some(body)
    });
    assert!(
        body.starts_with("HTTP/1.1 200") && body.contains("x-asterreel-weight: 10"),
        "{body}"
    );
    drop(clients);
    scene.until_agent("", |line| line.starts_with("ready up 100%"));
}

#[test]
fn with_discovery_down_from_the_start_it_says_starting_until_the_stated_wait_is_over() {
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let mut plan = plan(&fleet, "knobs = knobs(start_wait_ms = 1500),");
    // Nobody listens there.
    plan.discovery = free(1).expect("a port")[0];
    let gateway = Gateway::start(&plan).expect("started");
    let began = Instant::now();
    let scene = Scene {
        fleet,
        plan,
        gateway,
    };
    scene.until_agent("", |line| line.starts_with("down #start"));
    assert!(scene.get("/startupz").starts_with("HTTP/1.1 503"));
    scene.until_agent("", |line| line.starts_with("ready up"));
    assert!(began.elapsed() >= Duration::from_millis(1500));
    assert!(scene.get("/startupz").starts_with("HTTP/1.1 200"));
    assert_eq!(
        search(scene.plan.client, "a"),
        "TDCZ",
        "from the list it was started with"
    );
}

#[test]
fn systemd_hears_ready_status_and_stopping_and_no_watchdog_from_a_path_that_stands_still() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("notify");
    let socket = UnixDatagram::bind(&path).expect("bound");
    socket.set_read_timeout(Some(PATIENCE)).expect("set");
    let fleet = Fleet::start(Shape::default()).expect("a fleet");
    let mut plan = plan(&fleet, "notify = True,");
    plan.before = Some(format!(
        "export NOTIFY_SOCKET={} WATCHDOG_USEC=200000",
        path.display()
    ));
    let mut gateway = Gateway::start(&plan).expect("started");
    let next = || {
        let mut bytes = [0; 512];
        let count = socket.recv(&mut bytes).expect("word");
        String::from_utf8_lossy(&bytes[..count]).into_owned()
    };
    let hear = |wanted: &str| until(|| Some(next()).filter(|word| word.contains(wanted)));
    hear("READY=1");
    hear("STATUS=up, weight 100, fine");
    hear("WATCHDOG=1");
    let frozen = gateway.freeze().expect("the worker stops");
    hear("STATUS=hung");
    // From here on none, until it moves again.
    socket
        .set_read_timeout(Some(Duration::from_millis(600)))
        .expect("set");
    let mut bytes = [0; 512];
    assert!(
        socket.recv(&mut bytes).is_err(),
        "{}",
        String::from_utf8_lossy(&bytes)
    );
    socket.set_read_timeout(Some(PATIENCE)).expect("set");
    drop(frozen);
    hear("WATCHDOG=1");
    gateway.signal(Signal::SIGTERM).expect("sent");
    hear("STOPPING=1");
    assert!(gateway.wait(PATIENCE).expect("it ends"));
}

#[test]
fn grpc_check_and_watch_tell_a_group_and_the_end_of_its_service() {
    let place = free(1).expect("a port")[0];
    let scene = scene(&format!("grpc = listener(listen = '{place}'),"));
    let address = place.to_string();
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
    let told = runtime.block_on(async {
        let stream = tokio::net::TcpStream::connect(place)
            .await
            .expect("connected");
        let (client, connection) = h2::client::handshake(stream).await.expect("greeted");
        tokio::spawn(connection);
        let mut client = client.ready().await.expect("ready");
        let request = http::Request::post(format!("http://{place}/grpc.health.v1.Health/Watch"));
        let request = request
            .header("content-type", "application/grpc")
            .body(())
            .expect("good");
        let (answer, mut body) = client.send_request(request, false).expect("sent");
        body.send_data(Bytes::from_static(b"\0\0\0\0\x03\x0a\x010"), true)
            .expect("sent");
        let mut body = answer.await.expect("an answer").into_body();
        let first = body.data().await.expect("a message").expect("whole");
        scene.gateway.signal(Signal::SIGTERM).expect("sent");
        let second = body.data().await.expect("a message").expect("whole");
        [first, second]
    });
    assert_eq!(
        told,
        [&b"\0\0\0\0\x02\x08\x01"[..], b"\0\0\0\0\x02\x08\x02"]
    );
}

#[test]
fn the_command_line_says_what_it_found_and_exits_as_documented() {
    let scene = scene("");
    let (agent, http) = (scene.plan.agent.to_string(), scene.plan.http.to_string());
    let nobody = free(1).expect("a port")[0].to_string();
    let client = scene.plan.client.to_string();
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
        (&["probe", &nobody, "--timeout-ms", "500"], 3, "no answer"),
        (&["probe", "nowhere"], 2, ""),
        (&["probe", &client, "--protocol", "postgres"], 0, "greeted"),
        (&["health", &http], 0, "group 0"),
        (&["health", &http, "--json"], 0, "\"serviceId\":\"rig\""),
        (&["health", &nobody], 3, ""),
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

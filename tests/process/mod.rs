//! Starts the gateway as a process in front of stand-in databases and discovery, and provides a PostgreSQL client.
#![allow(dead_code)]

use asterreel_testbench::{bounded, database};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The most that tests wait for anything to happen: far longer than it takes on a slow machine.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// The text of the example configuration, in which tests replace parts.
pub(crate) const EXAMPLE: &str = include_str!("../../examples/config.json");

/// A gateway's process, which is killed when this is dropped.
pub(crate) struct Gateway {
    pub process: Child,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The statements that the databases received.
    pub statements: Receiver<Vec<u8>>,
    /// The configuration file that the process was started with, which tests rewrite.
    pub file: tempfile::NamedTempFile,
    /// The text of the configuration file at the start.
    pub config: String,
}

impl Gateway {
    /// Sends a signal, given as an option of kill(1), such as `-TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(name)
            .arg(self.process.id().to_string())
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub(crate) fn reload(&self, config: &str) {
        std::fs::write(self.file.path(), config).expect("written");
        self.signal("-HUP");
    }

    /// Waits for the process to exit and asserts that its status is success.
    pub(crate) fn wait_for_success(&mut self) {
        assert!(bounded::exit(&mut self.process, WAIT_LIMIT)
            .expect("the gateway exits")
            .success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A listener on a free port of the loopback interface.
pub(crate) fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Starts a gateway in front of a primary and a replica that answer at once.
pub(crate) fn start() -> Gateway {
    start_with(1000, 1024, |_| None)
}

/// Starts a gateway whose databases withhold answers while more than `unread` statements have not been taken from
/// [`Gateway::statements`]. `sockets` is the gateway's descriptor limit. Where `last_answer` returns bytes for a statement,
/// the database sends them in place of its answer and closes the connection.
pub(crate) fn start_with(
    unread: usize,
    sockets: u32,
    last_answer: database::AnswerOverride,
) -> Gateway {
    start_with_log(unread, sockets, last_answer, Stdio::null())
}

/// Like [`start_with`], with the gateway's log written to `log`.
pub(crate) fn start_with_log(
    unread: usize,
    sockets: u32,
    last_answer: database::AnswerOverride,
    log: Stdio,
) -> Gateway {
    let (sender, statements) = sync_channel(unread);
    // Long enough that requests do not reach their deadline on a slow machine.
    let config = EXAMPLE.replace("\"DeadlineUs\": 1200000", "\"DeadlineUs\": 20000000");
    let mut config = config.replace("1024", &sockets.to_string());
    for (port, role) in [
        ("5501", database::Role::Primary),
        ("5502", database::Role::Replica),
    ] {
        let (listener, sender) = (listen(), sender.clone());
        let address = listener.local_addr().expect("bound").to_string();
        config = config.replace(&format!("127.0.0.1:{port}"), &address);
        thread::spawn(move || {
            database::serve_without_delay(&listener, role, Some(sender), last_answer)
        });
    }
    let list = endpoint_list_of(&config);
    let discovery = listen();
    config = config.replace(
        "127.0.0.1:8500",
        &discovery.local_addr().expect("bound").to_string(),
    );
    thread::spawn(move || database::discovery(&discovery, &list));
    let address = unique_address();
    config = config.replace("127.0.0.1:6433", &address.to_string());
    spawn(config, address, statements, log)
}

/// Starts the gateway's process with this configuration, written to a temporary file.
pub(crate) fn spawn(
    config: String,
    address: SocketAddr,
    statements: Receiver<Vec<u8>>,
    log: Stdio,
) -> Gateway {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(config.as_bytes()).expect("written");
    let process = Command::new(env!("CARGO_BIN_EXE_asterreel"))
        .env("RELAY_CONFIG", file.path())
        .env("RELAY_LOG", "debug")
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("the gateway starts");
    Gateway {
        process,
        address,
        statements,
        file,
        config,
    }
}

/// A loopback address that no other gateway of this or another test process uses, so that its port cannot already be
/// taken by another test or by a client's connection.
pub(crate) fn unique_address() -> SocketAddr {
    static STARTED: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((
        [127, 64 + STARTED.fetch_add(1, Ordering::Relaxed), high, low],
        6433,
    ))
}

/// A gate that delays a database's answers while it is closed.
#[derive(Clone)]
pub(crate) struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// A gate that is open or closed at first.
    pub(crate) fn new(open: bool) -> Gate {
        Gate(Arc::new((Mutex::new(open), Condvar::new())))
    }

    /// Opens or closes the gate.
    pub(crate) fn set(&self, open: bool) {
        *self.0 .0.lock().expect("not poisoned") = open;
        self.0 .1.notify_all();
    }

    /// Blocks while the gate is closed.
    pub(crate) fn wait_until_open(&self) {
        let closed = self.0 .0.lock().expect("not poisoned");
        drop(
            self.0
                 .1
                .wait_while(closed, |open| !*open)
                .expect("not poisoned"),
        );
    }
}

/// A stand-in database whose role, delays and answers the test controls.
#[derive(Clone)]
pub(crate) struct Database {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it is the primary.
    pub primary: Arc<AtomicBool>,
    /// Delays answers to statements other than load reports while closed.
    pub gate: Gate,
    /// Delays the startup of new connections while closed.
    pub startups: Gate,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// The answer to a statement that replaces the usual one; the connection stays open.
    pub override_answer: fn(&[u8]) -> Option<Vec<u8>>,
}

impl Database {
    /// Starts serving on a thread. Each statement other than `SHOW usage`, which asks for a load report, is sent to
    /// `statements` before it waits at the gate.
    pub(crate) fn start(
        primary: bool,
        open: bool,
        statements: &Sender<Vec<u8>>,
        override_answer: fn(&[u8]) -> Option<Vec<u8>>,
    ) -> Database {
        let listener = listen();
        let address = listener.local_addr().expect("bound");
        let primary = Arc::new(AtomicBool::new(primary));
        let database = Database {
            address,
            primary,
            gate: Gate::new(open),
            startups: Gate::new(true),
            connections: Arc::default(),
            override_answer,
        };
        let (server, statements) = (database.clone(), statements.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let (server, statements) = (server.clone(), statements.clone());
                thread::spawn(move || server.serve(client, &statements));
            }
        });
        database
    }

    fn serve(&self, client: TcpStream, statements: &Sender<Vec<u8>>) -> std::io::Result<()> {
        let connection = client.try_clone()?;
        self.connections
            .lock()
            .expect("not poisoned")
            .push(client.try_clone()?);
        self.startups.wait_until_open();
        let ended = database::session(client, |statement| self.reply(statement, statements));
        // The clone in `connections` would keep the connection open.
        let _ = connection.shutdown(Shutdown::Both);
        ended
    }

    /// Waits until the gateway has opened this many connections since the last call of [`Database::disconnect_all`].
    pub(crate) fn wait_for_connections(&self, count: usize) {
        let until = Instant::now() + WAIT_LIMIT;
        while self.connections.lock().expect("not poisoned").len() < count {
            assert!(Instant::now() < until, "the gateway opens no connections");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Ends all connections.
    pub(crate) fn disconnect_all(&self) {
        let mut connections = self.connections.lock().expect("not poisoned");
        for connection in connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn reply(&self, statement: &[u8], statements: &Sender<Vec<u8>>) -> database::Reply {
        let report_requested = statement == b"SHOW usage";
        if !report_requested {
            let _ = statements.send(statement.to_vec());
            self.gate.wait_until_open();
        }
        let primary = self.primary.load(Ordering::SeqCst);
        let role = if primary {
            database::Role::Primary
        } else {
            database::Role::Replica
        };
        let position = asterreel_testbench::now() / 1000;
        let answer = if report_requested {
            database::report(role, position, 0.1)
        } else if let Some(answer) = (self.override_answer)(statement) {
            answer
        } else if statement.starts_with(b"INSERT") && !primary {
            database::error("25006", "this is a replica")
        } else {
            database::row(b"\x9f\x03toy")
        };
        database::Reply::Answer([answer, database::answer_end(role, position)].concat())
    }
}

/// Starts a gateway in front of these two databases, with its discovery at `discovery` and its configuration passed
/// through `change`. Deadlines are raised to 20 s so that requests do not reach them on a slow machine.
pub(crate) fn start_with_databases(
    databases: [SocketAddr; 2],
    discovery: SocketAddr,
    change: impl Fn(String) -> String,
) -> (Gateway, Log) {
    let address = unique_address();
    let mut config = EXAMPLE
        .replace("\"DeadlineUs\": 1200000", "\"DeadlineUs\": 20000000")
        .replace("\"DeadlineUs\": 3000000", "\"DeadlineUs\": 20000000")
        .replace("127.0.0.1:8500", &discovery.to_string())
        .replace("127.0.0.1:6433", &address.to_string());
    for (port, database) in ["5501", "5502"].into_iter().zip(databases) {
        config = config.replace(&format!("127.0.0.1:{port}"), &database.to_string());
    }
    let mut gateway = spawn(change(config), address, sync_channel(1).1, Stdio::piped());
    let log = Log::of(&mut gateway);
    (gateway, log)
}

/// The endpoint list in a configuration, on one line.
pub(crate) fn endpoint_list_of(config: &str) -> String {
    let from = config.find("{\"revision\"").expect("a list");
    let to = config.find("]},").expect("its end") + 2;
    config[from..to].replace('\n', " ")
}

/// The lines that a gateway logs, at level debug and above.
pub(crate) struct Log(Receiver<String>);

impl Log {
    fn of(gateway: &mut Gateway) -> Log {
        let lines = BufReader::new(gateway.process.stderr.take().expect("piped")).lines();
        let (sender, logged) = channel();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        Log(logged)
    }

    /// Waits up to 20 s for a line that contains this text; returns whether one was logged.
    pub(crate) fn wait_for_line(&self, text: &str) -> bool {
        self.wait_for_line_within(text, Duration::from_secs(20))
    }

    /// Waits for a line that contains this text, at most this long; returns whether one was logged.
    pub(crate) fn wait_for_line_within(&self, text: &str, within: Duration) -> bool {
        self.lines_up_to(text, within).is_some()
    }

    /// The unread lines up to and including the first that contains this text; `None` if none is logged in this time.
    pub(crate) fn lines_up_to(&self, text: &str, within: Duration) -> Option<Vec<String>> {
        let (until, mut lines) = (Instant::now() + within, Vec::new());
        while let Ok(line) = self
            .0
            .recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            lines.push(line);
            if lines.last().is_some_and(|line| line.contains(text)) {
                return Some(lines);
            }
        }
        None
    }
}

/// A client's connection to the gateway.
pub(crate) struct Client(pub TcpStream);

/// The startup message of user `web` for the database `orders`.
pub(crate) fn startup() -> Vec<u8> {
    let parameters = b"user\0web\0database\0orders\0\0";
    let length = (parameters.len() as u32 + 8).to_be_bytes();
    [&length[..], &[0, 3, 0, 0], parameters].concat()
}

/// The message of a simple query with this statement.
pub(crate) fn query(statement: &[u8]) -> Vec<u8> {
    database::message(b'Q', &[statement, b"\0"].concat())
}

/// The statement of a read with this request id.
pub(crate) fn read(id: &str) -> Vec<u8> {
    let comment = format!("/* id={id},c=search,d=60000,cluster=0,k=1 */");
    [
        b"SELECT payload FROM entries WHERE ref = '\xfe' ".as_slice(),
        comment.as_bytes(),
    ]
    .concat()
}

impl Client {
    /// Connects, retrying for 10 s until the gateway listens.
    pub(crate) fn connect(gateway: &Gateway) -> Client {
        let mut attempts = 0;
        let stream = loop {
            match TcpStream::connect(gateway.address) {
                Ok(stream) => break stream,
                Err(error) => assert!(attempts < 500, "the gateway does not listen: {error}"),
            }
            attempts += 1;
            thread::sleep(Duration::from_millis(20));
        };
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("set");
        Client(stream)
    }

    /// Connects and completes the startup.
    pub(crate) fn ready(gateway: &Gateway) -> Client {
        let mut client = Client::connect(gateway);
        client.send(&startup());
        client.read_answer();
        client
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("sent");
    }

    /// Reads messages up to ReadyForQuery or the end of the connection; returns their tags and all bytes.
    pub(crate) fn read_answer(&mut self) -> (String, Vec<u8>) {
        let (mut tags, mut bytes) = (String::new(), Vec::new());
        let mut head = [0; 5];
        loop {
            if let Err(end) = self.0.read_exact(&mut head) {
                // A read that timed out does not mean that the connection was closed.
                assert_ne!(
                    end.kind(),
                    ErrorKind::WouldBlock,
                    "the gateway neither answered nor closed the connection"
                );
                break;
            }
            let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            let mut body = vec![0; length - 4];
            self.0.read_exact(&mut body).expect("a complete message");
            bytes.extend_from_slice(&head);
            bytes.extend(body);
            tags.push(char::from(head[0]));
            if head[0] == b'Z' {
                break;
            }
        }
        (tags, bytes)
    }

    /// Connects and completes the startup; returns also the key for cancel requests.
    pub(crate) fn ready_with_key(gateway: &Gateway) -> (Client, Vec<u8>) {
        let mut client = Client::connect(gateway);
        client.send(&startup());
        let (_, session_started) = client.read_answer();
        let at = session_started
            .windows(5)
            .position(|head| head == b"K\0\0\0\x0c")
            .expect("a key");
        (client, session_started[at + 5..at + 13].to_vec())
    }

    /// Reads until the connection is closed; fails if it is reset.
    pub(crate) fn read_to_end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).map(|_| rest)
    }
}

/// A cancel request with this key, which the client sends on a separate connection.
pub(crate) fn cancel_request(key: &[u8]) -> Vec<u8> {
    [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), key].concat()
}

/// The statement of a write with this request id.
pub(crate) fn write(id: &str) -> Vec<u8> {
    format!("INSERT INTO entries VALUES ('k') RETURNING payload /* id={id},c=booking,d=60000,cluster=0 */")
        .into_bytes()
}

/// The SQLSTATE code of the error in an answer.
pub(crate) fn error_code(bytes: &[u8]) -> &[u8] {
    let at = bytes
        .windows(2)
        .position(|field| field == b"\0C")
        .expect("an answer with an error code");
    &bytes[at + 2..at + 7]
}

/// Starts a gateway in a fleet of this size whose endpoint list is pushed by this agent.
pub(crate) fn start_with_push_agent(agent: &TcpListener, fleet: u32) -> Gateway {
    let config = EXAMPLE
        .replace(
            "\"Discovery\": \"subscribe\"",
            "\"Discovery\": \"automatic\"",
        )
        .replace("\"FleetSize\": 1", &format!("\"FleetSize\": {fleet}"))
        .replace(
            "127.0.0.1:8500",
            &agent.local_addr().expect("bound").to_string(),
        )
        .replace("127.0.0.1:6433", "127.0.0.1:0");
    assert!(config.contains(&format!("\"FleetSize\": {fleet}")));
    let address = "127.0.0.1:0".parse().expect("an address");
    spawn(config, address, sync_channel(1).1, Stdio::null())
}

/// Accepts the gateway's next connection to this agent; `None` if there is none within [`WAIT_LIMIT`].
pub(crate) fn accept_call(agent: &TcpListener) -> Option<TcpStream> {
    bounded::accept(agent, WAIT_LIMIT).ok()
}

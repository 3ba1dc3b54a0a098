//! The gateway's process on sockets, to test with: how it is started, and a client.
#![allow(dead_code)]

use asterreel_testbench::{bounded, database as toy};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::mpsc::{channel, sync_channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long anything is waited for: far longer than it takes on a slow machine.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// The example configuration, which tests change by replacing parts of its text.
pub(crate) const EXAMPLE: &str = include_str!("../../examples/config.json");

/// The process of a gateway, killed when dropped.
pub(crate) struct Gateway {
    /// The process.
    pub process: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// The statements that the databases got.
    pub seen: Receiver<Vec<u8>>,
    /// The configuration file and its text.
    pub file: tempfile::NamedTempFile,
    pub config: String,
}

impl Gateway {
    /// Sends a signal, named as for kill(1).
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

    /// Waits for the process to end, and asserts success.
    pub(crate) fn exits_well(&mut self) {
        assert!(bounded::exit(&mut self.process, PATIENCE)
            .expect("it ends")
            .success());
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A listener on a free port.
pub(crate) fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// A gateway in front of a primary and a replica that answer at once.
pub(crate) fn start() -> Gateway {
    start_with(1000, 1024, |_| None)
}

/// A gateway whose databases hold back answers while more than `unseen` statements have not been received from `seen`.
pub(crate) fn start_with(unseen: usize, sockets: u32, spoil: toy::Spoil) -> Gateway {
    start_logging(unseen, sockets, spoil, Stdio::null())
}

/// The same, with its log going to `log`.
pub(crate) fn start_logging(unseen: usize, sockets: u32, spoil: toy::Spoil, log: Stdio) -> Gateway {
    let (statements, seen) = sync_channel(unseen);
    // A slow machine must not run into a deadline.
    let config = EXAMPLE.replace("\"DeadlineUs\": 1200000", "\"DeadlineUs\": 20000000");
    let mut config = config.replace("1024", &sockets.to_string());
    for (port, role) in [("5501", toy::Role::Primary), ("5502", toy::Role::Replica)] {
        let (listener, statements) = (listen(), statements.clone());
        let address = listener.local_addr().expect("bound").to_string();
        config = config.replace(&format!("127.0.0.1:{port}"), &address);
        thread::spawn(move || toy::toy(&listener, role, Some(statements), spoil));
    }
    let list = list_of(&config);
    let discovery = listen();
    config = config.replace(
        "127.0.0.1:8500",
        &discovery.local_addr().expect("bound").to_string(),
    );
    thread::spawn(move || toy::discovery(&discovery, &list));
    let address = own_address();
    config = config.replace("127.0.0.1:6433", &address.to_string());
    spawn(config, address, seen, log)
}

/// The gateway's process, reading this configuration from a file of its own.
pub(crate) fn spawn(
    config: String,
    address: SocketAddr,
    seen: Receiver<Vec<u8>>,
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
        seen,
        file,
        config,
    }
}

/// An address of its own for a gateway, where no other test's or client's port can be in the way.
pub(crate) fn own_address() -> SocketAddr {
    static STARTED: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((
        [127, 64 + STARTED.fetch_add(1, Ordering::Relaxed), high, low],
        6433,
    ))
}

/// A gate at which databases hold statements back while it is closed.
#[derive(Clone)]
pub(crate) struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    /// A gate, open or closed.
    pub(crate) fn new(open: bool) -> Gate {
        Gate(Arc::new((Mutex::new(open), Condvar::new())))
    }

    /// Opens or closes the gate.
    pub(crate) fn set(&self, open: bool) {
        *self.0 .0.lock().expect("not poisoned") = open;
        self.0 .1.notify_all();
    }

    /// Waits while the gate is closed.
    fn pass(&self) {
        let closed = self.0 .0.lock().expect("not poisoned");
        drop(
            self.0
                 .1
                .wait_while(closed, |open| !*open)
                .expect("not poisoned"),
        );
    }
}

/// A database whose role, time and answers a test decides.
#[derive(Clone)]
pub(crate) struct Database {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is the primary.
    pub primary: Arc<AtomicBool>,
    /// Holds its answers back while closed.
    pub gate: Gate,
    /// What it answers statements with instead, and goes on.
    pub instead: fn(&[u8]) -> Option<Vec<u8>>,
}

impl Database {
    /// Serves; each statement but those for load reports goes to `seen` before it waits at the gate.
    pub(crate) fn start(
        primary: bool,
        open: bool,
        seen: &Sender<Vec<u8>>,
        instead: fn(&[u8]) -> Option<Vec<u8>>,
    ) -> Database {
        let listener = listen();
        let address = listener.local_addr().expect("bound");
        let primary = Arc::new(AtomicBool::new(primary));
        let database = Database {
            address,
            primary,
            gate: Gate::new(open),
            instead,
        };
        let (serving, seen) = (database.clone(), seen.clone());
        thread::spawn(move || {
            toy::serve(&listener, move |statement| serving.reply(statement, &seen))
        });
        database
    }

    fn reply(&self, statement: &[u8], seen: &Sender<Vec<u8>>) -> toy::Reply {
        let asked = statement == b"SHOW usage";
        if !asked {
            let _ = seen.send(statement.to_vec());
            self.gate.pass();
        }
        let primary = self.primary.load(Ordering::SeqCst);
        let role = if primary {
            toy::Role::Primary
        } else {
            toy::Role::Replica
        };
        let position = asterreel_testbench::now() / 1000;
        let answer = if asked {
            toy::report(role, position, 0.1)
        } else if let Some(instead) = (self.instead)(statement) {
            instead
        } else if statement.starts_with(b"INSERT") && !primary {
            toy::error("25006", "this is a replica")
        } else {
            toy::row(b"\x9f\x03toy")
        };
        toy::Reply::Answer([answer, toy::note(role, position)].concat())
    }
}

/// A gateway in front of these two databases, with its log, and settings changed as a test wants; discovery is where it
/// says. A slow machine must not run into a deadline.
pub(crate) fn staged(
    databases: [SocketAddr; 2],
    discovery: SocketAddr,
    change: impl Fn(String) -> String,
) -> (Gateway, Log) {
    let address = own_address();
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

/// The list in a configuration, on one line.
pub(crate) fn list_of(config: &str) -> String {
    let from = config.find("{\"revision\"").expect("a list");
    let to = config.find("]},").expect("its end") + 2;
    config[from..to].replace('\n', " ")
}

/// What a gateway logs, debug lines included.
pub(crate) struct Log(Receiver<String>);

impl Log {
    fn of(gateway: &mut Gateway) -> Log {
        let lines = BufReader::new(gateway.process.stderr.take().expect("piped")).lines();
        let (lines_read, logged) = channel();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| lines_read.send(line))
        });
        Log(logged)
    }

    /// Waits for a line that holds this, 20 s at most; whether it came.
    pub(crate) fn says(&self, what: &str) -> bool {
        self.says_within(what, Duration::from_secs(20))
    }

    /// Waits for a line that holds this, for this long at most; whether it came.
    pub(crate) fn says_within(&self, what: &str, within: Duration) -> bool {
        self.lines_up_to(what, within).is_some()
    }

    /// The lines that are still unread up to one that holds this, once it comes.
    pub(crate) fn lines_up_to(&self, what: &str, within: Duration) -> Option<Vec<String>> {
        let (until, mut lines) = (Instant::now() + within, Vec::new());
        while let Ok(line) = self
            .0
            .recv_timeout(until.saturating_duration_since(Instant::now()))
        {
            lines.push(line);
            if lines.last().is_some_and(|line| line.contains(what)) {
                return Some(lines);
            }
        }
        None
    }
}

/// A client's connection.
pub(crate) struct Client(pub TcpStream);

/// A startup message.
pub(crate) fn startup() -> Vec<u8> {
    let parameters = b"user\0web\0database\0orders\0\0";
    let length = (parameters.len() as u32 + 8).to_be_bytes();
    [&length[..], &[0, 3, 0, 0], parameters].concat()
}

/// A query message of this statement.
pub(crate) fn query(statement: &[u8]) -> Vec<u8> {
    toy::message(b'Q', &[statement, b"\0"].concat())
}

/// A read.
pub(crate) fn read(id: &str) -> Vec<u8> {
    let comment = format!("/* id={id},c=search,d=60000,cluster=0,k=1 */");
    [
        b"SELECT payload FROM entries WHERE ref = '\xfe' ".as_slice(),
        comment.as_bytes(),
    ]
    .concat()
}

impl Client {
    /// Connects as soon as the gateway listens.
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
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        Client(stream)
    }

    /// A client whose session has started.
    pub(crate) fn ready(gateway: &Gateway) -> Client {
        let mut client = Client::connect(gateway);
        client.send(&startup());
        client.answer();
        client
    }

    /// Sends these bytes.
    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("sent");
    }

    /// The messages up to ReadyForQuery or the end of the connection: tags, and all bytes.
    pub(crate) fn answer(&mut self) -> (String, Vec<u8>) {
        let (mut tags, mut bytes) = (String::new(), Vec::new());
        let mut head = [0; 5];
        loop {
            if let Err(end) = self.0.read_exact(&mut head) {
                // Silence is no end.
                assert_ne!(
                    end.kind(),
                    ErrorKind::WouldBlock,
                    "neither an answer nor a close"
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

    /// A client whose session has started, with the key that it may cancel with.
    pub(crate) fn with_key(gateway: &Gateway) -> (Client, Vec<u8>) {
        let mut client = Client::connect(gateway);
        client.send(&startup());
        let (_, session_started) = client.answer();
        let at = session_started
            .windows(5)
            .position(|head| head == b"K\0\0\0\x0c")
            .expect("a key");
        (client, session_started[at + 5..at + 13].to_vec())
    }

    /// Reads what is still to come until the connection is closed; an error where it is reset.
    pub(crate) fn end(&mut self) -> std::io::Result<Vec<u8>> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).map(|_| rest)
    }
}

/// A cancel request, which is sent on a connection of its own.
pub(crate) fn cancel_request(key: &[u8]) -> Vec<u8> {
    [&16u32.to_be_bytes()[..], &80_877_102u32.to_be_bytes(), key].concat()
}

/// A write.
pub(crate) fn write(id: &str) -> Vec<u8> {
    format!("INSERT INTO entries VALUES ('k') RETURNING payload /* id={id},c=booking,d=60000,cluster=0 */")
        .into_bytes()
}

/// The code of the error in an answer.
pub(crate) fn code(bytes: &[u8]) -> &[u8] {
    let at = bytes
        .windows(2)
        .position(|field| field == b"\0C")
        .expect("a code");
    &bytes[at + 2..at + 7]
}

/// A gateway in a fleet of this size whose list is pushed by this agent.
pub(crate) fn pushed(agent: &TcpListener, fleet: u32) -> Gateway {
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

/// The next call that comes to an agent.
pub(crate) fn called(agent: &TcpListener) -> Option<TcpStream> {
    bounded::accept(agent, PATIENCE).ok()
}

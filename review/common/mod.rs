//! Stand-ins that the review's cases share: a record, one gateway process, discovery, databases and clients.
//!
//! Standard library only. Everything listens on 127.0.0.1, on ports that the system chooses.
#![allow(dead_code)]

use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record and the clock of a run.
pub struct Run {
    started: Instant,
    unix_start_ms: f64,
    record: Mutex<File>,
    pub folder: PathBuf,
    /// Whether the disruption happens; `TROUBLE=0` leaves it out.
    pub trouble: bool,
}

impl Run {
    /// Called from the repository's root with the case's folder and a temporary folder.
    pub fn new() -> Arc<Run> {
        let mut arguments = std::env::args().skip(1);
        let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
            cannot_run("want: CASE-FOLDER TEMPORARY-FOLDER");
        };
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = File::create(Path::new(&case).join("record.txt"))
            .unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let run = Arc::new(Run {
            started: Instant::now(),
            unix_start_ms: unix.as_secs_f64() * 1e3,
            record: Mutex::new(record),
            folder: folder.into(),
            trouble,
        });
        run.log(&format!("trouble={}", u8::from(trouble)));
        run
    }

    /// Milliseconds since the run began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Unix time in milliseconds, by the same clock.
    pub fn unix_ms(&self) -> u64 {
        (self.unix_start_ms + self.now()) as u64
    }

    /// Writes a line to the record, after the time in milliseconds since the run began.
    pub fn log(&self, line: &str) {
        let _ = writeln!(lock(&self.record), "{:10.1} {line}", self.now());
    }

    /// Waits until `at`, milliseconds since the run began.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left / 1e3));
        }
    }
}

/// Ends the program with the status of a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2);
}

/// Writes the id of a process down, so that `run.sh` ends it if the stand-in can't.
pub fn note_process(run: &Run, id: u32) {
    let pids = File::options().create(true).append(true).open(run.folder.join("pids"));
    if let Ok(mut pids) = pids {
        let _ = writeln!(pids, "{id}");
    }
}

/// A gateway, started with the command `run` of the deploy file.
pub struct Gateway {
    run: Arc<Run>,
    pub child: Child,
    pub address: SocketAddr,
    config: PathBuf,
}

/// The command `run` of the deploy file.
pub fn deploy_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find(|line| line.trim_start().starts_with("run "));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.unwrap_or_else(|| cannot_run("no run in deploy/balancer.toml")).to_owned()
}

/// The text of a gateway's configuration.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr, members: &str, settings: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
 "known":{{"revision":1,"complete":true,"members":[{members}]}},
 "settings":{settings}}}"#
    )
}

impl Gateway {
    /// Starts a gateway and waits until it answers an empty query, for 10 s at most.
    pub fn start(run: &Arc<Run>, discovery: SocketAddr, members: &str, settings: &str) -> Gateway {
        let address = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
        let address = address.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let config = run.folder.join("config.json");
        let text = configuration(address, discovery, members, settings);
        let log = File::create(run.folder.join("gateway.log"));
        let (Ok(()), Ok(log)) = (std::fs::write(&config, text), log) else {
            cannot_run("the temporary folder can't be written");
        };
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command()])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_CONFIG", &config)
            .env("TMPDIR", &run.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&error.to_string()));
        note_process(run, child.id());
        let gateway = Gateway { run: run.clone(), child, address, config };
        while run.now() < 10_000.0 {
            if gateway.is_ready() {
                run.log(&format!("gateway ready on {address}"));
                return gateway;
            }
            sleep_ms(50);
        }
        drop(gateway);
        cannot_run("the gateway was not ready within 10 s");
    }

    fn is_ready(&self) -> bool {
        let Ok(mut client) = Client::connect(self.address) else {
            return false;
        };
        client.send("").is_ok() && matches!(client.answer(1_000), Answer::Empty)
    }

    /// Replaces the text of the configuration, as the platform does.
    pub fn write_config(&self, text: &str) {
        let next = self.config.with_extension("next");
        if std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, &self.config)).is_err() {
            cannot_run("the configuration can't be written");
        }
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, name: &str) {
        self.run.log(&format!("SIG{name} to the gateway"));
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -s {name} {}", self.child.id())])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run("kill failed");
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// The process's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.run.folder.join("gateway.log")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Discovery: answers a watch with the whole list, then with an empty line every 2 s and each change.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, String, Vec<String>)>, Condvar)>,
}

impl Discovery {
    pub fn start(run: &Arc<Run>, members: &str) -> Discovery {
        let (listener, address) = listen();
        let state = (Mutex::new((1, members.to_owned(), Vec::new())), Condvar::new());
        let discovery = Discovery { address, state: Arc::new(state) };
        let (serving, run) = (discovery.clone(), run.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, run) = (serving.clone(), run.clone());
                thread::spawn(move || serving.serve(&run, stream));
            }
        });
        discovery
    }

    fn serve(&self, run: &Run, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head);
        run.log(&format!("discovery: {}", head.lines().next().unwrap_or("")));
        let (revision, members) = {
            let state = lock(&self.state.0);
            (state.0, state.1.clone())
        };
        let list = format!("{{\"revision\":{revision},\"complete\":true,\"members\":[{members}]}}\n");
        if !head.contains("watch=1") {
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{list}",
                list.len()
            );
        }
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        write!(stream, "{:x}\r\n{list}\r\n", list.len())?;
        loop {
            write!(stream, "1\r\n\n\r\n")?;
            sleep_ms(2_000);
        }
    }
}

/// The record of a database in a list.
pub fn member(id: &str, address: SocketAddr, zone: &str, cell: u32, access: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"{zone}","flavor":"db","cell":{cell},"phase":"ready","size":1.0,"up_since_ms":0,"access":"{access}"}}"#
    )
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()));
    (listener, address)
}

/// A message of PostgreSQL's protocol.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
    out
}

/// RowDescription, one DataRow of one binary column, CommandComplete.
pub fn row(value: &[u8], command: &str) -> Vec<u8> {
    let mut description = vec![0, 1];
    description.extend_from_slice(b"payload\0");
    description.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    let mut data = vec![0, 1];
    data.extend_from_slice(&(value.len() as u32).to_be_bytes());
    data.extend_from_slice(value);
    let tag = format!("{command}\0");
    [message(b'T', &description), message(b'D', &data), message(b'C', tag.as_bytes())].concat()
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// What a database tells of itself after a result: role, position, load report, ReadyForQuery.
pub fn answer_end(is_primary: bool, position_ms: u64) -> Vec<u8> {
    let role = if is_primary { "writer" } else { "reader" };
    [
        message(b'S', format!("server_role\0{role}\0").as_bytes()),
        message(b'S', format!("commit_clock\0{position_ms}\0").as_bytes()),
        message(b'Z', b"I"),
    ]
    .concat()
}

/// The answer to `SHOW usage`.
pub fn report(is_primary: bool, position_ms: u64) -> Vec<u8> {
    let text = format!(
        "x0={:.3},x1={},util=0.20",
        position_ms as f64 / 1e3,
        u8::from(is_primary)
    );
    [row(text.as_bytes(), "SHOW"), answer_end(is_primary, position_ms)].concat()
}

/// Reads one message after the opening; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads the opening of a gateway's connection to a database, without an answer.
pub fn read_startup(stream: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    stream.read_exact(&mut body)
}

/// The answer to the opening.
pub fn startup_answer() -> Vec<u8> {
    [message(b'R', &[0; 4]), message(b'Z', b"I")].concat()
}

/// The value of a name in the comment of a statement.
pub fn value_of<'a>(statement: &'a str, name: &str) -> &'a str {
    let comment = statement.rsplit_once("/*").map_or("", |part| part.1);
    let comment = comment.trim_end().trim_end_matches("*/");
    let pairs = comment.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| key.trim() == name)
        .map(|(_, value)| value.trim())
        .next_back()
        .unwrap_or("")
}

/// The first quoted text of a statement.
pub fn key_of(statement: &str) -> &str {
    statement.split('\'').nth(1).unwrap_or("")
}

/// How a request ended, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value.
    Served(Vec<u8>),
    /// EmptyQueryResponse.
    Empty,
    /// 53300 or 57P03.
    Refused(String),
    /// Any other error.
    Failed(String),
    /// The connection ended without a whole answer.
    Lost(String),
    /// Nothing came in time.
    Nothing,
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects and opens a session.
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut startup = vec![0, 0, 0, 0, 0, 3, 0, 0];
        startup.extend_from_slice(b"user\0web\0database\0orders\0\0");
        let length = startup.len() as u32;
        startup[..4].copy_from_slice(&length.to_be_bytes());
        stream.write_all(&startup)?;
        while read_message(&mut stream)?.0 != b'Z' {}
        Ok(Client { stream })
    }

    /// Sends a simple query.
    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes()))
    }

    /// Waits for the whole answer, for this long at most.
    pub fn answer(&mut self, wait_ms: u64) -> Answer {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (mut value, mut complete, mut failure) = (Vec::new(), false, None);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::Nothing;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match read_message(&mut self.stream) {
                Ok((b'D', body)) => value = body.get(6..).unwrap_or_default().to_vec(),
                Ok((b'C', _)) => complete = true,
                Ok((b'I', _)) => failure = Some(Answer::Empty),
                Ok((b'E', body)) => failure = Some(failure_of(&body)),
                Ok((b'Z', _)) if complete => return Answer::Served(value),
                Ok((b'Z', _)) => return failure.unwrap_or(Answer::Lost("no result".into())),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Answer::Nothing;
                }
                // No ReadyForQuery is needed after a fatal error.
                Err(error) => return failure.unwrap_or(Answer::Lost(error.kind().to_string())),
            }
        }
    }
}

fn failure_of(body: &[u8]) -> Answer {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter(|field| field.first() == Some(&b'C')).map(|field| &field[1..]).next();
    let code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
    if code == "53300" || code == "57P03" {
        Answer::Refused(code)
    } else {
        Answer::Failed(code)
    }
}

/// A small generator of numbers from a fixed seed (xorshift).
pub struct Random(pub u64);

impl Random {
    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        low + self.0 % (high - low + 1)
    }
}

//! What the cases of the second review share: processes, the record, PostgreSQL messages, stand-ins and proxies.
//! It uses the standard library alone; `build-2.sh` builds each case with rustc.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time, microseconds.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_micros() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until this Unix time, microseconds.
pub fn sleep_until(at: u64) {
    let now = now_us();
    if at > now {
        thread::sleep(Duration::from_micros(at - now));
    }
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Polls until the condition gives a value, or the time is over.
pub fn wait_for<T>(limit_ms: u64, mut condition: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    loop {
        if let Some(value) = condition() {
            return Some(value);
        }
        if Instant::now() >= end {
            return None;
        }
        sleep_ms(5);
    }
}

/// Whether the disruption is to happen: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

static RECORD: OnceLock<(Mutex<File>, u64)> = OnceLock::new();

/// Writes a line to `record.txt`, with the milliseconds since the start.
pub fn note(text: impl AsRef<str>) {
    if let Some((file, start)) = RECORD.get() {
        let ms = (now_us() - start) as f64 / 1e3;
        let _ = writeln!(lock(file), "{ms:10.1} ms  {}", text.as_ref());
    }
}

/// The time since the start of the record, milliseconds, of a Unix time in microseconds.
pub fn record_ms(at: u64) -> f64 {
    RECORD
        .get()
        .map_or(0.0, |(_, start)| (at as f64 - *start as f64) / 1e3)
}

// ---------------------------------------------------------------- a run

static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// What a case needs: the repository, a temporary folder, and the end of everything it started.
pub struct Run {
    pub root: PathBuf,
    pub temp: PathBuf,
}

pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Ends all processes that were started, and the program.
fn finish(code: i32, temp: &Path) -> ! {
    for pid in lock(&PIDS).iter() {
        signal(*pid, "CONT");
        signal(*pid, "KILL");
    }
    let _ = std::fs::remove_dir_all(temp);
    std::process::exit(code);
}

/// Runs a case: `CASE` is its folder, the current folder the repository's root.
pub fn run_case(limit_s: u64, case: impl FnOnce(&Run) -> Verdict + Send + 'static) -> ! {
    let folder = PathBuf::from(std::env::var("CASE").unwrap_or_else(|_| ".".into()));
    let root = std::env::current_dir().unwrap_or_else(|_| ".".into());
    let temp = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), now_us()));
    let _ = std::fs::create_dir_all(&temp);
    match File::create(folder.join("record.txt")) {
        Ok(file) => drop(RECORD.set((Mutex::new(file), now_us()))),
        Err(error) => {
            eprintln!("record.txt: {error}");
            finish(2, &temp);
        }
    }
    note(format!("TROUBLE={}", u8::from(trouble())));
    if !root.join("target/release/asterreel").exists() {
        note("target/release/asterreel is missing: build first");
        finish(2, &temp);
    }
    let (send, receive) = std::sync::mpsc::channel();
    let run = Run {
        root,
        temp: temp.clone(),
    };
    thread::spawn(move || {
        let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&run)));
        let _ = send.send(verdict.unwrap_or_else(|panic| {
            let text = panic
                .downcast_ref::<String>()
                .cloned()
                .or_else(|| panic.downcast_ref::<&str>().map(|text| text.to_string()));
            Verdict::CouldNotRun(text.unwrap_or_default())
        }));
    });
    let verdict = receive
        .recv_timeout(Duration::from_secs(limit_s))
        .unwrap_or_else(|_| Verdict::CouldNotRun("out of time".into()));
    let code = match verdict {
        Verdict::Held => {
            note("verdict: the rule held");
            println!("held");
            0
        }
        Verdict::Broken => {
            note("verdict: the rule was broken");
            println!("broken");
            1
        }
        Verdict::CouldNotRun(why) => {
            note(format!("verdict: could not run: {why}"));
            println!("could not run: {why}");
            2
        }
    };
    finish(code, &temp);
}

// ---------------------------------------------------------------- processes

/// Sends a signal by its name to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid} 2>/dev/null"))
        .status();
}

/// A process of the project, with the lines that it wrote.
pub struct Process {
    pub name: String,
    pub pid: u32,
    child: Mutex<Child>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a command of the deploy file as the platform does, from the root by `/bin/sh -c`.
    pub fn start(run: &Run, name: &str, command: &str, variables: &[(&str, String)]) -> Process {
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(command)
            .current_dir(&run.root)
            .env("TMPDIR", &run.temp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        for name in [
            "RELAY_CONFIG",
            "RELAY_NAME",
            "RELAY_LISTEN",
            "RELAY_DISCOVERY",
        ] {
            shell.env_remove(name);
        }
        for (name, value) in variables {
            shell.env(name, value);
        }
        let mut child = shell.spawn().expect("the process starts");
        let pid = child.id();
        lock(&PIDS).push(pid);
        note(format!("{name}: started, process {pid}: {command}"));
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().expect("its log");
        let lines = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lock(&lines).push(line);
            }
        });
        Process {
            name: name.to_owned(),
            pid,
            child: Mutex::new(child),
            log,
        }
    }

    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// The lines that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let log = self.log();
        log.into_iter().filter(|line| line.contains(text)).collect()
    }

    pub fn signal(&self, name: &str) {
        note(format!("{}: SIG{name}", self.name));
        signal(self.pid, name);
    }

    /// The exit status, if it has ended.
    pub fn ended(&self) -> Option<std::process::ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    pub fn wait_end(&self, limit_ms: u64) -> bool {
        wait_for(limit_ms, || self.ended()).is_some()
    }

    /// The process's own (anonymous) resident memory, KiB: without the pages of its program file.
    pub fn memory_kib(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|rest| rest.trim().trim_end_matches(" kB").trim().parse().ok())
            .unwrap_or(0)
    }
}

/// The text after `"key":` in a line of JSON, up to the next comma or brace; quotes are removed.
pub fn json_field(line: &str, key: &str) -> Option<String> {
    let from = line.find(&format!("\"{key}\":"))? + key.len() + 3;
    let rest = &line[from..];
    if let Some(text) = rest.strip_prefix('"') {
        return Some(text[..text.find('"')?].to_owned());
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].to_owned())
}

pub fn json_number(line: &str, key: &str) -> Option<u64> {
    json_field(line, key)?.parse().ok()
}

/// A free address on a loopback host that only this call uses.
pub fn free_address() -> SocketAddr {
    static CALLS: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let call = CALLS.fetch_add(1, Ordering::Relaxed) % 100;
    let host = Ipv4Addr::new(127, 28 + call, high, low.max(1));
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

// ---------------------------------------------------------------- PostgreSQL

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![tag];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// RowDescription, one DataRow of one column, CommandComplete.
pub fn row(value: &[u8]) -> Vec<u8> {
    let description = [&[0, 1][..], b"payload\0", &[0; 18]].concat();
    let data = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat();
    [
        message(b'T', &description),
        message(b'D', &data),
        message(b'C', b"SELECT 1\0"),
    ]
    .concat()
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// The end of an answer: role and position, and ReadyForQuery.
pub fn answer_end(primary: bool, position_ms: u64) -> Vec<u8> {
    let role = if primary { "writer" } else { "reader" };
    [
        message(b'S', format!("server_role\0{role}\0").as_bytes()),
        message(b'S', format!("commit_clock\0{position_ms}\0").as_bytes()),
        message(b'Z', b"I"),
    ]
    .concat()
}

pub fn load_report(primary: bool, position_ms: u64) -> Vec<u8> {
    let text = format!(
        "x0={:.3},x1={},util=0.10",
        position_ms as f64 / 1e3,
        u8::from(primary)
    );
    row(text.as_bytes())
}

/// Reads a message with a tag; the body without its length.
pub fn read_message(from: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    from.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    from.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads a startup message and answers it; false for anything else.
pub fn greet(client: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    client.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    client.read_exact(&mut body)?;
    client.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())
}

/// The value of a name in the comment of a statement.
pub fn comment(statement: &str, name: &str) -> String {
    let comment = statement.rsplit_once("/*").map_or("", |(_, rest)| rest);
    let comment = comment.trim_end_matches(['*', '/', ' ', ';']);
    let mut pairs = comment.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| key.trim() == name)
        .map_or(String::new(), |(_, value)| value.trim().to_owned())
}

/// An answer of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Row(Vec<u8>),
    Error(String),
    Empty,
    /// The connection ended or broke first.
    End(String),
}

/// A client of the gateway.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and sends the startup message; the answer to it is read with the first query's.
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.write_all(&startup())?;
        let mut client = Client { stream };
        while client.read()?.0 != b'Z' {}
        Ok(client)
    }

    fn read(&mut self) -> io::Result<(u8, Vec<u8>)> {
        read_message(&mut self.stream)
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&query(statement))
    }

    /// Reads the answer to one query, up to ReadyForQuery.
    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::End("ended before an answer".into());
        loop {
            match self.read() {
                Ok((b'D', body)) => {
                    answer = Answer::Row(body.get(6..).unwrap_or_default().to_vec())
                }
                Ok((b'E', body)) => answer = Answer::Error(sqlstate(&body)),
                Ok((b'I', _)) => answer = Answer::Empty,
                Ok((b'Z', _)) => return answer,
                Ok(_) => {}
                Err(error) => {
                    return match answer {
                        Answer::End(_) => Answer::End(error.to_string()),
                        answer => answer,
                    }
                }
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> Answer {
        match self.send(statement) {
            Ok(()) => self.answer(),
            Err(error) => Answer::End(error.to_string()),
        }
    }
}

fn sqlstate(body: &[u8]) -> String {
    let mut fields = body.split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C"));
    String::from_utf8_lossy(code.unwrap_or_default()).into_owned()
}

/// Waits until the gateway answers an empty query, as the front does.
pub fn wait_ready(to: SocketAddr, limit_ms: u64) -> bool {
    wait_for(limit_ms, || {
        let mut client = Client::connect(to).ok()?;
        (client.ask("") == Answer::Empty).then_some(())
    })
    .is_some()
}

// ---------------------------------------------------------------- stand-ins

/// Serves each connection of a database on a thread of its own. `reply` gets the statement and the connection, to write
/// its answer to; an error ends the connection.
pub fn serve_database(
    listener: TcpListener,
    reply: impl Fn(&str, &mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let reply = reply.clone();
            thread::spawn(move || -> io::Result<()> {
                let mut client = client;
                client.set_nodelay(true)?;
                greet(&mut client)?;
                loop {
                    let (tag, body) = read_message(&mut client)?;
                    if tag != b'Q' {
                        return Ok(());
                    }
                    let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body));
                    reply(&text, &mut client)?;
                }
            });
        }
    });
}

/// A discovery service with a list that a case can change.
pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<(u64, String)>,
    changed: Condvar,
}

impl Discovery {
    /// `members` is the JSON of the entries.
    pub fn start(members: &str) -> Arc<Discovery> {
        let listener = TcpListener::bind(SocketAddr::new(free_address().ip(), 0)).expect("a port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().expect("bound"),
            list: Mutex::new((1, members.to_owned())),
            changed: Condvar::new(),
        });
        let serving = discovery.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.watch(client));
            }
        });
        discovery
    }

    pub fn json(&self) -> String {
        let list = lock(&self.list);
        format!(
            "{{\"revision\":{},\"complete\":true,\"members\":[{}]}}",
            list.0, list.1
        )
    }

    pub fn set(&self, members: &str) {
        let mut list = lock(&self.list);
        *list = (list.0 + 1, members.to_owned());
        self.changed.notify_all();
    }

    fn watch(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            client.read_exact(&mut byte)?;
            request.push(byte[0]);
        }
        client.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = 0;
        loop {
            let revision = lock(&self.list).0;
            let line = if revision == told {
                "\n".to_owned()
            } else {
                format!("{}\n", self.json())
            };
            told = revision;
            client.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
            let list = lock(&self.list);
            if list.0 == told {
                drop(self.changed.wait_timeout(list, Duration::from_secs(2)));
            }
        }
    }
}

/// An entry of the list of databases.
pub fn entry(id: &str, address: SocketAddr, zone: &str, primary: bool) -> String {
    let access = if primary { "writer" } else { "reader" };
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"flavor\":\"std-3core\",\"cell\":0,\
         \"phase\":\"ready\",\"size\":1.0,\"up_since_ms\":0,\"access\":\"{access}\"}}"
    )
}

// ---------------------------------------------------------------- a proxy that delays

/// A proxy that delivers every byte after a delay, in both directions, as a long line does. It changes nothing else.
pub struct SlowLink {
    pub address: SocketAddr,
    delay_us: Arc<AtomicU64>,
}

impl SlowLink {
    pub fn start(target: SocketAddr) -> SlowLink {
        let listener = TcpListener::bind(SocketAddr::new(free_address().ip(), 0)).expect("a port");
        let address = listener.local_addr().expect("bound");
        let delay_us = Arc::new(AtomicU64::new(0));
        let delay = delay_us.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let delay = delay.clone();
                thread::spawn(move || -> io::Result<()> {
                    let server = TcpStream::connect(target)?;
                    client.set_nodelay(true)?;
                    server.set_nodelay(true)?;
                    let (from, into) = (server.try_clone()?, client.try_clone()?);
                    pump(from, into, delay.clone());
                    pump(client, server, delay);
                    Ok(())
                });
            }
        });
        SlowLink { address, delay_us }
    }

    pub fn set_delay_ms(&self, ms: u64) {
        self.delay_us.store(ms * 1000, Ordering::Relaxed);
    }
}

type Line = Arc<(Mutex<VecDeque<(u64, Vec<u8>)>>, Condvar)>;

fn pump(mut from: TcpStream, mut into: TcpStream, delay: Arc<AtomicU64>) {
    let line: Line = Arc::default();
    let arriving = line.clone();
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let due = now_us() + delay.load(Ordering::Relaxed);
            lock(&arriving.0).push_back((due, buffer[..count].to_vec()));
            arriving.1.notify_all();
            if count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || loop {
        let next = {
            let mut queue = lock(&line.0);
            while queue.is_empty() {
                queue = line.1.wait(queue).unwrap_or_else(PoisonError::into_inner);
            }
            queue.pop_front()
        };
        let Some((due, bytes)) = next else { return };
        sleep_until(due);
        if bytes.is_empty() || into.write_all(&bytes).is_err() {
            let _ = into.shutdown(Shutdown::Both);
            return;
        }
    });
}

// ---------------------------------------------------------------- a small deployment

/// The `settings` of a small deployment with the classes and rules of `linz-rides`: one group, three gateways.
pub const SETTINGS: &str = r#"{
 "Allowed": {"Cancel": true, "ConnIdleUs": 15000000, "ConnectTimeoutUs": 250000, "MaxAttempts": 10, "MayProbe": true, "ParallelTries": false, "RetryAfter": false},
 "Clients": {"MarksRetry": false}, "Discovery": "subscribe",
 "FamilyInfo": {"Checks": "none", "CommitWaits": false, "Consistency": ["lag_bound", "eventual", "mutate"], "ProgressTold": true, "RoleListed": "static", "SessionMarks": "brought", "StalenessBoundUs": [500000, 0, 0]},
 "FleetSize": 3, "PeriodUs": 5000,
 "Profiles": [
  {"DeadlineUs": 1200000, "Effect": "free", "LateWorth": 0.2, "Name": "ride-search", "SloUs": 300000, "Worth": 2.0},
  {"DeadlineUs": 10000000, "Effect": "free", "LateWorth": 0.2, "Name": "month-report", "SloUs": 5000000, "Worth": 6.0},
  {"DeadlineUs": 3000000, "Effect": "single_shot", "LateWorth": 0.5, "Name": "seat-booking", "SloUs": 1000000, "Worth": 3.0}],
 "Report": {"Names": ["x0", "x1", "utilization"], "Source": "probe"},
 "Rules": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "ColdUs": 18000000, "DrainGraceUs": 2000000, "FallMultiple": 2.5, "FallUs": 2000000, "StartCapacity": 0.16},
 "Zone": 0, "Zones": ["linz-north", "linz-south", "wels"]}"#;

/// A gateway that is started as the deploy file says, and where its clients connect.
pub struct Gateway {
    pub process: Process,
    pub clients: SocketAddr,
}

/// Starts a gateway and waits until it answers an empty query, as the front does.
pub fn start_gateway(
    run: &Run,
    discovery: &Discovery,
    sockets: usize,
    memory_mb: usize,
) -> Option<Gateway> {
    let clients = free_address();
    let config = format!(
        "{{\"name\":\"n1\",\"listen\":\"{clients}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\"known\":{},\"settings\":{SETTINGS}}}",
        discovery.address,
        discovery.json(),
    );
    let path = run.temp.join("config.json");
    std::fs::write(&path, config).expect("the configuration is written");
    let variables = [
        ("RELAY_CONFIG", path.display().to_string()),
        ("RELAY_NAME", "n1".to_owned()),
        ("RELAY_LISTEN", clients.to_string()),
        ("RELAY_DISCOVERY", discovery.address.to_string()),
    ];
    let process = Process::start(run, "gateway", "exec target/release/asterreel", &variables);
    wait_ready(clients, 30_000).then_some(Gateway { process, clients })
}

/// Binds a listener for a stand-in.
pub fn listener() -> TcpListener {
    TcpListener::bind(SocketAddr::new(free_address().ip(), 0)).expect("a port")
}

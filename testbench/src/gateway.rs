//! Starts, signals and monitors processes of the asterreel program, and can suspend their worker threads.

use crate::fleet::Fleet;
use crate::{bounded, process};
use nix::sys::ptrace;
use nix::sys::signal::{kill, Signal};
use nix::sys::wait::{waitpid, WaitPidFlag};
use nix::unistd::Pid;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The subcommand that a process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Part {
    /// A gateway: `asterreel run`.
    #[default]
    Gateway,
    /// A control member without clients: `asterreel control`.
    Member,
}

/// The configuration of a process.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the asterreel executable.
    pub program: PathBuf,
    /// The subcommand that it runs.
    pub part: Part,
    /// Shell commands that run before the program in the same process, to set limits or variables.
    pub before: Option<String>,
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for agent-checks.
    pub agent: SocketAddr,
    /// Address for HTTP health checks.
    pub http: SocketAddr,
    /// Whether the operator's file has a `health(...)` call.
    pub health: bool,
    /// `balancer.interval_ms` of `health(...)`, milliseconds.
    pub interval_ms: u64,
    /// Further arguments of `health(...)`.
    pub extra: String,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// The member list in the program's configuration, `known`.
    pub known: Value,
    /// The setting `limits.sockets`.
    pub sockets: usize,
    /// The operator's file, without the `health(...)` call.
    pub operator: String,
    /// The `settings` of the program's configuration.
    pub settings: Value,
}

impl Plan {
    /// The plan of a fleet's gateway, by its number, at free addresses; health is on, with an interval of 100 ms.
    ///
    /// # Errors
    ///
    /// No ports are free.
    pub fn beside(fleet: &Fleet, gateway: usize, program: PathBuf) -> io::Result<Plan> {
        Plan::with_list(fleet.discovery(gateway), fleet.list(gateway), program)
    }

    /// The same with a given discovery address and member list.
    ///
    /// # Errors
    ///
    /// No ports are free.
    pub fn with_list(discovery: SocketAddr, known: Value, program: PathBuf) -> io::Result<Plan> {
        let addresses = free(3)?;
        Ok(Plan {
            program,
            part: Part::Gateway,
            before: None,
            client: addresses[0],
            agent: addresses[1],
            http: addresses[2],
            health: true,
            interval_ms: 100,
            extra: String::new(),
            discovery,
            known,
            sockets: 1024,
            operator: String::new(),
            settings: settings(),
        })
    }
}

/// Free addresses on a loopback host that only this call uses. On 127.0.0.1, a client could take a port as its local
/// port between this call and the time when the gateway listens on it.
///
/// # Errors
///
/// An address could not be bound.
pub fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    static CALLS: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(
        127,
        128 + CALLS.fetch_add(1, Ordering::Relaxed) % 100,
        high,
        low,
    );
    let held: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((host, 0)))
        .collect::<Result<_, _>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

/// A line of a process's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was read, Unix microseconds.
    pub at: u64,
    /// The fields of the JSON line, or the text of a line that is not JSON.
    pub fields: Value,
}

/// File name of the operator's file in a process's directory.
const OPERATOR_FILE_NAME: &str = "operator.star";

/// Names of the program's threads that do not handle requests, except that of the control plane.
const NAMED_THREADS: [&str; 5] = ["timer", "health", "health-log", "health-notify", "operator"];
/// Prefix of the name of the control plane's thread.
const CONTROL_THREAD_PREFIX: &str = "control-";
/// The bits of a control member's id in the Raft group that hold its gateway's number.
const GATEWAY_NUMBER_MASK: u64 = 0xFFFF;

/// The name of the thread that runs a gateway's control plane.
pub fn control_thread(gateway: u32) -> String {
    format!("{CONTROL_THREAD_PREFIX}{gateway}")
}

/// The leaders that a control member logged: the term, and the leader's gateway number, 0 if there was none.
pub fn leaders(log: Vec<Line>) -> impl Iterator<Item = (u64, u32)> {
    let said = log
        .into_iter()
        .filter(|line| line.fields["message"] == "log: leader or term changed");
    said.filter_map(|line| {
        let leader = line.fields["leader"].as_u64()? & GATEWAY_NUMBER_MASK;
        Some((line.fields["term"].as_u64()?, leader as u32))
    })
}

/// A running process of the program; it is killed on drop.
pub struct Gateway {
    child: Child,
    log: Arc<Mutex<Vec<Line>>>,
    files: tempfile::TempDir,
}

/// The program's settings for the simulated databases: one gateway, and the request classes search and booking.
pub fn settings() -> Value {
    json!({
        "Allowed": {"Cancel": true, "ConnIdleUs": 15_000_000, "ConnectTimeoutUs": 250_000, "MaxAttempts": 10, "MayProbe": true},
        "Discovery": "subscribe",
        "FamilyInfo": {"Checks": "none", "Consistency": ["lag_bound", "mutate"], "ProgressTold": true,
            "RoleListed": "static", "SessionMarks": "brought", "StalenessBoundUs": [500_000, 0]},
        "FleetSize": 1, "PeriodUs": 5000,
        "Profiles": [
            {"DeadlineUs": 1_200_000, "Effect": "free", "LateWorth": 0.2, "Name": "search", "SloUs": 300_000, "Worth": 2.0},
            {"DeadlineUs": 3_000_000, "Effect": "single_shot", "LateWorth": 0.5, "Name": "booking", "SloUs": 1_000_000, "Worth": 3.0}
        ],
        "Report": {"Names": ["x0", "x1", "utilization"], "Source": "probe"},
        "Rules": {"AnswerSlackUs": 20_000, "AskEveryUs": 10_000_000, "ColdUs": 18_000_000, "DrainGraceUs": 2_000_000,
            "FallMultiple": 2.5, "FallUs": 2_000_000, "StartCapacity": 0.16},
        "Zone": 0, "Zones": ["here"]
    })
}

impl Gateway {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// A file could not be written, or the process could not be started.
    pub fn start(plan: &Plan) -> io::Result<Gateway> {
        let files = tempfile::tempdir()?;
        let config = json!({
            "name": "rig", "listen": plan.client.to_string(), "discovery": plan.discovery.to_string(),
            "seed": "1", "limits": {"sockets": plan.sockets}, "known": plan.known, "settings": plan.settings,
        });
        let path = files.path().join("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = match &plan.before {
            // A script file could fail with ETXTBSY if another thread forks while it is still open for writing.
            Some(text) => {
                let mut shell = Command::new("/bin/sh");
                shell
                    .arg("-c")
                    .arg(format!("{text}; exec \"$0\" \"$@\""))
                    .arg(&plan.program);
                shell
            }
            None => Command::new(&plan.program),
        };
        let part = match plan.part {
            Part::Gateway => "run",
            Part::Member => "control",
        };
        command
            .env("RELAY_CONFIG", &path)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY");
        command
            .env("RELAY_LOG", "info")
            .args([part, "--log-format", "json"]);
        let mut text = plan.operator.clone();
        if plan.health {
            text += &format!(
                "health(\n  agent = agent(listen = '{}', wait_ms = 5),\n  http = listener(listen = '{}'),\n  \
                 balancer = balancer(interval_ms = {}, fall = 2, timeout_ms = 200),\n  {}\n)\n",
                plan.agent, plan.http, plan.interval_ms, plan.extra
            );
        }
        if !text.is_empty() {
            let operator = files.path().join(OPERATOR_FILE_NAME);
            std::fs::write(&operator, text)?;
            command.arg("--operator").arg(&operator);
        }
        let mut child = command
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let log = log.clone();
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let fields = serde_json::from_str(&line).unwrap_or(Value::String(line));
                    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
                    log.push(Line {
                        at: crate::now(),
                        fields,
                    });
                }
            });
        }
        Ok(Gateway { child, log, files })
    }

    /// Replaces the operator's file; the gateway reads it on SIGHUP or when an operator's command requests it.
    ///
    /// # Errors
    ///
    /// The file could not be written.
    pub fn rewrite(&self, text: &str) -> io::Result<()> {
        std::fs::write(self.files.path().join(OPERATOR_FILE_NAME), text)
    }

    /// The operating system's id of the gateway's process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// All lines that it has logged.
    pub fn log(&self) -> Vec<Line> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits for a log line that satisfies `wanted`, at or after the index `from`.
    pub fn logged(
        &self,
        from: usize,
        within: Duration,
        wanted: impl Fn(&Value) -> bool,
    ) -> Option<Line> {
        bounded::until(within, || {
            self.log()
                .into_iter()
                .skip(from)
                .find(|line| wanted(&line.fields))
        })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill(Pid::from_raw(self.child.id() as i32), signal)?)
    }

    /// The exit status, if it has exited.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits; returns whether its status was success.
    ///
    /// # Errors
    ///
    /// The process is still running after the time limit, or could not be waited for.
    pub fn wait(&mut self, within: Duration) -> io::Result<bool> {
        Ok(bounded::exit(&mut self.child, within)?.success())
    }

    /// CPU time that the process has used, microseconds; 0 if /proc/PID/stat has no such numbers.
    ///
    /// # Errors
    ///
    /// The process has exited, or /proc/PID/stat could not be read.
    pub fn cpu_us(&self) -> io::Result<u64> {
        let stat =
            std::fs::read_to_string(Path::new("/proc").join(self.id().to_string()).join("stat"))?;
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let field = |number: usize| {
            rest.split_whitespace()
                .nth(number)
                .and_then(|text| text.parse::<u64>().ok())
        };
        // utime and stime, in clock ticks of 1/100 s (proc(5)).
        Ok((field(11).unwrap_or(0) + field(12).unwrap_or(0)) * 10_000)
    }

    /// The number of its open file descriptors, and its resident memory in KiB.
    ///
    /// # Errors
    ///
    /// The process has exited, or its files in /proc could not be read.
    pub fn resource_usage(&self) -> io::Result<(usize, u64)> {
        Ok((
            process::descriptors(self.id())?,
            process::resident_kib(self.id())?,
        ))
    }

    /// Suspends the worker threads that handle requests until the guard is dropped. The kernel still accepts
    /// connections, and other threads continue. Works only for a process that this process started.
    ///
    /// # Errors
    ///
    /// The process has exited, or its threads may not be traced with ptrace.
    pub fn freeze(&self) -> io::Result<Frozen> {
        let mut threads = Vec::new();
        for (thread, name) in process::threads(self.id())? {
            // Threads with these names, and the main thread, do not handle requests.
            let named =
                NAMED_THREADS.contains(&name.as_str()) || name.starts_with(CONTROL_THREAD_PREFIX);
            if !named && thread != self.id() {
                threads.push(Pid::from_raw(thread as i32));
            }
        }
        for thread in &threads {
            ptrace::attach(*thread)?;
            waitpid(*thread, Some(WaitPidFlag::__WALL))?;
        }
        Ok(Frozen(threads))
    }
}

/// Threads that are suspended until this is dropped. Drop it on the thread that called [`Gateway::freeze`], as ptrace
/// requires.
pub struct Frozen(Vec<Pid>);

impl Drop for Frozen {
    fn drop(&mut self) {
        for thread in &self.0 {
            let _ = ptrace::detach(*thread, None);
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

//! Real gateways: started as processes of their own, signalled, watched, and frozen in part.

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

/// What a process is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Part {
    /// A gateway: `asterreel run`.
    #[default]
    Gateway,
    /// A control member without clients: `asterreel control`.
    Member,
}

/// How a gateway is set up.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// What it is to be.
    pub part: Part,
    /// What a shell does before it becomes the program: limits, variables.
    pub before: Option<String>,
    /// Where clients connect, agent-check, HTTP.
    pub client: SocketAddr,
    /// See `client`.
    pub agent: SocketAddr,
    /// See `client`.
    pub http: SocketAddr,
    /// Health is on.
    pub health: bool,
    /// The balancer's interval, milliseconds, and what else `health(...)` is given.
    pub interval_ms: u64,
    /// See `interval_ms`.
    pub extra: String,
    /// The fleet's discovery and list.
    pub discovery: SocketAddr,
    /// See `discovery`.
    pub known: Value,
    /// Descriptors allowed.
    pub sockets: usize,
    /// What else the operator's file says.
    pub operator: String,
    /// The platform's settings.
    pub settings: Value,
}

impl Plan {
    /// One gateway of a fleet, by its number, at addresses that are free now; health is on and checked every 100 ms.
    ///
    /// # Errors
    ///
    /// No free ports.
    pub fn beside(fleet: &Fleet, gateway: usize, program: PathBuf) -> io::Result<Plan> {
        Plan::with_list(fleet.discovery(gateway), fleet.list(gateway), program)
    }

    /// One gateway before the databases of a list, at addresses that are free now; otherwise as above.
    ///
    /// # Errors
    ///
    /// No free ports.
    pub fn with_list(discovery: SocketAddr, known: Value, program: PathBuf) -> io::Result<Plan> {
        let places = free(3)?;
        Ok(Plan {
            program,
            part: Part::Gateway,
            before: None,
            client: places[0],
            agent: places[1],
            http: places[2],
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

/// Addresses that are free, on a loopback host of this call's own: on the common one, a port that was free a moment ago
/// may be some client's by the time that it is listened on.
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

/// A line of a gateway's log.
#[derive(Clone, Debug)]
pub struct Line {
    /// When it was read, Unix microseconds.
    pub at: u64,
    /// Its fields.
    pub fields: Value,
}

/// The operator's file within a gateway's folder.
const OPERATOR: &str = "operator.star";

/// Threads of the program that do not run requests, beside that of its control plane.
const NAMED_THREADS: [&str; 5] = ["timer", "health", "health-log", "health-notify", "operator"];
/// How the name of the control plane's thread begins.
const CONTROL_THREAD: &str = "control-";
/// The number under which a control member takes part has its gateway's in these bits.
const GATEWAY_BITS: u64 = 0xFFFF;

/// The name of the thread that runs a gateway's control plane.
pub fn control_thread(gateway: u32) -> String {
    format!("{CONTROL_THREAD}{gateway}")
}

/// Who leads, as a control member logged it: the term, and the gateway's number, 0 where nobody does.
pub fn leaders(log: Vec<Line>) -> impl Iterator<Item = (u64, u32)> {
    let said = log
        .into_iter()
        .filter(|line| line.fields["message"] == "log: leader or term changed");
    said.filter_map(|line| {
        let leader = line.fields["leader"].as_u64()? & GATEWAY_BITS;
        Some((line.fields["term"].as_u64()?, leader as u32))
    })
}

/// A running gateway.
pub struct Gateway {
    child: Child,
    log: Arc<Mutex<Vec<Line>>>,
    files: tempfile::TempDir,
}

/// The settings of the testbench's databases, in the platform's words: one gateway, searches and bookings.
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
    /// Starts one.
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
            // No script of its own: one just written can't always be run while other threads start processes.
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
            let operator = files.path().join(OPERATOR);
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

    /// Puts another operator's file in place of what it was started with; it reads it on SIGHUP, or when asked.
    ///
    /// # Errors
    ///
    /// The file could not be written.
    pub fn rewrite(&self, text: &str) -> io::Result<()> {
        std::fs::write(self.files.path().join(OPERATOR), text)
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What it has logged so far.
    pub fn log(&self) -> Vec<Line> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until a line satisfies this, from the given line on.
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

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// The process is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill(Pid::from_raw(self.child.id() as i32), signal)?)
    }

    /// How it ended, where it did.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end; false when it ended badly.
    ///
    /// # Errors
    ///
    /// The process could not be waited for.
    pub fn wait(&mut self, within: Duration) -> io::Result<bool> {
        Ok(bounded::exit(&mut self.child, within)?.success())
    }

    /// CPU time it has used, microseconds.
    ///
    /// # Errors
    ///
    /// The process is gone, or what the system says of it makes no sense.
    pub fn cpu_us(&self) -> io::Result<u64> {
        let stat =
            std::fs::read_to_string(Path::new("/proc").join(self.id().to_string()).join("stat"))?;
        let rest = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let field = |number: usize| {
            rest.split_whitespace()
                .nth(number)
                .and_then(|text| text.parse::<u64>().ok())
        };
        // utime and stime, in hundredths of a second (proc(5)).
        Ok((field(11).unwrap_or(0) + field(12).unwrap_or(0)) * 10_000)
    }

    /// Descriptors it holds, and its resident memory in KiB.
    ///
    /// # Errors
    ///
    /// The process is gone, or what the system says of it makes no sense.
    pub fn holds(&self) -> io::Result<(usize, u64)> {
        Ok((
            process::descriptors(self.id())?,
            process::resident_kib(self.id())?,
        ))
    }

    /// Stops the thread that runs requests, and nothing else, until the guard is dropped: the port still accepts and
    /// other threads go on. Only for a process that this one started.
    ///
    /// # Errors
    ///
    /// The process is gone, or its threads may not be traced.
    pub fn freeze(&self) -> io::Result<Frozen> {
        let mut threads = Vec::new();
        for (thread, name) in process::threads(self.id())? {
            // Threads of the program that have names of their own are not the worker.
            let named = NAMED_THREADS.contains(&name.as_str()) || name.starts_with(CONTROL_THREAD);
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

/// Threads that stand still until this is dropped, on the thread that stopped them.
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

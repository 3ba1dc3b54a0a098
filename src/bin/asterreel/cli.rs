//! The command line: what can be asked for, and the commands that need no gateway of their own.

use asterreel::config::Config;
use asterreel::health::{agent, grpc};
use asterreel::operator::{self, Evaluated};
use clap::{Args, Parser, Subcommand, ValueEnum};
use serde_json::{json, Value};
use std::error::Error;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// A gateway between the clients of a replicated database and its servers.
///
/// Without a command it runs the gateway. RELAY_CONFIG names its configuration; the README lists all variables.
#[derive(Parser)]
#[command(version, about)]
pub struct Cli {
    /// How log lines are written, to standard error; RELAY_LOG sets the level.
    #[arg(long, value_enum, default_value = "text", global = true)]
    pub log_format: LogFormat,
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The form of a log line.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run the gateway (the default)
    Run(Files),
    /// Check the configuration and the operator's file; opens no socket
    ///
    /// Exits with 0 when both are good, with 1 when one is not; the message names the file, line and key.
    Check(Files),
    /// Check a gateway's health as a balancer would
    ///
    /// Exits with 0 when it is ready for clients, 1 when it says that it is not, 2 when the arguments are wrong, 3 when
    /// nothing answers in time, 4 when the answer makes no sense.
    Probe(Probe),
    /// Show what a running gateway tells of itself, by group
    ///
    /// Exits with 0 when it was told, 3 when nothing answers, 4 when the answer makes no sense.
    Health(Health),
}

#[derive(Args, Default)]
pub struct Files {
    /// The operator's file (Starlark); without one all that it could set is off
    #[arg(long, value_name = "FILE")]
    pub operator: Option<PathBuf>,
}

impl Files {
    /// Evaluates the operator's file, if there is one.
    pub fn evaluate(&self) -> Result<Evaluated, operator::BadFile> {
        self.operator.as_deref().map_or_else(|| Ok(Evaluated::default()), operator::evaluate)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Protocol {
    /// HAProxy's agent-check
    Agent,
    /// GET /readyz, or the group's path
    Http,
    /// A connection that is opened and greeted
    Postgres,
    /// grpc.health.v1.Health/Check
    Grpc,
}

#[derive(Args)]
pub struct Probe {
    /// Where the front listens, as ADDRESS:PORT
    address: SocketAddr,
    /// What it speaks
    #[arg(long, value_enum, default_value = "http")]
    protocol: Protocol,
    /// Ask for one group instead of the whole gateway
    #[arg(long)]
    group: Option<u64>,
    /// How long to wait for the answer, in milliseconds (1 to 60000)
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    timeout_ms: u64,
    /// Print one JSON object
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Health {
    /// Where its HTTP health front listens, as ADDRESS:PORT
    #[arg(default_value = "127.0.0.1:6461")]
    address: SocketAddr,
    /// Print what it answered, as JSON
    #[arg(long)]
    json: bool,
}

/// Why a probe has no verdict.
enum Fault {
    Silent(io::Error),
    Senseless(String),
}

impl From<io::Error> for Fault {
    fn from(error: io::Error) -> Fault {
        Fault::Silent(error)
    }
}

/// Checks both files.
pub fn check(files: &Files) -> Result<(), Box<dyn Error>> {
    let evaluated = files.evaluate()?;
    let config = Config::from_env()?;
    println!("configuration: good ({}, listens on {})", config.name, config.listen);
    let Some(path) = &files.operator else { return Ok(()) };
    match evaluated.beside(&config)? {
        Some(table) => {
            let ms = |micros: u64| micros / 1000;
            println!(
                "{}: good; a drain is announced for {} ms and answered until {} ms after SIGTERM",
                path.display(),
                ms(table.announce),
                ms(table.answer_until)
            );
        }
        None => println!("{}: good; health is off", path.display()),
    }
    Ok(())
}

/// Probes as a balancer would.
pub fn probe(probe: &Probe) -> ExitCode {
    let began = Instant::now();
    let told = probe.ask();
    let took = began.elapsed().as_secs_f64() * 1e3;
    let (code, verdict, text) = match told {
        Ok((true, text)) => (0, "ready", text),
        Ok((false, text)) => (1, "not ready", text),
        Err(Fault::Silent(error)) => (3, "no answer", error.to_string()),
        Err(Fault::Senseless(text)) => (4, "senseless answer", text),
    };
    if probe.json {
        let address = probe.address.to_string();
        say(&json!({"address": address, "verdict": verdict, "told": text, "took_ms": took}).to_string());
    } else {
        say(&format!("{verdict} ({text}) in {took:.1} ms"));
    }
    ExitCode::from(code)
}

/// A reader that has gone away is no reason to panic.
fn say(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

impl Probe {
    fn ask(&self) -> Result<(bool, String), Fault> {
        let (left, group) = (Duration::from_millis(self.timeout_ms), self.group);
        match self.protocol {
            Protocol::Agent => {
                let line = group.map_or("\n".to_owned(), |group| format!("group {group}\n"));
                let answer = exchange(self.address, line.as_bytes(), left, |_| false)?;
                let text = String::from_utf8_lossy(&answer).trim().to_owned();
                let told = agent::parse(&answer).ok_or_else(|| Fault::Senseless(text.clone()))?;
                match (told.up, told.ready, told.weight) {
                    (Some(false), ..) | (_, Some(false), _) => Ok((false, text)),
                    (Some(true), _, weight) => Ok((weight != Some(0), text)),
                    _ => Err(Fault::Senseless(text)),
                }
            }
            Protocol::Http => {
                let path = group.map_or("/readyz".to_owned(), |group| format!("/health/groups/{group}"));
                let (code, body) = get(self.address, &path, left)?;
                match code {
                    200 => Ok((true, body.trim().to_owned())),
                    503 => Ok((false, body.trim().to_owned())),
                    code => Err(Fault::Senseless(format!("status {code}"))),
                }
            }
            Protocol::Postgres => {
                let database = group.map_or("orders".to_owned(), |group| format!("group-{group}"));
                let words = format!("user\0web\0database\0{database}\0\0");
                let length = (words.len() as u32 + 8).to_be_bytes();
                let startup = [&length[..], &[0, 3, 0, 0], words.as_bytes()].concat();
                let enough = |answer: &[u8]| answer.starts_with(b"R") && answer.ends_with(b"Z\0\0\0\x05I");
                let answer = exchange(self.address, &startup, left, enough)?;
                match answer.first() {
                    Some(b'R') => Ok((true, "greeted".into())),
                    Some(b'E') if answer.windows(7).any(|at| at == b"C57P03\0") => {
                        let message = answer.split(|byte| *byte == 0).find(|field| field.starts_with(b"M"));
                        let message = message.map(|field| String::from_utf8_lossy(&field[1..]).into_owned());
                        Ok((false, message.unwrap_or_default()))
                    }
                    _ => Err(Fault::Senseless(format!("{} bytes", answer.len()))),
                }
            }
            Protocol::Grpc => grpc_check(self.address, group, left),
        }
    }
}

/// Sends, and reads until there is enough or the other side closes.
fn exchange(
    address: SocketAddr,
    bytes: &[u8],
    within: Duration,
    enough: impl Fn(&[u8]) -> bool,
) -> Result<Vec<u8>, Fault> {
    let until = Instant::now() + within;
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            Err(io::Error::from(io::ErrorKind::TimedOut))
        } else {
            Ok(left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&address, left()?)?;
    stream.write_all(bytes)?;
    let (mut answer, mut chunk) = (Vec::new(), [0; 4096]);
    while !enough(&answer) {
        stream.set_read_timeout(Some(left()?))?;
        match stream.read(&mut chunk) {
            Ok(0) if answer.is_empty() => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            Ok(0) => break,
            Ok(count) => answer.extend_from_slice(&chunk[..count]),
            Err(error) => return Err(error.into()),
        }
        if answer.len() > 1 << 20 {
            return Err(Fault::Senseless("more than a megabyte".into()));
        }
    }
    Ok(answer)
}

fn get(address: SocketAddr, path: &str, within: Duration) -> Result<(u16, String), Fault> {
    let call = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    let answer = exchange(address, call.as_bytes(), within, |_| false)?;
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(&answer) {
        Ok(httparse::Status::Complete(length)) => {
            let body = String::from_utf8_lossy(&answer[length..]).into_owned();
            Ok((head.code.unwrap_or(0), body))
        }
        Ok(httparse::Status::Partial) => Err(Fault::Senseless("half an answer".into())),
        Err(error) => Err(Fault::Senseless(error.to_string())),
    }
}

fn grpc_check(address: SocketAddr, group: Option<u64>, within: Duration) -> Result<(bool, String), Fault> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    let service = group.map_or(String::new(), |group| group.to_string());
    let senseless = |text: String| Fault::Senseless(text);
    let check = async {
        let stream = tokio::net::TcpStream::connect(address).await?;
        let shake = h2::client::handshake(stream).await;
        let (client, connection) = shake.map_err(|error| senseless(error.to_string()))?;
        let driving = tokio::spawn(connection);
        let mut client = client.ready().await.map_err(|error| senseless(error.to_string()))?;
        let request = http::Request::post(format!("http://{address}/grpc.health.v1.Health/Check"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(())
            .map_err(|error| senseless(error.to_string()))?;
        let sent = client.send_request(request, false);
        let (answer, mut body) = sent.map_err(|error| senseless(error.to_string()))?;
        let frame = grpc::frame(&grpc::Request { service });
        body.send_data(frame.into(), true).map_err(|error| senseless(error.to_string()))?;
        let answer = answer.await.map_err(|error| senseless(error.to_string()))?;
        if let Some(code) = answer.headers().get("grpc-status") {
            let code = code.to_str().unwrap_or("?");
            return if code == "5" {
                Ok((false, "unknown service".into()))
            } else {
                Err(senseless(format!("grpc-status {code}")))
            };
        }
        let data = answer.into_body().data().await;
        driving.abort();
        match data.and_then(Result::ok).as_deref() {
            Some(b"\0\0\0\0\x02\x08\x01") => Ok((true, "SERVING".into())),
            Some(b"\0\0\0\0\x02\x08\x02") => Ok((false, "NOT_SERVING".into())),
            other => Err(senseless(format!("{other:?}"))),
        }
    };
    let late = || io::Error::from(io::ErrorKind::TimedOut);
    runtime.block_on(async { tokio::time::timeout(within, check).await.map_err(|_| late())? })
}

/// Shows what a gateway tells of itself.
pub fn health(health: &Health) -> ExitCode {
    let told = get(health.address, "/health", Duration::from_secs(2)).and_then(|(_, body)| {
        let value: Result<Value, _> = serde_json::from_str(&body);
        value.map_err(|error| Fault::Senseless(error.to_string()))
    });
    match told {
        Ok(value) => {
            say(&if health.json { value.to_string() } else { table(&value) });
            ExitCode::SUCCESS
        }
        Err(Fault::Silent(error)) => {
            eprintln!("asterreel: {}: {error}; is it running with health on?", health.address);
            ExitCode::from(3)
        }
        Err(Fault::Senseless(text)) => {
            eprintln!("asterreel: {}: not what a gateway says: {text}", health.address);
            ExitCode::from(4)
        }
    }
}

fn table(value: &Value) -> String {
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut rows = vec![[
        "scope",
        "state",
        "weight",
        "reason",
        "in flight",
        "held",
        "members",
    ]
    .map(str::to_owned)];
    let row = |scope: String, entry: &Value| {
        let members = match (&entry["usable_members"], &entry["members"]) {
            (Value::Null, _) | (_, Value::Null) => String::new(),
            (usable, all) => format!("{usable} of {all}"),
        };
        let number = |key: &str| if entry[key].is_null() { String::new() } else { entry[key].to_string() };
        let [state, weight, reason] = ["state", "weight", "reason"].map(|key| text(&entry[key]));
        [
            scope,
            state,
            weight,
            reason,
            number("in_flight"),
            number("held"),
            members,
        ]
    };
    rows.push(row(format!("gateway {}", text(&value["serviceId"])), value));
    for (name, entries) in value["checks"].as_object().into_iter().flatten() {
        rows.push(row(name.replace(':', " "), &entries[0]));
    }
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..7).map(width).collect();
    let line = |row: &[String; 7]| {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        cells.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

//! `asterreel probe`: checks a gateway's health as a balancer would.

use super::exchange::{exchange, get, ExchangeError};
use super::print_line;
use crate::postgres as pg;
use asterreel::health::{agent, grpc};
use clap::{Args, ValueEnum};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Protocol {
    /// HAProxy's agent-check
    Agent,
    /// GET /readyz, or the group's path
    Http,
    /// Opens a connection and waits for the answer to its startup message
    Postgres,
    /// grpc.health.v1.Health/Check
    Grpc,
}

#[derive(Args)]
pub(crate) struct Probe {
    /// The listener to check, as ADDRESS:PORT
    address: SocketAddr,
    /// The protocol of the listener
    #[arg(long, value_enum, default_value = "http")]
    protocol: Protocol,
    /// Check one group instead of the whole gateway
    #[arg(long)]
    group: Option<u64>,
    /// How long to wait for the answer, in milliseconds (1 to 60000)
    #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    timeout_ms: u64,
    /// Print one JSON object
    #[arg(long)]
    json: bool,
}

/// Runs one check, and prints its result.
pub(crate) fn run(probe: &Probe) -> ExitCode {
    let started = Instant::now();
    let result = probe.check();
    let took_ms = started.elapsed().as_secs_f64() * 1e3;
    let (code, verdict, text) = match result {
        Ok((true, text)) => (0, "ready", text),
        Ok((false, text)) => (1, "not ready", text),
        Err(ExchangeError::Io(error)) => (3, "no answer", error.to_string()),
        Err(ExchangeError::Invalid(text)) => (4, "senseless answer", text),
    };
    if probe.json {
        let address = probe.address.to_string();
        print_line(
            &json!({"address": address, "verdict": verdict, "told": text, "took_ms": took_ms})
                .to_string(),
        );
    } else {
        print_line(&format!("{verdict} ({text}) in {took_ms:.1} ms"));
    }
    ExitCode::from(code)
}

impl Probe {
    /// Checks by the protocol asked for; returns whether the gateway is ready, and the text of its answer.
    fn check(&self) -> Result<(bool, String), ExchangeError> {
        let (timeout, group) = (Duration::from_millis(self.timeout_ms), self.group);
        match self.protocol {
            Protocol::Agent => {
                let line = group.map_or("\n".to_owned(), |group| format!("group {group}\n"));
                let answer = exchange(self.address, line.as_bytes(), timeout, |_| false)?;
                let text = String::from_utf8_lossy(&answer).trim().to_owned();
                let reply = agent::parse_reply(&answer)
                    .ok_or_else(|| ExchangeError::Invalid(text.clone()))?;
                match (reply.up, reply.ready, reply.weight) {
                    (Some(false), ..) | (_, Some(false), _) => Ok((false, text)),
                    (Some(true), _, weight) => Ok((weight != Some(0), text)),
                    _ => Err(ExchangeError::Invalid(text)),
                }
            }
            Protocol::Http => {
                let path = group.map_or("/readyz".to_owned(), |group| {
                    format!("/health/groups/{group}")
                });
                let (code, body) = get(self.address, &path, timeout)?;
                match code {
                    200 => Ok((true, body.trim().to_owned())),
                    503 => Ok((false, body.trim().to_owned())),
                    code => Err(ExchangeError::Invalid(format!("status {code}"))),
                }
            }
            Protocol::Postgres => {
                let database = group.map_or("orders".to_owned(), |group| format!("group-{group}"));
                let startup = pg::startup_to(&database);
                let is_complete =
                    |answer: &[u8]| answer.starts_with(b"R") && answer.ends_with(b"Z\0\0\0\x05I");
                let answer = exchange(self.address, &startup, timeout, is_complete)?;
                match answer.first() {
                    Some(b'R') => Ok((true, "greeted".into())),
                    Some(b'E') if answer.windows(7).any(|at| at == b"C57P03\0") => {
                        let message = answer
                            .split(|byte| *byte == 0)
                            .find(|field| field.starts_with(b"M"));
                        let message =
                            message.map(|field| String::from_utf8_lossy(&field[1..]).into_owned());
                        Ok((false, message.unwrap_or_default()))
                    }
                    _ => Err(ExchangeError::Invalid(format!(
                        "{} bytes that are neither a greeting nor error 57P03",
                        answer.len()
                    ))),
                }
            }
            Protocol::Grpc => grpc_check(self.address, group, timeout),
        }
    }
}

/// Calls `grpc.health.v1.Health/Check`; returns whether the service is serving, and the text of its answer.
fn grpc_check(
    address: SocketAddr,
    group: Option<u64>,
    timeout: Duration,
) -> Result<(bool, String), ExchangeError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let service = group.map_or(String::new(), |group| group.to_string());
    let invalid = |text: String| ExchangeError::Invalid(text);
    let check = async {
        let stream = tokio::net::TcpStream::connect(address).await?;
        let handshake = h2::client::handshake(stream).await;
        let (client, connection) = handshake.map_err(|error| invalid(error.to_string()))?;
        let driving = tokio::spawn(connection);
        let mut client = client
            .ready()
            .await
            .map_err(|error| invalid(error.to_string()))?;
        let request = http::Request::post(format!("http://{address}/grpc.health.v1.Health/Check"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .body(())
            .map_err(|error| invalid(error.to_string()))?;
        let sent = client.send_request(request, false);
        let (answer, mut body) = sent.map_err(|error| invalid(error.to_string()))?;
        let frame = grpc::encode_frame(&grpc::Request { service });
        body.send_data(frame.into(), true)
            .map_err(|error| invalid(error.to_string()))?;
        let answer = answer.await.map_err(|error| invalid(error.to_string()))?;
        if let Some(code) = answer.headers().get("grpc-status") {
            let code = code.to_str().unwrap_or("?");
            return if code == "5" {
                Ok((false, "unknown service".into()))
            } else {
                Err(invalid(format!("grpc-status {code}")))
            };
        }
        let data = answer.into_body().data().await;
        driving.abort();
        match data.and_then(Result::ok).as_deref() {
            Some(b"\0\0\0\0\x02\x08\x01") => Ok((true, "SERVING".into())),
            Some(b"\0\0\0\0\x02\x08\x02") => Ok((false, "NOT_SERVING".into())),
            other => Err(invalid(format!("{other:?}"))),
        }
    };
    let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
    runtime.block_on(async {
        tokio::time::timeout(timeout, check)
            .await
            .map_err(|_| timed_out())?
    })
}

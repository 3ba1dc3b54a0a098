//! Accepts connections to the health fronts, and serves agent-checks, HTTP requests and PostgreSQL connection checks.

use super::client::HealthClient;
use super::{grpc, Shared};
use asterreel::health::{agent, connection_limit, http, postgres, Scope};
use nix::errno::Errno;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// How long a check may take; for HTTP, from the first byte of the request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an HTTP connection may be idle between two checks; the connection limiter may close it sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How long to wait after accepting failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
const EMFILE: i32 = Errno::EMFILE as i32;
const ENFILE: i32 = Errno::ENFILE as i32;

/// The protocol of a health listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Front {
    Agent,
    Http,
    Postgres,
    Grpc,
}

impl Front {
    /// The front for the settings key of a listener's address.
    pub(super) fn for_key(key: &str) -> Front {
        match key {
            "agent.listen" => Front::Agent,
            "http.listen" => Front::Http,
            "postgres.listen" => Front::Postgres,
            _ => Front::Grpc,
        }
    }
}

/// Accepts connections for as long as the process runs.
pub(super) async fn accept(shared: Rc<Shared>, listener: TcpListener, front: Front) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => admit(&shared, stream, from.ip(), front),
            Err(error) if matches!(error.raw_os_error(), Some(EMFILE | ENFILE)) => {
                // The process has no free descriptor, although the limits set some aside for health. Closing a reserved
                // one lets the next check be accepted.
                if shared.reserved_descriptors.borrow_mut().pop().is_none() {
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn admit(shared: &Rc<Shared>, stream: TcpStream, from: std::net::IpAddr, front: Front) {
    let admission = shared
        .connections
        .borrow_mut()
        .admit(shared.clock.now(), from);
    let (number, replaced) = match admission {
        connection_limit::Admission::Admit(number) => (number, None),
        connection_limit::Admission::Replace(number, old) => (number, Some(old)),
        connection_limit::Admission::Reject => return,
    };
    if let Some(client) = replaced.and_then(|old| shared.clients.borrow_mut().remove(&old)) {
        client.abort();
    }
    let client = HealthClient::new(shared.clone(), number);
    let task = tokio::task::spawn_local(async move {
        let _ = stream.set_nodelay(true);
        // An error ends only this connection: the peer closed it or sent an invalid request.
        let _ = match front {
            Front::Agent => with_timeout(CHECK_TIMEOUT, serve_agent(&client, stream)).await,
            Front::Http => serve_http(&client, stream).await,
            Front::Postgres => with_timeout(CHECK_TIMEOUT, serve_postgres(&client, stream)).await,
            Front::Grpc => grpc::serve(&client, stream).await,
        };
    });
    // The task runs only after this returns, so it has not removed its entry yet.
    shared
        .clients
        .borrow_mut()
        .insert(number, task.abort_handle());
}

async fn with_timeout(
    limit: Duration,
    work: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    timeout(limit, work)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn serve_agent(client: &HealthClient, mut stream: TcpStream) -> io::Result<()> {
    let (wait_ms, reports_maxconn) = {
        let settings = client.shared.settings.borrow();
        let agent = settings.agent.as_ref();
        (
            agent.map_or(0, |agent| agent.wait_ms),
            agent.is_some_and(|agent| agent.maxconn),
        )
    };
    let mut bytes = Vec::with_capacity(agent::MAX_QUERY_BYTES);
    // Most balancers send nothing and wait for the reply.
    let first = timeout(Duration::from_millis(wait_ms), stream.read_buf(&mut bytes)).await;
    let mut selector = agent::Selector::Gateway;
    if let Ok(count) = first {
        if count? > 0 {
            selector = agent::parse_selector(&bytes);
        }
        while selector == agent::Selector::Incomplete {
            if stream.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
            selector = agent::parse_selector(&bytes);
        }
    }
    let scope = match selector {
        agent::Selector::Group(group) => Scope::Group(group),
        agent::Selector::Gateway => Scope::Gateway,
        agent::Selector::Invalid | agent::Selector::Incomplete => {
            return stream.write_all(b"#unknown selector\n").await
        }
    };
    let capacity = client.shared.capacity.get();
    let maxconn = reports_maxconn
        .then_some(capacity.max_sessions)
        .filter(|limit| *limit > 0);
    let line = agent::reply_line(client.shared.status(scope), maxconn);
    stream.write_all(line.as_bytes()).await?;
    stream.shutdown().await
}

async fn serve_http(client: &HealthClient, mut stream: TcpStream) -> io::Result<()> {
    let mut bytes = Vec::with_capacity(512);
    loop {
        if bytes.is_empty()
            && timeout(IDLE_TIMEOUT, stream.read_buf(&mut bytes))
                .await
                .unwrap_or(Ok(0))?
                == 0
        {
            return Ok(());
        }
        client.touch();
        let complete_request = async {
            loop {
                match http::parse_request(&bytes) {
                    Ok(None) if stream.read_buf(&mut bytes).await? == 0 => return Ok(Ok(None)),
                    Ok(None) => {}
                    Ok(Some(request)) => return Ok(Ok(Some(request))),
                    Err(rejected) => return Ok::<_, io::Error>(Err(rejected)),
                }
            }
        };
        let parsed = match timeout(CHECK_TIMEOUT, complete_request)
            .await
            .unwrap_or(Ok(Err(http::Rejected(408))))?
        {
            Ok(None) => return Ok(()),
            Ok(Some(request)) => Ok(request),
            Err(rejected) => Err(rejected),
        };
        let used = parsed
            .as_ref()
            .map_or(bytes.len(), |request| request.length);
        let (out, close) = http::answer(&parsed, &client.shared.snapshot());
        with_timeout(CHECK_TIMEOUT, async { stream.write_all(&out).await }).await?;
        if close {
            return stream.shutdown().await;
        }
        bytes.drain(..used);
    }
}

async fn serve_postgres(client: &HealthClient, mut stream: TcpStream) -> io::Result<()> {
    let (mut check, mut bytes) = (postgres::Check::default(), Vec::with_capacity(256));
    loop {
        let mut out = Vec::new();
        let (used, next) = check.process(&bytes, &mut out);
        bytes.drain(..used);
        let close = match next {
            postgres::Next::Read => false,
            postgres::Next::Close => true,
            postgres::Next::AnswerStartup(group) => {
                let scope = group.map_or(Scope::Gateway, Scope::Group);
                postgres::answer_startup(client.shared.status(scope), &mut out)
            }
        };
        stream.write_all(&out).await?;
        if close {
            return stream.shutdown().await;
        }
        // The remaining bytes may hold a complete message already.
        if used > 0 && !bytes.is_empty() {
            continue;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    }
}

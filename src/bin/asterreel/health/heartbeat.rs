//! The heartbeat: empty queries through the gateway's own listener, as a client would send them.
//!
//! One session stays open and sends a query at every heartbeat, which shows that the worker, the sessions and the
//! core's lock make progress. About once a second a new connection shows that clients are accepted, and replaces the
//! session.

use super::Shared;
use crate::postgres as pg;
use asterreel::health::{Event, Heartbeat};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Time between two new connections.
const CONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long to wait after a connection failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// When a connection attempt without an answer is given up and another is made; the time since the first attempt
/// keeps counting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest answer to an empty query or a startup message, in bytes.
const MAX_ANSWER_BYTES: usize = 4096;

/// Starts the tasks that open new connections and that send heartbeats on the open session.
pub(super) fn start(shared: &Rc<Shared>, address: SocketAddr) {
    let (new_sessions, sessions) = mpsc::channel(1);
    tokio::task::spawn_local(check_connections(shared.clone(), address, new_sessions));
    tokio::task::spawn_local(send_heartbeats(shared.clone(), sessions));
}

async fn check_connections(
    shared: Rc<Shared>,
    address: SocketAddr,
    new_sessions: mpsc::Sender<TcpStream>,
) {
    while !shared.terminating.get() {
        shared.handle_event(Event::Heartbeat(Heartbeat::ConnectStarted));
        match timeout(CONNECT_TIMEOUT, connect(address)).await {
            Ok(Ok(stream)) => {
                shared.handle_event(Event::Heartbeat(Heartbeat::Connected));
                if new_sessions.send(stream).await.is_err() {
                    return;
                }
                tokio::select! {
                    () = sleep(CONNECT_CHECK_INTERVAL) => {}
                    () = shared.connect_check.notified() => {}
                }
            }
            // Refused or closed: the time since the first unsuccessful attempt keeps counting.
            Ok(Err(_)) => sleep(RETRY_DELAY).await,
            Err(_) => {}
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&pg::startup()).await?;
    read_until_ready(&mut stream).await?;
    send_empty_query(&mut stream).await?;
    Ok(stream)
}

async fn send_empty_query(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&pg::simple_query("")).await?;
    read_until_ready(stream).await
}

/// Reads messages up to ReadyForQuery; an ErrorResponse is returned as an error.
async fn read_until_ready(stream: &mut TcpStream) -> io::Result<()> {
    let (mut bytes, mut used) = (Vec::new(), 0);
    loop {
        while let Some(message) = pg::message(&bytes[used..]).map_err(|_| ErrorKind::InvalidData)? {
            used += message.body.end;
            match message.tag {
                b'Z' => return Ok(()),
                b'E' => return Err(ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
        }
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn send_heartbeats(shared: Rc<Shared>, mut sessions: mpsc::Receiver<TcpStream>) {
    let mut session: Option<TcpStream> = None;
    while !shared.terminating.get() {
        // The newest session replaces the previous one, which is closed.
        while let Ok(new_session) = sessions.try_recv() {
            session = Some(new_session);
        }
        let Some(stream) = &mut session else {
            tokio::select! {
                new_session = sessions.recv() => session = new_session,
                () = shared.connect_check.notified() => {}
            }
            continue;
        };
        shared.handle_event(Event::Heartbeat(Heartbeat::Sent));
        let answered = tokio::select! {
            answered = send_empty_query(stream) => answered.is_ok(),
            () = wait_for_termination(&shared) => false,
        };
        if answered {
            shared.handle_event(Event::Heartbeat(Heartbeat::Answered));
        } else {
            session = None;
            shared.handle_event(Event::Heartbeat(Heartbeat::SessionLost));
            shared.connect_check.notify_waiters();
        }
        let interval = Duration::from_millis(shared.settings.borrow().options.beat_every_ms);
        sleep(interval).await;
    }
}

/// Returns once the program has been told to terminate.
async fn wait_for_termination(shared: &Shared) {
    while !shared.terminating.get() {
        shared.connect_check.notified().await;
    }
}

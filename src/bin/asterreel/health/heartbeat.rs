//! The heartbeat: an empty query through the gateway's own listener, as a client would send it.
//!
//! One session stays open and is asked at every beat, which shows that the worker, sessions and the core's lock move;
//! about once a second a fresh connection shows that clients are accepted, and takes the session's place.

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

/// Time between two fresh connections.
const CONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Wait after a connection failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// When a connection that got no answer is given up for another; what it waits for counts on.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest answer to an empty query or a startup message.
const LONGEST: usize = 4096;

/// Starts both halves.
pub(super) fn start(shared: &Rc<Shared>, address: SocketAddr) {
    let (entered, sessions) = mpsc::channel(1);
    tokio::task::spawn_local(connect_check(shared.clone(), address, entered));
    tokio::task::spawn_local(beat(shared.clone(), sessions));
}

async fn connect_check(shared: Rc<Shared>, address: SocketAddr, entered: mpsc::Sender<TcpStream>) {
    while !shared.ending.get() {
        shared.event(Event::Heartbeat(Heartbeat::ConnectStarted));
        match timeout(CONNECT_TIMEOUT, connect(address)).await {
            Ok(Ok(stream)) => {
                shared.event(Event::Heartbeat(Heartbeat::Connected));
                if entered.send(stream).await.is_err() {
                    return;
                }
                tokio::select! {
                    () = sleep(CONNECT_CHECK_INTERVAL) => {}
                    () = shared.connect_check.notified() => {}
                }
            }
            // Refused or closed: the age of this connection attempt keeps growing.
            Ok(Err(_)) => sleep(RETRY_DELAY).await,
            Err(_) => {}
        }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&pg::startup()).await?;
    until_ready(&mut stream).await?;
    ask(&mut stream).await?;
    Ok(stream)
}

async fn ask(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&pg::simple_query("")).await?;
    until_ready(stream).await
}

/// Reads messages up to ReadyForQuery; an error message is an error.
async fn until_ready(stream: &mut TcpStream) -> io::Result<()> {
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
        if bytes.len() > LONGEST {
            return Err(ErrorKind::InvalidData.into());
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn beat(shared: Rc<Shared>, mut sessions: mpsc::Receiver<TcpStream>) {
    let mut session: Option<TcpStream> = None;
    while !shared.ending.get() {
        // The newest takes the place of the one before, which is closed.
        while let Ok(newer) = sessions.try_recv() {
            session = Some(newer);
        }
        let Some(stream) = &mut session else {
            tokio::select! {
                newer = sessions.recv() => session = newer,
                () = shared.connect_check.notified() => {}
            }
            continue;
        };
        shared.event(Event::Heartbeat(Heartbeat::Sent));
        let answered = tokio::select! {
            answered = ask(stream) => answered.is_ok(),
            () = ended(&shared) => false,
        };
        if answered {
            shared.event(Event::Heartbeat(Heartbeat::Answered));
        } else {
            session = None;
            shared.event(Event::Heartbeat(Heartbeat::SessionLost));
            shared.connect_check.notify_waiters();
        }
        let every = Duration::from_millis(shared.settings.borrow().options.beat_every_ms);
        sleep(every).await;
    }
}

/// Returns once the program ends.
async fn ended(shared: &Shared) {
    while !shared.ending.get() {
        shared.connect_check.notified().await;
    }
}

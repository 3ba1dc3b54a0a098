//! A way between some gateways and the rest that can be cut: connections through it stay open and carry nothing.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What is read at once from one side, and kept of a client while the way is cut.
const CHUNK: usize = 16 * 1024;
/// Wait after no connection could be accepted: descriptors may be free again by then.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

/// A forwarder: where it listens, and where it carries connections to.
pub type Forward = (SocketAddr, SocketAddr);

/// Forwarders that are cut and healed together. They end with the process.
pub struct Cut {
    is_cut: watch::Sender<bool>,
}

impl Cut {
    /// Starts the forwarders on a thread of their own.
    ///
    /// # Errors
    ///
    /// A listener could not be bound.
    pub fn start(forwards: Vec<Forward>) -> io::Result<Cut> {
        let (is_cut, watched) = watch::channel(false);
        let listen = |(at, to): Forward| -> io::Result<(std::net::TcpListener, SocketAddr)> {
            let listener = std::net::TcpListener::bind(at)?;
            listener.set_nonblocking(true)?;
            Ok((listener, to))
        };
        let listeners = forwards
            .into_iter()
            .map(listen)
            .collect::<io::Result<Vec<_>>>()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let run = move || {
            runtime.block_on(async move {
                let serve = |(listener, to)| tokio::spawn(serve(listener, to, watched.clone()));
                let all: Vec<_> = listeners.into_iter().map(serve).collect();
                for one in all {
                    let _ = one.await;
                }
            });
        };
        std::thread::Builder::new().name("cut".into()).spawn(run)?;
        Ok(Cut { is_cut })
    }

    /// Cuts all of them, or heals them.
    pub fn set(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn serve(
    listener: std::net::TcpListener,
    to: SocketAddr,
    is_cut: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        match listener.accept().await {
            Ok((from, _)) => drop(tokio::spawn(carry(from, to, is_cut.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_AGAIN).await,
        }
    }
}

/// Waits until the way is healed, and takes in what the client says meanwhile; false where the client gives up. One that
/// dials again and again must not hold a descriptor for each time until then.
async fn healed(
    client: &mut TcpStream,
    ahead: &mut Vec<u8>,
    is_cut: &mut watch::Receiver<bool>,
) -> io::Result<bool> {
    loop {
        tokio::select! {
            biased;
            _ = is_cut.wait_for(|is_cut| !is_cut) => return Ok(true),
            count = client.read_buf(ahead), if ahead.len() < CHUNK => {
                if count? == 0 {
                    return Ok(false);
                }
            }
        }
    }
}

async fn carry(
    mut client: TcpStream,
    to: SocketAddr,
    mut is_cut: watch::Receiver<bool>,
) -> io::Result<()> {
    // A new connection waits for the way, as its first packet would.
    let mut ahead = Vec::new();
    if !healed(&mut client, &mut ahead, &mut is_cut).await? {
        return Ok(());
    }
    let mut server = TcpStream::connect(to).await?;
    server.write_all(&ahead).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // The end of either direction ends the connection.
    tokio::select! {
        ended = pump(from_client, to_server, is_cut.clone()) => ended,
        ended = pump(from_server, to_client, is_cut) => ended,
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_cut: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    loop {
        let count = from.read(&mut chunk).await?;
        let _ = is_cut.wait_for(|is_cut| !is_cut).await;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&chunk[..count]).await?;
    }
}

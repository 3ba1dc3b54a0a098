//! TCP forwarders between some gateways and the rest that can be cut: connections stay open, but no bytes are
//! forwarded.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Buffer size for reads, and for a client's bytes before its connection to the target is open.
const BUFFER_BYTES: usize = 16 * 1024;
/// Delay after a failed accept, as when no file descriptors are free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A forwarder: the address where it listens, and the target address.
pub type Forward = (SocketAddr, SocketAddr);

/// Forwarders that are cut and healed together. They run until the process exits.
pub struct Cut {
    is_cut: watch::Sender<bool>,
}

impl Cut {
    /// Starts the forwarders on a new thread.
    ///
    /// # Errors
    ///
    /// A listener could not be bound, or the thread could not be started.
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
                let forwarders: Vec<_> = listeners.into_iter().map(serve).collect();
                for forwarder in forwarders {
                    let _ = forwarder.await;
                }
            });
        };
        std::thread::Builder::new().name("cut".into()).spawn(run)?;
        Ok(Cut { is_cut })
    }

    /// Cuts all forwarders, or heals them.
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
            Ok((from, _)) => drop(tokio::spawn(forward_connection(from, to, is_cut.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Waits until the forwarder is healed, and buffers up to [`BUFFER_BYTES`] bytes from the client meanwhile. Returns
/// false if the client disconnects: without this check, a client that reconnects repeatedly during a cut would hold a
/// descriptor for every attempt.
async fn wait_until_healed(
    client: &mut TcpStream,
    buffered: &mut Vec<u8>,
    is_cut: &mut watch::Receiver<bool>,
) -> io::Result<bool> {
    loop {
        tokio::select! {
            biased;
            _ = is_cut.wait_for(|is_cut| !is_cut) => return Ok(true),
            count = client.read_buf(buffered), if buffered.len() < BUFFER_BYTES => {
                if count? == 0 {
                    return Ok(false);
                }
            }
        }
    }
}

async fn forward_connection(
    mut client: TcpStream,
    to: SocketAddr,
    mut is_cut: watch::Receiver<bool>,
) -> io::Result<()> {
    // A new connection waits until the forwarder is healed, as a SYN would be retransmitted.
    let mut buffered = Vec::new();
    if !wait_until_healed(&mut client, &mut buffered, &mut is_cut).await? {
        return Ok(());
    }
    let mut server = TcpStream::connect(to).await?;
    server.write_all(&buffered).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    // The end of either direction ends the connection.
    tokio::select! {
        ended = forward(from_client, to_server, is_cut.clone()) => ended,
        ended = forward(from_server, to_client, is_cut) => ended,
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut is_cut: watch::Receiver<bool>,
) -> io::Result<()> {
    let mut chunk = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut chunk).await?;
        let _ = is_cut.wait_for(|is_cut| !is_cut).await;
        if count == 0 {
            return Ok(());
        }
        to.write_all(&chunk[..count]).await?;
    }
}

//! Links between control members, and between gateways and the control members that serve them.
//!
//! A control member dials each other one, and sends Raft messages only on the links that it dialled ([`member`]). It only
//! reads from links that others dialled, so that members notice when connections work in one direction only. A gateway keeps
//! one link to the leading control member, on which both sides send ([`gateway`]). [`accept`] accepts links of both kinds.
//!
//! Links carry frames and events; they decide neither who leads nor which registration is valid.

pub(crate) mod accept;
pub(crate) mod gateway;
pub(crate) mod member;
#[cfg(test)]
mod tests;

use crate::frame::{self, FrameError, FrameReader, Hello, Payload};
use crate::traffic::Traffic;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Events of all links that may be queued for the loop.
pub(crate) const EVENT_QUEUE_LENGTH: usize = 1024;
/// How long the peer may take to connect and send its hello.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long the peer may take to receive a frame.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The shortest backoff before a lost link is dialled again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest backoff before a lost link is dialled again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// The hello of this process, which the loop keeps up to date.
#[derive(Clone, Default)]
pub(crate) struct SharedHello(Arc<Mutex<Hello>>);

impl SharedHello {
    /// A copy of the hello as the loop last set it.
    pub(crate) fn hello(&self) -> Hello {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the hello; returns whether that changed it.
    pub(crate) fn set(&self, hello: Hello) -> bool {
        let mut own = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = *own != hello;
        *own = hello;
        changed
    }
}

/// A link after the handshake.
struct Established {
    frames: FrameReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    hello: Hello,
}

/// Dials gateway `expected` and exchanges hellos. The timeout covers both, as the kernel accepts connections for a process
/// that is stalled.
async fn handshake(
    expected: u64,
    address: SocketAddr,
    own: &Hello,
    handshake_timeout: Duration,
    traffic: &Traffic,
) -> Result<Established, FrameError> {
    let exchange = async {
        let link = TcpStream::connect(address).await?;
        link.set_nodelay(true)?;
        let (read, mut write) = link.into_split();
        let mut frames = FrameReader::new(read, traffic.clone());
        frame::write(&mut write, &frame::encode_hello(own)?, traffic).await?;
        let Payload::Hello(hello) = frames.next().await? else {
            return Err(FrameError::UnexpectedKind);
        };
        hello.check(own.fleet_digest, Some(expected))?;
        Ok(Established {
            frames,
            write,
            hello,
        })
    };
    timeout(handshake_timeout, exchange)
        .await
        .map_err(|_| FrameError::TimedOut)?
}

/// Writes a frame, unless the peer takes longer than [`WRITE_TIMEOUT`] to receive it.
async fn write(to: &mut OwnedWriteHalf, frame: &[u8], traffic: &Traffic) -> Result<(), FrameError> {
    timeout(WRITE_TIMEOUT, frame::write(to, frame, traffic))
        .await
        .map_err(|_| FrameError::TimedOut)?
}

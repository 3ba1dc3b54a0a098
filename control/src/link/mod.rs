//! Links between control members, and between gateways and the control members that serve them.
//!
//! Control members dial each other and send messages of the consensus on the links that they dialled ([`member`]); what
//! comes in on the links that others dial is read only, so that a link that works one way is seen as that. A gateway keeps
//! one link, to the control member that leads, and both speak on it ([`gateway`]). [`accept`] takes both kinds.

pub(crate) mod accept;
pub(crate) mod gateway;
pub(crate) mod member;
#[cfg(test)]
mod tests;

use crate::frame::{self, BadFrame, Frames, Hello, Payload};
use crate::traffic::Traffic;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Events of all links that may wait for the loop.
pub(crate) const EVENT_QUEUE: usize = 1024;
/// How long the other side may take to connect and say hello, and to take a frame.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Waits before a lost link is dialled again: the first, and the longest.
const RETRY_FIRST: Duration = Duration::from_millis(50);
const RETRY_LONGEST: Duration = Duration::from_millis(1_000);

/// What this process says first, kept up to date by the loop.
#[derive(Clone, Default)]
pub(crate) struct SharedHello(Arc<Mutex<Hello>>);

impl SharedHello {
    /// What is said at present.
    pub(crate) fn hello(&self) -> Hello {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Says this from now on; whether that is another than before.
    pub(crate) fn set(&self, hello: Hello) -> bool {
        let mut own = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let changed = *own != hello;
        *own = hello;
        changed
    }
}

/// A link on which both sides have said hello.
struct Established {
    frames: Frames<OwnedReadHalf>,
    write: OwnedWriteHalf,
    hello: Hello,
}

/// Dials gateway `expected` and says hello, within a time: a process that stands still takes connections all the same.
async fn handshake(
    expected: u64,
    address: SocketAddr,
    own: &Hello,
    within: Duration,
    traffic: &Traffic,
) -> Result<Established, BadFrame> {
    let exchange = async {
        let link = TcpStream::connect(address).await?;
        link.set_nodelay(true)?;
        let (read, mut write) = link.into_split();
        let mut frames = Frames::new(read, traffic.clone());
        frame::write(&mut write, &frame::hello(own)?, traffic).await?;
        let Payload::Hello(hello) = frames.next().await? else {
            return Err(BadFrame::Unknown);
        };
        hello.check(own.fleet, Some(expected))?;
        Ok(Established {
            frames,
            write,
            hello,
        })
    };
    timeout(within, exchange)
        .await
        .map_err(|_| BadFrame::Silent)?
}

/// Writes a frame whole, unless the other side takes too long to take it.
async fn write(to: &mut OwnedWriteHalf, frame: &[u8], traffic: &Traffic) -> Result<(), BadFrame> {
    timeout(WRITE_TIMEOUT, frame::write(to, frame, traffic))
        .await
        .map_err(|_| BadFrame::Silent)?
}

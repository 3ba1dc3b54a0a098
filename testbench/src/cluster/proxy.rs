//! Proxied links between gateways that can be cut in one direction or both, delayed, and made to duplicate or reorder
//! frames.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The faults of one direction between two gateways.
#[derive(Debug, Default)]
pub struct Direction {
    /// No frames are forwarded; they wait until the cut ends, as TCP retransmits lost segments.
    cut: AtomicBool,
    /// Delay of every frame, milliseconds.
    delay_ms: AtomicU64,
    /// Each frame whose number is a multiple of this is faulty: alternately one is duplicated, and one is sent after
    /// the frame that follows it. 0 is never.
    fault_every: AtomicU64,
}

impl Direction {
    /// Cuts the direction or restores it.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Sets the delay of every frame.
    pub fn delay(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Duplicates or reorders one in `every` frames; 0 is none.
    pub fn mangle(&self, every: u64) {
        self.fault_every.store(every, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }
}

/// How often a direction that is cut is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A longer frame closes the link; the gateways' own limit is 1 MiB.
const MAX_FRAME_BYTES: usize = 2 << 20;

/// Starts a proxy to `target` for one gateway that connects to it, and returns the proxy's address. `to` is the
/// direction to the target, `back` the one from it.
pub(super) fn link(
    target: SocketAddr,
    to: Arc<Direction>,
    back: Arc<Direction>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (to, back) = (to.clone(), back.clone());
            thread::spawn(move || proxy_connection(client, target, &to, back));
        }
    });
    Ok(address)
}

fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    to: &Direction,
    back: Arc<Direction>,
) -> io::Result<()> {
    // A TCP handshake needs both directions.
    while to.is_cut() || back.is_cut() {
        thread::sleep(POLL_INTERVAL);
    }
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from, into) = (server.try_clone()?, client.try_clone()?);
    thread::spawn(move || forward(from, into, &back));
    forward(client, server, to)
}

fn forward(mut from: TcpStream, mut into: TcpStream, direction: &Direction) -> io::Result<()> {
    let result = forward_frames(&mut from, &mut into, direction);
    let _ = from.shutdown(Shutdown::Both);
    let _ = into.shutdown(Shutdown::Both);
    result
}

/// Forwards whole frames: a length of four bytes, big-endian, and as many bytes.
fn forward_frames(
    from: &mut TcpStream,
    into: &mut TcpStream,
    direction: &Direction,
) -> io::Result<()> {
    let mut count = 0_u64;
    let mut delayed: Option<Vec<u8>> = None;
    loop {
        let mut length = [0; 4];
        from.read_exact(&mut length)?;
        let size = u32::from_be_bytes(length) as usize;
        if size > MAX_FRAME_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut frame = length.to_vec();
        frame.resize(4 + size, 0);
        from.read_exact(&mut frame[4..])?;
        thread::sleep(Duration::from_millis(
            direction.delay_ms.load(Ordering::Relaxed),
        ));
        while direction.is_cut() {
            thread::sleep(POLL_INTERVAL);
        }
        count += 1;
        let every = direction.fault_every.load(Ordering::Relaxed);
        // The first frame is the hello, which must arrive first and once.
        let is_faulty = every > 0 && count > 1 && count % every == 0;
        if is_faulty && count % (2 * every) == 0 && delayed.is_none() {
            delayed = Some(frame);
            continue;
        }
        into.write_all(&frame)?;
        if is_faulty {
            into.write_all(&frame)?;
        }
        if let Some(earlier) = delayed.take() {
            into.write_all(&earlier)?;
        }
    }
}

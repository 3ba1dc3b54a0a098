//! Links between gateways that can be cut in one direction or both, slowed, and made to double or swap frames.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What one direction between two gateways does to what goes over it.
#[derive(Debug, Default)]
pub struct Way {
    /// Nothing comes through; what is on its way waits, as TCP's own repeats do.
    cut: AtomicBool,
    /// Added to every frame's way, milliseconds.
    delay_ms: AtomicU64,
    /// Every so many frames one is doubled, and another swapped with the next; 0 is never.
    mangle_every: AtomicU64,
}

impl Way {
    /// Cuts it or heals it.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Slows it.
    pub fn delay(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Doubles and swaps one in so many frames.
    pub fn mangle(&self, every: u64) {
        self.mangle_every.store(every, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }
}

/// Time between two looks at whether a cut is healed.
const LOOK: Duration = Duration::from_millis(5);
/// A frame longer than this ends the link: the gateways' own bound is a mebibyte.
const LONGEST: usize = 2 << 20;

/// Listens in front of `target` for one gateway that dials it; `to` is the direction to the target, `back` from it.
pub(super) fn link(target: SocketAddr, to: Arc<Way>, back: Arc<Way>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (to, back) = (to.clone(), back.clone());
            thread::spawn(move || carry(client, target, &to, back));
        }
    });
    Ok(address)
}

fn carry(client: TcpStream, target: SocketAddr, to: &Way, back: Arc<Way>) -> io::Result<()> {
    // A new connection needs both directions.
    while to.is_cut() || back.is_cut() {
        thread::sleep(LOOK);
    }
    let server = TcpStream::connect(target)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from, into) = (server.try_clone()?, client.try_clone()?);
    thread::spawn(move || pump(from, into, &back));
    pump(client, server, to)
}

fn pump(mut from: TcpStream, mut into: TcpStream, way: &Way) -> io::Result<()> {
    let ended = frames(&mut from, &mut into, way);
    let _ = from.shutdown(Shutdown::Both);
    let _ = into.shutdown(Shutdown::Both);
    ended
}

/// Carries whole frames: a length of four bytes, and so many bytes.
fn frames(from: &mut TcpStream, into: &mut TcpStream, way: &Way) -> io::Result<()> {
    let mut count = 0_u64;
    let mut held: Option<Vec<u8>> = None;
    loop {
        let mut length = [0; 4];
        from.read_exact(&mut length)?;
        let size = u32::from_be_bytes(length) as usize;
        if size > LONGEST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut frame = length.to_vec();
        frame.resize(4 + size, 0);
        from.read_exact(&mut frame[4..])?;
        thread::sleep(Duration::from_millis(way.delay_ms.load(Ordering::Relaxed)));
        while way.is_cut() {
            thread::sleep(LOOK);
        }
        count += 1;
        let every = way.mangle_every.load(Ordering::Relaxed);
        // The first frame is a greeting, which the gateways want first.
        let mangled = every > 0 && count > 1 && count % every == 0;
        if mangled && count % (2 * every) == 0 && held.is_none() {
            held = Some(frame);
            continue;
        }
        into.write_all(&frame)?;
        if mangled {
            into.write_all(&frame)?;
        }
        if let Some(earlier) = held.take() {
            into.write_all(&earlier)?;
        }
    }
}

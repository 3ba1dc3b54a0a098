//! Sockets for coroutines: reads, writes and waits of one connection.

use crate::runtime::buffer::{Buffer, CHUNK_BYTES};
use crate::runtime::memory::Reservation;
use crate::runtime::timer::Timer;
use crate::runtime::turns::{Owner, Share};
use asterreel::interface::Micros;
use asterreel::memory::Purpose;
use asterreel_control::clock::Clock;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Why not all bytes were written.
#[derive(Debug)]
pub(crate) enum WriteError<E> {
    /// The caller's check failed, after so many bytes had been written.
    Refused {
        /// The error of the check.
        reason: E,
        /// How many bytes had been written.
        written: usize,
    },
    /// The socket failed.
    Socket(io::Error),
}

/// A connection and its read buffer.
///
/// Waits have no timeout: the caller sets an alarm first.
pub(crate) struct Stream {
    socket: Arc<TcpStream>,
    /// Bytes that were read and are not consumed yet.
    pub buffer: Buffer,
    /// Sets the alarms that wake coroutines waiting for this connection.
    pub timer: Arc<Timer>,
    share: Share,
    /// What the buffer holds.
    memory: Reservation,
}

impl Stream {
    /// A stream over a connected socket, whose work counts against this owner's share.
    pub(crate) fn new(socket: TcpStream, timer: Arc<Timer>, owner: Owner) -> Stream {
        // Avoids the delays of Nagle's algorithm for small messages. An error is ignored: messages arrive without the
        // option too.
        let _ = socket.set_nodelay(true);
        let purpose = match owner {
            Owner::Client(_) => Purpose::Input,
            Owner::Server(_) | Owner::Listener => Purpose::Answer,
        };
        Stream {
            socket: Arc::new(socket),
            buffer: Buffer::default(),
            timer,
            share: Share::new(owner),
            memory: Reservation::empty(owner, purpose),
        }
    }

    /// Connects to `address` within `timeout`, microseconds.
    ///
    /// # Errors
    ///
    /// The errors of socket(2) and connect(2), and a timeout.
    pub(crate) fn connect(
        address: SocketAddr,
        timeout: Micros,
        timer: &Arc<Timer>,
    ) -> io::Result<Stream> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_micros(timeout.max(1)))?;
        Ok(Stream::new(socket, timer.clone(), Owner::Server(address)))
    }

    /// A handle that wakes the coroutine waiting for this connection.
    pub(crate) fn waker(&self) -> WaitIoWaker {
        self.socket.waker()
    }

    /// Takes a turn for the next step of the work that the peer causes, a read or the handling of a message. Waits for
    /// the turn of this connection, unless one has just begun.
    pub(crate) fn take_turn(&mut self) {
        while !self.may_step() {
            self.wait();
        }
    }

    /// Takes a turn as [`Stream::take_turn`] does, but without waiting: the coroutine that waits for this connection is
    /// woken when it should ask again.
    pub(crate) fn may_step(&mut self) -> bool {
        let socket = &self.socket;
        self.share.may_step(|| socket.waker())
    }

    /// Ends the turn of this connection, which otherwise lasts until the coroutine waits for the connection.
    pub(crate) fn end_turn(&mut self) {
        self.share.end_turn();
    }

    /// Reads available bytes without waiting; `None` if there are none, `Some(0)` at the end of the stream.
    pub(crate) fn read_now(&mut self) -> io::Result<Option<usize>> {
        self.read_at_most(CHUNK_BYTES)
    }

    /// Reads available bytes without waiting, at most this many; returns as [`Stream::read_now`] does.
    pub(crate) fn read_at_most(&mut self, max_bytes: usize) -> io::Result<Option<usize>> {
        loop {
            match self
                .buffer
                .read_from(self.timer.now(), self.socket.inner(), max_bytes)
            {
                Ok(count) => {
                    self.count_buffer();
                    return Ok(Some(count));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Counts what the buffer holds beyond one chunk, which is planned for each connection.
    fn count_buffer(&mut self) {
        let capacity = self.buffer.capacity();
        let counted = if capacity <= CHUNK_BYTES { 0 } else { capacity };
        self.memory.resize(counted);
    }

    /// Whether the buffer may grow for a read of at most this many bytes. One chunk may always be read.
    pub(crate) fn make_room(&mut self, max_bytes: usize) -> bool {
        let capacity = self.buffer.capacity_for_read(max_bytes);
        capacity <= CHUNK_BYTES || self.memory.try_resize(capacity)
    }

    /// Reads available bytes without waiting, at most one chunk, past the buffer; `None` if there are none, and no bytes
    /// at the end of the stream.
    pub(crate) fn read_apart(&mut self, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
        let mut chunk = vec![0; max_bytes.min(CHUNK_BYTES)];
        loop {
            match self.socket.inner().read(&mut chunk) {
                Ok(count) => {
                    chunk.truncate(count);
                    return Ok(Some(chunk));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Whether the peer has closed or reset the connection, see [`PeerState::has_closed`].
    pub(crate) fn has_peer_closed(&self) -> bool {
        self.peer().has_closed()
    }

    /// The peer of the connection, for coroutines that do not own the stream.
    pub(crate) fn peer(&self) -> PeerState {
        PeerState(self.socket.clone())
    }

    /// Closes a connection so that the last bytes written still arrive: closing a socket with unread bytes would reset the
    /// connection. Shuts down the sending side, then reads and discards what the peer still sends until it closes too, for
    /// at most this time and number of bytes.
    pub(crate) fn close_gracefully(&mut self, clock: Clock, timeout: Micros, max_bytes: usize) {
        if self.socket.inner().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = clock.now() + timeout;
        let _alarm = self.timer.alarm(deadline, self.waker());
        let mut discarded = 0;
        while discarded < max_bytes {
            self.buffer.consume(usize::MAX);
            self.take_turn();
            match self.read_now() {
                Ok(Some(0)) | Err(_) => return,
                Ok(Some(count)) => discarded += count,
                Ok(None) if clock.now() >= deadline => return,
                Ok(None) => self.wait(),
            }
        }
    }

    /// Waits until the socket is ready to read or write, or the waker wakes this coroutine.
    pub(crate) fn wait(&mut self) {
        self.share.end_turn();
        self.buffer.free_if_empty();
        self.count_buffer();
        self.socket.wait_io();
    }

    /// Writes as many of the bytes as the socket takes without waiting; returns how many.
    ///
    /// # Errors
    ///
    /// The errors of the socket.
    pub(crate) fn write_now(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.socket.inner().write(bytes) {
            Err(error)
                if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
            {
                Ok(0)
            }
            written => written,
        }
    }

    /// Writes all bytes; `check` decides before each write, hence also after each wait, whether to go on.
    ///
    /// # Errors
    ///
    /// The errors of the socket, and the error of `check`.
    pub(crate) fn write_all<E>(
        &mut self,
        bytes: &[u8],
        check: impl Fn() -> Result<(), E>,
    ) -> Result<(), WriteError<E>> {
        let mut written = 0;
        while written < bytes.len() {
            check().map_err(|reason| WriteError::Refused { reason, written })?;
            match self.socket.inner().write(&bytes[written..]) {
                Ok(0) => return Err(WriteError::Socket(ErrorKind::WriteZero.into())),
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.wait(),
                Err(error) => return Err(WriteError::Socket(error)),
            }
        }
        Ok(())
    }

    /// Writes all bytes, or as many as the socket takes until the deadline.
    ///
    /// # Errors
    ///
    /// The errors of the socket, and `TimedOut` at the deadline.
    pub(crate) fn write_until(
        &mut self,
        bytes: &[u8],
        clock: Clock,
        deadline: Micros,
    ) -> io::Result<()> {
        let check = || {
            if clock.now() < deadline {
                Ok(())
            } else {
                Err(ErrorKind::TimedOut)
            }
        };
        self.write_all(bytes, check).map_err(|error| match error {
            WriteError::Refused { reason, .. } => reason.into(),
            WriteError::Socket(error) => error,
        })
    }
}

/// Tells whether the peer of a connection is still there. It keeps the socket open.
pub(crate) struct PeerState(Arc<TcpStream>);

impl PeerState {
    /// Whether the peer has closed or reset the connection, even if bytes before the end are still unread; false if that
    /// can't be determined.
    pub(crate) fn has_closed(&self) -> bool {
        let ends = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
        let poll = || -> nix::Result<bool> {
            let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
            epoll.add(self.0.inner(), EpollEvent::new(EpollFlags::EPOLLRDHUP, 0))?;
            let mut events = [EpollEvent::empty()];
            Ok(epoll.wait(&mut events, EpollTimeout::ZERO)? > 0
                && events[0].events().intersects(ends))
        };
        poll().unwrap_or(false)
    }
}

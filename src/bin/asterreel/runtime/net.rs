//! What every connection is made of: a socket, its one buffer, waits and coroutines.

use crate::runtime::timer::Timer;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Stack of a coroutine in machine words (128 KiB). The deepest measured used 677 of them; overflowing kills
/// the process, and only what is touched takes memory. An odd number makes may report what was used.
pub(crate) const STACK_WORDS: usize = 0x4000;

/// The same for the coroutine that decodes JSON (1 MiB): nested as deep as the decoder lets it, a line used up
/// 128 KiB.
pub(crate) const JSON_STACK_WORDS: usize = 0x20000;

/// Starts a coroutine. `go!` hides an unsafe block: a coroutine that overflows its stack or leans on a
/// thread-local across a yield is undefined. Nothing here keeps a thread-local or a tracing span across a
/// wait, and the stack is many times what was measured.
pub(crate) fn spawn(work: impl FnOnce() + Send + 'static) {
    may::go!(work);
}

/// The same with a stack of so many words.
pub(crate) fn spawn_with_stack(
    words: usize,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    may::go!(may::coroutine::Builder::new().stack_size(words), work).map(drop)
}

/// Bytes that came in and are not used up yet, and when they were read; grows as needed and is compacted in place.
#[derive(Default)]
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    /// How many bytes were used up since the connection began.
    consumed: u64,
    /// The reads that brought the bytes, oldest first.
    reads: VecDeque<ReadMark>,
}

/// One read, or several in a row that are no longer told apart.
struct ReadMark {
    /// How many bytes had come since the connection began, those of this read included. Moves with neither
    /// compaction nor use.
    end: u64,
    at: Micros,
}

/// What is read at once, and what an empty buffer may keep.
const CHUNK: usize = 8 * 1024;

/// How many reads a buffer tells apart. A client that is sent answers sends a message or two ahead, and a full buffer
/// that is read in whole chunks has 17 reads; more come from whoever writes byte by byte, and must not hold memory.
const READ_MARKS: usize = 64;

impl Buffer {
    pub(crate) fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// When the last of the first `count` bytes was read; nothing where they aren't all here.
    pub(crate) fn read_at(&self, count: usize) -> Option<Micros> {
        let last = self.consumed + count as u64;
        // Sorted by their ends.
        let mark = self.reads.partition_point(|mark| mark.end < last);
        self.reads.get(mark).map(|mark| mark.at)
    }

    pub(crate) fn consume(&mut self, count: usize) {
        let count = count.min(self.data().len());
        self.start += count;
        self.consumed += count as u64;
        let used_up = self.reads.partition_point(|mark| mark.end <= self.consumed);
        self.reads.drain(..used_up);
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            // One large value must not hold its room for the life of an idle connection.
            self.bytes.shrink_to(CHUNK);
            self.reads.shrink_to(1);
        }
    }

    /// Reads once, so many bytes at most.
    pub(crate) fn read_from(
        &mut self,
        now: Micros,
        mut source: impl Read,
        most: usize,
    ) -> io::Result<usize> {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
        let filled = self.bytes.len();
        self.bytes.resize(filled + most.min(CHUNK), 0);
        let read = source.read(&mut self.bytes[filled..]);
        let count = *read.as_ref().unwrap_or(&0);
        self.bytes.truncate(filled + count);
        if count > 0 {
            self.mark_read(now);
        }
        read
    }

    /// Notes that all bytes since the last mark were read at this time.
    fn mark_read(&mut self, now: Micros) {
        self.reads.push_back(ReadMark {
            end: self.consumed + self.data().len() as u64,
            at: now,
        });
        if self.reads.len() <= READ_MARKS {
            return;
        }
        // The two that are closest in time become one. The earlier time holds for both: whoever waits for an answer
        // rather has it a little early than after its time.
        let gap = |earlier: &usize| {
            self.reads[earlier + 1]
                .at
                .saturating_sub(self.reads[*earlier].at)
        };
        if let Some(earlier) = (0..self.reads.len() - 1).min_by_key(gap) {
            self.reads[earlier].end = self.reads[earlier + 1].end;
            self.reads.remove(earlier + 1);
        }
    }
}

/// A connection and its buffer.
pub(crate) struct Stream {
    socket: TcpStream,
    pub buffer: Buffer,
    pub timer: Arc<Timer>,
}

impl Stream {
    pub(crate) fn new(socket: TcpStream, timer: Arc<Timer>) -> Stream {
        // Small messages that wait for an answer must not wait for each other.
        let _ = socket.set_nodelay(true);
        Stream {
            socket,
            buffer: Buffer::default(),
            timer,
        }
    }

    pub(crate) fn connect(
        address: SocketAddr,
        within: Micros,
        timer: &Arc<Timer>,
    ) -> io::Result<Stream> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_micros(within.max(1)))?;
        Ok(Stream::new(socket, timer.clone()))
    }

    pub(crate) fn waker(&self) -> WaitIoWaker {
        self.socket.waker()
    }

    /// Reads what is there, without waiting; `None` when there is nothing, `Some(0)` at the end.
    pub(crate) fn read_now(&mut self) -> io::Result<Option<usize>> {
        self.read_at_most(CHUNK)
    }

    /// The same, and leaves what comes after so many bytes unread.
    pub(crate) fn read_at_most(&mut self, most: usize) -> io::Result<Option<usize>> {
        loop {
            match self
                .buffer
                .read_from(self.timer.now(), self.socket.inner(), most)
            {
                Ok(count) => return Ok(Some(count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Whether the other side has closed or reset the connection, even where bytes that came before the end are still
    /// unread; one that can't be asked hasn't.
    pub(crate) fn has_peer_closed(&self) -> bool {
        let ends = EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLHUP | EpollFlags::EPOLLERR;
        let asked = || -> nix::Result<bool> {
            let epoll = Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?;
            epoll.add(
                self.socket.inner(),
                EpollEvent::new(EpollFlags::EPOLLRDHUP, 0),
            )?;
            let mut told = [EpollEvent::empty()];
            Ok(epoll.wait(&mut told, EpollTimeout::ZERO)? > 0 && told[0].events().intersects(ends))
        };
        asked().unwrap_or(false)
    }

    /// Ends a connection so that what was written last arrives: a close over unread bytes would reset it. Says that
    /// nothing more comes, then reads and drops what the other side still sends until it closes too, up to a time and a
    /// number of bytes. Nothing that is read here is ever used.
    pub(crate) fn close_gracefully(&mut self, clock: Clock, timeout: Micros, max_bytes: usize) {
        if self.socket.inner().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = clock.now() + timeout;
        let _alarm = self.timer.alarm(deadline, self.waker());
        let mut dropped = 0;
        while dropped < max_bytes {
            self.buffer.consume(usize::MAX);
            match self.read_now() {
                Ok(Some(0)) | Err(_) => return,
                Ok(Some(count)) => dropped += count,
                Ok(None) if clock.now() >= deadline => return,
                Ok(None) => self.wait(),
            }
        }
    }

    /// Waits until the socket is ready for something, or somebody wakes this coroutine.
    pub(crate) fn wait(&self) {
        self.socket.wait_io();
    }

    /// Writes everything, or fails; `go_on` is asked at every wait whether to keep at it.
    pub(crate) fn write_all(
        &mut self,
        mut bytes: &[u8],
        go_on: impl Fn() -> bool,
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.socket.inner().write(bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock && go_on() => self.wait(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Err(ErrorKind::TimedOut.into())
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

//! The read buffer of a connection: bytes that are not consumed yet, and when each of them was read.

use asterreel::interface::Micros;
use std::collections::VecDeque;
use std::io::{self, Read};

/// Bytes that were read and are not consumed yet, and when they were read; grows as needed and is compacted in place.
#[derive(Default)]
pub(crate) struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    /// How many bytes were consumed since the connection began.
    consumed: u64,
    /// The reads that brought the bytes, oldest first.
    reads: VecDeque<ReadTime>,
}

/// The time of one read, or of several in a row that share an entry.
struct ReadTime {
    /// How many bytes were read since the connection began, up to the end of this read. Neither compaction nor consumption
    /// changes it.
    end: u64,
    at: Micros,
}

/// The most bytes of one read, and the capacity that an empty buffer may keep.
pub(super) const CHUNK_BYTES: usize = 8 * 1024;

/// A buffer that is full grows by one part in this many more than the next read needs.
const GROWTH_DIVISOR: usize = 4;

/// How many read times a buffer keeps. A full buffer that is read in complete chunks has 17 reads; clients that write byte
/// by byte cause more, which must not take memory without bound.
const MAX_READ_TIMES: usize = 64;

impl Buffer {
    /// The bytes that are not consumed yet.
    pub(crate) fn data(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// When the last of the first `count` bytes was read; `None` if fewer bytes are buffered.
    pub(crate) fn read_at(&self, count: usize) -> Option<Micros> {
        let last = self.consumed + count as u64;
        // Sorted by their ends.
        let index = self.reads.partition_point(|read| read.end < last);
        self.reads.get(index).map(|read| read.at)
    }

    /// Drops the first `count` bytes, or all where there are fewer.
    pub(crate) fn consume(&mut self, count: usize) {
        let count = count.min(self.data().len());
        self.start += count;
        self.consumed += count as u64;
        let consumed_reads = self.reads.partition_point(|read| read.end <= self.consumed);
        self.reads.drain(..consumed_reads);
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            // Otherwise one large value would keep its memory allocated while the connection is idle.
            self.bytes.shrink_to(CHUNK_BYTES);
            self.reads.shrink_to(1);
        }
    }

    /// How many bytes of memory the buffer holds.
    pub(crate) fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// The capacity that the next read of at most `max_bytes` needs; grows in steps, so that a long message is not
    /// copied with each read.
    pub(crate) fn capacity_for_read(&self, max_bytes: usize) -> usize {
        let needed = self.data().len() + max_bytes.min(CHUNK_BYTES);
        if needed <= self.capacity() || needed <= CHUNK_BYTES {
            return self.capacity().max(needed);
        }
        needed + needed / GROWTH_DIVISOR
    }

    /// Drops all but the first `count` bytes.
    pub(crate) fn truncate(&mut self, count: usize) {
        if count >= self.data().len() {
            return;
        }
        if count == 0 {
            return self.consume(usize::MAX);
        }
        self.bytes.truncate(self.start + count);
        let end = self.consumed + count as u64;
        let kept = self.reads.partition_point(|read| read.end < end) + 1;
        self.reads.truncate(kept);
        if let Some(last) = self.reads.back_mut() {
            last.end = end;
        }
    }

    /// Gives the memory of an empty buffer back.
    pub(crate) fn free_if_empty(&mut self) {
        if self.data().is_empty() {
            self.bytes = Vec::new();
            self.start = 0;
        }
    }

    /// Calls `source.read` once, for at most `max_bytes` or [`CHUNK_BYTES`], whichever is less, and appends what it read.
    /// Returns the number of bytes read, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// The errors of `source`; the buffer keeps its contents then.
    pub(crate) fn read_from(
        &mut self,
        now: Micros,
        mut source: impl Read,
        max_bytes: usize,
    ) -> io::Result<usize> {
        if self.start > 0 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
        let filled = self.bytes.len();
        let capacity = self.capacity_for_read(max_bytes);
        self.bytes.reserve_exact(capacity - filled);
        self.bytes.resize(filled + max_bytes.min(CHUNK_BYTES), 0);
        let read = source.read(&mut self.bytes[filled..]);
        let count = *read.as_ref().unwrap_or(&0);
        self.bytes.truncate(filled + count);
        if count > 0 {
            self.record_read(now);
        }
        read
    }

    /// Records that all bytes since the last read time were read at this time.
    fn record_read(&mut self, now: Micros) {
        self.reads.push_back(ReadTime {
            end: self.consumed + self.data().len() as u64,
            at: now,
        });
        if self.reads.len() <= MAX_READ_TIMES {
            return;
        }
        // Merges the two entries that are closest in time. The earlier time counts for both: it makes a request's
        // deadline a little early, while the later one could let an answer miss the deadline.
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

#[cfg(test)]
mod tests;

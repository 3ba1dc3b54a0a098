use super::*;

/// Reads these bytes into the buffer at this time.
fn read(buffer: &mut Buffer, at: Micros, bytes: &[u8]) {
    assert_eq!(
        buffer.read_from(at, bytes, usize::MAX).expect("read"),
        bytes.len()
    );
}

/// Bytes have the time of the read that brought them.
#[test]
fn bytes_have_the_time_of_their_read() {
    let mut buffer = Buffer::default();
    assert_eq!(buffer.read_at(1), None);
    read(&mut buffer, 10, b"abc");
    read(&mut buffer, 20, b"de");
    let times = [1, 3, 4, 5, 6].map(|count| buffer.read_at(count));
    assert_eq!(times, [Some(10), Some(10), Some(20), Some(20), None]);
}

/// The second message arrives in three reads, the last of which also holds two further messages: each message has the time
/// of its own last byte.
#[test]
fn messages_have_the_time_of_their_last_byte() {
    let mut buffer = Buffer::default();
    read(&mut buffer, 10, b"first,sec");
    read(&mut buffer, 20, b"o");
    read(&mut buffer, 30, b"nd,third,fourth,fi");
    let mut times = Vec::new();
    while let Some(comma) = buffer.data().iter().position(|byte| *byte == b',') {
        times.push(buffer.read_at(comma + 1).expect("all there"));
        buffer.consume(comma + 1);
    }
    assert_eq!(times, [10, 30, 30, 30]);
    read(&mut buffer, 40, b"fth,");
    assert_eq!((buffer.read_at(2), buffer.read_at(6)), (Some(30), Some(40)));
}

/// Each read first moves the remaining bytes to the front of the buffer, which must not change their times.
#[test]
fn compaction_keeps_read_times() {
    let mut buffer = Buffer::default();
    read(&mut buffer, 0, b"abcdef");
    for at in 1..1_000 {
        buffer.consume(4);
        read(&mut buffer, at, b"abcd");
        let times = [1, 2, 3, 6].map(|count| buffer.read_at(count));
        assert_eq!(times, [Some(at - 1), Some(at - 1), Some(at), Some(at)]);
    }
}

/// No entry is kept for reads that are consumed or returned no bytes.
#[test]
fn consumed_and_empty_reads_are_not_kept() {
    let mut buffer = Buffer::default();
    for at in 0..10 {
        read(&mut buffer, at, b"ab");
        read(&mut buffer, at, b"");
    }
    assert_eq!(buffer.reads.len(), 10);
    buffer.consume(3);
    assert_eq!((buffer.reads.len(), buffer.read_at(1)), (9, Some(1)));
    // More than is buffered, as callers do to drop everything.
    buffer.consume(usize::MAX);
    assert_eq!((buffer.reads.len(), buffer.read_at(1)), (0, None));
    read(&mut buffer, 20, b"a");
    assert_eq!(buffer.read_at(1), Some(20));
}

/// A client writes byte by byte for 2 s without waiting for an answer: memory is bounded, and no byte counts as read later
/// than it was, or much earlier.
#[test]
fn read_times_are_bounded_and_close() {
    let mut buffer = Buffer::default();
    let (reads, interval) = (2_000, 1_000);
    for at in 0..reads {
        read(&mut buffer, at * interval, b"x");
        assert!(buffer.reads.len() <= MAX_READ_TIMES);
    }
    let errors = (1..=reads).map(|count| {
        let read_at = buffer.read_at(count as usize).expect("there");
        ((count - 1) * interval)
            .checked_sub(read_at)
            .expect("never later than it was")
    });
    // At most four times the average distance of 64 entries, as only those closest in time are merged.
    assert!(errors.max() < Some(reads * interval / MAX_READ_TIMES as Micros * 4));
    let mut burst = Buffer::default();
    read(&mut burst, 1, b"first");
    (0..reads).for_each(|at| read(&mut burst, 5_000_000 + at, b"x"));
    read(&mut burst, 9_000_000, b"last");
    assert_eq!(
        burst.read_at(5),
        Some(1),
        "a burst does not change the times of reads long before or after it"
    );
    assert_eq!(burst.read_at(reads as usize + 9), Some(9_000_000));
}

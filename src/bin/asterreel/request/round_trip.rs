//! One round trip on a connection to a server: a message is written, and its answer is read up to ReadyForQuery.
//!
//! Nothing is ever written twice here, and an answer that is incomplete or malformed is never reported as complete.

use crate::postgres::{self as pg, Answer};
use crate::request::cancellation::CancellationToken;
use crate::runtime::net::Stream;
use crate::runtime::timer::Alarm;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use std::io::{self, ErrorKind};
use thiserror::Error;

/// How long after its result the rest of an answer is waited for, which holds the server's report.
const REPORT_WAIT_US: Micros = 50_000;

/// After so many successful reads in a row other coroutines get their turn.
const READS_PER_TURN: u32 = 16;

/// Why a round trip ended before ReadyForQuery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ConnectionError {
    /// The connection broke or was closed, before or after the last byte of the message was written.
    #[error("connection lost")]
    Lost { written: bool },
    /// The deadline passed, or the attempt was cancelled.
    #[error("deadline passed or attempt cancelled")]
    Stopped { written: bool },
    /// What came back is not the protocol.
    #[error("malformed answer")]
    Malformed,
}

/// Writes a message and reads its answer up to ReadyForQuery.
///
/// # Errors
///
/// How the round trip broke off; `answer` then holds what had come by then, which may include a result.
pub(crate) fn round_trip(
    stream: &mut Stream,
    message: &[u8],
    answer: &mut Answer,
    token: &CancellationToken,
    clock: Clock,
) -> Result<(), ConnectionError> {
    token.set_waker(stream.waker());
    let deadline_alarm = stream.timer.alarm(token.deadline, stream.waker());
    if !token.is_active(clock) {
        return Err(ConnectionError::Stopped { written: false });
    }
    stream
        .write_all(message, || token.is_active(clock))
        .map_err(|error| write_error(&error))?;
    read_answer(stream, answer, token, clock, deadline_alarm)
}

fn write_error(error: &io::Error) -> ConnectionError {
    let written = false;
    if error.kind() == ErrorKind::TimedOut {
        ConnectionError::Stopped { written }
    } else {
        ConnectionError::Lost { written }
    }
}

/// Reads an answer to its end; `alarm` wakes this coroutine at the token's deadline.
fn read_answer(
    stream: &mut Stream,
    answer: &mut Answer,
    token: &CancellationToken,
    clock: Clock,
    mut alarm: Alarm,
) -> Result<(), ConnectionError> {
    let written = true;
    let (mut report_deadline, mut reads) = (Micros::MAX, 0);
    loop {
        take_messages(stream, answer)?;
        if answer.ready {
            return Ok(());
        }
        match stream.read_now() {
            Ok(Some(0)) | Err(_) => return Err(ConnectionError::Lost { written }),
            Ok(Some(_)) => {
                // A server that sends without end must neither outlast its deadline nor hold up all other work.
                reads += 1;
                if reads % READS_PER_TURN == 0 {
                    if !token.is_active(clock) {
                        return Err(ConnectionError::Stopped { written });
                    }
                    may::coroutine::yield_now();
                }
                continue;
            }
            Ok(None) => {}
        }
        if answer.result.is_some() && report_deadline == Micros::MAX {
            // The result stands; a server that falls silent before its report must not hold it back.
            report_deadline = clock.now() + REPORT_WAIT_US;
            let wake_at = report_deadline.min(token.deadline);
            alarm = stream.timer.alarm(wake_at, stream.waker());
        }
        if !token.is_active(clock) || clock.now() >= report_deadline {
            drop(alarm);
            return Err(ConnectionError::Stopped { written });
        }
        stream.wait();
    }
}

/// Takes in all complete messages at the front of the buffer, up to the end of the answer.
fn take_messages(stream: &mut Stream, answer: &mut Answer) -> Result<(), ConnectionError> {
    let malformed = |_| ConnectionError::Malformed;
    while let Some(message) = pg::message(stream.buffer.data()).map_err(malformed)? {
        let bytes = stream.buffer.data();
        let message_bytes = &bytes[..message.body.end];
        answer
            .take(message.tag, message_bytes, &bytes[message.body.clone()])
            .map_err(malformed)?;
        stream.buffer.consume(message.body.end);
        if answer.ready {
            return Ok(());
        }
    }
    // Garbage may claim a length whose end would be waited for in vain.
    let tag = stream.buffer.data().first();
    if tag.is_some_and(|tag| !pg::ANSWER_TAGS.contains(tag)) {
        return Err(ConnectionError::Malformed);
    }
    Ok(())
}

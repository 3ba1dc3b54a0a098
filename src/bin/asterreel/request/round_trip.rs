//! One round trip on a connection to a server: writes a message and reads the answer up to ReadyForQuery.
//!
//! A message is never written twice, no byte of it is written past its gate, and an incomplete or malformed answer is
//! never reported as complete.

use crate::postgres::{self as pg, Answer};
use crate::request::cancellation::CancellationToken;
use crate::request::write_gate::{WriteGate, WriteRefusal};
use crate::runtime::net::{Stream, WriteError};
use crate::runtime::timer::Alarm;
use asterreel::interface::Micros;
use asterreel_control::clock::Clock;
use thiserror::Error;

/// How long to wait, after the result, for the rest of the answer, which contains the server's report.
const REPORT_WAIT_US: Micros = 50_000;

/// The number of successful reads after which the deadline is checked.
const READS_BETWEEN_CHECKS: u32 = 16;

/// Why a round trip ended before ReadyForQuery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum ConnectionError {
    /// The connection broke or was closed; `written` says whether the message had been written to its last byte.
    #[error("connection lost")]
    Lost { written: bool },
    /// The deadline passed, or the attempt was cancelled; `written` as for `Lost`.
    #[error("deadline passed or attempt cancelled")]
    Stopped { written: bool },
    /// The message must not be written, or not to its end; `begun` says whether some of its bytes had been written.
    #[error("not written: {refusal}")]
    Refused { refusal: WriteRefusal, begun: bool },
    /// The answer violates the protocol.
    #[error("malformed answer")]
    Malformed,
}

/// Writes a message that was composed just before, as far as its gate allows, and reads its answer up to ReadyForQuery.
///
/// # Errors
///
/// Why the round trip ended early; `answer` then holds what was received until then, which may include a result.
pub(crate) fn round_trip(
    stream: &mut Stream,
    message: impl AsRef<[u8]>,
    gate: &dyn WriteGate,
    answer: &mut Answer,
    token: &CancellationToken,
    clock: Clock,
) -> Result<(), ConnectionError> {
    token.set_waker(stream.waker());
    let composed_at = clock.now();
    let write_alarm = stream
        .timer
        .alarm(gate.write_by(composed_at), stream.waker());
    stream
        .write_all(message.as_ref(), || gate.check(composed_at))
        .map_err(|error| write_error(&error))?;
    drop(write_alarm);
    // A statement of many requests must not be held twice while a server does not answer.
    drop(message);
    let deadline_alarm = stream.timer.alarm(token.deadline, stream.waker());
    let ended = read_answer(stream, answer, token, clock, deadline_alarm);
    stream.end_turn();
    ended
}

fn write_error(error: &WriteError<WriteRefusal>) -> ConnectionError {
    let written = false;
    match *error {
        WriteError::Refused {
            reason: WriteRefusal::Stopped,
            ..
        } => ConnectionError::Stopped { written },
        WriteError::Refused { reason, written } => ConnectionError::Refused {
            refusal: reason,
            begun: written > 0,
        },
        WriteError::Socket(_) => ConnectionError::Lost { written },
    }
}

/// Reads an answer up to ReadyForQuery; `alarm` wakes this coroutine at the token's deadline.
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
        handle_messages(stream, answer)?;
        if answer.ready {
            return Ok(());
        }
        stream.take_turn();
        if !stream.make_room(usize::MAX) {
            return Err(ConnectionError::Stopped { written });
        }
        match stream.read_now() {
            Ok(Some(0)) | Err(_) => return Err(ConnectionError::Lost { written }),
            Ok(Some(_)) => {
                // A server that sends without end must not exceed the deadline.
                reads += 1;
                if reads % READS_BETWEEN_CHECKS == 0 && !token.is_active(clock) {
                    return Err(ConnectionError::Stopped { written });
                }
                continue;
            }
            Ok(None) => {}
        }
        if answer.result.is_some() && report_deadline == Micros::MAX {
            // The result is final; a server that sends nothing after it must not delay it.
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

/// Handles all complete messages at the front of the buffer, up to the end of the answer.
fn handle_messages(stream: &mut Stream, answer: &mut Answer) -> Result<(), ConnectionError> {
    let malformed = |_| ConnectionError::Malformed;
    while let Some(message) = pg::message(stream.buffer.data()).map_err(malformed)? {
        let bytes = stream.buffer.data();
        let message_bytes = &bytes[..message.body.end];
        answer
            .handle_message(message.tag, message_bytes, &bytes[message.body.clone()])
            .map_err(malformed)?;
        stream.buffer.consume(message.body.end);
        if answer.ready {
            return Ok(());
        }
    }
    // An unknown tag is rejected at once: its length may be garbage, and its end would never arrive.
    let tag = stream.buffer.data().first();
    if tag.is_some_and(|tag| !pg::ANSWER_TAGS.contains(tag)) {
        return Err(ConnectionError::Malformed);
    }
    Ok(())
}

#[cfg(test)]
mod tests;

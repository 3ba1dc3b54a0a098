//! One attempt at a database, from its connection to its outcome.

use crate::postgres::{self as pg, sqlstate, Answer, QueryResult, Statement};
use crate::request::pool::{Connection, NoConnection, Pool};
use crate::runtime::net::Stream;
use asterreel::interface::{MemberReport, Micros, Outcome};
use asterreel_control::clock::Clock;
use may::io::WaitIoWaker;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};

/// How long after its verdict the rest of an answer, which holds the note, is waited for.
const NOTE_WAIT: Micros = 50_000;

/// After so many reads in a row that found something, others have their turn.
const READS_IN_TURN: u32 = 16;

/// When to stop waiting: at a time, or when told.
pub(crate) struct Stop {
    pub at: Micros,
    called_off: AtomicBool,
    waker: Mutex<Option<WaitIoWaker>>,
}

impl Stop {
    pub(crate) fn at(at: Micros) -> Stop {
        Stop {
            at,
            called_off: AtomicBool::new(false),
            waker: Mutex::new(None),
        }
    }

    /// Calls the attempt off, wherever it is.
    pub(crate) fn call_off(&self) {
        self.called_off.store(true, Ordering::Release);
        if let Some(waker) = self
            .waker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
        {
            waker.wakeup();
        }
    }

    fn is_called_off(&self) -> bool {
        self.called_off.load(Ordering::Acquire)
    }

    fn wakes(&self, waker: WaitIoWaker) {
        *self.waker.lock().unwrap_or_else(PoisonError::into_inner) = Some(waker);
    }
}

/// How an exchange broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// The connection broke or ended, before (`false`) or after the last byte was written.
    Connection { written: bool },
    /// Its time was over, or it was called off.
    Stopped { written: bool },
    /// What came back is not the protocol.
    Malformed,
}

/// Writes a message and reads its answer up to ReadyForQuery.
pub(crate) fn exchange(
    stream: &mut Stream,
    query: &[u8],
    answer: &mut Answer,
    stop: &Stop,
    clock: Clock,
) -> Result<(), Broken> {
    stop.wakes(stream.waker());
    let mut alarm = stream.timer.alarm(stop.at, stream.waker());
    let go_on = || !stop.is_called_off() && clock.now() < stop.at;
    if !go_on() {
        return Err(Broken::Stopped { written: false });
    }
    if let Err(error) = stream.write_all(query, go_on) {
        let stopped = error.kind() == std::io::ErrorKind::TimedOut;
        let written = false;
        return Err(if stopped {
            Broken::Stopped { written }
        } else {
            Broken::Connection { written }
        });
    }
    let (mut note_until, mut reads) = (Micros::MAX, 0);
    loop {
        while let Some(message) =
            pg::message(stream.buffer.data()).map_err(|_| Broken::Malformed)?
        {
            let bytes = stream.buffer.data();
            let whole = &bytes[..message.body.end];
            answer
                .take(message.tag, whole, &bytes[message.body.clone()])
                .map_err(|_| Broken::Malformed)?;
            stream.buffer.consume(message.body.end);
            if answer.ready {
                return Ok(());
            }
        }
        // Noise may claim a length whose end would be waited for in vain.
        if stream
            .buffer
            .data()
            .first()
            .is_some_and(|tag| !pg::ANSWER_TAGS.contains(tag))
        {
            return Err(Broken::Malformed);
        }
        match stream.read_now() {
            Ok(Some(0)) | Err(_) => return Err(Broken::Connection { written: true }),
            Ok(Some(_)) => {
                // A database that goes on and on must neither outlast its time nor hold up all other work.
                reads += 1;
                if reads % READS_IN_TURN == 0 {
                    if !go_on() {
                        return Err(Broken::Stopped { written: true });
                    }
                    may::coroutine::yield_now();
                }
                continue;
            }
            Ok(None) => {}
        }
        if answer.result.is_some() && note_until == Micros::MAX {
            // The verdict stands; a database that falls silent before its note must not hold it back.
            note_until = clock.now() + NOTE_WAIT;
            alarm = stream.timer.alarm(note_until.min(stop.at), stream.waker());
        }
        if !go_on() || clock.now() >= note_until {
            drop(alarm);
            return Err(Broken::Stopped { written: true });
        }
        stream.wait();
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct End {
    pub outcome: Outcome,
    pub answer_report: MemberReport,
    /// The row, in messages as the database sent them, where it was served.
    pub rows: Vec<u8>,
}

impl End {
    fn without_note(outcome: Outcome) -> End {
        End {
            outcome,
            answer_report: MemberReport::default(),
            rows: Vec::new(),
        }
    }
}

/// Makes one attempt; nothing is ever sent twice in here.
pub(crate) fn run(
    pool: &Pool,
    address: SocketAddr,
    statement: &Statement,
    stop: &Stop,
    may_write: impl Fn() -> bool,
) -> End {
    let mut connection = match pool
        .take(address)
        .map_or_else(|| pool.open(address, stop.at), Ok)
    {
        Ok(connection) => connection,
        Err(fault) => return End::without_note(unconnected(fault, pool.clock.now() >= stop.at)),
    };
    // The connection may have taken long: a bound on age or a drain can have run out since the decision.
    if !may_write() {
        pool.keep(address, connection);
        return End::without_note(Outcome::NotSent);
    }
    let left = stop.at.saturating_sub(pool.clock.now());
    let query = statement.forward((left / 1000).max(1));
    let mut answer = Answer::default();
    let end = exchange(
        &mut connection.stream,
        &query,
        &mut answer,
        stop,
        pool.clock,
    );
    finish(pool, address, connection, end, &answer);
    let outcome = outcome(end, answer.result.as_ref(), stop.is_called_off());
    End {
        outcome,
        answer_report: answer.report,
        rows: answer.rows,
    }
}

/// Keeps a connection whose answer is complete; abandoning any other attempt closes its connection.
pub(crate) fn finish(
    pool: &Pool,
    address: SocketAddr,
    connection: Connection,
    end: Result<(), Broken>,
    answer: &Answer,
) {
    if end.is_ok() && answer.result.is_some() && connection.stream.buffer.data().is_empty() {
        pool.keep(address, connection);
    }
}

/// Without a connection nothing ran, whatever the reason.
pub(crate) fn unconnected(fault: NoConnection, time_over: bool) -> Outcome {
    match fault {
        NoConnection::TurnedAway => Outcome::Rejected,
        NoConnection::NoRoom => Outcome::NotSent,
        NoConnection::Failed if time_over => Outcome::NotSent,
        NoConnection::Failed => Outcome::ConnectFailed,
    }
}

/// The table of outcomes: what can have run, and what can't.
pub(crate) fn outcome(
    end: Result<(), Broken>,
    verdict: Option<&QueryResult>,
    called_off: bool,
) -> Outcome {
    match (verdict, end) {
        (Some(QueryResult::Row), _) => Outcome::Served,
        (Some(QueryResult::Error(code)), _) => match *code {
            sqlstate::READ_ONLY_TRANSACTION | sqlstate::SNAPSHOT_TOO_OLD => Outcome::Misrouted,
            sqlstate::TOO_MANY_CONNECTIONS => Outcome::Rejected,
            // A syntax error or a breach of protocol is the statement's: sent on, it would meet the same again
            // and count against each member it reached.
            code if code.is_invalid_statement() => Outcome::InvalidRequest,
            _ => Outcome::Error,
        },
        // A database starts a query once its last byte has come: one not written whole never runs.
        (None, Err(Broken::Connection { written: false })) => Outcome::ConnectFailed,
        (None, Err(Broken::Stopped { written: false })) => Outcome::NotSent,
        (None, Err(Broken::Connection { written: true })) => Outcome::Reset,
        (None, Err(Broken::Stopped { written: true })) if called_off => Outcome::Cancelled,
        (None, Err(Broken::Stopped { written: true })) => Outcome::TimedOut,
        (None, Ok(()) | Err(Broken::Malformed)) => Outcome::Error,
    }
}

#[cfg(test)]
mod tests;

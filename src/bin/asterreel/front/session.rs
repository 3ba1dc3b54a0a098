//! One client connection, from its opening to its close: reads the client's messages and answers them.
//!
//! Messages are answered one after the other, in the order of their arrival. A message that breaks the framing ends the
//! session with a FATAL error; every other one gets an answer or an error, and the session continues.

use super::client_probe::ClientProbe;
use super::gateway::Gateway;
use super::local_statement::{local_statement, LocalStatement};
use super::mailbox::{ClientWait, Mailbox, ReadState};
use super::overflow::{Overflow, OverflowEnd};
use super::sessions::RegisteredSession;
use crate::postgres::{self as pg, sqlstate, Malformed, Message, Opening, Severity, Statement};
use crate::runtime::memory::Reservation;
use crate::runtime::net::Stream;
use asterreel::cells::tenants;
use asterreel::interface::Micros;
use asterreel::readmission::Answer;
use std::net::IpAddr;
use std::sync::Arc;
use thiserror::Error;
use tracing::debug;

/// How long a client may take to read an answer.
const WRITE_TIMEOUT_US: Micros = 5_000_000;
/// How long a client may take to send its opening messages, and one message from its first byte on.
const MESSAGE_TIMEOUT_US: Micros = 2_500_000;
/// How much longer it may take where there is always something to read: what has arrived while the process was held up
/// is read first.
const READ_BACKLOG_TIMEOUT_US: Micros = 300_000;
/// How long input is still read and discarded after the last answer, until the client closes its side too. The limit
/// allows for many round trips.
const CLOSE_TIMEOUT_US: Micros = 500_000;
/// How many bytes are read and discarded in that time at most: more than can be in transit.
const CLOSE_MAX_BYTES: usize = 256 * 1024;

/// Why a session ended early. The text is logged.
#[derive(Debug, PartialEq, Eq, Error)]
pub(super) enum SessionError {
    /// The client closed its connection, or the connection could not be written to.
    #[error("the client disconnected or stopped reading")]
    ClientGone,
    /// The client violated the protocol or sent a message too slowly, and was sent a FATAL error.
    #[error("protocol violation or incomplete message, as the error sent to the client says")]
    Malformed,
}

/// What is known about a client. The names are filled in only where cells are configured.
pub(super) struct Client {
    /// The address it connected from.
    pub address: IpAddr,
    /// The `user` of its startup message.
    pub user: String,
    /// The `application_name` of its startup message.
    pub application: String,
}

/// One client connection.
pub(super) struct Session {
    /// What all sessions share.
    pub gateway: Arc<Gateway>,
    /// The client connection's socket and read buffer.
    pub stream: Stream,
    /// Events from the router, attempts and other sessions.
    pub mailbox: Arc<Mailbox>,
    /// The client of the connection.
    pub client: Client,
    /// The client has closed its connection, or could not be written to while a request was open.
    pub client_gone: bool,
    /// What the client has sent beyond what may be held for it.
    pub overflow: Overflow,
    /// Finds out whether a client is there that has sent more than is read ahead.
    pub client_probe: ClientProbe,
    /// The memory that the answer takes until it is written.
    pub answer_memory: Option<Reservation>,
    number: u32,
    /// After an error in the extended protocol, messages up to Sync are skipped.
    skips_to_sync: bool,
}

impl Session {
    /// The session of a registered connection.
    pub(super) fn new(
        gateway: Arc<Gateway>,
        registered: RegisteredSession,
        stream: Stream,
        address: IpAddr,
    ) -> Session {
        let client = Client {
            address,
            user: String::new(),
            application: String::new(),
        };
        Session {
            gateway,
            stream,
            mailbox: registered.mailbox,
            client,
            client_gone: false,
            overflow: Overflow::default(),
            client_probe: ClientProbe::default(),
            answer_memory: None,
            number: registered.number,
            skips_to_sync: false,
        }
    }

    /// Serves the client until its connection ends, and removes the session from the registry.
    pub(super) fn run(mut self) {
        let ended = self.serve();
        if let Err(error) = &ended {
            debug!("session ended: {error}");
        }
        let (gateway, number) = (self.gateway.clone(), self.number);
        if ended != Err(SessionError::ClientGone) {
            // Marked as closing, so that shedding counts it as closed and closes no other session in its place.
            self.mailbox.set_close_requested(true);
            let clock = gateway.core.clock;
            self.stream
                .close_gracefully(clock, CLOSE_TIMEOUT_US, CLOSE_MAX_BYTES);
        }
        drop(self);
        gateway.sessions.remove(number);
    }

    fn serve(&mut self) -> Result<(), SessionError> {
        if !self.open()? {
            return Ok(());
        }
        let mut out = Vec::new();
        pg::startup_response(&mut out, self.gateway.sessions.cancel_key(self.number));
        self.write(&out)?;
        while let Some(message) = self.next_message()? {
            self.stream.take_turn();
            if message.tag == pg::TERMINATE {
                break;
            }
            self.answer(message)?;
        }
        Ok(())
    }

    /// Handles the messages that open a connection; returns false where the connection is to be closed.
    fn open(&mut self) -> Result<bool, SessionError> {
        loop {
            self.stream.take_turn();
            if self.is_overdue() {
                return Err(self.fatal(Malformed("the message took too long")));
            }
            let (opening, length) = match pg::parse_opening(self.stream.buffer.data()) {
                Ok(Some(opening)) => opening,
                Ok(None) if self.read_more(true)? => continue,
                Ok(None) => return Ok(false),
                Err(fault) => return Err(self.fatal(fault)),
            };
            if self.gateway.cells.is_some() && opening == Opening::Start {
                self.identify_client(length);
            }
            self.stream.buffer.consume(length);
            match opening {
                Opening::Encrypt => self.write(b"N")?,
                Opening::Cancel(key) => {
                    self.gateway.sessions.cancel(key);
                    return Ok(false);
                }
                Opening::Start => match self.gateway.pace_admission(self.client.address) {
                    Answer::Admit => break,
                    Answer::RetryAfter(delay) => {
                        self.reject_connection(delay)?;
                        return Ok(false);
                    }
                },
            }
        }
        self.mailbox.set_client_wait(None);
        Ok(true)
    }

    /// Stores the names in the startup message, which is this long. A name longer than any tenant's is not stored.
    fn identify_client(&mut self, length: usize) {
        let message = &self.stream.buffer.data()[..length];
        let name = |parameter| {
            pg::startup_parameter(message, parameter)
                .filter(|name| name.len() <= tenants::MAX_LENGTH_BYTES)
                .unwrap_or_default()
                .to_owned()
        };
        let (user, application) = (name("user"), name("application_name"));
        self.client.user = user;
        self.client.application = application;
    }

    /// Waits until a complete message is at the front of the buffer; `None` when the connection is to be closed.
    fn next_message(&mut self) -> Result<Option<Message>, SessionError> {
        loop {
            match pg::message(self.stream.buffer.data()) {
                Ok(Some(message)) => {
                    self.mailbox.set_client_wait(None);
                    return Ok(Some(message));
                }
                Ok(None) if self.overflow.is_active() => {
                    if !self.settle_overflow()? {
                        return Ok(None);
                    }
                }
                Ok(None) if self.read_more(false)? => {}
                Ok(None) => return Ok(None),
                Err(fault) => return Err(self.fatal(fault)),
            }
        }
    }

    /// Answers messages that were dropped, as far as they are complete, and reads more of one that is not. Returns false
    /// when the connection is to be closed.
    fn settle_overflow(&mut self) -> Result<bool, SessionError> {
        self.stream.take_turn();
        let mut out = Vec::new();
        if self.overflow.reject(&mut out) {
            self.mailbox.set_client_wait(None);
            self.write(&out)?;
            return Ok(true);
        }
        match self.overflow.end() {
            OverflowEnd::Messages => Ok(true),
            OverflowEnd::RestOfMessage => self.read_more(false),
            OverflowEnd::Terminate => Ok(false),
            OverflowEnd::Malformed(fault) => Err(self.fatal(fault)),
        }
    }

    /// Drops the incomplete message at the end of the buffer, and all further input until what was dropped is answered.
    fn start_overflow(&mut self) {
        let data = self.stream.buffer.data();
        let mut complete = 0;
        while let Ok(Some(message)) = pg::message(&data[complete..]) {
            complete += message.body.end;
        }
        self.overflow.feed(&data[complete..]);
        self.stream.buffer.truncate(complete);
    }

    /// Reads available bytes without waiting: into the buffer, or past it while input is dropped. Returns how many, as
    /// [`Stream::read_at_most`] does.
    fn read_input(&mut self, max_bytes: usize) -> std::io::Result<Option<usize>> {
        if !self.overflow.is_active() {
            return self.stream.read_at_most(max_bytes);
        }
        let dropped = self.stream.read_apart(max_bytes)?;
        Ok(dropped.map(|bytes| {
            self.overflow.feed(&bytes);
            bytes.len()
        }))
    }

    /// Answers the message at the front of the buffer, and removes it from the buffer.
    fn answer(&mut self, message: Message) -> Result<(), SessionError> {
        let mut out = Vec::new();
        match message.tag {
            pg::QUERY => {
                self.skips_to_sync = false;
                self.query(message, &mut out)?;
                pg::ready_for_query(&mut out);
            }
            pg::SYNC => {
                self.stream.buffer.consume(message.body.end);
                self.skips_to_sync = false;
                pg::ready_for_query(&mut out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' | b'd' | b'c' | b'f' => {
                self.stream.buffer.consume(message.body.end);
                if !std::mem::replace(&mut self.skips_to_sync, true) {
                    let text = "only simple queries are served here";
                    let code = sqlstate::FEATURE_NOT_SUPPORTED;
                    pg::error_response(&mut out, Severity::Error, code, text, None);
                }
            }
            _ => return Err(self.fatal(Malformed("unknown message"))),
        }
        self.write(&out)?;
        self.answer_memory = None;
        Ok(())
    }

    /// Answers a simple query, except for the ReadyForQuery at the end.
    fn query(&mut self, message: Message, out: &mut Vec<u8>) -> Result<(), SessionError> {
        // A pipelined request has already waited in the buffer: its deadline counts from the arrival of its last byte.
        let received_at = self
            .stream
            .buffer
            .read_at(message.body.end)
            .unwrap_or_else(|| self.gateway.core.clock.now());
        let body = &self.stream.buffer.data()[message.body.clone()];
        let parsed =
            pg::query_string(body).map(|text| (local_statement(text), Statement::parse(text)));
        self.stream.buffer.consume(message.body.end);
        match parsed {
            Ok((Some(LocalStatement::Empty), _)) => {
                // The liveness check sends this query; the answer must show that requests can get the router's lock.
                self.gateway.core.wait_for_lock();
                pg::empty_query_response(out);
            }
            Ok((Some(LocalStatement::SessionSetting(tag)), _)) => pg::command_complete(out, tag),
            Ok((None, Ok(statement))) => self.request(statement, received_at, out)?,
            Ok((None, Err(Malformed(fault)))) => {
                let code = sqlstate::PROTOCOL_VIOLATION;
                pg::error_response(out, Severity::Error, code, fault, None);
            }
            Err(fault) => return Err(self.fatal(fault)),
        }
        Ok(())
    }

    /// Waits for more bytes of the opening, or of the next message; returns false when the connection is to be closed.
    fn read_more(&mut self, is_opening: bool) -> Result<bool, SessionError> {
        let core = self.gateway.core.clone();
        let has_begun = !self.stream.buffer.data().is_empty() || self.overflow.is_inside_message();
        let deadline = self.begin_client_wait(is_opening, has_begun);
        let _alarm = core.timer.alarm(deadline, self.stream.waker());
        // While draining, only a message that has begun is read, up to its end. Clients send unread requests again to
        // another gateway; a client that always has a next request would otherwise wait for an answer when the process
        // is killed.
        let is_draining = self.gateway.is_draining();
        if is_draining && !has_begun {
            return Ok(false);
        }
        let max_bytes = if is_draining && self.overflow.is_inside_message() {
            self.overflow.missing_bytes()
        } else if is_draining && !is_opening {
            pg::missing_bytes(self.stream.buffer.data())
        } else {
            usize::MAX
        };
        loop {
            self.stream.take_turn();
            if self.is_overdue() {
                return Err(self.fatal(Malformed("the message took too long")));
            }
            // An opening is short.
            if !is_opening && !self.overflow.is_active() && !self.stream.make_room(max_bytes) {
                self.start_overflow();
            }
            match self.read_input(max_bytes) {
                Ok(Some(0)) | Err(_) => return Err(SessionError::ClientGone),
                Ok(Some(_)) => {
                    // The client is active: this session stays open, and shedding will select another one.
                    self.mailbox.set_close_requested(false);
                    return Ok(true);
                }
                Ok(None) => {}
            }
            // A requested close is checked after the read, so that a request that has arrived is still
            // served; an open request is never interrupted.
            if self.mailbox.is_close_requested() {
                return Ok(false);
            }
            if self.gateway.is_draining() && !has_begun {
                return Ok(false);
            }
            if core.clock.now() >= deadline {
                return Err(self.fatal(Malformed("the message took too long")));
            }
            self.stream.wait();
        }
    }

    /// Records what the session waits for from its client, and returns the deadline of that wait. The deadline of a
    /// message counts from its first byte; further bytes do not extend it.
    fn begin_client_wait(&self, is_opening: bool, has_begun: bool) -> Micros {
        let state = match (is_opening, has_begun) {
            (true, _) => ReadState::Opening,
            (false, true) => ReadState::Message,
            (false, false) => ReadState::Idle,
        };
        let wait = self
            .mailbox
            .client_wait()
            .filter(|wait| wait.state == state)
            .unwrap_or_else(|| ClientWait {
                state,
                since: self.gateway.core.clock.now(),
            });
        self.mailbox.set_client_wait(Some(wait));
        if state == ReadState::Idle {
            Micros::MAX
        } else {
            wait.since + MESSAGE_TIMEOUT_US
        }
    }

    /// Whether the client has taken too long over its opening or a message, although it always has more to read.
    fn is_overdue(&self) -> bool {
        let timeout = MESSAGE_TIMEOUT_US + READ_BACKLOG_TIMEOUT_US;
        let wait = self.mailbox.client_wait();
        wait.is_some_and(|wait| {
            wait.state != ReadState::Idle && self.gateway.core.clock.now() >= wait.since + timeout
        })
    }

    /// Writes all bytes; an error means that the client has disconnected or reads too slowly.
    pub(super) fn write(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        let core = self.gateway.core.clone();
        let deadline = core.clock.now() + WRITE_TIMEOUT_US;
        let _alarm = core.timer.alarm(deadline, self.stream.waker());
        let unsent = self.client_probe.take_unsent();
        let written = self
            .stream
            .write_until(&unsent, core.clock, deadline)
            .and_then(|()| self.stream.write_until(bytes, core.clock, deadline));
        written.map_err(|_| SessionError::ClientGone)
    }

    /// Sends a FATAL error, as the framing is lost, and returns the reason for which the session ends.
    fn fatal(&mut self, fault: Malformed) -> SessionError {
        let mut out = Vec::new();
        let code = sqlstate::PROTOCOL_VIOLATION;
        pg::error_response(&mut out, Severity::Fatal, code, fault.0, None);
        match self.write(&out) {
            Ok(()) => SessionError::Malformed,
            Err(error) => error,
        }
    }

    /// Rejects a new client in excess of the admission pace; the error's detail holds the delay before a retry.
    fn reject_connection(&mut self, delay: Micros) -> Result<(), SessionError> {
        let mut out = Vec::new();
        let delay_ms = delay.div_ceil(1_000);
        let code = sqlstate::TOO_MANY_CONNECTIONS;
        let text = "too many come at once, come again";
        pg::error_response(&mut out, Severity::Fatal, code, text, Some(delay_ms));
        self.write(&out)
    }
}

//! One client connection, from its opening to its close: its messages, and how each is answered.
//!
//! Messages are answered one after the other, in the order in which they came. A message that breaks the framing ends the
//! session with a FATAL error; every other one gets an answer or an error, and the session goes on.

use super::gateway::Gateway;
use super::local_statement::{local_statement, LocalStatement};
use super::mailbox::{ClientWait, Mailbox, ReadState};
use super::sessions::RegisteredSession;
use crate::postgres::{self as pg, sqlstate, Malformed, Message, Opening, Severity, Statement};
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
/// How long a client may take over its opening, and over one message from its first byte on.
const MESSAGE_TIMEOUT_US: Micros = 2_500_000;
/// How long a connection is read on after its last answer until the client closes it too: many round trips.
const CLOSE_TIMEOUT_US: Micros = 500_000;
/// How many bytes are read meanwhile at most: more than what may be under way.
const CLOSE_MAX_BYTES: usize = 256 * 1024;
/// After so many successful reads in a row other coroutines get their turn.
const READS_PER_TURN: u32 = 8;

/// Why a session ended early. Its text is what the log says.
#[derive(Debug, PartialEq, Eq, Error)]
pub(super) enum SessionError {
    /// The client has closed its connection, or can't be written to.
    #[error("Left")]
    ClientGone,
    /// The client broke the protocol, and got a FATAL error.
    #[error("Malformed")]
    Malformed,
}

/// What is known of a client; its names only where cells are on.
pub(super) struct Client {
    /// Where it connected from.
    pub address: IpAddr,
    /// The user that it named when it connected.
    pub user: String,
    /// The application that it named when it connected.
    pub application: String,
}

/// One client connection.
pub(super) struct Session {
    /// What all sessions share.
    pub gateway: Arc<Gateway>,
    /// The connection.
    pub stream: Stream,
    /// Events from others.
    pub mailbox: Arc<Mailbox>,
    /// Whose connection it is.
    pub client: Client,
    /// The client has closed its connection.
    pub client_gone: bool,
    number: u32,
    reads: u32,
    /// After an error in the extended protocol everything up to Sync is skipped.
    is_skipping: bool,
}

impl Session {
    /// The session of a connection that was registered.
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
            number: registered.number,
            reads: 0,
            is_skipping: false,
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
            // It counts as closed: no other session need be closed in its place.
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
        pg::session_started(&mut out, self.gateway.sessions.cancel_key(self.number));
        self.write(&out)?;
        while let Some(message) = self.next_message()? {
            if message.tag == b'X' {
                break;
            }
            self.answer(message)?;
        }
        Ok(())
    }

    /// Reads what comes before the first message; false where the connection is to be closed.
    fn open(&mut self) -> Result<bool, SessionError> {
        loop {
            let (opening, length) = match pg::opening(self.stream.buffer.data()) {
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

    /// Keeps the names in the startup message of this length. One that is longer than any tenant's is not kept.
    fn identify_client(&mut self, length: usize) {
        let message = &self.stream.buffer.data()[..length];
        let name = |parameter| {
            pg::parameter(message, parameter)
                .filter(|name| name.len() <= tenants::MAX_LENGTH_BYTES)
                .unwrap_or_default()
                .to_owned()
        };
        let (user, application) = (name("user"), name("application_name"));
        self.client.user = user;
        self.client.application = application;
    }

    /// Waits for the next message, which is at the front of the buffer then; nothing when the connection is to be closed.
    fn next_message(&mut self) -> Result<Option<Message>, SessionError> {
        loop {
            match pg::message(self.stream.buffer.data()) {
                Ok(Some(message)) => {
                    self.mailbox.set_client_wait(None);
                    return Ok(Some(message));
                }
                Ok(None) if self.read_more(false)? => {}
                Ok(None) => return Ok(None),
                Err(fault) => return Err(self.fatal(fault)),
            }
        }
    }

    /// Answers the message at the front of the buffer, and drops it from there.
    fn answer(&mut self, message: Message) -> Result<(), SessionError> {
        let mut out = Vec::new();
        match message.tag {
            b'Q' => {
                self.is_skipping = false;
                self.query(message, &mut out)?;
                pg::ready(&mut out);
            }
            b'S' => {
                self.stream.buffer.consume(message.body.end);
                self.is_skipping = false;
                pg::ready(&mut out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' | b'd' | b'c' | b'f' => {
                self.stream.buffer.consume(message.body.end);
                if !std::mem::replace(&mut self.is_skipping, true) {
                    let text = "only simple queries are served here";
                    let code = sqlstate::FEATURE_NOT_SUPPORTED;
                    pg::error(&mut out, Severity::Error, code, text, None);
                }
            }
            _ => return Err(self.fatal(Malformed("unknown message"))),
        }
        self.write(&out)
    }

    /// Answers a simple query, but for the ReadyForQuery at the end.
    fn query(&mut self, message: Message, out: &mut Vec<u8>) -> Result<(), SessionError> {
        // A request that was sent behind others has waited since then: its time runs from its last byte, not from here.
        let received_at = self
            .stream
            .buffer
            .read_at(message.body.end)
            .unwrap_or_else(|| self.gateway.core.clock.now());
        let body = &self.stream.buffer.data()[message.body.clone()];
        let parsed = pg::query(body).map(|text| (local_statement(text), Statement::parse(text)));
        self.stream.buffer.consume(message.body.end);
        match parsed {
            Ok((Some(LocalStatement::Empty), _)) => {
                // The liveness check's query: its answer has to show that requests would get through.
                self.gateway.core.wait_for_lock();
                pg::empty_query_response(out);
            }
            Ok((Some(LocalStatement::SessionSetting(tag)), _)) => pg::command_complete(out, tag),
            Ok((None, Ok(statement))) => self.request(statement, received_at, out)?,
            Ok((None, Err(Malformed(fault)))) => {
                let code = sqlstate::PROTOCOL_VIOLATION;
                pg::error(out, Severity::Error, code, fault, None);
            }
            Err(fault) => return Err(self.fatal(fault)),
        }
        Ok(())
    }

    /// Waits for more bytes of the opening, or of the next message; false when the connection is to be closed.
    fn read_more(&mut self, is_opening: bool) -> Result<bool, SessionError> {
        let core = self.gateway.core.clone();
        let has_begun = !self.stream.buffer.data().is_empty();
        let deadline = self.begin_client_wait(is_opening, has_begun);
        let _alarm = core.timer.alarm(deadline, self.stream.waker());
        // While draining, a message that has begun is read to its end and nothing else: its client sends what was not
        // read again elsewhere, and one that always has a next request would be owed an answer when the process is killed.
        let is_draining = self.gateway.is_draining();
        if is_draining && !has_begun {
            return Ok(false);
        }
        let max_bytes = if is_draining && !is_opening {
            pg::missing_bytes(self.stream.buffer.data())
        } else {
            usize::MAX
        };
        self.reads += 1;
        if self.reads % READS_PER_TURN == 0 {
            may::coroutine::yield_now();
        }
        loop {
            match self.stream.read_at_most(max_bytes) {
                Ok(Some(0)) | Err(_) => return Err(SessionError::ClientGone),
                Ok(Some(_)) => {
                    // The client is active after all: another session is to be closed.
                    self.mailbox.set_close_requested(false);
                    return Ok(true);
                }
                Ok(None) => {}
            }
            // Asked to close: only after a last look for a request that has come, and never inside one.
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

    /// Notes what the session waits for from its client, and returns until when. Single bytes of one message do not
    /// start its time anew.
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

    /// Writes everything, or finds that the client has gone.
    pub(super) fn write(&mut self, bytes: &[u8]) -> Result<(), SessionError> {
        let core = self.gateway.core.clone();
        let deadline = core.clock.now() + WRITE_TIMEOUT_US;
        let _alarm = core.timer.alarm(deadline, self.stream.waker());
        let written = self.stream.write_all(bytes, || core.clock.now() < deadline);
        written.map_err(|_| SessionError::ClientGone)
    }

    /// Sends a FATAL error, as the framing is lost, and returns how the session ends.
    fn fatal(&mut self, fault: Malformed) -> SessionError {
        let mut out = Vec::new();
        let code = sqlstate::PROTOCOL_VIOLATION;
        pg::error(&mut out, Severity::Fatal, code, fault.0, None);
        match self.write(&out) {
            Ok(()) => SessionError::Malformed,
            Err(error) => error,
        }
    }

    /// Rejects a new client beyond the admission pace, and says after which delay to retry.
    fn reject_connection(&mut self, delay: Micros) -> Result<(), SessionError> {
        let mut out = Vec::new();
        let delay_ms = delay.div_ceil(1_000);
        let code = sqlstate::TOO_MANY_CONNECTIONS;
        let text = "too many come at once, come again";
        pg::error(&mut out, Severity::Fatal, code, text, Some(delay_ms));
        self.write(&out)
    }
}

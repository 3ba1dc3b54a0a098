//! One client connection, from its opening to its end: its messages, and what each is answered with.

use super::gateway::Gateway;
use super::mailbox::{Mailbox, Stage};
use crate::net::Stream;
use crate::pg::{self, Malformed, Message, Opening, Severity, Statement};
use asterreel::cells::who;
use asterreel::interface::Micros;
use asterreel::readmission::Answer;
use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tracing::debug;

/// How long a client may take to read an answer.
const WRITE_WAIT: Micros = 5_000_000;
/// How long a client may take over its opening, and over one message from its first byte on.
const MESSAGE_WAIT: Micros = 2_500_000;
/// How long, and for how many bytes, a client that was told of the end of its connection is read on until it closes
/// too: it must not lose its last answer to a reset. Many round trips, and more than what may be on its way.
const PART_WAIT: Micros = 500_000;
const PART_MOST: usize = 256 * 1024;
/// After so many reads in a row that found something, others have their turn.
const READS_IN_TURN: u32 = 8;

/// Why a session ended early.
#[derive(Debug)]
pub(super) enum Ending {
    Left,
    Malformed,
}

/// What is known of a client; its words only where cells are on.
pub(super) struct Client {
    pub address: IpAddr,
    pub user: String,
    pub application: String,
}

/// One client connection.
pub(super) struct Session {
    pub gateway: Arc<Gateway>,
    number: u32,
    pub stream: Stream,
    pub mailbox: Arc<Mailbox>,
    pub client: Client,
    /// The client has closed its connection.
    pub left: bool,
    reads: u32,
    /// After an error in the extended protocol everything up to Sync is skipped.
    skipping: bool,
}

impl Session {
    pub(super) fn new(
        gateway: Arc<Gateway>,
        number: u32,
        stream: Stream,
        mailbox: Arc<Mailbox>,
        address: IpAddr,
    ) -> Session {
        let client = Client {
            address,
            user: String::new(),
            application: String::new(),
        };
        Session {
            gateway,
            number,
            stream,
            mailbox,
            client,
            left: false,
            reads: 0,
            skipping: false,
        }
    }

    /// All of it; its place is free afterwards.
    pub(super) fn live(mut self) {
        let end = self.run();
        if let Err(end) = &end {
            debug!("session ended: {end:?}");
        }
        let (gateway, number) = (self.gateway.clone(), self.number);
        if !matches!(end, Err(Ending::Left)) {
            // Its place is as good as free: nobody else need make room for it.
            self.mailbox.close.store(true, Ordering::Release);
            self.stream.part(gateway.core.clock, PART_WAIT, PART_MOST);
        }
        drop(self);
        gateway.ended(number);
    }

    fn run(&mut self) -> Result<(), Ending> {
        if !self.open()? {
            return Ok(());
        }
        let mut out = Vec::new();
        pg::welcome(&mut out, self.gateway.key(self.number));
        self.write(&out)?;
        while let Some(message) = self.next_message()? {
            if message.tag == b'X' {
                break;
            }
            self.answer(message)?;
        }
        Ok(())
    }

    /// Takes in what comes before the first message; false where nothing follows.
    fn open(&mut self) -> Result<bool, Ending> {
        loop {
            let (opening, length) = match pg::opening(self.stream.buffer.data()) {
                Ok(Some(opening)) => opening,
                Ok(None) if self.read_more(Some(Stage::Opening))? => continue,
                Ok(None) => return Ok(false),
                Err(fault) => return Err(self.fatal(fault)),
            };
            if self.gateway.cells.is_some() && opening == Opening::Start {
                let message = &self.stream.buffer.data()[..length];
                // Longer than any tenant's name is none, and not kept.
                let word =
                    |name| pg::parameter(message, name).filter(|word| word.len() <= who::LONGEST);
                self.client.user = word("user").unwrap_or_default().to_owned();
                self.client.application = word("application_name").unwrap_or_default().to_owned();
            }
            self.stream.buffer.consume(length);
            match opening {
                Opening::Encrypt => self.write(b"N")?,
                Opening::Cancel(key) => {
                    self.gateway.cancel(key);
                    return Ok(false);
                }
                Opening::Start => match self.gateway.readmits(self.client.address) {
                    Answer::Admit => break,
                    Answer::RetryAfter(wait) => {
                        self.come_again(wait)?;
                        return Ok(false);
                    }
                },
            }
        }
        self.mailbox.set_stage(None);
        Ok(true)
    }

    /// Waits for the next message, which is at the front of the buffer then; nothing when the connection is to be closed.
    fn next_message(&mut self) -> Result<Option<Message>, Ending> {
        loop {
            match pg::message(self.stream.buffer.data()) {
                Ok(Some(message)) => {
                    self.mailbox.set_stage(None);
                    return Ok(Some(message));
                }
                Ok(None) if self.read_more(None)? => {}
                Ok(None) => return Ok(None),
                Err(fault) => return Err(self.fatal(fault)),
            }
        }
    }

    /// Answers the message at the front of the buffer, and drops it from there.
    fn answer(&mut self, message: Message) -> Result<(), Ending> {
        let mut out = Vec::new();
        match message.tag {
            b'Q' => {
                self.skipping = false;
                self.query(message, &mut out)?;
                pg::ready(&mut out);
            }
            b'S' => {
                self.stream.buffer.consume(message.body.end);
                self.skipping = false;
                pg::ready(&mut out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'F' | b'd' | b'c' | b'f' => {
                self.stream.buffer.consume(message.body.end);
                if !std::mem::replace(&mut self.skipping, true) {
                    let text = "only simple queries are served here";
                    pg::error(&mut out, Severity::Error, "0A000", text, None);
                }
            }
            _ => return Err(self.fatal(Malformed("unknown message"))),
        }
        self.write(&out)
    }

    /// Answers a simple query, but for the end of the answer.
    fn query(&mut self, message: Message, out: &mut Vec<u8>) -> Result<(), Ending> {
        // A request that was sent behind others has waited since then: its time runs from its last byte, not from here.
        let received = self.stream.buffer.read_at(message.body.end);
        let received = received.unwrap_or_else(|| self.gateway.core.clock.now());
        let body = &self.stream.buffer.data()[message.body.clone()];
        let parsed = pg::query(body).map(|text| (plain(text), Statement::parse(text)));
        self.stream.buffer.consume(message.body.end);
        match parsed {
            Ok((Some(Plain::Empty), _)) => {
                // The heartbeat's question: its answer is to show that requests would get through.
                self.gateway.core.pass_through();
                pg::empty_query_response(out);
            }
            Ok((Some(Plain::Session(tag)), _)) => pg::command_complete(out, tag),
            Ok((None, Ok(statement))) => self.request(statement, received, out)?,
            Ok((None, Err(Malformed(fault)))) => {
                pg::error(out, Severity::Error, "08P01", fault, None)
            }
            Err(fault) => return Err(self.fatal(fault)),
        }
        Ok(())
    }

    /// Waits for more bytes of the opening or between requests; false when the connection is to be closed.
    fn read_more(&mut self, opening: Option<Stage>) -> Result<bool, Ending> {
        let core = self.gateway.core.clone();
        let begun = !self.stream.buffer.data().is_empty();
        let stage = opening.unwrap_or(if begun { Stage::Message } else { Stage::Idle });
        // A client that sends a byte now and then must not start its time anew with each.
        let before = self.mailbox.stage().filter(|(was, _)| *was == stage);
        let (_, since) = before.unwrap_or((stage, core.clock.now()));
        self.mailbox.set_stage(Some((stage, since)));
        let until = if stage == Stage::Idle {
            Micros::MAX
        } else {
            since + MESSAGE_WAIT
        };
        let _alarm = core.timer.alarm(until, self.stream.waker());
        // In a drain a message that has begun is read to its end and nothing else: what was not read its client sends
        // once more elsewhere, and one that always has a next request would be owed an answer when the process is killed.
        let draining = self.gateway.is_draining();
        if draining && !begun {
            return Ok(false);
        }
        let one = draining && opening.is_none();
        let most = if one {
            pg::missing(self.stream.buffer.data())
        } else {
            usize::MAX
        };
        self.reads += 1;
        if self.reads % READS_IN_TURN == 0 {
            may::coroutine::yield_now();
        }
        loop {
            match self.stream.read_at_most(most) {
                Ok(Some(0)) | Err(_) => return Err(Ending::Left),
                Ok(Some(_)) => {
                    // It has something to say after all: somebody else is to make room.
                    self.mailbox.close.store(false, Ordering::Release);
                    return Ok(true);
                }
                Ok(None) => {}
            }
            // Asked to close: only after a last look for a request that has come, and never inside one.
            if self.mailbox.close.load(Ordering::Acquire) {
                return Ok(false);
            }
            if self.gateway.is_draining() && !begun {
                return Ok(false);
            }
            if core.clock.now() >= until {
                return Err(self.fatal(Malformed("the message took too long")));
            }
            self.stream.wait();
        }
    }

    pub(super) fn write(&mut self, bytes: &[u8]) -> Result<(), Ending> {
        let core = self.gateway.core.clone();
        let until = core.clock.now() + WRITE_WAIT;
        let _alarm = core.timer.alarm(until, self.stream.waker());
        let written = self.stream.write_all(bytes, || core.clock.now() < until);
        written.map_err(|_| Ending::Left)
    }

    /// Framing is lost: says so, and how the session ends.
    fn fatal(&mut self, fault: Malformed) -> Ending {
        let mut out = Vec::new();
        pg::error(&mut out, Severity::Fatal, "08P01", fault.0, None);
        self.write(&out)
            .map_or_else(|left| left, |()| Ending::Malformed)
    }

    /// Too many come at once: it hears at once when to come again.
    fn come_again(&mut self, wait: Micros) -> Result<(), Ending> {
        let mut out = Vec::new();
        let wait_ms = wait.div_ceil(1_000);
        pg::error(
            &mut out,
            Severity::Fatal,
            "53300",
            "too many come at once, come again",
            Some(wait_ms),
        );
        self.write(&out)
    }
}

/// A statement that is answered here.
enum Plain {
    Empty,
    Session(&'static str),
}

fn plain(text: &[u8]) -> Option<Plain> {
    let text = text.trim_ascii();
    let word = text
        .split(|byte| byte.is_ascii_whitespace() || *byte == b';')
        .next()
        .unwrap_or_default();
    if text
        .iter()
        .all(|byte| *byte == b';' || byte.is_ascii_whitespace())
    {
        return Some(Plain::Empty);
    }
    ["SET", "RESET", "DISCARD"]
        .into_iter()
        .find(|tag| word.eq_ignore_ascii_case(tag.as_bytes()))
        .map(Plain::Session)
}

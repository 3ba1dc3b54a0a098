//! PostgreSQL's wire protocol, version 3, as far as it is spoken here, and the comment in a statement.
//!
//! No input or output: bytes in, meaning out.

use asterreel::interface::{MemberReport, Micros, Role};
use std::ops::Range;

/// The longest message that is taken in: a value of 64 KiB in hex, and room.
pub(crate) const LONGEST: usize = 132 * 1024;

/// The tags of all messages that a database may answer with.
pub(crate) const ANSWERS: &[u8] = b"ACDEKNRSTZ";

/// Bytes that are no message of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Malformed(pub &'static str);

/// A message: its tag, and its body within the bytes it was found in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Message {
    pub tag: u8,
    pub body: Range<usize>,
}

/// The first message of the bytes, once it is there as a whole.
pub(crate) fn message(bytes: &[u8]) -> Result<Option<Message>, Malformed> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = length(rest)? else {
        return Ok(None);
    };
    Ok((rest.len() >= length).then_some(Message {
        tag,
        body: 5..1 + length,
    }))
}

/// How many bytes the first message lacks at least; one where it is malformed or lacks none.
pub(crate) fn missing(bytes: &[u8]) -> usize {
    let whole = match bytes.split_first().map(|(_, rest)| length(rest)) {
        Some(Ok(Some(length))) => 1 + length,
        _ => 5,
    };
    whole.saturating_sub(bytes.len()).max(1)
}

fn length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(length) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    match u32::from_be_bytes(*length) as usize {
        length @ 4..=LONGEST => Ok(Some(length)),
        _ => Err(Malformed("message length out of bounds")),
    }
}

/// What a client opens its connection with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    Start,
    /// Asks for encryption, which is answered with one byte.
    Encrypt,
    /// Asks to cancel what the session with this key is doing; gets no answer.
    Cancel(Key),
}

/// What a client must know to cancel what its session is doing: the session's number, and a secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Key {
    pub session: u32,
    pub secret: u32,
}

/// The opening message and its length, once it is there as a whole.
pub(crate) fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = length(bytes)? else {
        return Ok(None);
    };
    if length < 8 {
        return Err(Malformed("startup message too short"));
    }
    let Some(message) = bytes.get(..length) else {
        return Ok(None);
    };
    let code = message[4..]
        .first_chunk::<4>()
        .map_or(0, |code| u32::from_be_bytes(*code));
    match (code, code >> 16) {
        (80_877_103 | 80_877_104, _) => Ok(Some((Opening::Encrypt, length))),
        (80_877_102, _) => match message[8..] {
            [a, b, c, d, e, f, g, h] => {
                let (session, secret) = (
                    u32::from_be_bytes([a, b, c, d]),
                    u32::from_be_bytes([e, f, g, h]),
                );
                Ok(Some((Opening::Cancel(Key { session, secret }), length)))
            }
            _ => Err(Malformed("a cancel request without a key")),
        },
        (_, 3) => Ok(Some((Opening::Start, length))),
        _ => Err(Malformed("unsupported protocol version")),
    }
}

/// A parameter of a startup message, by its name; nothing where it is not there or no text.
pub(crate) fn parameter<'a>(message: &'a [u8], name: &str) -> Option<&'a str> {
    let mut rest = message.get(8..)?;
    while let Some((key, after)) = text(rest).filter(|(key, _)| !key.is_empty()) {
        let (value, after) = text(after)?;
        if key == name.as_bytes() {
            return std::str::from_utf8(value).ok();
        }
        rest = after;
    }
    None
}

/// A text up to its closing zero byte, and what follows.
fn text(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// The statement of a query message.
pub(crate) fn query(body: &[u8]) -> Result<&[u8], Malformed> {
    match text(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(Malformed("query is not one text")),
    }
}

/// A client's statement, with what its comment says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Statement {
    bytes: Vec<u8>,
    wait: Range<usize>,
    /// What the client calls the request.
    pub id: Vec<u8>,
    /// The class, by name.
    pub class: String,
    /// How long the client will wait, in milliseconds.
    pub wait_ms: u64,
    /// The group.
    pub cluster: u64,
    /// The position that the read must see, in Unix milliseconds.
    pub after: Option<u64>,
    /// The first quoted text, which may name a session.
    pub key: Vec<u8>,
}

impl Statement {
    pub(crate) fn parse(bytes: &[u8]) -> Result<Statement, Malformed> {
        let find = |what: &[u8]| bytes.windows(2).rposition(|pair| pair == what);
        let (Some(open), Some(close)) = (find(b"/*"), find(b"*/")) else {
            return Err(Malformed("statement without a comment"));
        };
        if close < open + 2
            || !bytes[close + 2..]
                .iter()
                .all(|b| b.is_ascii_whitespace() || *b == b';')
        {
            return Err(Malformed("statement does not end with its comment"));
        }
        let (mut id, mut class, mut wait, mut cluster, mut after) = (None, None, None, None, None);
        let mut at = open + 2;
        for pair in bytes[at..close].split(|byte| *byte == b',') {
            let start = at;
            at += pair.len() + 1;
            let Some(equals) = pair.iter().position(|byte| *byte == b'=') else {
                continue;
            };
            let raw = &pair[equals + 1..];
            let value = raw.trim_ascii();
            let value_at = start + equals + 1 + (raw.len() - raw.trim_ascii_start().len());
            match pair[..equals].trim_ascii() {
                b"id" => id = Some(value),
                b"c" => class = Some(value),
                b"d" => wait = Some((number(value)?, value_at..value_at + value.len())),
                b"cluster" => cluster = Some(number(value)?),
                b"after" => after = Some(number(value)?),
                _ => {}
            }
        }
        let quoted = bytes[..open].split(|byte| *byte == b'\'').nth(1);
        let class = class.and_then(|class| std::str::from_utf8(class).ok());
        let (Some(class), Some((wait_ms, wait)), Some(id)) = (class, wait, id) else {
            return Err(Malformed("comment lacks id, c or d"));
        };
        Ok(Statement {
            wait,
            id: id.to_vec(),
            class: class.to_owned(),
            wait_ms,
            cluster: cluster.unwrap_or(0),
            after,
            key: quoted.unwrap_or_default().to_vec(),
            bytes: bytes.to_vec(),
        })
    }

    /// The statement as the client sent it.
    pub(crate) fn text(&self) -> &[u8] {
        &self.bytes
    }

    /// Names and values of the comment, as far as they are text.
    pub(crate) fn comment(&self) -> Vec<(&str, &str)> {
        let text = std::str::from_utf8(&self.bytes).unwrap_or_default();
        let comment = text
            .rsplit_once("/*")
            .and_then(|(_, rest)| rest.rsplit_once("*/"))
            .map_or("", |part| part.0);
        let pairs = comment.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .map(|(name, value)| (name.trim(), value.trim()))
            .collect()
    }

    /// The query message that passes the statement on; only `d` is changed, to how long will be waited.
    pub(crate) fn forward(&self, wait_ms: u64) -> Vec<u8> {
        let wait = wait_ms.to_string();
        let mut out = Vec::with_capacity(self.bytes.len() + wait.len() + 6);
        put(&mut out, b'Q', |out| {
            out.extend_from_slice(&self.bytes[..self.wait.start]);
            out.extend_from_slice(wait.as_bytes());
            out.extend_from_slice(&self.bytes[self.wait.end..]);
            out.push(0);
        });
        out
    }
}

fn number(value: &[u8]) -> Result<u64, Malformed> {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| text.parse().ok())
        .ok_or(Malformed("comment holds a bad number"))
}

/// Appends a message whose body is written by `body`.
fn put(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// What a gateway opens its connection to a database with.
pub(crate) fn startup() -> Vec<u8> {
    startup_to("orders")
}

/// The same, to a database of this name.
pub(crate) fn startup_to(database: &str) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, 0, 3, 0, 0];
    for word in ["user", "web", "database", database, ""] {
        put_text(&mut out, word);
    }
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// A query message of a plain statement.
pub(crate) fn simple_query(statement: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', |out| put_text(out, statement));
    out
}

/// The answer to a client's startup message.
pub(crate) fn welcome(out: &mut Vec<u8>, key: Key) {
    put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
        put(out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put(out, b'K', |out| {
        out.extend_from_slice(&key.session.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
    ready(out);
}

pub(crate) fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

pub(crate) fn empty_query_response(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
}

pub(crate) fn command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |out| put_text(out, tag));
}

/// How serious an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    Error,
    /// The connection ends with it.
    Fatal,
}

pub(crate) fn error(
    out: &mut Vec<u8>,
    severity: Severity,
    code: &str,
    message: &str,
    detail: Option<u64>,
) {
    let severity = if severity == Severity::Fatal {
        "FATAL"
    } else {
        "ERROR"
    };
    let detail = detail.map(|number| number.to_string());
    put(out, b'E', |out| {
        for (field, value) in [
            (b'S', severity),
            (b'V', severity),
            (b'C', code),
            (b'M', message),
        ] {
            out.push(field);
            put_text(out, value);
        }
        if let Some(detail) = &detail {
            out.push(b'D');
            put_text(out, detail);
        }
        out.push(0);
    });
}

/// The code of an error message.
fn error_code(mut body: &[u8]) -> Option<&[u8]> {
    while let Some((&field, rest)) = body.split_first().filter(|(field, _)| **field != 0) {
        let (value, after) = text(rest)?;
        if field == b'C' {
            return Some(value);
        }
        body = after;
    }
    None
}

/// How a database answered a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// A row of one column and the end of the command.
    Row,
    /// An error with this code.
    Error([u8; 5]),
}

/// What has come of a database's answer to one query, or to the startup message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answer {
    /// RowDescription, DataRow and CommandComplete, byte for byte.
    pub rows: Vec<u8>,
    pub note: MemberReport,
    pub verdict: Option<Verdict>,
    /// ReadyForQuery has come.
    pub ready: bool,
    stage: u8,
}

impl Answer {
    /// Takes in one message, `whole` being all its bytes.
    pub(crate) fn take(&mut self, tag: u8, whole: &[u8], body: &[u8]) -> Result<(), Malformed> {
        if self.ready {
            return Err(Malformed("a message after the end of the answer"));
        }
        match (tag, self.stage) {
            (b'N' | b'A' | b'K' | b'R', _) => {}
            (b'S', _) => self.status(body),
            (b'T', 0) | (b'D', 1) | (b'C', 2) if self.verdict.is_none() => {
                // What is passed on as it came must be whole inside as well.
                let whole_inside = match tag {
                    b'T' => column(body)
                        .and_then(text)
                        .is_some_and(|(_, rest)| rest.len() == 18),
                    b'D' => column(body).and_then(value).is_some(),
                    _ => query(body).is_ok(),
                };
                if !whole_inside {
                    return Err(Malformed("not a row of one column"));
                }
                self.rows.extend_from_slice(whole);
                self.stage += 1;
                if tag == b'C' {
                    self.verdict = Some(Verdict::Row);
                }
            }
            (b'E', _) if self.verdict.is_none() => {
                let code = error_code(body).and_then(|code| code.try_into().ok());
                self.verdict = Some(Verdict::Error(
                    code.ok_or(Malformed("an error without a code"))?,
                ));
            }
            (b'Z', _) => self.ready = true,
            _ => return Err(Malformed("a message out of turn")),
        }
        Ok(())
    }

    /// One that can't be read tells nothing, and takes nothing from the answer it came with.
    fn status(&mut self, body: &[u8]) {
        match text(body).and_then(|(name, rest)| Some((name, text(rest)?.0))) {
            Some((b"server_role", b"writer")) => self.note.role = Some(Role::Primary),
            Some((b"server_role", b"reader")) => self.note.role = Some(Role::Replica),
            Some((b"commit_clock", value)) => self.note.position = decimal(value, 3),
            _ => {}
        }
    }

    /// The value of the row, if one came.
    pub(crate) fn value(&self) -> Option<&[u8]> {
        let description = message(&self.rows).ok()??;
        let rest = &self.rows[description.body.end..];
        value(column(&rest[message(rest).ok()??.body])?)
    }
}

/// What follows the count of columns, which must be one.
fn column(body: &[u8]) -> Option<&[u8]> {
    body.strip_prefix(&[0, 1])
}

/// The value that a column of a row holds, and nothing behind it.
fn value(column: &[u8]) -> Option<&[u8]> {
    let (length, value) = column.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*length) as usize == value.len()).then_some(value)
}

/// A decimal number times ten to a power, rounded down; exact where a float would not be.
fn decimal(text: &[u8], power: usize) -> Option<u64> {
    let text = std::str::from_utf8(text).ok()?.trim();
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let mut value: u64 = whole.parse().ok()?;
    let digits = part.bytes().chain(std::iter::repeat(b'0'));
    for digit in digits.take(power) {
        let digit = char::from(digit).to_digit(10)?;
        value = value.checked_mul(10)?.checked_add(u64::from(digit))?;
    }
    Some(value)
}

/// What a load report tells: `x0` is the position in Unix seconds, `x1` whether it is the primary.
pub(crate) fn report(value: &[u8]) -> MemberReport {
    let mut note = MemberReport::default();
    for pair in value.split(|byte| *byte == b',') {
        let Some(equals) = pair.iter().position(|byte| *byte == b'=') else {
            continue;
        };
        let (name, value) = (pair[..equals].trim_ascii(), &pair[equals + 1..]);
        match (name, decimal(value, 6)) {
            (b"x0", position) => note.position = position.map(|at: Micros| at),
            (b"x1", Some(one)) => {
                note.role = Some(if one >= 500_000 {
                    Role::Primary
                } else {
                    Role::Replica
                });
            }
            _ => {}
        }
    }
    note
}

#[cfg(test)]
mod tests;

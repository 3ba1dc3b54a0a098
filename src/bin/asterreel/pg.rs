//! PostgreSQL's wire protocol, version 3, as far as it is spoken here, and the comment in a statement.
//!
//! No input or output: bytes in, meaning out.

use asterreel::interface::{Micros, Note, Role};
use std::ops::Range;

/// The longest message that is taken in: a value of 64 KiB in hex, and room.
pub const LONGEST: usize = 132 * 1024;

/// The tags of all messages that a database may answer with.
pub const ANSWERS: &[u8] = b"ACDEKNRSTZ";

/// Bytes that are no message of this protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// A message: its tag, and its body within the bytes it was found in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub tag: u8,
    pub body: Range<usize>,
}

/// The first message of the bytes, once it is there as a whole.
pub fn message(bytes: &[u8]) -> Result<Option<Message>, Malformed> {
    let Some((&tag, rest)) = bytes.split_first() else { return Ok(None) };
    let Some(length) = length(rest)? else { return Ok(None) };
    Ok((rest.len() >= length).then_some(Message { tag, body: 5..1 + length }))
}

fn length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(length) = bytes.first_chunk::<4>() else { return Ok(None) };
    match u32::from_be_bytes(*length) as usize {
        length @ 4..=LONGEST => Ok(Some(length)),
        _ => Err(Malformed("message length out of bounds")),
    }
}

/// What a client opens its connection with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Start,
    /// Asks for encryption, which is answered with one byte.
    Encrypt,
    /// Asks to cancel something; gets no answer.
    Cancel,
}

/// The opening message and its length, once it is there as a whole.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = length(bytes)? else { return Ok(None) };
    if length < 8 {
        return Err(Malformed("startup message too short"));
    }
    let Some(message) = bytes.get(..length) else { return Ok(None) };
    let code = message[4..].first_chunk::<4>().map_or(0, |code| u32::from_be_bytes(*code));
    match (code, code >> 16) {
        (80_877_103 | 80_877_104, _) => Ok(Some((Opening::Encrypt, length))),
        (80_877_102, _) => Ok(Some((Opening::Cancel, length))),
        (_, 3) => Ok(Some((Opening::Start, length))),
        _ => Err(Malformed("unsupported protocol version")),
    }
}

/// A parameter of a startup message, by its name; nothing where it is not there or no text.
pub fn parameter<'a>(message: &'a [u8], name: &str) -> Option<&'a str> {
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
pub fn query(body: &[u8]) -> Result<&[u8], Malformed> {
    match text(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(Malformed("query is not one text")),
    }
}

/// A client's statement, with what its comment says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
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
    pub fn parse(bytes: &[u8]) -> Result<Statement, Malformed> {
        let find = |what: &[u8]| bytes.windows(2).rposition(|pair| pair == what);
        let (Some(open), Some(close)) = (find(b"/*"), find(b"*/")) else {
            return Err(Malformed("statement without a comment"));
        };
        if close < open + 2 || !bytes[close + 2..].iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
            return Err(Malformed("statement does not end with its comment"));
        }
        let (mut id, mut class, mut wait, mut cluster, mut after) = (None, None, None, None, None);
        let mut at = open + 2;
        for pair in bytes[at..close].split(|byte| *byte == b',') {
            let start = at;
            at += pair.len() + 1;
            let Some(equals) = pair.iter().position(|byte| *byte == b'=') else { continue };
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
    pub fn text(&self) -> &[u8] {
        &self.bytes
    }

    /// Names and values of the comment, as far as they are text.
    pub fn comment(&self) -> Vec<(&str, &str)> {
        let text = std::str::from_utf8(&self.bytes).unwrap_or_default();
        let comment =
            text.rsplit_once("/*").and_then(|(_, rest)| rest.rsplit_once("*/")).map_or("", |part| part.0);
        let pairs = comment.split(',').filter_map(|pair| pair.split_once('='));
        pairs.map(|(name, value)| (name.trim(), value.trim())).collect()
    }

    /// The query message that passes the statement on; only `d` is changed, to how long will be waited.
    pub fn forward(&self, wait_ms: u64) -> Vec<u8> {
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
    text.and_then(|text| text.parse().ok()).ok_or(Malformed("comment holds a bad number"))
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
pub fn startup() -> Vec<u8> {
    startup_to("orders")
}

/// The same, to a database of this name.
pub fn startup_to(database: &str) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, 0, 3, 0, 0];
    for word in ["user", "web", "database", database, ""] {
        put_text(&mut out, word);
    }
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

/// A query message of a plain statement.
pub fn simple_query(statement: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', |out| put_text(out, statement));
    out
}

/// The answer to a client's startup message.
pub fn welcome(out: &mut Vec<u8>) {
    put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
        put(out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put(out, b'K', |out| out.extend_from_slice(&[0; 8]));
    ready(out);
}

pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

pub fn empty_query_response(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
}

pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |out| put_text(out, tag));
}

/// How serious an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    Error,
    /// The connection ends with it.
    Fatal,
}

pub fn error(out: &mut Vec<u8>, severity: Severity, code: &str, message: &str, detail: Option<u64>) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    let detail = detail.map(|number| number.to_string());
    put(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
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
pub enum Verdict {
    /// A row of one column and the end of the command.
    Row,
    /// An error with this code.
    Error([u8; 5]),
}

/// What has come of a database's answer to one query, or to the startup message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// RowDescription, DataRow and CommandComplete, byte for byte.
    pub rows: Vec<u8>,
    pub note: Note,
    pub verdict: Option<Verdict>,
    /// ReadyForQuery has come.
    pub ready: bool,
    stage: u8,
}

impl Answer {
    /// Takes in one message, `whole` being all its bytes.
    pub fn take(&mut self, tag: u8, whole: &[u8], body: &[u8]) -> Result<(), Malformed> {
        if self.ready {
            return Err(Malformed("a message after the end of the answer"));
        }
        match (tag, self.stage) {
            (b'N' | b'A' | b'K' | b'R', _) => {}
            (b'S', _) => self.status(body),
            (b'T', 0) | (b'D', 1) | (b'C', 2) if self.verdict.is_none() => {
                // What is passed on as it came must be whole inside as well.
                let whole_inside = match tag {
                    b'T' => column(body).and_then(text).is_some_and(|(_, rest)| rest.len() == 18),
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
                self.verdict = Some(Verdict::Error(code.ok_or(Malformed("an error without a code"))?));
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
    pub fn value(&self) -> Option<&[u8]> {
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
pub fn report(value: &[u8]) -> Note {
    let mut note = Note::default();
    for pair in value.split(|byte| *byte == b',') {
        let Some(equals) = pair.iter().position(|byte| *byte == b'=') else { continue };
        let (name, value) = (pair[..equals].trim_ascii(), &pair[equals + 1..]);
        match (name, decimal(value, 6)) {
            (b"x0", position) => note.position = position.map(|at: Micros| at),
            (b"x1", Some(one)) => {
                note.role = Some(if one >= 500_000 { Role::Primary } else { Role::Replica });
            }
            _ => {}
        }
    }
    note
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fuzz;

    const READ: &[u8] =
        b"SELECT payload FROM entries WHERE ref = '7f' /* id=9b,c=basket,d=480,cluster=2,after=17 */";

    fn row() -> Vec<u8> {
        let mut out = Vec::new();
        put(&mut out, b'T', |out| out.extend([&b"\0\x01payload\0"[..], &[0; 18]].concat()));
        put(&mut out, b'D', |out| out.extend_from_slice(b"\0\x01\0\0\0\x03\x9f\0Z"));
        command_complete(&mut out, "SELECT 1");
        let rows = out.clone();
        put(&mut out, b'S', |out| out.extend_from_slice(b"server_role\0writer\0"));
        put(&mut out, b'S', |out| out.extend_from_slice(b"commit_clock\x001767225600123\0"));
        ready(&mut out);
        let mut whole = Answer::default();
        read(&out, &mut whole).expect("valid");
        assert_eq!(whole.rows, rows);
        out
    }

    /// Reads all messages that are whole; returns what is used.
    fn read(bytes: &[u8], answer: &mut Answer) -> Result<usize, Malformed> {
        let mut used = 0;
        while let Some(found) = message(&bytes[used..])? {
            let whole = &bytes[used..used + found.body.end];
            answer.take(found.tag, whole, &whole[found.body])?;
            used += whole.len();
        }
        Ok(used)
    }

    #[test]
    fn parameters_of_a_startup_message_are_found_and_garbage_is_none() {
        let bytes = startup();
        assert_eq!((parameter(&bytes, "user"), parameter(&bytes, "database")), (Some("web"), Some("orders")));
        assert_eq!((parameter(&bytes, "web"), parameter(&bytes, "application_name")), (None, None));
        fuzz::garbage(&bytes, |bytes| {
            assert!(parameter(bytes, "user").is_none_or(|value| value.len() < bytes.len()));
        });
        let statement = Statement::parse(READ).expect("valid");
        assert_eq!(statement.comment()[0], ("id", "9b"));
        assert_eq!(statement.text(), READ);
    }

    #[test]
    fn an_answer_is_the_same_however_it_is_cut_and_never_whole_before_its_end() {
        let bytes = row();
        fuzz::cuts(&bytes, |ends| {
            let (mut answer, mut used) = (Answer::default(), 0);
            for end in ends {
                used += read(&bytes[used..*end], &mut answer).expect("valid");
                assert_eq!(answer.ready, *end == bytes.len());
            }
            assert_eq!(answer.verdict, Some(Verdict::Row));
            assert_eq!(answer.value(), Some(&b"\x9f\0Z"[..]));
            let position = Some(1_767_225_600_123_000);
            assert_eq!(answer.note, Note { role: Some(Role::Primary), position });
        });
    }

    /// Spoilt inside of messages that are whole: passed on, a client would take it for its value or choke on it.
    #[test]
    fn a_row_that_is_not_whole_inside_is_malformed_and_an_unreadable_report_spoils_no_row() {
        let spoilt = |what: &[u8], by: &[u8]| {
            let mut bytes = row();
            let at = bytes.windows(what.len()).position(|window| window == what).expect("there");
            bytes[at..at + by.len()].copy_from_slice(by);
            let mut answer = Answer::default();
            let read = read(&bytes, &mut answer);
            (read.is_ok(), answer.verdict, answer.note.position)
        };
        let cases: [(&[u8], &[u8]); 5] = [
            (b"\0\0\0\x03\x9f", b"\0\0\0\x02\x9f"),
            (b"\0\0\0\x03\x9f", b"\xff\xff\xff\xff\x9f"),
            (b"\0\x01payl", b"\0\x02pay"),
            (b"payload\0", b"paylo\0d"),
            (b"CT 1\0", b"CT 1\x01"),
        ];
        for (what, by) in cases {
            assert!(!spoilt(what, by).0, "{what:?}");
        }
        assert_eq!(spoilt(b"commit_clock\x0017", b"commit_clock\x00?7"), (true, Some(Verdict::Row), None));
        let unended = spoilt(b"5600123\0", b"5600123x");
        assert_eq!(unended, (true, Some(Verdict::Row), None));
    }

    #[test]
    fn garbage_is_an_error_or_incomplete_and_is_never_read_past() {
        let mut bad = 0;
        for valid in [&row()[..], &startup(), READ, b"x0=1767225600.123,x1=1,util=0.5"] {
            fuzz::garbage(valid, |bytes| {
                let read = read(bytes, &mut Answer::default());
                assert!(read.is_err() || read.is_ok_and(|used| used <= bytes.len()));
                let opened = opening(bytes);
                assert!(opened.is_err() || opened.is_ok_and(|o| o.is_none_or(|(_, n)| n <= bytes.len())));
                let parsed = Statement::parse(bytes);
                bad += usize::from(read.is_err()) + usize::from(parsed.is_err());
                let shown = parsed.map(|statement| statement.forward(1).len() <= bytes.len() + 7);
                assert!(shown.unwrap_or(true));
                report(bytes);
            });
        }
        assert!(bad > 1000, "most garbage is found out: {bad}");
    }

    #[test]
    fn only_the_wait_of_a_statement_changes() {
        let statement = Statement::parse(READ).expect("valid");
        assert_eq!((statement.class.as_str(), statement.wait_ms, statement.cluster), ("basket", 480, 2));
        assert_eq!((statement.after, &statement.key[..]), (Some(17), &b"7f"[..]));
        let text = String::from_utf8_lossy(READ).replace("d=480", "d=9");
        assert_eq!(&statement.forward(9)[5..], [text.as_bytes(), b"\0"].concat());
        // A value may hold anything, what looks like a comment included.
        let odd = b"INSERT INTO entries VALUES ('/* d=1 */ \xff') /* id=1,c=w,d=5,cluster=0 */";
        let forwarded = Statement::parse(odd).expect("valid").forward(77);
        let wanted = b"INSERT INTO entries VALUES ('/* d=1 */ \xff') /* id=1,c=w,d=77,cluster=0 */\0";
        assert_eq!(&forwarded[5..], wanted);
        fuzz::cuts(READ, |ends| {
            for end in ends.iter().filter(|end| **end < READ.len()) {
                assert!(Statement::parse(&READ[..*end]).is_err(), "half a statement is none");
            }
        });
    }

    #[test]
    fn positions_are_rounded_down_exactly() {
        assert_eq!(decimal(b"1767225600.123999", 3), Some(1_767_225_600_123));
        assert_eq!(decimal(b"1767225600123", 3), Some(1_767_225_600_123_000));
        let note = report(b"x0=1767225600.5,x1=0,util=0.61");
        assert_eq!(note, Note { role: Some(Role::Replica), position: Some(1_767_225_600_500_000) });
        assert_eq!(report(b"x0=soon,x1,=1"), Note::default());
    }

    #[test]
    fn an_error_is_read_by_its_code_and_a_refusal_says_when_to_come_back() {
        let mut out = Vec::new();
        error(&mut out, Severity::Error, "53300", "later", Some(250));
        let mut answer = Answer::default();
        read(&out, &mut answer).expect("valid");
        assert_eq!(answer.verdict, Some(Verdict::Error(*b"53300")));
        assert!(out.windows(5).any(|field| field == b"D250\0"));
    }
}

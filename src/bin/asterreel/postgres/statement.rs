//! A client's statement and the comment at its end, which gives the request's id, class, wait and group.
//!
//! A forwarded statement differs from the one received only in the value of `d`, the wait in milliseconds.

use super::framing::{put_message, Malformed};
use std::ops::Range;

/// A client's statement, with the values of its comment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Statement {
    bytes: Vec<u8>,
    /// The range of the value of `d` in the statement.
    wait_range: Range<usize>,
    /// The request's id, assigned by the client; `id` in the comment.
    pub id: Vec<u8>,
    /// The name of the request's class; `c` in the comment.
    pub class: String,
    /// How long the client waits for the answer, in milliseconds; `d` in the comment.
    pub wait_ms: u64,
    /// The number of the group whose data it needs; `cluster` in the comment, 0 without it.
    pub group: u64,
    /// The position that the read must see, in Unix milliseconds; `after` in the comment.
    pub after_ms: Option<u64>,
    /// The first quoted string of the statement, which may identify a session; empty without one.
    pub key: Vec<u8>,
}

/// The values of a comment that the gateway uses.
#[derive(Default)]
struct CommentValues<'a> {
    id: Option<&'a [u8]>,
    class: Option<&'a [u8]>,
    wait: Option<Wait>,
    group: Option<u64>,
    after_ms: Option<u64>,
}

/// The wait in a comment: its value, and its range in the statement.
struct Wait {
    milliseconds: u64,
    range: Range<usize>,
}

impl<'a> CommentValues<'a> {
    /// Parses the pairs in this range of a statement. The last pair of a name counts, and unknown names are ignored.
    fn parse(bytes: &'a [u8], range: Range<usize>) -> Result<CommentValues<'a>, Malformed> {
        let mut values = CommentValues::default();
        let mut next_pair = range.start;
        for pair in bytes[range].split(|byte| *byte == b',') {
            let pair_start = next_pair;
            next_pair += pair.len() + 1;
            let Some(equals) = pair.iter().position(|byte| *byte == b'=') else {
                continue;
            };
            let padded = &pair[equals + 1..];
            let value = padded.trim_ascii();
            match pair[..equals].trim_ascii() {
                b"id" => values.id = Some(value),
                b"c" => values.class = Some(value),
                b"d" => {
                    let padding = padded.len() - padded.trim_ascii_start().len();
                    let start = pair_start + equals + 1 + padding;
                    values.wait = Some(Wait {
                        milliseconds: parse_number(value)?,
                        range: start..start + value.len(),
                    });
                }
                b"cluster" => values.group = Some(parse_number(value)?),
                b"after" => values.after_ms = Some(parse_number(value)?),
                _ => {}
            }
        }
        Ok(values)
    }
}

/// The range of the text in the comment that ends a statement.
fn comment_range(bytes: &[u8]) -> Result<Range<usize>, Malformed> {
    let find_last = |delimiter: &[u8]| bytes.windows(2).rposition(|pair| pair == delimiter);
    let (Some(open), Some(close)) = (find_last(b"/*"), find_last(b"*/")) else {
        return Err(Malformed("statement without a comment"));
    };
    let is_ignored = |byte: &u8| byte.is_ascii_whitespace() || *byte == b';';
    if close < open + 2 || !bytes[close + 2..].iter().all(is_ignored) {
        return Err(Malformed("statement does not end with its comment"));
    }
    Ok(open + 2..close)
}

impl Statement {
    /// Parses a statement and its comment.
    ///
    /// # Errors
    ///
    /// A statement that does not end with a comment, or a comment that lacks id, class or wait or has an invalid
    /// number.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Statement, Malformed> {
        let range = comment_range(bytes)?;
        let statement = &bytes[..range.start - 2];
        let values = CommentValues::parse(bytes, range)?;
        let class = values
            .class
            .and_then(|class| std::str::from_utf8(class).ok());
        let (Some(class), Some(wait), Some(id)) = (class, values.wait, values.id) else {
            return Err(Malformed("comment lacks id, c or d"));
        };
        let quoted = statement.split(|byte| *byte == b'\'').nth(1);
        Ok(Statement {
            wait_range: wait.range,
            id: id.to_vec(),
            class: class.to_owned(),
            wait_ms: wait.milliseconds,
            group: values.group.unwrap_or(0),
            after_ms: values.after_ms,
            key: quoted.unwrap_or_default().to_vec(),
            bytes: bytes.to_vec(),
        })
    }

    /// The statement as the client sent it.
    pub(crate) fn text(&self) -> &[u8] {
        &self.bytes
    }

    /// The names and values in the comment; empty where the statement is not UTF-8.
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

    /// The Query message that forwards the statement, in which only `d` is replaced, by the remaining wait.
    pub(crate) fn forward(&self, wait_ms: u64) -> Vec<u8> {
        let wait = wait_ms.to_string();
        let mut out = Vec::with_capacity(self.bytes.len() + wait.len() + 6);
        put_message(&mut out, b'Q', |out| {
            out.extend_from_slice(&self.bytes[..self.wait_range.start]);
            out.extend_from_slice(wait.as_bytes());
            out.extend_from_slice(&self.bytes[self.wait_range.end..]);
            out.push(0);
        });
        out
    }
}

fn parse_number(value: &[u8]) -> Result<u64, Malformed> {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| text.parse().ok())
        .ok_or(Malformed("comment holds a bad number"))
}

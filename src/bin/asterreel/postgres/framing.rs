//! Framing of PostgreSQL's wire protocol, version 3: a message is one tag byte, a length, and a body.
//!
//! A length out of bounds is an error, so that no peer can make a buffer grow without limit.

use std::ops::Range;
use thiserror::Error;

/// The length of the longest message accepted: a value of 64 KiB in hex, with its statement.
pub(crate) const MAX_MESSAGE_BYTES: usize = 132 * 1024;

/// Why bytes are not a valid message of this protocol. Clients are sent the text of an error in their own messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub(crate) struct Malformed(pub &'static str);

/// A complete message at the front of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Message {
    /// The type of the message.
    pub tag: u8,
    /// The range of its body in the buffer.
    pub body: Range<usize>,
}

/// Bytes of a message's tag and length.
pub(crate) const HEADER_BYTES: usize = 5;

/// The tag of a simple query.
pub(crate) const QUERY: u8 = b'Q';
/// The tag of the message that asks for ReadyForQuery.
pub(crate) const SYNC: u8 = b'S';
/// The tag of the message that ends a session.
pub(crate) const TERMINATE: u8 = b'X';

/// The message at the front of the bytes; `None` while it is incomplete.
///
/// # Errors
///
/// A length out of bounds.
pub(crate) fn message(bytes: &[u8]) -> Result<Option<Message>, Malformed> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = message_length(rest)? else {
        return Ok(None);
    };
    Ok((rest.len() >= length).then_some(Message {
        tag,
        body: HEADER_BYTES..1 + length,
    }))
}

/// The least number of bytes that complete the first message, or its header; 1 where it is malformed or complete.
pub(crate) fn missing_bytes(bytes: &[u8]) -> usize {
    let complete = match bytes.split_first().map(|(_, rest)| message_length(rest)) {
        Some(Ok(Some(length))) => 1 + length,
        _ => HEADER_BYTES,
    };
    complete.saturating_sub(bytes.len()).max(1)
}

/// The length field, which counts itself, at the front of the bytes; `None` while it is incomplete.
///
/// # Errors
///
/// A length out of bounds.
pub(crate) fn message_length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(length) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    match u32::from_be_bytes(*length) as usize {
        length @ 4..=MAX_MESSAGE_BYTES => Ok(Some(length)),
        _ => Err(Malformed("message length out of bounds")),
    }
}

/// The bytes up to the first zero byte, and those after it.
pub(super) fn cstring(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// The statement in the body of a Query message.
///
/// # Errors
///
/// A body that is not exactly one zero-terminated string.
pub(crate) fn query_string(body: &[u8]) -> Result<&[u8], Malformed> {
    match cstring(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(Malformed("query is not one text")),
    }
}

/// Appends a message with this tag, whose body `body` writes.
pub(super) fn put_message(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a text and a terminating zero byte.
pub(super) fn put_cstring(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

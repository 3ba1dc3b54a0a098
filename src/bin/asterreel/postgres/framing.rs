//! Framing of PostgreSQL's wire protocol, version 3: one tag byte, a length, and a body.
//!
//! No input or output. A length outside the bounds is an error, so that no peer can make a buffer grow without limit.

use std::ops::Range;
use thiserror::Error;

/// The longest message accepted: a value of 64 KiB in hex, and its statement.
pub(crate) const MAX_MESSAGE_BYTES: usize = 132 * 1024;

/// Bytes that are no message of this protocol, and why; clients get the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub(crate) struct Malformed(pub &'static str);

/// A complete message at the front of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Message {
    /// The type of the message.
    pub tag: u8,
    /// Where its body is within those bytes.
    pub body: Range<usize>,
}

/// Bytes of a message's tag and length.
const HEADER_BYTES: usize = 5;

/// The first message of the bytes, once it is complete.
///
/// # Errors
///
/// A length that no message of this protocol has.
pub(crate) fn message(bytes: &[u8]) -> Result<Option<Message>, Malformed> {
    let Some((&tag, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = length(rest)? else {
        return Ok(None);
    };
    Ok((rest.len() >= length).then_some(Message {
        tag,
        body: HEADER_BYTES..1 + length,
    }))
}

/// How many bytes the first message lacks at least; one where it is malformed or lacks none.
pub(crate) fn missing_bytes(bytes: &[u8]) -> usize {
    let complete = match bytes.split_first().map(|(_, rest)| length(rest)) {
        Some(Ok(Some(length))) => 1 + length,
        _ => HEADER_BYTES,
    };
    complete.saturating_sub(bytes.len()).max(1)
}

/// The length that a message starts with after its tag, itself included; nothing while it is incomplete.
pub(super) fn length(bytes: &[u8]) -> Result<Option<usize>, Malformed> {
    let Some(length) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    match u32::from_be_bytes(*length) as usize {
        length @ 4..=MAX_MESSAGE_BYTES => Ok(Some(length)),
        _ => Err(Malformed("message length out of bounds")),
    }
}

/// A text up to its closing zero byte, and what follows.
pub(super) fn text(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// The statement of a query message.
///
/// # Errors
///
/// A body that is not exactly one text.
pub(crate) fn query(body: &[u8]) -> Result<&[u8], Malformed> {
    match text(body) {
        Some((statement, [])) => Ok(statement),
        _ => Err(Malformed("query is not one text")),
    }
}

/// Appends a message whose body is written by `body`.
pub(super) fn put(out: &mut Vec<u8>, tag: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a text and its closing zero byte.
pub(super) fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

//! Messages that open a connection: the startup message, requests for encryption, and requests to cancel a query.

use super::framing::{cstring, message_length, put_cstring, Malformed};

/// Bytes of an opening message's length and code.
const OPENING_HEADER_BYTES: usize = 8;
/// The longest opening message accepted, as in PostgreSQL.
pub(crate) const MAX_OPENING_BYTES: usize = 10_000;
/// Request codes, sent in place of a protocol version.
const SSL_REQUEST: u32 = 80_877_103;
const GSSAPI_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
/// The only major version of the protocol that is supported; the upper two of the version's four bytes.
const PROTOCOL_MAJOR_VERSION: u32 = 3;

/// The kind of a message that opens a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    /// Starts a session.
    Start,
    /// Requests encryption; the answer is one byte.
    Encrypt,
    /// Requests that the open request of the session with this key is cancelled; there is no answer.
    Cancel(CancelKey),
}

/// The key that authorizes a cancel request for a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CancelKey {
    /// The number of the session.
    pub session: u32,
    /// A secret that only the session's client is given.
    pub secret: u32,
}

/// The opening message and its length; `None` while it is incomplete.
///
/// # Errors
///
/// A length out of bounds, a cancel request without a key, or a version that is not supported.
pub(crate) fn parse_opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = message_length(bytes)? else {
        return Ok(None);
    };
    if length < OPENING_HEADER_BYTES {
        return Err(Malformed("startup message too short"));
    }
    if length > MAX_OPENING_BYTES {
        return Err(Malformed("startup message too long"));
    }
    let Some(message) = bytes.get(..length) else {
        return Ok(None);
    };
    let code = message[4..]
        .first_chunk::<4>()
        .map_or(0, |code| u32::from_be_bytes(*code));
    match (code, code >> 16) {
        (SSL_REQUEST | GSSAPI_REQUEST, _) => Ok(Some((Opening::Encrypt, length))),
        (CANCEL_REQUEST, _) => match message[OPENING_HEADER_BYTES..] {
            [a, b, c, d, e, f, g, h] => {
                let (session, secret) = (
                    u32::from_be_bytes([a, b, c, d]),
                    u32::from_be_bytes([e, f, g, h]),
                );
                Ok(Some((
                    Opening::Cancel(CancelKey { session, secret }),
                    length,
                )))
            }
            _ => Err(Malformed("a cancel request without a key")),
        },
        (_, PROTOCOL_MAJOR_VERSION) => Ok(Some((Opening::Start, length))),
        _ => Err(Malformed("unsupported protocol version")),
    }
}

/// The value of a startup message's parameter; `None` where it is missing or not UTF-8.
pub(crate) fn startup_parameter<'a>(message: &'a [u8], name: &str) -> Option<&'a str> {
    let mut rest = message.get(OPENING_HEADER_BYTES..)?;
    while let Some((key, after)) = cstring(rest).filter(|(key, _)| !key.is_empty()) {
        let (value, after) = cstring(after)?;
        if key == name.as_bytes() {
            return std::str::from_utf8(value).ok();
        }
        rest = after;
    }
    None
}

/// The startup message that the gateway sends to databases.
pub(crate) fn startup() -> Vec<u8> {
    startup_to("orders")
}

/// A startup message for the database of this name.
pub(crate) fn startup_to(database: &str) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, 0, 3, 0, 0];
    for text in ["user", "web", "database", database, ""] {
        put_cstring(&mut out, text);
    }
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

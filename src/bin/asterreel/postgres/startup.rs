//! What opens a connection: the startup message, requests for encryption, and requests to cancel a query.

use super::framing::{length, put_text, text, Malformed};

/// Bytes of an opening message's length and code.
const OPENING_HEADER_BYTES: usize = 8;
/// Codes in the place of a protocol version.
const SSL_REQUEST: u32 = 80_877_103;
const GSSAPI_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
/// The only version of the protocol that is served, in the upper half of the version's four bytes.
const PROTOCOL_MAJOR_VERSION: u32 = 3;

/// What a client opens its connection with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Opening {
    /// Starts a session.
    Start,
    /// Asks for encryption, which is answered with one byte.
    Encrypt,
    /// Asks to cancel what the session with this key is doing; gets no answer.
    Cancel(CancelKey),
}

/// What a client must know to cancel what its session is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CancelKey {
    /// The number of the session.
    pub session: u32,
    /// Known to the session's client alone.
    pub secret: u32,
}

/// The opening message and its length, once it is complete.
///
/// # Errors
///
/// A message that opens no connection of this protocol.
pub(crate) fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = length(bytes)? else {
        return Ok(None);
    };
    if length < OPENING_HEADER_BYTES {
        return Err(Malformed("startup message too short"));
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

/// A parameter of a startup message, by its name; nothing where it is not there or no text.
pub(crate) fn parameter<'a>(message: &'a [u8], name: &str) -> Option<&'a str> {
    let mut rest = message.get(OPENING_HEADER_BYTES..)?;
    while let Some((key, after)) = text(rest).filter(|(key, _)| !key.is_empty()) {
        let (value, after) = text(after)?;
        if key == name.as_bytes() {
            return std::str::from_utf8(value).ok();
        }
        rest = after;
    }
    None
}

/// What a gateway opens its connection to a database with.
pub(crate) fn startup() -> Vec<u8> {
    startup_to("orders")
}

/// The startup message for a database of this name.
pub(crate) fn startup_to(database: &str) -> Vec<u8> {
    let mut out = vec![0, 0, 0, 0, 0, 3, 0, 0];
    for text in ["user", "web", "database", database, ""] {
        put_text(&mut out, text);
    }
    let length = out.len() as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    out
}

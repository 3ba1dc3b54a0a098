//! Splits discovery's HTTP responses into lists of endpoints, bounded in bytes. Does no input or output.

use super::framing::{Framing, ResponseError};
use asterreel::config::EndpointList;
use asterreel::discovery::Received;

/// The longest list that is accepted: 3,200 databases take 0.9 MB indented.
pub(super) const MAX_LIST_BYTES: usize = 2 << 20;

/// Text that is not a complete list yet is first decoded from this length on, to detect invalid JSON early.
const MIN_DECODE_BYTES: usize = 4 * 1024;

/// Reads an HTTP response as it arrives and splits its body into lists.
#[derive(Default)]
pub(super) struct ResponseReader {
    framing: Framing,
    /// The part of the body that is not decoded yet.
    undecoded: Vec<u8>,
    /// The length of `undecoded` from which it is decoded although no list has ended.
    next_decode_len: usize,
    nesting: Nesting,
    /// Bytes of the body without white space.
    payload_bytes: u64,
    /// Bytes passed to the JSON decoder; those decoded more than once count each time.
    decoded_bytes: u64,
}

impl ResponseReader {
    /// Whether the response's head is complete.
    pub(super) fn has_head(&self) -> bool {
        self.framing != Framing::Head
    }

    /// Whether the response is complete; the connection may stay open.
    pub(super) fn is_complete(&self) -> bool {
        self.framing == Framing::Complete
    }

    /// Bytes passed to the JSON decoder so far; those decoded more than once count each time.
    #[cfg(test)]
    pub(super) fn decoded_bytes(&self) -> u64 {
        self.decoded_bytes
    }

    /// What was received so far, for the subscription.
    pub(super) fn received(&self) -> Received {
        let within_update = self
            .undecoded
            .iter()
            .any(|byte| !byte.is_ascii_whitespace());
        Received {
            answered: self.has_head(),
            within_update,
            payload_bytes: self.payload_bytes,
        }
    }

    /// Processes bytes and returns how many were consumed; the caller passes the rest again, with more after it.
    pub(super) fn feed(&mut self, bytes: &[u8]) -> Result<usize, ResponseError> {
        let mut used = 0;
        while let Some(piece) = self.framing.next_piece(&bytes[used..])? {
            let end = used + piece.length;
            if piece.is_payload {
                self.buffer(&bytes[used..end]);
            }
            used = end;
            // Fewer than 8 KiB are passed at once, so this rejects one long list, not many complete ones.
            if self.undecoded.len() > MAX_LIST_BYTES {
                return Err(ResponseError::TooLong(MAX_LIST_BYTES));
            }
            if used == bytes.len() {
                break;
            }
        }
        Ok(used)
    }

    /// Buffers bytes of the body until they are decoded.
    fn buffer(&mut self, bytes: &[u8]) {
        self.undecoded.extend_from_slice(bytes);
        bytes.iter().for_each(|byte| self.nesting.scan(*byte));
        self.payload_bytes += bytes
            .iter()
            .filter(|byte| !byte.is_ascii_whitespace())
            .count() as u64;
    }

    /// The next complete list, or the error of decoding it. Lists may be indented, so line ends do not delimit them; the
    /// empty lines between them are white space. Decodes only where a list may end, or once the undecoded text has doubled
    /// since it was decoded last: invalid JSON is detected early, and the cost of a long list is linear in its length.
    pub(super) fn next_list(&mut self) -> Option<serde_json::Result<EndpointList>> {
        if !self.nesting.value_closed && self.undecoded.len() < self.next_decode_len {
            return None;
        }
        self.decoded_bytes += self.undecoded.len() as u64;
        let mut lists =
            serde_json::Deserializer::from_slice(&self.undecoded).into_iter::<EndpointList>();
        let next = lists.next();
        let used = lists.byte_offset();
        if next
            .as_ref()
            .is_none_or(|next| next.as_ref().is_err_and(serde_json::Error::is_eof))
        {
            self.next_decode_len = 2 * self.undecoded.len().max(MIN_DECODE_BYTES);
            self.nesting.value_closed = false;
            return None;
        }
        self.undecoded.drain(..used);
        // Otherwise one long list would keep its memory allocated for as long as the watch lasts.
        self.undecoded.shrink_to(MIN_DECODE_BYTES);
        self.next_decode_len = MIN_DECODE_BYTES;
        next
    }
}

/// The nesting depth of the JSON text so far, and whether a top-level value has ended; the contents of strings are skipped.
#[derive(Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Whether a bracket closed the outermost one, or had no opening one, since this was last cleared.
    value_closed: bool,
}

impl Nesting {
    fn scan(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                self.value_closed |= self.depth == 0;
            }
            _ => {}
        }
    }
}

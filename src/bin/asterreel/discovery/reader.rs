//! Splits discovery's HTTP answers into lists of endpoints, bounded in bytes. No input or output.

use super::framing::{AnswerError, Framing};
use asterreel::config::EndpointList;
use asterreel::discovery::Received;

/// The longest list that is read: 3,200 databases take 0.9 MB indented.
pub(super) const MAX_LIST_BYTES: usize = 2 << 20;

/// The length from which text that is not a complete list yet is first decoded, to find nonsense.
const MIN_DECODE_BYTES: usize = 4 * 1024;

/// Reads an HTTP answer as it comes and splits its body into lists.
#[derive(Default)]
pub(super) struct AnswerReader {
    framing: Framing,
    /// The part of the body that is not decoded yet.
    undecoded: Vec<u8>,
    /// The length from which it is decoded although no list has ended.
    decode_again_at: usize,
    nesting: Nesting,
    /// Bytes of the body without white space.
    payload_bytes: u64,
    /// Bytes decoded to find lists, each counted as often as it was.
    decoded_bytes: u64,
}

impl AnswerReader {
    /// The answer's head is complete.
    pub(super) fn is_answered(&self) -> bool {
        self.framing != Framing::Head
    }

    /// The answer has come to its end, though the connection may stay.
    pub(super) fn is_over(&self) -> bool {
        self.framing == Framing::Over
    }

    /// Bytes decoded so far, each counted as often as it was.
    #[cfg(test)]
    pub(super) fn decoded_bytes(&self) -> u64 {
        self.decoded_bytes
    }

    /// What all bytes so far amount to.
    pub(super) fn received(&self) -> Received {
        let within_update = self
            .undecoded
            .iter()
            .any(|byte| !byte.is_ascii_whitespace());
        Received {
            answered: self.is_answered(),
            within_update,
            payload_bytes: self.payload_bytes,
        }
    }

    /// Takes in bytes and returns how many were used; the rest is to be offered again with more.
    pub(super) fn take(&mut self, bytes: &[u8]) -> Result<usize, AnswerError> {
        let mut used = 0;
        while let Some(piece) = self.framing.next_piece(&bytes[used..])? {
            let end = used + piece.length;
            if piece.is_payload {
                self.buffer(&bytes[used..end]);
            }
            used = end;
            // Fewer than 8 KiB are offered at once, so this stops one long list, not many complete ones.
            if self.undecoded.len() > MAX_LIST_BYTES {
                return Err(AnswerError::TooLong(MAX_LIST_BYTES));
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

    /// The next complete list, or why it is none. Lists may be indented, so line ends say nothing; the empty lines
    /// between them are white space. Decodes where a list ends, and what has doubled since it was decoded last: nonsense
    /// is found early, and the cost of a long list is linear in its length.
    pub(super) fn next_list(&mut self) -> Option<serde_json::Result<EndpointList>> {
        if !self.nesting.value_closed && self.undecoded.len() < self.decode_again_at {
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
            self.decode_again_at = 2 * self.undecoded.len().max(MIN_DECODE_BYTES);
            self.nesting.value_closed = false;
            return None;
        }
        self.undecoded.drain(..used);
        // A long list must not hold its memory for as long as the watch lasts.
        self.undecoded.shrink_to(MIN_DECODE_BYTES);
        self.decode_again_at = MIN_DECODE_BYTES;
        next
    }
}

/// How deep in a JSON value the bytes so far end, and whether one has closed; the contents of strings are skipped.
#[derive(Default)]
struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// A bracket closed the outermost one, or one that never opened, since this was last cleared.
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

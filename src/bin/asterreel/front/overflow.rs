//! Messages that a client has sent beyond what may be held for it.
//!
//! They are read to their ends, so that the client's close behind them is seen, and dropped. Each of them that is owed
//! an answer is rejected, in order, once the messages before it have been answered.

use super::error_answer::ErrorAnswer;
use crate::postgres::{self as pg, Malformed};

/// How many rejections are written at once.
const REJECTIONS_AT_ONCE: u64 = 64;

/// What follows the messages that were dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OverflowEnd {
    /// Messages that can be handled again.
    Messages,
    /// Bytes that belong to a message that was dropped.
    RestOfMessage,
    /// The client has ended its session.
    Terminate,
    /// Bytes that can't be framed.
    Malformed(Malformed),
}

/// The state of dropped input. The default is that nothing was dropped.
#[derive(Debug, Default)]
pub(super) struct Overflow {
    /// The header of the message that has begun, until it is complete.
    header: Vec<u8>,
    /// How many bytes of the message that has begun are missing, once its header is complete.
    missing: usize,
    /// Whether the message that has begun is owed an answer.
    is_owed: bool,
    /// How many rejections are owed.
    owed: u64,
    /// What ended the messages for good.
    end: Option<OverflowEnd>,
}

impl Overflow {
    /// Whether input was dropped that has not been dealt with. All further input is to be dropped then.
    pub(super) fn is_active(&self) -> bool {
        self.owed > 0 || self.end() != OverflowEnd::Messages
    }

    /// Whether a message has begun and is incomplete.
    pub(super) fn is_inside_message(&self) -> bool {
        self.end() == OverflowEnd::RestOfMessage
    }

    /// What follows the messages that were dropped so far.
    pub(super) fn end(&self) -> OverflowEnd {
        let is_inside = self.missing > 0 || !self.header.is_empty();
        self.end.unwrap_or(if is_inside {
            OverflowEnd::RestOfMessage
        } else {
            OverflowEnd::Messages
        })
    }

    /// The least number of bytes that complete the message that has begun, or its header.
    pub(super) fn missing_bytes(&self) -> usize {
        if self.missing > 0 {
            self.missing
        } else {
            pg::HEADER_BYTES - self.header.len()
        }
    }

    /// Drops these bytes.
    pub(super) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.end.is_none() {
            let count = self.missing_bytes().min(bytes.len());
            let (taken, rest) = bytes.split_at(count);
            bytes = rest;
            if self.missing > 0 {
                self.missing -= count;
            } else {
                self.header.extend_from_slice(taken);
                if self.header.len() < pg::HEADER_BYTES {
                    return;
                }
                self.begin_message();
            }
            if self.missing == 0 && self.end.is_none() {
                self.owed += u64::from(std::mem::take(&mut self.is_owed));
            }
        }
    }

    /// Handles a complete header.
    fn begin_message(&mut self) {
        let tag = self.header[0];
        let length = pg::message_length(&self.header[1..]);
        self.header.clear();
        match length {
            Err(fault) => self.end = Some(OverflowEnd::Malformed(fault)),
            Ok(_) if tag == pg::TERMINATE => self.end = Some(OverflowEnd::Terminate),
            Ok(length) => {
                self.missing = length.unwrap_or_default() + 1 - pg::HEADER_BYTES;
                self.is_owed = matches!(tag, pg::QUERY | pg::SYNC);
            }
        }
    }

    /// Appends some of the rejections that are owed; false where none is left.
    pub(super) fn reject(&mut self, out: &mut Vec<u8>) -> bool {
        let count = self.owed.min(REJECTIONS_AT_ONCE);
        self.owed -= count;
        for _ in 0..count {
            ErrorAnswer::OutOfMemory.write(out);
            pg::ready_for_query(out);
        }
        count > 0
    }
}

#[cfg(test)]
mod tests;

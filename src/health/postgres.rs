//! The check that PostgreSQL's own tools make (PostgreSQL Frontend/Backend Protocol, version 3): a connection that is
//! opened and greeted, as `pg_isready` and HAProxy's `pgsql-check` expect. Nothing is served on it.
//!
//! No input or output.

use super::Status;
use crate::interface::GroupId;

/// The longest message that is taken in.
pub const LONGEST: usize = 1024;
const ENCRYPT: [u32; 2] = [80_877_103, 80_877_104];
const CANCEL: u32 = 80_877_102;

/// What is to be done after bytes came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// More bytes are needed.
    More,
    /// The connection ends.
    Close,
    /// A startup message is whole: greet with what is told of this group, or of the whole gateway.
    Greet(Option<GroupId>),
}

/// One connection.
#[derive(Default)]
pub struct Check {
    greeted: bool,
    encrypt_asked: bool,
}

impl Check {
    /// Reads on; how many bytes were used, and what follows. Answers that need no status are appended to `out`.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Next) {
        if self.greeted {
            return self.message(bytes, out);
        }
        let Some(length) = bytes
            .first_chunk::<4>()
            .map(|length| u32::from_be_bytes(*length) as usize)
        else {
            return (0, Next::More);
        };
        if !(8..=LONGEST).contains(&length) {
            error(out, "08P01", "startup message out of bounds");
            return (bytes.len(), Next::Close);
        }
        let Some(message) = bytes.get(..length) else {
            return (0, Next::More);
        };
        let code = message[4..]
            .first_chunk::<4>()
            .map_or(0, |code| u32::from_be_bytes(*code));
        if ENCRYPT.contains(&code) {
            // Once: a peer that asks on and on gets nowhere.
            if std::mem::replace(&mut self.encrypt_asked, true) && code == ENCRYPT[0] {
                error(out, "08P01", "encryption was refused already");
                return (length, Next::Close);
            }
            out.push(b'N');
            return (length, Next::More);
        }
        if code == CANCEL {
            return (length, Next::Close);
        }
        if code >> 16 != 3 {
            error(out, "0A000", "unsupported protocol version");
            return (length, Next::Close);
        }
        self.greeted = true;
        (length, Next::Greet(group(&message[8..])))
    }

    fn message(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Next) {
        match bytes.first() {
            None => (0, Next::More),
            Some(b'X') => (bytes.len(), Next::Close),
            Some(_) => {
                error(out, "0A000", "this port only tells health");
                (bytes.len(), Next::Close)
            }
        }
    }
}

/// The group that the database's name selects: `group7` or `group-7`.
fn group(parameters: &[u8]) -> Option<GroupId> {
    let mut fields = parameters.split(|byte| *byte == 0);
    while let (Some(name), Some(value)) = (fields.next(), fields.next()) {
        if name == b"database" {
            let text = std::str::from_utf8(value).ok()?;
            return text
                .strip_prefix("group")?
                .trim_start_matches(['-', '_', ' '])
                .parse()
                .ok()
                .map(GroupId);
        }
    }
    None
}

/// The greeting, and whether the connection ends with it.
pub fn greet(status: Option<Status>, out: &mut Vec<u8>) -> bool {
    let Some(status) = status.filter(Status::ready) else {
        let why = status.map_or("unknown group", |status| status.reason.code());
        error(out, "57P03", &format!("not accepting connections: {why}"));
        return true;
    };
    put(out, b'R', &[0; 4]);
    put(out, b'S', b"server_version\x0015.0\0");
    put(
        out,
        b'S',
        format!("asterreel.weight\0{}\0", status.weight).as_bytes(),
    );
    put(out, b'K', &[0; 8]);
    put(out, b'Z', b"I");
    false
}

fn put(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn error(out: &mut Vec<u8>, code: &str, text: &str) {
    put(
        out,
        b'E',
        format!("SFATAL\0VFATAL\0C{code}\0M{text}\0\0").as_bytes(),
    );
}

#[cfg(test)]
mod tests;

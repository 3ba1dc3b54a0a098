//! The server side of a PostgreSQL connection check (Frontend/Backend Protocol, version 3): answers the startup message
//! as `pg_isready` and HAProxy's `pgsql-check` expect, and serves no queries.
//!
//! Only parses and formats messages; it does no I/O.

use super::Status;
use crate::interface::GroupId;

/// The longest startup message that is accepted, in bytes.
pub const MAX_STARTUP_BYTES: usize = 1024;
/// The request codes of SSLRequest and GSSENCRequest.
const ENCRYPTION_REQUEST_CODES: [u32; 2] = [80_877_103, 80_877_104];
const CANCEL_REQUEST_CODE: u32 = 80_877_102;

/// What to do after received bytes were processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Read more bytes.
    Read,
    /// Close the connection.
    Close,
    /// The startup message is complete: answer with the status of this group, or of the whole gateway if `None`.
    AnswerStartup(Option<GroupId>),
}

/// The protocol state of one connection.
#[derive(Default)]
pub struct Check {
    startup_done: bool,
    encryption_requested: bool,
}

impl Check {
    /// Processes received bytes; returns how many were consumed and what to do next. Answers that need no status are
    /// appended to `out`.
    pub fn process(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Next) {
        if self.startup_done {
            return self.process_message(bytes, out);
        }
        let Some(length) = bytes
            .first_chunk::<4>()
            .map(|length| u32::from_be_bytes(*length) as usize)
        else {
            return (0, Next::Read);
        };
        if !(8..=MAX_STARTUP_BYTES).contains(&length) {
            write_error(out, "08P01", "startup message out of bounds");
            return (bytes.len(), Next::Close);
        }
        let Some(message) = bytes.get(..length) else {
            return (0, Next::Read);
        };
        let code = message[4..]
            .first_chunk::<4>()
            .map_or(0, |code| u32::from_be_bytes(*code));
        if ENCRYPTION_REQUEST_CODES.contains(&code) {
            // An SSLRequest after an earlier encryption request ends the connection, so that a peer cannot keep it
            // open by repeating it.
            if std::mem::replace(&mut self.encryption_requested, true)
                && code == ENCRYPTION_REQUEST_CODES[0]
            {
                write_error(out, "08P01", "encryption was refused already");
                return (length, Next::Close);
            }
            out.push(b'N');
            return (length, Next::Read);
        }
        if code == CANCEL_REQUEST_CODE {
            return (length, Next::Close);
        }
        if code >> 16 != 3 {
            write_error(out, "0A000", "unsupported protocol version");
            return (length, Next::Close);
        }
        self.startup_done = true;
        (length, Next::AnswerStartup(database_group(&message[8..])))
    }

    fn process_message(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Next) {
        match bytes.first() {
            None => (0, Next::Read),
            Some(b'X') => (bytes.len(), Next::Close),
            Some(_) => {
                write_error(out, "0A000", "this port only tells health");
                (bytes.len(), Next::Close)
            }
        }
    }
}

/// The group that the database name selects, such as `group7` or `group-7`.
fn database_group(parameters: &[u8]) -> Option<GroupId> {
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

/// Appends the answer to a startup message; returns whether the connection ends with it.
pub fn answer_startup(status: Option<Status>, out: &mut Vec<u8>) -> bool {
    let Some(status) = status.filter(Status::ready) else {
        let reason = status.map_or("unknown group", |status| status.reason.code());
        write_error(
            out,
            "57P03",
            &format!("not accepting connections: {reason}"),
        );
        return true;
    };
    write_message(out, b'R', &[0; 4]);
    write_message(out, b'S', b"server_version\x0015.0\0");
    write_message(
        out,
        b'S',
        format!("asterreel.weight\0{}\0", status.weight).as_bytes(),
    );
    write_message(out, b'K', &[0; 8]);
    write_message(out, b'Z', b"I");
    false
}

fn write_message(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn write_error(out: &mut Vec<u8>, code: &str, text: &str) {
    write_message(
        out,
        b'E',
        format!("SFATAL\0VFATAL\0C{code}\0M{text}\0\0").as_bytes(),
    );
}

#[cfg(test)]
mod tests;

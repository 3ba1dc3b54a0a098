//! A server's answer to one query or to the startup message, read message by message.
//!
//! An answer that is forwarded has been checked inside as well: a damaged row is an error and never reaches a client.

use super::framing::{message, query, text, Malformed};
use super::report::decimal;
use super::sqlstate::SqlState;
use asterreel::interface::{MemberReport, Role};

/// The tags of all messages that a server may answer with.
pub(crate) const ANSWER_TAGS: &[u8] = b"ACDEKNRSTZ";

/// Bytes that follow a column's name in RowDescription: table, type and format.
const COLUMN_ATTRIBUTES_BYTES: usize = 18;

/// Decimal digits between milliseconds, in which servers report positions, and microseconds.
const MICROS_PER_MILLI_DIGITS: usize = 3;

/// How a server answered a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QueryResult {
    /// A row of one column and the end of the command.
    Row,
    /// An error with this code.
    Error(SqlState),
}

/// How far the messages of a row have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RowProgress {
    #[default]
    Nothing,
    Description,
    Values,
    Complete,
}

/// What has come of a server's answer to one query, or to the startup message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answer {
    /// RowDescription, DataRow and CommandComplete, byte for byte.
    pub rows: Vec<u8>,
    /// What the server reported of itself along with the answer.
    pub report: MemberReport,
    /// The row or the error, once it has come.
    pub result: Option<QueryResult>,
    /// ReadyForQuery has come.
    pub ready: bool,
    progress: RowProgress,
}

impl Answer {
    /// Takes in one message, given as all its bytes and as its body.
    ///
    /// # Errors
    ///
    /// Messages out of order, a result other than one row of one column, and an error without a code.
    pub(crate) fn take(&mut self, tag: u8, message: &[u8], body: &[u8]) -> Result<(), Malformed> {
        if self.ready {
            return Err(Malformed("a message after the end of the answer"));
        }
        let has_result = self.result.is_some();
        match (tag, self.progress) {
            (b'N' | b'A' | b'K' | b'R', _) => {}
            (b'S', _) => self.take_status(body),
            (b'T', RowProgress::Nothing) if !has_result => {
                self.take_row_message(tag, message, body, RowProgress::Description)?;
            }
            (b'D', RowProgress::Description) if !has_result => {
                self.take_row_message(tag, message, body, RowProgress::Values)?;
            }
            (b'C', RowProgress::Values) if !has_result => {
                self.take_row_message(tag, message, body, RowProgress::Complete)?;
                self.result = Some(QueryResult::Row);
            }
            (b'E', _) if !has_result => {
                let code = error_code(body).ok_or(Malformed("an error without a code"))?;
                self.result = Some(QueryResult::Error(code));
            }
            (b'Z', _) => self.ready = true,
            _ => return Err(Malformed("a message out of turn")),
        }
        Ok(())
    }

    /// Keeps a message of the row for its client, byte for byte, once it is known to be well formed inside.
    fn take_row_message(
        &mut self,
        tag: u8,
        message: &[u8],
        body: &[u8],
        progress: RowProgress,
    ) -> Result<(), Malformed> {
        let is_well_formed = match tag {
            b'T' => column(body)
                .and_then(text)
                .is_some_and(|(_, rest)| rest.len() == COLUMN_ATTRIBUTES_BYTES),
            b'D' => column(body).and_then(value).is_some(),
            _ => query(body).is_ok(),
        };
        if !is_well_formed {
            return Err(Malformed("not a row of one column"));
        }
        self.rows.extend_from_slice(message);
        self.progress = progress;
        Ok(())
    }

    /// Takes in a ParameterStatus message. An unreadable one is ignored and does not invalidate the answer.
    fn take_status(&mut self, body: &[u8]) {
        match text(body).and_then(|(name, rest)| Some((name, text(rest)?.0))) {
            Some((b"server_role", b"writer")) => self.report.role = Some(Role::Primary),
            Some((b"server_role", b"reader")) => self.report.role = Some(Role::Replica),
            Some((b"commit_clock", value)) => {
                self.report.position = decimal(value, MICROS_PER_MILLI_DIGITS);
            }
            _ => {}
        }
    }

    /// The value of the row, if one came.
    pub(crate) fn value(&self) -> Option<&[u8]> {
        let description = message(&self.rows).ok()??;
        let rest = &self.rows[description.body.end..];
        value(column(&rest[message(rest).ok()??.body])?)
    }
}

/// The code of an error message.
fn error_code(mut body: &[u8]) -> Option<SqlState> {
    while let Some((&field, rest)) = body.split_first().filter(|(field, _)| **field != 0) {
        let (value, after) = text(rest)?;
        if field == b'C' {
            return value.try_into().ok().map(SqlState);
        }
        body = after;
    }
    None
}

/// What follows the count of columns, which must be one.
fn column(body: &[u8]) -> Option<&[u8]> {
    body.strip_prefix(&[0, 1])
}

/// The value that a column of a row holds, and nothing behind it.
fn value(column: &[u8]) -> Option<&[u8]> {
    let (length, value) = column.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*length) as usize == value.len()).then_some(value)
}

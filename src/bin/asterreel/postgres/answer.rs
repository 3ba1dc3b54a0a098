//! A server's answer to one query or to the startup message, parsed message by message.
//!
//! The bodies of row messages are checked before they are forwarded: a damaged row is an error and never reaches a
//! client.

use super::framing::{cstring, message, query_string, Malformed};
use super::report::parse_decimal;
use super::sqlstate::SqlState;
use asterreel::interface::{MemberReport, Role};

/// The tags of all messages that an answer may contain.
pub(crate) const ANSWER_TAGS: &[u8] = b"ACDEKNRSTZ";

/// Bytes after a column's name in RowDescription: table, type and format.
const COLUMN_ATTRIBUTES_BYTES: usize = 18;

/// Decimal digits from milliseconds, the unit in which servers report positions, to microseconds.
const MICROS_PER_MILLI_DIGITS: usize = 3;

/// How a server answered a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum QueryResult {
    /// One row of one column, followed by CommandComplete.
    Row,
    /// ErrorResponse with this code.
    Error(SqlState),
}

/// The last message of the row that was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum RowProgress {
    #[default]
    NotStarted,
    Description,
    Values,
    Complete,
}

/// What was received of a server's answer to one query, or to the startup message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Answer {
    /// RowDescription, DataRow and CommandComplete, as the server sent them.
    pub rows: Vec<u8>,
    /// What the server reported about itself in ParameterStatus messages.
    pub report: MemberReport,
    /// The row or the error, once it is complete.
    pub result: Option<QueryResult>,
    /// ReadyForQuery was received: the answer has ended.
    pub ready: bool,
    progress: RowProgress,
}

impl Answer {
    /// Handles one message, given as a whole and as its body.
    ///
    /// # Errors
    ///
    /// A message out of order, a result other than one row of one column, or an error without a code.
    pub(crate) fn handle_message(
        &mut self,
        tag: u8,
        message: &[u8],
        body: &[u8],
    ) -> Result<(), Malformed> {
        if self.ready {
            return Err(Malformed("a message after the end of the answer"));
        }
        let has_result = self.result.is_some();
        match (tag, self.progress) {
            (b'N' | b'A' | b'K' | b'R', _) => {}
            (b'S', _) => self.handle_parameter_status(body),
            (b'T', RowProgress::NotStarted) if !has_result => {
                self.append_row_message(tag, message, body, RowProgress::Description)?;
            }
            (b'D', RowProgress::Description) if !has_result => {
                self.append_row_message(tag, message, body, RowProgress::Values)?;
            }
            (b'C', RowProgress::Values) if !has_result => {
                self.append_row_message(tag, message, body, RowProgress::Complete)?;
                self.result = Some(QueryResult::Row);
            }
            (b'E', _) if !has_result => {
                let code = error_code(body).ok_or(Malformed("an error without a code"))?;
                self.result = Some(QueryResult::Error(code));
            }
            (b'Z', _) => self.ready = true,
            _ => return Err(Malformed("a message out of order")),
        }
        Ok(())
    }

    /// Appends a message of the row, unchanged, after checking that its body is well formed.
    fn append_row_message(
        &mut self,
        tag: u8,
        message: &[u8],
        body: &[u8],
        progress: RowProgress,
    ) -> Result<(), Malformed> {
        let is_well_formed = match tag {
            b'T' => single_column(body)
                .and_then(cstring)
                .is_some_and(|(_, rest)| rest.len() == COLUMN_ATTRIBUTES_BYTES),
            b'D' => single_column(body).and_then(column_value).is_some(),
            _ => query_string(body).is_ok(),
        };
        if !is_well_formed {
            return Err(Malformed("not a row of one column"));
        }
        self.rows.extend_from_slice(message);
        self.progress = progress;
        Ok(())
    }

    /// Handles a ParameterStatus message. An unreadable one is ignored and does not invalidate the answer.
    fn handle_parameter_status(&mut self, body: &[u8]) {
        match cstring(body).and_then(|(name, rest)| Some((name, cstring(rest)?.0))) {
            Some((b"server_role", b"writer")) => self.report.role = Some(Role::Primary),
            Some((b"server_role", b"reader")) => self.report.role = Some(Role::Replica),
            Some((b"commit_clock", value)) => {
                self.report.position = parse_decimal(value, MICROS_PER_MILLI_DIGITS);
            }
            _ => {}
        }
    }

    /// The value of the row, if one was received.
    pub(crate) fn value(&self) -> Option<&[u8]> {
        let description = message(&self.rows).ok()??;
        let rest = &self.rows[description.body.end..];
        column_value(single_column(&rest[message(rest).ok()??.body])?)
    }
}

/// The SQLSTATE code of an ErrorResponse's body.
fn error_code(mut body: &[u8]) -> Option<SqlState> {
    while let Some((&field, rest)) = body.split_first().filter(|(field, _)| **field != 0) {
        let (value, after) = cstring(rest)?;
        if field == b'C' {
            return value.try_into().ok().map(SqlState);
        }
        body = after;
    }
    None
}

/// The bytes after the count of columns, which must be one.
fn single_column(body: &[u8]) -> Option<&[u8]> {
    body.strip_prefix(&[0, 1])
}

/// The value of a DataRow's only column; `None` where its length does not match the remaining bytes.
fn column_value(column: &[u8]) -> Option<&[u8]> {
    let (length, value) = column.split_first_chunk::<4>()?;
    (u32::from_be_bytes(*length) as usize == value.len()).then_some(value)
}

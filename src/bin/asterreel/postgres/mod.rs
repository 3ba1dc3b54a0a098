//! The parts of PostgreSQL's wire protocol, version 3, that the gateway supports.
//!
//! This module does no I/O: it parses bytes to typed messages and writes messages to bytes. Truncated or damaged input
//! is reported as incomplete or as an error, and nothing is read beyond the given bytes.

mod answer;
mod framing;
mod messages;
mod report;
pub(crate) mod sqlstate;
mod startup;
mod statement;

pub(crate) use answer::{Answer, QueryResult, ANSWER_TAGS};
pub(crate) use framing::{
    message, message_length, missing_bytes, query_string, Malformed, Message, HEADER_BYTES,
    MAX_MESSAGE_BYTES, QUERY, SYNC, TERMINATE,
};
pub(crate) use messages::{
    client_encoding_status, command_complete, empty_query_response, error_response,
    ready_for_query, simple_query, startup_response, Severity,
};
pub(crate) use report::load_report;
pub(crate) use startup::{
    parse_opening, startup, startup_parameter, startup_to, CancelKey, Opening,
};
pub(crate) use statement::Statement;

#[cfg(test)]
mod tests;

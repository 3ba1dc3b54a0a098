//! PostgreSQL's wire protocol, version 3, as far as the gateway speaks it.
//!
//! No input or output: bytes in, typed messages out, and the other way round. Truncated and damaged input is an error or
//! incomplete; nothing is read beyond the bytes given.

mod answer;
mod framing;
mod messages;
mod report;
pub(crate) mod sqlstate;
mod startup;
mod statement;

pub(crate) use answer::{Answer, QueryResult, ANSWER_TAGS};
pub(crate) use framing::{message, missing_bytes, query, Malformed, Message, MAX_MESSAGE_BYTES};
pub(crate) use messages::{
    command_complete, empty_query_response, error, ready, session_started, simple_query, Severity,
};
pub(crate) use report::load_report;
pub(crate) use startup::{opening, parameter, startup, startup_to, CancelKey, Opening};
pub(crate) use statement::Statement;

#[cfg(test)]
mod tests;

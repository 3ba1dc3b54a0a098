//! Messages that the gateway writes to clients and servers.

use super::framing::{put_cstring, put_message};
use super::sqlstate::SqlState;
use super::startup::CancelKey;

/// A Query message with this statement.
pub(crate) fn simple_query(statement: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'Q', |out| put_cstring(out, statement));
    out
}

/// The answer to a client's startup message, up to ReadyForQuery.
pub(crate) fn startup_response(out: &mut Vec<u8>, key: CancelKey) {
    put_message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    parameter_status(out, "server_version", "15.0");
    client_encoding_status(out);
    put_message(out, b'K', |out| {
        out.extend_from_slice(&key.session.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
    ready_for_query(out);
}

/// The ParameterStatus that a client is told at its start, and that changes nothing when it is told again.
pub(crate) fn client_encoding_status(out: &mut Vec<u8>) {
    parameter_status(out, "client_encoding", "UTF8");
}

fn parameter_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put_message(out, b'S', |out| {
        put_cstring(out, name);
        put_cstring(out, value);
    });
}

/// ReadyForQuery, which ends an answer.
pub(crate) fn ready_for_query(out: &mut Vec<u8>) {
    put_message(out, b'Z', |out| out.push(b'I'));
}

/// EmptyQueryResponse, the answer to a query without a statement.
pub(crate) fn empty_query_response(out: &mut Vec<u8>) {
    put_message(out, b'I', |_| {});
}

/// CommandComplete with this tag.
pub(crate) fn command_complete(out: &mut Vec<u8>, tag: &str) {
    put_message(out, b'C', |out| put_cstring(out, tag));
}

/// The severity field of an ErrorResponse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// The session continues after the error.
    Error,
    /// The error ends the session.
    Fatal,
}

/// ErrorResponse; `detail` is the delay before a retry, in milliseconds.
pub(crate) fn error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: SqlState,
    message: &str,
    detail: Option<u64>,
) {
    let severity = if severity == Severity::Fatal {
        "FATAL"
    } else {
        "ERROR"
    };
    let detail = detail.map(|number| number.to_string());
    put_message(out, b'E', |out| {
        for (field, value) in [
            (b'S', severity.as_bytes()),
            (b'V', severity.as_bytes()),
            (b'C', &code.0[..]),
            (b'M', message.as_bytes()),
        ] {
            out.push(field);
            out.extend_from_slice(value);
            out.push(0);
        }
        if let Some(detail) = &detail {
            out.push(b'D');
            put_cstring(out, detail);
        }
        out.push(0);
    });
}

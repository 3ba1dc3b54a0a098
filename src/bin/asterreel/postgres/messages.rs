//! Messages written to clients and servers.

use super::framing::{put, put_text};
use super::sqlstate::SqlState;
use super::startup::CancelKey;

/// A query message of a plain statement.
pub(crate) fn simple_query(statement: &str) -> Vec<u8> {
    let mut out = Vec::new();
    put(&mut out, b'Q', |out| put_text(out, statement));
    out
}

/// The answer to a client's startup message.
pub(crate) fn session_started(out: &mut Vec<u8>, key: CancelKey) {
    put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in [("server_version", "15.0"), ("client_encoding", "UTF8")] {
        put(out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put(out, b'K', |out| {
        out.extend_from_slice(&key.session.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
    ready(out);
}

/// ReadyForQuery: the end of an answer.
pub(crate) fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

/// EmptyQueryResponse.
pub(crate) fn empty_query_response(out: &mut Vec<u8>) {
    put(out, b'I', |_| {});
}

/// CommandComplete with this tag.
pub(crate) fn command_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |out| put_text(out, tag));
}

/// How serious an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Severity {
    /// The connection stays.
    Error,
    /// The connection ends with it.
    Fatal,
}

/// ErrorResponse; `detail` is a delay in milliseconds, where one is given.
pub(crate) fn error(
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
    put(out, b'E', |out| {
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
            put_text(out, detail);
        }
        out.push(0);
    });
}

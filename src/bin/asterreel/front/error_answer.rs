//! Final answers to a request other than a row.

use crate::postgres::{self as pg, sqlstate, Severity};
use asterreel::cells::{Rejection, SendRefusal};
use asterreel::interface::Micros;

/// A final answer other than a row, with the text of the error message for the client.
pub(super) enum ErrorAnswer {
    /// The request violates the protocol, or its comment lacks something that the gateway needs.
    InvalidRequest(&'static str),
    /// No tenant is known for the client, or for the statement.
    UnknownClient(&'static str),
    /// Nothing ran. The client may retry, preferably after the delay.
    Rejected {
        text: &'static str,
        retry_after: Option<Micros>,
    },
    /// Nothing ran, as the process may not hold more. The client may retry.
    OutOfMemory,
    /// The request failed, and may have run.
    Failed(&'static str),
    /// The client sent a cancel request.
    Cancelled,
}

impl ErrorAnswer {
    /// Appends the ErrorResponse. Its detail is the retry delay, if there is one, in milliseconds, rounded up.
    pub(super) fn write(&self, out: &mut Vec<u8>) {
        let (code, text, retry_after) = match self {
            ErrorAnswer::InvalidRequest(text) => (sqlstate::PROTOCOL_VIOLATION, *text, None),
            ErrorAnswer::UnknownClient(text) => (sqlstate::INVALID_AUTHORIZATION, *text, None),
            ErrorAnswer::Rejected { text, retry_after } => {
                (sqlstate::TOO_MANY_CONNECTIONS, *text, *retry_after)
            }
            ErrorAnswer::OutOfMemory => (
                sqlstate::TOO_MANY_CONNECTIONS,
                "too much is held at the moment, try again",
                None,
            ),
            ErrorAnswer::Failed(text) => (sqlstate::SYSTEM_ERROR, *text, None),
            ErrorAnswer::Cancelled => (
                sqlstate::QUERY_CANCELED,
                "cancelled as its client asked",
                None,
            ),
        };
        let retry_after_ms = retry_after.map(|delay| delay.div_ceil(1_000));
        pg::error_response(out, Severity::Error, code, text, retry_after_ms);
    }
}

impl From<SendRefusal> for ErrorAnswer {
    fn from(refusal: SendRefusal) -> ErrorAnswer {
        if refusal.retry_is_harmless {
            ErrorAnswer::from(refusal.reason)
        } else {
            ErrorAnswer::Failed(refusal.reason.message().0)
        }
    }
}

impl From<Rejection> for ErrorAnswer {
    fn from(rejection: Rejection) -> ErrorAnswer {
        let (text, retry_after) = rejection.message();
        if rejection == Rejection::UnknownTenant {
            ErrorAnswer::UnknownClient(text)
        } else {
            ErrorAnswer::Rejected { text, retry_after }
        }
    }
}

//! SQLSTATE codes that the gateway sends or acts on.

/// An SQLSTATE code: five characters, of which the first two are its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SqlState(pub [u8; 5]);

impl SqlState {
    /// Whether the statement itself is invalid, so that every server would answer the same.
    pub(crate) fn is_invalid_statement(self) -> bool {
        self.0.starts_with(SYNTAX_ERROR_CLASS) || self == PROTOCOL_VIOLATION
    }
}

/// The class of syntax errors and access rule violations.
const SYNTAX_ERROR_CLASS: &[u8] = b"42";

/// A message or statement violates the protocol, or the statement's comment lacks something the gateway needs.
pub(crate) const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
/// The client sent a message of the extended query protocol, which is not supported.
pub(crate) const FEATURE_NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
/// No tenant is known for the client.
pub(crate) const INVALID_AUTHORIZATION: SqlState = SqlState(*b"28000");
/// Rejected before anything ran; the error's detail may hold the delay before a retry, in milliseconds.
pub(crate) const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
/// Cancelled by a cancel request of the client.
pub(crate) const QUERY_CANCELED: SqlState = SqlState(*b"57014");
/// The request failed; the statement may have run.
pub(crate) const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
/// A server that is a replica received a write.
pub(crate) const READ_ONLY_TRANSACTION: SqlState = SqlState(*b"25006");
/// A replica received a read of data that it does not have yet.
pub(crate) const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");
/// A server is starting up or shutting down.
pub(crate) const CANNOT_CONNECT_NOW: SqlState = SqlState(*b"57P03");

//! SQLSTATE codes that the gateway sends or acts on.

/// The code of an error: five characters, of which the first two name its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SqlState(pub [u8; 5]);

impl SqlState {
    /// Whether the statement itself is wrong, so that every server would answer alike.
    pub(crate) fn is_invalid_statement(self) -> bool {
        self.0.starts_with(SYNTAX_ERROR_CLASS) || self == PROTOCOL_VIOLATION
    }
}

/// Class of syntax errors and of access rule violations.
const SYNTAX_ERROR_CLASS: &[u8] = b"42";

/// A statement breaks the protocol, or lacks what the gateway needs.
pub(crate) const PROTOCOL_VIOLATION: SqlState = SqlState(*b"08P01");
/// A message of the extended protocol.
pub(crate) const FEATURE_NOT_SUPPORTED: SqlState = SqlState(*b"0A000");
/// Nothing says which tenant a client belongs to.
pub(crate) const INVALID_AUTHORIZATION: SqlState = SqlState(*b"28000");
/// Rejected before anything ran; the detail of the message may hold a delay in milliseconds.
pub(crate) const TOO_MANY_CONNECTIONS: SqlState = SqlState(*b"53300");
/// Cancelled by a request of its own client.
pub(crate) const QUERY_CANCELED: SqlState = SqlState(*b"57014");
/// Failed; the statement may have run.
pub(crate) const SYSTEM_ERROR: SqlState = SqlState(*b"58000");
/// A write at a replica.
pub(crate) const READ_ONLY_TRANSACTION: SqlState = SqlState(*b"25006");
/// A read of data that a replica does not have yet.
pub(crate) const SNAPSHOT_TOO_OLD: SqlState = SqlState(*b"72000");
/// A server that starts up or shuts down.
pub(crate) const CANNOT_CONNECT_NOW: SqlState = SqlState(*b"57P03");

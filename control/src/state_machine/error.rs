//! The errors of applying an entry or a snapshot of the log.

use super::{DecodeError, FORMAT};

/// An entry or a snapshot that can't be applied. The member must not go on with later entries: its state would differ
/// from the others'.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// An entry that this build doesn't understand in full.
    #[error("an entry of the fleet's log can't be applied: {0}")]
    Entry(#[from] DecodeError),
    /// A snapshot written by a build with another format.
    #[error(
        "a snapshot has format {found}, but this build reads only format {FORMAT}; if an older build wrote the log, stop \
         all control members, remove the log's folder at each, start them, and propose the operator's file again by a \
         SIGHUP to one gateway"
    )]
    SnapshotFormat {
        /// The snapshot's format.
        found: u32,
    },
    /// A snapshot whose bytes are not those that were written.
    #[error(
        "a snapshot is damaged ({0}); remove the log's folder, so that this gateway gets the log from its peers again"
    )]
    SnapshotDamaged(String),
    /// An entry that doesn't follow the last one applied.
    #[error(
        "entry {expected} of the log was expected, but entry {found} was found; remove the log's folder, so that this \
         gateway gets the log from its peers again"
    )]
    Gap {
        /// The index expected next.
        expected: u64,
        /// The index of the entry to be applied.
        found: u64,
    },
}

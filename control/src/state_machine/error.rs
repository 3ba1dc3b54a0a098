//! Why a control member can't apply what the log brings.

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
        "a snapshot has format {found}, this build reads {FORMAT}; where the log was written by an older build, stop all \
         control members, remove the log's folder at each, start them and offer the file again"
    )]
    SnapshotFormat {
        /// The snapshot's format.
        found: u32,
    },
    /// A snapshot whose bytes are not those that were written.
    #[error(
        "a snapshot is damaged ({0}); remove the log's folder, so that this gateway learns it from its peers"
    )]
    SnapshotDamaged(String),
    /// An entry that doesn't follow the last one applied.
    #[error(
        "entry {due} was due and {came} came; remove the log's folder, so that this gateway learns it anew"
    )]
    Gap {
        /// The index expected next.
        due: u64,
        /// The index that came.
        came: u64,
    },
}

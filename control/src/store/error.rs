//! What can be wrong with the log on disk.

use super::FORMAT;
use std::io;
use std::path::PathBuf;

/// An operation of the log's store that failed; the text says what an operator can do.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database file can't be opened or created.
    #[error(
        "{path}: {error}; look at the folder's rights and space, and that no other gateway uses it"
    )]
    Open {
        /// The folder of the log.
        path: PathBuf,
        /// What failed.
        #[source]
        error: OpenError,
    },
    /// A transaction failed.
    #[error(
        "the log can't be written: {0}; look at the disk's space and health, then start again"
    )]
    Write(#[from] WriteError),
    /// What was stored is not what was written.
    #[error("the log can't be read: {0}; remove its folder, so that this gateway learns it from its peers")]
    Read(#[from] Corruption),
    /// A build with another format wrote the log.
    #[error(
        "the log was written by another build (format {0}, this one reads {FORMAT}); start the build that wrote it, or \
         remove the log's folder at all control members, start them, and offer the operator's file again"
    )]
    Format(u64),
    /// Another gateway wrote the log.
    #[error("the log is another gateway's ({0}); look at `lease.store` and `lease.me`")]
    WrongGateway(u64),
}

/// Why the database file can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// Its folder can't be created.
    #[error(transparent)]
    Folder(#[from] io::Error),
    /// The database itself. Boxed, as the error is large.
    #[error(transparent)]
    Database(Box<redb::DatabaseError>),
}

/// Why a transaction failed.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The database. Boxed, as the error is large.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A message can't be encoded.
    #[error(transparent)]
    Encode(protobuf::ProtobufError),
}

/// What shows that stored data is damaged or incomplete.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A record's bytes don't match its checksum.
    #[error("a record's checksum differs")]
    Checksum,
    /// A record's bytes are no message of its type.
    #[error(transparent)]
    Decode(#[from] protobuf::ProtobufError),
    /// A number that says whose the log is has another length than a number.
    #[error("{0} is no number")]
    NotANumber(&'static str),
    /// Another number has another length than a number.
    #[error("a number is damaged")]
    Number,
    /// An entry has another index than its key, or one before it is missing.
    #[error("entry {0} is not where it belongs")]
    EntryOutOfPlace(u64),
    /// The entries end before or after the last one written.
    #[error("{0} is not the last entry that was written")]
    LastEntry(u64),
    /// Entries that were committed are missing.
    #[error("{commit} is committed, and {last} is the last")]
    CommitBeyondEnd {
        /// The index committed.
        commit: u64,
        /// The index of the last entry.
        last: u64,
    },
    /// The entries don't follow the snapshot.
    #[error(transparent)]
    Raft(raft::Error),
}

impl From<raft::Error> for StoreError {
    fn from(error: raft::Error) -> StoreError {
        StoreError::Read(Corruption::Raft(error))
    }
}

impl From<redb::DatabaseError> for OpenError {
    fn from(error: redb::DatabaseError) -> OpenError {
        OpenError::Database(Box::new(error))
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        StoreError::Write(WriteError::Database(Box::new(error)))
    }
}

impl From<redb::TransactionError> for StoreError {
    fn from(error: redb::TransactionError) -> StoreError {
        redb::Error::from(error).into()
    }
}

impl From<redb::TableError> for StoreError {
    fn from(error: redb::TableError) -> StoreError {
        redb::Error::from(error).into()
    }
}

impl From<redb::StorageError> for StoreError {
    fn from(error: redb::StorageError) -> StoreError {
        redb::Error::from(error).into()
    }
}

impl From<redb::CommitError> for StoreError {
    fn from(error: redb::CommitError) -> StoreError {
        redb::Error::from(error).into()
    }
}

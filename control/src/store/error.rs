//! The errors of the log on disk.

use super::FORMAT;
use std::io;
use std::path::PathBuf;

/// An operation of the log's store that failed; the text says what an operator can do.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database file can't be opened or created.
    #[error(
        "the log in {path} can't be opened: {error}; check the folder's permissions and free space, and that no other \
         gateway uses it"
    )]
    Open {
        /// The folder of the log.
        path: PathBuf,
        /// What failed.
        #[source]
        error: OpenError,
    },
    /// A transaction that writes to the log failed.
    #[error(
        "the log can't be written: {0}; check the disk's free space and health, then start again"
    )]
    Write(#[from] WriteError),
    /// The stored data is not what was written.
    #[error("the log can't be read: {0}; remove its folder, so that this gateway gets the log from its peers again")]
    Read(#[from] Corruption),
    /// A build with another format wrote the log.
    #[error(
        "a build with another format wrote the log (format {0}, this build reads only format {FORMAT}); start that build, \
         or remove the log's folder at all control members, start them, and propose the operator's file again by a SIGHUP \
         to one gateway"
    )]
    Format(u64),
    /// Another gateway wrote the log.
    #[error("the log belongs to gateway {0}; check `lease.store` and `lease.me`")]
    WrongGateway(u64),
}

/// Why the database file can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The folder of the database file can't be created.
    #[error(transparent)]
    Folder(#[from] io::Error),
    /// The database file can't be opened. Boxed, as the error is large.
    #[error(transparent)]
    Database(Box<redb::DatabaseError>),
}

/// Why a transaction failed.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The database failed. Boxed, as the error is large.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A message can't be encoded.
    #[error(transparent)]
    Encode(protobuf::ProtobufError),
}

/// How stored data was found to be damaged or incomplete.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// A record's bytes don't match its checksum.
    #[error("a record does not match its checksum")]
    Checksum,
    /// A record's bytes are no message of its type.
    #[error(transparent)]
    Decode(#[from] protobuf::ProtobufError),
    /// The format or the gateway's number is not 8 bytes long; holds its key.
    #[error("the value of `{0}` is not 8 bytes long")]
    NotANumber(&'static str),
    /// A stored number other than those of [`Corruption::NotANumber`] is not 8 bytes long.
    #[error("a number is not 8 bytes long")]
    Number,
    /// An entry has another index than its key, or one before it is missing.
    #[error("entry {0} is stored under another index, or the entry before it is missing")]
    EntryOutOfPlace(u64),
    /// The entries end before or after the last one written.
    #[error("the entries end at {0}, which is not the last one that was written")]
    LastEntry(u64),
    /// Entries that were committed are missing.
    #[error("entry {commit} is committed, but the last entry is {last}")]
    CommitBeyondEnd {
        /// The stored commit index: the last entry known to be committed.
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

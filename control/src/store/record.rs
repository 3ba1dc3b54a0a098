//! The tables of the database, and the encoding of their records: a message follows its checksum, a number has eight bytes,
//! and both are little-endian.

use super::error::{Corruption, StoreError, WriteError};
use redb::{
    ReadOnlyTable, ReadTransaction, ReadableTable, Table, TableDefinition, WriteTransaction,
};
use xxhash_rust::xxh3::xxh3_64;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Entries of the log, by index.
pub(super) const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// The number of the format in which the log is written.
pub(super) const FORMAT_KEY: &str = "format";
/// The number of the gateway that the log belongs to.
pub(super) const GATEWAY_KEY: &str = "gateway";
/// The Raft id of the node that the log belongs to.
pub(super) const RAFT_ID_KEY: &str = "id";
/// The membership as of the last entry applied.
pub(super) const MEMBERS_KEY: &str = "members";
/// The latest snapshot.
pub(super) const SNAPSHOT_KEY: &str = "snapshot";
/// The index of the last entry written.
pub(super) const LAST_INDEX_KEY: &str = "last";
/// Raft's hard state.
pub(super) const HARD_STATE_KEY: &str = "hard";

/// The log's metadata in a write transaction.
pub(super) struct MetaWriter<'txn> {
    table: Table<'txn, &'static str, &'static [u8]>,
}

impl<'txn> MetaWriter<'txn> {
    pub(super) fn open(transaction: &'txn WriteTransaction) -> Result<Self, StoreError> {
        let table = transaction.open_table(META)?;
        Ok(MetaWriter { table })
    }

    pub(super) fn put_number(&mut self, key: &str, number: u64) -> Result<(), StoreError> {
        self.table.insert(key, &number.to_le_bytes()[..])?;
        Ok(())
    }

    pub(super) fn put_message(
        &mut self,
        key: &str,
        message: &impl protobuf::Message,
    ) -> Result<(), StoreError> {
        self.table.insert(key, &encode(message)?[..])?;
        Ok(())
    }

    /// Stores the number in a new log, and compares it with the one stored in an existing log.
    ///
    /// # Errors
    ///
    /// `mismatch` with the stored number if it differs.
    pub(super) fn put_or_compare(
        &mut self,
        key: &'static str,
        number: u64,
        mismatch: fn(u64) -> StoreError,
    ) -> Result<(), StoreError> {
        let stored = self.table.get(key)?.map(|value| value.value().to_vec());
        let Some(bytes) = stored else {
            return self.put_number(key, number);
        };
        let found = decode_number(bytes).ok_or(Corruption::NotANumber(key))?;
        if found != number {
            return Err(mismatch(found));
        }
        Ok(())
    }
}

/// The log's metadata in a read transaction.
pub(super) struct MetaReader {
    table: ReadOnlyTable<&'static str, &'static [u8]>,
}

impl MetaReader {
    pub(super) fn open(transaction: &ReadTransaction) -> Result<Self, StoreError> {
        let table = transaction.open_table(META)?;
        Ok(MetaReader { table })
    }

    fn bytes(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let value = self.table.get(key)?;
        Ok(value.map(|value| value.value().to_vec()))
    }

    pub(super) fn number(&self, key: &str) -> Result<Option<u64>, StoreError> {
        let Some(bytes) = self.bytes(key)? else {
            return Ok(None);
        };
        let number = decode_number(bytes).ok_or(Corruption::Number)?;
        Ok(Some(number))
    }

    pub(super) fn message<M: protobuf::Message>(&self, key: &str) -> Result<Option<M>, StoreError> {
        let Some(bytes) = self.bytes(key)? else {
            return Ok(None);
        };
        Ok(Some(decode(&bytes)?))
    }
}

fn decode_number(bytes: Vec<u8>) -> Option<u64> {
    bytes.try_into().map(u64::from_le_bytes).ok()
}

/// Encodes a message after its checksum, as the database checks its own pages only after a crash.
pub(super) fn encode(message: &impl protobuf::Message) -> Result<Vec<u8>, WriteError> {
    let bytes = message.write_to_bytes().map_err(WriteError::Encode)?;
    Ok([&xxh3_64(&bytes).to_le_bytes()[..], &bytes].concat())
}

/// Decodes what [`encode`] wrote.
pub(super) fn decode<M: protobuf::Message>(record: &[u8]) -> Result<M, Corruption> {
    let (checksum, bytes) = record
        .split_first_chunk::<8>()
        .ok_or(Corruption::Checksum)?;
    if u64::from_le_bytes(*checksum) != xxh3_64(bytes) {
        return Err(Corruption::Checksum);
    }
    Ok(M::parse_from_bytes(bytes)?)
}

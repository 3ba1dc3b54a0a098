//! The log of this control member on disk: Raft's hard state, entries, the latest snapshot and the membership.
//!
//! When [`Store::persist`] returns, its arguments are durable, all of them or none: only then may other members rely on
//! them. Reads are answered from memory, which holds what follows the latest snapshot. The file is read once, when it is
//! opened: data that is damaged, incomplete, of another format or of another gateway is an error, never used in part.

mod error;
mod record;

pub(crate) use error::{Corruption, StoreError};

use error::OpenError;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use record::{
    MetaReader, MetaWriter, ENTRIES, FORMAT_KEY, GATEWAY_KEY, HARD_STATE_KEY, LAST_INDEX_KEY,
    MEMBERS_KEY, RAFT_ID_KEY, SNAPSHOT_KEY,
};
use redb::{Database, ReadTransaction, WriteTransaction};
use std::path::Path;

/// The format that this build writes, and the only one that it reads. In format 1 all gateways were members of the log.
const FORMAT: u64 = 2;
/// The database file within the log's folder.
const FILE_NAME: &str = "log.redb";
/// The size of the database's cache; small, as the file is read only when it is opened.
const CACHE_BYTES: usize = 1 << 20;

/// The log on disk, with a copy in memory of what Raft reads.
pub(crate) struct Store {
    database: Database,
    memory: MemStorage,
    snapshot: Snapshot,
    id: Option<u64>,
}

impl Store {
    /// Opens the log of a gateway in a folder, or creates it there.
    pub(crate) fn open(folder: &Path, gateway: u64) -> Result<Store, StoreError> {
        let database = open_database(folder).map_err(|error| StoreError::Open {
            path: folder.to_owned(),
            error,
        })?;
        let mut store = Store {
            database,
            memory: MemStorage::new(),
            snapshot: Snapshot::default(),
            id: None,
        };
        store.check_owner(gateway)?;
        store.load()?;
        Ok(store)
    }

    /// The Raft id of the node that this log belongs to; none before [`Store::initialize`].
    pub(crate) fn raft_id(&self) -> Option<u64> {
        self.id
    }

    /// Starts a log under a Raft id that was never used with another log. `members` is the membership before the first
    /// entry, which later entries change.
    pub(crate) fn initialize(&mut self, id: u64, members: &ConfState) -> Result<(), StoreError> {
        self.transact(|transaction| {
            let mut meta = MetaWriter::open(transaction)?;
            meta.put_number(RAFT_ID_KEY, id)?;
            meta.put_message(MEMBERS_KEY, members)
        })?;
        self.memory.initialize_with_conf_state(members.clone());
        self.id = Some(id);
        Ok(())
    }

    /// Stores the voters and learners as of the last entry applied.
    pub(crate) fn set_members(&mut self, members: &ConfState) -> Result<(), StoreError> {
        self.transact(|transaction| {
            MetaWriter::open(transaction)?.put_message(MEMBERS_KEY, members)
        })?;
        self.memory.wl().set_conf_state(members.clone());
        Ok(())
    }

    /// The snapshot that was stored last; empty where none has been stored.
    pub(crate) fn latest_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Makes entries, hard state and a received snapshot durable, all or nothing, then visible to Raft. The entries
    /// replace all stored ones from the index of the first of them on.
    pub(crate) fn persist(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard_state: Option<&HardState>,
    ) -> Result<(), StoreError> {
        if snapshot.is_none() && entries.is_empty() && hard_state.is_none() {
            return Ok(());
        }
        self.transact(|transaction| write_ready(transaction, snapshot, entries, hard_state))?;
        if let Some(snapshot) = snapshot {
            self.memory.wl().apply_snapshot(snapshot.clone())?;
            self.snapshot = snapshot.clone();
        }
        self.memory.wl().append(entries)?;
        if let Some(hard_state) = hard_state {
            self.memory.wl().set_hardstate(hard_state.clone());
        }
        Ok(())
    }

    /// Sets the commit index in memory alone: after a restart the leader sends it again.
    pub(crate) fn set_commit(&mut self, index: u64) {
        self.memory.wl().mut_hard_state().commit = index;
    }

    /// Replaces the entries up to `index` by a snapshot with this data.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), StoreError> {
        let state = self.memory.initial_state()?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = self.memory.term(index)?;
        metadata.set_conf_state(state.conf_state);
        self.transact(|transaction| {
            let mut meta = MetaWriter::open(transaction)?;
            let mut log = transaction.open_table(ENTRIES)?;
            meta.put_message(SNAPSHOT_KEY, &snapshot)?;
            meta.put_message(HARD_STATE_KEY, &state.hard_state)?;
            log.retain_in(..=index, |_, _| false)?;
            Ok(())
        })?;
        // The entry at the snapshot's index stays in memory: its term is needed to send the ones after it.
        self.memory.wl().compact(index)?;
        self.snapshot = snapshot;
        Ok(())
    }

    /// Runs `change` in a transaction; an error aborts it.
    fn transact(
        &self,
        change: impl FnOnce(&WriteTransaction) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        change(&transaction)?;
        transaction.commit()?;
        Ok(())
    }

    /// Stores the format and the gateway's number in a new log, and compares them with those stored in an existing one.
    fn check_owner(&self, gateway: u64) -> Result<(), StoreError> {
        self.transact(|transaction| {
            let mut meta = MetaWriter::open(transaction)?;
            // Created here, so that `load` finds it.
            transaction.open_table(ENTRIES)?;
            meta.put_or_compare(FORMAT_KEY, FORMAT, StoreError::Format)?;
            meta.put_or_compare(GATEWAY_KEY, gateway, StoreError::WrongGateway)
        })
    }

    /// Reads the file into memory and checks that it is complete.
    fn load(&mut self) -> Result<(), StoreError> {
        let transaction = self.database.begin_read()?;
        let meta = MetaReader::open(&transaction)?;
        self.id = meta.number(RAFT_ID_KEY)?;
        if let Some(snapshot) = meta.message::<Snapshot>(SNAPSHOT_KEY)? {
            self.snapshot = snapshot;
            self.memory.wl().apply_snapshot(self.snapshot.clone())?;
        }
        if let Some(members) = meta.message::<ConfState>(MEMBERS_KEY)? {
            self.memory.wl().set_conf_state(members);
        }
        let first = self.snapshot.get_metadata().index + 1;
        let entries = read_entries(&transaction, first)?;
        let last = first + entries.len() as u64 - 1;
        let last_written = meta.number(LAST_INDEX_KEY)?;
        if last_written.is_some_and(|written| written != last) {
            return Err(Corruption::LastEntry(last).into());
        }
        self.memory.wl().append(&entries)?;
        if let Some(hard_state) = meta.message::<HardState>(HARD_STATE_KEY)? {
            let commit = hard_state.commit;
            if commit > last {
                return Err(Corruption::CommitBeyondEnd { commit, last }.into());
            }
            self.memory.wl().set_hardstate(hard_state);
        }
        Ok(())
    }
}

fn open_database(folder: &Path) -> Result<Database, OpenError> {
    std::fs::create_dir_all(folder)?;
    let database = Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create(folder.join(FILE_NAME))?;
    Ok(database)
}

/// The stored entries from index `first` on, without a gap.
fn read_entries(transaction: &ReadTransaction, first: u64) -> Result<Vec<Entry>, StoreError> {
    let table = transaction.open_table(ENTRIES)?;
    let mut entries = Vec::new();
    for record in table.range(first..)? {
        let (key, bytes) = record?;
        let index = key.value();
        let entry: Entry = record::decode(bytes.value())?;
        if entry.index != index || index != first + entries.len() as u64 {
            return Err(Corruption::EntryOutOfPlace(index).into());
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Writes the part of Raft's ready state that must be durable.
fn write_ready(
    transaction: &WriteTransaction,
    snapshot: Option<&Snapshot>,
    entries: &[Entry],
    hard_state: Option<&HardState>,
) -> Result<(), StoreError> {
    let mut meta = MetaWriter::open(transaction)?;
    let mut log = transaction.open_table(ENTRIES)?;
    let mut last = None;
    if let Some(snapshot) = snapshot {
        let metadata = snapshot.get_metadata();
        meta.put_message(SNAPSHOT_KEY, snapshot)?;
        meta.put_message(MEMBERS_KEY, metadata.get_conf_state())?;
        log.retain(|_, _| false)?;
        last = Some(metadata.index);
    }
    if let Some(first) = entries.first() {
        // What a former leader wrote from here on was never committed.
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in entries {
        log.insert(entry.index, &record::encode(entry)?[..])?;
        last = Some(entry.index);
    }
    if let Some(last) = last {
        meta.put_number(LAST_INDEX_KEY, last)?;
    }
    if let Some(hard_state) = hard_state {
        meta.put_message(HARD_STATE_KEY, hard_state)?;
    }
    Ok(())
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        self.memory.entries(low, high, max, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index
            || self.snapshot.get_metadata().index == 0
        {
            return Err(raft::Error::Store(
                StorageError::SnapshotTemporarilyUnavailable,
            ));
        }
        Ok(self.snapshot.clone())
    }
}

#[cfg(test)]
mod tests;

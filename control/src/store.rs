//! The log on disk: hard state, entries and the latest snapshot, each durable before anybody is told of it.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use redb::{Database, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// What this build writes; another is refused, whole. Format 1 held a log in which all gateways took part.
const FORMAT: u64 = 2;
/// The file within the log's folder.
const FILE: &str = "log.redb";
/// Memory that the database may cache, bytes: a gateway may have 32 MB in all, and the log is read at the start only.
const CACHE: usize = 1 << 20;

/// What is wrong with the log on disk.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error(
        "{path}: {fault}; look at the folder's rights and space, and that no other gateway uses it"
    )]
    Open { path: PathBuf, fault: String },
    #[error(
        "the log can't be written: {0}; look at the disk's space and health, then start again"
    )]
    Write(String),
    #[error("the log can't be read: {0}; remove its folder, so that this gateway learns it from its peers")]
    Read(String),
    #[error(
        "the log was written by another build (format {0}, this one reads {FORMAT}); start the build that wrote it, or \
         remove the log's folder at all control members, start them, and offer the operator's file again"
    )]
    Format(u64),
    #[error("the log is another gateway's ({0}); look at `lease.store` and `lease.me`")]
    WrongGateway(u64),
}

impl From<redb::Error> for StoreError {
    fn from(fault: redb::Error) -> StoreError {
        StoreError::Write(fault.to_string())
    }
}

/// The log: on disk, and what the consensus reads of it in memory, bounded by snapshots.
pub(crate) struct Store {
    disk: Database,
    memory: MemStorage,
    snapshot: Snapshot,
    id: Option<u64>,
}

/// A message and its checksum: the database itself checks its pages only after a crash.
fn read<M: protobuf::Message>(bytes: &[u8]) -> Result<M, StoreError> {
    let damaged = || StoreError::Read("a record's checksum differs".into());
    let (sum, bytes) = bytes.split_first_chunk::<8>().ok_or_else(damaged)?;
    if u64::from_le_bytes(*sum) != xxh3_64(bytes) {
        return Err(damaged());
    }
    M::parse_from_bytes(bytes).map_err(|fault| StoreError::Read(fault.to_string()))
}

fn written(message: &impl protobuf::Message) -> Result<Vec<u8>, StoreError> {
    let bytes = message
        .write_to_bytes()
        .map_err(|fault| StoreError::Write(fault.to_string()))?;
    Ok([&xxh3_64(&bytes).to_le_bytes()[..], &bytes].concat())
}

fn memory_fault(fault: raft::Error) -> StoreError {
    StoreError::Read(fault.to_string())
}

impl Store {
    /// Opens the log of gateway `me` in a folder; a new one is nobody's yet.
    pub(crate) fn open(folder: &Path, me: u64) -> Result<Store, StoreError> {
        let open = |fault: String| StoreError::Open {
            path: folder.to_owned(),
            fault,
        };
        std::fs::create_dir_all(folder).map_err(|fault| open(fault.to_string()))?;
        let mut builder = Database::builder();
        let disk = builder.set_cache_size(CACHE).create(folder.join(FILE));
        let disk = disk.map_err(|fault| open(fault.to_string()))?;
        let mut store = Store {
            disk,
            memory: MemStorage::new(),
            snapshot: Snapshot::default(),
            id: None,
        };
        store.mark(me)?;
        store.load()?;
        Ok(store)
    }

    /// Under which number this log takes part in the consensus; nothing before [`Store::initialize`].
    pub(crate) fn id(&self) -> Option<u64> {
        self.id
    }

    /// Takes part from now on under a number that was never used with another log. These voted and learned where the
    /// log itself began: what its entries change starts from there.
    pub(crate) fn initialize(&mut self, id: u64, members: &ConfState) -> Result<(), StoreError> {
        let transaction = self.disk.begin_write().map_err(redb::Error::from)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            meta.insert("id", &id.to_le_bytes()[..])
                .map_err(redb::Error::from)?;
            meta.insert("members", &written(members)?[..])
                .map_err(redb::Error::from)?;
        }
        transaction.commit().map_err(redb::Error::from)?;
        self.memory.initialize_with_conf_state(members.clone());
        self.id = Some(id);
        Ok(())
    }

    /// Who votes and who learns from now on.
    pub(crate) fn set_members(&mut self, members: &ConfState) -> Result<(), StoreError> {
        let transaction = self.disk.begin_write().map_err(redb::Error::from)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            meta.insert("members", &written(members)?[..])
                .map_err(redb::Error::from)?;
        }
        transaction.commit().map_err(redb::Error::from)?;
        self.memory.wl().set_conf_state(members.clone());
        Ok(())
    }

    /// Says in a new file whose it is, and checks it in an old one.
    fn mark(&self, me: u64) -> Result<(), StoreError> {
        let transaction = self.disk.begin_write().map_err(redb::Error::from)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            transaction.open_table(ENTRIES).map_err(redb::Error::from)?;
            for (key, mine) in [("format", FORMAT), ("gateway", me)] {
                let found = meta
                    .get(key)
                    .map_err(redb::Error::from)?
                    .map(|value| value.value().to_vec());
                let found = found.map(|bytes| bytes.try_into().map(u64::from_le_bytes));
                match found {
                    None => drop(
                        meta.insert(key, &mine.to_le_bytes()[..])
                            .map_err(redb::Error::from)?,
                    ),
                    Some(Ok(found)) if found == mine => {}
                    Some(Ok(found)) if key == "format" => return Err(StoreError::Format(found)),
                    Some(Ok(found)) => return Err(StoreError::WrongGateway(found)),
                    Some(Err(_)) => return Err(StoreError::Read(format!("{key} is no number"))),
                }
            }
        }
        transaction.commit().map_err(redb::Error::from)?;
        Ok(())
    }

    fn load(&mut self) -> Result<(), StoreError> {
        let transaction = self.disk.begin_read().map_err(redb::Error::from)?;
        let meta = transaction.open_table(META).map_err(redb::Error::from)?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            Ok(meta
                .get(key)
                .map_err(redb::Error::from)?
                .map(|value| value.value().to_vec()))
        };
        let number = |bytes: Vec<u8>| {
            bytes
                .try_into()
                .map(u64::from_le_bytes)
                .map_err(|_| StoreError::Read("a number is damaged".into()))
        };
        self.id = get("id")?.map(number).transpose()?;
        if let Some(bytes) = get("snapshot")? {
            self.snapshot = read(&bytes)?;
            self.memory
                .wl()
                .apply_snapshot(self.snapshot.clone())
                .map_err(memory_fault)?;
        }
        if let Some(bytes) = get("members")? {
            self.memory.wl().set_conf_state(read(&bytes)?);
        }
        let entries = transaction.open_table(ENTRIES).map_err(redb::Error::from)?;
        let from = self.snapshot.get_metadata().index + 1;
        let mut log = Vec::new();
        for row in entries.range(from..).map_err(redb::Error::from)? {
            let (index, bytes) = row.map_err(redb::Error::from)?;
            let entry: Entry = read(bytes.value())?;
            if entry.index != index.value() || entry.index != from + log.len() as u64 {
                return Err(StoreError::Read(format!(
                    "entry {} is not where it belongs",
                    index.value()
                )));
            }
            log.push(entry);
        }
        let last = from + log.len() as u64 - 1;
        if get("last")?
            .map(number)
            .transpose()?
            .is_some_and(|told| told != last)
        {
            return Err(StoreError::Read(format!(
                "{last} is not the last entry that was written"
            )));
        }
        self.memory.wl().append(&log).map_err(memory_fault)?;
        if let Some(bytes) = get("hard")? {
            let hard: HardState = read(&bytes)?;
            if hard.commit > last {
                return Err(StoreError::Read(format!(
                    "{} is committed, and {last} is the last",
                    hard.commit
                )));
            }
            self.memory.wl().set_hardstate(hard);
        }
        Ok(())
    }

    /// The latest snapshot; empty where there is none.
    pub(crate) fn latest_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Makes entries, hard state and a received snapshot durable, all or nothing, then visible to the consensus.
    pub(crate) fn write(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: &[Entry],
        hard: Option<&HardState>,
    ) -> Result<(), StoreError> {
        if snapshot.is_none() && entries.is_empty() && hard.is_none() {
            return Ok(());
        }
        let transaction = self.disk.begin_write().map_err(redb::Error::from)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            let mut log = transaction.open_table(ENTRIES).map_err(redb::Error::from)?;
            if let Some(snapshot) = snapshot {
                meta.insert("snapshot", &written(snapshot)?[..])
                    .map_err(redb::Error::from)?;
                let members = snapshot.get_metadata().get_conf_state();
                meta.insert("members", &written(members)?[..])
                    .map_err(redb::Error::from)?;
                log.retain(|_, _| false).map_err(redb::Error::from)?;
            }
            if let Some(first) = entries.first() {
                // What a former leader wrote after here was never committed.
                log.retain_in(first.index.., |_, _| false)
                    .map_err(redb::Error::from)?;
            }
            for entry in entries {
                log.insert(entry.index, &written(entry)?[..])
                    .map_err(redb::Error::from)?;
            }
            let last = entries.last().map(|entry| entry.index);
            if let Some(last) = last.or(snapshot.map(|snapshot| snapshot.get_metadata().index)) {
                meta.insert("last", &last.to_le_bytes()[..])
                    .map_err(redb::Error::from)?;
            }
            if let Some(hard) = hard {
                meta.insert("hard", &written(hard)?[..])
                    .map_err(redb::Error::from)?;
            }
        }
        transaction.commit().map_err(redb::Error::from)?;
        if let Some(snapshot) = snapshot {
            self.memory
                .wl()
                .apply_snapshot(snapshot.clone())
                .map_err(memory_fault)?;
            self.snapshot = snapshot.clone();
        }
        self.memory.wl().append(entries).map_err(memory_fault)?;
        if let Some(hard) = hard {
            self.memory.wl().set_hardstate(hard.clone());
        }
        Ok(())
    }

    /// Notes how far the log is committed; that can be learned again, so that it is not written at once.
    pub(crate) fn set_commit(&mut self, index: u64) {
        self.memory.wl().mut_hard_state().commit = index;
    }

    /// Puts a snapshot of all that is agreed in place of the entries up to `index`.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), StoreError> {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let state = self.memory.initial_state().map_err(memory_fault)?;
        let term = self.memory.term(index).map_err(memory_fault)?;
        let metadata = snapshot.mut_metadata();
        metadata.set_conf_state(state.conf_state);
        (metadata.index, metadata.term) = (index, term);
        let transaction = self.disk.begin_write().map_err(redb::Error::from)?;
        {
            let mut meta = transaction.open_table(META).map_err(redb::Error::from)?;
            let mut log = transaction.open_table(ENTRIES).map_err(redb::Error::from)?;
            meta.insert("snapshot", &written(&snapshot)?[..])
                .map_err(redb::Error::from)?;
            meta.insert("hard", &written(&state.hard_state)?[..])
                .map_err(redb::Error::from)?;
            log.retain_in(..=index, |_, _| false)
                .map_err(redb::Error::from)?;
        }
        transaction.commit().map_err(redb::Error::from)?;
        // The entry at the snapshot's end stays in memory: its term is asked for when the next ones are sent.
        self.memory.wl().compact(index).map_err(memory_fault)?;
        self.snapshot = snapshot;
        Ok(())
    }
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

use super::*;

fn members() -> ConfState {
    ConfState {
        voters: vec![1, 2, 3],
        ..Default::default()
    }
}

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        data: vec![index as u8; 8].into(),
        ..Default::default()
    }
}

fn hard_state(term: u64, commit: u64) -> HardState {
    HardState {
        term,
        vote: 2,
        commit,
        ..Default::default()
    }
}

fn open_initialized(folder: &Path, gateway: u64) -> Store {
    let mut store = Store::open(folder, gateway).expect("opened");
    if store.raft_id().is_none() {
        store.initialize(gateway, &members()).expect("initialized");
    }
    store
}

/// Index and term of each entry.
fn log_entries(store: &Store) -> Vec<(u64, u64)> {
    let last = store.last_index().expect("readable");
    let first = store.first_index().expect("readable");
    if last < first {
        return Vec::new();
    }
    let entries = store
        .entries(first, last + 1, None, GetEntriesContext::empty(false))
        .expect("entries in memory");
    entries
        .iter()
        .map(|entry| (entry.index, entry.term))
        .collect()
}

/// A reopened log has the entries that were written, without those that a new leader overwrote.
#[test]
fn entries_survive_restart_unless_overwritten() {
    let folder = tempfile::tempdir().expect("a folder");
    {
        let mut store = open_initialized(folder.path(), 1);
        let first: Vec<Entry> = (1..=5).map(|index| entry(index, 1)).collect();
        store
            .persist(None, &first, Some(&hard_state(1, 2)))
            .expect("written");
        store
            .persist(None, &[entry(4, 2)], Some(&hard_state(2, 3)))
            .expect("written");
    }
    let store = open_initialized(folder.path(), 1);
    assert_eq!(store.raft_id(), Some(1));
    assert_eq!(log_entries(&store), [(1, 1), (2, 1), (3, 1), (4, 2)]);
    let state = store.initial_state().expect("readable");
    assert_eq!((state.hard_state.term, state.hard_state.commit), (2, 3));
    drop(store);
    let other = Store::open(folder.path(), 2).err();
    assert!(
        matches!(other, Some(StoreError::WrongGateway(1))),
        "{other:?}"
    );
}

/// A snapshot replaces the entries that it stands for, in this log and in that of a peer that is far behind.
#[test]
fn snapshot_replaces_entries_here_and_at_peer() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open_initialized(folder.path(), 1);
    let all: Vec<Entry> = (1..=9).map(|index| entry(index, 1)).collect();
    store
        .persist(None, &all, Some(&hard_state(1, 8)))
        .expect("written");
    store.compact(6, b"agreed".to_vec()).expect("compacted");
    assert_eq!(store.term(6).expect("the term of the snapshot"), 1);
    drop(store);
    let store = open_initialized(folder.path(), 1);
    assert_eq!(log_entries(&store), [(7, 1), (8, 1), (9, 1)]);
    let snapshot = store.snapshot(6, 2).expect("a snapshot");
    assert_eq!(
        (snapshot.get_data(), snapshot.get_metadata().index),
        (&b"agreed"[..], 6)
    );
    assert_eq!(store.term(6).expect("the term of the snapshot"), 1);

    let behind = tempfile::tempdir().expect("a folder");
    let mut peer = open_initialized(behind.path(), 2);
    peer.persist(None, &[entry(1, 1)], Some(&hard_state(1, 1)))
        .expect("written");
    peer.persist(Some(&snapshot), &[], Some(&hard_state(1, 6)))
        .expect("written");
    drop(peer);
    let peer = open_initialized(behind.path(), 2);
    assert_eq!(
        (peer.latest_snapshot().get_data(), log_entries(&peer).len()),
        (&b"agreed"[..], 0)
    );
}

/// A log of another format is rejected and not changed: opening it again gives the same error.
#[test]
fn log_of_another_format_is_rejected_unchanged() {
    let folder = tempfile::tempdir().expect("a folder");
    drop(open_initialized(folder.path(), 1));
    let database = Database::create(folder.path().join(FILE_NAME)).expect("opened");
    let transaction = database.begin_write().expect("a transaction");
    {
        let mut meta = MetaWriter::open(&transaction).expect("the meta table");
        meta.put_number(FORMAT_KEY, 1).expect("written");
    }
    transaction.commit().expect("written");
    drop(database);
    for _ in 0..2 {
        let error = Store::open(folder.path(), 1).err().expect("rejected");
        assert!(matches!(error, StoreError::Format(1)), "{error}");
        assert!(
            error
                .to_string()
                .contains("remove the log's folder at all control members"),
            "{error}"
        );
    }
}

/// Opening a file with changed or missing bytes gives an error or the entries that were written, never other entries.
#[test]
fn damaged_file_is_rejected_or_reads_as_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = open_initialized(folder.path(), 1);
    let all: Vec<Entry> = (1..=20).map(|index| entry(index, 1)).collect();
    store
        .persist(None, &all, Some(&hard_state(1, 20)))
        .expect("written");
    let written = log_entries(&store);
    drop(store);
    let path = folder.path().join(FILE_NAME);
    let intact = std::fs::read(&path).expect("the database file");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut rejected = 0;
    for round in 0..24 {
        let mut damaged = intact.clone();
        if round % 3 == 0 {
            damaged.truncate(rng.usize(0..intact.len()));
        } else {
            (0..64).for_each(|_| damaged[rng.usize(0..intact.len())] ^= rng.u8(1..));
        }
        std::fs::write(&path, &damaged).expect("written");
        // The database panics on some damage. That ends the gateway at its start, before it serves clients.
        let opened = std::panic::catch_unwind(|| Store::open(folder.path(), 1));
        match opened {
            Ok(Ok(store)) => assert_eq!(log_entries(&store), written, "round {round}"),
            Ok(Err(_)) | Err(_) => rejected += 1,
        }
    }
    assert!(rejected > 0, "no damage was detected");
}

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

fn hard(term: u64, commit: u64) -> HardState {
    HardState {
        term,
        vote: 2,
        commit,
        ..Default::default()
    }
}

fn opened(folder: &Path, me: u64) -> Store {
    let mut store = Store::open(folder, me).expect("opened");
    if store.id().is_none() {
        store.initialize(me, &members()).expect("begun");
    }
    store
}

fn log(store: &Store) -> Vec<(u64, u64)> {
    let last = store.last_index().expect("readable");
    let first = store.first_index().expect("readable");
    if last < first {
        return Vec::new();
    }
    let entries = store
        .entries(first, last + 1, None, GetEntriesContext::empty(false))
        .expect("there");
    entries
        .iter()
        .map(|entry| (entry.index, entry.term))
        .collect()
}

#[test]
fn what_was_written_is_there_after_a_restart_and_what_a_new_leader_overwrote_is_not() {
    let folder = tempfile::tempdir().expect("a folder");
    {
        let mut store = opened(folder.path(), 1);
        let first: Vec<Entry> = (1..=5).map(|index| entry(index, 1)).collect();
        store
            .write(None, &first, Some(&hard(1, 2)))
            .expect("written");
        store
            .write(None, &[entry(4, 2)], Some(&hard(2, 3)))
            .expect("written");
    }
    let store = opened(folder.path(), 1);
    assert_eq!(store.id(), Some(1));
    assert_eq!(log(&store), [(1, 1), (2, 1), (3, 1), (4, 2)]);
    let state = store.initial_state().expect("readable");
    assert_eq!((state.hard_state.term, state.hard_state.commit), (2, 3));
    drop(store);
    let other = Store::open(folder.path(), 2).err();
    assert!(
        matches!(other, Some(StoreError::WrongGateway(1))),
        "{other:?}"
    );
}

#[test]
fn a_snapshot_takes_the_place_of_entries_here_and_at_a_peer_that_is_far_behind() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = opened(folder.path(), 1);
    let all: Vec<Entry> = (1..=9).map(|index| entry(index, 1)).collect();
    store.write(None, &all, Some(&hard(1, 8))).expect("written");
    store.compact(6, b"agreed".to_vec()).expect("compacted");
    assert_eq!(store.term(6).expect("kept"), 1);
    drop(store);
    let store = opened(folder.path(), 1);
    assert_eq!(log(&store), [(7, 1), (8, 1), (9, 1)]);
    let snapshot = store.snapshot(6, 2).expect("there");
    assert_eq!(
        (snapshot.get_data(), snapshot.get_metadata().index),
        (&b"agreed"[..], 6)
    );
    assert_eq!(store.term(6).expect("kept"), 1);

    let behind = tempfile::tempdir().expect("a folder");
    let mut peer = opened(behind.path(), 2);
    peer.write(None, &[entry(1, 1)], Some(&hard(1, 1)))
        .expect("written");
    peer.write(Some(&snapshot), &[], Some(&hard(1, 6)))
        .expect("written");
    drop(peer);
    let peer = opened(behind.path(), 2);
    assert_eq!(
        (peer.latest_snapshot().get_data(), log(&peer).len()),
        (&b"agreed"[..], 0)
    );
}

/// Bytes of the file flipped or cut off: an error of a type, or what was written; never something else.
#[test]
fn a_log_of_another_build_is_refused_whole_and_stays_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    drop(opened(folder.path(), 1));
    let disk = Database::create(folder.path().join(FILE)).expect("opened");
    let transaction = disk.begin_write().expect("begun");
    {
        let mut meta = transaction.open_table(META).expect("there");
        meta.insert("format", &1_u64.to_le_bytes()[..])
            .expect("written");
    }
    transaction.commit().expect("written");
    drop(disk);
    for _ in 0..2 {
        let fault = Store::open(folder.path(), 1).err().expect("refused");
        assert!(matches!(fault, StoreError::Format(1)), "{fault}");
        assert!(
            fault
                .to_string()
                .contains("remove the log's folder at all control members"),
            "{fault}"
        );
    }
}

#[test]
fn a_damaged_file_is_refused_or_reads_as_it_was() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = opened(folder.path(), 1);
    let all: Vec<Entry> = (1..=20).map(|index| entry(index, 1)).collect();
    store
        .write(None, &all, Some(&hard(1, 20)))
        .expect("written");
    let whole = log(&store);
    drop(store);
    let path = folder.path().join(FILE);
    let good = std::fs::read(&path).expect("there");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut refused = 0;
    for round in 0..24 {
        let mut bad = good.clone();
        if round % 3 == 0 {
            bad.truncate(rng.usize(0..good.len()));
        } else {
            (0..64).for_each(|_| bad[rng.usize(0..good.len())] ^= rng.u8(1..));
        }
        std::fs::write(&path, &bad).expect("written");
        // The database itself stops at what it finds impossible; that ends the gateway before it is asked anything.
        let opened = std::panic::catch_unwind(|| Store::open(folder.path(), 1));
        match opened {
            Ok(Ok(store)) => assert_eq!(log(&store), whole, "round {round}"),
            Ok(Err(_)) | Err(_) => refused += 1,
        }
    }
    assert!(refused > 0, "some of it was seen");
}

use super::*;

fn empty_snapshot() -> Vec<u8> {
    encode(&lease::Table::default(), &versions::Table::default())
}

#[test]
fn snapshot_decodes_to_what_was_encoded() {
    assert_eq!(decode(&empty_snapshot()), Ok(State::default()));
}

#[test]
fn snapshot_of_another_format_is_rejected() {
    let mut bytes = empty_snapshot();
    bytes[..4].copy_from_slice(&(FORMAT + 1).to_le_bytes());
    let found = FORMAT + 1;
    assert_eq!(decode(&bytes), Err(ApplyError::SnapshotFormat { found }));
}

/// A snapshot that is truncated anywhere, or has a byte changed after its format number, is rejected as a whole.
#[test]
fn damaged_snapshot_is_rejected() {
    let intact = empty_snapshot();
    for length in 0..intact.len() {
        let cut = decode(&intact[..length]);
        assert!(
            matches!(cut, Err(ApplyError::SnapshotDamaged(_))),
            "{length} bytes of {}: {cut:?}",
            intact.len()
        );
    }
    for position in 4..intact.len() {
        let mut changed = intact.clone();
        changed[position] ^= 1;
        let decoded = decode(&changed);
        assert!(
            matches!(decoded, Err(ApplyError::SnapshotDamaged(_))),
            "byte {position} changed: {decoded:?}"
        );
    }
}

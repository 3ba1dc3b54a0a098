//! Records of what must not change: texts and bytes that other programs, files on disk and operators rely on.
//!
//! The files beside this one were written by the build before any name in the code was changed. They are never written
//! anew to get a pass: where a change is wanted, its commit says so and replaces the lines that it concerns.
#![allow(dead_code)]

use std::path::Path;

/// Compares what was seen with the record of this name; what differs is left in the build's temporary folder.
#[track_caller]
pub(crate) fn assert_matches(name: &str, seen: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let record = std::fs::read_to_string(&path).unwrap_or_default();
    if seen == record {
        return;
    }
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&left, seen).expect("written");
    let place = seen
        .lines()
        .zip(record.lines())
        .position(|(one, other)| one != other);
    let place = place.unwrap_or(seen.lines().count().min(record.lines().count()));
    let (one, other) = (seen.lines().nth(place), record.lines().nth(place));
    panic!(
        "{name}, line {}: {one:?} in place of {other:?}; all of it is in {}",
        place + 1,
        left.display()
    );
}

/// Bytes as text: what is not printable is escaped.
pub(crate) fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

//! Compares output with recorded files: texts and bytes that other programs, files on disk and operators rely on.
//!
//! The records beside this file were written by a build from before the names in the code were changed. They are never
//! regenerated to make a test pass: a commit that changes such output on purpose says so and replaces only those lines.
#![allow(dead_code)]

use std::path::Path;

/// Asserts that the output equals the record of this name. If not, the output is written to a file of the same name in
/// Cargo's temporary folder for tests.
#[track_caller]
pub(crate) fn assert_matches(name: &str, output: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let record = std::fs::read_to_string(&path).unwrap_or_default();
    if output == record {
        return;
    }
    let output_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&output_path, output).expect("written");
    let line = output
        .lines()
        .zip(record.lines())
        .position(|(found, expected)| found != expected);
    let line = line.unwrap_or(output.lines().count().min(record.lines().count()));
    let (found, expected) = (output.lines().nth(line), record.lines().nth(line));
    panic!(
        "{name}, line {}: found {found:?}, expected {expected:?}; the complete output is in {}",
        line + 1,
        output_path.display()
    );
}

/// Bytes as text, with those that are not printable ASCII escaped.
pub(crate) fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

//! The error of an operator's file, with its location.

use serde::{Deserialize, Serialize};

/// What is wrong with an operator's file, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {fault}", location(file, *at, key.as_deref()))]
pub struct OperatorFileError {
    /// The file at fault: the operator's file, or one that it loads.
    pub file: String,
    /// Line and column, counted from 1, if they are known.
    pub at: Option<(usize, usize)>,
    /// The key at fault, if the error concerns one.
    pub key: Option<String>,
    /// What is wrong, as a clause that follows the key or the file's name.
    pub fault: String,
}

impl OperatorFileError {
    /// An error of a file as a whole.
    pub fn of_file(file: impl Into<String>, fault: impl Into<String>) -> OperatorFileError {
        OperatorFileError {
            file: file.into(),
            at: None,
            key: None,
            fault: fault.into(),
        }
    }
}

fn location(file: &str, at: Option<(usize, usize)>, key: Option<&str>) -> String {
    let position = at.map_or_else(String::new, |(line, column)| format!(":{line}:{column}"));
    let key = key.map_or_else(String::new, |key| format!(": {key}"));
    format!("{file}{position}{key}")
}

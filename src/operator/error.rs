//! The error of an operator's file, placed in it.

use serde::{Deserialize, Serialize};

/// What is wrong with an operator's file, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{}: {fault}", location(file, *at, key.as_deref()))]
pub struct OperatorFileError {
    /// The file at fault; a loaded one, perhaps.
    pub file: String,
    /// Line and column, counted from 1, where one is known.
    pub at: Option<(usize, usize)>,
    /// The key at fault, where one is.
    pub key: Option<String>,
    /// What is wrong.
    pub fault: String,
}

impl OperatorFileError {
    /// An error of a file, at no place in it.
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

//! The errors of an operator's file: of one setting, and placed in the file.

use serde::{Deserialize, Serialize};

/// What is wrong with the value of one setting, or of several together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct SettingError {
    /// The key at fault, below the call that sets it.
    pub key: String,
    /// What is wrong with its value.
    pub fault: String,
}

impl SettingError {
    /// An error of this key.
    pub fn new(key: impl Into<String>, fault: impl Into<String>) -> SettingError {
        SettingError {
            key: key.into(),
            fault: fault.into(),
        }
    }

    /// The same error, with its key below a call or another key.
    #[must_use]
    pub fn below(self, parent: &str) -> SettingError {
        SettingError {
            key: format!("{parent}.{}", self.key),
            ..self
        }
    }
}

impl<Key: Into<String>> From<(Key, String)> for SettingError {
    fn from((key, fault): (Key, String)) -> SettingError {
        SettingError::new(key, fault)
    }
}

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

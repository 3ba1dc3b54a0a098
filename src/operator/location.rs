//! Finds where an operator's file sets a key.

use super::{OperatorFileError, SettingError};
use serde::{Deserialize, Serialize};

/// A call in an operator's file: its text and where it begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    /// The path of the file.
    pub file: String,
    /// The call's source text.
    pub text: String,
    /// The line where it begins, counted from 1.
    pub line: usize,
    /// The column where it begins, counted from 1.
    pub column: usize,
}

impl SourceLocation {
    /// The error of a key that the call sets or lacks, at its position.
    pub fn error(&self, error: SettingError) -> OperatorFileError {
        OperatorFileError {
            file: self.file.clone(),
            at: Some(self.position_of(&error.key)),
            key: Some(error.key),
            fault: error.fault,
        }
    }

    /// Line and column where the call sets the last part of a key, or of the call itself if it does not set it.
    fn position_of(&self, key: &str) -> (usize, usize) {
        let last_part = key.rsplit('.').next().unwrap_or(key);
        let argument = last_part.split('[').next().unwrap_or(last_part);
        let mut lines = self.text.lines().enumerate();
        lines
            .find_map(|(number, line)| {
                let first_column = if number == 0 { self.column } else { 1 };
                let column = first_column + column_of_argument(line, argument)?;
                Some((self.line + number, column))
            })
            .unwrap_or((self.line, self.column))
    }
}

/// How many characters of a line precede the first keyword argument of this name.
fn column_of_argument(line: &str, argument: &str) -> Option<usize> {
    let code = line.split('#').next().unwrap_or(line);
    let is_given = |at: usize| {
        let before = code[..at].chars().next_back();
        let after = code[at + argument.len()..].trim_start();
        let ends_longer_name = before.is_some_and(|c| c.is_alphanumeric() || c == '_');
        !ends_longer_name && after.starts_with('=') && !after.starts_with("==")
    };
    code.match_indices(argument)
        .map(|(at, _)| at)
        .find(|at| is_given(*at))
        .map(|at| code[..at].chars().count())
}

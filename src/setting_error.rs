//! The error of one setting, which every module that checks settings shares.

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

//! The error for a setting whose value is rejected.

/// The rejection of a setting's value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct SettingError {
    /// The key, down to the index in a list, as in `peers[2].id`.
    pub key: String,
    /// What is wrong with its value and, where that is not obvious, what to do.
    pub fault: String,
}

impl SettingError {
    /// An error of `key`.
    pub fn new(key: impl Into<String>, fault: impl Into<String>) -> SettingError {
        SettingError {
            key: key.into(),
            fault: fault.into(),
        }
    }

    /// The same error with its key qualified by `parent`, a function of the operator's file or another key.
    #[must_use]
    pub fn under_key(self, parent: &str) -> SettingError {
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

/// Checks that a number is from `least` to `most`, both included.
///
/// # Errors
///
/// [`SettingError`] with the value and the bounds.
pub fn check_within(
    key: &'static str,
    value: u64,
    least: u64,
    most: u64,
) -> Result<(), SettingError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    let fault = format!("{value} is not within {least} to {most}");
    Err(SettingError::new(key, fault))
}

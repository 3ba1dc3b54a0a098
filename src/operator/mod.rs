//! The operator's file: a Starlark script that is evaluated once into plain checked types.
//!
//! It calls `health(...)`, `cells(...)` and the functions that make their parts; everything that it leaves out is off. The
//! evaluator is a program of its own, `asterreel-config-eval`, beside the gateway's. Here is what the file may set
//! ([`Operator`]), how the evaluator is run ([`evaluate`]) and what it replies ([`Reply`]), and what can be checked only
//! beside the gateway's configuration ([`Evaluated::beside`]). Every error names the file, line, column and key.

mod error;
mod evaluator;
mod location;
mod settings;

pub use asterreel_control::settings::SettingError;
pub use asterreel_control::settings::{ControlSettings, Peer};
pub use error::OperatorFileError;
pub use evaluator::{evaluate, evaluator, Reply};
pub use location::SourceLocation;
pub use settings::{Agent, CellBounds, Cells, Health, Listener, Operator};

use crate::config::Config;
use crate::health::drain::Timetable;
use serde::{Deserialize, Serialize};

/// A file that was evaluated, with what is needed to say where a key is set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Evaluated {
    /// What it sets.
    pub operator: Operator,
    /// The file.
    pub file: String,
    /// Where it calls `health`.
    pub health_at: Option<SourceLocation>,
    /// Where it calls `lease`.
    #[serde(default)]
    pub lease_at: Option<SourceLocation>,
}

impl Evaluated {
    /// Checks what the file sets beside the gateway's configuration; returns the drain's timetable where health is on.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] names the file, the place and the key at fault.
    pub fn beside(&self, config: &Config) -> Result<Option<Timetable>, OperatorFileError> {
        if let Some(lease) = &self.operator.lease {
            lease
                .check_with_client_listener(config.listen)
                .map_err(|fault| self.lease_error(fault))?;
        }
        let Some(health) = &self.operator.health else {
            return Ok(None);
        };
        health
            .beside(config)
            .map(Some)
            .map_err(|error| self.error_in(&self.health_at, qualified(error)))
    }

    /// What the file sets for a control member that serves no clients; a file that makes it none is an error.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] names the file, the place and the key at fault.
    pub fn member(&self) -> Result<&ControlSettings, OperatorFileError> {
        let Some(lease) = &self.operator.lease else {
            let fault = "is not called: there is no control plane to be a member of";
            return Err(self.error_in(&None, SettingError::new("lease", fault)));
        };
        lease
            .check_control_member()
            .map_err(|fault| self.lease_error(fault))?;
        Ok(lease)
    }

    fn lease_error(&self, error: impl Into<SettingError>) -> OperatorFileError {
        self.error_in(&self.lease_at, error.into().under_key("lease"))
    }

    /// An error of a key, placed in the call that sets it where that is known.
    fn error_in(&self, call: &Option<SourceLocation>, error: SettingError) -> OperatorFileError {
        match call {
            Some(call) => call.error(error),
            None => OperatorFileError {
                key: Some(error.key),
                ..OperatorFileError::of_file(&self.file, error.fault)
            },
        }
    }
}

/// An error of `health` with its key as operators know it: the call's own name is not repeated.
pub fn qualified(error: SettingError) -> SettingError {
    if error.key == "health" {
        return error;
    }
    error.under_key("health")
}

//! The operator's file: a Starlark script that is evaluated once into plain checked types.
//!
//! It calls `health(...)`, `cells(...)`, `lease(...)`, `readmission(...)` and the functions that make their parts; what
//! it leaves out is off. The evaluator is a separate program, `asterreel-config-eval`, installed beside the gateway's.
//! This module holds what the file may set ([`Operator`]), runs the evaluator ([`evaluate`]) and reads its reply
//! ([`Reply`]), and checks the file against the gateway's configuration ([`Evaluated::check_with_config`]). Errors name
//! the file, and line, column and key where they are known.

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

/// The result of evaluating an operator's file, with the locations that later errors refer to.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Evaluated {
    /// What the file sets.
    pub operator: Operator,
    /// The path of the file; empty if there is none.
    pub file: String,
    /// The call of `health`, if there is one.
    pub health_at: Option<SourceLocation>,
    /// The call of `lease`, if there is one.
    #[serde(default)]
    pub lease_at: Option<SourceLocation>,
}

impl Evaluated {
    /// Checks what the file sets against the gateway's configuration; returns the drain's timetable if health is on.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] names the file, the place and the key at fault.
    pub fn check_with_config(
        &self,
        config: &Config,
    ) -> Result<Option<Timetable>, OperatorFileError> {
        if let Some(lease) = &self.operator.lease {
            lease
                .check_with_client_listener(config.listen)
                .map_err(|fault| self.lease_error(fault))?;
        }
        let Some(health) = &self.operator.health else {
            return Ok(None);
        };
        health
            .check_with_config(config)
            .map(Some)
            .map_err(|error| self.error_in(&self.health_at, under_health_key(error)))
    }

    /// The settings of a control member that serves no clients.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] if the file does not make this process a voter; names the file, the place and the key at
    /// fault.
    pub fn control_member_settings(&self) -> Result<&ControlSettings, OperatorFileError> {
        let Some(lease) = &self.operator.lease else {
            let fault =
                "is not called; a control member needs it, to name its peers and its own number";
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

    /// The error of a key, at the call that sets it if that is known.
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

/// An error of `health` with its full key; the key `health` itself gets no prefix.
pub fn under_health_key(error: SettingError) -> SettingError {
    if error.key == "health" {
        return error;
    }
    error.under_key("health")
}

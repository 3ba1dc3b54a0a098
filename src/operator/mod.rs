//! The operator's file: a Starlark script that is evaluated once into plain checked types.
//!
//! It calls `health(...)`, `cells(...)` and the functions that make their parts; everything it leaves out is off. The
//! evaluator is a program of its own, `asterreel-config-eval`, beside the gateway's: here is what it answers with, how it is
//! asked, and what can be checked only beside the gateway's configuration. Every error names the file, line, column and
//! key.

mod settings;

use asterreel_control::settings::SettingError;
pub use asterreel_control::settings::{Lease, Peer};
pub use settings::{Agent, CellBounds, Cells, Health, Listener, Operator};

use crate::config::Config;
use crate::health::drain::Timetable;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

/// The longest answer that is taken in: a file is 64 KiB at most, and a fault quotes a call of it.
const LONGEST: u64 = 1 << 20;

/// What is wrong with an operator's file, and where.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

impl std::fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some((line, column)) = self.at {
            write!(f, ":{line}:{column}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        write!(f, ": {}", self.fault)
    }
}

impl std::error::Error for OperatorFileError {}

/// A file that was evaluated, with what is needed to say where a key stands.
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

/// A call in a file: its text and where it begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceLocation {
    /// The file.
    pub file: String,
    /// The call, as it is written.
    pub text: String,
    /// Where it begins, counted from 1.
    pub line: usize,
    /// See `line`.
    pub column: usize,
}

impl SourceLocation {
    /// Where the last part of a key is set within the call; the call itself where it is not.
    fn find(&self, key: &str) -> (usize, usize) {
        let leaf = key.rsplit('.').next().unwrap_or(key);
        let leaf = leaf.split('[').next().unwrap_or(leaf);
        let (mut line, mut column) = (self.line, self.column);
        for (number, text) in self.text.lines().enumerate() {
            if number > 0 {
                (line, column) = (self.line + number, 1);
            }
            let code = text.split('#').next().unwrap_or(text);
            for (at, _) in code.match_indices(leaf) {
                let before = code[..at].chars().next_back();
                let after = code[at + leaf.len()..].trim_start();
                let word = before.is_some_and(|c| c.is_alphanumeric() || c == '_');
                if !word && after.starts_with('=') && !after.starts_with("==") {
                    return (line, column + code[..at].chars().count());
                }
            }
        }
        (self.line, self.column)
    }

    /// A fault of a key that the call sets, or should.
    pub fn bad(&self, key: &str, fault: &str) -> OperatorFileError {
        OperatorFileError {
            file: self.file.clone(),
            at: Some(self.find(key)),
            key: Some(key.to_owned()),
            fault: fault.to_owned(),
        }
    }
}

impl Evaluated {
    /// Checks what the file sets beside the gateway's configuration; the drain's timetable where health is on.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] names the file, the place and the key at fault.
    pub fn beside(&self, config: &Config) -> Result<Option<Timetable>, OperatorFileError> {
        if let Some(lease) = &self.operator.lease {
            lease
                .beside(config.listen)
                .map_err(|error| self.bad_lease(error))?;
        }
        let Some(health) = &self.operator.health else {
            return Ok(None);
        };
        health
            .beside(config)
            .map(Some)
            .map_err(|(key, fault)| self.bad_in(&self.health_at, &qualified(&key), fault))
    }

    /// What the file sets for a control member that serves no clients; a file that makes it none is a fault.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] names the file, the place and the key at fault.
    pub fn member(&self) -> Result<&Lease, OperatorFileError> {
        let Some(lease) = &self.operator.lease else {
            let fault = "is not called: there is no control plane to be a member of";
            return Err(self.bad_in(&None, "lease", fault.to_owned()));
        };
        lease.member().map_err(|error| self.bad_lease(error))?;
        Ok(lease)
    }

    fn bad_lease(&self, error: SettingError) -> OperatorFileError {
        self.bad_in(&self.lease_at, &format!("lease.{}", error.key), error.fault)
    }

    /// A fault of a key, placed in the call that sets it where that is known.
    fn bad_in(
        &self,
        place: &Option<SourceLocation>,
        key: &str,
        fault: String,
    ) -> OperatorFileError {
        match place {
            Some(place) => place.bad(key, &fault),
            None => OperatorFileError {
                file: self.file.clone(),
                at: None,
                key: Some(key.to_owned()),
                fault,
            },
        }
    }
}

/// A key of `health`, as faults name it.
pub fn qualified(key: &str) -> String {
    if key == "health" {
        return key.into();
    }
    format!("health.{key}")
}

/// What the evaluator answers with.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reply {
    /// Of the evaluator: another's answer may mean something else.
    pub version: String,
    /// What the file sets, or what is wrong with it.
    pub result: Result<Evaluated, OperatorFileError>,
}

/// The evaluator that stands beside this program.
///
/// # Errors
///
/// The path of this program is not known.
pub fn evaluator() -> std::io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name("asterreel-config-eval"))
}

/// Has a file evaluated by that program, within this time.
///
/// # Errors
///
/// [`OperatorFileError`]: the evaluator could not be run, ran too long, or found the file at fault.
pub fn evaluate(
    evaluator: &Path,
    path: &Path,
    within: Duration,
) -> Result<Evaluated, OperatorFileError> {
    let file = path.display().to_string();
    let bad = |fault: String| OperatorFileError {
        file: file.clone(),
        at: None,
        key: None,
        fault,
    };
    let failed = |error: std::io::Error| {
        let program = evaluator.display();
        bad(format!(
            "its evaluator {program}: {error}; it must stand beside asterreel (`cargo build` makes both)"
        ))
    };
    let mut command = Command::new(evaluator);
    command
        .arg(path)
        .arg(within.as_millis().to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::piped());
    let mut child = command.spawn().map_err(failed)?;
    let mut text = Vec::new();
    // It ends by itself within its time, and its output with it.
    let read = child
        .stdout
        .take()
        .map(|out| out.take(LONGEST).read_to_end(&mut text));
    let ended = child.wait().map_err(failed)?;
    read.transpose().map_err(failed)?;
    let reply: Reply = serde_json::from_slice(&text)
        .map_err(|error| bad(format!("the evaluation broke off ({ended}): {error}")))?;
    if reply.version != env!("CARGO_PKG_VERSION") {
        let versions = (reply.version, env!("CARGO_PKG_VERSION"));
        return Err(bad(format!(
            "the evaluator is of version {}, this program of {}",
            versions.0, versions.1
        )));
    }
    reply.result
}

//! Runs the evaluator of operator's files, a separate program installed beside the gateway's, and reads its reply.

use super::{Evaluated, OperatorFileError};
use serde::{Deserialize, Serialize};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

/// The evaluator's file name.
const PROGRAM: &str = "asterreel-config-eval";
/// The longest reply that is read. A file has at most 64 KiB, and the reply quotes the calls of it that set a key.
const MAX_REPLY_BYTES: u64 = 1 << 20;

/// The evaluator's reply, as JSON on its standard output.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The evaluator's version; a reply of another version than the gateway's is rejected, as its meaning may differ.
    pub version: String,
    /// What the file sets, or what is wrong with it.
    pub result: Result<Evaluated, OperatorFileError>,
}

/// The path of the evaluator that is installed beside this program.
///
/// # Errors
///
/// The path of this program can't be determined.
pub fn evaluator() -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(PROGRAM))
}

/// Evaluates a file by this program, within this time.
///
/// # Errors
///
/// [`OperatorFileError`]: the evaluator could not be run, ran too long, or found the file at fault.
pub fn evaluate(
    evaluator: &Path,
    path: &Path,
    timeout: Duration,
) -> Result<Evaluated, OperatorFileError> {
    let bad = |fault: String| OperatorFileError::of_file(path.display().to_string(), fault);
    let (text, status) = run(evaluator, path, timeout).map_err(|error| {
        let program = evaluator.display();
        bad(format!(
            "cannot run its evaluator {program}: {error}; install it beside asterreel (`cargo build` makes both)"
        ))
    })?;
    let reply: Reply = serde_json::from_slice(&text)
        .map_err(|error| {
            bad(format!(
                "the evaluation broke off: {PROGRAM} ended with {status}, and its reply is not valid: {error}"
            ))
        })?;
    let version = env!("CARGO_PKG_VERSION");
    if reply.version != version {
        return Err(bad(format!(
            "its evaluator has version {}, this program {version}; install both of the same version",
            reply.version
        )));
    }
    reply.result
}

/// Runs the evaluator; returns its output and exit status. It limits its own run time, so this does not block for longer.
fn run(evaluator: &Path, path: &Path, timeout: Duration) -> io::Result<(Vec<u8>, ExitStatus)> {
    let mut child = Command::new(evaluator)
        .arg(path)
        .arg(timeout.as_millis().to_string())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut text = Vec::new();
    let read = child
        .stdout
        .take()
        .map(|output| output.take(MAX_REPLY_BYTES).read_to_end(&mut text));
    // Waited for before an error of the read is reported, so that no process is left behind.
    let status = child.wait()?;
    read.transpose()?;
    Ok((text, status))
}

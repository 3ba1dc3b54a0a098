//! Runs the evaluator of operator's files, a program of its own beside the gateway's, and reads its reply.

use super::{Evaluated, OperatorFileError};
use serde::{Deserialize, Serialize};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::time::Duration;

/// The evaluator's file name.
const PROGRAM: &str = "asterreel-config-eval";
/// The longest reply that is read: a file is 64 KiB at most, and an error quotes a call of it.
const MAX_REPLY_BYTES: u64 = 1 << 20;

/// What the evaluator replies.
#[derive(Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The evaluator's version: the reply of another may mean something else.
    pub version: String,
    /// What the file sets, or what is wrong with it.
    pub result: Result<Evaluated, OperatorFileError>,
}

/// The evaluator that is installed beside this program.
///
/// # Errors
///
/// The path of this program is not known.
pub fn evaluator() -> io::Result<PathBuf> {
    Ok(std::env::current_exe()?.with_file_name(PROGRAM))
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
    let bad = |fault: String| OperatorFileError::of_file(path.display().to_string(), fault);
    let (text, status) = run(evaluator, path, within).map_err(|error| {
        let program = evaluator.display();
        bad(format!(
            "its evaluator {program}: {error}; it must stand beside asterreel (`cargo build` makes both)"
        ))
    })?;
    let reply: Reply = serde_json::from_slice(&text)
        .map_err(|error| bad(format!("the evaluation broke off ({status}): {error}")))?;
    let version = env!("CARGO_PKG_VERSION");
    if reply.version != version {
        return Err(bad(format!(
            "the evaluator is of version {}, this program of {version}",
            reply.version
        )));
    }
    reply.result
}

/// The evaluator's output and how it ended. It ends by itself within its time, and its output with it.
fn run(evaluator: &Path, path: &Path, within: Duration) -> io::Result<(Vec<u8>, ExitStatus)> {
    let mut child = Command::new(evaluator)
        .arg(path)
        .arg(within.as_millis().to_string())
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

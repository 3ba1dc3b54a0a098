//! Evaluates an operator's file, and reports on standard output what it sets or what is wrong with it.
//!
//! A separate program, which the gateway starts: the memory that the evaluator needs is freed when it exits, and a file
//! that crashes it does not end the gateway. An evaluation has no effect but its result: it reads no files but those
//! that it loads from the folder of the operator's file, has no access to clock or network, and is bounded in steps,
//! heap, call depth and time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod collected;
mod functions;
mod loader;
mod nesting;

use asterreel::operator::{Evaluated, OperatorFileError, Reply};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The stack of the thread that evaluates: the parser and the compiler recurse as deeply as expressions nest.
const STACK_BYTES: usize = 64 * 1024 * 1024;
/// How long an evaluation may take if the command line doesn't say.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
/// The exit code of a wrong command line.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let (Some(path), timeout) = (arguments.next(), arguments.next()) else {
        eprintln!(
            "asterreel-config-eval FILE [MILLISECONDS]: started by asterreel, to evaluate an operator's file"
        );
        return ExitCode::from(USAGE_ERROR);
    };
    let timeout_ms = timeout
        .and_then(|text| text.to_str().and_then(|text| text.parse().ok()))
        .unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    let reply = Reply {
        version: env!("CARGO_PKG_VERSION").into(),
        result: evaluate_on_thread(path.into(), deadline),
    };
    let text = serde_json::to_string(&reply).unwrap_or_default();
    match writeln!(std::io::stdout(), "{text}") {
        Ok(()) if reply.result.is_ok() => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Evaluates on a separate thread, as the stack size of the main thread is set by the system.
fn evaluate_on_thread(path: PathBuf, deadline: Instant) -> Result<Evaluated, OperatorFileError> {
    let file = path.display().to_string();
    let thread = std::thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || evaluate(&path, deadline));
    match thread {
        Ok(thread) => thread.join().unwrap_or_else(|_| {
            let fault = "the evaluation broke off: the evaluator panicked; simplify the file, or report this as a fault of \
                         the evaluator";
            Err(OperatorFileError::of_file(file, fault))
        }),
        Err(error) => {
            let fault = format!(
                "cannot start the thread that evaluates it: {error}; check the limits on threads and memory"
            );
            Err(OperatorFileError::of_file(file, fault))
        }
    }
}

/// Evaluates a file, which may load files from its folder, and checks what it sets.
fn evaluate(path: &Path, deadline: Instant) -> Result<Evaluated, OperatorFileError> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let result = loader::Loader::new(folder, deadline).evaluate_file(path);
    collected::take(result, path, folder)
}

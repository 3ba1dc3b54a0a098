//! Runs routers for the simulator: reads events as JSON lines on standard input, and writes the routers' actions as JSON
//! lines on standard output. Makes no decisions of its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod wire;

use std::io::{BufRead, BufReader, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic in a router is reported to the simulator as BROKEN, not as a trace on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = BufReader::with_capacity(1 << 20, std::io::stdin().lock());
    let mut output = std::io::stdout().lock();
    let mut host = wire::Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => return stop(&format!("cannot read standard input: {error}")),
        }
        match host.answer(&line) {
            Ok(mut reply) => {
                reply.push('\n');
                let written = output.write_all(reply.as_bytes());
                if let Err(error) = written.and_then(|()| output.flush()) {
                    return stop(&format!("cannot write standard output: {error}"));
                }
            }
            Err(fault) => return stop(&fault),
        }
    }
}

/// Reports why the adapter ends early.
fn stop(fault: &str) -> ExitCode {
    eprintln!("asterreel-sim-adapter: {fault}");
    ExitCode::FAILURE
}

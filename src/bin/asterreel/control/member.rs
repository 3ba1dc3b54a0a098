//! A control member on its own: it takes part in the replicated log and serves gateways, and has no clients, servers or
//! registration.

use crate::cli::{Control, Files, EVALUATION};
use asterreel_control::clock::Clock;
use asterreel_control::service::{self, ControlRequest, Handle};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::error::Error;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long the member stays after a signal at least, so that what it releases is in the log.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);
/// How long it waits at most until another member leads: two elections with leases of ten seconds.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at whether another member leads.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a control member until SIGTERM or SIGINT.
///
/// # Errors
///
/// An operator's file that is bad or names no control member, and a log or listener that cannot be opened.
pub(crate) fn run(command: &Control) -> Result<(), Box<dyn Error>> {
    // Before anything else, so that a signal that comes early is not lost.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let files = Files {
        operator: Some(command.operator.clone()),
    };
    let evaluated = files.evaluate(EVALUATION)?;
    let lease = evaluated.member()?;
    let handle = service::start_member(lease, Clock::start())?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        warn!("a control member takes its file at the start only; offer a file at a gateway");
    }
    drain(&handle);
    Ok(())
}

/// Releases what the member holds, and waits for another to lead.
fn drain(handle: &Handle) {
    let began = Instant::now();
    info!("draining");
    handle.request(ControlRequest::Drain);
    while began.elapsed() < MIN_DRAIN_TIME
        || (handle.view().leads && began.elapsed() < LEADERSHIP_TRANSFER_TIMEOUT)
    {
        std::thread::sleep(POLL_INTERVAL);
    }
    info!("stopped");
}

//! A control member that is no gateway: it takes part in the replicated log and serves gateways, and has no clients, servers
//! or registration.

use crate::cli::{Control, Files, EVALUATION};
use asterreel_control::clock::Clock;
use asterreel_control::service::{self, ControlRequest, Handle};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::error::Error;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The shortest time from the signal to the end of the process, so that the releases of duties get into the log.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);
/// The longest wait for another member to lead: enough for two elections with leases of ten seconds.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);
/// The time between two checks whether another member leads.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a control member until SIGTERM or SIGINT.
///
/// # Errors
///
/// An operator's file that is invalid or makes this process no control member, and a log or listener that cannot be opened.
pub(crate) fn run(command: &Control) -> Result<(), Box<dyn Error>> {
    // Before anything else, so that no early signal is lost.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let files = Files {
        operator: Some(command.operator.clone()),
    };
    let evaluated = files.evaluate(EVALUATION)?;
    let lease = evaluated.control_member_settings()?;
    let handle = service::start_member(lease, Clock::start())?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        warn!(
            "SIGHUP has no effect: a control member reads its operator's file only at the start; restart it to apply the \
             file, or send SIGHUP to a gateway to propose a version"
        );
    }
    drain(&handle);
    Ok(())
}

/// Releases the member's duties, and waits until another member leads.
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

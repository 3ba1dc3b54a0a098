//! A control member on its own: it shares the log and serves gateways, and has no clients, databases or registration.

use crate::cli::{Control, Files, EVALUATION};
use asterreel_control::clock::Clock;
use asterreel_control::service::{self, ControlRequest, Handle};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::error::Error;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How long it stays after a signal at least, so that what it gives back is in the log.
const GIVE_BACK: Duration = Duration::from_millis(300);
/// How long it waits at most until another member leads: two elections with leases of ten seconds.
const HAND_OVER: Duration = Duration::from_secs(5);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Runs a control member until SIGTERM or SIGINT.
pub(crate) fn run(asked: &Control) -> Result<(), Box<dyn Error>> {
    // Before anything else, so that a signal that comes early is not lost.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let files = Files {
        operator: Some(asked.operator.clone()),
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
    end(&handle);
    Ok(())
}

/// Gives back what the member holds, and waits for another to lead.
fn end(handle: &Handle) {
    let began = Instant::now();
    info!("draining");
    handle.request(ControlRequest::Drain);
    while began.elapsed() < GIVE_BACK || (handle.view().leads && began.elapsed() < HAND_OVER) {
        std::thread::sleep(LOOK);
    }
    info!("stopped");
}

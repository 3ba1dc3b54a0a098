//! systemd's notify protocol (sd_notify(3)): READY, STOPPING, STATUS, and WATCHDOG for as long as the path moves.

use asterreel::health::{State, Status};
use sd_notify::NotifyState;
use std::io;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, Instant};
use tracing::warn;

/// Words that may wait; a socket that takes none holds up nobody.
const AHEAD: usize = 64;

/// What is to be told.
pub(super) enum Command {
    Changed(Status),
    /// The request path moves.
    Moves,
}

/// Starts the thread that tells; nothing without `NOTIFY_SOCKET`.
pub(super) fn start() -> io::Result<Option<SyncSender<Command>>> {
    if std::env::var_os("NOTIFY_SOCKET").is_none() {
        warn!("health.notify: NOTIFY_SOCKET is not set: nobody is told");
        return Ok(None);
    }
    // Half of what the watchdog allows, as sd_watchdog_enabled(3) advises.
    let every = sd_notify::watchdog_enabled().map(|allowed: Duration| allowed / 2);
    let (commands, told) = sync_channel(AHEAD);
    std::thread::Builder::new()
        .name("health-notify".into())
        .spawn(move || {
            let (mut ready, mut last) = (false, None::<Instant>);
            for word in told {
                let (mut states, text);
                states = Vec::new();
                match word {
                    Command::Changed(status) => {
                        let serves = matches!(status.state, State::Up | State::Degraded);
                        if serves && !std::mem::replace(&mut ready, true) {
                            states.push(NotifyState::Ready);
                        }
                        if status.state == State::Draining
                            && status.reason == asterreel::health::Reason::Drain
                        {
                            states.push(NotifyState::Stopping);
                        }
                        let state = format!("{:?}", status.state).to_lowercase();
                        text = format!(
                            "{state}, weight {}, {}",
                            status.weight,
                            status.reason.code()
                        );
                        states.push(NotifyState::Status(&text));
                    }
                    Command::Moves => {
                        if every
                            .is_some_and(|every| last.is_none_or(|last| last.elapsed() >= every))
                        {
                            last = Some(Instant::now());
                            states.push(NotifyState::Watchdog);
                        }
                    }
                }
                if !states.is_empty() {
                    // Nobody there is nobody told; the next word tries again.
                    let _ = sd_notify::notify(&states);
                }
            }
        })?;
    Ok(Some(commands))
}

//! Notifications to systemd (sd_notify(3)): READY, STOPPING, STATUS, and WATCHDOG for as long as the request path makes
//! progress.

use asterreel::health::{State, Status};
use sd_notify::NotifyState;
use std::io;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, Instant};
use tracing::warn;

/// Notifications that may be queued; more are dropped, so that a blocked socket does not block the health thread.
const QUEUE_LENGTH: usize = 64;

/// What the notification thread should report.
pub(super) enum Command {
    /// The status of the gateway changed.
    StatusChanged(Status),
    /// The request path makes progress.
    Progress,
}

/// Starts the thread that sends notifications; `None` if `NOTIFY_SOCKET` is not set.
pub(super) fn start() -> io::Result<Option<SyncSender<Command>>> {
    if std::env::var_os("NOTIFY_SOCKET").is_none() {
        warn!("health.notify: NOTIFY_SOCKET is not set, so no notifications are sent; start the gateway as a systemd service of Type=notify, or set notify to False");
        return Ok(None);
    }
    // Half of the watchdog's timeout, as sd_watchdog_enabled(3) recommends.
    let interval = sd_notify::watchdog_enabled().map(|timeout: Duration| timeout / 2);
    let (commands, received_commands) = sync_channel(QUEUE_LENGTH);
    std::thread::Builder::new()
        .name("health-notify".into())
        .spawn(move || {
            let (mut ready, mut last_watchdog) = (false, None::<Instant>);
            for command in received_commands {
                let (mut states, text);
                states = Vec::new();
                match command {
                    Command::StatusChanged(status) => {
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
                    Command::Progress => {
                        if interval.is_some_and(|interval| {
                            last_watchdog.is_none_or(|last| last.elapsed() >= interval)
                        }) {
                            last_watchdog = Some(Instant::now());
                            states.push(NotifyState::Watchdog);
                        }
                    }
                }
                if !states.is_empty() {
                    // An error is ignored: the next notification tries the socket again.
                    let _ = sd_notify::notify(&states);
                }
            }
        })?;
    Ok(Some(commands))
}

//! Accepting clients, each of which gets a session.

use super::gateway::Gateway;
use super::session::Session;
use crate::runtime::net::{spawn, Stream};
use asterreel::interface::Micros;
use may::io::WaitIo;
use may::net::TcpListener;
use std::sync::Arc;
use tracing::warn;

/// Wait before the next try after accepting failed or found no room.
const ACCEPT_AGAIN: Micros = 5_000;

/// Accepts clients for as long as the process runs. Running out of descriptors only makes the next one wait.
pub(crate) fn accept(gateway: &Arc<Gateway>, listener: &TcpListener) {
    gateway.wake_for_room(listener.waker());
    let pause = || {
        let at = gateway.core.clock.now() + ACCEPT_AGAIN;
        let _alarm = gateway.core.timer.alarm(at, listener.waker());
        listener.wait_io();
    };
    loop {
        gateway.shed();
        if gateway.is_full() {
            pause();
            continue;
        }
        match listener.accept() {
            Ok((socket, from)) => {
                let stream = Stream::new(socket, gateway.core.timer.clone());
                // Registered here, so that the limit counts sessions that have not begun yet.
                let (number, mailbox) = gateway.register(stream.waker());
                let session = Session::new(gateway.clone(), number, stream, mailbox, from.ip());
                spawn(move || session.live());
            }
            Err(error) => {
                warn!("accept: {error}");
                pause();
            }
        }
    }
}

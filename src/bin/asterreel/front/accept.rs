//! Accepts clients and starts a session for each.

use super::gateway::Gateway;
use super::session::Session;
use crate::runtime::coroutine::spawn;
use crate::runtime::net::Stream;
use crate::runtime::turns::{Owner, Share};
use asterreel::interface::Micros;
use may::io::WaitIo;
use may::net::TcpListener;
use std::sync::Arc;
use tracing::warn;

/// Wait after a failed accept, and while the limit on sessions is reached.
const ACCEPT_RETRY_DELAY_US: Micros = 5_000;

/// What a turn is charged in which a client is accepted, microseconds.
const ACCEPT_COST_US: Micros = 20;

/// Accepts clients for as long as the process runs. When descriptors run out, the next client is accepted after a
/// delay.
pub(crate) fn accept(gateway: &Arc<Gateway>, listener: &TcpListener) {
    gateway.sessions.set_accept_waker(listener.waker());
    let pause = || {
        let at = gateway.core.clock.now() + ACCEPT_RETRY_DELAY_US;
        let _alarm = gateway.core.timer.alarm(at, listener.waker());
        listener.wait_io();
    };
    let mut share = Share::new(Owner::Listener);
    loop {
        while !share.may_step(|| listener.waker()) {
            listener.wait_io();
        }
        // may waits for a client inside `accept`, so that the time it takes can't be measured.
        share.end_turn_at(ACCEPT_COST_US);
        gateway.shed();
        if gateway.is_full() {
            pause();
            continue;
        }
        match listener.accept() {
            Ok((socket, from)) => {
                let owner = Owner::Client(from.ip());
                let stream = Stream::new(socket, gateway.core.timer.clone(), owner);
                // Registered before its coroutine starts, so that the limit counts it at once.
                let registered = gateway.register(stream.waker());
                let session = Session::new(gateway.clone(), registered, stream, from.ip());
                spawn(move || session.run());
            }
            Err(error) => {
                warn!("cannot accept a client, retrying: {error}; check the limit on open files");
                pause();
            }
        }
    }
}

//! The links that a control member dials, one to each other member.
//!
//! A lost link is dialled again with exponential backoff and jitter. Messages that could not be sent meanwhile are dropped, as
//! Raft sends again what is still needed.

use super::{
    accept::LinkEvent, handshake, write, Established, SharedHello, HANDSHAKE_TIMEOUT,
    MAX_RETRY_DELAY, MIN_RETRY_DELAY,
};
use crate::frame::{self, FrameError, Payload};
use crate::traffic::Traffic;
use backon::BackoffBuilder;
use raft::eraftpb::MessageType;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Payloads that may be queued for one link.
const QUEUE_LENGTH: usize = 256;

/// The loop's handle to the link to another member.
pub(crate) struct Link {
    queue: mpsc::Sender<Payload>,
}

impl Link {
    /// Keeps dialling the member `peer` until the handle is dropped.
    pub(crate) fn dial(
        peer: u64,
        address: SocketAddr,
        own: SharedHello,
        events: mpsc::Sender<LinkEvent>,
        traffic: Traffic,
    ) -> Link {
        let (queue, queued) = mpsc::channel(QUEUE_LENGTH);
        spawn_local(
            DialTask {
                peer,
                address,
                own,
                events,
                traffic,
            }
            .run(queued),
        );
        Link { queue }
    }

    /// Queues a payload, or drops it if the queue is full.
    pub(crate) fn send(&self, payload: Payload) {
        let _ = self.queue.try_send(payload);
    }
}

/// The delays of an exponential backoff with jitter, in an endless sequence.
fn backoff() -> impl Iterator<Item = Duration> {
    let builder = backon::ExponentialBuilder::new()
        .with_min_delay(MIN_RETRY_DELAY)
        .with_max_delay(MAX_RETRY_DELAY);
    builder
        .with_factor(2.0)
        .with_jitter()
        .without_max_times()
        .build()
}

/// The task that keeps a link up.
struct DialTask {
    peer: u64,
    address: SocketAddr,
    own: SharedHello,
    events: mpsc::Sender<LinkEvent>,
    traffic: Traffic,
}

impl DialTask {
    /// Dials and sends until the handle is dropped.
    async fn run(self, mut queue: mpsc::Receiver<Payload>) {
        let (peer, address) = (self.peer, self.address);
        let mut retries = backoff();
        let mut logged = String::new();
        loop {
            let own = self.own.hello();
            let error = match handshake(peer, address, &own, HANDSHAKE_TIMEOUT, &self.traffic).await
            {
                Ok(established) => {
                    info!(peer, "log: link up");
                    retries = backoff();
                    logged.clear();
                    let _ = self
                        .events
                        .try_send(LinkEvent::Hello(established.hello.clone()));
                    // Payloads that were queued for the former link are out of date.
                    while queue.try_recv().is_ok() {}
                    match self.run_link(established, &mut queue).await {
                        Some(error) => error,
                        None => return,
                    }
                }
                Err(error) => error,
            };
            let error = error.to_string();
            if error != logged {
                warn!(peer, %address, "log: link down: {error}");
                logged = error;
            }
            let _ = self.events.try_send(LinkEvent::PeerLost(peer));
            tokio::time::sleep(retries.next().unwrap_or(MAX_RETRY_DELAY)).await;
            if queue.is_closed() {
                return;
            }
        }
    }

    /// Sends until the link breaks, and returns the error; `None` if the handle was dropped.
    async fn run_link(
        &self,
        established: Established,
        queue: &mut mpsc::Receiver<Payload>,
    ) -> Option<FrameError> {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        loop {
            let payload = tokio::select! {
                payload = queue.recv() => payload?,
                // A member sends only its hello, again whenever that changes.
                received = frames.next() => match received {
                    Ok(Payload::Hello(hello)) => {
                        let _ = self.events.try_send(LinkEvent::Hello(hello));
                        continue;
                    }
                    Ok(_) => return Some(FrameError::UnexpectedKind),
                    Err(error) => return Some(error),
                },
            };
            let (frame, is_snapshot) = match &payload {
                Payload::Raft(message) => (
                    frame::encode_raft(message),
                    message.get_msg_type() == MessageType::MsgSnapshot,
                ),
                Payload::Hello(hello) => (frame::encode_hello(hello), false),
                // Messages to and from gateways use only the links that gateways dial.
                Payload::ToControl(_) | Payload::ToGateway(_) => continue,
            };
            let sent = match frame {
                Ok(frame) => write(&mut link, &frame, &self.traffic).await,
                Err(error) => Err(error),
            };
            if is_snapshot {
                let _ = self.events.try_send(LinkEvent::SnapshotSent {
                    peer: self.peer,
                    complete: sent.is_ok(),
                });
            }
            if let Err(error) = sent {
                return Some(error);
            }
        }
    }
}

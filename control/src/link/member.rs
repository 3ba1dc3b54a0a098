//! The links that a control member dials, one to each other member. A link that is lost is dialled again, after waits with
//! jitter; what could not be sent meanwhile is dropped, as the consensus sends anew what it still needs.

use super::{
    accept::LinkEvent, handshake, write, Established, SharedHello, HANDSHAKE_TIMEOUT, RETRY_FIRST,
    RETRY_LONGEST,
};
use crate::frame::{self, BadFrame, Payload};
use crate::traffic::Traffic;
use backon::BackoffBuilder;
use raft::eraftpb::MessageType;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Messages that may wait for one link.
const QUEUE: usize = 256;

/// The link that this member sends on to one other.
pub(crate) struct Link {
    queue: mpsc::Sender<Payload>,
}

impl Link {
    pub(crate) fn dial(
        peer: u64,
        address: SocketAddr,
        own: SharedHello,
        events: mpsc::Sender<LinkEvent>,
        traffic: Traffic,
    ) -> Link {
        let (queue, queued) = mpsc::channel(QUEUE);
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

    /// Sends, or drops what a slow link has no room for.
    pub(crate) fn send(&self, payload: Payload) {
        let _ = self.queue.try_send(payload);
    }
}

/// Jittered waits that grow up to a limit, without end.
fn backoff() -> impl Iterator<Item = Duration> {
    let builder = backon::ExponentialBuilder::new()
        .with_min_delay(RETRY_FIRST)
        .with_max_delay(RETRY_LONGEST);
    builder
        .with_factor(2.0)
        .with_jitter()
        .without_max_times()
        .build()
}

/// The task that keeps a link.
struct DialTask {
    peer: u64,
    address: SocketAddr,
    own: SharedHello,
    events: mpsc::Sender<LinkEvent>,
    traffic: Traffic,
}

impl DialTask {
    /// Dials and sends for as long as the loop wants it.
    async fn run(self, mut queue: mpsc::Receiver<Payload>) {
        let (peer, address) = (self.peer, self.address);
        let mut retries = backoff();
        let mut logged = String::new();
        loop {
            let own = self.own.hello();
            let fault = match handshake(peer, address, &own, HANDSHAKE_TIMEOUT, &self.traffic).await
            {
                Ok(established) => {
                    info!(peer, "log: link up");
                    retries = backoff();
                    logged.clear();
                    let _ = self
                        .events
                        .try_send(LinkEvent::Hello(established.hello.clone()));
                    // What waited for the old link is of no use any more.
                    while queue.try_recv().is_ok() {}
                    match self.send_on(established, &mut queue).await {
                        Some(fault) => fault,
                        None => return,
                    }
                }
                Err(fault) => fault,
            };
            let fault = fault.to_string();
            if fault != logged {
                warn!(peer, %address, "log: link down: {fault}");
                logged = fault;
            }
            let _ = self.events.try_send(LinkEvent::PeerLost(peer));
            tokio::time::sleep(retries.next().unwrap_or(RETRY_LONGEST)).await;
            if queue.is_closed() {
                return;
            }
        }
    }

    /// Sends until the link breaks; nothing where the loop has ended.
    async fn send_on(
        &self,
        established: Established,
        queue: &mut mpsc::Receiver<Payload>,
    ) -> Option<BadFrame> {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        loop {
            let payload = tokio::select! {
                payload = queue.recv() => payload?,
                // A member says hello again when what it says has changed, and otherwise only closes.
                said = frames.next() => match said {
                    Ok(Payload::Hello(hello)) => {
                        let _ = self.events.try_send(LinkEvent::Hello(hello));
                        continue;
                    }
                    Ok(_) => return Some(BadFrame::Unknown),
                    Err(fault) => return Some(fault),
                },
            };
            let (bytes, snapshot) = match &payload {
                Payload::Raft(message) => (
                    frame::raft(message),
                    message.get_msg_type() == MessageType::MsgSnapshot,
                ),
                Payload::Hello(hello) => (frame::hello(hello), false),
                // Gateways are served on the links that they dial.
                Payload::ToControl(_) | Payload::ToGateway(_) => continue,
            };
            let sent = match bytes {
                Ok(bytes) => write(&mut link, &bytes, &self.traffic).await,
                Err(fault) => Err(fault),
            };
            if snapshot {
                let _ = self
                    .events
                    .try_send(LinkEvent::SnapshotSent(self.peer, sent.is_ok()));
            }
            if let Err(fault) = sent {
                return Some(fault);
            }
        }
    }
}

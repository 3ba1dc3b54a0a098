//! The links that a control member accepts: of other members, which only send, and of gateways, which it serves.
//!
//! The number of handshakes, of links of each member and of gateways is bounded. A peer speaks for itself alone: a message
//! in the name of another closes its link.

use super::{write, Established, SharedHello, HANDSHAKE_TIMEOUT, MIN_RETRY_DELAY};
use crate::frame::{self, FrameError, FrameReader, Hello, Payload};
use crate::lease::NodeIdentity;
use crate::node::gateway_id_of;
use crate::traffic::MemberTraffic;
use crate::versions::ToControl;
use bytes::Bytes;
use ipnet::IpNet;
use raft::eraftpb::Message;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::warn;

/// Handshakes at once; further connections wait in the listener's queue meanwhile.
const MAX_CONCURRENT_HANDSHAKES: usize = 256;
/// Links that each member may have open here: the one in use, and others that it has closed unnoticed.
const MAX_LINKS_PER_MEMBER: usize = 3;
/// Gateways served at once: twice the largest planned fleet (2,048), as each may reconnect before its former link is seen
/// to be gone. A link takes a few kilobytes and one descriptor.
pub(crate) const MAX_GATEWAYS: usize = 4_096;
/// Frames that may be queued for one gateway. It is sent a handful in each lease: one with a full queue has stopped reading,
/// and its link is closed.
const GATEWAY_QUEUE_FRAMES: usize = 64;
/// How long a member's link may be idle. A leader's heartbeats are many times as frequent.
const MEMBER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// An event of a link, for the loop of a control member.
pub(crate) enum LinkEvent {
    /// A Raft message of another member.
    Raft(Box<Message>),
    /// Another member's hello, at first and whenever it changes.
    Hello(Hello),
    /// The link to the member with this number is lost.
    PeerLost(u64),
    /// The sending of a snapshot has ended.
    SnapshotSent {
        /// The member's number.
        peer: u64,
        /// Whether it was sent completely.
        complete: bool,
    },
    /// A gateway wants to be served.
    GatewayConnected(GatewayLink),
    /// A message of a gateway that is served.
    GatewayMessage(ToControl),
    /// The link of a gateway has ended.
    GatewayDisconnected {
        /// The gateway.
        who: NodeIdentity,
        /// The link's number; see [`GatewayLink::link`].
        link: u64,
    },
}

/// The loop's handle of a served gateway's link. Dropping it closes the link.
pub(crate) struct GatewayLink {
    /// The gateway.
    pub who: NodeIdentity,
    /// Tells this link from others of the same gateway.
    pub link: u64,
    queue: mpsc::Sender<Bytes>,
}

impl GatewayLink {
    /// Queues a frame; false where the queue is full, and the link is to be closed.
    pub(crate) fn send(&self, frame: Bytes) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

/// Accepts links for a control member.
pub(crate) struct Acceptor {
    /// Networks from which links are accepted.
    pub allow: Vec<IpNet>,
    /// The control members, by number.
    pub voters: BTreeSet<u64>,
    /// The hello of this member.
    pub own: SharedHello,
    /// How long the link of a gateway may be idle.
    pub idle_timeout: Duration,
    /// The loop's queue.
    pub events: mpsc::Sender<LinkEvent>,
    /// Counters of what is sent and received.
    pub traffic: MemberTraffic,
}

/// Accepts links for as long as the thread's tasks run.
pub(crate) fn listen(listener: TcpListener, acceptor: Acceptor) {
    let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
    let slots = Rc::new(Slots {
        members: Arc::new(Semaphore::new(acceptor.voters.len() * MAX_LINKS_PER_MEMBER)),
        gateways: Arc::new(Semaphore::new(MAX_GATEWAYS)),
    });
    let acceptor = Rc::new(acceptor);
    spawn_local(async move {
        for number in 0.. {
            let Ok(permit) = handshakes.clone().acquire_owned().await else {
                return;
            };
            let (link, from) = acceptor.accept(&listener).await;
            let (acceptor, slots) = (acceptor.clone(), slots.clone());
            spawn_local(async move {
                let established = acceptor.handshake(link).await;
                drop(permit);
                let ended = match established {
                    Ok(established) => acceptor.read(established, number, &slots).await,
                    Err(error) => Err(error),
                };
                match ended {
                    Ok(()) | Err(FrameError::Closed | FrameError::Io(_)) => {}
                    Err(error) => warn!(%from, "log: link refused: {error}"),
                }
            });
        }
    });
}

/// Limits of the links that are open at once.
struct Slots {
    members: Arc<Semaphore>,
    gateways: Arc<Semaphore>,
}

impl Acceptor {
    /// The next connection from an allowed network.
    async fn accept(&self, listener: &TcpListener) -> (TcpStream, SocketAddr) {
        loop {
            match listener.accept().await {
                Ok((link, from)) if self.allows(from) => return (link, from),
                Ok(_) => {}
                // Out of descriptors, perhaps: a retry may find one.
                Err(_) => tokio::time::sleep(MIN_RETRY_DELAY).await,
            }
        }
    }

    fn allows(&self, from: SocketAddr) -> bool {
        self.allow
            .iter()
            .any(|net| net.contains(&from.ip().to_canonical()))
    }

    /// Exchanges hellos, and rejects a peer that is not of this fleet.
    async fn handshake(&self, link: TcpStream) -> Result<Established, FrameError> {
        link.set_nodelay(true)?;
        let (read, mut link) = link.into_split();
        let mut frames = FrameReader::new(read, self.traffic.members.clone());
        let received = timeout(HANDSHAKE_TIMEOUT, frames.next())
            .await
            .map_err(|_| FrameError::TimedOut)??;
        let Payload::Hello(hello) = received else {
            return Err(FrameError::UnexpectedKind);
        };
        let own = self.own.hello();
        // Sent even to a peer that is rejected: it can then log why.
        write(
            &mut link,
            &frame::encode_hello(&own)?,
            &self.traffic.members,
        )
        .await?;
        hello.check(own.fleet_digest, None)?;
        Ok(Established {
            hello,
            frames,
            write: link,
        })
    }

    /// Handles a link until it ends.
    async fn read(
        &self,
        established: Established,
        number: u64,
        slots: &Slots,
    ) -> Result<(), FrameError> {
        if established.hello.client {
            let Ok(_slot) = slots.gateways.clone().try_acquire_owned() else {
                return Err(FrameError::TooManyGateways(MAX_GATEWAYS));
            };
            return self.serve(established, number).await;
        }
        if !self.voters.contains(&established.hello.gateway) {
            return Err(FrameError::NotAVoter(established.hello.gateway));
        }
        let Ok(_slot) = slots.members.clone().try_acquire_owned() else {
            return Err(FrameError::Closed);
        };
        self.read_member(established).await
    }

    async fn read_member(&self, established: Established) -> Result<(), FrameError> {
        let Established {
            hello,
            mut frames,
            write: _keep,
        } = established;
        let (fleet_digest, peer) = (hello.fleet_digest, hello.gateway);
        let _ = self.events.send(LinkEvent::Hello(hello)).await;
        loop {
            match timeout(MEMBER_IDLE_TIMEOUT, frames.next())
                .await
                .map_err(|_| FrameError::TimedOut)??
            {
                // A member sends only its own messages.
                Payload::Raft(message) if gateway_id_of(message.from) == peer => {
                    if self.events.send(LinkEvent::Raft(message)).await.is_err() {
                        return Ok(());
                    }
                }
                Payload::Raft(_) => return Err(FrameError::UnexpectedGateway(peer)),
                Payload::Hello(hello) => {
                    hello.check(fleet_digest, Some(peer))?;
                    if hello.client {
                        return Err(FrameError::UnexpectedKind);
                    }
                    let _ = self.events.send(LinkEvent::Hello(hello)).await;
                }
                Payload::ToControl(_) | Payload::ToGateway(_) => {
                    return Err(FrameError::UnexpectedKind)
                }
            }
        }
    }

    /// Serves a gateway until its link breaks, it is idle for too long, or the loop drops its handle.
    async fn serve(&self, established: Established, number: u64) -> Result<(), FrameError> {
        let who = established.hello.identity()?;
        let (queue, queued) = mpsc::channel(GATEWAY_QUEUE_FRAMES);
        let connected = LinkEvent::GatewayConnected(GatewayLink {
            who,
            link: number,
            queue,
        });
        if self.events.send(connected).await.is_err() {
            return Ok(());
        }
        let ended = self.serve_on(established, who, queued).await;
        let _ = self
            .events
            .send(LinkEvent::GatewayDisconnected { who, link: number })
            .await;
        ended
    }

    async fn serve_on(
        &self,
        established: Established,
        who: NodeIdentity,
        mut queued: mpsc::Receiver<Bytes>,
    ) -> Result<(), FrameError> {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        frames.count_with(self.traffic.gateways.clone());
        let mut idle_at = tokio::time::Instant::now() + self.idle_timeout;
        loop {
            let received = tokio::select! {
                frame = queued.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    write(&mut link, &frame, &self.traffic.gateways).await?;
                    continue;
                }
                received = tokio::time::timeout_at(idle_at, frames.next()) => received,
            };
            match received.map_err(|_| FrameError::TimedOut)?? {
                // A gateway sends only its own messages, in the incarnation of its hello.
                Payload::ToControl(message) if message.who() == who => {
                    idle_at = tokio::time::Instant::now() + self.idle_timeout;
                    if self
                        .events
                        .send(LinkEvent::GatewayMessage(message))
                        .await
                        .is_err()
                    {
                        return Ok(());
                    }
                }
                Payload::ToControl(_) => {
                    return Err(FrameError::UnexpectedGateway(who.gateway.into()))
                }
                Payload::Hello(_) | Payload::Raft(_) | Payload::ToGateway(_) => {
                    return Err(FrameError::UnexpectedKind)
                }
            }
        }
    }
}

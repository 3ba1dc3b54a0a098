//! The links that a control member accepts: from other members, which only send, and from gateways, which it serves.
//!
//! The numbers of concurrent handshakes, of members' links and of gateways are limited. A peer may send only its own
//! messages: one in the name of another closes the link.

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

/// The limit on concurrent handshakes; further connections wait in the listener's queue.
const MAX_CONCURRENT_HANDSHAKES: usize = 256;
/// Links that each member may have open here: the one in use, and former ones whose end has not been noticed yet.
const MAX_LINKS_PER_MEMBER: usize = 3;
/// Gateways served at once: twice the largest planned fleet (2,048), as each may reconnect before the end of its former link
/// is noticed. A link takes a few kilobytes and one file descriptor.
pub(crate) const MAX_GATEWAYS: usize = 4_096;
/// Frames that may be queued for one gateway. A gateway is sent a few frames per lease, so one whose queue is full has
/// stopped reading, and its link is closed.
const GATEWAY_QUEUE_FRAMES: usize = 64;
/// How long a member's link may be idle. A leader sends heartbeats far more often.
const MEMBER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// An event of a link, for the loop of a control member.
pub(crate) enum LinkEvent {
    /// A Raft message from another member.
    Raft(Box<Message>),
    /// Another member's hello: the first one, and each one that differs from the last.
    Hello(Hello),
    /// The link to the member with this number is lost.
    PeerLost(u64),
    /// The sending of a snapshot has ended.
    SnapshotSent {
        /// The member's number.
        peer: u64,
        /// Whether the snapshot was sent completely.
        complete: bool,
    },
    /// A gateway has connected.
    GatewayConnected(GatewayLink),
    /// A message from a connected gateway.
    GatewayMessage(ToControl),
    /// The link of a gateway has ended.
    GatewayDisconnected {
        /// The gateway's identity, from the hello of its link.
        identity: NodeIdentity,
        /// See [`GatewayLink::link_number`].
        link_number: u64,
    },
}

/// The loop's handle to the link of a connected gateway. Dropping it closes the link.
pub(crate) struct GatewayLink {
    /// The gateway's identity, from the hello of its link.
    pub identity: NodeIdentity,
    /// The link's number among all that this member accepted: a gateway that reconnects gets a new one.
    pub link_number: u64,
    queue: mpsc::Sender<Bytes>,
}

impl GatewayLink {
    /// Queues a frame; false if the queue is full or the link has ended, so that the handle is to be dropped.
    pub(crate) fn send(&self, frame: Bytes) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

/// Accepts links for a control member.
pub(crate) struct Acceptor {
    /// Networks from which links are accepted.
    pub allow: Vec<IpNet>,
    /// The numbers of the control members, of which one must open each link that is not from a client of theirs.
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

/// Spawns a local task that accepts links, each of which is handled in a task of its own.
pub(crate) fn listen(listener: TcpListener, acceptor: Acceptor) {
    let handshakes = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
    let limits = Rc::new(LinkLimits {
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
            let (acceptor, limits) = (acceptor.clone(), limits.clone());
            spawn_local(async move {
                let established = acceptor.handshake(link).await;
                drop(permit);
                let ended = match established {
                    Ok(established) => acceptor.run_link(established, number, &limits).await,
                    Err(error) => Err(error),
                };
                match ended {
                    Ok(()) | Err(FrameError::Closed | FrameError::Io(_)) => {}
                    Err(error) => warn!(%from, "control: incoming link closed: {error}"),
                }
            });
        }
    });
}

/// Limits on the links that are open at the same time.
struct LinkLimits {
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
                // The process may be out of file descriptors, so retries after a delay.
                Err(_) => tokio::time::sleep(MIN_RETRY_DELAY).await,
            }
        }
    }

    fn allows(&self, from: SocketAddr) -> bool {
        self.allow
            .iter()
            .any(|net| net.contains(&from.ip().to_canonical()))
    }

    /// Exchanges hellos, and rejects a peer of another fleet or without a common format.
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
        // Sent even to a peer that is rejected, so that it can log the reason.
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

    /// Runs a link until it ends.
    async fn run_link(
        &self,
        established: Established,
        number: u64,
        limits: &LinkLimits,
    ) -> Result<(), FrameError> {
        if established.hello.client {
            let Ok(_permit) = limits.gateways.clone().try_acquire_owned() else {
                return Err(FrameError::TooManyGateways(MAX_GATEWAYS));
            };
            return self.run_gateway_link(established, number).await;
        }
        if !self.voters.contains(&established.hello.gateway) {
            return Err(FrameError::NotAVoter(established.hello.gateway));
        }
        let Ok(_permit) = limits.members.clone().try_acquire_owned() else {
            return Err(FrameError::Closed);
        };
        self.run_member_link(established).await
    }

    /// Reads a member's link until it breaks or is idle for too long.
    async fn run_member_link(&self, established: Established) -> Result<(), FrameError> {
        let Established {
            hello,
            mut frames,
            write: _keep_open,
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
    async fn run_gateway_link(
        &self,
        established: Established,
        number: u64,
    ) -> Result<(), FrameError> {
        let identity = established.hello.identity()?;
        let (queue, queued) = mpsc::channel(GATEWAY_QUEUE_FRAMES);
        let connected = LinkEvent::GatewayConnected(GatewayLink {
            identity,
            link_number: number,
            queue,
        });
        if self.events.send(connected).await.is_err() {
            return Ok(());
        }
        let ended = self.exchange_messages(established, identity, queued).await;
        let _ = self
            .events
            .send(LinkEvent::GatewayDisconnected {
                identity,
                link_number: number,
            })
            .await;
        ended
    }

    /// Sends a gateway the queued frames, and passes its messages to the loop.
    async fn exchange_messages(
        &self,
        established: Established,
        identity: NodeIdentity,
        mut queued: mpsc::Receiver<Bytes>,
    ) -> Result<(), FrameError> {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        frames.set_traffic(self.traffic.gateways.clone());
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
                Payload::ToControl(message) if message.identity() == identity => {
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
                    return Err(FrameError::UnexpectedGateway(identity.gateway.into()))
                }
                Payload::Hello(_) | Payload::Raft(_) | Payload::ToGateway(_) => {
                    return Err(FrameError::UnexpectedKind)
                }
            }
        }
    }
}

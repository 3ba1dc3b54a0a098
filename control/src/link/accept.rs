//! The links that a control member takes: of other members, which only send, and of gateways, which it serves.

use super::{write, Established, SharedHello, HANDSHAKE_TIMEOUT, RETRY_FIRST};
use crate::frame::{self, BadFrame, Frames, Hello, Payload};
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

/// Links on which the first frame is awaited: a crowd that comes at once waits in the listener's own queue meanwhile.
const HANDSHAKES_AT_ONCE: usize = 256;
/// Links that each member may have open here: the one it uses, and those that it has given up and we have not noticed.
const LINKS_PER_MEMBER: usize = 3;
/// Gateways served at once: twice the largest fleet that is planned for (2,048), as each may come again before its former
/// link is seen to be gone. A link takes a few kilobytes and one descriptor.
pub(crate) const MAX_GATEWAYS: usize = 4_096;
/// Frames that may wait for one gateway. It is sent a handful in a lease, so that one that lets so many wait has stopped
/// reading; its link is closed, and it comes again.
const GATEWAY_QUEUE: usize = 64;
/// How long a member's link may bring nothing: a leader's heartbeats come many times as often, but a follower hears only
/// those.
const MEMBER_SILENCE: Duration = Duration::from_secs(60);

/// What links tell the loop of a control member.
pub(crate) enum LinkEvent {
    /// A message of the consensus.
    Raft(Box<Message>),
    /// What another member says of itself.
    Hello(Hello),
    /// The link to another member is lost.
    PeerLost(u64),
    /// A snapshot was sent to another member, whole or not.
    SnapshotSent(u64, bool),
    /// A gateway wants to be served.
    GatewayConnected(GatewayLink),
    /// A gateway that is served said something.
    GatewayMessage(ToControl),
    /// The link of a gateway, by its number, has ended.
    GatewayDisconnected(NodeIdentity, u64),
}

/// The link of a gateway that is served, as the loop knows it. Dropped, it is closed.
pub(crate) struct GatewayLink {
    /// Who it is.
    pub who: NodeIdentity,
    /// Tells this link from others of the same gateway.
    pub link: u64,
    queue: mpsc::Sender<Bytes>,
}

impl GatewayLink {
    /// Sends a frame; false where so much waits already that the link is to be closed.
    pub(crate) fn send(&self, frame: Bytes) -> bool {
        self.queue.try_send(frame).is_ok()
    }
}

/// What a control member needs to take links.
pub(crate) struct Acceptor {
    /// Networks from which links are taken.
    pub allow: Vec<IpNet>,
    /// The control members, by number.
    pub voters: BTreeSet<u64>,
    /// What is said first.
    pub own: SharedHello,
    /// How long a gateway that is served may be silent.
    pub silence: Duration,
    /// To the loop.
    pub events: mpsc::Sender<LinkEvent>,
    /// Counts what is sent and received.
    pub traffic: MemberTraffic,
}

/// Takes links for as long as the thread's tasks run.
pub(crate) fn listen(listener: TcpListener, acceptor: Acceptor) {
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_AT_ONCE));
    let slots = Rc::new(Slots {
        members: Arc::new(Semaphore::new(acceptor.voters.len() * LINKS_PER_MEMBER)),
        gateways: Arc::new(Semaphore::new(MAX_GATEWAYS)),
    });
    let acceptor = Rc::new(acceptor);
    spawn_local(async move {
        for number in 0.. {
            let Ok(permit) = handshakes.clone().acquire_owned().await else {
                return;
            };
            let (link, from) = loop {
                match listener.accept().await {
                    Ok((link, from)) if acceptor.allows(from) => break (link, from),
                    Ok(_) => {}
                    // No descriptor, perhaps: the next try may find one.
                    Err(_) => tokio::time::sleep(RETRY_FIRST).await,
                }
            };
            let (acceptor, slots) = (acceptor.clone(), slots.clone());
            spawn_local(async move {
                let established = acceptor.handshake(link).await;
                drop(permit);
                let ended = match established {
                    Ok(established) => acceptor.read(established, number, &slots).await,
                    Err(fault) => Err(fault),
                };
                if let Err(fault) = ended {
                    if !matches!(fault, BadFrame::Closed | BadFrame::Io(_)) {
                        warn!(%from, "log: link refused: {fault}");
                    }
                }
            });
        }
    });
}

/// Links that may be open at once.
struct Slots {
    members: Arc<Semaphore>,
    gateways: Arc<Semaphore>,
}

impl Acceptor {
    fn allows(&self, from: SocketAddr) -> bool {
        self.allow
            .iter()
            .any(|net| net.contains(&from.ip().to_canonical()))
    }

    /// Exchanges hellos, and turns away who must not be spoken to.
    async fn handshake(&self, link: TcpStream) -> Result<Established, BadFrame> {
        link.set_nodelay(true)?;
        let (read, mut link) = link.into_split();
        let mut frames = Frames::new(read, self.traffic.members.clone());
        let received = timeout(HANDSHAKE_TIMEOUT, frames.next())
            .await
            .map_err(|_| BadFrame::Silent)??;
        let Payload::Hello(hello) = received else {
            return Err(BadFrame::Unknown);
        };
        let mine = self.own.hello();
        // Said even to one that is turned away: it can then tell its operator why.
        write(&mut link, &frame::hello(&mine)?, &self.traffic.members).await?;
        hello.check(mine.fleet, None)?;
        Ok(Established {
            hello,
            frames,
            write: link,
        })
    }

    /// Reads a link to its end.
    async fn read(
        &self,
        established: Established,
        number: u64,
        slots: &Slots,
    ) -> Result<(), BadFrame> {
        if established.hello.client {
            let Ok(_slot) = slots.gateways.clone().try_acquire_owned() else {
                return Err(BadFrame::Full(MAX_GATEWAYS));
            };
            return self.serve(established, number).await;
        }
        if !self.voters.contains(&established.hello.gateway) {
            return Err(BadFrame::NoVoter(established.hello.gateway));
        }
        let Ok(_slot) = slots.members.clone().try_acquire_owned() else {
            return Err(BadFrame::Closed);
        };
        self.read_member(established).await
    }

    async fn read_member(&self, established: Established) -> Result<(), BadFrame> {
        let Established {
            hello,
            mut frames,
            write: _keep,
        } = established;
        let (fleet, peer) = (hello.fleet, hello.gateway);
        let _ = self.events.send(LinkEvent::Hello(hello)).await;
        loop {
            match timeout(MEMBER_SILENCE, frames.next())
                .await
                .map_err(|_| BadFrame::Silent)??
            {
                // A member speaks for itself alone.
                Payload::Raft(message) if gateway_id_of(message.from) == peer => {
                    if self.events.send(LinkEvent::Raft(message)).await.is_err() {
                        return Ok(());
                    }
                }
                Payload::Raft(_) => return Err(BadFrame::Identity(peer)),
                Payload::Hello(hello) => {
                    hello.check(fleet, Some(peer))?;
                    if hello.client {
                        return Err(BadFrame::Unknown);
                    }
                    let _ = self.events.send(LinkEvent::Hello(hello)).await;
                }
                Payload::ToControl(_) | Payload::ToGateway(_) => return Err(BadFrame::Unknown),
            }
        }
    }

    /// Serves a gateway until its link breaks, it falls silent, or the loop drops it.
    async fn serve(&self, established: Established, number: u64) -> Result<(), BadFrame> {
        let who = established.hello.identity()?;
        let (queue, queued) = mpsc::channel(GATEWAY_QUEUE);
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
            .send(LinkEvent::GatewayDisconnected(who, number))
            .await;
        ended
    }

    async fn serve_on(
        &self,
        established: Established,
        who: NodeIdentity,
        mut queued: mpsc::Receiver<Bytes>,
    ) -> Result<(), BadFrame> {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        frames.count_with(self.traffic.gateways.clone());
        let mut silent_at = tokio::time::Instant::now() + self.silence;
        loop {
            let received = tokio::select! {
                frame = queued.recv() => {
                    let Some(frame) = frame else { return Ok(()) };
                    write(&mut link, &frame, &self.traffic.gateways).await?;
                    continue;
                }
                received = tokio::time::timeout_at(silent_at, frames.next()) => received,
            };
            match received.map_err(|_| BadFrame::Silent)?? {
                // A gateway speaks for itself alone, in the incarnation that it greeted with.
                Payload::ToControl(message) if message.who() == who => {
                    silent_at = tokio::time::Instant::now() + self.silence;
                    if self
                        .events
                        .send(LinkEvent::GatewayMessage(message))
                        .await
                        .is_err()
                    {
                        return Ok(());
                    }
                }
                Payload::ToControl(_) => return Err(BadFrame::Identity(who.gateway.into())),
                Payload::Hello(_) | Payload::Raft(_) | Payload::ToGateway(_) => {
                    return Err(BadFrame::Unknown)
                }
            }
        }
    }
}

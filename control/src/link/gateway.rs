//! A gateway's link to the leading control member, which it finds by trying the members in turn.
//!
//! When the member names another leader, the gateway dials that one. When the link breaks or the leader is unknown, it dials
//! the next member, with backoff. [`crate::versions::Client`] decides when to leave a member that does not answer.

use super::{handshake, write, Established, HANDSHAKE_TIMEOUT, MAX_RETRY_DELAY, MIN_RETRY_DELAY};
use crate::frame::{self, FrameError, Hello, Payload};
use crate::lease::Timing;
use crate::traffic::Traffic;
use crate::versions::{ToControl, ToGateway};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::{info, warn};

/// Commands that may be queued. The queue stays short, as an established link sends them at once.
const QUEUE_LENGTH: usize = 256;

/// How many times the retry delay is doubled at most.
const MAX_DOUBLINGS: u32 = 5;
/// The shortest handshake timeout: with a shorter one, a busy member would be taken for a failed one.
const MIN_HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of a gateway's link: every attempt to establish one counts, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LinkId(pub(super) u64);

/// An event of the link, for the gateway's loop.
pub(crate) enum LinkEvent {
    /// A link to a member is established.
    Up(LinkId),
    /// A message from the member.
    Received(LinkId, ToGateway),
    /// The link has ended.
    Down(LinkId),
}

/// A command of the loop.
enum Command {
    Send(ToControl),
    /// Another member leads: the one with this number, if it is known.
    Switch(Option<u32>),
}

/// The loop's handle to the link.
pub(crate) struct Link {
    commands: mpsc::Sender<(LinkId, Command)>,
}

/// What a gateway needs to find the leader.
pub(crate) struct LeaderSearch {
    /// The number and the control address of each control member.
    pub members: Vec<(u64, SocketAddr)>,
    /// The hello of this gateway.
    pub own: Hello,
    /// The lease times, from which the timeouts are derived.
    pub timing: Timing,
    /// Seeds the order of the members and the jitter of delays.
    pub seed: u64,
    /// The loop's queue.
    pub events: mpsc::Sender<LinkEvent>,
    /// Counters of what is sent and received.
    pub traffic: Traffic,
}

impl Link {
    /// Begins to search for the leader.
    pub(crate) fn start(search: LeaderSearch) -> Link {
        let (commands, received) = mpsc::channel(QUEUE_LENGTH);
        spawn_local(LinkTask::new(search).run(received));
        Link { commands }
    }

    /// Sends a message on a link. The message is dropped if that link has ended or the queue is full.
    pub(crate) fn send(&self, link: LinkId, message: ToControl) {
        let _ = self.commands.try_send((link, Command::Send(message)));
    }

    /// Closes a link and connects to the leader, or to the next member if the leader is unknown.
    pub(crate) fn switch(&self, link: LinkId, leader: Option<u32>) {
        let _ = self.commands.try_send((link, Command::Switch(leader)));
    }
}

/// Why a link ended.
enum LinkEnd {
    /// The loop has ended.
    Shutdown,
    /// Another member leads.
    Switched(Option<u32>),
    /// The link failed, or could not be established.
    Failed(FrameError),
}

/// The task that keeps the link up.
struct LinkTask {
    search: LeaderSearch,
    rng: fastrand::Rng,
    /// How long a member may take for the handshake.
    handshake_timeout: Duration,
    /// The longest delay between two attempts while this gateway may still have a permission to renew.
    max_delay_with_permission: Duration,
    /// The link that is in use or being established, or the last one.
    link: LinkId,
    /// The index of the member in use.
    current: usize,
    /// Whether the registration was renewed on the link in use.
    renewed_on_link: bool,
    /// Attempts since the last renewal, apart from a first switch to a known leader.
    failed_links: u32,
    /// Whether the last switch to a leader was made without a delay.
    switched_at_once: bool,
    renewed_at: Option<Instant>,
    /// The error last logged for each member since the last renewal.
    logged: BTreeMap<u64, String>,
}

impl LinkTask {
    fn new(mut search: LeaderSearch) -> LinkTask {
        let mut rng = fastrand::Rng::with_seed(search.seed);
        rng.shuffle(&mut search.members);
        let Timing {
            lease_us,
            renew_us,
            margin_us,
            ..
        } = search.timing;
        let slack = Duration::from_micros(lease_us.saturating_sub(renew_us + margin_us));
        LinkTask {
            search,
            rng,
            handshake_timeout: (slack / 4).clamp(MIN_HANDSHAKE_TIMEOUT, HANDSHAKE_TIMEOUT),
            max_delay_with_permission: (slack / 8).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
            link: LinkId(0),
            current: 0,
            renewed_on_link: false,
            failed_links: 0,
            switched_at_once: false,
            renewed_at: None,
            logged: BTreeMap::new(),
        }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<(LinkId, Command)>) {
        loop {
            self.link.0 += 1;
            let (member, address) = self.search.members[self.current];
            let LeaderSearch { own, traffic, .. } = &self.search;
            let end = match handshake(member, address, own, self.handshake_timeout, traffic).await {
                Ok(established) => {
                    self.renewed_on_link = false;
                    if self
                        .search
                        .events
                        .send(LinkEvent::Up(self.link))
                        .await
                        .is_err()
                    {
                        return;
                    }
                    let end = self.run_link(established, &mut commands).await;
                    let _ = self.search.events.send(LinkEvent::Down(self.link)).await;
                    end
                }
                Err(error) => LinkEnd::Failed(error),
            };
            if commands.is_closed() {
                return;
            }
            let delay = match end {
                LinkEnd::Shutdown => return,
                LinkEnd::Switched(leader) => self.switch_member(leader),
                LinkEnd::Failed(error) => {
                    self.log(member, &error);
                    self.next_member();
                    self.next_delay()
                }
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Sends and receives on a link until it ends.
    async fn run_link(
        &mut self,
        established: Established,
        commands: &mut mpsc::Receiver<(LinkId, Command)>,
    ) -> LinkEnd {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        loop {
            let message = tokio::select! {
                command = commands.recv() => match command {
                    None => return LinkEnd::Shutdown,
                    // For a link that has ended.
                    Some((link, _)) if link != self.link => continue,
                    Some((_, Command::Switch(leader))) => return LinkEnd::Switched(leader),
                    Some((_, Command::Send(message))) => message,
                },
                received = frames.next() => {
                    let message = match received {
                        Ok(Payload::ToGateway(message)) => message,
                        Ok(_) => return LinkEnd::Failed(FrameError::UnexpectedKind),
                        Err(error) => return LinkEnd::Failed(error),
                    };
                    if matches!(message, ToGateway::RegistrationRenewed { .. }) {
                        self.record_renewal();
                    }
                    if self.search.events.send(LinkEvent::Received(self.link, message)).await.is_err() {
                        return LinkEnd::Shutdown;
                    }
                    continue;
                }
            };
            let sent = match frame::encode_to_control(&message) {
                Ok(frame) => write(&mut link, &frame, &self.search.traffic).await,
                Err(error) => Err(error),
            };
            if let Err(error) = sent {
                return LinkEnd::Failed(error);
            }
        }
    }

    /// Records that the connected member renewed the registration, as only the leader does.
    fn record_renewal(&mut self) {
        if !std::mem::replace(&mut self.renewed_on_link, true) {
            info!(
                member = self.search.members[self.current].0,
                "control: link up"
            );
        }
        self.failed_links = 0;
        self.switched_at_once = false;
        self.renewed_at = Some(Instant::now());
        self.logged.clear();
    }

    fn next_member(&mut self) {
        self.current = (self.current + 1) % self.search.members.len();
    }

    /// Selects the leader, or the next member if the leader is unknown; returns the delay before it is dialled. The first
    /// switch to a known leader has none. If that member redirects as well, a delay follows, as the two members may name each
    /// other in turn.
    fn switch_member(&mut self, leader: Option<u32>) -> Duration {
        let index_of = |leader: u32| {
            self.search
                .members
                .iter()
                .position(|(id, _)| *id == u64::from(leader))
        };
        match leader.and_then(index_of) {
            Some(index) if index != self.current => {
                self.current = index;
                if !self.switched_at_once {
                    self.switched_at_once = true;
                    return Duration::ZERO;
                }
            }
            // The connected member was elected, and is about to begin its epoch.
            Some(_) => {}
            None => self.next_member(),
        }
        self.next_delay()
    }

    /// The next delay of an exponential backoff with jitter, which a renewal resets. It stays shorter than an election while
    /// this gateway may have a permission to renew, and grows up to [`MAX_RETRY_DELAY`] after that.
    fn next_delay(&mut self) -> Duration {
        let lease = Duration::from_micros(self.search.timing.lease_us);
        let may_have_permission = self.renewed_at.is_some_and(|at| at.elapsed() < lease);
        let longest = if may_have_permission {
            self.max_delay_with_permission
        } else {
            MAX_RETRY_DELAY
        };
        let delay = (MIN_RETRY_DELAY * (1 << self.failed_links.min(MAX_DOUBLINGS))).min(longest);
        self.failed_links += 1;
        self.switched_at_once = false;
        delay.mul_f64(0.5 + self.rng.f64())
    }

    /// Logs the error of a member's link, unless it is the same as the one last logged for this member.
    fn log(&mut self, member: u64, error: &FrameError) {
        let error = error.to_string();
        if self.logged.get(&member) != Some(&error) {
            warn!(member, "control: link down: {error}");
            self.logged.insert(member, error);
        }
    }
}

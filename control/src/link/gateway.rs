//! The one link of a gateway: to the control member that leads, found by asking the members in turn.
//!
//! The gateway dials a member, says hello and is served on that link. When the link breaks, or the member says that
//! another leads, the gateway goes to the one that it was told of, or to the next. Whether a member that says nothing is
//! given up is not decided here but by [`crate::versions::Client`], which knows when it asked.

use super::{handshake, write, Established, HANDSHAKE_TIMEOUT, RETRY_FIRST, RETRY_LONGEST};
use crate::frame::{self, BadFrame, Hello, Payload};
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

/// Commands for the link that may wait: a link that is up sends them at once.
const QUEUE: usize = 256;

/// The least time that a member has to say hello: below it a busy machine passes for a dead one.
const HANDSHAKE_LEAST: Duration = Duration::from_millis(200);

/// What the link tells the loop; each with the number of the link, counted from 1.
pub(crate) enum LinkEvent {
    /// A member serves this gateway on a new link.
    Up(u64),
    /// The member said something.
    Received(u64, ToGateway),
    /// The link has ended.
    Down(u64),
}

/// What the loop has the link do.
enum Command {
    Send(ToControl),
    /// Another member leads; this one, where it is known.
    Switch(Option<u32>),
}

/// The link, as the loop knows it.
pub(crate) struct Link {
    commands: mpsc::Sender<(u64, Command)>,
}

/// What a gateway needs to find the member that leads.
pub(crate) struct Search {
    /// The control members.
    pub members: Vec<(u64, SocketAddr)>,
    /// What is said first.
    pub own: Hello,
    /// How long rights last.
    pub timing: Timing,
    /// Decides which member is asked first, and the jitter of waits.
    pub seed: u64,
    /// To the loop.
    pub events: mpsc::Sender<LinkEvent>,
    /// Counts what is sent and received.
    pub traffic: Traffic,
}

impl Link {
    /// Begins to look for the member that leads.
    pub(crate) fn start(search: Search) -> Link {
        let (commands, received) = mpsc::channel(QUEUE);
        spawn_local(LinkTask::new(search).run(received));
        Link { commands }
    }

    /// Says something on a link; it is lost where that link has ended.
    pub(crate) fn send(&self, link: u64, message: ToControl) {
        let _ = self.commands.try_send((link, Command::Send(message)));
    }

    /// Leaves a link for the member that leads.
    pub(crate) fn switch(&self, link: u64, leader: Option<u32>) {
        let _ = self.commands.try_send((link, Command::Switch(leader)));
    }
}

/// Why a link ended.
enum End {
    /// The loop has ended.
    Over,
    /// Another member leads.
    Switched(Option<u32>),
    Broke(BadFrame),
}

/// The task that keeps the link.
struct LinkTask {
    search: Search,
    rng: fastrand::Rng,
    /// How long a member may take to say hello.
    handshake_timeout: Duration,
    /// The longest wait between two members while this gateway may still have a right to save.
    short_retry: Duration,
    /// The link in use, or used last.
    number: u64,
    /// The member in use, by its place.
    current: usize,
    /// Whether the link in use has brought a renewal.
    served: bool,
    /// Links in a row that brought no renewal.
    failed: u32,
    /// Whether the last change of members cost no wait.
    switched_at_once: bool,
    renewed_at: Option<Instant>,
    /// What was logged of each member since the last renewal.
    logged: BTreeMap<u64, String>,
}

impl LinkTask {
    fn new(mut search: Search) -> LinkTask {
        let mut rng = fastrand::Rng::with_seed(search.seed);
        rng.shuffle(&mut search.members);
        let Timing {
            lease_us,
            renew_us,
            margin_us,
            ..
        } = search.timing;
        let spare = Duration::from_micros(lease_us.saturating_sub(renew_us + margin_us));
        LinkTask {
            search,
            rng,
            handshake_timeout: (spare / 4).clamp(HANDSHAKE_LEAST, HANDSHAKE_TIMEOUT),
            short_retry: (spare / 8).clamp(RETRY_FIRST, RETRY_LONGEST),
            number: 0,
            current: 0,
            served: false,
            failed: 0,
            switched_at_once: false,
            renewed_at: None,
            logged: BTreeMap::new(),
        }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<(u64, Command)>) {
        loop {
            self.number += 1;
            let (member, address) = self.search.members[self.current];
            let Search { own, traffic, .. } = &self.search;
            let end = match handshake(member, address, own, self.handshake_timeout, traffic).await {
                Ok(established) => {
                    self.served = false;
                    if self
                        .search
                        .events
                        .send(LinkEvent::Up(self.number))
                        .await
                        .is_err()
                    {
                        return;
                    }
                    let end = self.exchange(established, &mut commands).await;
                    let _ = self.search.events.send(LinkEvent::Down(self.number)).await;
                    end
                }
                Err(fault) => End::Broke(fault),
            };
            if commands.is_closed() {
                return;
            }
            let wait = match end {
                End::Over => return,
                End::Switched(leader) => self.switched(leader),
                End::Broke(fault) => {
                    self.log(member, &fault);
                    self.next_member();
                    self.wait()
                }
            };
            tokio::time::sleep(wait).await;
        }
    }

    /// Speaks on a link until it ends.
    async fn exchange(
        &mut self,
        established: Established,
        commands: &mut mpsc::Receiver<(u64, Command)>,
    ) -> End {
        let Established {
            mut frames,
            write: mut link,
            ..
        } = established;
        loop {
            let message = tokio::select! {
                command = commands.recv() => match command {
                    None => return End::Over,
                    // Meant for a link that has ended.
                    Some((number, _)) if number != self.number => continue,
                    Some((_, Command::Switch(leader))) => return End::Switched(leader),
                    Some((_, Command::Send(message))) => message,
                },
                received = frames.next() => {
                    let message = match received {
                        Ok(Payload::ToGateway(message)) => message,
                        Ok(_) => return End::Broke(BadFrame::Unknown),
                        Err(fault) => return End::Broke(fault),
                    };
                    if matches!(message, ToGateway::RegistrationRenewed { .. }) {
                        self.renewed();
                    }
                    if self.search.events.send(LinkEvent::Received(self.number, message)).await.is_err() {
                        return End::Over;
                    }
                    continue;
                }
            };
            let sent = match frame::to_control(&message) {
                Ok(frame) => write(&mut link, &frame, &self.search.traffic).await,
                Err(fault) => Err(fault),
            };
            if let Err(fault) = sent {
                return End::Broke(fault);
            }
        }
    }

    /// The member that is connected leads: it has answered a heartbeat.
    fn renewed(&mut self) {
        if !std::mem::replace(&mut self.served, true) {
            info!(
                member = self.search.members[self.current].0,
                "control: link up"
            );
        }
        (self.failed, self.switched_at_once, self.renewed_at) = (0, false, Some(Instant::now()));
        self.logged.clear();
    }

    fn next_member(&mut self) {
        self.current = (self.current + 1) % self.search.members.len();
    }

    /// Goes to the member that leads, or to the next; how long to wait before it is dialled. The first change to a member
    /// that is known to lead costs no wait; if that one knows no better, waits keep the two from sending it to and fro.
    fn switched(&mut self, leader: Option<u32>) -> Duration {
        let place = |leader: u32| {
            self.search
                .members
                .iter()
                .position(|(id, _)| *id == u64::from(leader))
        };
        match leader.and_then(place) {
            Some(place) if place != self.current => {
                self.current = place;
                if !self.switched_at_once {
                    self.switched_at_once = true;
                    return Duration::ZERO;
                }
            }
            // It was elected and is about to begin.
            Some(_) => {}
            None => self.next_member(),
        }
        self.wait()
    }

    /// A jittered wait, longer after each link that brought no renewal: shorter than an election while this gateway may
    /// have a right to save, up to a second after that.
    fn wait(&mut self) -> Duration {
        let lease = Duration::from_micros(self.search.timing.lease_us);
        let may_have_right = self.renewed_at.is_some_and(|at| at.elapsed() < lease);
        let longest = if may_have_right {
            self.short_retry
        } else {
            RETRY_LONGEST
        };
        let wait = (RETRY_FIRST * (1 << self.failed.min(5))).min(longest);
        self.failed += 1;
        self.switched_at_once = false;
        wait.mul_f64(0.5 + self.rng.f64())
    }

    /// Logs what is wrong with a member, once.
    fn log(&mut self, member: u64, fault: &BadFrame) {
        let fault = fault.to_string();
        if self.logged.get(&member) != Some(&fault) {
            warn!(member, "control: link down: {fault}");
            self.logged.insert(member, fault);
        }
    }
}

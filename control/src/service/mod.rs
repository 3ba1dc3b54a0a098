//! The control plane of one process: the one place that talks to other gateways of the fleet.
//!
//! One loop on one thread of its own, beside the request path, owns the links, the store and the timers. The request path
//! never waits for it: it reads what it needs from a [`View`] that the loop publishes. The loop has up to two parts. A
//! control member (`member`) holds the log with the other members and serves gateways. A gateway (`gateway`) keeps its registration
//! at the member that leads. A process that votes and serves clients has both, and its gateway dials the members as any
//! other does, itself over loopback.

mod gateway;
mod member;

use crate::clock::Clock;
use crate::lease::{self, NodeIdentity};
use crate::link;
use crate::node::NodeError;
use crate::settings::Lease;
use crate::store::StoreError;
use crate::traffic::{Traffic, TrafficTotals};
use crate::versions::{self, Content, Topic};
use crate::Micros;
use gateway::Gateway;
use member::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tracing::{error, info, warn};
use xxhash_rust::xxh3::xxh3_64;

/// Why the control plane can't be had.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The store can't be opened, read or written.
    #[error("lease.store: {0}")]
    Store(#[from] StoreError),
    /// The address can't be listened on.
    #[error("lease.listen: {0}: {1}; choose an address of this machine that is free")]
    Listen(SocketAddr, std::io::Error),
    /// A control member was asked for where the settings make this process none.
    #[error("lease.me: {0} is no voter among peers; a control member has to be one")]
    NoVoter(u32),
    /// A control member has no address to listen on.
    #[error("lease.listen: is missing; the other control members and the gateways connect there")]
    NoListener,
    /// The consensus can't go on.
    #[error("lease: {0}")]
    Node(#[from] NodeError),
    /// The loop can't be started.
    #[error("lease: no thread for the control plane: {0}")]
    Thread(std::io::Error),
}

/// What the request path may know of what is agreed, as it was a moment ago.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This gateway's right to act on what has versions.
    right: Option<versions::Permission>,
    /// How many gateways have a registration.
    pub registrations: u32,
    /// The versions in force.
    in_force: BTreeMap<Topic, u64>,
    /// Whether this process is the control member that leads.
    pub leads: bool,
}

impl View {
    /// The version of a topic to act on at a time, with the token that goes with the action.
    pub fn acting(&self, topic: Topic, now: Micros) -> Option<(u64, lease::Token)> {
        Some((*self.in_force.get(&topic)?, self.permission(now)?.token))
    }

    /// This gateway's right, where it still runs.
    pub fn permission(&self, now: Micros) -> Option<versions::Permission> {
        self.right.filter(|right| right.is_valid(now))
    }
}

/// What the program asks of the loop.
pub enum ControlRequest {
    /// Offer a version to the fleet.
    ProposeVersion(Topic, Content),
    /// A version was judged.
    Validated(Topic, u64, Result<(), String>),
    /// Actions were begun under a version.
    Acted(Topic, u64, u64),
    /// The gateway drains: give back what is held.
    Drain,
}

type Published = Arc<Mutex<Arc<View>>>;

/// Speaks to the loop.
pub struct Handle {
    requests: mpsc::UnboundedSender<ControlRequest>,
    view: Published,
    traffic: Traffic,
}

impl Handle {
    /// Requests something of the loop; it is dropped where the loop has ended.
    pub fn request(&self, request: ControlRequest) {
        let _ = self.requests.send(request);
    }

    /// What is agreed, as it was a moment ago; the lock is held for a copy of a pointer alone.
    pub fn view(&self) -> Arc<View> {
        self.view
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// What this process has sent and received as a gateway; a control member logs what it has as one.
    pub fn traffic(&self) -> TrafficTotals {
        self.traffic.totals()
    }
}

/// What the loop asks of the program, or tells it.
#[derive(Debug)]
pub enum ControlEvent {
    /// Judge a version, and answer with [`ControlRequest::Validated`].
    Validate(Topic, u64, Content),
    /// A version is in force.
    Activated(Topic, u64),
}

/// Starts the loop of a gateway on a thread of its own; where the settings let it vote, it is a control member as well.
///
/// # Errors
///
/// [`PeerError`], where the log cannot be opened, or the listener cannot be bound.
pub fn start(asked: &Lease, clock: Clock) -> Result<(Handle, Receiver<ControlEvent>), PeerError> {
    begin(asked, clock, true)
}

/// Starts the loop of a control member that serves no clients of its own: it has no registration and acts on no version.
///
/// # Errors
///
/// [`PeerError`], where the log cannot be opened, or the listener cannot be bound.
pub fn start_member(asked: &Lease, clock: Clock) -> Result<Handle, PeerError> {
    if !asked.votes() {
        return Err(PeerError::NoVoter(asked.me));
    }
    begin(asked, clock, false).map(|(handle, _)| handle)
}

fn begin(
    asked: &Lease,
    clock: Clock,
    registered: bool,
) -> Result<(Handle, Receiver<ControlEvent>), PeerError> {
    // A number of its own for this incarnation: what an earlier one asked for is not this one's.
    let me = NodeIdentity {
        gateway: asked.me,
        incarnation: fastrand::u32(1..),
    };
    let traffic = Traffic::default();
    let member = if asked.votes() {
        let listen = asked.listen.ok_or(PeerError::NoListener)?;
        let member = Member::open(asked, clock, me)?;
        let listener = std::net::TcpListener::bind(listen)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .map_err(|fault| PeerError::Listen(listen, fault))?;
        Some((member, listener))
    } else {
        if !asked.duties.is_empty() {
            warn!("lease.duties: not held here: duties are held by control members (voters) only");
        }
        None
    };
    let (requests, requested) = mpsc::unbounded_channel();
    let (notices, noticed) = std::sync::mpsc::channel();
    let view = Published::default();
    let handle = Handle {
        requests,
        view: view.clone(),
        traffic: traffic.clone(),
    };
    let plan = Plan {
        asked: asked.clone(),
        clock,
        me,
        registered,
        traffic,
    };
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let ended = runtime.map_err(PeerError::Thread).and_then(|runtime| {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, plan.run(member, notices, view.clone(), requested))
        });
        // Clients are served on without the control plane; what depends on it stops with the right.
        *view.lock().unwrap_or_else(PoisonError::into_inner) = Arc::default();
        if let Err(fault) = ended {
            error!("{fault}");
        }
    };
    let thread = std::thread::Builder::new().name(format!("control-{}", asked.me));
    thread.spawn(run).map_err(PeerError::Thread)?;
    Ok((handle, noticed))
}

/// The same at every gateway of a fleet: who votes, and how long rights last. One that waits for a shorter time than another
/// acts would take its registration too early.
fn digest(asked: &Lease) -> u64 {
    let mut voters: Vec<u32> = asked.voters().map(|peer| peer.id).collect();
    voters.sort_unstable();
    xxh3_64(format!("{voters:?} {:?}", asked.timing()).as_bytes())
}

/// The next event of the links of a part, for ever awaited where there is no such part.
async fn next_event<T>(events: &mut Option<mpsc::Receiver<T>>) -> T {
    if let Some(events) = events {
        if let Some(event) = events.recv().await {
            return event;
        }
    }
    std::future::pending().await
}

/// The next tick of the consensus, where there is one.
async fn tick(ticks: &mut Option<tokio::time::Interval>) {
    match ticks {
        Some(ticks) => drop(ticks.tick().await),
        None => std::future::pending().await,
    }
}

/// What a loop is started with.
struct Plan {
    asked: Lease,
    clock: Clock,
    me: NodeIdentity,
    /// Whether this process has a registration.
    registered: bool,
    traffic: Traffic,
}

impl Plan {
    async fn run(
        self,
        member: Option<(Member, std::net::TcpListener)>,
        notices: Sender<ControlEvent>,
        view: Published,
        requested: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> Result<(), PeerError> {
        let Plan {
            asked,
            clock,
            me,
            registered,
            traffic,
        } = self;
        let (mut from_members, mut ticks) = (None, None);
        let member = match member {
            Some((mut member, listener)) => {
                from_members = Some(member.link_up(listener)?);
                ticks = Some(member::ticks(&asked.timing()));
                Some(member)
            }
            None => None,
        };
        let (mut from_control, mut gateway) = (None, None);
        if registered {
            let (events, received) = mpsc::channel(link::EVENT_QUEUE_LENGTH);
            from_control = Some(received);
            gateway = Some(Gateway::start(&asked, clock, me, notices, events, traffic));
        }
        let parts = Parts {
            clock,
            member,
            gateway,
            view,
        };
        info!(
            at = clock.now(),
            gateway = me.gateway,
            incarnation = me.incarnation,
            "log: started"
        );
        parts
            .run(ticks, from_members, from_control, requested)
            .await
    }
}

/// The loop's own.
struct Parts {
    clock: Clock,
    member: Option<Member>,
    gateway: Option<Gateway>,
    view: Published,
}

impl Parts {
    async fn run(
        mut self,
        mut ticks: Option<tokio::time::Interval>,
        mut from_members: Option<mpsc::Receiver<link::accept::LinkEvent>>,
        mut from_control: Option<mpsc::Receiver<link::gateway::LinkEvent>>,
        mut requested: mpsc::UnboundedReceiver<ControlRequest>,
    ) -> Result<(), PeerError> {
        let mut requests_come = true;
        loop {
            self.settle()?;
            let wake = self
                .gateway
                .as_ref()
                .map_or(Duration::MAX, |gateway| gateway.sleeps(self.clock.now()));
            tokio::select! {
                () = tick(&mut ticks) => {
                    if let Some(member) = &mut self.member {
                        member.tick()?;
                    }
                }
                () = tokio::time::sleep(wake) => {
                    if let Some(gateway) = &mut self.gateway {
                        gateway.handle(versions::client::Event::Tick);
                    }
                }
                event = next_event(&mut from_members) => self.on_member_event(event)?,
                event = next_event(&mut from_control) => self.on_gateway_event(event),
                request = requested.recv(), if requests_come => match request {
                    Some(request) => self.on_request(request)?,
                    None => requests_come = false,
                },
            }
            // Whatever else has come is taken along: one write to the disk serves all of it.
            while let Some(event) = from_members
                .as_mut()
                .and_then(|events| events.try_recv().ok())
            {
                self.on_member_event(event)?;
            }
            while let Some(event) = from_control
                .as_mut()
                .and_then(|events| events.try_recv().ok())
            {
                self.on_gateway_event(event);
            }
        }
    }

    fn on_member_event(&mut self, event: link::accept::LinkEvent) -> Result<(), PeerError> {
        self.member
            .as_mut()
            .map_or(Ok(()), |member| member.on_link_event(event))
    }

    fn on_gateway_event(&mut self, event: link::gateway::LinkEvent) {
        if let Some(gateway) = &mut self.gateway {
            gateway.on_link_event(event);
        }
    }

    fn on_request(&mut self, request: ControlRequest) -> Result<(), PeerError> {
        use versions::client::Event;
        let event = match request {
            ControlRequest::ProposeVersion(topic, content) => {
                Event::ProposeVersion { topic, content }
            }
            ControlRequest::Validated(topic, number, result) => Event::Validated {
                topic,
                number,
                result,
            },
            ControlRequest::Acted(topic, number, count) => Event::Acted {
                topic,
                number,
                count,
            },
            ControlRequest::Drain => Event::Drain,
        };
        if event == Event::Drain {
            if let Some(member) = &mut self.member {
                member.drain()?;
            }
        }
        if let Some(gateway) = &mut self.gateway {
            gateway.handle(event);
        }
        Ok(())
    }

    /// Has all that is ready stored, sent and applied, and publishes what follows.
    fn settle(&mut self) -> Result<(), PeerError> {
        let mut view = View::default();
        if let Some(member) = &mut self.member {
            member.settle()?;
            view.leads = member.leads();
        }
        if let Some(gateway) = &self.gateway {
            let client = gateway.client();
            view.right = client.permission(self.clock.now());
            view.registrations = client.registrations();
            view.in_force = client.active_versions().collect();
        }
        *self.view.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
        Ok(())
    }
}

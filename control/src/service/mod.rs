//! The control plane of one process: runs the state machines of this crate on links, a store and timers.
//!
//! One loop owns all of these, on a thread of its own beside the request path. The request path never waits for the loop: it
//! reads the [`View`] that the loop publishes, and sends the loop a [`ControlRequest`]. The loop has up to two parts. A
//! control member (`member`) replicates the log with the other members and serves gateways. A gateway (`gateway`) keeps its
//! registration at the leading member. A process that votes and serves clients has both parts, and its gateway connects to
//! the members like any other gateway, to its own member over loopback. `run` is the loop.

mod gateway;
mod member;
mod run;
mod served;

use crate::clock::Clock;
use crate::lease::{self, NodeIdentity};
use crate::node::NodeError;
use crate::settings::ControlSettings;
use crate::store::StoreError;
use crate::traffic::{Traffic, TrafficTotals};
use crate::versions::{self, Content, Topic};
use crate::Micros;
use member::Member;
use run::Startup;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;
use tracing::{error, warn};
use xxhash_rust::xxh3::xxh3_64;

/// Why the control plane did not start, or ended. The text begins with the key of the setting to look at.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The store cannot be opened, read or written.
    #[error("lease.store: {0}")]
    Store(#[from] StoreError),
    /// The address cannot be listened on.
    #[error("lease.listen: cannot listen on {0}: {1}; choose a free address of this machine")]
    Listen(SocketAddr, std::io::Error),
    /// The settings do not make this process a voter, as a control member has to be; holds its number in the fleet.
    #[error("lease.me: {0} is not a voter in lease.peers; set the number of a voter, or run this file with `asterreel run`")]
    NoVoter(u32),
    /// The settings of a control member have no address to listen on.
    #[error("lease.listen: is missing; set the address on which this member accepts control members and gateways")]
    NoListener,
    /// The Raft node failed.
    #[error("lease: {0}")]
    Node(#[from] NodeError),
    /// The thread of the loop, or its runtime, cannot be started.
    #[error("lease: cannot start the control plane's thread: {0}; check the limits on threads and open files")]
    Thread(std::io::Error),
}

/// The state of the control plane as the loop last published it, for the request path.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// This gateway's permission to act, which may have ended.
    permission: Option<versions::Permission>,
    /// How many gateways were registered when this one's registration was last renewed.
    pub registrations: u32,
    /// The numbers of the active versions.
    active_versions: BTreeMap<Topic, u64>,
    /// Whether this process is the leading control member.
    pub leads: bool,
}

impl View {
    /// The version of a topic to act on at `now`, microseconds on the clock of the loop, and the action's fencing token.
    pub fn usable_version(&self, topic: Topic, now: Micros) -> Option<(u64, lease::Token)> {
        Some((
            *self.active_versions.get(&topic)?,
            self.permission(now)?.token,
        ))
    }

    /// This gateway's permission to act, unless it has ended.
    pub fn permission(&self, now: Micros) -> Option<versions::Permission> {
        self.permission
            .filter(|permission| permission.is_valid(now))
    }
}

/// A request of the program to the loop.
pub enum ControlRequest {
    /// Propose a version to the fleet.
    ProposeVersion(Topic, Content),
    /// A version was validated: its topic and number, and if it is invalid, why.
    Validated(Topic, u64, Result<(), String>),
    /// Actions began under a version: its topic and number, and how many.
    Acted(Topic, u64, u64),
    /// Graceful shutdown: give up leases, the registration and the leadership.
    Drain,
}

/// The published view. A poisoned lock can still be used: a view is replaced as one pointer and is never half written.
#[derive(Clone, Default)]
struct SharedView(Arc<Mutex<Arc<View>>>);

impl SharedView {
    /// The current view. The lock is held only while a pointer is copied.
    fn load(&self) -> Arc<View> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn store(&self, view: View) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}

/// The program's handle to the loop.
pub struct Handle {
    requests: mpsc::UnboundedSender<ControlRequest>,
    view: SharedView,
    traffic: Traffic,
}

impl Handle {
    /// Sends the loop a request, which is dropped if the loop has ended.
    pub fn request(&self, request: ControlRequest) {
        let _ = self.requests.send(request);
    }

    /// The last view that the loop published; never waits for the loop.
    pub fn view(&self) -> Arc<View> {
        self.view.load()
    }

    /// What this process has sent and received as a gateway. A control member logs its own traffic.
    pub fn traffic(&self) -> TrafficTotals {
        self.traffic.totals()
    }
}

/// An event of the loop for the program.
#[derive(Debug)]
pub enum ControlEvent {
    /// Validate a version, by topic and number, and answer with [`ControlRequest::Validated`].
    Validate(Topic, u64, Content),
    /// A version is active: its topic and number.
    Activated(Topic, u64),
}

/// Starts the loop of a gateway on a thread of its own. If the settings make it a voter, it is a control member as well.
///
/// # Errors
///
/// [`ControlError`] if the store cannot be opened or the listener cannot be bound.
pub fn start(
    settings: &ControlSettings,
    clock: Clock,
) -> Result<(Handle, Receiver<ControlEvent>), ControlError> {
    start_loop(settings, clock, true)
}

/// Starts the loop of a control member that serves no clients: it has no registration and acts on no version.
///
/// # Errors
///
/// [`ControlError`] if the settings do not make this process a voter, the store cannot be opened or the listener cannot be
/// bound.
pub fn start_member(settings: &ControlSettings, clock: Clock) -> Result<Handle, ControlError> {
    if !settings.is_voter() {
        return Err(ControlError::NoVoter(settings.me));
    }
    start_loop(settings, clock, false).map(|(handle, _)| handle)
}

fn start_loop(
    settings: &ControlSettings,
    clock: Clock,
    registers: bool,
) -> Result<(Handle, Receiver<ControlEvent>), ControlError> {
    // A new incarnation for each start: what an earlier process of this gateway was granted is not valid for this one.
    let me = NodeIdentity {
        gateway: settings.me,
        incarnation: fastrand::u32(1..),
    };
    let traffic = Traffic::default();
    let member = open_member(settings, clock, me)?;
    let (requests, received_requests) = mpsc::unbounded_channel();
    let (events, received_events) = std::sync::mpsc::channel();
    let view = SharedView::default();
    let handle = Handle {
        requests,
        view: view.clone(),
        traffic: traffic.clone(),
    };
    let startup = Startup {
        settings: settings.clone(),
        clock,
        me,
        registers,
        traffic,
    };
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let result = runtime.map_err(ControlError::Thread).and_then(|runtime| {
            let local = tokio::task::LocalSet::new();
            let run = startup.run(member, events, view.clone(), received_requests);
            local.block_on(&runtime, run)
        });
        // The gateway goes on serving clients without the control plane. The empty view ends what needs a permission.
        view.store(View::default());
        if let Err(error) = result {
            error!("{error}");
        }
    };
    let thread = std::thread::Builder::new().name(format!("control-{}", settings.me));
    thread.spawn(run).map_err(ControlError::Thread)?;
    Ok((handle, received_events))
}

/// Opens the store and the listener of a voter; `None` for a process that does not vote.
fn open_member(
    settings: &ControlSettings,
    clock: Clock,
    me: NodeIdentity,
) -> Result<Option<(Member, TcpListener)>, ControlError> {
    if !settings.is_voter() {
        if !settings.duties.is_empty() {
            let duties = settings.duties.join(", ");
            warn!("lease.duties: {duties}: no effect here, as only control members (voters) hold duties");
        }
        return Ok(None);
    }
    let address = settings.listen.ok_or(ControlError::NoListener)?;
    let member = Member::open(settings, clock, me)?;
    let listener = TcpListener::bind(address)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .map_err(|error| ControlError::Listen(address, error))?;
    Ok(Some((member, listener)))
}

/// A digest of the voters and the lease times, which must be the same in all processes of a fleet: a leader that waits for
/// less than a gateway's lease would let registrations expire too early.
fn fleet_digest(settings: &ControlSettings) -> u64 {
    let mut voters: Vec<u32> = settings.voters().map(|peer| peer.id).collect();
    voters.sort_unstable();
    xxh3_64(format!("{voters:?} {:?}", settings.timing()).as_bytes())
}

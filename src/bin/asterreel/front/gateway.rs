//! State that all sessions share: the router, the pool, the classes of requests, limits, and the state of a drain.
//!
//! No lock here is held across a wait.

use super::mailbox::Mailbox;
use super::open_requests::OpenRequests;
use super::sessions::{RegisteredSession, Sessions};
use crate::cells::Cells;
use crate::core::Core;
use crate::request::pool::Pool;
use crate::runtime::sync::lock;
use asterreel::health::Capacity;
use asterreel::interface::{ClassId, ConsistencyLevel, Idempotency, Micros, Settings};
use asterreel::readmission::{Answer, Readmission};
use asterreel::settings::Setup;
use may::io::WaitIoWaker;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Limits on the clients of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientLimits {
    /// How many sessions may be open.
    pub max_sessions: usize,
    /// How many sessions may have completed their opening, and how many requests may be open.
    pub max_served: usize,
}

impl ClientLimits {
    /// Descriptors of the process for each session that has completed its opening: besides its own connection, each of
    /// its requests needs a connection to a server.
    const DESCRIPTORS_PER_SERVED_SESSION: usize = 3;

    /// The limits of a process that may open `all_descriptors`, of which clients may hold `max_sessions`.
    pub(crate) fn new(max_sessions: usize, all_descriptors: usize) -> ClientLimits {
        ClientLimits {
            max_sessions,
            max_served: all_descriptors / ClientLimits::DESCRIPTORS_PER_SERVED_SESSION,
        }
    }
}

/// The settings of a class of requests that sessions use.
pub(super) struct Class {
    /// The class's index in [`Settings::classes`](asterreel::interface::Settings::classes).
    pub id: ClassId,
    name: String,
    /// Whether requests of the class write, and otherwise how recent the data that they read must be.
    pub consistency: ConsistencyLevel,
    /// Whether running one of its requests more than once does harm.
    pub idempotency: Idempotency,
    /// The longest time that one of its requests may wait for its answer.
    pub max_wait: Micros,
}

/// The state that all sessions share.
pub(crate) struct Gateway {
    /// The router, and what its actions reach.
    pub core: Arc<Core>,
    /// Connections to servers.
    pub pool: Arc<Pool>,
    /// The classes of requests, by number.
    classes: Vec<Class>,
    /// Admits the requests of tenants to the groups of their cells, where the operator's file configures cells.
    pub(super) cells: Option<Cells>,
    /// The limits on sessions and requests.
    pub(super) limits: ClientLimits,
    draining: AtomicBool,
    /// When the last answer must have been sent; `Micros::MAX` until a drain sets it.
    last_answer_at: AtomicU64,
    /// The sessions that are open.
    pub(super) sessions: Sessions,
    /// The client-assigned ids of open requests.
    pub(super) open_requests: OpenRequests,
    /// Paces the admission of new clients, where the operator's file configures it.
    admission_pacing: Mutex<Option<Readmission>>,
}

impl Gateway {
    /// A gateway without sessions.
    pub(crate) fn new(
        core: Arc<Core>,
        pool: Arc<Pool>,
        setup: &Setup,
        settings: &Settings,
        limits: ClientLimits,
        cells: Option<Cells>,
    ) -> Gateway {
        let classes = setup
            .profiles
            .iter()
            .zip(&settings.consistency_levels)
            .zip(&settings.classes);
        let classes = classes
            .enumerate()
            .map(|(number, ((profile, consistency), class))| Class {
                id: ClassId(number),
                name: profile.name.clone(),
                consistency: *consistency,
                idempotency: class.idempotency,
                max_wait: class.deadline,
            });
        Gateway {
            core,
            pool,
            classes: classes.collect(),
            cells,
            limits,
            draining: AtomicBool::new(false),
            last_answer_at: AtomicU64::new(Micros::MAX),
            sessions: Sessions::default(),
            open_requests: OpenRequests::default(),
            admission_pacing: Mutex::default(),
        }
    }

    /// Admits new clients at this pace from now on.
    pub(crate) fn set_admission_pacing(&self, pacing: Readmission) {
        *lock(&self.admission_pacing) = Some(pacing);
    }

    /// Sets the number of gateways among which the fleet's admission rate is divided.
    pub(crate) fn set_fleet_size(&self, gateways: u32) {
        if let Some(pacing) = lock(&self.admission_pacing).as_mut() {
            pacing.set_gateway_count(gateways);
        }
    }

    /// Whether a new client at this address is admitted now; without admission pacing every client is.
    pub(super) fn pace_admission(&self, from: IpAddr) -> Answer {
        match lock(&self.admission_pacing).as_mut() {
            Some(pacing) => pacing.arrive(self.core.clock.now(), from),
            None => Answer::Admit,
        }
    }

    /// How many requests have arrived since the process started.
    pub(crate) fn request_count(&self) -> u64 {
        self.core.request_count()
    }

    /// Limits the deadlines of requests that are admitted from now on to `at`: the process may be killed soon after,
    /// and requests that were still open would get no answer.
    pub(crate) fn set_last_answer_at(&self, at: Micros) {
        self.last_answer_at.store(at, Ordering::Release);
    }

    /// When the last answer must have been sent; `Micros::MAX` before a drain.
    pub(super) fn last_answer_at(&self) -> Micros {
        self.last_answer_at.load(Ordering::Acquire)
    }

    /// Starts a drain: connections are closed between requests from now on.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.sessions.wake_all();
    }

    /// Whether a drain has started, so that connections are closed between requests.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The class of this name.
    pub(super) fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// How many sessions are open.
    pub(crate) fn open_sessions(&self) -> usize {
        self.sessions.count()
    }

    /// How much of the capacity for clients is in use; `None` where a lock is held, as this never waits.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        Some(Capacity {
            sessions: self.sessions.try_count()?,
            max_sessions: self.limits.max_sessions,
            requests: self.open_requests.try_count()?,
            max_requests: self.limits.max_served,
        })
    }

    /// Whether the limit on open sessions is reached.
    pub(super) fn is_full(&self) -> bool {
        self.open_sessions() >= self.limits.max_sessions
    }

    /// Registers a new session, which this waker wakes.
    pub(super) fn register(&self, waker: WaitIoWaker) -> RegisteredSession {
        self.sessions
            .register(|| Mailbox::new(waker, self.core.clock.now(), self.core.commands.clone()))
    }
}

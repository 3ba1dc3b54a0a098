//! What all sessions share: the router, the pool, the classes of requests, limits, and the state of a drain.
//!
//! No lock here is held over a wait.

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

/// How many clients a gateway may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientLimits {
    /// How many sessions may be open.
    pub max_sessions: usize,
    /// How many sessions past their opening and how many requests there may be.
    pub max_served: usize,
}

impl ClientLimits {
    /// The part of all descriptors that sessions past their opening may hold: each of their requests needs a connection
    /// to a server as well.
    const DESCRIPTORS_PER_SERVED: usize = 3;

    /// The limits of a process with so many descriptors, of which clients may hold `max_sessions`.
    pub(crate) fn new(max_sessions: usize, all_descriptors: usize) -> ClientLimits {
        ClientLimits {
            max_sessions,
            max_served: all_descriptors / ClientLimits::DESCRIPTORS_PER_SERVED,
        }
    }
}

/// What a session needs to know of a class of requests.
pub(super) struct Class {
    /// Its number.
    pub id: ClassId,
    name: String,
    /// What data its requests need.
    pub consistency: ConsistencyLevel,
    /// What repeating its requests does.
    pub idempotency: Idempotency,
    /// The longest wait of its requests.
    pub deadline: Micros,
}

/// What all sessions share.
pub(crate) struct Gateway {
    /// The router.
    pub core: Arc<Core>,
    /// Connections to servers.
    pub pool: Arc<Pool>,
    /// The classes of requests, by number.
    classes: Vec<Class>,
    /// Which tenants may reach which groups, where the operator's file says so.
    pub(super) cells: Option<Cells>,
    /// How many clients may be connected and served.
    pub(super) limits: ClientLimits,
    draining: AtomicBool,
    /// When the last answer must have been sent, once that is known.
    last_answer_at: AtomicU64,
    /// The sessions that are open.
    pub(super) sessions: Sessions,
    /// The ids by which clients name the requests that are open.
    pub(super) open_requests: OpenRequests,
    /// Admission pacing of new clients, where the operator configures it.
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
                deadline: class.deadline,
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

    /// From now on new clients are admitted at this pace.
    pub(crate) fn set_admission_pacing(&self, pacing: Readmission) {
        *lock(&self.admission_pacing) = Some(pacing);
    }

    /// Sets how many gateways share the number of clients that the fleet may admit.
    pub(crate) fn set_fleet_size(&self, gateways: u32) {
        if let Some(pacing) = lock(&self.admission_pacing).as_mut() {
            pacing.set_gateway_count(gateways);
        }
    }

    /// Whether a new client at this address is admitted now; without admission pacing each is.
    pub(super) fn pace_admission(&self, from: IpAddr) -> Answer {
        match lock(&self.admission_pacing).as_mut() {
            Some(pacing) => pacing.arrive(self.core.clock.now(), from),
            None => Answer::Admit,
        }
    }

    /// How many requests arrived since the start.
    pub(crate) fn requests(&self) -> u64 {
        self.core.requests()
    }

    /// From now on no request is waited for any longer than this: the process may be killed soon after, and
    /// what it had accepted by then would be lost.
    pub(crate) fn set_last_answer_at(&self, at: Micros) {
        self.last_answer_at.store(at, Ordering::Release);
    }

    /// When the last answer must have been sent.
    pub(super) fn last_answer_at(&self) -> Micros {
        self.last_answer_at.load(Ordering::Acquire)
    }

    /// Starts the draining: from now on connections are closed between requests.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.sessions.wake_all();
    }

    /// Whether connections are closed between requests.
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

    /// How much of the capacity for clients is in use; nothing where a lock is held, as this never waits.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        Some(Capacity {
            sessions: self.sessions.try_count()?,
            max_sessions: self.limits.max_sessions,
            requests: self.open_requests.try_count()?,
            max_requests: self.limits.max_served,
        })
    }

    /// Whether no more sessions may be opened.
    pub(super) fn is_full(&self) -> bool {
        self.open_sessions() >= self.limits.max_sessions
    }

    /// Registers a new session that is woken by this waker, and numbers it.
    pub(super) fn register(&self, waker: WaitIoWaker) -> RegisteredSession {
        self.sessions
            .register(|| Mailbox::new(waker, self.core.clock.now(), self.core.commands.clone()))
    }
}

//! What all sessions share, and the registry of those that are open.
//!
//! No lock here is held over a wait.

use super::mailbox::{Mailbox, SessionEvent};
use crate::cells::Cells;
use crate::core::Core;
use crate::postgres as pg;
use crate::request::pool::Pool;
use asterreel::health::Capacity;
use asterreel::interface::{ClassId, ConsistencyLevel, Idempotency, Micros, Settings};
use asterreel::readmission::{Answer, Readmission};
use asterreel::settings::Setup;
use may::io::WaitIoWaker;
use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// What a session needs to know of a class of requests.
pub(super) struct Class {
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
    /// How many sessions may be open.
    pub(super) max_sessions: usize,
    /// How many sessions past their opening and how many requests there may be: each request needs a connection to a
    /// server as well.
    pub(super) max_served: usize,
    draining: AtomicBool,
    /// When the last answer must have been sent, once that is known.
    last_answer_at: AtomicU64,
    sessions: Mutex<BTreeMap<u32, Arc<Mailbox>>>,
    /// The ids by which clients name the requests that are open.
    open_requests: Mutex<HashSet<Vec<u8>>>,
    next_session: AtomicU32,
    /// Derives the secrets that let clients cancel: seeded by the system, different in each process.
    secrets: RandomState,
    /// Wakes the coroutine that accepts clients.
    accept_waker: Mutex<Option<WaitIoWaker>>,
    /// Admission pacing of new clients, where the operator configures it.
    readmission: Mutex<Option<Readmission>>,
}

impl Gateway {
    /// A gateway of at most `max_sessions` sessions; `max_sockets` is the descriptor limit of the process.
    pub(crate) fn new(
        core: Arc<Core>,
        pool: Arc<Pool>,
        setup: &Setup,
        settings: &Settings,
        max_sessions: usize,
        max_sockets: usize,
        cells: Option<Cells>,
    ) -> Gateway {
        let classes = setup
            .profiles
            .iter()
            .zip(&settings.consistency_levels)
            .zip(&settings.classes);
        let classes = classes.map(|((profile, consistency), class)| Class {
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
            max_sessions,
            max_served: max_sockets / 3,
            draining: AtomicBool::new(false),
            last_answer_at: AtomicU64::new(Micros::MAX),
            sessions: Mutex::default(),
            open_requests: Mutex::default(),
            next_session: AtomicU32::new(0),
            secrets: RandomState::new(),
            accept_waker: Mutex::default(),
            readmission: Mutex::default(),
        }
    }

    /// From now on new clients are admitted at this pace.
    pub(crate) fn set_admission_pacing(&self, readmission: Readmission) {
        *self
            .readmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(readmission);
    }

    /// Sets how many gateways share the number of clients that the fleet may admit.
    pub(crate) fn set_fleet_size(&self, gateways: u32) {
        let mut readmission = self
            .readmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        readmission
            .iter_mut()
            .for_each(|readmission| readmission.share(gateways));
    }

    /// Whether a new client at this address is admitted now; without admission pacing each is.
    pub(super) fn pace_admission(&self, from: IpAddr) -> Answer {
        let mut readmission = self
            .readmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let readmission = readmission.as_mut();
        readmission.map_or(Answer::Admit, |readmission| {
            readmission.arrive(self.core.clock.now(), from)
        })
    }

    /// How many requests arrived since the start.
    pub(crate) fn requests(&self) -> u64 {
        self.core.requests()
    }

    pub(super) fn with_sessions<T>(
        &self,
        work: impl FnOnce(&mut BTreeMap<u32, Arc<Mailbox>>) -> T,
    ) -> T {
        work(&mut self.sessions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn with_open_requests<T>(&self, work: impl FnOnce(&mut HashSet<Vec<u8>>) -> T) -> T {
        work(
            &mut self
                .open_requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
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
        self.with_sessions(|sessions| sessions.values().for_each(|mailbox| mailbox.waker.wakeup()));
    }

    /// Whether connections are closed between requests.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The number of a class, and what is known of it.
    pub(super) fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let number = self.classes.iter().position(|class| class.name == name)?;
        Some((ClassId(number), &self.classes[number]))
    }

    /// How many sessions are open.
    pub(crate) fn open_sessions(&self) -> usize {
        self.with_sessions(|sessions| sessions.len())
    }

    /// How much of the capacity for clients is in use; nothing where a lock is held, as this never waits.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        Some(Capacity {
            sessions: self.sessions.try_lock().ok()?.len(),
            max_sessions: self.max_sessions,
            requests: self.open_requests.try_lock().ok()?.len(),
            max_requests: self.max_served,
        })
    }

    /// Whether no more sessions may be opened.
    pub(super) fn is_full(&self) -> bool {
        self.open_sessions() >= self.max_sessions
    }

    /// From now on this waker is used whenever a session has ended.
    pub(super) fn set_accept_waker(&self, waker: WaitIoWaker) {
        *self
            .accept_waker
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(waker);
    }

    /// Registers a new session that is woken by this waker, and numbers it.
    pub(super) fn register(&self, waker: WaitIoWaker) -> (u32, Arc<Mailbox>) {
        let number = self.next_session.fetch_add(1, Ordering::Relaxed);
        let mailbox = Arc::new(Mailbox::new(
            waker,
            self.core.clock.now(),
            self.core.commands.clone(),
        ));
        self.with_sessions(|sessions| sessions.insert(number, mailbox.clone()));
        (number, mailbox)
    }

    /// The cancel key of a session; no key can be derived from another.
    pub(super) fn cancel_key(&self, session: u32) -> pg::CancelKey {
        pg::CancelKey {
            session,
            secret: self.secrets.hash_one(session) as u32,
        }
    }

    /// Cancels what the session with this key is doing, if it is doing something; a wrong key does nothing.
    pub(super) fn cancel(&self, key: pg::CancelKey) {
        if key == self.cancel_key(key.session) {
            let mailbox = self.with_sessions(|sessions| sessions.get(&key.session).cloned());
            mailbox
                .iter()
                .for_each(|mailbox| mailbox.post(SessionEvent::CancelRequested));
        }
    }

    /// Removes a session that has ended; the next client is accepted at once.
    pub(super) fn session_ended(&self, number: u32) {
        self.with_sessions(|sessions| sessions.remove(&number));
        if let Some(waker) = self
            .accept_waker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
        {
            waker.wakeup();
        }
    }
}

/// The id of an open request, which is free again once this is dropped.
pub(super) struct OpenRequestId {
    gateway: Arc<Gateway>,
    id: Vec<u8>,
}

impl OpenRequestId {
    /// Reserves an id; nothing where an open request has it.
    pub(super) fn reserve(gateway: &Arc<Gateway>, id: &[u8]) -> Option<OpenRequestId> {
        let is_free = gateway.with_open_requests(|open| open.insert(id.to_vec()));
        is_free.then(|| OpenRequestId {
            gateway: gateway.clone(),
            id: id.to_vec(),
        })
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.gateway
            .with_open_requests(|open| open.remove(&self.id));
    }
}

//! What all sessions share, and the register of those that are open.

use super::mailbox::{Mailbox, Notice};
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

/// What a session has to know of a class of requests.
pub(super) struct Class {
    name: String,
    pub consistency: ConsistencyLevel,
    pub idempotency: Idempotency,
    /// The longest that a request of it is waited for.
    pub deadline: Micros,
}

/// What all sessions share.
pub(crate) struct Gateway {
    pub core: Arc<Core>,
    pub pool: Arc<Pool>,
    /// By their numbers.
    classes: Vec<Class>,
    /// Which tenants may reach which groups, where the operator's file says so.
    pub(super) cells: Option<Cells>,
    pub(super) most_sessions: usize,
    /// What clients hold for requests at most; one that finds no connection left has nowhere to ask.
    pub(super) most_served: usize,
    draining: AtomicBool,
    /// When the last answer must be out, once that is known.
    answer_until: AtomicU64,
    sessions: Mutex<BTreeMap<u32, Arc<Mailbox>>>,
    /// What clients call the requests that are open.
    open: Mutex<HashSet<Vec<u8>>>,
    next_session: AtomicU32,
    /// Draws the secrets that let clients cancel: seeded by the system, different in each process.
    secrets: RandomState,
    /// Wakes whoever accepts.
    room: Mutex<Option<WaitIoWaker>>,
    /// How many clients may come back at once, where an operator says so.
    readmission: Mutex<Option<Readmission>>,
}

impl Gateway {
    pub(crate) fn new(
        core: Arc<Core>,
        pool: Arc<Pool>,
        setup: &Setup,
        settings: &Settings,
        most: usize,
        sockets: usize,
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
            most_sessions: most,
            most_served: sockets / 3,
            draining: AtomicBool::new(false),
            answer_until: AtomicU64::new(Micros::MAX),
            sessions: Mutex::default(),
            open: Mutex::default(),
            next_session: AtomicU32::new(0),
            secrets: RandomState::new(),
            room: Mutex::default(),
            readmission: Mutex::default(),
        }
    }

    /// From now on clients that come are admitted as this says.
    pub(crate) fn readmit(&self, readmission: Readmission) {
        *self
            .readmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(readmission);
    }

    /// So many gateways share what the fleet may admit.
    pub(crate) fn share(&self, gateways: u32) {
        let mut readmission = self
            .readmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        readmission
            .iter_mut()
            .for_each(|readmission| readmission.share(gateways));
    }

    /// Whether a client that comes from there may come in now; everybody may where nobody says otherwise.
    pub(super) fn readmits(&self, from: IpAddr) -> Answer {
        let mut readmission = self
            .readmission
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let readmission = readmission.as_mut();
        readmission.map_or(Answer::Admit, |readmission| {
            readmission.arrive(self.core.clock.now(), from)
        })
    }

    /// How many requests were taken since the start.
    pub(crate) fn requests(&self) -> u64 {
        self.core.requests()
    }

    pub(super) fn sessions<T>(
        &self,
        work: impl FnOnce(&mut BTreeMap<u32, Arc<Mailbox>>) -> T,
    ) -> T {
        work(&mut self.sessions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn open<T>(&self, work: impl FnOnce(&mut HashSet<Vec<u8>>) -> T) -> T {
        work(&mut self.open.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// From now on no request is waited for any longer than this: the process may be killed soon after, and
    /// what it had taken by then would be lost.
    pub(crate) fn answer_until(&self, at: Micros) {
        self.answer_until.store(at, Ordering::Release);
    }

    /// Until when the last answer must be out.
    pub(super) fn answers_until(&self) -> Micros {
        self.answer_until.load(Ordering::Acquire)
    }

    /// From now on connections are closed between requests.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.sessions(|sessions| sessions.values().for_each(|mailbox| mailbox.waker.wakeup()));
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// The number of a class, and what is known of it.
    pub(super) fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let number = self.classes.iter().position(|class| class.name == name)?;
        Some((ClassId(number), &self.classes[number]))
    }

    /// Sessions that are open.
    pub(crate) fn open_sessions(&self) -> usize {
        self.sessions(|sessions| sessions.len())
    }

    /// How much of what clients may hold is held; nothing where a lock is held, as this never waits.
    pub(crate) fn room(&self) -> Option<Capacity> {
        Some(Capacity {
            sessions: self.sessions.try_lock().ok()?.len(),
            max_sessions: self.most_sessions,
            requests: self.open.try_lock().ok()?.len(),
            max_requests: self.most_served,
        })
    }

    /// Whether there is no place for another session.
    pub(super) fn is_full(&self) -> bool {
        self.open_sessions() >= self.most_sessions
    }

    /// From now on this wakes whoever accepts, once a session has ended.
    pub(super) fn wake_for_room(&self, waker: WaitIoWaker) {
        *self.room.lock().unwrap_or_else(PoisonError::into_inner) = Some(waker);
    }

    /// Takes a session in that is woken by this.
    pub(super) fn register(&self, waker: WaitIoWaker) -> (u32, Arc<Mailbox>) {
        let number = self.next_session.fetch_add(1, Ordering::Relaxed);
        let mailbox = Arc::new(Mailbox::new(
            waker,
            self.core.clock.now(),
            self.core.orders.clone(),
        ));
        self.sessions(|sessions| sessions.insert(number, mailbox.clone()));
        (number, mailbox)
    }

    /// The key of a session: whoever sees one can't tell another's from it.
    pub(super) fn key(&self, session: u32) -> pg::CancelKey {
        pg::CancelKey {
            session,
            secret: self.secrets.hash_one(session) as u32,
        }
    }

    /// Cancels what the session with this key is doing, if it is doing something; a wrong key does nothing.
    pub(super) fn cancel(&self, key: pg::CancelKey) {
        if key == self.key(key.session) {
            let mailbox = self.sessions(|sessions| sessions.get(&key.session).cloned());
            mailbox
                .iter()
                .for_each(|mailbox| mailbox.post(Notice::Cancelled));
        }
    }

    /// A session has ended: whoever waits to be accepted gets its place at once.
    pub(super) fn ended(&self, number: u32) {
        self.sessions(|sessions| sessions.remove(&number));
        if let Some(waker) = self
            .room
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .as_ref()
        {
            waker.wakeup();
        }
    }
}

/// The name of an open request, which is free again once this is dropped.
pub(super) struct Name(Arc<Gateway>, Vec<u8>);

impl Name {
    pub(super) fn take(gateway: &Arc<Gateway>, name: &[u8]) -> Option<Name> {
        let free = gateway.open(|open| open.insert(name.to_vec()));
        free.then(|| Name(gateway.clone(), name.to_vec()))
    }
}

impl Drop for Name {
    fn drop(&mut self) {
        self.0.open(|open| open.remove(&self.1));
    }
}

//! The registry of open sessions, by number, and the keys with which clients may cancel their requests.

use super::mailbox::{Mailbox, SessionEvent};
use crate::postgres as pg;
use crate::runtime::sync::lock;
use may::io::WaitIoWaker;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// The mailboxes of open sessions, by session number.
pub(super) type SessionMap = BTreeMap<u32, Arc<Mailbox>>;

/// A session that was registered and has not run yet.
pub(super) struct RegisteredSession {
    /// The number of the session.
    pub number: u32,
    /// Its mailbox.
    pub mailbox: Arc<Mailbox>,
}

/// The sessions that are open.
#[derive(Default)]
pub(super) struct Sessions {
    open: Mutex<SessionMap>,
    next_number: AtomicU32,
    /// Derives the secrets that let clients cancel: seeded by the system, different in each process.
    secrets: RandomState,
    /// Wakes the coroutine that accepts clients.
    accept_waker: Mutex<Option<WaitIoWaker>>,
}

impl Sessions {
    /// Runs this under the lock of the registry.
    pub(super) fn with_open<T>(&self, work: impl FnOnce(&mut SessionMap) -> T) -> T {
        work(&mut lock(&self.open))
    }

    /// How many sessions are open.
    pub(super) fn count(&self) -> usize {
        self.with_open(|open| open.len())
    }

    /// How many sessions are open; nothing where the lock is held, as this never waits.
    pub(super) fn try_count(&self) -> Option<usize> {
        Some(self.open.try_lock().ok()?.len())
    }

    /// From now on this waker is used whenever a session has ended.
    pub(super) fn set_accept_waker(&self, waker: WaitIoWaker) {
        *lock(&self.accept_waker) = Some(waker);
    }

    /// Registers a new session, whose mailbox `new_mailbox` makes, and numbers it.
    pub(super) fn register(&self, new_mailbox: impl FnOnce() -> Mailbox) -> RegisteredSession {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mailbox = Arc::new(new_mailbox());
        self.with_open(|open| open.insert(number, mailbox.clone()));
        RegisteredSession { number, mailbox }
    }

    /// Removes a session that has ended; the next client is accepted at once.
    pub(super) fn remove(&self, number: u32) {
        self.with_open(|open| open.remove(&number));
        if let Some(waker) = lock(&self.accept_waker).as_ref() {
            waker.wakeup();
        }
    }

    /// Wakes all sessions.
    pub(super) fn wake_all(&self) {
        self.with_open(|open| open.values().for_each(|mailbox| mailbox.waker.wakeup()));
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
        if key != self.cancel_key(key.session) {
            return;
        }
        let mailbox = self.with_open(|open| open.get(&key.session).cloned());
        if let Some(mailbox) = mailbox {
            mailbox.post(SessionEvent::CancelRequested);
        }
    }
}

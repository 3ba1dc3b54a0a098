//! The registry of open sessions, by number, and the keys with which clients cancel their requests.

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

/// A session that has been registered and has not started to run.
pub(super) struct RegisteredSession {
    /// The number of the session, unique among open sessions.
    pub number: u32,
    /// The mailbox that the registry holds for it.
    pub mailbox: Arc<Mailbox>,
}

/// The sessions that are open.
#[derive(Default)]
pub(super) struct Sessions {
    open: Mutex<SessionMap>,
    next_number: AtomicU32,
    /// Derives the secrets of cancel keys; seeded by the system, so that they differ from process to process.
    cancel_secrets: RandomState,
    /// Wakes the coroutine that accepts clients.
    accept_waker: Mutex<Option<WaitIoWaker>>,
}

impl Sessions {
    /// Runs `work` under the lock of the registry.
    pub(super) fn with_open<T>(&self, work: impl FnOnce(&mut SessionMap) -> T) -> T {
        work(&mut lock(&self.open))
    }

    /// How many sessions are open.
    pub(super) fn count(&self) -> usize {
        self.with_open(|open| open.len())
    }

    /// How many sessions are open; `None` where the lock is held, as this never waits.
    pub(super) fn try_count(&self) -> Option<usize> {
        Some(self.open.try_lock().ok()?.len())
    }

    /// Sets the waker that [`Sessions::remove`] uses, that of the coroutine that accepts clients.
    pub(super) fn set_accept_waker(&self, waker: WaitIoWaker) {
        *lock(&self.accept_waker) = Some(waker);
    }

    /// Registers a new session under the next number, with the mailbox that `new_mailbox` creates.
    pub(super) fn register(&self, new_mailbox: impl FnOnce() -> Mailbox) -> RegisteredSession {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mailbox = Arc::new(new_mailbox());
        self.with_open(|open| open.insert(number, mailbox.clone()));
        RegisteredSession { number, mailbox }
    }

    /// Removes a session that has ended, and wakes the coroutine that accepts clients.
    pub(super) fn remove(&self, number: u32) {
        self.with_open(|open| open.remove(&number));
        if let Some(waker) = lock(&self.accept_waker).as_ref() {
            waker.wakeup();
        }
    }

    /// Wakes all open sessions.
    pub(super) fn wake_all(&self) {
        self.with_open(|open| open.values().for_each(|mailbox| mailbox.waker.wakeup()));
    }

    /// The cancel key of a session. Its secret cannot be derived from the keys of other sessions.
    pub(super) fn cancel_key(&self, session: u32) -> pg::CancelKey {
        pg::CancelKey {
            session,
            secret: self.cancel_secrets.hash_one(session) as u32,
        }
    }

    /// Asks the session with this key to cancel its open request, if it has one; a wrong key has no effect.
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

//! A session's mailbox: events that others have for it, and what they may see of it.

use crate::core::{Command, CommandCounters, CommandMailbox};
use crate::request::attempt::AttemptResult;
use crate::runtime::sync::lock;
use asterreel::interface::{AttemptNo, Micros};
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// What a session waits for while a request is open, beside its client.
pub(super) enum SessionEvent {
    /// The router wants something done for the request.
    Command(Command),
    /// An attempt has ended.
    AttemptEnded(AttemptNo, AttemptResult),
    /// The client has closed its connection.
    ClientGone,
    /// The client has asked to cancel its request.
    CancelRequested,
    /// The deadline has passed without a final answer.
    DeadlinePassed,
}

/// What a session without an open request waits for from its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadState {
    /// The opening message.
    Opening,
    /// The first byte of a message.
    Idle,
    /// The rest of a message.
    Message,
}

/// What a session waits for from its client, and since when.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ClientWait {
    /// What it waits for.
    pub state: ReadState,
    /// When it began to wait.
    pub since: Micros,
}

/// The mailbox of one session.
pub(super) struct Mailbox {
    /// Wakes the session.
    pub waker: WaitIoWaker,
    /// Asks the session to close, so that another client gets its connection.
    close_requested: AtomicBool,
    events: Mutex<VecDeque<SessionEvent>>,
    /// Nothing while the session is busy.
    client_wait: Mutex<Option<ClientWait>>,
    commands: Arc<CommandCounters>,
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.clear();
    }
}

impl Mailbox {
    /// The mailbox of a session that waits for its opening message from now on.
    pub(super) fn new(waker: WaitIoWaker, now: Micros, commands: Arc<CommandCounters>) -> Mailbox {
        let opening = ClientWait {
            state: ReadState::Opening,
            since: now,
        };
        Mailbox {
            waker,
            close_requested: AtomicBool::new(false),
            events: Mutex::default(),
            client_wait: Mutex::new(Some(opening)),
            commands,
        }
    }

    /// What the session waits for from its client; nothing while it is busy.
    pub(super) fn client_wait(&self) -> Option<ClientWait> {
        *self.lock_client_wait()
    }

    /// Notes what the session waits for from its client.
    pub(super) fn set_client_wait(&self, wait: Option<ClientWait>) {
        *self.lock_client_wait() = wait;
    }

    /// Whether the session is asked to close.
    pub(super) fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Acquire)
    }

    /// Asks the session to close, or takes that back.
    pub(super) fn set_close_requested(&self, close: bool) {
        self.close_requested.store(close, Ordering::Release);
    }

    /// Appends an event and wakes the session.
    pub(super) fn post(&self, event: SessionEvent) {
        self.events().push_back(event);
        self.waker.wakeup();
    }

    /// Takes the oldest event.
    pub(super) fn take(&self) -> Option<SessionEvent> {
        let event = self.events().pop_front();
        if let Some(SessionEvent::Command(_)) = event {
            self.commands.received.fetch_add(1, Ordering::AcqRel);
        }
        event
    }

    /// Whether no event waits.
    pub(super) fn is_empty(&self) -> bool {
        self.events().is_empty()
    }

    /// Drops what is left of a request that is over: the next one's commands must not begin with its last.
    pub(super) fn clear(&self) {
        while self.take().is_some() {}
    }

    fn events(&self) -> MutexGuard<'_, VecDeque<SessionEvent>> {
        lock(&self.events)
    }

    fn lock_client_wait(&self) -> MutexGuard<'_, Option<ClientWait>> {
        lock(&self.client_wait)
    }
}

impl CommandMailbox for Mailbox {
    fn send(&self, command: Command) {
        self.commands.sent.fetch_add(1, Ordering::AcqRel);
        self.post(SessionEvent::Command(command));
    }
}

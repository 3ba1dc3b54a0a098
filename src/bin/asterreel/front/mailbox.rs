//! A session's mailbox: events for the session, and the state of the session that other coroutines read.

use crate::core::{Command, CommandCounters, CommandMailbox};
use crate::request::attempt::AttemptResult;
use crate::runtime::sync::lock;
use asterreel::interface::{AttemptNo, Micros};
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// An event of an open request. All but `ClientGone` and `DeadlinePassed` are posted to the mailbox; these two the
/// session finds itself while it waits.
pub(super) enum SessionEvent {
    /// The router has a command for the request.
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

/// Which input a session without an open request waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadState {
    /// A complete message of the connection's opening.
    Opening,
    /// The first byte of a message.
    Idle,
    /// The rest of a message.
    Message,
}

/// A session's wait for input from its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct ClientWait {
    /// Which input it waits for.
    pub state: ReadState,
    /// When the wait began.
    pub since: Micros,
}

/// The mailbox of one session.
pub(super) struct Mailbox {
    /// Wakes the session.
    pub waker: WaitIoWaker,
    /// Asks the session to close, so that another client can be accepted.
    close_requested: AtomicBool,
    events: Mutex<VecDeque<SessionEvent>>,
    /// `None` while the session handles a message.
    client_wait: Mutex<Option<ClientWait>>,
    command_counters: Arc<CommandCounters>,
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.clear();
    }
}

impl Mailbox {
    /// The mailbox of a session that waits for its opening message as of `now`.
    pub(super) fn new(
        waker: WaitIoWaker,
        now: Micros,
        command_counters: Arc<CommandCounters>,
    ) -> Mailbox {
        let opening = ClientWait {
            state: ReadState::Opening,
            since: now,
        };
        Mailbox {
            waker,
            close_requested: AtomicBool::new(false),
            events: Mutex::default(),
            client_wait: Mutex::new(Some(opening)),
            command_counters,
        }
    }

    /// The session's wait for its client; `None` while it handles a message.
    pub(super) fn client_wait(&self) -> Option<ClientWait> {
        *self.lock_client_wait()
    }

    /// Records the session's wait for its client, or with `None` that it handles a message.
    pub(super) fn set_client_wait(&self, wait: Option<ClientWait>) {
        *self.lock_client_wait() = wait;
    }

    /// Whether the session has been asked to close, or is closing.
    pub(super) fn is_close_requested(&self) -> bool {
        self.close_requested.load(Ordering::Acquire)
    }

    /// Asks the session to close, or withdraws the request.
    pub(super) fn set_close_requested(&self, close: bool) {
        self.close_requested.store(close, Ordering::Release);
    }

    /// Appends an event and wakes the session.
    pub(super) fn post(&self, event: SessionEvent) {
        self.events().push_back(event);
        self.waker.wakeup();
    }

    /// Removes the oldest event and returns it.
    pub(super) fn take(&self) -> Option<SessionEvent> {
        let event = self.events().pop_front();
        if let Some(SessionEvent::Command(_)) = event {
            self.command_counters
                .received
                .fetch_add(1, Ordering::AcqRel);
        }
        event
    }

    /// Whether no event is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.events().is_empty()
    }

    /// Discards the remaining events of a completed request, so that they do not reach the next one.
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
        self.command_counters.sent.fetch_add(1, Ordering::AcqRel);
        self.post(SessionEvent::Command(command));
    }
}

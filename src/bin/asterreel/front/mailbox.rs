//! What others have for a session, and what they may see of it.

use crate::core::{Inbox, Order, Orders};
use crate::request::attempt::AttemptResult;
use asterreel::interface::{AttemptNo, Micros};
use may::io::WaitIoWaker;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// What a session waits for, beside its client.
pub(super) enum Notice {
    Order(Order),
    Ended(AttemptNo, AttemptResult),
    /// The client has closed its connection.
    Left,
    /// The client has asked to cancel its request.
    Cancelled,
    /// The deadline has passed without a final answer.
    Overdue,
}

/// What a session that is not busy with a request waits for from its client.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The opening message.
    Opening,
    /// The first byte of a message.
    Idle,
    /// The rest of a message.
    Message,
}

pub(super) struct Mailbox {
    notices: Mutex<VecDeque<Notice>>,
    pub(super) waker: WaitIoWaker,
    /// What the session waits for and since when; nothing while it is busy.
    stage: Mutex<Option<(Stage, Micros)>>,
    /// Somebody else is to have its place, once it rests.
    pub(super) close: AtomicBool,
    orders: Arc<Orders>,
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.clear();
    }
}

impl Mailbox {
    pub(super) fn new(waker: WaitIoWaker, now: Micros, orders: Arc<Orders>) -> Mailbox {
        Mailbox {
            notices: Mutex::default(),
            waker,
            stage: Mutex::new(Some((Stage::Opening, now))),
            close: AtomicBool::new(false),
            orders,
        }
    }

    pub(super) fn stage(&self) -> Option<(Stage, Micros)> {
        *self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_stage(&self, stage: Option<(Stage, Micros)>) {
        *self.stage.lock().unwrap_or_else(PoisonError::into_inner) = stage;
    }

    pub(super) fn post(&self, notice: Notice) {
        self.notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(notice);
        self.waker.wakeup();
    }

    pub(super) fn take(&self) -> Option<Notice> {
        let notice = self
            .notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front();
        if let Some(Notice::Order(_)) = notice {
            self.orders.taken.fetch_add(1, Ordering::AcqRel);
        }
        notice
    }

    pub(super) fn is_empty(&self) -> bool {
        self.notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_empty()
    }

    /// Drops what is left of a request that is over: the next one's orders must not begin with its last.
    pub(super) fn clear(&self) {
        while self.take().is_some() {}
    }
}

impl Inbox for Mailbox {
    fn order(&self, order: Order) {
        self.orders.given.fetch_add(1, Ordering::AcqRel);
        self.post(Notice::Order(order));
    }
}

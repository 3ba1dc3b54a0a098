//! Turns at the process's one worker, for the work that a peer can cause without end.
//!
//! may polls sockets, and runs what timers wake, only while no coroutine is ready to run. So a coroutine that always has
//! a next step must not stay ready: it takes a turn before each step, and once its turn is used up it waits until the
//! sockets were polled and its next turn is granted. [`FairQueue`] decides whose turn that is.

use crate::runtime::coroutine::spawn;
use crate::runtime::sync::lock;
use asterreel::interface::Micros;
use asterreel::scheduling::{Account, FairQueue, Ticket};
use may::io::{CoIo, WaitIo, WaitIoWaker};
use nix::sys::eventfd::{EfdFlags, EventFd};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock, Mutex, OnceLock};
use std::time::Instant;

/// How long a turn lasts at most, but for the step that exceeds it.
const TURN_US: Micros = 200;
/// How long turns last together between two polls of the sockets.
const TURNS_BETWEEN_POLLS_US: Micros = 1_000;
/// What a new connection is charged before its first step.
const CONNECTION_COST_US: Micros = 50;
/// The least that a turn is charged, as the clock does not show shorter ones.
const MIN_TURN_COST_US: Micros = 1;

/// Whose work it is. Each owner has an equal share of the worker, however many connections it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Owner {
    /// The client at this address.
    Client(IpAddr),
    /// The database or discovery service at this address.
    Server(SocketAddr),
    /// The listener for clients.
    Listener,
}

/// The queue of turns of this process.
static TURNS: LazyLock<Turns> = LazyLock::new(Turns::default);

/// Polled together with all sockets, so that it tells when they were polled.
static POLL_EVENT: OnceLock<CoIo<EventFd>> = OnceLock::new();

#[derive(Default)]
struct Turns(Mutex<State>);

#[derive(Default)]
struct State {
    queue: FairQueue<Owner, Waiting>,
    /// How long turns have lasted since the sockets were polled.
    used_us: Micros,
}

/// A coroutine that waits for its turn.
struct Waiting {
    waker: WaitIoWaker,
    granted: Arc<AtomicBool>,
}

/// Starts the coroutine that grants turns.
///
/// # Errors
///
/// A descriptor that can't be opened or polled.
pub(crate) fn start() -> io::Result<()> {
    let event = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC)?;
    let event = CoIo::new(event).map_err(io::Error::from)?;
    if POLL_EVENT.set(event).is_ok() {
        spawn(grant_turns);
    }
    Ok(())
}

/// Grants turns after each poll of the sockets for which a coroutine waits.
fn grant_turns() {
    while let Some(event) = POLL_EVENT.get() {
        event.wait_io();
        // Resets the counter. It is polled by its edges, so that an error changes nothing.
        let _ = event.inner().read();
        let mut state = lock(&TURNS.0);
        state.used_us = 0;
        for _ in 0..TURNS_BETWEEN_POLLS_US / TURN_US {
            let Some(waiting) = state.queue.grant(TURN_US) else {
                break;
            };
            waiting.granted.store(true, Ordering::Release);
            waiting.waker.wakeup();
        }
        if !state.queue.is_empty() {
            request_poll();
        }
    }
}

/// Has [`grant_turns`] run after the next poll of the sockets.
fn request_poll() {
    if let Some(event) = POLL_EVENT.get() {
        // Fails only if the counter is full, and then it is ready to be read.
        let _ = event.inner().write(1);
    }
}

/// Where a connection stands.
#[derive(Debug)]
enum Turn {
    /// It has no work, as far as it knows.
    None,
    /// It waits for its turn.
    Waiting(Ticket),
    /// It works since then; so much of the turn was charged when it was granted.
    Started { at: Instant, prepaid: Micros },
}

/// The share of one connection in the worker's time.
#[derive(Debug)]
pub(crate) struct Share {
    owner: Owner,
    account: Account,
    turn: Turn,
    granted: Arc<AtomicBool>,
}

impl Share {
    /// The share of a new connection of this owner.
    pub(crate) fn new(owner: Owner) -> Share {
        Share {
            owner,
            account: lock(&TURNS.0).queue.open(&owner, CONNECTION_COST_US),
            turn: Turn::None,
            granted: Arc::default(),
        }
    }

    /// Whether the next step may be taken now. If not, the coroutine is woken for it, and asks again then.
    pub(crate) fn may_step(&mut self, waker: impl FnOnce() -> WaitIoWaker) -> bool {
        match self.turn {
            Turn::Started { at, .. } if elapsed_us(at) < TURN_US => return true,
            Turn::Started { .. } => self.end_turn(),
            Turn::Waiting(_) => {
                if !self.granted.swap(false, Ordering::AcqRel) {
                    return false;
                }
                self.start_turn(TURN_US);
                return true;
            }
            Turn::None => {}
        }
        let mut state = lock(&TURNS.0);
        let may_start = state.used_us < TURNS_BETWEEN_POLLS_US
            && state.queue.may_start(&self.owner, &self.account);
        // Without the event nobody would grant the turn; tests that start no coroutine for it have no other clients.
        if may_start || POLL_EVENT.get().is_none() {
            drop(state);
            self.start_turn(0);
            return true;
        }
        let is_first = state.queue.is_empty();
        let waiting = Waiting {
            waker: waker(),
            granted: self.granted.clone(),
        };
        let ticket = state.queue.enqueue(&self.owner, &self.account, waiting);
        self.turn = Turn::Waiting(ticket);
        if is_first {
            request_poll();
        }
        false
    }

    fn start_turn(&mut self, prepaid: Micros) {
        let at = Instant::now();
        self.turn = Turn::Started { at, prepaid };
    }

    /// Ends a turn that has started, as the connection has no next step for now.
    pub(crate) fn end_turn(&mut self) {
        if let Turn::Started { at, .. } = self.turn {
            self.end_turn_at(elapsed_us(at).max(MIN_TURN_COST_US));
        }
    }

    /// Ends a turn that has started at this cost, whatever time it took.
    pub(crate) fn end_turn_at(&mut self, cost: Micros) {
        let Turn::Started { prepaid, .. } = self.turn else {
            return;
        };
        self.turn = Turn::None;
        let mut state = lock(&TURNS.0);
        state.used_us += cost;
        state
            .queue
            .charge(&self.owner, &mut self.account, cost, prepaid);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.end_turn();
        let mut state = lock(&TURNS.0);
        if let Turn::Waiting(ticket) = self.turn {
            if self.granted.load(Ordering::Acquire) {
                state
                    .queue
                    .charge(&self.owner, &mut self.account, 0, TURN_US);
            } else {
                state.queue.leave(&self.owner, ticket);
            }
        }
        state.queue.close(&self.owner);
    }
}

fn elapsed_us(since: Instant) -> Micros {
    since.elapsed().as_micros() as Micros
}

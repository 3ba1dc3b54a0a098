//! What a fleet agrees on: one state machine over the entries of its log, at each control member.
//!
//! It decides what an entry of the log does, entry by entry and alike at every member, and keeps the one copy of what is
//! agreed: who holds which duty ([`crate::lease`]), and which versions are in force and who may act on them
//! ([`crate::versions`]). [`StateMachine`] is the one door: events in, actions out, time an argument. The log beneath
//! (consensus, disk, peers) is the caller's; it hands over the bytes of entries in log order, and takes back those to
//! propose. Entries and snapshots are encoded here, with a format of their own, so that what an older or newer build
//! wrote is either understood whole or refused whole.

mod entry;

pub use entry::{decode, encode, DecodeError, FORMAT};

use crate::lease::{self, Duty, Index, Leases, NodeIdentity, Timing};
use crate::versions::{self, coordinator, Coordinator, Span, ToControl, ToGateway};
use crate::Micros;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// About the holder of a duty.
    Lease(lease::Command),
    /// About versions and who may act on them.
    Version(versions::Command),
}

/// What happens at a control member.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// An entry was committed; empty ones, as a new leader writes, say nothing.
    Committed(&'a [u8]),
    /// All that was agreed up to some entry, in place of the entries.
    Restored(&'a [u8]),
    /// Whether this control member leads the log now.
    Leading(bool),
    /// The gateway number of the control member that leads, where that is known.
    Leader(Option<u32>),
    /// A gateway says something.
    Received(ToControl),
    /// A gateway has a new link to this control member: nothing is known of what it has been told.
    Connected(NodeIdentity),
    /// A quorum has confirmed, after this round was asked for, that this control member leads; and every entry that was
    /// committed when the round was asked for has been handed over before.
    Confirmed(u64),
    /// A timer fired, or any moment worth a look.
    Tick,
    /// The control member drains: it gives back the duties that it holds.
    Drain,
    /// This control member should hold the duty whenever it can.
    Want(Duty),
}

/// What a control member is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the log to append these bytes; they may be lost.
    Propose(Vec<u8>),
    /// About a duty.
    Lease(lease::Action),
    /// Ask a quorum whether this control member leads still, and answer with [`Event::Confirmed`] of this round. It may
    /// be lost.
    Confirm(u64),
    /// Tell a gateway. It may be lost.
    Send(NodeIdentity, ToGateway),
    /// Tell every gateway that is connected. It may be lost.
    Broadcast(ToGateway),
    /// A gateway's report was counted.
    Counted {
        /// Whose.
        who: NodeIdentity,
        /// What it did.
        spans: Vec<Span>,
    },
    /// Look again at this time at the latest.
    Wake(Micros),
}

/// Why a gateway can't follow the log any further: what it would apply next it does not understand whole.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// An entry.
    #[error("an entry of the fleet's log can't be applied: {0}")]
    Entry(#[from] DecodeError),
    /// A snapshot written by another build.
    #[error(
        "a snapshot has format {found}, this build reads {FORMAT}; where the log was written by an older build, stop all \
         control members, remove the log's folder at each, start them and offer the file again"
    )]
    SnapshotFormat {
        /// Its format.
        found: u32,
    },
    /// A snapshot that is not what was written.
    #[error(
        "a snapshot is damaged ({0}); remove the log's folder, so that this gateway learns it from its peers"
    )]
    SnapshotDamaged(String),
    /// The part of the state that counts its own entries has missed one.
    #[error(
        "entry {due} was due and {came} came; remove the log's folder, so that this gateway learns it anew"
    )]
    Gap {
        /// The entry due.
        due: u64,
        /// The one that came.
        came: u64,
    },
}

/// All that is agreed, as it goes into a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct State {
    leases: lease::Table,
    versions: versions::Table,
}

/// One control member's copy of what is agreed.
pub struct StateMachine {
    leases: Leases,
    coordinator: Coordinator,
}

impl StateMachine {
    /// A control member in its incarnation `me`, that knows nothing of the log yet.
    pub fn new(me: NodeIdentity, timing: Timing) -> StateMachine {
        StateMachine {
            leases: Leases::new(me, timing),
            coordinator: Coordinator::new(me, timing),
        }
    }

    /// Who holds which duty.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Which versions are in force, and who may act on them.
    pub fn versions(&self) -> &versions::Table {
        self.coordinator.table()
    }

    /// All that is agreed, encoded: a format, a checksum, and the state.
    pub fn snapshot(&self) -> Vec<u8> {
        let state = State {
            leases: self.leases.table().clone(),
            versions: self.versions().clone(),
        };
        // Maps with keys that are numbers and plain enums: nothing there that JSON can't write.
        let text = serde_json::to_vec(&state).unwrap_or_default();
        let mut bytes = FORMAT.to_le_bytes().to_vec();
        bytes.extend(xxh3_64(&text).to_le_bytes());
        bytes.extend(text);
        bytes
    }

    fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ApplyError> {
        let damaged = |why: &str| ApplyError::SnapshotDamaged(why.to_owned());
        let (format, rest) = bytes
            .split_first_chunk::<4>()
            .ok_or_else(|| damaged("too short"))?;
        let found = u32::from_le_bytes(*format);
        if found != FORMAT {
            return Err(ApplyError::SnapshotFormat { found });
        }
        let (sum, text) = rest
            .split_first_chunk::<8>()
            .ok_or_else(|| damaged("too short"))?;
        if u64::from_le_bytes(*sum) != xxh3_64(text) {
            return Err(damaged("its checksum differs"));
        }
        let state: State =
            serde_json::from_slice(text).map_err(|fault| damaged(&fault.to_string()))?;
        self.leases.restore(now, state.leases);
        self.coordinator.restore(now, state.versions);
        Ok(())
    }

    /// Takes an event at `now` (microseconds on this member's monotonic clock) and says what to do.
    ///
    /// # Errors
    ///
    /// [`ApplyError`], after which nothing more may be applied; the state stays as it was before the event.
    pub fn handle(
        &mut self,
        now: Micros,
        event: Event,
        out: &mut Vec<Action>,
    ) -> Result<(), ApplyError> {
        match event {
            Event::Committed([]) => Ok(()),
            Event::Committed(bytes) => self.commit(now, decode(bytes)?, out),
            Event::Restored(bytes) => self.restore(now, bytes),
            Event::Tick => {
                self.lease(now, lease::Event::Tick, out)?;
                self.version(now, coordinator::Event::Tick, out);
                Ok(())
            }
            Event::Drain => self.lease(now, lease::Event::Drain, out),
            Event::Want(duty) => self.lease(now, lease::Event::Want(duty), out),
            Event::Leading(leads) => {
                self.version(now, coordinator::Event::Leading(leads), out);
                Ok(())
            }
            Event::Leader(leader) => {
                self.version(now, coordinator::Event::Leader(leader), out);
                Ok(())
            }
            Event::Received(message) => {
                self.version(now, coordinator::Event::Received(message), out);
                Ok(())
            }
            Event::Connected(who) => {
                self.version(now, coordinator::Event::Connected(who), out);
                Ok(())
            }
            Event::Confirmed(round) => {
                self.version(now, coordinator::Event::Confirmed(round), out);
                Ok(())
            }
        }
    }

    /// Applies an entry. Indices are counted by the tables themselves, so that none is ever missed.
    fn commit(
        &mut self,
        now: Micros,
        command: Command,
        out: &mut Vec<Action>,
    ) -> Result<(), ApplyError> {
        match command {
            Command::Lease(command) => {
                let index = Index(self.leases.table().applied().0 + 1);
                self.lease(now, lease::Event::Applied { index, command }, out)
            }
            Command::Version(command) => {
                let index = Index(self.versions().applied().0 + 1);
                self.version(now, coordinator::Event::Applied { index, command }, out);
                Ok(())
            }
        }
    }

    fn lease(
        &mut self,
        now: Micros,
        event: lease::Event,
        out: &mut Vec<Action>,
    ) -> Result<(), ApplyError> {
        let mut actions = Vec::new();
        self.leases.handle(now, event, &mut actions);
        for action in actions {
            match action {
                lease::Action::Propose(command) => {
                    out.push(Action::Propose(encode(&Command::Lease(command))));
                }
                lease::Action::Wake(at) => out.push(Action::Wake(at)),
                lease::Action::Replay { from } => {
                    let came = self.leases.table().applied().0 + 1;
                    return Err(ApplyError::Gap { due: from.0, came });
                }
                other => out.push(Action::Lease(other)),
            }
        }
        Ok(())
    }

    fn version(&mut self, now: Micros, event: coordinator::Event, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.coordinator.handle(now, event, &mut actions);
        out.extend(actions.into_iter().map(|action| match action {
            coordinator::Action::Propose(command) => {
                Action::Propose(encode(&Command::Version(command)))
            }
            coordinator::Action::Confirm(round) => Action::Confirm(round),
            coordinator::Action::Send(who, message) => Action::Send(who, message),
            coordinator::Action::Broadcast(message) => Action::Broadcast(message),
            coordinator::Action::Counted { who, spans } => Action::Counted { who, spans },
            coordinator::Action::Wake(at) => Action::Wake(at),
        }));
    }
}

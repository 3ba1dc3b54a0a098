//! The replicated state machine of the control plane: what the entries of the fleet's log do, at each control member.
//!
//! It decides what each committed entry changes, and holds the resulting state: who holds the lease of which duty
//! ([`crate::lease`]), and which versions are active and who may act on them ([`crate::versions`]). Events go into
//! [`StateMachine::handle`], and the actions that follow come out.
//!
//! Invariants:
//!
//! - Deterministic: members that applied the same entries have the same state, and the same snapshot of it. Whether an
//!   entry takes effect depends on the entries before it alone, never on a member's clock.
//! - Entries are applied once each, in log order. A missed entry is an [`ApplyError`], and so is an entry or a snapshot
//!   that this build doesn't understand in full: nothing of it is applied.
//! - A snapshot stands for all entries before it: restoring it and applying the rest gives the state of a member that
//!   applied every entry.
//!
//! It never sends, stores, draws random numbers or reads a clock: time is an argument, and the caller runs Raft, the disk
//! and the links. Proposals, confirmations and messages may be lost; the part that needs one requests it again at a later
//! event.

mod entry;
mod error;
mod snapshot;

pub use entry::{decode, encode, DecodeError, FORMAT};
pub use error::ApplyError;

use crate::lease::{self, Duty, Index, Leases, NodeIdentity, Timing};
use crate::versions::{self, coordinator, Coordinator, Span, ToControl, ToGateway};
use crate::Micros;

/// A decoded entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Claims, renews or releases the lease of a duty.
    Lease(lease::Command),
    /// Changes versions, or who may act on them.
    Version(versions::Command),
}

/// What happens at a control member.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// An entry was committed. A new leader's first entry is empty and changes nothing.
    Committed(&'a [u8]),
    /// An encoded snapshot replaces the state: it stands for every entry up to the one that it was taken after.
    Restored(&'a [u8]),
    /// This control member became the leader (true), or is no longer the leader (false).
    Leading(bool),
    /// The known leader changed; holds its gateway number, none where no leader is known.
    Leader(Option<u32>),
    /// A message from a gateway.
    Received(ToControl),
    /// A gateway opened a new link to this control member: which messages reached it before is unknown.
    Connected(NodeIdentity),
    /// A quorum confirmed, after this round was requested, that this control member is the leader. Every entry that was
    /// committed at the time of the request has been applied before this event.
    RoundConfirmed(u64),
    /// Time has passed: what is due at this time is done.
    Tick,
    /// The control member shuts down gracefully: it releases the duties that it holds.
    Drain,
    /// This control member is to hold the duty: until it drains, it claims the lease whenever the lease is available.
    HoldDuty(Duty),
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Propose these bytes as an entry of the log. They may be lost.
    Propose(Vec<u8>),
    /// A change of the duties that this control member acts on.
    Lease(lease::Action),
    /// Ask a quorum whether this control member is still the leader, and answer with [`Event::RoundConfirmed`] of this round.
    /// The answer may be lost.
    RequestRound(u64),
    /// Send a message to a gateway. It may be lost.
    Send(NodeIdentity, ToGateway),
    /// Send a message to every connected gateway. It may be lost.
    Broadcast(ToGateway),
    /// The audit counted a gateway's report of its actions.
    ReportCounted {
        /// The gateway that sent the report.
        identity: NodeIdentity,
        /// How many actions it did under which version, in which time span.
        spans: Vec<Span>,
    },
    /// Send [`Event::Tick`] at this time at the latest, microseconds on this member's monotonic clock.
    Wake(Micros),
}

/// One control member's replica of the state.
pub struct StateMachine {
    leases: Leases,
    coordinator: Coordinator,
}

impl StateMachine {
    /// The state before the first entry, at the control member `identity`.
    pub fn new(identity: NodeIdentity, timing: Timing) -> StateMachine {
        StateMachine {
            leases: Leases::new(identity, timing),
            coordinator: Coordinator::new(identity, timing),
        }
    }

    /// The leases of all duties, and what this control member may act on.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// The active and proposed versions, and the gateways that may act on them.
    pub fn versions(&self) -> &versions::Table {
        self.coordinator.table()
    }

    /// The state as bytes, for [`Event::Restored`] at any member.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(self.leases.table(), self.versions())
    }

    /// Handles an event at `now` (microseconds on this member's monotonic clock), and appends the resulting actions to
    /// `actions`.
    ///
    /// # Errors
    ///
    /// [`ApplyError`], after which nothing more may be applied; the state stays as it was before the event.
    pub fn handle(
        &mut self,
        now: Micros,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), ApplyError> {
        use coordinator::Event as VersionEvent;
        let version_event = match event {
            Event::Committed([]) => return Ok(()),
            Event::Committed(bytes) => return self.apply(now, decode(bytes)?, actions),
            Event::Restored(bytes) => return self.restore(now, bytes),
            Event::Drain => return self.handle_lease(now, lease::Event::Drain, actions),
            Event::HoldDuty(duty) => {
                return self.handle_lease(now, lease::Event::HoldDuty(duty), actions)
            }
            Event::Tick => {
                self.handle_lease(now, lease::Event::Tick, actions)?;
                VersionEvent::Tick
            }
            Event::Leading(is_leader) => VersionEvent::Leading(is_leader),
            Event::Leader(leader) => VersionEvent::Leader(leader),
            Event::Received(message) => VersionEvent::Received(message),
            Event::Connected(identity) => VersionEvent::Connected(identity),
            Event::RoundConfirmed(round) => VersionEvent::RoundConfirmed(round),
        };
        self.handle_version(now, version_event, actions);
        Ok(())
    }

    fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ApplyError> {
        let state = snapshot::decode(bytes)?;
        self.leases.restore(now, state.leases);
        self.coordinator.restore(now, state.versions);
        Ok(())
    }

    /// Applies an entry. Leases and versions number their own entries, so that the indices of each have no gaps.
    fn apply(
        &mut self,
        now: Micros,
        command: Command,
        actions: &mut Vec<Action>,
    ) -> Result<(), ApplyError> {
        match command {
            Command::Lease(command) => {
                let index = Index(self.leases.table().applied().0 + 1);
                let event = lease::Event::Applied { index, command };
                self.handle_lease(now, event, actions)
            }
            Command::Version(command) => {
                let index = Index(self.versions().applied().0 + 1);
                let event = coordinator::Event::Applied { index, command };
                self.handle_version(now, event, actions);
                Ok(())
            }
        }
    }

    fn handle_lease(
        &mut self,
        now: Micros,
        event: lease::Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), ApplyError> {
        let mut lease_actions = Vec::new();
        self.leases.handle(now, event, &mut lease_actions);
        for action in lease_actions {
            actions.push(match action {
                lease::Action::Propose(command) => {
                    Action::Propose(encode(&Command::Lease(command)))
                }
                lease::Action::Wake(at) => Action::Wake(at),
                lease::Action::Replay { from } => {
                    let found = self.leases.table().applied().0 + 1;
                    return Err(ApplyError::Gap {
                        expected: from.0,
                        found,
                    });
                }
                other => Action::Lease(other),
            });
        }
        Ok(())
    }

    fn handle_version(
        &mut self,
        now: Micros,
        event: coordinator::Event,
        actions: &mut Vec<Action>,
    ) {
        use coordinator::Action as VersionAction;
        let mut version_actions = Vec::new();
        self.coordinator.handle(now, event, &mut version_actions);
        actions.extend(version_actions.into_iter().map(|action| match action {
            VersionAction::Propose(command) => Action::Propose(encode(&Command::Version(command))),
            VersionAction::RequestRound(round) => Action::RequestRound(round),
            VersionAction::Send(identity, message) => Action::Send(identity, message),
            VersionAction::Broadcast(message) => Action::Broadcast(message),
            VersionAction::ReportCounted { identity, spans } => {
                Action::ReportCounted { identity, spans }
            }
            VersionAction::Wake(at) => Action::Wake(at),
        }));
    }
}

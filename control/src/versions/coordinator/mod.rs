//! The part of a control member in the rollout of versions: which registrations are renewed and which expire, which
//! proposals and acks are written to the log, and what is sent to gateways.
//!
//! Invariants: while another member leads, nothing is granted and nothing expires; a registration is renewed only after a
//! quorum has confirmed, since the heartbeat arrived, that this member leads; all decisions that must hold after a change
//! of leader go through the log. The coordinator does no I/O and reads no clock.
//!
//! Modules: `membership` tracks contact and expiry, `read_index` the rounds that heartbeats wait for, `rollout` the acks of
//! proposed versions, `links` what was sent to each gateway. `applied` handles log entries, `requests` the messages of
//! gateways.

mod applied;
mod links;
mod membership;
mod read_index;
mod requests;
mod rollout;

use super::{Command, Span, Table, ToControl, ToGateway};
use crate::lease::{Index, NodeIdentity, Timing};
use crate::Micros;
use links::Links;
use membership::Membership;
use read_index::ReadIndexRounds;
use rollout::Rollout;

/// Ticks in each renewal interval while this member leads. It must be well above one: a renewal interval without any event
/// counts as a stall of this member.
const TICKS_PER_RENEWAL: u64 = 4;

/// An input of a [`Coordinator`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry on versions was committed; entries come in log order.
    Applied {
        /// The index of the entry, counted over entries on versions alone.
        index: Index,
        /// The command that the entry carries.
        command: Command,
    },
    /// Whether this control member believes that it leads the log.
    Leading(bool),
    /// The gateway number of the leader, if it is known.
    Leader(Option<u32>),
    /// A message from a gateway.
    Received(ToControl),
    /// A gateway has a new link to this control member: messages on a former one may be lost.
    Connected(NodeIdentity),
    /// A quorum has confirmed, after this read-index round was requested, that it knows of no later leader.
    RoundConfirmed(u64),
    /// A timer fired. More ticks than requested are harmless.
    Tick,
}

/// An output of a [`Coordinator`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose this entry to the log. It may be lost.
    Propose(Command),
    /// Request a read-index round: ask a quorum whether this control member still leads, and answer with
    /// [`Event::RoundConfirmed`]. It may be lost.
    RequestRound(u64),
    /// Send a gateway a message. It may be lost.
    Send(NodeIdentity, ToGateway),
    /// Send every connected gateway a message. It may be lost.
    Broadcast(ToGateway),
    /// A gateway's audit report was counted.
    ReportCounted {
        /// The gateway that reported.
        identity: NodeIdentity,
        /// The actions in the report, by topic and version.
        spans: Vec<Span>,
    },
    /// Send [`Event::Tick`] at this time at the latest, microseconds on this member's monotonic clock.
    Wake(Micros),
}

/// The state that a control member has only during an epoch of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leadership {
    /// The index of the entry that began the epoch.
    epoch: Index,
    membership: Membership,
    rounds: ReadIndexRounds,
    rollout: Rollout,
    links: Links,
}

impl Leadership {
    /// Begins an epoch: what former leaders sent and granted is unknown.
    fn begin(epoch: Index, now: Micros, table: &Table) -> Leadership {
        Leadership {
            epoch,
            membership: Membership::begin(now, table),
            rounds: ReadIndexRounds::default(),
            rollout: Rollout::begin(now, table),
            links: Links::default(),
        }
    }
}

/// The coordinator of one control member: a state machine without I/O (see the module's documentation).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    identity: NodeIdentity,
    timing: Timing,
    table: Table,
    leading: bool,
    leader: Option<u32>,
    /// When this member last proposed to begin an epoch.
    epoch_proposed_at: Option<Micros>,
    /// Set while this member leads and its epoch is the latest in the log.
    leadership: Option<Leadership>,
    /// The number of the last requested read-index round, counted over all epochs.
    last_round: u64,
    /// When the coordinator last handled an event.
    last_event_at: Micros,
}

impl Coordinator {
    /// A coordinator of the control member `identity`, before the first entry of the log.
    pub fn new(identity: NodeIdentity, timing: Timing) -> Coordinator {
        Coordinator {
            identity,
            timing,
            table: Table::default(),
            leading: false,
            leader: None,
            epoch_proposed_at: None,
            leadership: None,
            last_round: 0,
            last_event_at: 0,
        }
    }

    /// The replicated table, up to the last entry applied here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Replaces the table by a snapshot. An epoch of this member ends.
    pub fn restore(&mut self, _now: Micros, table: Table) {
        self.table = table;
        self.leadership = None;
    }

    /// Handles an event at `now` (microseconds on this member's monotonic clock) and adds the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.discount_stall(now);
        match event {
            Event::Applied { index, command } => self.apply(now, index, &command, out),
            Event::Leading(leading) => self.set_leading(leading),
            Event::Leader(leader) => self.leader = leader,
            Event::Received(message) => self.receive(now, message, out),
            Event::Connected(identity) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.links.reset(identity.gateway, now);
                }
            }
            Event::RoundConfirmed(round) => self.confirm_round(round, out),
            Event::Tick => {}
        }
        self.run_due(now, out);
        out.push(Action::Wake(self.next_wakeup(now)));
    }

    /// Does not count time in which this member did not run as silence of the gateways: it could not receive their messages.
    fn discount_stall(&mut self, now: Micros) {
        let stalled_us = now.saturating_sub(self.last_event_at);
        self.last_event_at = now;
        if stalled_us <= self.timing.renew_us {
            return;
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.membership.discount_stall(stalled_us);
            leadership.rollout.discount_stall(stalled_us);
        }
    }

    fn set_leading(&mut self, leading: bool) {
        if leading != self.leading {
            self.leading = leading;
            self.epoch_proposed_at = None;
            self.leadership = None;
        }
    }

    fn run_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.leadership.is_some() {
            self.propose_acks(now, out);
            self.check_registrations(now, out);
            self.request_round(now, out);
        } else if self.leading {
            self.propose_epoch(now, out);
        }
    }

    fn propose_epoch(&mut self, now: Micros, out: &mut Vec<Action>) {
        let due = self
            .epoch_proposed_at
            .is_none_or(|at| now >= at.saturating_add(self.timing.renew_us));
        if due {
            self.epoch_proposed_at = Some(now);
            out.push(Action::Propose(Command::BeginEpoch {
                identity: self.identity,
            }));
        }
    }

    fn propose_acks(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let membership = &leadership.membership;
        let rollout = &mut leadership.rollout;
        let batches = rollout.take_due(now, self.timing.renew_us, &self.table, membership);
        out.extend(batches.into_iter().map(Action::Propose));
    }

    /// Proposes the expiry of registrations under which no gateway can still act, and drops outdated heartbeats and links.
    fn check_registrations(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !leadership.membership.is_check_due(now, &self.timing) {
            return;
        }
        let epoch = leadership.epoch;
        let expired = leadership
            .membership
            .take_expired(now, &self.timing, &self.table);
        out.extend(expired.into_iter().map(|registration| {
            Action::Propose(Command::Expire {
                identity: registration.identity,
                token: registration.token,
                epoch,
            })
        }));
        leadership.rounds.discard_expired(now, self.timing.lease_us);
        leadership.links.discard_idle(now, &self.timing);
    }

    fn request_round(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.rounds.begin_if_due(now, self.timing.renew_us) {
            self.last_round += 1;
            out.push(Action::RequestRound(self.last_round));
        }
    }

    /// When the coordinator needs its next tick.
    fn next_wakeup(&self, now: Micros) -> Micros {
        let renew_us = self.timing.renew_us;
        if !self.leading {
            return now.saturating_add(renew_us);
        }
        let tick = now.saturating_add((renew_us / TICKS_PER_RENEWAL).max(1));
        let Some(leadership) = &self.leadership else {
            return tick;
        };
        let round = leadership.rounds.next_due(renew_us);
        let due = round
            .into_iter()
            .chain(leadership.rollout.write_deadlines(renew_us));
        due.filter(|at| *at > now).min().unwrap_or(tick).min(tick)
    }
}

#[cfg(test)]
mod tests;

//! A control member's side of versions: which registrations are renewed and which expire, which proposals and acks go
//! into the log, and what gateways are sent.
//!
//! Invariants: while another member leads, nothing is granted and nothing expires; a registration is renewed only after a
//! quorum has confirmed, since the heartbeat arrived, that this member leads; all decisions that must outlive a leader go
//! through the log. It never does I/O and never reads a clock.
//!
//! `membership` tracks contact and expiry, `read_index` the rounds that heartbeats wait for, `rollout` the acks of proposed
//! versions, `links` what each gateway was sent. `applied` follows the log, `requests` handles messages of gateways.

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

/// Ticks in each renewal interval while this member leads: well above one, so that a gap shows that it did not run.
const TICKS_PER_RENEWAL: u64 = 4;

/// An input of a [`Coordinator`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry on versions was committed; entries come in log order.
    Applied {
        /// Its index, counted over entries on versions alone.
        index: Index,
        /// Its content.
        command: Command,
    },
    /// Whether this control member believes that it leads the log.
    Leading(bool),
    /// The gateway number of the leader, where that is known.
    Leader(Option<u32>),
    /// A message of a gateway.
    Received(ToControl),
    /// A gateway has a new link to this control member: messages on a former one may be lost.
    Connected(NodeIdentity),
    /// A quorum has confirmed, after this read-index round was requested, that it knows of no later leader.
    Confirmed(u64),
    /// A timer fired. Harmless at any time.
    Tick,
}

/// An output of a [`Coordinator`], to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose this entry to the log. It may be lost.
    Propose(Command),
    /// Request a read-index round: ask a quorum whether this control member still leads, and answer with
    /// [`Event::Confirmed`]. It may be lost.
    Confirm(u64),
    /// Send a gateway a message. It may be lost.
    Send(NodeIdentity, ToGateway),
    /// Send every connected gateway a message. It may be lost.
    Broadcast(ToGateway),
    /// A gateway's report was counted.
    Counted {
        /// The gateway that reported.
        who: NodeIdentity,
        /// Its actions, by topic and version.
        spans: Vec<Span>,
    },
    /// Send [`Event::Tick`] at this time at the latest, microseconds on this member's monotonic clock.
    Wake(Micros),
}

/// What a control member knows only in an epoch of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leadership {
    /// The entry that began the epoch.
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

/// The versions at one control member: a state machine without I/O (see the module's documentation).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    me: NodeIdentity,
    timing: Timing,
    table: Table,
    leading: bool,
    leader: Option<u32>,
    /// When it last proposed to begin an epoch.
    epoch_proposed_at: Option<Micros>,
    /// While it leads and its epoch is the latest in the log.
    leadership: Option<Leadership>,
    /// The last read-index round that was requested, over all epochs.
    last_round: u64,
    /// When it last handled an event.
    last_event_at: Micros,
}

impl Coordinator {
    /// A control member with identity `me`, which knows nothing of the log yet.
    pub fn new(me: NodeIdentity, timing: Timing) -> Coordinator {
        Coordinator {
            me,
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

    /// Installs a snapshot of the table in place of the entries. An epoch of this member ends with it.
    pub fn restore(&mut self, _now: Micros, table: Table) {
        self.table = table;
        self.leadership = None;
    }

    /// Handles an event at `now` (microseconds on this member's monotonic clock) and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.discount_stall(now);
        match event {
            Event::Applied { index, command } => self.apply(now, index, &command, out),
            Event::Leading(leading) => self.set_leading(leading),
            Event::Leader(leader) => self.leader = leader,
            Event::Received(message) => self.receive(now, message, out),
            Event::Connected(who) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.links.connect(who.gateway, now);
                }
            }
            Event::Confirmed(round) => self.confirm_round(round, out),
            Event::Tick => {}
        }
        self.run_due(now, out);
        out.push(Action::Wake(self.next_wakeup(now)));
    }

    /// While this member did not run it received nothing: that time is no silence of the gateways.
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
            out.push(Action::Propose(Command::BeginEpoch { who: self.me }));
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

    /// Proposes the expiry of registrations whose permission has certainly ended, and drops what is out of date.
    fn check_registrations(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if !leadership.membership.is_check_due(now, &self.timing) {
            return;
        }
        let epoch = leadership.epoch;
        let expired = leadership.membership.check(now, &self.timing, &self.table);
        out.extend(expired.into_iter().map(|registration| {
            Action::Propose(Command::Expire {
                who: registration.who,
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
            out.push(Action::Confirm(self.last_round));
        }
    }

    /// The next moment at which something may be due.
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

//! The consensus of this control member: what comes from other members and timers goes in, what must be stored, sent and
//! applied comes out. It owns the store and the agreed state; it knows no sockets.

use crate::state_machine::{Action, ApplyError, Event, StateMachine};
use crate::store::{Corruption, Store, StoreError};
use crate::Micros;
use raft::eraftpb::{
    ConfChange, ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState, Entry, EntryType,
    Message, MessageType,
};
use raft::{Config, RawNode, ReadOnlyOption, ReadState, SnapshotStatus, StateRole};
use raft_proto::ConfChangeI;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Entries, and bytes of them, after which a snapshot takes their place: what a gateway keeps in memory of the log.
const ENTRIES_KEPT: u64 = 4_096;
const BYTES_KEPT: usize = 1 << 20;
/// Bytes that one message of entries may have, and messages on their way to one peer: flow control for one behind.
const MESSAGE: u64 = 128 * 1024;
const IN_FLIGHT: usize = 16;
/// Bytes of proposals that wait to be committed; more are dropped, and asked again by whoever needs them.
const UNCOMMITTED: u64 = 1 << 20;

/// Entries that one that learns may be behind by when it is made one that votes.
const CAUGHT_UP: u64 = 64;

/// Why the log can't go on at this gateway. It goes on serving clients without it.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    ApplyError(#[from] ApplyError),
    #[error("the consensus stopped: {0}; report it, and remove the log's folder to learn it from the peers")]
    Raft(#[from] raft::Error),
}

/// Where the consensus stands, for those who look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RaftStatus {
    pub leader: u64,
    pub is_leader: bool,
    pub term: u64,
    pub applied: u64,
}

fn read<M: protobuf::Message>(bytes: &[u8]) -> Result<M, StoreError> {
    M::parse_from_bytes(bytes).map_err(|error| StoreError::Read(Corruption::Decode(error)))
}

pub(crate) struct Node {
    raw: RawNode<Store>,
    state_machine: StateMachine,
    status: RaftStatus,
    /// To be proposed once the consensus has nothing ready: in between it takes nothing in.
    proposals: Vec<Vec<u8>>,
    /// Rounds to be confirmed by a majority, which wait for the same.
    rounds: Vec<u64>,
    /// Rounds that a majority has confirmed, until the log is applied as far as it was committed when each began.
    confirmed: Vec<Confirmed>,
    kept_bytes: usize,
    kept_from: u64,
}

/// A round that a majority has confirmed.
struct Confirmed {
    round: u64,
    /// How far the log was committed when the round began.
    index: u64,
}

/// The gateway that takes part under a number: its own number is the lower part, and what is above tells apart the logs
/// that it had. One that lost its log comes back under another number: by the old one it may have voted.
pub(crate) fn gateway_id_of(id: u64) -> u64 {
    id & 0xFFFF
}

/// A number for gateway `gateway` with a log that it never had before.
pub(crate) fn raft_id(gateway: u64, incarnation: u32) -> u64 {
    u64::from(incarnation) << 16 | gateway
}

impl Node {
    /// A gateway's consensus on its store, with an election timeout of so many ticks.
    pub(crate) fn new(
        id: u64,
        store: Store,
        state_machine: StateMachine,
        election: usize,
        now: Micros,
    ) -> Result<Node, NodeError> {
        let applied = store.latest_snapshot().get_metadata().index;
        let config = Config {
            id,
            election_tick: election,
            heartbeat_tick: (election / 5).max(1),
            applied,
            max_size_per_msg: MESSAGE,
            max_inflight_msgs: IN_FLIGHT,
            max_uncommitted_size: UNCOMMITTED,
            check_quorum: true,
            pre_vote: true,
            // A majority answers each round: no clock has a part in it.
            read_only_option: ReadOnlyOption::Safe,
            ..Config::default()
        };
        let data = store.latest_snapshot().get_data().to_vec();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&config, store, &logger)?;
        let status = RaftStatus {
            applied,
            ..RaftStatus::default()
        };
        let (proposals, rounds, confirmed) = (Vec::new(), Vec::new(), Vec::new());
        let mut node = Node {
            raw,
            state_machine,
            status,
            proposals,
            rounds,
            confirmed,
            kept_bytes: 0,
            kept_from: applied,
        };
        if !data.is_empty() {
            node.state_machine
                .handle(now, Event::Restored(&data), &mut Vec::new())?;
        }
        Ok(node)
    }

    /// The number under which it takes part.
    pub(crate) fn id(&self) -> u64 {
        self.raw.raft.id
    }

    pub(crate) fn status(&self) -> RaftStatus {
        self.status
    }

    /// What is agreed, as far as it was applied here.
    #[cfg(test)]
    pub(crate) fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The latest snapshot that was stored, encoded; empty where there is none.
    #[cfg(test)]
    pub(crate) fn latest_snapshot(&self) -> &[u8] {
        self.raw.store().latest_snapshot().get_data()
    }

    pub(crate) fn tick(&mut self) {
        self.raw.tick();
    }

    /// A message from another member; one that makes no sense is dropped. Rounds are begun and answered by the leader's
    /// own node alone, so those that were passed on make no sense.
    pub(crate) fn step(&mut self, message: Message) {
        let kind = message.get_msg_type();
        let passed_on = matches!(
            kind,
            MessageType::MsgReadIndex | MessageType::MsgReadIndexResp
        );
        if message.to == self.raw.raft.id && !passed_on {
            let _ = self.raw.step(message);
        }
    }

    /// As leader, hands the leadership to the member that has most of the log: this one is about to end.
    pub(crate) fn transfer_leadership(&mut self) {
        let own = self.raw.raft.id;
        let voters = self.members().voters;
        let matched = |id: &u64| {
            self.raw
                .raft
                .prs()
                .get(*id)
                .map_or(0, |progress| progress.matched)
        };
        if let Some(next) = voters
            .into_iter()
            .filter(|id| *id != own)
            .max_by_key(matched)
        {
            if self.status.is_leader {
                self.raw.transfer_leader(next);
            }
        }
    }

    /// Who votes and who learns.
    fn members(&self) -> ConfState {
        self.raw.raft.prs().conf().to_conf_state()
    }

    /// As leader, takes a gateway that has another log than it had out of the consensus and in again, first as one that
    /// learns, then, once it has caught up, as one that votes if it is to. One change at a time.
    pub(crate) fn reconcile_membership(
        &mut self,
        known: &BTreeMap<u64, u64>,
        voters: &BTreeSet<u64>,
    ) {
        let members = self.members();
        if !self.status.is_leader || !members.voters_outgoing.is_empty() {
            return;
        }
        let of = |gateway: u64| {
            let all = members.voters.iter().chain(&members.learners).copied();
            all.filter(move |id| gateway_id_of(*id) == gateway)
        };
        let single = |kind: ConfChangeType, id: u64| {
            let mut change = ConfChangeSingle {
                node_id: id,
                ..Default::default()
            };
            change.set_change_type(kind);
            change
        };
        for (&gateway, &id) in known
            .iter()
            .filter(|(gateway, _)| **gateway != gateway_id_of(self.raw.raft.id))
        {
            let mut changes: Vec<ConfChangeSingle> = Vec::new();
            if !of(gateway).any(|other| other == id) {
                changes.extend(of(gateway).map(|old| single(ConfChangeType::RemoveNode, old)));
                changes.push(single(ConfChangeType::AddLearnerNode, id));
            } else if voters.contains(&gateway) && members.learners.contains(&id) {
                let progress = self.raw.raft.prs().get(id);
                let matched = progress.map_or(0, |progress| progress.matched);
                if matched + CAUGHT_UP >= self.raw.raft.raft_log.committed {
                    changes.push(single(ConfChangeType::AddNode, id));
                }
            }
            if !changes.is_empty() {
                let change = ConfChangeV2 {
                    changes: changes.into(),
                    ..Default::default()
                };
                let _ = self.raw.propose_conf_change(Vec::new(), change);
                return;
            }
        }
    }

    pub(crate) fn report_unreachable(&mut self, peer: u64) {
        self.raw.report_unreachable(peer);
    }

    pub(crate) fn report_snapshot(&mut self, peer: u64, complete: bool) {
        let status = if complete {
            SnapshotStatus::Finish
        } else {
            SnapshotStatus::Failure
        };
        self.raw.report_snapshot(peer, status);
    }

    /// Feeds what is agreed with an event of this gateway's own.
    pub(crate) fn handle(
        &mut self,
        now: Micros,
        event: Event,
        out: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        let mut actions = Vec::new();
        self.state_machine.handle(now, event, &mut actions)?;
        for action in actions {
            match action {
                Action::Propose(bytes) => self.proposals.push(bytes),
                Action::Confirm(round) => self.rounds.push(round),
                other => out.push(other),
            }
        }
        Ok(())
    }

    /// Hands proposals and rounds to the consensus. Without a leader proposals are lost, and so are rounds where this
    /// member does not lead: another's confirmation must never pass for one of its own. Whoever needs them asks again.
    fn propose(&mut self) {
        for bytes in std::mem::take(&mut self.proposals) {
            let _ = self.raw.propose(Vec::new(), bytes);
        }
        for round in std::mem::take(&mut self.rounds) {
            if self.raw.raft.state == StateRole::Leader {
                self.raw.read_index(round.to_le_bytes().to_vec());
            }
        }
    }

    /// Notes the rounds that a majority has confirmed.
    fn note_confirmed(&mut self, states: Vec<ReadState>) {
        let rounds = states.into_iter().filter_map(|state| {
            let round = u64::from_le_bytes(state.request_ctx.try_into().ok()?);
            Some(Confirmed {
                round,
                index: state.index,
            })
        });
        self.confirmed.extend(rounds);
    }

    /// Tells what is agreed of confirmed rounds, each once all that was committed when it began is applied.
    fn tell_confirmed(&mut self, now: Micros, out: &mut Vec<Action>) -> Result<(), NodeError> {
        let applied = self.status.applied;
        let (due, wait) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|c| c.index <= applied);
        self.confirmed = wait;
        let due: Vec<Confirmed> = due;
        due.into_iter()
            .try_for_each(|confirmed| self.handle(now, Event::Confirmed(confirmed.round), out))
    }

    /// Tells what is agreed who leads, where that has changed.
    fn note_leader(
        &mut self,
        now: Micros,
        leader: u64,
        leads: bool,
        out: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        if leader != self.status.leader {
            self.status.leader = leader;
            let gateway = u32::try_from(gateway_id_of(leader))
                .ok()
                .filter(|gateway| *gateway != 0);
            self.handle(now, Event::Leader(gateway), out)?;
        }
        if leads != self.status.is_leader {
            self.status.is_leader = leads;
            self.rounds.clear();
            self.confirmed.clear();
            self.handle(now, Event::Leading(leads), out)?;
        }
        Ok(())
    }

    /// Stores, sends and applies what the consensus has ready.
    pub(crate) fn process_ready(
        &mut self,
        now: Micros,
        out: &mut Vec<Action>,
        send: &mut impl FnMut(Message),
    ) -> Result<(), NodeError> {
        self.propose();
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            ready.take_messages().into_iter().for_each(&mut *send);
            let snapshot = Some(ready.snapshot().clone()).filter(|snapshot| !snapshot.is_empty());
            self.raw
                .mut_store()
                .persist(snapshot.as_ref(), ready.entries(), ready.hs())?;
            if let Some(snapshot) = snapshot {
                self.status.applied = snapshot.get_metadata().index;
                (self.kept_from, self.kept_bytes) = (self.status.applied, 0);
                self.handle(now, Event::Restored(snapshot.get_data()), out)?;
            }
            self.apply(now, &ready.take_committed_entries(), out)?;
            ready
                .take_persisted_messages()
                .into_iter()
                .for_each(&mut *send);
            if let Some(soft) = ready.ss() {
                let (leader, leads) = (soft.leader_id, soft.raft_state == StateRole::Leader);
                self.note_leader(now, leader, leads, out)?;
            }
            let states = ready.take_read_states();
            if self.status.is_leader {
                self.note_confirmed(states);
            }
            let mut light = self.raw.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.raw.mut_store().set_commit(commit);
            }
            light.take_messages().into_iter().for_each(&mut *send);
            self.apply(now, &light.take_committed_entries(), out)?;
            self.raw.advance_apply();
            self.tell_confirmed(now, out)?;
            self.propose();
        }
        self.status.term = self.raw.raft.term;
        let over =
            self.status.applied - self.kept_from >= ENTRIES_KEPT || self.kept_bytes >= BYTES_KEPT;
        if over {
            let data = self.state_machine.snapshot();
            self.raw.mut_store().compact(self.status.applied, data)?;
            (self.kept_from, self.kept_bytes) = (self.status.applied, 0);
        }
        Ok(())
    }

    fn apply(
        &mut self,
        now: Micros,
        entries: &[Entry],
        out: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        for entry in entries {
            self.status.applied = entry.index;
            self.kept_bytes += entry.data.len();
            let change = match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    self.handle(now, Event::Committed(&entry.data), out)?;
                    continue;
                }
                EntryType::EntryConfChange => read::<ConfChange>(&entry.data)?.into_v2(),
                EntryType::EntryConfChangeV2 => read::<ConfChangeV2>(&entry.data)?,
            };
            let members = self.raw.apply_conf_change(&change)?;
            info!(at = now, voters = ?members.voters, learners = ?members.learners, "log: members");
            self.raw.mut_store().set_members(&members)?;
        }
        Ok(())
    }
}

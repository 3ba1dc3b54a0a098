//! The Raft node of a control member: it owns the log's store and the replicated state machine.
//!
//! Messages of other members, ticks and events of this member go in; what Raft has ready is stored, applied and sent in
//! the order that Raft requires ([`Node::process_ready`]): nothing that other members rely on is sent before it is
//! durable, and entries are applied in log order once they are committed.
//!
//! It opens no connections, has no timers and no threads, and retries nothing: proposals without a leader and read-index
//! rounds without leadership are dropped, and the state machine requests them again when it still needs them.

mod membership;

pub(crate) use membership::{gateway_id_of, raft_id};

use crate::state_machine::{Action, ApplyError, Event, StateMachine};
use crate::store::{Corruption, Store, StoreError};
use crate::Micros;
use raft::eraftpb::{ConfChange, ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType};
use raft::{Config, RawNode, ReadOnlyOption, ReadState, Ready, SnapshotStatus, StateRole};
use raft_proto::ConfChangeI;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Applied entries from which on a snapshot replaces them; until then they are kept in memory.
const MAX_LOG_ENTRIES: u64 = 4_096;
/// Bytes of applied entries from which on a snapshot replaces them.
const MAX_LOG_BYTES: usize = 1 << 20;
/// Bytes of entries in one message.
const MAX_MESSAGE_BYTES: u64 = 128 * 1024;
/// Messages with entries that may be in flight to one peer.
const MAX_IN_FLIGHT_MESSAGES: usize = 16;
/// Bytes of proposals that may wait to be committed; further proposals are dropped.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;
/// The most entries that a learner may be behind the commit index when it becomes a voter.
const MAX_LEARNER_LAG: u64 = 64;
/// Heartbeats that a leader sends within an election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: usize = 5;

/// An error after which this member no longer takes part in the log. Its gateway serves clients without the log.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The log's store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// An entry or a snapshot can't be applied.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// Raft reached a state from which it can't go on.
    #[error(
        "Raft stopped: {0}; report this error, and remove the log's folder, so that this gateway gets the log from its \
         peers again"
    )]
    Raft(#[from] raft::Error),
}

/// The Raft state of this member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RaftStatus {
    /// The Raft id of the leader; 0 where none is known.
    pub leader: u64,
    /// Whether this member is the leader.
    pub is_leader: bool,
    pub term: u64,
    /// The index of the last entry applied.
    pub applied: u64,
}

/// A control member's Raft node.
pub(crate) struct Node {
    raw: RawNode<Store>,
    state_machine: StateMachine,
    status: RaftStatus,
    /// Proposals to submit when Raft has nothing ready: until its ready state is processed, it accepts none.
    proposals: Vec<Vec<u8>>,
    /// Read-index rounds to begin when the proposals are submitted.
    requested_rounds: Vec<u64>,
    /// Rounds that a quorum confirmed, until the entries that were committed when they began are applied.
    confirmed_rounds: Vec<ConfirmedRound>,
    /// Bytes of the entries applied since the latest snapshot.
    log_bytes: usize,
    /// The index of the latest snapshot.
    snapshot_index: u64,
}

/// A read-index round in which a quorum confirmed the leader.
struct ConfirmedRound {
    round: u64,
    /// The commit index when the round began.
    commit: u64,
}

impl Node {
    /// Creates a node on its store, with an election timeout of `election_ticks`, and restores the store's snapshot.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the state in the store is inconsistent, or its snapshot can't be restored.
    pub(crate) fn new(
        id: u64,
        store: Store,
        state_machine: StateMachine,
        election_ticks: usize,
        now: Micros,
    ) -> Result<Node, NodeError> {
        let applied = store.latest_snapshot().get_metadata().index;
        let data = store.latest_snapshot().get_data().to_vec();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raw = RawNode::new(&raft_config(id, election_ticks, applied), store, &logger)?;
        let mut node = Node {
            raw,
            state_machine,
            status: RaftStatus {
                applied,
                ..RaftStatus::default()
            },
            proposals: Vec::new(),
            requested_rounds: Vec::new(),
            confirmed_rounds: Vec::new(),
            log_bytes: 0,
            snapshot_index: applied,
        };
        if !data.is_empty() {
            let mut actions = Vec::new();
            node.state_machine
                .handle(now, Event::Restored(&data), &mut actions)?;
        }
        Ok(node)
    }

    /// The Raft id of this member.
    pub(crate) fn id(&self) -> u64 {
        self.raw.raft.id
    }

    pub(crate) fn status(&self) -> RaftStatus {
        self.status
    }

    /// The state after the entries applied here.
    #[cfg(test)]
    pub(crate) fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The latest snapshot that was stored, encoded; empty where there is none.
    #[cfg(test)]
    pub(crate) fn latest_snapshot(&self) -> &[u8] {
        self.raw.store().latest_snapshot().get_data()
    }

    /// Advances Raft's timers by one tick.
    pub(crate) fn tick(&mut self) {
        self.raw.tick();
    }

    /// Handles a message from another member, and drops one that is invalid. Only the leader's own node begins and answers
    /// read-index rounds, so messages that forward them are invalid.
    pub(crate) fn step(&mut self, message: Message) {
        let is_read_index = matches!(
            message.get_msg_type(),
            MessageType::MsgReadIndex | MessageType::MsgReadIndexResp
        );
        if message.to == self.raw.raft.id && !is_read_index {
            let _ = self.raw.step(message);
        }
    }

    /// As leader, transfers the leadership to the other voter whose log matches the leader's furthest.
    pub(crate) fn transfer_leadership(&mut self) {
        if !self.status.is_leader {
            return;
        }
        let own_id = self.raw.raft.id;
        let others = self.members().voters.into_iter().filter(|id| *id != own_id);
        if let Some(next) = others.max_by_key(|id| self.matched_index(*id)) {
            self.raw.transfer_leader(next);
        }
    }

    /// The last index at which a member's log is known to match the leader's; 0 where nothing is known.
    fn matched_index(&self, id: u64) -> u64 {
        let progress = self.raw.raft.prs().get(id);
        progress.map_or(0, |progress| progress.matched)
    }

    /// The voters and learners.
    fn members(&self) -> ConfState {
        self.raw.raft.prs().conf().to_conf_state()
    }

    /// As leader, proposes the next membership change that is needed for every gateway to take part under the Raft id of
    /// its present log: `raft_ids` by gateway number, with `voters` as voters. One change at a time.
    pub(crate) fn reconcile_membership(
        &mut self,
        raft_ids: &BTreeMap<u64, u64>,
        voters: &BTreeSet<u64>,
    ) {
        let members = self.members();
        let is_changing = !members.voters_outgoing.is_empty();
        if !self.status.is_leader || is_changing {
            return;
        }
        let own_gateway = gateway_id_of(self.raw.raft.id);
        let committed = self.raw.raft.raft_log.committed;
        let changes = raft_ids
            .iter()
            .filter(|(gateway, _)| **gateway != own_gateway)
            .map(|(&gateway, &id)| {
                let has_caught_up = || self.matched_index(id) + MAX_LEARNER_LAG >= committed;
                let is_voter = voters.contains(&gateway);
                membership::changes_for(&members, gateway, id, is_voter, has_caught_up)
            })
            .find(|changes| !changes.is_empty());
        if let Some(changes) = changes {
            let change = ConfChangeV2 {
                changes: changes.into(),
                ..Default::default()
            };
            // A change that Raft rejects is proposed again at a later tick.
            let _ = self.raw.propose_conf_change(Vec::new(), change);
        }
    }

    /// Reports that messages to a peer may have been lost.
    pub(crate) fn report_unreachable(&mut self, peer: u64) {
        self.raw.report_unreachable(peer);
    }

    /// Reports whether a snapshot was sent to a peer completely.
    pub(crate) fn report_snapshot(&mut self, peer: u64, complete: bool) {
        let status = if complete {
            SnapshotStatus::Finish
        } else {
            SnapshotStatus::Failure
        };
        self.raw.report_snapshot(peer, status);
    }

    /// Passes an event to the state machine. Its proposals and rounds are kept for Raft, its other actions go to
    /// `actions`.
    ///
    /// # Errors
    ///
    /// [`NodeError::Apply`]; the node must not be used any further then.
    pub(crate) fn handle(
        &mut self,
        now: Micros,
        event: Event,
        actions: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        let mut all_actions = Vec::new();
        self.state_machine.handle(now, event, &mut all_actions)?;
        for action in all_actions {
            match action {
                Action::Propose(bytes) => self.proposals.push(bytes),
                Action::RequestRound(round) => self.requested_rounds.push(round),
                other => actions.push(other),
            }
        }
        Ok(())
    }

    /// Stores, applies and sends what Raft has ready, until nothing is left.
    ///
    /// # Errors
    ///
    /// [`NodeError`]; the node must not be used any further then.
    pub(crate) fn process_ready(
        &mut self,
        now: Micros,
        actions: &mut Vec<Action>,
        send: &mut impl FnMut(Message),
    ) -> Result<(), NodeError> {
        self.submit_pending();
        while self.raw.has_ready() {
            self.process_one_ready(now, actions, send)?;
            self.submit_pending();
        }
        self.status.term = self.raw.raft.term;
        self.compact_if_due()
    }

    /// Submits proposals and rounds to Raft. Without a leader proposals are lost. Rounds are dropped unless this member is
    /// the leader: a round that confirmed another leader must never count as a confirmation of this member.
    fn submit_pending(&mut self) {
        for bytes in std::mem::take(&mut self.proposals) {
            let _ = self.raw.propose(Vec::new(), bytes);
        }
        for round in std::mem::take(&mut self.requested_rounds) {
            if self.raw.raft.state == StateRole::Leader {
                self.raw.read_index(round.to_le_bytes().to_vec());
            }
        }
    }

    fn process_one_ready(
        &mut self,
        now: Micros,
        actions: &mut Vec<Action>,
        send: &mut impl FnMut(Message),
    ) -> Result<(), NodeError> {
        let mut ready = self.raw.ready();
        ready.take_messages().into_iter().for_each(&mut *send);
        self.persist(now, &ready, actions)?;
        self.apply(now, &ready.take_committed_entries(), actions)?;
        ready
            .take_persisted_messages()
            .into_iter()
            .for_each(&mut *send);
        if let Some(soft_state) = ready.ss() {
            let is_leader = soft_state.raft_state == StateRole::Leader;
            self.update_leader(now, soft_state.leader_id, is_leader, actions)?;
        }
        let read_states = ready.take_read_states();
        if self.status.is_leader {
            let rounds = read_states.into_iter().filter_map(confirmed_round);
            self.confirmed_rounds.extend(rounds);
        }
        let mut light_ready = self.raw.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            self.raw.mut_store().set_commit(commit);
        }
        light_ready.take_messages().into_iter().for_each(&mut *send);
        self.apply(now, &light_ready.take_committed_entries(), actions)?;
        self.raw.advance_apply();
        self.report_confirmed_rounds(now, actions)
    }

    /// Makes entries, hard state and a received snapshot durable, and restores the snapshot.
    fn persist(
        &mut self,
        now: Micros,
        ready: &Ready,
        actions: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        let snapshot = Some(ready.snapshot()).filter(|snapshot| !snapshot.is_empty());
        let store = self.raw.mut_store();
        store.persist(snapshot, ready.entries(), ready.hs())?;
        if let Some(snapshot) = snapshot {
            self.status.applied = snapshot.get_metadata().index;
            self.reset_log_size();
            self.handle(now, Event::Restored(snapshot.get_data()), actions)?;
        }
        Ok(())
    }

    fn apply(
        &mut self,
        now: Micros,
        entries: &[Entry],
        actions: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        for entry in entries {
            self.status.applied = entry.index;
            self.log_bytes += entry.data.len();
            match entry.get_entry_type() {
                EntryType::EntryNormal => {
                    self.handle(now, Event::Committed(&entry.data), actions)?;
                }
                EntryType::EntryConfChange => {
                    let change: ConfChange = decode(&entry.data)?;
                    self.apply_membership(now, &change.into_v2())?;
                }
                EntryType::EntryConfChangeV2 => {
                    let change: ConfChangeV2 = decode(&entry.data)?;
                    self.apply_membership(now, &change)?;
                }
            }
        }
        Ok(())
    }

    fn apply_membership(&mut self, now: Micros, change: &ConfChangeV2) -> Result<(), NodeError> {
        let members = self.raw.apply_conf_change(change)?;
        info!(at = now, voters = ?members.voters, learners = ?members.learners, "log: membership changed");
        self.raw.mut_store().set_members(&members)?;
        Ok(())
    }

    /// Passes a change of the leader to the state machine. When this member becomes or ceases to be the leader, rounds
    /// that began before are dropped.
    fn update_leader(
        &mut self,
        now: Micros,
        leader: u64,
        is_leader: bool,
        actions: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        if leader != self.status.leader {
            self.status.leader = leader;
            let gateway = u32::try_from(gateway_id_of(leader))
                .ok()
                .filter(|gateway| *gateway != 0);
            self.handle(now, Event::Leader(gateway), actions)?;
        }
        if is_leader != self.status.is_leader {
            self.status.is_leader = is_leader;
            self.requested_rounds.clear();
            self.confirmed_rounds.clear();
            self.handle(now, Event::Leading(is_leader), actions)?;
        }
        Ok(())
    }

    /// Passes confirmed rounds to the state machine, each once all entries that were committed when it began are applied.
    fn report_confirmed_rounds(
        &mut self,
        now: Micros,
        actions: &mut Vec<Action>,
    ) -> Result<(), NodeError> {
        let applied = self.status.applied;
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.confirmed_rounds)
            .into_iter()
            .partition(|confirmed| confirmed.commit <= applied);
        self.confirmed_rounds = waiting;
        for confirmed in due {
            self.handle(now, Event::RoundConfirmed(confirmed.round), actions)?;
        }
        Ok(())
    }

    /// Replaces the applied entries by a snapshot once they reach [`MAX_LOG_ENTRIES`] or [`MAX_LOG_BYTES`].
    fn compact_if_due(&mut self) -> Result<(), NodeError> {
        let log_entries = self.status.applied - self.snapshot_index;
        if log_entries >= MAX_LOG_ENTRIES || self.log_bytes >= MAX_LOG_BYTES {
            let data = self.state_machine.snapshot();
            self.raw.mut_store().compact(self.status.applied, data)?;
            self.reset_log_size();
        }
        Ok(())
    }

    /// Counts entries and bytes anew after the last entry applied, which the latest snapshot includes.
    fn reset_log_size(&mut self) {
        self.snapshot_index = self.status.applied;
        self.log_bytes = 0;
    }
}

fn raft_config(id: u64, election_ticks: usize, applied: u64) -> Config {
    Config {
        id,
        election_tick: election_ticks,
        heartbeat_tick: (election_ticks / HEARTBEATS_PER_ELECTION_TIMEOUT).max(1),
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_IN_FLIGHT_MESSAGES,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        check_quorum: true,
        pre_vote: true,
        // A quorum confirms each read-index round, so reads rely on no clock.
        read_only_option: ReadOnlyOption::Safe,
        ..Config::default()
    }
}

fn decode<M: protobuf::Message>(bytes: &[u8]) -> Result<M, StoreError> {
    M::parse_from_bytes(bytes).map_err(|error| StoreError::Read(Corruption::Decode(error)))
}

/// The round that Raft reports as confirmed; none if its context is not a number, as it is in all rounds that this node
/// begins.
fn confirmed_round(state: ReadState) -> Option<ConfirmedRound> {
    let round = state.request_ctx.try_into().map(u64::from_le_bytes).ok()?;
    Some(ConfirmedRound {
        round,
        commit: state.index,
    })
}

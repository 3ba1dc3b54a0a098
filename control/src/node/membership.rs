//! Raft ids, and the membership changes by which each gateway takes part under the Raft id of its present log.

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfState};

/// Bits of a Raft id that hold the gateway's number.
const GATEWAY_BITS: u32 = 16;

/// The Raft id of a gateway with a new log: its number in the lower bits, and above them the incarnation that started the
/// log. A gateway that lost its log gets another id, as it may have voted under the old one and lost the record of it.
pub(crate) fn raft_id(gateway: u64, incarnation: u32) -> u64 {
    u64::from(incarnation) << GATEWAY_BITS | gateway
}

/// The number of the gateway that a Raft id belongs to.
pub(crate) fn gateway_id_of(id: u64) -> u64 {
    id & ((1 << GATEWAY_BITS) - 1)
}

/// The next membership change for a gateway whose log has the Raft id `id`; empty if none is needed.
///
/// An id that is not a member yet is added as a learner and replaces all other ids of its gateway. A learner becomes a
/// voter once it has caught up with the log, if its gateway `is_voter`.
pub(super) fn changes_for(
    members: &ConfState,
    gateway: u64,
    id: u64,
    is_voter: bool,
    has_caught_up: impl FnOnce() -> bool,
) -> Vec<ConfChangeSingle> {
    let all_ids = members.voters.iter().chain(&members.learners).copied();
    let current: Vec<u64> = all_ids
        .filter(|member| gateway_id_of(*member) == gateway)
        .collect();
    if !current.contains(&id) {
        let removals = current
            .iter()
            .map(|old| change(ConfChangeType::RemoveNode, *old));
        let addition = change(ConfChangeType::AddLearnerNode, id);
        return removals.chain([addition]).collect();
    }
    if is_voter && members.learners.contains(&id) && has_caught_up() {
        return vec![change(ConfChangeType::AddNode, id)];
    }
    Vec::new()
}

fn change(kind: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut change = ConfChangeSingle {
        node_id: id,
        ..Default::default()
    };
    change.set_change_type(kind);
    change
}

#[cfg(test)]
mod tests;

use super::*;

const GATEWAY: u64 = 2;
const OLD_ID: u64 = GATEWAY;

fn members(voters: &[u64], learners: &[u64]) -> ConfState {
    ConfState {
        voters: voters.to_vec(),
        learners: learners.to_vec(),
        ..Default::default()
    }
}

/// The kind and Raft id of each change.
fn kinds_and_ids(changes: &[ConfChangeSingle]) -> Vec<(ConfChangeType, u64)> {
    changes
        .iter()
        .map(|change| (change.get_change_type(), change.node_id))
        .collect()
}

#[test]
fn raft_id_keeps_gateway_and_differs_by_incarnation() {
    for gateway in [1, GATEWAY, 65_535] {
        let (first, second) = (raft_id(gateway, 7), raft_id(gateway, u32::MAX));
        assert_ne!(first, second);
        assert_eq!(gateway_id_of(first), gateway);
        assert_eq!(gateway_id_of(second), gateway);
        assert_eq!(gateway_id_of(gateway), gateway);
    }
}

#[test]
fn new_id_replaces_old_one_as_learner() {
    let id = raft_id(GATEWAY, 9);
    let changes = changes_for(&members(&[1, OLD_ID, 3], &[]), GATEWAY, id, true, || true);
    assert_eq!(
        kinds_and_ids(&changes),
        [
            (ConfChangeType::RemoveNode, OLD_ID),
            (ConfChangeType::AddLearnerNode, id)
        ]
    );
}

#[test]
fn learner_becomes_voter_once_caught_up() {
    let id = raft_id(GATEWAY, 9);
    let members = members(&[1, 3], &[id]);
    let behind = changes_for(&members, GATEWAY, id, true, || false);
    assert_eq!(kinds_and_ids(&behind), []);
    let no_voter = changes_for(&members, GATEWAY, id, false, || true);
    assert_eq!(kinds_and_ids(&no_voter), []);
    let caught_up = changes_for(&members, GATEWAY, id, true, || true);
    assert_eq!(kinds_and_ids(&caught_up), [(ConfChangeType::AddNode, id)]);
}

#[test]
fn voter_under_its_id_needs_no_change() {
    let members = members(&[1, OLD_ID, 3], &[]);
    let changes = changes_for(&members, GATEWAY, OLD_ID, true, || true);
    assert_eq!(kinds_and_ids(&changes), []);
}

use super::*;

const KIB: usize = 1024;

#[test]
fn plan_stays_within_the_limit_at_all_sizes() {
    for memory_mb in [32, 48, 56, 96, 192] {
        for sessions in [145, 250, 400, 624] {
            let plan = MemoryPlan::divide(memory_mb, sessions);
            let planned = PROCESS_BYTES + plan.max_sessions * SESSION_BYTES + plan.held_bytes;
            assert!(planned <= memory_mb * MIB / 10 * 9, "{memory_mb} MB");
            assert!(plan.held_bytes >= 5 * MIB, "{memory_mb} MB, {sessions}");
            assert!(plan.max_sessions >= sessions.min(600), "{memory_mb} MB");
        }
    }
}

#[test]
fn plan_of_hardly_any_memory_keeps_a_session() {
    assert_eq!(MemoryPlan::divide(0, 600).max_sessions, 1);
    assert_eq!(MemoryPlan::divide(1, 600).held_bytes, 0);
}

#[test]
fn input_of_one_owner_leaves_as_much_for_others() {
    let mut budget = MemoryBudget::new(800 * KIB);
    while budget.has_room(&1, Purpose::Input, 10 * KIB) {
        budget.hold(&1, Purpose::Input, 10 * KIB);
    }
    // Input may take 500 of 800 KiB, and one owner half of them.
    assert_eq!(budget.held(), 250 * KIB);
    assert!(budget.has_room(&2, Purpose::Input, 200 * KIB));
}

#[test]
fn input_gives_way_to_requests_and_these_to_answers() {
    let mut budget = MemoryBudget::new(800 * KIB);
    budget.hold(&1, Purpose::Input, 500 * KIB);
    assert!(!budget.has_room(&2, Purpose::Input, 1));
    assert!(budget.has_room(&2, Purpose::Request, 100 * KIB));
    budget.hold(&2, Purpose::Request, 100 * KIB);
    assert!(!budget.has_room(&2, Purpose::Request, 1));
    assert!(budget.has_room(&2, Purpose::Answer, 200 * KIB));
    assert!(!budget.has_room(&2, Purpose::Answer, 201 * KIB));
}

#[test]
fn released_bytes_are_forgotten() {
    let mut budget = MemoryBudget::new(800 * KIB);
    for owner in 0..1_000 {
        budget.hold(&owner, Purpose::Input, KIB);
        budget.release(&owner, Purpose::Input, KIB);
    }
    assert_eq!((budget.held(), budget.input.len()), (0, 0));
}

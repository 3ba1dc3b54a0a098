use super::*;

/// What a turn is charged when it is granted.
const QUANTUM: Micros = 200;

/// Connections that always have work, and the costs of their turns.
struct Busy {
    owner: u32,
    account: Account,
    turn_cost: Micros,
    used: Micros,
}

/// Runs connections that always have a next step, for so many turns.
fn run(queue: &mut FairQueue<u32, usize>, busy: &mut [Busy], turns: usize) {
    for _ in 0..turns {
        let Some(number) = queue.grant(QUANTUM) else {
            return;
        };
        let connection = &mut busy[number];
        let cost = connection.turn_cost;
        connection.used += cost;
        queue.charge(&connection.owner, &mut connection.account, cost, QUANTUM);
        queue.enqueue(&connection.owner, &connection.account, number);
    }
}

fn start(queue: &mut FairQueue<u32, usize>, connections: &[(u32, Micros)]) -> Vec<Busy> {
    let mut busy = Vec::new();
    for (number, &(owner, turn_cost)) in connections.iter().enumerate() {
        let account = queue.open(&owner, 0);
        queue.enqueue(&owner, &account, number);
        busy.push(Busy {
            owner,
            account,
            turn_cost,
            used: 0,
        });
    }
    busy
}

fn used_by(busy: &[Busy], owner: u32) -> Micros {
    let of_owner = busy.iter().filter(|connection| connection.owner == owner);
    of_owner.map(|connection| connection.used).sum()
}

#[test]
fn owners_get_equal_time_whatever_their_connections() {
    let mut queue = FairQueue::default();
    let mut connections = vec![(1, QUANTUM)];
    connections.extend(vec![(2, QUANTUM); 40]);
    let mut busy = start(&mut queue, &connections);
    run(&mut queue, &mut busy, 2_000);
    let (one, many) = (used_by(&busy, 1), used_by(&busy, 2));
    assert!(one.abs_diff(many) <= 2 * QUANTUM, "{one} and {many} us");
}

#[test]
fn connections_of_an_owner_get_equal_time_whatever_their_turns_cost() {
    let mut queue = FairQueue::default();
    let mut busy = start(&mut queue, &[(1, 50), (1, QUANTUM), (1, 1_000)]);
    run(&mut queue, &mut busy, 2_000);
    let used: Vec<Micros> = busy.iter().map(|connection| connection.used).collect();
    let (least, most) = (used.iter().min(), used.iter().max());
    assert!(
        most.expect("three") - least.expect("three") <= 2_000,
        "{used:?} us"
    );
}

#[test]
fn connection_that_rarely_works_goes_first() {
    let mut queue = FairQueue::default();
    // Of the same owner, so that only what each connection has used tells them apart.
    let mut account = queue.open(&1, 0);
    let mut busy = start(&mut queue, &[(1, QUANTUM); 300]);
    run(&mut queue, &mut busy, 1_000);
    for _ in 0..10 {
        queue.enqueue(&1, &account, 300);
        assert_eq!(queue.grant(QUANTUM), Some(300));
        queue.charge(&1, &mut account, QUANTUM / 4, QUANTUM);
        // All the others have a turn while it rests.
        run(&mut queue, &mut busy, 300);
    }
}

#[test]
fn new_connections_do_not_keep_others_of_their_owner_from_working() {
    let mut queue = FairQueue::default();
    let mut busy = start(&mut queue, &[(1, QUANTUM)]);
    let mut turns_of_busy = 0;
    for number in 1..=1_000 {
        let mut account = queue.open(&1, QUANTUM / 4);
        queue.enqueue(&1, &account, number);
        while queue.grant(QUANTUM) == Some(0) {
            turns_of_busy += 1;
            queue.charge(&1, &mut busy[0].account, QUANTUM, QUANTUM);
            queue.enqueue(&1, &busy[0].account, 0);
        }
        queue.charge(&1, &mut account, QUANTUM, QUANTUM);
        queue.close(&1);
    }
    // Each new connection advances the time of its owner by what it is charged for coming.
    assert!(turns_of_busy >= 200, "{turns_of_busy} turns");
}

#[test]
fn connection_of_another_owner_starts_at_once() {
    let mut queue = FairQueue::default();
    let mut busy = start(&mut queue, &[(1, QUANTUM); 300]);
    run(&mut queue, &mut busy, 1_000);
    let mut account = queue.open(&2, 0);
    assert!(queue.may_start(&2, &account));
    queue.charge(&2, &mut account, 10 * QUANTUM, 0);
    // It has used its share now, and waits for its turn like the others.
    assert!(!queue.may_start(&2, &account));
}

#[test]
fn reconnecting_does_not_renew_a_share() {
    let mut queue = FairQueue::default();
    let mut busy = start(&mut queue, &[(1, QUANTUM); 2]);
    run(&mut queue, &mut busy, 10);
    let mut account = queue.open(&2, 0);
    queue.charge(&2, &mut account, 50 * QUANTUM, 0);
    queue.close(&2);
    let account = queue.open(&2, 0);
    assert!(!queue.may_start(&2, &account));
}

#[test]
fn owners_are_forgotten_once_they_are_square() {
    let mut queue: FairQueue<u32, usize> = FairQueue::default();
    for owner in 0..10_000 {
        let mut account = queue.open(&owner, 0);
        queue.charge(&owner, &mut account, QUANTUM, 0);
        queue.close(&owner);
    }
    assert!(
        queue.owner_count() <= 2 * MIN_SWEEP_OWNERS,
        "{} owners",
        queue.owner_count()
    );
}

#[test]
fn connection_that_leaves_is_not_granted_a_turn() {
    let mut queue = FairQueue::default();
    let (first, second) = (queue.open(&1, 0), queue.open(&1, 0));
    let ticket = queue.enqueue(&1, &first, 1);
    queue.enqueue(&1, &second, 2);
    queue.leave(&1, ticket);
    assert_eq!(queue.grant(QUANTUM), Some(2));
    assert_eq!(queue.grant(QUANTUM), None);
    let ticket = queue.enqueue(&1, &first, 3);
    queue.leave(&1, ticket);
    assert!(queue.is_empty());
    assert_eq!(queue.grant(QUANTUM), None);
}

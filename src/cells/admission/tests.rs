use super::super::placement::{Cell, Home, Order, Published};
use super::super::tenants::Source;
use super::*;

fn placement(epoch: u64, homes: Vec<(String, Home)>) -> Placement {
    let cell = |name: &str, groups: &[u64]| Cell {
        name: name.into(),
        groups: groups.to_vec(),
    };
    let cells = vec![cell("one", &[10, 11]), cell("two", &[20, 21])];
    let published = Published {
        epoch: Epoch(epoch),
        cells,
        spread: 1,
        order: Order::Bytes,
        ranges: vec![],
        homes,
    };
    Placement::new(published).expect("good")
}

fn home(cell: u16, epoch: u64, held: bool) -> Home {
    Home {
        cell: CellId(cell),
        epoch: Epoch(epoch),
        held,
        settling: false,
    }
}

fn gate(homes: Vec<(String, Home)>) -> CellAdmission {
    let rules = AdmissionRules {
        tenant_resolver: TenantResolver::new(vec![Source::User]).expect("good"),
        bounds: vec![(
            "one".into(),
            Bounds {
                requests: 1,
                ..Bounds::default()
            },
        )],
        ..AdmissionRules::default()
    };
    CellAdmission::new(rules, placement(1, homes), 1_000)
}

const READ: &[u8] = b"SELECT 1 /* c=a */";

fn ask(
    gate: &mut CellAdmission,
    now: Micros,
    user: &str,
    write: bool,
) -> Result<Admitted, Rejection> {
    let caller = Caller {
        user,
        ..Caller::default()
    };
    gate.admit(now, &caller, (0, b""), READ, write)
}

#[test]
fn a_request_goes_to_its_tenants_cell_and_a_full_cell_refuses_its_own_only() {
    let mut gate = gate(vec![
        ("a".into(), home(0, 1, false)),
        ("b".into(), home(1, 1, false)),
    ]);
    let first = ask(&mut gate, 0, "a", true).expect("room");
    assert!([GroupId(10), GroupId(11)].contains(&first.group));
    assert!(matches!(
        ask(&mut gate, 0, "a", false),
        Err(Rejection::Exhausted(Exhausted::Requests, _))
    ));
    assert!(
        [GroupId(20), GroupId(21)].contains(&ask(&mut gate, 0, "b", false).expect("room").group)
    );
    gate.request_ended(50, &first);
    ask(&mut gate, 60, "a", false).expect("room again");
    assert_eq!(ask(&mut gate, 60, "", false), Err(Rejection::UnknownTenant));
    assert_eq!(
        gate.counts(),
        [("one".to_owned(), 1, 1), ("two".to_owned(), 1, 0)]
    );
}

#[test]
fn writes_wait_out_a_move_and_a_placement_that_is_too_old_while_reads_go_on() {
    let mut gate = gate(vec![("b".into(), home(1, 1, true))]);
    assert_eq!(
        ask(&mut gate, 0, "b", true),
        Err(Rejection::Moving(MIGRATING_RETRY_AFTER_US))
    );
    ask(&mut gate, 0, "b", false).expect("a read");
    assert!(
        !gate.update_placement(placement(0, vec![]), 9_000),
        "back in epoch"
    );
    assert!(gate.update_placement(placement(2, vec![("b".into(), home(0, 2, false))]), 2_000));
    let moved = ask(&mut gate, 1_500, "b", true).expect("moved");
    assert!(moved.cell == CellId(0) && moved.epoch == Epoch(2));
    gate.request_ended(1_600, &moved);
    assert_eq!(
        ask(&mut gate, 2_000, "b", true),
        Err(Rejection::Stale(MIGRATING_RETRY_AFTER_US))
    );
    ask(&mut gate, 2_000, "b", false).expect("a read");
    gate.renew_lease(3_000);
    assert!(matches!(
        ask(&mut gate, 2_000, "b", true),
        Err(Rejection::Exhausted(..))
    ));
}

#[test]
fn poison_is_shut_out_at_arrival_and_between_attempts() {
    let mut gate = gate(vec![("b".into(), home(1, 1, false))]);
    let admitted = ask(&mut gate, 0, "b", false).expect("room");
    assert_eq!(
        gate.admit_attempt(0, &admitted, Idempotency::Idempotent, true, 2),
        QuarantineDecision::Refuse
    );
    for member in [MemberId(1), MemberId(2)] {
        assert_eq!(
            gate.admit_attempt(0, &admitted, Idempotency::Idempotent, false, 0),
            QuarantineDecision::Allow
        );
        gate.attempt_ended(0, &admitted, member, MemberOutcome::Crashed);
    }
    assert_eq!(
        gate.admit_attempt(0, &admitted, Idempotency::NonIdempotent, true, 0),
        QuarantineDecision::Fail
    );
    assert_eq!(ask(&mut gate, 0, "b", false), Err(Rejection::Poison));
    assert_eq!(gate.quarantined(0).len(), 1);
}

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
    Placement::new(published).expect("valid")
}

fn home(cell: u16, epoch: u64, held: bool) -> Home {
    Home {
        cell: CellId(cell),
        epoch: Epoch(epoch),
        held,
        settling: false,
    }
}

fn admission(homes: Vec<(String, Home)>) -> CellAdmission {
    let rules = AdmissionRules {
        tenant_resolver: TenantResolver::new(vec![Source::User]).expect("valid"),
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

fn admit(
    admission: &mut CellAdmission,
    now: Micros,
    user: &str,
    write: bool,
) -> Result<Admitted, Rejection> {
    let caller = Caller {
        user,
        ..Caller::default()
    };
    admission.admit(now, &caller, (0, b""), READ, write)
}

fn attempt(idempotency: Idempotency, may_have_run: bool, failed_members: usize) -> Attempt {
    Attempt {
        write: idempotency != Idempotency::Idempotent,
        idempotency,
        may_have_run,
        failed_members,
    }
}

#[test]
fn full_cell_rejects_only_requests_of_its_own_tenants() {
    let mut admission = admission(vec![
        ("a".into(), home(0, 1, false)),
        ("b".into(), home(1, 1, false)),
    ]);
    let first = admit(&mut admission, 0, "a", true).expect("the cell has capacity");
    assert!([GroupId(10), GroupId(11)].contains(&first.group));
    assert!(matches!(
        admit(&mut admission, 0, "a", false),
        Err(Rejection::Exhausted(Exhausted::Requests, _))
    ));
    assert!([GroupId(20), GroupId(21)].contains(
        &admit(&mut admission, 0, "b", false)
            .expect("the cell has capacity")
            .group
    ));
    admission.request_ended(50, &first);
    admit(&mut admission, 60, "a", false).expect("capacity was released");
    assert_eq!(
        admit(&mut admission, 60, "", false),
        Err(Rejection::UnknownTenant)
    );
    assert_eq!(
        admission.counts(),
        [("one".to_owned(), 1, 1), ("two".to_owned(), 1, 0)]
    );
}

#[test]
fn migration_and_expired_lease_reject_writes_but_not_reads() {
    let mut admission = admission(vec![("b".into(), home(1, 1, true))]);
    assert_eq!(
        admit(&mut admission, 0, "b", true),
        Err(Rejection::Migrating(MIGRATING_RETRY_AFTER_US))
    );
    admit(&mut admission, 0, "b", false).expect("reads are admitted");
    assert!(
        !admission.update_placement(placement(0, vec![]), 9_000),
        "an older epoch"
    );
    assert!(admission.update_placement(placement(2, vec![("b".into(), home(0, 2, false))]), 2_000));
    let migrated = admit(&mut admission, 1_500, "b", true).expect("migrated");
    assert!(migrated.cell == CellId(0) && migrated.epoch == Epoch(2));
    admission.request_ended(1_600, &migrated);
    assert_eq!(
        admit(&mut admission, 2_000, "b", true),
        Err(Rejection::StalePlacement(MIGRATING_RETRY_AFTER_US))
    );
    admit(&mut admission, 2_000, "b", false).expect("reads are admitted");
    admission.renew_lease(3_000);
    assert!(matches!(
        admit(&mut admission, 2_000, "b", true),
        Err(Rejection::Exhausted(..))
    ));
}

#[test]
fn quarantine_applies_on_arrival_and_before_each_attempt() {
    let mut admission = admission(vec![("b".into(), home(1, 1, false))]);
    let admitted = admit(&mut admission, 0, "b", false).expect("the cell has capacity");
    let quarantined = |retry_is_harmless| {
        Err(SendRefusal {
            reason: Rejection::Quarantined,
            retry_is_harmless,
        })
    };
    let read = attempt(Idempotency::Idempotent, false, 0);
    assert_eq!(
        admission.check_send(0, &admitted, attempt(Idempotency::Idempotent, true, 2)),
        quarantined(true)
    );
    for member in [MemberId(1), MemberId(2)] {
        assert_eq!(admission.check_send(0, &admitted, read), Ok(()));
        admission.attempt_ended(0, &admitted, member, MemberOutcome::Crashed);
    }
    assert_eq!(
        admission.check_send(0, &admitted, attempt(Idempotency::NonIdempotent, true, 0)),
        quarantined(false)
    );
    assert_eq!(
        admit(&mut admission, 0, "b", false),
        Err(Rejection::Quarantined)
    );
    assert_eq!(admission.quarantined(0).len(), 1);
}

/// A write that waited in the router's queue was sent to the cell that its tenant had left: the placement was looked at on its
/// arrival only.
#[test]
fn placement_in_force_decides_each_send() {
    let mut admission = admission(vec![("b".into(), home(1, 1, false))]);
    let admitted = admit(&mut admission, 0, "b", true).expect("the cell has capacity");
    let (first, repeat) = (
        attempt(Idempotency::NonIdempotent, false, 0),
        attempt(Idempotency::NonIdempotent, true, 0),
    );
    let read = attempt(Idempotency::Idempotent, false, 0);
    let refused = |reason, retry_is_harmless| {
        Err(SendRefusal {
            reason,
            retry_is_harmless,
        })
    };
    let wait = MIGRATING_RETRY_AFTER_US;
    assert_eq!(admission.check_send(0, &admitted, first), Ok(()));
    // Held: no write is sent, reads are.
    admission.update_placement(placement(2, vec![("b".into(), home(1, 2, true))]), 2_000);
    assert_eq!(
        admission.check_send(0, &admitted, first),
        refused(Rejection::Migrating(wait), true)
    );
    assert_eq!(
        admission.check_send(0, &admitted, repeat),
        refused(Rejection::Migrating(wait), false)
    );
    assert_eq!(admission.check_send(0, &admitted, read), Ok(()));
    // Moved: nothing of it goes to the old cell any more.
    admission.update_placement(placement(3, vec![("b".into(), home(0, 3, false))]), 3_000);
    assert_eq!(
        admission.check_send(0, &admitted, first),
        refused(Rejection::Moved(wait), true)
    );
    assert_eq!(
        admission.check_send(0, &admitted, repeat),
        refused(Rejection::Moved(wait), false)
    );
    assert_eq!(
        admission.check_send(0, &admitted, read),
        refused(Rejection::Moved(wait), true)
    );
    // Back in its cell; then the lease on the placement ends, after which only reads are sent.
    admission.update_placement(placement(4, vec![("b".into(), home(1, 4, false))]), 4_000);
    assert_eq!(admission.check_send(3_999, &admitted, first), Ok(()));
    assert_eq!(
        admission.check_send(4_000, &admitted, first),
        refused(Rejection::StalePlacement(wait), true)
    );
    assert_eq!(admission.check_send(4_000, &admitted, read), Ok(()));
}

//! Cells: placement of tenants, the published file, bulkheads, quarantine and migration.

use asterreel::cells::bulkhead::{Bounds, Bulkheads, Exhausted, Resource};
use asterreel::cells::migration::{
    Action, Event, GatewayId, GatewayLease, Migration, MigrationRecord, Migrations, Step, Timing,
};
use asterreel::cells::placement::{Cell, Home, Order, Placement, Published, Range};
use asterreel::cells::quarantine::{
    fingerprint, MemberOutcome, Quarantine, QuarantineDecision, QuarantineOptions,
};
use asterreel::cells::record::{decode, encode, RecordError};
use asterreel::cells::{CellId, Epoch};
use asterreel::interface::{Idempotency, MemberId};

const SECOND: u64 = 1_000_000;

fn cells(count: u64, groups: u64) -> Vec<Cell> {
    let cell = |at: u64| Cell {
        name: format!("cell-{at}"),
        groups: (at * groups..(at + 1) * groups).collect(),
    };
    (0..count).map(cell).collect()
}

fn published(count: u64) -> Published {
    Published {
        epoch: Epoch(7),
        cells: cells(count, 4),
        spread: 2,
        order: Order::Bytes,
        ranges: Vec::new(),
        homes: Vec::new(),
    }
}

fn home(cell: u16, epoch: u64) -> Home {
    Home {
        cell: CellId(cell),
        epoch: Epoch(epoch),
        held: false,
        settling: false,
    }
}

#[test]
fn tenants_spread_evenly_and_a_new_cell_moves_few_of_them() {
    let (six, seven) = (published(6), published(7));
    let (six, seven) = (
        Placement::new(six).expect("valid"),
        Placement::new(seven).expect("valid"),
    );
    let tenants: Vec<String> = (0..20_000)
        .map(|tenant| format!("tenant-{tenant}"))
        .collect();
    let (mut counts, mut moved) = ([0u32; 6], 0u32);
    for tenant in &tenants {
        let place = six.place(tenant, b"");
        let cell = usize::from(place.home.cell.0);
        counts[cell] += 1;
        assert_eq!(place.groups().len(), 2);
        assert!(place
            .groups()
            .iter()
            .all(|group| six.cells()[cell].groups.contains(group)));
        assert_eq!(
            place.group(0),
            place.group(2),
            "cluster numbers wrap around the tenant's groups"
        );
        let after = seven.place(tenant, b"").home.cell;
        if after != place.home.cell {
            assert_eq!(after, CellId(6), "tenants move only to the new cell");
            moved += 1;
        }
    }
    assert!(
        counts.iter().all(|count| (3_000..3_700).contains(count)),
        "{counts:?}"
    );
    // Ideally a seventh of the tenants moves: 2857.
    assert!((2_600..3_100).contains(&moved), "{moved}");
}

#[test]
fn overlap_counts_groups_that_tenants_of_a_cell_share() {
    let placement = Placement::new(published(6)).expect("valid");
    let tenants: Vec<String> = (0..300).map(|tenant| format!("tenant-{tenant}")).collect();
    let overlap = placement.overlap(tenants.iter().map(String::as_str));
    assert_eq!((overlap.max_shared, overlap.pairs), (2, 300 * 299 / 2));
    // One pair in six shares a cell, and one in six of those shares both groups, as each has two of four.
    let full_share = overlap.full as f64 / overlap.pairs as f64;
    assert!((0.02..0.04).contains(&full_share), "{full_share}");
}

#[test]
fn key_range_comes_before_explicit_placement() {
    let mut published = published(3);
    let range = |name: &str, from: &str, to: Option<&str>, cell| Range {
        name: name.into(),
        from: from.into(),
        to: to.map(str::to_owned),
        cell: CellId(cell),
    };
    published.homes = vec![("one".into(), home(2, 7))];
    published.ranges = vec![
        range("late", "m", None, 1),
        range("early", "a", Some("c"), 0),
    ];
    let placement = Placement::new(published.clone()).expect("valid");
    assert_eq!(placement.place("one", b"").home, home(2, 7));
    let cell = |key: &[u8]| placement.place("one", key).home.cell;
    assert_eq!(
        [
            cell(b"a"),
            cell(b"bzz"),
            cell(b"c"),
            cell(b"m"),
            cell(b"\xff")
        ]
        .map(|c| c.0),
        [0, 0, 2, 1, 1]
    );
    published.order = Order::Hash;
    published.ranges = vec![range("low", "0", Some("8"), 0), range("high", "8", None, 1)];
    let hashed = Placement::new(published).expect("valid");
    let low = (0..1000)
        .filter(|key| hashed.place("one", format!("k{key}").as_bytes()).home.cell == CellId(0));
    assert!((430..570).contains(&low.count()));
}

#[test]
fn invalid_placement_error_names_the_key_and_the_conflict() {
    let range = |name: &str, from: &str, to: &str| Range {
        name: name.into(),
        from: from.into(),
        to: Some(to.into()),
        cell: CellId(0),
    };
    type Case = (fn(&mut Published), Vec<Range>, &'static str, &'static str);
    let cases: Vec<Case> = vec![
        (
            |published| published.cells.clear(),
            vec![],
            "cells",
            "0 cells",
        ),
        (
            |published| published.spread = 0,
            vec![],
            "spread",
            "within 1 to 8",
        ),
        (
            |published| published.spread = 5,
            vec![],
            "cells[0]",
            "has 4 groups",
        ),
        (
            |published| published.cells[1].name = "cell-0".into(),
            vec![],
            "cells[1]",
            "already the name of another",
        ),
        (
            |published| published.cells[1].groups[0] = 2,
            vec![],
            "cells[1]",
            "in \"cell-0\" and in \"cell-1\"",
        ),
        (
            |published| published.cells[1].groups[0] = 5,
            vec![],
            "cells[1]",
            "listed twice",
        ),
        (
            |published| published.homes = vec![("x".into(), home(9, 1))],
            vec![],
            "homes[0]",
            "cell 9",
        ),
        (
            |published| published.homes = vec![("x".into(), home(0, 8))],
            vec![],
            "homes[0]",
            "epoch 8",
        ),
        (
            |published| published.homes = vec![("x".into(), home(0, 1)), ("x".into(), home(1, 1))],
            vec![],
            "homes[1]",
            "listed twice",
        ),
        (
            |_| {},
            vec![range("one", "a", "f"), range("two", "e", "z")],
            "ranges[1]",
            "\"one\" and \"two\" overlap",
        ),
        (
            |_| {},
            vec![range("one", "f", "a")],
            "ranges[0]",
            "\"one\" is empty",
        ),
    ];
    for (invalidate, ranges, key, fault) in cases {
        let mut published = published(2);
        published.ranges = ranges;
        invalidate(&mut published);
        let error = Placement::new(published).expect_err(fault);
        assert!(error.key == key && error.fault.contains(fault), "{error:?}");
    }
}

#[test]
fn damaged_or_older_published_placement_is_rejected() {
    let mut published = published(3);
    published.homes = (0..50)
        .map(|tenant| (format!("t{tenant}"), home(1, 3)))
        .collect();
    let bytes = encode(&published).expect("encoded");
    assert_eq!(
        decode(&bytes, Epoch(7))
            .expect("valid")
            .place("t7", b"")
            .home,
        home(1, 3)
    );
    for length in 0..bytes.len() {
        assert!(
            decode(&bytes[..length], Epoch(0)).is_err(),
            "truncated to {length}"
        );
    }
    for at in 0..bytes.len() {
        let mut corrupt = bytes.clone();
        corrupt[at] ^= 1;
        assert!(decode(&corrupt, Epoch(0)).is_err(), "corrupt at {at}");
    }
    assert_eq!(
        decode(&bytes, Epoch(8)).expect_err("an older epoch"),
        RecordError::Outdated(Epoch(7), Epoch(8))
    );
    let newer_version =
        String::from_utf8(bytes)
            .expect("text")
            .replacen("placement 1 ", "placement 2 ", 1);
    assert_eq!(
        decode(newer_version.as_bytes(), Epoch(0)).expect_err("a newer version"),
        RecordError::Version(2)
    );
}

#[test]
fn cell_at_its_bounds_rejects_only_its_own_resources() {
    let bounds = Bounds {
        requests: 2,
        held: 1,
        sessions: 3,
        descriptors: 4,
        bytes: 100,
    };
    let mut cells = Bulkheads::new(vec![bounds, bounds]);
    let (one, two) = (CellId(0), CellId(1));
    assert_eq!(cells.acquire(one, Resource::Request(60)), Ok(()));
    assert_eq!(
        cells
            .acquire(one, Resource::Request(60))
            .map_err(|full| full.0),
        Err(Exhausted::Bytes)
    );
    assert_eq!(cells.acquire(one, Resource::Request(30)), Ok(()));
    assert_eq!(
        cells
            .acquire(one, Resource::Request(1))
            .map_err(|full| full.0),
        Err(Exhausted::Requests)
    );
    assert_eq!(cells.acquire(two, Resource::Request(60)), Ok(()));
    assert_eq!(cells.acquire(one, Resource::Hold), Ok(()));
    assert_eq!(
        cells.acquire(one, Resource::Hold).map_err(|full| full.0),
        Err(Exhausted::Held)
    );
    assert_eq!(
        [
            cells.acquire(one, Resource::Session),
            cells.acquire(one, Resource::Session)
        ],
        [Ok(()), Ok(())]
    );
    assert_eq!(
        cells.acquire(one, Resource::Session).map_err(|full| full.0),
        Err(Exhausted::Descriptors)
    );
    for _ in 0..50 {
        cells.release(one, Resource::Request(30), 400_000);
        assert_eq!(cells.acquire(one, Resource::Request(30)), Ok(()));
    }
    // Two open requests of 0.4 s each, one request waiting: there is capacity for the next one after about 0.4 s.
    let (_, wait) = cells.acquire(one, Resource::Request(30)).expect_err("full");
    assert!((300_000..=500_000).contains(&wait), "{wait}");
    assert_eq!(
        (cells.counts(one), cells.counts(two)),
        ((2, 2, 5), (1, 0, 0))
    );
    assert!(cells.acquire(CellId(9), Resource::Session).is_err());
}

#[test]
fn statement_that_crashes_two_members_is_quarantined() {
    let mut quarantine = Quarantine::new(QuarantineOptions::default());
    let query = fingerprint("one", b"SELECT x FROM t WHERE a = 'p' /* id=1,c=search */");
    let suspect = (1, query);
    let mut now = 100 * SECOND;
    let admit = |quarantine: &mut Quarantine, now, idempotency, ran| {
        quarantine.admit(now, suspect, idempotency, ran, 0)
    };
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::Idempotent, false),
        QuarantineDecision::Allow
    );
    quarantine.attempt_ended(now, suspect, MemberId(1), MemberOutcome::Crashed);
    quarantine.attempt_ended(now, suspect, MemberId(1), MemberOutcome::Hung);
    quarantine.attempt_ended(now, suspect, MemberId(2), MemberOutcome::Answered);
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::Idempotent, false),
        QuarantineDecision::Allow,
        "two failures of one member"
    );
    quarantine.attempt_ended(now, suspect, MemberId(2), MemberOutcome::Crashed);
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::Idempotent, true),
        QuarantineDecision::Refuse
    );
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::NonIdempotent, false),
        QuarantineDecision::Refuse
    );
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::NonIdempotent, true),
        QuarantineDecision::Fail
    );
    assert_eq!(quarantine.list(now), [(query, now + 300 * SECOND)]);
    // The same query of another tenant has another fingerprint.
    let other = (2, fingerprint("two", b"SELECT x FROM t WHERE a = 'p'"));
    assert_eq!(
        quarantine.admit(now, other, Idempotency::Idempotent, false, 0),
        QuarantineDecision::Allow
    );
    // The quarantine ends after 300 s; the second one lasts twice as long.
    now += 301 * SECOND;
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::Idempotent, false),
        QuarantineDecision::Allow
    );
    quarantine.attempt_ended(now, suspect, MemberId(1), MemberOutcome::Crashed);
    quarantine.attempt_ended(now, suspect, MemberId(2), MemberOutcome::Crashed);
    assert_eq!(quarantine.list(now), [(query, now + 600 * SECOND)]);
    assert!(quarantine.lift(query) && !quarantine.lift(query));
    assert_eq!(
        admit(&mut quarantine, now, Idempotency::Idempotent, false),
        QuarantineDecision::Allow
    );
}

#[test]
fn failures_of_one_request_and_tenant_and_entries_are_bounded() {
    let mut quarantine = Quarantine::new(QuarantineOptions {
        entries: 100,
        ..QuarantineOptions::default()
    });
    let now = 100 * SECOND;
    // Two members crashed under the request's own attempts: there is no third, even if no fingerprint is quarantined.
    let suspect = (1, fingerprint("one", b"a"));
    assert_eq!(
        quarantine.admit(now, suspect, Idempotency::Idempotent, true, 2),
        QuarantineDecision::Refuse
    );
    // Four statements with one failed member each: the tenant is quarantined.
    for member in 0..4 {
        let query = fingerprint("one", format!("SELECT c{member}_").as_bytes());
        quarantine.attempt_ended(now, (1, query), MemberId(member), MemberOutcome::Hung);
    }
    assert_eq!(
        quarantine.admit(now, suspect, Idempotency::Idempotent, false, 0),
        QuarantineDecision::Refuse
    );
    for tenant in 0..10_000u32 {
        let query = fingerprint(&format!("t{tenant}"), b"x");
        quarantine.attempt_ended(now, (query.0, query), MemberId(1), MemberOutcome::Crashed);
    }
    assert!(quarantine.len() <= 200, "{}", quarantine.len());
    assert_eq!(
        quarantine.admit(now, suspect, Idempotency::Idempotent, false, 0),
        QuarantineDecision::Refuse,
        "the quarantined tenant is not evicted"
    );
    quarantine.admit(
        now + 10_000 * SECOND,
        suspect,
        Idempotency::Idempotent,
        false,
        0,
    );
    assert!(quarantine.is_empty());
}

#[test]
fn fingerprint_ignores_values_comments_and_case() {
    let of = |text: &str| fingerprint("t", text.as_bytes());
    let query = of("SELECT payload FROM entries WHERE ref = '7f''x' AND n = 12 /* id=1,c=a */");
    assert_eq!(
        query,
        of("select  payload from entries\nwhere ref = 'other' and n = 99.5 /* id=2,c=b */;")
    );
    assert_ne!(
        query,
        of("SELECT payload FROM entries2 WHERE ref = '7f' AND n = 12")
    );
    assert_ne!(
        query,
        fingerprint(
            "u",
            b"SELECT payload FROM entries WHERE ref = '7f' AND n = 12"
        )
    );
    for odd in ["'", "'a", "/*", "'a''", "1", ""] {
        of(odd);
    }
}

const TIMING: Timing = Timing {
    lease: 2 * SECOND,
    drift: SECOND / 10,
    hold: 5 * SECOND,
    settle: SECOND,
};

/// A migration and the actions that it returned. All actions succeed at once; tests supply leases and acknowledgements.
struct Migrator {
    migration: Migration,
    records: Vec<MigrationRecord>,
    homes: Vec<Home>,
    fenced: Vec<CellId>,
    finished: Option<Step>,
}

impl Migrator {
    fn begin() -> Migrator {
        let mut actions = Vec::new();
        let migration = Migration::begin(
            "one",
            (CellId(0), CellId(1)),
            Epoch(7),
            TIMING,
            0,
            &mut actions,
        )
        .expect("two cells");
        let mut migrator = Migrator {
            migration,
            records: vec![],
            homes: vec![],
            fenced: vec![],
            finished: None,
        };
        migrator.carry_out(0, actions);
        migrator
    }

    fn event(&mut self, now: u64, event: Event) {
        let mut actions = Vec::new();
        self.migration.handle(now, event, &mut actions);
        self.carry_out(now, actions);
    }

    fn carry_out(&mut self, now: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Record(record) => {
                    let step = record.step;
                    self.records.push(record);
                    self.event(now, Event::Recorded(step));
                }
                Action::Prepare => self.event(now, Event::Prepared),
                Action::Publish(home) => {
                    self.homes.push(home);
                    self.event(now, Event::Published(home.epoch));
                }
                Action::Fence(cell) => {
                    self.fenced.push(cell);
                    self.event(now, Event::Fenced);
                }
                Action::Unfence(cell, _) => self.fenced.retain(|fenced| *fenced != cell),
                Action::CatchUp => self.event(now, Event::CaughtUp),
                Action::Finished(step) => self.finished = Some(step),
            }
        }
    }

    fn step(&self) -> Step {
        self.migration.record().step
    }
}

#[test]
fn migration_waits_for_leases_or_acknowledgements() {
    let mut migrator = Migrator::begin();
    assert_eq!(migrator.step(), Step::Holding);
    migrator.event(SECOND, Event::Leased(GatewayId(1), 4 * SECOND));
    migrator.event(SECOND, Event::Acknowledged(GatewayId(1), Epoch(7)));
    migrator.event(3 * SECOND, Event::Tick);
    assert_eq!(
        migrator.step(),
        Step::Holding,
        "an acknowledgement of an older epoch does not count, and the lease lasts"
    );
    migrator.event(3 * SECOND, Event::Acknowledged(GatewayId(1), Epoch(8)));
    assert_eq!(
        (migrator.step(), migrator.fenced.as_slice()),
        (Step::Settling, [CellId(0)].as_slice())
    );
    migrator.event(3 * SECOND, Event::Abort);
    assert_eq!(migrator.step(), Step::Settling);
    migrator.event(4 * SECOND, Event::Tick);
    assert_eq!(migrator.finished, Some(Step::Placed));
    let published: Vec<_> = migrator
        .homes
        .iter()
        .map(|home| (home.cell.0, home.epoch.0, home.held, home.settling))
        .collect();
    assert_eq!(
        published,
        [
            (0, 8, true, false),
            (1, 9, false, true),
            (1, 10, false, false)
        ]
    );
}

#[test]
fn hold_that_lasts_too_long_aborts_the_migration() {
    let mut migrator = Migrator::begin();
    // A gateway renews its lease but never acknowledges the hold, as it does not know the outcome of a write.
    for at in 1..=5 {
        migrator.event(at * SECOND, Event::Leased(GatewayId(1), (at + 2) * SECOND));
    }
    assert_eq!(migrator.finished, Some(Step::Aborted));
    assert!(migrator.fenced.is_empty());
    assert_eq!(migrator.homes.last(), Some(&home(0, 9)));
}

#[test]
fn migration_resumed_from_any_record_completes() {
    let records = {
        let mut migrator = Migrator::begin();
        migrator.event(3 * SECOND, Event::Tick);
        migrator.event(4 * SECOND, Event::Tick);
        migrator.records
    };
    assert_eq!(records.len(), 6);
    for record in records {
        let (step, mut actions) = (record.step, Vec::new());
        let migration = Migration::resume(record, TIMING, 10 * SECOND, &mut actions);
        let mut migrator = Migrator {
            migration,
            records: vec![],
            homes: vec![],
            fenced: vec![],
            finished: None,
        };
        migrator.carry_out(10 * SECOND, actions);
        for at in 0..8 {
            migrator.event((11 + at) * SECOND, Event::Tick);
        }
        assert_eq!(migrator.finished, Some(Step::Placed), "from {step:?}");
        assert_eq!(migrator.homes.last(), Some(&home(1, 10)));
    }
}

#[test]
fn tenant_has_one_migration_at_a_time_and_to_another_cell() {
    let mut migrations = Migrations::default();
    let migrator = Migrator::begin();
    migrations.update(migrator.migration.record());
    let error = migrations.may_begin("one").expect_err("it is migrating");
    assert_eq!(
        error.0,
        "tenant \"one\" is already migrating from cell 0 to 1, at step Holding; wait for it to end, or abort it"
    );
    assert!(
        migrations.may_begin("two").is_ok()
            && migrations.may_abort("one").is_ok()
            && migrations.may_abort("two").is_err()
    );
    let mut record = migrator.migration.record().clone();
    record.step = Step::CutOver;
    migrations.update(&record);
    assert!(migrations
        .may_abort("one")
        .expect_err("past the cut-over")
        .0
        .contains("point of no return"));
    record.step = Step::Placed;
    migrations.update(&record);
    assert!(migrations.may_begin("one").is_ok());
    assert!(Migration::begin(
        "one",
        (CellId(1), CellId(1)),
        Epoch(1),
        TIMING,
        0,
        &mut Vec::new()
    )
    .is_err());
}

#[test]
fn gateway_writes_under_its_lease_and_acknowledges_when_idle() {
    let mut lease = GatewayLease::default();
    let (now, place) = (10 * SECOND, home(0, 7));
    assert!(!lease.may_write(now, &place), "there is no lease yet");
    assert!(lease.renew(now - SECOND, &TIMING, Epoch(7)));
    assert!(lease.may_write(now, &place));
    // The lease counts from when it was requested, not from when the answer arrived.
    assert!(!lease.may_write(now + SECOND, &place));
    assert!(!lease.renew(now, &TIMING, Epoch(6)), "an older epoch");
    lease.write_sent("one");
    let held = Home {
        held: true,
        ..home(0, 8)
    };
    assert!(lease.renew(now, &TIMING, Epoch(8)) && !lease.may_write(now, &held));
    assert!(
        !lease.may_acknowledge(now, "one", &held),
        "a write is in flight"
    );
    lease.write_ended(now, "one", Some(now + 3 * SECOND));
    assert!(
        !lease.may_acknowledge(now + SECOND, "one", &held),
        "the write may still run"
    );
    assert!(lease.may_acknowledge(now + 3 * SECOND, "one", &held));
    assert!(
        !lease.may_acknowledge(now, "one", &place),
        "this home is not held"
    );
}

#[test]
fn frequent_statement_is_not_quarantined_for_crashes_of_others() {
    let mut quarantine = Quarantine::new(QuarantineOptions::default());
    let (now, suspect) = (100 * SECOND, (1, fingerprint("one", b"SELECT everyday")));
    for crash in 0..6 {
        quarantine.attempt_ended(now, suspect, MemberId(crash), MemberOutcome::Crashed);
        for _ in 0..100 {
            quarantine.attempt_ended(now, suspect, MemberId(9), MemberOutcome::Answered);
        }
        let decision = quarantine.admit(now, suspect, Idempotency::Idempotent, false, 0);
        // Two crashes in a row would quarantine the statement; with answers between them it is not the likely cause.
        assert_eq!(decision, QuarantineDecision::Allow, "after {crash}");
    }
}

#[test]
fn proven_statement_is_quarantined_later_than_a_new_one() {
    let mut quarantine = Quarantine::new(QuarantineOptions::default());
    let (now, proven, new) = (
        100 * SECOND,
        (1, fingerprint("one", b"SELECT known")),
        (2, fingerprint("two", b"SELECT new")),
    );
    for _ in 0..10 {
        quarantine.attempt_ended(now, proven, MemberId(1), MemberOutcome::Answered);
    }
    // Both are in flight when two members crash one after the other, and only the new one is the cause.
    for crash in 0..2 {
        quarantine.attempt_ended(now, proven, MemberId(crash), MemberOutcome::Crashed);
        quarantine.attempt_ended(now, new, MemberId(crash), MemberOutcome::Crashed);
    }
    assert_eq!(
        quarantine.admit(now, proven, Idempotency::Idempotent, false, 0),
        QuarantineDecision::Allow
    );
    assert_eq!(
        quarantine.admit(now, new, Idempotency::Idempotent, false, 0),
        QuarantineDecision::Refuse
    );
    // The proven statement has become the cause, for example after a release: only crashes follow, no answers.
    for crash in 2..4 {
        quarantine.attempt_ended(now, proven, MemberId(crash), MemberOutcome::Crashed);
    }
    assert_eq!(
        quarantine.admit(now, proven, Idempotency::Idempotent, false, 0),
        QuarantineDecision::Refuse
    );
}

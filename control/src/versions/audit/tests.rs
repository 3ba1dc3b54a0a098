use super::*;

const A: NodeIdentity = NodeIdentity {
    gateway: 1,
    incarnation: 7,
};

fn span(number: u64, from: Micros, until: Micros, count: u64) -> Span {
    Span {
        topic: Topic::Catalog,
        number,
        from,
        until,
        count,
    }
}

#[test]
fn report_counts_once() {
    let mut audit = Audit::default();
    assert!(
        !audit.record_report(A, 2, &[span(1, 5, 6, 1)]),
        "report 1 is missing"
    );
    assert!(audit.record_report(A, 1, &[span(1, 10, 20, 3)]));
    assert!(
        !audit.record_report(A, 1, &[span(1, 10, 20, 3)]),
        "duplicate"
    );
    assert!(audit.record_report(A, 2, &[span(1, 21, 30, 4), span(2, 31, 31, 1)]));
    assert_eq!(
        (
            audit.count(Topic::Catalog, 1),
            audit.count(Topic::Catalog, 2)
        ),
        (7, 1)
    );
    assert_eq!(audit.entries()[0].span, span(1, 10, 30, 7));
    // Another incarnation numbers its reports from 1, and a late report of the former one still counts once.
    let restarted = NodeIdentity {
        incarnation: 9,
        ..A
    };
    assert!(audit.record_report(restarted, 1, &[span(2, 1, 2, 5)]));
    assert!(audit.record_report(A, 3, &[span(2, 32, 33, 2)]));
    assert_eq!(audit.count(Topic::Catalog, 2), 8);
}

#[test]
fn entries_and_incarnations_are_bounded() {
    let mut audit = Audit::default();
    for incarnation in 0..20 {
        let identity = NodeIdentity {
            gateway: 1,
            incarnation,
        };
        for sequence in 1..=300 {
            let number = u64::from(incarnation) * 300 + sequence;
            assert!(audit.record_report(identity, sequence, &[span(number, 0, 1, 1)]));
        }
    }
    assert_eq!(audit.entries().len(), MAX_ENTRIES);
    assert_eq!(
        audit.entries()[MAX_ENTRIES - 1].span.number,
        6_000,
        "the newest entries are kept"
    );
    assert_eq!(audit.reports[&1].len(), MAX_INCARNATIONS_PER_GATEWAY);
    let too_many = vec![span(1, 0, 1, 1); MAX_SPANS_PER_REPORT + 1];
    assert!(!audit.record_report(
        NodeIdentity {
            gateway: 2,
            incarnation: 0
        },
        1,
        &too_many
    ));
}

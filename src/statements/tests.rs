use super::*;

const GROUP: u64 = 3;
const AT: Micros = 500;

fn known(first: u64, last: Option<u64>) -> KnownStatement {
    let schemas = BTreeMap::from([(GROUP, SchemaRange { first, last })]);
    KnownStatement {
        tenant: "a".into(),
        class: "read".into(),
        result_digest: 1,
        schemas,
    }
}

/// A catalog in which statements 1, 2 and 3 are valid with the old schema, the new one, and both.
fn catalog(step: Option<Step>, position: Option<Micros>) -> Catalog {
    let statements = [
        (1, known(0, Some(4))),
        (2, known(5, None)),
        (3, known(0, None)),
    ];
    let change = step.map(|step| {
        (
            GROUP,
            SchemaChange {
                to: 5,
                step,
                position,
            },
        )
    });
    Catalog {
        statements: statements.into(),
        schemas: [(GROUP, 4)].into(),
        changes: change.into_iter().collect(),
        unknown: UnknownStatements::Reject,
    }
}

fn all(catalog: &Catalog) -> [Candidates; 3] {
    [1, 2, 3].map(|statement| catalog.candidates(StatementFingerprint(statement), GroupId(GROUP)))
}

#[test]
fn candidates_follow_each_step() {
    use Candidates::{All, AtPosition, Never, NoneYet};
    assert_eq!(all(&catalog(None, None)), [All, Never, All]);
    assert_eq!(
        all(&catalog(Some(Step::Proposed), None)),
        [All, NoneYet, All]
    );
    assert_eq!(
        all(&catalog(Some(Step::Both), None)),
        [All, NoneYet, All],
        "not applied by any member yet"
    );
    assert_eq!(
        all(&catalog(Some(Step::Both), Some(AT))),
        [All, AtPosition(AT), All]
    );
    assert_eq!(
        all(&catalog(Some(Step::NewOnly), Some(AT))),
        [Never, AtPosition(AT), All]
    );
    assert_eq!(
        all(&catalog(Some(Step::Forgotten), Some(AT))),
        [Never, AtPosition(AT), All]
    );
    let mut done = catalog(None, None);
    done.schemas.insert(GROUP, 5);
    assert_eq!(all(&done), [Never, All, All]);
    let one = catalog(None, None);
    assert_eq!(
        one.candidates(StatementFingerprint(9), GroupId(GROUP)),
        Never,
        "an unknown statement"
    );
    assert_eq!(
        one.candidates(StatementFingerprint(1), GroupId(8)),
        Never,
        "another group"
    );
    let lenient = Catalog {
        unknown: UnknownStatements::Pass,
        ..one
    };
    assert_eq!(
        lenient.candidates(StatementFingerprint(9), GroupId(GROUP)),
        All
    );
}

/// Two gateways can be one step apart. At each pair of steps, neither may send an old statement where the old schema may
/// have been removed, or a new one to a member that may not have the new schema.
#[test]
fn adjacent_steps_agree_on_candidates() {
    let steps = [
        (None, None),
        (Some(Step::Proposed), None),
        (Some(Step::Both), None),
        (Some(Step::Both), Some(AT)),
        (Some(Step::NewOnly), Some(AT)),
        (Some(Step::Forgotten), Some(AT)),
    ];
    // The old schema is removed only when every gateway is at step Forgotten.
    let pairs = steps.iter().zip(steps.iter().skip(1));
    for (one, next) in pairs {
        let (one, next) = (catalog(one.0, one.1), catalog(next.0, next.1));
        assert_eq!(next.follows(&one), Ok(()));
        let may_be_removed = next
            .changes
            .get(&GROUP)
            .is_some_and(|change| change.step == Step::Forgotten);
        for sender in [&one, &next] {
            let [old, new, _] = all(sender);
            assert!(
                !may_be_removed || old == Candidates::Never,
                "an old statement where its schema may be removed"
            );
            assert_ne!(
                new,
                Candidates::All,
                "a new statement at a member that may not have the new schema"
            );
        }
    }
}

#[test]
fn catalog_follows_by_one_step_forward_or_back() {
    let at = |step, position| catalog(Some(step), position);
    let (proposed, both) = (at(Step::Proposed, None), at(Step::Both, Some(AT)));
    let (new_only, forgotten) = (at(Step::NewOnly, Some(AT)), at(Step::Forgotten, Some(AT)));
    let none = catalog(None, None);
    for (next, before) in [(&both, &new_only), (&proposed, &both), (&none, &proposed)] {
        assert_eq!(next.follows(before), Ok(()), "one step back");
    }
    for (next, before) in [
        (&both, &none),
        (&new_only, &proposed),
        (&forgotten, &both),
        (&new_only, &forgotten),
        (&none, &both),
    ] {
        assert!(
            matches!(next.follows(before), Err(CatalogError::SkippedStep { .. })),
            "{next:?} after {before:?}"
        );
    }
    assert_eq!(
        at(Step::NewOnly, None).follows(&both),
        Err(CatalogError::MissingPosition(GROUP))
    );
    let mut done = none.clone();
    done.schemas.insert(GROUP, 5);
    assert_eq!(done.follows(&forgotten), Ok(()));
    assert!(matches!(
        done.follows(&new_only),
        Err(CatalogError::SchemaWithoutChange { .. })
    ));
    assert!(
        matches!(
            done.follows(&none),
            Err(CatalogError::SchemaWithoutChange { .. })
        ),
        "a schema that is replaced without a change"
    );
    let many = (0..=MAX_STATEMENTS_PER_TENANT as u64)
        .map(|statement| (statement, known(0, None)))
        .collect();
    assert!(matches!(
        Catalog {
            statements: many,
            ..none.clone()
        }
        .follows(&none),
        Err(CatalogError::TooManyStatements(_))
    ));
    assert_eq!(Catalog::read(&both.write()), Ok(both));
    assert!(matches!(
        Catalog::read(b"{"),
        Err(CatalogError::Unreadable(_))
    ));
}

/// Older versions of the gateway read this format, and the fleet's log stores it.
#[test]
fn stored_format_is_stable() {
    let stored = concat!(
        r#"{"shapes":{"1":{"tenant":"a","class":"read","form":1,"groups":{"3":[0,4]}},"#,
        r#""2":{"tenant":"a","class":"read","form":1,"groups":{"3":[5,null]}},"#,
        r#""3":{"tenant":"a","class":"read","form":1,"groups":{"3":[0,null]}}},"#,
        r#""schemas":{"3":4},"changes":{"3":{"to":5,"step":"Both","position":500}},"unknown":"Refuse"}"#,
    );
    let catalog = catalog(Some(Step::Both), Some(AT));
    assert_eq!(String::from_utf8_lossy(&catalog.write()), stored);
    assert_eq!(Catalog::read(stored.as_bytes()), Ok(catalog));
}

use super::*;

const DUTY: Duty = Duty(0);
const A: NodeIdentity = NodeIdentity {
    gateway: 1,
    incarnation: 7,
};
const B: NodeIdentity = NodeIdentity {
    gateway: 2,
    incarnation: 9,
};

fn claim(holder: NodeIdentity, seen: u64) -> Command {
    Command::Claim {
        duty: DUTY,
        holder,
        seen: Index(seen),
        at: 0,
    }
}

#[test]
fn claim_that_missed_a_change_is_rejected() {
    let mut table = Table::default();
    assert_eq!(
        table.apply(Index(1), &claim(A, 0)),
        Ok(Outcome::Granted {
            duty: DUTY,
            holder: A,
            token: Token(1)
        })
    );
    // B decided before it knew of A's grant.
    let late = table.apply(Index(2), &claim(B, 0));
    assert_eq!(
        late,
        Ok(Outcome::Rejected {
            duty: DUTY,
            holder: B,
            reason: Rejection::Outdated
        })
    );
    let renew = Command::Renew {
        duty: DUTY,
        holder: A,
        token: Token(1),
        at: 5,
    };
    assert!(matches!(
        table.apply(Index(3), &renew),
        Ok(Outcome::Renewed { .. })
    ));
    // B waited until the first grant expired, but A renewed meanwhile.
    let waited = table.apply(Index(4), &claim(B, 1));
    assert_eq!(
        waited,
        Ok(Outcome::Rejected {
            duty: DUTY,
            holder: B,
            reason: Rejection::Outdated
        })
    );
    // B has applied the renewal and waited until it expired: its claim is granted with a larger token.
    let taken = table.apply(Index(5), &claim(B, 3));
    assert_eq!(
        taken,
        Ok(Outcome::Granted {
            duty: DUTY,
            holder: B,
            token: Token(5)
        })
    );
    // A renewal of A's old lease that is appended late has no effect.
    let stale = table.apply(Index(6), &renew);
    assert_eq!(
        stale,
        Ok(Outcome::Rejected {
            duty: DUTY,
            holder: A,
            reason: Rejection::NotHolder
        })
    );
    assert_eq!(
        table.duty(DUTY),
        DutyState {
            holder: Some(B),
            token: Token(5),
            last_change: Index(5)
        }
    );
}

#[test]
fn release_requires_holder_of_same_incarnation() {
    let mut table = Table::default();
    table.apply(Index(1), &claim(A, 0)).unwrap();
    let restarted = NodeIdentity {
        incarnation: 8,
        ..A
    };
    let release = |holder| Command::Release {
        duty: DUTY,
        holder,
        token: Token(1),
    };
    let rejected = table.apply(Index(2), &release(restarted));
    assert_eq!(
        rejected,
        Ok(Outcome::Rejected {
            duty: DUTY,
            holder: restarted,
            reason: Rejection::NotHolder
        })
    );
    assert_eq!(
        table.apply(Index(3), &release(A)),
        Ok(Outcome::Released {
            duty: DUTY,
            holder: A
        })
    );
    assert_eq!(table.duty(DUTY).holder, None);
    // The token is kept: the token of the next grant is larger.
    assert_eq!(table.duty(DUTY).token, Token(1));
}

#[test]
fn apply_requires_order_and_ignores_replay() {
    let mut table = Table::default();
    assert_eq!(
        table.apply(Index(2), &claim(A, 0)),
        Err(Gap {
            expected: Index(1),
            found: Index(2)
        })
    );
    assert_eq!(table, Table::default());
    table.apply(Index(1), &claim(A, 0)).unwrap();
    let before = table.clone();
    assert_eq!(
        table.apply(Index(1), &claim(B, 0)),
        Ok(Outcome::AlreadyApplied)
    );
    assert_eq!(table, before);
}

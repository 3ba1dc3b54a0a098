use super::*;

const TOPIC: Topic = Topic::Catalog;
const FORMATS: Formats = Formats {
    oldest: 1,
    newest: 1,
};

fn identity(gateway: u32) -> NodeIdentity {
    NodeIdentity {
        gateway,
        incarnation: 1,
    }
}

#[derive(Default)]
struct Log {
    table: Table,
}

impl Log {
    fn apply(&mut self, command: Command) -> Vec<Outcome> {
        let mut out = Vec::new();
        let index = Index(self.table.applied().0 + 1);
        self.table
            .apply(index, &command, &mut out)
            .expect("the next entry");
        out
    }

    fn apply_rejected(&mut self, command: Command) -> Rejection {
        match self.apply(command).as_slice() {
            [Outcome::Rejected(reason)] => *reason,
            other => panic!("{other:?}"),
        }
    }

    fn join(&mut self, gateway: u32) -> Token {
        self.apply(Command::Join {
            identity: identity(gateway),
            formats: FORMATS,
        });
        self.table
            .registration(identity(gateway))
            .expect("a registration")
            .token
    }

    fn propose(&mut self, gateway: u32, token: Token) -> u64 {
        let replaces = self
            .table
            .topic(TOPIC)
            .map_or(0, TopicStatus::active_number);
        let content = Content {
            format: 1,
            bytes: Vec::new(),
        };
        self.apply(Command::ProposeVersion {
            identity: identity(gateway),
            token,
            topic: TOPIC,
            replaces,
            content,
        });
        self.table.applied().0
    }

    fn ack(&mut self, number: u64, by: &[(u32, Token)]) -> Vec<Outcome> {
        let by = by
            .iter()
            .map(|(gateway, token)| (identity(*gateway), *token))
            .collect();
        self.apply(Command::Ack {
            topic: TOPIC,
            number,
            by,
        })
    }
}

/// An expiry takes effect only if it was decided in the latest epoch.
#[test]
fn expiry_requires_latest_epoch() {
    let mut log = Log::default();
    log.apply(Command::BeginEpoch {
        identity: identity(1),
    });
    let (first, token) = (log.table.epoch(), log.join(2));
    let expire = |epoch| Command::Expire {
        identity: identity(2),
        token,
        epoch,
    };
    log.apply(Command::BeginEpoch {
        identity: identity(3),
    });
    let second = log.table.epoch();
    assert!(second > first);
    assert_eq!(log.apply_rejected(expire(first)), Rejection::StaleEpoch);
    let other = Command::Expire {
        identity: identity(2),
        token: Token(token.0 + 1),
        epoch: second,
    };
    assert_eq!(log.apply_rejected(other), Rejection::StaleRegistration);
    assert_eq!(log.table.registrations().count(), 1);
    assert!(
        matches!(log.apply(expire(second))[..], [Outcome::Expired(registration)] if registration.token == token)
    );
    assert_eq!(log.table.registrations().count(), 0);
    assert_eq!(
        log.apply_rejected(expire(second)),
        Rejection::StaleRegistration,
        "duplicate"
    );
}

/// A version becomes active once every registered gateway has acked it with the token of its registration.
#[test]
fn activation_requires_acks_of_all_registrations() {
    let mut log = Log::default();
    let (one, two) = (log.join(1), log.join(2));
    let number = log.propose(1, one);
    assert_eq!(log.table.last_changed(), Index(number));
    assert_eq!(
        log.ack(number, &[(2, Token(99))]),
        [Outcome::Rejected(Rejection::StaleRegistration)]
    );
    assert_eq!(
        log.ack(number, &[(1, one)]),
        [Outcome::Acked {
            topic: TOPIC,
            number
        }]
    );
    assert_eq!(
        log.ack(number + 1, &[(2, two)]),
        [Outcome::Rejected(Rejection::AlreadyDecided)]
    );
    let outcomes = log.ack(number, &[(1, one), (2, two)]);
    assert_eq!(
        outcomes[1],
        Outcome::Activated {
            topic: TOPIC,
            number,
            previous: 0
        }
    );
    assert_eq!(log.table.last_changed(), log.table.applied());
    // The gateway that has not acked the next version leaves, and the acks of the others make it active.
    let next = log.propose(2, two);
    log.ack(next, &[(1, one)]);
    let left = log.apply(Command::Leave {
        identity: identity(2),
        token: two,
    });
    assert_eq!(
        left[1],
        Outcome::Activated {
            topic: TOPIC,
            number: next,
            previous: number
        }
    );
}

/// One nack rejects a proposal, and the active version stays.
#[test]
fn one_nack_rejects_a_proposal() {
    let mut log = Log::default();
    let (one, two) = (log.join(1), log.join(2));
    let number = log.propose(1, one);
    let nack = |token| Command::Nack {
        identity: identity(2),
        token,
        topic: TOPIC,
        number,
        reason: "invalid".into(),
    };
    assert_eq!(log.apply_rejected(nack(one)), Rejection::StaleRegistration);
    let by = identity(2);
    let rejected = Outcome::ProposalRejected {
        topic: TOPIC,
        number,
        by,
        reason: "invalid".into(),
    };
    assert_eq!(log.apply(nack(two)), [rejected]);
    assert_eq!(log.table.last_changed(), log.table.applied());
    assert_eq!(log.apply_rejected(nack(two)), Rejection::AlreadyDecided);
    assert_eq!(
        log.table.topic(TOPIC).map(TopicStatus::active_number),
        Some(0)
    );
}

/// No gateway joins while a version is proposed, unless no other gateway is registered.
#[test]
fn join_waits_for_pending_proposal() {
    let mut log = Log::default();
    let one = log.join(1);
    let number = log.propose(1, one);
    let join = Command::Join {
        identity: identity(2),
        formats: FORMATS,
    };
    assert_eq!(
        log.apply_rejected(join.clone()),
        Rejection::ProposalPending(number)
    );
    log.apply(Command::Leave {
        identity: identity(1),
        token: one,
    });
    let two = log.join(2);
    let third = Command::Join {
        identity: identity(3),
        formats: FORMATS,
    };
    assert_eq!(
        log.apply_rejected(third.clone()),
        Rejection::ProposalPending(number)
    );
    let outcomes = log.ack(number, &[(2, two)]);
    assert_eq!(
        outcomes[1],
        Outcome::Activated {
            topic: TOPIC,
            number,
            previous: 0
        }
    );
    assert!(matches!(log.apply(third)[..], [Outcome::Registered(_)]));
    assert_eq!(log.apply_rejected(join), Rejection::AlreadyRegistered);
    let old = Command::Join {
        identity: identity(4),
        formats: Formats {
            oldest: 2,
            newest: 3,
        },
    };
    assert_eq!(
        log.apply_rejected(old),
        Rejection::UnsupportedFormat { needed: 1 }
    );
}

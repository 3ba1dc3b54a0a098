use super::*;

const TOPIC: Topic = Topic::Catalog;
const FORMATS: Formats = Formats {
    oldest: 1,
    newest: 1,
};

fn who(gateway: u32) -> NodeIdentity {
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

    fn refused(&mut self, command: Command) -> Rejection {
        match self.apply(command).as_slice() {
            [Outcome::Rejected(why)] => *why,
            other => panic!("{other:?}"),
        }
    }

    fn join(&mut self, gateway: u32) -> Token {
        self.apply(Command::Join {
            who: who(gateway),
            formats: FORMATS,
        });
        self.table
            .registration(who(gateway))
            .expect("a registration")
            .token
    }

    fn offer(&mut self, gateway: u32, token: Token) -> u64 {
        let seen = self.table.topic(TOPIC).map_or(0, TopicStatus::number);
        let content = Content {
            format: 1,
            bytes: Vec::new(),
        };
        self.apply(Command::ProposeVersion {
            who: who(gateway),
            token,
            topic: TOPIC,
            replaces: seen,
            content,
        });
        self.table.applied().0
    }

    fn accept(&mut self, number: u64, by: &[(u32, Token)]) -> Vec<Outcome> {
        let by = by
            .iter()
            .map(|(gateway, token)| (who(*gateway), *token))
            .collect();
        self.apply(Command::Ack {
            topic: TOPIC,
            number,
            by,
        })
    }
}

#[test]
fn a_registration_is_taken_away_by_the_last_epoch_alone() {
    let mut log = Log::default();
    log.apply(Command::BeginEpoch { who: who(1) });
    let (first, token) = (log.table.epoch(), log.join(2));
    let expel = |epoch| Command::Expire {
        who: who(2),
        token,
        epoch,
    };
    log.apply(Command::BeginEpoch { who: who(3) });
    let second = log.table.epoch();
    assert!(second > first);
    assert_eq!(log.refused(expel(first)), Rejection::StaleEpoch);
    let other = Command::Expire {
        who: who(2),
        token: Token(token.0 + 1),
        epoch: second,
    };
    assert_eq!(log.refused(other), Rejection::StaleRegistration);
    assert_eq!(log.table.registrations().count(), 1);
    assert!(
        matches!(log.apply(expel(second))[..], [Outcome::Expired(registration)] if registration.token == token)
    );
    assert_eq!(log.table.registrations().count(), 0);
    assert_eq!(
        log.refused(expel(second)),
        Rejection::StaleRegistration,
        "doubled"
    );
}

#[test]
fn a_version_is_in_force_once_every_registration_accepted_it_and_each_registration_counts_by_its_token(
) {
    let mut log = Log::default();
    let (one, two) = (log.join(1), log.join(2));
    let number = log.offer(1, one);
    assert_eq!(log.table.changed(), Index(number));
    assert_eq!(
        log.accept(number, &[(2, Token(99))]),
        [Outcome::Rejected(Rejection::StaleRegistration)]
    );
    assert_eq!(
        log.accept(number, &[(1, one)]),
        [Outcome::Acked {
            topic: TOPIC,
            number
        }]
    );
    assert_eq!(
        log.accept(number + 1, &[(2, two)]),
        [Outcome::Rejected(Rejection::AlreadyDecided)]
    );
    let done = log.accept(number, &[(1, one), (2, two)]);
    assert_eq!(
        done[1],
        Outcome::Activated {
            topic: TOPIC,
            number,
            previous: 0
        }
    );
    assert_eq!(log.table.changed(), log.table.applied());
    // The registration that holds up the next one goes, and the others' acceptances decide.
    let next = log.offer(2, two);
    log.accept(next, &[(1, one)]);
    let left = log.apply(Command::Leave {
        who: who(2),
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

#[test]
fn one_refusal_drops_a_version_and_the_former_stays() {
    let mut log = Log::default();
    let (one, two) = (log.join(1), log.join(2));
    let number = log.offer(1, one);
    let refuse = |token| Command::Nack {
        who: who(2),
        token,
        topic: TOPIC,
        number,
        reason: "spoilt".into(),
    };
    assert_eq!(log.refused(refuse(one)), Rejection::StaleRegistration);
    let by = who(2);
    let dropped = Outcome::ProposalRejected {
        topic: TOPIC,
        number,
        by,
        reason: "spoilt".into(),
    };
    assert_eq!(log.apply(refuse(two)), [dropped]);
    assert_eq!(log.table.changed(), log.table.applied());
    assert_eq!(log.refused(refuse(two)), Rejection::AlreadyDecided);
    assert_eq!(log.table.topic(TOPIC).map(TopicStatus::number), Some(0));
}

#[test]
fn nobody_joins_under_an_open_version_but_where_no_registration_is_left() {
    let mut log = Log::default();
    let one = log.join(1);
    let number = log.offer(1, one);
    let join = Command::Join {
        who: who(2),
        formats: FORMATS,
    };
    assert_eq!(
        log.refused(join.clone()),
        Rejection::ProposalPending(number)
    );
    log.apply(Command::Leave {
        who: who(1),
        token: one,
    });
    let two = log.join(2);
    let third = Command::Join {
        who: who(3),
        formats: FORMATS,
    };
    assert_eq!(
        log.refused(third.clone()),
        Rejection::ProposalPending(number)
    );
    let done = log.accept(number, &[(2, two)]);
    assert_eq!(
        done[1],
        Outcome::Activated {
            topic: TOPIC,
            number,
            previous: 0
        }
    );
    assert!(matches!(log.apply(third)[..], [Outcome::Registered(_)]));
    assert_eq!(log.refused(join), Rejection::AlreadyRegistered);
    let old = Command::Join {
        who: who(4),
        formats: Formats {
            oldest: 2,
            newest: 3,
        },
    };
    assert_eq!(log.refused(old), Rejection::UnsupportedFormat { needed: 1 });
}

use super::reports::REPORT_INTERVAL_RENEWALS;
use super::*;
use crate::lease::Index;

const ME: NodeIdentity = NodeIdentity {
    gateway: 4,
    incarnation: 2,
};
const TOPIC: Topic = Topic::Catalog;
const RENEW: Micros = 1_000_000;
const LEASE: Micros = 3 * RENEW;
const TIMING: Timing = Timing {
    lease_us: LEASE,
    renew_us: RENEW,
    drift_ppm: 1_000,
    margin_us: 50_000,
};
const FORMATS: Formats = Formats {
    oldest: 1,
    newest: 1,
};
const TOKEN: Token = Token(8);

struct Gateway {
    client: Client,
    now: Micros,
}

impl Gateway {
    fn serving() -> Gateway {
        let mut gateway = Gateway {
            client: Client::new(ME, TIMING, FORMATS, 1),
            now: 10 * RENEW,
        };
        gateway.feed(Event::Serve);
        gateway.feed(Event::Connected);
        gateway
    }

    /// One that has a registration, and knows of this version in force.
    fn acting(active: u64) -> Gateway {
        let mut gateway = Gateway::serving();
        gateway.state(1, 0, active, None);
        gateway.kept(TOKEN, gateway.now, 1);
        gateway
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.client.handle(self.now, event, &mut out);
        out.retain(|action| !matches!(action, Action::Wake(_)));
        out
    }

    fn tick(&mut self, after: Micros) -> Vec<Action> {
        self.now += after;
        self.feed(Event::Tick)
    }

    fn hear(&mut self, message: ToGateway) -> Vec<Action> {
        self.feed(Event::Received(message))
    }

    fn kept(&mut self, token: Token, sent: Micros, required: u64) -> Vec<Action> {
        let required = Index(required);
        self.hear(ToGateway::RegistrationRenewed {
            who: ME,
            token,
            sent_at: sent,
            required_index: required,
            registrations: 3,
        })
    }

    fn state(
        &mut self,
        as_of: u64,
        since: u64,
        active: u64,
        open: Option<(u64, u32)>,
    ) -> Vec<Action> {
        let proposal = open.map(|(number, format)| Version {
            number,
            content: Content {
                format,
                bytes: Vec::new(),
            },
        });
        let topics = vec![TopicState {
            topic: TOPIC,
            active,
            previous: 0,
            proposal,
        }];
        self.hear(ToGateway::TopicStates {
            as_of: Index(as_of),
            since: Index(since),
            topics,
        })
    }

    fn acts_on(&self) -> Option<u64> {
        self.client
            .acting(TOPIC, self.now)
            .map(|(number, _)| number)
    }
}

fn beats(actions: &[Action]) -> usize {
    let beat = |action: &&Action| matches!(action, Action::Send(ToControl::Heartbeat { .. }));
    actions.iter().filter(beat).count()
}

#[test]
fn a_right_counts_from_when_the_heartbeat_was_sent() {
    let mut gateway = Gateway::serving();
    gateway.state(1, 0, 1, None);
    let sent = gateway.now;
    gateway.tick(RENEW / 2);
    let until = sent + LEASE;
    assert_eq!(
        gateway.kept(TOKEN, sent, 1),
        [Action::Act(Permission {
            token: TOKEN,
            until
        })]
    );
    assert_eq!(
        (gateway.acts_on(), gateway.client.registrations()),
        (Some(1), 3)
    );
    assert_eq!(gateway.kept(TOKEN, sent, 1), [], "doubled");
    assert_eq!(
        gateway.kept(TOKEN, sent + LEASE, 1),
        [],
        "sent later than now: not its own"
    );
    gateway.now = until - 1;
    assert_eq!(gateway.acts_on(), Some(1));
    gateway.now = until;
    assert_eq!(gateway.acts_on(), None);
    assert!(gateway.tick(0).contains(&Action::Stop(StopReason::Lapsed)));
}

#[test]
fn it_takes_no_right_before_it_has_seen_the_last_change() {
    let mut gateway = Gateway::serving();
    assert_eq!(gateway.kept(TOKEN, gateway.now, 4), []);
    gateway.state(3, 0, 2, None);
    assert_eq!(gateway.kept(TOKEN, gateway.now, 4), []);
    gateway.state(4, 3, 4, None);
    assert!(matches!(
        gateway.kept(TOKEN, gateway.now, 4)[..],
        [Action::Act(_)]
    ));
    assert_eq!(gateway.acts_on(), Some(4));
}

#[test]
fn older_word_and_word_with_a_gap_change_nothing() {
    let mut gateway = Gateway::acting(1);
    gateway.state(6, 1, 5, None);
    assert_eq!(gateway.acts_on(), Some(5));
    assert_eq!(gateway.state(6, 1, 1, None), [], "doubled");
    assert_eq!(gateway.state(4, 0, 3, None), [], "late");
    assert_eq!(gateway.state(9, 7, 8, None), [], "it has not seen 7");
    assert_eq!(gateway.acts_on(), Some(5));
    assert!(gateway.client.active_versions().eq([(TOPIC, 5)]));
}

#[test]
fn a_verdict_is_said_again_while_the_version_is_open() {
    let mut gateway = Gateway::acting(1);
    let asked = gateway.state(2, 1, 1, Some((2, 1)));
    assert!(
        matches!(asked[..], [Action::Validate { number: 2, .. }]),
        "{asked:?}"
    );
    let verdict = Action::Send(ToControl::ValidationResult {
        who: ME,
        token: TOKEN,
        topic: TOPIC,
        number: 2,
        result: Ok(()),
    });
    let judged = Event::Validated {
        topic: TOPIC,
        number: 2,
        result: Ok(()),
    };
    assert_eq!(gateway.feed(judged), std::slice::from_ref(&verdict));
    assert!(gateway.tick(RENEW).contains(&verdict));
    assert!(
        gateway.feed(Event::Connected).contains(&verdict),
        "to the next leader at once"
    );
    let enforced = gateway.state(3, 2, 2, None);
    assert!(
        matches!(enforced[..], [Action::Activate { number: 2, .. }]),
        "{enforced:?}"
    );
    assert!(!gateway.tick(RENEW).contains(&verdict));
    // One whose format it does not understand it refuses by itself.
    let refused = gateway.state(5, 3, 2, Some((5, 2)));
    let says = |action: &Action| {
        matches!(
            action,
            Action::Send(ToControl::ValidationResult {
                number: 5,
                result: Err(_),
                ..
            })
        )
    };
    assert!(matches!(&refused[..], [one] if says(one)), "{refused:?}");
}

#[test]
fn silence_and_word_of_another_leader_redirect_it() {
    let mut gateway = Gateway::acting(1);
    assert_eq!(
        gateway.hear(ToGateway::NotLeader { leader: Some(2) }),
        [Action::Redirect(Some(2))]
    );
    let lately = gateway.hear(ToGateway::NotLeader { leader: Some(3) });
    assert_eq!(
        lately,
        [Action::Redirect(None)],
        "two that point at each other"
    );
    gateway.now += RENEW / 4;
    gateway.feed(Event::Connected);
    let silent = gateway.tick(RENEW);
    assert!(
        silent.contains(&Action::Redirect(None)) && beats(&silent) == 1,
        "{silent:?}"
    );
    // One that is answered stays, whatever the answer says.
    gateway.feed(Event::Connected);
    gateway.hear(ToGateway::TopicStates {
        as_of: Index(1),
        since: Index(1),
        topics: Vec::new(),
    });
    assert!(!gateway.tick(RENEW).contains(&Action::Redirect(None)));
}

#[test]
fn heartbeats_of_a_fleet_spread_out() {
    let phase = |seed: u64| {
        let mut client = Client::new(ME, TIMING, FORMATS, seed);
        client.handle(RENEW, Event::Serve, &mut Vec::new());
        client.handle(RENEW, Event::Connected, &mut Vec::new());
        client.heartbeats.next_at()
    };
    let phases: Vec<Micros> = (0..200).map(phase).collect();
    assert!(
        phases
            .iter()
            .all(|at| (RENEW + RENEW / 2..=2 * RENEW).contains(at)),
        "{phases:?}"
    );
    let early = phases
        .iter()
        .filter(|at| **at < RENEW + 3 * RENEW / 4)
        .count();
    assert!(
        (60..=140).contains(&early),
        "{early} of 200 in the first half"
    );
}

#[test]
fn a_lost_registration_stops_it_and_it_joins_again_after_a_wait_that_grows() {
    let mut gateway = Gateway::acting(1);
    let mut waits = Vec::new();
    for token in [8, 9, 10, 11] {
        gateway.kept(Token(token), gateway.now, 1);
        let gone = gateway.hear(ToGateway::RegistrationExpired {
            who: ME,
            token: Token(token),
        });
        assert_eq!(gone, [Action::Stop(StopReason::Expelled)]);
        assert_eq!(
            gateway.kept(Token(token), gateway.now, 1),
            [],
            "late word of the lost registration"
        );
        let lost_at = gateway.now;
        while beats(&gateway.tick(RENEW / 4)) == 0 {}
        waits.push((gateway.now - lost_at) / RENEW);
    }
    assert_eq!(waits, [1, 2, 4, 8]);
    let other = NodeIdentity {
        incarnation: 3,
        ..ME
    };
    gateway.kept(Token(12), gateway.now, 1);
    assert_eq!(
        gateway.hear(ToGateway::RegistrationExpired {
            who: other,
            token: Token(12)
        }),
        []
    );
    assert_eq!(gateway.acts_on(), Some(1));
}

#[test]
fn what_was_done_is_reported_until_it_is_counted() {
    let mut gateway = Gateway::acting(1);
    let reports = |actions: Vec<Action>| -> Vec<(u64, u64)> {
        let report = |action| match action {
            Action::Send(ToControl::Report {
                sequence, spans, ..
            }) => Some((sequence, spans[0].count)),
            _ => None,
        };
        actions.into_iter().filter_map(report).collect()
    };
    let acted = |count| Event::Acted {
        topic: TOPIC,
        number: 1,
        count,
    };
    assert_eq!(reports(gateway.feed(acted(3))), [(1, 3)]);
    assert_eq!(reports(gateway.feed(acted(4))), []);
    assert_eq!(
        reports(gateway.tick(RENEW)),
        [(1, 3)],
        "again, and the same"
    );
    gateway.hear(ToGateway::ReportCounted {
        who: ME,
        sequence: 7,
    });
    assert_eq!(reports(gateway.tick(RENEW)), [(1, 3)]);
    gateway.hear(ToGateway::ReportCounted {
        who: ME,
        sequence: 1,
    });
    assert_eq!(reports(gateway.tick(RENEW)), []);
    assert_eq!(
        reports(gateway.tick(REPORT_INTERVAL_RENEWALS * RENEW)),
        [(2, 4)]
    );
}

#[test]
fn an_offer_is_made_again_until_it_is_open_or_refused_once() {
    let mut gateway = Gateway::acting(1);
    let offers = |actions: &[Action]| {
        let offer = |action: &&Action| {
            matches!(
                action,
                Action::Send(ToControl::ProposeVersion { replaces: 1, .. })
            )
        };
        actions.iter().filter(offer).count()
    };
    let content = Content {
        format: 1,
        bytes: vec![1],
    };
    let offer = Event::ProposeVersion {
        topic: TOPIC,
        content,
    };
    assert_eq!(offers(&gateway.feed(offer.clone())), 1);
    assert_eq!(offers(&gateway.tick(RENEW)), 1);
    gateway.state(2, 1, 1, Some((2, 1)));
    assert_eq!(offers(&gateway.tick(RENEW)), 0);
    gateway.state(3, 2, 1, None);
    gateway.feed(offer);
    let busy = ToGateway::RequestRejected {
        who: ME,
        reason: Rejection::ProposalPending(7),
    };
    assert_eq!(
        gateway.hear(busy.clone()),
        [Action::RequestRejected(Rejection::ProposalPending(7))]
    );
    assert_eq!(gateway.hear(busy), [], "doubled");
    assert_eq!(offers(&gateway.tick(RENEW)), 0);
}

#[test]
fn one_that_drains_stops_first_and_gives_its_registration_back() {
    let mut gateway = Gateway::acting(1);
    let leave = Action::Send(ToControl::Leave {
        who: ME,
        token: TOKEN,
    });
    assert_eq!(
        gateway.feed(Event::Drain),
        [Action::Stop(StopReason::Drained), leave]
    );
    assert_eq!(
        gateway.kept(TOKEN, gateway.now, 1),
        [],
        "an answer that was on its way"
    );
    assert_eq!(beats(&gateway.tick(LEASE)), 0);
    assert_eq!(gateway.acts_on(), None);
}

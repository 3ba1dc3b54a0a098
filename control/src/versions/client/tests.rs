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

fn content() -> Content {
    Content {
        format: 1,
        bytes: vec![5],
    }
}

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
        gateway.handle(Event::Serve);
        gateway.handle(Event::Connected);
        gateway
    }

    /// A gateway that is registered and knows this active version.
    fn acting(active: u64) -> Gateway {
        let mut gateway = Gateway::serving();
        gateway.topic_state(1, 0, active, None);
        gateway.validated(active, Ok(()));
        gateway.renew(TOKEN, gateway.now, 1);
        gateway
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.client.handle(self.now, event, &mut out);
        out.retain(|action| !matches!(action, Action::Wake(_)));
        out
    }

    fn tick(&mut self, after: Micros) -> Vec<Action> {
        self.now += after;
        self.handle(Event::Tick)
    }

    fn receive(&mut self, message: ToGateway) -> Vec<Action> {
        self.handle(Event::Received(message))
    }

    fn renew(&mut self, token: Token, sent: Micros, required: u64) -> Vec<Action> {
        let required = Index(required);
        self.receive(ToGateway::RegistrationRenewed {
            identity: ME,
            token,
            sent_at: sent,
            required_index: required,
            registrations: 3,
        })
    }

    fn topic_state(
        &mut self,
        state_index: u64,
        since: u64,
        active: u64,
        proposed: Option<(u64, u32)>,
    ) -> Vec<Action> {
        let proposal = proposed.map(|(number, format)| Version {
            number,
            content: Content {
                format,
                bytes: Vec::new(),
            },
        });
        let active_content = (active > 0).then(content);
        let topics = vec![TopicState {
            topic: TOPIC,
            active,
            active_content,
            previous: 0,
            proposal,
        }];
        self.receive(ToGateway::TopicStates {
            state_index: Index(state_index),
            since: Index(since),
            topics,
        })
    }

    fn validated(&mut self, number: u64, result: Result<(), String>) -> Vec<Action> {
        self.handle(Event::Validated {
            topic: TOPIC,
            number,
            result,
        })
    }

    fn acting_on(&self) -> Option<u64> {
        self.client
            .usable_version(TOPIC, self.now)
            .map(|(number, _)| number)
    }
}

fn heartbeats(actions: &[Action]) -> usize {
    let is_heartbeat =
        |action: &&Action| matches!(action, Action::Send(ToControl::Heartbeat { .. }));
    actions.iter().filter(is_heartbeat).count()
}

/// A lease counts from when the heartbeat was sent.
#[test]
fn permission_counts_from_heartbeat() {
    let mut gateway = Gateway::serving();
    gateway.topic_state(1, 0, 1, None);
    gateway.validated(1, Ok(()));
    let sent = gateway.now;
    gateway.tick(RENEW / 2);
    let until = sent + LEASE;
    assert_eq!(
        gateway.renew(TOKEN, sent, 1),
        [Action::Act(Permission {
            token: TOKEN,
            until
        })]
    );
    assert_eq!(
        (gateway.acting_on(), gateway.client.registration_count()),
        (Some(1), 3)
    );
    assert_eq!(gateway.renew(TOKEN, sent, 1), [], "duplicate");
    assert_eq!(
        gateway.renew(TOKEN, sent + LEASE, 1),
        [],
        "sent later than now, so not in answer to its heartbeat"
    );
    gateway.now = until - 1;
    assert_eq!(gateway.acting_on(), Some(1));
    gateway.now = until;
    assert_eq!(gateway.acting_on(), None);
    assert!(gateway
        .tick(0)
        .contains(&Action::Stop(StopReason::LeaseExpired)));
}

/// A gateway gets no permission before it knows the last change.
#[test]
fn permission_requires_latest_states() {
    let mut gateway = Gateway::serving();
    assert_eq!(gateway.renew(TOKEN, gateway.now, 4), []);
    gateway.topic_state(3, 0, 2, None);
    assert_eq!(gateway.renew(TOKEN, gateway.now, 4), []);
    gateway.topic_state(4, 3, 4, None);
    assert_eq!(gateway.renew(TOKEN, gateway.now, 4), []);
    gateway.validated(4, Ok(()));
    assert!(matches!(
        gateway.renew(TOKEN, gateway.now, 4)[..],
        [Action::Act(_)]
    ));
    assert_eq!(gateway.acting_on(), Some(4));
}

/// Older states, and states after a gap, change nothing.
#[test]
fn late_or_gapped_states_are_ignored() {
    let mut gateway = Gateway::acting(1);
    gateway.topic_state(6, 1, 5, None);
    gateway.validated(5, Ok(()));
    gateway.renew(TOKEN, gateway.now, 6);
    assert_eq!(gateway.acting_on(), Some(5));
    assert_eq!(gateway.topic_state(6, 1, 1, None), [], "duplicate");
    assert_eq!(gateway.topic_state(4, 0, 3, None), [], "late");
    assert_eq!(
        gateway.topic_state(9, 7, 8, None),
        [],
        "the changes up to entry 7 are missing"
    );
    assert_eq!(gateway.acting_on(), Some(5));
    assert!(gateway.client.active_versions().eq([(TOPIC, 5)]));
}

/// A result is repeated while the version is proposed.
#[test]
fn validation_result_is_repeated() {
    let mut gateway = Gateway::acting(1);
    let validate = gateway.topic_state(2, 1, 1, Some((2, 1)));
    assert!(
        matches!(validate[..], [Action::Validate { number: 2, .. }]),
        "{validate:?}"
    );
    let result = Action::Send(ToControl::ValidationResult {
        identity: ME,
        token: TOKEN,
        topic: TOPIC,
        number: 2,
        result: Ok(()),
    });
    let validated = Event::Validated {
        topic: TOPIC,
        number: 2,
        result: Ok(()),
    };
    assert_eq!(gateway.handle(validated), std::slice::from_ref(&result));
    assert!(gateway.tick(RENEW).contains(&result));
    assert!(
        gateway.handle(Event::Connected).contains(&result),
        "to the next leader at once"
    );
    let activated = gateway.topic_state(3, 2, 2, None);
    assert!(
        matches!(activated[..], [Action::Activate { number: 2, .. }]),
        "{activated:?}"
    );
    assert!(!gateway.tick(RENEW).contains(&result));
    // A version whose format is not supported is rejected without a validation by the caller.
    let rejected = gateway.topic_state(5, 3, 2, Some((5, 2)));
    let is_nack = |action: &Action| {
        matches!(
            action,
            Action::Send(ToControl::ValidationResult {
                number: 5,
                result: Err(_),
                ..
            })
        )
    };
    assert!(
        matches!(&rejected[..], [one] if is_nack(one)),
        "{rejected:?}"
    );
}

/// A gateway is redirected if its heartbeats are not answered, or the answer names another leader.
#[test]
fn silence_or_another_leader_redirects() {
    let mut gateway = Gateway::acting(1);
    assert_eq!(
        gateway.receive(ToGateway::NotLeader { leader: Some(2) }),
        [Action::Redirect(Some(2))]
    );
    let too_soon = gateway.receive(ToGateway::NotLeader { leader: Some(3) });
    assert_eq!(
        too_soon,
        [Action::Redirect(None)],
        "two control members that name each other"
    );
    gateway.now += RENEW / 4;
    gateway.handle(Event::Connected);
    let silent = gateway.tick(RENEW);
    assert!(
        silent.contains(&Action::Redirect(None)) && heartbeats(&silent) == 1,
        "{silent:?}"
    );
    // Any answer keeps a gateway at its control member.
    gateway.handle(Event::Connected);
    gateway.receive(ToGateway::TopicStates {
        state_index: Index(1),
        since: Index(1),
        topics: Vec::new(),
    });
    assert!(!gateway.tick(RENEW).contains(&Action::Redirect(None)));
}

/// The heartbeats of a fleet spread out.
#[test]
fn heartbeats_of_fleet_are_spread() {
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

/// A lost registration stops a gateway, and it joins again after a growing backoff.
#[test]
fn rejoin_backs_off_after_expiry() {
    let mut gateway = Gateway::acting(1);
    let mut waits = Vec::new();
    for token in [8, 9, 10, 11] {
        gateway.renew(Token(token), gateway.now, 1);
        let expired = gateway.receive(ToGateway::RegistrationExpired {
            identity: ME,
            token: Token(token),
        });
        assert_eq!(expired, [Action::Stop(StopReason::RegistrationExpired)]);
        assert_eq!(
            gateway.renew(Token(token), gateway.now, 1),
            [],
            "a late renewal of the lost registration"
        );
        let lost_at = gateway.now;
        while heartbeats(&gateway.tick(RENEW / 4)) == 0 {}
        waits.push((gateway.now - lost_at) / RENEW);
    }
    assert_eq!(waits, [1, 2, 4, 8]);
    let other = NodeIdentity {
        incarnation: 3,
        ..ME
    };
    gateway.renew(Token(12), gateway.now, 1);
    assert_eq!(
        gateway.receive(ToGateway::RegistrationExpired {
            identity: other,
            token: Token(12)
        }),
        []
    );
    assert_eq!(gateway.acting_on(), Some(1));
}

/// Actions are reported until they are counted.
#[test]
fn reports_repeat_until_counted() {
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
    assert_eq!(reports(gateway.handle(acted(3))), [(1, 3)]);
    assert_eq!(reports(gateway.handle(acted(4))), []);
    assert_eq!(
        reports(gateway.tick(RENEW)),
        [(1, 3)],
        "the report is repeated unchanged"
    );
    gateway.receive(ToGateway::ReportCounted {
        identity: ME,
        sequence: 7,
    });
    assert_eq!(reports(gateway.tick(RENEW)), [(1, 3)]);
    gateway.receive(ToGateway::ReportCounted {
        identity: ME,
        sequence: 1,
    });
    assert_eq!(reports(gateway.tick(RENEW)), []);
    assert_eq!(
        reports(gateway.tick(REPORT_INTERVAL_RENEWALS * RENEW)),
        [(2, 4)]
    );
}

/// A proposal is repeated until it is known to be proposed, or was rejected once.
#[test]
fn proposal_repeats_until_settled() {
    let mut gateway = Gateway::acting(1);
    let proposals = |actions: &[Action]| {
        let propose = |action: &&Action| {
            matches!(
                action,
                Action::Send(ToControl::ProposeVersion { replaces: 1, .. })
            )
        };
        actions.iter().filter(propose).count()
    };
    let content = Content {
        format: 1,
        bytes: vec![1],
    };
    let propose = Event::ProposeVersion {
        topic: TOPIC,
        content,
    };
    assert_eq!(proposals(&gateway.handle(propose.clone())), 1);
    assert_eq!(proposals(&gateway.tick(RENEW)), 1);
    gateway.topic_state(2, 1, 1, Some((2, 1)));
    assert_eq!(proposals(&gateway.tick(RENEW)), 0);
    gateway.topic_state(3, 2, 1, None);
    gateway.handle(propose);
    let rejected = ToGateway::RequestRejected {
        identity: ME,
        reason: Rejection::ProposalPending(7),
    };
    assert_eq!(
        gateway.receive(rejected.clone()),
        [Action::RequestRejected(Rejection::ProposalPending(7))]
    );
    assert_eq!(gateway.receive(rejected), [], "duplicate");
    assert_eq!(proposals(&gateway.tick(RENEW)), 0);
}

/// A gateway that drains stops acting first, and then ends its registration.
#[test]
fn drain_stops_then_leaves() {
    let mut gateway = Gateway::acting(1);
    let leave = Action::Send(ToControl::Leave {
        identity: ME,
        token: TOKEN,
    });
    assert_eq!(
        gateway.handle(Event::Drain),
        [Action::Stop(StopReason::Draining), leave]
    );
    assert_eq!(
        gateway.renew(TOKEN, gateway.now, 1),
        [],
        "an answer that was in flight"
    );
    assert_eq!(heartbeats(&gateway.tick(LEASE)), 0);
    assert_eq!(gateway.acting_on(), None);
}

fn activated(number: u64) -> Action {
    Action::Activate {
        topic: TOPIC,
        number,
        previous: 0,
    }
}

fn validations(actions: &[Action]) -> Vec<(u64, Content)> {
    let validation = |action: &Action| match action {
        Action::Validate {
            number, content, ..
        } => Some((*number, content.clone())),
        _ => None,
    };
    actions.iter().filter_map(validation).collect()
}

/// A gateway that was cut off while two versions came into force learned the number of the newest alone, and acted under it with
/// the content that it had from before.
#[test]
fn returned_gateway_validates_the_active_version_before_it_acts() {
    let mut gateway = Gateway::acting(1);
    gateway.tick(2 * LEASE);
    assert_eq!(gateway.acting_on(), None);
    let returned = gateway.topic_state(6, 1, 5, None);
    assert_eq!(validations(&returned), [(5, content())]);
    assert_eq!(gateway.renew(TOKEN, gateway.now, 6), []);
    assert_eq!(gateway.acting_on(), None, "registered, and not acting");
    let invalid = gateway.validated(5, Err("another file".into()));
    assert!(
        matches!(&invalid[..], [Action::ActiveVersionInvalid { number: 5, reason, .. }] if reason == "another file"),
        "{invalid:?}"
    );
    // It is asked for again, less and less often, and at once when the operator proposes a file.
    let mut waits = Vec::new();
    let mut last = gateway.now;
    while waits.len() < 10 {
        if !validations(&gateway.tick(RENEW / 8)).is_empty() {
            waits.push(gateway.now - last);
            last = gateway.now;
        }
    }
    assert!(waits[0] <= RENEW && waits[9] > 16 * RENEW, "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= 32 * RENEW), "{waits:?}");
    let proposed = gateway.handle(Event::ProposeVersion {
        topic: TOPIC,
        content: content(),
    });
    assert_eq!(validations(&proposed), [(5, content())]);
    let is_proposal = |action: &Action| {
        matches!(
            action,
            Action::Send(ToControl::ProposeVersion { replaces: 5, .. })
        )
    };
    assert!(
        proposed.iter().any(is_proposal),
        "where no gateway has the active version's content, one of them proposes another: {proposed:?}"
    );
    assert_eq!(gateway.validated(4, Ok(())), [], "another version");
    assert_eq!(gateway.validated(5, Ok(())), [activated(5)]);
    assert_eq!(gateway.validated(5, Ok(())), [], "duplicate");
    gateway.renew(TOKEN, gateway.now, 6);
    assert_eq!(gateway.acting_on(), Some(5));
}

/// A version that was validated while it was proposed is activated without another validation, and the gateway goes on acting.
#[test]
fn acked_version_is_activated_at_once() {
    let mut gateway = Gateway::acting(1);
    gateway.topic_state(2, 1, 1, Some((2, 1)));
    gateway.validated(2, Ok(()));
    assert_eq!(gateway.topic_state(3, 2, 2, None), [activated(2)]);
    assert_eq!(gateway.acting_on(), Some(2));
}

/// A version that was proposed and found to be invalid here, and became active all the same, is not acted on.
#[test]
fn nacked_version_is_not_acted_on() {
    let mut gateway = Gateway::acting(1);
    gateway.topic_state(2, 1, 1, Some((2, 1)));
    gateway.validated(2, Err("bad".into()));
    let active = gateway.topic_state(3, 2, 2, None);
    assert!(active.contains(&Action::Stop(StopReason::UnvalidatedVersion)));
    assert_eq!(gateway.acting_on(), None);
}

/// Without its content, or in a format that this build does not know, an active version can't be validated.
#[test]
fn active_version_without_usable_content_is_invalid() {
    let newer = Content {
        format: 2,
        bytes: Vec::new(),
    };
    for active_content in [None, Some(newer)] {
        let mut gateway = Gateway::serving();
        let state = TopicState {
            topic: TOPIC,
            active: 3,
            active_content,
            previous: 0,
            proposal: None,
        };
        let actions = gateway.receive(ToGateway::TopicStates {
            state_index: Index(3),
            since: Index(0),
            topics: vec![state],
        });
        let is_invalid =
            |action: &Action| matches!(action, Action::ActiveVersionInvalid { number: 3, .. });
        assert!(actions.iter().any(is_invalid), "{actions:?}");
        assert_eq!(validations(&actions), []);
        gateway.renew(TOKEN, gateway.now, 3);
        assert_eq!(gateway.acting_on(), None);
    }
}

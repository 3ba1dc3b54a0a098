use super::read_index::{ROUNDS_PER_RENEWAL, ROUND_RETRIES_PER_RENEWAL};
use super::rollout::ACK_BATCHES_PER_RENEWAL;
use super::*;
use crate::lease::Token;
use crate::versions::{Content, Formats, Topic};

const ME: NodeIdentity = NodeIdentity {
    gateway: 1,
    incarnation: 5,
};
const OTHER: NodeIdentity = NodeIdentity {
    gateway: 2,
    incarnation: 5,
};
const TOPIC: Topic = Topic::Catalog;
const RENEW: Micros = 1_000_000;
const TIMING: Timing = Timing {
    lease_us: 3 * RENEW,
    renew_us: RENEW,
    drift_ppm: 1_000,
    margin_us: 50_000,
};

fn gateway(number: u32) -> NodeIdentity {
    NodeIdentity {
        gateway: number,
        incarnation: 7,
    }
}

/// A coordinator whose log takes at once what it proposes.
struct Member {
    coordinator: Coordinator,
    now: Micros,
    out: Vec<Action>,
}

impl Member {
    /// One that leads, with registrations of these gateways.
    fn leading(gateways: std::ops::RangeInclusive<u32>) -> Member {
        let coordinator = Coordinator::new(ME, TIMING);
        let mut member = Member {
            coordinator,
            now: 1,
            out: Vec::new(),
        };
        member.feed(Event::Leading(true));
        member.commit();
        for number in gateways {
            let formats = Formats {
                oldest: 1,
                newest: 1,
            };
            member.apply(Command::Join {
                who: gateway(number),
                formats,
            });
        }
        member.out.clear();
        member
    }

    fn feed(&mut self, event: Event) {
        self.coordinator.handle(self.now, event, &mut self.out);
    }

    fn tick(&mut self, after: Micros) {
        self.now += after;
        self.feed(Event::Tick);
    }

    /// Ticks as a caller does, for some time, with heartbeats of some gateways each renewal.
    fn pass(&mut self, time: Micros, beating: &[u32]) {
        let end = self.now + time;
        while self.now < end {
            beating.iter().for_each(|number| self.beat(*number));
            (0..10).for_each(|_| self.tick(RENEW / 10));
        }
    }

    fn apply(&mut self, command: Command) {
        let index = Index(self.coordinator.table().applied().0 + 1);
        self.feed(Event::Applied { index, command });
    }

    fn proposed(&mut self) -> Vec<Command> {
        let (proposed, rest): (Vec<Action>, Vec<Action>) = self
            .out
            .drain(..)
            .partition(|action| matches!(action, Action::Propose(_)));
        self.out = rest;
        let command = |action| match action {
            Action::Propose(command) => Some(command),
            _ => None,
        };
        proposed.into_iter().filter_map(command).collect()
    }

    fn commit(&mut self) {
        self.proposed()
            .into_iter()
            .for_each(|command| self.apply(command));
    }

    /// The round that was asked for last since the last look.
    fn asked(&mut self) -> Option<u64> {
        let mut rounds = self.out.iter().filter_map(|action| match action {
            Action::Confirm(round) => Some(*round),
            _ => None,
        });
        let last = rounds.next_back();
        self.out
            .retain(|action| !matches!(action, Action::Confirm(_)));
        last
    }

    fn sent(&mut self) -> Vec<(u32, ToGateway)> {
        let sent = |action| match action {
            Action::Send(who, message) => Some((who.gateway, message)),
            _ => None,
        };
        self.out.drain(..).filter_map(sent).collect()
    }

    fn token(&self, number: u32) -> Token {
        self.coordinator
            .table()
            .registration(gateway(number))
            .expect("a registration")
            .token
    }

    fn beat(&mut self, number: u32) {
        let registration = self.coordinator.table().registration(gateway(number));
        let (token, seen) = (
            registration.map(|registration| registration.token),
            self.coordinator.table().changed(),
        );
        let formats = Formats {
            oldest: 1,
            newest: 1,
        };
        let (who, sent) = (gateway(number), self.now);
        self.feed(Event::Received(ToControl::Heartbeat {
            who,
            formats,
            token,
            sent_at: sent,
            known_index: seen,
        }));
    }

    /// Has all heartbeats answered that wait, and forgets the answers.
    fn settle(&mut self) {
        self.out.clear();
        self.feed(Event::Confirmed(self.coordinator.last_round));
        self.tick(RENEW / ROUND_RETRIES_PER_RENEWAL);
        self.feed(Event::Confirmed(self.coordinator.last_round));
        self.out.clear();
    }

    fn kept(&mut self) -> Vec<u32> {
        let kept = |(number, message)| {
            matches!(message, ToGateway::RegistrationRenewed { .. }).then_some(number)
        };
        self.sent().into_iter().filter_map(kept).collect()
    }

    fn offer(&mut self, number: u32) -> u64 {
        let content = Content {
            format: 1,
            bytes: Vec::new(),
        };
        let (who, token) = (gateway(number), self.token(number));
        self.apply(Command::ProposeVersion {
            who,
            token,
            topic: TOPIC,
            replaces: 0,
            content,
        });
        self.coordinator.table().applied().0
    }

    fn accept(&mut self, number: u32, version: u64) {
        let (who, token) = (gateway(number), self.token(number));
        let verdict = ToControl::ValidationResult {
            who,
            token,
            topic: TOPIC,
            number: version,
            result: Ok(()),
        };
        self.feed(Event::Received(verdict));
    }
}

#[test]
fn a_heartbeat_is_answered_by_a_round_that_began_after_it_came() {
    let mut member = Member::leading(1..=2);
    member.beat(1);
    let first = member.asked().expect("a round");
    member.beat(2);
    assert_eq!(member.asked(), None, "one round at a time");
    member.feed(Event::Confirmed(first + 7));
    assert_eq!(
        member.kept(),
        Vec::<u32>::new(),
        "a round that nobody asked for"
    );
    member.feed(Event::Confirmed(first));
    assert_eq!(member.kept(), [1]);
    member.tick(RENEW / ROUNDS_PER_RENEWAL);
    let second = member.asked().expect("a round for the other");
    member.feed(Event::Confirmed(first));
    assert_eq!(member.kept(), Vec::<u32>::new(), "a doubled confirmation");
    member.feed(Event::Confirmed(second));
    assert_eq!(member.kept(), [2]);
}

#[test]
fn a_round_without_an_answer_is_replaced_and_a_late_answer_still_counts() {
    let mut member = Member::leading(1..=2);
    member.beat(1);
    let first = member.asked().expect("a round");
    member.beat(2);
    member.tick(RENEW / ROUND_RETRIES_PER_RENEWAL - 1);
    assert_eq!(member.asked(), None);
    member.tick(1);
    let second = member.asked().expect("another round");
    member.feed(Event::Confirmed(first));
    assert_eq!(member.kept(), [1], "what came before the first");
    member.feed(Event::Confirmed(second));
    assert_eq!(member.kept(), [2], "and all that waited for the second");
    // What waited for longer than a lease is not worth an answer.
    member.beat(1);
    member.pass(4 * RENEW, &[]);
    let last = member.asked();
    assert!(last.is_none_or(|round| round > second));
    member.feed(Event::Confirmed(last.unwrap_or(second)));
    assert_eq!(member.kept(), Vec::<u32>::new());
}

#[test]
fn who_does_not_lead_says_who_does_and_who_is_about_to_says_nothing() {
    let mut member = Member::leading(1..=1);
    member.feed(Event::Leading(false));
    member.feed(Event::Leader(Some(2)));
    member.beat(1);
    assert_eq!(
        member.sent(),
        [(1, ToGateway::NotLeader { leader: Some(2) })]
    );
    member.feed(Event::Leader(Some(ME.gateway)));
    member.beat(1);
    assert_eq!(
        member.sent(),
        [(1, ToGateway::NotLeader { leader: None })],
        "late word of itself"
    );
    member.feed(Event::Leading(true));
    member.beat(1);
    assert_eq!(member.proposed(), [Command::BeginEpoch { who: ME }]);
    assert_eq!(member.sent(), []);
}

#[test]
fn another_ones_epoch_ends_its_own_and_it_begins_again_while_it_leads() {
    let mut member = Member::leading(1..=1);
    member.beat(1);
    let round = member.asked().expect("a round");
    member.apply(Command::BeginEpoch { who: OTHER });
    member.feed(Event::Confirmed(round));
    assert_eq!(member.kept(), Vec::<u32>::new());
    member.tick(RENEW);
    assert_eq!(member.proposed(), [Command::BeginEpoch { who: ME }]);
    member.tick(RENEW / 2);
    assert_eq!(member.proposed(), [], "each renewal");
    member.tick(RENEW / 2);
    assert_eq!(member.proposed(), [Command::BeginEpoch { who: ME }]);
    member.apply(Command::BeginEpoch { who: ME });
    member.feed(Event::Confirmed(round));
    assert_eq!(
        member.kept(),
        Vec::<u32>::new(),
        "a round of the former epoch"
    );
    member.beat(1);
    let round = member.asked().expect("a round");
    member.feed(Event::Confirmed(round));
    assert_eq!(member.kept(), [1]);
}

#[test]
fn a_new_leader_waits_a_whole_wait_before_it_takes_a_registration_away() {
    let mut member = Member::leading(1..=2);
    member.pass(10 * RENEW, &[1, 2]);
    member.feed(Event::Leading(false));
    member.feed(Event::Leading(true));
    member.commit();
    let epoch = member.coordinator.table().epoch();
    let (began, who, token) = (member.now, gateway(2), member.token(2));
    let expel = loop {
        member.beat(1);
        member.tick(RENEW / 8);
        if let [expel] = &member.proposed()[..] {
            break expel.clone();
        }
    };
    let waited = member.now - began;
    assert_eq!(expel, Command::Expire { who, token, epoch });
    assert!(
        (TIMING.wait_us()..TIMING.wait_us() + RENEW / 4).contains(&waited),
        "{waited}"
    );
    // From now on it is not kept, even if it comes back before the log has the entry; and it is asked for again.
    member.settle();
    member.beat(2);
    member.tick(RENEW / ROUND_RETRIES_PER_RENEWAL);
    let round = member.asked().expect("a round");
    member.feed(Event::Confirmed(round));
    assert!(!member.kept().contains(&2));
    member.tick(RENEW - RENEW / ROUND_RETRIES_PER_RENEWAL);
    assert_eq!(member.proposed(), [expel]);
    member.apply(Command::Expire { who, token, epoch });
    assert_eq!(
        member.sent(),
        [(2, ToGateway::RegistrationExpired { who, token })]
    );
}

#[test]
fn time_in_which_the_leader_stood_still_is_no_silence_of_gateways() {
    let mut member = Member::leading(1..=2);
    member.pass(5 * RENEW, &[1, 2]);
    member.out.clear();
    member.tick(60 * RENEW);
    assert_eq!(
        member.proposed(),
        [],
        "they may have been heard, had it listened"
    );
    member.pass(10 * RENEW, &[1]);
    let expelled = member
        .proposed()
        .into_iter()
        .all(|command| matches!(command, Command::Expire { who, .. } if who == gateway(2)));
    assert!(expelled, "the one that is silent still, and nobody else");
}

#[test]
fn verdicts_are_written_together_at_once_where_they_decide_and_after_a_moment_otherwise() {
    let mut member = Member::leading(1..=3);
    let version = member.offer(1);
    member.accept(1, version);
    member.accept(2, version);
    assert_eq!(member.proposed(), []);
    member.tick(RENEW / ACK_BATCHES_PER_RENEWAL);
    let accepted = member.proposed();
    assert!(
        matches!(&accepted[..], [Command::Ack { by, .. }] if by.len() == 2),
        "{accepted:?}"
    );
    member.accept(2, version);
    assert_eq!(member.proposed(), [], "said again");
    // The proposal is lost: it is made again, with the last one, which decides.
    member.accept(3, version);
    let accepted = member.proposed();
    assert!(
        matches!(&accepted[..], [Command::Ack { by, .. }] if by.len() == 1),
        "{accepted:?}"
    );
    member.tick(RENEW);
    let accepted = member.proposed();
    assert!(
        matches!(&accepted[..], [Command::Ack { by, .. }] if by.len() == 3),
        "{accepted:?}"
    );
    accepted
        .into_iter()
        .for_each(|command| member.apply(command));
    assert_eq!(
        member
            .coordinator
            .table()
            .topic(TOPIC)
            .map(|status| status.number()),
        Some(version)
    );
}

#[test]
fn a_straggler_is_not_kept_any_more_and_one_that_accepts_in_time_is() {
    let mut member = Member::leading(1..=3);
    let version = member.offer(1);
    member.accept(1, version);
    member.commit();
    member.pass(TIMING.wait_us() + RENEW, &[1, 2, 3]);
    member.commit();
    member.settle();
    member.accept(2, version);
    (1..=3).for_each(|number| member.beat(number));
    member.tick(RENEW / ROUND_RETRIES_PER_RENEWAL);
    let round = member.asked().expect("a round");
    member.feed(Event::Confirmed(round));
    assert_eq!(member.kept(), [1, 2]);
    member.pass(TIMING.wait_us(), &[1, 2, 3]);
    let expelled: Vec<NodeIdentity> = member
        .proposed()
        .into_iter()
        .filter_map(|command| match command {
            Command::Expire { who, .. } => Some(who),
            _ => None,
        })
        .collect();
    assert!(
        !expelled.is_empty() && expelled.iter().all(|who| *who == gateway(3)),
        "{expelled:?}"
    );
}

#[test]
fn a_gateway_that_missed_a_change_is_sent_it_once_and_again_on_a_new_link() {
    let mut member = Member::leading(1..=1);
    member.offer(1);
    let published =
        |action: &Action| matches!(action, Action::Broadcast(ToGateway::TopicStates { .. }));
    assert!(member.out.iter().any(published));
    member.out.clear();
    let formats = Formats {
        oldest: 1,
        newest: 1,
    };
    let (who, token) = (gateway(1), Some(member.token(1)));
    let behind = ToControl::Heartbeat {
        who,
        formats,
        token,
        sent_at: member.now,
        known_index: Index(0),
    };
    let states = |member: &mut Member| {
        let sent = member.sent();
        sent.iter()
            .filter(|(_, message)| matches!(message, ToGateway::TopicStates { .. }))
            .count()
    };
    member.feed(Event::Received(behind.clone()));
    assert_eq!(states(&mut member), 1);
    member.feed(Event::Received(behind.clone()));
    assert_eq!(states(&mut member), 0, "it is on its way");
    member.feed(Event::Connected(who));
    member.feed(Event::Received(behind));
    assert_eq!(states(&mut member), 1);
}

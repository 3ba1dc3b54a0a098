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

/// A coordinator, its clock and its pending actions. `commit` applies the entries that it has proposed.
struct Member {
    coordinator: Coordinator,
    now: Micros,
    out: Vec<Action>,
}

impl Member {
    /// A member that leads, with these gateways registered.
    fn leading(gateways: std::ops::RangeInclusive<u32>) -> Member {
        let coordinator = Coordinator::new(ME, TIMING);
        let mut member = Member {
            coordinator,
            now: 1,
            out: Vec::new(),
        };
        member.handle(Event::Leading(true));
        member.commit();
        for number in gateways {
            let formats = Formats {
                oldest: 1,
                newest: 1,
            };
            member.apply(Command::Join {
                identity: gateway(number),
                formats,
            });
        }
        member.out.clear();
        member
    }

    fn handle(&mut self, event: Event) {
        self.coordinator.handle(self.now, event, &mut self.out);
    }

    fn tick(&mut self, after: Micros) {
        self.now += after;
        self.handle(Event::Tick);
    }

    /// Advances the clock by `time` in ticks, with a heartbeat of each reachable gateway every renewal interval.
    fn advance(&mut self, time: Micros, reachable: &[u32]) {
        let end = self.now + time;
        while self.now < end {
            reachable.iter().for_each(|number| self.heartbeat(*number));
            (0..10).for_each(|_| self.tick(RENEW / 10));
        }
    }

    fn apply(&mut self, command: Command) {
        let index = Index(self.coordinator.table().applied().0 + 1);
        self.handle(Event::Applied { index, command });
    }

    fn take_proposed(&mut self) -> Vec<Command> {
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
        self.take_proposed()
            .into_iter()
            .for_each(|command| self.apply(command));
    }

    /// The last round that was requested since the previous call.
    fn take_requested_round(&mut self) -> Option<u64> {
        let mut rounds = self.out.iter().filter_map(|action| match action {
            Action::RequestRound(round) => Some(*round),
            _ => None,
        });
        let last = rounds.next_back();
        self.out
            .retain(|action| !matches!(action, Action::RequestRound(_)));
        last
    }

    fn take_sent(&mut self) -> Vec<(u32, ToGateway)> {
        let sent = |action| match action {
            Action::Send(identity, message) => Some((identity.gateway, message)),
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

    fn heartbeat(&mut self, number: u32) {
        let registration = self.coordinator.table().registration(gateway(number));
        let (token, known_index) = (
            registration.map(|registration| registration.token),
            self.coordinator.table().last_changed(),
        );
        let formats = Formats {
            oldest: 1,
            newest: 1,
        };
        let (identity, sent) = (gateway(number), self.now);
        self.handle(Event::Received(ToControl::Heartbeat {
            identity,
            formats,
            token,
            sent_at: sent,
            known_index,
        }));
    }

    /// Confirms rounds until all waiting heartbeats are answered, and discards the answers.
    fn answer_all(&mut self) {
        self.out.clear();
        self.handle(Event::RoundConfirmed(self.coordinator.last_round));
        self.tick(RENEW / ROUND_RETRIES_PER_RENEWAL);
        self.handle(Event::RoundConfirmed(self.coordinator.last_round));
        self.out.clear();
    }

    fn take_renewed(&mut self) -> Vec<u32> {
        let renewed = |(number, message)| {
            matches!(message, ToGateway::RegistrationRenewed { .. }).then_some(number)
        };
        self.take_sent().into_iter().filter_map(renewed).collect()
    }

    fn propose(&mut self, number: u32) -> u64 {
        let content = Content {
            format: 1,
            bytes: Vec::new(),
        };
        let (identity, token) = (gateway(number), self.token(number));
        self.apply(Command::ProposeVersion {
            identity,
            token,
            topic: TOPIC,
            replaces: 0,
            content,
        });
        self.coordinator.table().applied().0
    }

    fn ack(&mut self, number: u32, version: u64) {
        let (identity, token) = (gateway(number), self.token(number));
        let result = ToControl::ValidationResult {
            identity,
            token,
            topic: TOPIC,
            number: version,
            result: Ok(()),
        };
        self.handle(Event::Received(result));
    }
}

/// A heartbeat is answered by a round that was requested after it arrived.
#[test]
fn heartbeat_waits_for_later_round() {
    let mut member = Member::leading(1..=2);
    member.heartbeat(1);
    let first = member.take_requested_round().expect("a round");
    member.heartbeat(2);
    assert_eq!(member.take_requested_round(), None, "one round at a time");
    member.handle(Event::RoundConfirmed(first + 7));
    assert_eq!(
        member.take_renewed(),
        Vec::<u32>::new(),
        "a round that was not requested"
    );
    member.handle(Event::RoundConfirmed(first));
    assert_eq!(member.take_renewed(), [1]);
    member.tick(RENEW / ROUNDS_PER_RENEWAL);
    let second = member
        .take_requested_round()
        .expect("a round for the other");
    member.handle(Event::RoundConfirmed(first));
    assert_eq!(
        member.take_renewed(),
        Vec::<u32>::new(),
        "a duplicate confirmation"
    );
    member.handle(Event::RoundConfirmed(second));
    assert_eq!(member.take_renewed(), [2]);
}

/// A round without a confirmation is replaced, and a late confirmation still counts.
#[test]
fn unconfirmed_round_is_replaced() {
    let mut member = Member::leading(1..=2);
    member.heartbeat(1);
    let first = member.take_requested_round().expect("a round");
    member.heartbeat(2);
    member.tick(RENEW / ROUND_RETRIES_PER_RENEWAL - 1);
    assert_eq!(member.take_requested_round(), None);
    member.tick(1);
    let second = member.take_requested_round().expect("another round");
    member.handle(Event::RoundConfirmed(first));
    assert_eq!(
        member.take_renewed(),
        [1],
        "the heartbeat that arrived before the first round"
    );
    member.handle(Event::RoundConfirmed(second));
    assert_eq!(
        member.take_renewed(),
        [2],
        "the heartbeat that waited for the second round"
    );
    // A heartbeat that waited for longer than a lease is not answered.
    member.heartbeat(1);
    member.advance(4 * RENEW, &[]);
    let last = member.take_requested_round();
    assert!(last.is_none_or(|round| round > second));
    member.handle(Event::RoundConfirmed(last.unwrap_or(second)));
    assert_eq!(member.take_renewed(), Vec::<u32>::new());
}

/// A follower redirects gateways to the leader; a new leader does not answer before its epoch begins.
#[test]
fn follower_redirects_and_new_leader_stays_silent() {
    let mut member = Member::leading(1..=1);
    member.handle(Event::Leading(false));
    member.handle(Event::Leader(Some(2)));
    member.heartbeat(1);
    assert_eq!(
        member.take_sent(),
        [(1, ToGateway::NotLeader { leader: Some(2) })]
    );
    member.handle(Event::Leader(Some(ME.gateway)));
    member.heartbeat(1);
    assert_eq!(
        member.take_sent(),
        [(1, ToGateway::NotLeader { leader: None })],
        "the number of this member is outdated"
    );
    member.handle(Event::Leading(true));
    member.heartbeat(1);
    assert_eq!(
        member.take_proposed(),
        [Command::BeginEpoch { identity: ME }]
    );
    assert_eq!(member.take_sent(), []);
}

/// An epoch of another member ends this member's own; while it leads, it proposes another one.
#[test]
fn another_epoch_ends_its_own() {
    let mut member = Member::leading(1..=1);
    member.heartbeat(1);
    let round = member.take_requested_round().expect("a round");
    member.apply(Command::BeginEpoch { identity: OTHER });
    member.handle(Event::RoundConfirmed(round));
    assert_eq!(member.take_renewed(), Vec::<u32>::new());
    member.tick(RENEW);
    assert_eq!(
        member.take_proposed(),
        [Command::BeginEpoch { identity: ME }]
    );
    member.tick(RENEW / 2);
    assert_eq!(
        member.take_proposed(),
        [],
        "proposed once in each renewal interval"
    );
    member.tick(RENEW / 2);
    assert_eq!(
        member.take_proposed(),
        [Command::BeginEpoch { identity: ME }]
    );
    member.apply(Command::BeginEpoch { identity: ME });
    member.handle(Event::RoundConfirmed(round));
    assert_eq!(
        member.take_renewed(),
        Vec::<u32>::new(),
        "a round of the former epoch"
    );
    member.heartbeat(1);
    let round = member.take_requested_round().expect("a round");
    member.handle(Event::RoundConfirmed(round));
    assert_eq!(member.take_renewed(), [1]);
}

/// A new leader lets a full wait pass before it expires a registration.
#[test]
fn new_leader_waits_before_expiry() {
    let mut member = Member::leading(1..=2);
    member.advance(10 * RENEW, &[1, 2]);
    member.handle(Event::Leading(false));
    member.handle(Event::Leading(true));
    member.commit();
    let epoch = member.coordinator.table().epoch();
    let (began, identity, token) = (member.now, gateway(2), member.token(2));
    let expire = loop {
        member.heartbeat(1);
        member.tick(RENEW / 8);
        if let [expire] = &member.take_proposed()[..] {
            break expire.clone();
        }
    };
    let waited = member.now - began;
    assert_eq!(
        expire,
        Command::Expire {
            identity,
            token,
            epoch
        }
    );
    assert!(
        (TIMING.wait_us()..TIMING.wait_us() + RENEW / 4).contains(&waited),
        "{waited}"
    );
    // A registration whose expiry was proposed is not renewed, even if its gateway sends a heartbeat before the entry is
    // applied; and the proposal is repeated.
    member.answer_all();
    member.heartbeat(2);
    member.tick(RENEW / ROUND_RETRIES_PER_RENEWAL);
    let round = member.take_requested_round().expect("a round");
    member.handle(Event::RoundConfirmed(round));
    assert!(!member.take_renewed().contains(&2));
    member.tick(RENEW - RENEW / ROUND_RETRIES_PER_RENEWAL);
    assert_eq!(member.take_proposed(), [expire]);
    member.apply(Command::Expire {
        identity,
        token,
        epoch,
    });
    assert_eq!(
        member.take_sent(),
        [(2, ToGateway::RegistrationExpired { identity, token })]
    );
}

/// Time in which the leader stalled does not count as silence of the gateways.
#[test]
fn stall_of_leader_expires_nobody() {
    let mut member = Member::leading(1..=2);
    member.advance(5 * RENEW, &[1, 2]);
    member.out.clear();
    member.tick(60 * RENEW);
    assert_eq!(
        member.take_proposed(),
        [],
        "the gateways may have sent heartbeats during the stall"
    );
    member.advance(10 * RENEW, &[1]);
    let expired = member.take_proposed().into_iter().all(
        |command| matches!(command, Command::Expire { identity, .. } if identity == gateway(2)),
    );
    assert!(expired, "only gateway 2, which is still silent, expires");
}

/// Acks are written in batches: at once if they complete a version, after a delay otherwise.
#[test]
fn acks_are_batched_unless_they_complete() {
    let mut member = Member::leading(1..=3);
    let version = member.propose(1);
    member.ack(1, version);
    member.ack(2, version);
    assert_eq!(member.take_proposed(), []);
    member.tick(RENEW / ACK_BATCHES_PER_RENEWAL);
    let acks = member.take_proposed();
    assert!(
        matches!(&acks[..], [Command::Ack { by, .. }] if by.len() == 2),
        "{acks:?}"
    );
    member.ack(2, version);
    assert_eq!(member.take_proposed(), [], "a repeated ack");
    // The entry with the first two acks is lost: they are proposed again, together with the last ack, which completes the
    // version.
    member.ack(3, version);
    let acks = member.take_proposed();
    assert!(
        matches!(&acks[..], [Command::Ack { by, .. }] if by.len() == 1),
        "{acks:?}"
    );
    member.tick(RENEW);
    let acks = member.take_proposed();
    assert!(
        matches!(&acks[..], [Command::Ack { by, .. }] if by.len() == 3),
        "{acks:?}"
    );
    acks.into_iter().for_each(|command| member.apply(command));
    assert_eq!(
        member
            .coordinator
            .table()
            .topic(TOPIC)
            .map(|status| status.active_number()),
        Some(version)
    );
}

/// A straggler is no longer renewed, while gateways that ack are.
#[test]
fn straggler_is_not_renewed() {
    let mut member = Member::leading(1..=3);
    let version = member.propose(1);
    member.ack(1, version);
    member.commit();
    member.advance(TIMING.wait_us() + RENEW, &[1, 2, 3]);
    member.commit();
    member.answer_all();
    member.ack(2, version);
    (1..=3).for_each(|number| member.heartbeat(number));
    member.tick(RENEW / ROUND_RETRIES_PER_RENEWAL);
    let round = member.take_requested_round().expect("a round");
    member.handle(Event::RoundConfirmed(round));
    assert_eq!(member.take_renewed(), [1, 2]);
    member.advance(TIMING.wait_us(), &[1, 2, 3]);
    let expired: Vec<NodeIdentity> = member
        .take_proposed()
        .into_iter()
        .filter_map(|command| match command {
            Command::Expire { identity, .. } => Some(identity),
            _ => None,
        })
        .collect();
    assert!(
        !expired.is_empty() && expired.iter().all(|identity| *identity == gateway(3)),
        "{expired:?}"
    );
}

/// Topic states that a gateway lacks are sent to it once, and again on a new link.
#[test]
fn missed_states_are_resent_once_per_link() {
    let mut member = Member::leading(1..=1);
    member.propose(1);
    let published =
        |action: &Action| matches!(action, Action::Broadcast(ToGateway::TopicStates { .. }));
    assert!(member.out.iter().any(published));
    member.out.clear();
    let formats = Formats {
        oldest: 1,
        newest: 1,
    };
    let (identity, token) = (gateway(1), Some(member.token(1)));
    let behind = ToControl::Heartbeat {
        identity,
        formats,
        token,
        sent_at: member.now,
        known_index: Index(0),
    };
    let states = |member: &mut Member| {
        let sent = member.take_sent();
        sent.iter()
            .filter(|(_, message)| matches!(message, ToGateway::TopicStates { .. }))
            .count()
    };
    member.handle(Event::Received(behind.clone()));
    assert_eq!(states(&mut member), 1);
    member.handle(Event::Received(behind.clone()));
    assert_eq!(states(&mut member), 0, "the states are in flight");
    member.handle(Event::Connected(identity));
    member.handle(Event::Received(behind));
    assert_eq!(states(&mut member), 1);
}

//! Compares what control members write to disk and send to each other and to gateways with recorded files, byte for byte,
//! in encoding and in decoding.
//!
//! An earlier build wrote the files in `tests/golden`, before any name in the code was changed. They are never written
//! again to make a test pass: members of that build and of this one can read each other's data only as long as the bytes
//! are the same. To change a format, change its number and add files of the new format.

use crate::frame::{self, Hello, Payload};
use crate::lease::{self, Duty, Index, NodeIdentity, Timing, Token};
use crate::node::Node;
use crate::state_machine::{self, Action, Command, Event, StateMachine};
use crate::store::Store;
use crate::versions::{
    self, Content, Formats, Rejection, Span, ToControl, ToGateway, Topic, TopicState, Version,
};
use crate::Micros;
use raft::eraftpb::{self, ConfState};
use raft::{GetEntriesContext, Storage};
use std::path::{Path, PathBuf};

const GATEWAY: NodeIdentity = NodeIdentity {
    gateway: 300,
    incarnation: 70_000,
};
const TOKEN: Token = Token(17);

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of_hex(text: &str) -> Vec<u8> {
    let pairs = (0..text.len()).step_by(2).map(|at| &text[at..at + 2]);
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("hex"))
        .collect()
}

/// Compares the encoding of each value with its line of a file, and each value with what is decoded from that line.
#[track_caller]
fn assert_matches<T: std::fmt::Debug + PartialEq>(
    name: &str,
    values: Vec<(&str, T)>,
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let record = std::fs::read_to_string(file(name)).unwrap_or_default();
    let encoded: String = values
        .iter()
        .map(|(name, value)| format!("{name} {}\n", hex(&encode(value))))
        .collect();
    if encoded != record {
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, &encoded).expect("written");
        panic!(
            "{name} differs; the encoding by this build is in {}",
            path.display()
        );
    }
    for (line, (name, value)) in record.lines().zip(values) {
        let (_, bytes) = line.rsplit_once(' ').expect("a name and bytes");
        assert_eq!(decode(&bytes_of_hex(bytes)), value, "{name}");
    }
}

fn content() -> Content {
    Content {
        format: 2,
        bytes: b"a digest of 32 bytes, as it were.".to_vec(),
    }
}

fn spans() -> Vec<Span> {
    let span = |topic, number| Span {
        topic,
        number,
        from: 1_700_000_000_000_000,
        until: 1_700_000_000_900_000,
        count: 12,
    };
    vec![span(Topic::Operator, 5), span(Topic::Program, 6)]
}

fn commands() -> Vec<(&'static str, Command)> {
    use versions::Command as V;
    let (duty, topic, number) = (Duty(1), Topic::Catalog, 20);
    let other = NodeIdentity {
        gateway: 4,
        incarnation: 1,
    };
    let lease = |command| Command::Lease(command);
    let version = |command| Command::Version(command);
    vec![
        (
            "claim",
            lease(lease::Command::Claim {
                duty,
                holder: GATEWAY,
                seen: Index(4),
                at: 5_000_000,
            }),
        ),
        (
            "renew",
            lease(lease::Command::Renew {
                duty,
                holder: GATEWAY,
                token: TOKEN,
                at: 6_000_000,
            }),
        ),
        (
            "release",
            lease(lease::Command::Release {
                duty: Duty(0),
                holder: GATEWAY,
                token: TOKEN,
            }),
        ),
        ("lead", version(V::BeginEpoch { identity: GATEWAY })),
        (
            "join",
            version(V::Join {
                identity: GATEWAY,
                formats: Formats {
                    oldest: 1,
                    newest: 3,
                },
            }),
        ),
        (
            "leave",
            version(V::Leave {
                identity: GATEWAY,
                token: TOKEN,
            }),
        ),
        (
            "expel",
            version(V::Expire {
                identity: GATEWAY,
                token: TOKEN,
                epoch: Index(12),
            }),
        ),
        (
            "offer",
            version(V::ProposeVersion {
                identity: GATEWAY,
                token: TOKEN,
                topic,
                replaces: 4,
                content: content(),
            }),
        ),
        (
            "accept",
            version(V::Ack {
                topic,
                number,
                by: vec![(GATEWAY, TOKEN), (other, Token(18))],
            }),
        ),
        (
            "refuse",
            version(V::Nack {
                identity: GATEWAY,
                token: TOKEN,
                topic,
                number,
                reason: "not good".into(),
            }),
        ),
        (
            "report",
            version(V::Report {
                identity: GATEWAY,
                sequence: 2,
                spans: spans(),
            }),
        ),
    ]
}

#[test]
fn log_entries_match_record() {
    assert_matches("entries.txt", commands(), state_machine::encode, |bytes| {
        state_machine::decode(bytes).expect("an entry")
    });
}

fn to_control() -> Vec<(&'static str, ToControl)> {
    let identity = GATEWAY;
    let formats = Formats {
        oldest: 1,
        newest: 2,
    };
    let validated = |result| ToControl::ValidationResult {
        identity,
        token: TOKEN,
        topic: Topic::Operator,
        number: 4,
        result,
    };
    vec![
        (
            "heartbeat, new",
            ToControl::Heartbeat {
                identity,
                formats,
                token: None,
                sent_at: 1,
                known_index: Index(0),
            },
        ),
        (
            "heartbeat",
            ToControl::Heartbeat {
                identity,
                formats,
                token: Some(TOKEN),
                sent_at: 1 << 50,
                known_index: Index(3),
            },
        ),
        ("accepts", validated(Ok(()))),
        ("refuses", validated(Err("not good".into()))),
        (
            "offer",
            ToControl::ProposeVersion {
                identity,
                token: TOKEN,
                topic: Topic::Program,
                replaces: 4,
                content: content(),
            },
        ),
        (
            "report",
            ToControl::Report {
                identity,
                sequence: 2,
                spans: spans(),
            },
        ),
        (
            "leave",
            ToControl::Leave {
                identity,
                token: TOKEN,
            },
        ),
    ]
}

fn to_gateway() -> Vec<(&'static str, ToGateway)> {
    let identity = GATEWAY;
    let rejected = |reason| ToGateway::RequestRejected { identity, reason };
    let topics = vec![
        TopicState {
            topic: Topic::Catalog,
            active: 4,
            active_content: None,
            previous: 2,
            proposal: Some(Version {
                number: 9,
                content: content(),
            }),
        },
        TopicState {
            topic: Topic::Placement,
            active: 7,
            active_content: None,
            previous: 0,
            proposal: None,
        },
    ];
    let proposal_rejected = ToGateway::ProposalRejected {
        topic: Topic::Catalog,
        number: 4,
        by: identity,
        reason: "not good".into(),
    };
    vec![
        (
            "kept",
            ToGateway::RegistrationRenewed {
                identity,
                token: TOKEN,
                sent_at: 5,
                required_index: Index(9),
                registrations: 410,
            },
        ),
        (
            "state",
            ToGateway::TopicStates {
                state_index: Index(9),
                since: Index(2),
                topics,
            },
        ),
        (
            "state, nothing new",
            ToGateway::TopicStates {
                state_index: Index(9),
                since: Index(9),
                topics: Vec::new(),
            },
        ),
        (
            "gone",
            ToGateway::RegistrationExpired {
                identity,
                token: TOKEN,
            },
        ),
        ("dropped", proposal_rejected),
        (
            "reported",
            ToGateway::ReportCounted {
                identity,
                sequence: 3,
            },
        ),
        ("elsewhere, unknown", ToGateway::NotLeader { leader: None }),
        ("elsewhere", ToGateway::NotLeader { leader: Some(2) }),
        ("refused 1", rejected(Rejection::StaleRegistration)),
        ("refused 2", rejected(Rejection::AlreadyRegistered)),
        (
            "refused 3",
            rejected(Rejection::UnsupportedFormat { needed: 3 }),
        ),
        ("refused 4", rejected(Rejection::StaleEpoch)),
        ("refused 5", rejected(Rejection::ProposalPending(4))),
        ("refused 6", rejected(Rejection::ActiveVersionChanged(5))),
        ("refused 7", rejected(Rejection::ContentTooLong)),
        ("refused 8", rejected(Rejection::AlreadyDecided)),
    ]
}

#[test]
fn messages_match_record() {
    let read = |bytes: &[u8]| ToControl::decode(bytes).expect("a message");
    assert_matches("to-control.txt", to_control(), ToControl::encode, read);
    let read = |bytes: &[u8]| ToGateway::decode(bytes).expect("a message");
    assert_matches("to-gateway.txt", to_gateway(), ToGateway::encode, read);
}

#[test]
fn frames_match_record() {
    let member = Hello {
        oldest: frame::OLDEST_FORMAT,
        newest: frame::NEWEST_FORMAT,
        fleet_digest: 0xfeed_beef_0bad_cafe,
        gateway: 2,
        raft_id: 70_000 << 16 | 2,
        fresh: true,
        client: false,
        incarnation: 70_000,
    };
    let mut raft = eraftpb::Message {
        from: 2,
        to: 1,
        term: 7,
        log_term: 6,
        index: 40,
        commit: 39,
        ..Default::default()
    };
    raft.set_msg_type(eraftpb::MessageType::MsgAppend);
    let command = Command::Version(versions::Command::BeginEpoch { identity: GATEWAY });
    let entry = eraftpb::Entry {
        index: 41,
        term: 7,
        data: state_machine::encode(&command).into(),
        ..Default::default()
    };
    raft.set_entries(vec![entry].into());
    let frames = vec![
        ("hello of a member", Payload::Hello(member)),
        (
            "hello of a gateway",
            Payload::Hello(Hello::of_client(GATEWAY, 9)),
        ),
        ("raft", Payload::Raft(Box::new(raft))),
        ("to control", Payload::ToControl(to_control().remove(1).1)),
        ("to a gateway", Payload::ToGateway(to_gateway().remove(0).1)),
    ];
    let encode = |payload: &Payload| {
        let frame = match payload {
            Payload::Hello(hello) => frame::encode_hello(hello),
            Payload::Raft(message) => frame::encode_raft(message),
            Payload::ToControl(message) => frame::encode_to_control(message),
            Payload::ToGateway(message) => frame::encode_to_gateway(message),
        };
        frame.expect("within the size limit").to_vec()
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let decode = |bytes: &[u8]| {
        let mut frames = frame::FrameReader::new(bytes, crate::traffic::Traffic::default());
        runtime.block_on(frames.next()).expect("a frame")
    };
    assert_matches("frames.txt", frames, encode, decode);
}

const RENEW: Micros = 1_000_000;
const TIMING: Timing = Timing {
    lease_us: 3 * RENEW,
    renew_us: RENEW,
    drift_ppm: 1_000,
    margin_us: 50_000,
};
const MEMBER: NodeIdentity = NodeIdentity {
    gateway: 1,
    incarnation: 9,
};
const SERVED: [NodeIdentity; 2] = [
    NodeIdentity {
        gateway: 7,
        incarnation: 3,
    },
    NodeIdentity {
        gateway: 300,
        incarnation: 4,
    },
];

/// The only control member of its log, on a clock that the test sets.
struct Member {
    node: Node,
    now: Micros,
}

impl Member {
    fn open(folder: &Path) -> Member {
        let mut store = Store::open(folder, MEMBER.gateway.into()).expect("opened");
        if store.raft_id().is_none() {
            let alone = ConfState {
                voters: vec![1],
                ..Default::default()
            };
            store.initialize(1, &alone).expect("initialized");
        }
        let node = Node::new(1, store, StateMachine::new(MEMBER, TIMING), 20, 1).expect("a node");
        let mut member = Member { node, now: 1 };
        member.drive();
        member
    }

    fn drive(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        self.node
            .process_ready(self.now, &mut out, &mut |_| {})
            .expect("processed");
        out
    }

    fn event(&mut self, event: Event) {
        self.node
            .handle(self.now, event, &mut Vec::new())
            .expect("handled");
        self.drive();
    }

    fn receive(&mut self, message: ToControl) {
        self.event(Event::Received(message));
    }

    fn token(&self, identity: NodeIdentity) -> Token {
        self.node
            .state_machine()
            .versions()
            .registration(identity)
            .expect("a registration")
            .token
    }

    fn heartbeat(&mut self, identity: NodeIdentity) {
        let versions = self.node.state_machine().versions();
        let (token, seen) = (
            versions
                .registration(identity)
                .map(|registration| registration.token),
            versions.last_changed(),
        );
        let (formats, sent) = (
            Formats {
                oldest: 1,
                newest: 2,
            },
            self.now,
        );
        self.receive(ToControl::Heartbeat {
            identity,
            formats,
            token,
            sent_at: sent,
            known_index: seen,
        });
    }

    /// Advances the time by renewal intervals, in which both gateways renew their registrations.
    fn advance(&mut self, renewal_intervals: u64) {
        for _ in 0..renewal_intervals {
            for _ in 0..5 {
                self.now += RENEW / 5;
                self.event(Event::Tick);
            }
            SERVED
                .into_iter()
                .for_each(|identity| self.heartbeat(identity));
        }
    }

    /// Proposes a version that replaces the active one, and returns its number.
    fn propose(&mut self, topic: Topic, replaces: u64) -> u64 {
        let token = self.token(SERVED[0]);
        self.receive(ToControl::ProposeVersion {
            identity: SERVED[0],
            token,
            topic,
            replaces,
            content: content(),
        });
        self.node.state_machine().versions().applied().0
    }

    fn ack(&mut self, identity: NodeIdentity, topic: Topic, number: u64) {
        let token = self.token(identity);
        self.receive(ToControl::ValidationResult {
            identity,
            token,
            topic,
            number,
            result: Ok(()),
        });
        self.advance(1);
    }

    /// Repeats the history of the recorded log: the member leads, holds both duties and has registered two gateways; one
    /// version is active, and another one is proposed and acked by one of the two.
    fn repeat_history(&mut self) {
        while !self.node.status().is_leader {
            self.node.tick();
            self.drive();
        }
        self.event(Event::Tick);
        self.event(Event::HoldDuty(Duty(0)));
        self.event(Event::HoldDuty(Duty(1)));
        SERVED
            .into_iter()
            .for_each(|identity| self.heartbeat(identity));
        self.advance(2);
        let first = self.propose(Topic::Operator, 0);
        SERVED
            .into_iter()
            .for_each(|identity| self.ack(identity, Topic::Operator, first));
        self.receive(ToControl::Report {
            identity: SERVED[1],
            sequence: 1,
            spans: spans(),
        });
        let second = self.propose(Topic::Operator, first);
        self.ack(SERVED[1], Topic::Operator, second);
    }
}

/// A copy of a recorded log, as opening a log writes to it.
fn copy_of_recorded_log(name: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::copy(file(name), folder.path().join("log.redb")).expect("copied");
    folder
}

/// The entries of a log, decoded.
fn replayed_entries(folder: &tempfile::TempDir) -> Vec<Option<Command>> {
    let store = Store::open(folder.path(), MEMBER.gateway.into()).expect("opened");
    let last = store.last_index().expect("read");
    let entries = store
        .entries(1, last + 1, None, GetEntriesContext::empty(false))
        .expect("read");
    let read = |data: &[u8]| state_machine::decode(data).expect("an entry");
    entries
        .iter()
        .map(|entry| {
            Some(&entry.data[..])
                .filter(|data| !data.is_empty())
                .map(read)
        })
        .collect()
}

/// The state that a recorded log leads to: its snapshot, where there is one, and each entry after it.
fn replayed(folder: &Path) -> StateMachine {
    let store = Store::open(folder, MEMBER.gateway.into()).expect("opened");
    let mut state_machine = StateMachine::new(MEMBER, TIMING);
    let mut apply = |event: Event| {
        state_machine
            .handle(1, event, &mut Vec::new())
            .expect("applied")
    };
    if !store.latest_snapshot().is_empty() {
        apply(Event::Restored(store.latest_snapshot().get_data()));
    }
    let (first, last) = (
        store.first_index().expect("read"),
        store.last_index().expect("read"),
    );
    let all = GetEntriesContext::empty(false);
    let entries = store.entries(first, last + 1, None, all).expect("read");
    assert!(!entries.is_empty());
    entries
        .iter()
        .for_each(|entry| apply(Event::Committed(&entry.data)));
    state_machine
}

/// Asserts that the member holds both duties, that the gateways are registered with these tokens, and that the audit has
/// counted the report.
fn assert_common_state(state_machine: &StateMachine, tokens: [Token; 2]) {
    for duty in [Duty(0), Duty(1)] {
        let entry = state_machine.leases().table().duty(duty);
        assert_eq!(
            (entry.holder, entry.token),
            (Some(MEMBER), Token(u64::from(duty.0) + 1)),
            "{duty:?}"
        );
    }
    let registrations = state_machine
        .versions()
        .registrations()
        .map(|registration| (registration.identity, registration.token));
    assert!(registrations.eq(SERVED.into_iter().zip(tokens)));
    assert_eq!(state_machine.versions().audit().last_sequence(SERVED[1]), 1);
    assert_eq!(
        state_machine.versions().audit().count(Topic::Operator, 5),
        12
    );
}

#[test]
fn log_with_entries_matches_record() {
    let state_machine = replayed(copy_of_recorded_log("entries.redb").path());
    assert_common_state(&state_machine, [Token(2), Token(3)]);
    let status = state_machine
        .versions()
        .topic(Topic::Operator)
        .expect("a version was proposed");
    let proposal = status.proposal.as_ref().expect("a pending proposal");
    assert_eq!(
        (status.active_number(), status.previous, proposal.by),
        (4, 0, SERVED[0])
    );
    assert_eq!(
        (proposal.version.number, &proposal.version.content),
        (8, &content())
    );
    assert!(proposal.acked_by.iter().eq([&300]));
    let snapshot = std::fs::read(file("entries-snapshot.bin")).expect("a record");
    assert_eq!(state_machine.snapshot(), snapshot);
}

#[test]
fn same_history_gives_recorded_state() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut member = Member::open(folder.path());
    member.repeat_history();
    let snapshot = std::fs::read(file("entries-snapshot.bin")).expect("a record");
    assert_eq!(member.node.state_machine().snapshot(), snapshot);
    assert_eq!(replayed_entries(&copy_of_recorded_log("entries.redb")), {
        drop(member);
        replayed_entries(&folder)
    });
}

#[test]
fn log_with_snapshot_matches_record() {
    let folder = copy_of_recorded_log("snapshot.redb");
    let stored = std::fs::read(file("stored-snapshot.bin")).expect("a record");
    let member = Member::open(folder.path());
    assert_eq!(member.node.latest_snapshot(), stored);
    drop(member);
    let state_machine = replayed(folder.path());
    // The version that one gateway had not acked became active when the registration of that gateway ended.
    assert_common_state(&state_machine, [Token(11), Token(3)]);
    let status = state_machine
        .versions()
        .topic(Topic::Operator)
        .expect("a version was proposed");
    assert_eq!(
        (status.active_number(), status.previous, &status.proposal),
        (8, 4, &None)
    );
    let last = std::fs::read(file("last-snapshot.bin")).expect("a record");
    assert_eq!(state_machine.snapshot(), last);
    assert_ne!(stored, last, "entries follow the snapshot");
    let mut restored = StateMachine::new(MEMBER, TIMING);
    restored
        .handle(1, Event::Restored(&stored), &mut Vec::new())
        .expect("restored");
    assert_eq!(restored.snapshot(), stored);
}

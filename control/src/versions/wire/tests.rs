use super::*;
use crate::fuzz;
use crate::versions::LONGEST_REASON;

const A: NodeIdentity = NodeIdentity {
    gateway: 3,
    incarnation: 9,
};
const TOKEN: Token = Token(17);

fn to_control() -> Vec<ToControl> {
    let content = Content {
        format: 2,
        bytes: vec![7; 40],
    };
    let span = Span {
        topic: Topic::Catalog,
        number: 5,
        from: 6,
        until: 7,
        count: 8,
    };
    let formats = Formats {
        oldest: 1,
        newest: 2,
    };
    let judge = |verdict| ToControl::ValidationResult {
        who: A,
        token: TOKEN,
        topic: Topic::Operator,
        number: 4,
        verdict,
    };
    vec![
        ToControl::Heartbeat {
            who: A,
            formats,
            token: None,
            sent: 1,
            seen: Index(0),
        },
        ToControl::Heartbeat {
            who: A,
            formats,
            token: Some(TOKEN),
            sent: u64::MAX,
            seen: Index(3),
        },
        judge(Ok(())),
        judge(Err("spoilt".into())),
        ToControl::ProposeVersion {
            who: A,
            token: TOKEN,
            topic: Topic::Program,
            seen: 4,
            content,
        },
        ToControl::Report {
            who: A,
            sequence: 2,
            spans: vec![span, span],
        },
        ToControl::Leave {
            who: A,
            token: TOKEN,
        },
    ]
}

fn to_gateway() -> Vec<ToGateway> {
    let refusals = [
        Refusal::Stale,
        Refusal::Occupied,
        Refusal::Format { needed: 3 },
        Refusal::Epoch,
        Refusal::Busy(4),
        Refusal::Behind(5),
        Refusal::TooLong,
        Refusal::Settled,
    ];
    let content = Content {
        format: 1,
        bytes: vec![1; 30],
    };
    let topics = vec![
        TopicState {
            topic: Topic::Catalog,
            active: 4,
            before: 2,
            open: Some((9, content)),
        },
        TopicState {
            topic: Topic::Operator,
            active: 0,
            before: 0,
            open: None,
        },
    ];
    let mut all = vec![
        ToGateway::RegistrationRenewed {
            who: A,
            token: TOKEN,
            sent: 5,
            required: Index(9),
            registrations: 410,
        },
        ToGateway::TopicStates {
            as_of: Index(9),
            since: Index(2),
            topics,
        },
        ToGateway::TopicStates {
            as_of: Index(9),
            since: Index(9),
            topics: Vec::new(),
        },
        ToGateway::RegistrationExpired {
            who: A,
            token: TOKEN,
        },
        ToGateway::ProposalRejected {
            topic: Topic::Catalog,
            number: 4,
            by: A,
            reason: "spoilt".into(),
        },
        ToGateway::ReportCounted {
            who: A,
            sequence: 3,
        },
        ToGateway::NotLeader { leader: None },
        ToGateway::NotLeader { leader: Some(2) },
    ];
    all.extend(refusals.map(|why| ToGateway::RequestRejected { who: A, why }));
    all
}

/// Garbage is an error of a type, or a message that is written and read alike: nothing panics.
fn survives<M: PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<M, DecodeError>,
    encode: impl Fn(&M) -> Vec<u8>,
) {
    let again = |spoilt: &[u8]| {
        if let Ok(message) = decode(spoilt) {
            assert_eq!(decode(&encode(&message)), Ok(message));
        }
    };
    (0..bytes.len()).for_each(|end| again(&bytes[..end]));
    fuzz::cuts(bytes, |ends| {
        ends.iter().for_each(|end| again(&bytes[..*end]))
    });
    fuzz::garbage(bytes, again);
}

#[test]
fn messages_are_read_as_they_were_written_and_garbage_is_an_error_of_a_type() {
    for message in to_control() {
        assert_eq!(ToControl::decode(&message.encode()), Ok(message.clone()));
        assert_eq!(message.who(), A);
        survives(&message.encode(), ToControl::decode, ToControl::encode);
    }
    for message in to_gateway() {
        assert_eq!(ToGateway::decode(&message.encode()), Ok(message.clone()));
        survives(&message.encode(), ToGateway::decode, ToGateway::encode);
    }
    assert_eq!(ToControl::decode(&[]), Err(DecodeError::Unknown("kind")));
}

#[test]
fn what_is_longer_than_any_build_writes_is_refused_and_a_long_reason_is_cut() {
    let content = Content {
        format: 1,
        bytes: vec![0; LONGEST_CONTENT + 1],
    };
    let offer = ToControl::ProposeVersion {
        who: A,
        token: TOKEN,
        topic: Topic::Catalog,
        seen: 0,
        content,
    };
    assert_eq!(
        ToControl::decode(&offer.encode()),
        Err(DecodeError::TooLong("content"))
    );
    let span = Span {
        topic: Topic::Catalog,
        number: 5,
        from: 6,
        until: 7,
        count: 8,
    };
    let report = ToControl::Report {
        who: A,
        sequence: 1,
        spans: vec![span; SPANS + 1],
    };
    assert_eq!(
        ToControl::decode(&report.encode()),
        Err(DecodeError::TooLong("list of spans"))
    );
    let state = TopicState {
        topic: Topic::Catalog,
        active: 1,
        before: 0,
        open: None,
    };
    let topics = vec![state; Topic::ALL.len() + 1];
    let state = ToGateway::TopicStates {
        as_of: Index(2),
        since: Index(1),
        topics,
    };
    assert_eq!(
        ToGateway::decode(&state.encode()),
        Err(DecodeError::TooLong("list of topics"))
    );
    assert_eq!(
        ToGateway::decode(&vec![0; LONGEST + 1]),
        Err(DecodeError::TooLong("length"))
    );
    // Cut at a whole character.
    let reason = format!("a{}", "ü".repeat(LONGEST_REASON));
    assert_eq!(
        reason_up_to_longest(&reason),
        format!("a{}", "ü".repeat(LONGEST_REASON / 2 - 1))
    );
    assert_eq!(reason_up_to_longest("short"), "short");
}

#[test]
fn the_open_versions_of_all_topics_fit_into_one_message() {
    let content = Content {
        format: u32::MAX,
        bytes: vec![255; LONGEST_CONTENT],
    };
    let state = |topic| TopicState {
        topic,
        active: u64::MAX,
        before: u64::MAX,
        open: Some((u64::MAX, content.clone())),
    };
    let topics = Topic::ALL.map(state).to_vec();
    let state = ToGateway::TopicStates {
        as_of: Index(u64::MAX),
        since: Index(u64::MAX),
        topics,
    };
    assert_eq!(ToGateway::decode(&state.encode()), Ok(state));
}

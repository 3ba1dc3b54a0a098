use super::*;
use crate::fuzz;
use crate::lease::Index;
use crate::versions::{
    truncate_reason, Content, Formats, Rejection, Span, ToControl, ToGateway, TopicState, Version,
    MAX_REASON_BYTES, MAX_SPANS_PER_REPORT,
};

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
    let validation = |result| ToControl::ValidationResult {
        identity: A,
        token: TOKEN,
        topic: Topic::Operator,
        number: 4,
        result,
    };
    vec![
        ToControl::Heartbeat {
            identity: A,
            formats,
            token: None,
            sent_at: 1,
            known_index: Index(0),
        },
        ToControl::Heartbeat {
            identity: A,
            formats,
            token: Some(TOKEN),
            sent_at: u64::MAX,
            known_index: Index(3),
        },
        validation(Ok(())),
        validation(Err("invalid".into())),
        ToControl::ProposeVersion {
            identity: A,
            token: TOKEN,
            topic: Topic::Program,
            replaces: 4,
            content,
        },
        ToControl::Report {
            identity: A,
            sequence: 2,
            spans: vec![span, span],
        },
        ToControl::Leave {
            identity: A,
            token: TOKEN,
        },
    ]
}

fn to_gateway() -> Vec<ToGateway> {
    let rejections = [
        Rejection::StaleRegistration,
        Rejection::AlreadyRegistered,
        Rejection::UnsupportedFormat { needed: 3 },
        Rejection::StaleEpoch,
        Rejection::ProposalPending(4),
        Rejection::ActiveVersionChanged(5),
        Rejection::ContentTooLong,
        Rejection::AlreadyDecided,
    ];
    let content = Content {
        format: 1,
        bytes: vec![1; 30],
    };
    let topics = vec![
        TopicState {
            topic: Topic::Catalog,
            active: 4,
            active_content: Some(content.clone()),
            previous: 2,
            proposal: Some(Version { number: 9, content }),
        },
        TopicState {
            topic: Topic::Operator,
            active: 0,
            active_content: None,
            previous: 0,
            proposal: None,
        },
    ];
    let mut all = vec![
        ToGateway::RegistrationRenewed {
            identity: A,
            token: TOKEN,
            sent_at: 5,
            required_index: Index(9),
            registrations: 410,
        },
        ToGateway::TopicStates {
            state_index: Index(9),
            since: Index(2),
            topics,
        },
        ToGateway::TopicStates {
            state_index: Index(9),
            since: Index(9),
            topics: Vec::new(),
        },
        ToGateway::RegistrationExpired {
            identity: A,
            token: TOKEN,
        },
        ToGateway::ProposalRejected {
            topic: Topic::Catalog,
            number: 4,
            by: A,
            reason: "invalid".into(),
        },
        ToGateway::ReportCounted {
            identity: A,
            sequence: 3,
        },
        ToGateway::NotLeader { leader: None },
        ToGateway::NotLeader { leader: Some(2) },
    ];
    all.extend(rejections.map(|reason| ToGateway::RequestRejected {
        identity: A,
        reason,
    }));
    all
}

/// Damaged bytes give a typed error, or a message that decodes to itself once encoded again; nothing panics.
fn assert_damaged_bytes_are_safe<M: PartialEq + std::fmt::Debug>(
    bytes: &[u8],
    decode: impl Fn(&[u8]) -> Result<M, DecodeError>,
    encode: impl Fn(&M) -> Vec<u8>,
) {
    let check = |damaged: &[u8]| {
        if let Ok(message) = decode(damaged) {
            assert_eq!(decode(&encode(&message)), Ok(message));
        }
    };
    (0..bytes.len()).for_each(|end| check(&bytes[..end]));
    fuzz::cuts(bytes, |ends| {
        ends.iter().for_each(|end| check(&bytes[..*end]))
    });
    fuzz::garbage(bytes, check);
}

/// Messages decode to what was encoded, and damaged bytes give a typed error.
#[test]
fn messages_round_trip_and_damaged_bytes_are_errors() {
    for message in to_control() {
        assert_eq!(ToControl::decode(&message.encode()), Ok(message.clone()));
        assert_eq!(message.identity(), A);
        assert_damaged_bytes_are_safe(&message.encode(), ToControl::decode, ToControl::encode);
    }
    for message in to_gateway() {
        assert_eq!(ToGateway::decode(&message.encode()), Ok(message.clone()));
        assert_damaged_bytes_are_safe(&message.encode(), ToGateway::decode, ToGateway::encode);
    }
    assert_eq!(ToControl::decode(&[]), Err(DecodeError::Unknown("kind")));
}

/// Messages with a part longer than any build writes are rejected, and a long reason is truncated.
#[test]
fn overlong_messages_are_rejected() {
    let content = Content {
        format: 1,
        bytes: vec![0; MAX_CONTENT_BYTES + 1],
    };
    let proposal = ToControl::ProposeVersion {
        identity: A,
        token: TOKEN,
        topic: Topic::Catalog,
        replaces: 0,
        content,
    };
    assert_eq!(
        ToControl::decode(&proposal.encode()),
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
        identity: A,
        sequence: 1,
        spans: vec![span; MAX_SPANS_PER_REPORT + 1],
    };
    assert_eq!(
        ToControl::decode(&report.encode()),
        Err(DecodeError::TooLong("list of spans"))
    );
    let state = TopicState {
        topic: Topic::Catalog,
        active: 1,
        active_content: None,
        previous: 0,
        proposal: None,
    };
    let topics = vec![state; Topic::ALL.len() + 1];
    let state = ToGateway::TopicStates {
        state_index: Index(2),
        since: Index(1),
        topics,
    };
    assert_eq!(
        ToGateway::decode(&state.encode()),
        Err(DecodeError::TooLong("list of topics"))
    );
    assert_eq!(
        ToGateway::decode(&vec![0; MAX_MESSAGE_BYTES + 1]),
        Err(DecodeError::TooLong("length"))
    );
    // The reason is truncated at a character boundary.
    let reason = format!("a{}", "ü".repeat(MAX_REASON_BYTES));
    assert_eq!(
        truncate_reason(&reason),
        format!("a{}", "ü".repeat(MAX_REASON_BYTES / 2 - 1))
    );
    assert_eq!(truncate_reason("short"), "short");
}

/// The active and the proposed versions of all topics fit into one message.
#[test]
fn versions_of_all_topics_fit_one_message() {
    let content = Content {
        format: u32::MAX,
        bytes: vec![255; MAX_CONTENT_BYTES],
    };
    let state = |topic| TopicState {
        topic,
        active: u64::MAX,
        active_content: Some(content.clone()),
        previous: u64::MAX,
        proposal: Some(Version {
            number: u64::MAX,
            content: content.clone(),
        }),
    };
    let topics = Topic::ALL.map(state).to_vec();
    let state = ToGateway::TopicStates {
        state_index: Index(u64::MAX),
        since: Index(u64::MAX),
        topics,
    };
    assert_eq!(ToGateway::decode(&state.encode()), Ok(state));
}

/// A content that belongs to another number than that of the active version would be acted on under the wrong number.
#[test]
fn content_of_another_number_is_an_error() {
    use super::to_gateway::encode_with_active_number;
    let state = TopicState {
        topic: Topic::Operator,
        active: 4,
        active_content: Some(Content {
            format: 1,
            bytes: vec![1; 30],
        }),
        previous: 2,
        proposal: None,
    };
    assert!(ToGateway::decode(&encode_with_active_number(&state, 4)).is_ok());
    assert_eq!(
        ToGateway::decode(&encode_with_active_number(&state, 5)),
        Err(DecodeError::Unknown("number of the active version"))
    );
}

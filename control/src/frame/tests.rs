use super::*;
use crate::fuzz;
use crate::lease::{Index, NodeIdentity, Token};
use crate::versions::{Content, Formats, Topic};

const ME: NodeIdentity = NodeIdentity {
    gateway: 2,
    incarnation: 77,
};

/// The bytes of one frame of each kind, and the number of frames.
fn encoded_frames() -> (Vec<u8>, usize) {
    let member_hello = Hello {
        oldest: 1,
        newest: 3,
        fleet_digest: 9,
        gateway: 2,
        raft_id: 2,
        fresh: true,
        client: false,
        incarnation: 5,
    };
    let mut message = eraftpb::Message {
        from: 2,
        to: 1,
        term: 7,
        ..Default::default()
    };
    message.set_msg_type(eraftpb::MessageType::MsgHeartbeat);
    let formats = Formats {
        oldest: 1,
        newest: 2,
    };
    let (token, known_index) = (Some(Token(4)), Index(8));
    let content = Content {
        format: 1,
        bytes: vec![1, 2, 3],
    };
    let (topic, nack) = (Topic::Operator, Err("not valid here".to_owned()));
    let all = [
        encode_hello(&member_hello),
        encode_hello(&Hello::of_client(ME, 9)),
        encode_raft(&message),
        encode_to_control(&ToControl::Heartbeat {
            identity: ME,
            formats,
            token,
            sent_at: 1_000_000,
            known_index,
        }),
        encode_to_control(&ToControl::ProposeVersion {
            identity: ME,
            token: Token(4),
            topic,
            replaces: 3,
            content,
        }),
        encode_to_control(&ToControl::ValidationResult {
            identity: ME,
            token: Token(4),
            topic,
            number: 9,
            result: nack,
        }),
        encode_to_gateway(&ToGateway::RegistrationRenewed {
            identity: ME,
            token: Token(4),
            sent_at: 1,
            required_index: Index(3),
            registrations: 7,
        }),
        encode_to_gateway(&ToGateway::NotLeader { leader: Some(3) }),
    ];
    let count = all.len();
    (
        all.into_iter()
            .flat_map(|frame| frame.expect("a frame within the limit").to_vec())
            .collect(),
        count,
    )
}

/// Reads frames until the bytes end or an error occurs.
fn read_all(bytes: &[u8]) -> (Vec<Payload>, Option<FrameError>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut frames = FrameReader::new(bytes, Traffic::default());
    let mut all = Vec::new();
    loop {
        match runtime.block_on(frames.next()) {
            Ok(payload) => all.push(payload),
            Err(FrameError::Closed) => return (all, None),
            Err(error) => return (all, Some(error)),
        }
    }
}

/// Truncated frames are never decoded in part, garbage does not panic, and a frame that is too long is an error.
#[test]
fn truncated_frames_are_never_decoded() {
    let (bytes, count) = encoded_frames();
    let (all, error) = read_all(&bytes);
    assert!(error.is_none() && all.len() == count, "{all:?}");
    for end in 0..bytes.len() {
        let (some, _) = read_all(&bytes[..end]);
        assert!(
            some.len() < count && some[..] == all[..some.len()],
            "cut at {end}"
        );
    }
    fuzz::garbage(&bytes, |corrupted| drop(read_all(corrupted)));
    let too_long = [&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..], &[0; 64]].concat();
    assert!(
        matches!(read_all(&too_long).1, Some(FrameError::Io(_))),
        "a frame that is too long"
    );
}

/// Garbage within a complete frame does not panic.
#[test]
fn garbage_in_complete_frame_does_not_panic() {
    let (bytes, _) = encoded_frames();
    for kind in [
        Kind::ToControl as fn(Vec<u8>) -> Kind,
        Kind::ToGateway,
        Kind::Raft,
    ] {
        fuzz::garbage(&bytes, |corrupted| {
            let frame = encode(kind(corrupted.to_vec())).expect("a frame within the limit");
            drop(read_all(&frame));
        });
    }
}

/// Writers and readers of frames count the same bytes.
#[test]
fn traffic_is_counted_on_both_sides() {
    let (bytes, count) = encoded_frames();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let (sent, received) = (Traffic::default(), Traffic::default());
    let mut wire = Vec::new();
    runtime
        .block_on(write(&mut wire, &bytes, &sent))
        .expect("written");
    assert_eq!(
        (sent.totals().frames_out, sent.totals().bytes_out),
        (1, bytes.len() as u64)
    );
    let mut frames = FrameReader::new(&wire[..], received.clone());
    (0..count).for_each(|_| drop(runtime.block_on(frames.next()).expect("a frame")));
    let expected = (count as u64, bytes.len() as u64);
    assert_eq!(
        (received.totals().frames_in, received.totals().bytes_in),
        expected
    );
}

/// A hello without a shared format, of another fleet or of another gateway is rejected.
#[test]
fn hello_of_other_format_fleet_or_gateway_is_rejected() {
    let good = Hello {
        gateway: 2,
        ..Hello::of_client(ME, 9)
    };
    assert!(good.check(9, Some(2)).is_ok() && good.check(9, None).is_ok());
    let next = Hello {
        newest: NEWEST_FORMAT + 1,
        ..good.clone()
    };
    assert!(
        next.check(9, None).is_ok(),
        "a newer build that still supports this build's format"
    );
    let newer = Hello {
        oldest: NEWEST_FORMAT + 1,
        newest: NEWEST_FORMAT + 2,
        ..good.clone()
    };
    assert!(matches!(
        newer.check(9, None),
        Err(FrameError::UnsupportedFormats(..))
    ));
    let older = Hello {
        oldest: 1,
        newest: 1,
        ..good.clone()
    };
    assert!(
        matches!(
            older.check(9, None),
            Err(FrameError::UnsupportedFormats(1, 1))
        ),
        "a build of format 1, in which all gateways took part in the log"
    );
    assert!(matches!(good.check(8, None), Err(FrameError::OtherFleet)));
    assert!(matches!(
        good.check(9, Some(3)),
        Err(FrameError::UnexpectedGateway(2))
    ));
    assert_eq!(good.identity().ok(), Some(ME));
    for gateway in [0, 65_536] {
        let none = Hello {
            gateway,
            ..good.clone()
        };
        assert!(
            matches!(none.identity(), Err(FrameError::UnexpectedGateway(_))),
            "no gateway has the number {gateway}"
        );
    }
}

use super::*;
use crate::fuzz;
use crate::lease::{Index, NodeIdentity, Token};
use crate::versions::{Content, Formats, Topic};

const ME: NodeIdentity = NodeIdentity {
    gateway: 2,
    incarnation: 77,
};

fn frames() -> (Vec<u8>, usize) {
    let first = Hello {
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
    let (token, seen) = (Some(Token(4)), Index(8));
    let content = Content {
        format: 1,
        bytes: vec![1, 2, 3],
    };
    let (topic, refused) = (Topic::Operator, Err("not good here".to_owned()));
    let all = [
        encode_hello(&first),
        encode_hello(&Hello::of_client(ME, 9)),
        encode_raft(&message),
        encode_to_control(&ToControl::Heartbeat {
            who: ME,
            formats,
            token,
            sent_at: 1_000_000,
            known_index: seen,
        }),
        encode_to_control(&ToControl::ProposeVersion {
            who: ME,
            token: Token(4),
            topic,
            replaces: 3,
            content,
        }),
        encode_to_control(&ToControl::ValidationResult {
            who: ME,
            token: Token(4),
            topic,
            number: 9,
            result: refused,
        }),
        encode_to_gateway(&ToGateway::RegistrationRenewed {
            who: ME,
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
            .flat_map(|frame| frame.expect("short").to_vec())
            .collect(),
        count,
    )
}

fn read(bytes: &[u8]) -> (Vec<Payload>, Option<FrameError>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut frames = FrameReader::new(bytes, Traffic::default());
    let mut all = Vec::new();
    loop {
        match runtime.block_on(frames.next()) {
            Ok(said) => all.push(said),
            Err(FrameError::Closed) => return (all, None),
            Err(fault) => return (all, Some(fault)),
        }
    }
}

/// Truncated frames are never decoded in part, and garbage is a typed error.
#[test]
fn truncated_frames_are_never_decoded() {
    let (bytes, count) = frames();
    let (all, fault) = read(&bytes);
    assert!(fault.is_none() && all.len() == count, "{all:?}");
    for end in 0..bytes.len() {
        let (some, _) = read(&bytes[..end]);
        assert!(
            some.len() < count && some[..] == all[..some.len()],
            "cut at {end}"
        );
    }
    fuzz::garbage(&bytes, |spoilt| drop(read(spoilt)));
    let long = [&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..], &[0; 64]].concat();
    assert!(
        matches!(read(&long).1, Some(FrameError::Io(_))),
        "a frame that is too long"
    );
}

/// Garbage within a complete frame is a typed error.
#[test]
fn garbage_in_complete_frame_is_an_error() {
    let (bytes, _) = frames();
    for kind in [
        Kind::ToControl as fn(Vec<u8>) -> Kind,
        Kind::ToGateway,
        Kind::Raft,
    ] {
        fuzz::garbage(&bytes, |spoilt| {
            let frame = encode(kind(spoilt.to_vec())).expect("short");
            drop(read(&frame));
        });
    }
}

#[test]
fn traffic_is_counted_on_both_sides() {
    let (bytes, count) = frames();
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
        "the next version that still speaks this one's"
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
        "all of them took part in the log"
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
            "no gateway has {gateway}"
        );
    }
}

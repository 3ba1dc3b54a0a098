use super::*;
use crate::fuzz;

const A: NodeIdentity = NodeIdentity {
    gateway: 3,
    incarnation: 9,
};
const TOKEN: Token = Token(17);

fn commands() -> Vec<Command> {
    use versions::Command as V;
    let (duty, topic) = (Duty(1), versions::Topic::Catalog);
    let content = Content {
        format: 2,
        bytes: vec![7; 40],
    };
    let span = versions::Span {
        topic,
        number: 5,
        from: 6,
        until: 7,
        count: 8,
    };
    let leases = [
        lease::Command::Claim {
            duty,
            holder: A,
            seen: Index(4),
            at: 5,
        },
        lease::Command::Renew {
            duty,
            holder: A,
            token: TOKEN,
            at: 5,
        },
        lease::Command::Release {
            duty,
            holder: A,
            token: TOKEN,
        },
    ];
    let versions = [
        V::BeginEpoch { who: A },
        V::Join {
            who: A,
            formats: Formats {
                oldest: 1,
                newest: 2,
            },
        },
        V::Leave {
            who: A,
            token: TOKEN,
        },
        V::Expire {
            who: A,
            token: TOKEN,
            epoch: Index(12),
        },
        V::ProposeVersion {
            who: A,
            token: TOKEN,
            topic,
            replaces: 4,
            content,
        },
        V::Ack {
            topic,
            number: 20,
            by: vec![
                (A, TOKEN),
                (
                    NodeIdentity {
                        gateway: 4,
                        incarnation: 1,
                    },
                    Token(18),
                ),
            ],
        },
        V::Nack {
            who: A,
            token: TOKEN,
            topic,
            number: 20,
            reason: "spoilt".into(),
        },
        V::Report {
            who: A,
            sequence: 2,
            spans: vec![span, span],
        },
    ];
    let leases = leases.into_iter().map(Command::Lease);
    leases
        .chain(versions.into_iter().map(Command::Version))
        .collect()
}

/// Entries are read as they were written, and garbage is a typed error.
#[test]
fn entries_round_trip_and_garbage_is_an_error() {
    for command in commands() {
        let bytes = encode(&command);
        assert_eq!(decode(&bytes), Ok(command.clone()));
        let again = |spoilt: &[u8]| {
            if let Ok(command) = decode(spoilt) {
                assert_eq!(decode(&encode(&command)), Ok(command));
            }
        };
        (0..bytes.len()).for_each(|end| again(&bytes[..end]));
        fuzz::garbage(&bytes, again);
    }
}

/// An entry of another format is rejected, and the error says what to do.
#[test]
fn entry_of_other_format_is_rejected() {
    let body = Some(Body::BeginEpoch(A.into()));
    let older = Entry {
        format: FORMAT - 1,
        body: body.clone(),
    }
    .encode_to_vec();
    let fault = decode(&older).expect_err("an older build's");
    assert_eq!(fault, DecodeError::Older { found: FORMAT - 1 });
    assert!(
        fault.to_string().contains("remove the log's folder"),
        "{fault}"
    );
    let newer = Entry {
        format: FORMAT + 1,
        body,
    }
    .encode_to_vec();
    assert_eq!(
        decode(&newer),
        Err(DecodeError::Newer { found: FORMAT + 1 })
    );
}

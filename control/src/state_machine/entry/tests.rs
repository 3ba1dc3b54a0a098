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
        V::BeginEpoch { identity: A },
        V::Join {
            identity: A,
            formats: Formats {
                oldest: 1,
                newest: 2,
            },
        },
        V::Leave {
            identity: A,
            token: TOKEN,
        },
        V::Expire {
            identity: A,
            token: TOKEN,
            epoch: Index(12),
        },
        V::ProposeVersion {
            identity: A,
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
            identity: A,
            token: TOKEN,
            topic,
            number: 20,
            reason: "invalid".into(),
        },
        V::Report {
            identity: A,
            sequence: 2,
            spans: vec![span, span],
        },
    ];
    let leases = leases.into_iter().map(Command::Lease);
    leases
        .chain(versions.into_iter().map(Command::Version))
        .collect()
}

/// An entry decodes to the command that was encoded. Truncated and corrupted entries give an error or a valid command,
/// never a panic.
#[test]
fn entries_round_trip_and_garbage_is_an_error() {
    for command in commands() {
        let bytes = encode(&command);
        assert_eq!(decode(&bytes), Ok(command.clone()));
        let assert_error_or_command = |corrupted: &[u8]| {
            if let Ok(command) = decode(corrupted) {
                assert_eq!(decode(&encode(&command)), Ok(command));
            }
        };
        (0..bytes.len()).for_each(|end| assert_error_or_command(&bytes[..end]));
        fuzz::garbage(&bytes, assert_error_or_command);
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
    let error = decode(&older).expect_err("an older format is rejected");
    assert_eq!(error, DecodeError::Older { found: FORMAT - 1 });
    assert!(
        error.to_string().contains("remove the log's folder"),
        "{error}"
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

use super::framing::put_message;
use super::report::parse_decimal;
use super::*;
use crate::fuzz;
use asterreel::interface::{MemberReport, Role};

const READ: &[u8] =
    b"SELECT payload FROM entries WHERE ref = '7f' /* id=9b,c=basket,d=480,cluster=2,after=17 */";

fn row() -> Vec<u8> {
    let mut out = Vec::new();
    put_message(&mut out, b'T', |out| {
        out.extend([&b"\0\x01payload\0"[..], &[0; 18]].concat())
    });
    put_message(&mut out, b'D', |out| {
        out.extend_from_slice(b"\0\x01\0\0\0\x03\x9f\0Z")
    });
    command_complete(&mut out, "SELECT 1");
    let rows = out.clone();
    put_message(&mut out, b'S', |out| {
        out.extend_from_slice(b"server_role\0writer\0")
    });
    put_message(&mut out, b'S', |out| {
        out.extend_from_slice(b"commit_clock\x001767225600123\0")
    });
    ready_for_query(&mut out);
    let mut answer = Answer::default();
    read(&out, &mut answer).expect("valid");
    assert_eq!(answer.rows, rows);
    out
}

/// Parses all complete messages; returns how many bytes they have.
fn read(bytes: &[u8], answer: &mut Answer) -> Result<usize, Malformed> {
    let mut used = 0;
    while let Some(found) = message(&bytes[used..])? {
        let complete = &bytes[used..used + found.body.end];
        answer.handle_message(found.tag, complete, &complete[found.body])?;
        used += complete.len();
    }
    Ok(used)
}

/// Parameters of a startup message are found by name, and garbage yields no value longer than itself.
#[test]
fn startup_parameters_are_found_by_name() {
    let bytes = startup();
    assert_eq!(
        (
            startup_parameter(&bytes, "user"),
            startup_parameter(&bytes, "database")
        ),
        (Some("web"), Some("orders"))
    );
    assert_eq!(
        (
            startup_parameter(&bytes, "web"),
            startup_parameter(&bytes, "application_name")
        ),
        (None, None)
    );
    fuzz::garbage(&bytes, |bytes| {
        assert!(startup_parameter(bytes, "user").is_none_or(|value| value.len() < bytes.len()));
    });
    let statement = Statement::parse(READ).expect("valid");
    assert_eq!(statement.comment()[0], ("id", "9b"));
    assert_eq!(statement.text(), READ);
}

/// An answer is parsed to the same result however its bytes are split into reads, and is not complete before its end.
#[test]
fn answer_does_not_depend_on_how_it_is_split() {
    let bytes = row();
    fuzz::cuts(&bytes, |ends| {
        let (mut answer, mut used) = (Answer::default(), 0);
        for end in ends {
            used += read(&bytes[used..*end], &mut answer).expect("valid");
            assert_eq!(answer.ready, *end == bytes.len());
        }
        assert_eq!(answer.result, Some(QueryResult::Row));
        assert_eq!(answer.value(), Some(&b"\x9f\0Z"[..]));
        let position = Some(1_767_225_600_123_000);
        assert_eq!(
            answer.report,
            MemberReport {
                role: Some(Role::Primary),
                position
            }
        );
    });
}

/// Messages that are complete but have a damaged body are rejected; a client would read a wrong value from them, or
/// fail. An unreadable report does not invalidate the row in the same answer.
#[test]
fn damaged_row_is_malformed() {
    let read_corrupted = |original: &[u8], replacement: &[u8]| {
        let mut bytes = row();
        let at = bytes
            .windows(original.len())
            .position(|window| window == original)
            .expect("part of the row");
        bytes[at..at + replacement.len()].copy_from_slice(replacement);
        let mut answer = Answer::default();
        let read = read(&bytes, &mut answer);
        (read.is_ok(), answer.result, answer.report.position)
    };
    let cases: [(&[u8], &[u8]); 5] = [
        (b"\0\0\0\x03\x9f", b"\0\0\0\x02\x9f"),
        (b"\0\0\0\x03\x9f", b"\xff\xff\xff\xff\x9f"),
        (b"\0\x01payl", b"\0\x02pay"),
        (b"payload\0", b"paylo\0d"),
        (b"CT 1\0", b"CT 1\x01"),
    ];
    for (original, replacement) in cases {
        assert!(!read_corrupted(original, replacement).0, "{original:?}");
    }
    assert_eq!(
        read_corrupted(b"commit_clock\x0017", b"commit_clock\x00?7"),
        (true, Some(QueryResult::Row), None)
    );
    let unterminated = read_corrupted(b"5600123\0", b"5600123x");
    assert_eq!(unterminated, (true, Some(QueryResult::Row), None));
}

/// Garbage is an error or incomplete, and is never read beyond its end.
#[test]
fn garbage_is_an_error_or_incomplete() {
    let mut errors = 0;
    for valid in [
        &row()[..],
        &startup(),
        READ,
        b"x0=1767225600.123,x1=1,util=0.5",
    ] {
        fuzz::garbage(valid, |bytes| {
            let read = read(bytes, &mut Answer::default());
            assert!(read.is_err() || read.is_ok_and(|used| used <= bytes.len()));
            let opened = parse_opening(bytes);
            assert!(
                opened.is_err() || opened.is_ok_and(|o| o.is_none_or(|(_, n)| n <= bytes.len()))
            );
            let parsed = Statement::parse(bytes);
            errors += usize::from(read.is_err()) + usize::from(parsed.is_err());
            let is_bounded = parsed.map(|statement| statement.forward(1).len() <= bytes.len() + 7);
            assert!(is_bounded.unwrap_or(true));
            load_report(bytes);
        });
    }
    assert!(errors > 1000, "too little garbage is rejected: {errors}");
}

/// Only the value of the wait changes in a forwarded statement.
#[test]
fn forwarded_statement_changes_only_its_wait() {
    let statement = Statement::parse(READ).expect("valid");
    assert_eq!(
        (statement.class.as_str(), statement.wait_ms, statement.group),
        ("basket", 480, 2)
    );
    assert_eq!(
        (statement.after_ms, &statement.key[..]),
        (Some(17), &b"7f"[..])
    );
    let text = String::from_utf8_lossy(READ).replace("d=480", "d=9");
    assert_eq!(
        &statement.forward(9)[5..],
        [text.as_bytes(), b"\0"].concat()
    );
    // A quoted value may contain anything, including text that looks like a comment.
    let statement = b"INSERT INTO entries VALUES ('/* d=1 */ \xff') /* id=1,c=w,d=5,cluster=0 */";
    let forwarded = Statement::parse(statement).expect("valid").forward(77);
    let expected = b"INSERT INTO entries VALUES ('/* d=1 */ \xff') /* id=1,c=w,d=77,cluster=0 */\0";
    assert_eq!(&forwarded[5..], expected);
    fuzz::cuts(READ, |ends| {
        for end in ends.iter().filter(|end| **end < READ.len()) {
            assert!(
                Statement::parse(&READ[..*end]).is_err(),
                "a truncated statement is invalid"
            );
        }
    });
}

#[test]
fn positions_are_rounded_down_exactly() {
    assert_eq!(
        parse_decimal(b"1767225600.123999", 3),
        Some(1_767_225_600_123)
    );
    assert_eq!(
        parse_decimal(b"1767225600123", 3),
        Some(1_767_225_600_123_000)
    );
    let report = load_report(b"x0=1767225600.5,x1=0,util=0.61");
    assert_eq!(
        report,
        MemberReport {
            role: Some(Role::Replica),
            position: Some(1_767_225_600_500_000)
        }
    );
    assert_eq!(load_report(b"x0=soon,x1,=1"), MemberReport::default());
}

/// An error is identified by its code, and a rejection contains the delay before a retry.
#[test]
fn error_has_a_code_and_a_retry_delay() {
    let mut out = Vec::new();
    error_response(
        &mut out,
        Severity::Error,
        sqlstate::TOO_MANY_CONNECTIONS,
        "later",
        Some(250),
    );
    let mut answer = Answer::default();
    read(&out, &mut answer).expect("valid");
    assert_eq!(
        answer.result,
        Some(QueryResult::Error(sqlstate::TOO_MANY_CONNECTIONS))
    );
    assert!(out.windows(5).any(|field| field == b"D250\0"));
}

/// The missing bytes are those of the header, then those of the body, and at least one.
#[test]
fn missing_bytes_counts_header_then_body() {
    let query = simple_query("SELECT 1");
    let missing: Vec<usize> = (0..=query.len())
        .map(|end| missing_bytes(&query[..end]))
        .collect();
    assert_eq!(missing[..5], [5, 4, 3, 2, 1]);
    assert!((5..query.len()).all(|end| missing[end] == query.len() - end));
    assert_eq!(
        (missing[query.len()], missing_bytes(b"Q\xff\xff\xff\xff")),
        (1, 1)
    );
    fuzz::garbage(&query, |bytes| {
        assert!((1..=MAX_MESSAGE_BYTES + 1).contains(&missing_bytes(bytes)))
    });
}

/// A cancel request is valid only with a complete key and nothing after it.
#[test]
fn cancel_request_holds_exactly_a_key() {
    let key = CancelKey {
        session: 7,
        secret: 0xfeed_beef,
    };
    let request = |length: u32, rest: &[u8]| {
        [
            &length.to_be_bytes()[..],
            &80_877_102u32.to_be_bytes(),
            rest,
        ]
        .concat()
    };
    let complete = request(16, b"\0\0\0\x07\xfe\xed\xbe\xef");
    assert_eq!(
        parse_opening(&complete),
        Ok(Some((Opening::Cancel(key), 16)))
    );
    assert!((0..16).all(|end| parse_opening(&complete[..end]) == Ok(None)));
    assert!(parse_opening(&request(12, b"\0\0\0\x07")).is_err());
    assert!(parse_opening(&request(20, b"\0\0\0\x07\xfe\xed\xbe\xef\0\0\0\0")).is_err());
    // The key is the one in the answer to the startup message.
    let mut out = Vec::new();
    startup_response(&mut out, key);
    assert!(out
        .windows(13)
        .any(|bytes| bytes == b"K\0\0\0\x0c\0\0\0\x07\xfe\xed\xbe\xef"));
}

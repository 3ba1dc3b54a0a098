use super::*;
use crate::fuzz;

fn status(state: State, weight: u8, reason: Reason) -> Option<Status> {
    Some(Status {
        state,
        weight,
        reason,
    })
}

#[test]
fn reply_line_of_each_status_parses_back_to_its_readiness() {
    let cases = [
        (
            status(State::Starting, 0, Reason::Start),
            None,
            "down #start\n",
        ),
        (
            status(State::Up, 100, Reason::Fine),
            None,
            "ready up 100%\n",
        ),
        (
            status(State::Degraded, 10, Reason::Overload),
            Some(64),
            "ready up 10% maxconn:64\n",
        ),
        (
            status(State::Degraded, 0, Reason::NoMember),
            None,
            "down #no-member\n",
        ),
        (
            status(State::Draining, 0, Reason::Drain),
            None,
            "drain 0%\n",
        ),
        (
            status(State::Draining, 0, Reason::Maintenance),
            None,
            "maint\n",
        ),
        (
            status(State::Stopping, 0, Reason::Drain),
            None,
            "stopped #drained\n",
        ),
        (
            status(State::Hung, 0, Reason::Hung),
            Some(64),
            "down #hung\n",
        ),
        (None, None, "down #unknown-group\n"),
    ];
    for (status, maxconn, wanted) in cases {
        let line = reply_line(status, maxconn);
        assert_eq!(line, wanted);
        let reply = parse_reply(line.as_bytes()).expect("a whole line");
        let in_service = reply.up != Some(false) && reply.ready != Some(false);
        assert_eq!(
            in_service,
            status.is_some_and(|status| status.ready()),
            "{line}"
        );
        assert_eq!(
            reply.maxconn,
            maxconn.filter(|_| in_service).map(|most| most as u32)
        );
    }
    assert_eq!(
        parse_reply(b"up 75%"),
        None,
        "an unterminated line has no reply yet"
    );
}

#[test]
fn selector_names_a_scope_and_has_a_bounded_length() {
    assert_eq!(parse_selector(b"gro"), Selector::Incomplete);
    assert_eq!(parse_selector(b"\r\n"), Selector::Gateway);
    for text in ["7\n", "group 7\r\n", "group=7\n", "group/7\n"] {
        assert_eq!(
            parse_selector(text.as_bytes()),
            Selector::Group(GroupId(7)),
            "{text:?}"
        );
    }
    assert_eq!(parse_selector(b"group x\n"), Selector::Invalid);
    assert_eq!(parse_selector(b"\xff\n"), Selector::Invalid);
    assert_eq!(
        parse_selector(&[b'1'; MAX_QUERY_BYTES]),
        Selector::Invalid,
        "a text of the longest length without a line end"
    );
}

#[test]
fn parsers_never_panic_on_partial_or_random_bytes() {
    let whole = b"group 17\n";
    fuzz::cuts(whole, |ends| {
        for end in ends {
            let wanted = if *end == whole.len() {
                Selector::Group(GroupId(17))
            } else {
                Selector::Incomplete
            };
            assert_eq!(parse_selector(&whole[..*end]), wanted);
        }
    });
    fuzz::garbage(b"ready up 75% maxconn:9 #fine\n", |bytes| {
        let reply = parse_reply(bytes);
        assert_eq!(
            reply.is_some(),
            bytes.iter().any(|byte| matches!(byte, b'\n' | b'\r'))
        );
        let incomplete = parse_selector(bytes) == Selector::Incomplete;
        assert!(!incomplete || bytes.len() < MAX_QUERY_BYTES && !bytes.contains(&b'\n'));
    });
}

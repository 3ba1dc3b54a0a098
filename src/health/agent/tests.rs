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
fn each_status_has_its_line_and_a_balancer_reads_back_what_was_meant() {
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
        let said = reply_line(status, maxconn);
        assert_eq!(said, wanted);
        let told = parse_reply(said.as_bytes()).expect("a whole line");
        let takes = told.up != Some(false) && told.ready != Some(false);
        assert_eq!(takes, status.is_some_and(|status| status.ready()), "{said}");
        assert_eq!(
            told.maxconn,
            maxconn.filter(|_| takes).map(|most| most as u32)
        );
    }
    assert_eq!(
        parse_reply(b"up 75%"),
        None,
        "a line that has not ended says nothing"
    );
}

#[test]
fn a_selector_names_a_group_and_is_bounded() {
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
        "a megabyte without a line end"
    );
}

#[test]
fn cuts_and_garbage_never_panic_and_a_cut_selector_means_what_the_whole_does() {
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
        let told = parse_reply(bytes);
        assert_eq!(
            told.is_some(),
            bytes.iter().any(|byte| matches!(byte, b'\n' | b'\r'))
        );
        let more = parse_selector(bytes) == Selector::Incomplete;
        assert!(!more || bytes.len() < MAX_QUERY_BYTES && !bytes.contains(&b'\n'));
    });
}

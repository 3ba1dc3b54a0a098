use super::framing::AnswerError;
use super::reader::{AnswerReader, MAX_LIST_BYTES};
use super::Source;
use crate::fuzz;
use asterreel::config::EndpointList;
use asterreel_control::clock::Clock;
use std::net::SocketAddr;

/// Two lists, one of them indented, with a heartbeat before, between and after, in chunks cut anywhere.
fn answer() -> Vec<u8> {
    let body = b"\n{\"revision\":1,\"members\":[{\"id\":\"}\",\"phase\":\"ready\"}]}\n\n\
        {\n  \"revision\": 2,\n  \"complete\": true,\n  \"members\": []\n}\n\n";
    let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(19) {
        answer.extend(format!("{:X}\r\n", chunk.len()).as_bytes());
        answer.extend(chunk);
        answer.extend(b"\r\n");
    }
    answer.extend(b"0\r\n\r\n");
    answer
}

fn lists(reader: &mut AnswerReader) -> Vec<(u64, bool, usize)> {
    let lists = std::iter::from_fn(|| reader.next_list()).map(|list| list.expect("a list"));
    lists
        .map(|list| (list.revision, list.complete, list.members.len()))
        .collect()
}

#[test]
fn lists_do_not_depend_on_indentation_or_cuts() {
    let (answer, expected) = (answer(), [(1, false, 1), (2, true, 0)]);
    fuzz::cuts(&answer, |ends| {
        let (mut reader, mut used, mut found) = (AnswerReader::default(), 0, Vec::new());
        for end in ends {
            used += reader.take(&answer[used..*end]).expect("valid");
            found.extend(lists(&mut reader));
        }
        assert_eq!(found, expected);
    });
    // At every byte.
    let (mut reader, mut used, mut found) = (AnswerReader::default(), 0, Vec::new());
    for end in 1..=answer.len() {
        used += reader.take(&answer[used..end]).expect("valid");
        found.extend(lists(&mut reader));
    }
    assert_eq!(found, expected);
}

#[test]
fn body_without_list_is_an_error_and_length_is_bounded() {
    let plain = |body: &str| {
        let mut reader = AnswerReader::default();
        reader.take(b"HTTP/1.1 200 OK\r\n\r\n").expect("a head");
        reader
            .take(body.as_bytes())
            .map(|_| reader.next_list().map(|list| list.is_ok()))
    };
    assert_eq!(plain("{\"members\":[]}"), Ok(Some(false)), "no revision");
    assert_eq!(plain("oops }"), Ok(Some(false)));
    assert_eq!(plain("{\"revision\":1}"), Ok(Some(true)));
    assert_eq!(
        plain(&"[".repeat(MAX_LIST_BYTES + 1)),
        Err(AnswerError::TooLong(MAX_LIST_BYTES))
    );
}

#[test]
fn garbage_and_rejected_calls_are_errors() {
    fuzz::garbage(&answer(), |bytes| {
        let used = AnswerReader::default().take(bytes);
        assert!(used.is_err() || used.is_ok_and(|used| used <= bytes.len()));
    });
    let refused = AnswerReader::default().take(b"HTTP/1.1 503 Busy\r\n\r\n");
    assert_eq!(refused, Err(AnswerError::Status(503)));
}

#[test]
fn deeply_nested_list_is_an_error_within_the_stack() {
    // serde_json stops at 128 levels; a zone is buffered, which recurses.
    let nested = |depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let line = |depth| {
        format!(
            "{{\"revision\":1,\"members\":[{{\"id\":\"s\",\"phase\":\"ready\",\"locality\":{}}}]}}",
            nested(depth)
        )
    };
    let lines = [line(100), line(100_000), nested(100_000)];
    let parse = move || lines.map(|line| serde_json::from_str::<EndpointList>(&line).is_err());
    // The first to start a coroutine sets the workers for all tests, some of which rely on there being one.
    may::config().set_workers(1).set_worker_pin(false);
    let parsed = may::go!(
        may::coroutine::Builder::new().stack_size(crate::runtime::coroutine::JSON_STACK_WORDS),
        parse
    );
    assert_eq!(
        parsed.expect("started").join().expect("no panic"),
        [true; 3]
    );
}

/// Without a length only the list itself shows whether it is complete: a reset in the middle of it is no end.
#[test]
fn list_without_length_counts_once_complete() {
    let body =
        "{\"revision\":3,\"complete\":true,\"members\":[{\"id\":\"}]\",\"phase\":\"ready\"}]}";
    let answer = [b"HTTP/1.1 200 OK\r\n\r\n", body.as_bytes()].concat();
    for end in 0..=answer.len() {
        let mut reader = AnswerReader::default();
        reader.take(&answer[..end]).expect("valid");
        let found: Vec<_> = std::iter::from_fn(|| reader.next_list()).collect();
        assert_eq!(
            found.len(),
            usize::from(end == answer.len()),
            "cut at {end}"
        );
        assert!(!reader.is_over(), "more may come");
    }
}

#[test]
fn answer_spans_complete_head_to_last_chunk() {
    let answer = answer();
    let head = answer
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .expect("a head")
        + 4;
    for end in 0..=answer.len() {
        let mut reader = AnswerReader::default();
        reader.take(&answer[..end]).expect("valid");
        assert_eq!(reader.is_answered(), end >= head, "cut at {end}");
        assert_eq!(reader.is_over(), end + 2 >= answer.len(), "cut at {end}");
    }
}

/// The address was once read before the requested watches were dropped, so that a move in between was dropped with them:
/// the new place was called only seconds later, although 4 s after SIGHUP what it has counts as notified.
#[test]
fn move_as_a_watch_ends_is_never_lost() {
    let places: [SocketAddr; 2] =
        ["127.0.0.1:1", "127.0.0.1:2"].map(|place| place.parse().expect("a place"));
    for round in 0..300 {
        let (asks, asked) = may::sync::mpsc::channel();
        // What is to be dropped takes long enough for a move to fall into it in many rounds.
        (0..500).for_each(|_| asks.send(()).expect("open"));
        let source = Source::new(places[0], Clock::start(), asks);
        let (ended, here) = (
            std::sync::atomic::AtomicBool::new(false),
            std::sync::Barrier::new(2),
        );
        let seen = std::thread::scope(|scope| {
            scope.spawn(|| {
                here.wait();
                // Spinning, as a thread that is woken comes too late; each round a little later than the last.
                while !ended.load(std::sync::atomic::Ordering::Acquire) {
                    std::hint::spin_loop();
                }
                (0..round).for_each(|_| std::hint::spin_loop());
                source.move_to(places[1]);
            });
            here.wait();
            // The other thread may need a moment to get from the barrier to its loop.
            std::thread::sleep(std::time::Duration::from_micros(200));
            ended.store(true, std::sync::atomic::Ordering::Release);
            source.has_moved(places[0], &asked)
        });
        assert!(
            seen || asked.try_recv().is_ok(),
            "round {round}: the move is lost"
        );
    }
}

/// The class of fault of report ad44e2: a bound measured from the latest attempt. What the first new place had counts as
/// notified 4 s after the first move, however often discovery moves on before a list comes.
#[test]
fn repeated_moves_count_from_the_first_until_contact() {
    let places: [SocketAddr; 3] =
        ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|place| place.parse().expect("a place"));
    let (asks, _asked) = may::sync::mpsc::channel();
    let clock = Clock::start();
    let source = Source::new(places[0], clock, asks);
    assert_eq!(source.missed_since(7), 7);
    source.move_to(places[1]);
    let first = source.missed_since(u64::MAX);
    std::thread::sleep(std::time::Duration::from_millis(20));
    source.move_to(places[2]);
    assert_eq!(
        source.missed_since(u64::MAX),
        first,
        "the second move gives no time anew"
    );
    source.contacted(places[1]);
    assert_eq!(
        source.missed_since(u64::MAX),
        first,
        "an old place says nothing of the new one"
    );
    source.contacted(places[2]);
    assert_eq!(source.missed_since(7), 7);
}

/// A list of so many members, indented as much as lists come.
fn large_list(members: usize) -> Vec<u8> {
    let entry = |n: usize| {
        format!(
            "    {{\n      \"id\": \"s-{n:08x}\",\n      \"host_port\": \"127.100.{}.{}:5433\",\n      \
             \"locality\": \"linz-north\",\n      \"flavor\": \"std-3core\",\n      \"cell\": {},\n      \
             \"phase\": \"ready\",\n      \"size\": 1.0,\n      \"up_since_ms\": 1764691234567,\n      \
             \"access\": \"reader\"\n    }}",
            n / 250,
            n % 250,
            n / 5
        )
    };
    let entries: Vec<String> = (0..members).map(entry).collect();
    format!(
        "{{\n  \"revision\": 9,\n  \"complete\": true,\n  \"members\": [\n{}\n  ]\n}}\n",
        entries.join(",\n")
    )
    .into_bytes()
}

/// The largest fleet has 3,200 databases; a gateway has part of a core. Each piece of a list was once decoded from the
/// list's beginning on, so that a list four times as long cost sixteen times as much.
#[test]
fn decoding_cost_is_linear_in_list_length() {
    let cost = |members: usize| {
        let list = large_list(members);
        let mut reader = AnswerReader::default();
        reader.take(b"HTTP/1.1 200 OK\r\n\r\n").expect("a head");
        let (mut found, mut decoded) = (Vec::new(), 0);
        for piece in list.chunks(8 * 1024) {
            reader.take(piece).expect("valid");
            while let Some(list) = reader.next_list() {
                found.push(list.expect("a list").members.len());
            }
            decoded = reader.decoded_bytes();
        }
        assert_eq!(found, [members]);
        (list.len() as u64, decoded)
    };
    for members in [120, 800, 3_200] {
        let (length, decoded) = cost(members);
        assert!(
            decoded <= 4 * length,
            "{members} members: {decoded} bytes decoded of {length}"
        );
    }
}

use super::framing::ResponseError;
use super::reader::{ResponseReader, MAX_LIST_BYTES};
use super::Source;
use crate::fuzz;
use asterreel::config::EndpointList;
use asterreel_control::clock::Clock;
use std::net::SocketAddr;

/// A response of two lists, one of them indented, with a heartbeat before, between and after, in chunks of 19 bytes.
fn response() -> Vec<u8> {
    let body = b"\n{\"revision\":1,\"members\":[{\"id\":\"}\",\"phase\":\"ready\"}]}\n\n\
        {\n  \"revision\": 2,\n  \"complete\": true,\n  \"members\": []\n}\n\n";
    let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(19) {
        response.extend(format!("{:X}\r\n", chunk.len()).as_bytes());
        response.extend(chunk);
        response.extend(b"\r\n");
    }
    response.extend(b"0\r\n\r\n");
    response
}

fn lists(reader: &mut ResponseReader) -> Vec<(u64, bool, usize)> {
    let lists = std::iter::from_fn(|| reader.next_list()).map(|list| list.expect("a list"));
    lists
        .map(|list| (list.revision, list.complete, list.members.len()))
        .collect()
}

#[test]
fn lists_do_not_depend_on_indentation_or_cuts() {
    let (response, expected) = (response(), [(1, false, 1), (2, true, 0)]);
    fuzz::cuts(&response, |ends| {
        let (mut reader, mut used, mut found) = (ResponseReader::default(), 0, Vec::new());
        for end in ends {
            used += reader.feed(&response[used..*end]).expect("valid");
            found.extend(lists(&mut reader));
        }
        assert_eq!(found, expected);
    });
    // At every byte.
    let (mut reader, mut used, mut found) = (ResponseReader::default(), 0, Vec::new());
    for end in 1..=response.len() {
        used += reader.feed(&response[used..end]).expect("valid");
        found.extend(lists(&mut reader));
    }
    assert_eq!(found, expected);
}

#[test]
fn invalid_lists_are_errors_and_length_is_bounded() {
    let plain = |body: &str| {
        let mut reader = ResponseReader::default();
        reader.feed(b"HTTP/1.1 200 OK\r\n\r\n").expect("a head");
        reader
            .feed(body.as_bytes())
            .map(|_| reader.next_list().map(|list| list.is_ok()))
    };
    assert_eq!(plain("{\"members\":[]}"), Ok(Some(false)), "no revision");
    assert_eq!(plain("oops }"), Ok(Some(false)));
    assert_eq!(plain("{\"revision\":1}"), Ok(Some(true)));
    assert_eq!(
        plain(&"[".repeat(MAX_LIST_BYTES + 1)),
        Err(ResponseError::TooLong(MAX_LIST_BYTES))
    );
}

#[test]
fn garbage_and_rejected_calls_are_errors() {
    fuzz::garbage(&response(), |bytes| {
        let used = ResponseReader::default().feed(bytes);
        assert!(used.is_err() || used.is_ok_and(|used| used <= bytes.len()));
    });
    let refused = ResponseReader::default().feed(b"HTTP/1.1 503 Busy\r\n\r\n");
    assert_eq!(refused, Err(ResponseError::Status(503)));
}

#[test]
fn deeply_nested_list_is_an_error_within_the_stack() {
    // serde_json stops at 128 levels; `locality` is an untagged enum, which serde buffers recursively.
    let nested = |depth| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let line = |depth| {
        format!(
            "{{\"revision\":1,\"members\":[{{\"id\":\"s\",\"phase\":\"ready\",\"locality\":{}}}]}}",
            nested(depth)
        )
    };
    let lines = [line(100), line(100_000), nested(100_000)];
    let parse = move || lines.map(|line| serde_json::from_str::<EndpointList>(&line).is_err());
    // The first test that starts a coroutine sets the number of workers for all, and some tests rely on a single one.
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

/// Without a length or chunks only the list itself shows whether it is complete: a connection that ends within it leaves
/// no list.
#[test]
fn list_without_length_counts_once_complete() {
    let body =
        "{\"revision\":3,\"complete\":true,\"members\":[{\"id\":\"}]\",\"phase\":\"ready\"}]}";
    let response = [b"HTTP/1.1 200 OK\r\n\r\n", body.as_bytes()].concat();
    for end in 0..=response.len() {
        let mut reader = ResponseReader::default();
        reader.feed(&response[..end]).expect("valid");
        let found: Vec<_> = std::iter::from_fn(|| reader.next_list()).collect();
        assert_eq!(
            found.len(),
            usize::from(end == response.len()),
            "cut at {end}"
        );
        assert!(!reader.is_complete(), "more may come");
    }
}

#[test]
fn response_spans_complete_head_to_last_chunk() {
    let response = response();
    let head = response
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .expect("a head")
        + 4;
    for end in 0..=response.len() {
        let mut reader = ResponseReader::default();
        reader.feed(&response[..end]).expect("valid");
        assert_eq!(reader.has_head(), end >= head, "cut at {end}");
        assert_eq!(
            reader.is_complete(),
            end + 2 >= response.len(),
            "cut at {end}"
        );
    }
}

/// Guards against reading the address before the requested watches are dropped: a change of the address in between
/// would be dropped with them, and the new address called only seconds later, although its updates count as notified
/// 4 s after SIGHUP.
#[test]
fn address_change_as_a_watch_ends_is_never_lost() {
    let addresses: [SocketAddr; 2] =
        ["127.0.0.1:1", "127.0.0.1:2"].map(|address| address.parse().expect("an address"));
    for round in 0..300 {
        let (sender, requested) = may::sync::mpsc::channel();
        // Dropping this many requests takes long enough for the change to happen meanwhile in many rounds.
        (0..500).for_each(|_| sender.send(()).expect("open"));
        let source = Source::new(addresses[0], Clock::start(), sender);
        let (watch_ended, both_started) = (
            std::sync::atomic::AtomicBool::new(false),
            std::sync::Barrier::new(2),
        );
        let has_moved = std::thread::scope(|scope| {
            scope.spawn(|| {
                both_started.wait();
                // Spins, as a woken thread would be too late; each round changes the address a little later.
                while !watch_ended.load(std::sync::atomic::Ordering::Acquire) {
                    std::hint::spin_loop();
                }
                (0..round).for_each(|_| std::hint::spin_loop());
                source.move_to(addresses[1]);
            });
            both_started.wait();
            // The other thread may need a moment to get from the barrier to its loop.
            std::thread::sleep(std::time::Duration::from_micros(200));
            watch_ended.store(true, std::sync::atomic::Ordering::Release);
            source.has_moved(addresses[0], &requested)
        });
        assert!(
            has_moved || requested.try_recv().is_ok(),
            "round {round}: the change is lost"
        );
    }
}

/// Guards against a bound measured from the latest attempt, the fault of report ad44e2: updates at the first new address
/// count as notified 4 s after the first change, however often the address changes again before a list arrives.
#[test]
fn repeated_address_changes_count_from_the_first_until_contact() {
    let addresses: [SocketAddr; 3] = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
        .map(|address| address.parse().expect("an address"));
    let (sender, _requested) = may::sync::mpsc::channel();
    let clock = Clock::start();
    let source = Source::new(addresses[0], clock, sender);
    assert_eq!(source.missed_since(7), 7);
    source.move_to(addresses[1]);
    let first = source.missed_since(u64::MAX);
    std::thread::sleep(std::time::Duration::from_millis(20));
    source.move_to(addresses[2]);
    assert_eq!(
        source.missed_since(u64::MAX),
        first,
        "the second change does not extend the time"
    );
    source.record_contact(addresses[1]);
    assert_eq!(
        source.missed_since(u64::MAX),
        first,
        "contact at the previous address does not count for the current one"
    );
    source.record_contact(addresses[2]);
    assert_eq!(source.missed_since(7), 7);
}

/// A list of this many members, indented as discovery's lists are.
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

/// Guards against decoding a list from its beginning with each piece that arrives: a list four times as long cost sixteen
/// times as much. The largest fleet has 3,200 databases, and a gateway has part of a core.
#[test]
fn decoding_cost_is_linear_in_list_length() {
    let cost = |members: usize| {
        let list = large_list(members);
        let mut reader = ResponseReader::default();
        reader.feed(b"HTTP/1.1 200 OK\r\n\r\n").expect("a head");
        let (mut found, mut decoded) = (Vec::new(), 0);
        for piece in list.chunks(8 * 1024) {
            reader.feed(piece).expect("valid");
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

//! Tests the gateway's process over sockets, in front of the testbench's stand-in databases and discovery.
mod process;
use asterreel_testbench::database;
use process::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// A statement is forwarded with only the wait in its comment changed, and its row comes back complete.
#[test]
fn forwarded_statement_changes_only_its_wait() {
    let gateway = start();
    let mut client = Client::connect(&gateway);
    // The startup message and the first query arrive in one packet.
    client.send(&[startup(), query(b"")].concat());
    assert_eq!(client.read_answer().0, "RSSKZ");
    assert_eq!(client.read_answer().0, "IZ");
    client.send(&query(&read("a")));
    let (tags, bytes) = client.read_answer();
    assert_eq!(tags, "TDCZ");
    assert!(bytes.starts_with(&database::row(b"\x9f\x03toy")));
    let seen = gateway
        .statements
        .recv_timeout(Duration::from_secs(20))
        .expect("the statement reaches a database");
    let (before, after) = (
        b"id=a,c=search,d=".as_slice(),
        b",cluster=0,k=1 */".as_slice(),
    );
    let at = seen
        .windows(before.len())
        .position(|w| w == before)
        .expect("id and class")
        + before.len();
    assert_eq!(seen[..at], read("a")[..at]);
    assert!(seen.ends_with(after));
    let wait: u64 = String::from_utf8_lossy(&seen[at..seen.len() - after.len()])
        .parse()
        .expect("a number");
    assert!((1..=60_000).contains(&wait));
}

/// A write reaches the primary, and pipelined queries are answered in order.
#[test]
fn pipelined_queries_are_answered_in_order() {
    let gateway = start();
    let mut client = Client::ready(&gateway);
    let write =
        b"INSERT INTO entries VALUES ('k', '\\x00') RETURNING payload /* id=w,c=booking,d=2000,cluster=0 */";
    client.send(
        &[
            query(write),
            query(b"SET x = 1"),
            query(&read("b")),
            query(b";"),
        ]
        .concat(),
    );
    let tags: Vec<String> = (0..4).map(|_| client.read_answer().0).collect();
    assert_eq!(tags, ["TDCZ", "CZ", "TDCZ", "IZ"]);
}

/// More clients than descriptors allow are served in turn: idle connections are closed for new ones.
#[test]
fn idle_connections_are_closed_at_the_descriptor_limit() {
    // 96 descriptors leave 40 for clients.
    let gateway = start_with(1000, 96, |_| None);
    let mut clients: Vec<Client> = (0..60).map(|_| Client::ready(&gateway)).collect();
    let last = clients.last_mut().expect("60 clients");
    last.send(&query(&read("z")));
    assert_eq!(last.read_answer().0, "TDCZ");
    assert_eq!(clients[0].read_answer().0, "", "closed between requests");
}

/// Clients that stay connected after one request do not keep others from being served.
#[test]
fn idle_served_clients_are_closed_for_others() {
    // Of 384 descriptors, clients with requests may use 128; a client that finds none free gets no answer.
    let gateway = start_with(1000, 384, |_| None);
    let mut idle: Vec<Client> = vec![];
    for n in 0..128 {
        let mut client = Client::ready(&gateway);
        client.send(&query(&read(&format!("once-{n}"))));
        assert_eq!(client.read_answer().0, "TDCZ");
        idle.push(client);
    }
    for client in &mut idle[..32] {
        assert_eq!(
            client.read_answer().0,
            "",
            "those that have been idle longest are closed"
        );
    }
    let last = idle.last_mut().expect("128 clients");
    last.send(&query(&read("again")));
    assert_eq!(last.read_answer().0, "TDCZ");
}

/// Connections that send nothing do not use up the connections of clients.
#[test]
fn silent_connections_do_not_displace_clients() {
    let gateway = start_with(1000, 96, |_| None);
    let mut client = Client::ready(&gateway);
    let mut silent: Vec<Client> = (0..200).map(|_| Client::connect(&gateway)).collect();
    // Neither the client that was ready before the silent connections nor one that connects after them is displaced.
    for client in [&mut client, &mut Client::ready(&gateway)] {
        client.send(&query(&read("s")));
        assert_eq!(client.read_answer().0, "TDCZ");
    }
    let mut answers = silent.iter_mut().map(|one| one.read_answer().0);
    assert!(
        answers.any(|tags| tags == "E"),
        "silent connections get an error when their time for the startup is over"
    );
}

/// A startup or a message that is not completed in time is rejected.
#[test]
fn incomplete_message_is_rejected_in_time() {
    let gateway = start();
    let mut client = Client::ready(&gateway);
    let complete = query(&read("h"));
    // One connection sends nothing, one stops within its startup message, one within a query, and one sends a byte at a
    // time.
    let mut incomplete = [(); 3].map(|()| Client::connect(&gateway));
    incomplete[1].send(&startup()[..9]);
    incomplete[2].send(&[startup(), complete[..30].to_vec()].concat());
    assert_eq!(incomplete[2].read_answer().0, "RSSKZ");
    let mut slow = Client::ready(&gateway);
    slow.0
        .set_read_timeout(Some(Duration::from_millis(100)))
        .expect("set");
    let is_rejected = complete
        .iter()
        .any(|byte| slow.0.write_all(&[*byte]).is_err() || slow.0.peek(&mut [0]).is_ok());
    assert!(is_rejected, "the message is rejected before it is complete");
    slow.0
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    for client in incomplete.iter_mut().chain([&mut slow]) {
        let (tags, bytes) = client.read_answer();
        assert_eq!((tags.as_str(), error_code(&bytes)), ("E", &b"08P01"[..]));
    }
    client.send(&complete);
    assert_eq!(
        client.read_answer().0,
        "TDCZ",
        "a client that was idle meanwhile is served"
    );
}

/// An incomplete answer fails the attempt and is never forwarded as complete. A read is sent again; a write never is.
#[test]
fn truncated_answer_is_retried_for_reads_only() {
    let gateway = start_with(1000, 1024, |_| {
        let complete = database::row(b"\x9f\x03toy");
        Some(complete[..complete.len() - 4].to_vec())
    });
    let mut client = Client::ready(&gateway);
    client.send(&query(
        b"INSERT INTO entries VALUES ('k') /* id=w,c=booking,d=5000,cluster=0 */",
    ));
    let (tags, bytes) = client.read_answer();
    // The write may have run, so that it is answered as failed and not as rejected.
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"58000"[..]));
    let is_write = |statement: &Vec<u8>| statement.starts_with(b"INSERT");
    assert_eq!(gateway.statements.try_iter().filter(is_write).count(), 1);
    client.send(&query(&read("r")));
    let (tags, bytes) = client.read_answer();
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"53300"[..]));
    assert!(
        gateway.statements.try_iter().count() > 1,
        "a read is sent again"
    );
}

/// An error code that means rejected is not forwarded for a write that may have run.
#[test]
fn rejection_code_is_not_forwarded_for_writes() {
    let gateway = start_with(1000, 1024, |_| {
        Some(database::message(b'E', b"SFATAL\0C57P03\0Mgoing down\0\0"))
    });
    let mut client = Client::ready(&gateway);
    client.send(&query(
        b"INSERT INTO entries VALUES ('k') /* id=w,c=booking,d=5000,cluster=0 */",
    ));
    let (tags, bytes) = client.read_answer();
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"58000"[..]));
    assert_eq!(gateway.statements.try_iter().count(), 1);
}

/// A statement that servers reject as invalid fails at once and is sent to no other member.
#[test]
fn invalid_statement_is_not_retried() {
    let gateway = start_with(1000, 1024, |_| {
        Some(database::message(b'E', b"SERROR\0C42601\0Msyntax\0\0"))
    });
    let mut client = Client::ready(&gateway);
    client.send(&query(&read("u")));
    let (tags, bytes) = client.read_answer();
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"58000"[..]));
    assert_eq!(gateway.statements.try_iter().count(), 1);
}

/// A request with the id of an open one gets an error and reaches no server.
#[test]
fn duplicate_request_id_is_rejected() {
    // The databases answer only when the test takes their statement from the channel.
    let gateway = start_with(0, 1024, |_| None);
    let mut clients = [Client::ready(&gateway), Client::ready(&gateway)];
    for client in &mut clients {
        client.send(&query(&read("same")));
        client
            .0
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("set");
    }
    // Whichever arrived second gets its error before any server has answered.
    let answered =
        |clients: &[Client; 2]| clients.iter().position(|one| one.0.peek(&mut [0]).is_ok());
    let second = (0..50)
        .find_map(|_| answered(&clients))
        .expect("one of them gets an error");
    for client in &mut clients {
        client
            .0
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("set");
    }
    let (tags, bytes) = clients[second].read_answer();
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"08P01"[..]));
    // The rejected request's id can be used again once the first request with it has been served.
    for waiting in [1 - second, second] {
        gateway
            .statements
            .recv_timeout(Duration::from_secs(20))
            .expect("the statement reaches a database");
        assert_eq!(clients[waiting].read_answer().0, "TDCZ");
        assert!(
            gateway.statements.try_recv().is_err(),
            "the statement reaches a database once only"
        );
        clients[second].send(&query(&read("same")));
    }
}

/// An invalid request gets an error; lost framing ends the connection.
#[test]
fn lost_framing_ends_the_connection() {
    let gateway = start();
    let mut client = Client::ready(&gateway);
    for statement in [
        &b"SELECT 1"[..],
        b"SELECT 1 /* id=1,c=nobody,d=5,cluster=0 */",
        b"x /* c=search,d=z */",
    ] {
        client.send(&query(statement));
        assert_eq!(client.read_answer().0, "EZ");
    }
    // There is no such group: the request is rejected at once.
    client.send(&query(b"SELECT 1 /* id=1,c=search,d=900,cluster=9 */"));
    let (tags, bytes) = client.read_answer();
    assert_eq!(tags, "EZ");
    assert!(bytes.windows(6).any(|field| field == b"C53300"));
    // The extended query protocol is not supported; after Sync the session can be used again.
    client.send(
        &[
            database::message(b'P', b"\0\0\0\0"),
            database::message(b'S', b""),
        ]
        .concat(),
    );
    assert_eq!(client.read_answer().0, "EZ");
    client.send(b"Q\xff\xff\xff\xff");
    let (tags, bytes) = client.read_answer();
    assert_eq!(tags, "E", "a fatal error, and the connection is closed");
    assert!(bytes.windows(6).any(|field| field == b"SFATAL"));
    client = Client::connect(&gateway);
    client.send(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(client.read_answer().0, "E");
    client = Client::ready(&gateway);
    client.send(&query(&read("e")));
    assert_eq!(
        client.read_answer().0,
        "TDCZ",
        "the gateway still serves other clients"
    );
}

/// On SIGTERM the gateway answers open requests, keeps idle connections open for 0.7 s or longer, and exits with success.
#[test]
fn sigterm_drains_open_requests_and_exits() {
    let mut gateway = start_with_log(0, 1024, |_| None, Stdio::piped());
    let mut idle = Client::ready(&gateway);
    let mut busy = Client::ready(&gateway);
    let mut late = Client::ready(&gateway);
    let log = BufReader::new(gateway.process.stderr.take().expect("piped"));
    let signalled = Instant::now();
    gateway.signal("-TERM");
    assert!(log
        .lines()
        .any(|line| line.expect("text").contains("draining")));
    busy.send(&query(&read("c")));
    // The database answers only one of the two requests before the time at which the process may be killed.
    late.send(&query(&read("d")));
    assert_eq!(idle.read_answer().0, "", "closed");
    assert!(
        signalled.elapsed() >= Duration::from_millis(700),
        "clients may still send requests for this time"
    );
    // The database answers only when the test takes its statement from the channel.
    gateway
        .statements
        .recv_timeout(Duration::from_secs(20))
        .expect("the statement reaches a database");
    let mut tags = [busy.read_answer().0, late.read_answer().0];
    tags.sort_unstable();
    assert_eq!(
        tags,
        ["EZ", "TDCZ"],
        "requests that were accepted are answered"
    );
    // The read's deadline is 20 s, but the process may be killed 3.7 s after the signal.
    assert!(
        signalled.elapsed() < Duration::from_millis(3700),
        "answered before the process may be killed"
    );
    assert_eq!(
        (busy.read_answer().0, late.read_answer().0),
        (String::new(), String::new())
    );
    gateway.wait_for_success();
}

/// Requests that were open at SIGTERM got no answer where SIGHUP had brought shorter deadlines before: the end of the drain was
/// computed from them, although the requests had been admitted with the deadlines of the start.
#[test]
fn drain_waits_for_the_deadlines_of_the_start_after_reloads() {
    let mut gateway = start_with_log(0, 1024, |_| None, Stdio::piped());
    let mut log = BufReader::new(gateway.process.stderr.take().expect("piped")).lines();
    let mut wait_for = |text: &str| {
        assert!(log.any(|line| line.expect("text").contains(text)));
    };
    let mut busy = Client::ready(&gateway);
    busy.send(&query(&read("open")));
    wait_for("dispatching attempt");
    let shorter = gateway
        .config
        .replace("\"DeadlineUs\": 20000000", "\"DeadlineUs\": 100000")
        .replace("\"DeadlineUs\": 3000000", "\"DeadlineUs\": 100000");
    assert_ne!(shorter, gateway.config);
    for _ in 0..2 {
        gateway.reload(&shorter);
        wait_for("configuration read again");
    }
    gateway.signal("-TERM");
    wait_for("draining");
    gateway.signal("-HUP");
    wait_for("configuration read again");
    // Longer than a drain takes that is timed by the shorter deadlines.
    std::thread::sleep(Duration::from_millis(1_500));
    let statement = gateway.statements.recv_timeout(Duration::from_secs(20));
    statement.expect("the statement reaches a database");
    assert_eq!(busy.read_answer().0, "TDCZ");
    gateway.wait_for_success();
}

/// The gateway exits on an invalid configuration, and the error names the key.
#[test]
fn bad_configuration_names_the_key() {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(
        EXAMPLE
            .replace("\"MaxAttempts\": 10", "\"MaxAttempts\": -1")
            .as_bytes(),
    )
    .expect("written");
    let output = Command::new(env!("CARGO_BIN_EXE_asterreel"))
        .env("RELAY_CONFIG", file.path())
        .output();
    let output = output.expect("the gateway starts");
    assert!(!output.status.success());
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("settings.Allowed.MaxAttempts"), "{error}");
}

/// A gateway goes on serving when the reader of its log has closed the stream.
#[test]
fn closed_log_does_not_stop_service() {
    let (reader, writer) = UnixStream::pair().expect("a pair");
    drop(reader);
    let gateway = start_with_log(1000, 1024, |_| None, OwnedFd::from(writer).into());
    let mut client = Client::ready(&gateway);
    client.send(&query(&read("q")));
    assert_eq!(client.read_answer().0, "TDCZ");
}

/// A listener for discovery, and the entry of the configuration that names its address.
fn discovery_listener() -> (TcpListener, String) {
    let listener = listen();
    let entry = format!(
        "\"discovery\": \"{}\"",
        listener.local_addr().expect("bound")
    );
    (listener, entry)
}

/// On SIGHUP discovery is watched at its new address, and a bad file changes nothing.
#[test]
fn sighup_moves_discovery_and_ignores_bad_files() {
    let gateway = start();
    let mut client = Client::ready(&gateway);
    let from = gateway.config.find("\"discovery\": ").expect("the key");
    let to = from + gateway.config[from..].find(',').expect("its end");
    let mut call = [0; 64];
    for _ in 0..2 {
        // An invalid file changes nothing, and the next one is read all the same.
        gateway.reload("{\"listen\": ");
        let (listener, entry) = discovery_listener();
        gateway.reload(&[&gateway.config[..from], &entry, &gateway.config[to..]].concat());
        // The old address still accepts, and its watch is open; the new address must be called all the same.
        let mut watch = accept_call(&listener).expect("the gateway calls");
        watch.read_exact(&mut call).expect("a call");
        assert!(
            call.starts_with(b"GET /v1/servers?watch=1&after=0 "),
            "the complete list is requested"
        );
        // The new discovery sends nothing: the known members stay in use.
        client.send(&query(&read("h")));
        assert_eq!(client.read_answer().0, "TDCZ");
    }
}

/// A SIGHUP during a drain does not end the drain.
#[test]
fn sighup_does_not_end_a_drain() {
    let mut gateway = start();
    let mut idle = Client::ready(&gateway);
    gateway.signal("-TERM");
    gateway.signal("-HUP");
    assert_eq!(idle.read_answer().0, "");
    gateway.wait_for_success();
}

/// Where an agent on the gateway's machine pushes the endpoint list, the router never requests a watch. The gateway must
/// open one from the start, or it is never notified of a drain or a new member.
#[test]
fn pushing_agent_is_watched_from_the_start() {
    let agent = listen();
    let _gateway = start_with_push_agent(&agent, 1);
    let mut call =
        accept_call(&agent).expect("the gateway opens a watch without a request of the router");
    let mut head = [0; 32];
    call.read_exact(&mut head).expect("a call");
    assert!(
        head.starts_with(b"GET /v1/servers?watch=1&after="),
        "a watch: {:?}",
        String::from_utf8_lossy(&head)
    );
}

/// A watch that stays open but sends nothing is opened again within the 6 s in which a change must be noticed, in a large
/// fleet too. The list that the watch sent before is indented, which must not keep the gateway from reading it.
#[test]
fn silent_watch_is_reopened_in_a_fleet_of_300() {
    let agent = listen();
    let _gateway = start_with_push_agent(&agent, 300);
    let mut watch = database::Watch::begin(accept_call(&agent).expect("a watch")).expect("begun");
    let list = "{\n  \"revision\": 777,\n  \"complete\": true,\n\n  \"members\": [\n  ]\n}\n";
    watch.send(&list[..9]).expect("sent");
    watch.send(&list[9..]).expect("sent");
    let silent = Instant::now();
    let mut call = accept_call(&agent).expect("the gateway calls the agent again");
    let took = silent.elapsed();
    let mut head = [0; 36];
    call.read_exact(&mut head).expect("a call");
    assert_eq!(
        &head[..],
        b"GET /v1/servers?watch=1&after=777 HT",
        "the gateway has read the list"
    );
    // Heartbeats come every 2 s. Of the 6 s, a call may wait 2 s in discovery's queue; 1 s more is for a slow machine.
    let (least, most) = (Duration::from_millis(2_500), Duration::from_millis(5_000));
    assert!((least..most).contains(&took), "called again after {took:?}");
}

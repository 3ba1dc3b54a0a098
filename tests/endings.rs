//! What happens when a client, an attempt, the gateway or discovery ends while a request or an answer is still open;
//! docs/design/endings.md lists the cases. Scripted peers, gates and SIGSTOP of the gateway force each bad order of events,
//! so that no test depends on a race.
mod process;
use asterreel_testbench::database;
use process::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// The deadline of requests to a database that hangs.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2_000);
/// How much later than the deadline the answer may come on a slow machine.
const MAX_DELAY: Duration = Duration::from_millis(700);
/// How much before the deadline the router may fail a request that no attempt can complete in time.
const MAX_LEAD: Duration = Duration::from_millis(200);

/// A read whose client waits this long for the answer.
fn read_with_wait(id: &str, wait: Duration) -> Vec<u8> {
    let wait = format!("d={}", wait.as_millis());
    let comment = format!("/* id={id},c=search,{wait},cluster=0,k=1 */");
    [
        &b"SELECT payload FROM entries WHERE ref = 'ff' "[..],
        comment.as_bytes(),
    ]
    .concat()
}

/// A primary and a replica that answer at once.
fn primary_and_replica(statements: &Sender<Vec<u8>>) -> [Database; 2] {
    [true, false].map(|primary| Database::start(primary, true, statements, |_| None))
}

fn addresses_of(databases: &[Database; 2]) -> [SocketAddr; 2] {
    [databases[0].address, databases[1].address]
}

/// An address on which nothing listens, so that connections are refused.
fn refusing_address() -> SocketAddr {
    listen().local_addr().expect("bound")
}

/// The request id in the comment of a statement.
fn request_id(statement: &[u8]) -> String {
    let text = String::from_utf8_lossy(statement).into_owned();
    let from = text.find("id=").map_or(0, |at| at + 3);
    text[from..]
        .split(',')
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// A gateway in front of two replicas: writes stay queued until one of them reports that it is the primary.
struct Fixture {
    gateway: Gateway,
    log: Log,
    databases: [Database; 2],
    /// The statements that reached the databases.
    statements: Receiver<Vec<u8>>,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_answers(|_| None)
    }

    /// A fixture whose databases answer a statement with what this function returns for it, if it returns anything.
    fn with_answers(override_answer: fn(&[u8]) -> Option<Vec<u8>>) -> Fixture {
        let (sender, statements) = channel();
        let databases = [(); 2].map(|()| Database::start(false, true, &sender, override_answer));
        let addresses = addresses_of(&databases);
        let (gateway, log) = start_with_databases(addresses, refusing_address(), |config| config);
        Fixture {
            gateway,
            log,
            databases,
            statements,
        }
    }

    /// A fixture in which neither database answers statements.
    fn with_hanging_databases() -> Fixture {
        let fixture = Fixture::new();
        fixture
            .databases
            .iter()
            .for_each(|database| database.gate.set(false));
        fixture
    }

    /// A fixture, and a client whose write with this id is queued.
    fn with_queued_write(id: &str) -> (Fixture, Client) {
        let fixture = Fixture::new();
        let mut client = Client::ready(&fixture.gateway);
        client.send(&query(&write(id)));
        fixture.wait_until_queued(id);
        (fixture, client)
    }

    /// Asserts that the gateway ends the session because its client left, and does not dispatch the client's requests even
    /// when there is a primary again.
    fn assert_session_ended_without_dispatch(&self) {
        assert!(self
            .log
            .wait_for_line("session ended: the client disconnected or stopped reading"));
        self.promote_primary();
        assert_eq!(self.take_dispatched_ids(), [""; 0]);
    }

    /// Waits until the write with this id has used up its attempts at replicas, after which it is queued for a primary.
    fn wait_until_queued(&self, write_id: &str) {
        for _ in 0..7 {
            while request_id(
                &self
                    .statements
                    .recv_timeout(WAIT_LIMIT)
                    .expect("an attempt"),
            ) != write_id
            {}
        }
    }

    /// Makes the first replica the primary and waits until new writes are served: all queued ones are dispatched before.
    fn promote_primary(&self) {
        self.databases[0].primary.store(true, Ordering::SeqCst);
        for proof in ["proof-1", "proof-2"] {
            let mut client = Client::ready(&self.gateway);
            client.send(&query(&write(proof)));
            assert_eq!(client.read_answer().0, "TDCZ");
        }
    }

    /// The request ids that have reached a database since the last call, except for those of `promote_primary`.
    fn take_dispatched_ids(&self) -> Vec<String> {
        let ids = self
            .statements
            .try_iter()
            .map(|statement| request_id(&statement));
        ids.filter(|id| !id.starts_with("proof")).collect()
    }
}

/// A write that is queued is not dispatched once its client has closed the connection.
#[test]
fn queued_write_is_dropped_when_client_closes() {
    let (fixture, client) = Fixture::with_queued_write("gone");
    drop(client);
    fixture.assert_session_ended_without_dispatch();
}

/// A write that is queued is not dispatched once its client has reset the connection.
#[test]
fn queued_write_is_dropped_when_client_resets() {
    let fixture = Fixture::new();
    let mut client = Client::connect(&fixture.gateway);
    client.send(&[startup(), query(&write("gone"))].concat());
    fixture.wait_until_queued("gone");
    // The client has not read the answer to its startup, so that closing the socket resets the connection.
    drop(client);
    fixture.assert_session_ended_without_dispatch();
}

/// A client that closes only its sending side counts as gone: the gateway cannot tell it from one that closed both.
#[test]
fn half_closed_client_counts_as_gone() {
    let (fixture, mut client) = Fixture::with_queued_write("half");
    client.0.shutdown(std::net::Shutdown::Write).expect("shut");
    fixture.assert_session_ended_without_dispatch();
    assert_eq!(client.read_answer().0, "", "closed");
}

/// Requests that a client pipelined before its close are not dispatched either.
#[test]
fn pipelined_request_of_gone_client_is_dropped() {
    let (fixture, mut client) = Fixture::with_queued_write("first");
    let ahead: Vec<u8> = (0..5)
        .flat_map(|n| query(&read(&format!("ahead-{n}"))))
        .collect();
    client.send(&ahead);
    drop(client);
    fixture.assert_session_ended_without_dispatch();
}

/// A session stops reading once as much as the longest message is buffered. It must notice the close behind the unread
/// bytes all the same, and dispatch neither the queued write nor what the client sent after it.
#[test]
fn client_close_is_seen_behind_unread_bytes() {
    let (fixture, mut client) = Fixture::with_queued_write("first");
    let one = query(&[&read("ahead")[..], &vec![b' '; 20_000]].concat());
    (0..10).for_each(|_| client.send(&one));
    drop(client);
    fixture.log.wait_for_line_within(
        "session ended: the client disconnected or stopped reading",
        Duration::from_secs(5),
    );
    fixture.promote_primary();
    assert_eq!(fixture.take_dispatched_ids(), [""; 0]);
}

/// A client sent more than the buffers of its connection take and closed it, so that its own machine holds the close back behind
/// the rest. The queued write was sent on when a primary appeared, long after the close.
#[test]
fn client_close_is_seen_behind_unsent_bytes() {
    let (fixture, mut client) = Fixture::with_queued_write("first");
    let one = query(&[&read("ahead")[..], &vec![b' '; 100_000]].concat());
    client.0.set_nonblocking(true).expect("set");
    let mut rest = Vec::new();
    // Until neither side's buffers take more, also after a moment.
    for _ in 0..5 {
        loop {
            if rest.is_empty() {
                rest.clone_from(&one);
            }
            match client.0.write(&rest) {
                Ok(count) => drop(rest.drain(..count)),
                Err(error) => {
                    assert_eq!(error.kind(), ErrorKind::WouldBlock);
                    break;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    drop(client);
    // Twice as long as it may take to see the close, for a busy machine.
    fixture.log.wait_for_line_within(
        "session ended: the client disconnected or stopped reading",
        Duration::from_millis(200),
    );
    fixture.promote_primary();
    assert_eq!(fixture.take_dispatched_ids(), [""; 0]);
}

/// A write that must not run twice came again with the same id after its client had left, and ran twice.
#[test]
fn write_that_may_have_run_is_not_run_again_under_its_id() {
    let (statements, seen) = channel();
    let databases = primary_and_replica(&statements);
    let (gateway, log) =
        start_with_databases(addresses_of(&databases), refusing_address(), |config| {
            config
        });
    databases[0].gate.set(false);
    let mut gone = Client::ready(&gateway);
    gone.send(&query(&write("again")));
    let sent = seen.recv_timeout(WAIT_LIMIT).expect("the write is sent");
    assert_eq!(request_id(&sent), "again");
    drop(gone);
    assert!(log.wait_for_line("session ended: the client disconnected or stopped reading"));
    databases[0].gate.set(true);
    let mut client = Client::ready(&gateway);
    for id in ["again", "served", "served"] {
        client.send(&query(&write(id)));
        let (tags, answer) = client.read_answer();
        if tags != "TDCZ" {
            assert_eq!(error_code(&answer), b"08P01", "{id}");
        }
    }
    let later: Vec<String> = seen.try_iter().map(|sent| request_id(&sent)).collect();
    assert_eq!(later, ["served"]);
}

/// Thirty clients leave and a primary appears while the gateway is stopped: none of their requests is dispatched.
#[test]
fn requests_of_a_burst_of_gone_clients_are_dropped() {
    let fixture = Fixture::new();
    let mut clients: Vec<Client> = (0..30).map(|_| Client::ready(&fixture.gateway)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&query(&write(&format!("gone-{n}"))));
    }
    fixture.wait_until_queued("gone-0");
    // Writes behind it in the queue have had fewer attempts or none; wait until no more arrive.
    while fixture
        .statements
        .recv_timeout(Duration::from_millis(300))
        .is_ok()
    {}
    fixture.gateway.signal("-STOP");
    drop(clients);
    fixture.databases[0].primary.store(true, Ordering::SeqCst);
    fixture.gateway.signal("-CONT");
    (0..30).for_each(|_| {
        assert!(fixture
            .log
            .wait_for_line("session ended: the client disconnected or stopped reading"))
    });
    fixture.promote_primary();
    assert_eq!(fixture.take_dispatched_ids(), [""; 0]);
}

/// The gateway sees the error that ends the first attempt together with the client's close: it starts no second attempt.
#[test]
fn retry_is_not_started_for_gone_client() {
    let broken = |statement: &[u8]| {
        statement
            .starts_with(b"SELECT")
            .then(|| database::error("XX000", "broken"))
    };
    let fixture = Fixture::with_answers(broken);
    fixture
        .databases
        .iter()
        .for_each(|database| database.gate.set(false));
    let mut client = Client::ready(&fixture.gateway);
    client.send(&query(&read("gone")));
    fixture
        .statements
        .recv_timeout(WAIT_LIMIT)
        .expect("a first attempt");
    fixture.gateway.signal("-STOP");
    drop(client);
    fixture
        .databases
        .iter()
        .for_each(|database| database.gate.set(true));
    // The close and the error must both have arrived when the gateway continues; on loopback 100 ms are enough.
    thread::sleep(Duration::from_millis(100));
    fixture.gateway.signal("-CONT");
    fixture.assert_session_ended_without_dispatch();
}

/// A cancel request with the key of a session ends its open request, as in PostgreSQL; one with another key has no effect.
#[test]
fn cancel_requires_the_right_key() {
    let fixture = Fixture::new();
    fixture.databases[0].primary.store(true, Ordering::SeqCst);
    let (mut client, key) = Client::ready_with_key(&fixture.gateway);
    let (other, other_key) = Client::ready_with_key(&fixture.gateway);
    assert_ne!(key[4..], other_key[4..], "each session has its own secret");
    drop(other);
    // Between two requests there is nothing to cancel, and the next request is not affected.
    let cancel = |key: &[u8]| {
        let mut canceller = Client::connect(&fixture.gateway);
        canceller.send(&cancel_request(key));
        assert_eq!(canceller.read_answer().0, "", "no answer");
    };
    cancel(&key);
    client.send(&query(&write("before")));
    assert_eq!(client.read_answer().0, "TDCZ");
    fixture.databases[0].gate.set(false);
    client.send(&query(&write("held")));
    while request_id(&fixture.statements.recv_timeout(WAIT_LIMIT).expect("sent")) != "held" {}
    let wrong_key = [&key[..4], &[key[4] ^ 1], &key[5..]].concat();
    cancel(&wrong_key);
    cancel(&other_key);
    client.0.set_nonblocking(true).expect("set");
    assert_eq!(
        client.0.peek(&mut [0]).expect_err("no answer yet").kind(),
        ErrorKind::WouldBlock
    );
    client.0.set_nonblocking(false).expect("set");
    cancel(&key);
    let (tags, bytes) = client.read_answer();
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"57014"[..]));
    fixture.databases[0].gate.set(true);
    client.send(&query(&read("after")));
    assert_eq!(client.read_answer().0, "TDCZ", "the session goes on");
    assert_eq!(
        fixture.take_dispatched_ids(),
        ["after"],
        "the cancelled write is not sent again"
    );
}

/// A request that is queued when its client cancels it is answered and never dispatched.
#[test]
fn cancelled_request_is_not_dispatched() {
    let fixture = Fixture::new();
    let (mut client, key) = Client::ready_with_key(&fixture.gateway);
    client.send(&query(&write("waits")));
    fixture.wait_until_queued("waits");
    let mut canceller = Client::connect(&fixture.gateway);
    canceller.send(&cancel_request(&key));
    let (tags, bytes) = client.read_answer();
    assert_eq!((tags.as_str(), error_code(&bytes)), ("EZ", &b"57014"[..]));
    fixture.promote_primary();
    assert_eq!(fixture.take_dispatched_ids(), [""; 0]);
}

/// After SIGTERM clients keep sending on every connection that stays open. A client that always sends a next request must
/// not keep its session, and so the process, open until SIGKILL ends it with a request unanswered.
#[test]
fn busy_client_does_not_delay_a_drain() {
    let (statements, seen) = channel();
    let databases = primary_and_replica(&statements);
    let (mut gateway, log) =
        start_with_databases(addresses_of(&databases), refusing_address(), |config| {
            config
        });
    // One client waits for each answer, the other keeps sending without waiting.
    let mut waiting = Client::ready(&gateway);
    let mut pipelining = Client::ready(&gateway);
    let mut sending = pipelining.0.try_clone().expect("cloned");
    let begun = Instant::now();
    let writer = thread::spawn(move || {
        // Ten at a time, so that the gateway always has unread requests; stops after far more time than a drain takes.
        (0..).step_by(10).find(|first| {
            let ten: Vec<u8> = (*first..first + 10)
                .flat_map(|n| query(&read(&format!("sent-{n}"))))
                .collect();
            thread::sleep(Duration::from_millis(1));
            begun.elapsed() > WAIT_LIMIT || sending.write_all(&ten).is_err()
        });
    });
    let reader = thread::spawn(move || {
        let mut answers = 0;
        while pipelining
            .0
            .peek(&mut [0])
            .expect("an answer or a close, and no reset")
            > 0
        {
            assert_eq!(
                pipelining.read_answer().0,
                "TDCZ",
                "complete, after {answers} answers"
            );
            answers += 1;
        }
        answers
    });
    let mut answers = 0;
    gateway.signal("-TERM");
    assert!(log.wait_for_line("draining"));
    let drained = Instant::now();
    while drained.elapsed() < WAIT_LIMIT {
        waiting.send(&query(&read(&format!("asked-{answers}"))));
        if waiting
            .0
            .peek(&mut [0])
            .expect("an answer or a close, and no reset")
            == 0
        {
            break;
        }
        assert_eq!(
            waiting.read_answer().0,
            "TDCZ",
            "complete, after {answers} answers"
        );
        answers += 1;
    }
    assert!(
        answers > 0,
        "requests are served until the drain closes the sessions"
    );
    gateway.wait_for_success();
    // From 0.75 s after the signal only requests that were read before are still answered.
    assert!(
        drained.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        drained.elapsed()
    );
    let served = reader.join().expect("the connection is not reset");
    writer.join().expect("the writer does not panic");
    drop(gateway);
    // Every request that reached a database was answered: none was forwarded after its session had ended.
    let dispatched = seen
        .try_iter()
        .filter(|statement| request_id(statement).starts_with("sent"))
        .count();
    assert_eq!(dispatched, served);
}

/// Closing a socket with unread bytes resets the connection, and the peer may lose what was written last. A client that
/// has sent more than the gateway read must still receive its last answer and a regular close.
#[test]
fn unread_bytes_do_not_reset_the_last_answer() {
    let (statements, _seen) = channel();
    let databases = primary_and_replica(&statements);
    let (gateway, _log) =
        start_with_databases(addresses_of(&databases), refusing_address(), |config| {
            config
        });
    let mut client = Client::ready(&gateway);
    // An invalid message, followed by far more bytes than one read returns.
    client.send(&[&[0xff; 5][..], &[b'x'; 100_000]].concat());
    let rest = client
        .read_to_end()
        .expect("the connection is closed and not reset");
    assert_eq!((rest[0], error_code(&rest)), (b'E', &b"08P01"[..]));
    let mut client = Client::connect(&gateway);
    client.send(
        &[
            &startup()[..],
            &query(&read("last")),
            b"X\0\0\0\x04",
            &[b'x'; 100_000],
        ]
        .concat(),
    );
    let rest = client
        .read_to_end()
        .expect("the connection is closed and not reset");
    assert!(
        rest.windows(8).any(|bytes| bytes == b"SELECT 1"),
        "the answer to the query sent before Terminate"
    );
}

/// A server sends notices endlessly, as fast as it can: the request ends at its deadline, and others are served meanwhile.
#[test]
fn endless_answer_is_stopped_at_its_deadline() {
    let (statements, _seen) = channel();
    let good = Database::start(true, true, &statements, |_| None);
    let listener = listen();
    let endless = listener.local_addr().expect("bound");
    thread::spawn(move || {
        listener
            .incoming()
            .flatten()
            .for_each(|client| drop(thread::spawn(move || serve_endless_notices(client))))
    });
    let (gateway, _log) =
        start_with_databases([good.address, endless], refusing_address(), |config| config);
    let begun = Instant::now();
    let mut waiting = Client::ready(&gateway);
    let statement = String::from_utf8_lossy(&read("endless")).replace("d=60000", "d=1500");
    waiting.send(&query(statement.as_bytes()));
    let mut served = 0;
    while waiting.0.set_nonblocking(true).is_ok()
        && waiting.0.peek(&mut [0]).is_err()
        && begun.elapsed() < WAIT_LIMIT
    {
        let mut other = Client::ready(&gateway);
        other.send(&query(&write(&format!("other-{served}"))));
        assert_eq!(other.read_answer().0, "TDCZ");
        served += 1;
    }
    waiting.0.set_nonblocking(false).expect("set");
    let tags = waiting.read_answer().0;
    assert!(tags == "EZ" || tags == "TDCZ", "{tags}");
    assert!(
        served > 0 && begun.elapsed() < Duration::from_secs(10),
        "{served} other requests served in {:?}",
        begun.elapsed()
    );
}

/// Starts a session and reports as a replica that is up to date, and answers the first statement with endless notices.
fn serve_endless_notices(mut client: TcpStream) -> std::io::Result<()> {
    database::read_body(&mut client)?;
    client.write_all(
        &[
            database::message(b'R', &[0; 4]),
            database::message(b'Z', b"I"),
        ]
        .concat(),
    )?;
    let notices = database::message(b'S', b"server_version\x0015\0").repeat(2_000);
    loop {
        let mut tag = [0];
        client.read_exact(&mut tag)?;
        let body = database::read_body(&mut client)?;
        let position = asterreel_testbench::now() / 1000;
        if body.starts_with(b"SHOW usage") {
            let role = database::Role::Replica;
            client.write_all(
                &[
                    database::report(role, position, 0.1),
                    database::answer_end(role, position),
                ]
                .concat(),
            )?;
            continue;
        }
        loop {
            client.write_all(&notices)?;
        }
    }
}

/// The deadline of a pipelined request counts from its own last byte, not from its turn behind earlier requests: each is
/// answered by its deadline while a server hangs.
#[test]
fn pipelined_requests_keep_their_own_deadlines() {
    let fixture = Fixture::with_hanging_databases();
    let mut client = Client::ready(&fixture.gateway);
    let sent = Instant::now();
    let all: Vec<u8> = (0..5)
        .flat_map(|n| query(&read_with_wait(&format!("r-{n}"), REQUEST_DEADLINE)))
        .collect();
    client.send(&all);
    for n in 0..5 {
        assert_eq!(client.read_answer().0, "EZ", "request {n}");
        assert!(
            sent.elapsed() < REQUEST_DEADLINE + MAX_DELAY,
            "request {n} is answered after {:?}",
            sent.elapsed()
        );
    }
    // The session goes on, and a later request has its full time.
    fixture
        .databases
        .iter()
        .for_each(|database| database.gate.set(true));
    client.send(&query(&read("after")));
    assert_eq!(client.read_answer().0, "TDCZ");
    // Requests whose deadline had passed when their turn came were not passed to the router.
    let lines = fixture
        .log
        .lines_up_to("request done request=2 ", WAIT_LIMIT)
        .expect("logged");
    let passed = lines
        .iter()
        .filter(|line| line.contains("RequestArrived(Arrival"))
        .count();
    let expired = lines
        .iter()
        .filter(|line| line.contains("deadline passed before the request was handled"))
        .count();
    assert_eq!(
        (passed, expired),
        (2, 4),
        "only the first and the last are passed to the router"
    );
}

/// The first request and half of the second arrive in one read, then parts of the second, then its end together with the
/// complete third. The deadlines of the second and third count from that last read, neither from their first bytes nor from
/// their turn.
#[test]
fn deadline_runs_from_the_last_byte_of_a_request() {
    let fixture = Fixture::with_hanging_databases();
    let mut client = Client::ready(&fixture.gateway);
    let [first, second, third] =
        ["r-1", "r-2", "r-3"].map(|id| query(&read_with_wait(id, REQUEST_DEADLINE)));
    let (front, back) = second.split_at(second.len() / 2);
    let (middle, end) = back.split_at(back.len() - 3);
    let sent = Instant::now();
    client.send(&[&first[..], front].concat());
    for piece in middle.chunks(middle.len().div_ceil(10)) {
        thread::sleep(REQUEST_DEADLINE / 20);
        client.send(piece);
    }
    client.send(&[end, &third[..]].concat());
    let complete = Instant::now();
    // A slow machine may take longer to send the parts, but the first request must still be open when the last is sent.
    assert!(
        sent.elapsed() < REQUEST_DEADLINE,
        "everything is sent while the first request is still open"
    );
    assert_eq!(client.read_answer().0, "EZ");
    assert!(
        sent.elapsed() < REQUEST_DEADLINE + MAX_DELAY,
        "the first is answered after {:?}",
        sent.elapsed()
    );
    for n in [2, 3] {
        assert_eq!(client.read_answer().0, "EZ");
        let took = complete.elapsed();
        assert!(
            took > REQUEST_DEADLINE - MAX_LEAD && took < REQUEST_DEADLINE + MAX_DELAY,
            "request {n} is answered after {took:?}"
        );
    }
}

/// Starts to listen on an address that refused connections until now; retries for 5 s while the address is in use.
fn listen_with_retries(address: SocketAddr) -> TcpListener {
    (0..500)
        .find_map(|_| {
            thread::sleep(Duration::from_millis(10));
            TcpListener::bind(address).ok()
        })
        .expect("the address is free")
}

/// After refused calls, the next call comes within 6 s of discovery being reachable again, less the 2 s that it may wait in
/// discovery's queue: the backoff does not grow beyond that with the number of refusals or the size of the fleet.
#[test]
fn discovery_is_called_in_time_after_refusals() {
    let runs = [1, 30, 300].map(|fleet| {
        thread::spawn(move || {
            // A unique address, so that nothing else binds its port before discovery listens.
            let mut address = unique_address();
            address.set_port(8_500);
            let fleet_size = format!("\"FleetSize\": {fleet}");
            let change = |config: String| {
                config
                    .replace("\"FleetSize\": 1,", &format!("{fleet_size},"))
                    .replace("10000000,", "60000000,")
            };
            let (gateway, log) =
                start_with_databases([refusing_address(), refusing_address()], address, change);
            assert!(
                gateway.config.contains(&fleet_size)
                    && gateway.config.contains("\"AskEveryUs\": 60000000")
            );
            (0..4).for_each(|_| assert!(log.wait_for_line("watch lost"), "refused"));
            let reachable = Instant::now();
            let discovery = listen_with_retries(address);
            accept_call(&discovery).expect("the gateway calls discovery");
            (fleet, reachable.elapsed())
        })
    });
    // Join all threads before any assertion, so that none of them outlives the test.
    let results: Vec<_> = runs.into_iter().map(thread::JoinHandle::join).collect();
    let took: Vec<_> = results
        .into_iter()
        .map(|result| result.expect("called"))
        .collect();
    // 4 s are allowed by the rule above, one more for a slow machine.
    assert!(
        took.iter().all(|(_, took)| *took < Duration::from_secs(5)),
        "fleet sizes, and when discovery was called: {took:?}"
    );
}

/// An update counts as notified once the agent has it, whether or not the gateway's watch is open. A watch on the agent
/// that ends is therefore opened again at once, in a fleet of any size.
#[test]
fn ended_watch_on_agent_is_reopened_at_once() {
    let agent = listen();
    let _gateway = start_with_push_agent(&agent, 300);
    for _ in 0..6 {
        let watch = database::Watch::begin(accept_call(&agent).expect("a watch")).expect("begun");
        drop(watch);
        let ended = Instant::now();
        let again = accept_call(&agent).expect("the gateway calls the agent again");
        assert!(
            ended.elapsed() < Duration::from_secs(1),
            "called again after {:?}",
            ended.elapsed()
        );
        drop(again);
    }
}

/// A gateway becomes ready with the known list whether discovery refuses connections, sends nothing or cannot be reached.
#[test]
fn restarted_gateway_serves_from_known_list() {
    let silent = listen();
    // Its accept queue is full and never read, so that connections to it time out.
    let full = listen();
    let full_address = full.local_addr().expect("bound");
    let queue: Vec<_> = (0..200)
        .map(|_| TcpStream::connect_timeout(&full_address, Duration::from_millis(20)))
        .collect();
    let discovery_addresses = [
        refusing_address(),
        silent.local_addr().expect("bound"),
        full_address,
    ];
    for discovery in discovery_addresses {
        for fleet in [1, 300] {
            let (statements, _seen) = channel();
            let databases = primary_and_replica(&statements);
            let begun = Instant::now();
            let addresses = addresses_of(&databases);
            let change = |config: String| {
                config.replace("\"FleetSize\": 1,", &format!("\"FleetSize\": {fleet},"))
            };
            let (gateway, _log) = start_with_databases(addresses, discovery, change);
            let mut client = Client::ready(&gateway);
            client.send(&query(b""));
            assert_eq!(client.read_answer().0, "IZ", "ready");
            client.send(&query(&write("w")));
            assert_eq!(client.read_answer().0, "TDCZ");
            assert!(
                begun.elapsed() < Duration::from_secs(5),
                "served {:?} after the start of the gateway",
                begun.elapsed()
            );
        }
    }
    drop(queue);
}

/// Idle clients may use all descriptors that are meant for clients while discovery is down. When discovery is back, it is
/// watched at once, connections to servers can be opened, and new clients replace idle ones.
#[test]
fn idle_clients_leave_descriptors_for_the_rest() {
    let mut address = unique_address();
    address.set_port(8_500);
    let (statements, seen) = channel();
    let databases = primary_and_replica(&statements);
    let addresses = addresses_of(&databases);
    let (gateway, log) =
        start_with_databases(addresses, address, |config| config.replace("1024", "96"));
    let mut idle: Vec<Client> = (0..60).map(|_| Client::ready(&gateway)).collect();
    databases
        .iter()
        .for_each(|database| database.gate.set(false));
    let mut busy = Client::ready(&gateway);
    busy.send(&query(&write("busy")));
    while request_id(&seen.recv_timeout(WAIT_LIMIT).expect("sent")) != "busy" {}
    assert!(log.wait_for_line("watch lost"), "discovery is down");
    let open = open_descriptors(&gateway);
    assert!(open <= 96, "{open} descriptors");
    let discovery = listen_with_retries(address);
    let reachable = Instant::now();
    let mut watch =
        database::Watch::begin(accept_call(&discovery).expect("the gateway calls discovery"))
            .expect("begun");
    watch
        .send(&format!("{}\n", endpoint_list_of(&gateway.config)))
        .expect("sent");
    assert!(
        reachable.elapsed() < Duration::from_secs(5),
        "called after {:?}",
        reachable.elapsed()
    );
    // New clients, of whom one sends a request.
    idle.extend((0..30).map(|_| Client::ready(&gateway)));
    databases
        .iter()
        .for_each(|database| database.gate.set(true));
    let last = idle.last_mut().expect("30 clients");
    last.send(&query(&read("asks")));
    assert_eq!(last.read_answer().0, "TDCZ");
    assert_eq!(
        busy.read_answer().0,
        "TDCZ",
        "a session with an open request is not closed"
    );
    assert!(open_descriptors(&gateway) <= 96);
}

fn open_descriptors(gateway: &Gateway) -> usize {
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id()));
    open.expect("a process").count()
}

/// A server accepts connections and never answers the startup message: each read is still served, by the other server.
#[test]
fn hanging_startup_only_delays_reads() {
    let (statements, _seen) = channel::<Vec<u8>>();
    let good = Database::start(true, true, &statements, |_| None);
    let listener = listen();
    let silent = listener.local_addr().expect("bound");
    // Keeps the accepted connections open.
    let accepted: Sender<TcpStream> = {
        let (sender, accepted) = channel();
        thread::spawn(move || accepted.into_iter().collect::<Vec<TcpStream>>());
        sender
    };
    thread::spawn(move || {
        listener
            .incoming()
            .flatten()
            .try_for_each(|client| accepted.send(client))
    });
    let (gateway, _log) =
        start_with_databases([good.address, silent], refusing_address(), |config| config);
    let mut client = Client::ready(&gateway);
    for n in 0..10 {
        client.send(&query(&read(&format!("r-{n}"))));
        assert_eq!(client.read_answer().0, "TDCZ");
    }
}

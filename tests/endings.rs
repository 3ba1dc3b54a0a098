//! The instants in which something ends while something is owed: docs/design/endings.md lists them. Bad orders are made to
//! happen by scripted peers, gates and a gateway that is stopped meanwhile; no test races.
mod process;
use asterreel_testbench::database as toy;
use process::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How long clients of a database that hangs wait for an answer, how much later it may come on a slow machine, and how much
/// earlier a router that sees no chance left may fail the request.
const WAIT: Duration = Duration::from_millis(2_000);
const LATE: Duration = Duration::from_millis(700);
const EARLY: Duration = Duration::from_millis(200);

/// A read whose client waits so long.
fn read_within(id: &str, wait: Duration) -> Vec<u8> {
    let wait = format!("d={}", wait.as_millis());
    let comment = format!("/* id={id},c=search,{wait},cluster=0,k=1 */");
    [
        &b"SELECT payload FROM entries WHERE ref = 'ff' "[..],
        comment.as_bytes(),
    ]
    .concat()
}

/// A primary and a replica that answer at once.
fn primary_and_replica(seen: &Sender<Vec<u8>>) -> [Database; 2] {
    [true, false].map(|primary| Database::start(primary, true, seen, |_| None))
}

fn addresses_of(databases: &[Database; 2]) -> [SocketAddr; 2] {
    [databases[0].address, databases[1].address]
}

/// An address where nobody listens.
fn nowhere() -> SocketAddr {
    listen().local_addr().expect("bound")
}

fn id(statement: &[u8]) -> String {
    let text = String::from_utf8_lossy(statement).into_owned();
    let from = text.find("id=").map_or(0, |at| at + 3);
    text[from..]
        .split(',')
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// A gateway in front of two replicas: writes are queued until one of them reports that it is the primary.
struct Fixture {
    gateway: Gateway,
    log: Log,
    databases: [Database; 2],
    seen: Receiver<Vec<u8>>,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::answering(|_| None)
    }

    fn answering(instead: fn(&[u8]) -> Option<Vec<u8>>) -> Fixture {
        let (statements, seen) = channel();
        let databases = [(); 2].map(|()| Database::start(false, true, &statements, instead));
        let places = addresses_of(&databases);
        let (gateway, log) = staged(places, nowhere(), |config| config);
        Fixture {
            gateway,
            log,
            databases,
            seen,
        }
    }

    /// The same, and neither database answers statements.
    fn hanging() -> Fixture {
        let fixture = Fixture::new();
        fixture
            .databases
            .iter()
            .for_each(|database| database.gate.set(false));
        fixture
    }

    /// The same, and a client whose write is queued.
    fn with_queued_write(name: &str) -> (Fixture, Client) {
        let fixture = Fixture::new();
        let mut client = Client::ready(&fixture.gateway);
        client.send(&query(&write(name)));
        fixture.wait_until_queued(name);
        (fixture, client)
    }

    /// Asserts that the gateway takes the client for gone, and dispatches nothing of it even to a primary that turns up.
    fn assert_gone_and_nothing_dispatched(&self) {
        assert!(self
            .log
            .says("session ended: the client disconnected or stopped reading"));
        self.promote_primary();
        assert_eq!(self.take_reached_ids(), [""; 0]);
    }

    /// Waits until this write has been tried at replicas as often as it may be, and is only queued from then on.
    fn wait_until_queued(&self, write: &str) {
        for _ in 0..7 {
            while id(&self.seen.recv_timeout(PATIENCE).expect("offered")) != write {}
        }
    }

    /// Makes the first replica the primary and waits until new writes are served, before which queued ones had their turn.
    fn promote_primary(&self) {
        self.databases[0].primary.store(true, Ordering::SeqCst);
        for proof in ["proof-1", "proof-2"] {
            let mut client = Client::ready(&self.gateway);
            client.send(&query(&write(proof)));
            assert_eq!(client.answer().0, "TDCZ");
        }
    }

    /// The ids of the statements that have reached a server since the last call, but for those of `promote_primary`.
    fn take_reached_ids(&self) -> Vec<String> {
        let ids = self.seen.try_iter().map(|statement| id(&statement));
        ids.filter(|id| !id.starts_with("proof")).collect()
    }
}

/// A write that is queued is not dispatched once its client has closed the connection.
#[test]
fn queued_write_is_dropped_when_client_closes() {
    let (fixture, client) = Fixture::with_queued_write("gone");
    drop(client);
    fixture.assert_gone_and_nothing_dispatched();
}

/// A write that is queued is not dispatched once its client has reset the connection.
#[test]
fn queued_write_is_dropped_when_client_resets() {
    let fixture = Fixture::new();
    let mut client = Client::connect(&fixture.gateway);
    client.send(&[startup(), query(&write("gone"))].concat());
    fixture.wait_until_queued("gone");
    // The welcome is still unread: this close is a reset.
    drop(client);
    fixture.assert_gone_and_nothing_dispatched();
}

/// A client that closes only its sending side has gone: nothing can tell it from one that closed both.
#[test]
fn half_closed_client_counts_as_gone() {
    let (fixture, mut client) = Fixture::with_queued_write("half");
    client.0.shutdown(std::net::Shutdown::Write).expect("shut");
    fixture.assert_gone_and_nothing_dispatched();
    assert_eq!(client.answer().0, "", "closed");
}

/// What a client sent ahead of its close is not dispatched either.
#[test]
fn pipelined_request_of_gone_client_is_dropped() {
    let (fixture, mut client) = Fixture::with_queued_write("first");
    let ahead: Vec<u8> = (0..5)
        .flat_map(|n| query(&read(&format!("ahead-{n}"))))
        .collect();
    client.send(&ahead);
    drop(client);
    fixture.assert_gone_and_nothing_dispatched();
}

/// A session stops reading at the longest message sent ahead; the close behind that must be seen all the same, and neither
/// the queued write nor what was sent after it is dispatched.
#[test]
fn client_close_is_seen_behind_unread_bytes() {
    let (fixture, mut client) = Fixture::with_queued_write("first");
    let one = query(&[&read("ahead")[..], &vec![b' '; 20_000]].concat());
    (0..10).for_each(|_| client.send(&one));
    drop(client);
    fixture.log.says_within(
        "session ended: the client disconnected or stopped reading",
        Duration::from_secs(5),
    );
    fixture.promote_primary();
    assert_eq!(fixture.take_reached_ids(), [""; 0]);
}

/// The gateway is stopped while thirty clients leave and a primary turns up: nothing of theirs is dispatched.
#[test]
fn requests_of_a_burst_of_gone_clients_are_dropped() {
    let fixture = Fixture::new();
    let mut clients: Vec<Client> = (0..30).map(|_| Client::ready(&fixture.gateway)).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&query(&write(&format!("gone-{n}"))));
    }
    fixture.wait_until_queued("gone-0");
    // Those behind it in the queue were offered less often or not at all.
    while fixture
        .seen
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
            .says("session ended: the client disconnected or stopped reading"))
    });
    fixture.promote_primary();
    assert_eq!(fixture.take_reached_ids(), [""; 0]);
}

/// The first attempt ends with an error in the very moment in which the client leaves: no second one starts.
#[test]
fn retry_is_not_started_for_gone_client() {
    let broken = |statement: &[u8]| {
        statement
            .starts_with(b"SELECT")
            .then(|| toy::error("XX000", "broken"))
    };
    let fixture = Fixture::answering(broken);
    fixture
        .databases
        .iter()
        .for_each(|database| database.gate.set(false));
    let mut client = Client::ready(&fixture.gateway);
    client.send(&query(&read("gone")));
    fixture
        .seen
        .recv_timeout(PATIENCE)
        .expect("a first attempt");
    fixture.gateway.signal("-STOP");
    drop(client);
    fixture
        .databases
        .iter()
        .for_each(|database| database.gate.set(true));
    // Both are there before it goes on: what a database writes is on its way at once on this machine.
    thread::sleep(Duration::from_millis(100));
    fixture.gateway.signal("-CONT");
    fixture.assert_gone_and_nothing_dispatched();
}

/// A cancel request with the key of a session ends its request, as in PostgreSQL; one with any other key does nothing.
#[test]
fn cancel_requires_the_right_key() {
    let fixture = Fixture::new();
    fixture.databases[0].primary.store(true, Ordering::SeqCst);
    let (mut client, key) = Client::with_key(&fixture.gateway);
    let (other, others) = Client::with_key(&fixture.gateway);
    assert_ne!(
        key[4..],
        others[4..],
        "each session has a secret of its own"
    );
    drop(other);
    // Between two requests there is nothing to cancel, and the next is not touched.
    let cancel = |key: &[u8]| {
        let mut asks = Client::connect(&fixture.gateway);
        asks.send(&cancel_request(key));
        assert_eq!(asks.answer().0, "", "no answer");
    };
    cancel(&key);
    client.send(&query(&write("before")));
    assert_eq!(client.answer().0, "TDCZ");
    fixture.databases[0].gate.set(false);
    client.send(&query(&write("held")));
    while id(&fixture.seen.recv_timeout(PATIENCE).expect("sent")) != "held" {}
    let wrong = [&key[..4], &[key[4] ^ 1], &key[5..]].concat();
    cancel(&wrong);
    cancel(&others);
    client.0.set_nonblocking(true).expect("set");
    assert_eq!(
        client.0.peek(&mut [0]).expect_err("no answer yet").kind(),
        ErrorKind::WouldBlock
    );
    client.0.set_nonblocking(false).expect("set");
    cancel(&key);
    let (tags, bytes) = client.answer();
    assert_eq!((tags.as_str(), code(&bytes)), ("EZ", &b"57014"[..]));
    fixture.databases[0].gate.set(true);
    client.send(&query(&read("after")));
    assert_eq!(client.answer().0, "TDCZ", "the session goes on");
    assert_eq!(
        fixture.take_reached_ids(),
        ["after"],
        "what was cancelled is not sent again"
    );
}

/// A request that is queued when its client cancels it is answered and never dispatched.
#[test]
fn cancelled_request_is_not_dispatched() {
    let fixture = Fixture::new();
    let (mut client, key) = Client::with_key(&fixture.gateway);
    client.send(&query(&write("waits")));
    fixture.wait_until_queued("waits");
    let mut asks = Client::connect(&fixture.gateway);
    asks.send(&cancel_request(&key));
    let (tags, bytes) = client.answer();
    assert_eq!((tags.as_str(), code(&bytes)), ("EZ", &b"57014"[..]));
    fixture.promote_primary();
    assert_eq!(fixture.take_reached_ids(), [""; 0]);
}

/// After SIGTERM clients send on every connection that stays open, up to SIGKILL. A client that always has a next request
/// must not keep its session, and the process, until it is killed with one unanswered.
#[test]
fn busy_client_does_not_delay_a_drain() {
    let (statements, seen) = channel();
    let databases = primary_and_replica(&statements);
    let (mut gateway, log) = staged(addresses_of(&databases), nowhere(), |config| config);
    // One waits for each answer, the other sends on and on without looking.
    let mut asks = Client::ready(&gateway);
    let mut sends = Client::ready(&gateway);
    let mut sending = sends.0.try_clone().expect("cloned");
    let begun = Instant::now();
    let writer = thread::spawn(move || {
        // Ten at a time, so that some are always there; for far longer than a drain takes, but not for ever.
        (0..).step_by(10).find(|first| {
            let ten: Vec<u8> = (*first..first + 10)
                .flat_map(|n| query(&read(&format!("sent-{n}"))))
                .collect();
            thread::sleep(Duration::from_millis(1));
            begun.elapsed() > PATIENCE || sending.write_all(&ten).is_err()
        });
    });
    let reader = thread::spawn(move || {
        let mut answers = 0;
        while sends
            .0
            .peek(&mut [0])
            .expect("an answer or an end, and no reset")
            > 0
        {
            assert_eq!(sends.answer().0, "TDCZ", "whole, after {answers}");
            answers += 1;
        }
        answers
    });
    let mut answers = 0;
    gateway.signal("-TERM");
    assert!(log.says("draining"));
    let drained = Instant::now();
    while drained.elapsed() < PATIENCE {
        asks.send(&query(&read(&format!("asked-{answers}"))));
        if asks
            .0
            .peek(&mut [0])
            .expect("an answer or an end, and no reset")
            == 0
        {
            break;
        }
        assert_eq!(asks.answer().0, "TDCZ", "whole, after {answers}");
        answers += 1;
    }
    assert!(answers > 0, "served on for as long as clients may come");
    gateway.exits_well();
    // Nothing is owed 0.75 s after the signal but what was read by then.
    assert!(
        drained.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        drained.elapsed()
    );
    let served = reader.join().expect("no reset");
    writer.join().expect("it ends");
    drop(gateway);
    // Each that reached a database was answered: nothing that was read after the end was forwarded.
    let reached = seen
        .try_iter()
        .filter(|statement| id(statement).starts_with("sent"))
        .count();
    assert_eq!(reached, served);
}

/// A close over unread bytes resets the connection, and what was written last may go with it: a client that has sent more
/// than was read still gets its last answer and an end.
#[test]
fn unread_bytes_do_not_reset_the_last_answer() {
    let (statements, _seen) = channel();
    let databases = primary_and_replica(&statements);
    let (gateway, _log) = staged(addresses_of(&databases), nowhere(), |config| config);
    let mut client = Client::ready(&gateway);
    // No message, and then far more than one read takes in.
    client.send(&[&[0xff; 5][..], &[b'x'; 100_000]].concat());
    let rest = client.end().expect("an end and no reset");
    assert_eq!((rest[0], code(&rest)), (b'E', &b"08P01"[..]));
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
    let rest = client.end().expect("an end and no reset");
    assert!(
        rest.windows(8).any(|bytes| bytes == b"SELECT 1"),
        "the answer before its goodbye"
    );
}

/// A server sends notices without end, as fast as it can: the request ends at its deadline, and others are served meanwhile.
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
            .for_each(|client| drop(thread::spawn(move || pour(client))))
    });
    let (gateway, _log) = staged([good.address, endless], nowhere(), |config| config);
    let begun = Instant::now();
    let mut waiting = Client::ready(&gateway);
    let statement = String::from_utf8_lossy(&read("endless")).replace("d=60000", "d=1500");
    waiting.send(&query(statement.as_bytes()));
    let mut served = 0;
    while waiting.0.set_nonblocking(true).is_ok()
        && waiting.0.peek(&mut [0]).is_err()
        && begun.elapsed() < PATIENCE
    {
        let mut other = Client::ready(&gateway);
        other.send(&query(&write(&format!("other-{served}"))));
        assert_eq!(other.answer().0, "TDCZ");
        served += 1;
    }
    waiting.0.set_nonblocking(false).expect("set");
    let tags = waiting.answer().0;
    assert!(tags == "EZ" || tags == "TDCZ", "{tags}");
    assert!(
        served > 0 && begun.elapsed() < Duration::from_secs(10),
        "{served} in {:?}",
        begun.elapsed()
    );
}

/// A server that starts sessions and reports as a replica in step, and answers statements with notices without end.
fn pour(mut client: TcpStream) -> std::io::Result<()> {
    toy::read_body(&mut client)?;
    client.write_all(&[toy::message(b'R', &[0; 4]), toy::message(b'Z', b"I")].concat())?;
    let notices = toy::message(b'S', b"server_version\x0015\0").repeat(2_000);
    loop {
        let mut tag = [0];
        client.read_exact(&mut tag)?;
        let body = toy::read_body(&mut client)?;
        let position = asterreel_testbench::now() / 1000;
        if body.starts_with(b"SHOW usage") {
            let role = toy::Role::Replica;
            client.write_all(
                &[toy::report(role, position, 0.1), toy::note(role, position)].concat(),
            )?;
            continue;
        }
        loop {
            client.write_all(&notices)?;
        }
    }
}

/// The time of each request that a client sends at once runs from its own last byte, whatever stands before it: each is
/// answered in its time while a server hangs.
#[test]
fn pipelined_requests_keep_their_own_deadlines() {
    let fixture = Fixture::hanging();
    let mut client = Client::ready(&fixture.gateway);
    let sent = Instant::now();
    let all: Vec<u8> = (0..5)
        .flat_map(|n| query(&read_within(&format!("r-{n}"), WAIT)))
        .collect();
    client.send(&all);
    for n in 0..5 {
        assert_eq!(client.answer().0, "EZ", "request {n}");
        assert!(
            sent.elapsed() < WAIT + LATE,
            "request {n} is answered after {:?}",
            sent.elapsed()
        );
    }
    // The session goes on, and a request that comes later has all of its time.
    fixture
        .databases
        .iter()
        .for_each(|database| database.gate.set(true));
    client.send(&query(&read("after")));
    assert_eq!(client.answer().0, "TDCZ");
    // Nothing was begun for those whose time was over when their turn came.
    let lines = fixture
        .log
        .lines_up_to("request done request=2 ", PATIENCE)
        .expect("logged");
    let arrived = lines
        .iter()
        .filter(|line| line.contains("RequestArrived(Arrival"))
        .count();
    let over = lines
        .iter()
        .filter(|line| line.contains("deadline passed before the request was handled"))
        .count();
    assert_eq!((arrived, over), (2, 4), "the first and the last");
}

/// The first request and half of the second come in one read, the rest of it byte by byte, its end in one read with the
/// complete third: the time of the second and third runs from then on, neither from their first bytes nor from their turn.
#[test]
fn deadline_runs_from_the_last_byte_of_a_request() {
    let fixture = Fixture::hanging();
    let mut client = Client::ready(&fixture.gateway);
    let [first, second, third] = ["r-1", "r-2", "r-3"].map(|id| query(&read_within(id, WAIT)));
    let (front, back) = second.split_at(second.len() / 2);
    let (pieces, end) = back.split_at(back.len() - 3);
    let sent = Instant::now();
    client.send(&[&first[..], front].concat());
    for piece in pieces.chunks(pieces.len().div_ceil(10)) {
        thread::sleep(WAIT / 20);
        client.send(piece);
    }
    client.send(&[end, &third[..]].concat());
    let whole = Instant::now();
    // A slow machine may take longer over the pieces, but must not be done before the first is given up.
    assert!(sent.elapsed() < WAIT, "written while the first still waits");
    assert_eq!(client.answer().0, "EZ");
    assert!(
        sent.elapsed() < WAIT + LATE,
        "the first is answered after {:?}",
        sent.elapsed()
    );
    for n in [2, 3] {
        assert_eq!(client.answer().0, "EZ");
        let took = whole.elapsed();
        assert!(
            took > WAIT - EARLY && took < WAIT + LATE,
            "request {n} is answered after {took:?}"
        );
    }
}

/// Listens at an address only from now on: until then calls are refused.
fn listen_again(place: SocketAddr) -> TcpListener {
    (0..500)
        .find_map(|_| {
            thread::sleep(Duration::from_millis(10));
            TcpListener::bind(place).ok()
        })
        .expect("the place is free")
}

/// Whatever happened to the calls before, the next one comes within 6 s after discovery can be reached again, less the 2 s
/// that it may wait in discovery's queue: the backoff does not grow beyond that with refusals or the size of the fleet.
#[test]
fn discovery_is_called_in_time_after_refusals() {
    let plays = [1, 30, 300].map(|fleet| {
        thread::spawn(move || {
            // An address of its own: nobody else is given its port meanwhile.
            let mut place = own_address();
            place.set_port(8_500);
            let fleet_size = format!("\"FleetSize\": {fleet}");
            let change = |config: String| {
                config
                    .replace("\"FleetSize\": 1,", &format!("{fleet_size},"))
                    .replace("10000000,", "60000000,")
            };
            let (gateway, log) = staged([nowhere(), nowhere()], place, change);
            assert!(
                gateway.config.contains(&fleet_size)
                    && gateway.config.contains("\"AskEveryUs\": 60000000")
            );
            (0..4).for_each(|_| assert!(log.says("watch lost"), "refused"));
            let back = Instant::now();
            let discovery = listen_again(place);
            called(&discovery).expect("it calls");
            (fleet, back.elapsed())
        })
    });
    // All of them, before anything is asserted: none may be left behind.
    let played: Vec<_> = plays.into_iter().map(thread::JoinHandle::join).collect();
    let took: Vec<_> = played
        .into_iter()
        .map(|play| play.expect("called"))
        .collect();
    // One second more for the machine.
    assert!(
        took.iter().all(|(_, took)| *took < Duration::from_secs(5)),
        "fleets, called after: {took:?}"
    );
}

/// A list counts from when the agent has it: a watch that ends is opened again at once, in a fleet of any size.
#[test]
fn ended_watch_on_agent_is_reopened_at_once() {
    let agent = listen();
    let _gateway = pushed(&agent, 300);
    for _ in 0..6 {
        let watch = toy::Watch::begin(called(&agent).expect("a watch")).expect("begun");
        drop(watch);
        let ended = Instant::now();
        let again = called(&agent).expect("it calls again");
        assert!(
            ended.elapsed() < Duration::from_secs(1),
            "called again after {:?}",
            ended.elapsed()
        );
        drop(again);
    }
}

/// A gateway is ready from the known list whatever discovery does: refuses, sends nothing, or can't be reached at all.
#[test]
fn restarted_gateway_serves_from_known_list() {
    let silent = listen();
    // Nobody ever accepts there, and its queue is full.
    let full = listen();
    let place = full.local_addr().expect("bound");
    let queue: Vec<_> = (0..200)
        .map(|_| TcpStream::connect_timeout(&place, Duration::from_millis(20)))
        .collect();
    let places = [nowhere(), silent.local_addr().expect("bound"), place];
    for place in places {
        for fleet in [1, 300] {
            let (statements, _seen) = channel();
            let databases = primary_and_replica(&statements);
            let begun = Instant::now();
            let addresses = addresses_of(&databases);
            let change = |config: String| {
                config.replace("\"FleetSize\": 1,", &format!("\"FleetSize\": {fleet},"))
            };
            let (gateway, _log) = staged(addresses, place, change);
            let mut client = Client::ready(&gateway);
            client.send(&query(b""));
            assert_eq!(client.answer().0, "IZ", "ready");
            client.send(&query(&write("w")));
            assert_eq!(client.answer().0, "TDCZ");
            assert!(
                begun.elapsed() < Duration::from_secs(5),
                "{:?} after its start",
                begun.elapsed()
            );
        }
    }
    drop(queue);
}

/// Idle clients may use all descriptors of clients while discovery is down: when it is back, it is watched at once, servers
/// are reached, and a new client is served in the place of an idle one.
#[test]
fn idle_clients_leave_descriptors_for_the_rest() {
    let mut place = own_address();
    place.set_port(8_500);
    let (statements, seen) = channel();
    let databases = primary_and_replica(&statements);
    let addresses = addresses_of(&databases);
    let (gateway, log) = staged(addresses, place, |config| config.replace("1024", "96"));
    let mut resting: Vec<Client> = (0..60).map(|_| Client::ready(&gateway)).collect();
    databases
        .iter()
        .for_each(|database| database.gate.set(false));
    let mut busy = Client::ready(&gateway);
    busy.send(&query(&write("busy")));
    while id(&seen.recv_timeout(PATIENCE).expect("sent")) != "busy" {}
    assert!(log.says("watch lost"), "discovery is down");
    let held = descriptors(&gateway);
    assert!(held <= 96, "{held} descriptors");
    let discovery = listen_again(place);
    let back = Instant::now();
    let mut watch = toy::Watch::begin(called(&discovery).expect("it calls")).expect("begun");
    watch
        .tell(&format!("{}\n", list_of(&gateway.config)))
        .expect("sent");
    assert!(
        back.elapsed() < Duration::from_secs(5),
        "called after {:?}",
        back.elapsed()
    );
    // New clients, of whom one sends a request.
    resting.extend((0..30).map(|_| Client::ready(&gateway)));
    databases
        .iter()
        .for_each(|database| database.gate.set(true));
    let last = resting.last_mut().expect("30 clients");
    last.send(&query(&read("asks")));
    assert_eq!(last.answer().0, "TDCZ");
    assert_eq!(busy.answer().0, "TDCZ", "none is closed inside a request");
    assert!(descriptors(&gateway) <= 96);
}

fn descriptors(gateway: &Gateway) -> usize {
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.process.id()));
    open.expect("a process").count()
}

/// One server accepts and never answers the startup message, another closes each connection in the moment it is idle: reads
/// go to the next, and a write in the way of such a close has not run twice.
#[test]
fn hanging_connect_costs_a_read_only_time() {
    let (statements, _seen) = channel::<Vec<u8>>();
    let good = Database::start(true, true, &statements, |_| None);
    let listener = listen();
    let place = listener.local_addr().expect("bound");
    let kept: Sender<TcpStream> = {
        let (keep, kept) = channel();
        thread::spawn(move || kept.into_iter().collect::<Vec<TcpStream>>());
        keep
    };
    thread::spawn(move || {
        listener
            .incoming()
            .flatten()
            .try_for_each(|client| kept.send(client))
    });
    let (gateway, _log) = staged([good.address, place], nowhere(), |config| config);
    let mut client = Client::ready(&gateway);
    for n in 0..10 {
        client.send(&query(&read(&format!("r-{n}"))));
        assert_eq!(client.answer().0, "TDCZ");
    }
}

//! Gateways whose discovery fails: no requests to members that were removed or drained meanwhile, and calls in time.
mod process;
use process::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The fleet's size in the incident that these tests reproduce.
const FLEET: &str = "\"FleetSize\": 312";
/// A change counts as notified after this time, even if calls failed.
const NOTIFICATION_DEADLINE: Duration = Duration::from_secs(6);
/// The drain grace of the settings, plus the platform's slack.
const DRAIN_GRACE: Duration = Duration::from_millis(2_050);
/// How much later a call may begin on a slow machine.
const SLOW_MACHINE_ALLOWANCE: Duration = Duration::from_millis(500);

/// A database that records when statements arrive.
struct RecordedDatabase {
    database: Database,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RecordedDatabase {
    fn start(primary: bool) -> RecordedDatabase {
        let (sender, statements) = channel();
        let database = Database::start(primary, true, &sender, |_| None);
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recording = arrivals.clone();
        thread::spawn(move || record_arrivals(&statements, &recording));
        RecordedDatabase { database, arrivals }
    }

    /// How many statements arrived after a time.
    fn statements_after(&self, from: Instant) -> usize {
        self.arrivals
            .lock()
            .expect("not poisoned")
            .iter()
            .filter(|at| **at > from)
            .count()
    }
}

fn primary_and_replica() -> (RecordedDatabase, RecordedDatabase) {
    (
        RecordedDatabase::start(true),
        RecordedDatabase::start(false),
    )
}

fn record_arrivals(statements: &Receiver<Vec<u8>>, arrivals: &Mutex<Vec<Instant>>) {
    for _ in statements {
        arrivals.lock().expect("not poisoned").push(Instant::now());
    }
}

/// A gateway of the incident's fleet in front of a primary and a replica.
fn start_in_fleet(
    databases: [&RecordedDatabase; 2],
    discovery: SocketAddr,
    seed: &str,
) -> (Gateway, Log) {
    let change = |config: String| {
        let changed = config
            .replace("\"FleetSize\": 1", FLEET)
            .replace("8c1f30d27a5be964", seed);
        assert!(changed.contains(FLEET) && changed.contains(seed));
        changed
    };
    start_with_databases(
        databases.map(|watched| watched.database.address),
        discovery,
        change,
    )
}

/// The replica's entry in a list, with this phase.
fn replica_entry(phase: &str, address: SocketAddr) -> String {
    format!(
        "{{\"id\":\"s-two\",\"host_port\":\"{address}\",\"locality\":\"here\",\"flavor\":\"toy\",\"cell\":0,\
         \"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0,\"access\":\"reader\"}}"
    )
}

/// A delta as discovery writes it, on one line.
fn delta(revision: u64, entries: &str) -> String {
    format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{entries}]}}\n")
}

/// Answers every watch with this list, then with heartbeats, until the watch ends.
fn serve_list(discovery: TcpListener, list: String) {
    thread::spawn(move || asterreel_testbench::database::discovery(&discovery, list.trim_end()));
}

/// Accepts the next call to discovery; `None` if there is none within this time.
fn next_call(discovery: &TcpListener, within: Duration) -> Option<TcpStream> {
    asterreel_testbench::bounded::accept(discovery, within).ok()
}

/// A started gateway sends nothing to a member that was removed before its start, once the removal is binding. Guards
/// against a late first call: in a fleet of 312, restarted gateways called discovery up to 7.4 s after their start and
/// used the list that they had before until then, so that removed members got requests after the removal was binding.
/// With this seed the first call was delayed by 5.9 s.
#[test]
fn removal_before_start_binds_in_time() {
    let (primary, replica) = primary_and_replica();
    let discovery = listen();
    let address = discovery.local_addr().expect("bound");
    let removed_at = Instant::now();
    serve_list(
        discovery,
        delta(2, &replica_entry("gone", replica.database.address)),
    );
    let downtime = Duration::from_secs(4);
    thread::sleep(downtime);
    let (gateway, _log) = start_in_fleet([&primary, &replica], address, "0000000000000007");
    let binds_at = removed_at + NOTIFICATION_DEADLINE + DRAIN_GRACE;
    let mut client = Client::ready(&gateway);
    let mut number = 0;
    while Instant::now() < binds_at + Duration::from_secs(1) {
        client.send(&query(&read(&format!("r{number}"))));
        client.read_answer();
        number += 1;
        thread::sleep(Duration::from_millis(10));
    }
    let late = replica.statements_after(binds_at);
    assert_eq!(
        late, 0,
        "of {number} requests some reached a member after its removal was binding"
    );
    assert!(
        primary.statements_after(removed_at) > 50,
        "the primary served too few requests meanwhile"
    );
}

/// An update counts as notified even if it did not arrive completely, so after a truncated update, or one that stops while
/// heartbeats continue, the next call must be made at once. Guards against a next call up to 4 s after a truncated update,
/// and against heartbeats that keep a watch open although the rest of an update never arrives.
#[test]
fn truncated_update_is_requested_again_at_once() {
    let (primary, replica) = primary_and_replica();
    let discovery = listen();
    let address = discovery.local_addr().expect("bound");
    let (_gateway, _log) = start_in_fleet([&primary, &replica], address, "8c1f30d27a5be964");
    let list = delta(2, &replica_entry("draining", replica.database.address));
    let mut call = next_call(&discovery, WAIT_LIMIT).expect("a first call");
    for cut in [1, 9, 40, list.len() / 2, list.len() - 3] {
        let mut watch = asterreel_testbench::database::Watch::begin(call).expect("begun");
        watch.send(&delta(1, "")).expect("told");
        watch.send(&list[..cut]).expect("told");
        drop(watch);
        let cut_at = Instant::now();
        call = next_call(&discovery, WAIT_LIMIT).expect("a further call");
        let took = cut_at.elapsed();
        assert!(
            took < Duration::from_millis(500) + SLOW_MACHINE_ALLOWANCE,
            "cut at {cut}: called again after {took:?}"
        );
    }
    let mut watch = asterreel_testbench::database::Watch::begin(call).expect("begun");
    watch.send(&list[..40]).expect("told");
    let stopped_at = Instant::now();
    while next_call(&discovery, Duration::from_millis(500)).is_none() {
        let _ = watch.send("\n");
        assert!(
            stopped_at.elapsed() < Duration::from_secs(5),
            "heartbeats keep a watch whose update never ends"
        );
    }
}

/// Reads a call, lets it wait for 2 s as in the queue of an overloaded discovery, and rejects it.
fn reject_after_queueing(mut call: TcpStream) {
    use std::io::{Read, Write};
    let mut head = [0; 512];
    let _ = call.read(&mut head);
    thread::sleep(Duration::from_secs(2));
    let _ = call.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
}

/// Guards against the fault of report ad44e2: each call that failed in discovery's queue extended the time for the next
/// one, by up to 2 s after up to 4 s for the first. In a fleet of 312 a gateway must begin three calls before updates
/// that its lost watch missed are binding.
#[test]
fn failed_calls_follow_each_other_in_time() {
    let (primary, replica) = primary_and_replica();
    let discovery = listen();
    let address = discovery.local_addr().expect("bound");
    let (_gateway, _log) = start_in_fleet([&primary, &replica], address, "8c1f30d27a5be964");
    let call = next_call(&discovery, WAIT_LIMIT).expect("a first call");
    let mut watch = asterreel_testbench::database::Watch::begin(call).expect("begun");
    watch.send(&delta(1, "")).expect("told");
    thread::sleep(Duration::from_millis(200));
    drop(watch);
    let lost_at = Instant::now();
    let mut began = Vec::new();
    for _ in 0..3 {
        let call = next_call(&discovery, WAIT_LIMIT).expect("a further call");
        began.push(lost_at.elapsed());
        thread::spawn(move || reject_after_queueing(call));
    }
    for (at, latest) in began
        .iter()
        .zip([2_000, 4_500, 7_000].map(Duration::from_millis))
    {
        assert!(
            *at <= latest + SLOW_MACHINE_ALLOWANCE,
            "calls began {began:?} after the loss"
        );
    }
}

/// Whether a gateway accepts clients.
fn accepts_clients(gateway: &Gateway) -> bool {
    TcpStream::connect(gateway.address).is_ok()
}

/// The age of the list in the configuration is unknown: no client is accepted before discovery's list has arrived, but a
/// discovery that never answers delays a gateway by 3.5 s only.
#[test]
fn clients_wait_for_first_list_or_timeout() {
    let (primary, replica) = primary_and_replica();
    for answers in [true, false] {
        let discovery = listen();
        let address = discovery.local_addr().expect("bound");
        let started_at = Instant::now();
        let (gateway, log) = start_in_fleet([&primary, &replica], address, "8c1f30d27a5be964");
        let call = next_call(&discovery, WAIT_LIMIT).expect("a first call");
        assert!(
            started_at.elapsed() < Duration::from_secs(2) + SLOW_MACHINE_ALLOWANCE,
            "{:?}",
            started_at.elapsed()
        );
        assert!(
            !accepts_clients(&gateway),
            "a client was accepted before a list had arrived"
        );
        if answers {
            let mut watch = asterreel_testbench::database::Watch::begin(call).expect("begun");
            watch.send(&delta(1, "")).expect("told");
            assert!(
                log.wait_for_line("serving"),
                "the gateway did not serve after its list had arrived"
            );
            assert!(accepts_clients(&gateway));
        } else {
            assert!(log.wait_for_line("no list from discovery yet"));
            assert!(log.wait_for_line("serving"));
            let took = started_at.elapsed();
            let expected = Duration::from_millis(3_400)..Duration::from_millis(4_500);
            assert!(expected.contains(&took), "served after {took:?}");
        }
    }
}

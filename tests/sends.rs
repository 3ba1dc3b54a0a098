//! What may change between the decision for an attempt and the write of its statement, with a gateway's process and databases
//! whose connections come up late.

mod process;

use process::*;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

/// When a database answers the startup of a connection that it has withheld: long after the short window of repeats.
const LATE_STARTUP: Duration = Duration::from_secs(3);

/// A gateway in front of a primary and a replica; its bookings are repeatable within a window.
struct Fixture {
    gateway: Gateway,
    _log: Log,
    primary: Database,
    /// The statements that reached the databases.
    statements: Receiver<Vec<u8>>,
}

impl Fixture {
    fn with_window(window: Duration) -> Fixture {
        let (sender, statements) = channel();
        let primary = Database::start(true, true, &sender, |_| None);
        let replica = Database::start(false, true, &sender, |_| None);
        let discovery = listen().local_addr().expect("bound");
        let guarded = format!(
            "\"Effect\": \"guarded\", \"Group\": \"cell\", \"DedupWindowUs\": {}",
            window.as_micros()
        );
        let change = |config: String| {
            config
                .replace("\"Effect\": \"single_shot\"", &guarded)
                .replace(
                    "\"ConnectTimeoutUs\": 250000",
                    "\"ConnectTimeoutUs\": 20000000",
                )
        };
        let addresses = [primary.address, replica.address];
        let (gateway, log) = start_with_databases(addresses, discovery, change);
        Fixture {
            gateway,
            _log: log,
            primary,
            statements,
        }
    }

    /// Sends a write and waits until it is at the primary, which does not answer it.
    fn send_write(&self, id: &str) -> Client {
        self.primary.gate.set(false);
        let mut client = Client::ready(&self.gateway);
        client.send(&query(&write(id)));
        let statement = self.statements.recv_timeout(WAIT_LIMIT).expect("a write");
        assert!(contains_id(&statement, id));
        client
    }

    /// Ends all connections to the primary; the startup of new ones waits from now on, and statements are answered.
    fn disconnect_primary(&self) {
        self.primary.startups.set(false);
        // The gate opens last: the primary could answer the first attempt otherwise, which is allowed, and no repeat is due.
        self.primary.disconnect_all();
        self.primary.gate.set(true);
    }
}

fn contains_id(statement: &[u8], id: &str) -> bool {
    String::from_utf8_lossy(statement).contains(&format!("id={id},"))
}

/// A write with an idempotency key was sent again after the window in which its group drops repeats, and ran twice: the
/// window was compared when the repeat was decided, and not when the connection for it was ready.
#[test]
fn repeat_is_not_sent_after_its_window() {
    let fixture = Fixture::with_window(Duration::from_secs(1));
    let mut client = fixture.send_write("late");
    let sent_at = Instant::now();
    fixture.disconnect_primary();
    let startups = fixture.primary.startups.clone();
    thread::spawn(move || {
        thread::sleep(LATE_STARTUP);
        startups.set(true);
    });
    let (_, answer) = client.read_answer();
    // It may have run, so that it is not rejected, and its client hears at once that it is given up.
    assert_eq!(error_code(&answer), b"58000");
    assert!(sent_at.elapsed() < LATE_STARTUP, "the answer is late");
    fixture.primary.startups.wait_until_open();
    let mut other = Client::ready(&fixture.gateway);
    other.send(&query(&write("other")));
    assert_eq!(other.read_answer().0, "TDCZ");
    let later: Vec<Vec<u8>> = fixture.statements.try_iter().collect();
    assert!(later
        .iter()
        .any(|statement| contains_id(statement, "other")));
    assert!(!later.iter().any(|statement| contains_id(statement, "late")));
}

/// Within the window a repeat waits for its connection and is sent.
#[test]
fn repeat_within_its_window_is_sent() {
    let fixture = Fixture::with_window(Duration::from_secs(20));
    let mut client = fixture.send_write("repeated");
    fixture.disconnect_primary();
    thread::sleep(Duration::from_millis(300));
    fixture.primary.startups.set(true);
    assert_eq!(client.read_answer().0, "TDCZ");
    let repeat = fixture.statements.recv_timeout(WAIT_LIMIT);
    assert!(contains_id(&repeat.expect("a repeat"), "repeated"));
}

/// Three clients left while the gateway was stopped, and the connections for their writes became ready before: their attempts got
/// their turn before the sessions that saw the clients leave, and were sent.
#[test]
fn write_is_not_sent_for_a_client_that_left_before_its_connection_was_ready() {
    let fixture = Fixture::with_window(Duration::from_secs(20));
    let mut clients: Vec<Client> = (0..3).map(|_| Client::ready(&fixture.gateway)).collect();
    fixture.disconnect_primary();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&query(&write(&format!("gone-{number}"))));
    }
    fixture.primary.wait_for_connections(clients.len());
    fixture.gateway.signal("-STOP");
    fixture.primary.startups.set(true);
    // The startups' answers must have arrived before the closes; on loopback 100 ms are enough.
    thread::sleep(Duration::from_millis(100));
    drop(clients);
    thread::sleep(Duration::from_millis(100));
    fixture.gateway.signal("-CONT");
    let mut other = Client::ready(&fixture.gateway);
    other.send(&query(&write("other")));
    assert_eq!(other.read_answer().0, "TDCZ");
    let sent: Vec<Vec<u8>> = fixture.statements.try_iter().collect();
    assert!(sent.iter().any(|statement| contains_id(statement, "other")));
    let late = sent
        .iter()
        .filter(|statement| String::from_utf8_lossy(statement).contains("id=gone-"));
    assert_eq!(late.count(), 0);
}

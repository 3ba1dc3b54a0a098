//! The memory of a gateway's process, which stays under `limits.memory_mb` whatever its clients send.

mod process;

use process::*;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

/// `limits.memory_mb` of the gateway.
const MEMORY_MB: usize = 32;
/// The memory that the gateway may take at most: 90% of its limit, KiB.
const MAX_MEMORY_KIB: u64 = MEMORY_MB as u64 * 1024 * 9 / 10;
/// Clients that send a long message each: together several times the limit.
const CLIENTS: usize = 250;
/// The longest value of a write, bytes; written with two characters each.
const VALUE_BYTES: usize = 64 * 1024;
/// How many bytes of a message are withheld.
const WITHHELD_BYTES: usize = 100;

/// A gateway with little memory and many descriptors, and its databases, which answer while the gate is open.
struct Fixture {
    gateway: Gateway,
    _log: Log,
    databases: [Database; 2],
}

impl Fixture {
    fn new() -> Fixture {
        let (sender, _statements) = channel();
        let databases =
            [true, false].map(|primary| Database::start(primary, true, &sender, |_| None));
        let addresses = [databases[0].address, databases[1].address];
        let discovery = listen().local_addr().expect("bound");
        let memory = format!("\"memory_mb\": {MEMORY_MB}");
        let (gateway, log) = start_with_databases(addresses, discovery, |config| {
            assert!(config.contains("\"sockets\": 1024"));
            config.replace("\"memory_mb\": 192", &memory)
        });
        drop(Client::ready(&gateway));
        Fixture {
            gateway,
            _log: log,
            databases,
        }
    }

    /// The process's memory that no file backs, KiB.
    fn memory_kib(&self) -> u64 {
        let pid = self.gateway.process.id();
        asterreel_testbench::process::anonymous_kib(pid).expect("the gateway runs")
    }

    fn assert_memory_is_bounded(&self) {
        let memory = self.memory_kib();
        assert!(memory <= MAX_MEMORY_KIB, "{memory} of {MAX_MEMORY_KIB} KiB");
    }

    /// A small request of another client is served.
    fn assert_served(&self, id: &str) {
        let mut client = Client::ready(&self.gateway);
        client.send(&query(&read(id)));
        assert_eq!(client.read_answer().0, "TDCZ", "{id}");
    }
}

/// A write with the longest value.
fn long_write(id: &str) -> Vec<u8> {
    let value = "9f".repeat(VALUE_BYTES);
    let statement = format!(
        "INSERT INTO entries VALUES ('k', '\\x{value}') RETURNING payload /* id={id},c=booking,d=20000,cluster=0 */"
    );
    query(statement.as_bytes())
}

/// The answer is a row, or a rejection of a request of which nothing ran. Returns whether it is a row.
fn is_served(client: &mut Client) -> bool {
    let (tags, answer) = client.read_answer();
    if tags == "TDCZ" {
        return true;
    }
    assert_eq!((&tags[..], error_code(&answer)), ("EZ", &b"53300"[..]));
    false
}

/// Clients that stopped in the middle of a long write took the gateway over its limit. What can't be held is read and dropped,
/// and small requests are served meanwhile.
#[test]
fn unfinished_requests_are_bounded() {
    let fixture = Fixture::new();
    let clients: Vec<Client> = (0..CLIENTS)
        .map(|number| {
            let message = long_write(&format!("long-{number}"));
            let mut client = Client::ready(&fixture.gateway);
            client.send(&message[..message.len() - WITHHELD_BYTES]);
            if number % 50 == 0 {
                fixture.assert_served(&format!("meanwhile-{number}"));
            }
            fixture.assert_memory_is_bounded();
            client
        })
        .collect();
    fixture.assert_served("afterwards");
    fixture.assert_memory_is_bounded();
    drop(clients);
}

/// Long writes at a primary that hangs are held up to the bound; all others are rejected, at once.
#[test]
fn requests_at_a_hanging_primary_are_bounded() {
    let fixture = Fixture::new();
    fixture.databases[0].gate.set(false);
    let mut clients: Vec<Client> = (0..CLIENTS / 2)
        .map(|number| {
            let mut client = Client::ready(&fixture.gateway);
            let ids = [format!("first-{number}"), format!("second-{number}")];
            client.send(&ids.map(|id| long_write(&id)).concat());
            fixture.assert_memory_is_bounded();
            client
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    fixture.assert_memory_is_bounded();
    fixture.databases[0].gate.set(true);
    let served = clients
        .iter_mut()
        .flat_map(|client| [is_served(client), is_served(client)])
        .filter(|served| *served)
        .count();
    assert!(served > 0, "some fit");
    fixture.assert_memory_is_bounded();
}

/// A startup message of very many short parameters was read up to 132 KiB; it is rejected once its length is known.
#[test]
fn opening_of_many_parameters_is_rejected() {
    let fixture = Fixture::new();
    let length = 131_000u32.to_be_bytes();
    let parameters = b"a\0b\0".repeat(32_000);
    let opening = [&length[..], &[0, 3, 0, 0], &parameters].concat();
    for _ in 0..CLIENTS / 10 {
        let mut client = Client::connect(&fixture.gateway);
        let sent_at = Instant::now();
        client.send(&opening);
        let (tags, answer) = client.read_answer();
        let took = sent_at.elapsed();
        assert!(took < Duration::from_secs(1), "rejected after {took:?}");
        assert_eq!((&tags[..], error_code(&answer)), ("E", &b"08P01"[..]));
        fixture.assert_memory_is_bounded();
    }
    fixture.assert_served("afterwards");
}

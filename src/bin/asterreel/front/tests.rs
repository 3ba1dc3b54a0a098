use super::*;
use crate::core::{Command, CommandMailbox, Core, HealthCheck};
use crate::postgres as pg;
use crate::request::pool::Pool;
use crate::runtime::coroutine::spawn;
use crate::runtime::timer::Timer;
use asterreel::config::Config;
use asterreel::interface::*;
use asterreel_control::clock::Clock;
use asterreel_testbench::database as test_database;
use may::net::TcpListener;
use may::sync::mpsc::channel;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A limit that no step reaches, even on a slow machine; also the connect timeout, for which an attempt at the silent
/// database lasts.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway in this process, the address for its clients, and the listener of its only database, a primary.
struct Fixture {
    gateway: Arc<Gateway>,
    clients: SocketAddr,
    database: std::net::TcpListener,
}

impl Fixture {
    fn new() -> Fixture {
        may::config().set_workers(1).set_worker_pin(false);
        let database = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let database_address = database.local_addr().expect("bound").to_string();
        let example = include_str!("../../../../examples/config.json")
            .replace("127.0.0.1:5501", &database_address);
        let config = Config::parse(example.as_bytes(), |_| None).expect("valid");
        let clock = Clock::start();
        let timer = Timer::new(clock);
        let ((health_checks, requested_checks), (watches, _requested_watches)) =
            (channel(), channel());
        let core = Arc::new(
            Core::new(&config, clock, timer.clone(), health_checks, watches).expect("valid"),
        );
        core.listed(UpdateKind::CachedSnapshot, &config.known_endpoints)
            .expect("valid");
        let primary = MemberReport {
            role: Some(Role::Primary),
            position: None,
        };
        let checks: Vec<HealthCheck> = requested_checks.try_iter().collect();
        let check = checks
            .iter()
            .find(|check| check.address.to_string() == database_address);
        core.health_check_ended(
            check.expect("a check of the primary").member,
            Outcome::Served,
            primary,
        );
        let timer_core = core.clone();
        thread::spawn(move || timer.clone().run(|| timer_core.timer_fired()));
        let connect_timeout = TIMEOUT.as_micros() as Micros;
        let pool = Arc::new(Pool::new(
            clock,
            core.timer.clone(),
            10,
            15_000_000,
            connect_timeout,
        ));
        let (setup, settings) = (&config.setup, &config.settings);
        let gateway = Arc::new(Gateway::new(
            core,
            pool,
            setup,
            settings,
            ClientLimits::new(100, 1024),
            None,
        ));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let clients = listener.local_addr().expect("bound");
        let accepting = gateway.clone();
        spawn(move || accept(&accepting, &listener));
        Fixture {
            gateway,
            clients,
            database,
        }
    }

    /// A client whose startup is complete.
    fn client(&self) -> TcpStream {
        let mut client = TcpStream::connect(self.clients).expect("connected");
        client.set_read_timeout(Some(TIMEOUT)).expect("set");
        client.write_all(&pg::startup()).expect("sent");
        while read_tag(&mut client) != b'Z' {}
        client
    }

    /// Sends a command to the only session, as the router does.
    fn send(&self, command: Command) {
        let mailbox = self
            .gateway
            .sessions
            .with_open(|sessions| sessions.values().next().cloned());
        mailbox.expect("a session").send(command);
    }
}

/// Reads the next message and returns its tag.
fn read_tag(client: &mut TcpStream) -> u8 {
    let mut tag = [0];
    client.read_exact(&mut tag).expect("a message in time");
    test_database::read_body(client).expect("a complete message");
    tag[0]
}

fn write_query(id: &str) -> Vec<u8> {
    pg::simple_query(&format!(
        "INSERT INTO entries VALUES ('k') /* id={id},c=booking,d=3000,cluster=0 */"
    ))
}

/// The router rejects a request and cancels its attempt while the attempt waits for its connection to be ready, a wait
/// that a cancellation does not end. The client gets the rejection at once and only once, and its next request is
/// handled after the end of that attempt.
#[test]
fn rejection_is_sent_before_cancelled_attempt_ends() {
    let fixture = Fixture::new();
    let mut client = fixture.client();
    client
        .write_all(&[write_query("first"), write_query("second")].concat())
        .expect("sent");
    let (mut silent, _) = fixture.database.accept().expect("an attempt");
    test_database::read_body(&mut silent).expect("a startup message, which is not answered");
    let decided_at = Instant::now();
    fixture.send(Command::Reject { retry_after: None });
    fixture.send(Command::CancelAttempt(AttemptNo(0)));
    assert_eq!(read_tag(&mut client), b'E');
    assert!(
        decided_at.elapsed() < Duration::from_secs(2),
        "rejected after {:?}",
        decided_at.elapsed()
    );
    // Neither ReadyForQuery nor another attempt follows.
    thread::sleep(Duration::from_millis(300));
    client.set_nonblocking(true).expect("set");
    fixture.database.set_nonblocking(true).expect("set");
    assert_eq!(
        client.peek(&mut [0]).expect_err("no more").kind(),
        ErrorKind::WouldBlock
    );
    assert_eq!(
        fixture.database.accept().expect_err("no attempt").kind(),
        ErrorKind::WouldBlock
    );
    client.set_nonblocking(false).expect("set");
    fixture.database.set_nonblocking(false).expect("set");
    // The connection is ready only now: nothing is written to it, and the next request does not use it.
    silent
        .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
        .expect("ready");
    assert_eq!(silent.read(&mut [0]).expect("an end"), 0);
    assert_eq!(read_tag(&mut client), b'Z');
    let (connection, _) = fixture
        .database
        .accept()
        .expect("the next request's attempt");
    let answer = [
        test_database::row(b"second"),
        test_database::answer_end(
            test_database::Role::Primary,
            asterreel_testbench::now() / 1000,
        ),
    ]
    .concat();
    thread::spawn(move || {
        test_database::session(connection, move |_| {
            test_database::Reply::Answer(answer.clone())
        })
    });
    assert_eq!([(); 4].map(|()| read_tag(&mut client)), *b"TDCZ");
    client.set_nonblocking(true).expect("set");
    assert_eq!(
        client.peek(&mut [0]).expect_err("no more").kind(),
        ErrorKind::WouldBlock
    );
}

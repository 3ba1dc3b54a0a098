use super::*;
use crate::core::{Command, CommandMailbox, Core, HealthCheck};
use crate::postgres as pg;
use crate::request::pool::Pool;
use crate::runtime::coroutine::spawn;
use crate::runtime::timer::Timer;
use asterreel::config::Config;
use asterreel::interface::*;
use asterreel_control::clock::Clock;
use asterreel_testbench::database as toy;
use may::net::TcpListener;
use may::sync::mpsc::channel;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Far beyond what anything here takes on a slow machine, and as long as an attempt at the silent database lasts.
const PATIENCE: Duration = Duration::from_secs(20);

/// A gateway in front of one primary, in this process, with its clients' and the database's addresses.
struct Fixture {
    gateway: Arc<Gateway>,
    clients: SocketAddr,
    database: std::net::TcpListener,
}

impl Fixture {
    fn new() -> Fixture {
        may::config().set_workers(1).set_worker_pin(false);
        let database = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let place = database.local_addr().expect("bound").to_string();
        let example =
            include_str!("../../../../examples/config.json").replace("127.0.0.1:5501", &place);
        let config = Config::parse(example.as_bytes(), |_| None).expect("good");
        let clock = Clock::start();
        let timer = Timer::new(clock);
        let ((probes, asked), (watches, _watched)) = (channel(), channel());
        let core =
            Arc::new(Core::new(&config, clock, timer.clone(), probes, watches).expect("good"));
        core.listed(UpdateKind::CachedSnapshot, &config.known_endpoints)
            .expect("good");
        let primary = MemberReport {
            role: Some(Role::Primary),
            position: None,
        };
        let checks: Vec<HealthCheck> = asked.try_iter().collect();
        let listed = checks
            .iter()
            .find(|check| check.address.to_string() == place);
        core.health_check_ended(listed.expect("probed").member, Outcome::Served, primary);
        let woken = core.clone();
        thread::spawn(move || timer.clone().run(|| woken.timer_fired()));
        let connect_timeout = PATIENCE.as_micros() as Micros;
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

    /// A client that has been welcomed.
    fn client(&self) -> TcpStream {
        let mut client = TcpStream::connect(self.clients).expect("connected");
        client.set_read_timeout(Some(PATIENCE)).expect("set");
        client.write_all(&pg::startup()).expect("sent");
        while message(&mut client) != b'Z' {}
        client
    }

    /// Sends the only session a command as the router would.
    fn send(&self, command: Command) {
        let mailbox = self
            .gateway
            .sessions
            .with_open(|sessions| sessions.values().next().cloned());
        mailbox.expect("a session").send(command);
    }
}

/// The tag of the next message.
fn message(client: &mut TcpStream) -> u8 {
    let mut tag = [0];
    client.read_exact(&mut tag).expect("a message in time");
    toy::read_body(client).expect("whole");
    tag[0]
}

fn write(id: &str) -> Vec<u8> {
    pg::simple_query(&format!(
        "INSERT INTO entries VALUES ('k') /* id={id},c=booking,d=3000,cluster=0 */"
    ))
}

/// The router's rejection comes while the attempt that it cancels still waits for a connection to be ready, which nothing
/// shortens. The client gets the rejection at once, once, and its next request waits for the end of that attempt.
#[test]
fn rejection_is_sent_before_cancelled_attempt_ends() {
    let fixture = Fixture::new();
    let mut client = fixture.client();
    client
        .write_all(&[write("first"), write("second")].concat())
        .expect("sent");
    let (mut silent, _) = fixture.database.accept().expect("an attempt");
    toy::read_body(&mut silent).expect("a startup message, which is not answered");
    let decided = Instant::now();
    fixture.send(Command::Reject { retry_after: None });
    fixture.send(Command::CancelAttempt(AttemptNo(0)));
    assert_eq!(message(&mut client), b'E');
    assert!(
        decided.elapsed() < Duration::from_secs(2),
        "rejected after {:?}",
        decided.elapsed()
    );
    // Neither the end of the answer nor another attempt.
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
    // The connection comes up now, too late: nothing is written to it, and it isn't used for the next request either.
    silent
        .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
        .expect("welcomed");
    assert_eq!(silent.read(&mut [0]).expect("an end"), 0);
    assert_eq!(message(&mut client), b'Z');
    let (serving, _) = fixture
        .database
        .accept()
        .expect("the next request's attempt");
    let answer = [
        toy::row(b"second"),
        toy::note(toy::Role::Primary, asterreel_testbench::now() / 1000),
    ]
    .concat();
    thread::spawn(move || toy::session(serving, move |_| toy::Reply::Answer(answer.clone())));
    assert_eq!([(); 4].map(|()| message(&mut client)), *b"TDCZ");
    client.set_nonblocking(true).expect("set");
    assert_eq!(
        client.peek(&mut [0]).expect_err("no more").kind(),
        ErrorKind::WouldBlock
    );
}

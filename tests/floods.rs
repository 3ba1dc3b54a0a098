//! Clients that send without end, with a gateway's process: the others get their answers in time.

mod process;

use process::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How many clients send without end.
const FLOODING_CLIENTS: u64 = 4;
/// How many bytes each of them sends at once, at least.
const BYTES_AT_ONCE: usize = 64 * 1024;
/// How long each flood lasts.
const FLOOD_TIME: Duration = Duration::from_millis(1_500);
/// The time that the other clients give their requests.
const DEADLINE: Duration = Duration::from_millis(300);
/// An answer that comes this much after its deadline is lost; with 50 ms for the sockets.
const LOST_AFTER: Duration = Duration::from_millis(550);
/// Bytes of a long statement, near the most that is accepted.
const LONG_STATEMENT_BYTES: usize = 120_000;

/// When a client whose opening does not end gives up.
const GIVE_UP_AFTER: Duration = Duration::from_secs(5);
/// How many requests for encryption are sent at once.
const ENCRYPTION_REQUESTS_AT_ONCE: usize = 300;

/// What a flooding client sends; `number` is new in each message.
type Message = fn(number: u64) -> Vec<u8>;

/// A statement of this class.
fn read_of_class(number: u64, class: &str) -> Vec<u8> {
    query(format!("SELECT 1 /* id=f{number},c={class},d=1000,cluster=0 */").as_bytes())
}

fn new_class(number: u64) -> Vec<u8> {
    read_of_class(number, &format!("class-{number}"))
}

fn empty_statement(_: u64) -> Vec<u8> {
    query(b"")
}

fn setting(_: u64) -> Vec<u8> {
    query(b"SET a = 1")
}

fn without_comment(_: u64) -> Vec<u8> {
    query(b"SELECT 1 /* c=search,cluster=0 */")
}

fn without_time(number: u64) -> Vec<u8> {
    query(format!("SELECT 1 /* id=f{number},c=search,d=0,cluster=0 */").as_bytes())
}

fn extended_protocol(_: u64) -> Vec<u8> {
    use asterreel_testbench::database::message;
    [message(b'P', b"\0SELECT 1\0\0\0"), message(b'S', b"")].concat()
}

fn long_statement(_: u64) -> Vec<u8> {
    query(&vec![b'x'; LONG_STATEMENT_BYTES])
}

/// A request for encryption, which comes before the startup message.
fn encryption_request(_: u64) -> Vec<u8> {
    [8u32.to_be_bytes(), 80_877_103u32.to_be_bytes()].concat()
}

/// Clients that send without end until they are stopped, and read what is sent to them.
struct Flood {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(gateway: &Gateway, has_startup: bool, message: Message) -> Flood {
        let stop = Arc::new(AtomicBool::new(false));
        let clients = (0..FLOODING_CLIENTS).map(|client| {
            let (stop, address) = (stop.clone(), gateway.address);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    // An error means that the gateway has ended this connection; the client comes again.
                    let first = client << 32;
                    let _ = send_without_end(address, has_startup, message, first, &stop);
                }
            })
        });
        let clients = clients.collect();
        Flood { stop, clients }
    }

    /// Stops the clients and waits until they have ended.
    fn stop(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            client.join().expect("the client ends");
        }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn send_without_end(
    address: SocketAddr,
    has_startup: bool,
    message: Message,
    first_number: u64,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    let mut reading = stream.try_clone()?;
    let reader = thread::spawn(move || {
        let mut chunk = vec![0; 64 * 1024];
        while !matches!(reading.read(&mut chunk), Ok(0) | Err(_)) {}
    });
    if has_startup {
        stream.write_all(&startup())?;
    }
    let mut number = first_number;
    let mut sent = Ok(());
    while sent.is_ok() && !stop.load(Ordering::Relaxed) {
        let mut batch = Vec::new();
        while batch.len() < BYTES_AT_ONCE {
            batch.extend(message(number));
            number += 1;
        }
        sent = stream.write_all(&batch);
    }
    let _ = stream.shutdown(Shutdown::Both);
    reader.join().expect("the reader ends");
    sent
}

/// The longest time that an answer took while the flood lasted, of requests on an open connection and of new ones.
fn slowest_answer(gateway: &Gateway, has_startup: bool, message: Message) -> Duration {
    let mut open = Client::ready(gateway);
    let flood = Flood::start(gateway, has_startup, message);
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    let mut number = 0;
    while began.elapsed() < FLOOD_TIME {
        number += 1;
        let asked = Instant::now();
        let request = format!(
            "SELECT 1 /* id=u{number},c=search,d={},cluster=0 */",
            DEADLINE.as_millis()
        );
        open.send(&query(request.as_bytes()));
        open.read_answer();
        slowest = slowest.max(asked.elapsed());
        let asked = Instant::now();
        let mut new = Client::ready(gateway);
        new.send(&query(b""));
        assert_eq!(new.read_answer().0, "IZ");
        slowest = slowest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    flood.stop();
    slowest
}

fn assert_answers_in_time(has_startup: bool, floods: &[(&str, Message)]) {
    let gateway = start();
    for &(kind, message) in floods {
        let slowest = slowest_answer(&gateway, has_startup, message);
        assert!(
            slowest < DEADLINE + LOST_AFTER,
            "{kind}: an answer took {slowest:?}"
        );
    }
}

/// One client that always had a next message kept all other sockets and timers from being looked at, so that no other
/// client got an answer until it stopped.
#[test]
fn flooding_clients_delay_no_other() {
    let floods: [(&str, Message); 7] = [
        ("new classes", new_class),
        ("empty statements", empty_statement),
        ("settings", setting),
        ("neither id nor time", without_comment),
        ("no time left", without_time),
        ("extended protocol", extended_protocol),
        ("long statements", long_statement),
    ];
    assert_answers_in_time(true, &floods);
}

/// As above, with requests for encryption, which are answered before a session begins.
#[test]
fn encryption_requests_delay_no_other() {
    assert_answers_in_time(false, &[("encryption requests", encryption_request)]);
}

/// Requests for encryption kept a connection in its opening for as long as they came, although an opening has a time limit.
#[test]
fn endless_opening_ends_in_time() {
    let gateway = start();
    let mut client = Client::connect(&gateway);
    let opened_at = Instant::now();
    let mut writing = client.0.try_clone().expect("cloned");
    thread::spawn(move || {
        let batch = encryption_request(0).repeat(ENCRYPTION_REQUESTS_AT_ONCE);
        while opened_at.elapsed() < GIVE_UP_AFTER && writing.write_all(&batch).is_ok() {}
        let _ = writing.shutdown(Shutdown::Write);
    });
    let mut answers = Vec::new();
    let _ = client.0.read_to_end(&mut answers);
    let took = opened_at.elapsed();
    assert!(took < Duration::from_secs(3), "closed after {took:?}");
    assert!(answers.iter().filter(|byte| **byte == b'N').count() >= ENCRYPTION_REQUESTS_AT_ONCE);
}

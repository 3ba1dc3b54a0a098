use super::*;
use crate::runtime::timer::Timer;
use asterreel::interface::SendRefusal;
use std::io::Read;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;

/// More bytes than the buffers of a connection take while its peer reads nothing.
const LARGE_MESSAGE_BYTES: usize = 64 << 20;
/// How long the peer reads nothing.
const HELD_UP: Duration = Duration::from_millis(200);
/// Far longer than a test takes.
const FAR_AWAY_US: Micros = 60_000_000;

/// The state of a [`TestGate`] that the test sees and changes.
#[derive(Default)]
struct GateState {
    closed: AtomicBool,
    checks: AtomicU32,
}

/// A gate that is open until it is closed or its time is over.
struct TestGate {
    clock: Clock,
    write_by: Micros,
    state: Arc<GateState>,
}

impl WriteGate for TestGate {
    fn check(&self, _composed_at: Micros) -> Result<(), WriteRefusal> {
        self.state.checks.fetch_add(1, Ordering::SeqCst);
        if self.state.closed.load(Ordering::SeqCst) {
            return Err(WriteRefusal::Rule(SendRefusal::RepeatForbidden));
        }
        if self.clock.now() >= self.write_by {
            return Err(WriteRefusal::Stalled);
        }
        Ok(())
    }

    fn write_by(&self, _composed_at: Micros) -> Micros {
        self.write_by
    }
}

/// Writes a large message to a peer that starts to read when the returned sender is used or dropped. Returns also how the round
/// trip ends, and how many bytes the peer has read at the end of the connection.
fn write_to_held_up_peer(
    write_within: Micros,
    state: Arc<GateState>,
) -> (
    mpsc::Sender<()>,
    mpsc::Receiver<Result<(), ConnectionError>>,
    thread::JoinHandle<usize>,
) {
    may::config().set_workers(1).set_worker_pin(false);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (start_reading, started) = mpsc::channel();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = started.recv();
        let (mut total, mut chunk) = (0, vec![0; 1 << 16]);
        while let Ok(count @ 1..) = stream.read(&mut chunk) {
            total += count;
        }
        total
    });
    let (ended, end) = mpsc::channel();
    let clock = Clock::start();
    let timer = Timer::new(clock);
    let alarms = timer.clone();
    thread::spawn(move || alarms.run(|| ()));
    may::go!(move || {
        let mut stream = Stream::connect(address, FAR_AWAY_US, &timer).expect("connected");
        let gate = TestGate {
            clock,
            write_by: clock.now() + write_within,
            state,
        };
        let token = CancellationToken::new(clock.now() + FAR_AWAY_US);
        let message = vec![0; LARGE_MESSAGE_BYTES];
        let mut answer = Answer::default();
        let result = round_trip(&mut stream, &message, &gate, &mut answer, &token, clock);
        drop(stream);
        let _ = ended.send(result);
    });
    (start_reading, end, peer)
}

/// A write that a server held up went on when the server read again, whatever had ended meanwhile.
#[test]
fn held_up_write_is_judged_again_before_it_goes_on() {
    let state = Arc::<GateState>::default();
    let (start_reading, end, peer) = write_to_held_up_peer(FAR_AWAY_US, state.clone());
    // The second check follows the first bytes.
    while state.checks.load(Ordering::SeqCst) < 2 {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(HELD_UP);
    state.closed.store(true, Ordering::SeqCst);
    drop(start_reading);
    let refused = ConnectionError::Refused {
        refusal: WriteRefusal::Rule(SendRefusal::RepeatForbidden),
        begun: true,
    };
    assert_eq!(end.recv().expect("an end"), Err(refused));
    assert!(peer.join().expect("read") < LARGE_MESSAGE_BYTES);
}

/// A write that a server held up lasted until the request's deadline, and told the server a time that was long over.
#[test]
fn held_up_write_ends_when_its_time_is_over() {
    let (start_reading, end, peer) = write_to_held_up_peer(500_000, Arc::default());
    let refused = ConnectionError::Refused {
        refusal: WriteRefusal::Stalled,
        begun: true,
    };
    let ended = end.recv_timeout(Duration::from_micros(FAR_AWAY_US / 2));
    assert_eq!(ended.expect("an end in time"), Err(refused));
    drop(start_reading);
    assert!(peer.join().expect("read") < LARGE_MESSAGE_BYTES);
}

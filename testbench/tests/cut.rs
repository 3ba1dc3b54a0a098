//! A forwarder that is cut: which descriptors it holds for clients, and which bytes it forwards once it is healed. The
//! test is alone in its file, as it counts the descriptors of its process.

use asterreel_testbench::bounded;
use asterreel_testbench::gateway::free;
use asterreel_testbench::process;
use asterreel_testbench::scale::cut::Cut;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Number of connections that clients close while the forwarder is cut.
const CLOSED_CONNECTIONS: usize = 200;
/// Number of connections that are opened at once: fewer than the listener's backlog holds, as TCP retries a connection
/// that finds it full only after seconds.
const CONNECTIONS_AT_ONCE: usize = 50;
/// Time limit for each awaited event.
const TIMEOUT: Duration = Duration::from_secs(20);
const WORDS: &[u8] = b"said while the way was cut";
const ANSWER: &[u8] = b"said once it was healed";

fn descriptors() -> usize {
    process::descriptors(std::process::id()).expect("/proc of this process")
}

/// Waits until `count` descriptors are open, for at most `TIMEOUT`; returns the number that is open then.
fn await_descriptors(count: usize) -> usize {
    bounded::until(TIMEOUT, || (descriptors() == count).then_some(count))
        .unwrap_or_else(descriptors)
}

/// Connects a client and writes `WORDS`.
fn client_that_wrote(to: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(to).expect("connected");
    client.write_all(WORDS).expect("written");
    client
}

/// Reads as many bytes as `expected` has, within `TIMEOUT`.
fn read(stream: &mut TcpStream, expected: &[u8]) -> io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

#[test]
fn cut_holds_no_descriptors_of_clients_that_left_and_then_heals() {
    let target = TcpListener::bind("127.0.0.1:0").expect("a port");
    let forwarder = free(1).expect("a port")[0];
    let cut = Cut::start(vec![(forwarder, target.local_addr().expect("bound"))]).expect("started");
    cut.set(true);
    let before = descriptors();
    let mut clients = Vec::new();
    while clients.len() < CLOSED_CONNECTIONS {
        clients.extend((0..CONNECTIONS_AT_ONCE).map(|_| client_that_wrote(forwarder)));
        // Both ends of each connection belong to this process. The test waits until the forwarder has accepted all of
        // them: a connection that is closed before it is accepted would not show what the forwarder holds for it.
        let expected = before + 2 * clients.len();
        assert_eq!(
            await_descriptors(expected),
            expected,
            "descriptors with {} clients connected, all of them accepted",
            clients.len()
        );
    }
    drop(clients);
    let held = await_descriptors(before);
    assert_eq!(
        held, before,
        "descriptors after {CLOSED_CONNECTIONS} clients disconnected, and before they connected"
    );

    let mut waiting = client_that_wrote(forwarder);
    cut.set(false);
    let mut carried = bounded::accept(&target, TIMEOUT).expect("carried");
    assert_eq!(read(&mut carried, WORDS).expect("whole"), WORDS);
    carried.write_all(ANSWER).expect("written");
    assert_eq!(read(&mut waiting, ANSWER).expect("answered"), ANSWER);
}

//! A way that is cut: what it holds for clients meanwhile, and what it carries once it is healed. Alone in its file, as it
//! counts the descriptors of its process.

use asterreel_testbench::bounded;
use asterreel_testbench::gateway::free;
use asterreel_testbench::process;
use asterreel_testbench::scale::cut::Cut;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Connections that clients give up while the way is cut, and how many of them come at once: fewer than a listener's queue
/// holds, as a connection that finds it full is tried again by TCP, for seconds.
const GIVEN_UP: usize = 200;
const AT_ONCE: usize = 50;
/// Far longer than anything here takes.
const LONG: Duration = Duration::from_secs(20);
const WORDS: &[u8] = b"said while the way was cut";
const ANSWER: &[u8] = b"said once it was healed";

fn descriptors() -> usize {
    process::descriptors(std::process::id()).expect("it runs")
}

/// Looks at how many descriptors are open until there are so many, for `LONG` at most; says how many there are then.
fn await_descriptors(count: usize) -> usize {
    bounded::until(LONG, || (descriptors() == count).then_some(count)).unwrap_or_else(descriptors)
}

/// A client that has said its words.
fn said(to: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(to).expect("connected");
    client.write_all(WORDS).expect("written");
    client
}

/// Reads as many bytes as were expected, within `LONG`.
fn read(stream: &mut TcpStream, expected: &[u8]) -> io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(LONG))?;
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

#[test]
fn clients_that_give_up_hold_nothing_while_the_way_is_cut_and_one_that_waits_is_carried() {
    let far = TcpListener::bind("127.0.0.1:0").expect("a port");
    let near = free(1).expect("a port")[0];
    let cut = Cut::start(vec![(near, far.local_addr().expect("bound"))]).expect("started");
    cut.set(true);
    let before = descriptors();
    let mut clients = Vec::new();
    while clients.len() < GIVEN_UP {
        clients.extend((0..AT_ONCE).map(|_| said(near)));
        // Both ends of each connection are this process's. One that is not accepted yet when its client gives up would say
        // nothing of what the way holds for it.
        let expected = before + 2 * clients.len();
        assert_eq!(
            await_descriptors(expected),
            expected,
            "each of them is taken in"
        );
    }
    drop(clients);
    let held = await_descriptors(before);
    assert_eq!(
        held, before,
        "descriptors after {GIVEN_UP} clients gave up, and before they came"
    );

    let mut waiting = said(near);
    cut.set(false);
    let mut carried = bounded::accept(&far, LONG).expect("carried");
    assert_eq!(read(&mut carried, WORDS).expect("whole"), WORDS);
    carried.write_all(ANSWER).expect("written");
    assert_eq!(read(&mut waiting, ANSWER).expect("answered"), ANSWER);
}

//! Waits end at the event they wait for, or at their time limit.

use asterreel_testbench::bounded;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::Duration;

/// Time limit for events that occur.
const LONG: Duration = Duration::from_secs(20);
/// Time limit for events that do not occur.
const SHORT: Duration = Duration::from_millis(20);

#[test]
fn until_returns_a_found_value_or_none_after_the_time_limit() {
    assert_eq!(bounded::until(Duration::ZERO, || Some(7)), Some(7));
    let mut polls = 0;
    let found = bounded::until(LONG, || {
        polls += 1;
        (polls == 3).then_some(polls)
    });
    assert_eq!(found, Some(3));
    assert_eq!(bounded::until(SHORT, || None::<u8>), None);
}

#[test]
fn accept_returns_a_connection_or_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let missing = bounded::accept(&listener, SHORT).expect_err("no client connects");
    assert_eq!(missing.kind(), ErrorKind::TimedOut);
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let accepted = bounded::accept(&listener, LONG).expect("the client's connection");
    assert_eq!(
        accepted.peer_addr().expect("open"),
        client.local_addr().expect("open")
    );
}

#[test]
fn exit_returns_the_status_or_times_out() {
    let mut exiting = Command::new("false").spawn().expect("started");
    assert_eq!(
        bounded::exit(&mut exiting, LONG)
            .expect("the process exits")
            .code(),
        Some(1)
    );
    let mut running = Command::new("sleep").arg("60").spawn().expect("started");
    let error = bounded::exit(&mut running, SHORT).expect_err("the process is still running");
    running.kill().expect("the process was still running");
    running.wait().expect("the process was killed");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

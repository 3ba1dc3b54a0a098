//! Waits end, whether what they wait for comes or not.

use asterreel_testbench::bounded;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::Duration;

/// Long enough for what comes, and for nothing else waited for.
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(20);

#[test]
fn what_is_there_is_found_without_any_time_and_what_never_comes_is_given_up() {
    assert_eq!(bounded::until(Duration::ZERO, || Some(7)), Some(7));
    let mut looks = 0;
    let found = bounded::until(LONG, || {
        looks += 1;
        (looks == 3).then_some(looks)
    });
    assert_eq!(found, Some(3));
    assert_eq!(bounded::until(SHORT, || None::<u8>), None);
}

#[test]
fn a_connection_that_comes_is_taken_and_one_that_does_not_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let missing = bounded::accept(&listener, SHORT).expect_err("nobody comes");
    assert_eq!(missing.kind(), ErrorKind::TimedOut);
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let accepted = bounded::accept(&listener, LONG).expect("it comes");
    assert_eq!(
        accepted.peer_addr().expect("open"),
        client.local_addr().expect("open")
    );
}

#[test]
fn a_process_that_ends_says_how_and_one_that_goes_on_is_an_error() {
    let mut ends = Command::new("false").spawn().expect("started");
    assert_eq!(
        bounded::exit(&mut ends, LONG).expect("it ends").code(),
        Some(1)
    );
    let mut goes_on = Command::new("sleep").arg("60").spawn().expect("started");
    let error = bounded::exit(&mut goes_on, SHORT).expect_err("it goes on");
    goes_on.kill().expect("it still ran");
    goes_on.wait().expect("it ended");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

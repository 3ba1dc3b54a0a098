use super::*;
use std::net::TcpListener;

/// Runs as a coroutine and hands back what came of it.
fn in_coroutine<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    may::config().set_workers(1).set_worker_pin(false);
    may::go!(work).join().expect("no panic")
}

/// A pool of so many places, and a database that accepts one connection and closes it when told.
fn pool(most: usize) -> (Arc<Pool>, SocketAddr, std::sync::mpsc::Sender<()>) {
    let clock = Clock::start();
    let timer = Timer::new(clock);
    let pool = Arc::new(Pool::new(clock, timer, most, 15_000_000, 20_000_000));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (close, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut client, _) = listener.accept().expect("a client");
        let mut startup = vec![0; pg::startup().len()];
        client.read_exact(&mut startup).expect("a startup message");
        client
            .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            .expect("ready");
        let _ = told.recv();
    });
    (pool, address, close)
}

#[test]
fn a_connection_that_the_database_has_closed_is_never_used_again() {
    let (pool, address, close) = pool(4);
    let again = in_coroutine(move || {
        let until = pool.clock.now() + 20_000_000;
        let connection = pool.open(address, until).expect("opened");
        pool.keep(address, connection);
        let mut kept = pool.take(address).expect("still good");
        drop(close);
        // The end has arrived once it can be read; only then is the connection given back.
        while matches!(kept.stream.read_now(), Ok(None)) {
            kept.stream.wait();
        }
        pool.keep(address, kept);
        pool.take(address).is_none()
    });
    assert!(again);
}

#[test]
fn descriptors_in_use_are_counted_and_an_idle_connection_makes_room() {
    let (pool, address, _close) = pool(1);
    let (elsewhere, other, _close_other) = super::tests::pool(1);
    drop(elsewhere);
    let outcomes = in_coroutine(move || {
        let until = pool.clock.now() + 20_000_000;
        let held = pool.open(address, until).expect("opened");
        let full = pool.open(other, until).err();
        pool.keep(address, held);
        (
            full,
            pool.open(other, until).is_ok(),
            pool.take(address).is_none(),
        )
    });
    assert_eq!(outcomes, (Some(NoConnection::NoRoom), true, true));
}

#[test]
fn what_this_machine_is_out_of_is_not_blamed_on_the_database() {
    let error = |code: Errno| std::io::Error::from_raw_os_error(code as i32);
    // As Linux documents socket(2) and connect(2).
    for code in [
        Errno::EMFILE,
        Errno::ENFILE,
        Errno::ENOBUFS,
        Errno::ENOMEM,
        Errno::EADDRNOTAVAIL,
        Errno::EAGAIN,
        Errno::ENETDOWN,
        Errno::ENETUNREACH,
    ] {
        assert_eq!(blame(&error(code)), NoConnection::NoRoom, "{code}");
    }
    for code in [
        Errno::ECONNREFUSED,
        Errno::ECONNRESET,
        Errno::ETIMEDOUT,
        Errno::EHOSTUNREACH,
    ] {
        assert_eq!(blame(&error(code)), NoConnection::Failed, "{code}");
    }
}

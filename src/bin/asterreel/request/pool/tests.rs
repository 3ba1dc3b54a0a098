use super::*;
use std::net::TcpListener;

/// Runs `work` as a coroutine and returns its result.
fn in_coroutine<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    may::config().set_workers(1).set_worker_pin(false);
    may::go!(work).join().expect("no panic")
}

/// A pool of at most `max_connections` connections, and a server that accepts one and closes it when the sender is
/// dropped.
fn pool(max_connections: usize) -> (Arc<Pool>, SocketAddr, std::sync::mpsc::Sender<()>) {
    let clock = Clock::start();
    let timer = Timer::new(clock);
    let pool = Arc::new(Pool::new(
        clock,
        timer,
        max_connections,
        15_000_000,
        20_000_000,
    ));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (close, closed) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut client, _) = listener.accept().expect("a client");
        let mut startup = vec![0; pg::startup().len()];
        client.read_exact(&mut startup).expect("a startup message");
        client
            .write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            .expect("ready");
        let _ = closed.recv();
    });
    (pool, address, close)
}

#[test]
fn connection_closed_by_server_is_not_reused() {
    let (pool, address, close) = pool(4);
    let is_closed = in_coroutine(move || {
        let until = pool.clock.now() + 20_000_000;
        let connection = pool.open(address, until).expect("opened");
        pool.release(address, connection);
        let mut taken = pool.take_idle(address).expect("still open");
        drop(close);
        // The connection is released only once the server's close can be read from it.
        while matches!(taken.stream.read_now(), Ok(None)) {
            taken.stream.wait();
        }
        pool.release(address, taken);
        pool.take_idle(address).is_none()
    });
    assert!(is_closed);
}

#[test]
fn idle_connection_is_closed_at_the_limit() {
    let (pool, address, _close) = pool(1);
    let (unused_pool, other, _close_other) = super::tests::pool(1);
    drop(unused_pool);
    let outcomes = in_coroutine(move || {
        let until = pool.clock.now() + 20_000_000;
        let held = pool.open(address, until).expect("opened");
        let full = pool.open(other, until).err();
        pool.release(address, held);
        (
            full,
            pool.open(other, until).is_ok(),
            pool.take_idle(address).is_none(),
        )
    });
    assert_eq!(outcomes, (Some(AcquireError::NoCapacity), true, true));
}

#[test]
fn local_errors_do_not_count_against_the_server() {
    let error = |code: Errno| std::io::Error::from_raw_os_error(code as i32);
    // The error codes are those in the Linux manual pages of socket(2) and connect(2).
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
        assert_eq!(
            classify_error(&error(code)),
            AcquireError::NoCapacity,
            "{code}"
        );
    }
    for code in [
        Errno::ECONNREFUSED,
        Errno::ECONNRESET,
        Errno::ETIMEDOUT,
        Errno::EHOSTUNREACH,
    ] {
        assert_eq!(
            classify_error(&error(code)),
            AcquireError::ConnectFailed,
            "{code}"
        );
    }
}

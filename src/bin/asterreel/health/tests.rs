//! Health answers of a gateway whose request path is blocked on purpose.
use super::*;
use crate::core::Core;
use crate::request::pool::Pool;
use crate::runtime::timer::Timer;
use asterreel::config::Config;
use asterreel::interface::UpdateKind;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// Longer than any expected answer takes even on a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a gateway in this process whose databases do not exist; returns the address of its HTTP health front.
fn gateway() -> (Arc<Core>, Handle, SocketAddr) {
    let mut config =
        Config::parse(include_bytes!("../../../../examples/config.json"), |_| None).expect("good");
    // No database listens on this port.
    config
        .known_endpoints
        .members
        .iter_mut()
        .for_each(|member| member.address = "127.0.0.1:1".into());
    may::config()
        .set_workers(1)
        .set_stack_size(crate::runtime::coroutine::STACK_WORDS)
        .set_worker_pin(false);
    let clock = Clock::start();
    let timer = Timer::new(clock);
    let (probes, _) = may::sync::mpsc::channel();
    let (watches, _) = may::sync::mpsc::channel();
    let core = Arc::new(Core::new(&config, clock, timer.clone(), probes, watches).expect("good"));
    core.observe(&config.settings);
    let pool = Arc::new(Pool::new(clock, timer.clone(), 8, 15_000_000, 250_000));
    let timed_core = core.clone();
    std::thread::spawn(move || timer.run(|| timed_core.timer_fired()));
    core.listed(UpdateKind::Snapshot, &config.known_endpoints)
        .expect("good");
    // Ports that were free a moment ago; no other program uses this loopback address.
    let free_address = || {
        TcpListener::bind("127.83.7.1:0")
            .and_then(|listener| listener.local_addr())
            .expect("a port")
    };
    let (client, front) = (free_address(), free_address());
    let gateway = Arc::new(Gateway::new(
        core.clone(),
        pool,
        &config.setup,
        &config.settings,
        crate::front::ClientLimits::new(64, 256),
        None,
    ));
    let listener = may::net::TcpListener::bind(client).expect("bound");
    let accepting = gateway.clone();
    crate::runtime::coroutine::spawn(move || crate::front::accept(&accepting, &listener));
    let settings = serde_json::json!({
        "http": {"listen": front}, "connections": 4, "knobs": {"start_wait_ms": 0, "recover_after_ms": 200},
    });
    let settings: Health = serde_json::from_value(settings).expect("good");
    let handle = start("test", &settings, gateway, client).expect("started");
    (core, handle, front)
}

/// The status code and text of the answer for a path; the front must answer whatever is blocked.
fn get(front: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(front).expect("the front listens");
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).expect("set");
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    (text[9..12].parse().expect("a code"), text)
}

fn wait_for_code(front: SocketAddr, path: &str, wanted: u16) -> String {
    let began = Instant::now();
    loop {
        let (code, text) = get(front, path);
        if code == wanted {
            return text;
        }
        assert!(
            began.elapsed() < ANSWER_TIMEOUT,
            "{path} did not answer {wanted}, but: {text}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn health_reports_hung_while_the_worker_or_core_is_blocked() {
    let (core, handle, front) = gateway();
    wait_for_code(front, "/startupz", 200);
    assert_eq!(get(front, "/livez").0, 200);

    // A coroutine blocks the only worker until it is released.
    let (release, released) = std::sync::mpsc::channel::<()>();
    crate::runtime::coroutine::spawn(move || {
        assert!(released.recv().is_err());
    });
    let text = wait_for_code(front, "/livez", 503);
    assert!(
        text.contains("hung 0 hung") && text.contains("x-envoy-immediate-health-check-fail: true"),
        "{text}"
    );
    drop(release);
    wait_for_code(front, "/livez", 200);

    // A thread holds the core's lock until it is released.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let holder =
        std::thread::spawn(move || core.with_lock_held(|| assert!(released.recv().is_err())));
    wait_for_code(front, "/livez", 503);
    drop(release);
    holder.join().expect("no panic");
    wait_for_code(front, "/livez", 200);

    // A drain replaces any other status and is not cancelled.
    handle.terminate();
    assert!(wait_for_code(front, "/readyz", 503).contains("draining 0 drain"));
    assert_eq!(get(front, "/livez").0, 200);
    handle.stopping();
    let began = Instant::now();
    while !get(front, "/readyz").1.contains("stopping 0 drain") {
        assert!(began.elapsed() < ANSWER_TIMEOUT);
    }
}

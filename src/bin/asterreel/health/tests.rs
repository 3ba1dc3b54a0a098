//! The fronts of a gateway whose own request path is made to stand still.
use super::*;
use crate::core::Core;
use crate::request::pool::Pool;
use crate::runtime::timer::Timer;
use asterreel::config::Config;
use asterreel::interface::UpdateKind;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// As long as no machine, however crowded, should take.
const PATIENCE: Duration = Duration::from_secs(20);

/// A gateway in this process whose databases do not exist, and where its HTTP front listens.
fn gateway() -> (Arc<Core>, Handle, SocketAddr) {
    let mut config =
        Config::parse(include_bytes!("../../../../examples/config.json"), |_| None).expect("good");
    // Nobody listens there.
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
    let woken = core.clone();
    std::thread::spawn(move || timer.run(|| woken.timer_fired()));
    core.listed(UpdateKind::Snapshot, &config.known_endpoints)
        .expect("good");
    // Free a moment ago; nothing else of this machine picks an address of its own there.
    let port = || {
        TcpListener::bind("127.83.7.1:0")
            .and_then(|one| one.local_addr())
            .expect("a port")
    };
    let (client, front) = (port(), port());
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

/// What the front says of a path; it must say something, whatever stands still.
fn get(front: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(front).expect("the front listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    .expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    (text[9..12].parse().expect("a code"), text)
}

fn until(front: SocketAddr, path: &str, wanted: u16) -> String {
    let began = Instant::now();
    loop {
        let (code, text) = get(front, path);
        if code == wanted {
            return text;
        }
        assert!(began.elapsed() < PATIENCE, "{path} stays {text}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn health_answers_and_says_hung_while_the_worker_or_the_core_stands_still() {
    let (core, handle, front) = gateway();
    until(front, "/startupz", 200);
    assert_eq!(get(front, "/livez").0, 200);

    // A coroutine that blocks the one worker, until it is released.
    let (release, released) = std::sync::mpsc::channel::<()>();
    crate::runtime::coroutine::spawn(move || {
        assert!(released.recv().is_err());
    });
    let text = until(front, "/livez", 503);
    assert!(
        text.contains("hung 0 hung") && text.contains("x-envoy-immediate-health-check-fail: true"),
        "{text}"
    );
    drop(release);
    until(front, "/livez", 200);

    // The core's lock held by a thread that does not let go.
    let (release, released) = std::sync::mpsc::channel::<()>();
    let holder = std::thread::spawn(move || core.hold(|| assert!(released.recv().is_err())));
    until(front, "/livez", 503);
    drop(release);
    holder.join().expect("no panic");
    until(front, "/livez", 200);

    // A drain outranks all else, and nothing leads back.
    handle.terminate();
    assert!(until(front, "/readyz", 503).contains("draining 0 drain"));
    assert_eq!(get(front, "/livez").0, 200);
    handle.stopping();
    let began = Instant::now();
    while !get(front, "/readyz").1.contains("stopping 0 drain") {
        assert!(began.elapsed() < PATIENCE);
    }
}

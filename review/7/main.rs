//! Usual clients get their answers while some bad clients send what can't be served. See claim.txt.

#[path = "../common-2/mod.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Bad clients.
const BAD_CLIENTS: usize = 4;
/// Commands that a bad client sends at once.
const COMMANDS: usize = 300;
/// How long the bad clients go on, milliseconds.
const TROUBLE_MS: u64 = 10_000;
const USUAL_CLIENTS: usize = 4;
/// The time that a usual client waits for its answer, milliseconds.
const DEADLINE_MS: u64 = 1_200;
/// Up to this much later an answer earns nothing but is not lost, milliseconds; with the 50 ms of sockets.
const GRACE_MS: u64 = 550;
const WORK_MS: u64 = 60;

/// A database that answers a read after its work.
fn database(primary: bool) -> SocketAddr {
    let listener = listener();
    let address = listener.local_addr().expect("bound");
    serve_database(listener, move |statement, client| {
        if statement == "SHOW usage" {
            let now = now_us() / 1000;
            return client
                .write_all(&[load_report(primary, now), answer_end(primary, now)].concat());
        }
        sleep_ms(WORK_MS);
        client.write_all(&[row(b"seat"), answer_end(primary, now_us() / 1000)].concat())
    });
    address
}

/// Sends hundreds of commands of a class that doesn't exist at once, and each of them again as soon as it is turned
/// away. Reads all that is sent to it.
fn bad_client(to: SocketAddr, stop: &AtomicBool, turned_away: &AtomicU64) -> std::io::Result<()> {
    let mut reading = Client::connect(to)?.stream;
    let mut writing = reading.try_clone()?;
    reading.set_read_timeout(Some(Duration::from_millis(200)))?;
    let command = query("SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' /* id=bad,c=no-such-class,d=1200,cluster=0 */");
    writing.write_all(&command.repeat(COMMANDS))?;
    let (mut bytes, mut from) = (Vec::new(), 0);
    let mut chunk = vec![0; 256 * 1024];
    while !stop.load(Ordering::Relaxed) {
        let count = match reading.read(&mut chunk) {
            Ok(0) => break,
            Ok(count) => count,
            Err(_) => continue,
        };
        bytes.extend_from_slice(&chunk[..count]);
        let mut again = 0;
        while let Some(head) = bytes.get(from..from + 5) {
            let length = 1 + u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
            if bytes.len() < from + length {
                break;
            }
            // ReadyForQuery follows each error.
            again += usize::from(head[0] == b'Z');
            from += length;
        }
        bytes.drain(..from);
        from = 0;
        turned_away.fetch_add(again as u64, Ordering::Relaxed);
        writing.write_all(&command.repeat(again))?;
    }
    Ok(())
}

#[derive(Clone)]
struct Asked {
    id: String,
    sent_at: u64,
    answered_at: Option<u64>,
    answer: String,
}

/// A usual client: one request after the other, on one connection, each with an id of its own.
fn usual_client(to: SocketAddr, number: usize, stop: &AtomicBool, all: &Mutex<Vec<Asked>>) {
    let Ok(mut client) = Client::connect(to) else {
        return;
    };
    for request in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("u{number}-{request}");
        let statement = format!(
            "SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655' /* id={id},c=ride-search,d={DEADLINE_MS},cluster=0 */"
        );
        let mut asked = Asked {
            id,
            sent_at: now_us(),
            answered_at: None,
            answer: String::new(),
        };
        // The client gives its try up only long after its time, to see whether an answer comes at all.
        let _ = client
            .stream
            .set_read_timeout(Some(Duration::from_millis(TROUBLE_MS + 8_000)));
        let answer = client.ask(&statement);
        asked.answer = format!("{answer:?}");
        if !matches!(answer, Answer::End(_)) {
            asked.answered_at = Some(now_us());
        }
        let over = asked.answered_at.is_none();
        lock(all).push(asked);
        if over {
            return;
        }
        sleep_ms(100);
    }
}

fn case(run: &Run) -> Verdict {
    let databases: Vec<String> = (0..4)
        .map(|number| {
            entry(
                &format!("s-{number}"),
                database(number == 0),
                "linz-north",
                number == 0,
            )
        })
        .collect();
    let discovery = Discovery::start(&databases.join(","));
    let Some(gateway) = start_gateway(run, &discovery, 1024, 192) else {
        return Verdict::CouldNotRun("the gateway is not ready".into());
    };
    let (stop, stop_bad) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (all, turned_away) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(AtomicU64::new(0)),
    );
    let to = gateway.clients;
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (stop, all) = (stop.clone(), all.clone());
            thread::spawn(move || usual_client(to, number, &stop, &all))
        })
        .collect();
    sleep_ms(2_000);
    let began = now_us();
    if trouble() {
        note(format!(
            "{BAD_CLIENTS} bad clients begin, each with {COMMANDS} commands at once"
        ));
        for _ in 0..BAD_CLIENTS {
            let (stop, turned_away) = (stop_bad.clone(), turned_away.clone());
            thread::spawn(move || bad_client(to, &stop, &turned_away));
        }
    }
    // The front goes on asking.
    let front_stop = stop_bad.clone();
    let front = thread::spawn(move || {
        let mut slowest = 0;
        while !front_stop.load(Ordering::Relaxed) {
            let asked = now_us();
            let answered = TcpStream::connect(to).is_ok() && wait_ready(to, 1);
            slowest = slowest.max(now_us() - asked);
            if !answered {
                note("the front's empty query got no answer");
            }
            sleep_ms(100);
        }
        slowest
    });
    sleep_ms(TROUBLE_MS);
    stop_bad.store(true, Ordering::Relaxed);
    note(format!(
        "the bad clients end; they were turned away {} times",
        turned_away.load(Ordering::Relaxed)
    ));
    sleep_ms(3_000);
    stop.store(true, Ordering::Relaxed);
    for client in usual {
        let _ = client.join();
    }
    let slowest = front.join().unwrap_or(0);
    note(format!(
        "the slowest answer to the front's empty query came after {} ms",
        slowest / 1000
    ));
    if let Some(status) = gateway.process.ended() {
        note(format!("the gateway ended: {status}"));
    }
    let all = lock(&all).clone();
    let (mut before, mut lost) = (0, 0);
    for asked in &all {
        let took = asked.answered_at.map(|at| (at - asked.sent_at) / 1000);
        let is_lost = took.is_none_or(|took| took > DEADLINE_MS + GRACE_MS);
        if asked.sent_at < began {
            before += usize::from(!is_lost);
        }
        if is_lost || took.is_some_and(|took| took > DEADLINE_MS) {
            note(format!(
                "{}: sent at {:.1} ms, answered after {took:?} ms: {}",
                asked.id,
                record_ms(asked.sent_at),
                asked.answer
            ));
        }
        lost += usize::from(is_lost);
    }
    note(format!(
        "{} requests of usual clients, {before} answered before the bad clients, {lost} lost",
        all.len()
    ));
    if before < USUAL_CLIENTS {
        return Verdict::CouldNotRun("usual clients are not served without trouble".into());
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    run_case(60, case);
}

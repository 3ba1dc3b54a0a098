//! Case 1: a guarded write is sent again after the window in which its group drops repeats.
#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// `DedupWindowUs` of the guarded class, in milliseconds.
const WINDOW_MS: f64 = 1_000.0;
/// Every time limit is 50 ms longer on sockets.
const SLACK_MS: f64 = 50.0;
/// A gateway may be held up for so long between reading its clock and writing. It is not, here.
const HELD_UP_MS: f64 = 150.0;
/// The work of a write and of a read at a database.
const WORK_MS: u64 = 60;
const GROUPS: u32 = 3;
const TRIALS: u64 = 40;
/// One write in so many is met by a reset.
const RESET_EVERY: u64 = 4;
const SEED: u64 = 45;

const SETTINGS: &str = r#"{
 "Allowed":{"Cancel":true,"ConnIdleUs":30000000,"ConnectTimeoutUs":250000,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"MaxAttempts":10,"MaxRetryAfterUs":2000000,"MaxStreams":1,"MayProbe":true,"MayTell":false,"OpenCap":20000,"ParallelTries":false,"RetryAfter":true},
 "Clients":{"MarksRetry":true},"Customers":[],"Discovery":"automatic","Family":"replicas",
 "FamilyInfo":{"Checks":"await","CommitWaits":true,"Consistency":["lag_bound","mutate"],"PositionZeroUs":0,"ProgressTold":true,"RoleListed":"trailing","SessionMarks":"brought","StalenessBoundUs":[800000,0],"WaitUs":50000},
 "FleetSize":1,"Kinds":["stor"],"Layers":["tarif-db"],"Me":0,"OverShareWorth":0.1,"PeriodUs":5000,
 "Profiles":[
  {"DeadlineUs":1000000,"DedupWindowUs":3000000,"Effect":"free","Group":"all","LateWorth":0.0,"Name":"pris-visning","SloUs":300000,"Stream":false,"Worth":2.0},
  {"DeadlineUs":3000000,"DedupWindowUs":1000000,"Effect":"guarded","Group":"cell","LateWorth":0.3,"Name":"aflaesning-ind","SloUs":600000,"Stream":false,"Worth":4.0}],
 "Report":{"Names":["x0","x1","utilization"],"Source":"answers"},
 "Rules":{"AnswerSlackUs":20000,"AskEveryUs":10000000,"ColdUs":15000000,"DrainGraceUs":1000000,"FallMultiple":3.0,"FallUs":2000000,"StartCapacity":0.22},
 "Tier":0,"WeightKind":"none","WorthBy":"request","Zone":0,"Zones":["vejle-kaelder"]}"#;

/// A write as it came to the primary: when its last byte arrived, and whether it ran or was dropped as a repeat.
struct Sent {
    at: f64,
    ran: bool,
}

/// What the network does to the connections of a group's primary.
#[derive(Default)]
struct Trouble {
    /// Resets all connections so long after the next new write has arrived, milliseconds.
    reset_after: Option<u64>,
    /// The first connection after a reset comes up so late, milliseconds.
    late_by: Option<u64>,
    /// Whether a reset has happened since `late_by` was set.
    is_reset: bool,
    open: Vec<TcpStream>,
}

/// Connections to all databases, and those among them that came up late.
#[derive(Default)]
struct Connections {
    all: u64,
    late: u64,
}

struct Group {
    run: Arc<Run>,
    number: u32,
    sent: Mutex<BTreeMap<String, Vec<Sent>>>,
    trouble: Mutex<Trouble>,
    connections: Arc<Mutex<Connections>>,
}

impl Group {
    fn serve(self: &Arc<Group>, listener: std::net::TcpListener, is_primary: bool) {
        let group = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let group = group.clone();
                thread::spawn(move || group.connection(stream, is_primary));
            }
        });
    }

    /// How late this connection comes up; a third of all connections at most come up late.
    fn delay_of_new_connection(&self, is_primary: bool) -> u64 {
        let mut connections = lock(&self.connections);
        connections.all += 1;
        if !is_primary || 3 * (connections.late + 1) > connections.all {
            return 0;
        }
        let mut trouble = lock(&self.trouble);
        if !trouble.is_reset {
            return 0;
        }
        let Some(delay) = trouble.late_by.take() else {
            return 0;
        };
        connections.late += 1;
        self.run.log(&format!("group {}: a connection comes up {delay} ms late", self.number));
        delay
    }

    fn connection(&self, mut stream: TcpStream, is_primary: bool) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let accepted_at = self.run.now();
        let delay = self.delay_of_new_connection(is_primary);
        read_startup(&mut stream)?;
        self.run.wait_until(accepted_at + delay as f64);
        if is_primary {
            lock(&self.trouble).open.push(stream.try_clone()?);
        }
        stream.write_all(&startup_answer())?;
        loop {
            let (tag, body) = read_message(&mut stream)?;
            let at = self.run.now();
            if tag != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            let position = self.run.unix_ms();
            if text == "SHOW usage" {
                stream.write_all(&report(is_primary, position))?;
            } else if text.starts_with("INSERT") && !is_primary {
                stream.write_all(&[error("25006", "no primary"), answer_end(false, position)].concat())?;
            } else if text.starts_with("INSERT") {
                self.write(&mut stream, &text, at)?;
            } else {
                sleep_ms(WORK_MS);
                stream.write_all(&[row(b"price", "SELECT 1"), answer_end(is_primary, position)].concat())?;
            }
        }
    }

    /// Runs a write, unless the same key ran within the window; the slack of sockets is given to the repeat.
    fn write(&self, stream: &mut TcpStream, text: &str, at: f64) -> io::Result<()> {
        let (key, id) = (key_of(text), value_of(text, "id"));
        let is_first = {
            let mut all = lock(&self.sent);
            let sent = all.entry(key.to_owned()).or_default();
            let ran = !sent.iter().any(|sent| sent.ran && at <= sent.at + WINDOW_MS + SLACK_MS);
            self.run.log(&format!(
                "group {}: primary got write {key} id={id} d={}: {}",
                self.number,
                value_of(text, "d"),
                if ran { "ran" } else { "dropped as a repeat" }
            ));
            sent.push(Sent { at, ran });
            sent.len() == 1
        };
        let reset_after = lock(&self.trouble).reset_after.take_if(|_| is_first);
        if let Some(after) = reset_after {
            // The write has run; its answer is held up, and then all connections of the database are reset.
            self.run.wait_until(at + after as f64);
            let mut trouble = lock(&self.trouble);
            trouble.is_reset = true;
            self.run.log(&format!("group {}: connections to the primary are reset", self.number));
            for open in trouble.open.drain(..) {
                let _ = open.shutdown(Shutdown::Both);
            }
            return Ok(());
        }
        sleep_ms(WORK_MS);
        let position = self.run.unix_ms();
        stream.write_all(&[row(b"kept", "INSERT 0 1"), answer_end(true, position)].concat())
    }

    /// One client that writes, one request after the other.
    fn writer(&self, gateway: std::net::SocketAddr) {
        let mut random = Random(SEED + u64::from(self.number));
        for trial in 0..TRIALS {
            let (before_end, late_by) = (random.between(5, 50), random.between(160, 238));
            if self.run.trouble && trial % RESET_EVERY == u64::from(self.number) {
                let mut trouble = lock(&self.trouble);
                trouble.reset_after = Some(WINDOW_MS as u64 - before_end);
                trouble.late_by = Some(late_by);
                trouble.is_reset = false;
            }
            let key = format!("m{}x{trial}", self.number);
            let text = format!(
                "INSERT INTO entries (ref, payload) VALUES ('{key}', '\\x9f03') RETURNING payload /* id={key}a,c=aflaesning-ind,d=3000,cluster={} */",
                self.number
            );
            let answer = match Client::connect(gateway) {
                Ok(mut client) => {
                    self.run.log(&format!("client sends {key}"));
                    client.send(&text).map_or(Answer::Nothing, |()| client.answer(3_600))
                }
                Err(_) => cannot_run("the gateway accepts no client"),
            };
            self.run.log(&format!("client of {key}: {answer:?}"));
            sleep_ms(200);
        }
    }

    /// Readers, 10 requests a second.
    fn reader(&self, gateway: std::net::SocketAddr) {
        let Ok(mut client) = Client::connect(gateway) else {
            return;
        };
        for number in 0.. {
            let text = format!(
                "SELECT payload FROM entries WHERE ref = 'r{number}' /* id=r{}x{number},c=pris-visning,d=1000,cluster={} */",
                self.number, self.number
            );
            if client.send(&text).is_err() {
                return;
            }
            client.answer(1_600);
            sleep_ms(40);
        }
    }
}

fn main() {
    let run = Run::new();
    let connections = Arc::new(Mutex::new(Connections::default()));
    let (mut members, mut groups) = (Vec::new(), Vec::new());
    for number in 0..GROUPS {
        let group = Arc::new(Group {
            run: run.clone(),
            number,
            sent: Mutex::default(),
            trouble: Mutex::default(),
            connections: connections.clone(),
        });
        for place in 0..3 {
            let (listener, address) = listen();
            let access = if place == 0 { "writer" } else { "reader" };
            members.push(member(&format!("s-{number}{place}"), address, "vejle-kaelder", number, access));
            group.serve(listener, place == 0);
        }
        groups.push(group);
    }
    let members = members.join(",");
    let discovery = Discovery::start(&run, &members);
    let mut gateway = Gateway::start(&run, discovery.address, &members, SETTINGS);
    let address = gateway.address;
    for group in &groups {
        let group = group.clone();
        thread::spawn(move || group.reader(address));
    }
    sleep_ms(1_500);
    let writers: Vec<_> = groups
        .iter()
        .map(|group| {
            let group = group.clone();
            thread::spawn(move || group.writer(address))
        })
        .collect();
    for writer in writers {
        let _ = writer.join();
    }
    if gateway.has_ended() {
        cannot_run("the gateway has ended");
    }
    drop(gateway);

    let (mut writes, mut repeated, mut broken, mut far) = (0, 0, 0, 0);
    for group in &groups {
        for (key, sent) in lock(&group.sent).iter() {
            writes += 1;
            repeated += usize::from(sent.len() > 1);
            // All that came was sent to the primary of the group, and the first ran.
            let after = sent.iter().map(|later| later.at - sent[0].at).fold(0.0, f64::max);
            if after > WINDOW_MS + SLACK_MS {
                broken += 1;
                far += usize::from(after > WINDOW_MS + SLACK_MS + HELD_UP_MS);
                let runs = sent.iter().filter(|sent| sent.ran).count();
                run.log(&format!("BROKEN: {key} was sent again {after:.1} ms after its first send, and ran {runs} times"));
            }
        }
    }
    let (all, late) = {
        let connections = lock(&connections);
        (connections.all, connections.late)
    };
    let verdict = format!(
        "writes={writes} sent_again={repeated} sent_again_after_the_window={broken} of_them_200_ms_and_more={far} connections={all} late={late}"
    );
    run.log(&verdict);
    println!("{verdict}");
    if writes < u64::from(GROUPS) * TRIALS {
        cannot_run("not all writes reached a database");
    }
    std::process::exit(i32::from(broken > 0));
}

//! What the adapter answers on the simulator's wire, pinned: a world drawn from a seed plays against the program, and a
//! digest of all replies must be the one on record. A decision that changes, or a word of the wire, changes the digest.
//!
//! The transcripts are left in the build's temporary folder, to be compared where the record differs.

mod golden;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use xxhash_rust::xxh3::xxh3_64;

const PERIOD_US: u64 = 5_000;
const BATCHES: u64 = 3_000;
const ZERO_US: u64 = 1_000_000;
const ZONES: u64 = 3;

/// A deployment to play: how its settings differ, and how many databases it has.
struct Scenario {
    name: &'static str,
    seed: u64,
    change: fn(&mut Value),
    cells: u64,
    members_of_cell: u64,
    arrivals_of_batch: u64,
}

fn setup() -> Value {
    let profile = |effect: &str, group: &str, late: f64, slo: u64, worth: f64| {
        json!({"DeadlineUs": 2 * slo + 500_000, "DedupWindowUs": 400_000, "Effect": effect, "Group": group,
               "LateWorth": late, "SloUs": slo, "Worth": worth, "AimStretch": 0.5})
    };
    json!({
        "Allowed": {"Cancel": true, "MaxAttempts": 6, "MaxRetryAfterUs": 1_000_000, "MayProbe": true,
                    "ParallelTries": false, "RetryAfter": true},
        "Customers": [{"QuotaRps": 100.0}, {"QuotaRps": 20.0}],
        "Discovery": "subscribe",
        "FamilyInfo": {"Checks": "none", "PositionZeroUs": ZERO_US, "ProgressTold": true, "RoleListed": "trailing",
            "Consistency": ["mutate", "strong", "causal", "lag_bound", "eventual", "mutate", "eventual", "mutate"],
            "SessionMarks": "brought", "StalenessBoundUs": [0, 0, 0, 150_000, 0, 0, 0, 0]},
        "FleetSize": 3, "OverShareWorth": 0.1, "PeriodUs": PERIOD_US,
        "Profiles": [
            profile("single_shot", "all", 0.3, 400_000, 6.0), profile("free", "all", 0.0, 200_000, 3.0),
            profile("free", "all", 0.2, 150_000, 2.0), profile("free", "all", 0.6, 100_000, 1.0),
            profile("free", "all", 0.0, 80_000, 1.0), profile("guarded", "cell", 0.5, 300_000, 5.0),
            profile("free", "all", 0.1, 900_000, 2.0), profile("guarded", "zone", 0.5, 250_000, 4.0)],
        "Report": {"Names": ["x0", "x1"], "Source": "probe"},
        "Rules": {"AnswerSlackUs": 20_000, "AskEveryUs": 4_000_000, "ColdUs": 5_000_000, "DrainGraceUs": 500_000,
                  "FallMultiple": 3.0, "FallUs": 1_000_000, "StartCapacity": 0.2},
        "Zone": 0})
}

const SCENARIOS: [Scenario; 4] = [
    Scenario {
        name: "few gateways",
        seed: 1,
        change: |_| {},
        cells: 2,
        members_of_cell: 4,
        arrivals_of_batch: 4,
    },
    Scenario {
        name: "checked reads in a large fleet",
        seed: 2,
        change: |setup| {
            setup["FleetSize"] = json!(300);
            setup["FamilyInfo"]["Checks"] = json!("bounce");
        },
        cells: 3,
        members_of_cell: 5,
        arrivals_of_batch: 2,
    },
    Scenario {
        name: "unchecked reads in a large fleet",
        seed: 3,
        change: |setup| {
            setup["FleetSize"] = json!(120);
            setup["Rules"]["DroppedStayOpen"] = json!(true);
        },
        cells: 2,
        members_of_cell: 6,
        arrivals_of_batch: 2,
    },
    Scenario {
        name: "no probes and two attempts at once",
        seed: 4,
        change: |setup| {
            setup["Discovery"] = json!("automatic");
            setup["Allowed"]["MayProbe"] = json!(false);
            setup["Allowed"]["Cancel"] = json!(false);
            setup["Allowed"]["ParallelTries"] = json!(true);
            setup["Allowed"]["RetryAfter"] = json!(false);
            setup["FamilyInfo"]["SessionMarks"] = json!("kept");
            setup["FamilyInfo"]["Checks"] = json!("await");
            setup["FamilyInfo"]["RoleListed"] = json!("none");
        },
        cells: 1,
        members_of_cell: 5,
        arrivals_of_batch: 6,
    },
];

struct Database {
    name: String,
    zone: u64,
    cell: u64,
    started_us: u64,
    state: &'static str,
    /// How far its copy is behind, microseconds.
    lag_us: u64,
    /// Times its usual latency.
    slowness: u64,
    hangs: bool,
}

struct World {
    rng: fastrand::Rng,
    now: u64,
    databases: Vec<Database>,
    /// By cell, the database that takes writes.
    primaries: Vec<usize>,
    /// What reaches the instance, and when; equal times in the order of their making.
    due: BTreeMap<(u64, u64), Value>,
    made: u64,
    jobs: u64,
    /// By job: its profile, cell, attempts so far, and when it is due.
    open: BTreeMap<String, (usize, u64, u32, u64)>,
    tables: u64,
    arrivals_of_batch: u64,
}

impl World {
    fn new(scenario: &Scenario) -> World {
        let rng = fastrand::Rng::with_seed(scenario.seed);
        let database = |number: u64| Database {
            name: format!("store.{number}"),
            zone: number % ZONES,
            cell: number / scenario.members_of_cell,
            started_us: 0,
            state: "on",
            lag_us: 4_000,
            slowness: 1,
            hangs: false,
        };
        let count = scenario.cells * scenario.members_of_cell;
        World {
            rng,
            now: 100_000_000,
            databases: (0..count).map(database).collect(),
            primaries: (0..scenario.cells)
                .map(|cell| (cell * scenario.members_of_cell) as usize)
                .collect(),
            due: BTreeMap::new(),
            made: 0,
            jobs: 0,
            open: BTreeMap::new(),
            tables: 0,
            arrivals_of_batch: scenario.arrivals_of_batch,
        }
    }

    fn one_in(&mut self, chances: u64) -> bool {
        self.rng.u64(0..chances) == 0
    }

    fn later(&mut self, after_us: u64, event: Value) {
        self.made += 1;
        self.due.insert((self.now + after_us, self.made), event);
    }

    fn is_primary(&self, number: usize) -> bool {
        self.primaries[self.databases[number].cell as usize] == number
    }

    fn position_us(&self, number: usize) -> u64 {
        self.now
            - if self.is_primary(number) {
                0
            } else {
                self.databases[number].lag_us
            }
    }

    fn feedback(&self, number: usize) -> Value {
        let role = if self.is_primary(number) { 1.0 } else { 0.0 };
        json!([(self.position_us(number) - ZERO_US) as f64 / 1e6, role])
    }

    /// A list, all of it or the entries from a place on, and what announces it.
    fn view(&mut self, how: &str, from: usize) -> [Value; 2] {
        let items: Vec<Value> = self.databases[from..]
            .iter()
            .enumerate()
            .map(|(place, one)| {
                json!({"Campus": one.zone, "State": one.state, "Writer": u8::from(self.is_primary(from + place)),
                       "Cell": one.cell, "Size": 1.0, "Store": one.name, "ReadyAtUs": one.started_us})
            })
            .collect();
        self.tables += 1;
        let table = self.tables;
        [
            json!({"DEFINE_LIST": {"Table": table, "Items": items}}),
            json!({"VIEW": {"How": how, "Stamp": table, "Table": table}}),
        ]
    }

    fn announce(&mut self, after_us: u64, how: &str, from: usize) {
        for event in self.view(how, from) {
            self.later(after_us, event);
        }
    }

    fn arrival(&mut self) -> Value {
        let (profile, cell) = (
            self.rng.usize(0..8),
            self.rng.usize(0..self.primaries.len()) as u64,
        );
        let job = format!("j{}", self.jobs);
        self.jobs += 1;
        let due = self.now + self.rng.u64(60_000..1_200_000);
        self.open.insert(job.clone(), (profile, cell, 0, due));
        if self.one_in(60) {
            let after = self.rng.u64(0..200_000);
            self.later(after, json!({"TIMED_OUT_CLIENT": {"Job": job}}));
        }
        let mut accept = json!({"Job": job, "Profile": profile, "Owner": self.rng.u8(0..2), "DueUs": due, "DbNo": cell,
                                "ClientKey": self.rng.u64(0..40)});
        if self.rng.bool() {
            accept["PredictedUs"] = json!(self.rng.u64(1_000..60_000));
        }
        if self.rng.bool() {
            accept["WroteMsAgo"] = json!(self.rng.u64(1..400));
        }
        json!({"ACCEPT": accept})
    }

    /// What the world does by itself at the start of a batch.
    fn change(&mut self) {
        if self.one_in(150) {
            let one = self.rng.usize(0..self.databases.len());
            let now = self.now;
            let database = &mut self.databases[one];
            match self.rng.u8(0..7) {
                0 => (database.state, database.started_us, database.hangs) = ("on", now, false),
                1 => database.state = "fading",
                2 => database.state = "off",
                3 => database.lag_us = self.rng.u64(1_000..600_000),
                4 => database.slowness = self.rng.u64(1..30),
                5 => database.hangs = !database.hangs,
                _ => database.state = "on",
            }
            let delay = self.rng.u64(0..300_000);
            self.announce(delay, "incr", one);
        }
        if self.one_in(400) {
            let cell = self.rng.usize(0..self.primaries.len());
            let of_cell = self.databases.len() / self.primaries.len();
            self.primaries[cell] = cell * of_cell + self.rng.usize(0..of_cell);
        }
        if self.one_in(200) {
            self.databases
                .iter_mut()
                .for_each(|one| (one.slowness, one.hangs, one.state) = (1, false, "on"));
            self.announce(20_000, "total", 0);
        }
        if self.one_in(250) {
            self.later(1_000, json!({"VIEW": {"How": "lost", "Stamp": 0}}));
        }
    }

    /// What becomes of an attempt: how long it takes, and with which result it ends.
    fn attempt(&mut self, number: usize, profile: usize, timeout: u64) -> (u64, u8) {
        let usual = [4_000, 3_000, 2_500, 2_000, 2_000, 4_000, 90_000, 4_000][profile];
        let latency = self.rng.u64(usual / 2..usual * 2) * self.databases[number].slowness;
        let writes = matches!(profile, 0 | 1 | 5 | 7);
        let result = match self.rng.u8(0..100) {
            0 => 20,
            1 => 30,
            2 => 50,
            3 => 60,
            4 if self.one_in(4) => 80,
            _ if writes && !self.is_primary(number) => 90,
            5..=8 if !writes && !self.is_primary(number) => 90,
            _ => 10,
        };
        if self.databases[number].state == "off" {
            return (1_000, 50);
        }
        if self.databases[number].hangs || latency > timeout {
            return (timeout, 40);
        }
        (if result == 10 { latency } else { 800 }, result)
    }

    fn route(&mut self, route: &Value) {
        let (job, store) = (text(&route["Job"]), text(&route["Store"]));
        let timeout = route["TimeoutUs"].as_u64().expect("a number");
        let number = self
            .databases
            .iter()
            .position(|one| one.name == store)
            .expect("a database of the list");
        let (profile, _, round, _) = *self.open.get(&job).expect("a job that is open");
        self.open.entry(job.clone()).and_modify(|open| open.2 += 1);
        let (latency, result) = self.attempt(number, profile, timeout);
        if result == 10 && self.one_in(10) {
            self.later(latency / 2, json!({"ACCEPTED": {"Job": job}}));
        }
        let role = if self.is_primary(number) { 1 } else { 2 };
        let stamp = (self.position_us(number) + latency - ZERO_US) / 1_000 * 4 + role;
        let answered = matches!(result, 10 | 20 | 30 | 90);
        let mut reply = json!({"Job": job, "Last": result == 10, "RoundNo": round, "Result": result,
                               "LatencyUs": latency, "Stamp": if answered { stamp } else { 0 }});
        if answered {
            reply["Feedback"] = self.feedback(number);
        }
        self.later(latency, json!({"REPLY": reply}));
    }

    fn take(&mut self, output: &Value) {
        let (word, body) = output
            .as_object()
            .and_then(|all| all.iter().next())
            .expect("one word");
        match word.as_str() {
            "ROUTE" => self.route(body),
            "WITHDRAW" => {
                let reply = json!({"Job": body["Job"], "Last": false, "RoundNo": body["RoundNo"], "Result": 70,
                                   "LatencyUs": 1_000, "Stamp": 0});
                self.later(1_000, json!({"REPLY": reply}));
            }
            "TEST" => {
                let store = text(&body["Store"]);
                let number = self
                    .databases
                    .iter()
                    .position(|one| one.name == store)
                    .expect("listed");
                let result = match (self.databases[number].state, self.databases[number].hangs) {
                    ("off", _) => 50,
                    (_, true) => 40,
                    _ if self.one_in(40) => 30,
                    _ => 10,
                };
                let mut health = json!({"Store": store, "Result": result, "LatencyUs": 700});
                if result == 10 {
                    health["Feedback"] = self.feedback(number);
                }
                let after = if result == 40 {
                    250_000
                } else {
                    self.rng.u64(500..3_000)
                };
                self.later(after, json!({"HEALTH": health}));
            }
            "TRACK" => {
                let after = self.rng.u64(1_000..30_000);
                match self.rng.u8(0..5) {
                    0 => self.later(after, json!({"VIEW": {"How": "lost", "Stamp": 0}})),
                    1 => self.announce(after, "incr", 0),
                    _ => self.announce(after, "total", 0),
                }
            }
            "SLEEP" => {
                let after = body["FromNowUs"].as_u64().expect("a number");
                self.later(after, json!({"DUE": {"Cookie": body["Cookie"]}}));
            }
            "TURN_AWAY" | "FINISH_ERROR" | "NOTE_DOWN" => {}
            other => panic!("{other}: {body}"),
        }
    }

    /// The events of the next batch.
    fn batch(&mut self) -> Vec<Value> {
        self.now += PERIOD_US;
        if self.one_in(500) {
            self.now += 400_000;
        }
        self.change();
        let later = self.due.split_off(&(self.now + 1, 0));
        let mut events: Vec<Value> = std::mem::replace(&mut self.due, later)
            .into_values()
            .collect();
        let crowd = if self.now / 1_000_000 % 5 == 3 { 3 } else { 1 };
        for _ in 0..self.rng.u64(0..=self.arrivals_of_batch * crowd) {
            events.push(self.arrival());
        }
        events
    }
}

fn text(value: &Value) -> String {
    value.as_str().expect("a string").to_owned()
}

struct Adapter {
    process: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    transcript: String,
    replies: Vec<u8>,
}

impl Adapter {
    fn start() -> Adapter {
        let mut process = Command::new(env!("CARGO_BIN_EXE_asterreel-sim-adapter"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let (input, output) = (
            process.stdin.take().expect("piped"),
            process.stdout.take().expect("piped"),
        );
        let (transcript, replies) = (String::new(), Vec::new());
        Adapter {
            process,
            input,
            output: BufReader::new(output),
            transcript,
            replies,
        }
    }

    fn ask(&mut self, number: u64, now: u64, events: Vec<Value>) -> Vec<Value> {
        let parts = if events.is_empty() {
            json!([])
        } else {
            json!([{"I": "front-0", "in": events}])
        };
        let batch = json!({"SimTimeUs": now, "batch": number, "parts": parts}).to_string();
        writeln!(self.input, "{batch}").expect("written");
        let mut line = String::new();
        self.output.read_line(&mut line).expect("a reply");
        self.transcript += &format!("< {batch}\n> {line}");
        self.replies.extend(line.as_bytes());
        let reply: Value = serde_json::from_str(&line).expect("a reply in JSON");
        reply["parts"][0]["out"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    }
}

/// Plays a scenario; its record, and the transcript.
fn play(scenario: &Scenario) -> (String, String) {
    let (mut world, mut adapter) = (World::new(scenario), Adapter::start());
    let mut settings = setup();
    (scenario.change)(&mut settings);
    let mut events = vec![json!({"NEW_INSTANCE": {"Entropy": scenario.seed, "Setup": settings}})];
    events.extend(world.view("warm_copy", 0));
    let mut words: BTreeMap<String, u64> = BTreeMap::new();
    for number in 1..=BATCHES {
        let outputs = adapter.ask(number, world.now, events);
        for output in &outputs {
            world.take(output);
            let word = output
                .as_object()
                .and_then(|all| all.keys().next())
                .expect("one word");
            *words.entry(word.clone()).or_default() += 1;
        }
        events = world.batch();
    }
    drop(adapter.input);
    assert!(adapter.process.wait().expect("it ends").success());
    let counts: Vec<String> = words
        .iter()
        .map(|(word, count)| format!("{word} {count}"))
        .collect();
    let record = format!(
        "{}: {:016x}; {}",
        scenario.name,
        xxh3_64(&adapter.replies),
        counts.join(", ")
    );
    (record, adapter.transcript)
}

#[test]
fn simulator_decisions_match_record() {
    let played: Vec<(String, String)> = SCENARIOS.iter().map(play).collect();
    let seen: String = played
        .iter()
        .map(|(record, _)| format!("{record}\n"))
        .collect();
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for ((_, transcript), scenario) in played.iter().zip(&SCENARIOS) {
        let file = folder.join(format!("{}.txt", scenario.name.replace(' ', "-")));
        std::fs::write(file, transcript).expect("written");
    }
    golden::assert_matches("simulator.txt", &seen);
}

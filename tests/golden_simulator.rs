//! Compares the simulator adapter's replies with a record: a small simulation with a fixed seed runs against the program,
//! and the digest of all replies must equal the recorded one. Any change to a decision or to the protocol changes the digest.
//!
//! The transcripts are written to Cargo's temporary folder for tests, to be compared when the digest differs.

mod golden;

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use xxhash_rust::xxh3::xxh3_64;

/// Simulated time between batches, microseconds.
const PERIOD_US: u64 = 5_000;
const BATCHES: u64 = 3_000;
/// The simulated time at which log positions start, microseconds.
const POSITION_ZERO_US: u64 = 1_000_000;
const ZONES: u64 = 3;

/// A deployment to simulate: how it changes the settings of [`setup`], and its size.
struct Scenario {
    name: &'static str,
    seed: u64,
    change: fn(&mut Value),
    cells: u64,
    members_per_cell: u64,
    /// The most requests that arrive in a batch, except during load peaks.
    max_arrivals: u64,
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
        "FamilyInfo": {"Checks": "none", "PositionZeroUs": POSITION_ZERO_US, "ProgressTold": true, "RoleListed": "trailing",
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
        members_per_cell: 4,
        max_arrivals: 4,
    },
    Scenario {
        name: "checked reads in a large fleet",
        seed: 2,
        change: |setup| {
            setup["FleetSize"] = json!(300);
            setup["FamilyInfo"]["Checks"] = json!("bounce");
        },
        cells: 3,
        members_per_cell: 5,
        max_arrivals: 2,
    },
    Scenario {
        name: "unchecked reads in a large fleet",
        seed: 3,
        change: |setup| {
            setup["FleetSize"] = json!(120);
            setup["Rules"]["DroppedStayOpen"] = json!(true);
        },
        cells: 2,
        members_per_cell: 6,
        max_arrivals: 2,
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
        members_per_cell: 5,
        max_arrivals: 6,
    },
];

struct Database {
    name: String,
    zone: u64,
    cell: u64,
    started_us: u64,
    state: &'static str,
    /// How far the database is behind its primary, microseconds.
    lag_us: u64,
    /// The multiple of the usual latency at which it answers.
    slowness: u64,
    /// Whether it answers nothing, so that attempts and probes time out.
    hangs: bool,
}

struct Simulation {
    rng: fastrand::Rng,
    /// The simulated time, microseconds.
    now: u64,
    databases: Vec<Database>,
    /// The index of the primary by cell.
    primaries: Vec<usize>,
    /// The events to be sent to the instance, by time and, for equal times, by the order in which they were scheduled.
    scheduled: BTreeMap<(u64, u64), Value>,
    /// How many events have been scheduled.
    scheduled_count: u64,
    /// How many jobs have been created.
    job_count: u64,
    /// The profile, cell, number of attempts so far, and deadline of each job, by its name.
    jobs: BTreeMap<String, (usize, u64, u32, u64)>,
    /// How many lists have been sent; the number of the latest.
    table_count: u64,
    max_arrivals: u64,
}

impl Simulation {
    fn new(scenario: &Scenario) -> Simulation {
        let rng = fastrand::Rng::with_seed(scenario.seed);
        let database = |number: u64| Database {
            name: format!("store.{number}"),
            zone: number % ZONES,
            cell: number / scenario.members_per_cell,
            started_us: 0,
            state: "on",
            lag_us: 4_000,
            slowness: 1,
            hangs: false,
        };
        let count = scenario.cells * scenario.members_per_cell;
        Simulation {
            rng,
            now: 100_000_000,
            databases: (0..count).map(database).collect(),
            primaries: (0..scenario.cells)
                .map(|cell| (cell * scenario.members_per_cell) as usize)
                .collect(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            job_count: 0,
            jobs: BTreeMap::new(),
            table_count: 0,
            max_arrivals: scenario.max_arrivals,
        }
    }

    /// Draws an event with a probability of one in `n`.
    fn one_in(&mut self, n: u64) -> bool {
        self.rng.u64(0..n) == 0
    }

    fn schedule(&mut self, after_us: u64, event: Value) {
        self.scheduled_count += 1;
        self.scheduled
            .insert((self.now + after_us, self.scheduled_count), event);
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
        json!([
            (self.position_us(number) - POSITION_ZERO_US) as f64 / 1e6,
            role
        ])
    }

    /// A list of the databases from this index on, and the event that announces it.
    fn view(&mut self, how: &str, from: usize) -> [Value; 2] {
        let items: Vec<Value> = self.databases[from..]
            .iter()
            .enumerate()
            .map(|(offset, database)| {
                json!({"Campus": database.zone, "State": database.state, "Writer": u8::from(self.is_primary(from + offset)),
                       "Cell": database.cell, "Size": 1.0, "Store": database.name, "ReadyAtUs": database.started_us})
            })
            .collect();
        self.table_count += 1;
        let table = self.table_count;
        [
            json!({"DEFINE_LIST": {"Table": table, "Items": items}}),
            json!({"VIEW": {"How": how, "Stamp": table, "Table": table}}),
        ]
    }

    fn announce(&mut self, after_us: u64, how: &str, from: usize) {
        for event in self.view(how, from) {
            self.schedule(after_us, event);
        }
    }

    fn arrival(&mut self) -> Value {
        let (profile, cell) = (
            self.rng.usize(0..8),
            self.rng.usize(0..self.primaries.len()) as u64,
        );
        let job = format!("j{}", self.job_count);
        self.job_count += 1;
        let due = self.now + self.rng.u64(60_000..1_200_000);
        self.jobs.insert(job.clone(), (profile, cell, 0, due));
        if self.one_in(60) {
            let after = self.rng.u64(0..200_000);
            self.schedule(after, json!({"TIMED_OUT_CLIENT": {"Job": job}}));
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

    /// Applies random changes to the databases and announces them, at the start of a batch.
    fn change_databases(&mut self) {
        if self.one_in(150) {
            let index = self.rng.usize(0..self.databases.len());
            let now = self.now;
            let database = &mut self.databases[index];
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
            self.announce(delay, "incr", index);
        }
        if self.one_in(400) {
            let cell = self.rng.usize(0..self.primaries.len());
            let members_per_cell = self.databases.len() / self.primaries.len();
            self.primaries[cell] = cell * members_per_cell + self.rng.usize(0..members_per_cell);
        }
        if self.one_in(200) {
            self.databases.iter_mut().for_each(|database| {
                (database.slowness, database.hangs, database.state) = (1, false, "on")
            });
            self.announce(20_000, "total", 0);
        }
        if self.one_in(250) {
            self.schedule(1_000, json!({"VIEW": {"How": "lost", "Stamp": 0}}));
        }
    }

    /// Draws the latency and the result code of an attempt.
    fn draw_attempt(&mut self, number: usize, profile: usize, timeout: u64) -> (u64, u8) {
        let usual_latency = [4_000, 3_000, 2_500, 2_000, 2_000, 4_000, 90_000, 4_000][profile];
        let latency =
            self.rng.u64(usual_latency / 2..usual_latency * 2) * self.databases[number].slowness;
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

    /// Handles a `ROUTE`: schedules the reply to the attempt.
    fn route(&mut self, route: &Value) {
        let (job, store) = (text(&route["Job"]), text(&route["Store"]));
        let timeout = route["TimeoutUs"].as_u64().expect("a number");
        let number = self
            .databases
            .iter()
            .position(|database| database.name == store)
            .expect("a database of the list");
        let (profile, _, round, _) = *self.jobs.get(&job).expect("a known job");
        self.jobs.entry(job.clone()).and_modify(|job| job.2 += 1);
        let (latency, result) = self.draw_attempt(number, profile, timeout);
        if result == 10 && self.one_in(10) {
            self.schedule(latency / 2, json!({"ACCEPTED": {"Job": job}}));
        }
        let role = if self.is_primary(number) { 1 } else { 2 };
        let stamp = (self.position_us(number) + latency - POSITION_ZERO_US) / 1_000 * 4 + role;
        let answered = matches!(result, 10 | 20 | 30 | 90);
        let mut reply = json!({"Job": job, "Last": result == 10, "RoundNo": round, "Result": result,
                               "LatencyUs": latency, "Stamp": if answered { stamp } else { 0 }});
        if answered {
            reply["Feedback"] = self.feedback(number);
        }
        self.schedule(latency, json!({"REPLY": reply}));
    }

    /// Schedules the events that follow from an output of the instance.
    fn handle_output(&mut self, output: &Value) {
        let (name, body) = output
            .as_object()
            .and_then(|all| all.iter().next())
            .expect("an object with one key");
        match name.as_str() {
            "ROUTE" => self.route(body),
            "WITHDRAW" => {
                let reply = json!({"Job": body["Job"], "Last": false, "RoundNo": body["RoundNo"], "Result": 70,
                                   "LatencyUs": 1_000, "Stamp": 0});
                self.schedule(1_000, json!({"REPLY": reply}));
            }
            "TEST" => {
                let store = text(&body["Store"]);
                let number = self
                    .databases
                    .iter()
                    .position(|database| database.name == store)
                    .expect("a database of the list");
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
                self.schedule(after, json!({"HEALTH": health}));
            }
            "TRACK" => {
                let after = self.rng.u64(1_000..30_000);
                match self.rng.u8(0..5) {
                    0 => self.schedule(after, json!({"VIEW": {"How": "lost", "Stamp": 0}})),
                    1 => self.announce(after, "incr", 0),
                    _ => self.announce(after, "total", 0),
                }
            }
            "SLEEP" => {
                let after = body["FromNowUs"].as_u64().expect("a number");
                self.schedule(after, json!({"DUE": {"Cookie": body["Cookie"]}}));
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
        self.change_databases();
        let future = self.scheduled.split_off(&(self.now + 1, 0));
        let mut events: Vec<Value> = std::mem::replace(&mut self.scheduled, future)
            .into_values()
            .collect();
        let load_factor = if self.now / 1_000_000 % 5 == 3 { 3 } else { 1 };
        for _ in 0..self.rng.u64(0..=self.max_arrivals * load_factor) {
            events.push(self.arrival());
        }
        events
    }
}

fn text(value: &Value) -> String {
    value.as_str().expect("a string").to_owned()
}

/// The adapter's process, with a transcript of what was exchanged with it.
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

    /// Sends a batch of events and returns the instance's outputs.
    fn exchange(&mut self, number: u64, now: u64, events: Vec<Value>) -> Vec<Value> {
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

/// Runs a scenario; returns its line of the record, and the transcript.
fn run(scenario: &Scenario) -> (String, String) {
    let (mut simulation, mut adapter) = (Simulation::new(scenario), Adapter::start());
    let mut settings = setup();
    (scenario.change)(&mut settings);
    let mut events = vec![json!({"NEW_INSTANCE": {"Entropy": scenario.seed, "Setup": settings}})];
    events.extend(simulation.view("warm_copy", 0));
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for number in 1..=BATCHES {
        let outputs = adapter.exchange(number, simulation.now, events);
        for output in &outputs {
            simulation.handle_output(output);
            let name = output
                .as_object()
                .and_then(|all| all.keys().next())
                .expect("an object with one key");
            *counts.entry(name.clone()).or_default() += 1;
        }
        events = simulation.batch();
    }
    drop(adapter.input);
    assert!(adapter.process.wait().expect("the adapter exits").success());
    let counts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
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
    let runs: Vec<(String, String)> = SCENARIOS.iter().map(run).collect();
    let output: String = runs
        .iter()
        .map(|(record, _)| format!("{record}\n"))
        .collect();
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    for ((_, transcript), scenario) in runs.iter().zip(&SCENARIOS) {
        let file = folder.join(format!("{}.txt", scenario.name.replace(' ', "-")));
        std::fs::write(file, transcript).expect("written");
    }
    golden::assert_matches("simulator.txt", &output);
}

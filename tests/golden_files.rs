//! What is said of both files that an operator writes, pinned: a gateway's configuration with every key, each key left out
//! and each with a value of another type; the operator's file with every key, and each key misspelt or given nonsense. And how a list of
//! discovery is read.

mod golden;

use asterreel::config::{Config, EndpointList};
use asterreel::interface::{EndpointState, MemberId, Role};
use asterreel::operator;
use asterreel::settings::EndpointRecord;
use serde_json::{json, Value};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

const CONFIG: &str = include_str!("golden/config.json");
const OPERATOR: &str = include_str!("golden/operator.star");

/// The path of every value within another, by keys and places.
fn paths(value: &Value, path: &str, all: &mut Vec<String>) {
    let mut inner = |key: String, value: &Value| {
        let path = format!("{path}/{key}");
        all.push(path.clone());
        paths(value, &path, all);
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, value)| inner(key.clone(), value)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(at, value)| inner(at.to_string(), value)),
        _ => {}
    }
}

fn without(value: &Value, path: &str) -> Value {
    let mut value = value.clone();
    let (parent, key) = path.rsplit_once('/').expect("a path");
    match value.pointer_mut(parent) {
        Some(Value::Object(map)) => drop(map.remove(key)),
        Some(Value::Array(list)) => drop(list.remove(key.parse().expect("a place"))),
        _ => panic!("{path} is there"),
    }
    value
}

fn with(value: &Value, path: &str, new: Value) -> Value {
    let mut value = value.clone();
    *value.pointer_mut(path).expect("it is there") = new;
    value
}

/// What is said of a configuration.
fn said(config: &Value) -> String {
    match Config::parse(config.to_string().as_bytes(), |_| None) {
        Ok(_) => "good".to_owned(),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn config_faults_match_record() {
    let config: Value = serde_json::from_str(CONFIG).expect("JSON");
    assert_eq!(said(&config), "good");
    let mut all = Vec::new();
    paths(&config, "", &mut all);
    assert!(all.len() > 100, "every key: {}", all.len());
    let mut seen = String::new();
    for path in all {
        seen += &format!("{path} left out: {}\n", said(&without(&config, &path)));
        let old = config.pointer(&path).expect("it is there");
        let nonsense = if old.is_string() {
            json!([7])
        } else {
            json!("nonsense")
        };
        seen += &format!(
            "{path} of another type: {}\n",
            said(&with(&config, &path, nonsense))
        );
        if old.is_string() {
            seen += &format!(
                "{path} unknown: {}\n",
                said(&with(&config, &path, json!("unheard-of")))
            );
        }
        if old.is_number() {
            seen += &format!(
                "{path} negative: {}\n",
                said(&with(&config, &path, json!(-1)))
            );
            seen += &format!("{path} zero: {}\n", said(&with(&config, &path, json!(0))));
        }
    }
    golden::assert_matches("config-faults.txt", &seen);
}

/// The evaluator, and a text of the operator's file in a folder of its own.
struct Operator {
    evaluator: &'static Path,
    folder: tempfile::TempDir,
    path: std::path::PathBuf,
}

impl Operator {
    fn new(text: &str) -> Operator {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("operator.star");
        std::fs::write(&path, text).expect("written");
        Operator {
            evaluator: Path::new(env!("CARGO_BIN_EXE_asterreel-config-eval")),
            folder,
            path,
        }
    }

    fn without_folder(&self, text: &str) -> String {
        text.replace(&self.folder.path().display().to_string(), "FOLDER")
    }

    /// What the evaluator answers.
    fn reply(&self) -> String {
        let output = Command::new(self.evaluator)
            .arg(&self.path)
            .arg("20000")
            .output()
            .expect("it runs");
        self.without_folder(&String::from_utf8(output.stdout).expect("text"))
    }

    /// What is said of the file beside the configuration.
    fn said(&self) -> String {
        let config = Config::parse(CONFIG.as_bytes(), |_| None).expect("good");
        let evaluated = operator::evaluate(self.evaluator, &self.path, Duration::from_secs(20));
        let beside = evaluated.and_then(|evaluated| evaluated.beside(&config).map(drop));
        beside.map_or_else(
            |fault| self.without_folder(&fault.to_string()),
            |()| "good".to_owned(),
        )
    }
}

#[test]
fn operator_file_matches_record() {
    let operator = Operator::new(OPERATOR);
    assert_eq!(operator.said(), "good");
    golden::assert_matches("operator-reply.json", &operator.reply());
}

/// The places in a text where a named argument is given: where its name begins, where its value does.
fn arguments(text: &str) -> Vec<(usize, usize)> {
    let word = |at: &usize| {
        text[..*at]
            .chars()
            .rev()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .count()
    };
    let equals = text.match_indices(" = ").map(|(at, _)| at);
    equals.map(|at| (at - word(&at), at + 3)).collect()
}

/// Wrong files, each with what is wrong with it.
fn wrong_files() -> Vec<(String, String)> {
    let mut all = Vec::new();
    for (name, value) in arguments(OPERATOR) {
        let (key, line) = (&OPERATOR[name..value - 3], OPERATOR[..name].lines().count());
        let misspelt = format!("{}x{}", &OPERATOR[..name], &OPERATOR[name..]);
        all.push((format!("{line} {key} misspelt"), misspelt));
        let rest = &OPERATOR[value..];
        let end = rest.find([',', ')', '\n']).expect("an end");
        if !rest[..end].contains(['(', '[', '{']) {
            for nonsense in ["'nonsense'", "-1", "0", "99999999"] {
                let wrong = format!("{}{nonsense}{}", &OPERATOR[..value], &rest[end..]);
                all.push((format!("{line} {key} = {nonsense}"), wrong));
            }
        }
    }
    all
}

#[test]
fn operator_faults_match_record() {
    let files = wrong_files();
    let say = |(name, text): &(String, String)| format!("{name}: {}\n", Operator::new(text).said());
    // Each file takes a process: some at a time.
    let parts = files.chunks(files.len().div_ceil(4));
    let seen: String = std::thread::scope(|scope| {
        let threads: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().map(say).collect::<String>()))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("it ends"))
            .collect()
    });
    golden::assert_matches("operator-faults.txt", &seen);
}

#[test]
fn discovery_list_matches_record() {
    let list: EndpointList =
        serde_json::from_str(include_str!("golden/discovery-list.json")).expect("a list");
    let zones = ["east".to_owned(), "west".to_owned()];
    let mut seen = format!("revision {}, complete {}\n", list.revision, list.complete);
    for (number, item) in list.members.iter().enumerate() {
        let read = item
            .endpoint(MemberId(number as u32), &zones)
            .expect("an entry");
        let state = match read.state {
            EndpointState::Ready => "on",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "gone",
        };
        let role = if read.role == Role::Primary {
            "primary"
        } else {
            "replica"
        };
        let (group, zone, hash) = (read.group.0, read.zone.0, read.tie_break_hash);
        seen += &format!(
            "{} at {:?}: {state} {role}, group {group}, zone {zone}, size {}, started {}, hash {hash:016x}\n",
            item.store, item.address, read.size, read.started
        );
    }
    let unknown = r#"{"id": "s", "phase": "lost", "cell": 0}"#;
    let unknown: EndpointRecord = serde_json::from_str(unknown).expect("an item");
    seen += &format!(
        "{}\n",
        unknown
            .endpoint(MemberId(0), &zones)
            .expect_err("an unknown state")
    );
    golden::assert_matches("discovery-list.txt", &seen);
}

//! Compares with records what the gateway reports about the two files that an operator writes: its configuration with every
//! key, with each key left out and with each value of another type or out of range; the operator's file with every key, and
//! with each key misspelt or given an invalid value. Also compares how a list from discovery is read.

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

/// Collects the JSON pointer of every value within another.
fn collect_pointers(value: &Value, path: &str, all: &mut Vec<String>) {
    let mut visit = |key: String, value: &Value| {
        let path = format!("{path}/{key}");
        all.push(path.clone());
        collect_pointers(value, &path, all);
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(key, value)| visit(key.clone(), value)),
        Value::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(index, value)| visit(index.to_string(), value)),
        _ => {}
    }
}

fn without(value: &Value, path: &str) -> Value {
    let mut value = value.clone();
    let (parent, key) = path.rsplit_once('/').expect("a path");
    match value.pointer_mut(parent) {
        Some(Value::Object(map)) => drop(map.remove(key)),
        Some(Value::Array(list)) => drop(list.remove(key.parse().expect("an index"))),
        _ => panic!("{path} is not in the configuration"),
    }
    value
}

fn with(value: &Value, path: &str, new: Value) -> Value {
    let mut value = value.clone();
    *value.pointer_mut(path).expect("the path exists") = new;
    value
}

/// The error of a configuration, or `good`.
fn config_fault(config: &Value) -> String {
    match Config::parse(config.to_string().as_bytes(), |_| None) {
        Ok(_) => "good".to_owned(),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn config_faults_match_record() {
    let config: Value = serde_json::from_str(CONFIG).expect("JSON");
    assert_eq!(config_fault(&config), "good");
    let mut all = Vec::new();
    collect_pointers(&config, "", &mut all);
    assert!(all.len() > 100, "only {} keys", all.len());
    let mut output = String::new();
    for path in all {
        output += &format!(
            "{path} left out: {}\n",
            config_fault(&without(&config, &path))
        );
        let old = config.pointer(&path).expect("the path exists");
        let other_type = if old.is_string() {
            json!([7])
        } else {
            json!("nonsense")
        };
        output += &format!(
            "{path} of another type: {}\n",
            config_fault(&with(&config, &path, other_type))
        );
        if old.is_string() {
            output += &format!(
                "{path} unknown: {}\n",
                config_fault(&with(&config, &path, json!("unheard-of")))
            );
        }
        if old.is_number() {
            output += &format!(
                "{path} negative: {}\n",
                config_fault(&with(&config, &path, json!(-1)))
            );
            output += &format!(
                "{path} zero: {}\n",
                config_fault(&with(&config, &path, json!(0)))
            );
        }
    }
    golden::assert_matches("config-faults.txt", &output);
}

/// The evaluator, and an operator's file in a temporary folder.
struct OperatorFile {
    evaluator: &'static Path,
    folder: tempfile::TempDir,
    path: std::path::PathBuf,
}

impl OperatorFile {
    fn new(text: &str) -> OperatorFile {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("operator.star");
        std::fs::write(&path, text).expect("written");
        OperatorFile {
            evaluator: Path::new(env!("CARGO_BIN_EXE_asterreel-config-eval")),
            folder,
            path,
        }
    }

    /// Replaces the path of the temporary folder, which differs from run to run.
    fn mask_folder(&self, text: &str) -> String {
        text.replace(&self.folder.path().display().to_string(), "FOLDER")
    }

    /// The evaluator's output for the file.
    fn reply(&self) -> String {
        let output = Command::new(self.evaluator)
            .arg(&self.path)
            .arg("20000")
            .output()
            .expect("the evaluator starts");
        self.mask_folder(&String::from_utf8(output.stdout).expect("text"))
    }

    /// The error of the file together with the configuration, or `good`.
    fn fault(&self) -> String {
        let config = Config::parse(CONFIG.as_bytes(), |_| None).expect("good");
        let evaluated = operator::evaluate(self.evaluator, &self.path, Duration::from_secs(20));
        let result = evaluated.and_then(|evaluated| evaluated.check_with_config(&config).map(drop));
        result.map_or_else(
            |fault| self.mask_folder(&fault.to_string()),
            |()| "good".to_owned(),
        )
    }
}

#[test]
fn operator_file_matches_record() {
    let operator = OperatorFile::new(OPERATOR);
    assert_eq!(operator.fault(), "good");
    golden::assert_matches("operator-reply.json", &operator.reply());
}

/// The named arguments in a text: the offsets at which the name and the value begin.
fn argument_offsets(text: &str) -> Vec<(usize, usize)> {
    let name_length = |at: &usize| {
        text[..*at]
            .chars()
            .rev()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .count()
    };
    let equals = text.match_indices(" = ").map(|(at, _)| at);
    equals.map(|at| (at - name_length(&at), at + 3)).collect()
}

/// Invalid operator's files, each with a description of its fault.
fn invalid_files() -> Vec<(String, String)> {
    let mut all = Vec::new();
    for (name, value) in argument_offsets(OPERATOR) {
        let (key, line) = (&OPERATOR[name..value - 3], OPERATOR[..name].lines().count());
        let misspelt = format!("{}x{}", &OPERATOR[..name], &OPERATOR[name..]);
        all.push((format!("{line} {key} misspelt"), misspelt));
        let rest = &OPERATOR[value..];
        let end = rest.find([',', ')', '\n']).expect("an end");
        if !rest[..end].contains(['(', '[', '{']) {
            for invalid in ["'nonsense'", "-1", "0", "99999999"] {
                let text = format!("{}{invalid}{}", &OPERATOR[..value], &rest[end..]);
                all.push((format!("{line} {key} = {invalid}"), text));
            }
        }
    }
    all
}

#[test]
fn operator_faults_match_record() {
    let files = invalid_files();
    let report =
        |(name, text): &(String, String)| format!("{name}: {}\n", OperatorFile::new(text).fault());
    // Each file starts a process, so that four threads share the files.
    let parts = files.chunks(files.len().div_ceil(4));
    let output: String = std::thread::scope(|scope| {
        let threads: Vec<_> = parts
            .map(|part| scope.spawn(move || part.iter().map(report).collect::<String>()))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the thread does not panic"))
            .collect()
    });
    golden::assert_matches("operator-faults.txt", &output);
}

#[test]
fn discovery_list_matches_record() {
    let list: EndpointList =
        serde_json::from_str(include_str!("golden/discovery-list.json")).expect("a list");
    let zones = ["east".to_owned(), "west".to_owned()];
    let mut output = format!("revision {}, complete {}\n", list.revision, list.complete);
    for (number, entry) in list.members.iter().enumerate() {
        let endpoint = entry
            .endpoint(MemberId(number as u32), &zones)
            .expect("an entry");
        let state = match endpoint.state {
            EndpointState::Ready => "on",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "gone",
        };
        let role = if endpoint.role == Role::Primary {
            "primary"
        } else {
            "replica"
        };
        let (group, zone, hash) = (endpoint.group.0, endpoint.zone.0, endpoint.tie_break_hash);
        output += &format!(
            "{} at {:?}: {state} {role}, group {group}, zone {zone}, size {}, started {}, hash {hash:016x}\n",
            entry.store, entry.address, endpoint.size, endpoint.started
        );
    }
    let unknown = r#"{"id": "s", "phase": "lost", "cell": 0}"#;
    let unknown: EndpointRecord = serde_json::from_str(unknown).expect("an entry");
    output += &format!(
        "{}\n",
        unknown
            .endpoint(MemberId(0), &zones)
            .expect_err("an unknown state")
    );
    golden::assert_matches("discovery-list.txt", &output);
}

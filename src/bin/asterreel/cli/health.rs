//! `asterreel health`: a table of the health that a running gateway reports.

use super::exchange::{get, ExchangeError};
use super::print_line;
use clap::Args;
use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Args)]
pub(crate) struct Health {
    /// The gateway's HTTP health listener, as ADDRESS:PORT
    #[arg(default_value = "127.0.0.1:6461")]
    address: SocketAddr,
    /// Print the gateway's answer as JSON
    #[arg(long)]
    json: bool,
}

/// Prints the health that a gateway reports.
pub(crate) fn run(health: &Health) -> ExitCode {
    let report = get(health.address, "/health", Duration::from_secs(2)).and_then(|(_, body)| {
        let value: Result<Value, _> = serde_json::from_str(&body);
        value.map_err(|error| ExchangeError::Invalid(error.to_string()))
    });
    match report {
        Ok(value) => {
            print_line(&if health.json {
                value.to_string()
            } else {
                table(&value)
            });
            ExitCode::SUCCESS
        }
        Err(ExchangeError::Io(error)) => {
            eprintln!(
                "asterreel: {}: {error}; check that the gateway runs, and that its operator's file sets \
                 health(http = ...)",
                health.address
            );
            ExitCode::from(3)
        }
        Err(ExchangeError::Invalid(text)) => {
            eprintln!(
                "asterreel: {}: not a gateway's health answer: {text}; check that this is its HTTP health listener",
                health.address
            );
            ExitCode::from(4)
        }
    }
}

/// The report as a table: the whole gateway first, then each group.
fn table(value: &Value) -> String {
    let mut rows = vec![COLUMNS.map(str::to_owned)];
    let gateway = format!("gateway {}", plain(&value["serviceId"]));
    rows.push(row(gateway, value));
    for (name, entries) in value["checks"].as_object().into_iter().flatten() {
        rows.push(row(name.replace(':', " "), &entries[0]));
    }
    aligned(&rows)
}

const COLUMNS: [&str; 7] = [
    "scope",
    "state",
    "weight",
    "reason",
    "in flight",
    "held",
    "members",
];

/// A JSON value as text, a string without its quotes.
fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}

/// The row of a scope; columns without a value are empty.
fn row(scope: String, entry: &Value) -> [String; COLUMNS.len()] {
    let members = match (&entry["usable_members"], &entry["members"]) {
        (Value::Null, _) | (_, Value::Null) => String::new(),
        (usable, all) => format!("{usable} of {all}"),
    };
    let number = |key: &str| {
        if entry[key].is_null() {
            String::new()
        } else {
            entry[key].to_string()
        }
    };
    let [state, weight, reason] = ["state", "weight", "reason"].map(|key| plain(&entry[key]));
    [
        scope,
        state,
        weight,
        reason,
        number("in_flight"),
        number("held"),
        members,
    ]
}

/// Rows as lines of text, each column as wide as its widest cell.
fn aligned<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        rows.iter()
            .map(|row| row[column].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..N).map(width).collect();
    let line = |row: &[String; N]| {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        cells.join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

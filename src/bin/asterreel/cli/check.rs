//! `asterreel check`: both files, without a socket.

use super::{Files, EVALUATION};
use asterreel::config::Config;
use asterreel::operator::ControlSettings;
use std::error::Error;

/// Checks both files.
pub(crate) fn run(files: &Files) -> Result<(), Box<dyn Error>> {
    let evaluated = files.evaluate(EVALUATION)?;
    let config = Config::from_env()?;
    println!(
        "configuration: good ({}, listens on {})",
        config.name, config.listen
    );
    let Some(path) = &files.operator else {
        return Ok(());
    };
    let table = evaluated.beside(&config)?;
    if let Some(lease) = &evaluated.operator.lease {
        println!("{}: lease good; {}", path.display(), part(lease));
    }
    match table {
        Some(table) => {
            let ms = |micros: u64| micros / 1000;
            println!(
                "{}: good; a drain is announced for {} ms and answered until {} ms after SIGTERM",
                path.display(),
                ms(table.announce),
                ms(table.answer_until)
            );
        }
        None => println!("{}: good; health is off", path.display()),
    }
    Ok(())
}

/// What part a gateway has in its fleet's control plane, and how long its rights last.
fn part(lease: &ControlSettings) -> String {
    let ControlSettings { me, lease_ms, .. } = lease;
    let wait = lease.timing().wait_us().div_ceil(1000);
    if !lease.is_voter() {
        let members = lease.voters().count();
        return format!(
            "gateway {me}, served by {members} control members, acts for {lease_ms} ms, others wait {wait} ms"
        );
    }
    let (peers, duties) = (lease.peers.len(), lease.duties.join(" and "));
    format!("gateway {me} of {peers} peers holds {duties} for {lease_ms} ms, others wait {wait} ms")
}

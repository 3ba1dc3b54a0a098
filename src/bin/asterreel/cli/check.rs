//! `asterreel check`: checks the configuration and the operator's file without opening a socket.

use super::{Files, EVALUATION};
use asterreel::config::Config;
use asterreel::operator::ControlSettings;
use std::error::Error;

/// Checks both files, and prints what the gateway would do by them.
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
    let timetable = evaluated.check_with_config(&config)?;
    if let Some(lease) = &evaluated.operator.lease {
        println!("{}: lease good; {}", path.display(), describe_role(lease));
    }
    match timetable {
        Some(timetable) => {
            let ms = |micros: u64| micros / 1000;
            println!(
                "{}: good; a drain is announced for {} ms, and requests are answered until {} ms after SIGTERM",
                path.display(),
                ms(timetable.announce),
                ms(timetable.answer_until)
            );
        }
        None => println!("{}: good; health is off", path.display()),
    }
    Ok(())
}

/// Describes a gateway's role in its fleet's control plane, and how long its permissions last.
fn describe_role(lease: &ControlSettings) -> String {
    let ControlSettings { me, lease_ms, .. } = lease;
    let wait = lease.timing().wait_us().div_ceil(1000);
    if !lease.is_voter() {
        let members = lease.voters().count();
        return format!(
            "gateway {me}, served by {members} control members; its permissions \
             last {lease_ms} ms, and others wait {wait} ms for them to expire"
        );
    }
    let (peers, duties) = (lease.peers.len(), lease.duties.join(" and "));
    format!("gateway {me} of {peers} peers, for the duties {duties}; a lease lasts {lease_ms} ms, and others \
             wait {wait} ms for it to expire")
}

//! A rolling restart of three gateways under load, with and without health.

use super::under_load::{self, write, Front};
use super::{Setting, PATIENCE};
use anyhow::ensure;
use asterreel_testbench::gateway::Gateway;
use asterreel_testbench::load::{self, Record};
use asterreel_testbench::now;
use nix::sys::signal::Signal;
use std::thread;
use std::time::{Duration, Instant};

/// Between a gateway's exit and its next start.
const RELEASE: Duration = Duration::from_secs(2);

/// Restarts the gateways one after another, with each way of checking them.
pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let shape = load::Shape {
        rate: 400.0,
        span: Duration::from_secs(30),
        clients: 96,
        seed: setting.seed,
        ..load::Shape::default()
    };
    let (mut rows, mut lines) = (Vec::new(), Vec::new());
    for (arm, front) in [
        ("connect check every 2 s", Front::SlowConnect),
        ("connect check every 100 ms", Front::Connect),
        ("agent-check every 100 ms", Front::Agent),
    ] {
        let mut drains: Vec<(usize, u64, u64)> = Vec::new();
        let played = under_load::play(setting, front, shape, |_, gateways, plans, balancer| {
            thread::sleep(Duration::from_secs(3));
            for number in 0..3 {
                let told = now();
                gateways[number].signal(Signal::SIGTERM)?;
                ensure!(gateways[number].wait(PATIENCE)?, "it ended badly");
                // What a new release takes to be put in place.
                thread::sleep(RELEASE);
                gateways[number] = Gateway::start(&plans[number])?;
                drains.push((number, told, now()));
                let until = Instant::now() + PATIENCE;
                while balancer.now(number).1 < 100 {
                    ensure!(
                        Instant::now() < until,
                        "gateway {number} never came up again"
                    );
                    thread::sleep(Duration::from_millis(10));
                }
                thread::sleep(Duration::from_secs(1));
            }
            Ok(())
        })?;
        let late = |record: &&Record| {
            let sent = record.sent;
            drains.iter().any(|(number, told, again)| {
                record.gateway == Some(*number) && sent > told + 2_000_000 && sent < *again
            })
        };
        let late = played.records.iter().filter(late).count();
        rows.push(played.row(arm, late));
        lines.push((arm.to_owned(), played.by_second()));
    }
    write(
        setting,
        "health-rolling",
        "A rolling restart of three gateways at 400 requests a second",
        &rows,
        &lines,
    )
}

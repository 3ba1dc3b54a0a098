//! The effect of a rolling restart of three gateways under load, with and without health checks.

use super::under_load::{self, write, CheckMode};
use super::{Setting, TIMEOUT};
use anyhow::ensure;
use asterreel_testbench::gateway::Gateway;
use asterreel_testbench::load::{self, Record};
use asterreel_testbench::now;
use nix::sys::signal::Signal;
use std::thread;
use std::time::{Duration, Instant};

/// Time between a gateway's exit and its next start, as the deployment of a new release takes.
const DEPLOYMENT_TIME: Duration = Duration::from_secs(2);

/// Restarts the gateways one after another, with each mode of health checks.
pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let shape = load::Shape {
        rate: 400.0,
        span: Duration::from_secs(30),
        clients: 96,
        seed: setting.seed,
        ..load::Shape::default()
    };
    let (mut rows, mut lines) = (Vec::new(), Vec::new());
    for (arm, check_mode) in [
        ("connect check every 2 s", CheckMode::SlowConnect),
        ("connect check every 100 ms", CheckMode::Connect),
        ("agent-check every 100 ms", CheckMode::Agent),
    ] {
        let mut drains: Vec<(usize, u64, u64)> = Vec::new();
        let result = under_load::run(
            setting,
            check_mode,
            shape,
            |_, gateways, plans, balancer| {
                thread::sleep(Duration::from_secs(3));
                for number in 0..3 {
                    let signalled_at = now();
                    gateways[number].signal(Signal::SIGTERM)?;
                    ensure!(
                        gateways[number].wait(TIMEOUT)?,
                        "gateway {number} exited with an error after SIGTERM"
                    );
                    thread::sleep(DEPLOYMENT_TIME);
                    gateways[number] = Gateway::start(&plans[number])?;
                    drains.push((number, signalled_at, now()));
                    let until = Instant::now() + TIMEOUT;
                    while balancer.now(number).1 < 100 {
                        ensure!(
                        Instant::now() < until,
                        "gateway {number} did not reach weight 100 within {TIMEOUT:?} after its restart"
                    );
                        thread::sleep(Duration::from_millis(10));
                    }
                    thread::sleep(Duration::from_secs(1));
                }
                Ok(())
            },
        )?;
        let late = |record: &&Record| {
            let sent = record.sent;
            drains.iter().any(|(number, signalled_at, up_at)| {
                record.gateway == Some(*number) && sent > signalled_at + 2_000_000 && sent < *up_at
            })
        };
        let late = result.records.iter().filter(late).count();
        rows.push(result.row(arm, late));
        lines.push((arm.to_owned(), result.by_second()));
    }
    write(
        setting,
        "health-rolling",
        "A rolling restart of three gateways at 400 requests a second",
        &rows,
        &lines,
    )
}

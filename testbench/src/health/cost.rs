//! The cost of health for a gateway: CPU, memory and descriptors with health off and on, with and without checks.

use super::{plan, recorded, Setting, TIMEOUT};
use anyhow::ensure;
use asterreel_testbench::balancer::{Balancer, Check, CheckSettings};
use asterreel_testbench::fleet::{self, Fleet};
use asterreel_testbench::gateway::Gateway;
use asterreel_testbench::load::{self};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Measures each arm three times and writes the run with the median CPU time per request.
pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = csv::Writer::from_path(setting.out.join("health-cost.csv"))?;
    table.write_record([
        "arm",
        "requests",
        "CPU us a request",
        "resident KiB",
        "descriptors",
    ])?;
    let shape = load::Shape {
        rate: 300.0,
        span: Duration::from_secs(8),
        clients: 48,
        seed: setting.seed,
        ..load::Shape::default()
    };
    for (arm, health, checks) in [
        ("off", false, 0),
        ("on, no checks", true, 0),
        ("on, 200 agent-checks a second", true, 200),
        ("on, 200 HTTP checks a second", true, 201),
    ] {
        let mut runs = Vec::new();
        for _ in 0..3 {
            let fleet = Fleet::start(fleet::Shape::default())?;
            let plan = plan(setting, &fleet, 0, health, "")?;
            let gateway = Gateway::start(&plan)?;
            thread::sleep(Duration::from_secs(3));
            let stop = Arc::new(AtomicBool::new(false));
            let check = match checks {
                201 => Check::Http(plan.http, "/readyz".into()),
                _ => Check::Agent(plan.agent, "\n".into()),
            };
            let checkers: Vec<_> = (0..if checks > 0 { 10 } else { 0 })
                .map(|_| {
                    let (stop, check) = (stop.clone(), check.clone());
                    thread::spawn(move || {
                        while !stop.load(Ordering::Acquire) {
                            let started_at = Instant::now();
                            let _ = check.run(Duration::from_secs(1));
                            thread::sleep(
                                Duration::from_millis(50).saturating_sub(started_at.elapsed()),
                            );
                        }
                    })
                })
                .collect();
            let balancer = Balancer::start(
                vec![Check::Connect(plan.client)],
                CheckSettings {
                    interval: Duration::from_secs(5),
                    ..CheckSettings::default()
                },
            );
            ensure!(
                recorded(&balancer, 0, 0, |change| change.weight == 100).is_some(),
                "the gateway did not reach weight 100 within {TIMEOUT:?}"
            );
            let before = gateway.cpu_us()?;
            let records = load::run(shape, &balancer, &[plan.client]);
            let used = gateway.cpu_us()? - before;
            let (descriptors, resident) = gateway.resource_usage()?;
            stop.store(true, Ordering::Release);
            balancer.stop();
            for checker in checkers {
                let _ = checker.join();
            }
            runs.push((
                used as f64 / records.len() as f64,
                records.len(),
                resident,
                descriptors,
            ));
        }
        runs.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (cpu, requests, resident, descriptors) = runs[1];
        println!("{arm}: {cpu:.1} us a request over {requests}, {resident} KiB, {descriptors} descriptors (runs {runs:?})");
        table.write_record([
            arm,
            &requests.to_string(),
            &format!("{cpu:.1}"),
            &resident.to_string(),
            &descriptors.to_string(),
        ])?;
    }
    table.flush()?;
    Ok(())
}

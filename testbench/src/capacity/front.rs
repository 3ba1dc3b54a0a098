//! The CPU time and descriptors that health checks need in a gateway without other load.

use super::neighbours::Backends;
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use crate::balancer::Check;
use crate::process;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const RATES: [u64; 6] = [0, 25, 50, 100, 200, 400];
/// Number of threads that send checks, each with an equal part of the rate.
const CHECKERS: u64 = 10;
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
const DATABASES: usize = 10;

const QUANTITIES: [Quantity; 3] = [
    fitted("CPU us a second"),
    fitted("descriptors, the most seen"),
    informational("checks a second answered"),
];

pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("front", "agent-checks a second", &QUANTITIES);
    table.measure(setting, &RATES, |_, rate, seed| {
        let backends = Backends::start(DATABASES, Duration::ZERO)?;
        let mut plan = stage::plan(setting, &backends, plan::FLEET_SIZE, stage::FEW_SOCKETS)?;
        plan.health = true;
        let gateway = stage::start(&plan)?;
        let (stop, answered) = (AtomicBool::new(false), AtomicU64::new(0));
        let check = Check::Agent(plan.agent, "\n".into());
        let (used, max_descriptors, checks) = thread::scope(|scope| -> anyhow::Result<_> {
            for number in 0..if rate > 0 { CHECKERS } else { 0 } {
                let (check, stop, answered) = (&check, &stop, &answered);
                let interval = Duration::from_micros(1_000_000 * CHECKERS / rate);
                let mut random = fastrand::Rng::with_seed(seed * CHECKERS + number);
                scope.spawn(move || {
                    thread::sleep(interval.mul_f64(random.f64()));
                    while !stop.load(Ordering::Acquire) {
                        let began = Instant::now();
                        answered.fetch_add(
                            u64::from(check.run(CHECK_TIMEOUT).is_ok()),
                            Ordering::Relaxed,
                        );
                        thread::sleep(interval.saturating_sub(began.elapsed()));
                    }
                });
            }
            thread::sleep(stage::REST_TIME);
            let (from, began) = (answered.load(Ordering::Relaxed), Instant::now());
            let mut max_descriptors = 0;
            let (used, sampled) = stage::cpu_us(&gateway, || -> anyhow::Result<()> {
                while began.elapsed() < stage::IDLE_WINDOW {
                    max_descriptors = max_descriptors.max(process::descriptors(gateway.id())?);
                    thread::sleep(Duration::from_millis(20));
                }
                Ok(())
            })?;
            let took = began.elapsed().as_secs_f64();
            let checks = (answered.load(Ordering::Relaxed) - from) as f64 / took;
            stop.store(true, Ordering::Release);
            sampled?;
            Ok((used / took, max_descriptors, checks))
        })?;
        Ok(vec![used, max_descriptors as f64, checks])
    })?;
    table.write(setting, plan::CHECKS_PER_GATEWAY)
}

//! What checks of balancers cost a gateway that does nothing else.

use super::neighbours::Neighbours;
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use crate::balancer::Check;
use crate::process;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const RATES: [u64; 6] = [0, 25, 50, 100, 200, 400];
/// Threads that check; each has its part of the rate.
const CHECKERS: u64 = 10;
const PATIENCE: Duration = Duration::from_secs(1);
const DATABASES: usize = 10;

const QUANTITIES: [Quantity; 3] = [
    fitted("CPU us a second"),
    fitted("descriptors, the most seen"),
    told("checks a second answered"),
];

pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("front", "agent-checks a second", &QUANTITIES);
    table.measure(setting, &RATES, |_, rate, seed| {
        let neighbours = Neighbours::start(DATABASES, Duration::ZERO)?;
        let mut plan = stage::plan(setting, &neighbours, plan::FLEET, stage::FEW_SOCKETS)?;
        plan.health = true;
        let gateway = stage::start(&plan)?;
        let (ending, answered) = (AtomicBool::new(false), AtomicU64::new(0));
        let check = Check::Agent(plan.agent, "\n".into());
        let (used, most, checks) = thread::scope(|scope| -> anyhow::Result<_> {
            for number in 0..if rate > 0 { CHECKERS } else { 0 } {
                let (check, ending, answered) = (&check, &ending, &answered);
                let every = Duration::from_micros(1_000_000 * CHECKERS / rate);
                let mut random = fastrand::Rng::with_seed(seed * CHECKERS + number);
                scope.spawn(move || {
                    thread::sleep(every.mul_f64(random.f64()));
                    while !ending.load(Ordering::Acquire) {
                        let began = Instant::now();
                        answered
                            .fetch_add(u64::from(check.run(PATIENCE).is_ok()), Ordering::Relaxed);
                        thread::sleep(every.saturating_sub(began.elapsed()));
                    }
                });
            }
            thread::sleep(stage::REST);
            let (from, began) = (answered.load(Ordering::Relaxed), Instant::now());
            let mut most = 0;
            let (used, looked) = stage::cpu_us(&gateway, || -> anyhow::Result<()> {
                while began.elapsed() < stage::WATCHED {
                    most = most.max(process::descriptors(gateway.id())?);
                    thread::sleep(Duration::from_millis(20));
                }
                Ok(())
            })?;
            let took = began.elapsed().as_secs_f64();
            let checks = (answered.load(Ordering::Relaxed) - from) as f64 / took;
            ending.store(true, Ordering::Release);
            looked?;
            Ok((used / took, most, checks))
        })?;
        Ok(vec![used, most as f64, checks])
    })?;
    table.write(setting, plan::CHECKS_EACH)
}

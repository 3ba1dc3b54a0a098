//! The load on databases and discovery by the number of gateways.

use super::neighbours::{Backends, Count};
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load;
use std::thread;
use std::time::Duration;

/// The traffic that stays constant when gateways are added.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Traffic {
    /// The statements per second of all gateways together.
    Total,
    /// The statements per second from each gateway to each database, as planned.
    PerPair,
}

const GATEWAYS: [u64; 8] = [2, 8, 12, 16, 24, 32, 48, 64];
/// The largest fleet that counts as small, in which gateways probe by another rule (`docs/design/fleet.md`). These
/// sizes are in the table, but not in the fit.
const MAX_SMALL_FLEET: u64 = 8;
const DATABASES: usize = 10;
/// Execution time of a statement.
const STATEMENT_TIME: Duration = Duration::from_millis(2);
/// Statements per second in total: the planned rate per pair of a gateway and a database, for 32 gateways.
const TOTAL_RATE: f64 = plan::STATEMENTS_PER_PAIR * 32.0 * DATABASES as f64;
/// Warm-up, after which connections and known positions no longer change.
const WARM_UP: Duration = Duration::from_secs(6);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Number of samples of the open connections in a measurement.
const SAMPLES: u32 = 16;
const CLIENTS: usize = 48;

const QUANTITIES: [Quantity; 9] = [
    fitted("connections open at a database"),
    fitted("probes a second at a database"),
    fitted("handshakes a second at a database"),
    fitted("watches open at discovery"),
    fitted("calls to discovery until the first lists"),
    informational("calls a second to discovery at rest"),
    informational("bytes of a list"),
    informational("statements a second"),
    informational("share served in time"),
];

pub(super) fn run(setting: &Setting, traffic: Traffic) -> anyhow::Result<()> {
    let name = if traffic == Traffic::Total {
        "databases"
    } else {
        "pairs"
    };
    let mut table = Table::new(name, "gateways", &QUANTITIES);
    table.measure(setting, &GATEWAYS, |table, gateways, seed| {
        let backends = Backends::start(DATABASES, STATEMENT_TIME)?;
        let plans: Vec<_> = (0..gateways)
            .map(|_| stage::plan(setting, &backends, gateways as usize, stage::FEW_SOCKETS))
            .collect::<Result<_, _>>()?;
        let _running: Vec<_> = plans.iter().map(stage::start).collect::<Result<_, _>>()?;
        let clients: Vec<_> = plans.iter().map(|plan| plan.client).collect();
        let balancer = stage::balancer(&clients)?;
        let rate = match traffic {
            Traffic::Total => TOTAL_RATE,
            Traffic::PerPair => plan::STATEMENTS_PER_PAIR * gateways as f64 * DATABASES as f64,
        };
        let shape = load::Shape {
            rate,
            clients: CLIENTS,
            seed,
            clusters: backends.groups() as u64,
            span: WARM_UP + MEASURE_TIME,
            ..load::Shape::default()
        };
        let load_balancer = balancer.clone();
        let load = thread::spawn(move || load::run(shape, &load_balancer, &clients));
        thread::sleep(WARM_UP);
        let (from, mut open) = (backends.count(), 0);
        for _ in 0..SAMPLES {
            thread::sleep(MEASURE_TIME / SAMPLES);
            open += backends.count().open;
        }
        let until = backends.count();
        let records = load
            .join()
            .map_err(|_| anyhow::anyhow!("the load panicked"))?;
        balancer.stop();
        let share = load::served(&records) as f64 / records.len().max(1) as f64;
        if gateways <= MAX_SMALL_FLEET {
            table.exclude(gateways, "a small fleet: it probes by another rule".into());
        }
        if share < 0.99 {
            table.exclude(gateways, format!("{share:.3} served in time"));
        }
        let per_second =
            |of: fn(&Count) -> u64| (of(&until) - of(&from)) as f64 / MEASURE_TIME.as_secs_f64();
        let each = DATABASES as f64;
        Ok(vec![
            open as f64 / f64::from(SAMPLES) / each,
            per_second(|count| count.probes) / each,
            per_second(|count| count.handshakes) / each,
            until.watches as f64,
            from.calls as f64,
            per_second(|count| count.calls),
            until.list_bytes as f64 / until.calls.max(1) as f64,
            per_second(|count| count.statements),
            share,
        ])
    })?;
    table.write(setting, plan::GATEWAYS)
}

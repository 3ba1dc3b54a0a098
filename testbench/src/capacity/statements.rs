//! CPU of one gateway by the number of statements per second, up to its maximum.

use super::neighbours::Backends;
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load::Shape;
use std::time::Duration;

const RATES: [u64; 9] = [100, 200, 400, 800, 1_340, 2_000, 3_000, 4_500, 6_000];
/// The minimum share of requests served within their latency target. Below it, a rate exceeds what the gateway or the
/// testbench can handle.
const MIN_SERVED_SHARE: f64 = 0.99;
const DATABASES: usize = 10;
/// Execution time of a statement.
const STATEMENT_TIME: Duration = Duration::from_millis(2);
/// Warm-up, in which connections are opened and the gateway adapts its limits.
const WARM_UP: Duration = Duration::from_secs(3);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(6);
/// Number of client threads: enough for the highest rate at 10 ms per request.
const CLIENTS: usize = 96;

const QUANTITIES: [Quantity; 4] = [
    fitted("CPU ms a second"),
    fitted("CPU us a statement"),
    informational("share served in time"),
    informational("statements a second served"),
];

pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("statements", "statements a second", &QUANTITIES);
    table.measure(setting, &RATES, |table, rate, seed| {
        let backends = Backends::start(DATABASES, STATEMENT_TIME)?;
        let plan = stage::plan(setting, &backends, plan::FLEET_SIZE, stage::FEW_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        let shape = Shape {
            rate: rate as f64,
            clients: CLIENTS,
            seed,
            clusters: backends.groups() as u64,
            span: WARM_UP,
            ..Shape::default()
        };
        let measured = stage::Load::warm_up(&gateway, plan.client, shape)?.count(MEASURE_TIME)?;
        let ended = measured
            .records
            .iter()
            .map(|record| record.due + record.took)
            .max()
            .unwrap_or(0);
        let begun = measured.records.first().map_or(0, |record| record.due);
        let took = (ended.saturating_sub(begun) as f64 / 1e6).max(MEASURE_TIME.as_secs_f64());
        let (used, served) = (measured.cpu_us, measured.served());
        let share = served / measured.sent();
        if share < MIN_SERVED_SHARE {
            table.exclude(
                rate,
                format!("carried {:.0} a second in time", served / took),
            );
        }
        Ok(vec![
            used / 1e3 / took,
            used / measured.sent(),
            share,
            served / took,
        ])
    })?;
    table.write(setting, plan::STATEMENTS_PER_GATEWAY)
}

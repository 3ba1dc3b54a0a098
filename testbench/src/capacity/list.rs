//! Memory and CPU of a gateway, at rest and under load, and the size of the member list on the wire, by the number of
//! databases in the list.

use super::neighbours::Backends;
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load::Shape;
use crate::process;
use std::thread;
use std::time::Duration;

const SIZES: [u64; 6] = [10, 100, 200, 400, 650, 910];
/// Execution time of a statement.
const STATEMENT_TIME: Duration = Duration::from_millis(2);
/// Statements per second: as planned, so that the point of the longest list is the planned one.
const RATE: f64 = plan::STATEMENTS_PER_GATEWAY;
/// Warm-up: longer than the idle timeout of connections to databases, 10 s.
const WARM_UP: Duration = Duration::from_secs(12);
/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(6);
const CLIENTS: usize = 48;

const QUANTITIES: [Quantity; 9] = [
    fitted("anonymous KiB at rest"),
    fitted("bytes of the list"),
    fitted("CPU us a second at rest"),
    fitted("CPU us a statement"),
    fitted("connections to databases under load"),
    fitted("anonymous KiB under load"),
    fitted("probes a second"),
    fitted("handshakes a second"),
    informational("share served in time"),
];

pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("list", "databases listed", &QUANTITIES);
    table.measure(setting, &SIZES, |_, size, seed| {
        let backends = Backends::start(size as usize, STATEMENT_TIME)?;
        // Enough descriptors to keep a connection to each database.
        let plan = stage::plan(setting, &backends, plan::FLEET_SIZE, stage::MANY_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        thread::sleep(stage::REST_TIME);
        let resting = process::anonymous_kib(gateway.id())?;
        let idle = stage::idle_us_per_s(&gateway)?;
        let shape = Shape {
            rate: RATE,
            clients: CLIENTS,
            seed,
            clusters: backends.groups() as u64,
            span: WARM_UP,
            ..Shape::default()
        };
        let load = stage::Load::warm_up(&gateway, plan.client, shape)?;
        let from = backends.count();
        let measured = load.count(MEASURE_TIME)?;
        let (loaded, count) = (process::anonymous_kib(gateway.id())?, backends.count());
        Ok(vec![
            resting as f64,
            count.list_bytes as f64 / count.calls.max(1) as f64,
            idle,
            measured.cpu_us / measured.sent(),
            count.open as f64,
            loaded as f64,
            (count.probes - from.probes) as f64 / MEASURE_TIME.as_secs_f64(),
            (count.handshakes - from.handshakes) as f64 / MEASURE_TIME.as_secs_f64(),
            measured.served() / measured.sent(),
        ])
    })?;
    table.write(setting, plan::DATABASES)
}

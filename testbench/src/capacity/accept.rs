//! The CPU time that a gateway needs to accept one more connection, by the number of connections that are open.

use super::neighbours::Backends;
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use std::thread;
use std::time::Duration;

const SIZES: [u64; 7] = [0, 250, 500, 1_000, 2_000, 3_000, 4_000];
/// Number of further connections that are measured at each size: far below the larger sizes, and enough for a mean.
const MEASURED_CONNECTIONS: u64 = 200;
const DATABASES: usize = 10;

const QUANTITIES: [Quantity; 2] = [
    fitted("CPU us to accept and open one more"),
    informational("connections held"),
];

pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("accept", "connections open", &QUANTITIES);
    table.measure(setting, &SIZES, |table, size, _| {
        let backends = Backends::start(DATABASES, Duration::ZERO)?;
        let plan = stage::plan(setting, &backends, plan::FLEET_SIZE, stage::MANY_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        let open = stage::sessions(plan.client, size);
        thread::sleep(stage::REST_TIME);
        let (used, more) = stage::cpu_us(&gateway, || {
            stage::sessions(plan.client, MEASURED_CONNECTIONS)
        })?;
        let open_sessions = stage::open_sessions(&open) + stage::open_sessions(&more);
        if (open_sessions as u64) < size + MEASURED_CONNECTIONS {
            table.exclude(
                size,
                format!("the gateway closed connections: it keeps {open_sessions}"),
            );
        }
        Ok(vec![
            used / MEASURED_CONNECTIONS as f64,
            open_sessions as f64,
        ])
    })?;
    table.write(setting, plan::CONNECTIONS_PER_GATEWAY)
}

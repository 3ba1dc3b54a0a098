//! What one more connection costs a gateway that holds many: each is accepted among all that are open.

use super::neighbours::Neighbours;
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use std::thread;
use std::time::Duration;

const SIZES: [u64; 7] = [0, 250, 500, 1_000, 2_000, 3_000, 4_000];
/// Connections whose cost is counted at each size: far fewer than the larger sizes, and enough for a mean.
const COUNTED: u64 = 200;
const DATABASES: usize = 10;

const QUANTITIES: [Quantity; 2] = [
    fitted("CPU us to accept and open one more"),
    told("connections held"),
];

pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("accept", "connections open", &QUANTITIES);
    table.measure(setting, &SIZES, |table, size, _| {
        let neighbours = Neighbours::start(DATABASES, Duration::ZERO)?;
        let plan = stage::plan(setting, &neighbours, plan::FLEET, stage::MANY_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        let open = stage::sessions(plan.client, size);
        thread::sleep(stage::REST);
        let (used, more) = stage::cpu_us(&gateway, || stage::sessions(plan.client, COUNTED))?;
        let held = stage::held(&open) + stage::held(&more);
        if (held as u64) < size + COUNTED {
            table.aside(
                size,
                format!("the gateway closed connections: it keeps {held}"),
            );
        }
        Ok(vec![used / COUNTED as f64, held as f64])
    })?;
    table.write(setting, plan::CONNECTIONS_EACH)
}

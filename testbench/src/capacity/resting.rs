//! Connections of clients that rest between requests: memory, descriptors, and CPU while nothing happens.

use super::neighbours::Neighbours;
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load;
use crate::process;
use std::thread;
use std::time::Duration;

/// Up to the most that a gateway with 19,900 descriptors keeps (a quarter of them), and beyond, to see what it does then.
const SIZES: [u64; 8] = [0, 500, 1_000, 2_000, 3_000, 4_000, 4_800, 6_000];
const DATABASES: usize = 10;
/// Databases answer at once: what is measured comes after the answers.
const TAKES: Duration = Duration::from_millis(1);

const QUANTITIES: [Quantity; 5] = [
    fitted("anonymous KiB after one request each"),
    fitted("anonymous KiB before any request"),
    fitted("descriptors"),
    fitted("CPU us a second at rest"),
    told("connections held"),
];

pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("resting", "resting connections", &QUANTITIES);
    table.measure(setting, &SIZES, |table, size, seed| {
        let neighbours = Neighbours::start(DATABASES, TAKES)?;
        let plan = stage::plan(setting, &neighbours, plan::FLEET, stage::MANY_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        let mut sessions = stage::sessions(plan.client, size);
        thread::sleep(stage::REST);
        let before = process::anonymous_kib(gateway.id())?;
        let mut random = fastrand::Rng::with_seed(seed);
        let groups = neighbours.groups() as u64;
        for session in &mut sessions {
            // One that the gateway has closed is counted below.
            let id = format!("{:016x}", random.u64(..));
            let _ = load::send_request(
                session,
                &load::statement(&id, false, random.u64(..groups), false),
            );
        }
        thread::sleep(stage::REST);
        let idle = stage::idle_us_per_s(&gateway)?;
        let after = process::anonymous_kib(gateway.id())?;
        let descriptors = process::descriptors(gateway.id())?;
        let held = stage::held(&sessions);
        if (held as u64) < size {
            table.aside(
                size,
                format!("the gateway closed connections: it keeps {held}"),
            );
        }
        Ok(vec![
            after as f64,
            before as f64,
            descriptors as f64,
            idle,
            held as f64,
        ])
    })?;
    table.write(setting, plan::CONNECTIONS_EACH)
}

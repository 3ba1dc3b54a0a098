//! Memory, descriptors and CPU of a gateway by the number of idle client connections.

use super::neighbours::Backends;
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load;
use crate::process;
use std::thread;
use std::time::Duration;

/// Up to the number that a gateway with 19,900 descriptors keeps (a quarter of them), and one size beyond it.
const SIZES: [u64; 8] = [0, 500, 1_000, 2_000, 3_000, 4_000, 4_800, 6_000];
const DATABASES: usize = 10;
/// Execution time of a statement: short, as the measurement begins after the answers.
const STATEMENT_TIME: Duration = Duration::from_millis(1);

const QUANTITIES: [Quantity; 5] = [
    fitted("anonymous KiB after one request each"),
    fitted("anonymous KiB before any request"),
    fitted("descriptors"),
    fitted("CPU us a second at rest"),
    informational("connections held"),
];

pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("resting", "resting connections", &QUANTITIES);
    table.measure(setting, &SIZES, |table, size, seed| {
        let backends = Backends::start(DATABASES, STATEMENT_TIME)?;
        let plan = stage::plan(setting, &backends, plan::FLEET_SIZE, stage::MANY_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        let mut sessions = stage::sessions(plan.client, size);
        thread::sleep(stage::REST_TIME);
        let before = process::anonymous_kib(gateway.id())?;
        let mut random = fastrand::Rng::with_seed(seed);
        let groups = backends.groups() as u64;
        for session in &mut sessions {
            // Errors are ignored, as sessions that the gateway closed are counted below.
            let id = format!("{:016x}", random.u64(..));
            let _ = load::send_request(
                session,
                &load::statement(&id, false, random.u64(..groups), false),
            );
        }
        thread::sleep(stage::REST_TIME);
        let idle = stage::idle_us_per_s(&gateway)?;
        let after = process::anonymous_kib(gateway.id())?;
        let descriptors = process::descriptors(gateway.id())?;
        let open_sessions = stage::open_sessions(&sessions);
        if (open_sessions as u64) < size {
            table.exclude(
                size,
                format!("the gateway closed connections: it keeps {open_sessions}"),
            );
        }
        Ok(vec![
            after as f64,
            before as f64,
            descriptors as f64,
            idle,
            open_sessions as f64,
        ])
    })?;
    table.write(setting, plan::CONNECTIONS_PER_GATEWAY)
}

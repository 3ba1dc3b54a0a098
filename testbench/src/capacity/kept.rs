//! The number of idle connections that a gateway keeps, by its limit on descriptors, when clients open more than it can
//! keep.

use super::neighbours::Backends;
use super::table::{fitted, Quantity, Table};
use super::{plan, stage, Setting};
use crate::process;
use std::thread;
use std::time::Duration;

const SIZES: [u64; 5] = [256, 512, 1_024, 4_096, 16_384];
/// Clients open the limit on descriptors divided by this number of connections: more than a gateway keeps, and fewer
/// than its limit on sessions.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
const DATABASES: usize = 10;

const QUANTITIES: [Quantity; 2] = [fitted("resting connections kept"), fitted("descriptors")];

pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("kept", "descriptors given", &QUANTITIES);
    table.measure(setting, &SIZES, |_, size, _| {
        let backends = Backends::start(DATABASES, Duration::ZERO)?;
        let plan = stage::plan(setting, &backends, plan::FLEET_SIZE, size as usize)?;
        let gateway = stage::start(&plan)?;
        let sessions = stage::sessions(plan.client, size / DESCRIPTORS_PER_CONNECTION);
        thread::sleep(stage::REST_TIME);
        let descriptors = process::descriptors(gateway.id())?;
        Ok(vec![
            stage::open_sessions(&sessions) as f64,
            descriptors as f64,
        ])
    })?;
    table.write(setting, plan::DESCRIPTORS)
}

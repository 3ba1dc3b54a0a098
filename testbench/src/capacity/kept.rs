//! How many resting connections a gateway keeps of more than it can hold, against the descriptors that it is given.

use super::neighbours::Neighbours;
use super::table::{fitted, Quantity, Table};
use super::{plan, stage, Setting};
use crate::process;
use std::thread;
use std::time::Duration;

const SIZES: [u64; 5] = [256, 512, 1_024, 4_096, 16_384];
/// Of a gateway's descriptors, as connections that come: more than it keeps, and fewer than its limit on sessions.
const COMING: u64 = 2;
const DATABASES: usize = 10;

const QUANTITIES: [Quantity; 2] = [fitted("resting connections kept"), fitted("descriptors")];

pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("kept", "descriptors given", &QUANTITIES);
    table.measure(setting, &SIZES, |_, size, _| {
        let neighbours = Neighbours::start(DATABASES, Duration::ZERO)?;
        let plan = stage::plan(setting, &neighbours, plan::FLEET, size as usize)?;
        let gateway = stage::start(&plan)?;
        let sessions = stage::sessions(plan.client, size / COMING);
        thread::sleep(stage::REST);
        let descriptors = process::descriptors(gateway.id())?;
        Ok(vec![stage::held(&sessions) as f64, descriptors as f64])
    })?;
    table.write(setting, plan::DESCRIPTORS)
}

//! CPU of one gateway against statements a second, up to where it has no more to give.

use super::neighbours::Neighbours;
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load::Shape;
use std::time::Duration;

const RATES: [u64; 9] = [100, 200, 400, 800, 1_340, 2_000, 3_000, 4_500, 6_000];
/// Below this share served in time, a rate is more than the gateway, or the testbench, can carry.
const CARRIED: f64 = 0.99;
const DATABASES: usize = 10;
const TAKES: Duration = Duration::from_millis(2);
/// Before a rate is counted: connections open, limits are learnt.
const WARM: Duration = Duration::from_secs(3);
const COUNTED: Duration = Duration::from_secs(6);
/// Enough for the highest rate at 10 ms each.
const CLIENTS: usize = 96;

const QUANTITIES: [Quantity; 4] = [
    fitted("CPU ms a second"),
    fitted("CPU us a statement"),
    told("share served in time"),
    told("statements a second served"),
];

pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("statements", "statements a second", &QUANTITIES);
    table.measure(setting, &RATES, |table, rate, seed| {
        let neighbours = Neighbours::start(DATABASES, TAKES)?;
        let plan = stage::plan(setting, &neighbours, plan::FLEET, stage::FEW_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        let shape = Shape {
            rate: rate as f64,
            clients: CLIENTS,
            seed,
            clusters: neighbours.groups() as u64,
            span: WARM,
            ..Shape::default()
        };
        let counted = stage::Load::warm(&gateway, plan.client, shape)?.count(COUNTED)?;
        let ended = counted
            .records
            .iter()
            .map(|record| record.due + record.took)
            .max()
            .unwrap_or(0);
        let begun = counted.records.first().map_or(0, |record| record.due);
        let took = (ended.saturating_sub(begun) as f64 / 1e6).max(COUNTED.as_secs_f64());
        let (used, served) = (counted.cpu_us, counted.served());
        let share = served / counted.asked();
        if share < CARRIED {
            table.aside(
                rate,
                format!("carried {:.0} a second in time", served / took),
            );
        }
        Ok(vec![
            used / 1e3 / took,
            used / counted.asked(),
            share,
            served / took,
        ])
    })?;
    table.write(setting, plan::STATEMENTS_EACH)
}

//! What longer lists of databases cost a gateway, at rest and by the statement, and how long they are on the wire.

use super::neighbours::Neighbours;
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load::Shape;
use crate::process;
use std::thread;
use std::time::Duration;

const SIZES: [u64; 6] = [10, 100, 200, 400, 650, 910];
const TAKES: Duration = Duration::from_millis(2);
/// Statements a second: the plan's, so that the longest list is the plan's own point.
const RATE: f64 = plan::STATEMENTS_EACH;
/// Longer than a connection may rest before it is closed: 10 s.
const WARM: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(6);
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
    told("share served in time"),
];

pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let mut table = Table::new("list", "databases listed", &QUANTITIES);
    table.measure(setting, &SIZES, |_, size, seed| {
        let neighbours = Neighbours::start(size as usize, TAKES)?;
        // Descriptors enough to keep a connection to each.
        let plan = stage::plan(setting, &neighbours, plan::FLEET, stage::MANY_SOCKETS)?;
        let gateway = stage::start(&plan)?;
        thread::sleep(stage::REST);
        let resting = process::anonymous_kib(gateway.id())?;
        let idle = stage::idle_us_per_s(&gateway)?;
        let shape = Shape {
            rate: RATE,
            clients: CLIENTS,
            seed,
            clusters: neighbours.groups() as u64,
            span: WARM,
            ..Shape::default()
        };
        let load = stage::Load::warm(&gateway, plan.client, shape)?;
        let from = neighbours.count();
        let counted = load.count(COUNTED)?;
        let (loaded, count) = (process::anonymous_kib(gateway.id())?, neighbours.count());
        Ok(vec![
            resting as f64,
            count.list_bytes as f64 / count.calls.max(1) as f64,
            idle,
            counted.cpu_us / counted.asked(),
            count.open as f64,
            loaded as f64,
            (count.probes - from.probes) as f64 / COUNTED.as_secs_f64(),
            (count.handshakes - from.handshakes) as f64 / COUNTED.as_secs_f64(),
            counted.served() / counted.asked(),
        ])
    })?;
    table.write(setting, plan::DATABASES)
}

//! What databases and discovery see of more and more gateways.

use super::neighbours::{Count, Neighbours};
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use crate::load;
use std::thread;
use std::time::Duration;

/// What stays the same while gateways are added.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Traffic {
    /// The statements a second of all gateways together.
    Whole,
    /// The statements a second of each gateway at each database: what the plan comes to.
    Pair,
}

const GATEWAYS: [u64; 8] = [2, 8, 12, 16, 24, 32, 48, 64];
/// Up to here a fleet is small to its gateways, which probe by another rule (`docs/design/fleet.md`): these sizes show
/// it, and no curve goes through them.
const SMALL: u64 = 8;
const DATABASES: usize = 10;
const TAKES: Duration = Duration::from_millis(2);
/// Statements a second of all: at 32 gateways the plan's for each pair of a gateway and a database.
const WHOLE: f64 = plan::STATEMENTS_A_PAIR * 32.0 * DATABASES as f64;
/// Until connections and positions are as they stay; then counted.
const WARM: Duration = Duration::from_secs(6);
const COUNTED: Duration = Duration::from_secs(8);
const LOOKS: u32 = 16;
const CLIENTS: usize = 48;

const QUANTITIES: [Quantity; 9] = [
    fitted("connections open at a database"),
    fitted("probes a second at a database"),
    fitted("handshakes a second at a database"),
    fitted("watches open at discovery"),
    fitted("calls to discovery until the first lists"),
    told("calls a second to discovery at rest"),
    told("bytes of a list"),
    told("statements a second"),
    told("share served in time"),
];

pub(super) fn play(setting: &Setting, traffic: Traffic) -> anyhow::Result<()> {
    let name = if traffic == Traffic::Whole {
        "databases"
    } else {
        "pairs"
    };
    let mut table = Table::new(name, "gateways", &QUANTITIES);
    table.measure(setting, &GATEWAYS, |table, gateways, seed| {
        let neighbours = Neighbours::start(DATABASES, TAKES)?;
        let plans: Vec<_> = (0..gateways)
            .map(|_| stage::plan(setting, &neighbours, gateways as usize, stage::FEW_SOCKETS))
            .collect::<Result<_, _>>()?;
        let _running: Vec<_> = plans.iter().map(stage::start).collect::<Result<_, _>>()?;
        let clients: Vec<_> = plans.iter().map(|plan| plan.client).collect();
        let balancer = stage::balancer(&clients)?;
        let rate = match traffic {
            Traffic::Whole => WHOLE,
            Traffic::Pair => plan::STATEMENTS_A_PAIR * gateways as f64 * DATABASES as f64,
        };
        let shape = load::Shape {
            rate,
            clients: CLIENTS,
            seed,
            clusters: neighbours.groups() as u64,
            span: WARM + COUNTED,
            ..load::Shape::default()
        };
        let playing = balancer.clone();
        let load = thread::spawn(move || load::play(shape, &playing, &clients));
        thread::sleep(WARM);
        let (from, mut open) = (neighbours.count(), 0);
        for _ in 0..LOOKS {
            thread::sleep(COUNTED / LOOKS);
            open += neighbours.count().open;
        }
        let until = neighbours.count();
        let records = load
            .join()
            .map_err(|_| anyhow::anyhow!("the load panicked"))?;
        balancer.stop();
        let share = load::served(&records) as f64 / records.len().max(1) as f64;
        if gateways <= SMALL {
            table.aside(gateways, "a small fleet: it probes by another rule".into());
        }
        if share < 0.99 {
            table.aside(gateways, format!("{share:.3} served in time"));
        }
        let a_second =
            |of: fn(&Count) -> u64| (of(&until) - of(&from)) as f64 / COUNTED.as_secs_f64();
        let each = DATABASES as f64;
        Ok(vec![
            open as f64 / f64::from(LOOKS) / each,
            a_second(|count| count.probes) / each,
            a_second(|count| count.handshakes) / each,
            until.watches as f64,
            from.calls as f64,
            a_second(|count| count.calls),
            until.list_bytes as f64 / until.calls.max(1) as f64,
            a_second(|count| count.statements),
            share,
        ])
    })?;
    table.write(setting, plan::GATEWAYS)
}

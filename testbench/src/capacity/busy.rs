//! Connections of clients with a request in hand: memory, descriptors, CPU while all wait.

use super::neighbours::Neighbours;
use super::table::{fitted, told, Quantity, Table};
use super::{plan, stage, Setting};
use crate::database;
use crate::process;
use std::io::Write;
use std::time::Duration;

/// Where the requests are.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Whereabouts {
    /// At databases, each on a connection of its own.
    AtDatabases,
    /// Nearly all in the gateway, which sends each database few until it has answered.
    Waiting,
}

impl Whereabouts {
    /// How many databases there are: a gateway sends each of them about six requests before it has heard from it.
    fn databases(self) -> usize {
        match self {
            Whereabouts::AtDatabases => 200,
            Whereabouts::Waiting => 10,
        }
    }

    /// At databases, as many as 200 of them are sent, and no more.
    fn sizes(self) -> &'static [u64] {
        match self {
            Whereabouts::AtDatabases => &[0, 100, 250, 500, 750, 1_000, 1_200],
            Whereabouts::Waiting => &[0, 250, 500, 1_000, 2_000, 3_000, 4_000],
        }
    }
}

/// Longer than a point takes to measure.
const DEADLINE: Duration = Duration::from_secs(60);
const HELD: Duration = Duration::from_secs(55);

const QUANTITIES: [Quantity; 5] = [
    fitted("anonymous KiB"),
    fitted("descriptors"),
    fitted("CPU us a second while all wait"),
    told("of them at databases"),
    told("connections held and not answered"),
];

pub(super) fn play(setting: &Setting, whereabouts: Whereabouts) -> anyhow::Result<()> {
    let name = if whereabouts == Whereabouts::AtDatabases {
        "busy"
    } else {
        "waiting"
    };
    let mut table = Table::new(name, "requests in hand", &QUANTITIES);
    table.measure(setting, whereabouts.sizes(), |table, size, seed| {
        let neighbours = Neighbours::start(whereabouts.databases(), HELD)?;
        let mut plan = stage::plan(setting, &neighbours, plan::FLEET, stage::MANY_SOCKETS)?;
        plan.settings = stage::with_patience(plan.settings, DEADLINE);
        let gateway = stage::start(&plan)?;
        let mut sessions = stage::sessions(plan.client, size);
        let mut random = fastrand::Rng::with_seed(seed);
        let groups = neighbours.groups() as u64;
        for session in &mut sessions {
            let (id, group) = (random.u64(..), random.u64(..groups));
            let text = format!(
                "SELECT payload FROM entries WHERE ref = 'x' /* id={id:016x},c=patient,d={},cluster={group} */\0",
                DEADLINE.as_millis()
            );
            session.write_all(&database::message(b'Q', text.as_bytes()))?;
        }
        std::thread::sleep(stage::REST);
        let idle = stage::idle_us_per_s(&gateway)?;
        let memory = process::anonymous_kib(gateway.id())?;
        let descriptors = process::descriptors(gateway.id())?;
        let (sent, waiting) = (neighbours.count().statements, stage::unanswered(&sessions));
        if (waiting as u64) < size {
            table.aside(size, format!("{waiting} still wait: the others were answered or closed"));
        }
        Ok(vec![memory as f64, descriptors as f64, idle, sent as f64, waiting as f64])
    })?;
    table.write(setting, plan::IN_HAND_EACH)
}

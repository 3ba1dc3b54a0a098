//! Memory, descriptors and CPU of a gateway by the number of requests in progress, while all of them wait.

use super::neighbours::Backends;
use super::table::{fitted, informational, Quantity, Table};
use super::{plan, stage, Setting};
use crate::database;
use crate::process;
use std::io::Write;
use std::time::Duration;

/// Where the requests in progress wait.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestLocation {
    /// At databases, each on a separate connection.
    AtDatabases,
    /// Nearly all in the gateway, which sends only a few to each database before the first answer.
    Waiting,
}

impl RequestLocation {
    /// The number of databases. A gateway sends about six requests to a database before the first answer.
    fn databases(self) -> usize {
        match self {
            RequestLocation::AtDatabases => 200,
            RequestLocation::Waiting => 10,
        }
    }

    /// The numbers of requests: for `AtDatabases`, up to what a gateway sends to 200 databases.
    fn sizes(self) -> &'static [u64] {
        match self {
            RequestLocation::AtDatabases => &[0, 100, 250, 500, 750, 1_000, 1_200],
            RequestLocation::Waiting => &[0, 250, 500, 1_000, 2_000, 3_000, 4_000],
        }
    }
}

/// Deadline of the requests: longer than a measurement.
const DEADLINE: Duration = Duration::from_secs(60);
/// Time after which the databases answer: longer than a measurement.
const ANSWER_DELAY: Duration = Duration::from_secs(55);

const QUANTITIES: [Quantity; 5] = [
    fitted("anonymous KiB"),
    fitted("descriptors"),
    fitted("CPU us a second while all wait"),
    informational("of them at databases"),
    informational("connections held and not answered"),
];

pub(super) fn run(setting: &Setting, location: RequestLocation) -> anyhow::Result<()> {
    let name = if location == RequestLocation::AtDatabases {
        "busy"
    } else {
        "waiting"
    };
    let mut table = Table::new(name, "requests in hand", &QUANTITIES);
    table.measure(setting, location.sizes(), |table, size, seed| {
        let backends = Backends::start(location.databases(), ANSWER_DELAY)?;
        let mut plan = stage::plan(setting, &backends, plan::FLEET_SIZE, stage::MANY_SOCKETS)?;
        plan.settings = stage::add_patient_class(plan.settings, DEADLINE);
        let gateway = stage::start(&plan)?;
        let mut sessions = stage::sessions(plan.client, size);
        let mut random = fastrand::Rng::with_seed(seed);
        let groups = backends.groups() as u64;
        for session in &mut sessions {
            let (id, group) = (random.u64(..), random.u64(..groups));
            let text = format!(
                "SELECT payload FROM entries WHERE ref = 'x' /* id={id:016x},c=patient,d={},cluster={group} */\0",
                DEADLINE.as_millis()
            );
            session.write_all(&database::message(b'Q', text.as_bytes()))?;
        }
        std::thread::sleep(stage::REST_TIME);
        let idle = stage::idle_us_per_s(&gateway)?;
        let memory = process::anonymous_kib(gateway.id())?;
        let descriptors = process::descriptors(gateway.id())?;
        let (sent, waiting) = (backends.count().statements, stage::unanswered_sessions(&sessions));
        if (waiting as u64) < size {
            table.exclude(size, format!("{waiting} still wait: the others were answered or closed"));
        }
        Ok(vec![memory as f64, descriptors as f64, idle, sent as f64, waiting as f64])
    })?;
    table.write(setting, plan::REQUESTS_IN_FLIGHT_PER_GATEWAY)
}

//! What the experiments share: a gateway before counting stand-ins, sessions held at it, and what it uses meanwhile.

use super::neighbours::Neighbours;
use super::Setting;
use crate::balancer::{Balancer, Check, Pace};
use crate::gateway::{Gateway, Plan};
use crate::load::{self, Record, Shape};
use crate::process;
use anyhow::Context;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors that a gateway is told it may hold where many connections are wanted: just under a process's limit of
/// 20,000 on the machine that the tables were made on.
pub(super) const MANY_SOCKETS: usize = 19_900;
/// What a gateway is told elsewhere: the most that the platform gives.
pub(super) const FEW_SOCKETS: usize = 1_024;
/// How long a gateway may take until it serves.
const STARTS: Duration = Duration::from_secs(20);
/// Rest before each figure: what a change has set off is over by then.
pub(super) const REST: Duration = Duration::from_secs(3);
/// What the seed of a counted load is above that of its warming.
const COUNTED_SEED: u64 = 1_000;
/// How long CPU at rest is counted.
pub(super) const WATCHED: Duration = Duration::from_secs(5);

/// A gateway's plan: the testbench's usual settings, in a fleet of this size, before these neighbours.
pub(super) fn plan(
    setting: &Setting,
    neighbours: &Neighbours,
    fleet: usize,
    sockets: usize,
) -> anyhow::Result<Plan> {
    let mut plan = Plan::with_list(
        neighbours.discovery(),
        neighbours.list(),
        setting.program.clone(),
    )?;
    plan.settings["FleetSize"] = json!(fleet);
    Ok(Plan {
        health: false,
        sockets,
        ..plan
    })
}

/// Adds a class of reads that wait very long, so that requests stay in hand while they are counted.
pub(super) fn with_patience(mut settings: Value, deadline: Duration) -> Value {
    let push = |list: &mut Value, value: Value| list.as_array_mut().map(|list| list.push(value));
    let deadline = deadline.as_micros() as u64;
    push(
        &mut settings["Profiles"],
        json!({"DeadlineUs": deadline, "Effect": "free", "LateWorth": 0.2, "Name": "patient", "SloUs": deadline, "Worth": 1.0}),
    );
    push(
        &mut settings["FamilyInfo"]["Consistency"],
        json!("eventual"),
    );
    push(&mut settings["FamilyInfo"]["StalenessBoundUs"], json!(0));
    settings
}

/// Starts a gateway and waits until it serves.
pub(super) fn start(plan: &Plan) -> anyhow::Result<Gateway> {
    let gateway = Gateway::start(plan)?;
    let serving = gateway.logged(0, STARTS, |fields| fields["message"] == "serving");
    serving.with_context(|| format!("it never served: {:?}", gateway.log()))?;
    Ok(gateway)
}

/// A balancer that knows these gateways to be up and asks no more of them than a connection every 5 s.
pub(super) fn balancer(clients: &[SocketAddr]) -> anyhow::Result<Arc<Balancer>> {
    let checks = clients.iter().map(|place| Check::Connect(*place)).collect();
    let balancer = Balancer::start(
        checks,
        Pace {
            interval: Duration::from_secs(5),
            rise: 1,
            ..Pace::default()
        },
    );
    let until = Instant::now() + STARTS;
    while (0..clients.len()).any(|number| balancer.now(number).1 == 0) {
        anyhow::ensure!(Instant::now() < until, "a gateway never came up");
        thread::sleep(Duration::from_millis(5));
    }
    Ok(balancer)
}

/// Opens so many sessions, one after another; the gateway may refuse some.
pub(super) fn sessions(at: SocketAddr, count: u64) -> Vec<TcpStream> {
    (0..count)
        .filter_map(|_| load::connect(at, "web").ok())
        .collect()
}

/// Sessions that the gateway has not closed.
pub(super) fn held(sessions: &[TcpStream]) -> usize {
    let open = |session: &&TcpStream| {
        let quiet = session
            .set_nonblocking(true)
            .and_then(|()| session.peek(&mut [0]));
        !matches!(quiet, Ok(0))
            && !matches!(&quiet, Err(error) if error.kind() != std::io::ErrorKind::WouldBlock)
    };
    sessions.iter().filter(open).count()
}

/// Sessions that are open and to which nothing was written that is still unread.
pub(super) fn unanswered(sessions: &[TcpStream]) -> usize {
    let waits = |session: &&TcpStream| {
        let quiet = session
            .set_nonblocking(true)
            .and_then(|()| session.peek(&mut [0]));
        matches!(quiet, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    };
    sessions.iter().filter(waits).count()
}

/// What a counted load used of a gateway, and what became of it.
pub(super) struct Counted {
    /// CPU of the gateway's process, microseconds.
    pub cpu_us: f64,
    /// Each request.
    pub records: Vec<Record>,
}

impl Counted {
    /// How many requests were asked for; one where there were none.
    pub(super) fn asked(&self) -> f64 {
        self.records.len().max(1) as f64
    }

    /// How many were served in time.
    pub(super) fn served(&self) -> f64 {
        load::served(&self.records) as f64
    }
}

/// A load through one gateway.
pub(super) struct Load<'a> {
    gateway: &'a Gateway,
    client: SocketAddr,
    balancer: Arc<Balancer>,
    shape: Shape,
}

impl Load<'_> {
    /// Plays a load that is not counted: connections open, limits are learnt.
    pub(super) fn warm(
        gateway: &Gateway,
        client: SocketAddr,
        shape: Shape,
    ) -> anyhow::Result<Load<'_>> {
        let balancer = balancer(&[client])?;
        load::play(shape, &balancer, &[client]);
        Ok(Load {
            gateway,
            client,
            balancer,
            shape,
        })
    }

    /// Plays the same load for this time, on a schedule of its own, and counts it.
    pub(super) fn count(self, span: Duration) -> anyhow::Result<Counted> {
        let shape = Shape {
            span,
            seed: self.shape.seed + COUNTED_SEED,
            ..self.shape
        };
        let play = || load::play(shape, &self.balancer, &[self.client]);
        let (cpu_us, records) = cpu_us(self.gateway, play)?;
        self.balancer.stop();
        Ok(Counted { cpu_us, records })
    }
}

/// CPU that a gateway uses while this goes on, microseconds.
pub(super) fn cpu_us<T>(gateway: &Gateway, work: impl FnOnce() -> T) -> anyhow::Result<(f64, T)> {
    let before = process::cpu_ns(gateway.id())?;
    let done = work();
    let used = process::cpu_ns(gateway.id())?.saturating_sub(before);
    Ok((used as f64 / 1e3, done))
}

/// CPU that a gateway uses a second while nothing is asked of it, microseconds.
pub(super) fn idle_us_per_s(gateway: &Gateway) -> anyhow::Result<f64> {
    let began = Instant::now();
    let (used, ()) = cpu_us(gateway, || thread::sleep(WATCHED))?;
    Ok(used / began.elapsed().as_secs_f64())
}

//! Code that the experiments share: starting a gateway, opening sessions, sending loads, and measuring CPU time.

use super::neighbours::Backends;
use super::Setting;
use crate::balancer::{Balancer, Check, CheckSettings};
use crate::gateway::{Gateway, Plan};
use crate::load::{self, Record, Shape};
use crate::process;
use anyhow::Context;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The setting `limits.sockets` for experiments with many connections: just below the limit of 20,000 descriptors per
/// process on the machine on which the tables were measured.
pub(super) const MANY_SOCKETS: usize = 19_900;
/// The setting `limits.sockets` for all other experiments: the limit that the platform sets.
pub(super) const FEW_SOCKETS: usize = 1_024;
/// Time limit until a gateway serves clients.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause before each measurement, after which the effects of the preceding step have ended.
pub(super) const REST_TIME: Duration = Duration::from_secs(3);
/// The difference between the seeds of a measured load and of its warm-up.
const MEASURED_SEED_OFFSET: u64 = 1_000;
/// Duration of a measurement of CPU at rest.
pub(super) const IDLE_WINDOW: Duration = Duration::from_secs(5);

/// The plan of a gateway with the testbench's settings, the given `FleetSize` and limit on sockets, and health off.
pub(super) fn plan(
    setting: &Setting,
    backends: &Backends,
    fleet: usize,
    sockets: usize,
) -> anyhow::Result<Plan> {
    let mut plan = Plan::with_list(
        backends.discovery(),
        backends.list(),
        setting.program.clone(),
    )?;
    plan.settings["FleetSize"] = json!(fleet);
    Ok(Plan {
        health: false,
        sockets,
        ..plan
    })
}

/// Adds a class of reads, `patient`, with a long deadline, so that its requests stay in progress during a measurement.
pub(super) fn add_patient_class(mut settings: Value, deadline: Duration) -> Value {
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

/// Starts a gateway and waits until it serves clients.
pub(super) fn start(plan: &Plan) -> anyhow::Result<Gateway> {
    let gateway = Gateway::start(plan)?;
    let serving = gateway.logged(0, START_TIMEOUT, |fields| fields["message"] == "serving");
    serving.with_context(|| {
        format!(
            "the gateway did not serve within {START_TIMEOUT:?}; its log: {:?}",
            gateway.log()
        )
    })?;
    Ok(gateway)
}

/// Starts a balancer that checks the gateways with a TCP connect every 5 s, and waits until all are up.
pub(super) fn balancer(clients: &[SocketAddr]) -> anyhow::Result<Arc<Balancer>> {
    let checks = clients
        .iter()
        .map(|address| Check::Connect(*address))
        .collect();
    let balancer = Balancer::start(
        checks,
        CheckSettings {
            interval: Duration::from_secs(5),
            rise: 1,
            ..CheckSettings::default()
        },
    );
    let until = Instant::now() + START_TIMEOUT;
    while (0..clients.len()).any(|number| balancer.now(number).1 == 0) {
        anyhow::ensure!(
            Instant::now() < until,
            "not all gateways accepted connections within {START_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(5));
    }
    Ok(balancer)
}

/// Opens `count` sessions, one after another; those that the gateway rejects are left out.
pub(super) fn sessions(at: SocketAddr, count: u64) -> Vec<TcpStream> {
    (0..count)
        .filter_map(|_| load::connect(at, "web").ok())
        .collect()
}

/// The number of sessions that the gateway has not closed.
pub(super) fn open_sessions(sessions: &[TcpStream]) -> usize {
    let open = |session: &&TcpStream| {
        let quiet = session
            .set_nonblocking(true)
            .and_then(|()| session.peek(&mut [0]));
        !matches!(quiet, Ok(0))
            && !matches!(&quiet, Err(error) if error.kind() != std::io::ErrorKind::WouldBlock)
    };
    sessions.iter().filter(open).count()
}

/// The number of sessions that are open and have no unread data.
pub(super) fn unanswered_sessions(sessions: &[TcpStream]) -> usize {
    let waits = |session: &&TcpStream| {
        let quiet = session
            .set_nonblocking(true)
            .and_then(|()| session.peek(&mut [0]));
        matches!(quiet, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    };
    sessions.iter().filter(waits).count()
}

/// The result of a measured load.
pub(super) struct MeasuredLoad {
    /// CPU time of the gateway's process, microseconds.
    pub cpu_us: f64,
    /// Each request with its outcome.
    pub records: Vec<Record>,
}

impl MeasuredLoad {
    /// The number of requests that were sent, at least 1, as it is used as a divisor.
    pub(super) fn sent(&self) -> f64 {
        self.records.len().max(1) as f64
    }

    /// The number of requests that were served within their latency target.
    pub(super) fn served(&self) -> f64 {
        load::served(&self.records) as f64
    }
}

/// A load through one gateway, after its warm-up.
pub(super) struct Load<'a> {
    gateway: &'a Gateway,
    client: SocketAddr,
    balancer: Arc<Balancer>,
    shape: Shape,
}

impl Load<'_> {
    /// Sends a load that is not measured, in which connections are opened and the gateway adapts its limits.
    pub(super) fn warm_up(
        gateway: &Gateway,
        client: SocketAddr,
        shape: Shape,
    ) -> anyhow::Result<Load<'_>> {
        let balancer = balancer(&[client])?;
        load::run(shape, &balancer, &[client]);
        Ok(Load {
            gateway,
            client,
            balancer,
            shape,
        })
    }

    /// Sends the same load for `span`, with another schedule, and measures it.
    pub(super) fn count(self, span: Duration) -> anyhow::Result<MeasuredLoad> {
        let shape = Shape {
            span,
            seed: self.shape.seed + MEASURED_SEED_OFFSET,
            ..self.shape
        };
        let send_load = || load::run(shape, &self.balancer, &[self.client]);
        let (cpu_us, records) = cpu_us(self.gateway, send_load)?;
        self.balancer.stop();
        Ok(MeasuredLoad { cpu_us, records })
    }
}

/// The CPU time that a gateway uses during `work`, microseconds, and the result of `work`.
pub(super) fn cpu_us<T>(gateway: &Gateway, work: impl FnOnce() -> T) -> anyhow::Result<(f64, T)> {
    let before = process::cpu_ns(gateway.id())?;
    let done = work();
    let used = process::cpu_ns(gateway.id())?.saturating_sub(before);
    Ok((used as f64 / 1e3, done))
}

/// The CPU time per second that a gateway uses at rest, microseconds.
pub(super) fn idle_us_per_s(gateway: &Gateway) -> anyhow::Result<f64> {
    let began = Instant::now();
    let (used, ()) = cpu_us(gateway, || thread::sleep(IDLE_WINDOW))?;
    Ok(used / began.elapsed().as_secs_f64())
}

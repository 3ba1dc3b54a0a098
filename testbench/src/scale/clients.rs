//! A load of client requests on the real gateways of a fleet while it runs.

use crate::balancer::{Balancer, Check, CheckSettings};
use crate::load;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Duration of the consecutive loads that are sent; it bounds how long the thread runs on after it is told to stop.
const SEGMENT: Duration = Duration::from_secs(2);
/// Number of client threads.
const CLIENTS: usize = 16;
/// Interval of the balancer's checks of a gateway.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The numbers of requests so far.
#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
}

/// A load that runs on its own thread until this is dropped.
pub(super) struct Clients {
    stop: Arc<AtomicBool>,
    counts: Arc<Counts>,
    thread: Option<JoinHandle<()>>,
}

impl Clients {
    /// Starts a load of `rate` requests per second; 0 is none.
    pub(super) fn start(gateways: Vec<SocketAddr>, rate: f64, seed: u64) -> Clients {
        let (stop, counts) = (Arc::<AtomicBool>::default(), Arc::<Counts>::default());
        let (until, counting) = (stop.clone(), counts.clone());
        let send_loads = move || run(&gateways, rate, seed, &until, &counting);
        let thread = (rate > 0.0).then(|| thread::spawn(send_loads));
        Clients {
            stop,
            counts,
            thread,
        }
    }

    /// The numbers of requests that were sent, and of those that were served within their latency target.
    pub(super) fn served(&self) -> (u64, u64) {
        let Counts { sent, served } = &*self.counts;
        (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed))
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Sends consecutive loads until `over` is set.
fn run(gateways: &[SocketAddr], rate: f64, seed: u64, stop: &AtomicBool, counts: &Counts) {
    let checks = gateways
        .iter()
        .map(|gateway| Check::Connect(*gateway))
        .collect();
    let balancer = Balancer::start(
        checks,
        CheckSettings {
            interval: CHECK_INTERVAL,
            ..CheckSettings::default()
        },
    );
    for segment in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let shape = load::Shape {
            rate,
            span: SEGMENT,
            clients: CLIENTS,
            seed: seed + segment,
            ..Default::default()
        };
        let records = load::run(shape, &balancer, gateways);
        counts
            .served
            .fetch_add(load::served(&records) as u64, Ordering::Relaxed);
        counts
            .sent
            .fetch_add(records.len() as u64, Ordering::Relaxed);
    }
    balancer.stop();
}

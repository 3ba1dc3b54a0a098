//! Clients' requests to the real gateways of a fleet, while it runs.

use crate::balancer::{Balancer, Check, Pace};
use crate::load;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The load is played in pieces of this length, so that it ends soon after it is asked to.
const PIECE: Duration = Duration::from_secs(2);
/// Clients at once.
const CLIENTS: usize = 16;
/// Time between two checks of a gateway by the clients' balancer.
const CHECK_EVERY: Duration = Duration::from_secs(1);

/// What clients have asked for and got so far.
#[derive(Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
}

/// A load that runs until this is dropped.
pub(super) struct Clients {
    over: Arc<AtomicBool>,
    counts: Arc<Counts>,
    thread: Option<JoinHandle<()>>,
}

impl Clients {
    /// Has clients ask for so many requests a second; 0 is none.
    pub(super) fn start(gateways: Vec<SocketAddr>, rate: f64, seed: u64) -> Clients {
        let (over, counts) = (Arc::<AtomicBool>::default(), Arc::<Counts>::default());
        let (until, counting) = (over.clone(), counts.clone());
        let run = move || play(&gateways, rate, seed, &until, &counting);
        let thread = (rate > 0.0).then(|| thread::spawn(run));
        Clients {
            over,
            counts,
            thread,
        }
    }

    /// Requests that were asked for, and those of them that were served in time.
    pub(super) fn served(&self) -> (u64, u64) {
        let Counts { asked, served } = &*self.counts;
        (
            asked.load(Ordering::Relaxed),
            served.load(Ordering::Relaxed),
        )
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Plays the load in pieces until it is over.
fn play(gateways: &[SocketAddr], rate: f64, seed: u64, over: &AtomicBool, counts: &Counts) {
    let checks = gateways
        .iter()
        .map(|gateway| Check::Connect(*gateway))
        .collect();
    let balancer = Balancer::start(
        checks,
        Pace {
            interval: CHECK_EVERY,
            ..Pace::default()
        },
    );
    for piece in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let shape = load::Shape {
            rate,
            span: PIECE,
            clients: CLIENTS,
            seed: seed + piece,
            ..Default::default()
        };
        let records = load::play(shape, &balancer, gateways);
        counts
            .served
            .fetch_add(load::served(&records) as u64, Ordering::Relaxed);
        counts
            .asked
            .fetch_add(records.len() as u64, Ordering::Relaxed);
    }
    balancer.stop();
}

//! The topology of a fleet: control members keep the Raft log and list each other as peers; all other gateways are
//! their clients.

use super::cut::Forward;
use super::group::{Group, Part};
use crate::gateway::free;
use asterreel_control::settings::{loopback_networks, ControlSettings, Peer};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Number of voters; all of them are real gateways.
pub const VOTERS: u32 = 5;
/// Size of the part [`Part::Dead`].
pub const DEAD: usize = 4;
/// Duration of a lease, milliseconds: the program's default.
pub const LEASE_MS: u64 = 3_000;
/// Renewal interval of a lease, milliseconds: the program's default.
pub const RENEW_MS: u64 = 1_000;
const DRIFT_PPM: u32 = 1_000;
const MARGIN_MS: u64 = 50;
/// The duties that each control member may hold.
const DUTIES: [&str; 2] = ["discovery", "probes"];
/// The maximum number of hollow gateways in a process: few enough that killing or suspending a process affects no more
/// gateways than intended, and that it stays below the common limit of 1,024 descriptors.
const MAX_GATEWAYS_PER_PROCESS: usize = 100;

/// The control plane's settings of gateway `me`, which reaches the control members 1 to `voters` at the addresses
/// `reached`. A control member listens at its own address and keeps its log in the directory `store`.
fn lease(
    me: u32,
    voters: u32,
    store: &Path,
    reached: impl Fn(u32) -> SocketAddr,
) -> ControlSettings {
    let votes = me <= voters;
    let peer = |id| Peer {
        id,
        address: reached(id),
        voter: true,
    };
    ControlSettings {
        me,
        peers: (1..=voters).map(peer).collect(),
        client: !votes,
        listen: votes.then(|| reached(me)),
        allow: loopback_networks(),
        store: if votes {
            store.to_owned()
        } else {
            Default::default()
        },
        duties: if votes {
            DUTIES.map(str::to_owned).to_vec()
        } else {
            Vec::new()
        },
        lease_ms: LEASE_MS,
        renew_ms: RENEW_MS,
        drift_ppm: DRIFT_PPM,
        margin_ms: MARGIN_MS,
    }
}

/// A control member's settings as a call of the operator's file. Editions differ only in a network in `allow`, which is
/// not part of the hello that gateways exchange.
pub fn operator_file(lease: &ControlSettings, edition: u64) -> String {
    let peers = lease
        .peers
        .iter()
        .map(|peer| format!("peer(id = {}, address = '{}')", peer.id, peer.address));
    let peers = peers.collect::<Vec<String>>().join(",\n    ");
    let duties: Vec<String> = lease
        .duties
        .iter()
        .map(|duty| format!("'{duty}'"))
        .collect();
    let listen = lease
        .listen
        .map_or(String::new(), |listen| format!("listen = '{listen}', "));
    format!(
        "lease(me = {}, {listen}store = '{}', duties = [{}],\n  lease_ms = {}, renew_ms = {},\n  \
         allow = ['127.0.0.0/8', '10.{}.{}.0/24'],\n  peers = [\n    {peers}])\n",
        lease.me,
        lease.store.display(),
        duties.join(", "),
        lease.lease_ms,
        lease.renew_ms,
        edition / 256,
        edition % 256,
    )
}

/// Divides shuffled hollow gateways into the parts of the schedule.
fn parts(mut hollow: Vec<u32>, gateways: usize) -> Vec<(Part, Vec<u32>)> {
    let mut take = |count: usize| hollow.split_off(hollow.len().saturating_sub(count));
    let parts = vec![
        (Part::Dead, take(DEAD)),
        (Part::Stopped, take(1)),
        (Part::Tenth, take(gateways / 10)),
        (Part::Third, take(gateways / 3)),
    ];
    parts.into_iter().chain([(Part::Rest, hollow)]).collect()
}

/// The settings of all gateways of a fleet.
pub struct Placement {
    /// The voters' settings, by number.
    pub leases: BTreeMap<u32, ControlSettings>,
    /// The hollow gateways, in groups that share a process.
    pub groups: Vec<Group>,
}

/// Lays out a fleet. The parts are drawn from the seed, and voters keep their stores in `folder`. The gateways of
/// [`Part::Third`] reach the voters through forwarders that can be cut.
///
/// # Errors
///
/// No ports are free.
pub fn place(gateways: u32, seed: u64, folder: &Path) -> io::Result<Placement> {
    let listens = free(VOTERS as usize)?;
    let listen = |voter: u32| listens[voter as usize - 1];
    let store = |gateway: u32| folder.join(format!("store-{gateway}"));
    let mut hollow: Vec<u32> = (VOTERS + 1..=gateways).collect();
    fastrand::Rng::with_seed(seed).shuffle(&mut hollow);
    let mut groups = Vec::new();
    for (part, members) in parts(hollow, gateways as usize) {
        for batch in members.chunks(MAX_GATEWAYS_PER_PROCESS) {
            let mut forwards: Vec<Forward> = Vec::new();
            if part == Part::Third {
                forwards = free(VOTERS as usize)?
                    .into_iter()
                    .zip(listens.clone())
                    .collect();
            }
            let reached = |to: u32| {
                forwards
                    .get(to as usize - 1)
                    .map_or(listen(to), |(forwarder, _)| *forwarder)
            };
            let leases = batch
                .iter()
                .map(|me| lease(*me, VOTERS, &store(*me), reached))
                .collect();
            groups.push(Group::new(part, leases, forwards));
        }
    }
    let leases = (1..=VOTERS)
        .map(|me| (me, lease(me, VOTERS, &store(me), listen)))
        .collect();
    Ok(Placement { leases, groups })
}

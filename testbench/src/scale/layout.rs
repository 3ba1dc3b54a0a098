//! Who reaches whom: control members hold the log and list each other, all other gateways are their clients.

use super::cut::Forward;
use super::group::{Group, Part};
use crate::gateway::free;
use asterreel_control::settings::{loopback_networks, ControlSettings, Peer};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// Gateways that vote, all of them real.
pub const VOTERS: u32 = 5;
/// Gateways that die under a change.
pub const DEAD: usize = 4;
/// How long rights last and how often they are renewed: what the program does when nothing is set.
pub const LEASE_MS: u64 = 3_000;
/// See [`LEASE_MS`].
pub const RENEW_MS: u64 = 1_000;
const DRIFT_PPM: u32 = 1_000;
const MARGIN_MS: u64 = 50;
/// The duties that each control member may hold.
const DUTIES: [&str; 2] = ["discovery", "probes"];
/// Hollow gateways of one process at most: few enough that a process that is killed or stopped takes no more with it than
/// it is meant to, and that a common limit of 1,024 descriptors serves it.
const TOGETHER: usize = 100;

/// The control plane's settings of gateway `me`, which reaches the control members 1 to `voters` at these addresses. A
/// control member listens at its own and keeps its log in a folder.
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

/// A control member's settings as a call of the operator's file. Editions differ in a network that may connect, and in
/// nothing that gateways greet each other with.
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

/// Divides hollow gateways, in an order that was drawn, into the parts of the schedule.
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

/// Where everybody is.
pub struct Placement {
    /// The voters' settings, by number.
    pub leases: BTreeMap<u32, ControlSettings>,
    /// The hollow gateways.
    pub groups: Vec<Group>,
}

/// Places so many gateways, in parts drawn from a seed; voters keep their stores in a folder. Those of the third reach the
/// voters through forwarders that can be cut.
///
/// # Errors
///
/// No free ports.
pub fn place(gateways: u32, seed: u64, folder: &Path) -> io::Result<Placement> {
    let listens = free(VOTERS as usize)?;
    let listen = |voter: u32| listens[voter as usize - 1];
    let store = |gateway: u32| folder.join(format!("store-{gateway}"));
    let mut hollow: Vec<u32> = (VOTERS + 1..=gateways).collect();
    fastrand::Rng::with_seed(seed).shuffle(&mut hollow);
    let mut groups = Vec::new();
    for (part, members) in parts(hollow, gateways as usize) {
        for some in members.chunks(TOGETHER) {
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
                    .map_or(listen(to), |(way_out, _)| *way_out)
            };
            let leases = some
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

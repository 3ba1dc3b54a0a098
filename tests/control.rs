//! Tests of control members and the gateways that they serve, as processes: which gateways keep their permission to act when
//! control members fail.

mod fleets;

use asterreel_testbench::cluster::{Cluster, Role};
use fleets::{assert_agreement, assert_no_violations, gateway_program, lock_fleet};
use nix::sys::signal::Signal;
use std::process::Command;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// A short lease and its renewal interval, milliseconds.
const SHORT_LEASE_MS: (u64, u64) = (1_200, 200);
/// A lease that outlasts two elections by ten seconds on a busy machine, and its renewal interval, milliseconds. The election
/// timeouts that result from it are five to ten seconds.
const LONG_LEASE_MS: (u64, u64) = (30_000, 500);
const ELECTION_TIMEOUT: Duration = Duration::from_secs(60);
/// Milliseconds after which all answers of a failed leader have reached their gateways: later renewals are another leader's.
const IN_FLIGHT_MS: u64 = 3_000;

/// Starts a fleet of processes with these roles, and waits until all gateways act on a first version.
fn start_fleet(roles: &[Role], times: (u64, u64)) -> Cluster {
    let mut cluster =
        Cluster::start_as(gateway_program(), roles.to_vec(), times, "").expect("started");
    assert_agreement(
        &mut cluster,
        if times == LONG_LEASE_MS {
            ELECTION_TIMEOUT
        } else {
            TIMEOUT
        },
    );
    cluster
}

/// What a gateway logged of its registration, in order: the time (Unix microseconds), the token, and whether it may act.
fn registrations(cluster: &Cluster, gateway: usize) -> Vec<(u64, u64, bool)> {
    let lines = cluster
        .history()
        .into_iter()
        .filter(|line| line.gateway == gateway as u64 + 1);
    let logged = lines.filter_map(|line| {
        let message = line.fields["message"].as_str()?;
        let at = line.fields["at"].as_u64()?;
        match message {
            "registration: acting" => Some((at, line.fields["token"].as_u64()?, true)),
            _ if message.starts_with("registration: stopped acting") => Some((at, 0, false)),
            _ => None,
        }
    });
    logged.collect()
}

/// Whether a gateway's permission was renewed after a time in Unix microseconds.
fn is_renewed(gateway: usize, after: u64) -> impl Fn(&Cluster) -> bool {
    move |cluster| {
        let last = registrations(cluster, gateway).last().copied();
        last.is_some_and(|(at, _, acting)| acting && at > after)
    }
}

/// Makes the leader fail with `fail`. Asserts that the served gateways keep their registrations, and that a new version
/// becomes active afterwards.
fn assert_survives(
    cluster: &mut Cluster,
    served: &[usize],
    fail: impl FnOnce(&mut Cluster, usize),
) {
    let registered: Vec<_> = served
        .iter()
        .map(|gateway| registrations(cluster, *gateway))
        .collect();
    let all_act = registered
        .iter()
        .all(|logged| logged.last().is_some_and(|(_, _, acting)| *acting));
    assert!(
        all_act,
        "a gateway may not act before the failure: {registered:?}"
    );
    let leader = cluster.leader().expect("a member leads");
    let at = asterreel_testbench::now();
    fail(cluster, leader);
    for (gateway, before) in served.iter().zip(&registered) {
        let renewal = cluster.wait(
            ELECTION_TIMEOUT,
            is_renewed(*gateway, at + IN_FLIGHT_MS * 1_000),
        );
        assert!(
            renewal.is_some(),
            "gateway {gateway} was not renewed by another leader: {:?}",
            registrations(cluster, *gateway).last()
        );
        let since = registrations(cluster, *gateway);
        let token = before.last().map(|(_, token, _)| *token);
        let is_unchanged = since[before.len()..]
            .iter()
            .all(|(_, now, acting)| *acting && Some(*now) == token);
        assert!(
            is_unchanged,
            "gateway {gateway} lost its registration {token:?}: {:?}",
            &since[before.len()..]
        );
    }
    assert_ne!(cluster.leader(), Some(leader), "no other member leads");
    assert_agreement(cluster, ELECTION_TIMEOUT);
}

/// A gateway that no file lists among the peers acts on versions, and stops when it is partitioned from all members.
#[test]
fn unlisted_gateway_is_served_until_partitioned() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(
        &[Role::Voter, Role::Voter, Role::Voter, Role::Client],
        SHORT_LEASE_MS,
    );
    let served = 3;
    let before = cluster.in_force()[served];
    assert!(
        before > 0
            && registrations(&cluster, served)
                .iter()
                .any(|(_, _, acting)| *acting)
    );
    cluster.set_partition(&[served], true);
    let stopped = |cluster: &Cluster| {
        registrations(cluster, served)
            .last()
            .is_some_and(|(_, _, acting)| !acting)
    };
    assert!(
        cluster.wait(TIMEOUT, stopped).is_some(),
        "it still acts without any member"
    );
    assert!(
        cluster
            .agree_without(TIMEOUT, served)
            .expect("offered")
            .is_some(),
        "{:?}",
        cluster.in_force()
    );
    assert_eq!(
        cluster.in_force()[served],
        before,
        "it acts on a version that it cannot know"
    );
    cluster.heal();
    assert_agreement(&mut cluster, TIMEOUT);
    assert_no_violations(&cluster);
}

/// Control members without clients of their own serve gateways through the loss of leaders.
#[test]
fn member_only_fleet_survives_loss_of_leaders() {
    let _lock = lock_fleet();
    let (member, client) = (Role::Member, Role::Client);
    let mut cluster = start_fleet(&[member, member, member, client, client], LONG_LEASE_MS);
    assert_eq!(
        cluster.in_force()[..3],
        [0, 0, 0],
        "members act on no version"
    );
    let served = [3, 4];
    // The leader is killed, and starts again later.
    assert_survives(&mut cluster, &served, |cluster, leader| {
        cluster.kill(leader);
    });
    (0..3).for_each(|member| cluster.start_gateway(member).expect("started"));
    // The leader shuts down gracefully.
    assert_survives(&mut cluster, &served, |cluster, leader| {
        assert!(
            cluster.end(leader, TIMEOUT).expect("in time"),
            "it did not exit in time"
        );
    });
    (0..3).for_each(|member| cluster.start_gateway(member).expect("started"));
    // The leader stalls: its links stay open and idle.
    let mut stalled = None;
    assert_survives(&mut cluster, &served, |cluster, leader| {
        cluster.signal(leader, Signal::SIGSTOP);
        stalled = Some(leader);
    });
    cluster.signal(stalled.expect("a leader was stopped"), Signal::SIGCONT);
    assert_agreement(&mut cluster, ELECTION_TIMEOUT);
    assert_no_violations(&cluster);
}

/// A gateway that is partitioned from the leader alone loses its permission, while the others agree on new versions.
#[test]
fn gateway_partitioned_from_leader_loses_permission() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(
        &[
            Role::Voter,
            Role::Voter,
            Role::Voter,
            Role::Client,
            Role::Listed,
        ],
        SHORT_LEASE_MS,
    );
    // The other members redirect the gateway to the leader. On a busy machine the leader may change meanwhile, so the link to
    // the current one is cut at each check.
    let stopped = |cluster: &Cluster| {
        cluster.cut_pair(cluster.leader().expect("a member leads"), 3);
        registrations(cluster, 3)
            .last()
            .is_some_and(|(_, _, acting)| !acting)
    };
    assert!(
        cluster.wait(TIMEOUT, stopped).is_some(),
        "{:?}",
        registrations(&cluster, 3).last()
    );
    assert!(
        cluster
            .agree_without(TIMEOUT, 3)
            .expect("offered")
            .is_some(),
        "{:?}",
        cluster.in_force()
    );
    cluster.heal();
    assert_agreement(&mut cluster, TIMEOUT);
    assert_no_violations(&cluster);
}

/// Settings in which a control member is no voter are rejected with the key and its place in the file.
#[test]
fn settings_without_own_vote_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.star");
    let peers =
        "peers = [peer(id = 1, address = '127.0.0.1:7101'), peer(id = 2, address = '127.0.0.1:7102'), \
                 peer(id = 3, address = '127.0.0.1:7103')]";
    std::fs::write(
        &path,
        format!("lease(\n  me = 9, client = True, {peers})\n"),
    )
    .expect("written");
    let mut command = Command::new(gateway_program());
    let output = command
        .arg("control")
        .arg("--operator")
        .arg(&path)
        .output()
        .expect("started");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert!(
        stderr.contains("lease.me") && stderr.contains("operator.star:2:3"),
        "{stderr}"
    );
}

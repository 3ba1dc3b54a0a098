//! Tests of fleets of gateway processes that share a log, with injected faults.

mod fleets;

use asterreel_testbench::cluster::{run, Cluster};
use fleets::{assert_agreement, assert_no_violations, gateway_program, lock_fleet};
use nix::sys::signal::Signal;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a fleet and waits until all gateways act on a first version.
fn start_fleet(gateways: usize, voters: usize) -> Cluster {
    let mut cluster = Cluster::start(gateway_program(), gateways, voters).expect("started");
    assert_agreement(&mut cluster, TIMEOUT);
    cluster
}

/// Gateways that are partitioned from the majority stop acting by themselves, and the majority activates new versions.
#[test]
fn partitioned_minority_stops_and_majority_continues() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(5, 5);
    let before = cluster.in_force()[0];
    cluster.set_partition(&[0, 1], true);
    let stopped = |gateway: u64| {
        move |cluster: &Cluster| {
            let history = cluster.history();
            let registrations = history.iter().filter(|line| line.gateway == gateway);
            let last = registrations
                .filter_map(|line| line.fields["message"].as_str())
                .rfind(|m| m.starts_with("registration: "));
            last.is_some_and(|message| message.starts_with("registration: stopped acting"))
        }
    };
    for gateway in [1, 2] {
        assert!(
            cluster.wait(TIMEOUT, stopped(gateway)).is_some(),
            "gateway {gateway} still acts without the log"
        );
    }
    let has_new_version = |cluster: &Cluster| {
        cluster.in_force()[2..]
            .iter()
            .all(|number| *number > before)
    };
    let mut activated = false;
    for by in [2, 3, 4, 2, 3, 4] {
        cluster.propose_version(by, None).expect("offered");
        activated |= cluster
            .wait(Duration::from_secs(3), has_new_version)
            .is_some();
        if activated {
            break;
        }
    }
    assert!(
        activated,
        "three of five gateways activate no version: {:?}",
        cluster.in_force()
    );
    assert_eq!(
        cluster.in_force()[..2],
        [before, before],
        "the partitioned gateways act on the new version"
    );
    cluster.heal();
    assert!(
        cluster.agree(TIMEOUT).expect("offered").is_some(),
        "no agreement after the partition: {:?}",
        cluster.in_force()
    );
    assert_no_violations(&cluster);
}

/// A file that one gateway rejects as invalid becomes active at none.
#[test]
fn nacked_file_becomes_active_nowhere() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(5, 3);
    let before = cluster.in_force();
    cluster.write_invalid_file(4).expect("written");
    cluster.propose_version(0, Some(4)).expect("offered");
    let rejected_everywhere = |cluster: &Cluster| {
        let history = cluster.history();
        let rejections = history
            .iter()
            .filter(|line| line.fields["message"] == "version: rejected");
        rejections.filter(|line| line.fields["by"] == 5).count() >= 5
    };
    assert!(
        cluster.wait(TIMEOUT, rejected_everywhere).is_some(),
        "not every gateway logged which one rejected the file"
    );
    assert_eq!(cluster.in_force(), before);
    assert!(
        cluster.agree(TIMEOUT).expect("offered").is_some(),
        "a valid file does not become active"
    );
    assert_no_violations(&cluster);
}

/// Two hundred clients of a gateway that died connect to another one at the same time. It admits them at its share of the
/// fleet's rate, and each rejection says when to retry.
#[test]
fn returning_clients_are_admitted_at_fleet_rate() {
    let _lock = lock_fleet();
    let mut cluster = Cluster::start_with(
        gateway_program(),
        3,
        3,
        "readmission(sessions_per_s = 90, burst = 5)\n",
    )
    .expect("started");
    assert!(cluster.agree(TIMEOUT).expect("offered").is_some());
    cluster.kill(0);
    // Once the registration of the dead gateway has expired, two are left: each admits 45 sessions a second.
    assert!(cluster
        .agree_without(TIMEOUT, 0)
        .expect("offered")
        .is_some());
    let storm = cluster.storm(1, 200, Duration::from_secs(20));
    let mut admitted = storm.admitted.clone();
    admitted.sort_unstable();
    assert_eq!(admitted.len(), 200, "not all clients are admitted");
    for (n, at) in admitted.iter().enumerate() {
        let within = admitted[n..]
            .iter()
            .take_while(|other| **other < at + 1_000_000)
            .count();
        // The gateway's share of 45, the burst of 5, and a tenth more for the clients' own delays.
        assert!(within <= 55, "{within} sessions admitted within a second");
    }
    assert!(
        storm.refused >= 150 && storm.retry_delays_given,
        "too few rejections, or one that does not say when to retry"
    );
    assert_no_violations(&cluster);
}

/// A gateway that stalls for longer than its lease has no permission to act when it continues.
#[test]
fn stalled_gateway_loses_its_permission() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(3, 3);
    cluster.signal(0, Signal::SIGSTOP);
    // The others activate a version without its ack, which is possible only once its registration has expired.
    assert!(
        cluster
            .agree_without(TIMEOUT, 0)
            .expect("offered")
            .is_some(),
        "{:?}",
        cluster.in_force()
    );
    cluster.signal(0, Signal::SIGCONT);
    assert!(
        cluster.agree(TIMEOUT).expect("offered").is_some(),
        "no agreement after the stall: {:?}",
        cluster.in_force()
    );
    assert_no_violations(&cluster);
}

/// A voter that lost its disk learns the log again, and after it a second one does.
#[test]
fn voters_that_lost_their_disks_rejoin() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(3, 3);
    for voter in [0, 1] {
        cluster.wipe(voter).expect("wiped");
        cluster.start_gateway(voter).expect("started");
        assert!(
            cluster.agree(TIMEOUT).expect("offered").is_some(),
            "{:?}",
            cluster.in_force()
        );
    }
    assert_no_violations(&cluster);
}

/// The gateways of a fleet that are all killed and restarted continue from their disks.
#[test]
fn restarted_fleet_continues_from_disk() {
    let _lock = lock_fleet();
    let mut cluster = start_fleet(3, 3);
    let before = cluster.in_force()[0];
    (0..3).for_each(|gateway| cluster.kill(gateway));
    (0..3).for_each(|gateway| cluster.start_gateway(gateway).expect("started"));
    assert!(
        cluster.agree(TIMEOUT).expect("offered").is_some(),
        "{:?}",
        cluster.in_force()
    );
    assert!(
        cluster.in_force()[0] > before,
        "the version numbers do not continue"
    );
    assert_no_violations(&cluster);
}

/// Fleets under random faults violate no invariant, and agree again soon after the faults end.
#[test]
fn fleets_recover_from_random_faults() {
    let _lock = lock_fleet();
    for (seed, gateways) in [(1, 5), (2, 3)] {
        let found = run(gateway_program(), seed, gateways, Duration::from_secs(10))
            .expect("the fleet runs");
        assert_eq!(found.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            found.faults > 10 && found.versions > 1,
            "seed {seed}: {found:?}"
        );
    }
}

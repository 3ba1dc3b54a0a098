//! Fleets of real gateway processes that share a log, with injected faults.

mod fleets;

use asterreel_testbench::cluster::{play, Cluster};
use fleets::{agree, alone, no_violation, program};
use nix::sys::signal::Signal;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet whose gateways all act on a first version.
fn start_fleet(gateways: usize, voters: usize) -> Cluster {
    let mut cluster = Cluster::start(program(), gateways, voters).expect("started");
    agree(&mut cluster, TIMEOUT);
    cluster
}

/// Gateways of a minority lose their permission by themselves, and the majority activates new versions.
#[test]
fn partitioned_minority_stops_and_majority_continues() {
    let _alone = alone();
    let mut cluster = start_fleet(5, 5);
    let before = cluster.in_force()[0];
    cluster.part(&[0, 1], true);
    let stopped = |gateway: u64| {
        move |cluster: &Cluster| {
            let own = cluster.history();
            let registrations = own.iter().filter(|line| line.gateway == gateway);
            let last = registrations
                .filter_map(|line| line.fields["message"].as_str())
                .rfind(|m| m.starts_with("registration: "));
            last.is_some_and(|message| message.starts_with("registration: stopped acting"))
        }
    };
    for gateway in [1, 2] {
        assert!(
            cluster.wait(TIMEOUT, stopped(gateway)).is_some(),
            "gateway {gateway} goes on without the log"
        );
    }
    let has_new_version = |cluster: &Cluster| {
        cluster.in_force()[2..]
            .iter()
            .all(|number| *number > before)
    };
    let mut activated = false;
    for by in [2, 3, 4, 2, 3, 4] {
        cluster.offer(by, None).expect("offered");
        activated |= cluster
            .wait(Duration::from_secs(3), has_new_version)
            .is_some();
        if activated {
            break;
        }
    }
    assert!(
        activated,
        "three of five agree on a version: {:?}",
        cluster.in_force()
    );
    assert_eq!(
        cluster.in_force()[..2],
        [before, before],
        "the others do not know it"
    );
    cluster.heal();
    assert!(
        cluster.agree(TIMEOUT).expect("played").is_some(),
        "once healed, all agree again: {:?}",
        cluster.in_force()
    );
    no_violation(&cluster);
}

/// A file that one gateway finds invalid becomes active nowhere.
#[test]
fn nacked_file_becomes_active_nowhere() {
    let _alone = alone();
    let mut cluster = start_fleet(5, 3);
    let before = cluster.in_force();
    cluster.spoil(4).expect("written");
    cluster.offer(0, Some(4)).expect("offered");
    let rejected_everywhere = |cluster: &Cluster| {
        let history = cluster.history();
        let rejections = history
            .iter()
            .filter(|line| line.fields["message"] == "version: rejected");
        rejections.filter(|line| line.fields["by"] == 5).count() >= 5
    };
    assert!(
        cluster.wait(TIMEOUT, rejected_everywhere).is_some(),
        "each gateway learns who rejected it"
    );
    assert_eq!(cluster.in_force(), before);
    assert!(
        cluster.agree(TIMEOUT).expect("played").is_some(),
        "a valid one becomes active"
    );
    no_violation(&cluster);
}

/// Two hundred clients of a gateway that died connect to the next one at once.
#[test]
fn returning_clients_are_admitted_at_fleet_rate() {
    let _alone = alone();
    let mut cluster = Cluster::start_with(
        program(),
        3,
        3,
        "readmission(sessions_per_s = 90, burst = 5)\n",
    )
    .expect("started");
    assert!(cluster.agree(TIMEOUT).expect("played").is_some());
    cluster.kill(0);
    // Two are left once the dead one's registration has expired: each admits 45 a second.
    assert!(cluster.agree_without(TIMEOUT, 0).expect("played").is_some());
    let storm = cluster.storm(1, 200, Duration::from_secs(20));
    let mut admitted = storm.admitted.clone();
    admitted.sort_unstable();
    assert_eq!(admitted.len(), 200, "all are admitted");
    for (n, at) in admitted.iter().enumerate() {
        let within = admitted[n..]
            .iter()
            .take_while(|other| **other < at + 1_000_000)
            .count();
        // The gateway's share, the burst, and a tenth for the clients' own delays.
        assert!(within <= 55, "{within} in a second");
    }
    assert!(
        storm.refused >= 150 && storm.told,
        "each rejection says when to retry"
    );
    no_violation(&cluster);
}

/// A gateway that stalls beyond its lease finds that it has no permission.
#[test]
fn stalled_gateway_loses_its_permission() {
    let _alone = alone();
    let mut cluster = start_fleet(3, 3);
    cluster.signal(0, Signal::SIGSTOP);
    // All others act on a version without its ack: its registration has expired by then.
    assert!(
        cluster.agree_without(TIMEOUT, 0).expect("played").is_some(),
        "{:?}",
        cluster.in_force()
    );
    cluster.signal(0, Signal::SIGCONT);
    assert!(
        cluster.agree(TIMEOUT).expect("played").is_some(),
        "it comes back: {:?}",
        cluster.in_force()
    );
    no_violation(&cluster);
}

/// A voter that lost its disk learns the log again, and then another one does.
#[test]
fn voters_that_lost_their_disks_rejoin() {
    let _alone = alone();
    let mut cluster = start_fleet(3, 3);
    for voter in [0, 1] {
        cluster.wipe(voter).expect("wiped");
        cluster.revive(voter).expect("started");
        assert!(
            cluster.agree(TIMEOUT).expect("played").is_some(),
            "{:?}",
            cluster.in_force()
        );
    }
    no_violation(&cluster);
}

/// All of a fleet, restarted at once, continue from their disks.
#[test]
fn restarted_fleet_continues_from_disk() {
    let _alone = alone();
    let mut cluster = start_fleet(3, 3);
    let before = cluster.in_force()[0];
    (0..3).for_each(|gateway| cluster.kill(gateway));
    (0..3).for_each(|gateway| cluster.revive(gateway).expect("started"));
    assert!(
        cluster.agree(TIMEOUT).expect("played").is_some(),
        "{:?}",
        cluster.in_force()
    );
    assert!(
        cluster.in_force()[0] > before,
        "the numbers of versions go on"
    );
    no_violation(&cluster);
}

/// Fleets under random faults violate no invariant, and recover soon after.
#[test]
fn fleets_recover_from_random_faults() {
    let _alone = alone();
    for (seed, gateways) in [(1, 5), (2, 3)] {
        let found = play(program(), seed, gateways, Duration::from_secs(10)).expect("played");
        assert_eq!(found.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            found.faults > 10 && found.versions > 1,
            "seed {seed}: {found:?}"
        );
    }
}

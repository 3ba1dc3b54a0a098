//! Helpers of the tests that run fleets of real processes.

use asterreel_testbench::cluster::{history, Cluster};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The path of the gateway's program.
pub(crate) fn gateway_program() -> PathBuf {
    env!("CARGO_BIN_EXE_asterreel").into()
}

/// Holds the lock under which only one fleet runs at a time. The tests of a file run in parallel, and a fleet is several
/// processes whose leases may last little more than a second: a busy machine would let them expire.
pub(crate) fn lock_fleet() -> MutexGuard<'static, ()> {
    static FLEET: Mutex<()> = Mutex::new(());
    FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Asserts that within this time all gateways act on one version that is newer than all before; prints the logs if not.
pub(crate) fn assert_agreement(cluster: &mut Cluster, within: Duration) {
    let took = cluster.agree(within).expect("offered");
    if took.is_none() {
        cluster
            .history()
            .iter()
            .for_each(|line| println!("{} {}", line.gateway, line.fields));
    }
    assert!(
        took.is_some(),
        "{:?} {:?}",
        cluster.in_force(),
        cluster.ended()
    );
}

/// Asserts that the gateways' logs show no violation of an invariant.
pub(crate) fn assert_no_violations(cluster: &Cluster) {
    assert_eq!(
        history::violations(&cluster.history()),
        Vec::<String>::new()
    );
}

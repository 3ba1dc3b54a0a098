//! What tests of fleets of real processes share.

use asterreel_testbench::cluster::{history, Cluster};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The gateway's program.
pub(crate) fn program() -> PathBuf {
    env!("CARGO_BIN_EXE_asterreel").into()
}

/// One fleet at a time: tests of one file run at once, and each fleet is several processes whose rights may last little more
/// than a second.
pub(crate) fn alone() -> MutexGuard<'static, ()> {
    static FLEET: Mutex<()> = Mutex::new(());
    FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits until each gateway acts on a version that is newer than all before, and prints what was logged where none does.
pub(crate) fn agree(cluster: &mut Cluster, within: Duration) {
    let took = cluster.agree(within).expect("played");
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

/// What must never be was not.
pub(crate) fn no_violation(cluster: &Cluster) {
    assert_eq!(
        history::violations(&cluster.history()),
        Vec::<String>::new()
    );
}

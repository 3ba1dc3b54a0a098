use super::*;

#[test]
fn wait_covers_lease_at_worst_clock_rates() {
    let timing = Timing {
        lease_us: 3_000_000,
        renew_us: 1_000_000,
        drift_ppm: 10_000,
        margin_us: 0,
    };
    let wait = timing.wait_us();
    // The end of the lease in real time on the slowest holder's clock, and the end of the wait on the fastest other clock.
    let holder_ends = 3_000_000.0 / 0.99;
    let others_begin = wait as f64 / 1.01;
    assert!(
        others_begin >= holder_ends,
        "another gateway acts before the lease ended: {others_begin} < {holder_ends}"
    );
    assert!(
        others_begin - holder_ends < 2.0,
        "the wait is longer than necessary: {others_begin} against {holder_ends}"
    );
    let exact = Timing {
        drift_ppm: 0,
        margin_us: 7,
        ..timing
    };
    assert_eq!(exact.wait_us(), 3_000_007);
}

#[test]
fn contradictory_timing_names_its_key() {
    let valid = Timing {
        lease_us: 3_000_000,
        renew_us: 1_000_000,
        drift_ppm: 1_000,
        margin_us: 100_000,
    };
    assert_eq!(valid.check(), Ok(()));
    let short_lease = Timing {
        lease_us: 1_050_000,
        ..valid
    };
    assert_eq!(
        short_lease.check().map_err(|error| error.key()),
        Err("lease_ms")
    );
    let no_renewal = Timing {
        renew_us: 0,
        ..valid
    };
    assert_eq!(
        no_renewal.check().map_err(|error| error.key()),
        Err("renew_ms")
    );
    let broken_clock = Timing {
        drift_ppm: MAX_DRIFT_PPM,
        ..valid
    };
    assert_eq!(
        broken_clock.check().map_err(|error| error.key()),
        Err("drift_ppm")
    );
}

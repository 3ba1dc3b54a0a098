use super::*;

#[test]
fn the_wait_covers_the_lease_at_the_worst_rates() {
    let timing = Timing {
        lease_us: 3_000_000,
        renew_us: 1_000_000,
        drift_ppm: 10_000,
        margin_us: 0,
    };
    let wait = timing.wait_us();
    // The holder's last moment in real time, at its slowest, against the others' first, at their fastest.
    let holder_ends = 3_000_000.0 / 0.99;
    let others_begin = wait as f64 / 1.01;
    assert!(
        others_begin >= holder_ends,
        "{others_begin} < {holder_ends}"
    );
    // And not much more than that.
    assert!(others_begin - holder_ends < 2.0);
    let exact = Timing {
        drift_ppm: 0,
        margin_us: 7,
        ..timing
    };
    assert_eq!(exact.wait_us(), 3_000_007);
}

#[test]
fn contradictory_timing_is_refused_naming_the_key() {
    let good = Timing {
        lease_us: 3_000_000,
        renew_us: 1_000_000,
        drift_ppm: 1_000,
        margin_us: 100_000,
    };
    assert_eq!(good.check(), Ok(()));
    let short = Timing {
        lease_us: 1_050_000,
        ..good
    };
    assert_eq!(short.check().map_err(|error| error.key()), Err("lease_ms"));
    let never = Timing {
        renew_us: 0,
        ..good
    };
    assert_eq!(never.check().map_err(|error| error.key()), Err("renew_ms"));
    let broken = Timing {
        drift_ppm: MAX_DRIFT_PPM,
        ..good
    };
    assert_eq!(
        broken.check().map_err(|error| error.key()),
        Err("drift_ppm")
    );
}

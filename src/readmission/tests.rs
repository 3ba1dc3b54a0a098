use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

const SECOND: Micros = 1_000_000;

fn address(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0A00_0000 + number))
}

fn options() -> Options {
    Options {
        sessions_per_s: 500.0,
        burst: 20.0,
        longest_ms: 20_000,
    }
}

/// Clients with an address each that all connect within 100 ms. They retry after the time that they are given, or every
/// 50 ms if they are eager. Returns when each was admitted.
fn reconnect_storm(
    gateways: usize,
    clients: u32,
    is_eager: impl Fn(u32) -> bool,
) -> Vec<(u32, Micros)> {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut all: Vec<Readmission> = (0..gateways)
        .map(|n| Readmission::new(options(), gateways as u32, n as u64))
        .collect();
    let mut next = BinaryHeap::new();
    (0..clients).for_each(|client| next.push(Reverse((SECOND + rng.u64(0..SECOND / 10), client))));
    let mut admitted = Vec::new();
    while let Some(Reverse((now, client))) = next.pop() {
        assert!(
            now < 120 * SECOND,
            "{} of {clients} admitted",
            admitted.len()
        );
        // The load balancer sends a client to the same gateway again.
        match all[client as usize % gateways].arrive(now, address(client)) {
            Answer::Admit => admitted.push((client, now)),
            Answer::RetryAfter(wait) => {
                next.push(Reverse((
                    now + if is_eager(client) { SECOND / 20 } else { wait },
                    client,
                )));
            }
        }
    }
    admitted
}

#[test]
fn reconnect_storm_is_spread_within_the_budget() {
    for gateways in [1, 2, 5, 9] {
        for eager_in_ten in [0, 5] {
            let admitted = reconnect_storm(gateways, 2_000, |client| client % 10 < eager_in_ten);
            let times: Vec<Micros> = admitted.iter().map(|(_, at)| *at).collect();
            // Bound for any second: the budget, and one burst of each gateway.
            for (n, at) in times.iter().enumerate() {
                let within = times[n..]
                    .iter()
                    .take_while(|other| **other < at + SECOND)
                    .count();
                let max_admitted = 500.0 + 20.0 * gateways as f64 + 1.0;
                assert!(
                    within as f64 <= max_admitted,
                    "{gateways} gateways, {eager_in_ten} in ten eager: {within} in a second"
                );
            }
            // 2000 clients at 500 a second take 4 s, and the jitter of a slot.
            let last = times.last().copied().unwrap_or(0) - SECOND;
            assert!(
                last < 6 * SECOND,
                "{gateways} gateways, {eager_in_ten} in ten eager: the last after {last} us"
            );
        }
    }
}

#[test]
fn early_retry_keeps_its_slot_and_unused_slots_lapse() {
    let mut pacing = Readmission::new(options(), 1, 1);
    let mut admitted = 0;
    while pacing.arrive(SECOND, address(1_000 + admitted)) == Answer::Admit {
        admitted += 1;
    }
    assert_eq!(admitted, 20, "one burst is admitted at once");
    let Answer::RetryAfter(wait) = pacing.arrive(SECOND, address(1)) else {
        panic!("admitted beyond the burst")
    };
    // Other clients queue after it, and it retries early several times.
    for n in 0..100 {
        pacing.arrive(SECOND, address(5_000 + n));
    }
    for n in 1..9 {
        pacing.arrive(SECOND + n, address(1));
    }
    assert_eq!(
        pacing.arrive(SECOND + wait, address(1)),
        Answer::Admit,
        "admitted at the time of its slot"
    );
    // Long after, when all slots have lapsed, a client is admitted at once.
    assert_eq!(pacing.arrive(100 * SECOND, address(2)), Answer::Admit);
    assert_eq!(
        (pacing.slot_count, pacing.slots.len()),
        (0, 0),
        "unused slots have lapsed"
    );
}

#[test]
fn queue_and_waits_are_bounded() {
    let mut pacing = Readmission::new(
        Options {
            sessions_per_s: 10.0,
            ..options()
        },
        1,
        1,
    );
    for n in 0..50_000 {
        if let Answer::RetryAfter(wait) = pacing.arrive(SECOND, address(n)) {
            assert!(wait <= 20 * SECOND + 100_000, "{wait}");
        }
    }
    assert!(
        pacing.slot_count <= 200,
        "{} slots within the longest wait",
        pacing.slot_count
    );
    // The number of slots of one address that keeps retrying is bounded.
    let mut pacing = Readmission::new(
        Options {
            sessions_per_s: 100_000.0,
            ..options()
        },
        1,
        1,
    );
    for _ in 0..10_000 {
        pacing.arrive(SECOND, address(1));
    }
    assert!(pacing.slot_count <= MAX_SLOTS_PER_ADDRESS);
}

#[test]
fn share_follows_the_number_of_gateways() {
    let rate = |gateways: u32| {
        let mut pacing = Readmission::new(options(), 5, 1);
        pacing.set_gateway_count(gateways);
        let came = (0..100_000).map(|n| pacing.arrive(SECOND + n * 100, address(7)));
        came.filter(|answer| *answer == Answer::Admit).count()
    };
    // One address retries all the time for 10 s: it gets the gateway's share and one burst.
    let (alone, five) = (rate(1), rate(5));
    assert!((4_000..=5_030).contains(&alone), "{alone}");
    assert!((800..=1_030).contains(&five), "{five}");
}

#[test]
fn option_errors_name_their_key() {
    assert_eq!(options().check(), Ok(()));
    let key = |options: Options| options.check().map_err(|error| error.key);
    assert_eq!(
        key(Options {
            sessions_per_s: 0.0,
            ..options()
        }),
        Err("sessions_per_s".to_owned())
    );
    assert_eq!(
        key(Options {
            sessions_per_s: f64::NAN,
            ..options()
        }),
        Err("sessions_per_s".to_owned())
    );
    assert_eq!(
        key(Options {
            burst: 0.5,
            ..options()
        }),
        Err("burst".to_owned())
    );
    assert_eq!(
        key(Options {
            longest_ms: 0,
            ..options()
        }),
        Err("longest_ms".to_owned())
    );
}

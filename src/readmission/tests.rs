use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;

const SECOND: Micros = 1_000_000;

fn address(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0A00_0000 + number))
}

fn knobs() -> Knobs {
    Knobs {
        sessions_per_s: 500.0,
        burst: 20.0,
        longest_ms: 20_000,
    }
}

/// Clients of one address each that come within 100 ms, and again when told, or every 50 ms where they don't listen.
/// When each was admitted.
fn storm(gateways: usize, clients: u32, deaf: impl Fn(u32) -> bool) -> Vec<(u32, Micros)> {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut all: Vec<Readmission> = (0..gateways)
        .map(|n| Readmission::new(knobs(), gateways as u32, n as u64))
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
        // The front layer sends a client back to where it was.
        match all[client as usize % gateways].arrive(now, address(client)) {
            Answer::Admit => admitted.push((client, now)),
            Answer::ComeAgain(wait) => {
                next.push(Reverse((
                    now + if deaf(client) { SECOND / 20 } else { wait },
                    client,
                )));
            }
        }
    }
    admitted
}

#[test]
fn a_storm_is_spread_within_the_budget_and_everybody_comes_in() {
    for gateways in [1, 2, 5, 9] {
        for share in [0, 5] {
            let admitted = storm(gateways, 2_000, |client| client % 10 < share);
            let times: Vec<Micros> = admitted.iter().map(|(_, at)| *at).collect();
            // In any second: the budget, and a burst of each gateway once.
            for (n, at) in times.iter().enumerate() {
                let within = times[n..]
                    .iter()
                    .take_while(|other| **other < at + SECOND)
                    .count();
                let most = 500.0 + 20.0 * gateways as f64 + 1.0;
                assert!(
                    within as f64 <= most,
                    "{gateways} gateways, {share} deaf: {within} in a second"
                );
            }
            // 2000 clients at 500 a second, and the jitter of a place.
            let last = times.last().copied().unwrap_or(0) - SECOND;
            assert!(
                last < 6 * SECOND,
                "{gateways} gateways, {share} deaf: the last after {last} us"
            );
        }
    }
}

#[test]
fn whoever_asks_early_keeps_its_place_and_one_not_taken_up_lapses() {
    let mut door = Readmission::new(knobs(), 1, 1);
    let mut crowd = 0;
    while door.arrive(SECOND, address(1_000 + crowd)) == Answer::Admit {
        crowd += 1;
    }
    assert_eq!(crowd, 20, "a burst");
    let Answer::ComeAgain(wait) = door.arrive(SECOND, address(1)) else {
        panic!("admitted beyond the burst")
    };
    // Others queue behind it; it asks early, again and again.
    for n in 0..100 {
        door.arrive(SECOND, address(5_000 + n));
    }
    for n in 1..9 {
        door.arrive(SECOND + n, address(1));
    }
    assert_eq!(
        door.arrive(SECOND + wait, address(1)),
        Answer::Admit,
        "at its time"
    );
    // Long after, with nobody there, all is as at the start.
    assert_eq!(door.arrive(100 * SECOND, address(2)), Answer::Admit);
    assert_eq!(
        (door.taken, door.places.len()),
        (0, 0),
        "what was not taken up has lapsed"
    );
}

#[test]
fn the_row_is_bounded_and_no_wait_is_longer_than_told() {
    let mut door = Readmission::new(
        Knobs {
            sessions_per_s: 10.0,
            ..knobs()
        },
        1,
        1,
    );
    for n in 0..50_000 {
        if let Answer::ComeAgain(wait) = door.arrive(SECOND, address(n)) {
            assert!(wait <= 20 * SECOND + 100_000, "{wait}");
        }
    }
    assert!(
        door.taken <= 200,
        "{} places within the longest wait",
        door.taken
    );
    // An address that asks without end holds so many places at most.
    let mut door = Readmission::new(
        Knobs {
            sessions_per_s: 100_000.0,
            ..knobs()
        },
        1,
        1,
    );
    for _ in 0..10_000 {
        door.arrive(SECOND, address(1));
    }
    assert!(door.taken <= PLACES_EACH);
}

#[test]
fn a_part_follows_how_many_share_and_is_never_none() {
    let rate = |gateways: u32| {
        let mut door = Readmission::new(knobs(), 5, 1);
        door.share(gateways);
        let came = (0..100_000).map(|n| door.arrive(SECOND + n * 100, address(7)));
        came.filter(|answer| *answer == Answer::Admit).count()
    };
    // Ten seconds of one who asks all the time: the part, and a burst.
    let (alone, five) = (rate(1), rate(5));
    assert!((4_000..=5_030).contains(&alone), "{alone}");
    assert!((800..=1_030).contains(&five), "{five}");
}

#[test]
fn bad_knobs_name_their_key() {
    assert_eq!(knobs().check(), Ok(()));
    let key = |knobs: Knobs| knobs.check().map_err(|(key, _)| key);
    assert_eq!(
        key(Knobs {
            sessions_per_s: 0.0,
            ..knobs()
        }),
        Err("sessions_per_s")
    );
    assert_eq!(
        key(Knobs {
            sessions_per_s: f64::NAN,
            ..knobs()
        }),
        Err("sessions_per_s")
    );
    assert_eq!(
        key(Knobs {
            burst: 0.5,
            ..knobs()
        }),
        Err("burst")
    );
    assert_eq!(
        key(Knobs {
            longest_ms: 0,
            ..knobs()
        }),
        Err("longest_ms")
    );
}

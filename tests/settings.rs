//! Random settings over every mode of the protocol: the router is run against a simulated fleet of members, and every
//! rule is checked after every step.
//!
//! `SETTINGS_CASES=500 cargo test --release --test settings` runs more cases than CI does.
mod common;
#[path = "settings/world.rs"]
mod world;

use asterreel::interface::*;
use common::MS;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use std::collections::BTreeMap;
use world::World;

fn class() -> impl Strategy<Value = (Class, ConsistencyLevel, Micros)> {
    let keyed = (
        prop_oneof![
            Just(DeduplicationScope::All),
            Just(DeduplicationScope::Zone),
            Just(DeduplicationScope::Group)
        ],
        prop_oneof![50..500_u64, 500..6_000_u64],
    )
        .prop_map(|(scope, ms)| Idempotency::IdempotencyKey {
            scope,
            window: ms * MS,
        });
    let write = prop_oneof![Just(Idempotency::NonIdempotent), keyed]
        .prop_map(|idempotency| (ConsistencyLevel::Write, idempotency));
    let reads = prop_oneof![
        Just(ConsistencyLevel::Eventual),
        Just(ConsistencyLevel::BoundedStaleness),
        Just(ConsistencyLevel::Session),
        Just(ConsistencyLevel::Strong)
    ];
    let consistency = prop_oneof![1 => write, 3 => reads.prop_map(|consistency| (consistency, Idempotency::Idempotent))];
    let times = (
        50..2_000_u64,
        2..6_u64,
        0.0..1.0_f64,
        1.0..6.0_f64,
        50..1_500_u64,
    );
    (consistency, times).prop_map(
        |(
            (consistency, idempotency),
            (latency_objective, times, late_weight, priority_weight, bound),
        )| {
            let (latency_objective, deadline) =
                (latency_objective * MS, latency_objective * times * MS);
            let class = Class {
                idempotency,
                latency_objective,
                objective_work_factor: 0.0,
                deadline,
                priority_weight,
                late_weight,
            };
            (
                class,
                consistency,
                if consistency == ConsistencyLevel::BoundedStaleness {
                    bound * MS
                } else {
                    0
                },
            )
        },
    )
}

fn permit() -> impl Strategy<Value = Permit> {
    prop_oneof![Just(Permit::Allowed), Just(Permit::Forbidden)]
}

fn settings() -> impl Strategy<Value = Settings> {
    let classes = prop::collection::vec(class(), 1..5);
    let modes = (
        prop_oneof![Just(DiscoveryMode::Push), Just(DiscoveryMode::Watch)],
        prop_oneof![Just(ReplicaChecks::None), Just(ReplicaChecks::RejectStale)],
        prop_oneof![
            Just(SessionTokens::FromClient),
            Just(SessionTokens::Remembered)
        ],
        prop_oneof![
            Just(ListedRole::Delayed),
            Just(ListedRole::AtStart),
            Just(ListedRole::Never)
        ],
        prop_oneof![
            Just(DrainSignal::DrainingOrRemoved),
            Just(DrainSignal::DrainingOnly)
        ],
    );
    let permits = (permit(), permit(), permit(), permit());
    let numbers = (
        prop_oneof![Just(1_u32), Just(2), Just(3), Just(300)],
        1..12_u32,
        1..4_000_u64,
        1_000..20_000_u64,
    );
    let ramp = (
        0.05..1.0_f64,
        1_000..20_000_u64,
        1.5..4.0_f64,
        500..3_000_u64,
    );
    (classes, modes, permits, numbers, ramp).prop_map(|(classes, modes, permits, numbers, ramp)| {
        let (discovery, checks, tokens, listed_role, drain_signal) = modes;
        let (probes, cancel, retry_after, positions) = permits;
        let (fleet, max_attempts, max_retry_after, poll_interval) = numbers;
        let base = common::settings();
        Settings {
            consistency_levels: classes.iter().map(|class| class.1).collect(),
            staleness_bounds: classes.iter().map(|class| class.2).collect(),
            classes: classes.into_iter().map(|class| class.0).collect(),
            fleet_size: fleet,
            discovery,
            replica_checks: checks,
            session_tokens: tokens,
            positions,
            listed_role,
            probes,
            cancel,
            retry_after,
            max_retry_after: max_retry_after * MS,
            max_attempts,
            poll_interval: poll_interval * MS,
            drain_signal,
            slow_start_initial_share: ramp.0,
            slow_start_duration: ramp.1 * MS,
            overload_multiple: ramp.2,
            overload_duration: ramp.3 * MS,
            ..base
        }
    })
}

/// Runs a world for each of many random settings; returns the number of cases, and the worlds after their runs.
fn run_worlds(new_world: impl Fn(Settings, u64) -> World) -> (u32, Vec<World>) {
    let cases = std::env::var("SETTINGS_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok())
        .unwrap_or(40);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let worlds = std::cell::RefCell::new(Vec::new());
    let result = runner.run(&(settings(), any::<u64>()), |(settings, seed)| {
        let mut world = new_world(settings, seed);
        let checked = world.run();
        let trace = format!("{:#?}", world.trace);
        worlds.borrow_mut().push(world);
        checked.map_err(|broken| TestCaseError::fail(format!("{broken}; after {trace}")))
    });
    result.unwrap_or_else(|broken| panic!("{broken}"));
    (cases, worlds.into_inner())
}

fn served(worlds: &[World]) -> u32 {
    worlds.iter().map(|world| world.served).sum()
}

#[test]
fn rules_hold_for_random_settings() {
    let (cases, worlds) = run_worlds(World::new);
    let served = served(&worlds);
    assert!(
        served > 100 * cases,
        "{served} requests served in {cases} cases"
    );
}

/// What an attempt was allowed to do when it was decided was not looked at again when its connection was ready: repeats were
/// sent after their window.
#[test]
fn rules_hold_at_the_send_for_random_waits() {
    let (cases, worlds) =
        run_worlds(|settings, seed| World::new(settings, seed).with_send_waits(400 * MS));
    let served = served(&worlds);
    assert!(
        served > 100 * cases,
        "{served} requests served in {cases} cases"
    );
    let mut refusals = BTreeMap::<&str, u32>::new();
    for (reason, count) in worlds.iter().flat_map(|world| &world.refusals) {
        *refusals.entry(reason).or_default() += count;
    }
    // Each of these waits was met by what it may be overtaken by.
    let reasons = [
        "RequestEnded",
        "MemberDraining",
        "RepeatForbidden",
        "NotPrimary",
        "StaleData",
    ];
    for reason in reasons {
        assert!(refusals.contains_key(reason), "{refusals:?}");
    }
}

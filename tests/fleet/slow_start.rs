//! Slow start over a whole fleet: what members that are warming up get from the sum of all gateways.

use super::common::*;
use super::world::*;
use asterreel::interface::*;
use asterreel::policy::slow_start::slow_start_fraction;

/// Regression: a hundred gateways together sent a member that is warming up four requests a second, however much it
/// could do, while the warm rest of its group timed out.
#[test]
fn started_members_are_used_and_not_overloaded() {
    for (seed, gateways) in [(1, 100), (2, 100), (3, 100), (4, 3)] {
        let rate = 400;
        let mut world = World::new(gateways, 4, seed);
        world.run(10 * SECOND, rate);
        let began = world.now;
        for member in (0..4 * MEMBERS).filter(|member| member % MEMBERS > 1) {
            world.update_endpoint(member, EndpointState::Ready, began);
        }
        world.run(10 * SECOND, rate);
        let settings = settings();
        let span = settings.overload_duration;
        let throughput = rate as f64 / f64::from(4 * MEMBERS);
        let mut used = 0;
        for (member, times) in world
            .times
            .iter()
            .filter(|(member, _)| **member % MEMBERS > 1)
        {
            let cold: Vec<Micros> = times
                .iter()
                .map(|(at, _)| *at)
                .filter(|at| *at >= began)
                .collect();
            used += cold.len();
            for (n, at) in cold.iter().enumerate() {
                let within = cold[n..]
                    .iter()
                    .take_while(|other| **other < at + span)
                    .count();
                let fraction = slow_start_fraction(&settings, began, at + span);
                let budget = settings.overload_multiple * fraction * throughput * span as f64 / 1e6;
                // Capacity is well above the throughput on the mean; the rest is chance in small numbers.
                let most = budget + 3.0 * budget.sqrt();
                assert!(
                    within as f64 <= most,
                    "seed {seed}, {gateways} gateways: {within} sends to {member}"
                );
            }
        }
        // A third of what the sum of slow-start fractions over ten seconds would carry at the mean.
        let warm: f64 = (0..10)
            .map(|s| slow_start_fraction(&settings, 1, s * SECOND))
            .sum();
        let share = 12.0 * warm * throughput / 3.0;
        assert!(
            used as f64 >= share,
            "seed {seed}, {gateways} gateways: {used} sends to members that are warming up, {share:.0} wanted"
        );
    }
}

/// Mean work of a request of [`World::arrive`].
const MEAN_WORK: f64 = (0.96 * WORK as f64) + (0.04 * REPORT as f64);

/// Windows in which the fleet sent a member that is warming up more than the settings allow it and chance, all
/// windows that began with a send, and the worst part of what is allowed.
fn windows_over(
    world: &World,
    settings: &Settings,
    began: Micros,
    cold: &[u32],
    capacity: f64,
) -> (usize, usize, f64) {
    let (mut over, mut all, mut worst) = (0, 0, 0.0_f64);
    for member in cold {
        let none = Vec::new();
        let sends = world.times.get(member).unwrap_or(&none);
        let sends: Vec<_> = sends.iter().filter(|(at, _)| *at >= began).collect();
        for (n, (at, _)) in sends.iter().enumerate() {
            let end = at + settings.overload_duration;
            let fraction = slow_start_fraction(settings, began, end);
            if fraction >= 1.0 {
                continue;
            }
            let within = sends[n..].iter().take_while(|(other, _)| *other < end);
            let load: f64 = within
                .map(|(_, class)| work(*class) as f64 / MEAN_WORK)
                .sum();
            let budget = settings.overload_multiple
                * fraction
                * capacity
                * settings.overload_duration as f64
                / 1e6;
            all += 1;
            over += usize::from(load > budget + 2.0 * budget.sqrt() + 2.0);
            worst = worst.max(load / (budget + 2.0 * budget.sqrt() + 2.0));
        }
    }
    (over, all, worst)
}

/// What happens to a fleet while members are warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scene {
    /// Some of each group start anew; gateways see alike or several times as much as others, and traffic stops and
    /// starts.
    Some,
    /// All members start anew, the primary too: writes wait until it is found, and go nowhere else.
    All,
    /// The members that stayed warm die.
    WarmDie,
    /// All gateways start anew while members are cold.
    FrontsStart,
}

/// Cold members answer to the sum of all gateways: beyond a budget of N only 2 x root of N + 2 are chance.
/// Regression: in fleets of 20 and 30 gateways, each of which earned about one send in a span, all held one at any
/// time, and where all demand came to members that are warming up up to 1.2 times the bound was sent in these scenes.
#[test]
fn slow_start_budget_holds_across_the_fleet() {
    let narrow = Settings {
        overload_multiple: 2.0,
        overload_duration: 2_500 * MS,
        ..settings_with_long_reads()
    };
    let platform = Settings {
        overload_multiple: 2.5,
        overload_duration: 2 * SECOND,
        slow_start_initial_share: 0.16,
        ..settings_with_long_reads()
    };
    let mut plays = Vec::new();
    for (settings, seed) in [(narrow, 1), (platform, 2)] {
        for (gateways, rate, groups) in [
            (3, 400, 4),
            (20, 400, 4),
            (30, 400, 4),
            (300, 1_200, 6),
            (20, 60, 4),
        ] {
            for scene in [Scene::Some, Scene::All, Scene::WarmDie, Scene::FrontsStart] {
                plays.push((settings.clone(), seed, gateways, rate, groups, scene));
            }
        }
    }
    // Side by side, but each on a clock and a seed of its own.
    let (least, played) = std::thread::scope(|scope| {
        let threads: Vec<_> = plays
            .chunks(plays.len() / 4)
            .map(|plays| {
                scope.spawn(move || plays.iter().map(cold_windows).collect::<Vec<usize>>())
            })
            .collect();
        let windows: Vec<usize> = threads
            .into_iter()
            .flat_map(|t| t.join().expect("kept"))
            .collect();
        (windows.iter().copied().min(), windows.len())
    });
    assert_eq!(played, plays.len());
    assert!(
        least > Some(50),
        "members that are warming up are used in every play: {least:?}"
    );
}

/// Runs a scene and asserts that none of its windows is over; how many there were.
fn cold_windows(play: &(Settings, u64, u32, u64, u32, Scene)) -> usize {
    let (settings, seed, gateways, rate, groups, scene) = play;
    let (gateways, rate, groups, scene) = (*gateways, *rate, *groups, *scene);
    let mut world = World::with(settings.clone(), gateways, groups, *seed);
    (world.uneven, world.bursts) = (true, scene == Scene::Some);
    world.run(10 * SECOND, rate);
    let began = world.now;
    let stays_warm = |member: &u32| scene != Scene::All && member % MEMBERS < 2;
    let (warm, cold): (Vec<u32>, Vec<u32>) = (0..groups * MEMBERS).partition(stays_warm);
    cold.iter()
        .for_each(|member| world.update_endpoint(*member, EndpointState::Ready, began));
    match scene {
        Scene::WarmDie => world.dead = warm,
        Scene::FrontsStart => {
            world.run(3 * SECOND, rate);
            let started = |member| if cold.contains(&member) { began } else { 0 };
            let entry = |m| Endpoint {
                role: role(m),
                ..listed(m, EndpointState::Ready, started(m))
            };
            let list: std::sync::Arc<[Endpoint]> = (0..groups * MEMBERS).map(entry).collect();
            world.restart(settings, &list, seed * 77);
        }
        Scene::Some | Scene::All => {}
    }
    world.run(18 * SECOND, rate);
    // Four fifths of what a member of one core could do, or what each carried before, whichever is more.
    let capacity = (rate as f64 / f64::from(groups * MEMBERS)).max(0.8e6 / MEAN_WORK);
    let (over, all, worst) = windows_over(&world, settings, began, &cold, capacity);
    let what = format!(
        "{gateways} gateways, {rate} a second, multiple {}, {scene:?}",
        settings.overload_multiple
    );
    assert_eq!(
        over, 0,
        "{what}: of {all} windows, the worst {worst:.2} of what is allowed"
    );
    all
}

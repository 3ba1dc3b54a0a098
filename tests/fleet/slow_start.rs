//! Slow start over a whole fleet: how many requests members that are warming up get from all gateways together.

use super::common::*;
use super::world::*;
use asterreel::interface::*;
use asterreel::policy::slow_start::slow_start_fraction;

/// 100 gateways together sent a member that was warming up only four requests a second, whatever its capacity, while
/// the warm members of its group timed out.
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
            .dispatch_times
            .iter()
            .filter(|(member, _)| **member % MEMBERS > 1)
        {
            let since_restart: Vec<Micros> = times
                .iter()
                .map(|(at, _)| *at)
                .filter(|at| *at >= began)
                .collect();
            used += since_restart.len();
            for (n, at) in since_restart.iter().enumerate() {
                let within = since_restart[n..]
                    .iter()
                    .take_while(|other| **other < at + span)
                    .count();
                let fraction = slow_start_fraction(&settings, began, at + span);
                let budget = settings.overload_multiple * fraction * throughput * span as f64 / 1e6;
                // The capacity is well above the mean throughput; the rest is random variation of small numbers.
                let most = budget + 3.0 * budget.sqrt();
                assert!(
                    within as f64 <= most,
                    "seed {seed}, {gateways} gateways: {within} dispatches to {member}"
                );
            }
        }
        // A third of the mean throughput, weighted by the slow-start fractions over ten seconds.
        let warm: f64 = (0..10)
            .map(|s| slow_start_fraction(&settings, 1, s * SECOND))
            .sum();
        let share = 12.0 * warm * throughput / 3.0;
        assert!(
            used as f64 >= share,
            "seed {seed}, {gateways} gateways: {used} dispatches to members that are warming up, {share:.0} expected"
        );
    }
}

/// The mean work of a request of [`World::arrive`], microseconds.
const MEAN_WORK: f64 = (0.96 * WORK as f64) + (0.04 * LONG_READ_WORK as f64);

/// Counts the windows of the overload duration that begin with a dispatch to a member that is warming up. Returns how
/// many of them exceed the budget with its random variation, how many there are, and the highest load as a share of
/// what is allowed.
fn count_overloaded_windows(
    world: &World,
    settings: &Settings,
    began: Micros,
    warming_up: &[u32],
    capacity: f64,
) -> (usize, usize, f64) {
    let (mut over, mut all, mut worst) = (0, 0, 0.0_f64);
    for member in warming_up {
        let none = Vec::new();
        let sends = world.dispatch_times.get(member).unwrap_or(&none);
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

/// What happens in a fleet while members are warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scene {
    /// Some members of each group restart; some gateways get several times as many requests as others, and traffic
    /// comes in bursts.
    SomeMembersRestart,
    /// All members restart, the primary included: writes wait until it is found, and are dispatched to no other.
    AllMembersRestart,
    /// The processes of the members that stayed warm are gone.
    WarmMembersGone,
    /// All gateways restart while members are warming up.
    GatewaysRestart,
}

/// Members that are warming up get the sum of what all gateways dispatch: beyond a budget of N only 2 x root of N + 2
/// requests count as random variation. In fleets of 20 and 30 gateways each gateway gained about one token in a span,
/// and all of them held one at any time. Where all demand came to members that were warming up, up to 1.2 times the
/// bound was dispatched in these scenes.
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
    let mut cases = Vec::new();
    for (settings, seed) in [(narrow, 1), (platform, 2)] {
        for (gateways, rate, groups) in [
            (3, 400, 4),
            (20, 400, 4),
            (30, 400, 4),
            (300, 1_200, 6),
            (20, 60, 4),
        ] {
            for scene in [
                Scene::SomeMembersRestart,
                Scene::AllMembersRestart,
                Scene::WarmMembersGone,
                Scene::GatewaysRestart,
            ] {
                cases.push((settings.clone(), seed, gateways, rate, groups, scene));
            }
        }
    }
    // The cases run in parallel, each with a clock and a seed of its own.
    let (least, case_count) = std::thread::scope(|scope| {
        let threads: Vec<_> = cases
            .chunks(cases.len() / 4)
            .map(|cases| {
                scope.spawn(move || cases.iter().map(check_windows).collect::<Vec<usize>>())
            })
            .collect();
        let windows: Vec<usize> = threads
            .into_iter()
            .flat_map(|t| t.join().expect("no case panicked"))
            .collect();
        (windows.iter().copied().min(), windows.len())
    });
    assert_eq!(case_count, cases.len());
    assert!(
        least > Some(50),
        "members that are warming up are used in every case: {least:?}"
    );
}

/// Runs a case and asserts that no window exceeds its budget. Returns how many windows there were.
fn check_windows(case: &(Settings, u64, u32, u64, u32, Scene)) -> usize {
    let (settings, seed, gateways, rate, groups, scene) = case;
    let (gateways, rate, groups, scene) = (*gateways, *rate, *groups, *scene);
    let mut world = World::with(settings.clone(), gateways, groups, *seed);
    (world.uneven, world.bursts) = (true, scene == Scene::SomeMembersRestart);
    world.run(10 * SECOND, rate);
    let began = world.now;
    let stays_warm = |member: &u32| scene != Scene::AllMembersRestart && member % MEMBERS < 2;
    let (warm, warming_up): (Vec<u32>, Vec<u32>) = (0..groups * MEMBERS).partition(stays_warm);
    warming_up
        .iter()
        .for_each(|member| world.update_endpoint(*member, EndpointState::Ready, began));
    match scene {
        Scene::WarmMembersGone => world.dead = warm,
        Scene::GatewaysRestart => {
            world.run(3 * SECOND, rate);
            let started = |member| {
                if warming_up.contains(&member) {
                    began
                } else {
                    0
                }
            };
            let entry = |m| Endpoint {
                role: role(m),
                ..listed(m, EndpointState::Ready, started(m))
            };
            let list: std::sync::Arc<[Endpoint]> = (0..groups * MEMBERS).map(entry).collect();
            world.restart(settings, &list, seed * 77);
        }
        Scene::SomeMembersRestart | Scene::AllMembersRestart => {}
    }
    world.run(18 * SECOND, rate);
    // The larger of four fifths of what a member with one core could do and of the requests per member.
    let capacity = (rate as f64 / f64::from(groups * MEMBERS)).max(0.8e6 / MEAN_WORK);
    let (over, all, worst) =
        count_overloaded_windows(&world, settings, began, &warming_up, capacity);
    let what = format!(
        "{gateways} gateways, {rate} a second, multiple {}, {scene:?}",
        settings.overload_multiple
    );
    assert_eq!(
        over, 0,
        "{what}: {over} of {all} windows exceed the budget, the highest load is {worst:.2} of what is allowed"
    );
    all
}

//! A gateway that is cut off, a primary that dies, a gateway that mostly stands still.

use super::under_load::{self, write, Front};
use super::Setting;
use asterreel_testbench::load::{self};
use nix::sys::signal::Signal;
use std::thread;
use std::time::{Duration, Instant};

/// What befalls the gateways or the fleet.
#[derive(Clone, Copy)]
enum Trouble {
    Cut,
    Outage,
    Overload,
}

/// Plays each trouble with weights and without.
pub(super) fn play(setting: &Setting) -> anyhow::Result<()> {
    let shape = load::Shape {
        rate: 300.0,
        span: Duration::from_secs(25),
        clients: 192,
        seed: setting.seed,
        ..load::Shape::default()
    };
    for (name, title, fault) in [
        (
            "health-cut",
            "One of three gateways is cut off from the primary, 5 s to 15 s",
            Trouble::Cut,
        ),
        (
            "health-outage",
            "The primary dies at 5 s, the next is elected at 9 s",
            Trouble::Outage,
        ),
        (
            "health-overload",
            "One of three gateways stands still 0.7 s of each second, 5 s to 15 s",
            Trouble::Overload,
        ),
    ] {
        let (mut rows, mut lines) = (Vec::new(), Vec::new());
        for (arm, front) in [
            ("without weights", Front::Connect),
            ("with weights", Front::Agent),
        ] {
            let played = under_load::play(setting, front, shape, |fleet, gateways, _, _| {
                thread::sleep(Duration::from_secs(5));
                match fault {
                    Trouble::Cut => {
                        fleet.cut(0, 0, true);
                        thread::sleep(Duration::from_secs(10));
                        fleet.cut(0, 0, false);
                    }
                    Trouble::Outage => {
                        fleet.crash(0);
                        fleet.elect(None);
                        thread::sleep(Duration::from_secs(4));
                        fleet.elect(Some(1));
                        thread::sleep(Duration::from_secs(4));
                        fleet.restart(0);
                    }
                    Trouble::Overload => {
                        let until = Instant::now() + Duration::from_secs(10);
                        while Instant::now() < until {
                            gateways[0].signal(Signal::SIGSTOP)?;
                            thread::sleep(Duration::from_millis(700));
                            gateways[0].signal(Signal::SIGCONT)?;
                            thread::sleep(Duration::from_millis(300));
                        }
                    }
                }
                Ok(())
            })?;
            rows.push(played.row(arm, 0));
            lines.push((arm.to_owned(), played.by_second()));
        }
        write(setting, name, title, &rows, &lines)?;
    }
    Ok(())
}

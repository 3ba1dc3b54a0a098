//! The effect of a gateway that is cut off from the primary, a primary that crashes, and a gateway that is suspended
//! most of the time.

use super::under_load::{self, write, CheckMode};
use super::Setting;
use asterreel_testbench::load::{self};
use nix::sys::signal::Signal;
use std::thread;
use std::time::{Duration, Instant};

/// The fault that the experiment injects.
#[derive(Clone, Copy)]
enum Fault {
    /// One gateway can't reach the primary.
    Cut,
    /// The primary crashes, and another is elected.
    Outage,
    /// One gateway is suspended repeatedly.
    Overload,
}

/// Runs each fault with and without weights.
pub(super) fn run(setting: &Setting) -> anyhow::Result<()> {
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
            Fault::Cut,
        ),
        (
            "health-outage",
            "The primary dies at 5 s, the next is elected at 9 s",
            Fault::Outage,
        ),
        (
            "health-overload",
            "One of three gateways stands still 0.7 s of each second, 5 s to 15 s",
            Fault::Overload,
        ),
    ] {
        let (mut rows, mut lines) = (Vec::new(), Vec::new());
        for (arm, check_mode) in [
            ("without weights", CheckMode::Connect),
            ("with weights", CheckMode::Agent),
        ] {
            let result = under_load::run(setting, check_mode, shape, |fleet, gateways, _, _| {
                thread::sleep(Duration::from_secs(5));
                match fault {
                    Fault::Cut => {
                        fleet.cut(0, 0, true);
                        thread::sleep(Duration::from_secs(10));
                        fleet.cut(0, 0, false);
                    }
                    Fault::Outage => {
                        fleet.crash(0);
                        fleet.elect(None);
                        thread::sleep(Duration::from_secs(4));
                        fleet.elect(Some(1));
                        thread::sleep(Duration::from_secs(4));
                        fleet.restart(0);
                    }
                    Fault::Overload => {
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
            rows.push(result.row(arm, 0));
            lines.push((arm.to_owned(), result.by_second()));
        }
        write(setting, name, title, &rows, &lines)?;
    }
    Ok(())
}

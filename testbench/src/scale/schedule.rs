//! The events that are run on a fleet of one size, and the measurements of each.

use super::fleet::{Fleet, Sample, Size};
use super::group::Part;
use super::table::{self, Change, Load};
use crate::standing::Standing;
use clap::ValueEnum;
use std::time::{Duration, Instant};

/// Pause before each measurement.
const REST_TIME: Duration = Duration::from_secs(5);
/// Minimum duration of a measurement.
const WINDOW: Duration = Duration::from_secs(10);
/// Time limit for each awaited condition: twenty leases.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for the restarts of all processes together.
const RESTARTS_TIMEOUT: Duration = Duration::from_secs(240);
/// Interval of further versions during a long cut: 2,400 a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(36);
/// Number of hollow gateways that offer a version at the same time.
const PARALLEL_OFFERS: usize = 10;

/// An event in a fleet, in which the cost of the control plane is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Event {
    /// Nothing happens; measures the fleet at rest.
    Rest,
    /// A voter offers a new edition of the operator's file.
    Change,
    /// Four gateways are killed before a version is offered.
    Dead,
    /// A third of the fleet is cut off, a version is offered, and the third is reconnected.
    Cut,
    /// One gateway is suspended before a version is offered.
    Stopped,
    /// Ten gateways offer a version at the same time.
    Ten,
    /// A tenth of the fleet is killed before a version is offered.
    Tenth,
    /// All processes are restarted, one after another.
    Restart,
    /// The Raft leader is killed before a version is offered.
    Leader,
}

/// Durations of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Pause before each measurement.
    pub rest: Duration,
    /// Minimum duration of a measurement.
    pub window: Duration,
    /// Minimum duration of the cut in [`Event::Cut`]; further versions are offered meanwhile.
    pub cut: Duration,
    /// Time since the start of the fleet after which no further event begins.
    pub until: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            rest: REST_TIME,
            window: WINDOW,
            cut: Duration::ZERO,
            until: Duration::from_secs(600),
        }
    }
}

/// The measurements of a fleet of one size.
#[derive(Debug, Default)]
pub struct Measured {
    /// The resources that gateways used in each event.
    pub loads: Vec<Load>,
    /// How soon versions and events reached the gateways.
    pub changes: Vec<Change>,
    /// Why the schedule ended before its last event, if it did.
    pub ended: Option<String>,
}

struct Schedule {
    fleet: Fleet,
    gateways: u32,
    random: fastrand::Rng,
    timing: Timing,
    found: Measured,
    last_served: (u64, u64),
}

/// Runs the events on a fleet of one size. If one of them fails, the measurements made before are returned.
///
/// # Errors
///
/// The fleet could not be started.
pub fn run(size: Size, events: &[Event], timing: Timing) -> anyhow::Result<Measured> {
    let (began, gateways, seed) = (Instant::now(), size.gateways, size.seed);
    let fleet = Fleet::start(size)?;
    let random = fastrand::Rng::with_seed(seed);
    let mut schedule = Schedule {
        fleet,
        gateways,
        random,
        timing,
        found: Measured::default(),
        last_served: (0, 0),
    };
    let agreed = schedule.wait_for_first_version();
    let result = agreed.and_then(|agreed| {
        // A fleet that does not agree on a first version is only measured without events.
        let events = if agreed { events } else { &[Event::Rest] };
        for event in events {
            if began.elapsed() > timing.until {
                anyhow::bail!("{event:?} and what follows was not run: time was up");
            }
            schedule.event(*event)?;
        }
        anyhow::ensure!(
            agreed,
            "not all gateways acted on one version within {WAIT_TIMEOUT:?}"
        );
        Ok(())
    });
    if let Err(fault) = result {
        let reason = format!("ended early: {fault:#}");
        schedule.record_change(&reason, crate::now(), Vec::new(), gateways as usize);
        schedule.found.ended = Some(reason);
    }
    Ok(schedule.found)
}

impl Schedule {
    /// Waits until all gateways act on a first version; returns whether they do.
    fn wait_for_first_version(&mut self) -> anyhow::Result<bool> {
        let began = crate::now();
        let agreed = self.fleet.agree(WAIT_TIMEOUT, &[])?;
        let all = self.fleet.standings(&[])?;
        // If all act on the version, the times are known when it came into force. Otherwise only the gateways that act
        // now are counted.
        let acts = all.iter().filter(|one| one.acts_now());
        let reached = acts
            .map(|one| {
                if agreed.is_some() {
                    one.since
                } else {
                    crate::now()
                }
            })
            .collect();
        self.record_change(table::START, began, reached, all.len());
        Ok(agreed.is_some())
    }

    fn record_change(&mut self, event: &str, began: u64, reached: Vec<u64>, awaited: usize) {
        let (asked, served) = self.fleet.served();
        let mut row = table::change(self.gateways, event, began, reached, awaited);
        (row.asked, row.served) = (asked - self.last_served.0, served - self.last_served.1);
        self.last_served = (asked, served);
        println!("{}", row.line());
        self.found.changes.push(row);
    }

    fn record_loads(&mut self, event: &str, before: &Sample) -> anyhow::Result<()> {
        let after = self.fleet.measure()?;
        let rows = table::loads(self.gateways, event, self.fleet.leader(), before, &after);
        rows.iter().for_each(|row| println!("{}", row.line()));
        self.found.loads.extend(rows);
        self.fleet.check_memory()
    }

    /// Runs `act` and measures the fleet meanwhile, for at least `Timing::window`.
    fn during(
        &mut self,
        event: &str,
        act: impl FnOnce(&mut Schedule) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        std::thread::sleep(self.timing.rest);
        let before = self.fleet.measure()?;
        let began = Instant::now();
        act(self)?;
        std::thread::sleep(self.timing.window.saturating_sub(began.elapsed()));
        self.record_loads(event, &before)
    }

    /// Has a voter offer a version, and waits until it is in force at all gateways except those of the parts in
    /// `without`.
    fn change(&mut self, event: &str, without: &[Part]) -> anyhow::Result<()> {
        let newest = self.newest()?;
        let at = self.offer()?;
        self.in_force(event, at, newest, without)
    }

    /// Has a random running voter offer a version; returns the time of the offer, Unix microseconds.
    fn offer(&mut self) -> anyhow::Result<u64> {
        let running = self.fleet.running_voters();
        let by = running[self.random.usize(..running.len())];
        self.fleet.offer(by)
    }

    fn newest(&mut self) -> anyhow::Result<u64> {
        Ok(self
            .fleet
            .standings(&[])?
            .iter()
            .map(|one| one.in_force)
            .max()
            .unwrap_or(0))
    }

    fn in_force(
        &mut self,
        event: &str,
        at: u64,
        newest: u64,
        without: &[Part],
    ) -> anyhow::Result<()> {
        let (_, all) = self
            .fleet
            .wait(WAIT_TIMEOUT, without, |one| one.in_force > newest)?;
        let reached = all
            .iter()
            .filter(|one| one.in_force > newest)
            .map(|one| one.since)
            .collect();
        self.record_change(event, at, reached, all.len());
        Ok(())
    }

    /// Waits until all gateways act again, then offers a version and waits until it is in force at all of them.
    fn wait_for_recovery(&mut self, event: &str) -> anyhow::Result<()> {
        let began = crate::now();
        self.fleet.wait(WAIT_TIMEOUT, &[], Standing::acts_now)?;
        let all_act = crate::now();
        let newest = self.newest()?;
        let acting = self.fleet.standings(&[])?;
        let acts = acting.iter().filter(|one| one.acts_now()).count();
        // It is only known by polling when all acted: the time of the last poll.
        self.record_change(
            &format!("{event}: all act"),
            began,
            vec![all_act; acts],
            acting.len(),
        );
        let at = self.fleet.offer(1)?;
        self.in_force(&format!("{event}: a change after"), at, newest, &[])
    }

    fn event(&mut self, event: Event) -> anyhow::Result<()> {
        match event {
            Event::Rest => self.during("at rest", |_| Ok(())),
            Event::Change => self.during("a change", |schedule| schedule.change("a change", &[])),
            Event::Dead => self.kill_and_restart(
                "four dead under a change",
                "four dead under a change",
                Part::Dead,
                "four back",
            ),
            Event::Cut => self.cut_off_third(),
            Event::Stopped => self.suspend_one(),
            Event::Ten => self.offer_ten_at_once(),
            Event::Tenth => self.kill_and_restart(
                "a tenth killed at once",
                "a tenth killed at once, under a change",
                Part::Tenth,
                "a tenth back",
            ),
            Event::Restart => self.restart_all(),
            Event::Leader => self.kill_leader(),
        }
    }

    /// Kills all gateways of a part, offers a version, and starts them again.
    fn kill_and_restart(
        &mut self,
        event: &str,
        change: &str,
        part: Part,
        back: &str,
    ) -> anyhow::Result<()> {
        self.during(event, |schedule| {
            schedule.fleet.kill(part)?;
            schedule.change(change, &[])
        })?;
        self.fleet.revive(part)?;
        self.wait_for_recovery(back)
    }

    fn cut_off_third(&mut self) -> anyhow::Result<()> {
        let (pause, began) = (self.timing.rest, Instant::now());
        self.during("a third cut off", |schedule| {
            schedule.fleet.cut(true)?;
            std::thread::sleep(pause);
            schedule.change("a change with a third cut off", &[Part::Third])
        })?;
        self.changes_until(began + self.timing.cut, &[Part::Third])?;
        self.during("a third back", |schedule| {
            schedule.fleet.cut(false)?;
            schedule.wait_for_recovery("a third back")
        })
    }

    /// Offers a version at each [`CHANGE_INTERVAL`] until `end`.
    fn changes_until(&mut self, end: Instant, without: &[Part]) -> anyhow::Result<()> {
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(CHANGE_INTERVAL));
            self.change("a further change with a third cut off", without)?;
        }
    }

    fn suspend_one(&mut self) -> anyhow::Result<()> {
        self.during("one stopped under a change", |schedule| {
            schedule.fleet.set_suspended(Part::Stopped, true)?;
            schedule.change("one stopped under a change", &[])
        })?;
        self.fleet.set_suspended(Part::Stopped, false)?;
        self.wait_for_recovery("one goes on")
    }

    fn offer_ten_at_once(&mut self) -> anyhow::Result<()> {
        self.during("ten changes at once", |schedule| {
            let newest = schedule.newest()?;
            let at = schedule.fleet.offer_known(PARALLEL_OFFERS)?;
            schedule.in_force("ten changes at once", at, newest, &[])
        })
    }

    fn restart_all(&mut self) -> anyhow::Result<()> {
        let began = crate::now();
        self.fleet.restart_all(RESTARTS_TIMEOUT)?;
        let all = self.fleet.standings(&[])?;
        let acts = all.iter().filter(|one| one.acts_now()).count();
        let reached = vec![crate::now(); acts];
        self.record_change(
            "all restarted, one process after another",
            began,
            reached,
            all.len(),
        );
        Ok(())
    }

    /// Kills the Raft leader and has another voter offer a version at once. Records which gateways got a registration
    /// from the next leader before the former one expired, and when the version came into force; then restarts the
    /// killed one.
    fn kill_leader(&mut self) -> anyhow::Result<()> {
        let mut fallen = 0;
        self.during("the leader dead under a change", |schedule| {
            let newest = schedule.newest()?;
            let at = crate::now();
            fallen = schedule.fleet.kill_leader()?;
            let offered_at = schedule.offer()?;
            let renewed = schedule.fleet.renewed_without_a_gap(at, WAIT_TIMEOUT)?;
            let running = schedule.fleet.gateways() - 1;
            schedule.record_change(
                "the leader dead: rights renewed without a gap",
                at,
                renewed,
                running,
            );
            schedule.in_force("the leader dead under a change", offered_at, newest, &[])
        })?;
        self.fleet.revive_voter(fallen)?;
        self.wait_for_recovery("the leader back")
    }
}

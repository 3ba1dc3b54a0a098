//! The events that a fleet of one size goes through, and what is measured of each.

use super::fleet::{Fleet, Sample, Size};
use super::group::Part;
use super::table::{self, Change, Load};
use crate::standing::Standing;
use clap::ValueEnum;
use std::time::{Duration, Instant};

/// Rest before each figure.
const REST: Duration = Duration::from_secs(5);
/// How long a figure is taken for at least.
const WINDOW: Duration = Duration::from_secs(10);
/// How long anything is waited for: twenty leases.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long all restarts together may take.
const RESTARTS: Duration = Duration::from_secs(240);
/// Time between changes while a third is cut off for long: 2,400 a day.
const CHANGE_EVERY: Duration = Duration::from_secs(36);
/// Hollow gateways that offer a version at once.
const OFFERS: usize = 10;

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Event {
    /// Nothing.
    Rest,
    /// One gateway offers a new edition of the operator's file.
    Change,
    /// Four gateways die as a version is offered.
    Dead,
    /// A third is cut off, a version is offered, and the third comes back.
    Cut,
    /// One gateway stands still as a version is offered.
    Stopped,
    /// Ten gateways offer a version at once.
    Ten,
    /// A tenth is killed at once.
    Tenth,
    /// All processes are restarted, one after another.
    Restart,
    /// The control member that leads dies as a version is offered.
    Leader,
}

/// How long things take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Rest before each figure.
    pub rest: Duration,
    /// How long a figure is taken for at least.
    pub window: Duration,
    /// How long a third stays cut off at least, while changes go on among the rest.
    pub cut: Duration,
    /// When no further event is begun, counted from the start of the fleet.
    pub until: Duration,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            rest: REST,
            window: WINDOW,
            cut: Duration::ZERO,
            until: Duration::from_secs(600),
        }
    }
}

/// What was measured of a size.
#[derive(Debug, Default)]
pub struct Measured {
    /// What gateways used.
    pub loads: Vec<Load>,
    /// How events reached them.
    pub changes: Vec<Change>,
    /// Why it ended before its last event, if it did.
    pub ended: Option<String>,
}

struct Play {
    fleet: Fleet,
    gateways: u32,
    random: fastrand::Rng,
    pace: Pace,
    found: Measured,
    counted: (u64, u64),
}

/// Plays the events on a fleet of one size. What was measured before a fault ended it is kept.
///
/// # Errors
///
/// The fleet could not be started.
pub fn play(size: Size, events: &[Event], pace: Pace) -> anyhow::Result<Measured> {
    let (began, gateways, seed) = (Instant::now(), size.gateways, size.seed);
    let fleet = Fleet::start(size)?;
    let random = fastrand::Rng::with_seed(seed);
    let mut play = Play {
        fleet,
        gateways,
        random,
        pace,
        found: Measured::default(),
        counted: (0, 0),
    };
    let agreed = play.begin();
    let played = agreed.and_then(|agreed| {
        // A fleet that does not come to agree is measured at rest, which it has not, and then left.
        let events = if agreed { events } else { &[Event::Rest] };
        for event in events {
            if began.elapsed() > pace.until {
                anyhow::bail!("{event:?} and what follows was not run: time was up");
            }
            play.event(*event)?;
        }
        anyhow::ensure!(
            agreed,
            "not all gateways acted on one version within {PATIENCE:?}"
        );
        Ok(())
    });
    if let Err(fault) = played {
        let why = format!("ended early: {fault:#}");
        play.told(&why, crate::now(), Vec::new(), gateways as usize);
        play.found.ended = Some(why);
    }
    Ok(play.found)
}

impl Play {
    /// Waits until all act on a first version.
    fn begin(&mut self) -> anyhow::Result<bool> {
        let began = crate::now();
        let agreed = self.fleet.agree(PATIENCE, &[])?;
        let all = self.fleet.look(&[])?;
        // Where all act on a version, its instants are known; else only who acts at the end.
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
        self.told(table::START, began, reached, all.len());
        Ok(agreed.is_some())
    }

    fn told(&mut self, event: &str, began: u64, reached: Vec<u64>, awaited: usize) {
        let (asked, served) = self.fleet.served();
        let mut row = table::change(self.gateways, event, began, reached, awaited);
        (row.asked, row.served) = (asked - self.counted.0, served - self.counted.1);
        self.counted = (asked, served);
        println!("{}", row.line());
        self.found.changes.push(row);
    }

    fn measured(&mut self, event: &str, before: &Sample) -> anyhow::Result<()> {
        let after = self.fleet.measure()?;
        let rows = table::loads(self.gateways, event, self.fleet.leader(), before, &after);
        rows.iter().for_each(|row| println!("{}", row.line()));
        self.found.loads.extend(rows);
        self.fleet.check_memory()
    }

    /// Measures while something is done, for as long as a window at least.
    fn during(
        &mut self,
        event: &str,
        act: impl FnOnce(&mut Play) -> anyhow::Result<()>,
    ) -> anyhow::Result<()> {
        std::thread::sleep(self.pace.rest);
        let before = self.fleet.measure()?;
        let began = Instant::now();
        act(self)?;
        std::thread::sleep(self.pace.window.saturating_sub(began.elapsed()));
        self.measured(event, &before)
    }

    /// One voter offers a version; waits until it is in force everywhere but at those left out.
    fn change(&mut self, event: &str, without: &[Part]) -> anyhow::Result<()> {
        let newest = self.newest()?;
        let at = self.offer()?;
        self.in_force(event, at, newest, without)
    }

    /// Has one of the voters that run, drawn, offer a version; says when.
    fn offer(&mut self) -> anyhow::Result<u64> {
        let running = self.fleet.running_voters();
        let by = running[self.random.usize(..running.len())];
        self.fleet.offer(by)
    }

    fn newest(&mut self) -> anyhow::Result<u64> {
        Ok(self
            .fleet
            .look(&[])?
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
            .wait(PATIENCE, without, |one| one.in_force > newest)?;
        let reached = all
            .iter()
            .filter(|one| one.in_force > newest)
            .map(|one| one.since)
            .collect();
        self.told(event, at, reached, all.len());
        Ok(())
    }

    /// Waits until all act again, and agree on a version that is offered then.
    fn well(&mut self, event: &str) -> anyhow::Result<()> {
        let began = crate::now();
        self.fleet.wait(PATIENCE, &[], Standing::acts_now)?;
        let all_act = crate::now();
        let newest = self.newest()?;
        let acting = self.fleet.look(&[])?;
        let acts = acting.iter().filter(|one| one.acts_now()).count();
        // When all acted is seen from outside: the instant of the last look.
        self.told(
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
            Event::Change => self.during("a change", |play| play.change("a change", &[])),
            Event::Dead => self.killed(
                "four dead under a change",
                "four dead under a change",
                Part::Dead,
                "four back",
            ),
            Event::Cut => self.third_cut_off(),
            Event::Stopped => self.one_stopped(),
            Event::Ten => self.ten_at_once(),
            Event::Tenth => self.killed(
                "a tenth killed at once",
                "a tenth killed at once, under a change",
                Part::Tenth,
                "a tenth back",
            ),
            Event::Restart => self.all_restarted(),
            Event::Leader => self.leader_dies(),
        }
    }

    /// All gateways of a part die as a version is offered, and come back.
    fn killed(&mut self, event: &str, change: &str, part: Part, back: &str) -> anyhow::Result<()> {
        self.during(event, |play| {
            play.fleet.kill(part)?;
            play.change(change, &[])
        })?;
        self.fleet.revive(part)?;
        self.well(back)
    }

    fn third_cut_off(&mut self) -> anyhow::Result<()> {
        let (pause, began) = (self.pace.rest, Instant::now());
        self.during("a third cut off", |play| {
            play.fleet.cut(true)?;
            std::thread::sleep(pause);
            play.change("a change with a third cut off", &[Part::Third])
        })?;
        self.changes_until(began + self.pace.cut, &[Part::Third])?;
        self.during("a third back", |play| {
            play.fleet.cut(false)?;
            play.well("a third back")
        })
    }

    /// Offers a version each [`CHANGE_EVERY`] until then.
    fn changes_until(&mut self, end: Instant, without: &[Part]) -> anyhow::Result<()> {
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            std::thread::sleep(left.min(CHANGE_EVERY));
            self.change("a further change with a third cut off", without)?;
        }
    }

    fn one_stopped(&mut self) -> anyhow::Result<()> {
        self.during("one stopped under a change", |play| {
            play.fleet.stand_still(Part::Stopped, true)?;
            play.change("one stopped under a change", &[])
        })?;
        self.fleet.stand_still(Part::Stopped, false)?;
        self.well("one goes on")
    }

    fn ten_at_once(&mut self) -> anyhow::Result<()> {
        self.during("ten changes at once", |play| {
            let newest = play.newest()?;
            let at = play.fleet.offer_again(OFFERS)?;
            play.in_force("ten changes at once", at, newest, &[])
        })
    }

    fn all_restarted(&mut self) -> anyhow::Result<()> {
        let began = crate::now();
        self.fleet.restart_all(RESTARTS)?;
        let all = self.fleet.look(&[])?;
        let acts = all.iter().filter(|one| one.acts_now()).count();
        let reached = vec![crate::now(); acts];
        self.told(
            "all restarted, one process after another",
            began,
            reached,
            all.len(),
        );
        Ok(())
    }

    /// The control member that leads dies, and another voter offers a version at once. Which gateways hold a right of the
    /// next leader before that of the former ended, and when the version is in force; the one that died comes back.
    fn leader_dies(&mut self) -> anyhow::Result<()> {
        let mut fallen = 0;
        self.during("the leader dead under a change", |play| {
            let newest = play.newest()?;
            let at = crate::now();
            fallen = play.fleet.kill_leader()?;
            let offered_at = play.offer()?;
            let renewed = play.fleet.renewed_without_a_gap(at, PATIENCE)?;
            let running = play.fleet.gateways() - 1;
            play.told(
                "the leader dead: rights renewed without a gap",
                at,
                renewed,
                running,
            );
            play.in_force("the leader dead under a change", offered_at, newest, &[])
        })?;
        self.fleet.revive_voter(fallen)?;
        self.well("the leader back")
    }
}

//! Runs of a fleet under faults that one seed draws, and what must hold in them and at their end.

use super::history::{self, Line};
use super::{Cluster, Role, LEASE_MS, RENEW_MS};
use nix::sys::signal::Signal;
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Gateways that do not vote, beside those that do.
const SERVED: usize = 2;
/// Voters of a fleet that has so many gateways, and of a smaller one.
const VOTERS: usize = 5;
const FEWER_VOTERS: usize = 3;
/// Within what time after the last fault all must be well: a lease and its wait, two elections, a rejoin that is damped,
/// and the verdicts on a version.
pub(super) const WELL: Duration = Duration::from_millis(20_000);
/// Time between two lost disks: at most one voter is without its own at a time, as two at once would be a majority that
/// remembers nothing.
const BETWEEN_WIPES: Duration = Duration::from_secs(8);
/// Milliseconds between two faults, at least and at most.
const PAUSE_MS: std::ops::Range<u64> = 100..700;

/// What a run found.
#[derive(Debug, Default)]
pub struct Found {
    /// What must never have been.
    pub violations: Vec<String>,
    /// Versions that came in force.
    pub versions: usize,
    /// Faults that were made.
    pub faults: usize,
    /// How long after the last fault each gateway acted on a version that was offered then.
    pub well_after: Duration,
    /// The log lines that the fleet wrote.
    pub lines: usize,
}

/// Plays a run of so long from a seed, with so many gateways that are control members or listed by them, and a few more
/// that they only serve.
///
/// # Errors
///
/// A process could not be started, signalled or read.
pub fn play(program: PathBuf, seed: u64, gateways: usize, span: Duration) -> io::Result<Found> {
    let voters = if gateways >= VOTERS {
        VOTERS
    } else {
        FEWER_VOTERS
    };
    let mut roles = vec![Role::Voter; voters];
    roles.resize(gateways, Role::Listed);
    roles.resize(gateways + SERVED, Role::Client);
    let cluster = Cluster::start_as(program, roles, (LEASE_MS, RENEW_MS), "")?;
    let random = fastrand::Rng::with_seed(seed);
    let mut run = Run {
        cluster,
        random,
        wiped_at: None,
        found: Found::default(),
    };
    if run.cluster.agree(WELL)?.is_none() {
        run.found
            .violations
            .push("no version came in force without any fault".into());
        return Ok(run.found);
    }
    let until = Instant::now() + span;
    while Instant::now() < until {
        sleep(Duration::from_millis(run.random.u64(PAUSE_MS)));
        run.make_a_fault()?;
    }
    run.end_all_faults()?;
    run.check_that_it_is_well()?;
    run.check_history();
    Ok(run.found)
}

struct Run {
    cluster: Cluster,
    random: fastrand::Rng,
    /// When a voter's disk was taken away last.
    wiped_at: Option<Instant>,
    found: Found,
}

impl Run {
    fn gateways(&self) -> usize {
        self.cluster.roles.len()
    }

    fn make_a_fault(&mut self) -> io::Result<()> {
        let gateways = self.gateways();
        let (one, other) = (
            self.random.usize(0..gateways),
            self.random.usize(0..gateways),
        );
        self.found.faults += 1;
        match self.random.u8(0..17) {
            0 => self.cluster.way(one, other).cut(true),
            1 => {
                let side: Vec<usize> = (0..gateways).filter(|_| self.random.bool()).collect();
                self.cluster.part(&side, true);
            }
            2 => self.cluster.way(one, other).delay(self.random.u64(1..500)),
            3 => self.cluster.way(one, other).mangle(self.random.u64(2..9)),
            4 => self.cluster.signal(one, Signal::SIGSTOP),
            5 => self.cluster.kill(one),
            6 if self.wiped_at.is_none_or(|at| at.elapsed() > BETWEEN_WIPES) => {
                self.lose_a_disk(one)?
            }
            7 | 8 => self
                .cluster
                .offer(one, self.random.bool().then_some(other))?,
            9 => self.cluster.spoil(one)?,
            10..=13 => self.make_a_fault_at_the_leader(one),
            _ => self.end_all_faults()?,
        }
        Ok(())
    }

    fn lose_a_disk(&mut self, gateway: usize) -> io::Result<()> {
        self.cluster.heal();
        self.cluster.wipe(gateway)?;
        self.wiped_at = Some(Instant::now());
        self.cluster.revive(gateway)
    }

    fn make_a_fault_at_the_leader(&mut self, one: usize) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        match self.random.u8(0..4) {
            0 => self.cluster.kill(leader),
            1 => self.cluster.signal(leader, Signal::SIGSTOP),
            2 => self.cut_off_from_a_part_of_the_members(leader),
            _ if one != leader => self.cluster.part_two(leader, one),
            _ => {}
        }
    }

    /// It falls as a leader, and so does its service of gateways.
    fn cut_off_from_a_part_of_the_members(&mut self, leader: usize) {
        let votes = |gateway: &usize| *gateway != leader && self.cluster.roles[*gateway].votes();
        let others: Vec<usize> = (0..self.gateways()).filter(votes).collect();
        let apart: Vec<usize> = others.into_iter().filter(|_| self.random.bool()).collect();
        apart
            .into_iter()
            .for_each(|other| self.cluster.part_two(leader, other));
    }

    fn end_all_faults(&mut self) -> io::Result<()> {
        self.cluster.heal();
        for gateway in 0..self.gateways() {
            self.cluster.signal(gateway, Signal::SIGCONT);
            self.cluster.revive(gateway)?;
        }
        Ok(())
    }

    fn check_that_it_is_well(&mut self) -> io::Result<()> {
        match self.cluster.agree(WELL)? {
            Some(after) => self.found.well_after = after,
            None => {
                let numbers = self.cluster.in_force();
                let said: Vec<String> = self
                    .behind()
                    .map(|gateway| self.cluster.last_words(gateway))
                    .collect();
                let said = said.join("\n");
                self.found.violations.push(format!(
                    "{WELL:?} after the last fault not all act on one new version: {numbers:?}\n{said}"
                ));
            }
        }
        self.found.violations.extend(self.cluster.ended());
        Ok(())
    }

    /// Gateways that do not act, or not on the newest version.
    fn behind(&self) -> impl Iterator<Item = usize> + '_ {
        let (standings, now) = (self.cluster.standings(), crate::now());
        let newest = standings.iter().map(|one| one.in_force).max().unwrap_or(0);
        (0..self.gateways()).filter(move |gateway| {
            let one = standings[*gateway];
            one.in_force < newest || !one.acts(now)
        })
    }

    fn check_history(&mut self) {
        let history = self.cluster.history();
        let in_force = history
            .iter()
            .filter(|line| line.fields["message"] == "version: activated");
        let numbers: BTreeSet<u64> = in_force
            .filter_map(|line| line.fields["number"].as_u64())
            .collect();
        self.found.versions = numbers.len();
        self.found.lines = history.len();
        self.found.violations.extend(panics(&history));
        self.found.violations.extend(history::violations(&history));
    }
}

/// Lines of panics, each with the next one of the same gateway, which says why.
fn panics(history: &[Line]) -> Vec<String> {
    let panicked = |line: &Line| {
        line.fields
            .as_str()
            .is_some_and(|text| text.contains("panicked"))
    };
    let lines = history
        .iter()
        .enumerate()
        .filter(|(_, line)| panicked(line));
    let said = lines.map(|(place, line)| {
        let next = history[place + 1..]
            .iter()
            .find(|next| next.gateway == line.gateway);
        format!(
            "gateway {}: {} {:?}",
            line.gateway,
            line.fields,
            next.map(|line| &line.fields)
        )
    });
    said.collect()
}

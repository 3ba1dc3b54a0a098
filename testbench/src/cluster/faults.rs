//! Runs of a fleet with random faults from a seed, and the checks during and after them.

use super::history::{self, Line};
use super::{Cluster, Role, LEASE_MS, RENEW_MS};
use nix::sys::signal::Signal;
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Gateways of a run that no other operator's file lists.
const UNLISTED_GATEWAYS: usize = 2;
/// Voters of a fleet with at least as many gateways.
const VOTERS: usize = 5;
/// Voters of a smaller fleet.
const VOTERS_OF_SMALL_FLEET: usize = 3;
/// The time limit for recovery after the last fault: it covers a lease and the wait after it, two elections, a delayed
/// rejoin, and the validation of a version.
pub(super) const RECOVERY_TIMEOUT: Duration = Duration::from_millis(20_000);
/// The minimum time between two lost disks. At most one voter may be without its store at a time: of three voters, two
/// that lost theirs would be a majority that does not know the log.
const MIN_TIME_BETWEEN_WIPES: Duration = Duration::from_secs(8);
/// Range of the pause between two faults, milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..700;

/// The result of a run.
#[derive(Debug, Default)]
pub struct Found {
    /// Violated invariants; empty if the run passed.
    pub violations: Vec<String>,
    /// Number of versions that came into force.
    pub versions: usize,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Time from the last fault until all gateways acted on a version that was offered after it.
    pub well_after: Duration,
    /// Number of log lines that the fleet wrote.
    pub lines: usize,
}

/// Executes a run with faults for `span`. `gateways` of the processes are control members or are listed by them; a few
/// more gateways are not listed.
///
/// # Errors
///
/// A process could not be started, signalled or read.
pub fn run(program: PathBuf, seed: u64, gateways: usize, span: Duration) -> io::Result<Found> {
    let voters = if gateways >= VOTERS {
        VOTERS
    } else {
        VOTERS_OF_SMALL_FLEET
    };
    let mut roles = vec![Role::Voter; voters];
    roles.resize(gateways, Role::Listed);
    roles.resize(gateways + UNLISTED_GATEWAYS, Role::Client);
    let cluster = Cluster::start_as(program, roles, (LEASE_MS, RENEW_MS), "")?;
    let random = fastrand::Rng::with_seed(seed);
    let mut run = Run {
        cluster,
        random,
        wiped_at: None,
        found: Found::default(),
    };
    if run.cluster.agree(RECOVERY_TIMEOUT)?.is_none() {
        run.found
            .violations
            .push(format!(
                "not all gateways acted on one version within {RECOVERY_TIMEOUT:?} of the start, before any fault"
            ));
        return Ok(run.found);
    }
    let until = Instant::now() + span;
    while Instant::now() < until {
        sleep(Duration::from_millis(run.random.u64(PAUSE_MS)));
        run.inject_fault()?;
    }
    run.remove_all_faults()?;
    run.check_recovery()?;
    run.check_history();
    Ok(run.found)
}

struct Run {
    cluster: Cluster,
    random: fastrand::Rng,
    /// When a store was last removed.
    wiped_at: Option<Instant>,
    found: Found,
}

impl Run {
    fn gateways(&self) -> usize {
        self.cluster.roles.len()
    }

    fn inject_fault(&mut self) -> io::Result<()> {
        let gateways = self.gateways();
        let (one, other) = (
            self.random.usize(0..gateways),
            self.random.usize(0..gateways),
        );
        self.found.faults += 1;
        match self.random.u8(0..17) {
            0 => self.cluster.direction(one, other).cut(true),
            1 => {
                let side: Vec<usize> = (0..gateways).filter(|_| self.random.bool()).collect();
                self.cluster.set_partition(&side, true);
            }
            2 => self
                .cluster
                .direction(one, other)
                .delay(self.random.u64(1..500)),
            3 => self
                .cluster
                .direction(one, other)
                .mangle(self.random.u64(2..9)),
            4 => self.cluster.signal(one, Signal::SIGSTOP),
            5 => self.cluster.kill(one),
            6 if self
                .wiped_at
                .is_none_or(|at| at.elapsed() > MIN_TIME_BETWEEN_WIPES) =>
            {
                self.lose_disk(one)?
            }
            7 | 8 => self
                .cluster
                .propose_version(one, self.random.bool().then_some(other))?,
            9 => self.cluster.write_invalid_file(one)?,
            10..=13 => self.inject_fault_at_leader(one),
            _ => self.remove_all_faults()?,
        }
        Ok(())
    }

    fn lose_disk(&mut self, gateway: usize) -> io::Result<()> {
        self.cluster.heal();
        self.cluster.wipe(gateway)?;
        self.wiped_at = Some(Instant::now());
        self.cluster.start_gateway(gateway)
    }

    fn inject_fault_at_leader(&mut self, one: usize) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        match self.random.u8(0..4) {
            0 => self.cluster.kill(leader),
            1 => self.cluster.signal(leader, Signal::SIGSTOP),
            2 => self.cut_off_leader_from_some_voters(leader),
            _ if one != leader => self.cluster.cut_pair(leader, one),
            _ => {}
        }
    }

    /// Cuts the links between the leader and a random part of the other voters. Without a majority it loses leadership
    /// and stops serving gateways.
    fn cut_off_leader_from_some_voters(&mut self, leader: usize) {
        let votes = |gateway: &usize| *gateway != leader && self.cluster.roles[*gateway].votes();
        let others: Vec<usize> = (0..self.gateways()).filter(votes).collect();
        let unreachable: Vec<usize> = others.into_iter().filter(|_| self.random.bool()).collect();
        unreachable
            .into_iter()
            .for_each(|other| self.cluster.cut_pair(leader, other));
    }

    fn remove_all_faults(&mut self) -> io::Result<()> {
        self.cluster.heal();
        for gateway in 0..self.gateways() {
            self.cluster.signal(gateway, Signal::SIGCONT);
            self.cluster.start_gateway(gateway)?;
        }
        Ok(())
    }

    fn check_recovery(&mut self) -> io::Result<()> {
        match self.cluster.agree(RECOVERY_TIMEOUT)? {
            Some(after) => self.found.well_after = after,
            None => {
                let numbers = self.cluster.in_force();
                let log_lines: Vec<String> = self
                    .behind()
                    .map(|gateway| self.cluster.last_log_lines(gateway))
                    .collect();
                let log_lines = log_lines.join("\n");
                self.found.violations.push(format!(
                    "{RECOVERY_TIMEOUT:?} after the last fault not all gateways act on one new version; in force: {numbers:?}; \
                     last log lines of those behind:\n{log_lines}"
                ));
            }
        }
        self.found.violations.extend(self.cluster.ended());
        Ok(())
    }

    /// Gateways that may not act, or whose version is not the newest.
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

/// Descriptions of logged panics, each with the same gateway's next line, which has the panic's message.
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
    let log_lines = lines.map(|(place, line)| {
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
    log_lines.collect()
}

//! A large fleet of real gateways that are voters and serve clients, and of hollow gateways.

use super::clients::Clients;
use super::group::{Group, Host, Part};
use super::hollow::{Answer, Order, Used};
use super::layout::{self, operator_file, Placement, LEASE_MS, VOTERS};
use super::traffic::MemberTotals;
use crate::gateway::{control_thread, leaders, Gateway, Plan};
use crate::process::{self, Usage};
use crate::standing::Standing;
use crate::{fleet, now};
use anyhow::{bail, ensure};
use asterreel_control::settings::ControlSettings;
use nix::sys::signal::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often the fleet is polled for a condition. The recorded times come from the gateways, not from the polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the start or the stop of a real gateway.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a new version is offered if the last is not in force everywhere: longer than the validation of a
/// version or the expiry of a registration takes.
const OFFER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between the order to drain and the end of a process, in which its gateways send their releases.
const DRAIN_TIME: Duration = Duration::from_millis(500);

/// The parameters of a fleet.
#[derive(Clone, Debug)]
pub struct Size {
    /// Path of the asterreel executable.
    pub program: PathBuf,
    /// Where hollow gateways run.
    pub host: Host,
    /// Number of gateways, voters included.
    pub gateways: u32,
    /// Seed of all random choices.
    pub seed: u64,
    /// Requests per second of clients to the real gateways; 0 is none.
    pub rate: f64,
    /// Limit on the memory that the fleet uses, KiB.
    pub memory_kib: u64,
}

/// The resources that a real gateway has used.
#[derive(Clone, Copy, Debug)]
pub struct Voter {
    /// Time of the measurement, Unix microseconds.
    pub at: u64,
    /// CPU time of its control plane's thread, nanoseconds.
    pub cpu_ns: u64,
    /// Usage of its process.
    pub process: Usage,
    /// Its traffic as a control member, from the line that it logs once each renewal interval.
    pub traffic: Option<MemberTotals>,
}

/// The resources that a fleet has used since its start.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Each process of hollow gateways that is running and not suspended.
    pub hollow: Vec<Used>,
    /// Each real gateway, by number.
    pub voters: BTreeMap<u32, Voter>,
}

/// A running fleet: the real gateways, which are the voters, and the processes of hollow gateways.
pub struct Fleet {
    size: Size,
    voters: BTreeMap<u32, Gateway>,
    plans: BTreeMap<u32, Plan>,
    leases: BTreeMap<u32, ControlSettings>,
    groups: Vec<Group>,
    edition: u64,
    available_kib: u64,
    clients: Clients,
    _databases: Arc<fleet::Fleet>,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Starts the voters, their databases and clients, and the hollow gateways.
    ///
    /// # Errors
    ///
    /// The fleet is too small for the schedule, or a process could not be started.
    pub fn start(size: Size) -> anyhow::Result<Fleet> {
        ensure!(
            size.gateways > VOTERS + 10,
            "--gateways {}: too few for the schedule, which needs more than {}",
            size.gateways,
            VOTERS + 10
        );
        let available_kib = process::available_kib()?;
        let folder = tempfile::tempdir()?;
        let shape = fleet::Shape {
            members: 2,
            gateways: VOTERS as usize,
            ..fleet::Shape::default()
        };
        let databases = fleet::Fleet::start(shape)?;
        let mut plans = BTreeMap::new();
        for voter in 1..=VOTERS {
            let plan = Plan::beside(&databases, voter as usize - 1, size.program.clone())?;
            // The control plane's links need descriptors in addition to those of clients and databases.
            let sockets = plan.sockets + 4 * size.gateways as usize;
            plans.insert(
                voter,
                Plan {
                    health: false,
                    sockets,
                    ..plan
                },
            );
        }
        let Placement { leases, groups } = layout::place(size.gateways, size.seed, folder.path())?;
        let served = plans.values().map(|plan| plan.client).collect();
        let mut fleet = Fleet {
            clients: Clients::start(served, size.rate, size.seed),
            size,
            voters: BTreeMap::new(),
            plans,
            leases,
            groups,
            edition: 0,
            available_kib,
            _databases: databases,
            _folder: folder,
        };
        (1..=VOTERS).try_for_each(|voter| fleet.start_voter(voter))?;
        for group in &mut fleet.groups {
            group.start(&fleet.size.host)?;
        }
        fleet
            .groups
            .iter_mut()
            .try_for_each(|group| group.receive().map(drop))?;
        Ok(fleet)
    }

    fn start_voter(&mut self, voter: u32) -> anyhow::Result<()> {
        let operator = operator_file(&self.leases[&voter], self.edition);
        let started = Gateway::start(&Plan {
            operator,
            ..self.plans[&voter].clone()
        })?;
        // Before this line it has no signal handlers, and a signal would kill it.
        let up = started.logged(0, START_TIMEOUT, |line| {
            line["message"] == "control: started"
        });
        ensure!(
            up.is_some(),
            "gateway {voter} did not start within {START_TIMEOUT:?}; its last log line: {:?}",
            started.log().last()
        );
        self.voters.insert(voter, started);
        Ok(())
    }

    /// The numbers of requests that clients have sent, and of those that were served within their latency target.
    pub fn served(&self) -> (u64, u64) {
        self.clients.served()
    }

    /// The number of gateways, voters included.
    pub fn gateways(&self) -> usize {
        self.size.gateways as usize
    }

    /// Sends an order to all running groups of the selected parts, and returns their answers.
    fn send_order(
        &mut self,
        order: &Order,
        of: impl Fn(Part) -> bool,
    ) -> anyhow::Result<Vec<Answer>> {
        let asked = |group: &&mut Group| group.answers() && of(group.part());
        self.groups
            .iter_mut()
            .filter(asked)
            .try_for_each(|group| group.send(order))?;
        self.groups
            .iter_mut()
            .filter(asked)
            .map(Group::receive)
            .collect()
    }

    /// The states of all gateways that are running and not suspended, except those of the parts in `without`.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn standings(&mut self, without: &[Part]) -> anyhow::Result<Vec<Standing>> {
        let answers = self.send_order(&Order::Look, |part| !without.contains(&part))?;
        let mut all: Vec<Standing> = answers
            .into_iter()
            .flat_map(|answer| match answer {
                Answer::Standing(some) => some,
                _ => Vec::new(),
            })
            .collect();
        all.extend(
            self.voters
                .iter()
                .map(|(number, voter)| Standing::logged(*number, &voter.log())),
        );
        Ok(all)
    }

    /// The resources that the fleet has used since its start.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn measure(&mut self) -> anyhow::Result<Sample> {
        let answers = self.send_order(&Order::Measure, |_| true)?;
        let hollow = answers.into_iter().filter_map(|answer| match answer {
            Answer::Used(used) => Some(used),
            _ => None,
        });
        let hollow = hollow.collect();
        let mut voters = BTreeMap::new();
        for (number, voter) in &self.voters {
            let threads = process::threads(voter.id())?;
            let name = control_thread(*number);
            let thread = threads.iter().find(|(_, other)| *other == name);
            let cpu_ns = thread.map_or(Ok(0), |(thread, _)| {
                process::thread_cpu_ns(voter.id(), *thread)
            })?;
            let process = process::usage(voter.id())?;
            let traffic = MemberTotals::logged(&voter.log());
            voters.insert(
                *number,
                Voter {
                    at: now(),
                    cpu_ns,
                    process,
                    traffic,
                },
            );
        }
        Ok(Sample { hollow, voters })
    }

    /// The Raft leader in the newest term that a voter has logged; 0 is none.
    pub fn leader(&self) -> u32 {
        let newest = self
            .voters
            .values()
            .flat_map(|voter| leaders(voter.log()))
            .max();
        newest.map_or(0, |(_, leader)| leader)
    }

    /// Checks the memory limit.
    ///
    /// # Errors
    ///
    /// The machine's available memory has shrunk by more than the limit since the start of the fleet.
    pub fn check_memory(&self) -> anyhow::Result<()> {
        let used_kib = self.available_kib.saturating_sub(process::available_kib()?);
        let limit_kib = self.size.memory_kib;
        ensure!(
            used_kib <= limit_kib,
            "the fleet took {} MiB of memory, more than its limit of {} MiB (--gib)",
            used_kib / 1024,
            limit_kib / 1024
        );
        Ok(())
    }

    /// Waits until all running gateways, except those of the parts in `without`, satisfy `holds`. Returns whether they
    /// do, and their last states.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn wait(
        &mut self,
        within: Duration,
        without: &[Part],
        holds: impl Fn(&Standing) -> bool,
    ) -> anyhow::Result<(bool, Vec<Standing>)> {
        let until = Instant::now() + within;
        loop {
            let all = self.standings(without)?;
            let done = all.iter().all(&holds);
            if done || Instant::now() >= until {
                return Ok((done, all));
            }
            self.check_memory()?;
            sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all gateways act, except those of the parts in `without`, and offers new editions of the operator's
    /// file until the same new one is in force at all of them. Returns how long that took, or none if the time limit
    /// passed. On a busy machine a real gateway may reject an edition, as it can't read its file in time.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn agree(
        &mut self,
        within: Duration,
        without: &[Part],
    ) -> anyhow::Result<Option<Duration>> {
        let began = Instant::now();
        if !self.wait(within, without, Standing::acts_now)?.0 {
            return Ok(None);
        }
        let newest = self
            .standings(&[])?
            .iter()
            .map(|one| one.in_force)
            .max()
            .unwrap_or(0);
        while began.elapsed() < within {
            // The voter that offers may just have lost its registration, so each round uses the next one.
            self.offer(self.edition as u32 % VOTERS + 1)?;
            let left = within.saturating_sub(began.elapsed()).min(OFFER_TIMEOUT);
            let (done, all) =
                self.wait(left, without, |one| one.acts_now() && one.in_force > newest)?;
            if done
                && all
                    .windows(2)
                    .all(|pair| pair[0].in_force == pair[1].in_force)
            {
                return Ok(Some(began.elapsed()));
            }
        }
        Ok(None)
    }

    /// Kills the Raft leader with SIGKILL and returns its number; its store stays.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn kill_leader(&mut self) -> anyhow::Result<u32> {
        let leader = self.leader();
        // Dropping the gateway kills its process.
        ensure!(
            self.voters.remove(&leader).is_some(),
            "no running voter is known to be the leader; the last logged one is gateway {leader}"
        );
        Ok(leader)
    }

    /// Starts a voter that is not running, with its existing store.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn revive_voter(&mut self, voter: u32) -> anyhow::Result<()> {
        self.start_voter(voter)
    }

    /// The numbers of the running voters.
    pub fn running_voters(&self) -> Vec<u32> {
        self.voters.keys().copied().collect()
    }

    /// Polls until every running gateway has a registration that it requested after `fallen_at`, or the time limit
    /// passes. Returns the times of the polls that first saw such registrations, Unix microseconds, without those of
    /// gateways that were seen without a registration in any poll.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn renewed_without_a_gap(
        &mut self,
        fallen_at: u64,
        within: Duration,
    ) -> anyhow::Result<Vec<u64>> {
        let until = Instant::now() + within;
        let mut renewed_at = BTreeMap::new();
        let mut lapsed = BTreeSet::new();
        loop {
            let all = self.standings(&[])?;
            let seen_at = now();
            for one in &all {
                if !one.acts(seen_at) {
                    lapsed.insert(one.gateway);
                } else if one.heartbeat_sent_at(1_000 * LEASE_MS) > fallen_at {
                    renewed_at.entry(one.gateway).or_insert(seen_at);
                }
            }
            if renewed_at.len() == all.len() || Instant::now() >= until {
                renewed_at.retain(|gateway, _| !lapsed.contains(gateway));
                return Ok(renewed_at.into_values().collect());
            }
            sleep(POLL_INTERVAL);
        }
    }

    /// Writes a new edition of the operator's file for the real gateways and has gateway `by` offer it; returns the
    /// time of the offer, Unix microseconds.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn offer(&mut self, by: u32) -> anyhow::Result<u64> {
        self.edition += 1;
        for (number, voter) in &self.voters {
            voter.rewrite(&operator_file(&self.leases[number], self.edition))?;
        }
        let at = now();
        let Some(voter) = self.voters.get(&by) else {
            bail!("gateway {by} can't offer a version: it is not running")
        };
        voter.signal(Signal::SIGHUP)?;
        Ok(at)
    }

    /// Has `count` hollow gateways offer the version that they validated last once more, at the same time; returns the
    /// time of the offers, Unix microseconds.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn offer_known(&mut self, count: usize) -> anyhow::Result<u64> {
        let answering = self.groups.iter().filter(|group| group.answers());
        let by = answering.flat_map(Group::gateways).take(count).collect();
        let at = now();
        self.send_order(&Order::Offer(by), |_| true)?;
        Ok(at)
    }

    /// Cuts the part [`Part::Third`] off from the voters, or heals that.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn cut(&mut self, is_cut: bool) -> anyhow::Result<()> {
        self.send_order(&Order::Cut(is_cut), |part| part == Part::Third)
            .map(drop)
    }

    fn groups_of(&mut self, part: Part) -> impl Iterator<Item = &mut Group> {
        self.groups
            .iter_mut()
            .filter(move |group| group.part() == part)
    }

    /// Kills all gateways of a part.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn kill(&mut self, part: Part) -> anyhow::Result<()> {
        self.groups_of(part).try_for_each(Group::kill)
    }

    /// Starts the processes of a part again.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn revive(&mut self, part: Part) -> anyhow::Result<()> {
        let host = self.size.host.clone();
        self.groups_of(part)
            .try_for_each(|group| group.start(&host))?;
        self.groups_of(part)
            .try_for_each(|group| group.receive().map(drop))
    }

    /// Suspends the processes of a part, or resumes them.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn set_suspended(&mut self, part: Part, suspend: bool) -> anyhow::Result<()> {
        self.groups_of(part)
            .try_for_each(|group| group.set_suspended(suspend))
    }

    /// Restarts all processes, one after another, and waits after each until all gateways act. Returns whether all were
    /// restarted within the time limit.
    ///
    /// # Errors
    ///
    /// A process of the fleet has exited or does not answer.
    pub fn restart_all(&mut self, within: Duration) -> anyhow::Result<bool> {
        let host = self.size.host.clone();
        let until = Instant::now() + within;
        for place in 0..self.groups.len() {
            self.groups[place].send(&Order::Drain)?;
            self.groups[place].receive()?;
            sleep(DRAIN_TIME);
            self.groups[place].kill()?;
            self.groups[place].start(&host)?;
            self.groups[place].receive()?;
            let left = until.saturating_duration_since(Instant::now());
            if !self.wait(left, &[], Standing::acts_now)?.0 {
                return Ok(false);
            }
        }
        for voter in 1..=VOTERS {
            if let Some(mut ending) = self.voters.remove(&voter) {
                ending.signal(Signal::SIGTERM)?;
                ending.wait(START_TIMEOUT)?;
            }
            self.start_voter(voter)?;
            let left = until.saturating_duration_since(Instant::now());
            if !self.wait(left, &[], Standing::acts_now)?.0 {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

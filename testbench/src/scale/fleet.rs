//! A fleet at size: real gateways that vote and serve, and hollow ones beside them.

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

/// Time between two looks at the fleet while something is awaited: the instants themselves come from the gateways.
const LOOK: Duration = Duration::from_millis(100);
/// How long a real gateway may take to start.
const START: Duration = Duration::from_secs(20);
/// Time after which a version that is not in force is offered again: more than it takes to judge one, or to take a registration away.
const AGAIN: Duration = Duration::from_secs(5);
/// How long gateways that were told to drain are given to tell the others.
const DRAIN: Duration = Duration::from_millis(500);

/// A fleet to be started.
#[derive(Clone, Debug)]
pub struct Size {
    /// The gateway's program.
    pub program: PathBuf,
    /// Where hollow gateways run.
    pub host: Host,
    /// How many gateways there are, voters included.
    pub gateways: u32,
    /// Of all that is drawn.
    pub seed: u64,
    /// Requests a second that clients ask of the real gateways.
    pub rate: f64,
    /// Memory that the fleet may take of the machine, KiB.
    pub memory_kib: u64,
}

/// What a real gateway has used.
#[derive(Clone, Copy, Debug)]
pub struct Voter {
    /// When it was read, Unix microseconds.
    pub at: u64,
    /// Nanoseconds that the thread of its control plane ran on a processor.
    pub cpu_ns: u64,
    /// Of its process.
    pub process: Usage,
    /// What it had said as a control member when it last logged that, which it does once each renewal.
    pub traffic: Option<MemberTotals>,
}

/// What the fleet has used until now.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Each process of hollow gateways that answers.
    pub hollow: Vec<Used>,
    /// Each real gateway.
    pub voters: BTreeMap<u32, Voter>,
}

/// A running fleet.
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
    /// Starts it: the voters, their databases and clients, and the hollow gateways.
    ///
    /// # Errors
    ///
    /// A process could not be started, or memory is short.
    pub fn start(size: Size) -> anyhow::Result<Fleet> {
        ensure!(
            size.gateways > VOTERS + 10,
            "{} gateways: too few for the schedule",
            size.gateways
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
            // Links of the control plane come on top of those of clients and databases.
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
        // Before that a signal would end it, as it would any program.
        let up = started.logged(0, START, |line| line["message"] == "control: started");
        ensure!(
            up.is_some(),
            "gateway {voter} did not start: {:?}",
            started.log().last()
        );
        self.voters.insert(voter, started);
        Ok(())
    }

    /// Requests that clients have asked for, and those that were served in time.
    pub fn served(&self) -> (u64, u64) {
        self.clients.served()
    }

    /// How many gateways there are in it.
    pub fn gateways(&self) -> usize {
        self.size.gateways as usize
    }

    /// Sends an order to all groups that answer, and takes their answers.
    fn ask(&mut self, order: &Order, of: impl Fn(Part) -> bool) -> anyhow::Result<Vec<Answer>> {
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

    /// How all gateways stand that run and answer, but those of parts that are left out.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn look(&mut self, without: &[Part]) -> anyhow::Result<Vec<Standing>> {
        let answers = self.ask(&Order::Look, |part| !without.contains(&part))?;
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

    /// What the fleet has used until now.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn measure(&mut self) -> anyhow::Result<Sample> {
        let answers = self.ask(&Order::Measure, |_| true)?;
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

    /// The voter that leads the log, by what the voters logged last; 0 is none.
    pub fn leader(&self) -> u32 {
        let newest = self
            .voters
            .values()
            .flat_map(|voter| leaders(voter.log()))
            .max();
        newest.map_or(0, |(_, leader)| leader)
    }

    /// Fails where the fleet has taken more memory than it may.
    ///
    /// # Errors
    ///
    /// The fleet has taken more memory than it may.
    pub fn check_memory(&self) -> anyhow::Result<()> {
        let taken = self.available_kib.saturating_sub(process::available_kib()?);
        let most = self.size.memory_kib;
        ensure!(
            taken <= most,
            "the fleet took {} MiB, of {} MiB that it may",
            taken / 1024,
            most / 1024
        );
        Ok(())
    }

    /// Waits until all gateways that run, but those of parts left out, satisfy this; how they stand at the end.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn wait(
        &mut self,
        within: Duration,
        without: &[Part],
        holds: impl Fn(&Standing) -> bool,
    ) -> anyhow::Result<(bool, Vec<Standing>)> {
        let until = Instant::now() + within;
        loop {
            let all = self.look(without)?;
            let done = all.iter().all(&holds);
            if done || Instant::now() >= until {
                return Ok((done, all));
            }
            self.check_memory()?;
            sleep(LOOK);
        }
    }

    /// Waits until all gateways act, but those of parts left out, and offers editions until a new one is in force at each of
    /// them; how long that took. On a busy machine a real gateway may refuse one, as it can't read its file in time.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
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
            .look(&[])?
            .iter()
            .map(|one| one.in_force)
            .max()
            .unwrap_or(0);
        while began.elapsed() < within {
            // Who offers may just have lost its registration: each in turn.
            self.offer(self.edition as u32 % VOTERS + 1)?;
            let left = within.saturating_sub(began.elapsed()).min(AGAIN);
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

    /// Kills the voter that leads the log outright; says which it was. Its store stays.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn kill_leader(&mut self) -> anyhow::Result<u32> {
        let leader = self.leader();
        // Dropped, its process is killed.
        ensure!(
            self.voters.remove(&leader).is_some(),
            "no voter that runs leads the log"
        );
        Ok(leader)
    }

    /// Starts a voter again, on the store that it has.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn revive_voter(&mut self, voter: u32) -> anyhow::Result<()> {
        self.start_voter(voter)
    }

    /// Voters that run.
    pub fn running_voters(&self) -> Vec<u32> {
        self.voters.keys().copied().collect()
    }

    /// Watches until every gateway that runs holds a right that it asked for after `fallen_at`, or time is up. Says at which
    /// look each was first seen with one, Unix microseconds, of those that were seen with a right at every look.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn renewed_without_a_gap(
        &mut self,
        fallen_at: u64,
        within: Duration,
    ) -> anyhow::Result<Vec<u64>> {
        let until = Instant::now() + within;
        let mut renewed_at = BTreeMap::new();
        let mut lapsed = BTreeSet::new();
        loop {
            let all = self.look(&[])?;
            let seen_at = now();
            for one in &all {
                if !one.acts(seen_at) {
                    lapsed.insert(one.gateway);
                } else if one.asked_at(1_000 * LEASE_MS) > fallen_at {
                    renewed_at.entry(one.gateway).or_insert(seen_at);
                }
            }
            if renewed_at.len() == all.len() || Instant::now() >= until {
                renewed_at.retain(|gateway, _| !lapsed.contains(gateway));
                return Ok(renewed_at.into_values().collect());
            }
            sleep(LOOK);
        }
    }

    /// Puts a new edition of the operator's file on the real gateways and has one of them offer it; says when.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn offer(&mut self, by: u32) -> anyhow::Result<u64> {
        self.edition += 1;
        for (number, voter) in &self.voters {
            voter.rewrite(&operator_file(&self.leases[number], self.edition))?;
        }
        let at = now();
        let Some(voter) = self.voters.get(&by) else {
            bail!("gateway {by} does not run")
        };
        voter.signal(Signal::SIGHUP)?;
        Ok(at)
    }

    /// Has so many hollow gateways offer the newest version once more, all at once; says when.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn offer_again(&mut self, count: usize) -> anyhow::Result<u64> {
        let answering = self.groups.iter().filter(|group| group.answers());
        let by = answering.flat_map(Group::gateways).take(count).collect();
        let at = now();
        self.ask(&Order::Offer(by), |_| true)?;
        Ok(at)
    }

    /// Cuts a third off, or heals that.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn cut(&mut self, is_cut: bool) -> anyhow::Result<()> {
        self.ask(&Order::Cut(is_cut), |part| part == Part::Third)
            .map(drop)
    }

    fn of(&mut self, part: Part) -> impl Iterator<Item = &mut Group> {
        self.groups
            .iter_mut()
            .filter(move |group| group.part() == part)
    }

    /// Kills all gateways of a part at once.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn kill(&mut self, part: Part) -> anyhow::Result<()> {
        self.of(part).try_for_each(Group::kill)
    }

    /// Starts a part again, on the stores that it has.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn revive(&mut self, part: Part) -> anyhow::Result<()> {
        let host = self.size.host.clone();
        self.of(part).try_for_each(|group| group.start(&host))?;
        self.of(part)
            .try_for_each(|group| group.receive().map(drop))
    }

    /// Has a part's processes stand still, or go on.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn stand_still(&mut self, part: Part, still: bool) -> anyhow::Result<()> {
        self.of(part).try_for_each(|group| group.stand_still(still))
    }

    /// Restarts all processes, one after another; each must have its gateways act before the next goes.
    ///
    /// # Errors
    ///
    /// A process of the fleet is gone or does not answer.
    pub fn restart_all(&mut self, within: Duration) -> anyhow::Result<bool> {
        let host = self.size.host.clone();
        let until = Instant::now() + within;
        for place in 0..self.groups.len() {
            self.groups[place].send(&Order::Drain)?;
            self.groups[place].receive()?;
            sleep(DRAIN);
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
                ending.wait(START)?;
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

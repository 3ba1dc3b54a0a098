//! A fleet of real processes that agree, control members and gateways, with every link between them through a fault proxy.
//!
//! In a run ([`play`]) one seed draws all faults and their times: cuts in one direction and both, partitions, slow links,
//! doubled and swapped frames, processes that stand still, die, come back, or lose their disk, and the same at the control
//! member that leads; and the versions that are offered meanwhile.
//! How the processes themselves are scheduled is the machine's, so a run with the same seed meets the same faults, not
//! the same instants. A run ends with all faults over, and checks what must never have been and what must be by then.

mod faults;
pub mod history;
mod proxy;
mod storm;

use crate::fleet::{Fleet, Shape};
use crate::gateway::{free, leaders, Gateway, Part, Plan};
use crate::standing::Standing;
use faults::WELL;
pub use faults::{play, Found};
use history::Line;
use nix::sys::signal::Signal;
use proxy::Way;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
pub use storm::Storm;

/// How long rights last in these fleets, milliseconds, unless they are started otherwise: short, so that a run sees many.
const LEASE_MS: u64 = 1_200;
const RENEW_MS: u64 = 200;
const MARGIN_MS: u64 = 50;
/// Lines that a gateway logged last, as many as are shown of one that is not well.
const LAST_WORDS: usize = 12;

/// What a process of a fleet does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Votes, and serves clients.
    Voter,
    /// Votes, and serves no clients: `asterreel control`.
    Member,
    /// Serves clients; the files of the others list it as one that does not vote.
    Listed,
    /// Serves clients; no file but its own knows of it.
    Client,
}

impl Role {
    fn votes(self) -> bool {
        matches!(self, Role::Voter | Role::Member)
    }

    /// Whether it has a registration, and puts versions in force.
    fn registered(self) -> bool {
        self != Role::Member
    }
}

/// A fleet of gateways.
pub struct Cluster {
    gateways: Vec<Option<Gateway>>,
    plans: Vec<Plan>,
    places: Vec<SocketAddr>,
    ways: Vec<Vec<Arc<Way>>>,
    /// The addresses at which gateway `i` reaches gateway `j`.
    seen: Vec<Vec<SocketAddr>>,
    roles: Vec<Role>,
    lease_ms: u64,
    renew_ms: u64,
    extra: String,
    edition: u64,
    folder: tempfile::TempDir,
    past: Vec<Line>,
    _databases: Arc<Fleet>,
}

impl Cluster {
    /// Starts so many gateways, the first `voters` of which vote.
    ///
    /// # Errors
    ///
    /// No free ports, or a process could not be started.
    pub fn start(program: PathBuf, gateways: usize, voters: usize) -> io::Result<Cluster> {
        Cluster::start_with(program, gateways, voters, "")
    }

    /// The same, with more in each operator's file.
    ///
    /// # Errors
    ///
    /// No free ports, or a process could not be started.
    pub fn start_with(
        program: PathBuf,
        gateways: usize,
        voters: usize,
        extra: &str,
    ) -> io::Result<Cluster> {
        let role = |gateway| {
            if gateway < voters {
                Role::Voter
            } else {
                Role::Listed
            }
        };
        let roles = (0..gateways).map(role).collect();
        Cluster::start_as(program, roles, (LEASE_MS, RENEW_MS), extra)
    }

    /// Starts processes of these roles, with rights that last and are renewed after so many milliseconds.
    ///
    /// # Errors
    ///
    /// No free ports, or a process could not be started.
    pub fn start_as(
        program: PathBuf,
        roles: Vec<Role>,
        (lease_ms, renew_ms): (u64, u64),
        extra: &str,
    ) -> io::Result<Cluster> {
        let gateways = roles.len();
        let shape = Shape {
            groups: 1,
            members: 2,
            gateways,
            ..Shape::default()
        };
        let databases = Fleet::start(shape)?;
        let places = free(gateways)?;
        let ways: Vec<Vec<Arc<Way>>> = (0..gateways)
            .map(|_| (0..gateways).map(|_| Arc::default()).collect())
            .collect();
        let link = |from: usize, to: usize| match from == to {
            true => Ok(places[to]),
            false => proxy::link(places[to], ways[from][to].clone(), ways[to][from].clone()),
        };
        let seen = (0..gateways).map(|from| (0..gateways).map(|to| link(from, to)).collect());
        let seen = seen.collect::<io::Result<Vec<Vec<SocketAddr>>>>()?;
        let plans = (0..gateways).map(|gateway| {
            let plan = Plan::beside(&databases, gateway, program.clone())?;
            let part = if roles[gateway] == Role::Member {
                Part::Member
            } else {
                Part::Gateway
            };
            Ok(Plan {
                health: false,
                part,
                ..plan
            })
        });
        let plans = plans.collect::<io::Result<Vec<Plan>>>()?;
        let mut cluster = Cluster {
            gateways: (0..gateways).map(|_| None).collect(),
            plans,
            places,
            ways,
            seen,
            roles,
            lease_ms,
            renew_ms,
            extra: extra.to_owned(),
            edition: 0,
            folder: tempfile::tempdir()?,
            past: Vec::new(),
            _databases: databases,
        };
        (0..gateways).try_for_each(|gateway| cluster.revive(gateway))?;
        Ok(cluster)
    }

    fn store(&self, gateway: usize) -> PathBuf {
        self.folder.path().join(format!("store-{gateway}"))
    }

    /// The operator's file of a gateway; editions differ in a network that may connect.
    fn file(&self, gateway: usize, edition: u64) -> String {
        let role = self.roles[gateway];
        let known = |to: &usize| {
            self.roles[*to].votes() || (self.roles[*to] == Role::Listed && role != Role::Client)
        };
        let peers: Vec<String> = (0..self.seen.len())
            .filter(known)
            .map(|to| {
                let (id, address, voter) = (to + 1, self.seen[gateway][to], self.roles[to].votes());
                format!(
                    "peer(id = {id}, address = '{address}', voter = {})",
                    if voter { "True" } else { "False" }
                )
            })
            .collect();
        let own = match role {
            Role::Client => "client = True".to_owned(),
            _ => format!(
                "listen = '{}', store = '{}', duties = ['discovery', 'probes']",
                self.places[gateway],
                self.store(gateway).display()
            ),
        };
        format!(
            "lease(me = {}, peers = [{}], {own},\n  \
             lease_ms = {}, renew_ms = {}, margin_ms = {MARGIN_MS},\n  \
             allow = ['127.0.0.0/8', '10.{}.{}.0/24'])\n{}",
            gateway + 1,
            peers.join(", "),
            self.lease_ms,
            self.renew_ms,
            edition / 256,
            edition % 256,
            self.extra,
        )
    }

    /// Starts a gateway that does not run, on the store that it has.
    ///
    /// # Errors
    ///
    /// The process could not be started.
    pub fn revive(&mut self, gateway: usize) -> io::Result<()> {
        if self.gateways[gateway].is_none() {
            let operator = self.file(gateway, self.edition);
            let plan = Plan {
                operator,
                ..self.plans[gateway].clone()
            };
            let started = Gateway::start(&plan)?;
            // Before that a signal would end it, as it would any program.
            let up = started.logged(0, WELL, |line| line["message"] == "control: started");
            self.gateways[gateway] = Some(started);
            up.ok_or(io::ErrorKind::TimedOut)?;
        }
        Ok(())
    }

    /// Gateways that ended by themselves, and how.
    pub fn ended(&mut self) -> Vec<String> {
        let running = self
            .gateways
            .iter_mut()
            .enumerate()
            .filter_map(|(n, gateway)| Some((n, gateway.as_mut()?)));
        let ended = running.filter_map(|(n, gateway)| {
            Some(format!("gateway {} ended: {}", n + 1, gateway.ended()?))
        });
        ended.collect()
    }

    /// Kills a gateway outright; its store stays.
    pub fn kill(&mut self, gateway: usize) {
        self.signal(gateway, Signal::SIGCONT);
        self.signal(gateway, Signal::SIGKILL);
        self.bury(gateway);
    }

    /// Keeps what a process that is gone has logged.
    fn bury(&mut self, gateway: usize) {
        if let Some(dead) = self.gateways[gateway].take() {
            // What it wrote last is still on its way.
            sleep(Duration::from_millis(20));
            self.past.extend(lines(gateway, &dead));
            let fields = serde_json::json!({"message": history::KILLED, "at": crate::now()});
            self.past.push(Line {
                gateway: gateway as u64 + 1,
                fields,
            });
        }
    }

    /// Takes a dead gateway's disk away; one that does not vote has nothing there.
    ///
    /// # Errors
    ///
    /// The folder could not be removed.
    pub fn wipe(&mut self, gateway: usize) -> io::Result<()> {
        self.kill(gateway);
        match std::fs::remove_dir_all(self.store(gateway)) {
            Err(fault)
                if fault.kind() == io::ErrorKind::NotFound && !self.roles[gateway].votes() =>
            {
                Ok(())
            }
            removed => removed,
        }
    }

    /// The control member that leads, by the newest term that a running one has logged.
    pub fn leader(&self) -> Option<usize> {
        let told = self
            .gateways
            .iter()
            .flatten()
            .flat_map(|gateway| leaders(gateway.log()));
        let newest = told.filter(|(_, gateway)| *gateway != 0).max();
        newest.map(|(_, gateway)| gateway as usize - 1)
    }

    /// Asks a process to end in order, and says whether it did in time.
    ///
    /// # Errors
    ///
    /// The process could not be signalled.
    pub fn end(&mut self, gateway: usize, within: Duration) -> io::Result<bool> {
        self.signal(gateway, Signal::SIGTERM);
        let ended = self.gateways[gateway]
            .as_mut()
            .map_or(Ok(true), |running| running.wait(within));
        match &ended {
            Ok(_) => self.bury(gateway),
            Err(_) => self.kill(gateway),
        }
        ended
    }

    /// Processes that have a registration.
    fn registered(&self) -> Vec<usize> {
        (0..self.roles.len())
            .filter(|gateway| self.roles[*gateway].registered())
            .collect()
    }

    /// Sends a running gateway a signal.
    pub fn signal(&self, gateway: usize, signal: Signal) {
        if let Some(running) = &self.gateways[gateway] {
            let _ = running.signal(signal);
        }
    }

    /// What one direction between two gateways does.
    pub fn way(&self, from: usize, to: usize) -> &Way {
        &self.ways[from][to]
    }

    /// Cuts or heals both directions between those of one side and the rest.
    pub fn part(&self, side: &[usize], cut: bool) {
        for one in side {
            for other in (0..self.places.len()).filter(|other| !side.contains(other)) {
                self.way(*one, other).cut(cut);
                self.way(other, *one).cut(cut);
            }
        }
    }

    /// Cuts both directions between two.
    pub fn part_two(&self, one: usize, other: usize) {
        self.way(one, other).cut(true);
        self.way(other, one).cut(true);
    }

    /// Heals all links.
    pub fn heal(&self) {
        for way in self.ways.iter().flatten() {
            way.cut(false);
            way.delay(0);
            way.mangle(0);
        }
    }

    /// Puts a new edition of the operator's file on all gateways but `except`, and has one of them offer it.
    ///
    /// # Errors
    ///
    /// A file could not be written, or a process could not be signalled.
    pub fn offer(&mut self, by: usize, except: Option<usize>) -> io::Result<()> {
        self.edition += 1;
        for gateway in (0..self.places.len()).filter(|gateway| Some(*gateway) != except) {
            if let Some(running) = &self.gateways[gateway] {
                running.rewrite(&self.file(gateway, self.edition))?;
            }
        }
        self.signal(by, Signal::SIGHUP);
        Ok(())
    }

    /// Spoils one gateway's operator's file.
    ///
    /// # Errors
    ///
    /// The file could not be written.
    pub fn spoil(&self, gateway: usize) -> io::Result<()> {
        let bad = "lease(me = 'none')\n";
        self.gateways[gateway]
            .as_ref()
            .map_or(Ok(()), |running| running.rewrite(bad))
    }

    /// What a running gateway logged last.
    fn last_words(&self, gateway: usize) -> String {
        let log = self.gateways[gateway]
            .as_ref()
            .map(Gateway::log)
            .unwrap_or_default();
        let last = log
            .iter()
            .rev()
            .take(LAST_WORDS)
            .rev()
            .map(|line| format!("{} {}", gateway + 1, line.fields));
        last.collect::<Vec<String>>().join("\n")
    }

    /// Has so many clients come to a gateway at once, and again when they are told, until all are in or time is up.
    pub fn storm(&self, gateway: usize, clients: usize, within: Duration) -> Storm {
        storm::play(self.plans[gateway].client, clients, within)
    }

    /// All lines so far.
    pub fn history(&self) -> Vec<Line> {
        let running = self
            .gateways
            .iter()
            .enumerate()
            .filter_map(|(n, gateway)| Some((n, gateway.as_ref()?)));
        let mut all = self.past.clone();
        all.extend(running.flat_map(|(n, gateway)| lines(n, gateway)));
        all.sort_by_key(|line| line.fields["at"].as_u64().unwrap_or(0));
        all
    }

    /// How each process stands, in its present life.
    fn standings(&self) -> Vec<Standing> {
        let numbered = (1..).zip(&self.gateways);
        let logged = numbered.map(|(number, gateway)| {
            let log = gateway.as_ref().map(Gateway::log).unwrap_or_default();
            Standing::logged(number, &log)
        });
        logged.collect()
    }

    /// The newest version of the operator's file in force at each process, in its present life; 0 where there is none.
    pub fn in_force(&self) -> Vec<u64> {
        self.standings()
            .iter()
            .map(|standing| standing.in_force)
            .collect()
    }

    /// The newest version that was ever in force at any gateway, in any of its lives: one that has just started again puts
    /// what was in force before in force once more.
    fn newest(&self) -> u64 {
        let history = self.history();
        let in_force = history
            .iter()
            .filter(|line| line.fields["message"] == "version: activated");
        in_force
            .filter_map(|line| line.fields["number"].as_u64())
            .max()
            .unwrap_or(0)
    }

    /// Waits until this holds; how long it took, or nothing.
    pub fn wait(&self, within: Duration, holds: impl Fn(&Cluster) -> bool) -> Option<Duration> {
        let began = Instant::now();
        while began.elapsed() < within {
            if holds(self) {
                return Some(began.elapsed());
            }
            sleep(Duration::from_millis(20));
        }
        None
    }

    /// Offers editions until each gateway acts on the same one, newer than all before, and says how long that took.
    ///
    /// # Errors
    ///
    /// A file could not be written, or a process could not be signalled.
    pub fn agree(&mut self, within: Duration) -> io::Result<Option<Duration>> {
        self.agree_without(within, usize::MAX)
    }

    /// The same, but for one gateway that is gone.
    ///
    /// # Errors
    ///
    /// A file could not be written, or a process could not be signalled.
    pub fn agree_without(&mut self, within: Duration, gone: usize) -> io::Result<Option<Duration>> {
        let began = Instant::now();
        let registered = self.registered();
        let newest = self.newest();
        for round in 0.. {
            if began.elapsed() >= within {
                return Ok(None);
            }
            // Who offers may have no registration yet: each in turn.
            self.offer(registered[round % registered.len()], None)?;
            let everywhere = |cluster: &Cluster| {
                let (all, now) = (cluster.standings(), crate::now());
                let there = registered.iter().filter(|gateway| **gateway != gone);
                let there: Vec<Standing> = there.map(|gateway| all[*gateway]).collect();
                let number = there[0].in_force;
                number > newest
                    && there
                        .iter()
                        .all(|one| one.in_force == number && one.acts(now))
            };
            if self
                .wait(Duration::from_millis(1_500), everywhere)
                .is_some()
            {
                return Ok(Some(began.elapsed()));
            }
        }
        Ok(None)
    }
}

fn lines(gateway: usize, running: &Gateway) -> Vec<Line> {
    let log = running.log().into_iter();
    log.map(|line| Line {
        gateway: gateway as u64 + 1,
        fields: line.fields,
    })
    .collect()
}

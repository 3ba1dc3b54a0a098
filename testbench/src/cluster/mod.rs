//! A fleet of real processes, control members and gateways, in which every link goes through a fault proxy.
//!
//! In a run ([`run`]) all faults, their times and the versions that are offered are drawn from one seed. The faults
//! are: links cut in one direction or both, partitions, slow links, duplicated and reordered frames, processes that are
//! suspended, killed, restarted, or lose their disk; some of them are aimed at the leader of the control members. As
//! the machine schedules the processes, a run with the same seed has the same faults, but not the same timing. At its
//! end a run removes all faults, checks that the fleet recovers, and checks the invariants on the whole log history.

mod faults;
pub mod history;
mod proxy;
mod storm;

use crate::fleet::{Fleet, Shape};
use crate::gateway::{free, leaders, Gateway, Part, Plan};
use crate::standing::Standing;
use faults::RECOVERY_TIMEOUT;
pub use faults::{run, Found};
use history::Line;
use nix::sys::signal::Signal;
use proxy::Direction;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};
pub use storm::Storm;

/// Default duration of leases in these fleets, milliseconds; short, so that many expire and are renewed in a run.
const LEASE_MS: u64 = 1_200;
const RENEW_MS: u64 = 200;
const MARGIN_MS: u64 = 50;
/// Number of last log lines that are shown of a gateway that did not recover.
const LAST_LOG_LINES: usize = 12;

/// The role of a process in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A voter that serves clients.
    Voter,
    /// A voter that serves no clients: `asterreel control`.
    Member,
    /// Serves clients; the operator's files of the others list it as a peer that is not a voter.
    Listed,
    /// Serves clients; the operator's files of the others do not list it.
    Client,
}

impl Role {
    fn votes(self) -> bool {
        matches!(self, Role::Voter | Role::Member)
    }

    /// Whether it has a registration and activates versions.
    fn registered(self) -> bool {
        self != Role::Member
    }
}

/// A fleet of control members and gateways.
pub struct Cluster {
    gateways: Vec<Option<Gateway>>,
    plans: Vec<Plan>,
    places: Vec<SocketAddr>,
    directions: Vec<Vec<Arc<Direction>>>,
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
    /// Starts a fleet of `gateways` processes, of which the first `voters` are voters.
    ///
    /// # Errors
    ///
    /// No free ports, or a process could not be started.
    pub fn start(program: PathBuf, gateways: usize, voters: usize) -> io::Result<Cluster> {
        Cluster::start_with(program, gateways, voters, "")
    }

    /// The same, with `extra` appended to each operator's file.
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

    /// Starts processes of these roles, with the duration and the renewal interval of leases, milliseconds.
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
        let directions: Vec<Vec<Arc<Direction>>> = (0..gateways)
            .map(|_| (0..gateways).map(|_| Arc::default()).collect())
            .collect();
        let link = |from: usize, to: usize| match from == to {
            true => Ok(places[to]),
            false => proxy::link(
                places[to],
                directions[from][to].clone(),
                directions[to][from].clone(),
            ),
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
            directions,
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
        (0..gateways).try_for_each(|gateway| cluster.start_gateway(gateway))?;
        Ok(cluster)
    }

    fn store(&self, gateway: usize) -> PathBuf {
        self.folder.path().join(format!("store-{gateway}"))
    }

    /// The operator's file of a gateway. Editions differ in a network in `allow`.
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

    /// Starts a gateway that is not running, with its existing store.
    ///
    /// # Errors
    ///
    /// The process could not be started.
    pub fn start_gateway(&mut self, gateway: usize) -> io::Result<()> {
        if self.gateways[gateway].is_none() {
            let operator = self.file(gateway, self.edition);
            let plan = Plan {
                operator,
                ..self.plans[gateway].clone()
            };
            let started = Gateway::start(&plan)?;
            // Before this line it has no signal handlers, and a signal would kill it.
            let up = started.logged(0, RECOVERY_TIMEOUT, |line| {
                line["message"] == "control: started"
            });
            self.gateways[gateway] = Some(started);
            up.ok_or(io::ErrorKind::TimedOut)?;
        }
        Ok(())
    }

    /// Descriptions of the gateways that exited without having been stopped, with their exit status.
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

    /// Kills a gateway with SIGKILL; its store stays.
    pub fn kill(&mut self, gateway: usize) {
        self.signal(gateway, Signal::SIGCONT);
        self.signal(gateway, Signal::SIGKILL);
        self.save_log(gateway);
    }

    /// Saves the log lines of a process that has exited.
    fn save_log(&mut self, gateway: usize) {
        if let Some(exited) = self.gateways[gateway].take() {
            // The thread that reads its log may not have read its last lines yet.
            sleep(Duration::from_millis(20));
            self.past.extend(lines(gateway, &exited));
            let fields = serde_json::json!({"message": history::KILLED, "at": crate::now()});
            self.past.push(Line {
                gateway: gateway as u64 + 1,
                fields,
            });
        }
    }

    /// Kills a gateway and removes its store; a process that is not a voter has none.
    ///
    /// # Errors
    ///
    /// The directory could not be removed.
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

    /// The leader in the newest term that a running control member has logged.
    pub fn leader(&self) -> Option<usize> {
        let logged = self
            .gateways
            .iter()
            .flatten()
            .flat_map(|gateway| leaders(gateway.log()));
        let newest = logged.filter(|(_, gateway)| *gateway != 0).max();
        newest.map(|(_, gateway)| gateway as usize - 1)
    }

    /// Stops a process with SIGTERM, or kills it after the time limit. Returns whether its exit status was success.
    ///
    /// # Errors
    ///
    /// The process did not exit in time, or could not be waited for.
    pub fn end(&mut self, gateway: usize, within: Duration) -> io::Result<bool> {
        self.signal(gateway, Signal::SIGTERM);
        let ended = self.gateways[gateway]
            .as_mut()
            .map_or(Ok(true), |running| running.wait(within));
        match &ended {
            Ok(_) => self.save_log(gateway),
            Err(_) => self.kill(gateway),
        }
        ended
    }

    /// The processes whose role has a registration.
    fn registered(&self) -> Vec<usize> {
        (0..self.roles.len())
            .filter(|gateway| self.roles[*gateway].registered())
            .collect()
    }

    /// Sends a signal to a gateway, if it is running.
    pub fn signal(&self, gateway: usize, signal: Signal) {
        if let Some(running) = &self.gateways[gateway] {
            let _ = running.signal(signal);
        }
    }

    /// The faults of one direction between two gateways.
    pub fn direction(&self, from: usize, to: usize) -> &Direction {
        &self.directions[from][to]
    }

    /// Cuts or restores both directions between the gateways of `side` and all others.
    pub fn set_partition(&self, side: &[usize], cut: bool) {
        for one in side {
            for other in (0..self.places.len()).filter(|other| !side.contains(other)) {
                self.direction(*one, other).cut(cut);
                self.direction(other, *one).cut(cut);
            }
        }
    }

    /// Cuts both directions between two gateways.
    pub fn cut_pair(&self, one: usize, other: usize) {
        self.direction(one, other).cut(true);
        self.direction(other, one).cut(true);
    }

    /// Removes all faults of links.
    pub fn heal(&self) {
        for direction in self.directions.iter().flatten() {
            direction.cut(false);
            direction.delay(0);
            direction.mangle(0);
        }
    }

    /// Writes a new edition of the operator's file for all running gateways except `except`, and has gateway `by` offer
    /// it.
    ///
    /// # Errors
    ///
    /// A file could not be written, or a process could not be signalled.
    pub fn propose_version(&mut self, by: usize, except: Option<usize>) -> io::Result<()> {
        self.edition += 1;
        for gateway in (0..self.places.len()).filter(|gateway| Some(*gateway) != except) {
            if let Some(running) = &self.gateways[gateway] {
                running.rewrite(&self.file(gateway, self.edition))?;
            }
        }
        self.signal(by, Signal::SIGHUP);
        Ok(())
    }

    /// Replaces the operator's file of a gateway with an invalid one.
    ///
    /// # Errors
    ///
    /// The file could not be written.
    pub fn write_invalid_file(&self, gateway: usize) -> io::Result<()> {
        let invalid = "lease(me = 'none')\n";
        self.gateways[gateway]
            .as_ref()
            .map_or(Ok(()), |running| running.rewrite(invalid))
    }

    /// The last log lines of a running gateway.
    fn last_log_lines(&self, gateway: usize) -> String {
        let log = self.gateways[gateway]
            .as_ref()
            .map(Gateway::log)
            .unwrap_or_default();
        let last = log
            .iter()
            .rev()
            .take(LAST_LOG_LINES)
            .rev()
            .map(|line| format!("{} {}", gateway + 1, line.fields));
        last.collect::<Vec<String>>().join("\n")
    }

    /// Opens sessions of `clients` clients at a gateway at once; see [`Storm`].
    pub fn storm(&self, gateway: usize, clients: usize, within: Duration) -> Storm {
        storm::run(self.plans[gateway].client, clients, within)
    }

    /// All log lines so far, by time.
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

    /// The state of each process, from its log lines since its last start.
    fn standings(&self) -> Vec<Standing> {
        let numbered = (1..).zip(&self.gateways);
        let logged = numbered.map(|(number, gateway)| {
            let log = gateway.as_ref().map(Gateway::log).unwrap_or_default();
            Standing::logged(number, &log)
        });
        logged.collect()
    }

    /// The newest version of the operator's file in force at each process since its last start; 0 if there is none.
    pub fn in_force(&self) -> Vec<u64> {
        self.standings()
            .iter()
            .map(|standing| standing.in_force)
            .collect()
    }

    /// The newest version that was ever in force at any gateway, before its last start too: a gateway that has just
    /// restarted first activates the version that was in force before.
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

    /// Waits until the condition holds; returns how long that took, or none if the time limit passed.
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

    /// Offers new editions until all gateways act on the same new version; returns how long that took, or none if the
    /// time limit passed.
    ///
    /// # Errors
    ///
    /// A file could not be written, or a process could not be signalled.
    pub fn agree(&mut self, within: Duration) -> io::Result<Option<Duration>> {
        self.agree_without(within, usize::MAX)
    }

    /// The same, without one gateway that is not running.
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
            // The gateway that offers may have no registration yet, so each round uses the next one.
            self.propose_version(registered[round % registered.len()], None)?;
            let all_agree = |cluster: &Cluster| {
                let (all, now) = (cluster.standings(), crate::now());
                let expected = registered.iter().filter(|gateway| **gateway != gone);
                let expected: Vec<Standing> = expected.map(|gateway| all[*gateway]).collect();
                let number = expected[0].in_force;
                number > newest
                    && expected
                        .iter()
                        .all(|one| one.in_force == number && one.acts(now))
            };
            if self.wait(Duration::from_millis(1_500), all_agree).is_some() {
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

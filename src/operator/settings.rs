//! The types that an operator's file is checked into.

use crate::cells::bulkhead::Bounds;
use crate::cells::who::{Source, Who};
use crate::cells::{quarantine, Rules};
use crate::config::Config;
use crate::health::drain::{Balancer, Drain, Hearing, Timetable};
use crate::health::Knobs;
use asterreel_control::settings::within;
use asterreel_control::settings::Lease;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All that an operator's file sets; everything is off unless it is there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Operator {
    /// Health for balancers.
    pub health: Option<Health>,
    /// Cells.
    pub cells: Option<Cells>,
    /// Duties with one holder in the fleet.
    #[serde(default)]
    pub lease: Option<Lease>,
    /// How many clients may come back at once.
    #[serde(default)]
    pub readmission: Option<crate::readmission::Knobs>,
}

/// What a cell may hold of this gateway, as far as it is enforced; 0 is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CellBounds {
    /// Requests that are open.
    pub requests: u32,
    /// Bytes of their statements.
    pub bytes: u64,
}

/// Cells: which tenants may reach which groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cells {
    /// The published placement; relative to the operator's file.
    pub placement: PathBuf,
    /// Who asks: the first that knows.
    pub who: Vec<Source>,
    /// Bounds by cell's name.
    #[serde(default)]
    pub bounds: BTreeMap<String, CellBounds>,
    /// Bounds of the others.
    #[serde(default)]
    pub default_bounds: CellBounds,
    /// Poison.
    #[serde(default)]
    pub quarantine: quarantine::Knobs,
    /// Time between two looks at the placement, milliseconds; 50 to 60000, default 500.
    #[serde(default = "reread")]
    pub reread_ms: u64,
    /// How long writes may go by a placement that can't be looked at, milliseconds; default 5000.
    #[serde(default = "lease")]
    pub lease_ms: u64,
}

fn reread() -> u64 {
    500
}

fn lease() -> u64 {
    5_000
}

impl Cells {
    /// Checks it, and puts it in the words of [`crate::cells`].
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn rules(&self) -> Result<Rules, (String, String)> {
        if self.who.is_empty() {
            return Err(("who".into(), "names no source: nobody could ask".into()));
        }
        if self.placement.as_os_str().is_empty() {
            return Err(("placement".into(), "names no file".into()));
        }
        within("reread_ms", self.reread_ms, 50, 60_000)?;
        within("lease_ms", self.lease_ms, 2 * self.reread_ms, 600_000)?;
        let knobs = &self.quarantine;
        within("quarantine.members", knobs.members as u64, 1, 16)?;
        within(
            "quarantine.tenant_members",
            knobs.tenant_members as u64,
            1,
            64,
        )?;
        within("quarantine.window_ms", knobs.window_ms, 1_000, 3_600_000)?;
        within("quarantine.lasts_ms", knobs.lasts_ms, 1_000, 86_400_000)?;
        within("quarantine.entries", knobs.entries as u64, 16, 65_536)?;
        let bounds = |bounds: &CellBounds| Bounds {
            requests: bounds.requests,
            bytes: bounds.bytes,
            ..Bounds::default()
        };
        Ok(Rules {
            who: Who::new(self.who.clone())?,
            bounds: self
                .bounds
                .iter()
                .map(|(name, own)| (name.clone(), bounds(own)))
                .collect(),
            default_bounds: bounds(&self.default_bounds),
            quarantine: self.quarantine,
        })
    }
}

/// A front that listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Where it listens.
    pub listen: SocketAddr,
}

/// The front of agent-check.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long the first byte of an `agent-send` text is waited for; 0 to 500, default 20.
    #[serde(default = "agent_wait")]
    pub wait_ms: u64,
    /// Tell `maxconn`: how many client connections there is room for.
    #[serde(default)]
    pub maxconn: bool,
}

fn agent_wait() -> u64 {
    20
}

fn connections() -> usize {
    32
}

/// Health for balancers; what is left out is off or has its default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// HAProxy's agent-check.
    #[serde(default)]
    pub agent: Option<Agent>,
    /// HTTP/1.1.
    #[serde(default)]
    pub http: Option<Listener>,
    /// PostgreSQL's check.
    #[serde(default)]
    pub postgres: Option<Listener>,
    /// gRPC health v1.
    #[serde(default)]
    pub grpc: Option<Listener>,
    /// Tell systemd, on the socket that `NOTIFY_SOCKET` names.
    #[serde(default)]
    pub notify: bool,
    /// Who may ask; default this machine.
    #[serde(default = "asterreel_control::settings::this_machine")]
    pub allow: Vec<IpNet>,
    /// Connections of all health fronts together; 4 to 128, default 32.
    #[serde(default = "connections")]
    pub connections: usize,
    /// How balancers check.
    #[serde(default)]
    pub balancer: Balancer,
    /// The drain.
    #[serde(default)]
    pub drain: Drain,
    /// The decisions.
    #[serde(default)]
    pub knobs: Knobs,
}

/// Descriptors that health needs beside its connections: listeners, the event queue, its heartbeat (two connections,
/// and their other ends), one that is closed while the next is taken, and two spare ones.
const OWN: usize = 14;

impl Health {
    /// Descriptors that are set aside for health.
    pub fn descriptors(&self) -> usize {
        self.connections + OWN
    }

    /// The addresses it listens on, by key.
    pub fn listeners(&self) -> Vec<(&'static str, SocketAddr)> {
        let plain = |key, listener: &Option<Listener>| listener.as_ref().map(|l| (key, l.listen));
        let agent = self
            .agent
            .as_ref()
            .map(|agent| ("agent.listen", agent.listen));
        let all = [
            agent,
            plain("http.listen", &self.http),
            plain("postgres.listen", &self.postgres),
            plain("grpc.listen", &self.grpc),
        ];
        all.into_iter().flatten().collect()
    }

    /// What can be said without the gateway's own configuration.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check(&self) -> Result<(), (String, String)> {
        let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
        for (key, address) in self.listeners() {
            if address.port() == 0 {
                return Err((
                    key.into(),
                    "port 0 is no place that a balancer can be told".into(),
                ));
            }
            if let Some((other, _)) = seen.iter().find(|(_, taken)| *taken == address) {
                return Err((key.into(), format!("{address} is {other} already")));
            }
            seen.push((key, address));
        }
        if seen.is_empty() && !self.notify {
            return Err((
                "health".into(),
                "has no front: set agent, http, postgres, grpc or notify".into(),
            ));
        }
        within("connections", self.connections as u64, 4, 128)?;
        if let Some(agent) = &self.agent {
            within("agent.wait_ms", agent.wait_ms, 0, 500)?;
        }
        if self.allow.is_empty() {
            return Err(("allow".into(), "names no network: nobody could ask".into()));
        }
        self.knobs
            .check()
            .map_err(|error| (format!("knobs.{}", error.key), error.fault))?;
        // With the longest deadline there is; the gateway's own may leave less.
        self.drain
            .timetable(&self.balancer, self.hearing(), u64::MAX)?;
        Ok(())
    }

    fn hearing(&self) -> Hearing {
        let others = self.http.is_some() || self.postgres.is_some() || self.grpc.is_some();
        if others {
            Hearing::Checks
        } else {
            Hearing::Agent
        }
    }

    /// Checks it beside the gateway's configuration, and computes the drain's timetable.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn beside(&self, config: &Config) -> Result<Timetable, (String, String)> {
        self.check()?;
        for (key, address) in self.listeners() {
            if address == config.listen {
                return Err((
                    key.into(),
                    format!("{address} is where clients connect (listen)"),
                ));
            }
        }
        if self.descriptors() > config.sockets / 4 {
            let fault = format!(
                "{} descriptors are more than a quarter of limits.sockets",
                self.descriptors()
            );
            return Err(("connections".into(), fault));
        }
        let longest = config
            .settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        self.drain
            .timetable(&self.balancer, self.hearing(), longest)
            .map_err(Into::into)
    }
}

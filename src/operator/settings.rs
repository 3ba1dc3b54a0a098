//! The checked types of what an operator's file sets.

use super::SettingError;
use crate::cells::bulkhead::Bounds;
use crate::cells::tenants::{Source, TenantResolver};
use crate::cells::{quarantine, AdmissionRules};
use crate::config::Config;
use crate::health::drain::{Balancer, DetectionMethod, Drain, Timetable};
use crate::health::HealthOptions;
use crate::interface::Micros;
use asterreel_control::settings::{check_within, ControlSettings};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All that an operator's file sets; what is `None` is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Operator {
    /// `health(...)`: health for balancers.
    pub health: Option<Health>,
    /// `cells(...)`: which tenants may reach which groups.
    pub cells: Option<Cells>,
    /// `lease(...)`: the fleet's control plane, and the duties that one gateway of the fleet holds at a time.
    #[serde(default)]
    pub lease: Option<ControlSettings>,
    /// `readmission(...)`: how many clients may reconnect at once.
    #[serde(default)]
    pub readmission: Option<crate::readmission::Options>,
}

/// How much of this gateway the requests of a cell may use at a time; 0 is no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CellBounds {
    /// The most requests in flight.
    pub requests: u32,
    /// The most bytes of their statements.
    pub bytes: u64,
}

impl CellBounds {
    /// The bounds as [`crate::cells`] enforces them; those that the file can't set stay off.
    fn enforced(&self) -> Bounds {
        Bounds {
            requests: self.requests,
            bytes: self.bytes,
            ..Bounds::default()
        }
    }
}

/// Cells: which tenants may reach which groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cells {
    /// The path of the published placement, relative to the operator's file.
    pub placement: PathBuf,
    /// The sources of a request's tenant; the first that yields one decides.
    pub who: Vec<Source>,
    /// Bounds by the cell's name.
    #[serde(default)]
    pub bounds: BTreeMap<String, CellBounds>,
    /// Bounds of all other cells.
    #[serde(default)]
    pub default_bounds: CellBounds,
    /// When statements that crash members are quarantined.
    #[serde(default)]
    pub quarantine: quarantine::QuarantineOptions,
    /// Time between two reads of the placement, milliseconds; 50 to 60000, default 500.
    #[serde(default = "default_reread_ms")]
    pub reread_ms: u64,
    /// How long writes are admitted by a placement after its last successful read, milliseconds; at least twice
    /// `reread_ms`, at most 600000, default 5000.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
}

fn default_reread_ms() -> u64 {
    500
}

fn default_lease_ms() -> u64 {
    5_000
}

impl Cells {
    /// Checks the settings, and converts them to the types of [`crate::cells`].
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn rules(&self) -> Result<AdmissionRules, SettingError> {
        if self.who.is_empty() {
            return Err(SettingError::new(
                "who",
                "names no source: every request would be rejected; list a source of tenants, such as 'user'",
            ));
        }
        if self.placement.as_os_str().is_empty() {
            return Err(SettingError::new(
                "placement",
                "is empty; set the path of the published placement",
            ));
        }
        check_within("reread_ms", self.reread_ms, 50, 60_000)?;
        check_within("lease_ms", self.lease_ms, 2 * self.reread_ms, 600_000)?;
        self.check_quarantine()?;
        let bounds = self.bounds.iter();
        Ok(AdmissionRules {
            tenant_resolver: TenantResolver::new(self.who.clone())?,
            bounds: bounds
                .map(|(cell, bounds)| (cell.clone(), bounds.enforced()))
                .collect(),
            default_bounds: self.default_bounds.enforced(),
            quarantine: self.quarantine,
        })
    }

    fn check_quarantine(&self) -> Result<(), SettingError> {
        let options = &self.quarantine;
        let tenant_members = options.tenant_members as u64;
        check_within("quarantine.members", options.members as u64, 1, 16)?;
        check_within("quarantine.tenant_members", tenant_members, 1, 64)?;
        check_within("quarantine.window_ms", options.window_ms, 1_000, 3_600_000)?;
        check_within("quarantine.lasts_ms", options.lasts_ms, 1_000, 86_400_000)?;
        check_within("quarantine.entries", options.entries as u64, 16, 65_536)?;
        Ok(())
    }
}

/// A listener of health checks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// The address and port that it listens on.
    pub listen: SocketAddr,
}

/// The listener of HAProxy's agent-check.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// The address and port that it listens on.
    pub listen: SocketAddr,
    /// How long to wait for the first byte of an `agent-send` text, milliseconds; 0 to 500, default 20.
    #[serde(default = "default_agent_wait_ms")]
    pub wait_ms: u64,
    /// Whether to report `maxconn`, the number of client connections that there is capacity for.
    #[serde(default)]
    pub maxconn: bool,
}

fn default_agent_wait_ms() -> u64 {
    20
}

fn default_connections() -> usize {
    32
}

/// Health reports for balancers; what is left out is off or has its default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// HAProxy's agent-check.
    #[serde(default)]
    pub agent: Option<Agent>,
    /// Checks over HTTP/1.1.
    #[serde(default)]
    pub http: Option<Listener>,
    /// Checks in PostgreSQL's protocol.
    #[serde(default)]
    pub postgres: Option<Listener>,
    /// Checks by gRPC health v1.
    #[serde(default)]
    pub grpc: Option<Listener>,
    /// Whether to notify systemd, on the socket that `NOTIFY_SOCKET` names.
    #[serde(default)]
    pub notify: bool,
    /// The networks from which health may be checked; by default this machine only.
    #[serde(default = "asterreel_control::settings::loopback_networks")]
    pub allow: Vec<IpNet>,
    /// The most connections of all health listeners together; 4 to 128, default 32.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// The interval, timeout and fall of the balancers' checks.
    #[serde(default)]
    pub balancer: Balancer,
    /// The phases of a drain.
    #[serde(default)]
    pub drain: Drain,
    /// The options of health decisions.
    #[serde(default, rename = "knobs")]
    pub options: HealthOptions,
}

/// Descriptors that health needs besides its connections: listeners, the event queue, its heartbeat (two connections and
/// their peers in this process), one that is being closed while the next is accepted, and two spare ones.
const FIXED_DESCRIPTORS: usize = 14;
/// Health may use at most a quarter of the descriptors.
const MIN_SOCKETS_PER_HEALTH_DESCRIPTOR: usize = 4;

impl Health {
    /// Descriptors that are reserved for health.
    pub fn descriptors(&self) -> usize {
        self.connections + FIXED_DESCRIPTORS
    }

    /// The addresses it listens on, by key.
    pub fn listeners(&self) -> Vec<(&'static str, SocketAddr)> {
        let entry = |key, listener: &Option<Listener>| listener.as_ref().map(|l| (key, l.listen));
        let agent = self
            .agent
            .as_ref()
            .map(|agent| ("agent.listen", agent.listen));
        let all = [
            agent,
            entry("http.listen", &self.http),
            entry("postgres.listen", &self.postgres),
            entry("grpc.listen", &self.grpc),
        ];
        all.into_iter().flatten().collect()
    }

    /// Checks what can be checked without the gateway's configuration.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check(&self) -> Result<(), SettingError> {
        self.check_listeners()?;
        check_within("connections", self.connections as u64, 4, 128)?;
        if let Some(agent) = &self.agent {
            check_within("agent.wait_ms", agent.wait_ms, 0, 500)?;
        }
        if self.allow.is_empty() {
            return Err(SettingError::new(
                "allow",
                "names no network: every check would be rejected; list the networks of the balancers",
            ));
        }
        self.options
            .check()
            .map_err(|fault| fault.under_key("knobs"))?;
        // Without the configuration any deadline is possible; `check_with_config` checks with the actual ones.
        self.timetable(u64::MAX)?;
        Ok(())
    }

    fn check_listeners(&self) -> Result<(), SettingError> {
        let listeners = self.listeners();
        for (number, (key, address)) in listeners.iter().enumerate() {
            if address.port() == 0 {
                let fault =
                    "port 0 means any free port, which balancers can't know; set a fixed port";
                return Err(SettingError::new(*key, fault));
            }
            let mut earlier = listeners[..number].iter();
            if let Some((other, _)) = earlier.find(|(_, taken)| taken == address) {
                return Err(SettingError::new(
                    *key,
                    format!("{address} is already used by {other}; choose another address"),
                ));
            }
        }
        if listeners.is_empty() && !self.notify {
            let fault =
                "sets neither a listener nor notify; set agent, http, postgres, grpc or notify";
            return Err(SettingError::new("health", fault));
        }
        Ok(())
    }

    /// The drain's timetable if no request lasts longer than this, microseconds.
    fn timetable(&self, longest_deadline: Micros) -> Result<Timetable, SettingError> {
        let timetable =
            self.drain
                .timetable(&self.balancer, self.detection_method(), longest_deadline)?;
        Ok(timetable)
    }

    /// How balancers detect a drain.
    fn detection_method(&self) -> DetectionMethod {
        let others = self.http.is_some() || self.postgres.is_some() || self.grpc.is_some();
        if others {
            DetectionMethod::FailedChecks
        } else {
            DetectionMethod::AgentCheck
        }
    }

    /// Checks the settings against the gateway's configuration, and computes the drain's timetable.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check_with_config(&self, config: &Config) -> Result<Timetable, SettingError> {
        self.check()?;
        for (key, address) in self.listeners() {
            if address == config.listen {
                let fault = format!(
                    "{address} is where clients connect (listen of the configuration); choose another address"
                );
                return Err(SettingError::new(key, fault));
            }
        }
        if self.descriptors() > config.max_descriptors / MIN_SOCKETS_PER_HEALTH_DESCRIPTOR {
            let fault = format!(
                "{} descriptors (connections + {FIXED_DESCRIPTORS}) are more than a quarter of limits.sockets; \
                 lower connections",
                self.descriptors()
            );
            return Err(SettingError::new("connections", fault));
        }
        let deadlines = config.settings.classes.iter().map(|class| class.deadline);
        self.timetable(deadlines.max().unwrap_or(0))
    }
}

//! The types that an operator's file is checked into.

use crate::config::Config;
use crate::health::drain::{Balancer, Drain, Hearing, Timetable};
use crate::health::knobs::within;
use crate::health::Knobs;
use ipnet::IpNet;
use serde::Deserialize;
use std::net::SocketAddr;

/// All that an operator's file sets; everything is off unless it is there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operator {
    /// Health for balancers.
    pub health: Option<Health>,
}

/// A front that listens.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Where it listens.
    pub listen: SocketAddr,
}

/// The front of agent-check.
#[derive(Clone, Debug, PartialEq, Deserialize)]
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

fn local() -> Vec<IpNet> {
    let nets = ["127.0.0.0/8", "::1/128"];
    nets.iter().filter_map(|net| net.parse().ok()).collect()
}

fn connections() -> usize {
    32
}

/// Health for balancers; what is left out is off or has its default.
#[derive(Clone, Debug, PartialEq, Deserialize)]
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
    #[serde(default = "local")]
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
        let agent = self.agent.as_ref().map(|agent| ("agent.listen", agent.listen));
        let all = [
            agent,
            plain("http.listen", &self.http),
            plain("postgres.listen", &self.postgres),
            plain("grpc.listen", &self.grpc),
        ];
        all.into_iter().flatten().collect()
    }

    /// What can be said without the gateway's own configuration.
    pub fn check(&self) -> Result<(), (String, String)> {
        let mut seen: Vec<(&str, SocketAddr)> = Vec::new();
        for (key, address) in self.listeners() {
            if address.port() == 0 {
                return Err((key.into(), "port 0 is no place that a balancer can be told".into()));
            }
            if let Some((other, _)) = seen.iter().find(|(_, taken)| *taken == address) {
                return Err((key.into(), format!("{address} is {other} already")));
            }
            seen.push((key, address));
        }
        if seen.is_empty() && !self.notify {
            return Err(("health".into(), "has no front: set agent, http, postgres, grpc or notify".into()));
        }
        let owned = |(key, fault): (&str, String)| (key.to_owned(), fault);
        within("connections", self.connections as u64, 4, 128).map_err(owned)?;
        if let Some(agent) = &self.agent {
            within("agent.wait_ms", agent.wait_ms, 0, 500).map_err(owned)?;
        }
        if self.allow.is_empty() {
            return Err(("allow".into(), "names no network: nobody could ask".into()));
        }
        self.knobs.check().map_err(|(key, fault)| (format!("knobs.{key}"), fault))?;
        // With the longest deadline there is; the gateway's own may leave less.
        self.drain.timetable(&self.balancer, self.hearing(), u64::MAX).map_err(owned)?;
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
    pub fn beside(&self, config: &Config) -> Result<Timetable, (String, String)> {
        self.check()?;
        for (key, address) in self.listeners() {
            if address == config.listen {
                return Err((key.into(), format!("{address} is where clients connect (listen)")));
            }
        }
        if self.descriptors() > config.sockets / 4 {
            let fault =
                format!("{} descriptors are more than a quarter of limits.sockets", self.descriptors());
            return Err(("connections".into(), fault));
        }
        let longest = config.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let owned = |(key, fault): (&str, String)| (key.to_owned(), fault);
        self.drain.timetable(&self.balancer, self.hearing(), longest).map_err(owned)
    }
}

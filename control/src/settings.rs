//! The settings of the control plane in the operator's file, and their checks: each error names its key.
//!
//! A value that would have no effect is rejected, not ignored. Nothing here reads files or opens sockets.

mod error;

pub use error::{check_within, SettingError};

use crate::lease::{self, Duty, Timing};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The numbers that gateways may have; a Raft id has 16 bits for the number.
const GATEWAY_IDS: RangeInclusive<u32> = 1..=65_535;

/// The networks of the loopback addresses, IPv4 and IPv6: the default for networks from which connections are accepted.
pub fn loopback_networks() -> Vec<IpNet> {
    let nets = ["127.0.0.0/8", "::1/128"];
    nets.iter().filter_map(|net| net.parse().ok()).collect()
}

/// A gateway of the fleet: a control member that the others connect to, or a client of the control members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number in the fleet; 1 to 65535, each once.
    pub id: u32,
    /// The address of its control listener; unused if it is no voter.
    pub address: SocketAddr,
    /// Whether it is a voter of the log, as control members are; the others are their clients. Default yes.
    #[serde(default = "default_voter")]
    pub voter: bool,
}

fn default_voter() -> bool {
    true
}

/// The settings of the control plane: the control members, which share the replicated log, whether this gateway is one of
/// them or their client, and the timing of leases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// This gateway's number in the fleet, which no other has.
    pub me: u32,
    /// The control members (3 or 5 voters); gateways that are their clients may be listed as well.
    pub peers: Vec<Peer>,
    /// Whether this gateway is only a client of the control members, which need not list it. Default no.
    #[serde(default)]
    pub client: bool,
    /// Where this gateway listens for its peers; its port is that of its own address among `peers`. A client has none.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The networks from which control members and gateways may connect; default the loopback networks.
    #[serde(default = "loopback_networks")]
    pub allow: Vec<IpNet>,
    /// The folder of the log; relative to the operator's file. A client has none.
    #[serde(default)]
    pub store: PathBuf,
    /// The duties that this control member may hold, by name (see [`crate::lease::DUTIES`]). A client holds none.
    #[serde(default)]
    pub duties: Vec<String>,
    /// How long a holder may act after it requested the lease, milliseconds; 100 to 600000, default 3000.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Time from one request of a holder to its next, milliseconds; 10 to 60000, default 1000.
    #[serde(default = "default_renew_ms")]
    pub renew_ms: u64,
    /// How far a clock's rate may be from real time, parts per million; below 100000, default 1000.
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u32,
    /// Added to every wait, for late timers, milliseconds; up to 10000, default 50.
    #[serde(default = "default_margin_ms")]
    pub margin_ms: u64,
}

fn default_lease_ms() -> u64 {
    3_000
}

fn default_renew_ms() -> u64 {
    1_000
}

/// Twice the 500 ppm by which NTP slews a clock at most; quartz itself keeps within 100 ppm.
fn default_drift_ppm() -> u32 {
    1_000
}

fn default_margin_ms() -> u64 {
    50
}

impl ControlSettings {
    /// The timing of leases, in microseconds.
    pub fn timing(&self) -> Timing {
        Timing {
            lease_us: self.lease_ms * 1000,
            renew_us: self.renew_ms * 1000,
            drift_ppm: self.drift_ppm,
            margin_us: self.margin_ms * 1000,
        }
    }

    /// The duties that this control member may hold; unknown names are left out.
    pub fn duties(&self) -> Vec<Duty> {
        self.duties
            .iter()
            .filter_map(|name| Duty::from_name(name))
            .collect()
    }

    /// The gateways that vote in the log: the control members.
    pub fn voters(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| peer.voter)
    }

    /// Whether this gateway is a control member.
    pub fn is_voter(&self) -> bool {
        self.voters().any(|peer| peer.id == self.me)
    }

    /// Checks each value, and that the values fit together.
    ///
    /// # Errors
    ///
    /// [`SettingError`] for the first value that is rejected.
    pub fn check(&self) -> Result<(), SettingError> {
        self.check_peers()?;
        if self.client {
            self.check_client()?;
        } else {
            self.check_listed()?;
        }
        check_within("lease_ms", self.lease_ms, 100, 600_000)?;
        check_within("renew_ms", self.renew_ms, 10, 60_000)?;
        check_within("margin_ms", self.margin_ms, 0, 10_000)?;
        self.timing()
            .check()
            .map_err(|error| SettingError::new(error.key(), error.to_string()))
    }

    fn check_peers(&self) -> Result<(), SettingError> {
        for (index, peer) in self.peers.iter().enumerate() {
            let earlier = &self.peers[..index];
            let id_key = || format!("peers[{index}].id");
            if !GATEWAY_IDS.contains(&peer.id) {
                return reject(id_key(), format!("{} is not within 1 to 65535", peer.id));
            }
            if earlier.iter().any(|other| other.id == peer.id) {
                return reject(
                    id_key(),
                    format!("{} is already the id of another peer", peer.id),
                );
            }
            if earlier.iter().any(|other| other.address == peer.address) {
                return reject(
                    format!("peers[{index}].address"),
                    format!("{} is already the address of another peer", peer.address),
                );
            }
        }
        let voters = self.voters().count();
        if voters != 3 && voters != 5 {
            let reason =
                "the log needs 3 or 5, so that a majority remains after the loss of one or two";
            return reject("peers", format!("has {voters} voters; {reason}"));
        }
        Ok(())
    }

    /// Checks a client of the control members: it must have none of the settings that only they use.
    fn check_client(&self) -> Result<(), SettingError> {
        let me = self.me;
        if !GATEWAY_IDS.contains(&me) {
            return reject("me", format!("{me} is not within 1 to 65535"));
        }
        if self.is_voter() {
            let fault =
                format!("{me} is the id of a voter in peers; give this client another number");
            return reject("me", fault);
        }
        if let Some(listen) = self.listen {
            let fault =
                format!("{listen} is used by control members only; remove it from a client");
            return reject("listen", fault);
        }
        if !self.store.as_os_str().is_empty() {
            let store = self.store.display();
            let fault = format!(
                "{store} is used by control members only; a client keeps no log, so remove it"
            );
            return reject("store", fault);
        }
        if !self.duties.is_empty() {
            let duties = self.duties.join(", ");
            let fault =
                format!("{duties}: only control members hold duties; remove them from a client");
            return reject("duties", fault);
        }
        Ok(())
    }

    /// Checks a gateway that is not a client and must be one of the peers.
    fn check_listed(&self) -> Result<(), SettingError> {
        let Some(own) = self.peers.iter().find(|peer| peer.id == self.me) else {
            let hint =
                "list it there, or make it a client of the control members with client = True";
            return reject("me", format!("{} is not among peers; {hint}", self.me));
        };
        self.check_listen(own.address.port())?;
        if self.allow.is_empty() {
            return reject(
                "allow",
                "names no network, so no peer could connect; name those of the peers",
            );
        }
        if self.store.as_os_str().is_empty() {
            let fault = "names no folder; name one for the log, which must survive a restart";
            return reject("store", fault);
        }
        self.check_duties()
    }

    fn check_listen(&self, port: u16) -> Result<(), SettingError> {
        let Some(listen) = self.listen else {
            let fault = format!("is missing; peers connect to this gateway on port {port}");
            return reject("listen", fault);
        };
        if listen.port() == 0 || listen.port() != port {
            let fault = format!("{listen} is not on port {port}, which this gateway has in peers");
            return reject("listen", fault);
        }
        Ok(())
    }

    fn check_duties(&self) -> Result<(), SettingError> {
        if self.duties.is_empty() {
            return reject(
                "duties",
                "names no duty; name at least one that this gateway may hold",
            );
        }
        for (index, name) in self.duties.iter().enumerate() {
            let key = || format!("duties[{index}]");
            if Duty::from_name(name).is_none() {
                let known = lease::DUTIES.join(", ");
                return reject(key(), format!("{name:?} is not one of {known}"));
            }
            if self.duties[..index].contains(name) {
                return reject(key(), format!("{name:?} is named twice"));
            }
        }
        Ok(())
    }

    /// Checks the settings, and that `clients`, where the gateway listens for its own clients, is another address.
    ///
    /// # Errors
    ///
    /// [`SettingError`] for the first value that is rejected.
    pub fn check_with_client_listener(&self, clients: SocketAddr) -> Result<(), SettingError> {
        self.check()?;
        if self.listen == Some(clients) {
            let fault = format!(
                "{clients} is where clients connect (listen of the configuration); choose another address"
            );
            return reject("listen", fault);
        }
        Ok(())
    }

    /// Checks the settings of a control member that serves no clients.
    ///
    /// # Errors
    ///
    /// [`SettingError`] for the first value that is rejected; for `me` if this gateway is no voter.
    pub fn check_control_member(&self) -> Result<(), SettingError> {
        self.check()?;
        if !self.is_voter() {
            let hint =
                "a control member must be one: set me to the number of a voter, or use this file with `asterreel run`";
            return reject("me", format!("{} is no voter among peers; {hint}", self.me));
        }
        Ok(())
    }
}

fn reject(key: impl Into<String>, fault: impl Into<String>) -> Result<(), SettingError> {
    Err(SettingError::new(key, fault))
}

//! What an operator sets of the control plane, and its checks: each fault names its key.

use crate::lease::{self, Duty, Timing};
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// What is wrong with a value: its key, and the fault.
pub type Fault = (&'static str, String);

/// A number outside its bounds is a fault of its key.
///
/// # Errors
///
/// The key, and the bounds that its value is outside of.
pub fn within(key: &'static str, value: u64, least: u64, most: u64) -> Result<(), Fault> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err((key, format!("{value} is not within {least} to {most}")))
}

/// The networks of this machine alone.
pub fn this_machine() -> Vec<IpNet> {
    let nets = ["127.0.0.0/8", "::1/128"];
    nets.iter().filter_map(|net| net.parse().ok()).collect()
}

/// A gateway of the fleet: a control member that the others connect to, or one that is served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its number in the fleet; 1 to 65535, each once.
    pub id: u32,
    /// Where its control listener is reached; unused where it does not vote.
    pub address: SocketAddr,
    /// Whether it votes on the log, as control members do; the others are served by them. Default yes.
    #[serde(default = "yes")]
    pub voter: bool,
}

fn yes() -> bool {
    true
}

/// What the gateways of a fleet agree on over a log that the control members share, and this gateway's part in it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// This gateway's number in the fleet, which no other has.
    pub me: u32,
    /// The control members, 3 or 5 peers that vote; gateways that they serve may be listed as well.
    pub peers: Vec<Peer>,
    /// Whether this gateway is only served by the peers, which need not list it. Default no.
    #[serde(default)]
    pub client: bool,
    /// Where this gateway listens for its peers; its port is that of its own address among `peers`. A client has none.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// From where control members and gateways may connect; default this machine.
    #[serde(default = "this_machine")]
    pub allow: Vec<IpNet>,
    /// The folder of the log and its hard state; relative to the operator's file. A client has none.
    #[serde(default)]
    pub store: PathBuf,
    /// The duties that this control member may hold, by name (see [`crate::lease::DUTIES`]). A client holds none.
    #[serde(default)]
    pub duties: Vec<String>,
    /// How long a holder may act after it asked; 100 to 600000, default 3000.
    #[serde(default = "lease_ms")]
    pub lease_ms: u64,
    /// How long after asking a holder asks again; 10 to 60000, default 1000.
    #[serde(default = "renew_ms")]
    pub renew_ms: u64,
    /// How far a clock's rate may be from real time, parts per million; below 100000, default 1000.
    #[serde(default = "drift_ppm")]
    pub drift_ppm: u32,
    /// Added to every wait, for late timers; up to 10000, default 50.
    #[serde(default = "margin_ms")]
    pub margin_ms: u64,
}

fn lease_ms() -> u64 {
    3_000
}

fn renew_ms() -> u64 {
    1_000
}

/// Quartz of ordinary machines keeps within 100 ppm; NTP slews by at most 500 ppm. Twice that.
fn drift_ppm() -> u32 {
    1_000
}

/// Timers of the gateway fire within a few milliseconds under load.
fn margin_ms() -> u64 {
    50
}

impl Lease {
    /// The timing of leases, in microseconds.
    pub fn timing(&self) -> Timing {
        Timing {
            lease_us: self.lease_ms * 1000,
            renew_us: self.renew_ms * 1000,
            drift_ppm: self.drift_ppm,
            margin_us: self.margin_ms * 1000,
        }
    }

    /// The duties, as the lease module numbers them.
    pub fn duties(&self) -> Vec<Duty> {
        self.duties
            .iter()
            .filter_map(|name| Duty::from_name(name))
            .collect()
    }

    /// The control members.
    pub fn voters(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| peer.voter)
    }

    /// Whether this gateway is a control member.
    pub fn votes(&self) -> bool {
        self.voters().any(|peer| peer.id == self.me)
    }

    /// Whether it makes sense, each value and all together; a fault names the key.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn check(&self) -> Result<(), KeyFault> {
        self.check_peers()?;
        if self.client {
            self.check_client()?;
        } else {
            self.check_listed()?;
        }
        within("lease_ms", self.lease_ms, 100, 600_000).map_err(owned)?;
        within("renew_ms", self.renew_ms, 10, 60_000).map_err(owned)?;
        within("margin_ms", self.margin_ms, 0, 10_000).map_err(owned)?;
        self.timing()
            .check()
            .map_err(|error| owned((error.key(), error.to_string())))
    }

    fn check_peers(&self) -> Result<(), KeyFault> {
        for (place, peer) in self.peers.iter().enumerate() {
            if !IDS.contains(&peer.id) {
                return fault(
                    format!("peers[{place}].id"),
                    format!("{} is not within 1 to 65535", peer.id),
                );
            }
            let earlier = &self.peers[..place];
            if earlier.iter().any(|other| other.id == peer.id) {
                return fault(
                    format!("peers[{place}].id"),
                    format!("{} is another peer's already", peer.id),
                );
            }
            if earlier.iter().any(|other| other.address == peer.address) {
                return fault(
                    format!("peers[{place}].address"),
                    format!("{} is another peer's", peer.address),
                );
            }
        }
        let voters = self.voters().count();
        if voters != 3 && voters != 5 {
            let why =
                "a log needs 3 or 5, so that one or two may be lost and a majority still decides";
            return fault("peers", format!("has {voters} voters: {why}"));
        }
        Ok(())
    }

    /// A gateway that its peers need not list: what only a control member uses is refused, as it would do nothing.
    fn check_client(&self) -> Result<(), KeyFault> {
        if !IDS.contains(&self.me) {
            return fault("me", format!("{} is not within 1 to 65535", self.me));
        }
        if self.votes() {
            let me = self.me;
            return fault(
                "me",
                format!("{me} is the number of a peer that votes; a client needs its own"),
            );
        }
        if let Some(listen) = self.listen {
            return fault(
                "listen",
                format!("{listen} is used by control members only; a client has none"),
            );
        }
        if !self.store.as_os_str().is_empty() {
            let store = self.store.display();
            return fault(
                "store",
                format!("{store} is used by control members only; a client keeps no log"),
            );
        }
        if !self.duties.is_empty() {
            let duties = self.duties.join(", ");
            return fault(
                "duties",
                format!("{duties}: held by control members only; a client holds none"),
            );
        }
        Ok(())
    }

    /// A gateway among the peers.
    fn check_listed(&self) -> Result<(), KeyFault> {
        let Some(own) = self.peers.iter().find(|peer| peer.id == self.me) else {
            let why = "list it, or let them serve it with client = True";
            return fault("me", format!("{} is not among peers; {why}", self.me));
        };
        let port = own.address.port();
        match self.listen {
            None => {
                return fault(
                    "listen",
                    format!("is missing; peers reach this gateway on port {port}"),
                )
            }
            Some(listen) if listen.port() == 0 || listen.port() != port => {
                return fault(
                    "listen",
                    format!("{listen} is not on port {port}, where peers reach it"),
                );
            }
            Some(_) => {}
        }
        if self.allow.is_empty() {
            return fault("allow", "names no network: no peer could connect".into());
        }
        if self.store.as_os_str().is_empty() {
            return fault(
                "store",
                "names no folder: the log would not survive a restart".into(),
            );
        }
        if self.duties.is_empty() {
            return fault(
                "duties",
                "names none: there would be nothing to hold".into(),
            );
        }
        for (place, name) in self.duties.iter().enumerate() {
            if Duty::from_name(name).is_none() {
                let known = lease::DUTIES.join(", ");
                return fault(
                    format!("duties[{place}]"),
                    format!("{name:?} is not one of {known}"),
                );
            }
            if self.duties[..place].contains(name) {
                return fault(
                    format!("duties[{place}]"),
                    format!("{name:?} is named twice"),
                );
            }
        }
        Ok(())
    }

    /// Checks it beside the address where the gateway's clients connect.
    ///
    /// # Errors
    ///
    /// The key at fault and what is wrong with its value.
    pub fn beside(&self, clients: SocketAddr) -> Result<(), KeyFault> {
        self.check()?;
        if self.listen == Some(clients) {
            return fault(
                "listen",
                format!("{clients} is where clients connect (listen)"),
            );
        }
        Ok(())
    }

    /// Checks it for a control member that serves no clients.
    ///
    /// # Errors
    ///
    /// The key at fault: this gateway is no voter, or a value is out of bounds.
    pub fn member(&self) -> Result<(), KeyFault> {
        self.check()?;
        if !self.votes() {
            let why =
                "a control member has to be one: give its number, or run this file with `asterreel run`";
            return fault("me", format!("{} is no voter among peers; {why}", self.me));
        }
        Ok(())
    }
}

/// What is wrong with a value of [`Lease`]: its key, down to the place in a list, and the fault.
pub type KeyFault = (String, String);

/// The numbers that gateways may have.
const IDS: RangeInclusive<u32> = 1..=65_535;

fn fault(key: impl Into<String>, fault: String) -> Result<(), KeyFault> {
    Err((key.into(), fault))
}

fn owned((key, fault): Fault) -> KeyFault {
    (key.to_owned(), fault)
}

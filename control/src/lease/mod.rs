//! Leases on a replicated log: which gateway of a fleet holds a duty, until when it may act on it, and which late actions
//! a receiver rejects.
//!
//! A *duty* is work that one gateway of a fleet does for all: polling discovery on the fleet's behalf, health checks of a
//! member that no traffic reaches. It is held under a *lease*, which entries of the log grant, renew and release. Every
//! gateway applies the same entries in the same order ([`Table`]), so all agree on who holds a duty and under which
//! fencing [`Token`]. The log has no expiry times: each gateway measures a lease on its own monotonic clock ([`Timing`]),
//! the holder from just before it requested the lease, the others from when they applied the entry, with a margin for
//! clocks that run at different rates.
//!
//! Invariants:
//!
//! - No two gateways act under one duty at the same time, as long as clocks stay within [`Timing::drift_ppm`].
//! - Whether an entry takes effect depends on the log alone, never on a clock.
//! - Tokens of a duty only grow, so that a [`Fence`] rejects what a holder sends after it stalled past its lease.
//!
//! [`Leases`] handles events and appends the resulting actions; time is an argument. Nothing here sends messages, stores
//! data or reads a clock. Any action may be lost: a lost proposal is made again. `docs/design/lease.md` has the timing
//! argument in full.

mod fence;
mod leases;
mod table;
mod timing;

pub use fence::{Fence, StaleToken};
pub use leases::{Action, Event, Leases, Status};
pub use table::{DutyState, Gap, Outcome, Rejection, Table};
pub use timing::{Timing, TimingError, MAX_DRIFT_PPM};

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The names of all duties. A [`Duty`] is an index into this list: names are only ever appended.
pub const DUTIES: [&str; 2] = ["discovery", "probes"];

/// A duty, as an index into [`DUTIES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty(pub u16);

impl Duty {
    /// The duty with this name, if there is one.
    pub fn from_name(name: &str) -> Option<Duty> {
        DUTIES
            .iter()
            .position(|known| *known == name)
            .map(|index| Duty(index as u16))
    }

    /// Its name; `?` for one that this build does not know.
    pub fn name(self) -> &'static str {
        DUTIES.get(usize::from(self.0)).copied().unwrap_or("?")
    }
}

/// One incarnation of a gateway: its number in the fleet, and a random number drawn when its process starts. The
/// incarnation keeps a restarted gateway from acting under a lease that it requested before the restart: its monotonic
/// clock started anew, so it can't tell when that lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Its number in the fleet, as the operator's file gives it.
    pub gateway: u32,
    /// Drawn at random when the process starts.
    #[serde(rename = "life")]
    pub incarnation: u32,
}

/// The index of an entry in the log, counted from 1; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

/// A fencing token: the index of the entry that granted a lease. It grows with each grant of a duty, so a receiver of
/// actions under a duty rejects those with a smaller token than the newest that it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);

/// An entry of the log about a lease. Every gateway applies the same entries in log order; whether one takes effect
/// depends on the log alone, never on a clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Grants the duty to `holder` if the duty has not changed since the entry `seen`: the claimer waited until the lease
    /// of that entry had expired, or there was none. A compare-and-set on the duty's last change.
    Claim {
        /// The duty that is claimed.
        duty: Duty,
        /// The gateway that claims it, and holds the lease if the entry takes effect.
        holder: NodeIdentity,
        /// The entry that had last changed the duty when the claimer decided, [`Index`] 0 if none had.
        seen: Index,
        /// When the holder requested it, microseconds on its own clock; other gateways ignore it.
        at: Micros,
    },
    /// Extends the lease to its full length, counted from `at`.
    Renew {
        /// The duty whose lease is renewed.
        duty: Duty,
        /// The gateway that holds the lease.
        holder: NodeIdentity,
        /// The token of the lease, from its grant.
        token: Token,
        /// When the holder requested it, microseconds on its own clock; other gateways ignore it.
        at: Micros,
    },
    /// Ends the lease early: its holder has stopped acting on the duty.
    Release {
        /// The duty whose lease ends.
        duty: Duty,
        /// The gateway that held the lease.
        holder: NodeIdentity,
        /// The token of the lease, from its grant.
        token: Token,
    },
}

impl Command {
    /// The duty that it changes.
    pub fn duty(&self) -> Duty {
        match *self {
            Command::Claim { duty, .. }
            | Command::Renew { duty, .. }
            | Command::Release { duty, .. } => duty,
        }
    }

    /// The gateway that proposed it.
    pub fn holder(&self) -> NodeIdentity {
        match *self {
            Command::Claim { holder, .. }
            | Command::Renew { holder, .. }
            | Command::Release { holder, .. } => holder,
        }
    }
}

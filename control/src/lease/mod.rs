//! Which gateway of a fleet holds a duty, until when it may act on it, and which actions of a duty are still taken.
//!
//! A *duty* is work that one gateway of a fleet does for all: calling discovery on the fleet's behalf, probing a cold or
//! silent member for all. It is held under a *lease*, which entries of a replicated log grant, renew and give back.
//! Every gateway applies the same entries in the same order ([`Table`]), so all agree who holds a duty and under which
//! fencing [`Token`]. How long a lease lasts is not written in the log: each gateway measures it on its own monotonic
//! clock ([`Timing`]), the holder from the moment before it asked, the others from the moment they learned, with room
//! for clocks that run at different rates. So no two gateways act at once under one duty; and a holder that stalls past
//! its lease and wakes is stopped by the [`Fence`] of whoever receives its actions.
//!
//! [`Leases`] is the one door of a gateway: events in, actions out, time an argument. Nothing here sends, stores or
//! reads a clock; the log itself (consensus, disk, peers) is the caller's. `docs/design/lease.md` says why it decides as
//! it does, and the timing argument in full.

mod fence;
mod member;
mod table;

pub use fence::Fence;
pub use member::{Action, Event, Leases, Status};
pub use table::{Entry, Gap, Outcome, Refusal, Table};

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The duties that there are, by name; a [`Duty`] is a place in this list, the same in every version.
pub const DUTIES: [&str; 2] = ["discovery", "probes"];

/// A duty, by its place in [`DUTIES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Duty(pub u16);

impl Duty {
    /// The duty of that name, if there is one.
    pub fn named(name: &str) -> Option<Duty> {
        DUTIES
            .iter()
            .position(|known| *known == name)
            .map(|place| Duty(place as u16))
    }

    /// Its name; `?` for one that this version does not know.
    pub fn name(self) -> &'static str {
        DUTIES.get(usize::from(self.0)).copied().unwrap_or("?")
    }
}

/// One incarnation of a gateway: its number in the fleet, and a number drawn when it starts. What a gateway asked for before
/// a restart is then not taken for its own after it: it can't know when that was asked, on a clock that began anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    /// Its number in the fleet, as the operator's file gives it.
    pub gateway: u32,
    /// Drawn at the start of the process.
    #[serde(rename = "life")]
    pub incarnation: u32,
}

/// The place of an entry in the log, counted from 1; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Index(pub u64);

/// A fencing token: the index of the entry that granted a lease. From one grant of a duty to the next it only grows,
/// so whoever receives actions under a duty refuses one with a smaller token than it has seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Token(pub u64);

/// What gateways write into the log about leases. Entries are applied in log order by every gateway alike; whether
/// one takes effect depends on the log alone, never on a clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Grant me the duty, if nothing has been written of it since the entry `seen`: the claimer waited out the lease
    /// that that entry gave, or there was none.
    Claim {
        /// The duty.
        duty: Duty,
        /// Who claims.
        holder: NodeIdentity,
        /// The entry that last changed the duty when the claimer decided, [`Index`] 0 where none had.
        seen: Index,
        /// When it asked, microseconds on its own clock; the others ignore it.
        at: Micros,
    },
    /// Keep the duty for another lease, counted from `at`.
    Renew {
        /// The duty.
        duty: Duty,
        /// Who holds it.
        holder: NodeIdentity,
        /// The lease it holds.
        token: Token,
        /// When it asked, microseconds on its own clock; the others ignore it.
        at: Micros,
    },
    /// Give the duty back: its holder has stopped acting on it.
    Release {
        /// The duty.
        duty: Duty,
        /// Who held it.
        holder: NodeIdentity,
        /// The lease it held.
        token: Token,
    },
}

impl Command {
    /// The duty that it is about.
    pub fn duty(&self) -> Duty {
        match *self {
            Command::Claim { duty, .. }
            | Command::Renew { duty, .. }
            | Command::Release { duty, .. } => duty,
        }
    }

    /// Who wrote it.
    pub fn holder(&self) -> NodeIdentity {
        match *self {
            Command::Claim { holder, .. }
            | Command::Renew { holder, .. }
            | Command::Release { holder, .. } => holder,
        }
    }
}

/// A million: rates are in parts per million.
const MILLION: u128 = 1_000_000;

/// How long leases last, and how far clocks may disagree. Microseconds.
///
/// Clocks are monotonic and may run at rates between `1 - drift` and `1 + drift` of real time; where they start does
/// not matter. A holder acts for at most `lease_us` on its clock after it asked, which is at most
/// `lease_us / (1 - drift)` of real time; another gateway takes the lease as ended after [`Timing::wait_us`] on its own
/// clock from when it learned of it, which is at least `wait_us / (1 + drift)` of real time, and it learned only after
/// the holder asked. `wait_us` is the least with the first no longer than the second, and `margin_us` more for the
/// granularity of timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timing {
    /// How long a holder may act after it asked for a lease or its renewal.
    pub lease_us: Micros,
    /// How long after it asked a holder asks again, and a claimer claims again.
    pub renew_us: Micros,
    /// How far a clock's rate may be from real time, parts per million; below 100,000 (10%).
    pub drift_ppm: u32,
    /// Added to every wait, for timers that fire late and clocks read at a coarse step.
    pub margin_us: Micros,
}

/// The largest drift that is taken: beyond it a clock is broken, not drifting, and leases would last twice as long.
pub const DRIFT_MOST_PPM: u32 = 100_000;

impl Timing {
    /// How long after it learned of the last grant or renewal a gateway waits before it takes a duty as free.
    pub fn wait_us(&self) -> Micros {
        let drift = u128::from(self.drift_ppm.min(DRIFT_MOST_PPM));
        let (above, below) = (MILLION + drift, MILLION - drift);
        let wait = (u128::from(self.lease_us) * above).div_ceil(below);
        Micros::try_from(wait)
            .unwrap_or(Micros::MAX)
            .saturating_add(self.margin_us)
    }

    /// Whether the values make sense together. A fault names the key, in the operator's words (milliseconds).
    ///
    /// # Errors
    ///
    /// The key at fault, in the operator's words, and what is wrong with its value.
    pub fn check(&self) -> Result<(), (&'static str, String)> {
        if self.drift_ppm >= DRIFT_MOST_PPM {
            let fault = format!(
                "{} is not below {DRIFT_MOST_PPM}: such a clock is broken",
                self.drift_ppm
            );
            return Err(("drift_ppm", fault));
        }
        if self.renew_us == 0 {
            return Err(("renew_ms", "is 0: a holder would ask without end".into()));
        }
        // A renewal must be asked for, committed and applied before the lease that it extends runs out.
        let room = self.renew_us.saturating_add(self.margin_us);
        if self.lease_us <= room {
            let fault = format!(
                "{} ms is not longer than renew_ms and margin_ms together ({} ms): no renewal would come in time",
                self.lease_us / 1000,
                room / 1000
            );
            return Err(("lease_ms", fault));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

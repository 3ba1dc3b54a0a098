//! What a session asks before a request goes to the decision module, and while it is there: who asks, where that tenant
//! lives, whether its cell has room, whether its shape is shut out.

use super::bulkhead::{Bounds, Bulkheads, Full, Want};
use super::placement::Placement;
use super::quarantine::{fingerprint, Aftermath, Fingerprint, Knobs, Quarantine, Verdict};
use super::who::{Caller, Who};
use super::{stable_hash, CellId, Epoch};
use crate::interface::{Effect, GroupId, MemberId, Micros};

/// A come-back time for what a move or a placement that is too old holds up. Ours: a move is meant to take a second.
const MOVING: Micros = 250_000;

/// The same for a cell that has lost all its members: about how often those are probed.
pub const LOST: Micros = 1_000_000;

/// What the operator's file says of cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Who asks.
    pub who: Who,
    /// Bounds of cells by name; `default` for those that are not named.
    pub bounds: Vec<(String, Bounds)>,
    /// See `bounds`.
    pub default_bounds: Bounds,
    /// Of poison.
    pub quarantine: Knobs,
}

impl Rules {
    fn bounds_of(&self, placement: &Placement) -> Vec<Bounds> {
        let named = |name: &str| self.bounds.iter().find(|(cell, _)| cell == name).map(|(_, bounds)| *bounds);
        placement.cells().iter().map(|cell| named(&cell.name).unwrap_or(self.default_bounds)).collect()
    }
}

/// Why a request, or a session, is not taken. Nothing of it ran: it may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nobody knows who asks.
    Nobody,
    /// Its cell is full.
    Full(Full, Micros),
    /// Its tenant is being moved: no writes now.
    Moving(Micros),
    /// Its shape or its tenant is quarantined.
    Poison,
    /// The placement is too old to write by.
    Stale(Micros),
    /// Its group has lost all its members, and it may go nowhere else.
    Lost(Micros),
}

impl Refusal {
    /// What to tell the client, and when to come back.
    pub fn told(self) -> (&'static str, Option<Micros>) {
        match self {
            Refusal::Nobody => ("no tenant is known for this client", None),
            Refusal::Full(Full::Requests | Full::Held, wait) => {
                ("the cell has too many requests", Some(wait))
            }
            Refusal::Full(Full::Sessions | Full::Descriptors, wait) => {
                ("the cell has too many connections", Some(wait))
            }
            Refusal::Full(Full::Bytes, wait) => ("the cell holds too much", Some(wait)),
            Refusal::Moving(wait) => ("the tenant is being moved", Some(wait)),
            Refusal::Poison => ("this statement is quarantined", None),
            Refusal::Lost(wait) => ("the cell has lost all its members", Some(wait)),
            Refusal::Stale(wait) => ("the placement is too old", Some(wait)),
        }
    }
}

/// A request that was taken, with what must be given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The cell.
    pub cell: CellId,
    /// The epoch it was placed by.
    pub epoch: Epoch,
    /// The group that serves it, in the cell.
    pub group: GroupId,
    /// Its session's last write may be newer than what replicas of its new home show.
    pub settling: bool,
    tenant: u64,
    shape: Fingerprint,
    bytes: u32,
    at: Micros,
}

/// All of it; see the module.
pub struct Gate {
    rules: Rules,
    placement: Placement,
    bulkheads: Bulkheads,
    quarantine: Quarantine,
    /// Until when the placement may be written by.
    fresh_until: Micros,
}

impl Gate {
    /// With a placement that may be written by until a time.
    pub fn new(rules: Rules, placement: Placement, fresh_until: Micros) -> Gate {
        Gate {
            bulkheads: Bulkheads::new(rules.bounds_of(&placement)),
            quarantine: Quarantine::new(rules.quarantine),
            rules,
            placement,
            fresh_until,
        }
    }

    /// The placement's source was asked and has this; one of an older epoch is refused.
    pub fn placed(&mut self, placement: Placement, fresh_until: Micros) -> bool {
        if placement.epoch < self.placement.epoch {
            return false;
        }
        self.bulkheads.rebound(self.rules.bounds_of(&placement));
        (self.placement, self.fresh_until) = (placement, fresh_until.max(self.fresh_until));
        true
    }

    /// The source was asked and has nothing new.
    pub fn renewed(&mut self, fresh_until: Micros) {
        self.fresh_until = fresh_until.max(self.fresh_until);
    }

    /// The epoch in force.
    pub fn epoch(&self) -> Epoch {
        self.placement.epoch
    }

    /// Takes a request, or says why not; `write` where it changes data.
    pub fn admit(
        &mut self,
        now: Micros,
        caller: &Caller,
        (cluster, key): (u64, &[u8]),
        statement: &[u8],
        write: bool,
    ) -> Result<Admitted, Refusal> {
        let name = self.rules.who.asks(caller).ok_or(Refusal::Nobody)?;
        let place = self.placement.place(name, key);
        if write && place.home.held {
            return Err(Refusal::Moving(MOVING));
        }
        // Who can't hear of a move must not write by what it last knew; reads go on.
        if write && now >= self.fresh_until {
            return Err(Refusal::Stale(MOVING));
        }
        let (tenant, shape) = (stable_hash(name.as_bytes()), fingerprint(name, statement));
        if self.quarantine.admit(now, (tenant, shape), Effect::Safe, false, 0) != Verdict::Go {
            return Err(Refusal::Poison);
        }
        let bytes = u32::try_from(statement.len()).unwrap_or(u32::MAX);
        let cell = place.home.cell;
        self.bulkheads.take(cell, Want::Request(bytes)).map_err(|(full, wait)| Refusal::Full(full, wait))?;
        Ok(Admitted {
            cell,
            epoch: place.home.epoch,
            group: place.group(cluster),
            settling: place.home.settling,
            tenant,
            shape,
            bytes,
            at: now,
        })
    }

    /// Whether an attempt of a request may go out; `victims` is how many of its own attempts a member died under.
    pub fn attempt(
        &mut self,
        now: Micros,
        admitted: &Admitted,
        effect: Effect,
        ran: bool,
        victims: usize,
    ) -> Verdict {
        self.quarantine.admit(now, (admitted.tenant, admitted.shape), effect, ran, victims)
    }

    /// An attempt has ended, and its member fared so.
    pub fn attempted(&mut self, now: Micros, admitted: &Admitted, member: MemberId, after: Aftermath) {
        self.quarantine.ended(now, (admitted.tenant, admitted.shape), member, after);
    }

    /// A request is over.
    pub fn ended(&mut self, now: Micros, admitted: &Admitted) {
        let open = now.saturating_sub(admitted.at);
        self.bulkheads.give_back(admitted.cell, Want::Request(admitted.bytes), open);
    }

    /// Requests in hand and refusals, by cell's name.
    pub fn counts(&self) -> Vec<(String, u32, u64)> {
        let cells = self.placement.cells().iter().enumerate();
        let counts = cells.map(|(at, cell)| {
            let (requests, _, refused) = self.bulkheads.counts(CellId(at as u16));
            (cell.name.clone(), requests, refused)
        });
        counts.collect()
    }

    /// What is quarantined, and until when.
    pub fn quarantined(&self, now: Micros) -> Vec<(Fingerprint, Micros)> {
        self.quarantine.list(now)
    }
}

#[cfg(test)]
mod tests {
    use super::super::placement::{Cell, Home, Order, Published};
    use super::super::who::Source;
    use super::*;

    fn placement(epoch: u64, homes: Vec<(String, Home)>) -> Placement {
        let cell = |name: &str, groups: &[u64]| Cell { name: name.into(), groups: groups.to_vec() };
        let cells = vec![cell("one", &[10, 11]), cell("two", &[20, 21])];
        let published = Published {
            epoch: Epoch(epoch),
            cells,
            spread: 1,
            order: Order::Bytes,
            ranges: vec![],
            homes,
        };
        Placement::new(published).expect("good")
    }

    fn home(cell: u16, epoch: u64, held: bool) -> Home {
        Home { cell: CellId(cell), epoch: Epoch(epoch), held, settling: false }
    }

    fn gate(homes: Vec<(String, Home)>) -> Gate {
        let rules = Rules {
            who: Who::new(vec![Source::User]).expect("good"),
            bounds: vec![("one".into(), Bounds { requests: 1, ..Bounds::default() })],
            ..Rules::default()
        };
        Gate::new(rules, placement(1, homes), 1_000)
    }

    const READ: &[u8] = b"SELECT 1 /* c=a */";

    fn ask(gate: &mut Gate, now: Micros, user: &str, write: bool) -> Result<Admitted, Refusal> {
        let caller = Caller { user, ..Caller::default() };
        gate.admit(now, &caller, (0, b""), READ, write)
    }

    #[test]
    fn a_request_goes_to_its_tenants_cell_and_a_full_cell_refuses_its_own_only() {
        let mut gate = gate(vec![("a".into(), home(0, 1, false)), ("b".into(), home(1, 1, false))]);
        let first = ask(&mut gate, 0, "a", true).expect("room");
        assert!([GroupId(10), GroupId(11)].contains(&first.group));
        assert!(matches!(ask(&mut gate, 0, "a", false), Err(Refusal::Full(Full::Requests, _))));
        assert!([GroupId(20), GroupId(21)].contains(&ask(&mut gate, 0, "b", false).expect("room").group));
        gate.ended(50, &first);
        ask(&mut gate, 60, "a", false).expect("room again");
        assert_eq!(ask(&mut gate, 60, "", false), Err(Refusal::Nobody));
        assert_eq!(gate.counts(), [("one".to_owned(), 1, 1), ("two".to_owned(), 1, 0)]);
    }

    #[test]
    fn writes_wait_out_a_move_and_a_placement_that_is_too_old_while_reads_go_on() {
        let mut gate = gate(vec![("b".into(), home(1, 1, true))]);
        assert_eq!(ask(&mut gate, 0, "b", true), Err(Refusal::Moving(MOVING)));
        ask(&mut gate, 0, "b", false).expect("a read");
        assert!(!gate.placed(placement(0, vec![]), 9_000), "back in epoch");
        assert!(gate.placed(placement(2, vec![("b".into(), home(0, 2, false))]), 2_000));
        let moved = ask(&mut gate, 1_500, "b", true).expect("moved");
        assert!(moved.cell == CellId(0) && moved.epoch == Epoch(2));
        gate.ended(1_600, &moved);
        assert_eq!(ask(&mut gate, 2_000, "b", true), Err(Refusal::Stale(MOVING)));
        ask(&mut gate, 2_000, "b", false).expect("a read");
        gate.renewed(3_000);
        assert!(matches!(ask(&mut gate, 2_000, "b", true), Err(Refusal::Full(..))));
    }

    #[test]
    fn poison_is_shut_out_at_arrival_and_between_attempts() {
        let mut gate = gate(vec![("b".into(), home(1, 1, false))]);
        let admitted = ask(&mut gate, 0, "b", false).expect("room");
        assert_eq!(gate.attempt(0, &admitted, Effect::Safe, true, 2), Verdict::Refuse);
        for member in [MemberId(1), MemberId(2)] {
            assert_eq!(gate.attempt(0, &admitted, Effect::Safe, false, 0), Verdict::Go);
            gate.attempted(0, &admitted, member, Aftermath::Died);
        }
        assert_eq!(gate.attempt(0, &admitted, Effect::Unsafe, true, 0), Verdict::Fail);
        assert_eq!(ask(&mut gate, 0, "b", false), Err(Refusal::Poison));
        assert_eq!(gate.quarantined(0).len(), 1);
    }
}

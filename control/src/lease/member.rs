//! One gateway among those that share duties: when it asks for a lease, when it may act, when it must stop.

use super::{Command, Duty, Index, NodeIdentity, Outcome, Refusal, Table, Timing, Token};
use crate::Micros;
use std::collections::BTreeMap;

/// What a gateway's leases are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway should hold the duty whenever it can.
    Want(Duty),
    /// It should not any more: it stops acting and gives the duty back.
    Unwant(Duty),
    /// An entry of the log was committed, and is applied here in log order.
    Applied {
        /// Its place in the log.
        index: Index,
        /// What it says.
        command: Command,
    },
    /// A timer fired, or any moment worth a look.
    Tick,
    /// The gateway drains: it stops acting on every duty and gives each back, so that another takes it at once.
    Drain,
}

/// What a gateway's leases answer with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the log to append this entry. It may be lost; nothing waits for it.
    Propose(Command),
    /// Act on the duty under `token`, and begin nothing at or after `until` on this gateway's clock.
    Act {
        /// The duty.
        duty: Duty,
        /// To go with every action under it.
        token: Token,
        /// Microseconds on this gateway's clock.
        until: Micros,
    },
    /// Stop acting on the duty now.
    Stop {
        /// The duty.
        duty: Duty,
        /// The lease that has ended.
        token: Token,
    },
    /// Apply the log again from this entry on: one in between was not applied.
    Replay {
        /// The first entry that is missing.
        from: Index,
    },
    /// Tick again at this time at the latest.
    Wake(Micros),
}

/// Who does a duty now, as this gateway can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Status {
    /// This gateway holds it, and may act until `until`.
    Mine {
        /// Its lease.
        token: Token,
        /// Microseconds on this gateway's clock.
        until: Micros,
    },
    /// Another holds it, and may still act.
    Held {
        /// Who.
        holder: NodeIdentity,
        /// Its lease.
        token: Token,
    },
    /// Nobody is known to act on it: a gateway that needs the work does it alone, within its own budgets.
    Free,
}

/// What one gateway keeps of one duty.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Local {
    wanted: bool,
    /// When it applied the entry that last granted, renewed or released the duty.
    learned_at: Option<Micros>,
    /// When it last asked for the duty, by claim or renewal.
    asked_at: Option<Micros>,
    /// The lease that it holds, and until when it may act.
    holding: Option<(Token, Micros)>,
}

/// The leases of one gateway: the one door (see the module's page).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    me: NodeIdentity,
    timing: Timing,
    table: Table,
    duties: BTreeMap<Duty, Local>,
}

impl Leases {
    /// A gateway in its incarnation `me`, that knows nothing of the log yet.
    pub fn new(me: NodeIdentity, timing: Timing) -> Leases {
        Leases {
            me,
            timing,
            table: Table::default(),
            duties: BTreeMap::new(),
        }
    }

    /// What the log says, as far as it was applied here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Takes over what others agreed on, in place of the entries. Each lease counts as learned just now.
    pub fn restore(&mut self, now: Micros, table: Table) {
        self.table = table;
        self.duties
            .values_mut()
            .for_each(|local| local.learned_at = Some(now));
    }

    /// Who does a duty now.
    pub fn status(&self, duty: Duty, now: Micros) -> Status {
        let local = self.duties.get(&duty).copied().unwrap_or_default();
        if let Some((token, until)) = local.holding.filter(|&(_, until)| now < until) {
            return Status::Mine { token, until };
        }
        let entry = self.table.entry(duty);
        let wait = self.timing.wait_us();
        match entry.holder {
            Some(holder)
                if local
                    .learned_at
                    .is_none_or(|at| now < at.saturating_add(wait)) =>
            {
                Status::Held {
                    holder,
                    token: entry.token,
                }
            }
            _ => Status::Free,
        }
    }

    /// The token under which this gateway may act on a duty now, if it may.
    pub fn acting(&self, duty: Duty, now: Micros) -> Option<Token> {
        match self.status(duty, now) {
            Status::Mine { token, .. } => Some(token),
            _ => None,
        }
    }

    /// Takes an event at `now` (microseconds on this gateway's monotonic clock) and says what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Want(duty) => {
                self.duties.entry(duty).or_default().wanted = true;
                self.step(duty, now, out);
            }
            Event::Unwant(duty) => self.give_back(duty, out),
            Event::Drain => {
                let duties: Vec<Duty> = self.duties.keys().copied().collect();
                duties
                    .into_iter()
                    .for_each(|duty| self.give_back(duty, out));
            }
            Event::Applied { index, command } => match self.table.apply(index, &command) {
                Err(gap) => out.push(Action::Replay { from: gap.due }),
                Ok(outcome) => {
                    self.learned(now, outcome, &command, out);
                    self.step(command.duty(), now, out);
                }
            },
            Event::Tick => {
                let duties: Vec<Duty> = self.duties.keys().copied().collect();
                duties
                    .into_iter()
                    .for_each(|duty| self.step(duty, now, out));
            }
        }
        if let Some(at) = self.next(now) {
            out.push(Action::Wake(at));
        }
    }

    /// What an applied entry means here.
    fn learned(&mut self, now: Micros, outcome: Outcome, command: &Command, out: &mut Vec<Action>) {
        let lease = self.timing.lease_us;
        let me = self.me;
        let local = self.duties.entry(command.duty()).or_default();
        match outcome {
            Outcome::Granted {
                duty,
                holder,
                token,
            } => {
                local.learned_at = Some(now);
                if holder != me {
                    if let Some((old, _)) = local.holding.take() {
                        out.push(Action::Stop { duty, token: old });
                    }
                } else if let Command::Claim { at, .. } = *command {
                    // Counted from before it asked: the others learn of it only later.
                    local.hold(duty, token, at.saturating_add(lease), now, out);
                }
            }
            Outcome::Renewed {
                duty,
                holder,
                token,
            } => {
                local.learned_at = Some(now);
                if let (true, Command::Renew { at, .. }) = (holder == me, *command) {
                    local.hold(duty, token, at.saturating_add(lease), now, out);
                }
            }
            Outcome::Released { duty, holder } => {
                local.learned_at = Some(now);
                if let Some((token, _)) = local.holding.take().filter(|_| holder == me) {
                    out.push(Action::Stop { duty, token });
                }
            }
            Outcome::Refused { duty, holder, why } if holder == me => {
                // It may ask again at once: what it asked for was settled.
                local.asked_at = None;
                if let (Refusal::Stale, Command::Renew { token, .. }) = (why, *command) {
                    if let Some((held, _)) = local.holding.filter(|&(held, _)| held == token) {
                        local.holding = None;
                        out.push(Action::Stop { duty, token: held });
                    }
                }
            }
            Outcome::Refused { .. } | Outcome::Again => {}
        }
    }

    /// Stops a lease that ran out, and asks for the duty where it is wanted and may be had.
    fn step(&mut self, duty: Duty, now: Micros, out: &mut Vec<Action>) {
        let (entry, me, wait, renew) = (
            self.table.entry(duty),
            self.me,
            self.timing.wait_us(),
            self.timing.renew_us,
        );
        let local = self.duties.entry(duty).or_default();
        if let Some((token, _)) = local.holding.filter(|&(_, until)| now >= until) {
            local.holding = None;
            out.push(Action::Stop { duty, token });
        }
        if entry.holder.is_some() && local.learned_at.is_none() {
            // Known without having been applied here (a table from elsewhere): its lease counts from now.
            local.learned_at = Some(now);
        }
        if !local.wanted
            || local
                .asked_at
                .is_some_and(|at| now < at.saturating_add(renew))
        {
            return;
        }
        let command = if entry.holder == Some(me) {
            // Ours by the log, whether or not it still runs here: a renewal counts from now.
            Command::Renew {
                duty,
                holder: me,
                token: entry.token,
                at: now,
            }
        } else if entry.holder.is_none()
            || local
                .learned_at
                .is_some_and(|at| now >= at.saturating_add(wait))
        {
            Command::Claim {
                duty,
                holder: me,
                seen: entry.changed,
                at: now,
            }
        } else {
            return;
        };
        local.asked_at = Some(now);
        out.push(Action::Propose(command));
    }

    /// Gives a duty back, and wants it no more.
    fn give_back(&mut self, duty: Duty, out: &mut Vec<Action>) {
        let entry = self.table.entry(duty);
        let local = self.duties.entry(duty).or_default();
        local.wanted = false;
        if let Some((token, _)) = local.holding.take() {
            out.push(Action::Stop { duty, token });
        }
        if entry.holder == Some(self.me) {
            let release = Command::Release {
                duty,
                holder: self.me,
                token: entry.token,
            };
            out.push(Action::Propose(release));
        }
    }

    /// The next moment at which something is due.
    fn next(&self, now: Micros) -> Option<Micros> {
        let wait = self.timing.wait_us();
        let due = self.duties.iter().flat_map(|(&duty, local)| {
            let held = self
                .table
                .entry(duty)
                .holder
                .is_some_and(|holder| holder != self.me);
            let until = local.holding.map(|(_, until)| until);
            let again = local
                .asked_at
                .filter(|_| local.wanted)
                .map(|at| at.saturating_add(self.timing.renew_us));
            let free = local
                .learned_at
                .filter(|_| local.wanted && held)
                .map(|at| at.saturating_add(wait));
            [until, again, free].into_iter().flatten()
        });
        due.filter(|&at| at > now).min()
    }
}

impl Local {
    /// Holds a lease until `until`, if that is still to come and later than what it held.
    fn hold(
        &mut self,
        duty: Duty,
        token: Token,
        until: Micros,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        let later = match self.holding {
            Some((held, was)) if held == token => until > was,
            _ => true,
        };
        if until > now && later {
            self.holding = Some((token, until));
            out.push(Action::Act { duty, token, until });
        }
    }
}

#[cfg(test)]
mod tests;

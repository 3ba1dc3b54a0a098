//! The leases of one gateway: when it claims or renews one, until when it may act, and when it must stop.

use super::{
    Command, Duty, DutyState, Index, NodeIdentity, Outcome, Rejection, Table, Timing, Token,
};
use crate::Micros;
use std::collections::BTreeMap;

/// What happens at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway is to hold the duty: until it drains, it claims the lease whenever the lease is available.
    HoldDuty(Duty),
    /// An entry of the log was committed, and is applied here in log order.
    Applied {
        /// Its index in the log.
        index: Index,
        /// The claim, renewal or release that was committed.
        command: Command,
    },
    /// Time has passed: expired leases end, and due claims and renewals are proposed.
    Tick,
    /// The gateway shuts down gracefully: it stops acting and releases its leases, so that others can claim them at once.
    Drain,
}

/// What the caller is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose this entry to the log. It may be lost: it is proposed again after the renewal interval.
    Propose(Command),
    /// Act on the duty under `token`, and start nothing at or after `until`.
    Act {
        /// The duty whose lease this gateway holds.
        duty: Duty,
        /// The fencing token to send with every action.
        token: Token,
        /// When the lease expires, microseconds on this gateway's clock.
        until: Micros,
    },
    /// Stop acting on the duty now.
    Stop {
        /// The duty whose lease has ended.
        duty: Duty,
        /// The token of the lease that has ended.
        token: Token,
    },
    /// Apply the log again from this entry on: the entry just received is a later one.
    Replay {
        /// The first entry that was not applied.
        from: Index,
    },
    /// Send [`Event::Tick`] at this time at the latest, microseconds on this gateway's clock.
    Wake(Micros),
}

/// Who may act on a duty now, as far as this gateway knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Status {
    /// This gateway holds the lease.
    Held {
        /// The fencing token of the lease, to be sent with every action.
        token: Token,
        /// When the lease expires, microseconds on this gateway's clock.
        until: Micros,
    },
    /// Another gateway holds the lease, and it may not have expired yet.
    HeldByOther {
        /// The gateway that holds the lease, by the last grant applied here.
        holder: NodeIdentity,
        /// The fencing token of the lease.
        token: Token,
    },
    /// No gateway is known to act on the duty: a gateway that needs the work does it for itself, within its own budgets.
    Available,
}

/// A lease that this gateway may act under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    token: Token,
    expires_at: Micros,
}

/// What one gateway knows of a duty beyond the log: times on its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct LocalState {
    wanted: bool,
    /// When the gateway applied the entry that last granted, renewed or released the lease.
    observed_at: Option<Micros>,
    /// When the gateway last proposed a claim or a renewal that was not rejected since.
    requested_at: Option<Micros>,
    held: Option<HeldLease>,
}

/// The leases of one gateway. The documentation of [`crate::lease`] lists the invariants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leases {
    identity: NodeIdentity,
    timing: Timing,
    table: Table,
    duties: BTreeMap<Duty, LocalState>,
}

impl Leases {
    /// The leases of the gateway `identity`, before the first entry of the log.
    pub fn new(identity: NodeIdentity, timing: Timing) -> Leases {
        Leases {
            identity,
            timing,
            table: Table::default(),
            duties: BTreeMap::new(),
        }
    }

    /// The replicated state of all leases, as of the last entry applied here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Replaces the table with one from a snapshot. Every lease in it counts from now, as it may just have been renewed.
    pub fn restore(&mut self, now: Micros, table: Table) {
        self.table = table;
        for local in self.duties.values_mut() {
            local.observed_at = Some(now);
        }
    }

    /// Who may act on a duty now.
    pub fn status(&self, duty: Duty, now: Micros) -> Status {
        let local = self.duties.get(&duty).copied().unwrap_or_default();
        if let Some(held) = local.held.filter(|held| now < held.expires_at) {
            return Status::Held {
                token: held.token,
                until: held.expires_at,
            };
        }
        let state = self.table.duty(duty);
        match state.holder {
            Some(holder) if !local.observed_lease_has_expired(now, self.timing) => {
                Status::HeldByOther {
                    holder,
                    token: state.token,
                }
            }
            _ => Status::Available,
        }
    }

    /// The token under which this gateway may act on a duty now, if it may.
    pub fn active_token(&self, duty: Duty, now: Micros) -> Option<Token> {
        match self.status(duty, now) {
            Status::Held { token, .. } => Some(token),
            Status::HeldByOther { .. } | Status::Available => None,
        }
    }

    /// Handles an event at `now` (microseconds on this gateway's monotonic clock), and appends the resulting actions to
    /// `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::HoldDuty(duty) => {
                self.duties.entry(duty).or_default().wanted = true;
                self.advance(duty, now, actions);
            }
            Event::Drain => {
                for duty in self.known_duties() {
                    self.release(duty, actions);
                }
            }
            Event::Applied { index, command } => match self.table.apply(index, &command) {
                Err(gap) => actions.push(Action::Replay { from: gap.expected }),
                Ok(outcome) => {
                    self.observe(now, outcome, &command, actions);
                    self.advance(command.duty(), now, actions);
                }
            },
            Event::Tick => {
                for duty in self.known_duties() {
                    self.advance(duty, now, actions);
                }
            }
        }
        if let Some(at) = self.next_deadline(now) {
            actions.push(Action::Wake(at));
        }
    }

    fn known_duties(&self) -> Vec<Duty> {
        self.duties.keys().copied().collect()
    }

    /// Updates what this gateway observed and holds after an entry was applied.
    fn observe(
        &mut self,
        now: Micros,
        outcome: Outcome,
        command: &Command,
        actions: &mut Vec<Action>,
    ) {
        let identity = self.identity;
        let lease_us = self.timing.lease_us;
        let local = self.duties.entry(command.duty()).or_default();
        match outcome {
            Outcome::Granted {
                duty,
                holder,
                token,
            } => {
                local.observed_at = Some(now);
                if holder != identity {
                    local.stop(duty, actions);
                } else if let Command::Claim { at, .. } = *command {
                    // The lease counts from the request: the others count from when they apply the grant, which is
                    // later.
                    let lease = HeldLease::new(token, at, lease_us);
                    local.hold(duty, lease, now, actions);
                }
            }
            Outcome::Renewed {
                duty,
                holder,
                token,
            } => {
                local.observed_at = Some(now);
                if let (true, Command::Renew { at, .. }) = (holder == identity, *command) {
                    let lease = HeldLease::new(token, at, lease_us);
                    local.hold(duty, lease, now, actions);
                }
            }
            Outcome::Released { duty, holder } => {
                local.observed_at = Some(now);
                if holder == identity {
                    local.stop(duty, actions);
                }
                local.held = None;
            }
            Outcome::Rejected {
                duty,
                holder,
                reason,
            } if holder == identity => {
                // The request is decided, so the next one may follow at once.
                local.requested_at = None;
                if let (Rejection::NotHolder, Command::Renew { token, .. }) = (reason, *command) {
                    if local.held.is_some_and(|held| held.token == token) {
                        local.stop(duty, actions);
                    }
                }
            }
            Outcome::Rejected { .. } | Outcome::AlreadyApplied => {}
        }
    }

    /// Stops acting if the lease has expired, and claims or renews the lease if it is wanted and available.
    fn advance(&mut self, duty: Duty, now: Micros, actions: &mut Vec<Action>) {
        let state = self.table.duty(duty);
        let local = self.duties.entry(duty).or_default();
        if local.held.is_some_and(|held| now >= held.expires_at) {
            local.stop(duty, actions);
        }
        if state.holder.is_some() && local.observed_at.is_none() {
            // The lease is known from a snapshot alone, so it counts from now.
            local.observed_at = Some(now);
        }
        if !local.may_request(now, self.timing) {
            return;
        }
        let request = local.request(duty, &state, self.identity, self.timing, now);
        if let Some(command) = request {
            local.requested_at = Some(now);
            actions.push(Action::Propose(command));
        }
    }

    /// Stops acting on a duty, releases its lease, and doesn't request it again.
    fn release(&mut self, duty: Duty, actions: &mut Vec<Action>) {
        let state = self.table.duty(duty);
        let local = self.duties.entry(duty).or_default();
        local.wanted = false;
        local.stop(duty, actions);
        if state.holder == Some(self.identity) {
            actions.push(Action::Propose(Command::Release {
                duty,
                holder: self.identity,
                token: state.token,
            }));
        }
    }

    /// The next time after `now` at which a tick is needed.
    fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let deadlines = self.duties.iter().flat_map(|(&duty, local)| {
            let holder = self.table.duty(duty).holder;
            let held_by_other = holder.is_some_and(|holder| holder != self.identity);
            local.deadlines(held_by_other, self.timing)
        });
        deadlines.filter(|&at| at > now).min()
    }
}

impl HeldLease {
    fn new(token: Token, requested_at: Micros, lease_us: Micros) -> HeldLease {
        HeldLease {
            token,
            expires_at: requested_at.saturating_add(lease_us),
        }
    }
}

impl LocalState {
    /// Whether the lease observed last has expired for certain, whichever gateway holds it.
    fn observed_lease_has_expired(&self, now: Micros, timing: Timing) -> bool {
        self.observed_at
            .is_some_and(|at| now >= at.saturating_add(timing.wait_us()))
    }

    /// Whether the lease is wanted, and the last request is a renewal interval old or was rejected.
    fn may_request(&self, now: Micros, timing: Timing) -> bool {
        let pending = self
            .requested_at
            .is_some_and(|at| now < at.saturating_add(timing.renew_us));
        self.wanted && !pending
    }

    /// The renewal or claim to propose now, if there is one.
    fn request(
        &self,
        duty: Duty,
        state: &DutyState,
        identity: NodeIdentity,
        timing: Timing,
        now: Micros,
    ) -> Option<Command> {
        if state.holder == Some(identity) {
            // Also after the lease expired on this gateway's clock: the renewal counts from now.
            return Some(Command::Renew {
                duty,
                holder: identity,
                token: state.token,
                at: now,
            });
        }
        let available = state.holder.is_none() || self.observed_lease_has_expired(now, timing);
        available.then_some(Command::Claim {
            duty,
            holder: identity,
            seen: state.last_change,
            at: now,
        })
    }

    /// Starts or continues acting under a lease, unless it has expired or does not extend the one held.
    fn hold(&mut self, duty: Duty, lease: HeldLease, now: Micros, actions: &mut Vec<Action>) {
        let extends = match self.held {
            Some(held) if held.token == lease.token => lease.expires_at > held.expires_at,
            _ => true,
        };
        if lease.expires_at > now && extends {
            self.held = Some(lease);
            actions.push(Action::Act {
                duty,
                token: lease.token,
                until: lease.expires_at,
            });
        }
    }

    /// Stops acting under the lease that is held, if there is one.
    fn stop(&mut self, duty: Duty, actions: &mut Vec<Action>) {
        if let Some(held) = self.held.take() {
            actions.push(Action::Stop {
                duty,
                token: held.token,
            });
        }
    }

    /// When the lease held expires, when the next request may follow, and when the lease of another gateway has expired
    /// for certain.
    fn deadlines(self, held_by_other: bool, timing: Timing) -> impl Iterator<Item = Micros> {
        let expiry = self.held.map(|held| held.expires_at);
        let next_request = self
            .requested_at
            .filter(|_| self.wanted)
            .map(|at| at.saturating_add(timing.renew_us));
        let observed_expiry = self
            .observed_at
            .filter(|_| self.wanted && held_by_other)
            .map(|at| at.saturating_add(timing.wait_us()));
        [expiry, next_request, observed_expiry]
            .into_iter()
            .flatten()
    }
}

#[cfg(test)]
mod tests;

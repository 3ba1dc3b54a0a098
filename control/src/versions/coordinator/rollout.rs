//! The rollout of proposed versions: acks that are collected until the log has them, and gateways that hold one up.
//!
//! Acks are written to the log in batches: at once where they complete a version, otherwise after a short delay. A gateway
//! that has not acked within the wait is a straggler, and its registration is not renewed any more.

use super::membership::Membership;
use crate::lease::{NodeIdentity, Token};
use crate::versions::{Command, Proposal, Table, Topic};
use crate::Micros;
use std::collections::BTreeMap;

/// Batches of acks in each renewal interval, where they do not complete a version.
pub(super) const ACK_BATCHES_PER_RENEWAL: u64 = 8;

/// A gateway's ack of a proposed version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CollectedAck {
    who: NodeIdentity,
    token: Token,
    received_at: Micros,
    /// When an entry with it was last proposed to the log.
    proposed_at: Option<Micros>,
}

impl CollectedAck {
    /// Whether an entry with it may be proposed (again).
    fn is_proposable(&self, now: Micros, renew_us: Micros) -> bool {
        self.proposed_at
            .is_none_or(|at| now >= at.saturating_add(renew_us))
    }

    /// When its batch is written at the latest.
    fn write_by(&self, renew_us: Micros) -> Micros {
        self.received_at
            .saturating_add(renew_us / ACK_BATCHES_PER_RENEWAL)
    }

    /// Whether it is time for an entry with it.
    fn is_due(&self, now: Micros, renew_us: Micros, completes: bool) -> bool {
        match self.proposed_at {
            Some(_) => self.is_proposable(now, renew_us),
            None => completes || now >= self.write_by(renew_us),
        }
    }
}

/// The acks of one version that the log may not have yet, by gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct CollectedAcks {
    number: u64,
    by_gateway: BTreeMap<u32, CollectedAck>,
}

/// The rollouts of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Rollout {
    /// Since when each topic's proposal has been known here.
    proposed_at: BTreeMap<Topic, Micros>,
    acks: BTreeMap<Topic, CollectedAcks>,
}

impl Rollout {
    /// Begins an epoch: gateways have a full wait for what is proposed already.
    pub(super) fn begin(now: Micros, table: &Table) -> Rollout {
        let proposed = table
            .topics()
            .filter(|(_, status)| status.proposal.is_some());
        Rollout {
            proposed_at: proposed.map(|(topic, _)| (topic, now)).collect(),
            acks: BTreeMap::new(),
        }
    }

    /// A version of a topic was proposed.
    pub(super) fn open(&mut self, topic: Topic, now: Micros) {
        self.proposed_at.insert(topic, now);
    }

    /// A topic's version was activated or rejected.
    pub(super) fn close(&mut self, topic: Topic) {
        self.proposed_at.remove(&topic);
        self.acks.remove(&topic);
    }

    /// Gives all gateways a full wait again, as a new one has registered under a proposal.
    pub(super) fn restart_waits(&mut self, now: Micros) {
        self.proposed_at.values_mut().for_each(|at| *at = now);
    }

    /// Does not count time in which this member did not run as delay of the gateways.
    pub(super) fn discount_stall(&mut self, stalled_us: Micros) {
        for at in self.proposed_at.values_mut() {
            *at = at.saturating_add(stalled_us);
        }
    }

    /// Keeps an ack until the log has it. A repeated one changes nothing.
    pub(super) fn collect(
        &mut self,
        now: Micros,
        who: NodeIdentity,
        token: Token,
        topic: Topic,
        number: u64,
    ) {
        let acks = self.acks.entry(topic).or_default();
        if acks.number != number {
            *acks = CollectedAcks {
                number,
                by_gateway: BTreeMap::new(),
            };
        }
        let known = acks.by_gateway.get(&who.gateway);
        if known.is_none_or(|ack| ack.token != token) {
            let ack = CollectedAck {
                who,
                token,
                received_at: now,
                proposed_at: None,
            };
            acks.by_gateway.insert(who.gateway, ack);
        }
    }

    /// Whether a gateway's ack of the topic's proposal has arrived, whether or not the log has it yet.
    fn has_acked(&self, table: &Table, topic: Topic, gateway: u32) -> bool {
        let proposal = proposal(table, topic);
        let logged = proposal.is_some_and(|proposal| proposal.acked_by.contains(&gateway));
        let number = proposal.map(|proposal| proposal.version.number);
        let collected = self
            .acks
            .get(&topic)
            .filter(|acks| Some(acks.number) == number);
        logged || collected.is_some_and(|acks| acks.by_gateway.contains_key(&gateway))
    }

    /// Whether a gateway has held up a version for `wait_us` or longer.
    pub(super) fn is_straggler(
        &self,
        table: &Table,
        gateway: u32,
        now: Micros,
        wait_us: Micros,
    ) -> bool {
        let mut overdue = self
            .proposed_at
            .iter()
            .filter(|(_, at)| now >= at.saturating_add(wait_us));
        overdue.any(|(topic, _)| !self.has_acked(table, *topic, gateway))
    }

    /// Whether all registered gateways that are to stay have acked a topic's proposal.
    fn is_complete(&self, table: &Table, membership: &Membership, topic: Topic) -> bool {
        let gateways = table
            .registrations()
            .map(|registration| registration.who.gateway);
        let mut staying = gateways.filter(|gateway| !membership.is_expiring(*gateway));
        staying.all(|gateway| self.has_acked(table, topic, gateway))
    }

    /// The entries of acks that are to be proposed to the log now, one a topic at most.
    pub(super) fn take_due(
        &mut self,
        now: Micros,
        renew_us: Micros,
        table: &Table,
        membership: &Membership,
    ) -> Vec<Command> {
        let topics: Vec<Topic> = self.acks.keys().copied().collect();
        let batches = topics.into_iter().filter_map(|topic| {
            let completes = self.is_complete(table, membership, topic);
            let acks = self.acks.get_mut(&topic)?;
            acks.drop_logged(proposal(table, topic));
            acks.take_batch(now, renew_us, topic, completes)
        });
        batches.collect()
    }

    /// When each collected ack is to be written at the latest.
    pub(super) fn write_deadlines(&self, renew_us: Micros) -> impl Iterator<Item = Micros> + '_ {
        let acks = self.acks.values();
        acks.flat_map(|acks| acks.by_gateway.values())
            .map(move |ack| ack.write_by(renew_us))
    }
}

impl CollectedAcks {
    /// Drops the acks that the log has.
    fn drop_logged(&mut self, proposal: Option<&Proposal>) {
        let logged =
            |gateway: u32| proposal.is_some_and(|proposal| proposal.acked_by.contains(&gateway));
        self.by_gateway.retain(|gateway, _| !logged(*gateway));
    }

    /// All acks that may be written, once one of them is due.
    fn take_batch(
        &mut self,
        now: Micros,
        renew_us: Micros,
        topic: Topic,
        completes: bool,
    ) -> Option<Command> {
        let mut acks = self.by_gateway.values();
        if !acks.any(|ack| ack.is_due(now, renew_us, completes)) {
            return None;
        }
        let proposable = self
            .by_gateway
            .values_mut()
            .filter(|ack| ack.is_proposable(now, renew_us));
        let by = proposable.map(|ack| {
            ack.proposed_at = Some(now);
            (ack.who, ack.token)
        });
        Some(Command::Ack {
            topic,
            number: self.number,
            by: by.collect(),
        })
    }
}

/// A topic's proposal in the log's table.
fn proposal(table: &Table, topic: Topic) -> Option<&Proposal> {
    table
        .topic(topic)
        .and_then(|status| status.proposal.as_ref())
}

//! The rollout of proposed versions: it collects acks until they are in the log, and finds the gateways that delay it.
//!
//! Acks are written to the log in batches: at once if they complete a version, otherwise after a short delay. A gateway
//! that has not acked within the wait is a straggler, and its registration is no longer renewed.

use super::membership::Membership;
use crate::lease::{NodeIdentity, Token};
use crate::versions::{Command, Proposal, Table, Topic};
use crate::Micros;
use std::collections::BTreeMap;

/// Maximum number of batches of acks per renewal interval. A batch that completes a version is written at once.
pub(super) const ACK_BATCHES_PER_RENEWAL: u64 = 8;

/// A gateway's ack of a proposed version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct CollectedAck {
    identity: NodeIdentity,
    token: Token,
    received_at: Micros,
    /// When an entry with it was last proposed to the log.
    proposed_at: Option<Micros>,
}

impl CollectedAck {
    /// Whether a batch may include it: no entry with it was proposed within the last renewal interval.
    fn is_proposable(&self, now: Micros, renew_us: Micros) -> bool {
        self.proposed_at
            .is_none_or(|at| now >= at.saturating_add(renew_us))
    }

    /// The deadline for the first batch with it.
    fn write_by(&self, renew_us: Micros) -> Micros {
        self.received_at
            .saturating_add(renew_us / ACK_BATCHES_PER_RENEWAL)
    }

    /// Whether a batch with it is due now. `completes` tells whether the collected acks complete the version.
    fn is_due(&self, now: Micros, renew_us: Micros, completes: bool) -> bool {
        match self.proposed_at {
            Some(_) => self.is_proposable(now, renew_us),
            None => completes || now >= self.write_by(renew_us),
        }
    }
}

/// The acks of one version that may not be in the log yet, by gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct CollectedAcks {
    number: u64,
    by_gateway: BTreeMap<u32, CollectedAck>,
}

/// The rollouts of one epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Rollout {
    /// By topic with a proposal, when the wait for its acks began.
    proposed_at: BTreeMap<Topic, Micros>,
    acks: BTreeMap<Topic, CollectedAcks>,
}

impl Rollout {
    /// Begins an epoch. Gateways get a full wait to ack the versions that are already proposed.
    pub(super) fn begin(now: Micros, table: &Table) -> Rollout {
        let proposed = table
            .topics()
            .filter(|(_, status)| status.proposal.is_some());
        Rollout {
            proposed_at: proposed.map(|(topic, _)| (topic, now)).collect(),
            acks: BTreeMap::new(),
        }
    }

    /// Begins the rollout of a topic's proposed version.
    pub(super) fn open(&mut self, topic: Topic, now: Micros) {
        self.proposed_at.insert(topic, now);
    }

    /// Ends the rollout of a topic's version, which was activated or rejected.
    pub(super) fn close(&mut self, topic: Topic) {
        self.proposed_at.remove(&topic);
        self.acks.remove(&topic);
    }

    /// Gives all gateways a full wait again, because one has registered while a version is proposed.
    pub(super) fn restart_waits(&mut self, now: Micros) {
        self.proposed_at.values_mut().for_each(|at| *at = now);
    }

    /// Excludes `stalled_us`, in which this member did not run, from the wait for acks.
    pub(super) fn discount_stall(&mut self, stalled_us: Micros) {
        for at in self.proposed_at.values_mut() {
            *at = at.saturating_add(stalled_us);
        }
    }

    /// Keeps an ack until it is in the log. A repeated one changes nothing.
    pub(super) fn collect(
        &mut self,
        now: Micros,
        identity: NodeIdentity,
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
        let known = acks.by_gateway.get(&identity.gateway);
        if known.is_none_or(|ack| ack.token != token) {
            let ack = CollectedAck {
                identity,
                token,
                received_at: now,
                proposed_at: None,
            };
            acks.by_gateway.insert(identity.gateway, ack);
        }
    }

    /// Whether a gateway's ack of the topic's proposal has arrived, even if it is not in the log yet.
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

    /// Whether a version has waited for this gateway's ack for `wait_us` or longer.
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

    /// Whether all registered gateways have acked a topic's proposal, apart from those whose registrations expire.
    fn is_complete(&self, table: &Table, membership: &Membership, topic: Topic) -> bool {
        let gateways = table
            .registrations()
            .map(|registration| registration.identity.gateway);
        let mut staying = gateways.filter(|gateway| !membership.is_expiring(*gateway));
        staying.all(|gateway| self.has_acked(table, topic, gateway))
    }

    /// The batches of acks to propose to the log now, at most one per topic.
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

    /// The deadlines for the first batch with each collected ack.
    pub(super) fn write_deadlines(&self, renew_us: Micros) -> impl Iterator<Item = Micros> + '_ {
        let acks = self.acks.values();
        acks.flat_map(|acks| acks.by_gateway.values())
            .map(move |ack| ack.write_by(renew_us))
    }
}

impl CollectedAcks {
    /// Drops the acks that are in the log.
    fn drop_logged(&mut self, proposal: Option<&Proposal>) {
        let logged =
            |gateway: u32| proposal.is_some_and(|proposal| proposal.acked_by.contains(&gateway));
        self.by_gateway.retain(|gateway, _| !logged(*gateway));
    }

    /// A batch of all acks that it may include, if one of them is due.
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
            (ack.identity, ack.token)
        });
        Some(Command::Ack {
            topic,
            number: self.number,
            by: by.collect(),
        })
    }
}

/// The topic's proposal in the replicated table.
fn proposal(table: &Table, topic: Topic) -> Option<&Proposal> {
    table
        .topic(topic)
        .and_then(|status| status.proposal.as_ref())
}

//! The replicated table of registrations, topics and the audit. Log entries are applied to it one by one.
//!
//! Invariants: the same log gives the same table at every control member; a version becomes active only when every
//! registered gateway has acked it; an expiry takes effect only if it was decided in the latest epoch. The table has no
//! clock: the leader decides when a gateway is late, and the decision takes effect here through an entry.

use super::{
    truncate_reason, Audit, Command, Content, Formats, Index, NodeIdentity, Outcome, Proposal,
    Rejection, Token, Topic, TopicStatus, Version, MAX_CONTENT_BYTES,
};
use crate::lease::Gap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway's membership in the fleet. A gateway without one gets no permission to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Registration {
    /// The registered incarnation of the gateway.
    #[serde(rename = "who")]
    pub identity: NodeIdentity,
    /// The index of the entry that granted it: the fencing token of every action under it.
    pub token: Token,
    /// The formats that the gateway supports.
    pub formats: Formats,
}

/// The replicated state of registrations, versions and the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    #[serde(rename = "seats")]
    registrations: BTreeMap<u32, Registration>,
    topics: BTreeMap<Topic, TopicStatus>,
    audit: Audit,
    applied: Index,
    /// The index of the entry that began the latest epoch; 0 before the first.
    epoch: Index,
}

impl Table {
    /// All registrations, in the order of gateway numbers.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.registrations.values()
    }

    /// The registration of this incarnation of a gateway.
    pub fn registration(&self, identity: NodeIdentity) -> Option<&Registration> {
        self.registrations
            .get(&identity.gateway)
            .filter(|registration| registration.identity == identity)
    }

    /// The versions of a topic; `None` if no version of it was ever proposed.
    pub fn topic(&self, topic: Topic) -> Option<&TopicStatus> {
        self.topics.get(&topic)
    }

    /// The topics for which a version was ever proposed.
    pub fn topics(&self) -> impl Iterator<Item = (Topic, &TopicStatus)> {
        self.topics.iter().map(|(topic, status)| (*topic, status))
    }

    /// How many actions each gateway reported under each version.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }

    /// The index of the last applied entry. Only entries on versions are counted.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The index of the entry that began the latest epoch; 0 before the first.
    pub fn epoch(&self) -> Index {
        self.epoch
    }

    /// The index of the entry that last changed any topic; 0 before the first.
    pub fn last_changed(&self) -> Index {
        self.topics
            .values()
            .map(|status| status.last_changed)
            .max()
            .unwrap_or_default()
    }

    /// The number of the proposed version that keeps new gateways from joining until the registered ones have decided on it.
    /// `None` if no version is proposed, or no gateway is registered.
    pub fn pending_proposal(&self) -> Option<u64> {
        let proposal = self
            .topics
            .values()
            .find_map(|status| status.proposal.as_ref());
        proposal
            .filter(|_| !self.registrations.is_empty())
            .map(|proposal| proposal.version.number)
    }

    /// Checks whether a gateway may be registered now.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn check_join(&self, identity: NodeIdentity, formats: Formats) -> Result<(), Rejection> {
        if self.registrations.contains_key(&identity.gateway) {
            return Err(Rejection::AlreadyRegistered);
        }
        if let Some(number) = self.pending_proposal() {
            return Err(Rejection::ProposalPending(number));
        }
        let mut active = self
            .topics
            .values()
            .filter_map(|status| status.active.as_ref());
        match active.find(|version| !formats.supports(version.content.format)) {
            Some(version) => Err(Rejection::UnsupportedFormat {
                needed: version.content.format,
            }),
            None => Ok(()),
        }
    }

    /// Checks whether a gateway may propose this version now.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn check_proposal(
        &self,
        identity: NodeIdentity,
        token: Token,
        topic: Topic,
        replaces: u64,
        content: &Content,
    ) -> Result<(), Rejection> {
        self.check_registered(identity, token)?;
        let status = self.topics.get(&topic);
        if let Some(proposal) = status.and_then(|status| status.proposal.as_ref()) {
            return Err(Rejection::ProposalPending(proposal.version.number));
        }
        let number = status.map_or(0, TopicStatus::active_number);
        if number != replaces {
            return Err(Rejection::ActiveVersionChanged(number));
        }
        if content.bytes.len() > MAX_CONTENT_BYTES {
            return Err(Rejection::ContentTooLong);
        }
        Ok(())
    }

    /// Applies the entry at `index`, which must be the next one. An entry that was applied before has no effect.
    ///
    /// # Errors
    ///
    /// [`Gap`] if entries before it were not applied; nothing changes then.
    pub fn apply(
        &mut self,
        index: Index,
        command: &Command,
        out: &mut Vec<Outcome>,
    ) -> Result<(), Gap> {
        if index <= self.applied {
            return Ok(());
        }
        let expected = Index(self.applied.0 + 1);
        if index != expected {
            return Err(Gap {
                expected,
                found: index,
            });
        }
        self.applied = index;
        let outcome = self.execute(index, command);
        out.push(outcome.unwrap_or_else(Outcome::Rejected));
        self.activate_complete(index, out);
        Ok(())
    }

    fn execute(&mut self, index: Index, command: &Command) -> Result<Outcome, Rejection> {
        match command {
            Command::BeginEpoch { identity } => {
                self.epoch = index;
                Ok(Outcome::EpochBegun(*identity))
            }
            Command::Join { identity, formats } => self.join(index, *identity, *formats),
            Command::Leave { identity, token } => {
                let registration = self.check_registered(*identity, *token)?;
                self.remove(registration);
                Ok(Outcome::Left(registration))
            }
            Command::Expire {
                identity,
                token,
                epoch,
            } => {
                let registration = self.check_registered(*identity, *token)?;
                if *epoch != self.epoch {
                    return Err(Rejection::StaleEpoch);
                }
                self.remove(registration);
                Ok(Outcome::Expired(registration))
            }
            Command::ProposeVersion {
                identity,
                token,
                topic,
                replaces,
                content,
            } => {
                self.check_proposal(*identity, *token, *topic, *replaces, content)?;
                Ok(self.propose(index, *identity, *topic, content))
            }
            Command::Ack { topic, number, by } => self.ack(*topic, *number, by),
            Command::Nack {
                identity,
                token,
                topic,
                number,
                reason,
            } => {
                self.check_registered(*identity, *token)?;
                self.nack(index, *identity, *topic, *number, reason)
            }
            Command::Report {
                identity,
                sequence,
                spans,
            } => {
                let counted = self.audit.record_report(*identity, *sequence, spans);
                let reported = Outcome::Reported {
                    identity: *identity,
                    sequence: *sequence,
                };
                counted.then_some(reported).ok_or(Rejection::AlreadyDecided)
            }
        }
    }

    /// Returns the current registration of the gateway if it has this token.
    fn check_registered(
        &self,
        identity: NodeIdentity,
        token: Token,
    ) -> Result<Registration, Rejection> {
        let registration = self
            .registration(identity)
            .filter(|registration| registration.token == token);
        registration.copied().ok_or(Rejection::StaleRegistration)
    }

    fn remove(&mut self, registration: Registration) {
        let gateway = registration.identity.gateway;
        self.registrations.remove(&gateway);
        let proposals = self
            .topics
            .values_mut()
            .filter_map(|status| status.proposal.as_mut());
        for proposal in proposals {
            proposal.acked_by.remove(&gateway);
        }
    }

    fn join(
        &mut self,
        index: Index,
        identity: NodeIdentity,
        formats: Formats,
    ) -> Result<Outcome, Rejection> {
        self.check_join(identity, formats)?;
        let registration = Registration {
            identity,
            token: Token(index.0),
            formats,
        };
        self.registrations.insert(identity.gateway, registration);
        Ok(Outcome::Registered(registration))
    }

    fn propose(
        &mut self,
        index: Index,
        by: NodeIdentity,
        topic: Topic,
        content: &Content,
    ) -> Outcome {
        let version = Version {
            number: index.0,
            content: content.clone(),
        };
        let status = self.topics.entry(topic).or_default();
        status.proposal = Some(Proposal {
            version,
            by,
            acked_by: BTreeSet::new(),
        });
        status.last_changed = index;
        Outcome::VersionProposed {
            topic,
            number: index.0,
        }
    }

    /// Returns the topic if the version with this number is proposed for it.
    fn proposed_topic(&mut self, topic: Topic, number: u64) -> Result<&mut TopicStatus, Rejection> {
        let status = self
            .topics
            .get_mut(&topic)
            .filter(|status| status.is_proposed(number));
        status.ok_or(Rejection::AlreadyDecided)
    }

    fn ack(
        &mut self,
        topic: Topic,
        number: u64,
        by: &[(NodeIdentity, Token)],
    ) -> Result<Outcome, Rejection> {
        let registered = by
            .iter()
            .filter(|(identity, token)| self.check_registered(*identity, *token).is_ok());
        let gateways: Vec<u32> = registered.map(|(identity, _)| identity.gateway).collect();
        if gateways.is_empty() {
            return Err(Rejection::StaleRegistration);
        }
        let status = self.proposed_topic(topic, number)?;
        let proposal = status.proposal.as_mut().ok_or(Rejection::AlreadyDecided)?;
        proposal.acked_by.extend(gateways);
        Ok(Outcome::Acked { topic, number })
    }

    fn nack(
        &mut self,
        index: Index,
        by: NodeIdentity,
        topic: Topic,
        number: u64,
        reason: &str,
    ) -> Result<Outcome, Rejection> {
        let status = self.proposed_topic(topic, number)?;
        status.proposal = None;
        status.last_changed = index;
        let reason = truncate_reason(reason);
        Ok(Outcome::ProposalRejected {
            topic,
            number,
            by,
            reason,
        })
    }

    /// Activates the proposals that all registered gateways have acked.
    fn activate_complete(&mut self, index: Index, out: &mut Vec<Outcome>) {
        let registrations = &self.registrations;
        if registrations.is_empty() {
            return;
        }
        for (topic, status) in &mut self.topics {
            let acked_by_all = |proposal: &mut Proposal| {
                registrations
                    .keys()
                    .all(|gateway| proposal.acked_by.contains(gateway))
            };
            if let Some(proposal) = status.proposal.take_if(acked_by_all) {
                let (number, previous) = (proposal.version.number, status.active_number());
                status.previous = previous;
                status.active = Some(proposal.version);
                status.last_changed = index;
                out.push(Outcome::Activated {
                    topic: *topic,
                    number,
                    previous,
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;

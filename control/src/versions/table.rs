//! What the log says of versions and registrations: applied entry by entry, alike at every control member.

use super::{
    truncate_reason, Audit, Command, Content, Formats, Index, NodeIdentity, Token, Topic,
    MAX_CONTENT_BYTES,
};
use crate::lease::Gap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A gateway's right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Registration {
    /// Whose.
    pub who: NodeIdentity,
    /// The entry that gave it: goes with every action, and an older one is refused.
    pub token: Token,
    /// What its gateway understands.
    pub formats: Formats,
}

/// A version of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The entry that offered it: no two versions have the same.
    pub number: u64,
    /// What it says.
    pub content: Content,
}

/// A version that was offered and is not in force yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// What is offered.
    pub version: Version,
    /// By whom.
    pub by: NodeIdentity,
    /// The gateways that have accepted it.
    pub accepted: BTreeSet<u32>,
}

/// How a topic stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TopicStatus {
    /// The version in force, once there is one.
    #[serde(rename = "in_force")]
    pub active: Option<Version>,
    /// The number of the one before it; 0 is none.
    #[serde(rename = "before")]
    pub previous: u64,
    /// The one that is offered.
    #[serde(rename = "open")]
    pub proposal: Option<Proposal>,
    /// The entry that last changed any of these.
    pub changed: Index,
}

impl TopicStatus {
    /// The number of the version in force; 0 is none.
    pub fn number(&self) -> u64 {
        self.active.as_ref().map_or(0, |version| version.number)
    }

    /// Whether the version of this number is offered.
    pub fn opened(&self, number: u64) -> bool {
        self.proposal
            .as_ref()
            .is_some_and(|open| open.version.number == number)
    }
}

/// What an entry did.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A control member began an epoch, which has the index of this entry.
    EpochBegun(NodeIdentity),
    /// A gateway has a registration.
    Registered(Registration),
    /// It gave it back.
    Left(Registration),
    /// It lost it.
    Expired(Registration),
    /// A version was offered.
    VersionProposed {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
    },
    /// Gateways accepted a version, which waits for others.
    Acked {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
    },
    /// A version is in force.
    Activated {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// The one before it; 0 is none.
        previous: u64,
    },
    /// A version was refused; the former stays.
    ProposalRejected {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// Who refused it.
        by: NodeIdentity,
        /// Why.
        reason: String,
    },
    /// A report was counted.
    Reported {
        /// Whose.
        who: NodeIdentity,
        /// Which.
        sequence: u64,
    },
    /// The entry took no effect.
    Refused(Refusal),
}

/// Why an entry took no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// A registration that is not the gateway's, or not any more.
    #[error("its registration was taken away; it has to join again")]
    Stale,
    /// The gateway has a registration, from an earlier incarnation perhaps, whose right may still run.
    #[error("an earlier incarnation of this gateway may still act; it may join once that one's right has run out")]
    Occupied,
    /// A version in force, or offered, that the gateway does not understand.
    #[error("format {needed} is needed; start a build that understands it")]
    Format {
        /// What it would have to understand.
        needed: u32,
    },
    /// Decided by a control member that leads no more.
    #[error("another control member leads since; that one decides who keeps its registration")]
    Epoch,
    /// Another version is offered already.
    #[error("version {0} is being agreed on; ask again once it is in force or refused")]
    Busy(u64),
    /// The offer does not follow the version in force.
    #[error("version {0} is in force; look at it and offer again")]
    Behind(u64),
    /// The content is longer than is kept.
    #[error("its content is longer than {MAX_CONTENT_BYTES} bytes")]
    TooLong,
    /// A verdict on a version that is not open, or a report that is not the next.
    #[error("it was settled already")]
    Settled,
}

/// All that is agreed on versions. Deterministic: the same entries give the same table on every gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    #[serde(rename = "seats")]
    registrations: BTreeMap<u32, Registration>,
    topics: BTreeMap<Topic, TopicStatus>,
    audit: Audit,
    applied: Index,
    /// The entry by which the last leader began; 0 before the first.
    epoch: Index,
}

impl Table {
    /// Who may act, by gateway.
    pub fn registrations(&self) -> impl Iterator<Item = &Registration> {
        self.registrations.values()
    }

    /// The registration of a gateway in this incarnation.
    pub fn registration(&self, who: NodeIdentity) -> Option<&Registration> {
        self.registrations
            .get(&who.gateway)
            .filter(|registration| registration.who == who)
    }

    /// How a topic stands; one that was never offered has nothing in force.
    pub fn topic(&self, topic: Topic) -> Option<&TopicStatus> {
        self.topics.get(&topic)
    }

    /// The topics that were ever offered.
    pub fn topics(&self) -> impl Iterator<Item = (Topic, &TopicStatus)> {
        self.topics.iter().map(|(topic, status)| (*topic, status))
    }

    /// Who acted on which version.
    pub fn audit(&self) -> &Audit {
        &self.audit
    }

    /// The last entry applied, counted over entries on versions alone.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The entry that began the epoch of the last leader; 0 before the first.
    pub fn epoch(&self) -> Index {
        self.epoch
    }

    /// The entry that last changed how a topic stands; 0 before the first.
    pub fn changed(&self) -> Index {
        self.topics
            .values()
            .map(|status| status.changed)
            .max()
            .unwrap_or_default()
    }

    /// The version that a newcomer has to wait for: the registrations that decide on it are those that there are.
    pub fn awaited(&self) -> Option<u64> {
        let open = self
            .topics
            .values()
            .find_map(|status| status.proposal.as_ref());
        open.filter(|_| !self.registrations.is_empty())
            .map(|open| open.version.number)
    }

    /// Whether a gateway may have a registration now, that it has none.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn joinable(&self, who: NodeIdentity, formats: Formats) -> Result<(), Refusal> {
        if self.registrations.contains_key(&who.gateway) {
            return Err(Refusal::Occupied);
        }
        if let Some(number) = self.awaited() {
            return Err(Refusal::Busy(number));
        }
        let mut active = self
            .topics
            .values()
            .filter_map(|status| status.active.as_ref());
        match active.find(|version| !formats.understand(version.content.format)) {
            Some(version) => Err(Refusal::Format {
                needed: version.content.format,
            }),
            None => Ok(()),
        }
    }

    /// Whether a version may be offered now.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn offerable(
        &self,
        who: NodeIdentity,
        token: Token,
        topic: Topic,
        replaces: u64,
        content: &Content,
    ) -> Result<(), Refusal> {
        self.registered(who, token)?;
        let status = self.topics.get(&topic);
        if let Some(open) = status.and_then(|status| status.proposal.as_ref()) {
            return Err(Refusal::Busy(open.version.number));
        }
        let number = status.map_or(0, TopicStatus::number);
        if number != replaces {
            return Err(Refusal::Behind(number));
        }
        if content.bytes.len() > MAX_CONTENT_BYTES {
            return Err(Refusal::TooLong);
        }
        Ok(())
    }

    /// Whether a late action is to be refused: its registration is not the one that its gateway has now.
    pub fn refuses(&self, gateway: u32, token: Token) -> bool {
        self.registrations
            .get(&gateway)
            .is_none_or(|registration| registration.token != token)
    }

    /// Applies the entry at `index`, which must be the next one (or one applied before, which is left alone).
    ///
    /// # Errors
    ///
    /// [`Gap`] where entries in between were not applied; nothing changes then.
    pub fn apply(
        &mut self,
        index: Index,
        command: &Command,
        out: &mut Vec<Outcome>,
    ) -> Result<(), Gap> {
        if index <= self.applied {
            return Ok(());
        }
        let due = Index(self.applied.0 + 1);
        if index != due {
            return Err(Gap { due, came: index });
        }
        self.applied = index;
        let done = self.settle(index, command);
        out.push(done.unwrap_or_else(Outcome::Refused));
        self.complete(index, out);
        Ok(())
    }

    fn settle(&mut self, index: Index, command: &Command) -> Result<Outcome, Refusal> {
        match command {
            Command::BeginEpoch { who } => {
                self.epoch = index;
                Ok(Outcome::EpochBegun(*who))
            }
            Command::Join { who, formats } => self.join(index, *who, *formats),
            Command::Leave { who, token } => {
                let registration = self.registered(*who, *token)?;
                self.vacate(registration);
                Ok(Outcome::Left(registration))
            }
            Command::Expire { who, token, epoch } => {
                let registration = self.registered(*who, *token)?;
                if *epoch != self.epoch {
                    return Err(Refusal::Epoch);
                }
                self.vacate(registration);
                Ok(Outcome::Expired(registration))
            }
            Command::ProposeVersion {
                who,
                token,
                topic,
                replaces,
                content,
            } => {
                self.offerable(*who, *token, *topic, *replaces, content)?;
                Ok(self.offer(index, *who, *topic, content))
            }
            Command::Ack { topic, number, by } => self.accept(*topic, *number, by),
            Command::Nack {
                who,
                token,
                topic,
                number,
                reason,
            } => {
                self.registered(*who, *token)?;
                self.refuse(index, *who, *topic, *number, reason)
            }
            Command::Report {
                who,
                sequence,
                spans,
            } => {
                let counted = self.audit.report(*who, *sequence, spans);
                let reported = Outcome::Reported {
                    who: *who,
                    sequence: *sequence,
                };
                counted.then_some(reported).ok_or(Refusal::Settled)
            }
        }
    }

    /// The registration that goes by this token.
    fn registered(&self, who: NodeIdentity, token: Token) -> Result<Registration, Refusal> {
        let registration = self
            .registration(who)
            .filter(|registration| registration.token == token);
        registration.copied().ok_or(Refusal::Stale)
    }

    fn vacate(&mut self, registration: Registration) {
        let gateway = registration.who.gateway;
        self.registrations.remove(&gateway);
        let open = self
            .topics
            .values_mut()
            .filter_map(|status| status.proposal.as_mut());
        open.for_each(|open| {
            open.accepted.remove(&gateway);
        });
    }

    fn join(
        &mut self,
        index: Index,
        who: NodeIdentity,
        formats: Formats,
    ) -> Result<Outcome, Refusal> {
        self.joinable(who, formats)?;
        let registration = Registration {
            who,
            token: Token(index.0),
            formats,
        };
        self.registrations.insert(who.gateway, registration);
        Ok(Outcome::Registered(registration))
    }

    fn offer(
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
            accepted: BTreeSet::new(),
        });
        status.changed = index;
        Outcome::VersionProposed {
            topic,
            number: index.0,
        }
    }

    /// How a topic stands whose open version has this number.
    fn status(&mut self, topic: Topic, number: u64) -> Result<&mut TopicStatus, Refusal> {
        let status = self
            .topics
            .get_mut(&topic)
            .filter(|status| status.opened(number));
        status.ok_or(Refusal::Settled)
    }

    fn accept(
        &mut self,
        topic: Topic,
        number: u64,
        by: &[(NodeIdentity, Token)],
    ) -> Result<Outcome, Refusal> {
        let registered = by
            .iter()
            .filter(|(who, token)| self.registered(*who, *token).is_ok());
        let accepted: Vec<u32> = registered.map(|(who, _)| who.gateway).collect();
        if accepted.is_empty() {
            return Err(Refusal::Stale);
        }
        let status = self.status(topic, number)?;
        let open = status.proposal.as_mut().ok_or(Refusal::Settled)?;
        open.accepted.extend(accepted);
        Ok(Outcome::Acked { topic, number })
    }

    fn refuse(
        &mut self,
        index: Index,
        by: NodeIdentity,
        topic: Topic,
        number: u64,
        reason: &str,
    ) -> Result<Outcome, Refusal> {
        let status = self.status(topic, number)?;
        status.proposal = None;
        status.changed = index;
        let reason = truncate_reason(reason);
        Ok(Outcome::ProposalRejected {
            topic,
            number,
            by,
            reason,
        })
    }

    /// Puts in force what all who may act have accepted.
    fn complete(&mut self, index: Index, out: &mut Vec<Outcome>) {
        let registrations = &self.registrations;
        if registrations.is_empty() {
            return;
        }
        for (topic, status) in &mut self.topics {
            let all = |open: &mut Proposal| {
                registrations
                    .keys()
                    .all(|gateway| open.accepted.contains(gateway))
            };
            if let Some(open) = status.proposal.take_if(all) {
                let (number, previous) = (open.version.number, status.number());
                status.previous = previous;
                status.active = Some(open.version);
                status.changed = index;
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

//! Effects of applied log entries on a coordinator: the state of its epoch, and messages to gateways.

use super::{Action, Coordinator, Leadership};
use crate::lease::Index;
use crate::versions::{Command, Outcome, Registration, ToGateway, TopicState};
use crate::Micros;

impl Coordinator {
    /// Applies an entry on versions.
    pub(super) fn apply(
        &mut self,
        now: Micros,
        index: Index,
        command: &Command,
        out: &mut Vec<Action>,
    ) {
        let changed_before = self.table.last_changed();
        let mut outcomes = Vec::new();
        // The caller numbers entries as the table counts them. A gap is an error of the caller and changes nothing.
        if self.table.apply(index, command, &mut outcomes).is_err() {
            return;
        }
        for outcome in outcomes {
            self.handle_outcome(now, index, command, outcome, out);
        }
        if self.table.last_changed() > changed_before {
            self.publish(now, changed_before, out);
        }
    }

    fn handle_outcome(
        &mut self,
        now: Micros,
        index: Index,
        command: &Command,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if let Outcome::EpochBegun(identity) = outcome {
            let is_own = identity == self.identity && self.leading;
            self.leadership = is_own.then(|| Leadership::begin(index, now, &self.table));
            return;
        }
        if let (Outcome::Reported { identity, .. }, Command::Report { spans, .. }) =
            (&outcome, command)
        {
            out.push(Action::ReportCounted {
                identity: *identity,
                spans: spans.clone(),
            });
        }
        if let Some(leadership) = &mut self.leadership {
            leadership.apply_outcome(now, &outcome);
            out.extend(notification(command, outcome));
        }
    }

    /// Sends every gateway the states of the topics that changed after an entry.
    fn publish(&mut self, now: Micros, since: Index, out: &mut Vec<Action>) {
        let state_index = self.table.last_changed();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.links.record_broadcast(state_index, now);
        out.push(Action::Broadcast(self.topic_states(since)));
    }

    /// The states of the topics that changed after an entry.
    pub(super) fn topic_states(&self, since: Index) -> ToGateway {
        let changed = self
            .table
            .topics()
            .filter(|(_, status)| status.last_changed > since);
        let topics = changed.map(|(topic, status)| TopicState {
            topic,
            active: status.active_number(),
            active_content: status
                .active
                .as_ref()
                .map(|version| version.content.clone()),
            previous: status.previous,
            proposal: status
                .proposal
                .as_ref()
                .map(|proposal| proposal.version.clone()),
        });
        ToGateway::TopicStates {
            state_index: self.table.last_changed(),
            since,
            topics: topics.collect(),
        }
    }
}

impl Leadership {
    /// Updates the state of the epoch after an entry changed registrations or proposals.
    fn apply_outcome(&mut self, now: Micros, outcome: &Outcome) {
        match outcome {
            Outcome::Registered(Registration { identity, .. }) => {
                self.membership.record_contact(identity.gateway, now);
                // A gateway can register while a version is proposed only if no other gateway is registered. It gets a full
                // wait to validate that version.
                self.rollout.restart_waits(now);
            }
            Outcome::Left(Registration { identity, .. })
            | Outcome::Expired(Registration { identity, .. }) => {
                self.membership.remove(identity.gateway)
            }
            Outcome::VersionProposed { topic, .. } => self.rollout.open(*topic, now),
            Outcome::Activated { topic, .. } | Outcome::ProposalRejected { topic, .. } => {
                self.rollout.close(*topic);
            }
            Outcome::EpochBegun(_)
            | Outcome::Acked { .. }
            | Outcome::Reported { .. }
            | Outcome::Rejected(_) => {}
        }
    }
}

/// The message to gateways about an entry, if there is one. The states of topics are sent separately.
fn notification(command: &Command, outcome: Outcome) -> Option<Action> {
    match outcome {
        Outcome::Expired(Registration {
            identity, token, ..
        }) => {
            let expired = ToGateway::RegistrationExpired { identity, token };
            Some(Action::Send(identity, expired))
        }
        Outcome::ProposalRejected {
            topic,
            number,
            by,
            reason,
        } => Some(Action::Broadcast(ToGateway::ProposalRejected {
            topic,
            number,
            by,
            reason,
        })),
        Outcome::Reported { identity, sequence } => {
            let counted = ToGateway::ReportCounted { identity, sequence };
            Some(Action::Send(identity, counted))
        }
        Outcome::Rejected(reason) => match command {
            Command::ProposeVersion { identity, .. } => {
                let rejected = ToGateway::RequestRejected {
                    identity: *identity,
                    reason,
                };
                Some(Action::Send(*identity, rejected))
            }
            _ => None,
        },
        Outcome::EpochBegun(_)
        | Outcome::Registered(_)
        | Outcome::Left(_)
        | Outcome::VersionProposed { .. }
        | Outcome::Acked { .. }
        | Outcome::Activated { .. } => None,
    }
}

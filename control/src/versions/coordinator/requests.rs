//! Handling of the messages from gateways, and the answers to their heartbeats.

use super::read_index::PendingHeartbeat;
use super::{Action, Coordinator};
use crate::lease::{Index, NodeIdentity, Token};
use crate::versions::{Command, Formats, Rejection, Span, ToControl, ToGateway, Topic};
use crate::Micros;

impl Coordinator {
    /// Handles a message from a gateway, or redirects the gateway if this member has no epoch of its own.
    pub(super) fn receive(&mut self, now: Micros, message: ToControl, out: &mut Vec<Action>) {
        if self.leadership.is_none() {
            self.redirect_to_leader(message.identity(), out);
            return;
        }
        match message {
            ToControl::Heartbeat {
                identity,
                formats,
                token,
                sent_at,
                known_index,
            } => {
                self.resend_states(now, identity, known_index, out);
                self.record_heartbeat(now, identity, token, sent_at);
                if token.is_none() {
                    self.propose_join(now, identity, formats, out);
                }
            }
            ToControl::ValidationResult {
                identity,
                token,
                topic,
                number,
                result,
            } => {
                if !self.awaits_validation(identity, token, topic, number) {
                    return;
                }
                match result {
                    Ok(()) => self.collect_ack(now, identity, token, topic, number),
                    Err(reason) => out.push(Action::Propose(Command::Nack {
                        identity,
                        token,
                        topic,
                        number,
                        reason,
                    })),
                }
            }
            ToControl::ProposeVersion {
                identity,
                token,
                topic,
                replaces,
                content,
            } => {
                let proposable = self
                    .table
                    .check_proposal(identity, token, topic, replaces, &content);
                out.push(match proposable {
                    Ok(()) => Action::Propose(Command::ProposeVersion {
                        identity,
                        token,
                        topic,
                        replaces,
                        content,
                    }),
                    Err(reason) => {
                        Action::Send(identity, ToGateway::RequestRejected { identity, reason })
                    }
                });
            }
            ToControl::Report {
                identity,
                sequence,
                spans,
            } => out.push(self.record_report(identity, sequence, spans)),
            ToControl::Leave { identity, token } => {
                out.push(Action::Propose(Command::Leave { identity, token }));
            }
        }
    }

    /// Answers that this member does not lead, and which one does if that is known. A member that leads but has not begun
    /// its epoch yet does not answer.
    fn redirect_to_leader(&self, identity: NodeIdentity, out: &mut Vec<Action>) {
        if !self.leading {
            let leader = self
                .leader
                .filter(|leader| *leader != self.identity.gateway);
            out.push(Action::Send(identity, ToGateway::NotLeader { leader }));
        }
    }

    /// Sends a gateway the topic states that it lacks, unless they are in flight to it.
    fn resend_states(
        &mut self,
        now: Micros,
        identity: NodeIdentity,
        known_index: Index,
        out: &mut Vec<Action>,
    ) {
        let state_index = self.table.last_changed();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let links = &mut leadership.links;
        if links.begin_resend_if_due(
            identity.gateway,
            known_index,
            state_index,
            now,
            &self.timing,
        ) {
            out.push(Action::Send(identity, self.topic_states(known_index)));
        }
    }

    /// Records a heartbeat, to be answered once a quorum has confirmed that this member leads.
    fn record_heartbeat(
        &mut self,
        now: Micros,
        identity: NodeIdentity,
        token: Option<Token>,
        sent_at: Micros,
    ) {
        let wait_us = self.timing.wait_us();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let rollout = &leadership.rollout;
        let renewable = !leadership.membership.is_expiring(identity.gateway)
            && !rollout.is_straggler(&self.table, identity.gateway, now, wait_us);
        let registration = self
            .table
            .registration(identity)
            .filter(|registration| token.is_none_or(|token| token == registration.token));
        if renewable && registration.is_some() {
            leadership.membership.record_contact(identity.gateway, now);
        }
        leadership.rounds.add(PendingHeartbeat {
            identity,
            token,
            sent_at,
            received_at: now,
            round: self.last_round + 1,
            renewable,
        });
    }

    /// Proposes a registration for a gateway without one, if the current table would grant it.
    fn propose_join(
        &mut self,
        now: Micros,
        identity: NodeIdentity,
        formats: Formats,
        out: &mut Vec<Action>,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        match self.table.check_join(identity, formats) {
            Err(reason @ Rejection::UnsupportedFormat { .. }) => {
                out.push(Action::Send(
                    identity,
                    ToGateway::RequestRejected { identity, reason },
                ));
            }
            // The gateway tries again with its next heartbeat.
            Err(_) => {}
            Ok(()) => {
                let links = &mut leadership.links;
                if links.begin_join_if_due(identity.gateway, now, &self.timing) {
                    out.push(Action::Propose(Command::Join { identity, formats }));
                }
            }
        }
    }

    /// Whether a version is proposed that this registered gateway has to validate.
    fn awaits_validation(
        &self,
        identity: NodeIdentity,
        token: Token,
        topic: Topic,
        number: u64,
    ) -> bool {
        let status = self.table.topic(topic);
        let registration = self.table.registration(identity);
        status.is_some_and(|status| status.is_proposed(number))
            && registration.is_some_and(|registration| registration.token == token)
    }

    fn collect_ack(
        &mut self,
        now: Micros,
        identity: NodeIdentity,
        token: Token,
        topic: Topic,
        number: u64,
    ) {
        if let Some(leadership) = &mut self.leadership {
            let rollout = &mut leadership.rollout;
            rollout.collect(now, identity, token, topic, number);
        }
    }

    /// Proposes a report to the log, or answers at once if it was already counted.
    fn record_report(&self, identity: NodeIdentity, sequence: u64, spans: Vec<Span>) -> Action {
        if sequence <= self.table.audit().last_sequence(identity) {
            return Action::Send(identity, ToGateway::ReportCounted { identity, sequence });
        }
        Action::Propose(Command::Report {
            identity,
            sequence,
            spans,
        })
    }

    /// Answers the heartbeats that arrived before a round was requested.
    pub(super) fn confirm_round(&mut self, round: u64, out: &mut Vec<Action>) {
        let last_round = self.last_round;
        let Some(leadership) = self.leadership.as_mut().filter(|_| round <= last_round) else {
            return;
        };
        let covered = leadership.rounds.confirm(round, last_round);
        let registrations = u32::try_from(self.table.registrations().count()).unwrap_or(u32::MAX);
        for heartbeat in covered {
            let answer = self.heartbeat_answer(&heartbeat, registrations);
            out.push(Action::Send(heartbeat.identity, answer));
        }
    }

    /// The answer to a heartbeat that a round has covered.
    fn heartbeat_answer(&self, heartbeat: &PendingHeartbeat, registrations: u32) -> ToGateway {
        let PendingHeartbeat {
            identity,
            token,
            sent_at,
            ..
        } = *heartbeat;
        let required_index = self.table.last_changed();
        let expiring = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.membership.is_expiring(identity.gateway));
        let registration = self.table.registration(identity);
        let current = registration.map(|registration| registration.token);
        match (token, current) {
            (Some(token), current) if current != Some(token) => {
                ToGateway::RegistrationExpired { identity, token }
            }
            (_, Some(token)) if heartbeat.renewable && !expiring => {
                ToGateway::RegistrationRenewed {
                    identity,
                    token,
                    sent_at,
                    required_index,
                    registrations,
                }
            }
            // Without a renewal, the answer only shows that this member leads.
            _ => ToGateway::TopicStates {
                state_index: required_index,
                since: required_index,
                topics: Vec::new(),
            },
        }
    }
}

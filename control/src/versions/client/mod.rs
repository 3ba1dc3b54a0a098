//! The part of a gateway in the rollout of versions: it renews its registration, has proposed versions validated, proposes
//! versions of its own operator, and reports its actions for the audit.
//!
//! Invariants: a gateway acts only under a [`Permission`], which expires unless it is renewed; a permission is granted only
//! if the gateway knows the latest state of every topic, and has validated the content of every active version. Messages
//! are repeated until they are known to have arrived. The caller validates contents; nothing here does I/O or reads a clock.
//!
//! Modules: `registration` holds the lease, `heartbeats` the schedule of heartbeats and redirections, `topics` the cached
//! states of the topics, `validations` the validation of proposed versions, `catch_up` that of active versions which this
//! gateway did not validate before, `proposal` the version that this gateway proposes, `reports` the audit reports.

mod catch_up;
mod event;
mod heartbeats;
mod proposal;
mod registration;
mod reports;
mod topics;
mod validations;

use super::{Content, Formats, Rejection, ToControl, ToGateway, Topic, TopicState, Version};
use crate::lease::{NodeIdentity, Timing, Token};
use crate::Micros;
use catch_up::{CatchUp, ValidationRequest};
pub use event::{Action, Event, Permission, StopReason};
use heartbeats::{Heartbeats, Redirects};
use proposal::PendingProposal;
use registration::RegistrationLease;
use reports::Reports;
use topics::CachedTopics;
use validations::{check_format, Validations};

/// Why an active version can't be validated that came without its content.
const MISSING_CONTENT: &str =
    "the control members run a build that does not send the content of active versions; update them before the gateways";

/// Whether a message that is repeated each renewal interval is due: it was not sent on this link yet, or at least a renewal
/// interval ago.
fn is_send_due(last_sent_at: Option<Micros>, now: Micros, renew_us: Micros) -> bool {
    last_sent_at.is_none_or(|at| now >= at.saturating_add(renew_us))
}

/// The client of one gateway: a state machine without I/O (see the module's documentation).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    identity: NodeIdentity,
    timing: Timing,
    formats: Formats,
    /// Whether this gateway asks for a registration, and renews it.
    serving: bool,
    registration: RegistrationLease,
    heartbeats: Heartbeats,
    redirects: Redirects,
    topics: CachedTopics,
    validations: Validations,
    catch_up: CatchUp,
    proposal: Option<PendingProposal>,
    reports: Reports,
}

impl Client {
    /// A client of the gateway `identity`, without a registration or any known version. `seed` has to differ between the
    /// gateways of a fleet: it spreads their heartbeats over time.
    pub fn new(identity: NodeIdentity, timing: Timing, formats: Formats, seed: u64) -> Client {
        Client {
            identity,
            timing,
            formats,
            serving: false,
            registration: RegistrationLease::new(),
            heartbeats: Heartbeats::new(seed),
            redirects: Redirects::default(),
            topics: CachedTopics::default(),
            validations: Validations::default(),
            catch_up: CatchUp::default(),
            proposal: None,
            reports: Reports::default(),
        }
    }

    /// This gateway's permission to act at `now`, if it has one.
    pub fn permission(&self, now: Micros) -> Option<Permission> {
        let permission = self.registration.permission();
        permission.filter(|permission| permission.is_valid(now))
    }

    /// The version of a topic that this gateway may act on at `now`, and the fencing token for each action.
    pub fn usable_version(&self, topic: Topic, now: Micros) -> Option<(u64, Token)> {
        let permission = self.permission(now)?;
        let number = self.topics.active(topic);
        (number > 0).then_some((number, permission.token))
    }

    /// The active versions that this gateway knows.
    pub fn active_versions(&self) -> impl Iterator<Item = (Topic, u64)> + '_ {
        self.topics.active_versions()
    }

    /// How many gateways were registered when this one's registration was last renewed.
    pub fn registration_count(&self) -> u32 {
        self.registration.registrations()
    }

    /// Handles an event at `now` (microseconds on this gateway's monotonic clock) and adds the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Serve => self.serving = true,
            Event::Connected => self.handle_connected(now),
            Event::Received(message) => self.receive(now, message, out),
            Event::Validated {
                topic,
                number,
                result,
            } => self.record_validation(topic, number, result, out),
            Event::ProposeVersion { topic, content } => self.propose(now, topic, content, out),
            Event::Acted {
                topic,
                number,
                count,
            } => self.reports.add(now, topic, number, count),
            Event::Tick => {}
            Event::Drain => self.drain(out),
        }
        self.run_due(now, out);
        out.push(Action::Wake(self.next_wakeup(now)));
    }

    /// Makes all messages that are repeated due at once, as those sent on a former link may be lost.
    fn handle_connected(&mut self, now: Micros) {
        self.heartbeats.reset_for_new_link(now);
        self.validations.mark_unsent();
        self.reports.mark_unsent();
        if let Some(proposal) = &mut self.proposal {
            proposal.mark_unsent();
        }
    }

    fn drain(&mut self, out: &mut Vec<Action>) {
        self.serving = false;
        self.stop(StopReason::Draining, out);
        if let Some(token) = self.registration.release() {
            out.push(Action::Send(ToControl::Leave {
                identity: self.identity,
                token,
            }));
        }
    }

    fn stop(&mut self, reason: StopReason, out: &mut Vec<Action>) {
        if self.registration.revoke_permission() {
            out.push(Action::Stop(reason));
        }
    }

    fn propose(&mut self, now: Micros, topic: Topic, content: Content, out: &mut Vec<Action>) {
        // The operator may have mended what kept this gateway from acting. Where all gateways have another file than the
        // active version's, none of them acts, and one of them has to be able to propose it.
        self.catch_up.mark_due(now);
        let is_catching_up = !self.catch_up.is_complete() && self.registration.token().is_some();
        if self.permission(now).is_none() && !is_catching_up {
            out.push(Action::RequestRejected(Rejection::StaleRegistration));
            return;
        }
        let replaces = self.topics.active(topic);
        self.proposal = Some(PendingProposal::new(topic, replaces, content));
    }

    /// Handles a message. One for another gateway or incarnation changes nothing.
    fn receive(&mut self, now: Micros, message: ToGateway, out: &mut Vec<Action>) {
        self.heartbeats.record_answer();
        match message {
            ToGateway::RegistrationRenewed {
                identity,
                token,
                sent_at,
                required_index,
                registrations,
            } => {
                if identity == self.identity
                    && self.serving
                    && required_index <= self.topics.known_index()
                {
                    let registration = &mut self.registration;
                    let permission =
                        registration.renew(now, &self.timing, token, sent_at, registrations);
                    if self.catch_up.is_complete() {
                        out.extend(permission.map(Action::Act));
                    } else {
                        registration.revoke_permission();
                    }
                }
            }
            ToGateway::TopicStates {
                state_index,
                since,
                topics,
            } => {
                if self.topics.advance(since, state_index) {
                    for state in topics {
                        self.update_topic(now, state, out);
                    }
                }
            }
            ToGateway::RegistrationExpired { identity, token } => {
                if identity == self.identity && self.registration.token() == Some(token) {
                    self.lose_registration(now, out);
                }
            }
            ToGateway::RequestRejected { identity, reason } => {
                if identity == self.identity {
                    self.handle_rejection(now, reason, out);
                }
            }
            ToGateway::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => {
                if self.topics.record_rejection(topic, number) {
                    out.push(Action::ProposalRejected {
                        topic,
                        number,
                        by,
                        reason,
                    });
                }
            }
            ToGateway::ReportCounted { identity, sequence } => {
                if identity == self.identity {
                    self.reports.acknowledge(sequence);
                }
            }
            ToGateway::NotLeader { leader } => self.redirect(now, leader, out),
        }
    }

    /// Handles the new state of a topic.
    fn update_topic(&mut self, now: Micros, state: TopicState, out: &mut Vec<Action>) {
        let TopicState {
            topic,
            active,
            active_content,
            previous,
            proposal,
        } = state;
        if self.topics.set_active(topic, active) {
            if self.validations.is_valid(topic, active) {
                self.catch_up.end(topic);
                out.push(Action::Activate {
                    topic,
                    number: active,
                    previous,
                });
            } else {
                self.catch_up
                    .begin(now, topic, active, previous, active_content);
                self.stop(StopReason::UnvalidatedVersion, out);
            }
        }
        self.proposal
            .take_if(|own| own.is_resolved_by(topic, active, proposal.is_some()));
        let Some(Version { number, content }) = proposal else {
            self.validations.close(topic);
            return;
        };
        let validations = &mut self.validations;
        if validations.begin(topic, number, &content, self.formats) {
            out.push(Action::Validate {
                topic,
                number,
                content,
            });
        }
    }

    /// Records the caller's validation of a version that is proposed, or active.
    fn record_validation(
        &mut self,
        topic: Topic,
        number: u64,
        result: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        match &result {
            Ok(()) => {
                let activated = self.catch_up.complete(topic, number);
                out.extend(activated.map(|previous| Action::Activate {
                    topic,
                    number,
                    previous,
                }));
            }
            Err(reason) if self.catch_up.is_waiting_for(topic, number) => {
                out.push(Action::ActiveVersionInvalid {
                    topic,
                    number,
                    reason: reason.clone(),
                });
            }
            Err(_) => {}
        }
        self.validations.record(topic, number, result);
    }

    /// Asks the caller to validate an active version, unless it can't be valid here.
    fn request_validation(&self, request: ValidationRequest) -> Action {
        let ValidationRequest {
            topic,
            number,
            content,
        } = request;
        let checked = content.ok_or_else(|| MISSING_CONTENT.to_owned());
        let checked = checked
            .and_then(|content| check_format(content.format, self.formats).map(|()| content));
        match checked {
            Ok(content) => Action::Validate {
                topic,
                number,
                content,
            },
            Err(reason) => Action::ActiveVersionInvalid {
                topic,
                number,
                reason,
            },
        }
    }

    /// Handles the end of the registration: the gateway stops acting, and joins again after a backoff.
    fn lose_registration(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.stop(StopReason::RegistrationExpired, out);
        self.registration.release();
        if self.proposal.take().is_some() {
            out.push(Action::RequestRejected(Rejection::StaleRegistration));
        }
        self.registration.back_off(now, &self.timing);
    }

    /// Handles the rejection of a registration or a proposal. A repeated or late rejection has no effect.
    fn handle_rejection(&mut self, now: Micros, reason: Rejection, out: &mut Vec<Action>) {
        let unsupported = matches!(reason, Rejection::UnsupportedFormat { .. });
        let joining = unsupported && self.registration.token().is_none();
        if joining {
            self.registration.back_off(now, &self.timing);
        }
        if joining || self.proposal.take().is_some() {
            out.push(Action::RequestRejected(reason));
        }
    }

    fn redirect(&mut self, now: Micros, leader: Option<u32>, out: &mut Vec<Action>) {
        let target = self.redirects.follow(now, self.timing.renew_us, leader);
        out.push(Action::Redirect(target));
    }

    fn run_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        let permission = self.registration.permission();
        if permission.is_some_and(|permission| !permission.is_valid(now)) {
            // The registration may still be in the table: once it is renewed, the gateway acts again.
            self.stop(StopReason::LeaseExpired, out);
        }
        if !self.serving {
            return;
        }
        let random = self.heartbeats.random(now);
        let requests = self.catch_up.take_due(now, &self.timing, random);
        out.extend(
            requests
                .into_iter()
                .map(|request| self.request_validation(request)),
        );
        self.send_heartbeat(now, out);
        if let Some(token) = self.registration.token() {
            self.send_due(now, token, out);
        }
    }

    fn send_heartbeat(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.next_heartbeat_at() {
            return;
        }
        let renew_us = self.timing.renew_us;
        if self.heartbeats.take_timeout(now, renew_us) {
            self.redirect(now, None, out);
        }
        out.push(Action::Send(ToControl::Heartbeat {
            identity: self.identity,
            formats: self.formats,
            token: self.registration.token(),
            sent_at: now,
            known_index: self.topics.known_index(),
        }));
        self.heartbeats.record_sent(now, renew_us);
    }

    /// Sends the messages of a registered gateway that are due: validation results, its proposal, and its audit report.
    fn send_due(&mut self, now: Micros, token: Token, out: &mut Vec<Action>) {
        let (renew_us, identity) = (self.timing.renew_us, self.identity);
        let results = self.validations.take_due(now, renew_us, identity, token);
        out.extend(results.into_iter().map(Action::Send));
        let proposal = self
            .proposal
            .as_mut()
            .and_then(|proposal| proposal.take_due(now, renew_us, identity, token));
        out.extend(proposal.map(Action::Send));
        let report = self.reports.take_due(now, renew_us, identity);
        out.extend(report.map(Action::Send));
    }

    fn next_heartbeat_at(&self) -> Micros {
        let allowed_at = self.registration.heartbeat_allowed_at();
        self.heartbeats.next_at().max(allowed_at)
    }

    /// When the client needs its next tick.
    fn next_wakeup(&self, now: Micros) -> Micros {
        let renew_us = self.timing.renew_us;
        let permission = self.registration.permission();
        let permission_ends = permission.map(|permission| permission.until);
        let heartbeat = self.serving.then(|| self.next_heartbeat_at());
        let proposal = self.proposal.as_ref();
        let repeat = self
            .validations
            .last_sent_at()
            .chain(proposal.and_then(PendingProposal::last_sent_at))
            .map(|at| at.saturating_add(renew_us))
            .min();
        let catch_up = self.catch_up.next_at();
        let due = [permission_ends, heartbeat, repeat, catch_up]
            .into_iter()
            .flatten();
        due.filter(|at| *at > now)
            .min()
            .unwrap_or(now.saturating_add(renew_us))
    }
}

#[cfg(test)]
mod tests;

//! One gateway's part: when it asks for its registration, what it may act on and until when, what it judges and reports.

use super::audit::SPANS;
use super::{
    Content, Formats, Index, Micros, NodeIdentity, Refusal, Span, ToControl, ToGateway, Token,
    Topic, TopicState,
};
use crate::lease::Timing;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Waits before a gateway that lost its registration joins again: the first, and the most, in renewals. A gateway that comes
/// and goes would otherwise hold up every version that is offered meanwhile. Ours.
const REJOIN_FIRST: u64 = 1;
const REJOIN_MOST: u64 = 32;
/// Leases that a registration must have been kept for until earlier losses are forgotten. Ours.
const STEADY: u64 = 10;
/// Renewals between two reports of one gateway: the log's share of the audit stays small. Ours.
const REPORT_EVERY: u64 = 10;
/// Heartbeats come early by up to this part of a renewal, so that those of a fleet spread out; the second on a link by
/// more, as a fleet whose leader is gone connects to the next one all at once. Ours.
const EARLY: u64 = 8;
const EARLY_FIRST: u64 = 2;
/// Redirections in each renewal at most: two control members may each take the other for the one that leads. Ours.
const REDIRECTS: u64 = 4;

/// What a gateway's client of control is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway should have a registration whenever it can.
    Serve,
    /// A link to a control member is up.
    Connected,
    /// A control member says something.
    Received(ToGateway),
    /// The caller has judged a version.
    Validated {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// A refusal says why.
        verdict: Result<(), String>,
    },
    /// The operator has a new version here.
    ProposeVersion {
        /// Of what.
        topic: Topic,
        /// What it says.
        content: Content,
    },
    /// Actions were begun under a version.
    Acted {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// How many.
        count: u64,
    },
    /// A timer fired, or any moment worth a look.
    Tick,
    /// The gateway drains: it stops acting and gives its registration back.
    Drain,
}

/// A right to act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Permission {
    /// To go with every action under it.
    pub token: Token,
    /// Begin nothing at or after this, microseconds on this gateway's clock.
    pub until: Micros,
}

impl Permission {
    /// Whether something may be begun under it at a time.
    pub fn runs(&self, now: Micros) -> bool {
        now < self.until
    }
}

/// Why a gateway may not act any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum StopReason {
    /// Its registration could not be kept in time.
    #[error("the fleet's log could not be reached in time; look at the links to its voters and how many of them run")]
    Lapsed,
    /// The others took its registration away.
    #[error(
        "the others took its registration away after hearing nothing; it joins again by itself"
    )]
    Expelled,
    /// It drains.
    #[error("it drains")]
    Drained,
}

/// What a gateway's client of control answers with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Tell the control member that is connected. It may be lost.
    Send(ToControl),
    /// The control member that was asked does not lead: connect to the one with this gateway number, or to another one
    /// after a wait where it does not know.
    Redirect(Option<u32>),
    /// It may act on what is in force.
    Act(Permission),
    /// It may not act any more, from now on.
    Stop(StopReason),
    /// Judge this version, and say so.
    Validate {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// What it says.
        content: Content,
    },
    /// A version is in force: what is begun from now on is begun under it.
    Activate {
        /// Of what.
        topic: Topic,
        /// The version.
        number: u64,
        /// The one before it, which others may act on for a moment still; 0 is none.
        before: u64,
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
    /// What this gateway asked for was refused.
    Refused(Refusal),
    /// Tick again at this time at the latest.
    Wake(Micros),
}

/// How a topic stands, as far as this gateway was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Known {
    active: u64,
    /// The last version of which it was told that it was refused.
    dropped: u64,
}

/// What a gateway thinks of a version that is offered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Judgement {
    number: u64,
    verdict: Option<Result<(), String>>,
    told_at: Option<Micros>,
}

/// A version that the operator has here, until it is known to be offered or refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Offered {
    topic: Topic,
    /// The version in force that it is to follow.
    follows: u64,
    content: Content,
    told_at: Option<Micros>,
}

/// What was done, until it is counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Reported {
    spans: Vec<Span>,
    told_at: Option<Micros>,
}

/// The versions of one gateway: the one door there (see the module's page).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    me: NodeIdentity,
    timing: Timing,
    formats: Formats,
    seed: u64,
    wanted: bool,
    /// Its registration, as far as it knows.
    token: Option<Token>,
    /// Registrations below were lost: word of them is late.
    oldest: Token,
    right: Option<Permission>,
    registered_at: Option<Micros>,
    /// The entry up to which it knows how the topics stand.
    seen: Index,
    topics: BTreeMap<Topic, Known>,
    judged: BTreeMap<Topic, Judgement>,
    offered: Option<Offered>,
    registrations: u32,
    /// When the next heartbeat is due, whether it is the first on its link, and since when one waits for an answer.
    beat_at: Micros,
    connected: bool,
    asked_at: Option<Micros>,
    redirected_at: Option<Micros>,
    /// When it may join again, and the wait after the next loss, in renewals.
    rejoin_at: Micros,
    rejoin_wait: u64,
    counted: Vec<Span>,
    /// The report that waits to be counted, and the place of the last one.
    report: Option<Reported>,
    sequence: u64,
    reported_at: Micros,
}

impl Client {
    /// A gateway in its incarnation `me`, that knows nothing yet. The seed spreads the gateways' heartbeats over time.
    pub fn new(me: NodeIdentity, timing: Timing, formats: Formats, seed: u64) -> Client {
        Client {
            me,
            timing,
            formats,
            seed,
            wanted: false,
            token: None,
            oldest: Token(0),
            right: None,
            registered_at: None,
            seen: Index(0),
            topics: BTreeMap::new(),
            judged: BTreeMap::new(),
            offered: None,
            registrations: 0,
            beat_at: 0,
            connected: false,
            asked_at: None,
            redirected_at: None,
            rejoin_at: 0,
            rejoin_wait: REJOIN_FIRST,
            counted: Vec::new(),
            report: None,
            sequence: 0,
            reported_at: 0,
        }
    }

    /// This gateway's right to act now, if it has one.
    pub fn right(&self, now: Micros) -> Option<Permission> {
        self.right.filter(|right| right.runs(now))
    }

    /// The version of a topic that this gateway may act on now, and the token that goes with it.
    pub fn acting(&self, topic: Topic, now: Micros) -> Option<(u64, Token)> {
        let right = self.right(now)?;
        let number = self.number(topic);
        (number > 0).then_some((number, right.token))
    }

    /// The versions in force, as far as this gateway was told.
    pub fn active_versions(&self) -> impl Iterator<Item = (Topic, u64)> + '_ {
        let known = self
            .topics
            .iter()
            .map(|(topic, known)| (*topic, known.active));
        known.filter(|(_, number)| *number > 0)
    }

    /// How many gateways had a registration when this one's was last kept.
    pub fn registrations(&self) -> u32 {
        self.registrations
    }

    /// The number of the version in force; 0 is none.
    fn number(&self, topic: Topic) -> u64 {
        self.topics.get(&topic).map_or(0, |known| known.active)
    }

    /// Takes an event at `now` (microseconds on this gateway's monotonic clock) and says what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Serve => self.wanted = true,
            Event::Connected => self.connect(now),
            Event::Received(message) => self.receive(now, message, out),
            Event::Validated {
                topic,
                number,
                verdict,
            } => self.decide(topic, number, verdict),
            Event::ProposeVersion { topic, content } => self.offer(now, topic, content, out),
            Event::Acted {
                topic,
                number,
                count,
            } => self.count(now, topic, number, count),
            Event::Tick => {}
            Event::Drain => self.drain(out),
        }
        self.step(now, out);
        out.push(Action::Wake(self.next(now)));
    }

    /// What was said on a former link may be lost: all that is due is said again.
    fn connect(&mut self, now: Micros) {
        self.beat_at = now;
        self.connected = true;
        self.asked_at = None;
        self.judged
            .values_mut()
            .for_each(|judged| judged.told_at = None);
        if let Some(report) = &mut self.report {
            report.told_at = None;
        }
        if let Some(offered) = &mut self.offered {
            offered.told_at = None;
        }
    }

    fn drain(&mut self, out: &mut Vec<Action>) {
        self.wanted = false;
        self.stop(StopReason::Drained, out);
        if let Some(token) = self.token {
            self.forget(token);
            out.push(Action::Send(ToControl::Leave {
                who: self.me,
                token,
            }));
        }
    }

    fn stop(&mut self, why: StopReason, out: &mut Vec<Action>) {
        if self.right.take().is_some() {
            out.push(Action::Stop(why));
        }
    }

    /// A registration is not its own any more, nor any older one.
    fn forget(&mut self, token: Token) {
        self.token = None;
        self.oldest = Token(token.0.saturating_add(1));
    }

    fn decide(&mut self, topic: Topic, number: u64, verdict: Result<(), String>) {
        let judged = self
            .judged
            .get_mut(&topic)
            .filter(|judged| judged.number == number);
        if let Some(judged) = judged.filter(|judged| judged.verdict.is_none()) {
            judged.verdict = Some(verdict);
        }
    }

    fn offer(&mut self, now: Micros, topic: Topic, content: Content, out: &mut Vec<Action>) {
        if self.right(now).is_none() {
            return out.push(Action::Refused(Refusal::Stale));
        }
        let follows = self.number(topic);
        self.offered = Some(Offered {
            topic,
            follows,
            content,
            told_at: None,
        });
    }

    fn count(&mut self, now: Micros, topic: Topic, number: u64, count: u64) {
        let same = |span: &&mut Span| (span.topic, span.number) == (topic, number);
        match self.counted.iter_mut().find(same) {
            Some(span) => span.add(now, count),
            None => self.counted.push(Span {
                topic,
                number,
                from: now,
                until: now,
                count,
            }),
        }
    }

    // What control members say.

    fn receive(&mut self, now: Micros, message: ToGateway, out: &mut Vec<Action>) {
        self.asked_at = None;
        match message {
            ToGateway::RegistrationRenewed {
                who,
                token,
                sent,
                required,
                registrations,
            } => {
                if who == self.me && required <= self.seen {
                    self.keep(now, token, sent, registrations, out);
                }
            }
            ToGateway::TopicStates {
                as_of,
                since,
                topics,
            } => {
                if since <= self.seen && self.seen < as_of {
                    self.seen = as_of;
                    topics.into_iter().for_each(|state| self.learn(state, out));
                }
            }
            ToGateway::RegistrationExpired { who, token } => {
                if who == self.me && self.token == Some(token) {
                    self.lose(now, token, out);
                }
            }
            ToGateway::RequestRejected { who, why } => {
                if who == self.me {
                    self.refused(now, why, out);
                }
            }
            ToGateway::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => {
                let known = self.topics.entry(topic).or_default();
                if number > known.dropped {
                    known.dropped = number;
                    out.push(Action::ProposalRejected {
                        topic,
                        number,
                        by,
                        reason,
                    });
                }
            }
            ToGateway::ReportCounted { who, sequence } => {
                if who == self.me && sequence == self.sequence {
                    self.report = None;
                }
            }
            ToGateway::NotLeader { leader } => self.redirect(now, leader, out),
        }
    }

    /// Its registration is kept for another lease, counted from before it asked: the leader heard it only later.
    fn keep(
        &mut self,
        now: Micros,
        token: Token,
        sent: Micros,
        registrations: u32,
        out: &mut Vec<Action>,
    ) {
        let late = token < self.oldest || self.token.is_some_and(|mine| token < mine);
        if late || !self.wanted || sent > now {
            return;
        }
        self.registrations = registrations;
        if self.token != Some(token) {
            self.token = Some(token);
            self.registered_at = Some(now);
        }
        let until = sent.saturating_add(self.timing.lease_us);
        let longer = self
            .right
            .is_none_or(|right| right.token != token || right.until < until);
        if until > now && longer {
            let right = Permission { token, until };
            self.right = Some(right);
            out.push(Action::Act(right));
        }
    }

    /// How a topic stands now.
    fn learn(&mut self, state: TopicState, out: &mut Vec<Action>) {
        let TopicState {
            topic,
            active: number,
            before,
            open,
        } = state;
        let known = self.topics.entry(topic).or_default();
        if known.active != number {
            known.active = number;
            out.push(Action::Activate {
                topic,
                number,
                before,
            });
        }
        let settled = |offered: &Offered| {
            offered.topic == topic && (open.is_some() || offered.follows != number)
        };
        if self.offered.as_ref().is_some_and(settled) {
            self.offered = None;
        }
        match open {
            Some((number, content)) => self.ask(topic, number, content, out),
            None => {
                self.judged.remove(&topic);
            }
        }
    }

    /// Has a version judged, once.
    fn ask(&mut self, topic: Topic, number: u64, content: Content, out: &mut Vec<Action>) {
        if self
            .judged
            .get(&topic)
            .is_some_and(|judged| judged.number == number)
        {
            return;
        }
        let (needed, Formats { oldest, newest }) = (content.format, self.formats);
        let verdict = (!self.formats.understand(needed)).then(|| {
            Err(format!(
                "format {needed} is not understood, only {oldest} to {newest}"
            ))
        });
        if verdict.is_none() {
            out.push(Action::Validate {
                topic,
                number,
                content,
            });
        }
        self.judged.insert(
            topic,
            Judgement {
                number,
                verdict,
                told_at: None,
            },
        );
    }

    /// The registration is gone: it stops, and joins again after a wait that grows with every loss.
    fn lose(&mut self, now: Micros, token: Token, out: &mut Vec<Action>) {
        self.stop(StopReason::Expelled, out);
        self.forget(token);
        if self.offered.take().is_some() {
            out.push(Action::Refused(Refusal::Stale));
        }
        self.rejoin_later(now);
    }

    fn rejoin_later(&mut self, now: Micros) {
        let steady = STEADY * self.timing.lease_us;
        if self
            .registered_at
            .take()
            .is_some_and(|at| now.saturating_sub(at) >= steady)
        {
            self.rejoin_wait = REJOIN_FIRST;
        }
        self.rejoin_at = now.saturating_add(self.rejoin_wait * self.timing.renew_us);
        self.rejoin_wait = (self.rejoin_wait * 2).min(REJOIN_MOST);
    }

    /// A registration or an offer was refused. One that is doubled, or late, says nothing new.
    fn refused(&mut self, now: Micros, why: Refusal, out: &mut Vec<Action>) {
        let joins = matches!(why, Refusal::Format { .. }) && self.token.is_none();
        if joins {
            self.rejoin_later(now);
        }
        if joins || self.offered.take().is_some() {
            out.push(Action::Refused(why));
        }
    }

    /// Turns to another control member; where two point at each other, after a wait.
    fn redirect(&mut self, now: Micros, leader: Option<u32>, out: &mut Vec<Action>) {
        let pause = self.timing.renew_us / REDIRECTS;
        let lately = self
            .redirected_at
            .is_some_and(|at| now < at.saturating_add(pause));
        self.redirected_at = Some(now);
        out.push(Action::Redirect(leader.filter(|_| !lately)));
    }

    // What is due.

    fn step(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.right.is_some_and(|right| !right.runs(now)) {
            // It may still have its registration in the log: keeping that is all it takes to act again.
            self.stop(StopReason::Lapsed, out);
        }
        if !self.wanted {
            return;
        }
        self.beat(now, out);
        if let Some(token) = self.token {
            self.tell_verdicts(now, token, out);
            self.tell_offer(now, token, out);
            self.tell_report(now, out);
        }
    }

    fn beat(&mut self, now: Micros, out: &mut Vec<Action>) {
        let joins = self.token.is_some() || now >= self.rejoin_at;
        if now < self.beat_at || !joins {
            return;
        }
        let renew = self.timing.renew_us;
        // The last one should have been answered long since: the link or the leader is gone.
        if self
            .asked_at
            .is_some_and(|at| now >= at.saturating_add(renew / 2))
        {
            self.asked_at = None;
            self.redirect(now, None, out);
        }
        let (who, formats, token, seen) = (self.me, self.formats, self.token, self.seen);
        out.push(Action::Send(ToControl::Heartbeat {
            who,
            formats,
            token,
            sent: now,
            seen,
        }));
        self.asked_at.get_or_insert(now);
        let part = if std::mem::take(&mut self.connected) {
            EARLY_FIRST
        } else {
            EARLY
        };
        self.beat_at = now.saturating_add(renew - self.drawn(now) % (renew / part).max(1));
    }

    /// A number that differs from gateway to gateway and from time to time.
    fn drawn(&self, now: Micros) -> u64 {
        xxh3_64_with_seed(&now.to_le_bytes(), self.seed)
    }

    /// Says what it thinks of a version for as long as that is offered: the leader may have changed meanwhile.
    fn tell_verdicts(&mut self, now: Micros, token: Token, out: &mut Vec<Action>) {
        let (renew, who) = (self.timing.renew_us, self.me);
        for (topic, judged) in &mut self.judged {
            let due = judged
                .told_at
                .is_none_or(|at| now >= at.saturating_add(renew));
            if let Some(verdict) = judged.verdict.clone().filter(|_| due) {
                judged.told_at = Some(now);
                let (topic, number) = (*topic, judged.number);
                out.push(Action::Send(ToControl::ValidationResult {
                    who,
                    token,
                    topic,
                    number,
                    verdict,
                }));
            }
        }
    }

    /// Offers a version, and again until it is known to be offered: the leader may have changed meanwhile.
    fn tell_offer(&mut self, now: Micros, token: Token, out: &mut Vec<Action>) {
        let (renew, who) = (self.timing.renew_us, self.me);
        let Some(offered) = &mut self.offered else {
            return;
        };
        if offered
            .told_at
            .is_none_or(|at| now >= at.saturating_add(renew))
        {
            offered.told_at = Some(now);
            let (topic, seen, content) = (offered.topic, offered.follows, offered.content.clone());
            out.push(Action::Send(ToControl::ProposeVersion {
                who,
                token,
                topic,
                seen,
                content,
            }));
        }
    }

    /// Reports what was done, and again until it was counted.
    fn tell_report(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (renew, who) = (self.timing.renew_us, self.me);
        let due = now >= self.reported_at.saturating_add(REPORT_EVERY * renew);
        if self.report.is_none() && !self.counted.is_empty() && due {
            let spans: Vec<Span> = self
                .counted
                .drain(..self.counted.len().min(SPANS))
                .collect();
            self.sequence += 1;
            self.report = Some(Reported {
                spans,
                told_at: None,
            });
            self.reported_at = now;
        }
        let Some(report) = &mut self.report else {
            return;
        };
        if report
            .told_at
            .is_none_or(|at| now >= at.saturating_add(renew))
        {
            report.told_at = Some(now);
            let (sequence, spans) = (self.sequence, report.spans.clone());
            out.push(Action::Send(ToControl::Report {
                who,
                sequence,
                spans,
            }));
        }
    }

    /// The next moment at which something is due.
    fn next(&self, now: Micros) -> Micros {
        let renew = self.timing.renew_us;
        let until = self.right.map(|right| right.until);
        let joins = if self.token.is_some() {
            0
        } else {
            self.rejoin_at
        };
        let beat = Some(self.beat_at.max(joins)).filter(|_| self.wanted);
        let verdicts = self.judged.values().filter_map(|judged| judged.told_at);
        let offer = self.offered.as_ref().and_then(|offered| offered.told_at);
        let again = verdicts
            .chain(offer)
            .map(|at| at.saturating_add(renew))
            .min();
        let due = [until, beat, again].into_iter().flatten();
        due.filter(|at| *at > now)
            .min()
            .unwrap_or(now.saturating_add(renew))
    }
}

#[cfg(test)]
mod tests;

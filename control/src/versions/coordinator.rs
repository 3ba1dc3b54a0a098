//! A control member's part: who keeps its registration and who loses it, what gateways are told, what goes into the log.

use super::{
    Command, Content, Formats, Index, Micros, NodeIdentity, Outcome, Refusal, Registration, Span,
    Table, ToControl, ToGateway, Token, Topic, TopicState,
};
use crate::lease::Timing;
use std::collections::BTreeMap;

/// Parts of a renewal. Ours: rounds of confirmation that are asked for no more often than this share the heartbeats of a
/// whole fleet, and cost a lease of three renewals a sixtieth of its length.
const ROUNDS: u64 = 20;
/// A round without an answer for this part of a renewal is replaced. Ours.
const LOST_ROUNDS: u64 = 4;
/// Verdicts are gathered for this part of a renewal at most before they are written. Ours.
const GATHERINGS: u64 = 8;
/// Looks at all registrations, for those whose wait is over, in each renewal. Ours.
const LOOKS: u64 = 8;
/// Ticks in each renewal while it leads. Ours: well above one, so that a missing one shows that this member stood still.
const TICKS: u64 = 4;
/// Leases after which a gateway that says nothing is forgotten, but for its registration. Ours.
const FORGET: u64 = 10;

/// What a control member's coordinator is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An entry on versions was committed, and is applied here in log order.
    Applied {
        /// Its place among the entries on versions.
        index: Index,
        /// What it says.
        command: Command,
    },
    /// Whether this control member leads the log, as far as it knows.
    Leading(bool),
    /// The gateway number of the control member that leads, where that is known.
    Leader(Option<u32>),
    /// A gateway says something.
    Received(ToControl),
    /// A gateway has a new link to this control member: nothing is known of what it has been told.
    Connected(NodeIdentity),
    /// A quorum has confirmed, after this round was asked for, that it knows of no later leader.
    Confirmed(u64),
    /// A timer fired, or any moment worth a look.
    Tick,
}

/// What a control member's coordinator answers with.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Ask the log to append this entry. It may be lost.
    Propose(Command),
    /// Ask a quorum whether this control member leads still, and answer with [`Event::Confirmed`] of this round. It may
    /// be lost.
    Confirm(u64),
    /// Tell a gateway. It may be lost.
    Send(NodeIdentity, ToGateway),
    /// Tell every gateway that is connected. It may be lost.
    Broadcast(ToGateway),
    /// A gateway's report was counted.
    Counted {
        /// Whose.
        who: NodeIdentity,
        /// What it did.
        spans: Vec<Span>,
    },
    /// Tick again at this time at the latest.
    Wake(Micros),
}

/// A heartbeat that waits until a quorum has confirmed that this member led when it came.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    who: NodeIdentity,
    token: Option<Token>,
    sent: Micros,
    came_at: Micros,
    /// The first round that was asked for, or will be, after it came.
    round: u64,
    /// Whether its registration may be kept by it.
    grantable: bool,
}

/// A round of confirmation that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Round {
    at: Micros,
    answered: bool,
}

/// What a gateway was told, and asked for, since it connected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Link {
    heard_at: Micros,
    /// The last change of a topic that it was sent, and when.
    told: Option<(Index, Micros)>,
    /// When a registration was last asked for on its behalf.
    joined_at: Option<Micros>,
}

/// A gateway that accepted a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Accepted {
    who: NodeIdentity,
    token: Token,
    came_at: Micros,
    proposed_at: Option<Micros>,
}

/// The verdicts on one version that the log may not have yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Gathered {
    number: u64,
    by: BTreeMap<u32, Accepted>,
}

/// What a control member knows only while it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Epoch {
    /// The entry that began it.
    number: Index,
    /// By registration, when its gateway was last heard in a way that may keep it.
    heard: BTreeMap<u32, Micros>,
    /// By registration that is being taken away, when that was last proposed. Such a registration is not kept any more.
    expelling: BTreeMap<u32, Micros>,
    /// Since when each open version is known to be open.
    opened: BTreeMap<Topic, Micros>,
    waiting: Vec<Waiting>,
    asked: Option<Round>,
    gathered: BTreeMap<Topic, Gathered>,
    links: BTreeMap<u32, Link>,
    looked_at: Option<Micros>,
}

impl Epoch {
    /// An epoch that begins: what gateways were told before, and until when they may act, is not known, so that every
    /// registration counts as heard just now.
    fn begin(number: Index, now: Micros, table: &Table) -> Epoch {
        let open = table
            .topics()
            .filter(|(_, status)| status.proposal.is_some());
        Epoch {
            number,
            heard: table
                .registrations()
                .map(|registration| (registration.who.gateway, now))
                .collect(),
            expelling: BTreeMap::new(),
            opened: open.map(|(topic, _)| (topic, now)).collect(),
            waiting: Vec::new(),
            asked: None,
            gathered: BTreeMap::new(),
            links: BTreeMap::new(),
            looked_at: None,
        }
    }

    /// Whether a gateway's acceptance of a version has come, whether or not the log has it yet.
    fn accepts(&self, table: &Table, topic: Topic, gateway: u32) -> bool {
        let open = table
            .topic(topic)
            .and_then(|status| status.proposal.as_ref());
        let written = open.is_some_and(|open| open.accepted.contains(&gateway));
        let number = open.map(|open| open.version.number);
        let gathered = self
            .gathered
            .get(&topic)
            .filter(|gathered| Some(gathered.number) == number);
        written || gathered.is_some_and(|gathered| gathered.by.contains_key(&gateway))
    }

    /// Whether a registration holds up a version for longer than a right lasts.
    fn straggles(&self, table: &Table, gateway: u32, now: Micros, wait: Micros) -> bool {
        let overdue = self
            .opened
            .iter()
            .filter(|(_, at)| now >= at.saturating_add(wait));
        overdue
            .into_iter()
            .any(|(topic, _)| !self.accepts(table, *topic, gateway))
    }

    /// Whether all registrations that are to stay accept a version.
    fn complete(&self, table: &Table, topic: Topic) -> bool {
        let mut staying = table
            .registrations()
            .filter(|registration| !self.expelling.contains_key(&registration.who.gateway));
        staying.all(|registration| self.accepts(table, topic, registration.who.gateway))
    }
}

/// The versions at one control member: the one door there (see the module's page).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    me: NodeIdentity,
    timing: Timing,
    table: Table,
    leading: bool,
    leader: Option<u32>,
    /// When it last proposed to begin an epoch.
    led_at: Option<Micros>,
    /// While it leads and the log says so.
    epoch: Option<Epoch>,
    /// The last round of confirmation that was asked for, over all epochs.
    round: u64,
    /// When it last took an event.
    awake_at: Micros,
}

impl Coordinator {
    /// A control member in its incarnation `me`, that knows nothing of the log yet.
    pub fn new(me: NodeIdentity, timing: Timing) -> Coordinator {
        Coordinator {
            me,
            timing,
            table: Table::default(),
            leading: false,
            leader: None,
            led_at: None,
            epoch: None,
            round: 0,
            awake_at: 0,
        }
    }

    /// What the log says, as far as it was applied here.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Takes over what others agreed on, in place of the entries. An epoch of this member ends with it.
    pub fn restore(&mut self, _now: Micros, table: Table) {
        self.table = table;
        self.epoch = None;
    }

    /// Takes an event at `now` (microseconds on this member's monotonic clock) and says what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.discount_standstill(now);
        match event {
            Event::Applied { index, command } => self.apply(now, index, &command, out),
            Event::Leading(leading) => self.lead(leading),
            Event::Leader(leader) => self.leader = leader,
            Event::Received(message) => self.receive(now, message, out),
            Event::Connected(who) => self.connect(now, who),
            Event::Confirmed(round) => self.confirmed(round, out),
            Event::Tick => {}
        }
        self.step(now, out);
        out.push(Action::Wake(self.next(now)));
    }

    /// While this member stood still it heard nobody: that time is no silence of theirs.
    fn discount_standstill(&mut self, now: Micros) {
        let stood = now.saturating_sub(self.awake_at);
        self.awake_at = now;
        if stood <= self.timing.renew_us {
            return;
        }
        if let Some(epoch) = &mut self.epoch {
            let since = epoch.heard.values_mut().chain(epoch.opened.values_mut());
            since.for_each(|at| *at = at.saturating_add(stood));
        }
    }

    fn lead(&mut self, leading: bool) {
        if leading != self.leading {
            self.leading = leading;
            self.led_at = None;
            self.epoch = None;
        }
    }

    fn connect(&mut self, now: Micros, who: NodeIdentity) {
        if let Some(epoch) = &mut self.epoch {
            epoch.links.insert(
                who.gateway,
                Link {
                    heard_at: now,
                    ..Link::default()
                },
            );
        }
    }

    // What is applied.

    fn apply(&mut self, now: Micros, index: Index, command: &Command, out: &mut Vec<Action>) {
        let before = self.table.changed();
        let mut outcomes = Vec::new();
        // Entries are numbered by the table that counts them; a gap is the caller's fault and changes nothing.
        if self.table.apply(index, command, &mut outcomes).is_err() {
            return;
        }
        for outcome in outcomes {
            self.learn(now, index, command, outcome, out);
        }
        if self.table.changed() > before {
            self.publish(now, before, out);
        }
    }

    /// What an applied entry means here.
    fn learn(
        &mut self,
        now: Micros,
        index: Index,
        command: &Command,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        if let Outcome::EpochBegun(who) = outcome {
            let mine = who == self.me && self.leading;
            self.epoch = mine.then(|| Epoch::begin(index, now, &self.table));
            return;
        }
        if let (Outcome::Reported { who, .. }, Command::Report { spans, .. }) = (&outcome, command)
        {
            out.push(Action::Counted {
                who: *who,
                spans: spans.clone(),
            });
        }
        let Some(epoch) = &mut self.epoch else { return };
        match outcome {
            Outcome::EpochBegun(_) | Outcome::Acked { .. } => {}
            Outcome::Registered(Registration { who, .. }) => {
                epoch.heard.insert(who.gateway, now);
                // Given under an open version only where no other is there to judge it: it has its time for that.
                epoch.opened.values_mut().for_each(|at| *at = now);
            }
            Outcome::Left(Registration { who, .. }) => epoch.vacate(who.gateway),
            Outcome::Expired(Registration { who, token, .. }) => {
                epoch.vacate(who.gateway);
                out.push(Action::Send(
                    who,
                    ToGateway::RegistrationExpired { who, token },
                ));
            }
            Outcome::VersionProposed { topic, .. } => {
                epoch.opened.insert(topic, now);
            }
            Outcome::Activated { topic, .. } => epoch.close(topic),
            Outcome::ProposalRejected {
                topic,
                number,
                by,
                reason,
            } => {
                epoch.close(topic);
                out.push(Action::Broadcast(ToGateway::ProposalRejected {
                    topic,
                    number,
                    by,
                    reason,
                }));
            }
            Outcome::Reported { who, sequence } => {
                out.push(Action::Send(
                    who,
                    ToGateway::ReportCounted { who, sequence },
                ));
            }
            Outcome::Refused(why) => {
                if let Command::ProposeVersion { who, .. } = command {
                    out.push(Action::Send(
                        *who,
                        ToGateway::RequestRejected { who: *who, why },
                    ));
                }
            }
        }
    }

    /// Tells every gateway what changed, where this member serves any.
    fn publish(&mut self, now: Micros, since: Index, out: &mut Vec<Action>) {
        let as_of = self.table.changed();
        let Some(epoch) = &mut self.epoch else { return };
        epoch
            .links
            .values_mut()
            .for_each(|link| link.told = Some((as_of, now)));
        out.push(Action::Broadcast(self.state(since)));
    }

    /// How the topics stand that changed after an entry.
    fn state(&self, since: Index) -> ToGateway {
        let changed = self
            .table
            .topics()
            .filter(|(_, status)| status.changed > since);
        let topics = changed.map(|(topic, status)| TopicState {
            topic,
            active: status.number(),
            before: status.previous,
            open: status
                .proposal
                .as_ref()
                .map(|open| (open.version.number, open.version.content.clone())),
        });
        ToGateway::TopicStates {
            as_of: self.table.changed(),
            since,
            topics: topics.collect(),
        }
    }

    // What gateways say.

    fn receive(&mut self, now: Micros, message: ToControl, out: &mut Vec<Action>) {
        if self.epoch.is_none() {
            self.turn_away(message.who(), out);
            return;
        }
        match message {
            ToControl::Heartbeat {
                who,
                formats,
                token,
                sent,
                seen,
            } => {
                self.repair(now, who, seen, out);
                self.note(now, who, token, sent);
                if token.is_none() {
                    self.join(now, who, formats, out);
                }
            }
            ToControl::ValidationResult {
                who,
                token,
                topic,
                number,
                verdict,
            } => {
                let opened = self
                    .table
                    .topic(topic)
                    .is_some_and(|status| status.opened(number));
                let registered = self
                    .table
                    .registration(who)
                    .is_some_and(|registration| registration.token == token);
                match verdict {
                    _ if !(opened && registered) => {}
                    Ok(()) => self.gather(now, who, token, topic, number),
                    Err(reason) => {
                        let refuse = Command::Nack {
                            who,
                            token,
                            topic,
                            number,
                            reason,
                        };
                        out.push(Action::Propose(refuse));
                    }
                }
            }
            ToControl::ProposeVersion {
                who,
                token,
                topic,
                seen,
                content,
            } => {
                self.offer(who, token, topic, seen, content, out);
            }
            ToControl::Report {
                who,
                sequence,
                spans,
            } => self.report(who, sequence, spans, out),
            ToControl::Leave { who, token } => {
                out.push(Action::Propose(Command::Leave { who, token }))
            }
        }
    }

    /// Says who leads, where that is somebody else. While this member is about to begin its own epoch it says nothing.
    fn turn_away(&self, who: NodeIdentity, out: &mut Vec<Action>) {
        if !self.leading {
            let leader = self.leader.filter(|leader| *leader != self.me.gateway);
            out.push(Action::Send(who, ToGateway::NotLeader { leader }));
        }
    }

    /// Sends what a gateway has missed, unless it is on its way.
    fn repair(&mut self, now: Micros, who: NodeIdentity, seen: Index, out: &mut Vec<Action>) {
        let (as_of, soon) = (self.table.changed(), self.timing.renew_us / 2);
        let Some(epoch) = &mut self.epoch else { return };
        let link = epoch.links.entry(who.gateway).or_default();
        link.heard_at = now;
        let told = link.told.filter(|(told, _)| *told == as_of);
        let on_its_way = told.is_some_and(|(_, at)| now < at.saturating_add(soon));
        if seen < as_of && !on_its_way {
            link.told = Some((as_of, now));
            out.push(Action::Send(who, self.state(seen)));
        }
    }

    /// Notes that a gateway was heard; it is answered once a quorum has confirmed that this member leads.
    fn note(&mut self, now: Micros, who: NodeIdentity, token: Option<Token>, sent: Micros) {
        let wait = self.timing.wait_us();
        let Some(epoch) = &mut self.epoch else { return };
        let expelling = epoch.expelling.contains_key(&who.gateway);
        let grantable = !expelling && !epoch.straggles(&self.table, who.gateway, now, wait);
        let registration = self
            .table
            .registration(who)
            .filter(|registration| token.is_none_or(|token| token == registration.token));
        if grantable && registration.is_some() {
            epoch.heard.insert(who.gateway, now);
        }
        let round = self.round + 1;
        epoch.waiting.push(Waiting {
            who,
            token,
            sent,
            came_at: now,
            round,
            grantable,
        });
    }

    /// Asks for a registration on behalf of a gateway that has none, where the log would give one.
    fn join(&mut self, now: Micros, who: NodeIdentity, formats: Formats, out: &mut Vec<Action>) {
        let (refused, soon) = (
            self.table.joinable(who, formats).err(),
            self.timing.renew_us / 2,
        );
        let Some(epoch) = &mut self.epoch else { return };
        match refused {
            Some(why @ Refusal::Format { .. }) => {
                out.push(Action::Send(who, ToGateway::RequestRejected { who, why }));
            }
            // It asks again by itself.
            Some(_) => {}
            None => {
                let link = epoch.links.entry(who.gateway).or_default();
                if link
                    .joined_at
                    .is_none_or(|at| now >= at.saturating_add(soon))
                {
                    link.joined_at = Some(now);
                    out.push(Action::Propose(Command::Join { who, formats }));
                }
            }
        }
    }

    /// Keeps an acceptance until it is written.
    fn gather(&mut self, now: Micros, who: NodeIdentity, token: Token, topic: Topic, number: u64) {
        let Some(epoch) = &mut self.epoch else { return };
        let gathered = epoch.gathered.entry(topic).or_default();
        if gathered.number != number {
            *gathered = Gathered {
                number,
                by: BTreeMap::new(),
            };
        }
        let former = gathered
            .by
            .get(&who.gateway)
            .filter(|former| former.token == token);
        if former.is_none() {
            let accepted = Accepted {
                who,
                token,
                came_at: now,
                proposed_at: None,
            };
            gathered.by.insert(who.gateway, accepted);
        }
    }

    fn offer(
        &mut self,
        who: NodeIdentity,
        token: Token,
        topic: Topic,
        seen: u64,
        content: Content,
        out: &mut Vec<Action>,
    ) {
        match self.table.offerable(who, token, topic, seen, &content) {
            Ok(()) => out.push(Action::Propose(Command::ProposeVersion {
                who,
                token,
                topic,
                seen,
                content,
            })),
            Err(why) => out.push(Action::Send(who, ToGateway::RequestRejected { who, why })),
        }
    }

    fn report(
        &mut self,
        who: NodeIdentity,
        sequence: u64,
        spans: Vec<Span>,
        out: &mut Vec<Action>,
    ) {
        if sequence <= self.table.audit().last(who) {
            out.push(Action::Send(
                who,
                ToGateway::ReportCounted { who, sequence },
            ));
        } else {
            out.push(Action::Propose(Command::Report {
                who,
                sequence,
                spans,
            }));
        }
    }

    /// Answers the heartbeats that came before a round was asked for.
    fn confirmed(&mut self, round: u64, out: &mut Vec<Action>) {
        let Some(epoch) = self.epoch.as_mut().filter(|_| round <= self.round) else {
            return;
        };
        if let Some(asked) = epoch.asked.as_mut().filter(|_| round == self.round) {
            asked.answered = true;
        }
        let (covered, waiting) = epoch
            .waiting
            .drain(..)
            .partition(|waiting| waiting.round <= round);
        epoch.waiting = waiting;
        let covered: Vec<Waiting> = covered;
        let registrations = u32::try_from(self.table.registrations().count()).unwrap_or(u32::MAX);
        for heartbeat in covered {
            out.push(Action::Send(
                heartbeat.who,
                self.answer(&heartbeat, registrations),
            ));
        }
    }

    fn answer(&self, heartbeat: &Waiting, registrations: u32) -> ToGateway {
        let Waiting {
            who, token, sent, ..
        } = *heartbeat;
        let required = self.table.changed();
        let expelling = |epoch: &Epoch| epoch.expelling.contains_key(&who.gateway);
        let grantable = heartbeat.grantable && !self.epoch.as_ref().is_some_and(expelling);
        match (token, self.table.registration(who)) {
            (Some(token), registration)
                if registration.is_none_or(|registration| registration.token != token) =>
            {
                ToGateway::RegistrationExpired { who, token }
            }
            (_, Some(registration)) if grantable => ToGateway::RegistrationRenewed {
                who,
                token: registration.token,
                sent,
                required,
                registrations,
            },
            // This member leads, that is all.
            _ => ToGateway::TopicStates {
                as_of: required,
                since: required,
                topics: Vec::new(),
            },
        }
    }

    // What is due.

    fn step(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self.epoch.is_some() {
            self.write_verdicts(now, out);
            self.look_at_registrations(now, out);
            self.ask_for_confirmation(now, out);
        } else if self.leading {
            self.propose_epoch(now, out);
        }
    }

    fn propose_epoch(&mut self, now: Micros, out: &mut Vec<Action>) {
        if self
            .led_at
            .is_none_or(|at| now >= at.saturating_add(self.timing.renew_us))
        {
            self.led_at = Some(now);
            out.push(Action::Propose(Command::BeginEpoch { who: self.me }));
        }
    }

    /// Writes the verdicts that were gathered: all at once where that decides, the rest after a moment.
    fn write_verdicts(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (renew, table) = (self.timing.renew_us, &self.table);
        let Some(epoch) = &mut self.epoch else { return };
        let topics: Vec<Topic> = epoch.gathered.keys().copied().collect();
        for topic in topics {
            let complete = epoch.complete(table, topic);
            let open = table
                .topic(topic)
                .and_then(|status| status.proposal.as_ref());
            let Some(gathered) = epoch.gathered.get_mut(&topic) else {
                continue;
            };
            let written = |gateway: u32| open.is_some_and(|open| open.accepted.contains(&gateway));
            let due = |accepted: &Accepted| match accepted.proposed_at {
                Some(at) => now >= at.saturating_add(renew),
                None => complete || now >= accepted.came_at.saturating_add(renew / GATHERINGS),
            };
            gathered.by.retain(|gateway, _| !written(*gateway));
            if !gathered.by.values().any(due) {
                continue;
            }
            let again = |at: Micros| now >= at.saturating_add(renew);
            let unwritten = gathered
                .by
                .values_mut()
                .filter(|one| one.proposed_at.is_none_or(again));
            let by = unwritten.map(|accepted| {
                accepted.proposed_at = Some(now);
                (accepted.who, accepted.token)
            });
            let by = by.collect();
            out.push(Action::Propose(Command::Ack {
                topic,
                number: gathered.number,
                by,
            }));
        }
    }

    /// Takes away the registrations of gateways whose right has certainly run out.
    fn look_at_registrations(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Timing {
            renew_us, lease_us, ..
        } = self.timing;
        let wait = self.timing.wait_us();
        let Some(epoch) = &mut self.epoch else { return };
        if epoch
            .looked_at
            .is_some_and(|at| now < at.saturating_add(renew_us / LOOKS))
        {
            return;
        }
        epoch.looked_at = Some(now);
        for Registration { who, token, .. } in self.table.registrations().copied() {
            let heard_at = *epoch.heard.entry(who.gateway).or_insert(now);
            let proposed_at = epoch.expelling.get(&who.gateway);
            let again = proposed_at.is_none_or(|at| now >= at.saturating_add(renew_us));
            if now >= heard_at.saturating_add(wait) && again {
                epoch.expelling.insert(who.gateway, now);
                out.push(Action::Propose(Command::Expire {
                    who,
                    token,
                    epoch: epoch.number,
                }));
            }
        }
        // Their right would have run out before they heard of it.
        epoch
            .waiting
            .retain(|waiting| now < waiting.came_at.saturating_add(lease_us));
        epoch
            .links
            .retain(|_, link| now < link.heard_at.saturating_add(FORGET * lease_us));
    }

    /// Asks a quorum whether this member leads still: one question for all that wait.
    fn ask_for_confirmation(&mut self, now: Micros, out: &mut Vec<Action>) {
        let due = self.confirmation_due();
        let Some(epoch) = self
            .epoch
            .as_mut()
            .filter(|epoch| !epoch.waiting.is_empty())
        else {
            return;
        };
        if due.is_none_or(|due| now >= due) {
            self.round += 1;
            epoch.asked = Some(Round {
                at: now,
                answered: false,
            });
            out.push(Action::Confirm(self.round));
        }
    }

    /// When the next round may be asked for, after a first one.
    fn confirmation_due(&self) -> Option<Micros> {
        let asked = self.epoch.as_ref()?.asked?;
        let part = if asked.answered { ROUNDS } else { LOST_ROUNDS };
        Some(asked.at.saturating_add(self.timing.renew_us / part))
    }

    /// The next moment at which something is due.
    fn next(&self, now: Micros) -> Micros {
        let renew = self.timing.renew_us;
        if !self.leading {
            return now.saturating_add(renew);
        }
        let tick = now.saturating_add((renew / TICKS).max(1));
        let Some(epoch) = &self.epoch else {
            return tick;
        };
        let confirmation = self
            .confirmation_due()
            .filter(|_| !epoch.waiting.is_empty());
        let verdicts = epoch
            .gathered
            .values()
            .flat_map(|gathered| gathered.by.values());
        let write = verdicts.map(|accepted| accepted.came_at.saturating_add(renew / GATHERINGS));
        let due = confirmation.into_iter().chain(write);
        due.filter(|at| *at > now).min().unwrap_or(tick).min(tick)
    }
}

impl Epoch {
    /// A registration is gone.
    fn vacate(&mut self, gateway: u32) {
        self.heard.remove(&gateway);
        self.expelling.remove(&gateway);
    }

    /// A version is settled.
    fn close(&mut self, topic: Topic) {
        self.opened.remove(&topic);
        self.gathered.remove(&topic);
    }
}

#[cfg(test)]
mod tests;

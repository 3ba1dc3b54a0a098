//! A simulated fleet of members for one router, which checks every rule after every step.

use super::common::MS;
use asterreel::interface::*;
use asterreel::policy::Router;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SECOND: Micros = 1_000 * MS;
const START: Micros = 1_000 * SECOND;
const SPAN: Micros = 12 * SECOND;

/// The true state of a member, which the router may not know.
#[derive(Clone)]
struct Member {
    group: u64,
    zone: u32,
    state: EndpointState,
    lag: Micros,
    /// The position is never below this, as it never goes back.
    floor: Micros,
    work: Micros,
    alive: bool,
    /// When the router was notified of a list entry that forbids dispatches to the member.
    dispatch_forbidden_at: Option<Micros>,
    /// It was the primary, and has not answered as a replica since: the router may still know it as the primary.
    may_seem_primary: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    member: u32,
    dispatched_at: Micros,
    /// When its statement was written; `None` while it waits for its connection.
    sent_at: Option<Micros>,
    in_flight: bool,
    may_have_run: bool,
}

/// A request that has no answer, or an attempt in flight.
struct OpenRequest {
    class: usize,
    group: u64,
    due: Micros,
    received: Micros,
    session: Option<u64>,
    /// The last commit of its session when the request arrived.
    token: Micros,
    attempts: Vec<Attempt>,
    answered: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrive,
    Fault,
    Wake,
    /// The connection of an attempt is ready.
    Send(u64, usize),
    /// An attempt may not wait for its connection any longer.
    GiveUp(u64, usize),
    End(u64, usize),
    Leave(u64),
    Report(u32),
    WatchUpdate,
}

pub(crate) struct World {
    settings: Settings,
    router: Router,
    rng: fastrand::Rng,
    now: Micros,
    members: BTreeMap<u32, Member>,
    primaries: BTreeMap<u64, u32>,
    open: BTreeMap<u64, OpenRequest>,
    events: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    /// Orders events of the same time; also the source of request identifiers.
    number: u64,
    cancelled: Vec<(u64, usize)>,
    /// The longest time for which an attempt waits for its connection; 0 if attempts are sent at once, without asking.
    max_send_wait: Micros,
    pub served: u32,
    /// How many sends the router refused, by reason.
    pub refusals: BTreeMap<String, u32>,
    /// The last commit that was answered, by session.
    commits: BTreeMap<u64, Micros>,
    /// Calls to discovery that the router still has to make.
    calls_due: u32,
    /// The latest events with their actions, to be shown when a rule is broken.
    pub trace: VecDeque<String>,
}

/// An error says which rule was broken.
pub(crate) type RuleCheck = Result<(), String>;

impl World {
    pub(crate) fn new(settings: Settings, seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let router = Router::new(settings.clone(), seed, START).expect("good settings");
        let (mut members, mut primaries) = (BTreeMap::new(), BTreeMap::new());
        for group in 0..rng.u64(1..4) {
            for place in 0..rng.u32(1..6) {
                let id = members.len() as u32;
                let (zone, work) = (rng.u32(0..2), rng.u64(2..60) * MS);
                let lag = if place == 0 { 0 } else { rng.u64(1..400) * MS };
                let (state, alive) = (EndpointState::Ready, true);
                let may_seem_primary = place == 0;
                let floor = START - lag;
                let member = Member {
                    group,
                    zone,
                    state,
                    lag,
                    floor,
                    work,
                    alive,
                    dispatch_forbidden_at: None,
                    may_seem_primary,
                };
                members.insert(id, member);
                primaries.entry(group).or_insert(id);
            }
        }
        World {
            settings,
            router,
            rng,
            now: START,
            members,
            primaries,
            open: BTreeMap::new(),
            events: BinaryHeap::new(),
            number: 0,
            cancelled: Vec::new(),
            max_send_wait: 0,
            served: 0,
            refusals: BTreeMap::new(),
            commits: BTreeMap::new(),
            calls_due: 0,
            trace: VecDeque::new(),
        }
    }

    /// Lets attempts wait for their connections, up to this long, and clients leave.
    pub(crate) fn with_send_waits(mut self, longest: Micros) -> World {
        self.max_send_wait = longest;
        self
    }

    fn schedule(&mut self, after: Micros, next: SimEvent) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, next)));
    }

    fn endpoint(&self, id: u32) -> Endpoint {
        let member = &self.members[&id];
        let primary = self.primaries.get(&member.group) == Some(&id);
        let is_listed_primary = primary && self.settings.listed_role != ListedRole::Never;
        Endpoint {
            member: MemberId(id),
            group: GroupId(member.group),
            zone: ZoneId(member.zone),
            state: member.state,
            started: 0,
            role: if is_listed_primary {
                Role::Primary
            } else {
                Role::Replica
            },
            size: 1.0,
            tie_break_hash: u64::from(id).wrapping_mul(0x9E37_79B9),
        }
    }

    fn position(&self, member: &Member) -> Micros {
        member.floor.max(self.now - member.lag)
    }

    fn report_of(&self, id: u32) -> MemberReport {
        let member = &self.members[&id];
        let primary = self.primaries.get(&member.group) == Some(&id);
        let role = if primary {
            Role::Primary
        } else {
            Role::Replica
        };
        let position = self
            .settings
            .positions
            .granted()
            .then(|| self.position(member));
        MemberReport {
            role: Some(role),
            position,
        }
    }

    fn handle(&mut self, event: Event) -> RuleCheck {
        let mut actions = Vec::new();
        let text = format!("{} {event:?}", self.now - START);
        self.router.handle(self.now, event, &mut actions);
        self.trace.push_back(format!("{text} -> {actions:?}"));
        if self.trace.len() > 24 {
            self.trace.pop_front();
        }
        actions
            .into_iter()
            .try_for_each(|action| self.apply_action(action))
    }

    fn apply_action(&mut self, action: Action) -> RuleCheck {
        match action {
            Action::Dispatch {
                request,
                member: to,
                timeout,
                send_within,
            } => self.dispatch(request.0, to.0, timeout, send_within),
            Action::Reject {
                request,
                retry_after,
            } => {
                if retry_after.is_some_and(|wait| wait > self.settings.max_retry_after)
                    || retry_after.is_some() && !self.settings.retry_after.granted()
                {
                    return Err(format!(
                        "{request:?} is rejected with a retry-after of {retry_after:?}, which is too long or forbidden"
                    ));
                }
                let Some(open) = self.open.get(&request.0) else {
                    return Ok(());
                };
                let idempotency = self.settings.classes[open.class].idempotency;
                let may_have_run = open.attempts.iter().any(|attempt| attempt.may_have_run);
                let harmless = matches!(
                    idempotency,
                    Idempotency::Idempotent
                        | Idempotency::IdempotencyKey {
                            scope: DeduplicationScope::All,
                            ..
                        }
                );
                if may_have_run && !harmless {
                    return Err(format!("{request:?} may have run and is rejected"));
                }
                self.answer(request.0)
            }
            Action::Fail(request) => self.answer(request.0),
            Action::CancelAttempt { request, attempt } => {
                if !self.settings.cancel.granted() {
                    return Err("an attempt is cancelled although the settings forbid it".into());
                }
                self.cancelled.push((request.0, attempt.0 as usize));
                self.schedule(MS, SimEvent::End(request.0, attempt.0 as usize));
                Ok(())
            }
            Action::CheckHealth(member) => {
                if !self.settings.probes.granted() {
                    return Err("a member is checked although the settings forbid it".into());
                }
                self.check_not_draining(member.0)?;
                self.schedule(2 * MS, SimEvent::Report(member.0));
                Ok(())
            }
            Action::Watch => {
                self.schedule(5 * MS, SimEvent::WatchUpdate);
                if self.settings.discovery == DiscoveryMode::Push && self.calls_due == 0 {
                    return Err(
                        "discovery is called although lists are pushed and no watch was lost"
                            .into(),
                    );
                }
                self.calls_due = self.calls_due.saturating_sub(1);
                Ok(())
            }
            Action::SetTimer(after) => {
                self.schedule(after, SimEvent::Wake);
                Ok(())
            }
            Action::ReportTransition { .. } => Ok(()),
        }
    }

    fn answer(&mut self, request: u64) -> RuleCheck {
        let Some(open) = self.open.get_mut(&request) else {
            return Err(format!("request {request} is answered but not open"));
        };
        if std::mem::replace(&mut open.answered, true) {
            return Err(format!("request {request} is answered twice"));
        }
        Ok(())
    }

    /// Checks that a member is listed and may get requests.
    fn check_not_draining(&self, id: u32) -> RuleCheck {
        match self.members.get(&id) {
            None => Err(format!("member {id} was never listed")),
            Some(member) if member.dispatch_forbidden_at.is_some() => Err(format!(
                "member {id} drains or is removed and gets a request or a check"
            )),
            Some(_) => Ok(()),
        }
    }

    fn dispatch(
        &mut self,
        request: u64,
        to: u32,
        timeout: Micros,
        send_within: Micros,
    ) -> RuleCheck {
        self.check_not_draining(to)?;
        let (now, settings) = (self.now, &self.settings);
        let member = &self.members[&to];
        let Some(open) = self.open.get_mut(&request).filter(|open| !open.answered) else {
            return Err(format!("request {request} is dispatched but not open"));
        };
        if member.group != open.group
            || now + timeout > open.due
            || timeout == 0
            || send_within > timeout
        {
            return Err(format!(
                "request {request} is dispatched to another group, or with a time-out that is 0 or too long"
            ));
        }
        if open.attempts.len() >= settings.max_attempts as usize {
            return Err(format!("request {request} has too many attempts"));
        }
        if open.attempts.iter().any(|attempt| attempt.in_flight) {
            return Err(format!("request {request} has two attempts in flight"));
        }
        self.check_repeat(request, to, None)?;
        self.check_data(request, to)?;
        let open = self.open.get_mut(&request).expect("an open request");
        let at = open.attempts.len();
        open.attempts.push(Attempt {
            member: to,
            dispatched_at: now,
            sent_at: None,
            in_flight: true,
            may_have_run: true,
        });
        if self.max_send_wait == 0 {
            return self.send(request, at, timeout);
        }
        let wait = self.rng.u64(1..=self.max_send_wait);
        // A caller that was held up asks late, and must be refused then.
        let asks_late = self.rng.bool() && wait < timeout;
        if wait < send_within || asks_late {
            self.schedule(wait, SimEvent::Send(request, at));
        } else {
            self.schedule(send_within, SimEvent::GiveUp(request, at));
        }
        Ok(())
    }

    /// Checks that a request which may have run is sent only where that has no further effect.
    fn check_repeat(&self, request: u64, to: u32, own: Option<usize>) -> RuleCheck {
        let (open, member) = (&self.open[&request], &self.members[&to]);
        let mut earlier = open.attempts.iter().enumerate();
        let first = earlier.find(|(at, attempt)| Some(*at) != own && attempt.may_have_run);
        match (first, self.settings.classes[open.class].idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Ok(()),
            (Some(_), Idempotency::NonIdempotent) => {
                Err(format!("request {request} may have run and is sent again"))
            }
            (Some((_, first)), Idempotency::IdempotencyKey { scope, window }) => {
                let sent_at = first.sent_at.unwrap_or(first.dispatched_at);
                let zone = self.members[&first.member].zone;
                if self.now >= sent_at + window
                    || scope == DeduplicationScope::Zone && zone != member.zone
                {
                    return Err(format!(
                        "request {request} is repeated where its idempotency key is no longer known"
                    ));
                }
                Ok(())
            }
        }
    }

    /// Checks that a read gets data that is recent enough.
    fn check_data(&self, request: u64, to: u32) -> RuleCheck {
        let (now, settings) = (self.now, &self.settings);
        let (open, member) = (&self.open[&request], &self.members[&to]);
        let position = self.position(member);
        // Members that check reads reject stale ones themselves; others answer from the data they have.
        let consistency = settings.consistency_levels[open.class];
        let must_see = match consistency {
            ConsistencyLevel::BoundedStaleness => now - settings.staleness_bounds[open.class],
            ConsistencyLevel::Strong => open.received,
            ConsistencyLevel::Session => open.token,
            ConsistencyLevel::Eventual | ConsistencyLevel::Write => 0,
        };
        let has_positions = settings.positions.granted();
        if settings.replica_checks == ReplicaChecks::None
            && has_positions
            && !member.may_seem_primary
            && position < must_see
        {
            return Err(format!(
                "request {request} ({consistency:?}) is dispatched to member {to}, which is {} us behind",
                now - position
            ));
        }
        Ok(())
    }

    /// Sends an attempt; it ends after `timeout` at the latest.
    fn send(&mut self, request: u64, at: usize, timeout: Micros) -> RuleCheck {
        let open = self.open.get_mut(&request).expect("an open request");
        open.attempts[at].sent_at = Some(self.now);
        let member = &self.members[&open.attempts[at].member];
        let took = self.rng.f64() * 2.0 * member.work as f64 + 1.0;
        let after = if member.alive {
            (took as Micros).min(timeout)
        } else {
            timeout.min(250 * MS)
        };
        self.schedule(after, SimEvent::End(request, at));
        Ok(())
    }

    fn is_waiting_to_send(&self, request: u64, at: usize) -> bool {
        let open = self.open.get(&request);
        let attempt = open.and_then(|open| open.attempts.get(at));
        attempt.is_some_and(|attempt| attempt.in_flight && attempt.sent_at.is_none())
    }

    /// Asks whether an attempt may be sent now, and checks both the permission and the refusal against the rules.
    fn connection_ready(&mut self, request: u64, at: usize) -> RuleCheck {
        if !self.is_waiting_to_send(request, at) {
            return Ok(());
        }
        let attempt = AttemptNo(at as u32);
        let permitted = self
            .router
            .permit_send(self.now, RequestId(request), attempt);
        self.trace.push_back(format!(
            "{} send {request} {at}: {permitted:?}",
            self.now - START
        ));
        let open = &self.open[&request];
        let (due, is_answered, to) = (open.due, open.answered, open.attempts[at].member);
        let is_ended = is_answered || self.cancelled.contains(&(request, at));
        match permitted {
            Ok(()) => {
                self.check_not_draining(to)?;
                self.check_repeat(request, to, Some(at))?;
                self.check_data(request, to)?;
                if is_ended || self.now >= due {
                    return Err(format!("request {request} is sent after its end"));
                }
                return self.send(request, at, due - self.now);
            }
            Err(SendRefusal::RequestEnded) if !is_ended => {
                return Err(format!("request {request} is open and counts as ended"));
            }
            Err(SendRefusal::MemberDraining) if self.check_not_draining(to).is_ok() => {
                return Err(format!("member {to} is ready and counts as draining"));
            }
            Err(SendRefusal::RepeatForbidden)
                if self.check_repeat(request, to, Some(at)).is_ok() =>
            {
                return Err(format!("request {request} may be repeated and is refused"));
            }
            Err(refusal) => {
                *self.refusals.entry(format!("{refusal:?}")).or_default() += 1;
            }
        }
        self.end_unsent(request, at)
    }

    /// Ends an attempt that was not sent.
    fn end_unsent(&mut self, request: u64, at: usize) -> RuleCheck {
        if !self.is_waiting_to_send(request, at) {
            return Ok(());
        }
        let now = self.now;
        let open = self.open.get_mut(&request).expect("an open request");
        let attempt = &mut open.attempts[at];
        (attempt.in_flight, attempt.may_have_run) = (false, false);
        let latency = now - attempt.dispatched_at;
        let answer = if open.answered {
            AnswerStatus::Finished
        } else {
            AnswerStatus::Pending
        };
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: RequestId(request),
            attempt: AttemptNo(at as u32),
            outcome: Outcome::NotSent,
            latency,
            answer_report: MemberReport::default(),
            load_report: MemberReport::default(),
            answer,
        }))
    }

    /// The client of a request leaves.
    fn leave(&mut self, request: u64) -> RuleCheck {
        let Some(open) = self.open.get_mut(&request).filter(|open| !open.answered) else {
            return Ok(());
        };
        open.answered = true;
        self.handle(Event::ClientGone(RequestId(request)))
    }

    /// Whether a member rejects a request of this class for its role or its lag.
    fn misroutes(&self, class: usize, member: &Member, primary: bool) -> bool {
        let checked = self.settings.replica_checks == ReplicaChecks::RejectStale;
        match self.settings.consistency_levels[class] {
            ConsistencyLevel::Write => !primary,
            ConsistencyLevel::Strong => checked && !primary,
            ConsistencyLevel::Session => checked && !primary && member.lag > 0,
            ConsistencyLevel::BoundedStaleness => {
                checked && member.lag > self.settings.staleness_bounds[class]
            }
            ConsistencyLevel::Eventual => false,
        }
    }

    fn draw_outcome(&mut self, alive: bool, misroutes: bool) -> Outcome {
        if !alive {
            return if self.rng.bool() {
                Outcome::ConnectFailed
            } else {
                Outcome::TimedOut
            };
        }
        if misroutes {
            return Outcome::Misrouted;
        }
        match self.rng.u8(0..40) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::Reset,
            // Repeats need attempts that may have run.
            4..=8 if self.max_send_wait > 0 => Outcome::Reset,
            3 => Outcome::InvalidRequest,
            _ => Outcome::Served,
        }
    }

    /// Ends an attempt, with a random outcome unless the member's state decides it.
    fn end_attempt(&mut self, request: u64, at: usize) -> RuleCheck {
        if self.is_waiting_to_send(request, at) {
            return self.end_unsent(request, at);
        }
        let Some(open) = self.open.get(&request) else {
            return Ok(());
        };
        let Some(&Attempt {
            member: to,
            dispatched_at,
            in_flight: true,
            ..
        }) = open.attempts.get(at)
        else {
            return Ok(());
        };
        let member = self.members[&to].clone();
        let consistency = self.settings.consistency_levels[open.class];
        let primary = self.primaries.get(&member.group) == Some(&to);
        let session = open.session;
        let misroutes = self.misroutes(open.class, &member, primary);
        let outcome = if self.cancelled.contains(&(request, at)) {
            Outcome::Cancelled
        } else {
            self.draw_outcome(member.alive, misroutes)
        };
        let now = self.now;
        let open = self.open.get_mut(&request).expect("an open request");
        open.attempts[at].in_flight = false;
        open.attempts[at].may_have_run = !outcome.proves_no_effect();
        let answered = matches!(
            outcome,
            Outcome::Served | Outcome::Misrouted | Outcome::Error | Outcome::Rejected
        );
        let report = if answered {
            self.report_of(to)
        } else {
            MemberReport::default()
        };
        let served = outcome == Outcome::Served;
        let is_pending = !self.open[&request].answered;
        let answer_status = if served || !is_pending {
            AnswerStatus::Finished
        } else {
            AnswerStatus::Pending
        };
        if served && is_pending {
            self.answer(request)?;
            self.served += 1;
            if let (ConsistencyLevel::Write, Some(session)) = (consistency, session) {
                let commit = self.commits.entry(session).or_default();
                *commit = now.max(*commit);
            }
        }
        let report = if served && consistency == ConsistencyLevel::Write {
            MemberReport {
                position: Some(now),
                ..report
            }
        } else {
            report
        };
        let ended = AttemptEnded {
            request: RequestId(request),
            attempt: AttemptNo(at as u32),
            outcome,
            latency: now - dispatched_at,
            answer_report: report,
            load_report: MemberReport::default(),
            answer: answer_status,
        };
        if answered && !primary {
            self.members
                .entry(to)
                .and_modify(|member| member.may_seem_primary = false);
        }
        self.handle(Event::AttemptEnded(ended))
    }

    fn arrive(&mut self) -> RuleCheck {
        let request = self.number;
        let class = self.rng.usize(0..self.settings.classes.len());
        let groups = self.primaries.len() as u64;
        let group = self.rng.u64(0..groups);
        let due = self.now + self.settings.classes[class].deadline * self.rng.u64(4..=10) / 10;
        let session = Some(self.rng.u64(0..20));
        let from_client = self.settings.session_tokens == SessionTokens::FromClient;
        // What a session carries is how long ago it last wrote.
        let wrote = session
            .and_then(|session| self.commits.get(&session))
            .copied();
        let since_write = wrote.filter(|_| from_client).map(|at| self.now - at);
        let token = wrote.unwrap_or(0);
        if self.max_send_wait > 0 && self.rng.u8(0..20) == 0 {
            let after = self.rng.u64(1..400 * MS);
            self.schedule(after, SimEvent::Leave(request));
        }
        let (received, attempts, answered) = (self.now, Vec::new(), false);
        self.open.insert(
            request,
            OpenRequest {
                class,
                group,
                due,
                received,
                session,
                token,
                attempts,
                answered,
            },
        );
        self.handle(Event::RequestArrived(Arrival {
            request: RequestId(request),
            class: ClassId(class),
            tenant: TenantId(0),
            session: session.map(SessionId),
            due,
            estimate: None,
            group: GroupId(group),
            since_write,
        }))
    }

    /// Changes the state of a random member or its list entry, or loses the watch.
    fn inject_fault(&mut self) -> RuleCheck {
        let id = self.rng.u32(0..self.members.len() as u32);
        let group = self.members[&id].group;
        match self.rng.u8(0..8) {
            0 => self
                .members
                .entry(id)
                .and_modify(|member| member.alive = false),
            1 => self
                .members
                .entry(id)
                .and_modify(|member| member.alive = true),
            2 => {
                // The new primary has all commits; the one before it lags from now on.
                let old = self.primaries.insert(group, id).unwrap_or(id);
                let now = self.now;
                self.members
                    .entry(old)
                    .and_modify(|member| (member.lag, member.floor) = (20 * MS, now));
                self.members
                    .entry(id)
                    .and_modify(|member| (member.lag, member.may_seem_primary) = (0, true))
            }
            // A position that was reported stays valid, as positions never go back. So the lag of a member may only
            // shrink here.
            3 => self.members.entry(id).and_modify(|member| member.lag /= 2),
            4 | 5 => {
                let state = if self.rng.bool() {
                    EndpointState::Draining
                } else {
                    EndpointState::Removed
                };
                let forbids_dispatch = self.settings.drain_signal == DrainSignal::DrainingOrRemoved
                    || state == EndpointState::Draining;
                let now = self.now;
                self.members.entry(id).and_modify(|member| {
                    member.state = state;
                    if forbids_dispatch {
                        member.dispatch_forbidden_at.get_or_insert(now);
                    }
                });
                return self.handle(Event::EndpointsUpdated(
                    UpdateKind::Delta,
                    [self.endpoint(id)].into(),
                ));
            }
            6 => {
                self.members.entry(id).and_modify(|member| {
                    (member.state, member.dispatch_forbidden_at, member.alive) =
                        (EndpointState::Ready, None, true);
                });
                return self.handle(Event::EndpointsUpdated(
                    UpdateKind::Delta,
                    [self.endpoint(id)].into(),
                ));
            }
            _ => {
                self.calls_due += 1;
                let staleness = [3 * SECOND, 0, 2 * SECOND][self.rng.usize(0..3)];
                return self.handle(Event::WatchLost(WatchLoss::after_silence(staleness)));
            }
        };
        Ok(())
    }

    /// Checks that every request past its deadline has its answer.
    fn check_deadlines(&self) -> RuleCheck {
        let late = self
            .open
            .iter()
            .find(|(_, open)| !open.answered && self.now > open.due + 5 * MS);
        late.map_or(Ok(()), |(request, open)| {
            Err(format!(
                "request {request} (class {}) has no answer {} us after its deadline",
                open.class,
                self.now - open.due
            ))
        })
    }

    pub(crate) fn run(&mut self) -> RuleCheck {
        let list: Vec<Endpoint> = self.members.keys().map(|id| self.endpoint(*id)).collect();
        self.calls_due = u32::from(self.settings.discovery == DiscoveryMode::Watch);
        self.handle(Event::EndpointsUpdated(
            UpdateKind::CachedSnapshot,
            list.into(),
        ))?;
        self.schedule(1, SimEvent::Arrive);
        self.schedule(300 * MS, SimEvent::Fault);
        let end = START + SPAN;
        while let Some(Reverse((at, _, next))) = self.events.pop() {
            if at > end + 15 * SECOND {
                break;
            }
            self.now = at;
            match next {
                SimEvent::Arrive if at < end => {
                    let wait = self.rng.u64(1..12 * MS);
                    self.schedule(wait, SimEvent::Arrive);
                    self.arrive()?;
                }
                SimEvent::Fault if at < end => {
                    let wait = self.rng.u64(50..800) * MS;
                    self.schedule(wait, SimEvent::Fault);
                    self.inject_fault()?;
                }
                SimEvent::Arrive | SimEvent::Fault => {}
                SimEvent::Wake => self.handle(Event::TimerFired)?,
                SimEvent::Send(request, attempt) => self.connection_ready(request, attempt)?,
                SimEvent::GiveUp(request, attempt) => self.end_unsent(request, attempt)?,
                SimEvent::End(request, attempt) => self.end_attempt(request, attempt)?,
                SimEvent::Leave(request) => self.leave(request)?,
                SimEvent::Report(id) => {
                    let outcome = if self.members[&id].alive {
                        Outcome::Served
                    } else {
                        Outcome::TimedOut
                    };
                    let report = if outcome == Outcome::Served {
                        self.report_of(id)
                    } else {
                        MemberReport::default()
                    };
                    self.handle(Event::HealthChecked(MemberId(id), outcome, report))?;
                }
                SimEvent::WatchUpdate => {
                    self.handle(Event::EndpointsUpdated(UpdateKind::Delta, [].into()))?
                }
            }
            self.check_deadlines()?;
            self.open.retain(|_, open| {
                !open.answered || open.attempts.iter().any(|attempt| attempt.in_flight)
            });
        }
        if self.open.values().any(|open| !open.answered) {
            return Err("requests were left without an answer".into());
        }
        Ok(())
    }
}

//! A simulated fleet of members for one router, which checks every rule after every step.

use super::common::MS;
use asterreel::interface::*;
use asterreel::policy::Router;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SECOND: Micros = 1_000 * MS;
const START: Micros = 1_000 * SECOND;
const SPAN: Micros = 12 * SECOND;

/// A member as it is, whatever the router knows.
#[derive(Clone)]
struct Member {
    group: u64,
    zone: u32,
    state: EndpointState,
    lag: Micros,
    /// All up to here is applied for certain: a position never goes back.
    floor: Micros,
    work: Micros,
    alive: bool,
    /// From when its list entry forbids a send: the router was notified then.
    bound_at: Option<Micros>,
    /// Once primary, and until when an answer of its own has not reported otherwise.
    excused: bool,
}

#[derive(Clone, Copy)]
struct Attempt {
    member: u32,
    dispatched_at: Micros,
    in_flight: bool,
    may_have_run: bool,
}

/// A request that has no answer, or an attempt in flight.
struct Open {
    class: usize,
    group: u64,
    due: Micros,
    received: Micros,
    session: Option<u64>,
    /// The last commit of its session when it came.
    token: Micros,
    attempts: Vec<Attempt>,
    answered: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Arrive,
    Fault,
    Wake,
    End(u64, usize),
    Report(u32),
    Watched,
}

pub(crate) struct World {
    settings: Settings,
    router: Router,
    rng: fastrand::Rng,
    now: Micros,
    members: BTreeMap<u32, Member>,
    primaries: BTreeMap<u64, u32>,
    open: BTreeMap<u64, Open>,
    events: BinaryHeap<Reverse<(Micros, u64, Next)>>,
    number: u64,
    cancelled: Vec<(u64, usize)>,
    pub served: u32,
    /// What a session has been answered with, by session.
    commits: BTreeMap<u64, Micros>,
    calls_due: u32,
    /// What happened last, for whoever looks into a broken rule.
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
                let excused = place == 0;
                let floor = START - lag;
                let member = Member {
                    group,
                    zone,
                    state,
                    lag,
                    floor,
                    work,
                    alive,
                    bound_at: None,
                    excused,
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
            served: 0,
            commits: BTreeMap::new(),
            calls_due: 0,
            trace: VecDeque::new(),
        }
    }

    fn schedule(&mut self, after: Micros, next: Next) {
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
            .try_for_each(|action| self.carry_out(action))
    }

    fn carry_out(&mut self, action: Action) -> RuleCheck {
        match action {
            Action::Dispatch {
                request,
                member: to,
                timeout,
            } => self.send(request.0, to.0, timeout),
            Action::Reject {
                request,
                retry_after,
            } => {
                if retry_after.is_some_and(|wait| wait > self.settings.max_retry_after)
                    || retry_after.is_some() && !self.settings.retry_after.granted()
                {
                    return Err(format!("come back after {retry_after:?}"));
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
                    return Err(format!("{request:?} may have run and is refused"));
                }
                self.answer(request.0)
            }
            Action::Fail(request) => self.answer(request.0),
            Action::CancelAttempt { request, attempt } => {
                if !self.settings.cancel.granted() {
                    return Err("cancelled where that is not allowed".into());
                }
                self.cancelled.push((request.0, attempt.0 as usize));
                self.schedule(MS, Next::End(request.0, attempt.0 as usize));
                Ok(())
            }
            Action::CheckHealth(member) => {
                if !self.settings.probes.granted() {
                    return Err("checked where that is not allowed".into());
                }
                self.check_not_draining(member.0)?;
                self.schedule(2 * MS, Next::Report(member.0));
                Ok(())
            }
            Action::Watch => {
                self.schedule(5 * MS, Next::Watched);
                if self.settings.discovery == DiscoveryMode::Push && self.calls_due == 0 {
                    return Err("watched where lists are pushed and none was lost".into());
                }
                self.calls_due = self.calls_due.saturating_sub(1);
                Ok(())
            }
            Action::SetTimer(after) => {
                self.schedule(after, Next::Wake);
                Ok(())
            }
            Action::ReportTransition { .. } => Ok(()),
        }
    }

    fn answer(&mut self, request: u64) -> RuleCheck {
        let Some(open) = self.open.get_mut(&request) else {
            return Err(format!(
                "{request} is answered and was never taken, or is over"
            ));
        };
        if std::mem::replace(&mut open.answered, true) {
            return Err(format!("{request} is answered twice"));
        }
        Ok(())
    }

    /// Whether a member that drains or is removed gets no request.
    fn check_not_draining(&self, id: u32) -> RuleCheck {
        match self.members.get(&id) {
            None => Err(format!("member {id} was never listed")),
            Some(member) if member.bound_at.is_some() => {
                Err(format!("sent to {id}, which drains or is gone"))
            }
            Some(_) => Ok(()),
        }
    }

    fn send(&mut self, request: u64, to: u32, timeout: Micros) -> RuleCheck {
        self.check_not_draining(to)?;
        let (now, settings) = (self.now, &self.settings);
        let member = &self.members[&to];
        let position = self.position(member);
        let Some(open) = self.open.get_mut(&request).filter(|open| !open.answered) else {
            return Err(format!("{request} is sent and is over"));
        };
        let class = &settings.classes[open.class];
        if member.group != open.group || now + timeout > open.due || timeout == 0 {
            return Err(format!(
                "{request} is sent to another group, or to be waited for too long"
            ));
        }
        if open.attempts.len() >= settings.max_attempts as usize {
            return Err(format!("{request} has too many attempts"));
        }
        if open.attempts.iter().any(|attempt| attempt.in_flight) {
            return Err(format!("{request} has two attempts out"));
        }
        let first = open.attempts.iter().find(|attempt| attempt.may_have_run);
        match (first, class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => {}
            (Some(_), Idempotency::NonIdempotent) => {
                return Err(format!("{request} may have run and is sent again"))
            }
            (Some(earlier), Idempotency::IdempotencyKey { scope, window }) => {
                let zone = self.members[&earlier.member].zone;
                if now >= earlier.dispatched_at + window
                    || scope == DeduplicationScope::Zone && zone != member.zone
                {
                    return Err(format!(
                        "{request} is repeated where its key is not known any more"
                    ));
                }
            }
        }
        // Members that check reads see to it themselves; others answer from what they have.
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
            && !member.excused
            && position < must_see
        {
            return Err(format!(
                "{request} ({consistency:?}) is sent to {to}, {} us behind",
                now - position
            ));
        }
        let at = open.attempts.len();
        open.attempts.push(Attempt {
            member: to,
            dispatched_at: now,
            in_flight: true,
            may_have_run: true,
        });
        let took = self.rng.f64() * 2.0 * member.work as f64 + 1.0;
        let after = if member.alive {
            (took as Micros).min(timeout)
        } else {
            timeout.min(250 * MS)
        };
        self.schedule(after, Next::End(request, at));
        Ok(())
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
            3 => Outcome::InvalidRequest,
            _ => Outcome::Served,
        }
    }

    /// An attempt ends, one way or another.
    fn end(&mut self, request: u64, at: usize) -> RuleCheck {
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
        let open = self.open.get_mut(&request).expect("it is there");
        open.attempts[at].in_flight = false;
        open.attempts[at].may_have_run = !outcome.proves_no_effect();
        let answered = matches!(
            outcome,
            Outcome::Served | Outcome::Misrouted | Outcome::Error | Outcome::Rejected
        );
        let note = if answered {
            self.report_of(to)
        } else {
            MemberReport::default()
        };
        let served = outcome == Outcome::Served;
        let owed = !self.open[&request].answered;
        let answer_status = if served || !owed {
            AnswerStatus::Finished
        } else {
            AnswerStatus::Pending
        };
        if served && owed {
            self.answer(request)?;
            self.served += 1;
            if let (ConsistencyLevel::Write, Some(session)) = (consistency, session) {
                let commit = self.commits.entry(session).or_default();
                *commit = now.max(*commit);
            }
        }
        let note = if served && consistency == ConsistencyLevel::Write {
            MemberReport {
                position: Some(now),
                ..note
            }
        } else {
            note
        };
        let ended = AttemptEnded {
            request: RequestId(request),
            attempt: AttemptNo(at as u32),
            outcome,
            latency: now - dispatched_at,
            answer_report: note,
            load_report: MemberReport::default(),
            answer: answer_status,
        };
        if answered && !primary {
            self.members
                .entry(to)
                .and_modify(|member| member.excused = false);
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
        let (received, attempts, answered) = (self.now, Vec::new(), false);
        self.open.insert(
            request,
            Open {
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

    /// Something happens to a member, and the list says so.
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
                // A primary stands at the present; the one before it does not any more.
                let old = self.primaries.insert(group, id).unwrap_or(id);
                let now = self.now;
                self.members
                    .entry(old)
                    .and_modify(|member| (member.lag, member.floor) = (20 * MS, now));
                self.members
                    .entry(id)
                    .and_modify(|member| (member.lag, member.excused) = (0, true))
            }
            // An answer is known to hold from then on: a member never falls back behind what it said, so lag grows
            // by time passing alone. Here it only shrinks.
            3 => self.members.entry(id).and_modify(|member| member.lag /= 2),
            4 | 5 => {
                let state = if self.rng.bool() {
                    EndpointState::Draining
                } else {
                    EndpointState::Removed
                };
                let binds = self.settings.drain_signal == DrainSignal::DrainingOrRemoved
                    || state == EndpointState::Draining;
                let now = self.now;
                self.members.entry(id).and_modify(|member| {
                    member.state = state;
                    if binds {
                        member.bound_at.get_or_insert(now);
                    }
                });
                return self.handle(Event::EndpointsUpdated(
                    UpdateKind::Delta,
                    [self.endpoint(id)].into(),
                ));
            }
            6 => {
                self.members.entry(id).and_modify(|member| {
                    (member.state, member.bound_at, member.alive) =
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

    /// Every request that is past its time has its answer.
    fn check_deadlines(&self) -> RuleCheck {
        let late = self
            .open
            .iter()
            .find(|(_, open)| !open.answered && self.now > open.due + 5 * MS);
        late.map_or(Ok(()), |(request, open)| {
            Err(format!(
                "{request} (class {}) has no answer {} us after its time",
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
        self.schedule(1, Next::Arrive);
        self.schedule(300 * MS, Next::Fault);
        let end = START + SPAN;
        while let Some(Reverse((at, _, next))) = self.events.pop() {
            if at > end + 15 * SECOND {
                break;
            }
            self.now = at;
            match next {
                Next::Arrive if at < end => {
                    let wait = self.rng.u64(1..12 * MS);
                    self.schedule(wait, Next::Arrive);
                    self.arrive()?;
                }
                Next::Fault if at < end => {
                    let wait = self.rng.u64(50..800) * MS;
                    self.schedule(wait, Next::Fault);
                    self.inject_fault()?;
                }
                Next::Arrive | Next::Fault => {}
                Next::Wake => self.handle(Event::TimerFired)?,
                Next::End(request, attempt) => self.end(request, attempt)?,
                Next::Report(id) => {
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
                Next::Watched => {
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

//! Settings and a harness to test the router with: it passes events to the router at a simulated time and returns the
//! router's actions.
#![allow(dead_code)]

use asterreel::interface::*;
use asterreel::policy::Router;

pub(crate) const MS: Micros = 1_000;
pub(crate) const START: Micros = 100_000_000;
pub(crate) const GROUP: GroupId = GroupId(7);
/// The indices of the classes in [`settings`].
pub(crate) const WRITE: usize = 0;
pub(crate) const STRONG: usize = 1;
pub(crate) const SESSION: usize = 2;
pub(crate) const BOUNDED: usize = 3;
pub(crate) const EVENTUAL: usize = 4;
pub(crate) const KEYED: usize = 5;

fn class(idempotency: Idempotency, late_weight: f64) -> Class {
    Class {
        idempotency,
        latency_objective: 400 * MS,
        objective_work_factor: 0.0,
        deadline: 2_000 * MS,
        priority_weight: 1.0,
        late_weight,
    }
}

pub(crate) fn settings() -> Settings {
    let keyed = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Group,
        window: 5_000 * MS,
    };
    Settings {
        classes: vec![
            class(Idempotency::NonIdempotent, 0.3),
            class(Idempotency::Idempotent, 0.0),
            class(Idempotency::Idempotent, 0.0),
            class(Idempotency::Idempotent, 0.0),
            class(Idempotency::Idempotent, 0.0),
            class(keyed, 0.5),
        ],
        consistency_levels: vec![
            ConsistencyLevel::Write,
            ConsistencyLevel::Strong,
            ConsistencyLevel::Session,
            ConsistencyLevel::BoundedStaleness,
            ConsistencyLevel::Eventual,
            ConsistencyLevel::Write,
        ],
        staleness_bounds: vec![0, 0, 0, 300 * MS, 0, 0],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        fleet_size: 2,
        zone: ZoneId(0),
        discovery: DiscoveryMode::Push,
        replica_checks: ReplicaChecks::RejectStale,
        session_tokens: SessionTokens::FromClient,
        positions: Permit::Allowed,
        listed_role: ListedRole::Delayed,
        probes: Permit::Allowed,
        cancel: Permit::Allowed,
        parallel: Permit::Forbidden,
        retry_after: Permit::Allowed,
        max_retry_after: 1_000 * MS,
        max_attempts: 6,
        batch_period: MS,
        answer_slack: 20 * MS,
        drain_grace: 500 * MS,
        drain_signal: DrainSignal::DrainingOrRemoved,
        poll_interval: 10_000 * MS,
        slow_start_initial_share: 0.2,
        slow_start_duration: 18_000 * MS,
        overload_multiple: 4.0,
        overload_duration: 1_500 * MS,
    }
}

/// Like [`settings`], but eventual reads have a much longer latency objective than the other classes.
pub(crate) fn settings_with_long_reads() -> Settings {
    let mut settings = settings();
    for (number, class) in settings
        .classes
        .iter_mut()
        .enumerate()
        .filter(|(number, _)| *number != EVENTUAL)
    {
        class.latency_objective = if number == BOUNDED { 40 * MS } else { 100 * MS };
    }
    settings
}

/// A router and its simulated time.
pub(crate) struct TestGateway {
    pub router: Router,
    pub now: Micros,
    /// The id of the next request to arrive.
    pub next_request_id: u64,
}

pub(crate) fn endpoint(member: u32, state: EndpointState, started: Micros) -> Endpoint {
    Endpoint {
        member: MemberId(member),
        group: GROUP,
        zone: ZoneId(0),
        state,
        started,
        role: Role::Replica,
        size: 1.0,
        tie_break_hash: u64::from(member),
    }
}

pub(crate) fn member_report(role: Role, position: Micros) -> MemberReport {
    MemberReport {
        role: Some(role),
        position: Some(position),
    }
}

impl TestGateway {
    /// A gateway of a group with this many members, all listed as ready since time 0 and none of which has reported yet; and
    /// the actions on its cached snapshot.
    pub(crate) fn new(settings: Settings, members: u32) -> (TestGateway, Vec<Action>) {
        TestGateway::with_seed(settings, members, 1)
    }

    /// Like [`TestGateway::new`], with this seed.
    pub(crate) fn with_seed(
        settings: Settings,
        members: u32,
        seed: u64,
    ) -> (TestGateway, Vec<Action>) {
        let seed = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let router = Router::new(settings, seed, START).expect("good settings");
        let mut gateway = TestGateway {
            router,
            now: START,
            next_request_id: 0,
        };
        let list = (0..members)
            .map(|m| endpoint(m, EndpointState::Ready, 0))
            .collect();
        let actions = gateway.event(Event::EndpointsUpdated(UpdateKind::CachedSnapshot, list));
        (gateway, actions)
    }

    /// Like [`TestGateway::with_seed`], without the actions.
    pub(crate) fn seeded(settings: Settings, members: u32, seed: u64) -> TestGateway {
        TestGateway::with_seed(settings, members, seed).0
    }

    /// Like [`TestGateway::new`], after a successful health check of each member: member 0 is the primary, the others are in
    /// sync.
    pub(crate) fn ready(settings: Settings, members: u32) -> TestGateway {
        let (mut gateway, _) = TestGateway::new(settings, members);
        gateway.report_roles(members);
        gateway
    }

    /// A successful health check of each member: member 0 is the primary, the others are in sync.
    pub(crate) fn report_roles(&mut self, members: u32) {
        for m in 0..members {
            self.report_role(m, if m == 0 { Role::Primary } else { Role::Replica });
        }
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Whether bytes of an attempt may be written now.
    pub(crate) fn permit_send(
        &mut self,
        request: RequestId,
        attempt: u32,
    ) -> Result<(), SendRefusal> {
        self.router
            .permit_send(self.now, request, AttemptNo(attempt))
    }

    /// A successful health check that reports this role and the current time as position.
    pub(crate) fn report_role(&mut self, m: u32, role: Role) -> Vec<Action> {
        self.report_lag(m, role, 0)
    }

    /// A successful health check that reports this role and a position that is `lag` behind the current time.
    pub(crate) fn report_lag(&mut self, m: u32, role: Role, lag: Micros) -> Vec<Action> {
        let report = member_report(role, self.now - lag);
        self.event(Event::HealthChecked(MemberId(m), Outcome::Served, report))
    }

    /// A health check that times out.
    pub(crate) fn fail_health_check(&mut self, m: u32) -> Vec<Action> {
        let none = MemberReport::default();
        self.event(Event::HealthChecked(MemberId(m), Outcome::TimedOut, none))
    }

    /// A delta of the endpoint list with this state and start of one member.
    pub(crate) fn update_endpoint(
        &mut self,
        m: u32,
        state: EndpointState,
        started: Micros,
    ) -> Vec<Action> {
        let entries = [endpoint(m, state, started)].into();
        self.event(Event::EndpointsUpdated(UpdateKind::Delta, entries))
    }

    /// Advances the time in steps of 5 ms and fires the timer at each.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + 5 * MS);
            actions.extend(self.event(Event::TimerFired));
        }
        actions
    }

    pub(crate) fn arrive(&mut self, class: usize) -> (RequestId, Vec<Action>) {
        self.arrive_with(class, None, None)
    }

    pub(crate) fn arrive_with(
        &mut self,
        class: usize,
        session: Option<u64>,
        since_write: Option<Micros>,
    ) -> (RequestId, Vec<Action>) {
        let request = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let actions = self.event(Event::RequestArrived(Arrival {
            request,
            class: ClassId(class),
            tenant: TenantId(0),
            session: session.map(SessionId),
            due: self.now + 2_000 * MS,
            estimate: None,
            group: GROUP,
            since_write,
        }));
        (request, actions)
    }

    pub(crate) fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        answer_report: MemberReport,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(attempt_ended(
            request,
            attempt,
            outcome,
            50 * MS,
            answer_report,
        )))
    }

    /// The first attempt of a request is served.
    pub(crate) fn serve(
        &mut self,
        request: RequestId,
        latency: Micros,
        report: MemberReport,
    ) -> Vec<Action> {
        let served = attempt_ended(request, 0, Outcome::Served, latency, report);
        self.event(Event::AttemptEnded(served))
    }

    /// The first attempt of a request times out, and the request ends with it.
    pub(crate) fn time_out(&mut self, request: RequestId, latency: Micros) -> Vec<Action> {
        let late = attempt_ended(
            request,
            0,
            Outcome::TimedOut,
            latency,
            MemberReport::default(),
        );
        self.event(Event::AttemptEnded(AttemptEnded {
            answer: AnswerStatus::Finished,
            ..late
        }))
    }
}

/// The end of an attempt; if it was served, the answer is finished.
pub(crate) fn attempt_ended(
    request: RequestId,
    attempt: u32,
    outcome: Outcome,
    latency: Micros,
    answer_report: MemberReport,
) -> AttemptEnded {
    AttemptEnded {
        request,
        attempt: AttemptNo(attempt),
        outcome,
        latency,
        answer_report,
        load_report: MemberReport::default(),
        answer: if outcome == Outcome::Served {
            AnswerStatus::Finished
        } else {
            AnswerStatus::Pending
        },
    }
}

pub(crate) fn dispatches(actions: &[Action]) -> Vec<(RequestId, u32)> {
    let send = |action: &Action| match action {
        Action::Dispatch {
            request, member, ..
        } => Some((*request, member.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub(crate) fn is_rejected(actions: &[Action], request: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { request: id, .. } if *id == request))
}

pub(crate) fn is_failed(actions: &[Action], request: RequestId) -> bool {
    actions.contains(&Action::Fail(request))
}

pub(crate) fn transition(member: u32, transition: MemberTransition) -> Action {
    Action::ReportTransition {
        member: MemberId(member),
        transition,
    }
}

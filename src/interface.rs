//! The types a [`crate::policy::Router`] takes in and answers with: settings, events and actions.
//!
//! Times are microseconds on one monotonic clock. A position in the replicated log is the time of the commit there, on
//! the same clock. Nothing here decides anything or does input or output.

use std::sync::Arc;

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A request, unique for the life of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);
/// A database server; stays the same when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);
/// A replication group: one primary and its replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GroupId(pub u64);
/// A client session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);
/// A request class, by its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);
/// A tenant, by its place in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
/// A zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// An attempt of a request, counted from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNo(pub u32);

/// What running a request more than once does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm: it may be retried and rejected freely.
    Idempotent,
    /// Members discard repeats by its idempotency key, within a scope and for a time.
    IdempotencyKey {
        /// The members that discard each other's repeats.
        scope: DeduplicationScope,
        /// How long they remember a key, microseconds, from the first dispatch that may have run.
        window: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The members that share their idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All members.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one group.
    Group,
}

/// The consistency level that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsistencyLevel {
    /// A write: only the primary takes it.
    Write,
    /// A read that sees all that was committed before it arrived.
    Strong,
    /// A read that sees all that its session has written (read your writes).
    Session,
    /// A read of data no older than the staleness bound of its class when it is dispatched.
    BoundedStaleness,
    /// A read of any data.
    Eventual,
}

impl ConsistencyLevel {
    /// Whether only the primary can serve such requests.
    pub fn needs_primary(self) -> bool {
        matches!(self, ConsistencyLevel::Write | ConsistencyLevel::Strong)
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What running it more than once does.
    pub idempotency: Idempotency,
    /// An answer within this time, microseconds, has the full weight.
    pub latency_objective: Micros,
    /// The objective grows by this many times the request's own cost.
    pub objective_work_factor: f64,
    /// How long a client waits over all its attempts, microseconds.
    pub deadline: Micros,
    /// The weight of one request beside others.
    pub priority_weight: f64,
    /// The share of its weight that a late answer has.
    pub late_weight: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all gateways within its quota.
    pub quota: f64,
}

/// What a member does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaChecks {
    /// It answers from the data it has.
    None,
    /// It rejects the read, at once or after a short wait.
    RejectStale,
}

/// Where the position that a session read must see comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokens {
    /// The request carries how long ago its session last wrote.
    FromClient,
    /// This router remembers the commits of its answers.
    Remembered,
}

/// Whether the endpoint list names the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRole {
    /// It does, some seconds late.
    Delayed,
    /// It does, as it was at the start.
    AtStart,
    /// It does not.
    Never,
}

/// How endpoint updates arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// They are pushed.
    Push,
    /// The list must be watched.
    Watch,
}

/// What the deployment permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Allowed.
    Allowed,
    /// Forbidden.
    Forbidden,
}

impl Permit {
    /// Whether it is allowed.
    pub fn granted(self) -> bool {
        self == Permit::Allowed
    }
}

/// Which listed states stop new dispatches to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainSignal {
    /// Draining and removed alike.
    DrainingOrRemoved,
    /// Only draining; a removal alone does not.
    DrainingOnly,
}

/// The settings a router starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The consistency level of each class.
    pub consistency_levels: Vec<ConsistencyLevel>,
    /// The staleness bound of each class, microseconds; it applies to [`ConsistencyLevel::BoundedStaleness`].
    pub staleness_bounds: Vec<Micros>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The share of its weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// How many gateways there are.
    pub fleet_size: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// How endpoint updates arrive.
    pub discovery: DiscoveryMode,
    /// Whether members check reads themselves.
    pub replica_checks: ReplicaChecks,
    /// Where the position of session reads comes from.
    pub session_tokens: SessionTokens,
    /// Whether answers carry log positions.
    pub positions: Permit,
    /// Whether the endpoint list names the primary.
    pub listed_role: ListedRole,
    /// Whether the health of members may be checked.
    pub probes: Permit,
    /// Whether attempts may be cancelled.
    pub cancel: Permit,
    /// Whether a request may have two attempts in flight.
    pub parallel: Permit,
    /// Whether rejections may carry a Retry-After.
    pub retry_after: Permit,
    /// The longest Retry-After that clients follow, microseconds.
    pub max_retry_after: Micros,
    /// The most attempts a request may have.
    pub max_attempts: u32,
    /// The least time between two batches of events, microseconds.
    pub batch_period: Micros,
    /// How late after the client's deadline a final answer still counts, microseconds.
    pub answer_slack: Micros,
    /// How long after notice of a drain attempts may still be dispatched, microseconds.
    pub drain_grace: Micros,
    /// Which listed states stop new dispatches to a member.
    pub drain_signal: DrainSignal,
    /// Changes of a list that is not watched count as notified after this long, microseconds.
    pub poll_interval: Micros,
    /// The share of its capacity, from 0 to 1, that a started member has at first.
    pub slow_start_initial_share: f64,
    /// How long a started member is warming up at most, microseconds.
    pub slow_start_duration: Micros,
    /// A member that is warming up fails at this multiple of its present capacity.
    pub overload_multiple: f64,
    /// How long that load must last for it to fail, microseconds.
    pub overload_duration: Micros,
}

/// A member's role, as an answer or a load report has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// What a member reports of itself, with an answer or to a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberReport {
    /// Its role, if reported.
    pub role: Option<Role>,
    /// All commits up to this position are applied; for a served write, its commit.
    pub position: Option<Micros>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The member answered with an error; it may have run.
    Error,
    /// Rejected before it ran: the member was full or draining.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection dropped; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Rejected before it ran: the member is not the primary, or too far behind.
    Misrouted,
    /// Rejected before it ran: the request itself is at fault, wherever it is sent.
    InvalidRequest,
}

impl Outcome {
    /// Whether it shows that the attempt has had no effect and will have none.
    pub fn proves_no_effect(self) -> bool {
        use Outcome::*;
        matches!(
            self,
            Rejected | ConnectFailed | NotSent | Misrouted | InvalidRequest
        )
    }
}

/// Whether the router still owes a request its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStatus {
    /// The router owes a final answer.
    Pending,
    /// The request is finished.
    Finished,
}

/// A request from a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// Its session, if it has one.
    pub session: Option<SessionId>,
    /// The client's deadline for this request.
    pub due: Micros,
    /// Its expected work, microseconds, where known.
    pub estimate: Option<Micros>,
    /// The group whose data it needs.
    pub group: GroupId,
    /// How long ago its session last wrote, microseconds, where the request carries that.
    pub since_write: Option<Micros>,
}

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// An entry of the endpoint list: a member, as discovery has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// The member.
    pub member: MemberId,
    /// Its group.
    pub group: GroupId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; 0 is long ago.
    pub started: Micros,
    /// Its role as the list has it.
    pub role: Role,
    /// Its listed size.
    pub size: f64,
    /// A hash of its name, to break ties: the same at every gateway.
    pub tie_break_hash: u64,
}

/// How an endpoint update is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Only the endpoints that changed.
    Delta,
    /// All endpoints; those left out were removed.
    Snapshot,
    /// All endpoints as last known; may be stale.
    CachedSnapshot,
}

/// How an attempt of a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: AttemptNo,
    /// How it ended.
    pub outcome: Outcome,
    /// How long ago it was dispatched, microseconds.
    pub latency: Micros,
    /// What the answer itself reports of the member.
    pub answer_report: MemberReport,
    /// The load report that came with it; made before the answer.
    pub load_report: MemberReport,
    /// Whether a final answer is still owed.
    pub answer: AnswerStatus,
}

/// What a router takes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    RequestArrived(Arrival),
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// A streamed answer has begun: the attempt belongs to the client now.
    StreamStarted(RequestId),
    /// The client has left: no answer is owed.
    ClientGone(RequestId),
    /// A health check ended, with what the member reported.
    HealthChecked(MemberId, Outcome, MemberReport),
    /// The endpoint list, or a change of it.
    EndpointsUpdated(UpdateKind, Arc<[Endpoint]>),
    /// A call to discovery failed, or the watch was lost: changes meanwhile are missed, and count as notified some
    /// seconds after they were made.
    WatchLost(WatchLoss),
    /// The timer of [`Action::SetTimer`] has fired.
    TimerFired,
}

/// How a call to discovery failed, or a watch on it was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchLoss {
    /// For how long there was no contact, microseconds; of a call that was not answered, since it began.
    pub staleness: Micros,
    /// An update had begun and was incomplete or malformed: what it holds counts as notified already.
    pub truncated: bool,
}

impl WatchLoss {
    /// A loss after so many microseconds without contact, with no update begun.
    pub fn after_silence(staleness: Micros) -> WatchLoss {
        WatchLoss {
            staleness,
            truncated: false,
        }
    }
}

/// A change of what a router knows of a member, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberTransition {
    /// It is the known primary of its group now.
    Promoted,
    /// It is not the known primary any more.
    Demoted,
    /// It reached the failure threshold.
    Failed,
}

/// What a router asks its caller to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Dispatch an attempt of a request; attempts count from 0 in the order dispatched.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Where to.
        member: MemberId,
        /// How long to wait for its answer, microseconds.
        timeout: Micros,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: AttemptNo,
    },
    /// Final answer: rejected; nothing ran, so that a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// After how long the client should retry, microseconds, where that is known to help.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, without a promise.
    Fail(RequestId),
    /// Check a member's health, and have it report its load.
    CheckHealth(MemberId),
    /// Watch the endpoint list from now on.
    Watch,
    /// Log a transition for operators.
    ReportTransition {
        /// The member.
        member: MemberId,
        /// What has changed.
        transition: MemberTransition,
    },
    /// Send an [`Event::TimerFired`] after this long, microseconds.
    SetTimer(Micros),
}

/// Settings that contradict themselves, with the keys of the settings file to correct.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// No gateways.
    #[error("settings: FleetSize is 0; set it to the number of gateways")]
    NoGateways,
    /// No attempts.
    #[error("settings: Allowed.MaxAttempts is 0; a request needs one attempt at least")]
    NoAttempts,
    /// The lists that have an element for each class differ in length.
    #[error("settings: class arrays of unequal length: {classes} classes, {consistency_levels} consistency levels and {staleness_bounds} staleness bounds")]
    UnequalClassLists {
        /// How many classes there are.
        classes: usize,
        /// How many consistency levels.
        consistency_levels: usize,
        /// How many staleness bounds.
        staleness_bounds: usize,
    },
    /// The shares of slow start are negative or not finite.
    #[error("settings: Rules.StartCapacity is {initial_share} and Rules.FallMultiple is {overload_multiple}; neither may be below 0 or infinite")]
    InvalidSlowStart {
        /// [`Settings::slow_start_initial_share`].
        initial_share: f64,
        /// [`Settings::overload_multiple`].
        overload_multiple: f64,
    },
}

//! The platform's wire types: the settings object and the records of a list of endpoints.
//!
//! The simulator's first message and a gateway's configuration carry the same settings object, and both give lists of
//! endpoints, each under its own keys. Both are decoded here and converted once to the types of [`crate::interface`].
//! Fields and variants keep the protocol's names, in Rust's spelling; each doc comment gives the field's meaning. Unknown
//! keys are ignored, unknown values are errors.

use crate::interface::*;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

const MICROS_PER_MS: Micros = 1_000;

/// The settings object of the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Setup {
    /// `Allowed`: what the deployment permits.
    pub allowed: Allowed,
    /// `Customers`: the tenants.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// `Discovery`: how updates of the list are obtained, `automatic` (pushed) or `subscribe` (watched).
    pub discovery: String,
    /// `FamilyInfo`: how members of this kind of service behave.
    pub family_info: FamilyInfo,
    /// `FleetSize`: the number of gateways.
    pub fleet_size: u32,
    /// `OverShareWorth`: the fraction of its priority weight that a request beyond its tenant's quota keeps.
    #[serde(default)]
    pub over_share_worth: f64,
    /// `PeriodUs`: the interval of the simulator's batches, microseconds.
    pub period_us: Micros,
    /// `Profiles`: the request classes.
    pub profiles: Vec<Profile>,
    /// `Report`: what members report of their load.
    #[serde(default)]
    pub report: Report,
    /// `Rules`: the platform's time limits and capacities.
    pub rules: Rules,
    /// `Zone`: this gateway's zone, an index into `Zones`.
    #[serde(default)]
    pub zone: u32,
    /// `Zones`: the names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// What the deployment permits.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Allowed {
    /// `Cancel`: attempts may be cancelled.
    #[serde(default)]
    pub cancel: bool,
    /// `ConnIdleUs`: how long a connection may be idle before members close it, microseconds; default 15 s.
    #[serde(default = "conn_idle")]
    pub conn_idle_us: Micros,
    /// `ConnectTimeoutUs`: how long a connection to a member may take, microseconds; default 250 ms.
    #[serde(default = "connect_timeout")]
    pub connect_timeout_us: Micros,
    /// `MaxAttempts`: the most attempts of a request.
    pub max_attempts: u32,
    /// `MaxRetryAfterUs`: the longest retry delay that clients follow, microseconds.
    #[serde(default)]
    pub max_retry_after_us: Micros,
    /// `MayProbe`: members may be health-checked.
    #[serde(default)]
    pub may_probe: bool,
    /// `ParallelTries`: a request may have two attempts in flight.
    #[serde(default)]
    pub parallel_tries: bool,
    /// `RetryAfter`: a rejection may tell the client when to retry.
    #[serde(default)]
    pub retry_after: bool,
}

fn conn_idle() -> Micros {
    15_000_000
}

fn connect_timeout() -> Micros {
    250_000
}

/// An entry of `Customers`: a tenant and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Customer {
    /// `QuotaRps`: its quota over all gateways, requests a second.
    #[serde(default)]
    pub quota_rps: f64,
}

/// How members of this kind of service behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FamilyInfo {
    /// `Checks`: what a replica does with a read that it is too stale for: `none`, `bounce` or `await`.
    pub checks: String,
    /// `Consistency`: the consistency level of each class, in the order of `Profiles`.
    pub consistency: Vec<String>,
    /// `PositionZeroUs`: the time from which positions count on the simulator's wire, microseconds.
    #[serde(default)]
    pub position_zero_us: Micros,
    /// `ProgressTold`: answers carry the member's log position.
    #[serde(default)]
    pub progress_told: bool,
    /// `RoleListed`: when the list shows a member's role: `trailing`, `static` or `none`.
    pub role_listed: String,
    /// `SessionMarks`: whether session tokens are `brought` by clients or `kept` by the gateway.
    pub session_marks: String,
    /// `StalenessBoundUs`: the staleness bound of each class, microseconds.
    pub staleness_bound_us: Vec<Micros>,
}

/// An entry of `Profiles`: the settings of a request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Profile {
    /// `AimStretch`: the latency objective grows by this many times the request's work.
    #[serde(default)]
    pub aim_stretch: f64,
    /// `DeadlineUs`: how long a client waits over all its attempts, microseconds.
    pub deadline_us: Micros,
    /// `DedupWindowUs`: how long repeats are discarded, microseconds.
    #[serde(default)]
    pub dedup_window_us: Micros,
    /// `Effect`: what a repeat does: nothing (`free`), discarded by its key (`guarded`), or run twice (`single_shot`).
    pub effect: String,
    /// `Group`: the scope in which repeats are discarded: `zone`, `cell`, or everywhere.
    #[serde(default)]
    pub group: String,
    /// `LateWorth`: the fraction of its priority weight that a late answer still has.
    #[serde(default)]
    pub late_worth: f64,
    /// `Name`: the name that clients use.
    #[serde(default)]
    pub name: String,
    /// `SloUs`: the latency objective, microseconds.
    pub slo_us: Micros,
    /// `Worth`: the priority weight of a request.
    pub worth: f64,
}

/// What members report of their load.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Report {
    /// `Names`: the names of the values in a report, in order.
    #[serde(default)]
    pub names: Vec<String>,
}

/// The platform's time limits and capacities.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rules {
    /// `AnswerSlackUs`: how long after the deadline a final answer still counts, microseconds.
    #[serde(default)]
    pub answer_slack_us: Micros,
    /// `AskEveryUs`: how long after a change of a list that is not watched the change counts as notified, microseconds.
    #[serde(default)]
    pub ask_every_us: Micros,
    /// `ColdUs`: the duration of slow start, microseconds.
    pub cold_us: Micros,
    /// `DrainGraceUs`: how long after the notification of its drain a member may still get requests, microseconds.
    pub drain_grace_us: Micros,
    /// `FallMultiple`: the multiple of its capacity at which a member in slow start fails.
    pub fall_multiple: f64,
    /// `FallUs`: how long a load at `FallMultiple` must last for the member to fail, microseconds.
    pub fall_us: Micros,
    /// `StartCapacity`: the fraction of its capacity, 0 to 1, with which a member enters slow start.
    pub start_capacity: f64,
    /// `DroppedStayOpen`: a drain is started only by a record in a draining state, not by removal from the list.
    #[serde(default)]
    pub dropped_stay_open: bool,
}

/// A record of the list of endpoints, with the simulator's keys or discovery's.
#[derive(Clone, Debug, Deserialize)]
// The type name in serde's error messages, which stays when this type is renamed.
#[serde(rename_all = "PascalCase", expecting = "struct Item")]
pub struct EndpointRecord {
    /// `Campus`, or discovery's `locality`: the member's zone.
    #[serde(alias = "locality", default)]
    pub campus: ZoneReference,
    /// `State`, or discovery's `phase`: `on` or `ready`, `fading` or `draining`, `off` or `gone`.
    #[serde(alias = "phase")]
    pub state: String,
    /// `ReadyAtUs`: when the member's process last started, microseconds; the simulator's key.
    #[serde(default)]
    pub ready_at_us: Micros,
    /// `up_since_ms`: when the member's process last started, milliseconds; discovery's key.
    #[serde(rename = "up_since_ms", default)]
    pub up_since_ms: u64,
    /// `Writer`: the listed role, above 0.5 for the primary; the simulator's key.
    #[serde(default)]
    pub writer: f64,
    /// `access`: the listed role, `writer` for the primary; discovery's key.
    #[serde(rename = "access", default)]
    pub access: String,
    /// `Cell`, or discovery's `cell`: the replication group.
    #[serde(alias = "cell", default)]
    pub cell: u64,
    /// `Size`, or discovery's `size`: the listed capacity.
    #[serde(alias = "size", default)]
    pub size: f64,
    /// `Store`, or discovery's `id`: the member's name.
    #[serde(alias = "id")]
    pub store: String,
    /// `host_port`: the address that the member listens on; discovery's key.
    #[serde(rename = "host_port", default)]
    pub address: String,
}

/// A zone, by its index in `Zones` or by its name there.
#[derive(Clone, Debug, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Place"
)]
pub enum ZoneReference {
    /// An index into `Zones`.
    Index(u32),
    /// A name in `Zones`.
    Name(String),
}

impl Default for ZoneReference {
    fn default() -> ZoneReference {
        ZoneReference::Index(0)
    }
}

impl EndpointRecord {
    /// Converts the record to the endpoint of `member`, the id that the caller has assigned to `Store`.
    ///
    /// # Errors
    ///
    /// [`UnknownValue`], if the record's state is not one of those above.
    pub fn endpoint(&self, member: MemberId, zones: &[String]) -> Result<Endpoint, UnknownValue> {
        Ok(Endpoint {
            member,
            group: GroupId(self.cell),
            zone: self.campus.zone(zones),
            state: self.endpoint_state()?,
            started: self
                .ready_at_us
                .max(self.up_since_ms.saturating_mul(MICROS_PER_MS)),
            role: self.listed_role(),
            size: self.size,
            tie_break_hash: xxh3_64(self.store.as_bytes()),
        })
    }

    fn endpoint_state(&self) -> Result<EndpointState, UnknownValue> {
        match self.state.as_str() {
            "on" | "ready" => Ok(EndpointState::Ready),
            "fading" | "draining" => Ok(EndpointState::Draining),
            "off" | "gone" => Ok(EndpointState::Removed),
            other => Err(UnknownValue::new("state", other)),
        }
    }

    fn listed_role(&self) -> Role {
        if self.writer > 0.5 || self.access == "writer" {
            Role::Primary
        } else {
            Role::Replica
        }
    }
}

impl ZoneReference {
    /// A name that is not in `Zones` becomes an id that no gateway has.
    fn zone(&self, zones: &[String]) -> ZoneId {
        ZoneId(match self {
            ZoneReference::Index(index) => *index,
            ZoneReference::Name(name) => zones
                .iter()
                .position(|zone| zone == name)
                .map_or(u32::MAX, |index| index as u32),
        })
    }
}

/// A value in the settings or in a list of endpoints that this version does not support.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {subject} {value}")]
pub struct UnknownValue {
    /// The setting that has the value, or `state` in a list of endpoints.
    pub subject: &'static str,
    /// The unsupported value, as received.
    pub value: String,
}

impl UnknownValue {
    fn new(subject: &'static str, value: &str) -> UnknownValue {
        UnknownValue {
            subject,
            value: value.to_owned(),
        }
    }
}

fn permit(allowed: bool) -> Permit {
    if allowed {
        Permit::Allowed
    } else {
        Permit::Forbidden
    }
}

impl Setup {
    /// Converts the settings to the types of [`crate::interface`].
    ///
    /// # Errors
    ///
    /// [`UnknownValue`], for the first value that is not supported.
    pub fn settings(&self) -> Result<Settings, UnknownValue> {
        let (allowed, family, rules) = (&self.allowed, &self.family_info, &self.rules);
        let classes: Result<Vec<Class>, UnknownValue> =
            self.profiles.iter().map(Profile::class).collect();
        Ok(Settings {
            classes: classes?,
            consistency_levels: family.consistency_levels()?,
            staleness_bounds: family.staleness_bound_us.clone(),
            tenants: self.customers.iter().map(Customer::tenant).collect(),
            over_quota_weight: self.over_share_worth,
            fleet_size: self.fleet_size,
            zone: ZoneId(self.zone),
            discovery: self.discovery_mode()?,
            replica_checks: family.replica_checks()?,
            session_tokens: family.session_tokens()?,
            positions: permit(family.progress_told),
            listed_role: family.listed_role()?,
            probes: permit(allowed.may_probe),
            cancel: permit(allowed.cancel),
            parallel: permit(allowed.parallel_tries),
            retry_after: permit(allowed.retry_after),
            max_retry_after: allowed.max_retry_after_us,
            max_attempts: allowed.max_attempts,
            batch_period: self.period_us,
            answer_slack: rules.answer_slack_us,
            drain_grace: rules.drain_grace_us,
            drain_signal: rules.drain_signal(),
            poll_interval: rules.ask_every_us,
            slow_start_initial_share: rules.start_capacity,
            slow_start_duration: rules.cold_us,
            overload_multiple: rules.fall_multiple,
            overload_duration: rules.fall_us,
        })
    }

    fn discovery_mode(&self) -> Result<DiscoveryMode, UnknownValue> {
        match self.discovery.as_str() {
            "automatic" => Ok(DiscoveryMode::Push),
            "subscribe" => Ok(DiscoveryMode::Watch),
            other => Err(UnknownValue::new("Discovery", other)),
        }
    }
}

impl Customer {
    fn tenant(&self) -> Tenant {
        Tenant {
            quota: self.quota_rps,
        }
    }
}

impl FamilyInfo {
    fn consistency_levels(&self) -> Result<Vec<ConsistencyLevel>, UnknownValue> {
        self.consistency
            .iter()
            .map(|level| match level.as_str() {
                "mutate" => Ok(ConsistencyLevel::Write),
                "strong" => Ok(ConsistencyLevel::Strong),
                "causal" => Ok(ConsistencyLevel::Session),
                "lag_bound" => Ok(ConsistencyLevel::BoundedStaleness),
                "eventual" => Ok(ConsistencyLevel::Eventual),
                other => Err(UnknownValue::new("FamilyInfo.Consistency", other)),
            })
            .collect()
    }

    fn replica_checks(&self) -> Result<ReplicaChecks, UnknownValue> {
        match self.checks.as_str() {
            "none" => Ok(ReplicaChecks::None),
            "bounce" | "await" => Ok(ReplicaChecks::RejectStale),
            other => Err(UnknownValue::new("FamilyInfo.Checks", other)),
        }
    }

    fn session_tokens(&self) -> Result<SessionTokens, UnknownValue> {
        match self.session_marks.as_str() {
            "brought" => Ok(SessionTokens::FromClient),
            "kept" => Ok(SessionTokens::Remembered),
            other => Err(UnknownValue::new("FamilyInfo.SessionMarks", other)),
        }
    }

    fn listed_role(&self) -> Result<ListedRole, UnknownValue> {
        match self.role_listed.as_str() {
            "trailing" => Ok(ListedRole::Delayed),
            "static" => Ok(ListedRole::AtStart),
            "none" => Ok(ListedRole::Never),
            other => Err(UnknownValue::new("FamilyInfo.RoleListed", other)),
        }
    }
}

impl Rules {
    fn drain_signal(&self) -> DrainSignal {
        if self.dropped_stay_open {
            DrainSignal::DrainingOnly
        } else {
            DrainSignal::DrainingOrRemoved
        }
    }
}

impl Profile {
    fn class(&self) -> Result<Class, UnknownValue> {
        Ok(Class {
            idempotency: self.idempotency()?,
            latency_objective: self.slo_us,
            objective_work_factor: self.aim_stretch,
            deadline: self.deadline_us,
            priority_weight: self.worth,
            late_weight: self.late_worth,
        })
    }

    fn idempotency(&self) -> Result<Idempotency, UnknownValue> {
        match self.effect.as_str() {
            "free" => Ok(Idempotency::Idempotent),
            "guarded" => Ok(Idempotency::IdempotencyKey {
                scope: self.deduplication_scope(),
                window: self.dedup_window_us,
            }),
            "single_shot" => Ok(Idempotency::NonIdempotent),
            other => Err(UnknownValue::new("Profiles.Effect", other)),
        }
    }

    fn deduplication_scope(&self) -> DeduplicationScope {
        match self.group.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Group,
            _ => DeduplicationScope::All,
        }
    }
}

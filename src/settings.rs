//! Decoding of what a front is told: the settings object and the entries of the list of members.
//!
//! The simulator's first message and a gateway's configuration carry the same settings object, and both hand
//! out lists of members, in words of their own; each is decoded here, for both programs, into the vocabulary
//! of [`crate::interface`]. Keys that are not known are skipped.

use crate::interface::*;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// The settings object.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Setup {
    /// What the deployment permits.
    pub allowed: Allowed,
    /// The tenants.
    #[serde(default)]
    pub customers: Vec<Customer>,
    /// How the list is had.
    pub discovery: String,
    /// Facts on this kind of service.
    pub family_info: FamilyInfo,
    /// How many fronts there are.
    pub fleet_size: u32,
    /// The share of its worth that a request past its tenant's quota keeps.
    #[serde(default)]
    pub over_share_worth: f64,
    /// How often batches come.
    pub period_us: Micros,
    /// The request classes.
    pub profiles: Vec<Profile>,
    /// The load reports.
    #[serde(default)]
    pub report: Report,
    /// The figures of the rules.
    pub rules: Rules,
    /// This front's zone.
    #[serde(default)]
    pub zone: u32,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

/// What the deployment permits.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Allowed {
    /// Attempts may be called off.
    #[serde(default)]
    pub cancel: bool,
    /// Members close connections idle for so long.
    #[serde(default = "conn_idle")]
    pub conn_idle_us: Micros,
    /// A connection not up by then has failed.
    #[serde(default = "connect_timeout")]
    pub connect_timeout_us: Micros,
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// The longest wait that a client follows.
    #[serde(default)]
    pub max_retry_after_us: Micros,
    /// Members may be probed.
    #[serde(default)]
    pub may_probe: bool,
    /// A request may have two attempts out together.
    #[serde(default)]
    pub parallel_tries: bool,
    /// Clients hear when to come back.
    #[serde(default)]
    pub retry_after: bool,
}

fn conn_idle() -> Micros {
    15_000_000
}

fn connect_timeout() -> Micros {
    250_000
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Customer {
    /// Its quota over all fronts, a second.
    #[serde(default)]
    pub quota_rps: f64,
}

/// Facts on this kind of service.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct FamilyInfo {
    /// What a member does with a read it is too far behind for.
    pub checks: String,
    /// What data each class needs.
    pub consistency: Vec<String>,
    /// The time from which positions count on the simulator's wire.
    #[serde(default)]
    pub position_zero_us: Micros,
    /// Answers carry positions.
    #[serde(default)]
    pub progress_told: bool,
    /// How the list tells the role.
    pub role_listed: String,
    /// How session reads know their token.
    pub session_marks: String,
    /// The age bound of each class.
    pub staleness_bound_us: Vec<Micros>,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Profile {
    /// The aim grows by this many times the request's work.
    #[serde(default)]
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline_us: Micros,
    /// How long repeats are discarded.
    #[serde(default)]
    pub dedup_window_us: Micros,
    /// What repeating does.
    pub effect: String,
    /// Who discards repeats.
    #[serde(default)]
    pub group: String,
    /// The share of the worth that a late answer earns.
    #[serde(default)]
    pub late_worth: f64,
    /// What clients call it.
    #[serde(default)]
    pub name: String,
    /// An answer inside this time earns the full worth.
    pub slo_us: Micros,
    /// What a request is worth.
    pub worth: f64,
}

/// The load reports.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Report {
    /// The values it holds, in order.
    #[serde(default)]
    pub names: Vec<String>,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rules {
    /// How late after the deadline a final answer still counts.
    #[serde(default)]
    pub answer_slack_us: Micros,
    /// An unwatched list counts as told after this long.
    #[serde(default)]
    pub ask_every_us: Micros,
    /// How long a started member stays cold at most.
    pub cold_us: Micros,
    /// How long after word of a drain sends may still go out.
    pub drain_grace_us: Micros,
    /// A cold member falls over at this multiple of its capacity.
    pub fall_multiple: f64,
    /// ... sustained for this long.
    pub fall_us: Micros,
    /// The share of its capacity that a started member begins with.
    pub start_capacity: f64,
    /// Only an entry seen as draining binds.
    #[serde(default)]
    pub dropped_stay_open: bool,
}

/// An entry of the list of members, in the simulator's words or in discovery's.
#[derive(Clone, Debug, Deserialize)]
// The error message of a configuration names the type that it expected.
#[serde(rename_all = "PascalCase", expecting = "struct Item")]
pub struct EndpointRecord {
    /// The zone.
    #[serde(alias = "locality", default)]
    pub campus: Place,
    /// The state.
    #[serde(alias = "phase")]
    pub state: String,
    /// When its process last started, in the simulator's unit.
    #[serde(default)]
    pub ready_at_us: Micros,
    /// When its process last started, in discovery's unit.
    #[serde(rename = "up_since_ms", default)]
    pub up_since_ms: u64,
    /// The role as the list has it, in the simulator's form.
    #[serde(default)]
    pub writer: f64,
    /// The role as the list has it, in discovery's form.
    #[serde(rename = "access", default)]
    pub access: String,
    /// The group.
    #[serde(alias = "cell", default)]
    pub cell: u64,
    /// The listed size.
    #[serde(alias = "size", default)]
    pub size: f64,
    /// The member's name.
    #[serde(alias = "id")]
    pub store: String,
    /// Where it listens; discovery alone tells.
    #[serde(rename = "host_port", default)]
    pub address: String,
}

/// A zone by its place in the settings or by its name there.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Place {
    /// By its place.
    Number(u32),
    /// By its name.
    Name(String),
}

impl Default for Place {
    fn default() -> Place {
        Place::Number(0)
    }
}

impl EndpointRecord {
    /// The entry in the module's words, for a member that goes by this number here.
    ///
    /// # Errors
    ///
    /// The state of the endpoint is none that is known.
    pub fn endpoint(&self, member: MemberId, zones: &[String]) -> Result<Endpoint, String> {
        let zone = match &self.campus {
            Place::Number(number) => *number,
            // A zone that the settings don't name is nobody's own.
            Place::Name(name) => zones
                .iter()
                .position(|zone| zone == name)
                .map_or(u32::MAX, |n| n as u32),
        };
        let state = match self.state.as_str() {
            "on" | "ready" => EndpointState::Ready,
            "fading" | "draining" => EndpointState::Draining,
            "off" | "gone" => EndpointState::Removed,
            other => return Err(format!("unknown state {other}")),
        };
        let primary = self.writer > 0.5 || self.access == "writer";
        Ok(Endpoint {
            member,
            group: GroupId(self.cell),
            zone: ZoneId(zone),
            state,
            started: self.ready_at_us.max(self.up_since_ms.saturating_mul(1000)),
            role: if primary {
                Role::Primary
            } else {
                Role::Replica
            },
            size: self.size,
            tie_break_hash: xxh3_64(self.store.as_bytes()),
        })
    }
}

fn permit(allowed: bool) -> Permit {
    if allowed {
        Permit::Allowed
    } else {
        Permit::Forbidden
    }
}

fn unknown(what: &str, word: &str) -> String {
    format!("unknown {what} {word}")
}

impl Setup {
    /// The settings in the module's words; a word that is not known is an error.
    ///
    /// # Errors
    ///
    /// A word that is not known, and where it stands.
    pub fn settings(&self) -> Result<Settings, String> {
        let (setup, family) = (self, &self.family_info);
        let classes: Result<Vec<Class>, String> = setup.profiles.iter().map(class).collect();
        let consistency_levels: Result<Vec<ConsistencyLevel>, String> = family
            .consistency
            .iter()
            .map(|word| consistency_level(word))
            .collect();
        Ok(Settings {
            classes: classes?,
            consistency_levels: consistency_levels?,
            staleness_bounds: family.staleness_bound_us.clone(),
            tenants: setup
                .customers
                .iter()
                .map(|customer| Tenant {
                    quota: customer.quota_rps,
                })
                .collect(),
            over_quota_weight: setup.over_share_worth,
            fleet_size: setup.fleet_size,
            zone: ZoneId(setup.zone),
            discovery: match setup.discovery.as_str() {
                "automatic" => DiscoveryMode::Push,
                "subscribe" => DiscoveryMode::Watch,
                other => return Err(unknown("discovery", other)),
            },
            replica_checks: match family.checks.as_str() {
                "none" => ReplicaChecks::None,
                "bounce" | "await" => ReplicaChecks::RejectStale,
                other => return Err(unknown("checks", other)),
            },
            session_tokens: match family.session_marks.as_str() {
                "brought" => SessionTokens::Carried,
                "kept" => SessionTokens::Remembered,
                other => return Err(unknown("session marks", other)),
            },
            positions: permit(family.progress_told),
            listed_role: match family.role_listed.as_str() {
                "trailing" => ListedRole::Delayed,
                "static" => ListedRole::AtStart,
                "none" => ListedRole::Never,
                other => return Err(unknown("listed role", other)),
            },
            probes: permit(setup.allowed.may_probe),
            cancel: permit(setup.allowed.cancel),
            parallel: permit(setup.allowed.parallel_tries),
            retry_after: permit(setup.allowed.retry_after),
            max_retry_after: setup.allowed.max_retry_after_us,
            max_attempts: setup.allowed.max_attempts,
            batch_period: setup.period_us,
            answer_slack: setup.rules.answer_slack_us,
            drain_grace: setup.rules.drain_grace_us,
            drain_signal: if setup.rules.dropped_stay_open {
                DrainSignal::DrainingOnly
            } else {
                DrainSignal::DrainingOrRemoved
            },
            poll_interval: setup.rules.ask_every_us,
            slow_start_initial_share: setup.rules.start_capacity,
            slow_start_duration: setup.rules.cold_us,
            overload_multiple: setup.rules.fall_multiple,
            overload_duration: setup.rules.fall_us,
        })
    }
}

fn class(profile: &Profile) -> Result<Class, String> {
    let scope = match profile.group.as_str() {
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Group,
        _ => DeduplicationScope::All,
    };
    Ok(Class {
        idempotency: match profile.effect.as_str() {
            "free" => Idempotency::Idempotent,
            "guarded" => Idempotency::IdempotencyKey {
                scope,
                window: profile.dedup_window_us,
            },
            "single_shot" => Idempotency::NonIdempotent,
            other => return Err(unknown("effect", other)),
        },
        latency_objective: profile.slo_us,
        objective_work_factor: profile.aim_stretch,
        deadline: profile.deadline_us,
        priority_weight: profile.worth,
        late_weight: profile.late_worth,
    })
}

fn consistency_level(word: &str) -> Result<ConsistencyLevel, String> {
    Ok(match word {
        "mutate" => ConsistencyLevel::Write,
        "strong" => ConsistencyLevel::Strong,
        "causal" => ConsistencyLevel::Session,
        "lag_bound" => ConsistencyLevel::BoundedStaleness,
        "eventual" => ConsistencyLevel::Eventual,
        other => return Err(unknown("consistency", other)),
    })
}

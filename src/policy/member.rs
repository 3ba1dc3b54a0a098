//! What this gateway knows of one member, and which states follow from that alone.
//!
//! A member is failed at [`FAILURE_THRESHOLD`] consecutive failures, unresponsive once a request timed out with no
//! answer since, and silent while it owes answers for longer than its tail latency.

use super::estimates::LatencyEstimate;
use super::limits::ConcurrencyLimit;
use super::role_arbitration::RoleArbitration;
use super::slow_start::TokenBucket;
use crate::interface::{DrainSignal, Endpoint, EndpointState, GroupId, MemberId, Micros, ZoneId};

/// Consecutive failures from which a member is failed.
pub(super) const FAILURE_THRESHOLD: u32 = 4;
/// Tail latencies without an answer after which a member that owes one is silent.
const SILENT_TAILS: f64 = 1.5;
/// The multiple of that patience for a single attempt in flight, which may be one long request.
const SINGLE_ATTEMPT_PATIENCE: f64 = 2.0;

/// A member as this gateway knows it.
#[derive(Default)]
pub(crate) struct Member {
    pub id: MemberId,
    pub group: GroupId,
    pub zone: ZoneId,
    /// The same at every gateway.
    pub tie_break_hash: u64,
    pub state: EndpointState,
    /// It was listed as draining since it was last ready.
    pub drain_seen: bool,
    /// When its process last started, as listed; 0 is long ago.
    pub started_at: Micros,
    /// The list names it as the primary, and nothing has contradicted that yet.
    pub listed_primary: bool,
    pub consecutive_failures: u32,
    /// Requests timed out here with no answer since; a health check does not clear that.
    pub unresponsive: bool,
    /// It has answered something since it was listed or restarted.
    pub verified: bool,
    pub check_in_flight: bool,
    /// Consecutive health checks that brought no report.
    pub failed_checks: u32,
    pub checked_at: Micros,
    pub roles: RoleArbitration,
    /// When the next half-open trial is due.
    pub next_trial_at: Micros,
    /// When it was last demoted, or last tried in a search for the primary.
    pub ruled_out_at: Micros,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// The last answer, or the first dispatch after which there was none.
    pub unanswered_since: Micros,
    /// All commits up to here are applied, as last reported.
    pub applied_position: Micros,
    pub position_reported_at: Micros,
    /// It rejected a read as too stale, and is passed over for reads until then.
    pub stale_until: Micros,
    /// It let a request time out, and gets no reads until then (outlier ejection).
    pub ejected_until: Micros,
    pub latency: LatencyEstimate,
    pub limit: ConcurrencyLimit,
    /// Dispatches saved up while it is warming up.
    pub slow_start_tokens: TokenBucket,
}

impl Member {
    /// A member listed for the first time.
    pub(super) fn new(endpoint: &Endpoint, latency: LatencyEstimate, now: Micros) -> Member {
        Member {
            id: endpoint.member,
            group: endpoint.group,
            zone: endpoint.zone,
            tie_break_hash: endpoint.tie_break_hash,
            started_at: endpoint.started,
            unanswered_since: now,
            latency,
            ..Member::default()
        }
    }

    /// Whether its listed state forbids new dispatches. Where only a draining entry binds, a removal alone does not.
    pub(super) fn must_drain(&self, signal: DrainSignal) -> bool {
        let removal_binds = signal == DrainSignal::DrainingOrRemoved;
        self.state != EndpointState::Ready && (removal_binds || self.drain_seen)
    }

    /// How far its data was behind when it last reported, microseconds.
    pub(super) fn replication_lag(&self) -> Micros {
        self.position_reported_at
            .saturating_sub(self.applied_position)
    }

    /// Whether it has reached the failure threshold.
    pub(super) fn has_failed(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }

    /// Whether it owes answers and gave none for longer than its tail latency: hung, cut off or stalled.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        let single = if self.in_flight == 1 {
            SINGLE_ATTEMPT_PATIENCE
        } else {
            1.0
        };
        let patience = (self.latency.tail() * SILENT_TAILS * single) as Micros;
        self.in_flight > 0 && now.saturating_sub(self.unanswered_since) > patience
    }

    /// An answer clears all suspicion.
    pub(super) fn record_answer(&mut self, now: Micros) {
        self.consecutive_failures = 0;
        self.unresponsive = false;
        self.verified = true;
        self.unanswered_since = now;
    }
}

//! The state of one member, as this gateway has observed it.
//!
//! A member is failed from [`FAILURE_THRESHOLD`] consecutive failures on, unresponsive after a request timed out there
//! until it answers another, and silent while it leaves attempts unanswered for much longer than its tail latency.

use super::estimates::LatencyEstimate;
use super::limits::ConcurrencyLimit;
use super::role_arbitration::RoleArbitration;
use super::slow_start::TokenBucket;
use crate::interface::{DrainSignal, Endpoint, EndpointState, GroupId, MemberId, Micros, ZoneId};

/// The number of consecutive failures from which a member counts as failed.
pub(super) const FAILURE_THRESHOLD: u32 = 4;
/// A member with attempts in flight is silent after this many tail latencies without an answer.
const SILENCE_TAIL_LATENCIES: f64 = 1.5;
/// Extends that time for a single attempt in flight, which may be one long request.
const SINGLE_ATTEMPT_FACTOR: f64 = 2.0;

/// A member as this gateway knows it.
#[derive(Default)]
pub(crate) struct Member {
    pub id: MemberId,
    pub group: GroupId,
    pub zone: ZoneId,
    /// Breaks ties; the same at every gateway.
    pub tie_break_hash: u64,
    pub state: EndpointState,
    /// The member was listed as draining since it was last ready.
    pub drain_seen: bool,
    /// When its process last started, as listed; 0 is long ago.
    pub started_at: Micros,
    /// The list names it as the primary, and it has not been demoted or tried as the primary since.
    pub listed_primary: bool,
    pub consecutive_failures: u32,
    /// A request timed out at the member, and it has answered none since; a health check does not clear this.
    pub unresponsive: bool,
    /// The member has answered something since it was listed or restarted.
    pub verified: bool,
    pub check_in_flight: bool,
    /// Consecutive health checks that brought no report.
    pub failed_checks: u32,
    pub checked_at: Micros,
    pub roles: RoleArbitration,
    /// When a current report last showed that the member is a replica.
    pub reported_replica_at: Micros,
    /// When the next half-open trial is due.
    pub next_trial_at: Micros,
    /// When the member was last demoted, or last tried in a search for the primary.
    pub ruled_out_at: Micros,
    /// Attempts of this gateway in flight at the member.
    pub in_flight: u32,
    /// When the member last answered, or when an attempt was dispatched after that with no other in flight.
    pub unanswered_since: Micros,
    /// All commits up to here are applied, as last reported.
    pub applied_position: Micros,
    pub position_reported_at: Micros,
    /// The member rejected a read as too stale, and is assumed to be stale until then.
    pub stale_until: Micros,
    /// A request timed out there, and it gets no reads until then (outlier ejection).
    pub ejected_until: Micros,
    pub latency: LatencyEstimate,
    pub limit: ConcurrencyLimit,
    /// Limits dispatches while it is warming up.
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

    /// Whether its listed state forbids new dispatches. Under [`DrainSignal::DrainingOnly`] a removal alone does not.
    pub(super) fn must_drain(&self, signal: DrainSignal) -> bool {
        let removal_counts = signal == DrainSignal::DrainingOrRemoved;
        self.state != EndpointState::Ready && (removal_counts || self.drain_seen)
    }

    /// How far its data was behind when it last reported, microseconds.
    pub(super) fn replication_lag(&self) -> Micros {
        self.position_reported_at
            .saturating_sub(self.applied_position)
    }

    /// Whether the member has reached the failure threshold.
    pub(super) fn has_failed(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }

    /// Whether the member has left attempts unanswered for much longer than its tail latency: hung, unreachable or stalled.
    pub(super) fn is_silent(&self, now: Micros) -> bool {
        let factor = if self.in_flight == 1 {
            SINGLE_ATTEMPT_FACTOR
        } else {
            1.0
        };
        let threshold = (self.latency.tail() * SILENCE_TAIL_LATENCIES * factor) as Micros;
        self.in_flight > 0 && now.saturating_sub(self.unanswered_since) > threshold
    }

    /// Records an answer to a request, which clears earlier failures and time-outs.
    pub(super) fn record_answer(&mut self, now: Micros) {
        self.consecutive_failures = 0;
        self.unresponsive = false;
        self.verified = true;
        self.unanswered_since = now;
    }
}

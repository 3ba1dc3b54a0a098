//! What a router knows of members, groups and requests, without any decision.

use super::estimates::{LatencyEstimate, ThroughputEstimate};
use super::limits::ConcurrencyLimit;
use super::load_shedding::AdmittedFraction;
use super::role_arbitration::RoleArbitration;
use super::slow_start::TokenBucket;
use crate::interface::*;
use std::collections::VecDeque;

/// What this front knows of a member.
#[derive(Default)]
pub(crate) struct Member {
    pub id: MemberId,
    pub group: GroupId,
    pub zone: ZoneId,
    /// The same at every front.
    pub tie_break_hash: u64,
    pub state: EndpointState,
    pub seen_draining: bool,
    /// When its process last started, as the list has it; 0 is long ago.
    pub started: Micros,
    pub listed_primary: bool,
    /// Bad results in a row.
    pub errors: u32,
    /// Requests timed out here with no answer since; a probe does not excuse that.
    pub mute: bool,
    /// It has answered something since it was listed or restarted.
    pub verified: bool,
    pub probe_out: bool,
    /// Probes in a row that brought no report.
    pub unheard: u32,
    pub probed_at: Micros,
    /// Which word that it is the primary is not believed.
    pub doubt: RoleArbitration,
    pub trial_at: Micros,
    pub asked_at: Micros,
    /// Own attempts that are out.
    pub in_flight: u32,
    /// The last answer, or the first send after which there was none.
    pub quiet_since: Micros,
    /// All commits up to here are applied, as last told.
    pub position: Micros,
    pub heard_at: Micros,
    pub missed_until: Micros,
    /// It let a request time out here.
    pub shunned_until: Micros,
    pub pace: LatencyEstimate,
    /// Own attempts in flight.
    pub limit: ConcurrencyLimit,
    /// Sends saved up while cold.
    pub cold: TokenBucket,
}

impl Member {
    pub(crate) fn new(entry: &Endpoint, now: Micros) -> Member {
        Member {
            id: entry.member,
            group: entry.group,
            zone: entry.zone,
            tie_break_hash: entry.tie_break_hash,
            started: entry.started,
            quiet_since: now,
            ..Member::default()
        }
    }
}

/// One primary and its replicas, and the requests that wait for them.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<MemberId>,
    pub active: Option<MemberId>,
    /// What its members carry for this front.
    pub carried: ThroughputEstimate,
    pub searched_at: Micros,
    /// Own attempts that are out.
    pub in_flight: u32,
    /// Of the standbys together, and of the active member.
    pub flows: [AdmittedFraction; 2],
    /// By class.
    pub waiting: Vec<VecDeque<RequestId>>,
    pub serving: bool,
}

/// A request that is not done with yet.
pub(crate) struct Request {
    pub arrival: Arrival,
    pub consistency: ConsistencyLevel,
    pub idempotency: Idempotency,
    pub received: Micros,
    /// Drawn from 0 to 1: whether it is among a share of arrivals.
    pub luck: f64,
    /// The position a session read must see.
    pub token: Micros,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    pub waiting: bool,
    /// Attempts in a row that were never sent.
    pub unsent: u32,
    /// Not sent before this time.
    pub rests_until: Micros,
}

/// One send of a request.
pub(crate) struct Attempt {
    pub member: MemberId,
    pub sent: Micros,
    pub out: bool,
    pub may_have_run: bool,
}

impl Request {
    pub(crate) fn new(
        arrival: Arrival,
        consistency: ConsistencyLevel,
        idempotency: Idempotency,
        token: Micros,
        received: Micros,
        luck: f64,
    ) -> Request {
        Request {
            arrival,
            consistency,
            idempotency,
            received,
            luck,
            token,
            attempts: Vec::new(),
            answered: false,
            streaming: false,
            waiting: false,
            unsent: 0,
            rests_until: 0,
        }
    }

    /// Whether others than the primary may serve it.
    pub(crate) fn reads(&self) -> bool {
        !matches!(
            self.consistency,
            ConsistencyLevel::Write | ConsistencyLevel::Strong
        )
    }

    pub(crate) fn class(&self) -> usize {
        self.arrival.class.0
    }

    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    pub(crate) fn attempt_out(&self, number: usize) -> bool {
        self.attempts.get(number).is_some_and(|attempt| attempt.out)
    }

    pub(crate) fn tried(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member)
    }

    pub(crate) fn first_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    pub(crate) fn sent(&mut self, member: MemberId, sent: Micros) {
        self.attempts.push(Attempt {
            member,
            sent,
            out: true,
            may_have_run: true,
        });
    }
}

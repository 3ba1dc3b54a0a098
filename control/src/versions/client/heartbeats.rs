//! When a gateway sends heartbeats, and when it leaves a control member that does not answer them.

use crate::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Heartbeats are sent early by a random jitter of up to a renewal interval divided by this, to spread those of a fleet.
const JITTER_DIVISOR: u64 = 8;
/// The second heartbeat on a link has more jitter: after the loss of a leader the whole fleet connects to the next one at
/// the same time.
const JITTER_DIVISOR_ON_NEW_LINK: u64 = 2;
/// An unanswered heartbeat counts as lost after a renewal interval divided by this.
const ANSWER_TIMEOUT_DIVISOR: u64 = 2;
/// Maximum number of redirections to a named leader in each renewal interval: two control members may each name the other
/// as the leader.
const MAX_REDIRECTS_PER_RENEWAL: u64 = 4;

/// The heartbeats of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Heartbeats {
    /// Seed of the jitter, which differs between gateways.
    seed: u64,
    next_at: Micros,
    /// Whether the next heartbeat is the first on its link.
    first_on_link: bool,
    /// When the first unanswered heartbeat was sent.
    unanswered_since: Option<Micros>,
}

impl Heartbeats {
    pub(super) fn new(seed: u64) -> Heartbeats {
        Heartbeats {
            seed,
            next_at: 0,
            first_on_link: false,
            unanswered_since: None,
        }
    }

    /// When the next heartbeat is due.
    pub(super) fn next_at(&self) -> Micros {
        self.next_at
    }

    /// Begins a new link, on which a heartbeat is due at once and none is unanswered.
    pub(super) fn reset_for_new_link(&mut self, now: Micros) {
        self.next_at = now;
        self.first_on_link = true;
        self.unanswered_since = None;
    }

    /// Records that the control member has sent a message, which shows that it is reachable.
    pub(super) fn record_answer(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns whether a heartbeat was not answered in time, once for each timeout: the link or the leader is lost.
    pub(super) fn take_timeout(&mut self, now: Micros, renew_us: Micros) -> bool {
        let timeout_us = renew_us / ANSWER_TIMEOUT_DIVISOR;
        let timed_out = self
            .unanswered_since
            .is_some_and(|at| now >= at.saturating_add(timeout_us));
        if timed_out {
            self.unanswered_since = None;
        }
        timed_out
    }

    /// Records that a heartbeat is sent now, and schedules the next one.
    pub(super) fn record_sent(&mut self, now: Micros, renew_us: Micros) {
        self.unanswered_since.get_or_insert(now);
        let divisor = if std::mem::take(&mut self.first_on_link) {
            JITTER_DIVISOR_ON_NEW_LINK
        } else {
            JITTER_DIVISOR
        };
        let jitter = self.random(now) % (renew_us / divisor).max(1);
        self.next_at = now.saturating_add(renew_us - jitter);
    }

    /// A pseudo-random number that depends on the seed and the time.
    pub(super) fn random(&self, now: Micros) -> u64 {
        xxh3_64_with_seed(&now.to_le_bytes(), self.seed)
    }
}

/// Limits how often a gateway follows redirections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Redirects {
    last_at: Option<Micros>,
}

impl Redirects {
    /// The control member to connect to: the leader, or `None` if the last redirection was too recent.
    pub(super) fn follow(
        &mut self,
        now: Micros,
        renew_us: Micros,
        leader: Option<u32>,
    ) -> Option<u32> {
        let min_interval_us = renew_us / MAX_REDIRECTS_PER_RENEWAL;
        let recent = self
            .last_at
            .is_some_and(|at| now < at.saturating_add(min_interval_us));
        self.last_at = Some(now);
        leader.filter(|_| !recent)
    }
}

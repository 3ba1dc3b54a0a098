//! When a gateway sends heartbeats, and when it gives up on a control member that does not answer them.

use crate::Micros;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Heartbeats are sent early by a jitter of up to this part of a renewal interval, which spreads those of a fleet.
const JITTER_PARTS: u64 = 8;
/// The second heartbeat on a link has more jitter: a fleet whose leader failed connects to the next one all at once.
const JITTER_PARTS_ON_NEW_LINK: u64 = 2;
/// Renewal intervals are divided by this to get the time after which an unanswered heartbeat counts as lost.
const ANSWER_TIMEOUT_PARTS: u64 = 2;
/// Redirections in each renewal interval at most: two control members may each take the other for the leader.
const MAX_REDIRECTS_PER_RENEWAL: u64 = 4;

/// The heartbeats of one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Heartbeats {
    /// Makes the jitter differ from gateway to gateway.
    seed: u64,
    next_at: Micros,
    /// Whether the next one is the first on its link.
    first_on_link: bool,
    /// When the first unanswered one was sent.
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

    /// On a new link a heartbeat is due at once, and none is unanswered.
    pub(super) fn connect(&mut self, now: Micros) {
        self.next_at = now;
        self.first_on_link = true;
        self.unanswered_since = None;
    }

    /// The control member has sent something, which shows that it is alive.
    pub(super) fn record_answer(&mut self) {
        self.unanswered_since = None;
    }

    /// Whether a heartbeat has been unanswered for too long. True once for each: the link or the leader is lost.
    pub(super) fn take_timeout(&mut self, now: Micros, renew_us: Micros) -> bool {
        let timeout_us = renew_us / ANSWER_TIMEOUT_PARTS;
        let timed_out = self
            .unanswered_since
            .is_some_and(|at| now >= at.saturating_add(timeout_us));
        if timed_out {
            self.unanswered_since = None;
        }
        timed_out
    }

    /// Records that a heartbeat is sent now, and draws the time of the next one.
    pub(super) fn record_sent(&mut self, now: Micros, renew_us: Micros) {
        self.unanswered_since.get_or_insert(now);
        let parts = if std::mem::take(&mut self.first_on_link) {
            JITTER_PARTS_ON_NEW_LINK
        } else {
            JITTER_PARTS
        };
        let jitter = self.random(now) % (renew_us / parts).max(1);
        self.next_at = now.saturating_add(renew_us - jitter);
    }

    /// A number that differs from gateway to gateway and from time to time.
    fn random(&self, now: Micros) -> u64 {
        xxh3_64_with_seed(&now.to_le_bytes(), self.seed)
    }
}

/// Limits how often a gateway follows redirections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Redirects {
    last_at: Option<Micros>,
}

impl Redirects {
    /// Where to redirect to: the leader, unless the last redirection was a moment ago.
    pub(super) fn follow(
        &mut self,
        now: Micros,
        renew_us: Micros,
        leader: Option<u32>,
    ) -> Option<u32> {
        let pause_us = renew_us / MAX_REDIRECTS_PER_RENEWAL;
        let recent = self
            .last_at
            .is_some_and(|at| now < at.saturating_add(pause_us));
        self.last_at = Some(now);
        leader.filter(|_| !recent)
    }
}

//! Catching up: the active versions whose content this gateway has not validated.
//!
//! A version can become active without this gateway: before its start, or while it was not registered. Invariant: the
//! gateway has no permission to act while it has not validated the content of every active version. Until then the caller
//! is asked to validate it, again and again, with a backoff: what is wrong may be mended meanwhile.

use crate::lease::Timing;
use crate::versions::{Content, Topic};
use crate::Micros;
use std::collections::BTreeMap;

/// Maximum number of doublings of the backoff between two validations; at first it is a renewal interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Up to this part of the backoff is taken off by chance, so that gateways that return together spread out.
const JITTER_DIVISOR: u64 = 4;

/// An active version that is not validated yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct UnvalidatedVersion {
    number: u64,
    previous: u64,
    /// `None` if the control member did not send it.
    content: Option<Content>,
    next_request_at: Micros,
    requests: u32,
}

/// A request to validate the content of an active version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ValidationRequest {
    pub(super) topic: Topic,
    pub(super) number: u64,
    /// `None` if the control member did not send it.
    pub(super) content: Option<Content>,
}

/// The active versions that are not validated yet, by topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct CatchUp {
    by_topic: BTreeMap<Topic, UnvalidatedVersion>,
}

impl CatchUp {
    /// Whether all active versions are validated.
    pub(super) fn is_complete(&self) -> bool {
        self.by_topic.is_empty()
    }

    /// Begins the validation of a version that became active; it replaces an earlier one of its topic.
    pub(super) fn begin(
        &mut self,
        now: Micros,
        topic: Topic,
        number: u64,
        previous: u64,
        content: Option<Content>,
    ) {
        let version = UnvalidatedVersion {
            number,
            previous,
            content,
            next_request_at: now,
            requests: 0,
        };
        self.by_topic.insert(topic, version);
    }

    /// Ends the validation for a topic whose active version this gateway has validated.
    pub(super) fn end(&mut self, topic: Topic) {
        self.by_topic.remove(&topic);
    }

    /// Ends the validation of a version that turned out to be valid. Returns the number of the version before it, or `None`
    /// if this version is not waited for.
    pub(super) fn complete(&mut self, topic: Topic, number: u64) -> Option<u64> {
        if !self.is_waiting_for(topic, number) {
            return None;
        }
        self.by_topic.remove(&topic).map(|version| version.previous)
    }

    /// Whether this version is active and not validated yet.
    pub(super) fn is_waiting_for(&self, topic: Topic, number: u64) -> bool {
        self.by_topic
            .get(&topic)
            .is_some_and(|version| version.number == number)
    }

    /// Makes all validations due at once.
    pub(super) fn mark_due(&mut self, now: Micros) {
        for version in self.by_topic.values_mut() {
            version.next_request_at = now;
        }
    }

    /// The validations to request now. Each is requested again after a backoff, from which `random` takes the jitter.
    pub(super) fn take_due(
        &mut self,
        now: Micros,
        timing: &Timing,
        random: u64,
    ) -> Vec<ValidationRequest> {
        let due = self
            .by_topic
            .iter_mut()
            .filter(|(_, version)| now >= version.next_request_at);
        due.map(|(topic, version)| {
            let backoff = timing.renew_us << version.requests;
            let jitter = random % (backoff / JITTER_DIVISOR).max(1);
            version.next_request_at = now.saturating_add(backoff - jitter);
            version.requests = (version.requests + 1).min(MAX_BACKOFF_DOUBLINGS);
            ValidationRequest {
                topic: *topic,
                number: version.number,
                content: version.content.clone(),
            }
        })
        .collect()
    }

    /// When the next validation is due.
    pub(super) fn next_at(&self) -> Option<Micros> {
        let versions = self.by_topic.values();
        versions.map(|version| version.next_request_at).min()
    }
}

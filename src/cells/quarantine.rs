//! Quarantine of statements that crash or hang the members that run them.
//!
//! An attempt under which its member crashed or hung counts against its *fingerprint* (the tenant and the normalized
//! statement) and against its tenant. After a set number of members the fingerprint is quarantined: no further attempt is
//! dispatched. The members that the attempts of one request, one fingerprint and one tenant may crash within a window are
//! bounded as well, so that a read that is retried does not crash a whole cell before it is quarantined.

use super::stable_hash;
use crate::interface::{Idempotency, MemberId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Answers after which a fingerprint or tenant counts as proven, so that its quarantine takes more failures.
const MIN_ANSWERS: u32 = 4;
/// The interval at which old suspects are removed, microseconds.
const DECAY_INTERVAL_US: Micros = 1_000_000;

/// The hash of a tenant's name and a normalized statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// The options of the quarantine in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
// `expecting` keeps the type name in serde's error messages, which stays when this type is renamed.
#[serde(default, deny_unknown_fields, expecting = "struct Knobs")]
pub struct QuarantineOptions {
    /// Members that must crash or hang under one fingerprint before it is quarantined; 1 to 16, default 2.
    pub members: usize,
    /// The window in which they must crash or hang, milliseconds; 1000 to 3600000, default 30000.
    pub window_ms: u64,
    /// How long the first quarantine lasts, milliseconds; 1000 to 86400000, default 300000. The time doubles with each
    /// further quarantine, up to 16 times.
    pub lasts_ms: u64,
    /// Members that must crash or hang under one tenant before it is quarantined; 1 to 64, default 4.
    pub tenant_members: usize,
    /// The most fingerprints and the most tenants that are tracked; 16 to 65536, default 4096. Those without events for
    /// longest are removed first.
    pub entries: usize,
}

impl Default for QuarantineOptions {
    fn default() -> QuarantineOptions {
        QuarantineOptions {
            members: 2,
            window_ms: 30_000,
            lasts_ms: 300_000,
            tenant_members: 4,
            entries: 4096,
        }
    }
}

/// What happened to a member under an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberOutcome {
    /// The member answered, with a result or an error.
    Answered,
    /// The member's connections broke, or it refused new ones, while the attempt was in flight.
    Crashed,
    /// The member stopped answering while the attempt was in flight.
    Hung,
}

/// Whether an attempt may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The attempt may be dispatched.
    Allow,
    /// The request is rejected without the attempt: nothing of it has run, or it may be repeated.
    Refuse,
    /// The request fails without the attempt: an earlier attempt may have run, so that it can't be rejected for a retry.
    Fail,
}

/// The history of one fingerprint or tenant.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Members that crashed or hung under its attempts, and when.
    failed_members: Vec<(MemberId, Micros)>,
    /// Answers before the first of the failures; with some, it was harmless until shortly before.
    answers_before: u32,
    /// Attempts under which a member crashed or hung, since the first of the failures.
    failures: u32,
    /// Attempts that were answered since the first of the failures.
    answers_since: u32,
    quarantined_until: Micros,
    /// Quarantines so far.
    quarantines: u32,
    last_event_at: Micros,
}

/// The suspects of one gateway; see the module.
pub struct Quarantine {
    options: QuarantineOptions,
    fingerprints: BTreeMap<Fingerprint, Suspect>,
    tenants: BTreeMap<u64, Suspect>,
    decayed_at: Micros,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new(options: QuarantineOptions) -> Quarantine {
        Quarantine {
            options,
            fingerprints: BTreeMap::new(),
            tenants: BTreeMap::new(),
            decayed_at: 0,
        }
    }

    /// Whether an attempt may be dispatched; `may_have_run` if an earlier attempt of the request may have run, and
    /// `failed_members` is the number of members that crashed or hung under the request's own attempts.
    pub fn admit(
        &mut self,
        now: Micros,
        (tenant, fingerprint): (u64, Fingerprint),
        idempotency: Idempotency,
        may_have_run: bool,
        failed_members: usize,
    ) -> QuarantineDecision {
        self.remove_old_suspects(now);
        let is_quarantined = self
            .fingerprints
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.quarantined_until > now)
            || self
                .tenants
                .get(&tenant)
                .is_some_and(|suspect| suspect.quarantined_until > now)
            || failed_members >= self.options.members;
        match (is_quarantined, idempotency) {
            (false, _) => QuarantineDecision::Allow,
            (true, Idempotency::Idempotent) => QuarantineDecision::Refuse,
            (true, _) if !may_have_run => QuarantineDecision::Refuse,
            (true, _) => QuarantineDecision::Fail,
        }
    }

    /// Records how an attempt ended for its member. All attempts in flight at a member fail when it crashes, so that a
    /// frequent statement is in flight during many crashes that it did not cause. A suspect is therefore quarantined only
    /// if, since the first failure, at least as many of its attempts failed that way as were answered; and one that was
    /// answered before, only after twice as many failures as a new one, by which time the statement that caused them has
    /// been quarantined.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        (tenant, fingerprint): (u64, Fingerprint),
        member: MemberId,
        outcome: MemberOutcome,
    ) {
        if outcome == MemberOutcome::Answered {
            let record_answer = |suspect: &mut Suspect| {
                let count = if suspect.failed_members.is_empty() {
                    &mut suspect.answers_before
                } else {
                    &mut suspect.answers_since
                };
                *count = count.saturating_add(1);
                suspect.last_event_at = now;
            };
            record_answer(self.fingerprints.entry(fingerprint).or_default());
            record_answer(self.tenants.entry(tenant).or_default());
            self.evict_excess();
            return;
        }
        let options = self.options;
        let (window, lasts) = (options.window_ms * 1000, options.lasts_ms * 1000);
        let record_failure = |suspect: &mut Suspect, max_members: usize| {
            suspect
                .failed_members
                .retain(|(other, at)| *other != member && now.saturating_sub(*at) < window);
            if suspect.failed_members.is_empty() {
                (suspect.failures, suspect.answers_since) = (0, 0);
            }
            suspect.failed_members.push((member, now));
            suspect.failures = suspect.failures.saturating_add(1);
            suspect.last_event_at = now;
            let is_likely_cause = suspect.failures >= suspect.answers_since;
            let has_enough_failures = if suspect.answers_before >= MIN_ANSWERS {
                suspect.failures as usize >= 2 * max_members
            } else {
                suspect.failed_members.len() >= max_members
            };
            if is_likely_cause && has_enough_failures && suspect.quarantined_until <= now {
                suspect.quarantined_until = now.saturating_add(lasts << suspect.quarantines.min(4));
                suspect.quarantines += 1;
                suspect.failed_members.clear();
                suspect.answers_before = 0;
            }
        };
        record_failure(
            self.fingerprints.entry(fingerprint).or_default(),
            options.members,
        );
        record_failure(
            self.tenants.entry(tenant).or_default(),
            options.tenant_members,
        );
        self.evict_excess();
    }

    fn evict_excess(&mut self) {
        evict_down_to(&mut self.fingerprints, self.options.entries);
        evict_down_to(&mut self.tenants, self.options.entries);
    }

    /// Removes a fingerprint's quarantine and history; false if it has none.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        self.fingerprints.remove(&fingerprint).is_some()
    }

    /// The fingerprints that are quarantined now, and until when.
    pub fn list(&self, now: Micros) -> Vec<(Fingerprint, Micros)> {
        let quarantined = self
            .fingerprints
            .iter()
            .filter(|(_, suspect)| suspect.quarantined_until > now);
        quarantined
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.quarantined_until))
            .collect()
    }

    /// The number of tracked fingerprints and tenants.
    pub fn len(&self) -> usize {
        self.fingerprints.len() + self.tenants.len()
    }

    /// Whether no fingerprint and no tenant is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes suspects that had no event for a window and, if they were quarantined, for twice the length of their last
    /// quarantine in addition.
    fn remove_old_suspects(&mut self, now: Micros) {
        // Visits all suspects, which is too slow for every request.
        if now.saturating_sub(self.decayed_at) < DECAY_INTERVAL_US {
            return;
        }
        self.decayed_at = now;
        let (window, lasts) = (self.options.window_ms * 1000, self.options.lasts_ms * 1000);
        let is_recent = |suspect: &mut Suspect| {
            let extra = if suspect.quarantines > 0 {
                lasts << suspect.quarantines.min(5)
            } else {
                0
            };
            suspect.quarantined_until > now
                || now.saturating_sub(suspect.last_event_at) < window + extra
        };
        self.fingerprints.retain(|_, suspect| is_recent(suspect));
        self.tenants.retain(|_, suspect| is_recent(suspect));
    }
}

/// Removes suspects until at most `max_entries` are left: those without a quarantine first, then those whose quarantine ends
/// first, and among equals the one without events for longest.
fn evict_down_to<K: Ord + Copy>(suspects: &mut BTreeMap<K, Suspect>, max_entries: usize) {
    while suspects.len() > max_entries.max(1) {
        let oldest = suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.quarantined_until, suspect.last_event_at));
        let Some(key) = oldest.map(|(key, _)| *key) else {
            return;
        };
        suspects.remove(&key);
    }
}

/// The fingerprint of a tenant's statement. The statement is normalized: without values, comments, case and spacing, so that
/// the same query with other values has the same fingerprint.
pub fn fingerprint(tenant: &str, statement: &[u8]) -> Fingerprint {
    let mut normalized = Vec::with_capacity(statement.len().min(512) + tenant.len() + 1);
    normalized.extend_from_slice(tenant.as_bytes());
    normalized.push(0);
    let (mut at, mut after_space) = (0, true);
    while at < statement.len() {
        let rest = &statement[at..];
        match rest[0] {
            b'\'' => {
                // Up to the closing quote; a doubled quote is part of the string.
                let mut end = 1;
                while end < rest.len() && (rest[end] != b'\'' || rest.get(end + 1) == Some(&b'\''))
                {
                    end += if rest[end] == b'\'' { 2 } else { 1 };
                }
                normalized.push(b'?');
                (at, after_space) = (at + (end + 1).min(rest.len()), false);
            }
            b'/' if rest.starts_with(b"/*") => {
                let end = rest
                    .windows(2)
                    .position(|pair| pair == b"*/")
                    .map_or(rest.len(), |end| end + 2);
                at += end;
            }
            digit
                if digit.is_ascii_digit()
                    && !normalized
                        .last()
                        .is_some_and(|b| b.is_ascii_alphanumeric() || *b == b'_') =>
            {
                let end = rest
                    .iter()
                    .position(|b| !b.is_ascii_alphanumeric() && *b != b'.')
                    .unwrap_or(rest.len());
                normalized.push(b'?');
                (at, after_space) = (at + end, false);
            }
            space if space.is_ascii_whitespace() || space == b';' => {
                if !std::mem::replace(&mut after_space, true) {
                    normalized.push(b' ');
                }
                at += 1;
            }
            byte => {
                normalized.push(byte.to_ascii_lowercase());
                (at, after_space) = (at + 1, false);
            }
        }
    }
    while normalized.last() == Some(&b' ') {
        normalized.pop();
    }
    Fingerprint(stable_hash(&normalized))
}

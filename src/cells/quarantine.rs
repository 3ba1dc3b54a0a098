//! Poison: requests that kill or hang the members they reach, told by tenant and shape.
//!
//! An attempt that is followed by its member's death or hang counts against its *fingerprint* (tenant and shape of the
//! statement) and its tenant. Past a stated number of members the fingerprint is quarantined: no further attempt goes
//! out. Apart from that, the members that one request, one fingerprint and one tenant may touch within a window are
//! bounded while any of their attempts ended that way, so that a read tried again does not kill a cell before it is
//! found out.

use super::stable_hash;
use crate::interface::{Idempotency, MemberId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Answers that make a shape or tenant known.
const MIN_ANSWERS: u32 = 4;
/// Time between two looks for who can be forgotten.
const DECAY_INTERVAL_US: Micros = 1_000_000;

/// Tenant and shape, hashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// What an operator may set of the quarantine.
///
/// A value of another type is reported with the name that serde is told here; operators' files have met it so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Knobs")]
pub struct QuarantineOptions {
    /// Members that must die or hang after one fingerprint before it is quarantined; 1 to 16, default 2.
    pub members: usize,
    /// The window in which they must, milliseconds; 1000 to 3600000, default 30000.
    pub window_ms: u64,
    /// How long a quarantine lasts, milliseconds; default 300000. It doubles when the poison comes back, to 16 times.
    pub lasts_ms: u64,
    /// Suspect members that one tenant may touch within the window; default 4.
    pub tenant_members: usize,
    /// Fingerprints that are kept in mind; those quiet for longest go first. Default 4096.
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

/// How an attempt's member fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberOutcome {
    /// It answered, whatever it said.
    Answered,
    /// Its connections broke, or new ones were refused, while the attempt was out.
    Crashed,
    /// It went silent while the attempt was out.
    Hung,
}

/// What to do about an attempt that is to go out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// Let it go.
    Allow,
    /// No attempt: nothing of the request ran, or it may be repeated, so it is refused.
    Refuse,
    /// No attempt: one that may have run is out of the question for a refusal.
    Fail,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Members that died or hung after it, and when.
    victims: Vec<(MemberId, Micros)>,
    /// Answers before the first victim: with some, the shape was harmless a moment ago.
    known: u32,
    /// Attempts that ended so, and those that were answered, since the first victim.
    died: u32,
    answered: u32,
    until: Micros,
    times: u32,
    last: Micros,
}

/// All suspects; see the module.
pub struct Quarantine {
    options: QuarantineOptions,
    shapes: BTreeMap<Fingerprint, Suspect>,
    tenants: BTreeMap<u64, Suspect>,
    aged_at: Micros,
}

impl Quarantine {
    /// None suspected.
    pub fn new(options: QuarantineOptions) -> Quarantine {
        Quarantine {
            options,
            shapes: BTreeMap::new(),
            tenants: BTreeMap::new(),
            aged_at: 0,
        }
    }

    /// Decides on an attempt at a member: `ran` when an earlier one of the request may have run, and `victims` the
    /// members that the request's own attempts were followed by the death of.
    pub fn admit(
        &mut self,
        now: Micros,
        (tenant, shape): (u64, Fingerprint),
        idempotency: Idempotency,
        ran: bool,
        victims: usize,
    ) -> QuarantineDecision {
        self.age(now);
        let shut = self
            .shapes
            .get(&shape)
            .is_some_and(|suspect| suspect.until > now)
            || self
                .tenants
                .get(&tenant)
                .is_some_and(|suspect| suspect.until > now)
            || victims >= self.options.members;
        match (shut, idempotency) {
            (false, _) => QuarantineDecision::Allow,
            (true, Idempotency::Idempotent) => QuarantineDecision::Refuse,
            (true, _) if !ran => QuarantineDecision::Refuse,
            (true, _) => QuarantineDecision::Fail,
        }
    }

    /// An attempt has ended. Whatever is in flight when a member dies ends with it: a shape that is asked often meets
    /// many deaths that are not its own. So a suspect is shut only if at least as many of its attempts ended so, since
    /// the first, as were answered; and one that was answered before, only after twice as many deaths as one that is
    /// new, by which time what was really to blame is shut.
    pub fn ended(
        &mut self,
        now: Micros,
        (tenant, shape): (u64, Fingerprint),
        member: MemberId,
        after: MemberOutcome,
    ) {
        if after == MemberOutcome::Answered {
            let answered = |suspect: &mut Suspect| {
                let count = if suspect.victims.is_empty() {
                    &mut suspect.known
                } else {
                    &mut suspect.answered
                };
                *count = count.saturating_add(1);
                suspect.last = now;
            };
            answered(self.shapes.entry(shape).or_default());
            answered(self.tenants.entry(tenant).or_default());
            self.evict_excess();
            return;
        }
        let options = self.options;
        let (window, lasts) = (options.window_ms * 1000, options.lasts_ms * 1000);
        let hurt = |suspect: &mut Suspect, most: usize| {
            suspect
                .victims
                .retain(|(other, at)| *other != member && now.saturating_sub(*at) < window);
            if suspect.victims.is_empty() {
                (suspect.died, suspect.answered) = (0, 0);
            }
            suspect.victims.push((member, now));
            suspect.died = suspect.died.saturating_add(1);
            suspect.last = now;
            let own = suspect.died >= suspect.answered;
            let enough = if suspect.known >= MIN_ANSWERS {
                suspect.died as usize >= 2 * most
            } else {
                suspect.victims.len() >= most
            };
            if own && enough && suspect.until <= now {
                suspect.until = now.saturating_add(lasts << suspect.times.min(4));
                suspect.times += 1;
                suspect.victims.clear();
                suspect.known = 0;
            }
        };
        hurt(self.shapes.entry(shape).or_default(), options.members);
        hurt(
            self.tenants.entry(tenant).or_default(),
            options.tenant_members,
        );
        self.evict_excess();
    }

    fn evict_excess(&mut self) {
        bound(&mut self.shapes, self.options.entries);
        bound(&mut self.tenants, self.options.entries);
    }

    /// Lifts a quarantine by hand; false when there is none.
    pub fn lift(&mut self, shape: Fingerprint) -> bool {
        self.shapes.remove(&shape).is_some()
    }

    /// What is quarantined now, and until when.
    pub fn list(&self, now: Micros) -> Vec<(Fingerprint, Micros)> {
        let shut = self
            .shapes
            .iter()
            .filter(|(_, suspect)| suspect.until > now);
        shut.map(|(shape, suspect)| (*shape, suspect.until))
            .collect()
    }

    /// Suspects that are kept in mind.
    pub fn len(&self) -> usize {
        self.shapes.len() + self.tenants.len()
    }

    /// Nobody is suspected.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets who has been quiet for long: a window, and as long again as its last quarantine lasted.
    fn age(&mut self, now: Micros) {
        // All are looked at: not at every request.
        if now.saturating_sub(self.aged_at) < DECAY_INTERVAL_US {
            return;
        }
        self.aged_at = now;
        let (window, lasts) = (self.options.window_ms * 1000, self.options.lasts_ms * 1000);
        let stays = |suspect: &mut Suspect| {
            let remembered = if suspect.times > 0 {
                lasts << suspect.times.min(5)
            } else {
                0
            };
            suspect.until > now || now.saturating_sub(suspect.last) < window + remembered
        };
        self.shapes.retain(|_, suspect| stays(suspect));
        self.tenants.retain(|_, suspect| stays(suspect));
    }
}

/// Makes room: first whoever is not quarantined, the longest quiet first.
fn bound<K: Ord + Copy>(suspects: &mut BTreeMap<K, Suspect>, most: usize) {
    while suspects.len() > most.max(1) {
        let oldest = suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.until, suspect.last));
        let Some(key) = oldest.map(|(key, _)| *key) else {
            return;
        };
        suspects.remove(&key);
    }
}

/// The fingerprint of a statement: its tenant, and its words without literals, numbers, comments and case, so that the
/// same query with other values is the same.
pub fn fingerprint(tenant: &str, statement: &[u8]) -> Fingerprint {
    let mut shape = Vec::with_capacity(statement.len().min(512) + tenant.len() + 1);
    shape.extend_from_slice(tenant.as_bytes());
    shape.push(0);
    let (mut at, mut spaced) = (0, true);
    while at < statement.len() {
        let rest = &statement[at..];
        match rest[0] {
            b'\'' => {
                // To the closing quote; a doubled one is inside.
                let mut end = 1;
                while end < rest.len() && (rest[end] != b'\'' || rest.get(end + 1) == Some(&b'\''))
                {
                    end += if rest[end] == b'\'' { 2 } else { 1 };
                }
                shape.push(b'?');
                (at, spaced) = (at + (end + 1).min(rest.len()), false);
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
                    && !shape
                        .last()
                        .is_some_and(|b| b.is_ascii_alphanumeric() || *b == b'_') =>
            {
                let end = rest
                    .iter()
                    .position(|b| !b.is_ascii_alphanumeric() && *b != b'.')
                    .unwrap_or(rest.len());
                shape.push(b'?');
                (at, spaced) = (at + end, false);
            }
            space if space.is_ascii_whitespace() || space == b';' => {
                if !std::mem::replace(&mut spaced, true) {
                    shape.push(b' ');
                }
                at += 1;
            }
            byte => {
                shape.push(byte.to_ascii_lowercase());
                (at, spaced) = (at + 1, false);
            }
        }
    }
    while shape.last() == Some(&b' ') {
        shape.pop();
    }
    Fingerprint(stable_hash(&shape))
}

//! What each connected gateway was sent and had proposed on its behalf, so that neither is repeated while it is in flight.

use crate::lease::{Index, Timing};
use crate::Micros;
use std::collections::BTreeMap;

/// Leases without contact after which a gateway's link is forgotten. Its registration is not affected.
const LINK_RETENTION_LEASES: u64 = 10;

/// The last topic states sent to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentStates {
    as_of: Index,
    at: Micros,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Link {
    last_contact_at: Micros,
    sent_states: Option<SentStates>,
    /// When a registration was last proposed for this gateway.
    join_proposed_at: Option<Micros>,
}

/// The links of one epoch, by gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Links {
    by_gateway: BTreeMap<u32, Link>,
}

impl Links {
    /// A gateway has a new link: what was sent on a former one may be lost.
    pub(super) fn connect(&mut self, gateway: u32, now: Micros) {
        let link = Link {
            last_contact_at: now,
            ..Link::default()
        };
        self.by_gateway.insert(gateway, link);
    }

    /// All gateways are being sent the topic states up to `as_of`.
    pub(super) fn record_broadcast(&mut self, as_of: Index, now: Micros) {
        for link in self.by_gateway.values_mut() {
            link.sent_states = Some(SentStates { as_of, at: now });
        }
    }

    /// Records a heartbeat of a gateway that knows the states up to `known_index`. Returns whether it is to be sent those up to
    /// `as_of`, which then count as sent: true where it lacks some that are not in flight.
    pub(super) fn must_resend(
        &mut self,
        gateway: u32,
        known_index: Index,
        as_of: Index,
        now: Micros,
        timing: &Timing,
    ) -> bool {
        let link = self.by_gateway.entry(gateway).or_default();
        link.last_contact_at = now;
        let sent = link.sent_states.filter(|sent| sent.as_of == as_of);
        let in_flight = sent.is_some_and(|sent| now < sent.at.saturating_add(timing.renew_us / 2));
        let resend = known_index < as_of && !in_flight;
        if resend {
            link.sent_states = Some(SentStates { as_of, at: now });
        }
        resend
    }

    /// Whether a registration may be proposed for a gateway now, which then counts as proposed.
    pub(super) fn may_propose_join(&mut self, gateway: u32, now: Micros, timing: &Timing) -> bool {
        let link = self.by_gateway.entry(gateway).or_default();
        let due = link
            .join_proposed_at
            .is_none_or(|at| now >= at.saturating_add(timing.renew_us / 2));
        if due {
            link.join_proposed_at = Some(now);
        }
        due
    }

    /// Forgets gateways that have been silent for long.
    pub(super) fn discard_idle(&mut self, now: Micros, timing: &Timing) {
        let retention_us = LINK_RETENTION_LEASES * timing.lease_us;
        self.by_gateway
            .retain(|_, link| now < link.last_contact_at.saturating_add(retention_us));
    }
}

//! What was last sent to each connected gateway and proposed for it, so that neither is repeated while it is in flight.

use crate::lease::{Index, Timing};
use crate::Micros;
use std::collections::BTreeMap;

/// A gateway's link is forgotten after this many leases without contact. The gateway's registration is not affected.
const LINK_RETENTION_LEASES: u64 = 10;

/// The last topic states sent to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentStates {
    state_index: Index,
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
    /// Begins a new link of a gateway. What was sent on a former one may be lost.
    pub(super) fn reset(&mut self, gateway: u32, now: Micros) {
        let link = Link {
            last_contact_at: now,
            ..Link::default()
        };
        self.by_gateway.insert(gateway, link);
    }

    /// Records that the topic states up to `state_index` are sent to all gateways now.
    pub(super) fn record_broadcast(&mut self, state_index: Index, now: Micros) {
        for link in self.by_gateway.values_mut() {
            link.sent_states = Some(SentStates {
                state_index,
                at: now,
            });
        }
    }

    /// Records a heartbeat of a gateway that knows the topic states up to `known_index`. Returns whether the gateway lacks
    /// states up to `state_index` that are not in flight; these then count as sent now.
    pub(super) fn begin_resend_if_due(
        &mut self,
        gateway: u32,
        known_index: Index,
        state_index: Index,
        now: Micros,
        timing: &Timing,
    ) -> bool {
        let link = self.by_gateway.entry(gateway).or_default();
        link.last_contact_at = now;
        let sent = link
            .sent_states
            .filter(|sent| sent.state_index == state_index);
        let in_flight = sent.is_some_and(|sent| now < sent.at.saturating_add(timing.renew_us / 2));
        let resend = known_index < state_index && !in_flight;
        if resend {
            link.sent_states = Some(SentStates {
                state_index,
                at: now,
            });
        }
        resend
    }

    /// Returns whether a registration is to be proposed for a gateway now; it then counts as proposed.
    pub(super) fn begin_join_if_due(&mut self, gateway: u32, now: Micros, timing: &Timing) -> bool {
        let link = self.by_gateway.entry(gateway).or_default();
        let due = link
            .join_proposed_at
            .is_none_or(|at| now >= at.saturating_add(timing.renew_us / 2));
        if due {
            link.join_proposed_at = Some(now);
        }
        due
    }

    /// Forgets the links of gateways without contact for [`LINK_RETENTION_LEASES`].
    pub(super) fn discard_idle(&mut self, now: Micros, timing: &Timing) {
        let retention_us = LINK_RETENTION_LEASES * timing.lease_us;
        self.by_gateway
            .retain(|_, link| now < link.last_contact_at.saturating_add(retention_us));
    }
}

//! Dispatch: whether the rules allow a request to be dispatched to a member, and the bookkeeping of a dispatch.
//!
//! A request has one attempt in flight, unless the settings allow parallel ones. Nothing is dispatched against the rules
//! on drains and repeats, which [`super::send_rules`] judges and judges again at the send, during a retry backoff, or
//! beyond the slow-start tokens of a member that is warming up.

use super::member::Member;
use super::requests::Request;
use super::slow_start::TokenBucket;
use super::Router;
use crate::interface::{Action, MemberId, RequestId};

impl Router {
    /// Whether the rules on repeats, drains, backoff and slow start allow a request to be dispatched to a member.
    pub(super) fn may_dispatch(&self, request: &Request, member: &Member) -> bool {
        let is_second = request.has_attempt_in_flight() && !self.settings.parallel.granted();
        let backs_off = self.now < request.backoff_until;
        if is_second || backs_off {
            return false;
        }
        self.check_drain_and_repeat(self.now, request, member, None)
            .is_ok()
            && self.has_slow_start_tokens(request, member)
    }

    /// Dispatches a request if a member can be selected for it now. Returns whether it was dispatched.
    pub(super) fn try_dispatch(&mut self, id: RequestId) -> bool {
        let selected = self
            .requests
            .get(&id)
            .and_then(|request| self.select_member(request));
        if let Some(member) = selected {
            self.dispatch(id, member);
        }
        selected.is_some()
    }

    /// Dispatches an attempt of a request to a member.
    pub(super) fn dispatch(&mut self, id: RequestId, to: MemberId) {
        let now = self.now;
        // Advances the generator; member selection draws from a copy of it.
        self.rng.u64(..);
        let to_known_primary = self.topology.is_known_primary(to);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let repeatable_until = request.repeatable_until(None);
        request.record_dispatch(to, now, to_known_primary);
        let class = request.class();
        let useful_until = request.useful_until(&self.settings.classes[class]);
        let timeout = useful_until.saturating_sub(now).max(1);
        self.record_dispatch(class, to);
        self.actions.push(Action::Dispatch {
            request: id,
            member: to,
            timeout,
            send_within: timeout.min(repeatable_until.saturating_sub(now)),
        });
    }

    fn record_dispatch(&mut self, class: usize, to: MemberId) {
        let now = self.now;
        let next_trial_at = self.next_trial_at();
        let tokens = self
            .topology
            .member(to)
            .map_or(0.0, |member| self.slow_start_tokens(member));
        // The token rate is based on throughput, mostly of requests of the lightest class, so longer work costs more.
        let cost = self.classes.relative_work(class);
        if let Some((member, group)) = self.topology.member_and_group_mut(to) {
            member.next_trial_at = next_trial_at;
            if member.in_flight == 0 && !member.unresponsive {
                member.unanswered_since = now;
            }
            member.in_flight += 1;
            member.slow_start_tokens = TokenBucket::new(tokens - cost, now);
            group.in_flight += 1;
        }
    }
}

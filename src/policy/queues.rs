//! The queues of requests that found no capacity.
//!
//! Each group has a queue for each class. The class of the highest value for its work is drained first; within a class
//! the oldest goes first, or the newest if there is a backlog, as the oldest would be dispatched with too little time
//! left. A queued request leaves by a dispatch, by its final answer, or when its latest dispatch has passed.

use super::timers::Timer;
use super::Router;
use crate::interface::{GroupId, Micros, RequestId};
use std::collections::VecDeque;

/// How often queues are drained and a primary is sought, microseconds.
pub(super) const DRAIN_INTERVAL: Micros = 20_000;
/// After this many requests of a class that find no capacity, the rest of its queue is not tried.
const MAX_BLOCKED: usize = 3;
/// A class has a backlog if its oldest request has waited for longer than the latency objective divided by this.
const BACKLOG_OBJECTIVE_DIVISOR: Micros = 2;

impl Router {
    /// Queues a request until its latest dispatch.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let time_left = self.latest_dispatch(request).saturating_sub(self.now);
        let (group, class) = (request.arrival.group, request.class());
        if let Some(request) = self.requests.get_mut(&id) {
            request.queued = true;
        }
        if let Some(group) = self.topology.group_mut(group) {
            group.queues[class].push_back(id);
        }
        self.schedule(time_left, Timer::ExpireRequest(id));
        self.find_primary(group);
        self.poll_position(id);
        self.schedule_drain(group);
    }

    /// Gives a request its final answer, if it is still queued.
    pub(super) fn expire_queued(&mut self, id: RequestId) {
        if self.is_queued(id) {
            self.reject_or_fail(id);
        }
    }

    /// Handles the timer that drains a group's queues.
    pub(super) fn on_drain_timer(&mut self, id: GroupId) {
        let Some(group) = self.topology.group_mut(id) else {
            return;
        };
        group.drain_scheduled = false;
        self.find_primary(id);
        self.drain_queues(id);
        self.schedule_drain(id);
    }

    fn schedule_drain(&mut self, id: GroupId) {
        let Some(group) = self.topology.group_mut(id) else {
            return;
        };
        let has_queued = group.queues.iter().any(|queue| !queue.is_empty());
        if !group.drain_scheduled && has_queued {
            group.drain_scheduled = true;
            self.schedule(DRAIN_INTERVAL, Timer::DrainQueues(id));
        }
    }

    /// Dispatches the queued requests of a group, as far as there is capacity.
    pub(super) fn drain_queues(&mut self, id: GroupId) {
        let Some(group) = self.topology.group_mut(id) else {
            return;
        };
        let mut queues = std::mem::take(&mut group.queues);
        let mut by_value: Vec<usize> = (0..queues.len())
            .filter(|class| !queues[*class].is_empty())
            .collect();
        by_value.sort_by(|a, b| self.classes.value(*b).total_cmp(&self.classes.value(*a)));
        for class in by_value {
            self.drain_queue(class, &mut queues[class]);
        }
        if let Some(group) = self.topology.group_mut(id) {
            group.queues = queues;
        }
    }

    fn drain_queue(&mut self, class: usize, queue: &mut VecDeque<RequestId>) {
        while queue.front().is_some_and(|id| !self.is_queued(*id)) {
            queue.pop_front();
        }
        let newest_first = self.has_backlog(class, queue);
        let mut blocked = 0;
        while blocked < MAX_BLOCKED {
            let index = if newest_first {
                queue.len().checked_sub(blocked + 1)
            } else {
                Some(blocked)
            };
            let Some((index, id)) = index.and_then(|index| Some((index, *queue.get(index)?)))
            else {
                break;
            };
            if !self.is_queued(id) || self.try_dispatch(id) {
                queue.remove(index);
            } else {
                self.poll_position(id);
                blocked += 1;
            }
        }
    }

    fn is_queued(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| request.queued)
    }

    /// Whether the oldest request of a queue has waited for a large part of the latency objective.
    fn has_backlog(&self, class: usize, queue: &VecDeque<RequestId>) -> bool {
        let oldest = queue.front().and_then(|id| self.requests.get(id));
        let waited = oldest.map_or(0, |request| self.now.saturating_sub(request.received_at));
        waited > self.settings.classes[class].latency_objective / BACKLOG_OBJECTIVE_DIVISOR
    }
}

//! Statistics of each group for health decisions, from the events and actions of the router.
//!
//! [`Observer`] receives each event before the router does and each action after the router has returned it. It changes
//! neither.

use crate::interface::*;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Length of a slot, microseconds; outcomes are counted over a window of [`SLOT_COUNT`] slots.
const SLOT_LENGTH: Micros = 100_000;
const SLOT_COUNT: usize = 10;
/// Minimum number of ended requests in the window for an overload share.
const MIN_SAMPLES: u32 = 10;
/// Half-life of the recent weights, microseconds; long enough that a short pause between requests hardly changes them.
const WEIGHT_HALF_LIFE_US: f64 = 10e6;

/// The counts of one group at the time of the report.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// The group that the counts are about.
    pub group: GroupId,
    /// Whether a primary is known.
    pub has_primary: bool,
    /// Since when a primary has been known, or since when none has, microseconds.
    pub primary_since: Micros,
    /// Members that can serve: reachable and not failed.
    pub usable: u32,
    /// Members that discovery lists as ready.
    pub members: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Requests that are queued because they have not been dispatched yet.
    pub queued: u32,
    /// Requests that ended within the last second.
    pub ended: u32,
    /// Requests among `ended` that were rejected, failed or late.
    pub overloaded: u32,
    /// The share of `recent_weight` that only the primary can serve, 0 to 1.
    pub primary_only_share: f64,
    /// The sum of the priority weights of recent requests, decaying with time; above 0.
    pub recent_weight: f64,
}

impl GroupReport {
    /// The share of ended requests that were rejected, failed or late; `None` if too few ended.
    pub fn overload_share(&self) -> Option<f64> {
        (self.ended >= MIN_SAMPLES).then(|| f64::from(self.overloaded) / f64::from(self.ended))
    }
}

/// The counts of all groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Whether discovery has sent a list; a cached snapshot, which may be stale, does not count.
    pub list_received: bool,
    /// The counts by group, in the order of group numbers.
    pub groups: Vec<GroupReport>,
}

#[derive(Clone, Copy)]
struct Member {
    group: GroupId,
    started: Micros,
    reachable: bool,
    failed: bool,
}

#[derive(Default)]
struct Group {
    primary: Option<MemberId>,
    primary_since: Micros,
    in_flight: u32,
    queued: u32,
    slots: [Slot; SLOT_COUNT],
    recent_weight: f64,
    recent_primary_weight: f64,
    decayed_at: Micros,
}

/// Requests that ended within one slot of time.
#[derive(Clone, Copy, Default)]
struct Slot {
    number: u64,
    ended: u32,
    overloaded: u32,
}

struct OpenRequest {
    group: GroupId,
    class: usize,
    arrived_at: Micros,
    in_flight: u32,
    dispatched: bool,
    /// The request has its final answer; it is kept only until its attempts in flight have ended.
    answered: bool,
}

/// How a request ended, and when if it is counted.
#[derive(Clone, Copy)]
enum RequestOutcome {
    Served(Micros),
    /// Rejected or failed.
    NotServed(Micros),
    /// The client disconnected, or has its final answer from an attempt that was not served; this is not counted
    /// because it does not indicate load.
    Uncounted,
}

/// Counts the outcomes of requests and tracks the state of members.
pub struct Observer {
    classes: Vec<(Class, ConsistencyLevel)>,
    probes: Permit,
    list_received: bool,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    open_requests: HashMap<RequestId, OpenRequest>,
}

impl Observer {
    /// Creates an observer; `settings` must be those of the router.
    pub fn new(settings: &Settings) -> Observer {
        let classes = settings
            .classes
            .iter()
            .cloned()
            .zip(settings.consistency_levels.iter().copied());
        Observer {
            classes: classes.collect(),
            probes: settings.probes,
            list_received: false,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            open_requests: HashMap::new(),
        }
    }

    /// Counts an event; to be called before the router handles it.
    pub fn observe_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::RequestArrived(arrival) => self.request_arrived(now, arrival),
            Event::AttemptEnded(ended) => self.attempt_ended(now, ended),
            Event::ClientGone(id) => self.request_ended(*id, RequestOutcome::Uncounted),
            Event::HealthChecked(member, outcome, _) => {
                self.health_checked(*member, *outcome == Outcome::Served)
            }
            Event::EndpointsUpdated(kind, entries) => self.endpoints_updated(now, *kind, entries),
            Event::StreamStarted(_) | Event::WatchLost(_) | Event::TimerFired => {}
        }
    }

    /// Counts an action that the router returned.
    pub fn observe_action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Dispatch { request: id, .. } => {
                if let Some(open) = self.open_requests.get_mut(id) {
                    open.in_flight += 1;
                    let first = !std::mem::replace(&mut open.dispatched, true);
                    let group = self.groups.entry(open.group).or_default();
                    group.in_flight += 1;
                    group.queued -= u32::from(first && group.queued > 0);
                }
            }
            Action::Reject { request: id, .. } | Action::Fail(id) => {
                self.request_ended(*id, RequestOutcome::NotServed(now))
            }
            Action::ReportTransition {
                member: id,
                transition,
            } => self.transition(now, *id, *transition),
            Action::CancelAttempt { .. }
            | Action::CheckHealth(_)
            | Action::Watch
            | Action::SetTimer(_) => {}
        }
    }

    fn endpoints_updated(&mut self, now: Micros, kind: UpdateKind, entries: &[Endpoint]) {
        self.list_received |= kind != UpdateKind::CachedSnapshot;
        if kind != UpdateKind::Delta {
            let listed: HashSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
            self.members.retain(|id, _| listed.contains(id));
        }
        for entry in entries {
            if entry.state != EndpointState::Ready {
                self.members.remove(&entry.member);
                continue;
            }
            let new_member = Member {
                group: entry.group,
                started: entry.started,
                // Without the permit for probes, a member's reachability is unknown until a first request, so it is
                // assumed.
                reachable: !self.probes.granted(),
                failed: false,
            };
            let member = self.members.entry(entry.member).or_insert(new_member);
            if member.started < entry.started {
                *member = new_member;
            }
            let group = self.groups.entry(entry.group).or_default();
            group.primary_since = if group.primary_since == 0 {
                now
            } else {
                group.primary_since
            };
        }
        let members = &self.members;
        self.groups
            .retain(|id, _| members.values().any(|member| member.group == *id));
    }

    fn health_checked(&mut self, id: MemberId, good: bool) {
        if let Some(member) = self.members.get_mut(&id).filter(|_| good) {
            (member.reachable, member.failed) = (true, false);
        }
    }

    fn transition(&mut self, now: Micros, id: MemberId, transition: MemberTransition) {
        let Some(member) = self.members.get_mut(&id) else {
            // A member that is no longer listed is no longer primary.
            for group in self
                .groups
                .values_mut()
                .filter(|group| group.primary == Some(id))
            {
                (group.primary, group.primary_since) = (None, now);
            }
            return;
        };
        member.failed |= transition == MemberTransition::Failed;
        let group = self.groups.entry(member.group).or_default();
        match transition {
            MemberTransition::Promoted => {
                let had_primary = group.primary.replace(id).is_some();
                group.primary_since = if had_primary {
                    group.primary_since
                } else {
                    now
                };
            }
            MemberTransition::Demoted if group.primary == Some(id) => {
                (group.primary, group.primary_since) = (None, now);
            }
            MemberTransition::Demoted | MemberTransition::Failed => {}
        }
    }

    fn request_arrived(&mut self, now: Micros, arrival: &Arrival) {
        let Some((class, consistency)) = self.classes.get(arrival.class.0) else {
            return;
        };
        // The client chooses the group's number, so a request for a group that is not listed must not leave any state
        // behind.
        let Some(group) = self.groups.get_mut(&arrival.group) else {
            return;
        };
        group.decay(now);
        group.recent_weight += class.priority_weight;
        group.recent_primary_weight += if consistency.needs_primary() {
            class.priority_weight
        } else {
            0.0
        };
        group.queued += 1;
        let open = OpenRequest {
            group: arrival.group,
            class: arrival.class.0,
            arrived_at: now,
            in_flight: 0,
            dispatched: false,
            answered: false,
        };
        self.open_requests.insert(arrival.request, open);
    }

    fn attempt_ended(&mut self, now: Micros, ended: &AttemptEnded) {
        let Some(open) = self.open_requests.get_mut(&ended.request) else {
            return;
        };
        open.in_flight = open.in_flight.saturating_sub(1);
        let served = ended.outcome == Outcome::Served;
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.in_flight = group.in_flight.saturating_sub(1);
        }
        if served || ended.answer == AnswerStatus::Finished {
            self.request_ended(
                ended.request,
                if served {
                    RequestOutcome::Served(now)
                } else {
                    RequestOutcome::Uncounted
                },
            );
        }
        self.remove_if_done(ended.request);
    }

    /// Counts a request that has its final answer or whose client no longer waits for one.
    fn request_ended(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(open) = self
            .open_requests
            .get_mut(&id)
            .filter(|open| !open.answered)
        else {
            return;
        };
        open.answered = true;
        let (class, consistency) = &self.classes[open.class];
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.queued -= u32::from(!open.dispatched && group.queued > 0);
            // A request that waited for a primary while none was known does not indicate load.
            let lacked_primary = group.primary.is_none() && consistency.needs_primary();
            match outcome {
                RequestOutcome::Served(now) => group.count(
                    now,
                    now.saturating_sub(open.arrived_at) > class.latency_objective,
                ),
                RequestOutcome::NotServed(now) if !lacked_primary => group.count(now, true),
                RequestOutcome::NotServed(_) | RequestOutcome::Uncounted => {}
            }
        }
        self.remove_if_done(id);
    }

    fn remove_if_done(&mut self, id: RequestId) {
        if self
            .open_requests
            .get(&id)
            .is_some_and(|open| open.answered && open.in_flight == 0)
        {
            self.open_requests.remove(&id);
        }
    }

    /// Whether a group has lost all its members: each has failed, or none is listed. A member that has not been checked
    /// yet does not count as failed.
    pub fn has_lost_all_members(&self, group: GroupId) -> bool {
        self.members
            .values()
            .filter(|member| member.group == group)
            .all(|member| member.failed)
    }

    /// Reports the current counts.
    pub fn report(&mut self, now: Micros) -> Report {
        let mut members: BTreeMap<GroupId, (u32, u32)> = BTreeMap::new();
        for member in self.members.values() {
            let (usable, all) = members.entry(member.group).or_default();
            *usable += u32::from(member.reachable && !member.failed);
            *all += 1;
        }
        // Each class counts as one request in addition, so that the shares are defined before the first request.
        let prior: f64 = self
            .classes
            .iter()
            .map(|(class, _)| class.priority_weight)
            .sum();
        let primary_only = self
            .classes
            .iter()
            .filter(|(_, consistency)| consistency.needs_primary());
        let prior_primary: f64 = primary_only.map(|(class, _)| class.priority_weight).sum();
        let groups = self.groups.iter_mut().map(|(id, group)| {
            group.decay(now);
            let (usable, all) = members.get(id).copied().unwrap_or_default();
            let (ended, overloaded) = group.outcomes(now);
            GroupReport {
                group: *id,
                has_primary: group.primary.is_some(),
                primary_since: group.primary_since,
                usable,
                members: all,
                in_flight: group.in_flight,
                queued: group.queued,
                ended,
                overloaded,
                primary_only_share: (group.recent_primary_weight + prior_primary)
                    / (group.recent_weight + prior).max(f64::MIN_POSITIVE),
                recent_weight: group.recent_weight + prior.max(f64::MIN_POSITIVE),
            }
        });
        Report {
            list_received: self.list_received,
            groups: groups.collect(),
        }
    }

    /// The number of requests that are tracked; for tests that check for leaks.
    pub fn open_requests(&self) -> usize {
        self.open_requests.len()
    }
}

impl Group {
    fn decay(&mut self, now: Micros) {
        let factor = 0.5_f64.powf(now.saturating_sub(self.decayed_at) as f64 / WEIGHT_HALF_LIFE_US);
        self.recent_weight *= factor;
        self.recent_primary_weight *= factor;
        self.decayed_at = now;
    }

    fn count(&mut self, now: Micros, overloaded: bool) {
        let number = now / SLOT_LENGTH;
        let slot = &mut self.slots[number as usize % SLOT_COUNT];
        if slot.number != number {
            *slot = Slot {
                number,
                ..Slot::default()
            };
        }
        slot.ended += 1;
        slot.overloaded += u32::from(overloaded);
    }

    /// The number of requests that ended within the window, and of those among them that were rejected, failed or late.
    fn outcomes(&self, now: Micros) -> (u32, u32) {
        let oldest = (now / SLOT_LENGTH).saturating_sub(SLOT_COUNT as u64 - 1);
        let recent = self.slots.iter().filter(|slot| slot.number >= oldest);
        recent.fold((0, 0), |(ended, overloaded), slot| {
            (ended + slot.ended, overloaded + slot.overloaded)
        })
    }
}

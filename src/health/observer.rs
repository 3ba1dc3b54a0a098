//! Statistics of each group for health, from the router's own events and actions.
//!
//! It observes only: it is given each event before the router and each action after it, and changes neither.

use crate::interface::*;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The window over which outcomes are counted, in slots.
const SLOT_LENGTH: Micros = 100_000;
const SLOT_COUNT: usize = 10;
/// Fewest ended requests in the window from which an overload share is computed.
const MIN_SAMPLES: u32 = 10;
/// Half-life of the recent weights, microseconds: long enough that a quiet moment does not change it.
const WEIGHT_HALF_LIFE_US: f64 = 10e6;

/// Counts of one group.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// The primary is known.
    pub primary: bool,
    /// Since when one is, or none is.
    pub primary_since: Micros,
    /// Members that serve: reachable and not failed; and all that are listed as ready.
    pub usable: u32,
    /// See `usable`.
    pub members: u32,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Requests that are queued: not dispatched yet.
    pub queued: u32,
    /// Requests that ended within the last second, and those of them that were rejected, failed or late.
    pub ended: u32,
    /// See `ended`.
    pub overloaded: u32,
    /// The share of the recent weight that only the primary can serve.
    pub needs_primary: f64,
    /// The priority weight of recent requests, decaying.
    pub recent_weight: f64,
}

impl GroupReport {
    /// The share of requests that were rejected, failed or late, where enough ended to tell.
    pub fn overload_share(&self) -> Option<f64> {
        (self.ended >= MIN_SAMPLES).then(|| f64::from(self.overloaded) / f64::from(self.ended))
    }
}

/// Counts of all groups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// A list of discovery has been received.
    pub list_received: bool,
    /// By group.
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
    /// It has its final answer; only attempts in flight keep it here.
    answered: bool,
}

/// How a request ended, and when.
#[derive(Clone, Copy)]
enum RequestOutcome {
    Served(Micros),
    /// Rejected or failed.
    NotServed(Micros),
    /// Its client has left; that tells nothing.
    Left,
}

/// Counts what happens to requests and members; see the module.
pub struct Observer {
    classes: Vec<(Class, ConsistencyLevel)>,
    probes: Permit,
    list_received: bool,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    open: HashMap<RequestId, OpenRequest>,
}

impl Observer {
    /// An observer with the settings that the router has.
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
            open: HashMap::new(),
        }
    }

    /// Counts an event, before the router gets it.
    pub fn event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::RequestArrived(arrival) => self.request_arrived(now, arrival),
            Event::AttemptEnded(ended) => self.attempt_ended(now, ended),
            Event::ClientGone(id) => self.request_ended(*id, RequestOutcome::Left),
            Event::HealthChecked(member, outcome, _) => {
                self.health_checked(*member, *outcome == Outcome::Served)
            }
            Event::EndpointsUpdated(kind, entries) => self.endpoints_updated(now, *kind, entries),
            Event::StreamStarted(_) | Event::WatchLost(_) | Event::TimerFired => {}
        }
    }

    /// Counts an action of the router.
    pub fn action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Dispatch { request: id, .. } => {
                if let Some(open) = self.open.get_mut(id) {
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
            let named: HashSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
            self.members.retain(|id, _| named.contains(id));
        }
        for entry in entries {
            if entry.state != EndpointState::Ready {
                self.members.remove(&entry.member);
                continue;
            }
            let fresh = Member {
                group: entry.group,
                started: entry.started,
                // Where probes are forbidden nothing is heard before a first request.
                reachable: !self.probes.granted(),
                failed: false,
            };
            let member = self.members.entry(entry.member).or_insert(fresh);
            if member.started < entry.started {
                *member = fresh;
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
            // A member that left the list is no longer primary.
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
                let had = group.primary.replace(id).is_some();
                group.primary_since = if had { group.primary_since } else { now };
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
        // A group that is not listed is a client's word only: nothing may be kept under it.
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
        self.open.insert(arrival.request, open);
    }

    fn attempt_ended(&mut self, now: Micros, ended: &AttemptEnded) {
        let Some(open) = self.open.get_mut(&ended.request) else {
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
                    RequestOutcome::Left
                },
            );
        }
        self.forget_if_done(ended.request);
    }

    /// A request has its final answer, or nobody waits for one.
    fn request_ended(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else {
            return;
        };
        open.answered = true;
        let (class, consistency) = &self.classes[open.class];
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.queued -= u32::from(!open.dispatched && group.queued > 0);
            // What waits for a primary that is not there tells nothing of load.
            let excused = group.primary.is_none() && consistency.needs_primary();
            match outcome {
                RequestOutcome::Served(now) => group.count(
                    now,
                    now.saturating_sub(open.arrived_at) > class.latency_objective,
                ),
                RequestOutcome::NotServed(now) if !excused => group.count(now, true),
                RequestOutcome::NotServed(_) | RequestOutcome::Left => {}
            }
        }
        self.forget_if_done(id);
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|open| open.answered && open.in_flight == 0)
        {
            self.open.remove(&id);
        }
    }

    /// Whether a group has lost all its members: each has failed, or none is listed. One that was not heard from yet is
    /// not lost.
    pub fn has_lost_all_members(&self, group: GroupId) -> bool {
        self.members
            .values()
            .filter(|member| member.group == group)
            .all(|member| member.failed)
    }

    /// The counts of now.
    pub fn report(&mut self, now: Micros) -> Report {
        let mut members: BTreeMap<GroupId, (u32, u32)> = BTreeMap::new();
        for member in self.members.values() {
            let (usable, all) = members.entry(member.group).or_default();
            *usable += u32::from(member.reachable && !member.failed);
            *all += 1;
        }
        // Before anything was asked for, each class counts for one request.
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
                primary: group.primary.is_some(),
                primary_since: group.primary_since,
                usable,
                members: all,
                in_flight: group.in_flight,
                queued: group.queued,
                ended,
                overloaded,
                needs_primary: (group.recent_primary_weight + prior_primary)
                    / (group.recent_weight + prior).max(f64::MIN_POSITIVE),
                recent_weight: group.recent_weight + prior.max(f64::MIN_POSITIVE),
            }
        });
        Report {
            list_received: self.list_received,
            groups: groups.collect(),
        }
    }

    /// Requests that are remembered; for tests of leaks.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }
}

impl Group {
    fn decay(&mut self, now: Micros) {
        let share = 0.5_f64.powf(now.saturating_sub(self.decayed_at) as f64 / WEIGHT_HALF_LIFE_US);
        self.recent_weight *= share;
        self.recent_primary_weight *= share;
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

    /// Requests that ended within the window, and those of them that were rejected, failed or late.
    fn outcomes(&self, now: Micros) -> (u32, u32) {
        let oldest = (now / SLOT_LENGTH).saturating_sub(SLOT_COUNT as u64 - 1);
        let recent = self.slots.iter().filter(|slot| slot.number >= oldest);
        recent.fold((0, 0), |(ended, overloaded), slot| {
            (ended + slot.ended, overloaded + slot.overloaded)
        })
    }
}

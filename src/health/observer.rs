//! Statistics of each group for health, from the router's own events and actions.
//!
//! It observes only: it is given each event before the router and each action after it, and changes neither.

use crate::interface::*;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The window over which fates are counted, in slots.
const SLOT: Micros = 100_000;
const SLOTS: usize = 10;
/// Fewest ended requests in the window from which an overload share is computed.
const MIN_SAMPLES: u32 = 10;
/// Half-life of the mix of classes, microseconds: long enough that a quiet moment does not change it.
const MIX_HALF_LIFE_US: f64 = 10e6;

/// What is seen of one group.
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
    /// Attempts that are out.
    pub in_flight: u32,
    /// Requests that are queued: not dispatched yet.
    pub held: u32,
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

/// What is seen of all groups.
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
    held: u32,
    /// By slot: its number, and the ended and strained requests of it.
    outcomes: [(u64, u32, u32); SLOTS],
    mix: f64,
    mix_primary: f64,
    mix_at: Micros,
}

struct Open {
    group: GroupId,
    class: usize,
    arrived: Micros,
    out: u32,
    sent: bool,
    /// It has its final answer; only attempts that are still out keep it here.
    over: bool,
}

/// How a request ended, and when.
#[derive(Clone, Copy)]
enum RequestOutcome {
    Served(Micros),
    /// Refused or failed.
    NotServed(Micros),
    /// Its client has left; that tells nothing.
    Left,
}

/// Looks on; see the module.
pub struct Observer {
    classes: Vec<(Class, ConsistencyLevel)>,
    probes: Permit,
    list_received: bool,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    open: HashMap<RequestId, Open>,
}

impl Observer {
    /// Looks on with the settings that the router has.
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

    /// Sees an event, before the router does.
    pub fn event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::RequestArrived(arrival) => self.arrives(now, arrival),
            Event::AttemptEnded(ended) => self.ended(now, ended),
            Event::ClientGone(id) => self.over(*id, RequestOutcome::Left),
            Event::HealthChecked(member, outcome, _) => {
                self.health_checked(*member, *outcome == Outcome::Served)
            }
            Event::EndpointsUpdated(kind, entries) => self.listed(now, *kind, entries),
            Event::StreamStarted(_) | Event::WatchLost(_) | Event::TimerFired => {}
        }
    }

    /// Sees an action of the router.
    pub fn action(&mut self, now: Micros, action: &Action) {
        match action {
            Action::Dispatch { request: id, .. } => {
                if let Some(open) = self.open.get_mut(id) {
                    open.out += 1;
                    let first = !std::mem::replace(&mut open.sent, true);
                    let group = self.groups.entry(open.group).or_default();
                    group.in_flight += 1;
                    group.held -= u32::from(first && group.held > 0);
                }
            }
            Action::Reject { request: id, .. } | Action::Fail(id) => {
                self.over(*id, RequestOutcome::NotServed(now))
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

    fn listed(&mut self, now: Micros, kind: UpdateKind, entries: &[Endpoint]) {
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
            // It left the list, and so leaves its mark, too.
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

    fn arrives(&mut self, now: Micros, arrival: &Arrival) {
        let Some((class, consistency)) = self.classes.get(arrival.class.0) else {
            return;
        };
        // A group that is not listed is a client's word only: nothing may be kept under it.
        let Some(group) = self.groups.get_mut(&arrival.group) else {
            return;
        };
        group.decay(now);
        group.mix += class.priority_weight;
        group.mix_primary += if matches!(
            consistency,
            ConsistencyLevel::Write | ConsistencyLevel::Strong
        ) {
            class.priority_weight
        } else {
            0.0
        };
        group.held += 1;
        let open = Open {
            group: arrival.group,
            class: arrival.class.0,
            arrived: now,
            out: 0,
            sent: false,
            over: false,
        };
        self.open.insert(arrival.request, open);
    }

    fn ended(&mut self, now: Micros, ended: &AttemptEnded) {
        let Some(open) = self.open.get_mut(&ended.request) else {
            return;
        };
        open.out = open.out.saturating_sub(1);
        let served = ended.outcome == Outcome::Served;
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.in_flight = group.in_flight.saturating_sub(1);
        }
        if served || ended.answer == AnswerStatus::Finished {
            self.over(
                ended.request,
                if served {
                    RequestOutcome::Served(now)
                } else {
                    RequestOutcome::Left
                },
            );
        }
        self.settle(ended.request);
    }

    /// A request has its final answer, or nobody waits for one.
    fn over(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.over) else {
            return;
        };
        open.over = true;
        let (class, consistency) = &self.classes[open.class];
        if let Some(group) = self.groups.get_mut(&open.group) {
            group.held -= u32::from(!open.sent && group.held > 0);
            // What waits for a primary that is not there tells nothing of load.
            let excused = group.primary.is_none()
                && matches!(
                    consistency,
                    ConsistencyLevel::Write | ConsistencyLevel::Strong
                );
            match outcome {
                RequestOutcome::Served(now) => group.count(
                    now,
                    now.saturating_sub(open.arrived) > class.latency_objective,
                ),
                RequestOutcome::NotServed(now) if !excused => group.count(now, true),
                RequestOutcome::NotServed(_) | RequestOutcome::Left => {}
            }
        }
        self.settle(id);
    }

    fn settle(&mut self, id: RequestId) {
        if self
            .open
            .get(&id)
            .is_some_and(|open| open.over && open.out == 0)
        {
            self.open.remove(&id);
        }
    }

    /// Whether a group has lost all its members: each has failed, or none is listed. One that was not heard from yet is
    /// not lost.
    pub fn lost(&self, group: GroupId) -> bool {
        self.members
            .values()
            .filter(|member| member.group == group)
            .all(|member| member.failed)
    }

    /// What is seen now.
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
        let writes = self.classes.iter().filter(|(_, consistency)| {
            matches!(
                consistency,
                ConsistencyLevel::Write | ConsistencyLevel::Strong
            )
        });
        let prior_primary: f64 = writes.map(|(class, _)| class.priority_weight).sum();
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
                held: group.held,
                ended,
                overloaded,
                needs_primary: (group.mix_primary + prior_primary)
                    / (group.mix + prior).max(f64::MIN_POSITIVE),
                recent_weight: group.mix + prior.max(f64::MIN_POSITIVE),
            }
        });
        Report {
            list_received: self.list_received,
            groups: groups.collect(),
        }
    }

    /// Requests that are kept in mind; for tests of leaks.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }
}

impl Group {
    fn decay(&mut self, now: Micros) {
        let share = 0.5_f64.powf(now.saturating_sub(self.mix_at) as f64 / MIX_HALF_LIFE_US);
        (self.mix, self.mix_primary, self.mix_at) =
            (self.mix * share, self.mix_primary * share, now);
    }

    fn count(&mut self, now: Micros, overloaded: bool) {
        let number = now / SLOT;
        let slot = &mut self.outcomes[number as usize % SLOTS];
        if slot.0 != number {
            *slot = (number, 0, 0);
        }
        slot.1 += 1;
        slot.2 += u32::from(overloaded);
    }

    fn outcomes(&self, now: Micros) -> (u32, u32) {
        let oldest = (now / SLOT).saturating_sub(SLOTS as u64 - 1);
        let recent = self.outcomes.iter().filter(|slot| slot.0 >= oldest);
        recent.fold((0, 0), |sum, slot| (sum.0 + slot.1, sum.1 + slot.2))
    }
}

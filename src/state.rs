//! What a router keeps in mind, without any decision: records, a running mean, an agenda, session commits.

use crate::fleet::{Carried, Credit, Flow, Limit};
use crate::interface::*;
use crate::roles::Doubt;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A running mean and mean deviation.
#[derive(Clone, Copy, Default)]
pub(crate) struct Pace {
    pub mean: f64,
    pub deviation: f64,
}

/// Mean deviations above the mean that make a tail latency; about one answer in thirty is slower. Ours.
const TAIL_DEVIATIONS: f64 = 3.0;

impl Pace {
    /// Before anything was measured, for what is wanted within a time.
    pub(crate) fn first_guess(latency_objective: Micros) -> Pace {
        Pace {
            mean: latency_objective as f64 / 4.0,
            deviation: latency_objective as f64 / 8.0,
        }
    }

    /// A latency that few answers exceed.
    pub(crate) fn tail(&self) -> f64 {
        self.mean + TAIL_DEVIATIONS * self.deviation
    }

    pub(crate) fn learn(&mut self, sample: Micros, weight: f64) {
        let error = sample as f64 - self.mean;
        self.mean += weight * error;
        self.deviation += weight * (error.abs() - self.deviation);
    }
}

/// What this front knows of a member.
#[derive(Default)]
pub(crate) struct Member {
    pub id: MemberId,
    pub group: GroupId,
    pub zone: ZoneId,
    /// The same at every front.
    pub tie_break_hash: u64,
    pub state: EndpointState,
    pub seen_draining: bool,
    /// When its process last started, as the list has it; 0 is long ago.
    pub started: Micros,
    pub listed_primary: bool,
    /// Bad results in a row.
    pub errors: u32,
    /// Requests timed out here with no answer since; a probe does not excuse that.
    pub mute: bool,
    /// It has answered something since it was listed or restarted.
    pub verified: bool,
    pub probe_out: bool,
    /// Probes in a row that brought no report.
    pub unheard: u32,
    pub probed_at: Micros,
    /// Which word that it is the primary is not believed.
    pub doubt: Doubt,
    pub trial_at: Micros,
    pub asked_at: Micros,
    /// Own attempts that are out.
    pub in_flight: u32,
    /// The last answer, or the first send after which there was none.
    pub quiet_since: Micros,
    /// All commits up to here are applied, as last told.
    pub position: Micros,
    pub heard_at: Micros,
    pub missed_until: Micros,
    /// It let a request time out here.
    pub shunned_until: Micros,
    pub pace: Pace,
    /// Own attempts in flight.
    pub limit: Limit,
    /// Sends saved up while cold.
    pub cold: Credit,
}

impl Member {
    pub(crate) fn new(entry: &Endpoint, now: Micros) -> Member {
        Member {
            id: entry.member,
            group: entry.group,
            zone: entry.zone,
            tie_break_hash: entry.tie_break_hash,
            started: entry.started,
            quiet_since: now,
            ..Member::default()
        }
    }
}

/// One primary and its replicas, and the requests that wait for them.
#[derive(Default)]
pub(crate) struct Group {
    pub members: Vec<MemberId>,
    pub active: Option<MemberId>,
    /// What its members carry for this front.
    pub carried: Carried,
    pub searched_at: Micros,
    /// Own attempts that are out.
    pub in_flight: u32,
    /// Of the standbys together, and of the active member.
    pub flows: [Flow; 2],
    /// By class.
    pub waiting: Vec<VecDeque<RequestId>>,
    pub serving: bool,
}

/// A request that is not done with yet.
pub(crate) struct Request {
    pub arrival: Arrival,
    pub consistency: ConsistencyLevel,
    pub idempotency: Idempotency,
    pub received: Micros,
    /// Drawn from 0 to 1: whether it is among a share of arrivals.
    pub luck: f64,
    /// The position a session read must see.
    pub token: Micros,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    pub waiting: bool,
    /// Attempts in a row that were never sent.
    pub unsent: u32,
    /// Not sent before this time.
    pub rests_until: Micros,
}

/// One send of a request.
pub(crate) struct Attempt {
    pub member: MemberId,
    pub sent: Micros,
    pub out: bool,
    pub may_have_run: bool,
}

impl Request {
    pub(crate) fn new(
        arrival: Arrival,
        consistency: ConsistencyLevel,
        idempotency: Idempotency,
        token: Micros,
        received: Micros,
        luck: f64,
    ) -> Request {
        Request {
            arrival,
            consistency,
            idempotency,
            received,
            luck,
            token,
            attempts: Vec::new(),
            answered: false,
            streaming: false,
            waiting: false,
            unsent: 0,
            rests_until: 0,
        }
    }

    /// Whether others than the primary may serve it.
    pub(crate) fn reads(&self) -> bool {
        !matches!(
            self.consistency,
            ConsistencyLevel::Write | ConsistencyLevel::Strong
        )
    }

    pub(crate) fn class(&self) -> usize {
        self.arrival.class.0
    }

    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    pub(crate) fn attempt_out(&self, number: usize) -> bool {
        self.attempts.get(number).is_some_and(|attempt| attempt.out)
    }

    pub(crate) fn tried(&self, member: MemberId) -> bool {
        self.attempts.iter().any(|a| a.member == member)
    }

    pub(crate) fn first_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    pub(crate) fn sent(&mut self, member: MemberId, sent: Micros) {
        self.attempts.push(Attempt {
            member,
            sent,
            out: true,
            may_have_run: true,
        });
    }
}

/// Something to look at later.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Task {
    GiveUp(RequestId),
    Serve(GroupId),
    Survey(MemberId),
    Beat,
    Renew,
}

/// Tasks by time, and the one timer that is out for them.
#[derive(Default)]
pub(crate) struct Agenda {
    tasks: BTreeSet<(Micros, Task)>,
    wake_at: Option<Micros>,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Micros, task: Task) {
        self.tasks.insert((at, task));
    }

    /// Takes the next task that is due.
    pub(crate) fn due(&mut self, now: Micros) -> Option<Task> {
        self.tasks.first().filter(|(at, _)| *at <= now)?;
        self.tasks.pop_first().map(|(_, task)| task)
    }

    /// How late the timer that is out has become.
    pub(crate) fn overdue(&self, now: Micros) -> Micros {
        self.wake_at.map_or(0, |wake| now.saturating_sub(wake))
    }

    /// The wait to ask a timer for, unless one that is early enough is out. A timer that was overtaken by an
    /// earlier one must not ask for another: they would pile up.
    pub(crate) fn next_wake(&mut self, now: Micros) -> Option<Micros> {
        let at = self.tasks.first().map(|(at, _)| *at)?;
        self.wake_at = self.wake_at.filter(|wake| *wake > now);
        if self.wake_at.is_some_and(|wake| wake <= at) {
            return None;
        }
        self.wake_at = Some(at);
        Some(at.saturating_sub(now))
    }
}

/// The last commit of each session, for so many sessions; the oldest forgotten one is the floor for the rest.
#[derive(Default)]
pub(crate) struct Commits {
    last: BTreeMap<SessionId, Micros>,
    order: VecDeque<(SessionId, Micros)>,
    floor: Micros,
}

impl Commits {
    pub(crate) fn of(&self, session: Option<SessionId>) -> Micros {
        let last = session.and_then(|session| self.last.get(&session));
        last.copied().unwrap_or(self.floor)
    }

    pub(crate) fn remember(&mut self, session: SessionId, commit: Micros, room: usize) {
        let last = self.last.entry(session).or_insert(0);
        *last = commit.max(*last);
        self.order.push_back((session, commit));
        if self.order.len() <= room {
            return;
        }
        if let Some((oldest, commit)) = self.order.pop_front() {
            if self.last.get(&oldest).is_some_and(|last| *last <= commit) {
                self.last.remove(&oldest);
                self.floor = self.floor.max(commit);
            }
        }
    }
}

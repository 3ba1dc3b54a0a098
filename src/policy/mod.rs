//! The decisions of asterreel. The types it uses, takes in and gives back are in `src/interface.rs`.
//!
//! The mechanism, kept per group by each front on its own:
//! 1. A bad result adds one to a member's error counter, a good one sets it to 0; at the fail point it fails.
//! 2. The member whose latest answer or probe says primary is marked active; a replica's answer or write miss
//!    unmarks it at once, the fail point too. A read miss only marks a replica behind.
//! 3. Writes and fresh reads go to the active member. With none, they wait here, and harmless sends seek it.
//! 4. Any-reads go to OK standbys, bounded reads to those known within the bound, session reads to those past
//!    the session's token; where there is none, to the active member.
//! 5. Among eligible standbys the less busy of two random ones is picked, by own requests in flight.
//! 6. Members are probed before a first send and about once a second, where allowed. A front of a
//!    large fleet asks when a bounded read needs a position, and looks after failed members only.
//! 7. What finds no room waits by class, most worth for its work first, and is given up when too late. A
//!    front that holds few attempts takes a share of reads, learned from late answers, and refuses the rest.
//! 8. A member that owes answers and gives none is silent: it gets trial reads only, until it answers.
//! 9. Cold members get sends from a credit, long work for more of it; a new active member's limit starts low
//!    and grows with answers.
//! 10. A further attempt goes out only within what the outcomes prove, and from a budget.

use crate::calls::Calls;
use crate::interface::*;
use estimates::{update_mean, ClassEstimates, LatencyEstimate};
use fleet::Fleet;
use limits::HIGH_PRESSURE;
use load_shedding::{AnswerConditions, LOADED_PRESSURE};
use role_arbitration::RoleSource;
use sessions::SessionCommits;
use slow_start::TokenBucket;
use state::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use timers::{Timer, TimerQueue};

mod estimates;
pub mod fleet;
mod limits;
mod load_shedding;
mod role_arbitration;
mod sessions;
pub mod slow_start;
mod state;
mod timers;

/// Bad results in a row that fail a member. The paper's default.
const FAIL_POINT: u32 = 4;
/// Time between probes, or trial reads, of a member, microseconds. DESIGN's 'about once a second'.
const PROBE_EVERY: Micros = 1_000_000;
/// Lag above which any-reads gather on a standby, microseconds: many times what shipping takes. Ours.
const LAG_APART: Micros = 100_000;
/// Times the work of the lightest class from which a read is long, and the share of long reads that left
/// their standby far behind from which they are taken to hold up applying. Ours.
const LONG_WORK: f64 = 2.0;
const HELD_UP: f64 = 0.5;
/// How long a lag once heard is taken to hold, microseconds: two probes, so that one may be lost. Ours.
const LAG_HOLDS: Micros = 2 * PROBE_EVERY;
/// How often what waits is looked at again and a primary sought, microseconds: misses cost little. Ours.
const SERVE_EVERY: Micros = 20_000;
/// Attempts in a row that were never sent after which a request rests before the next: this machine may be out of
/// descriptors, ports or routes for a moment, in which all attempts would be spent. Ours.
const UNSENT_RESTS: u32 = 2;
/// How often such a rest doubles at most. Ours.
const UNSENT_DOUBLES: u32 = 4;
/// A member owing answers is silent after this many of its usual tail latencies. Ours.
const SILENT_TAILS: f64 = 1.5;
/// Further attempts earned by each arrival; the most that may be saved up. Ours: a tenth can't feed a storm.
const RETRY_EARNED: f64 = 0.1;
const RETRY_SAVED: f64 = 20.0;
/// Most attempts in flight that a new active member starts with, so that held writes do not flood it. Ours.
const RAMP_START: f64 = 4.0;
/// Share of errors among all answers from which they are no longer taken for their member's own. Ours.
const ERRORS_APART: f64 = 0.3;
/// Own attempts a member, of a large fleet, below which the share acts; above, limits in flight do. Ours.
const THIN_MOST: f64 = 2.0;
/// How long a bounded read waits for word from a standby, and after which silence the next one is asked,
/// microseconds: a connection and a round trip, twice, and little beside a wanted time. Ours.
const ASK_PATIENCE: Micros = 60_000;
const ASK_AGAIN: Micros = 25_000;
/// How long a front of a large fleet sends no reads to a standby that let one time out, microseconds: it
/// has so few answers that the next would tell too late. Ours.
const SHUN: Micros = 3_000_000;
/// Late worth below which a read is not worth room once its wanted time can't be met. Ours.
const WORTH_LATE: f64 = 0.5;
/// Time that a write into a socket may take, microseconds: a bound counts from a send's last byte. Ours.
const WRITE_TAKES: Micros = 2_000;
/// Share of the active member's limit open to reads spilled on it. Ours.
const SPILL_SHARE: f64 = 0.5;
/// What reads of a large fleet spill on it at most: what so many members of its group get on the mean. Ours.
const SPILL_MEMBERS: f64 = 2.0;
/// The same for reads sent there without asking a standby first. Ours.
const UNASKED_MEMBERS: f64 = 1.5;
/// While requests are open a timer comes at least this often; one later by the second was held up here. Ours.
const BEAT: Micros = 100_000;
const STALL: Micros = 150_000;
/// What part of its wanted time the oldest of a class waits before the newest go first. Ours.
const JAMMED: Micros = 2;

/// The decisions of one front.
pub struct Router {
    settings: Settings,
    fleet: Fleet,
    rng: fastrand::Rng,
    now: Micros,
    out: Vec<Action>,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Request>,
    classes: ClassEstimates,
    commits: SessionCommits,
    agenda: TimerQueue,
    retries: f64,
    calls: Calls,
    error_share: f64,
    /// By class, the share of its reads after which their standby was far behind.
    held_up: Vec<f64>,
    stalled_at: Micros,
    beating: bool,
}

impl Router {
    /// A router that knows nothing yet; settings that contradict themselves are an error.
    ///
    /// # Errors
    ///
    /// [`SettingsError`], where the settings contradict themselves.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Router, SettingsError> {
        let count = settings.classes.len();
        let bad = |fault: &str| Err(SettingsError(fault.into()));
        let none = settings.fleet_size == 0 || settings.max_attempts == 0;
        if none
            || settings.consistency_levels.len() != count
            || settings.staleness_bounds.len() != count
        {
            return bad("no fronts, no attempts, or class arrays of unequal length");
        }
        let shares = settings.slow_start_initial_share + settings.overload_multiple;
        if !shares.is_finite()
            || settings
                .slow_start_initial_share
                .min(settings.overload_multiple)
                < 0.0
        {
            return bad("a share below zero");
        }
        Ok(Router {
            fleet: Fleet::new(settings.fleet_size),
            rng: fastrand::Rng::with_seed(seed),
            now,
            out: Vec::new(),
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            classes: ClassEstimates::new(&settings.classes),
            commits: SessionCommits::default(),
            agenda: TimerQueue::default(),
            retries: RETRY_SAVED,
            calls: Calls::new(&settings),
            error_share: 0.0,
            held_up: vec![1.0; count],
            stalled_at: 0,
            beating: false,
            settings,
        })
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.agenda.lateness(self.now) > STALL {
            // This front stood still: what comes at this moment tells nothing of a member's speed or silence.
            // Harm: a member that failed just then is found out by the next attempt.
            self.stalled_at = self.now;
            self.members
                .values_mut()
                .for_each(|member| member.quiet_since = now);
        }
        match event {
            Event::RequestArrived(arrival) => self.arrive(arrival),
            Event::AttemptEnded(ended) => self.ended(ended),
            Event::StreamStarted(id) => {
                self.requests
                    .entry(id)
                    .and_modify(|request| request.streaming = true);
            }
            Event::ClientGone(id) => self.conclude(id),
            Event::HealthChecked(id, outcome, report) => self.probed(id, outcome, report),
            Event::EndpointsUpdated(kind, entries) => self.listed(kind, &entries),
            Event::WatchLost(loss) => {
                let wait = self.calls.again(loss, &mut self.rng);
                self.later(wait, Timer::CallDiscovery);
            }
            Event::TimerFired => {}
        }
        self.run_agenda();
        actions.append(&mut self.out);
    }

    fn members_of<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Member> + Clone {
        group.members.iter().filter_map(|id| self.members.get(id))
    }

    fn later(&mut self, after: Micros, task: Timer) {
        let at = self.now.saturating_add(after.max(1));
        self.agenda.insert(at, task);
    }

    fn run_agenda(&mut self) {
        while let Some(task) = self.agenda.pop_due(self.now) {
            match task {
                Timer::ExpireRequest(id) if self.requests.get(&id).is_some_and(|r| r.waiting) => {
                    self.give_up(id)
                }
                Timer::ExpireRequest(_) => {}
                Timer::DrainQueues(id) => self.look_again(id),
                Timer::CheckHealth(id) => self.survey(id),
                Timer::Watchdog => self.beating = false,
                Timer::CallDiscovery => self.out.push(Action::Watch),
            }
        }
        if !self.beating && !self.requests.is_empty() {
            self.beating = true;
            self.later(BEAT, Timer::Watchdog);
        }
        self.out
            .extend(self.agenda.next_wake_up(self.now).map(Action::SetTimer));
    }

    fn listed(&mut self, kind: UpdateKind, entries: &[Endpoint]) {
        if kind == UpdateKind::CachedSnapshot && self.settings.discovery == DiscoveryMode::Watch {
            match self.calls.begin(&mut self.rng) {
                0 => self.out.push(Action::Watch),
                wait => self.later(wait, Timer::CallDiscovery),
            }
        } else {
            self.calls.answered();
        }
        if kind != UpdateKind::Delta {
            let named: BTreeSet<MemberId> = entries.iter().map(|entry| entry.member).collect();
            let known: Vec<MemberId> = self.members.keys().copied().collect();
            for id in known.into_iter().filter(|id| !named.contains(id)) {
                self.leaving(id, EndpointState::Removed);
            }
        }
        for entry in entries {
            match entry.state {
                EndpointState::Ready => self.enter(entry),
                state => self.leaving(entry.member, state),
            }
        }
    }

    fn enter(&mut self, entry: &Endpoint) {
        let (id, now) = (entry.member, self.now);
        let is_new = !self.members.contains_key(&id);
        if is_new {
            let latency_objectives = self
                .settings
                .classes
                .iter()
                .map(|class| class.latency_objective);
            let mut member = Member::new(entry, now);
            member.pace =
                LatencyEstimate::from_objective(latency_objectives.max().unwrap_or(PROBE_EVERY));
            self.members.insert(id, member);
            let group = self.groups.entry(entry.group).or_default();
            group.waiting.resize(self.classes.count(), VecDeque::new());
            group.members.push(id);
            let first = self.rng.u64(0..self.fleet.scale_interval(PROBE_EVERY));
            self.later(first, Timer::CheckHealth(id));
        }
        let (chance, proven) = (self.rng.f64(), !self.settings.probes.granted());
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.state = EndpointState::Ready;
        member.seen_draining = false;
        if is_new || member.started < entry.started {
            // A process that has started anew is cold, excused, and holds no role we knew of.
            member.started = entry.started;
            member.cold = TokenBucket::new(chance, now);
            (member.errors, member.mute) = (0, false);
            member.verified = proven;
            self.unmark(id);
            // All fronts hear of a member at once; those of a large fleet ask when they need to know.
            if !self.fleet.is_large() {
                self.probe(id);
            }
        }
        let listed = entry.role == Role::Primary;
        self.members
            .entry(id)
            .and_modify(|member| member.listed_primary = listed);
    }

    fn leaving(&mut self, id: MemberId, state: EndpointState) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.state = state;
        member.seen_draining |= state == EndpointState::Draining;
        if !member.drain_binds(&self.settings) {
            return;
        }
        self.unmark(id);
        self.forget_gone(id);
    }

    /// Forgets a member that is gone and owes nothing.
    fn forget_gone(&mut self, id: MemberId) {
        let Some(member) = self.members.get(&id) else {
            return;
        };
        let over = member.state == EndpointState::Removed && member.in_flight == 0;
        if over && member.drain_binds(&self.settings) {
            let group = self.groups.entry(member.group);
            group.and_modify(|group| group.members.retain(|other| *other != id));
            self.members.remove(&id);
        }
    }

    /// Whether a member that was listed is not forgotten yet.
    pub fn knows(&self, id: MemberId) -> bool {
        self.members.contains_key(&id)
    }

    fn probe(&mut self, id: MemberId) {
        let may = self.settings.probes.granted();
        let member = self.members.get_mut(&id).filter(|m| may && !m.probe_out);
        let Some(member) = member.filter(|m| !m.drain_binds(&self.settings)) else {
            return;
        };
        member.probe_out = true;
        member.probed_at = self.now;
        self.out.push(Action::CheckHealth(id));
    }

    /// About once a second: a probe.
    fn survey(&mut self, id: MemberId) {
        let every = self.fleet.scale_interval(PROBE_EVERY);
        let Some(member) = self.members.get(&id) else {
            return;
        };
        // Of a large fleet each front is told enough by answers and by asking when it needs to know.
        if !self.fleet.is_large() || member.failed() {
            self.probe(id);
        }
        let jitter = self.rng.u64(0..every / 5);
        self.later(every - every / 10 + jitter, Timer::CheckHealth(id));
    }

    fn probed(&mut self, id: MemberId, outcome: Outcome, report: MemberReport) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.probe_out = false;
        member.unheard = if outcome == Outcome::Served {
            0
        } else {
            member.unheard + 1
        };
        let (group, asked) = (member.group, member.probed_at);
        if outcome == Outcome::Served {
            member.verified = true;
            // A shallow probe shows that the process runs; it does not excuse unanswered requests.
            if !member.mute {
                member.errors = 0;
            }
            self.hear(id, report, asked, RoleSource::LoadReport);
        } else if outcome != Outcome::Rejected && self.stalled_at != self.now {
            // A probe turned away for too many others says only that the process runs.
            self.count_error(id);
        }
        self.serve(group);
    }

    fn count_error(&mut self, id: MemberId) {
        let trial_at = self
            .now
            .saturating_add(self.fleet.scale_interval(PROBE_EVERY));
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.trial_at = trial_at;
        member.errors = member.errors.saturating_add(1);
        if member.errors == FAIL_POINT {
            self.out.push(Action::ReportTransition {
                member: id,
                transition: MemberTransition::Failed,
            });
            self.unmark(id);
        }
    }

    /// What an attempt's outcome says of the member's health and room.
    fn judge(&mut self, id: MemberId, class: usize, ended: &AttemptEnded) {
        let now = self.now;
        let ratio =
            ended.latency as f64 / self.settings.classes[class].latency_objective.max(1) as f64;
        let told = self.stalled_at != now;
        self.learn_share(id, ended.outcome, ratio);
        let error = f64::from(u8::from(ended.outcome == Outcome::Error));
        update_mean(&mut self.error_share, error);
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        member.in_flight = member.in_flight.saturating_sub(1);
        // A wait that ended while the member answered others speaks of load, not of health.
        let unheard = now.saturating_sub(ended.latency) >= member.quiet_since;
        match ended.outcome {
            Outcome::Served | Outcome::Misrouted => {
                (member.errors, member.mute, member.verified) = (0, false, true);
                member.quiet_since = now;
                if ended.outcome == Outcome::Served && told {
                    member.pace.record(ended.latency);
                    member.limit.record(ratio, member.in_flight, now);
                    self.classes.record(class, ended.latency);
                    let (group, work) = (member.group, self.classes.relative_work(class));
                    self.groups
                        .entry(group)
                        .and_modify(|g| g.carried.record(now, work));
                }
            }
            Outcome::Rejected | Outcome::Error => {
                member.quiet_since = now;
                // Errors that come from everywhere are no member's own: to fail them would end all service.
                if ended.outcome == Outcome::Rejected || self.error_share < ERRORS_APART {
                    self.count_error(id);
                }
            }
            Outcome::TimedOut | Outcome::Cancelled if told => {
                // A time-out means too late, however long it was.
                let late = ended.outcome == Outcome::TimedOut;
                if late && self.fleet.is_large() {
                    member.shunned_until = now.saturating_add(SHUN);
                }
                member.limit.record(
                    if late { ratio.max(1.0) } else { ratio },
                    member.in_flight,
                    now,
                );
                let long = ended.latency as f64 >= member.pace.tail();
                if unheard && long {
                    // Nothing heard for so long weighs as much as two quick errors.
                    member.mute = true;
                    member.errors = member.errors.saturating_add(1).min(FAIL_POINT - 1);
                    self.count_error(id);
                } else {
                    // Answers alone would teach only the latencies of the lucky.
                    member.pace.record(ended.latency);
                    self.classes.record(class, ended.latency);
                }
            }
            // It answered, and what it turned away says nothing of it: a client may send such by the hundred.
            Outcome::InvalidRequest => member.quiet_since = now,
            Outcome::ConnectFailed | Outcome::Reset => self.count_error(id),
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// What share of arriving reads this side of the group takes, learned from all its answers: few reach a
    /// thin front from each member. Covers overload and lost capacity. Harm: lost members look late.
    fn learn_share(&mut self, id: MemberId, outcome: Outcome, ratio: f64) {
        let group = self.members.get(&id).map(|member| member.group);
        let thin = group
            .and_then(|id| self.groups.get(&id))
            .is_some_and(|group| self.thin(group));
        let Some(group) = group.and_then(|id| self.groups.get_mut(&id)) else {
            return;
        };
        group.in_flight = group.in_flight.saturating_sub(1);
        let flow = &mut group.flows[usize::from(group.active == Some(id))];
        let conditions = AnswerConditions {
            is_timing_valid: self.stalled_at != self.now,
            has_low_traffic: thin,
        };
        flow.record(outcome, ratio, conditions);
    }

    /// This front holds so few attempts a member that limits in flight cannot act.
    fn thin(&self, group: &Group) -> bool {
        let below = self.fleet.oversize().min(THIN_MOST) * group.members.len() as f64;
        f64::from(group.in_flight) < below
    }

    /// Whether a read is among the share that is taken, the least worth for its work left out first.
    fn welcome(&self, request: &Request, at_active: bool) -> bool {
        let Some(group) = self.groups.get(&request.arrival.group) else {
            return true;
        };
        let share = group.flows[usize::from(at_active)].fraction;
        let relative =
            || self.best_read() / self.classes.value(request.class()).max(f64::MIN_POSITIVE);
        let all =
            request.consistency == ConsistencyLevel::Write || share >= 1.0 || !self.thin(group);
        all || request.luck < share.powf(relative())
    }

    /// The most worth for its work of any class of reads.
    fn best_read(&self) -> f64 {
        let reads = self
            .settings
            .consistency_levels
            .iter()
            .enumerate()
            .filter(|(_, consistency)| **consistency != ConsistencyLevel::Write);
        reads
            .map(|(class, _)| self.classes.value(class))
            .fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Takes in a role and a position, as answered to what was asked then. The latest word on the role
    /// decides the mark, but for one that may be older: a primary that has turned a write away says so until
    /// it has handed over, and each time held writes would spend attempts there; a report may have been made
    /// before an answer showed a replica, and bounded reads would go there. Harm: its own mark comes later.
    fn hear(&mut self, id: MemberId, report: MemberReport, asked: Micros, source: RoleSource) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if let Some(position) = report.position.filter(|at| *at >= member.position) {
            member.position = position;
            member.heard_at = now;
            member.missed_until = 0;
        }
        match member.doubt.observe(report.role, asked, source, now) {
            Some(Role::Primary) => self.mark(id),
            Some(Role::Replica) => self.unmark(id),
            None => {}
        }
    }

    fn mark(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let group = self.groups.get_mut(&member.group);
        let group = group.filter(|_| !member.drain_binds(&self.settings));
        if let Some(group) = group.filter(|group| group.active != Some(id)) {
            group.active = Some(id);
            member.limit.lower_to(RAMP_START);
            self.out.push(Action::ReportTransition {
                member: id,
                transition: MemberTransition::Promoted,
            });
        }
    }

    fn unmark(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        (member.listed_primary, member.asked_at) = (false, self.now);
        if let Some(group) = self
            .groups
            .get_mut(&member.group)
            .filter(|group| group.active == Some(id))
        {
            group.active = None;
            self.out.push(Action::ReportTransition {
                member: id,
                transition: MemberTransition::Demoted,
            });
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let (id, class) = (arrival.request, arrival.class.0);
        let group = self.groups.get(&arrival.group);
        let group = group.filter(|group| !group.members.is_empty());
        let known = class < self.settings.classes.len() && !self.requests.contains_key(&id);
        let (Some(group), true) = (group, known) else {
            self.out.push(Action::Reject {
                request: id,
                retry_after: None,
            });
            return;
        };
        let in_turn = group.waiting[class].is_empty();
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        let consistency = self.settings.consistency_levels[class];
        let idempotency = self.settings.classes[class].idempotency;
        let token = self.token(&arrival);
        let luck = self.rng.f64();
        let request = Request::new(arrival, consistency, idempotency, token, self.now, luck);
        let welcome = self.welcome(&request, consistency == ConsistencyLevel::Strong);
        self.requests.insert(id, request);
        match (in_turn || !welcome) && self.place(id) {
            true => {}
            false if welcome => self.wait(id),
            false => self.give_up(id),
        }
    }

    /// The position that a session read must see.
    fn token(&self, arrival: &Arrival) -> Micros {
        match (self.settings.session_tokens, arrival.since_write) {
            (SessionTokens::Carried, Some(ago)) => self.now.saturating_sub(ago),
            (SessionTokens::Carried, None) => 0,
            (SessionTokens::Remembered, _) => self.commits.required_position(arrival.session),
        }
    }

    /// Until when an answer earns its full worth.
    fn objective_deadline(&self, request: &Request) -> Micros {
        let class = &self.settings.classes[request.class()];
        let stretch = request.arrival.estimate.unwrap_or(0) as f64 * class.objective_work_factor;
        let latency_objective = class.latency_objective.saturating_add(stretch as Micros);
        request
            .received
            .saturating_add(latency_objective)
            .min(request.arrival.due)
    }

    /// Until when an attempt that is out is waited for: as long as a late answer earns anything.
    fn useful_until(&self, request: &Request) -> Micros {
        let late = self.settings.classes[request.class()].late_weight > 0.0;
        if late {
            request.arrival.due
        } else {
            self.objective_deadline(request)
        }
    }

    /// The latest a send may go out and still earn enough for the room it takes.
    fn latest_dispatch(&self, request: &Request) -> Micros {
        let late = self.settings.classes[request.class()].late_weight;
        let lasting = request.consistency == ConsistencyLevel::Write || late >= WORTH_LATE;
        let (priority_weight, latency_objective) =
            (self.useful_until(request), self.objective_deadline(request));
        let usual = (self.classes.mean_latency(request.class()) / 2.0) as Micros;
        let usual = usual.max(2 * self.settings.batch_period);
        let end = if lasting {
            priority_weight
        } else {
            latency_objective
        };
        // A read that was never tried and is refused in its second half has cost its client that time.
        let half = request
            .received
            .saturating_add(request.arrival.due.saturating_sub(request.received) / 2);
        let end = if !lasting && request.attempts.is_empty() {
            end.min(half + usual)
        } else {
            end
        };
        end.saturating_sub(usual)
    }

    /// The final answer of a request not served: a refusal where nothing forbids a retry.
    fn give_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.answered || request.streaming {
            return;
        }
        let repeatable = matches!(
            request.idempotency,
            Idempotency::Idempotent
                | Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        let harmless = repeatable || request.first_may_have_run().is_none();
        let refusal = Action::Reject {
            request: id,
            retry_after: self.retry_after(request),
        };
        self.out
            .push(if harmless { refusal } else { Action::Fail(id) });
        self.conclude(id);
    }

    fn retry_after(&self, request: &Request) -> Option<Micros> {
        let group = self.groups.get(&request.arrival.group)?;
        let usual = self.classes.mean_latency(request.class()) as Micros;
        let most = self.settings.max_retry_after;
        let wait = if group.active.is_some() {
            usual.min(most)
        } else {
            most / 2
        };
        self.settings.retry_after.granted().then_some(wait)
    }

    /// Nothing is owed any more: what is still out is called off.
    fn conclude(&mut self, id: RequestId) {
        let cancels = self.settings.cancel.granted();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.answered = true;
        request.waiting = false;
        let all = (0..request.attempts.len()).filter(|_| cancels && !request.streaming);
        let out = all.filter(|number| request.attempt_out(*number));
        self.out.extend(out.map(|number| Action::CancelAttempt {
            request: id,
            attempt: AttemptNo(number as u32),
        }));
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.answered && !request.is_out())
        {
            self.requests.remove(&id);
        }
    }

    fn ended(&mut self, ended: AttemptEnded) {
        let number = ended.attempt.0 as usize;
        let request = self.requests.get_mut(&ended.request);
        let Some(request) = request.filter(|request| request.attempt_out(number)) else {
            return;
        };
        let attempt = &mut request.attempts[number];
        attempt.out = false;
        attempt.may_have_run = !ended.outcome.proves_no_effect();
        let (member, sent) = (attempt.member, attempt.sent);
        request.unsent = if ended.outcome == Outcome::NotSent {
            request.unsent + 1
        } else {
            0
        };
        if let Some(rests) = request.unsent.checked_sub(UNSENT_RESTS) {
            request.rests_until = self
                .now
                .saturating_add(SERVE_EVERY << rests.min(UNSENT_DOUBLES));
        }
        let (class, consistency, group) =
            (request.class(), request.consistency, request.arrival.group);
        let session = request.arrival.session;
        self.hear(member, ended.load_report, sent, RoleSource::LoadReport);
        self.judge(member, class, &ended);
        let served = ended.outcome == Outcome::Served;
        self.hear(
            member,
            ended.answer_report,
            sent,
            RoleSource::of_answer(consistency, ended.outcome),
        );
        let standby = self
            .groups
            .get(&group)
            .is_some_and(|group| group.active != Some(member));
        if let Some(member) = self
            .members
            .get(&member)
            .filter(|_| standby && served && consistency == ConsistencyLevel::Eventual)
        {
            let far = member.lag() >= LAG_APART.max(ended.latency / 2);
            update_mean(&mut self.held_up[class], f64::from(u8::from(far)));
        }
        let until = self.now.saturating_add(PROBE_EVERY);
        if ended.outcome == Outcome::Misrouted && consistency != ConsistencyLevel::Write {
            self.members
                .entry(member)
                .and_modify(|member| member.missed_until = until);
        }
        let id = ended.request;
        // Where nobody asks for them, commits are not kept: a long day has a new session a moment.
        let asked = self
            .settings
            .consistency_levels
            .contains(&ConsistencyLevel::Session);
        let session = session.filter(|_| asked && served && consistency == ConsistencyLevel::Write);
        if let (Some(session), Some(commit)) = (session, ended.answer_report.position) {
            self.commits.record(session, commit);
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if served || ended.answer == AnswerStatus::Finished {
            self.conclude(id);
        } else if request.answered {
            self.forget(id);
        } else if !request.is_out() {
            self.try_again(id, &ended);
        }
        self.serve(group);
        self.forget_gone(member);
    }

    /// A further attempt, within limit, time and what outcomes prove; budgeted unless the last was cheap.
    fn try_again(&mut self, id: RequestId, ended: &AttemptEnded) {
        let request = &self.requests[&id];
        let usual = self.classes.mean_latency(request.class());
        let left =
            request.attempts.len() < self.settings.max_attempts as usize && !request.streaming;
        let allowed = request.idempotency != Idempotency::NonIdempotent
            || request.first_may_have_run().is_none();
        let can = left && allowed && self.now < self.latest_dispatch(request);
        let quick = ended.outcome == Outcome::Error && (ended.latency as f64) < usual / 4.0;
        let price = if quick || ended.outcome.proves_no_effect() {
            0.0
        } else {
            1.0
        };
        if ended.outcome == Outcome::InvalidRequest {
            self.out.push(Action::Fail(id));
            return self.conclude(id);
        }
        if !can || self.retries < price {
            return self.give_up(id);
        }
        self.retries -= price;
        if !self.place(id) {
            self.wait(id);
        }
    }

    fn wait(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let left = self.latest_dispatch(request).saturating_sub(self.now);
        let (group, class) = (request.arrival.group, request.class());
        self.requests
            .entry(id)
            .and_modify(|request| request.waiting = true);
        self.groups
            .entry(group)
            .and_modify(|group| group.waiting[class].push_back(id));
        self.later(left, Timer::ExpireRequest(id));
        self.search(group);
        self.ask(id);
        self.serve_later(group);
    }

    fn ask(&mut self, id: RequestId) {
        let asked = self
            .requests
            .get(&id)
            .and_then(|request| self.asks(request));
        if let Some(member) = asked {
            self.probe(member);
        }
    }

    fn serve_later(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        if !group.serving && group.waiting.iter().any(|queue| !queue.is_empty()) {
            group.serving = true;
            self.later(SERVE_EVERY, Timer::DrainQueues(id));
        }
    }

    fn look_again(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        group.serving = false;
        self.search(id);
        self.serve(id);
        self.serve_later(id);
    }

    /// Places what waits, most worth for its work first; stops at a class's first few that find no room.
    /// Oldest first in a jam, each would go out with too little time left: there the newest go first.
    fn serve(&mut self, id: GroupId) {
        let Some(group) = self.groups.get_mut(&id) else {
            return;
        };
        let mut waiting = std::mem::take(&mut group.waiting);
        let classes = (0..waiting.len()).filter(|class| !waiting[*class].is_empty());
        let mut order: Vec<usize> = classes.collect();
        order.sort_by(|a, b| self.classes.value(*b).total_cmp(&self.classes.value(*a)));
        for class in order {
            let (queue, mut blocked) = (&mut waiting[class], 0);
            let waits = |id: &RequestId| self.requests.get(id).filter(|r| r.waiting);
            while queue.front().is_some_and(|id| waits(id).is_none()) {
                queue.pop_front();
            }
            let latency_objective = self.settings.classes[class].latency_objective;
            let oldest = queue
                .front()
                .and_then(waits)
                .map_or(self.now, |request| request.received);
            let jammed = self.now.saturating_sub(oldest) > latency_objective / JAMMED;
            while blocked < 3 {
                let at = if jammed {
                    queue.len().checked_sub(blocked + 1)
                } else {
                    Some(blocked)
                };
                let Some((at, request)) = at.and_then(|at| Some((at, *queue.get(at)?))) else {
                    break;
                };
                let waits = self.requests.get(&request).is_some_and(|r| r.waiting);
                if !waits || self.place(request) {
                    queue.remove(at);
                } else {
                    self.ask(request);
                    blocked += 1;
                }
            }
        }
        self.groups
            .entry(id)
            .and_modify(|group| group.waiting = waiting);
    }

    /// With no usable active member one waiting request at a time looks for the primary, since a miss proves
    /// that nothing ran; the member listed as primary first, then the one heard or asked longest ago.
    fn search(&mut self, id: GroupId) {
        let now = self.now;
        let Some(group) = self.groups.get(&id) else {
            return;
        };
        let pause = group.searched_at.saturating_add(SERVE_EVERY);
        if self.usable_active(group).is_some() || now < pause {
            return;
        }
        let Some(next) = self
            .standbys(group)
            .min_by_key(|m| (!m.listed_primary, m.asked_at))
        else {
            return;
        };
        let harmless = |id: &RequestId| {
            self.requests
                .get(id)
                .is_some_and(|r| self.harmless_at(r, next))
        };
        let Some(request) = group.waiting.iter().flatten().copied().find(harmless) else {
            return;
        };
        let next = next.id;
        self.groups
            .entry(id)
            .and_modify(|group| group.searched_at = now);
        self.members.entry(next).and_modify(|member| {
            member.asked_at = now;
            member.listed_primary = false;
        });
        self.send(request, next);
    }

    /// A replica turns it away untouched, and attempts are left for when the primary is found.
    fn harmless_at(&self, request: &Request, member: &Member) -> bool {
        let spare = self.settings.max_attempts.saturating_sub(3).max(1) as usize;
        request.waiting
            && request.attempts.len() < spare
            && (request.consistency == ConsistencyLevel::Write
                || self.settings.replica_checks == ReplicaChecks::RejectStale)
            && self.may_go(request, member)
    }

    fn healthy(&self, member: &Member) -> bool {
        !member.failed() && !member.silent(self.now) && !member.drain_binds(&self.settings)
    }

    /// Healthy members that are not the active one.
    fn standbys<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a Member> {
        self.members_of(group)
            .filter(|m| Some(m.id) != group.active && self.healthy(m))
    }

    fn usable_active(&self, group: &Group) -> Option<&Member> {
        group
            .active
            .and_then(|id| self.members.get(&id))
            .filter(|member| self.healthy(member))
    }

    /// Whether the rules on effects, drains and cold members let this request go to this member.
    fn may_go(&self, request: &Request, member: &Member) -> bool {
        let two_out = request.is_out() && !self.settings.parallel.granted();
        // Long reads need more saved up, and by lot: each front that saved one send up may have one to send.
        let long = || {
            Some(self.classes.relative_work(request.class()))
                .filter(|work| request.reads() && *work >= LONG_WORK)
        };
        let price = || long().map_or(1.0, |work| (request.luck * work).max(1.0));
        let too_cold = self.is_cold(member) && self.cold_credit(member) < price();
        let rests = self.now < request.rests_until;
        if member.drain_binds(&self.settings) || two_out || too_cold || rests {
            return false;
        }
        let zone = |id| self.members.get(&id).map(|member| member.zone);
        match (request.first_may_have_run(), request.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (_, Idempotency::NonIdempotent) => false,
            (Some(first), Idempotency::IdempotencyKey { scope, window }) => {
                let near =
                    scope != DeduplicationScope::Zone || Some(member.zone) == zone(first.member);
                near && self.now < first.sent.saturating_add(window)
            }
        }
    }

    /// Whether a member is known to have applied what a read must see.
    fn in_sync(&self, request: &Request, member: &Member, stalled: bool) -> bool {
        let needed = match request.consistency {
            _ if member.shunned_until > self.now => return false,
            ConsistencyLevel::Eventual => return true,
            ConsistencyLevel::BoundedStaleness => self
                .now
                .saturating_sub(self.settings.staleness_bounds[request.class()]),
            ConsistencyLevel::Session => request.token,
            ConsistencyLevel::Strong | ConsistencyLevel::Write => return false,
        };
        let known = needed == 0 || member.position >= needed;
        if known || self.settings.replica_checks == ReplicaChecks::None {
            return known;
        }
        if !self.settings.positions.granted() {
            return member.missed_until < self.now;
        }
        // Where members check reads, a lag heard is taken to hold for a while, or as long as making it up
        // would take; then it is unknown, and a miss, which costs little, will tell.
        let age = self.now.saturating_sub(member.heard_at);
        let holds = age < LAG_HOLDS.max(member.lag());
        !stalled && (!holds || member.position.saturating_add(age) >= needed)
    }

    /// Whether a send decided on earlier may be written now. Opening a connection takes time in which data
    /// ages and drains are told; a front that sends at once need not ask.
    pub fn may_write(&self, now: Micros, id: RequestId, to: MemberId) -> bool {
        let Some((request, member)) = self.requests.get(&id).zip(self.members.get(&to)) else {
            return false;
        };
        let bound = self.settings.staleness_bounds[request.class()].saturating_sub(WRITE_TAKES);
        let recent = match request.consistency {
            ConsistencyLevel::BoundedStaleness
                if self.settings.replica_checks == ReplicaChecks::None =>
            {
                let group = self.groups.get(&member.group);
                let active = group.is_some_and(|group| group.active == Some(to));
                active || member.position >= now.saturating_sub(bound)
            }
            _ => true,
        };
        recent && !request.answered && !member.drain_binds(&self.settings)
    }

    /// Whether a member has room for a request of this share of its limit.
    fn admits(&self, member: &Member, share: f64) -> bool {
        let warmth = member.warmth(&self.settings, self.now);
        let limit = member.limit.max_in_flight * share * warmth;
        f64::from(member.in_flight) < limit.max(1.0)
    }

    /// Sends saved up for a cold member: all fronts together add a share of what one of its group carries
    /// on the mean. A large fleet divides the least of one send for each span.
    fn cold_credit(&self, member: &Member) -> f64 {
        let warmth = member.warmth(&self.settings, self.now);
        let each = |group: &Group| group.carried.rate(self.now) / group.members.len().max(1) as f64;
        let carried = self.groups.get(&member.group).map_or(0.0, each);
        let rate = slow_start::dispatch_rate(
            self.fleet,
            &self.settings,
            warmth,
            carried,
            self.classes.lightest(),
        );
        member
            .cold
            .available(self.now, rate, self.settings.overload_duration.max(1))
    }

    fn is_cold(&self, member: &Member) -> bool {
        member.warmth(&self.settings, self.now) < 1.0
    }

    /// Where a request goes now, if anywhere.
    fn pick(&self, request: &Request) -> Option<MemberId> {
        let group = self.groups.get(&request.arrival.group)?;
        let active = self.usable_active(group);
        let stalled = active.is_none();
        let active = active.filter(|m| self.may_go(request, m));
        let warm = active.is_some_and(|m| !self.is_cold(m));
        let active = |share| active.filter(|m| self.admits(m, share)).map(|m| m.id);
        if !request.reads() {
            return active(1.0);
        }
        let open = self
            .members_of(group)
            .filter(|m| !request.tried(m.id) && self.may_go(request, m));
        let first = request.idempotency == Idempotency::Idempotent && request.attempts.is_empty();
        let checked = self.settings.replica_checks == ReplicaChecks::RejectStale;
        let harmless = |m: &&Member| first && (checked || self.in_sync(request, m, true));
        if let Some(trial) = open.clone().filter(harmless).find(|m| self.on_trial(m)) {
            return Some(trial.id);
        }
        let standbys = open.filter(|m| Some(m.id) != group.active && self.healthy(m));
        let mut in_sync: Vec<&Member> = standbys
            .filter(|m| self.in_sync(request, m, stalled))
            .collect();
        // Standbys that lag leave few in sync, and those crowded: a quick active member takes the rest.
        let large = self.fleet.is_large();
        let part_of = |members: f64| request.luck < members / group.members.len() as f64;
        let room = warm && (!large || part_of(SPILL_MEMBERS));
        let spilled =
            |may: bool| active(SPILL_SHARE).filter(|_| may && room && self.welcome(request, true));
        let quick = group.flows[1].pressure < LOADED_PRESSURE;
        if in_sync.is_empty() && self.asks(request).is_some() {
            // The active member has room for its part of the reads without a question.
            return spilled(quick && large && part_of(UNASKED_MEMBERS));
        }
        if in_sync.is_empty() || !self.welcome(request, false) {
            return spilled(in_sync.is_empty() || quick);
        }
        let proven = in_sync.iter().any(|member| member.verified);
        let shared = request.consistency == ConsistencyLevel::Eventual && large;
        in_sync.retain(|m| shared || m.verified == proven);
        if request.consistency == ConsistencyLevel::Eventual {
            return self.gather(request.class(), &in_sync);
        }
        in_sync.retain(|m| self.admits(m, 1.0));
        if in_sync.is_empty() && request.consistency == ConsistencyLevel::BoundedStaleness {
            return spilled(quick);
        }
        self.less_busy_of_two(&in_sync)
    }

    /// Whom to ask how far it is before a bounded read spills: traffic so thin that each word is old when the
    /// next read comes would send all of them to the active member. Harm: a read waits a round trip.
    fn asks(&self, request: &Request) -> Option<MemberId> {
        let group = self.groups.get(&request.arrival.group)?;
        let unchecked = request.consistency == ConsistencyLevel::BoundedStaleness
            && self.settings.replica_checks == ReplicaChecks::None;
        let patient = self.now < request.received.saturating_add(ASK_PATIENCE);
        if !unchecked || !patient || !self.settings.probes.granted() {
            return None;
        }
        let stale = self.settings.staleness_bounds[request.class()] / 2;
        let open = self
            .standbys(group)
            .filter(|m| self.may_go(request, m) && m.shunned_until <= self.now);
        let old = |m: &&Member| {
            m.probe_out
                || self.now.saturating_sub(m.heard_at.max(m.probed_at))
                    >= stale.max(m.lag() / 4) << m.unheard.min(6)
        };
        let mut open: Vec<&Member> = open.filter(old).collect();
        if let Some(asked) = open
            .iter()
            .find(|m| m.probe_out && m.probed_at + ASK_AGAIN > self.now)
        {
            return Some(asked.id);
        }
        open.retain(|m| !m.probe_out);
        // Not where any-reads gather, as long as there is another.
        open.sort_by_key(|m| m.tie_break_hash);
        let spare = usize::from(open.len() > 1);
        self.less_busy_of_two(&open[spare..])
    }

    /// Whether reads of this class may put a standby apart: long ones, until their answers show that it was
    /// not far behind. A short one alone can't. Harm: many short ones that do hold up applying are spread.
    fn holds_up(&self, class: usize) -> bool {
        let long = self.classes.mean_latency(class) >= LAG_APART as f64
            && self.classes.relative_work(class) >= LONG_WORK;
        long && self.held_up[class] >= HELD_UP
    }

    /// Any-reads that hold up applying gather on the standbys furthest behind, half of them at most, so that
    /// the others stay in sync; the rest spread. Where answers come late more would only time out; but only
    /// what is out there can ease the pressure, so with nothing in flight a trial is due. Harm: a report that
    /// a quiet group could have borne comes later.
    fn gather(&self, class: usize, members: &[&Member]) -> Option<MemberId> {
        let mut behind = members.to_vec();
        let room = |m: &&Member| self.admits(m, 1.0);
        let holds_up = self.holds_up(class);
        if self.fleet.is_large() && holds_up {
            // Fronts that see little of a group can't find out where the others gather: the lot says it.
            behind.sort_by_key(|m| (self.is_cold(m), m.listed_primary, m.tie_break_hash));
            return behind.into_iter().find(room).map(|m| m.id);
        }
        behind.sort_by_key(|m| (self.is_cold(m), Reverse(m.lag())));
        if !holds_up
            || behind
                .first()
                .is_some_and(|m| m.lag() <= LAG_APART || self.is_cold(m))
        {
            behind = members.iter().copied().filter(room).collect();
            return self.less_busy_of_two(&behind);
        }
        behind.truncate((members.len() / 2).max(1));
        let eased = |m: &&Member| m.in_flight == 0 || m.limit.pressure <= HIGH_PRESSURE;
        behind.into_iter().filter(eased).find(room).map(|m| m.id)
    }

    fn less_busy_of_two(&self, members: &[&Member]) -> Option<MemberId> {
        members.first()?;
        let mut rng = self.rng.clone();
        let first = rng.usize(0..members.len());
        let step = rng.usize(0..members.len().max(2) - 1) + 1;
        let (one, two) = (members[first], members[(first + step) % members.len()]);
        let warmth = |m: &Member| m.warmth(&self.settings, self.now).max(0.01);
        let rank = |m: &Member| {
            (
                f64::from(m.in_flight + 1) / warmth(m),
                m.zone != self.settings.zone,
            )
        };
        let less_busy = if rank(two) < rank(one) { two } else { one };
        Some(less_busy.id)
    }

    /// A failed or silent member that is due a trial: a safe read, which another member can still answer.
    fn on_trial(&self, member: &Member) -> bool {
        let silent = member.silent(self.now);
        let by_request = member.mute || silent || !self.settings.probes.granted();
        (member.failed() || silent) && by_request && member.trial_at <= self.now
    }

    fn place(&mut self, id: RequestId) -> bool {
        let member = self
            .requests
            .get(&id)
            .and_then(|request| self.pick(request));
        if let Some(member) = member {
            self.send(id, member);
        }
        member.is_some()
    }

    fn send(&mut self, id: RequestId, to: MemberId) {
        let now = self.now;
        self.rng.u64(..);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.waiting = false;
        request.sent(to, now);
        let request = &self.requests[&id];
        let timeout = self.useful_until(request).saturating_sub(now).max(1);
        let trial_at = now.saturating_add(self.fleet.scale_interval(PROBE_EVERY));
        let credit = self.members.get(&to).map_or(0.0, |m| self.cold_credit(m));
        // What a warm member was seen to carry is mostly of the lightest class: long work counts for more.
        let cost = self.classes.relative_work(request.class());
        if let Some(member) = self.members.get_mut(&to) {
            member.trial_at = trial_at;
            if member.in_flight == 0 && !member.mute {
                member.quiet_since = now;
            }
            member.in_flight += 1;
            member.cold = TokenBucket::new(credit - cost, now);
            let group = self.groups.entry(member.group);
            group.and_modify(|group| group.in_flight += 1);
        }
        self.out.push(Action::Dispatch {
            request: id,
            member: to,
            timeout,
        });
    }
}

impl Member {
    /// Drains are kept from the first word on; where only a draining entry binds, 'gone' alone does not.
    fn drain_binds(&self, settings: &Settings) -> bool {
        let gone_binds = settings.drain_signal == DrainSignal::DrainingOrRemoved;
        self.state != EndpointState::Ready && (gone_binds || self.seen_draining)
    }

    fn lag(&self) -> Micros {
        self.heard_at.saturating_sub(self.position)
    }

    fn failed(&self) -> bool {
        self.errors >= FAIL_POINT
    }

    /// It owes answers and gave none for longer than its tail: hung, cut off, gone. Also covers a stall;
    /// harms a member that works on one very long request alone: it is spared until that is done.
    fn silent(&self, now: Micros) -> bool {
        let alone = if self.in_flight == 1 { 2.0 } else { 1.0 };
        let patience = (self.pace.tail() * SILENT_TAILS * alone) as Micros;
        self.in_flight > 0 && now.saturating_sub(self.quiet_since) > patience
    }

    fn warmth(&self, settings: &Settings, now: Micros) -> f64 {
        slow_start::slow_start_fraction(settings, self.started, now)
    }
}

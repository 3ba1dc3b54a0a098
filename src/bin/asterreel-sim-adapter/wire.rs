//! Translates between the simulator's JSON messages and the router's events and actions.

use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;

use asterreel::interface::*;
use asterreel::policy::Router;
use asterreel::settings::{EndpointRecord, Setup};
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct Batch {
    #[serde(rename = "SimTimeUs")]
    now: Micros,
    batch: u64,
    parts: Vec<Part>,
}

#[derive(Deserialize)]
struct BatchNumber {
    batch: u64,
}

#[derive(Deserialize)]
struct Part {
    #[serde(rename = "I")]
    instance: Option<String>,
    #[serde(rename = "in", default)]
    events: Vec<Input>,
}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Input {
    NewInstance(Box<NewInstance>),
    DefineList(DefineList),
    View(View),
    Accept(Accept),
    Datagram(Empty),
    TimedOutClient(TimedOutClient),
    Accepted(Accepted),
    Retire(Empty),
    Reply(Reply),
    Due(#[allow(dead_code)] Due),
    Health(Health),
}

#[derive(Deserialize)]
struct Empty {}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NewInstance {
    entropy: u64,
    setup: Setup,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct DefineList {
    table: u32,
    items: Vec<EndpointRecord>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct View {
    how: String,
    table: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Accept {
    job: String,
    profile: usize,
    #[serde(default)]
    owner: usize,
    client_key: Option<u64>,
    due_us: Micros,
    predicted_us: Option<Micros>,
    #[serde(default)]
    db_no: u64,
    wrote_ms_ago: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TimedOutClient {
    job: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Accepted {
    job: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Reply {
    job: String,
    #[serde(default)]
    last: bool,
    round_no: u32,
    result: u8,
    #[serde(default)]
    latency_us: Micros,
    #[serde(default)]
    stamp: u64,
    feedback: Option<Vec<Option<f64>>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Due {
    #[serde(rename = "Cookie")]
    _cookie: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Health {
    store: String,
    result: u8,
    feedback: Option<Vec<Option<f64>>>,
}

#[derive(Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Output<'a> {
    #[serde(rename_all = "PascalCase")]
    Route {
        job: &'a str,
        timeout_us: Micros,
        store: &'a str,
    },
    #[serde(rename_all = "PascalCase")]
    Withdraw { job: &'a str, round_no: u32 },
    #[serde(rename_all = "PascalCase")]
    TurnAway {
        job: &'a str,
        come_back_us: Option<Micros>,
    },
    #[serde(rename_all = "PascalCase")]
    FinishError { job: &'a str },
    #[serde(rename_all = "PascalCase")]
    Test { store: &'a str },
    #[serde(rename_all = "PascalCase")]
    Track { active: bool },
    #[serde(rename_all = "PascalCase")]
    Sleep { from_now_us: Micros, cookie: u64 },
    #[serde(rename_all = "PascalCase")]
    NoteDown { text: String },
    #[serde(rename_all = "PascalCase")]
    Broken { text: &'a str },
}

/// A job, which is a request to the router.
struct Job {
    name: String,
    /// Attempts that were dispatched and whose replies have not arrived.
    attempts_in_flight: u32,
    finished: bool,
}

/// A router, and the simulator's names for its requests and members.
struct Instance {
    router: Router,
    /// The time that position 0 of a database stands for.
    position_zero: Micros,
    /// The names of the values in a feedback, in their order.
    report_names: Vec<String>,
    zones: Vec<String>,
    /// Requests by the names of their jobs.
    requests: HashMap<String, RequestId>,
    jobs: HashMap<RequestId, Job>,
    next_request: u64,
    members: HashMap<String, MemberId>,
    /// The names of members, by their ids.
    stores: Vec<String>,
    /// When the router requested a watch, until its first update arrives or it is lost.
    watch_requested_at: Option<Micros>,
}

/// All instances of this process, and the lists of endpoints that they share.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<String, Instance>,
    tables: HashMap<u32, Arc<Vec<EndpointRecord>>>,
}

impl Host {
    /// Handles a batch and returns the line that replies to it, or what is wrong with the batch.
    pub(crate) fn answer(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|fault| {
            match serde_json::from_slice::<BatchNumber>(line) {
                Ok(number) => format!("batch {}: {fault}", number.batch),
                Err(_) => format!("batch without a number: {fault}"),
            }
        })?;
        let number = batch.batch;
        let reply = self.handle_parts(batch);
        reply.map_err(|fault| format!("batch {number}: {fault}"))
    }

    /// Handles the events of each part in order; the reply has the parts in which a router acted.
    fn handle_parts(&mut self, batch: Batch) -> Result<String, String> {
        let mut reply = format!("{{\"batch\":{},\"parts\":[", batch.batch);
        let mut first_part = true;
        for part in batch.parts {
            let name = part.instance.as_deref();
            let mut written = String::new();
            for event in part.events {
                self.handle_event(batch.now, name, event, &mut written)?;
            }
            if !written.is_empty() {
                let name = serde_json::to_string(&name).map_err(|fault| fault.to_string())?;
                let comma = if first_part { "" } else { "," };
                reply.push_str(&format!("{comma}{{\"I\":{name},\"out\":[{written}]}}"));
                first_part = false;
            }
        }
        reply.push_str("]}");
        Ok(reply)
    }

    fn define(&mut self, table: DefineList) {
        self.tables.insert(table.table, Arc::new(table.items));
    }

    /// Handles an event of an instance; appends the actions to `written`.
    fn handle_event(
        &mut self,
        now: Micros,
        name: Option<&str>,
        event: Input,
        written: &mut String,
    ) -> Result<(), String> {
        if let Input::DefineList(table) = event {
            self.define(table);
            return Ok(());
        }
        let name = name.ok_or("an event without an instance; its part lacks I")?;
        match event {
            Input::NewInstance(new) => {
                let instance = Instance::new(*new, now)?;
                self.instances.insert(name.to_owned(), instance);
                return Ok(());
            }
            Input::Retire(_) => {
                let known = self.instances.remove(name);
                return known
                    .map(|_| ())
                    .ok_or(format!("RETIRE: unknown instance {name}"));
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(name)
            .ok_or(format!("unknown instance {name}"))?;
        let Some(event) = instance.translate(event, &self.tables)? else {
            return Ok(());
        };
        instance.handle(now, event, written)
    }
}

impl Instance {
    fn new(new: NewInstance, now: Micros) -> Result<Self, String> {
        let position_zero = new.setup.family_info.position_zero_us;
        let report_names = new.setup.report.names.clone();
        let zones = new.setup.zones.clone();
        let settings = new
            .setup
            .settings()
            .map_err(|fault| format!("NEW_INSTANCE: {fault}"))?;
        let router = Router::new(settings, new.entropy, now).map_err(|fault| fault.to_string())?;
        Ok(Instance {
            router,
            position_zero,
            report_names,
            zones,
            requests: HashMap::new(),
            jobs: HashMap::new(),
            next_request: 0,
            members: HashMap::new(),
            stores: Vec::new(),
            watch_requested_at: None,
        })
    }

    /// Passes an event to the router, and appends its actions to `written`.
    fn handle(&mut self, now: Micros, event: Event, written: &mut String) -> Result<(), String> {
        let mut actions = Vec::new();
        let event = match event {
            // The simulator reports a watch that ended and a call that failed in the same way. Only after a failed call has
            // no update arrived since the request, so that `watch_requested_at` is still set.
            Event::WatchLost(_) => {
                let staleness = self
                    .watch_requested_at
                    .take()
                    .map_or(0, |at| now.saturating_sub(at));
                Event::WatchLost(WatchLoss::after_silence(staleness))
            }
            event => event,
        };
        let router = &mut self.router;
        let run = catch_unwind(AssertUnwindSafe(|| {
            router.handle(now, event, &mut actions);
        }));
        if run.is_err() {
            let text = "the decision module panicked";
            return append(written, &Output::Broken { text });
        }
        for action in actions {
            if action == Action::Watch {
                self.watch_requested_at = Some(now);
            }
            self.write(action, written)?;
        }
        Ok(())
    }

    /// Appends an action to `written`, and updates the job that it concerns.
    fn write(&mut self, action: Action, written: &mut String) -> Result<(), String> {
        let Instance { jobs, stores, .. } = self;
        let job = |request: RequestId| jobs.get(&request).map(|job| job.name.as_str());
        let store = |member: MemberId| stores.get(member.0 as usize).map(String::as_str);
        let mut finished = None;
        let mut sent = None;
        let output = match action {
            Action::Dispatch {
                request,
                member,
                timeout: timeout_us,
                ..
            } => {
                sent = Some(request);
                let names = job(request).zip(store(member));
                names.map(|(job, store)| Output::Route {
                    job,
                    timeout_us,
                    store,
                })
            }
            Action::CancelAttempt { request, attempt } => {
                job(request).map(|job| Output::Withdraw {
                    job,
                    round_no: attempt.0,
                })
            }
            Action::Reject {
                request,
                retry_after: come_back_us,
            } => {
                finished = Some(request);
                job(request).map(|job| Output::TurnAway { job, come_back_us })
            }
            Action::Fail(request) => {
                finished = Some(request);
                job(request).map(|job| Output::FinishError { job })
            }
            Action::CheckHealth(member) => store(member).map(|store| Output::Test { store }),
            Action::Watch => Some(Output::Track { active: true }),
            Action::SetTimer(after) => Some(Output::Sleep {
                from_now_us: after,
                cookie: 0,
            }),
            Action::ReportTransition { member, transition } => {
                store(member).map(|store| Output::NoteDown {
                    text: format!("{store}: {}", transition_name(transition)),
                })
            }
        };
        if let Some(output) = output {
            append(written, &output)?;
        }
        if let Some(job) = sent.and_then(|request| self.jobs.get_mut(&request)) {
            job.attempts_in_flight += 1;
        }
        if let Some(request) = finished {
            self.finish(request);
        }
        Ok(())
    }

    /// Marks a job as finished.
    fn finish(&mut self, request: RequestId) {
        if let Some(job) = self.jobs.get_mut(&request) {
            job.finished = true;
        }
        self.forget(request);
    }

    /// Drops a job's name once the job is finished and no attempt is in flight.
    fn forget(&mut self, request: RequestId) {
        let done = |job: &Job| job.finished && job.attempts_in_flight == 0;
        if self.jobs.get(&request).is_some_and(done) {
            if let Some(job) = self.jobs.remove(&request) {
                self.requests.remove(&job.name);
            }
        }
    }

    /// The router's event for an input; `None` if the input does not concern it.
    fn translate(
        &mut self,
        event: Input,
        tables: &HashMap<u32, Arc<Vec<EndpointRecord>>>,
    ) -> Result<Option<Event>, String> {
        Ok(match event {
            Input::Accept(accept) => Some(Event::RequestArrived(self.arrival(accept))),
            Input::Reply(reply) => self.attempt_ended(reply)?,
            Input::TimedOutClient(gone) => self.requests.get(&gone.job).copied().map(|request| {
                self.finish(request);
                Event::ClientGone(request)
            }),
            Input::Accepted(begun) => self
                .requests
                .get(&begun.job)
                .copied()
                .map(Event::StreamStarted),
            Input::Health(health) => {
                let report = self.load_report(health.feedback.as_deref());
                let member = self.member(&health.store);
                Some(Event::HealthChecked(
                    member,
                    outcome(health.result)?,
                    report,
                ))
            }
            Input::Due(_) => Some(Event::TimerFired),
            Input::View(view) => Some(self.discovery_event(&view, tables)?),
            Input::Datagram(_)
            | Input::NewInstance(_)
            | Input::DefineList(_)
            | Input::Retire(_) => None,
        })
    }

    fn arrival(&mut self, accept: Accept) -> Arrival {
        let request = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(accept.job.clone(), request);
        let job = Job {
            name: accept.job,
            attempts_in_flight: 0,
            finished: false,
        };
        self.jobs.insert(request, job);
        Arrival {
            request,
            class: ClassId(accept.profile),
            tenant: TenantId(accept.owner),
            session: accept.client_key.map(SessionId),
            due: accept.due_us,
            estimate: accept.predicted_us,
            group: GroupId(accept.db_no),
            since_write: accept
                .wrote_ms_ago
                .filter(|&ms| ms > 0.0)
                .map(micros_from_ms),
        }
    }

    /// The end of an attempt; `None` if the job is unknown or forgotten.
    fn attempt_ended(&mut self, reply: Reply) -> Result<Option<Event>, String> {
        let outcome = outcome(reply.result)?;
        let Some(&request) = self.requests.get(&reply.job) else {
            return Ok(None);
        };
        if let Some(job) = self.jobs.get_mut(&request) {
            job.attempts_in_flight = job.attempts_in_flight.saturating_sub(1);
        }
        let report = self.load_report(reply.feedback.as_deref());
        if reply.last {
            self.finish(request);
        }
        self.forget(request);
        Ok(Some(Event::AttemptEnded(AttemptEnded {
            request,
            attempt: AttemptNo(reply.round_no),
            outcome,
            latency: reply.latency_us,
            answer_report: self.answer_report(reply.stamp),
            load_report: report,
            answer: if reply.last {
                AnswerStatus::Finished
            } else {
                AnswerStatus::Pending
            },
        })))
    }

    /// Decodes a stamp: its last two bits are the role, the others the position in milliseconds.
    fn answer_report(&self, stamp: u64) -> MemberReport {
        let after_zero = (stamp / 4).saturating_mul(1000);
        MemberReport {
            role: match stamp % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            position: (stamp >= 4).then(|| self.position_zero.saturating_add(after_zero)),
        }
    }

    /// Decodes a feedback: `x0` is the position in seconds, `x1` is above 0.5 for a primary.
    fn load_report(&self, feedback: Option<&[Option<f64>]>) -> MemberReport {
        let mut report = MemberReport::default();
        let values = feedback.unwrap_or(&[]).iter();
        for (name, value) in self.report_names.iter().zip(values) {
            match (name.as_str(), value) {
                ("x0", Some(seconds)) => {
                    report.position = Some(
                        self.position_zero
                            .saturating_add(micros_from_ms(seconds * 1000.0)),
                    );
                }
                ("x1", Some(flag)) if *flag > 0.5 => report.role = Some(Role::Primary),
                ("x1", Some(_)) => report.role = Some(Role::Replica),
                _ => {}
            }
        }
        report
    }

    /// An update of the list of endpoints, or the loss of the watch.
    fn discovery_event(
        &mut self,
        view: &View,
        tables: &HashMap<u32, Arc<Vec<EndpointRecord>>>,
    ) -> Result<Event, String> {
        let kind = match view.how.as_str() {
            "incr" => UpdateKind::Delta,
            "total" => UpdateKind::Snapshot,
            "warm_copy" => UpdateKind::CachedSnapshot,
            "lost" => return Ok(Event::WatchLost(WatchLoss::default())),
            other => {
                return Err(format!(
                    "VIEW: unknown How {other:?}; it must be incr, total, warm_copy or lost"
                ))
            }
        };
        if kind != UpdateKind::CachedSnapshot {
            self.watch_requested_at = None;
        }
        let number = view.table.unwrap_or(0);
        let items = tables
            .get(&number)
            .ok_or(format!("VIEW: no DEFINE_LIST has defined table {number}"))?;
        let entries: Result<Vec<Endpoint>, String> =
            items.iter().map(|item| self.endpoint(item)).collect();
        Ok(Event::EndpointsUpdated(kind, entries?.into()))
    }

    /// The endpoint of a list's entry.
    fn endpoint(&mut self, item: &EndpointRecord) -> Result<Endpoint, String> {
        let member = self.member(&item.store);
        item.endpoint(member, &self.zones)
            .map_err(|fault| format!("DEFINE_LIST: {fault}"))
    }

    /// The id of a member; assigns one to a new name.
    fn member(&mut self, store: &str) -> MemberId {
        if let Some(&member) = self.members.get(store) {
            return member;
        }
        let member = MemberId(self.stores.len() as u32);
        self.members.insert(store.to_owned(), member);
        self.stores.push(store.to_owned());
        member
    }
}

/// Appends an output to a JSON array without its brackets.
fn append(written: &mut String, output: &Output) -> Result<(), String> {
    if !written.is_empty() {
        written.push(',');
    }
    written.push_str(&serde_json::to_string(output).map_err(|fault| fault.to_string())?);
    Ok(())
}

/// The simulator's name of a transition.
fn transition_name(transition: MemberTransition) -> &'static str {
    match transition {
        MemberTransition::Promoted => "active",
        MemberTransition::Demoted => "unmarked",
        MemberTransition::Failed => "failed",
    }
}

fn micros_from_ms(milliseconds: f64) -> Micros {
    (milliseconds * 1000.0) as Micros
}

/// The outcome for a `Result` of the simulator.
fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        10 => Outcome::Served,
        20 => Outcome::Error,
        30 => Outcome::Rejected,
        40 => Outcome::TimedOut,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        90 => Outcome::Misrouted,
        other => return Err(format!("unknown Result {other}")),
    })
}

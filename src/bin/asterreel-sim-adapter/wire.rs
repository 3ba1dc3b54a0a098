//! Translation between the wire's words and the module's vocabulary.

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
    TimedOutClient(JobOnly),
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
struct JobOnly {
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

/// A job's name, and how many of its replies are to come.
struct Job {
    name: String,
    attempts_out: u32,
    finished: bool,
}

/// One router with the names it goes by outside.
struct Instance {
    router: Router,
    zero: Micros,
    report: Vec<String>,
    zones: Vec<String>,
    ids: HashMap<String, RequestId>,
    jobs: HashMap<RequestId, Job>,
    next_id: u64,
    members: HashMap<String, MemberId>,
    stores: Vec<String>,
    /// When the list was called for, for as long as nothing has come of it.
    called_at: Option<Micros>,
}

/// All instances of this process.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<String, Instance>,
    tables: HashMap<u32, Arc<Vec<EndpointRecord>>>,
}

impl Host {
    /// Answers one batch with one reply line, or says what is wrong with it.
    pub(crate) fn answer(&mut self, line: &[u8]) -> Result<String, String> {
        let batch: Batch = serde_json::from_slice(line).map_err(|fault| {
            match serde_json::from_slice::<BatchNumber>(line) {
                Ok(number) => format!("batch {}: {fault}", number.batch),
                Err(_) => format!("batch without a number: {fault}"),
            }
        })?;
        let number = batch.batch;
        let reply = self.parts(batch);
        reply.map_err(|fault| format!("batch {number}: {fault}"))
    }

    fn parts(&mut self, batch: Batch) -> Result<String, String> {
        let mut reply = format!("{{\"batch\":{},\"parts\":[", batch.batch);
        let mut first_part = true;
        for part in batch.parts {
            let name = part.instance.as_deref();
            let mut written = String::new();
            for event in part.events {
                self.event(batch.now, name, event, &mut written)?;
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

    fn event(
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
        let name = name.ok_or("an event without an instance")?;
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
        let zero = new.setup.family_info.position_zero_us;
        let report = new.setup.report.names.clone();
        let zones = new.setup.zones.clone();
        let settings = new
            .setup
            .settings()
            .map_err(|fault| format!("NEW_INSTANCE: {fault}"))?;
        let router = Router::new(settings, new.entropy, now).map_err(|fault| fault.to_string())?;
        Ok(Instance {
            router,
            zero,
            report,
            zones,
            ids: HashMap::new(),
            jobs: HashMap::new(),
            next_id: 0,
            members: HashMap::new(),
            stores: Vec::new(),
            called_at: None,
        })
    }

    fn handle(&mut self, now: Micros, event: Event, written: &mut String) -> Result<(), String> {
        let mut actions = Vec::new();
        let event = match event {
            // The wire tells of a watch that ended as of a call that failed; only the latter had said nothing yet.
            Event::WatchLost(_) => {
                let staleness = self.called_at.take().map_or(0, |at| now.saturating_sub(at));
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
                self.called_at = Some(now);
            }
            self.write(action, written)?;
        }
        Ok(())
    }

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
            job.attempts_out += 1;
        }
        if let Some(request) = finished {
            self.finish(request);
        }
        Ok(())
    }

    fn finish(&mut self, request: RequestId) {
        if let Some(job) = self.jobs.get_mut(&request) {
            job.finished = true;
        }
        self.forget(request);
    }

    /// Drops a job's name once it is finished and no reply of its attempts is to come.
    fn forget(&mut self, request: RequestId) {
        let done = |job: &Job| job.finished && job.attempts_out == 0;
        if self.jobs.get(&request).is_some_and(done) {
            if let Some(job) = self.jobs.remove(&request) {
                self.ids.remove(&job.name);
            }
        }
    }

    fn translate(
        &mut self,
        event: Input,
        tables: &HashMap<u32, Arc<Vec<EndpointRecord>>>,
    ) -> Result<Option<Event>, String> {
        Ok(match event {
            Input::Accept(accept) => Some(Event::RequestArrived(self.arrival(accept))),
            Input::Reply(reply) => self.reply(reply)?,
            Input::TimedOutClient(gone) => self.ids.get(&gone.job).copied().map(|request| {
                self.finish(request);
                Event::ClientGone(request)
            }),
            Input::Accepted(begun) => self.ids.get(&begun.job).copied().map(Event::StreamStarted),
            Input::Health(health) => {
                let report = self.report(health.feedback.as_deref());
                let member = self.member(&health.store);
                Some(Event::HealthChecked(
                    member,
                    outcome(health.result)?,
                    report,
                ))
            }
            Input::Due(_) => Some(Event::TimerFired),
            Input::View(view) => Some(self.view(&view, tables)?),
            Input::Datagram(_)
            | Input::NewInstance(_)
            | Input::DefineList(_)
            | Input::Retire(_) => None,
        })
    }

    fn arrival(&mut self, accept: Accept) -> Arrival {
        let request = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(accept.job.clone(), request);
        let job = Job {
            name: accept.job,
            attempts_out: 0,
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
            since_write: accept.wrote_ms_ago.filter(|&ms| ms > 0.0).map(micros),
        }
    }

    fn reply(&mut self, reply: Reply) -> Result<Option<Event>, String> {
        let outcome = outcome(reply.result)?;
        let Some(&request) = self.ids.get(&reply.job) else {
            return Ok(None);
        };
        if let Some(job) = self.jobs.get_mut(&request) {
            job.attempts_out = job.attempts_out.saturating_sub(1);
        }
        let report = self.report(reply.feedback.as_deref());
        if reply.last {
            self.finish(request);
        }
        self.forget(request);
        Ok(Some(Event::AttemptEnded(AttemptEnded {
            request,
            attempt: AttemptNo(reply.round_no),
            outcome,
            latency: reply.latency_us,
            answer_report: self.note(reply.stamp),
            load_report: report,
            answer: if reply.last {
                AnswerStatus::Finished
            } else {
                AnswerStatus::Pending
            },
        })))
    }

    fn note(&self, stamp: u64) -> MemberReport {
        let after_zero = (stamp / 4).saturating_mul(1000);
        MemberReport {
            role: match stamp % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => None,
            },
            position: (stamp >= 4).then(|| self.zero.saturating_add(after_zero)),
        }
    }

    fn report(&self, feedback: Option<&[Option<f64>]>) -> MemberReport {
        let mut note = MemberReport::default();
        let values = feedback.unwrap_or(&[]).iter();
        for (name, value) in self.report.iter().zip(values) {
            match (name.as_str(), value) {
                ("x0", Some(seconds)) => {
                    note.position = Some(self.zero.saturating_add(micros(seconds * 1000.0)));
                }
                ("x1", Some(one)) if *one > 0.5 => note.role = Some(Role::Primary),
                ("x1", Some(_)) => note.role = Some(Role::Replica),
                _ => {}
            }
        }
        note
    }

    fn view(
        &mut self,
        view: &View,
        tables: &HashMap<u32, Arc<Vec<EndpointRecord>>>,
    ) -> Result<Event, String> {
        let kind = match view.how.as_str() {
            "incr" => UpdateKind::Delta,
            "total" => UpdateKind::Snapshot,
            "warm_copy" => UpdateKind::CachedSnapshot,
            "lost" => return Ok(Event::WatchLost(WatchLoss::default())),
            other => return Err(format!("VIEW: unknown kind {other}")),
        };
        if kind != UpdateKind::CachedSnapshot {
            self.called_at = None;
        }
        let number = view.table.unwrap_or(0);
        let items = tables
            .get(&number)
            .ok_or(format!("VIEW: unknown table {number}"))?;
        let entries: Result<Vec<Endpoint>, String> =
            items.iter().map(|item| self.entry(item)).collect();
        Ok(Event::EndpointsUpdated(kind, entries?.into()))
    }

    fn entry(&mut self, item: &EndpointRecord) -> Result<Endpoint, String> {
        let member = self.member(&item.store);
        item.endpoint(member, &self.zones)
            .map_err(|fault| format!("DEFINE_LIST: {fault}"))
    }

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

fn append(written: &mut String, output: &Output) -> Result<(), String> {
    if !written.is_empty() {
        written.push(',');
    }
    written.push_str(&serde_json::to_string(output).map_err(|fault| fault.to_string())?);
    Ok(())
}

/// The simulator's word for a transition.
fn transition_name(transition: MemberTransition) -> &'static str {
    match transition {
        MemberTransition::Promoted => "active",
        MemberTransition::Demoted => "unmarked",
        MemberTransition::Failed => "failed",
    }
}

fn micros(milliseconds: f64) -> Micros {
    (milliseconds * 1000.0) as Micros
}

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
        other => return Err(format!("unknown result {other}")),
    })
}

//! Hollow gateways: the program's own control plane over real sockets, without a request path, many in one process.
//!
//! A process of them is driven by lines of JSON: an [`Order`] on its standard input, an [`Answer`] to each on its standard
//! output. It ends when its input does. A hollow gateway finds every version good at once; what a gateway's request path
//! would do with one is not part of it.

use super::cut::{Cut, Forward};
use crate::gateway::control_thread;
use crate::process::{self, Usage};
use crate::standing::Standing;
use asterreel_control::clock::Clock;
use asterreel_control::service::{self, ControlEvent, ControlRequest, Handle};
use asterreel_control::settings::ControlSettings;
use asterreel_control::traffic::TrafficTotals;
use asterreel_control::versions::{Content, Topic};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Stack of the thread that takes one gateway's notices, bytes: it only hands them on.
const NOTICES_STACK: usize = 64 * 1024;

/// What a process of hollow gateways is asked to do.
#[derive(Debug, Serialize, Deserialize)]
pub enum Order {
    /// Start these gateways, behind these forwarders where there are any.
    Begin {
        /// The gateways' settings.
        leases: Vec<ControlSettings>,
        /// Forwarders that [`Order::Cut`] cuts.
        forwards: Vec<Forward>,
    },
    /// Say what each gateway holds to be agreed.
    Look,
    /// Say what each gateway has used, besides.
    Measure,
    /// Have each of these gateways offer the version that it judged last once more.
    Offer(Vec<u32>),
    /// Cut or heal the forwarders.
    Cut(bool),
    /// Have each gateway give back what it holds, before its process ends as planned.
    Drain,
}

/// What it answers.
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// It is done.
    Done,
    /// How the gateways stand.
    Standing(Vec<Standing>),
    /// What they and their process have used.
    Used(Used),
    /// It could not be done, for this reason.
    Failed(String),
}

/// What one gateway's control plane has used since its start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Work {
    /// Which one.
    pub gateway: u32,
    /// Nanoseconds that its thread ran on a processor.
    pub cpu_ns: u64,
    /// What it received and sent.
    pub traffic: TrafficTotals,
}

/// What a process and its gateways have used.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Used {
    /// When it was read, Unix microseconds.
    pub at: u64,
    /// Of each gateway.
    pub gateways: Vec<Work>,
    /// Of their process.
    pub process: Usage,
    /// Of their process before it had any.
    pub empty: Usage,
}

/// A version that one gateway knows.
#[derive(Default)]
struct Known {
    in_force: u64,
    since: u64,
    judged: Option<Content>,
}

struct Gateway {
    handle: Arc<Handle>,
    known: Arc<Mutex<Known>>,
    /// The thread that runs its control plane; 0 until it was looked for.
    thread: u32,
}

fn lock(known: &Mutex<Known>) -> MutexGuard<'_, Known> {
    known.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The gateways of one process.
struct Hollows {
    clock: Clock,
    gateways: BTreeMap<u32, Gateway>,
    empty: Usage,
    cut: Option<Cut>,
}

/// Carries out orders until there are no more.
///
/// # Errors
///
/// An order makes no sense, or could not be carried out or answered.
pub fn serve(orders: impl BufRead, mut answers: impl Write) -> anyhow::Result<()> {
    let empty = process::usage(std::process::id())?;
    let mut hollows = Hollows {
        clock: Clock::start(),
        gateways: BTreeMap::new(),
        empty,
        cut: None,
    };
    for line in orders.lines() {
        let answer = serde_json::from_str(&line?).map_err(anyhow::Error::from);
        let answer = answer.and_then(|order| hollows.carry_out(order));
        let answer = answer.unwrap_or_else(|fault| Answer::Failed(format!("{fault:#}")));
        writeln!(answers, "{}", serde_json::to_string(&answer)?)?;
        answers.flush()?;
    }
    Ok(())
}

impl Hollows {
    fn carry_out(&mut self, order: Order) -> anyhow::Result<Answer> {
        match order {
            Order::Begin { leases, forwards } => {
                self.cut = (!forwards.is_empty())
                    .then(|| Cut::start(forwards))
                    .transpose()?;
                leases.iter().try_for_each(|lease| self.start(lease))?;
                Ok(Answer::Done)
            }
            Order::Look => Ok(Answer::Standing(
                self.gateways.iter().map(|one| self.look(one)).collect(),
            )),
            Order::Measure => {
                self.find_threads()?;
                let gateways = self
                    .gateways
                    .iter()
                    .map(used)
                    .collect::<anyhow::Result<_>>()?;
                let process = process::usage(std::process::id())?;
                Ok(Answer::Used(Used {
                    at: self.clock.now(),
                    gateways,
                    process,
                    empty: self.empty,
                }))
            }
            Order::Offer(by) => {
                for gateway in by.iter().filter_map(|gateway| self.gateways.get(gateway)) {
                    let judged = lock(&gateway.known).judged.clone();
                    judged.into_iter().for_each(|c| {
                        gateway
                            .handle
                            .request(ControlRequest::ProposeVersion(Topic::Operator, c))
                    });
                }
                Ok(Answer::Done)
            }
            Order::Drain => {
                self.gateways
                    .values()
                    .for_each(|gateway| gateway.handle.request(ControlRequest::Drain));
                Ok(Answer::Done)
            }
            Order::Cut(is_cut) => {
                if let Some(cut) = &self.cut {
                    cut.set(is_cut);
                }
                Ok(Answer::Done)
            }
        }
    }

    fn start(&mut self, lease: &ControlSettings) -> anyhow::Result<()> {
        let (handle, notices) = service::start(lease, self.clock)?;
        let (handle, known) = (Arc::new(handle), Arc::<Mutex<Known>>::default());
        let (asked, learned, clock) = (handle.clone(), known.clone(), self.clock);
        let take = move || take_notices(&notices, &asked, &learned, clock);
        thread::Builder::new()
            .name("notices".into())
            .stack_size(NOTICES_STACK)
            .spawn(take)?;
        self.gateways.insert(
            lease.me,
            Gateway {
                handle,
                known,
                thread: 0,
            },
        );
        Ok(())
    }

    /// Threads take their names themselves, a moment after they start.
    fn find_threads(&mut self) -> anyhow::Result<()> {
        if self.gateways.values().all(|gateway| gateway.thread != 0) {
            return Ok(());
        }
        let threads: BTreeMap<String, u32> = process::threads(std::process::id())?
            .into_iter()
            .map(|(thread, name)| (name, thread))
            .collect();
        for (number, gateway) in &mut self.gateways {
            gateway.thread = threads.get(&control_thread(*number)).copied().unwrap_or(0);
        }
        Ok(())
    }

    fn look(&self, (number, gateway): (&u32, &Gateway)) -> Standing {
        let known = lock(&gateway.known);
        let until = gateway
            .handle
            .view()
            .permission(self.clock.now())
            .map_or(0, |right| right.until);
        Standing {
            gateway: *number,
            in_force: known.in_force,
            since: known.since,
            until,
        }
    }
}

/// Finds every version good, and remembers which is in force since when.
fn take_notices(
    notices: &Receiver<ControlEvent>,
    handle: &Handle,
    known: &Mutex<Known>,
    clock: Clock,
) {
    for notice in notices {
        match notice {
            ControlEvent::Validate(topic, number, content) => {
                handle.request(ControlRequest::Validated(topic, number, Ok(())));
                if topic == Topic::Operator {
                    lock(known).judged = Some(content);
                }
            }
            ControlEvent::Activated(Topic::Operator, number) => {
                let mut known = lock(known);
                (known.in_force, known.since) = (number, clock.now());
            }
            ControlEvent::Activated(..) => {}
        }
    }
}

fn used((number, gateway): (&u32, &Gateway)) -> anyhow::Result<Work> {
    Ok(Work {
        gateway: *number,
        cpu_ns: process::thread_cpu_ns(std::process::id(), gateway.thread)?,
        traffic: gateway.handle.traffic(),
    })
}

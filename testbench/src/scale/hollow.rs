//! Hollow gateways: the real control plane over real sockets, without a request path, many in one process.
//!
//! Their process reads JSON lines, each an [`Order`], from its standard input and writes an [`Answer`] to each to its
//! standard output. It exits at the end of its input. A hollow gateway accepts every version at once; it does not do
//! what the request path of a gateway does to validate one.

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

/// Stack size of the thread that handles one gateway's events, bytes; it needs little, as it only forwards them.
const EVENTS_STACK_BYTES: usize = 64 * 1024;

/// An order to a process of hollow gateways.
#[derive(Debug, Serialize, Deserialize)]
pub enum Order {
    /// Start these gateways and forwarders.
    Begin {
        /// The gateways' settings.
        leases: Vec<ControlSettings>,
        /// Forwarders between the gateways and the voters, which [`Order::Cut`] cuts; may be empty.
        forwards: Vec<Forward>,
    },
    /// Return each gateway's state in the fleet.
    Look,
    /// Return the resources that each gateway and the process have used.
    Measure,
    /// Have each of these gateways offer once more the version that it validated last.
    Offer(Vec<u32>),
    /// Cut or heal the forwarders.
    Cut(bool),
    /// Have each gateway release its registration, before a planned end of the process.
    Drain,
}

/// The answer to an order.
#[derive(Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The order was carried out.
    Done,
    /// The gateways' states, to [`Order::Look`].
    Standing(Vec<Standing>),
    /// The used resources, to [`Order::Measure`].
    Used(Used),
    /// The order failed for this reason.
    Failed(String),
}

/// The resources that one gateway's control plane has used since its start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Work {
    /// The gateway's number.
    pub gateway: u32,
    /// CPU time of its thread, nanoseconds.
    pub cpu_ns: u64,
    /// Frames and bytes that it received and sent.
    pub traffic: TrafficTotals,
}

/// The resources that a process and its gateways have used.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Used {
    /// Time of the measurement, Unix microseconds.
    pub at: u64,
    /// The control plane of each gateway.
    pub gateways: Vec<Work>,
    /// The whole process at the time of the measurement.
    pub process: Usage,
    /// The process before its first gateway was started.
    pub empty: Usage,
}

/// The operator's file versions that one gateway knows.
#[derive(Default)]
struct Known {
    in_force: u64,
    /// When that version came into force, Unix microseconds.
    since: u64,
    /// The version that was validated last.
    validated: Option<Content>,
}

struct Gateway {
    handle: Arc<Handle>,
    known: Arc<Mutex<Known>>,
    /// Id of its control plane's thread; 0 until it has been found.
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

/// Carries out orders until the end of the input.
///
/// # Errors
///
/// An order could not be read, or an answer could not be written.
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
                self.gateways.iter().map(|one| self.standing(one)).collect(),
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
                    let validated = lock(&gateway.known).validated.clone();
                    validated.into_iter().for_each(|c| {
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
        let (handle, events) = service::start(lease, self.clock)?;
        let (handle, known) = (Arc::new(handle), Arc::<Mutex<Known>>::default());
        let (requests, versions, clock) = (handle.clone(), known.clone(), self.clock);
        let handle_all = move || handle_events(&events, &requests, &versions, clock);
        thread::Builder::new()
            .name("notices".into())
            .stack_size(EVENTS_STACK_BYTES)
            .spawn(handle_all)?;
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

    /// Finds the control plane threads by name. This is done at a measurement, as a thread sets its name after it has
    /// started.
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

    fn standing(&self, (number, gateway): (&u32, &Gateway)) -> Standing {
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

/// Accepts every version, and records the one in force.
fn handle_events(
    events: &Receiver<ControlEvent>,
    handle: &Handle,
    known: &Mutex<Known>,
    clock: Clock,
) {
    for event in events {
        match event {
            ControlEvent::Validate(topic, number, content) => {
                handle.request(ControlRequest::Validated(topic, number, Ok(())));
                if topic == Topic::Operator {
                    lock(known).validated = Some(content);
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

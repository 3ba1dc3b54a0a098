//! A group of hollow gateways in a separate process or, in tests, on a thread of this process.

use super::cut::Forward;
use super::hollow::{self, Answer, Order};
use anyhow::{bail, Context};
use asterreel_control::settings::ControlSettings;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

/// Timeout for a group's answer to an order: far longer than any takes, so that a hang becomes an error.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Where hollow gateways run.
#[derive(Clone, Debug)]
pub enum Host {
    /// In processes of this executable, started with `scale-hollow`; they can be killed and suspended.
    Processes(PathBuf),
    /// On threads of this process.
    Here,
}

/// The part of a fleet that a group belongs to, by the event that uses it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Four gateways that are killed while a version is offered.
    Dead,
    /// One gateway that is suspended while a version is offered.
    Stopped,
    /// A tenth of the fleet, killed at the same time.
    Tenth,
    /// A third of the fleet, which is cut off from the voters and reconnected.
    Third,
    /// All other hollow gateways.
    Rest,
}

struct Running {
    orders: UnixStream,
    answers: BufReader<UnixStream>,
    child: Option<Child>,
    is_suspended: bool,
}

/// Hollow gateways in one process, which are started, suspended and killed together.
pub struct Group {
    part: Part,
    leases: Vec<ControlSettings>,
    forwards: Vec<Forward>,
    running: Option<Running>,
}

impl Group {
    /// Creates a group without starting it.
    pub fn new(part: Part, leases: Vec<ControlSettings>, forwards: Vec<Forward>) -> Group {
        Group {
            part,
            leases,
            forwards,
            running: None,
        }
    }

    /// The part of the fleet that the group belongs to.
    pub fn part(&self) -> Part {
        self.part
    }

    /// The numbers of its gateways.
    pub fn gateways(&self) -> impl Iterator<Item = u32> + '_ {
        self.leases.iter().map(|lease| lease.me)
    }

    /// Whether its process is running and not suspended.
    pub fn answers(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| !running.is_suspended)
    }

    /// Starts its process and sends [`Order::Begin`]; the answer is read with [`Group::receive`].
    ///
    /// # Errors
    ///
    /// The process could not be started.
    pub fn start(&mut self, host: &Host) -> anyhow::Result<()> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        let child = match host {
            Host::Processes(program) => {
                let mut command = Command::new(program);
                command
                    .arg("scale-hollow")
                    .stdin(OwnedFd::from(theirs.try_clone()?))
                    .stdout(OwnedFd::from(theirs));
                Some(
                    command
                        .spawn()
                        .with_context(|| program.display().to_string())?,
                )
            }
            Host::Here => {
                let orders = BufReader::new(theirs.try_clone()?);
                std::thread::spawn(move || hollow::serve(orders, theirs));
                None
            }
        };
        let orders = ours.try_clone()?;
        let answers = BufReader::new(ours);
        self.running = Some(Running {
            orders,
            answers,
            child,
            is_suspended: false,
        });
        self.send(&Order::Begin {
            leases: self.leases.clone(),
            forwards: self.forwards.clone(),
        })
    }

    /// Sends an order; the answer is read with [`Group::receive`].
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn send(&mut self, order: &Order) -> anyhow::Result<()> {
        let running = self
            .running
            .as_mut()
            .context("the group of hollow gateways is not running")?;
        writeln!(running.orders, "{}", serde_json::to_string(order)?)?;
        Ok(running.orders.flush()?)
    }

    /// Reads the answer to an order.
    ///
    /// # Errors
    ///
    /// The process has exited, did not answer in time, reported a failure, or its answer could not be parsed.
    pub fn receive(&mut self) -> anyhow::Result<Answer> {
        let running = self
            .running
            .as_mut()
            .context("the group of hollow gateways is not running")?;
        let mut line = String::new();
        running.answers.read_line(&mut line).with_context(|| {
            format!("no answer from a process of hollow gateways within {ANSWER_TIMEOUT:?}")
        })?;
        match serde_json::from_str(&line)
            .context("a process of hollow gateways gave no valid answer; it may have exited")?
        {
            Answer::Failed(reason) => bail!("a process of hollow gateways: {reason}"),
            answer => Ok(answer),
        }
    }

    /// Kills its process with SIGKILL.
    ///
    /// # Errors
    ///
    /// The process could not be killed.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.running.take().and_then(|running| running.child) {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Suspends its process with SIGSTOP, or resumes it; without effect on a group in this process.
    ///
    /// # Errors
    ///
    /// The process has exited.
    pub fn set_suspended(&mut self, suspend: bool) -> anyhow::Result<()> {
        if let Some(running) = &mut self.running {
            if let Some(child) = &running.child {
                let signal = if suspend {
                    Signal::SIGSTOP
                } else {
                    Signal::SIGCONT
                };
                kill(Pid::from_raw(child.id() as i32), signal)?;
                running.is_suspended = suspend;
            }
        }
        Ok(())
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

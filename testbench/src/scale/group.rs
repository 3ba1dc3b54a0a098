//! A group of hollow gateways: a process of its own, or, in tests, a thread of this one.

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

/// How long a group may take to answer an order: far longer than any takes, so that one that hangs is an error.
const ANSWER_WITHIN: Duration = Duration::from_secs(60);

/// Where hollow gateways run.
#[derive(Clone, Debug)]
pub enum Host {
    /// In processes of this program, started with `scale-hollow`; they can be killed and stopped.
    Processes(PathBuf),
    /// In threads of this process.
    Here,
}

/// What a group is there for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Four that die under a change.
    Dead,
    /// One that stands still under a change.
    Stopped,
    /// A tenth of the fleet that is killed at once.
    Tenth,
    /// A third of the fleet that is cut off and comes back.
    Third,
    /// All others.
    Rest,
}

struct Running {
    orders: UnixStream,
    answers: BufReader<UnixStream>,
    child: Option<Child>,
    stands_still: bool,
}

/// Hollow gateways that live and die together.
pub struct Group {
    part: Part,
    leases: Vec<ControlSettings>,
    forwards: Vec<Forward>,
    running: Option<Running>,
}

impl Group {
    /// A group that does not run yet.
    pub fn new(part: Part, leases: Vec<ControlSettings>, forwards: Vec<Forward>) -> Group {
        Group {
            part,
            leases,
            forwards,
            running: None,
        }
    }

    /// What it is there for.
    pub fn part(&self) -> Part {
        self.part
    }

    /// Its gateways.
    pub fn gateways(&self) -> impl Iterator<Item = u32> + '_ {
        self.leases.iter().map(|lease| lease.me)
    }

    /// Whether its gateways run and answer.
    pub fn answers(&self) -> bool {
        self.running
            .as_ref()
            .is_some_and(|running| !running.stands_still)
    }

    /// Starts its process; [`Group::send`] then asks it to begin.
    ///
    /// # Errors
    ///
    /// The process could not be started.
    pub fn start(&mut self, host: &Host) -> anyhow::Result<()> {
        let (ours, theirs) = UnixStream::pair()?;
        ours.set_read_timeout(Some(ANSWER_WITHIN))?;
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
            stands_still: false,
        });
        self.send(&Order::Begin {
            leases: self.leases.clone(),
            forwards: self.forwards.clone(),
        })
    }

    /// Sends an order; [`Group::receive`] takes its answer.
    ///
    /// # Errors
    ///
    /// The process is gone.
    pub fn send(&mut self, order: &Order) -> anyhow::Result<()> {
        let running = self.running.as_mut().context("it does not run")?;
        writeln!(running.orders, "{}", serde_json::to_string(order)?)?;
        Ok(running.orders.flush()?)
    }

    /// Takes the answer to an order.
    ///
    /// # Errors
    ///
    /// The process is gone, or its answer makes no sense.
    pub fn receive(&mut self) -> anyhow::Result<Answer> {
        let running = self.running.as_mut().context("it does not run")?;
        let mut line = String::new();
        running
            .answers
            .read_line(&mut line)
            .context("a process of hollow gateways does not answer")?;
        match serde_json::from_str(&line).context("a process of hollow gateways ended by itself")? {
            Answer::Failed(why) => bail!("a process of hollow gateways: {why}"),
            answer => Ok(answer),
        }
    }

    /// Kills its process outright; stores stay.
    ///
    /// # Errors
    ///
    /// The process could not be ended.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.running.take().and_then(|running| running.child) {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Has its process stand still, or go on.
    ///
    /// # Errors
    ///
    /// The process is gone.
    pub fn stand_still(&mut self, still: bool) -> anyhow::Result<()> {
        if let Some(running) = &mut self.running {
            if let Some(child) = &running.child {
                let signal = if still {
                    Signal::SIGSTOP
                } else {
                    Signal::SIGCONT
                };
                kill(Pid::from_raw(child.id() as i32), signal)?;
                running.stands_still = still;
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

//! Cells in the program: the placement's file, looked at by a thread of its own, and a request's place in its cell.

use asterreel::cells::quarantine::{Aftermath, Verdict};
use asterreel::cells::who::Caller;
use asterreel::cells::{record, Admitted, Epoch, Gate, Refusal};
use asterreel::interface::{Idempotency, MemberId, Micros, Outcome};
use asterreel::operator;
use asterreel_control::clock::Clock;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

/// What sessions ask.
#[derive(Clone)]
pub(crate) struct Cells {
    gate: Arc<Mutex<Gate>>,
    clock: Clock,
    /// The tenant can differ from statement to statement.
    pub by_statement: bool,
}

impl Cells {
    /// Reads the placement, and starts to look at it again and again; an error names the key.
    pub(crate) fn start(settings: &operator::Cells, clock: Clock) -> io::Result<Cells> {
        let bad = |key: &str, fault: String| io::Error::other(format!("cells.{key}: {fault}"));
        let rules = settings.rules().map_err(|(key, fault)| bad(&key, fault))?;
        let path = settings.placement.clone();
        let shown = path.display().to_string();
        // The lease counts from before the look: what is read may have been old when it came.
        let until = clock.now() + settings.lease_ms * 1000;
        let bytes =
            std::fs::read(&path).map_err(|error| bad("placement", format!("{shown}: {error}")))?;
        let placement = record::decode(&bytes, Epoch::default());
        let placement = placement.map_err(|error| bad("placement", format!("{shown}: {error}")))?;
        let lease = settings.lease_ms * 1000;
        let by_statement = rules.who.by_statement();
        let gate = Gate::new(rules, placement, until);
        let gate = Arc::new(Mutex::new(gate));
        let cells = Cells {
            gate,
            clock,
            by_statement,
        };
        let (watched, every) = (cells.clone(), Duration::from_millis(settings.reread_ms));
        std::thread::Builder::new()
            .name("placement".into())
            .spawn(move || {
                let (mut last, mut fault) = (bytes, String::new());
                loop {
                    std::thread::sleep(every);
                    let until = clock.now() + lease;
                    let now = watched.look(&path, &mut last, until);
                    if let Err(error) = &now {
                        // Once, however often it is looked at.
                        if *error != fault {
                            warn!(
                                "cells.placement: {}: {error}; the one in force stays",
                                path.display()
                            );
                        }
                    }
                    fault = now.err().unwrap_or_default();
                }
            })?;
        Ok(cells)
    }

    fn look(
        &self,
        path: &std::path::Path,
        last: &mut Vec<u8>,
        until: Micros,
    ) -> Result<(), String> {
        let bytes = std::fs::read(path).map_err(|error| error.to_string())?;
        if bytes == *last {
            self.gate(|gate| gate.renewed(until));
            return Ok(());
        }
        let held = self.gate(|gate| gate.epoch());
        // Decoded outside the lock, which requests wait for.
        let placement = record::decode(&bytes, held).map_err(|error| error.to_string())?;
        let epoch = placement.epoch;
        if self.gate(|gate| gate.placed(placement, until)) {
            info!(epoch = epoch.0, "placement");
            *last = bytes;
        }
        Ok(())
    }

    fn gate<T>(&self, work: impl FnOnce(&mut Gate) -> T) -> T {
        work(&mut self.gate.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes a request, or says why not.
    pub(crate) fn admit(
        &self,
        caller: &Caller,
        what: (u64, &[u8]),
        statement: &[u8],
        write: bool,
    ) -> Result<Placed, Refusal> {
        let now = self.clock.now();
        let admitted = self.gate(|gate| gate.admit(now, caller, what, statement, write))?;
        Ok(Placed {
            cells: self.clone(),
            admitted,
        })
    }
}

/// A request's place in its cell, which is given back once this is dropped.
pub(crate) struct Placed {
    cells: Cells,
    pub admitted: Admitted,
}

impl Placed {
    /// Whether an attempt may go out.
    pub(crate) fn attempt(&self, idempotency: Idempotency, ran: bool, victims: usize) -> Verdict {
        let now = self.cells.clock.now();
        self.cells
            .gate(|gate| gate.attempt(now, &self.admitted, idempotency, ran, victims))
    }

    /// An attempt has ended. Only a connection that broke under it speaks of a death; silence may be load.
    pub(crate) fn attempted(&self, member: MemberId, outcome: Outcome) {
        let after = match outcome {
            Outcome::Reset => Aftermath::Died,
            Outcome::Served | Outcome::Error | Outcome::Misrouted | Outcome::Rejected => {
                Aftermath::Answered
            }
            _ => return,
        };
        let now = self.cells.clock.now();
        self.cells
            .gate(|gate| gate.attempted(now, &self.admitted, member, after));
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let now = self.cells.clock.now();
        self.cells.gate(|gate| gate.ended(now, &self.admitted));
    }
}

//! Cells in the program: watches the placement's file on a thread of its own, and guards each admitted request.
//!
//! The gate decides; here its file is read, and what a request holds of its cell is given back. A file that can't be read
//! changes nothing: the placement in force stays until its lease is over, and writes stop then.

use asterreel::cells::placement::Placement;
use asterreel::cells::quarantine::{MemberOutcome, QuarantineDecision};
use asterreel::cells::tenants::Caller;
use asterreel::cells::{record, Admitted, CellAdmission, Epoch, Rejection};
use asterreel::interface::{Idempotency, MemberId, Micros, Outcome};
use asterreel::operator::{self, SettingError};
use asterreel_control::clock::Clock;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

/// The door of sessions to the gate.
#[derive(Clone)]
pub(crate) struct Cells {
    gate: Arc<Mutex<CellAdmission>>,
    clock: Clock,
    /// The tenant can differ from statement to statement.
    pub by_statement: bool,
}

impl Cells {
    /// Reads the placement, and starts to watch it; an error names the key.
    pub(crate) fn start(settings: &operator::Cells, clock: Clock) -> io::Result<Cells> {
        let rules = settings
            .rules()
            .map_err(|error| io::Error::other(error.under_key("cells")))?;
        let by_statement = rules.tenant_resolver.varies_by_statement();
        let mut file = PlacementFile::new(settings, clock);
        let fresh_until = file.fresh_until();
        let placement = file.read_first().map_err(|error| {
            let fault = format!("{}: {error}", file.path.display());
            io::Error::other(SettingError::new("cells.placement", fault))
        })?;
        let cells = Cells {
            gate: Arc::new(Mutex::new(CellAdmission::new(
                rules,
                placement,
                fresh_until,
            ))),
            clock,
            by_statement,
        };
        let (watching, interval) = (cells.clone(), Duration::from_millis(settings.reread_ms));
        std::thread::Builder::new()
            .name("placement".into())
            .spawn(move || watching.watch(file, interval))?;
        Ok(cells)
    }

    /// Reads the file again and again, for as long as the process runs. Warns of an error once, however often it recurs.
    fn watch(&self, mut file: PlacementFile, interval: Duration) {
        let mut last_error = None;
        loop {
            std::thread::sleep(interval);
            let error = self.reload(&mut file).err().map(|error| error.to_string());
            if let Some(error) = error
                .as_ref()
                .filter(|error| last_error.as_ref() != Some(*error))
            {
                warn!(
                    "cells.placement: {}: {error}; the one in force stays",
                    file.path.display()
                );
            }
            last_error = error;
        }
    }

    /// Puts the placement in the file in force if it is newer, and renews the lease of the one in force if it is the same.
    fn reload(&self, file: &mut PlacementFile) -> io::Result<()> {
        let fresh_until = file.fresh_until();
        let bytes = std::fs::read(&file.path)?;
        if bytes == file.bytes_in_force {
            self.with_gate(|gate| gate.renew_lease(fresh_until));
            return Ok(());
        }
        let epoch_in_force = self.with_gate(|gate| gate.epoch());
        // Decoded outside the lock, which requests wait for.
        let placement = record::decode(&bytes, epoch_in_force).map_err(io::Error::other)?;
        let epoch = placement.epoch;
        if self.with_gate(|gate| gate.update_placement(placement, fresh_until)) {
            info!(epoch = epoch.0, "placement");
            file.bytes_in_force = bytes;
        }
        Ok(())
    }

    fn with_gate<T>(&self, work: impl FnOnce(&mut CellAdmission) -> T) -> T {
        work(&mut self.gate.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Admits a request for a group and key, or says why not.
    pub(crate) fn admit(
        &self,
        caller: &Caller,
        target: (u64, &[u8]),
        statement: &[u8],
        is_write: bool,
    ) -> Result<Placed, Rejection> {
        let now = self.clock.now();
        let admitted =
            self.with_gate(|gate| gate.admit(now, caller, target, statement, is_write))?;
        Ok(Placed {
            cells: self.clone(),
            admitted,
        })
    }
}

/// The placement's file, as last read.
struct PlacementFile {
    path: PathBuf,
    bytes_in_force: Vec<u8>,
    lease_us: Micros,
    clock: Clock,
}

impl PlacementFile {
    fn new(settings: &operator::Cells, clock: Clock) -> PlacementFile {
        PlacementFile {
            path: settings.placement.clone(),
            bytes_in_force: Vec::new(),
            lease_us: settings.lease_ms * 1000,
            clock,
        }
    }

    /// The end of the lease of a placement that is read from now on. It counts from before the read, as the file may have
    /// been replaced by the time its bytes are here.
    fn fresh_until(&self) -> Micros {
        self.clock.now() + self.lease_us
    }

    /// Reads the placement that a gateway starts with, of any epoch.
    fn read_first(&mut self) -> io::Result<Placement> {
        self.bytes_in_force = std::fs::read(&self.path)?;
        record::decode(&self.bytes_in_force, Epoch::default()).map_err(io::Error::other)
    }
}

/// What an admitted request holds of its cell; given back when this is dropped.
pub(crate) struct Placed {
    cells: Cells,
    pub admitted: Admitted,
}

impl Placed {
    /// Whether an attempt may be dispatched: `ran` when an earlier one of the request may have run, and `victims` the number
    /// of members that crashed after its attempts.
    pub(crate) fn attempt(
        &self,
        idempotency: Idempotency,
        ran: bool,
        victims: usize,
    ) -> QuarantineDecision {
        let now = self.cells.clock.now();
        self.cells
            .with_gate(|gate| gate.admit_attempt(now, &self.admitted, idempotency, ran, victims))
    }

    /// An attempt has ended. Only a connection that broke under it is a sign of a crash; silence may be load.
    pub(crate) fn attempted(&self, member: MemberId, outcome: Outcome) {
        let after = match outcome {
            Outcome::Reset => MemberOutcome::Crashed,
            Outcome::Served | Outcome::Error | Outcome::Misrouted | Outcome::Rejected => {
                MemberOutcome::Answered
            }
            _ => return,
        };
        let now = self.cells.clock.now();
        self.cells
            .with_gate(|gate| gate.attempt_ended(now, &self.admitted, member, after));
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let now = self.cells.clock.now();
        self.cells
            .with_gate(|gate| gate.request_ended(now, &self.admitted));
    }
}

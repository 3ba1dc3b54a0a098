//! Applies cells in the gateway: re-reads the placement's file on a thread of its own, and admits requests to their cells.
//!
//! [`CellAdmission`] decides; this module reads the file for it, and returns what a request holds of its cell when the
//! request ends. A file that can't be read changes nothing: the current placement stays in force until its lease ends,
//! and then writes are rejected.

use asterreel::cells::placement::Placement;
use asterreel::cells::quarantine::MemberOutcome;
use asterreel::cells::tenants::Caller;
use asterreel::cells::{record, Admitted, Attempt, CellAdmission, Epoch, Rejection, SendRefusal};
use asterreel::interface::{MemberId, Micros, Outcome};
use asterreel::operator::{self, SettingError};
use asterreel_control::clock::Clock;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tracing::{info, warn};

/// Admits the requests of sessions to their cells; clones share one state.
#[derive(Clone)]
pub(crate) struct Cells {
    admission: Arc<Mutex<CellAdmission>>,
    clock: Clock,
    /// Whether the tenant can differ between the statements of a session.
    pub by_statement: bool,
}

impl Cells {
    /// Reads the placement and starts the thread that re-reads it; an error names the key at fault.
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
            admission: Arc::new(Mutex::new(CellAdmission::new(
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

    /// Re-reads the file for as long as the process runs. Repeats of the same error in a row are logged once.
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
                    "cells.placement: {}: {error}; keeping the current placement",
                    file.path.display()
                );
            }
            last_error = error;
        }
    }

    /// Applies the file's placement if it is newer than the current one, or renews the current one's lease if the file is
    /// unchanged.
    fn reload(&self, file: &mut PlacementFile) -> io::Result<()> {
        let fresh_until = file.fresh_until();
        let bytes = std::fs::read(&file.path)?;
        if bytes == file.bytes_in_force {
            self.with_admission(|admission| admission.renew_lease(fresh_until));
            return Ok(());
        }
        let epoch_in_force = self.with_admission(|admission| admission.epoch());
        // Decoded without the lock, as requests wait for it.
        let placement = record::decode(&bytes, epoch_in_force).map_err(io::Error::other)?;
        let epoch = placement.epoch;
        if self.with_admission(|admission| admission.update_placement(placement, fresh_until)) {
            info!(epoch = epoch.0, "placement applied");
            file.bytes_in_force = bytes;
        }
        Ok(())
    }

    fn with_admission<T>(&self, work: impl FnOnce(&mut CellAdmission) -> T) -> T {
        work(
            &mut self
                .admission
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Admits a request for a group and key, or returns why it is rejected.
    pub(crate) fn admit(
        &self,
        caller: &Caller,
        target: (u64, &[u8]),
        statement: &[u8],
        is_write: bool,
    ) -> Result<CellPermit, Rejection> {
        let now = self.clock.now();
        let admitted = self.with_admission(|admission| {
            admission.admit(now, caller, target, statement, is_write)
        })?;
        Ok(CellPermit {
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

    /// The end of the lease of a placement whose read begins now. The lease counts from before the read, as the file may be
    /// replaced while it is read.
    fn fresh_until(&self) -> Micros {
        self.clock.now() + self.lease_us
    }

    /// Reads the placement that a gateway starts with; any epoch is accepted.
    fn read_first(&mut self) -> io::Result<Placement> {
        self.bytes_in_force = std::fs::read(&self.path)?;
        record::decode(&self.bytes_in_force, Epoch::default()).map_err(io::Error::other)
    }
}

/// What an admitted request holds of its cell; returned on drop.
pub(crate) struct CellPermit {
    cells: Cells,
    pub admitted: Admitted,
}

impl CellPermit {
    /// Whether an attempt may be sent now.
    ///
    /// # Errors
    ///
    /// Why not, see [`CellAdmission::check_send`].
    pub(crate) fn check_send(&self, attempt: Attempt) -> Result<(), SendRefusal> {
        let now = self.cells.clock.now();
        self.cells
            .with_admission(|admission| admission.check_send(now, &self.admitted, attempt))
    }

    /// Records the outcome of an attempt. Only a connection that was reset during it indicates a crash of the member; a
    /// timeout may be caused by load.
    pub(crate) fn attempt_ended(&self, member: MemberId, outcome: Outcome) {
        let after = match outcome {
            Outcome::Reset => MemberOutcome::Crashed,
            Outcome::Served | Outcome::Error | Outcome::Misrouted | Outcome::Rejected => {
                MemberOutcome::Answered
            }
            _ => return,
        };
        let now = self.cells.clock.now();
        self.cells.with_admission(|admission| {
            admission.attempt_ended(now, &self.admitted, member, after)
        });
    }
}

impl Drop for CellPermit {
    fn drop(&mut self) {
        let now = self.cells.clock.now();
        self.cells
            .with_admission(|admission| admission.request_ended(now, &self.admitted));
    }
}

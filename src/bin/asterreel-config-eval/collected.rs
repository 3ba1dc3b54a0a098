//! Collects what the calls of a script set, in a thread-local, as a thread evaluates one script at a time.
//!
//! Each part may be set once. Only the first error is kept, with its key, which the interpreter's error would not carry.

use asterreel::operator::{
    under_health_key, Cells, ControlSettings, Evaluated, Health, OperatorFileError, SettingError,
    SourceLocation,
};
use asterreel::readmission;
use starlark::codemap::FileSpan;
use std::cell::RefCell;
use std::path::Path;

/// What a call sets, and its location; `None` before the call.
type Call<T> = Option<(T, SourceLocation)>;

/// What the calls of one script have set so far.
#[derive(Default)]
pub(crate) struct Collected {
    pub(crate) health: Call<Health>,
    pub(crate) cells: Call<Cells>,
    pub(crate) lease: Call<ControlSettings>,
    pub(crate) readmission: Call<readmission::Options>,
    first_error: Option<OperatorFileError>,
}

thread_local! {
    static COLLECTED: RefCell<Collected> = RefCell::default();
}

/// Records an error, unless there was one before.
pub(crate) fn record_error(error: OperatorFileError) {
    COLLECTED.with_borrow_mut(|collected| {
        collected.first_error.get_or_insert(error);
    });
}

/// Records what a call sets. A second call is an error that names both places.
pub(crate) fn set_once<T>(
    function: &str,
    value: T,
    call: SourceLocation,
    slot: impl Fn(&mut Collected) -> &mut Call<T>,
) {
    COLLECTED.with_borrow_mut(|collected| match slot(collected) {
        empty @ None => *empty = Some((value, call)),
        Some((_, first)) => {
            let fault = format!(
                "is set already, at {}:{}; remove one of the two calls",
                first.file, first.line
            );
            let error = call.error(SettingError::new(function.to_owned(), fault));
            collected.first_error.get_or_insert(error);
        }
    });
}

/// Removes the values that the script's calls have set from the thread-local, checks them and returns them. `result` is
/// the result of the script's evaluation: its error is returned unless a call has recorded one.
pub(crate) fn take(
    result: Result<(), OperatorFileError>,
    path: &Path,
    folder: &Path,
) -> Result<Evaluated, OperatorFileError> {
    let collected = COLLECTED.take();
    if let Some(error) = collected.first_error {
        return Err(error);
    }
    result?;
    let mut evaluated = Evaluated {
        file: path.display().to_string(),
        ..Evaluated::default()
    };
    collected.check(&mut evaluated, folder)?;
    Ok(evaluated)
}

impl Collected {
    /// Checks each call by itself, and resolves paths relative to the file's folder.
    fn check(self, evaluated: &mut Evaluated, folder: &Path) -> Result<(), OperatorFileError> {
        let operator = &mut evaluated.operator;
        if let Some((health, call)) = self.health {
            health
                .check()
                .map_err(|error| call.error(under_health_key(error)))?;
            operator.health = Some(health);
            evaluated.health_at = Some(call);
        }
        if let Some((mut cells, call)) = self.cells {
            cells
                .rules()
                .map_err(|error| call.error(error.under_key("cells")))?;
            cells.placement = folder.join(&cells.placement);
            operator.cells = Some(cells);
        }
        if let Some((mut lease, call)) = self.lease {
            lease
                .check()
                .map_err(|fault| call.error(fault.under_key("lease")))?;
            if !lease.client {
                lease.store = folder.join(&lease.store);
            }
            operator.lease = Some(lease);
            evaluated.lease_at = Some(call);
        }
        if let Some((options, call)) = self.readmission {
            options
                .check()
                .map_err(|error| call.error(error.under_key("readmission")))?;
            operator.readmission = Some(options);
        }
        Ok(())
    }
}

/// Converts a span of a script to a location, whose lines and columns count from 1.
pub(crate) fn location_of(span: &FileSpan) -> SourceLocation {
    let resolved = span.resolve();
    SourceLocation {
        file: resolved.file,
        text: span.source_span().to_owned(),
        line: resolved.span.begin.line + 1,
        column: resolved.span.begin.column + 1,
    }
}

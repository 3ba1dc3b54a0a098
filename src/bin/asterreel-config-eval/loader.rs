//! Reads and evaluates an operator's file and the files that it loads, within bounds on their size and effort.

use crate::collected::{location_of, record_error};
use crate::functions::globals;
use crate::nesting::{line_beyond_max_depth, MAX_EXPRESSION_DEPTH};
use asterreel::operator::OperatorFileError;
use starlark::environment::{FrozenModule, Globals, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::syntax::{AstModule, Dialect};
use std::cell::RefCell;
use std::io;
use std::path::{Component, Path, PathBuf};
use std::time::Instant;

// A file of some hundred lines uses a hundredth of each bound.

/// The longest file that is read.
const MAX_FILE_BYTES: u64 = 64 * 1024;
/// The most nested calls.
const MAX_CALL_DEPTH: usize = 50;
/// The most loop iterations and calls in total, as Starlark's ticks count them.
const MAX_TICKS: u64 = 1_000_000;
/// The most memory of one file's values.
const MAX_HEAP_BYTES: usize = 16 * 1024 * 1024;
/// The most files of which each loads the next.
const MAX_LOAD_DEPTH: usize = 8;

/// Evaluates files below one folder until a deadline.
pub(crate) struct Loader {
    globals: Globals,
    folder: PathBuf,
    deadline: Instant,
    /// The files being evaluated, each loaded by the previous one.
    loading: RefCell<Vec<PathBuf>>,
}

impl Loader {
    pub(crate) fn new(folder: &Path, deadline: Instant) -> Loader {
        Loader {
            globals: globals(),
            folder: folder.to_owned(),
            deadline,
            loading: RefCell::default(),
        }
    }

    /// Evaluates the operator's file; its calls record what they set by [`crate::collected`].
    pub(crate) fn evaluate_file(&self, path: &Path) -> Result<(), OperatorFileError> {
        self.run(path).map(drop)
    }

    fn run(&self, path: &Path) -> Result<FrozenModule, OperatorFileError> {
        let name = path.display().to_string();
        self.enter(path, &name)?;
        let text = read_bounded(path, &name)?;
        let with_location = |error: starlark::Error| located(&name, &error);
        let script = AstModule::parse(&name, text, &Dialect::Standard).map_err(with_location)?;
        let module = self.evaluate_module(script);
        self.loading.borrow_mut().pop();
        module.map_err(with_location)
    }

    /// Records that a file is being evaluated. [`Loader::run`] removes it afterwards; after an error that does not
    /// matter, as it ends the whole evaluation.
    fn enter(&self, path: &Path, name: &str) -> Result<(), OperatorFileError> {
        let real = path
            .canonicalize()
            .map_err(|error| unreadable(name, &error))?;
        let mut loading = self.loading.borrow_mut();
        if loading.contains(&real) {
            return Err(OperatorFileError::of_file(
                name,
                "loads itself, directly or by another file; remove that load()",
            ));
        }
        if loading.len() >= MAX_LOAD_DEPTH {
            let fault = format!("is loaded by a chain of more than {MAX_LOAD_DEPTH} files; load it from an earlier file");
            return Err(OperatorFileError::of_file(name, fault));
        }
        loading.push(real);
        Ok(())
    }

    fn evaluate_module(&self, script: AstModule) -> starlark::Result<FrozenModule> {
        Module::with_temp_heap(|module| {
            {
                let mut evaluator = Evaluator::new(&module);
                evaluator
                    .set_max_callstack_size(MAX_CALL_DEPTH)
                    .and_then(|()| evaluator.set_max_tick_count(MAX_TICKS))
                    .and_then(|()| evaluator.set_max_heap_size(MAX_HEAP_BYTES))
                    .map_err(starlark::Error::new_other)?;
                let deadline = self.deadline;
                evaluator.set_check_cancelled(Box::new(move || Instant::now() >= deadline));
                evaluator.set_loader(self);
                evaluator.eval_module(script, &self.globals)?;
            }
            module
                .freeze()
                .map_err(|error| starlark::Error::new_other(anyhow::anyhow!("{error:?}")))
        })
    }

    /// The path of a file to load, if it is below the folder, also after symbolic links are resolved.
    fn path_below_folder(&self, path: &str) -> Result<PathBuf, String> {
        let is_plain = Path::new(path)
            .components()
            .all(|part| matches!(part, Component::Normal(_)));
        if !is_plain || path.is_empty() {
            return Err("only files below the folder of the operator's file are loaded".into());
        }
        let full = self.folder.join(path);
        let real = full.canonicalize().map_err(|error| error.to_string())?;
        let is_below = self
            .folder
            .canonicalize()
            .is_ok_and(|folder| real.starts_with(folder));
        if !is_below {
            return Err("a symbolic link leads out of the folder of the operator's file".into());
        }
        Ok(full)
    }
}

impl FileLoader for Loader {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let full = self.path_below_folder(path).map_err(|fault| {
            starlark::Error::new_other(anyhow::anyhow!("load({path:?}): {fault}"))
        })?;
        self.run(&full).map_err(|error| {
            let text = error.to_string();
            record_error(error);
            starlark::Error::new_other(anyhow::anyhow!("{text}"))
        })
    }
}

/// The text of a file, unless it is too long or nested too deeply to parse.
fn read_bounded(path: &Path, name: &str) -> Result<String, OperatorFileError> {
    let size = std::fs::metadata(path)
        .map_err(|error| unreadable(name, &error))?
        .len();
    if size > MAX_FILE_BYTES {
        let fault = format!(
            "{size} bytes are more than {MAX_FILE_BYTES}; move parts of it to files that it loads"
        );
        return Err(OperatorFileError::of_file(name, fault));
    }
    let text = std::fs::read_to_string(path).map_err(|error| unreadable(name, &error))?;
    if let Some(line) = line_beyond_max_depth(&text) {
        let fault = format!(
            "brackets, operators or elif branches go deeper than {MAX_EXPRESSION_DEPTH}; divide the expression or function"
        );
        return Err(OperatorFileError {
            at: Some((line, 1)),
            ..OperatorFileError::of_file(name, fault)
        });
    }
    Ok(text)
}

fn unreadable(name: &str, error: &io::Error) -> OperatorFileError {
    OperatorFileError::of_file(name, format!("cannot be read: {error}"))
}

/// Converts an error of the parser or the evaluation, with its location. Only the first line of its text is kept, without
/// the quoted source.
fn located(name: &str, error: &starlark::Error) -> OperatorFileError {
    let location = error.span().map(location_of);
    let text = error.without_diagnostic().to_string();
    let fault = text.lines().next().unwrap_or("error");
    let Some(location) = location else {
        return OperatorFileError::of_file(name, fault);
    };
    OperatorFileError {
        at: Some((location.line, location.column)),
        ..OperatorFileError::of_file(location.file, fault)
    }
}

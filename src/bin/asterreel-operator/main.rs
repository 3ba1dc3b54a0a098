//! Evaluates an operator's file, and says on standard output what it sets or what is wrong with it.
//!
//! A program of its own, which the gateway starts: the evaluator takes memory that a gateway without such a file, or past
//! its start, must not hold, and whatever a file does to it ends no gateway. Evaluation has no effect but its result: no
//! files beside those that it loads from its own folder, no clock, no network, and bounds on steps, heap, call depth and
//! time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use asterreel::cells::quarantine;
use asterreel::health::drain::{Balancer, Drain};
use asterreel::health::Knobs;
use asterreel::operator::{
    qualified, Agent, CellBounds, Cells, Evaluated, Health, Lease, Listener, OperatorFileError,
    Peer, Reply, SettingError, SourceLocation,
};
use asterreel::readmission;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value as Json};
use starlark::codemap::FileSpan;
use starlark::environment::{FrozenModule, Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::{Evaluator, FileLoader};
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::dict::DictRef;
use starlark::values::{Heap, Value};
use std::cell::RefCell;
use std::io::Write;
use std::path::{Component, Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// The longest file, calls within calls, loops and calls in all, heap, time, files that load one another, and levels
/// of an expression. Ours: a file of some hundred lines uses a hundredth of each.
const LONGEST: u64 = 64 * 1024;
const CALL_DEPTH: usize = 50;
const STEPS: u64 = 1_000_000;
const HEAP: usize = 16 * 1024 * 1024;
const LOAD_DEPTH: usize = 8;
const DEEPEST: usize = 200;
/// The stack of the thread that evaluates; the parser and compiler recurse as deep as an expression does.
const STACK: usize = 64 * 1024 * 1024;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let (Some(path), within) = (arguments.next(), arguments.next()) else {
        eprintln!(
            "asterreel-operator FILE [MILLISECONDS]: started by asterreel, to evaluate an operator's file"
        );
        return ExitCode::from(2);
    };
    let within = within
        .and_then(|text| text.to_str().and_then(|text| text.parse().ok()))
        .unwrap_or(5_000);
    let deadline = Instant::now() + Duration::from_millis(within);
    let path = PathBuf::from(path);
    let file = path.display().to_string();
    let bad = |fault: String| OperatorFileError {
        file: file.clone(),
        at: None,
        key: None,
        fault,
    };
    // The main thread's stack is the system's to choose.
    let thread = std::thread::Builder::new()
        .stack_size(STACK)
        .spawn(move || evaluate(&path, deadline));
    let result = match thread {
        Ok(thread) => thread
            .join()
            .unwrap_or_else(|_| Err(bad("the evaluation broke off".into()))),
        Err(error) => Err(bad(error.to_string())),
    };
    let reply = Reply {
        version: env!("CARGO_PKG_VERSION").into(),
        result,
    };
    let text = serde_json::to_string(&reply).unwrap_or_default();
    match writeln!(std::io::stdout(), "{text}") {
        Ok(()) if reply.result.is_ok() => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// What a script's calls leave behind; one script at a time is evaluated on a thread.
#[derive(Default)]
struct Collected {
    health: Option<(Health, SourceLocation)>,
    cells: Option<(Cells, SourceLocation)>,
    lease: Option<(Lease, SourceLocation)>,
    readmission: Option<(readmission::Knobs, SourceLocation)>,
    /// The first fault that one of our functions found: an error of the evaluation would lose the key.
    fault: Option<OperatorFileError>,
}

thread_local! {
    static COLLECTED: RefCell<Collected> = RefCell::default();
}

fn evaluate(path: &Path, deadline: Instant) -> Result<Evaluated, OperatorFileError> {
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let loader = Loader {
        globals: globals(),
        folder: folder.to_owned(),
        deadline,
        under_way: RefCell::default(),
    };
    let result = loader.run(path, path.display().to_string()).map(drop);
    let collected = COLLECTED.take();
    if let Some(fault) = collected.fault {
        return Err(fault);
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
    /// Checks each call by itself, and gives what the file sets with paths below its folder.
    fn check(self, evaluated: &mut Evaluated, folder: &Path) -> Result<(), OperatorFileError> {
        let operator = &mut evaluated.operator;
        if let Some((health, call)) = self.health {
            health
                .check()
                .map_err(|error| call.error(qualified(error)))?;
            operator.health = Some(health);
            evaluated.health_at = Some(call);
        }
        if let Some((mut cells, call)) = self.cells {
            cells
                .rules()
                .map_err(|error| call.error(error.below("cells")))?;
            cells.placement = folder.join(&cells.placement);
            operator.cells = Some(cells);
        }
        if let Some((mut lease, call)) = self.lease {
            lease
                .check()
                .map_err(|fault| call.error(SettingError::from(fault).below("lease")))?;
            if !lease.client {
                lease.store = folder.join(&lease.store);
            }
            operator.lease = Some(lease);
            evaluated.lease_at = Some(call);
        }
        if let Some((knobs, call)) = self.readmission {
            knobs
                .check()
                .map_err(|fault| call.error(SettingError::from(fault).below("readmission")))?;
            operator.readmission = Some(knobs);
        }
        Ok(())
    }
}

fn place_of(span: &FileSpan) -> SourceLocation {
    let resolved = span.resolve();
    SourceLocation {
        file: resolved.file,
        text: span.source_span().to_owned(),
        line: resolved.span.begin.line + 1,
        column: resolved.span.begin.column + 1,
    }
}

/// Keeps the first fault.
fn note(fault: OperatorFileError) {
    COLLECTED.with_borrow_mut(|collected| {
        collected.fault.get_or_insert(fault);
    });
}

struct Loader {
    globals: Globals,
    folder: PathBuf,
    deadline: Instant,
    under_way: RefCell<Vec<PathBuf>>,
}

impl Loader {
    fn run(&self, path: &Path, name: String) -> Result<FrozenModule, OperatorFileError> {
        let bad = |fault: String| OperatorFileError {
            file: name.clone(),
            at: None,
            key: None,
            fault,
        };
        let unreadable = |error: std::io::Error| bad(format!("cannot be read: {error}"));
        let real = path.canonicalize().map_err(unreadable)?;
        {
            let mut under_way = self.under_way.borrow_mut();
            if under_way.contains(&real) {
                return Err(bad("loads itself".into()));
            }
            if under_way.len() >= LOAD_DEPTH {
                return Err(bad(format!("loads go deeper than {LOAD_DEPTH} files")));
            }
            under_way.push(real);
        }
        let size = std::fs::metadata(path).map_err(unreadable)?.len();
        if size > LONGEST {
            return Err(bad(format!("{size} bytes are more than {LONGEST}")));
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        if let Some(line) = too_deep(&text) {
            let fault = format!("brackets and operators go deeper than {DEEPEST}");
            return Err(OperatorFileError {
                at: Some((line, 1)),
                ..bad(fault)
            });
        }
        let from = |error: starlark::Error| described(&name, &error);
        let ast = AstModule::parse(&name, text, &Dialect::Standard).map_err(from)?;
        let module = Module::with_temp_heap(|module| {
            {
                let mut evaluator = Evaluator::new(&module);
                let bounds = evaluator.set_max_callstack_size(CALL_DEPTH);
                let bounds = bounds.and_then(|()| evaluator.set_max_tick_count(STEPS));
                bounds
                    .and_then(|()| evaluator.set_max_heap_size(HEAP))
                    .map_err(starlark::Error::new_other)?;
                let deadline = self.deadline;
                evaluator.set_check_cancelled(Box::new(move || Instant::now() >= deadline));
                evaluator.set_loader(self);
                evaluator.eval_module(ast, &self.globals)?;
            }
            module
                .freeze()
                .map_err(|error| starlark::Error::new_other(anyhow::anyhow!("{error:?}")))
        });
        self.under_way.borrow_mut().pop();
        module.map_err(from)
    }
}

/// The line where an expression gets too deep: brackets within brackets and operators on one another, whichever way
/// they lean. The parser and the compiler recurse along them, and a stack that overflows ends the process. Counts too
/// much rather than too little: each operator since the last comma as a level, in all that it stands in.
fn too_deep(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    // The level at each open bracket, and of what comes next.
    let (mut open, mut level, mut elifs) = (Vec::new(), 0usize, 0usize);
    let (mut at, mut line) = (0, 1);
    while at < bytes.len() {
        let rest = &bytes[at..];
        let mut used = 1;
        match rest[0] {
            b'\n' => {
                line += 1;
                level = if open.is_empty() { 0 } else { level };
            }
            b'#' => {
                used = rest
                    .iter()
                    .position(|byte| *byte == b'\n')
                    .unwrap_or(rest.len())
            }
            quote @ (b'"' | b'\'') => {
                let end: &[u8] = if rest.starts_with(&[quote; 3]) {
                    &[quote; 3]
                } else {
                    &[quote]
                };
                used = end.len();
                while used < rest.len() && !rest[used..].starts_with(end) {
                    line += usize::from(rest[used] == b'\n');
                    used += if rest[used] == b'\\' { 2 } else { 1 };
                }
                used = (used + end.len()).min(rest.len());
            }
            b'(' | b'[' | b'{' => {
                open.push(level);
                level += 1;
            }
            b')' | b']' | b'}' => level = open.pop().map_or(0, |level| level + 1),
            b',' => level = open.last().map_or(0, |level| level + 1),
            b'+' | b'-' | b'*' | b'/' | b'%' | b'|' | b'&' | b'^' | b'~' | b'.' | b'<' | b'>'
            | b'=' | b'!' => level += 1,
            byte if byte.is_ascii_alphabetic() || byte == b'_' => {
                let word = |byte: &u8| byte.is_ascii_alphanumeric() || *byte == b'_';
                used = rest
                    .iter()
                    .position(|byte| !word(byte))
                    .unwrap_or(rest.len());
                match &rest[..used] {
                    b"not" | b"and" | b"or" | b"in" | b"if" | b"else" | b"for" | b"lambda" => {
                        level += 1
                    }
                    b"elif" => elifs += 1,
                    _ => {}
                }
            }
            _ => {}
        }
        if level > DEEPEST || elifs > DEEPEST {
            return Some(line);
        }
        at += used;
    }
    None
}

fn described(name: &str, error: &starlark::Error) -> OperatorFileError {
    let place = error.span().map(place_of);
    let fault = error.without_diagnostic().to_string();
    let fault = fault.lines().next().unwrap_or("error").to_owned();
    OperatorFileError {
        file: place
            .as_ref()
            .map_or_else(|| name.to_owned(), |place| place.file.clone()),
        at: place.map(|place| (place.line, place.column)),
        key: None,
        fault,
    }
}

impl FileLoader for Loader {
    fn load(&self, path: &str) -> starlark::Result<FrozenModule> {
        let refuse =
            |why: &str| starlark::Error::new_other(anyhow::anyhow!("load({path:?}): {why}"));
        let plain = Path::new(path)
            .components()
            .all(|part| matches!(part, Component::Normal(_)));
        if !plain || path.is_empty() {
            return Err(refuse(
                "only files below the folder of the operator's file are loaded",
            ));
        }
        let full = self.folder.join(path);
        // A link may lead out of the folder.
        let inside = |real: &Path| {
            self.folder
                .canonicalize()
                .is_ok_and(|folder| real.starts_with(folder))
        };
        match full.canonicalize() {
            Ok(real) if !inside(&real) => return Err(refuse("it leads out of the folder")),
            Ok(_) => {}
            Err(error) => return Err(refuse(&error.to_string())),
        }
        self.run(&full, full.display().to_string())
            .map_err(|fault| {
                let text = fault.to_string();
                note(fault);
                starlark::Error::new_other(anyhow::anyhow!("{text}"))
            })
    }
}

fn globals() -> Globals {
    GlobalsBuilder::extended_by(&[LibraryExtension::StructType, LibraryExtension::Print])
        .with(functions)
        .build()
}

/// Checks the arguments of a call against the type that they are for.
fn checked<T: DeserializeOwned>(
    what: &str,
    arguments: &DictRef,
    evaluator: &Evaluator,
) -> anyhow::Result<(T, Map<String, Json>, SourceLocation)> {
    let place = evaluator
        .call_stack_top_location()
        .map(|span| place_of(&span));
    let place = place.unwrap_or(SourceLocation {
        file: "?".into(),
        text: String::new(),
        line: 0,
        column: 0,
    });
    let fail = |key: &str, fault: &str| {
        let key = if key.is_empty() || key == "." {
            what.to_owned()
        } else {
            format!("{what}.{key}")
        };
        let fault = place.error(SettingError::new(key, fault));
        let text = fault.to_string();
        note(fault);
        anyhow::anyhow!("{text}")
    };
    let mut map = Map::new();
    for (name, value) in arguments.iter() {
        let name = name.unpack_str().unwrap_or("?");
        let value = value
            .to_json_value()
            .map_err(|_| fail(name, "is not plain data"))?;
        // What is left out and what is None are the same.
        if !value.is_null() {
            map.insert(name.to_owned(), value);
        }
    }
    let typed = serde_path_to_error::deserialize(Json::Object(map.clone())).map_err(|error| {
        let (path, fault) = (error.path().to_string(), error.inner().to_string());
        let unknown = fault
            .strip_prefix("unknown field `")
            .and_then(|rest| rest.split('`').next());
        let missing = fault
            .strip_prefix("missing field `")
            .and_then(|rest| rest.split('`').next());
        let key = unknown.or(missing).unwrap_or(&path);
        fail(key, &fault)
    })?;
    Ok((typed, map, place))
}

/// A part that another call takes: its arguments, checked, as a dictionary.
fn part<'v, T: DeserializeOwned>(
    what: &str,
    arguments: &DictRef<'v>,
    evaluator: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<Value<'v>> {
    let (_, map, _) = checked::<T>(what, arguments, evaluator)?;
    let heap: Heap<'v> = evaluator.heap();
    Ok(heap.alloc(Json::Object(map)))
}

/// Keeps what is set once; set twice, it is a fault that names both places.
fn once<T>(
    what: &str,
    value: T,
    place: SourceLocation,
    slot: impl Fn(&mut Collected) -> &mut Option<(T, SourceLocation)>,
) {
    COLLECTED.with_borrow_mut(|collected| match slot(collected) {
        empty @ None => *empty = Some((value, place)),
        Some((_, first)) => {
            let fault = place.error(SettingError::new(
                what,
                format!("is set already, at {}:{}", first.file, first.line),
            ));
            collected.fault.get_or_insert(fault);
        }
    });
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    /// Where a front listens.
    fn listener<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<Listener>("listener", &arguments, eval)
    }

    /// The front of agent-check.
    fn agent<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<Agent>("agent", &arguments, eval)
    }

    /// How balancers check.
    fn balancer<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<Balancer>("balancer", &arguments, eval)
    }

    /// The drain.
    fn drain<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<Drain>("drain", &arguments, eval)
    }

    /// The decisions.
    fn knobs<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<Knobs>("knobs", &arguments, eval)
    }

    /// Health for balancers; called once at most.
    fn health<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (health, _, place) = checked::<Health>("health", &arguments, eval)?;
        once("health", health, place, |collected| &mut collected.health);
        Ok(Value::new_none())
    }

    /// What a cell may hold.
    fn bounds<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<CellBounds>("bounds", &arguments, eval)
    }

    /// What is poison.
    fn quarantine<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<quarantine::Knobs>("quarantine", &arguments, eval)
    }

    /// A control member, or a gateway that the control members serve.
    fn peer<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        part::<Peer>("peer", &arguments, eval)
    }

    /// The fleet's control plane, and this gateway's part in it; called once at most.
    fn lease<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (lease, _, place) = checked::<Lease>("lease", &arguments, eval)?;
        once("lease", lease, place, |collected| &mut collected.lease);
        Ok(Value::new_none())
    }

    /// How many clients may come back at once; called once at most.
    fn readmission<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (knobs, _, place) = checked::<readmission::Knobs>("readmission", &arguments, eval)?;
        once("readmission", knobs, place, |collected| {
            &mut collected.readmission
        });
        Ok(Value::new_none())
    }

    /// Cells; called once at most.
    fn cells<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (cells, _, place) = checked::<Cells>("cells", &arguments, eval)?;
        once("cells", cells, place, |collected| &mut collected.cells);
        Ok(Value::new_none())
    }
}

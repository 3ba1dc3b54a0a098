//! The functions that an operator's file may call, and the conversion of their arguments to checked types.
//!
//! A function that makes a part (`listener`, `agent`, ...) checks its arguments and returns them as a dictionary, which is
//! passed to the function that the part belongs to. The other functions record what they set.

use crate::collected::{location_of, record_error, set_once};
use asterreel::cells::quarantine;
use asterreel::health::drain::{Balancer, Drain};
use asterreel::health::HealthOptions;
use asterreel::operator::{
    Agent, CellBounds, Cells, ControlSettings, Health, Listener, Peer, SettingError, SourceLocation,
};
use asterreel::readmission;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value as Json};
use starlark::environment::{Globals, GlobalsBuilder, LibraryExtension};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::dict::DictRef;
use starlark::values::{Heap, Value};

/// What scripts may use: Starlark's standard functions, `struct`, `print`, and the functions below.
pub(crate) fn globals() -> Globals {
    GlobalsBuilder::extended_by(&[LibraryExtension::StructType, LibraryExtension::Print])
        .with(functions)
        .build()
}

/// The error of an argument that is a function, for example.
const NOT_PLAIN_DATA: &str =
    "cannot be converted to JSON; use numbers, strings, booleans, lists and dictionaries";

/// A call of a function, with its name and location for errors.
struct FunctionCall<'a> {
    function: &'a str,
    location: SourceLocation,
}

impl FunctionCall<'_> {
    /// The call that the evaluator is executing.
    fn current<'a>(function: &'a str, evaluator: &Evaluator) -> FunctionCall<'a> {
        let span = evaluator.call_stack_top_location();
        let location = span.map(|span| location_of(&span));
        FunctionCall {
            function,
            location: location.unwrap_or(SourceLocation {
                file: "?".into(),
                text: String::new(),
                line: 0,
                column: 0,
            }),
        }
    }

    /// Records an error of an argument, or of the call itself, and ends the evaluation.
    fn error(&self, argument: &str, fault: &str) -> anyhow::Error {
        let key = if argument.is_empty() || argument == "." {
            self.function.to_owned()
        } else {
            format!("{}.{argument}", self.function)
        };
        let error = self.location.error(SettingError::new(key, fault));
        let text = error.to_string();
        record_error(error);
        anyhow::anyhow!("{text}")
    }

    /// Converts the arguments to JSON, without those that are None.
    fn json(&self, arguments: &DictRef) -> anyhow::Result<Map<String, Json>> {
        let mut map = Map::new();
        for (name, value) in arguments.iter() {
            let name = name.unpack_str().unwrap_or("?");
            let value = value
                .to_json_value()
                .map_err(|_| self.error(name, NOT_PLAIN_DATA))?;
            if !value.is_null() {
                map.insert(name.to_owned(), value);
            }
        }
        Ok(map)
    }

    /// Converts the arguments to the settings of this type.
    fn typed<T: DeserializeOwned>(&self, arguments: Map<String, Json>) -> anyhow::Result<T> {
        serde_path_to_error::deserialize(Json::Object(arguments)).map_err(|error| {
            let (path, fault) = (error.path().to_string(), error.inner().to_string());
            let field = quoted_after(&fault, "unknown field `")
                .or_else(|| quoted_after(&fault, "missing field `"));
            self.error(field.unwrap_or(&path), &fault)
        })
    }
}

/// The name that follows this beginning of a text, up to the closing backquote.
fn quoted_after<'a>(text: &'a str, beginning: &str) -> Option<&'a str> {
    text.strip_prefix(beginning)?.split('`').next()
}

/// Converts the arguments of the current call to the settings of this type; returns them with the call's location.
fn parse<T: DeserializeOwned>(
    function: &str,
    arguments: &DictRef,
    evaluator: &Evaluator,
) -> anyhow::Result<(T, SourceLocation)> {
    let call = FunctionCall::current(function, evaluator);
    let json = call.json(arguments)?;
    let typed = call.typed(json)?;
    Ok((typed, call.location))
}

/// Checks the arguments of a function that makes a part against their type, and returns them as a dictionary.
fn checked_dictionary<'v, T: DeserializeOwned>(
    function: &str,
    arguments: &DictRef<'v>,
    evaluator: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<Value<'v>> {
    let call = FunctionCall::current(function, evaluator);
    let json = call.json(arguments)?;
    call.typed::<T>(json.clone())?;
    let heap: Heap<'v> = evaluator.heap();
    Ok(heap.alloc(Json::Object(json)))
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    /// A listener of health checks.
    fn listener<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<Listener>("listener", &arguments, eval)
    }

    /// The listener of HAProxy's agent-check.
    fn agent<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<Agent>("agent", &arguments, eval)
    }

    /// The interval, timeout and fall of the balancers' checks.
    fn balancer<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<Balancer>("balancer", &arguments, eval)
    }

    /// The phases of a drain.
    fn drain<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<Drain>("drain", &arguments, eval)
    }

    /// The options of health decisions.
    fn knobs<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<HealthOptions>("knobs", &arguments, eval)
    }

    /// Health reports for balancers; called at most once.
    fn health<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (health, call) = parse::<Health>("health", &arguments, eval)?;
        set_once("health", health, call, |collected| &mut collected.health);
        Ok(Value::new_none())
    }

    /// How much of this gateway the requests of a cell may use at a time.
    fn bounds<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<CellBounds>("bounds", &arguments, eval)
    }

    /// When statements that crash members are quarantined.
    fn quarantine<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<quarantine::QuarantineOptions>("quarantine", &arguments, eval)
    }

    /// A control member (voter), or a gateway that the control members serve.
    fn peer<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        checked_dictionary::<Peer>("peer", &arguments, eval)
    }

    /// The fleet's control plane, and this gateway's role in it; called at most once.
    fn lease<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (lease, call) = parse::<ControlSettings>("lease", &arguments, eval)?;
        set_once("lease", lease, call, |collected| &mut collected.lease);
        Ok(Value::new_none())
    }

    /// How many clients may reconnect at once; called at most once.
    fn readmission<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (options, call) = parse::<readmission::Options>("readmission", &arguments, eval)?;
        set_once("readmission", options, call, |collected| {
            &mut collected.readmission
        });
        Ok(Value::new_none())
    }

    /// Which tenants may reach which groups; called at most once.
    fn cells<'v>(
        #[starlark(kwargs)] arguments: DictRef<'v>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<Value<'v>> {
        let (cells, call) = parse::<Cells>("cells", &arguments, eval)?;
        set_once("cells", cells, call, |collected| &mut collected.cells);
        Ok(Value::new_none())
    }
}

//! Health over HTTP/1.1, for balancers and orchestrators (RFC 9110, RFC 9112).
//!
//! The headers are those that Envoy's health checking reads (`x-envoy-degraded`,
//! `x-envoy-immediate-health-check-fail`) and the load report of ORCA (`endpoint-load-metrics`, JSON form); the body
//! of `/health` is `application/health+json` (draft-inadarei-api-health-check). No input or output.

use super::{Capacity, Reason, Scope, State, Status};
use crate::interface::GroupId;
use serde_json::{json, Value};

/// The longest head of a request that is taken in.
pub const LONGEST: usize = 4096;
const HEADERS: usize = 32;

/// A status code for a request that can't be served as it is; its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused(pub u16);

/// A request whose head is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its method; only GET and HEAD are served.
    pub method: String,
    /// Its path, without a query.
    pub path: String,
    /// The connection may be used again.
    pub keep_alive: bool,
    /// The bytes it took.
    pub length: usize,
}

/// The first request of the bytes, once its head is there as a whole.
///
/// # Errors
///
/// [`Refused`], with the status to answer with.
pub fn request(bytes: &[u8]) -> Result<Option<Request>, Refused> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= LONGEST => length,
        Ok(httparse::Status::Partial) if bytes.len() < LONGEST => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Refused(431)),
        Err(httparse::Error::Version) => return Err(Refused(505)),
        Err(_) => return Err(Refused(400)),
    };
    let named = |name: &str| -> Vec<&[u8]> {
        let found = parsed
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.trim_ascii()).collect()
    };
    // A body would be read as the next request.
    if !named("transfer-encoding").is_empty()
        || named("content-length").iter().any(|length| *length != b"0")
    {
        return Err(Refused(413));
    }
    let newer = parsed.version == Some(1);
    if newer && named("host").len() != 1 {
        return Err(Refused(400));
    }
    let says = |word: &[u8]| {
        let tokens = named("connection");
        let mut tokens = tokens
            .iter()
            .flat_map(|value| value.split(|byte| *byte == b','));
        tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(word))
    };
    let keep_alive = if newer {
        !says(b"close")
    } else {
        says(b"keep-alive")
    };
    let target = parsed.path.unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default();
    if !path.starts_with('/') {
        return Err(Refused(400));
    }
    let method = parsed.method.unwrap_or_default().to_owned();
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        keep_alive,
        length,
    }))
}

/// What the endpoints tell from.
pub struct Facts {
    /// The gateway's name.
    pub name: String,
    /// The version of the program.
    pub version: &'static str,
    /// All that is told.
    pub statuses: Vec<(Scope, Status)>,
    /// The room taken.
    pub capacity: Capacity,
    /// How often balancers should come again, seconds.
    pub retry_after: u64,
    /// Whether the start is over.
    pub started: bool,
    /// Facts by group: attempts in flight, requests held, usable members, all members.
    pub groups: Vec<(GroupId, [u32; 4])>,
}

impl Facts {
    fn status(&self, scope: Scope) -> Option<Status> {
        self.statuses
            .iter()
            .find(|(told, _)| *told == scope)
            .map(|(_, status)| *status)
    }
}

/// The answer to a request, and whether its connection ends with it.
pub fn answer(request: &Result<Request, Refused>, facts: &Facts) -> (Vec<u8>, bool) {
    let request = match request {
        Ok(request) => request,
        Err(Refused(code)) => {
            return (
                write(*code, &[], "text/plain", "", Some(false), false),
                true,
            )
        }
    };
    let keep = Some(request.keep_alive);
    let head = request.method == "HEAD";
    if !head && request.method != "GET" {
        let allow = [("allow", "GET, HEAD".to_owned())];
        return (
            write(405, &allow, "text/plain", "", keep, false),
            !request.keep_alive,
        );
    }
    let gateway = facts.status(Scope::Gateway);
    let group = request
        .path
        .strip_prefix("/health/groups/")
        .map(|rest| rest.parse().map(GroupId));
    let (status, good) = match (request.path.as_str(), &group) {
        // A process that drains is alive; to end it for that would lose what it owes.
        ("/livez", _) => (
            gateway,
            gateway.is_none_or(|status| status.state != State::Hung),
        ),
        ("/startupz", _) => (gateway, facts.started),
        ("/readyz" | "/health", _) => (gateway, gateway.is_some_and(|status| status.ready())),
        (_, Some(Ok(group))) if facts.status(Scope::Group(*group)).is_some() => {
            let status = facts.status(Scope::Group(*group));
            (status, status.is_some_and(|status| status.ready()))
        }
        _ => {
            return (
                write(404, &[], "text/plain", "not found\n", keep, head),
                !request.keep_alive,
            )
        }
    };
    let mut headers = Vec::new();
    if let Some(status) = status {
        if !good {
            headers.push(("retry-after", facts.retry_after.to_string()));
        }
        if status.state == State::Degraded {
            headers.push(("x-envoy-degraded", "true".to_owned()));
        }
        if matches!(
            status.state,
            State::Draining | State::Stopping | State::Hung
        ) {
            headers.push(("x-envoy-immediate-health-check-fail", "true".to_owned()));
        }
        headers.push((
            "endpoint-load-metrics",
            load_report(status, &facts.capacity),
        ));
        headers.push(("x-asterreel-weight", status.weight.to_string()));
    }
    let (kind, body) = match (request.path.as_str(), &group) {
        ("/health", _) => ("application/health+json", gateway_body(facts)),
        (_, Some(Ok(id))) => {
            let body = status
                .map(|status| group_body(facts, *id, status))
                .unwrap_or_default();
            ("application/health+json", body)
        }
        _ => (
            "text/plain",
            status.map_or(String::new(), |status| format!("{}\n", plain(status))),
        ),
    };
    let code = if good { 200 } else { 503 };
    (
        write(code, &headers, kind, &body, keep, head),
        !request.keep_alive,
    )
}

fn plain(status: Status) -> String {
    let state = json!(status.state);
    format!(
        "{} {} {}",
        state.as_str().unwrap_or("?"),
        status.weight,
        status.reason.word()
    )
}

/// ORCA's report: utilization of the application as this gateway sees it, and its weight as a named metric.
fn load_report(status: Status, capacity: &Capacity) -> String {
    let used = capacity.utilization().clamp(0.0, 1.0);
    let report = json!({
        "application_utilization": used,
        "named_metrics": {"weight": f64::from(status.weight) / f64::from(super::FULL)},
    });
    format!("JSON {report}")
}

fn check_status(status: Status) -> &'static str {
    match status.state {
        State::Up => "pass",
        State::Degraded if status.weight > 0 => "warn",
        _ => "fail",
    }
}

fn entry(status: Status) -> Value {
    json!({"status": check_status(status), "state": status.state, "weight": status.weight, "reason": status.reason})
}

fn group_value(facts: &Facts, id: GroupId, status: Status) -> Value {
    let mut value = entry(status);
    if let Some((_, [in_flight, held, usable, members])) =
        facts.groups.iter().find(|(group, _)| *group == id)
    {
        value["in_flight"] = json!(in_flight);
        value["held"] = json!(held);
        value["usable_members"] = json!(usable);
        value["members"] = json!(members);
    }
    value
}

fn group_body(facts: &Facts, id: GroupId, status: Status) -> String {
    group_value(facts, id, status).to_string()
}

fn gateway_body(facts: &Facts) -> String {
    let gateway = facts.status(Scope::Gateway);
    let gateway = gateway.unwrap_or(Status {
        state: State::Starting,
        weight: 0,
        reason: Reason::Start,
    });
    let mut value = entry(gateway);
    value["serviceId"] = json!(facts.name);
    value["version"] = json!(facts.version);
    value["room"] = json!(facts.capacity);
    let checks: serde_json::Map<String, Value> = facts
        .statuses
        .iter()
        .filter_map(|(scope, status)| match scope {
            Scope::Group(id) => Some((
                format!("group:{}", id.0),
                json!([group_value(facts, *id, *status)]),
            )),
            Scope::Gateway => None,
        })
        .collect();
    value["checks"] = Value::Object(checks);
    value.to_string()
}

fn write(
    code: u16,
    headers: &[(&str, String)],
    kind: &str,
    body: &str,
    keep: Option<bool>,
    head: bool,
) -> Vec<u8> {
    let phrase = match code {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    };
    let connection = if keep == Some(true) {
        "keep-alive"
    } else {
        "close"
    };
    let mut out = format!(
        "HTTP/1.1 {code} {phrase}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nCache-Control: no-store\r\nConnection: {connection}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    if !head {
        out.push_str(body);
    }
    out.into_bytes()
}

#[cfg(test)]
mod tests;

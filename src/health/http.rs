//! Health over HTTP/1.1, for balancers and orchestrators (RFC 9110, RFC 9112).
//!
//! The headers are those that Envoy's health checking reads (`x-envoy-degraded`,
//! `x-envoy-immediate-health-check-fail`) and the load report of ORCA (`endpoint-load-metrics`, JSON form); the body
//! of `/health` is `application/health+json` (draft-inadarei-api-health-check). No input or output.

use super::{Capacity, GroupReport, Reason, Scope, State, Status};
use crate::interface::GroupId;
use serde_json::{json, Value};

/// The longest head of a request that is taken in.
pub const MAX_HEAD_BYTES: usize = 4096;
const MAX_HEADERS: usize = 32;
const PLAIN_TEXT: &str = "text/plain";

/// A status code for a request that can't be served as it is; its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub u16);

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
/// [`Rejected`], with the status to answer with.
pub fn parse_request(bytes: &[u8]) -> Result<Option<Request>, Rejected> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length <= MAX_HEAD_BYTES => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Rejected(431)),
        Err(httparse::Error::Version) => return Err(Rejected(505)),
        Err(_) => return Err(Rejected(400)),
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
        return Err(Rejected(413));
    }
    let newer = parsed.version == Some(1);
    if newer && named("host").len() != 1 {
        return Err(Rejected(400));
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
        return Err(Rejected(400));
    }
    let method = parsed.method.unwrap_or_default().to_owned();
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        keep_alive,
        length,
    }))
}

/// What answers are made from.
pub struct Facts {
    /// The gateway's name.
    pub name: String,
    /// The version of the program.
    pub version: &'static str,
    /// The status of each scope.
    pub statuses: Vec<(Scope, Status)>,
    /// The capacity in use.
    pub capacity: Capacity,
    /// The `Retry-After` of answers that are not good, seconds.
    pub retry_after: u64,
    /// Whether the start is over.
    pub started: bool,
    /// Counts of each group.
    pub groups: Vec<GroupReport>,
}

impl Facts {
    fn status(&self, scope: Scope) -> Option<Status> {
        self.statuses
            .iter()
            .find(|(known, _)| *known == scope)
            .map(|(_, status)| *status)
    }
}

/// The answer to a request, and whether its connection ends with it.
pub fn answer(request: &Result<Request, Rejected>, facts: &Facts) -> (Vec<u8>, bool) {
    let request = match request {
        Ok(request) => request,
        Err(Rejected(code)) => {
            let bytes = write(*code, &[], PLAIN_TEXT, "", Some(false), false);
            return (bytes, true);
        }
    };
    let keep = Some(request.keep_alive);
    let head = request.method == "HEAD";
    let bytes = if !head && request.method != "GET" {
        let allow = [("allow", "GET, HEAD".to_owned())];
        write(405, &allow, PLAIN_TEXT, "", keep, false)
    } else if let Some(resource) = Resource::at(&request.path, facts) {
        let code = if resource.good { 200 } else { 503 };
        let headers = status_headers(&resource, facts);
        let (kind, body) = (resource.content_type(), resource.body(facts));
        write(code, &headers, kind, &body, keep, head)
    } else {
        write(404, &[], PLAIN_TEXT, "not found\n", keep, head)
    };
    (bytes, !request.keep_alive)
}

/// The form in which a path tells its status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// One line of text.
    Line,
    /// The gateway and all its groups, as JSON.
    Gateway,
    /// One group, as JSON.
    Group(GroupId),
}

/// What a path tells about, and whether that is good.
struct Resource {
    form: Form,
    status: Option<Status>,
    good: bool,
}

impl Resource {
    /// The resource at `path`, if there is one.
    fn at(path: &str, facts: &Facts) -> Option<Resource> {
        if let Some(number) = path.strip_prefix("/health/groups/") {
            let id = GroupId(number.parse().ok()?);
            let status = facts.status(Scope::Group(id))?;
            return Some(Resource {
                form: Form::Group(id),
                status: Some(status),
                good: status.ready(),
            });
        }
        let status = facts.status(Scope::Gateway);
        let ready = status.is_some_and(|status| status.ready());
        let (form, good) = match path {
            // A process that drains is alive; to end it for that would lose what it owes.
            "/livez" => (
                Form::Line,
                status.is_none_or(|status| status.state != State::Hung),
            ),
            "/startupz" => (Form::Line, facts.started),
            "/readyz" => (Form::Line, ready),
            "/health" => (Form::Gateway, ready),
            _ => return None,
        };
        Some(Resource { form, status, good })
    }

    fn content_type(&self) -> &'static str {
        match self.form {
            Form::Line => PLAIN_TEXT,
            Form::Gateway | Form::Group(_) => "application/health+json",
        }
    }

    fn body(&self, facts: &Facts) -> String {
        match (self.form, self.status) {
            (Form::Gateway, _) => gateway_body(facts),
            (Form::Group(id), Some(status)) => group_body(facts, id, status),
            (Form::Line, Some(status)) => format!("{}\n", plain(status)),
            (Form::Group(_) | Form::Line, None) => String::new(),
        }
    }
}

/// The headers by which balancers read a status.
fn status_headers(resource: &Resource, facts: &Facts) -> Vec<(&'static str, String)> {
    let Some(status) = resource.status else {
        return Vec::new();
    };
    let mut headers = Vec::new();
    if !resource.good {
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
    headers
}

fn plain(status: Status) -> String {
    let state = json!(status.state);
    format!(
        "{} {} {}",
        state.as_str().unwrap_or("?"),
        status.weight,
        status.reason.code()
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
    if let Some(counts) = facts.groups.iter().find(|counts| counts.group == id) {
        value["in_flight"] = json!(counts.in_flight);
        value["held"] = json!(counts.queued);
        value["usable_members"] = json!(counts.usable);
        value["members"] = json!(counts.members);
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

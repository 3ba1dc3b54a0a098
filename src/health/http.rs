//! Health endpoints over HTTP/1.1, for balancers and orchestrators (RFC 9110, RFC 9112).
//!
//! The response headers are those that Envoy's health checking reads (`x-envoy-degraded`,
//! `x-envoy-immediate-health-check-fail`) and the load report of ORCA (`endpoint-load-metrics`, JSON form); the body
//! of `/health` is `application/health+json` (draft-inadarei-api-health-check). This module does no I/O.

use super::{Capacity, GroupReport, Reason, Scope, State, Status};
use crate::interface::GroupId;
use serde_json::{json, Value};

/// The longest request head that is accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 4096;
const MAX_HEADERS: usize = 32;
const PLAIN_TEXT: &str = "text/plain";

/// The status code for a request that is invalid or too large; the connection is closed after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub u16);

/// A request whose head has been read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method; only GET and HEAD are served.
    pub method: String,
    /// The path, without a query.
    pub path: String,
    /// Whether the client keeps the connection open for another request.
    pub keep_alive: bool,
    /// The length of the head, in bytes.
    pub length: usize,
}

/// Parses the first request in `bytes`; `None` until its head is complete.
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
    let header_values = |name: &str| -> Vec<&[u8]> {
        let found = parsed
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.trim_ascii()).collect()
    };
    // Bodies are not read, so a body would be parsed as the next request.
    if !header_values("transfer-encoding").is_empty()
        || header_values("content-length")
            .iter()
            .any(|length| *length != b"0")
    {
        return Err(Rejected(413));
    }
    let is_http_1_1 = parsed.version == Some(1);
    if is_http_1_1 && header_values("host").len() != 1 {
        return Err(Rejected(400));
    }
    let connection_has = |option: &[u8]| {
        let tokens = header_values("connection");
        let mut tokens = tokens
            .iter()
            .flat_map(|value| value.split(|byte| *byte == b','));
        tokens.any(|token| token.trim_ascii().eq_ignore_ascii_case(option))
    };
    let keep_alive = if is_http_1_1 {
        !connection_has(b"close")
    } else {
        connection_has(b"keep-alive")
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

/// The state of the gateway that answers are made from.
pub struct Snapshot {
    /// The gateway's name.
    pub name: String,
    /// The version of the program.
    pub version: &'static str,
    /// The status of each scope.
    pub statuses: Vec<(Scope, Status)>,
    /// The capacity in use.
    pub capacity: Capacity,
    /// The `Retry-After` of answers with status 503, seconds.
    pub retry_after: u64,
    /// Whether the gateway has left the state [`State::Starting`].
    pub started: bool,
    /// The latest counts of each group.
    pub groups: Vec<GroupReport>,
}

impl Snapshot {
    fn status(&self, scope: Scope) -> Option<Status> {
        self.statuses
            .iter()
            .find(|(known, _)| *known == scope)
            .map(|(_, status)| *status)
    }
}

/// The answer to a request, and whether the connection is closed after it.
pub fn answer(request: &Result<Request, Rejected>, snapshot: &Snapshot) -> (Vec<u8>, bool) {
    let request = match request {
        Ok(request) => request,
        Err(Rejected(code)) => {
            let bytes = encode_response(*code, &[], PLAIN_TEXT, "", Some(false), false);
            return (bytes, true);
        }
    };
    let keep_alive = Some(request.keep_alive);
    let head_only = request.method == "HEAD";
    let bytes = if !head_only && request.method != "GET" {
        let allow = [("allow", "GET, HEAD".to_owned())];
        encode_response(405, &allow, PLAIN_TEXT, "", keep_alive, false)
    } else if let Some(resource) = Resource::for_path(&request.path, snapshot) {
        let code = if resource.healthy { 200 } else { 503 };
        let headers = status_headers(&resource, snapshot);
        let (content_type, body) = (resource.content_type(), resource.body(snapshot));
        encode_response(code, &headers, content_type, &body, keep_alive, head_only)
    } else {
        encode_response(404, &[], PLAIN_TEXT, "not found\n", keep_alive, head_only)
    };
    (bytes, !request.keep_alive)
}

/// The body format of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFormat {
    /// One line of text.
    Line,
    /// The gateway and all its groups, as JSON.
    Gateway,
    /// One group, as JSON.
    Group(GroupId),
}

/// The status that a path reports, and whether the answer is 200 (healthy) or 503.
struct Resource {
    format: BodyFormat,
    status: Option<Status>,
    healthy: bool,
}

impl Resource {
    /// The resource at `path`, if there is one.
    fn for_path(path: &str, snapshot: &Snapshot) -> Option<Resource> {
        if let Some(number) = path.strip_prefix("/health/groups/") {
            let id = GroupId(number.parse().ok()?);
            let status = snapshot.status(Scope::Group(id))?;
            return Some(Resource {
                format: BodyFormat::Group(id),
                status: Some(status),
                healthy: status.ready(),
            });
        }
        let status = snapshot.status(Scope::Gateway);
        let ready = status.is_some_and(|status| status.ready());
        let (format, healthy) = match path {
            // A draining process is alive: if the orchestrator killed it, the requests in flight would be lost.
            "/livez" => (
                BodyFormat::Line,
                status.is_none_or(|status| status.state != State::Hung),
            ),
            "/startupz" => (BodyFormat::Line, snapshot.started),
            "/readyz" => (BodyFormat::Line, ready),
            "/health" => (BodyFormat::Gateway, ready),
            _ => return None,
        };
        Some(Resource {
            format,
            status,
            healthy,
        })
    }

    fn content_type(&self) -> &'static str {
        match self.format {
            BodyFormat::Line => PLAIN_TEXT,
            BodyFormat::Gateway | BodyFormat::Group(_) => "application/health+json",
        }
    }

    fn body(&self, snapshot: &Snapshot) -> String {
        match (self.format, self.status) {
            (BodyFormat::Gateway, _) => gateway_body(snapshot),
            (BodyFormat::Group(id), Some(status)) => group_body(snapshot, id, status),
            (BodyFormat::Line, Some(status)) => format!("{}\n", status_line(status)),
            (BodyFormat::Group(_) | BodyFormat::Line, None) => String::new(),
        }
    }
}

/// The headers from which balancers read the status.
fn status_headers(resource: &Resource, snapshot: &Snapshot) -> Vec<(&'static str, String)> {
    let Some(status) = resource.status else {
        return Vec::new();
    };
    let mut headers = Vec::new();
    if !resource.healthy {
        headers.push(("retry-after", snapshot.retry_after.to_string()));
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
        load_report(status, &snapshot.capacity),
    ));
    headers.push(("x-asterreel-weight", status.weight.to_string()));
    headers
}

fn status_line(status: Status) -> String {
    let state = json!(status.state);
    format!(
        "{} {} {}",
        state.as_str().unwrap_or("?"),
        status.weight,
        status.reason.code()
    )
}

/// The ORCA load report: the gateway's utilization as that of the application, and its weight as a named metric.
fn load_report(status: Status, capacity: &Capacity) -> String {
    let utilization = capacity.utilization().clamp(0.0, 1.0);
    let report = json!({
        "application_utilization": utilization,
        "named_metrics": {"weight": f64::from(status.weight) / f64::from(super::MAX_WEIGHT)},
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

fn status_value(status: Status) -> Value {
    json!({"status": check_status(status), "state": status.state, "weight": status.weight, "reason": status.reason})
}

fn group_value(snapshot: &Snapshot, id: GroupId, status: Status) -> Value {
    let mut value = status_value(status);
    if let Some(counts) = snapshot.groups.iter().find(|counts| counts.group == id) {
        value["in_flight"] = json!(counts.in_flight);
        value["held"] = json!(counts.queued);
        value["usable_members"] = json!(counts.usable);
        value["members"] = json!(counts.members);
    }
    value
}

fn group_body(snapshot: &Snapshot, id: GroupId, status: Status) -> String {
    group_value(snapshot, id, status).to_string()
}

fn gateway_body(snapshot: &Snapshot) -> String {
    let gateway = snapshot.status(Scope::Gateway);
    let gateway = gateway.unwrap_or(Status {
        state: State::Starting,
        weight: 0,
        reason: Reason::Start,
    });
    let mut value = status_value(gateway);
    value["serviceId"] = json!(snapshot.name);
    value["version"] = json!(snapshot.version);
    value["room"] = json!(snapshot.capacity);
    let checks: serde_json::Map<String, Value> = snapshot
        .statuses
        .iter()
        .filter_map(|(scope, status)| match scope {
            Scope::Group(id) => Some((
                format!("group:{}", id.0),
                json!([group_value(snapshot, *id, *status)]),
            )),
            Scope::Gateway => None,
        })
        .collect();
    value["checks"] = Value::Object(checks);
    value.to_string()
}

fn encode_response(
    code: u16,
    headers: &[(&str, String)],
    content_type: &str,
    body: &str,
    keep_alive: Option<bool>,
    head_only: bool,
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
    let connection = if keep_alive == Some(true) {
        "keep-alive"
    } else {
        "close"
    };
    let mut out = format!(
        "HTTP/1.1 {code} {phrase}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nCache-Control: no-store\r\nConnection: {connection}\r\n",
        body.len()
    );
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    if !head_only {
        out.push_str(body);
    }
    out.into_bytes()
}

#[cfg(test)]
mod tests;

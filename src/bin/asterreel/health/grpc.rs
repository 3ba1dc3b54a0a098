//! Serves the gRPC health checking protocol, `Check` and `Watch`, over HTTP/2.

use super::client::HealthClient;
use asterreel::health::grpc::{self, Response, ServingStatus};
use asterreel::health::Scope;
use bytes::Bytes;
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the handshake may take, and how long reading one request may take.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Concurrent streams of one connection.
const MAX_STREAMS: u32 = 8;
/// The flow-control window of a connection and of each stream, in bytes; larger than any valid request.
const WINDOW_BYTES: u32 = 16 * 1024;

// gRPC status codes.
const OK: &str = "0";
const INVALID_ARGUMENT: &str = "3";
const NOT_FOUND: &str = "5";
const UNIMPLEMENTED: &str = "12";

/// Serves one connection.
pub(super) async fn serve(client: &HealthClient, stream: TcpStream) -> io::Result<()> {
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(4096)
        .max_frame_size(WINDOW_BYTES)
        .max_concurrent_reset_streams(MAX_STREAMS as usize)
        .max_send_buffer_size(WINDOW_BYTES as usize);
    let handshake = timeout(CHECK_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let mut connection = handshake
        .map_err(|_| io::ErrorKind::TimedOut)?
        .map_err(io::Error::other)?;
    let mut calls = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            request = connection.accept() => match request {
                Some(request) => {
                    let (request, respond) = request.map_err(io::Error::other)?;
                    client.touch();
                    let shared = client.shared.clone();
                    calls.spawn_local(async move { handle_call(&shared, request, respond).await });
                }
                None => return Ok(()),
            },
            Some(_) = calls.join_next() => {}
        }
    }
}

async fn handle_call(
    shared: &super::Shared,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let watch = match request.uri().path() {
        "/grpc.health.v1.Health/Check" => false,
        "/grpc.health.v1.Health/Watch" => true,
        _ => return send_trailers_only(&mut respond, UNIMPLEMENTED),
    };
    let read = timeout(CHECK_TIMEOUT, read_request(request.into_body())).await;
    let Some(request) = read.unwrap_or(None) else {
        return send_trailers_only(&mut respond, INVALID_ARGUMENT);
    };
    let scope = grpc::service_scope(&request.service);
    let current_status =
        || grpc::serving_status(scope.and_then(|scope: Scope| shared.status(scope)));
    if !watch && current_status() == ServingStatus::ServiceUnknown {
        return send_trailers_only(&mut respond, NOT_FOUND);
    }
    let Ok(mut stream) = respond.send_response(response_head(None), false) else {
        return;
    };
    let mut changes = shared.changes.subscribe();
    let mut last = current_status();
    if send_status(&mut stream, last).is_err() {
        return;
    }
    if watch {
        // Ends when the client resets the stream or the program ends.
        loop {
            let reset = std::future::poll_fn(|context| stream.poll_reset(context));
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { break },
                _ = reset => return,
            }
            let now = current_status();
            if now == last {
                continue;
            }
            last = now;
            // Changes are not buffered for a client that does not read: its stream is reset.
            if stream.capacity() == 0 || send_status(&mut stream, now).is_err() {
                stream.send_reset(Reason::ENHANCE_YOUR_CALM);
                return;
            }
        }
    }
    let _ = stream.send_trailers(trailers(OK));
}

fn send_status(stream: &mut SendStream<Bytes>, status: ServingStatus) -> Result<(), h2::Error> {
    let frame = grpc::encode_frame(&Response {
        status: status as i32,
    });
    // Reserves capacity for the next message too; when it is missing then, the client does not read.
    stream.reserve_capacity(frame.len() * 2);
    stream.send_data(frame.into(), false)
}

async fn read_request(mut stream: RecvStream) -> Option<grpc::Request> {
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.ok()?;
        if bytes.len() + chunk.len() > grpc::MAX_REQUEST_BYTES {
            return None;
        }
        bytes.extend_from_slice(&chunk);
        stream.flow_control().release_capacity(chunk.len()).ok()?;
        if let Some(request) = grpc::decode_request(&bytes).ok()? {
            return Some(request);
        }
    }
    None
}

fn response_head(code: Option<&'static str>) -> http::Response<()> {
    let mut head = http::Response::new(());
    head.headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    if let Some(code) = code {
        head.headers_mut()
            .insert("grpc-status", HeaderValue::from_static(code));
    }
    head
}

fn trailers(code: &'static str) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", HeaderValue::from_static(code));
    map
}

/// Sends a gRPC response without a message, in the trailers-only form.
fn send_trailers_only(respond: &mut SendResponse<Bytes>, code: &'static str) {
    let _ = respond.send_response(response_head(Some(code)), true);
}

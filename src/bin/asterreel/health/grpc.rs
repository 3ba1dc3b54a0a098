//! gRPC health v1 over HTTP/2: Check and Watch.

use super::client::HealthClient;
use asterreel::health::grpc::{self, Response, Serving};
use asterreel::health::Scope;
use bytes::Bytes;
use h2::server::{Builder, SendResponse};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a handshake and one check may take.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Streams of one connection at once.
const STREAMS: u32 = 8;
/// The window of one connection: no request is longer.
const WINDOW: u32 = 16 * 1024;

/// gRPC's status codes that are used here.
const OK: &str = "0";
const INVALID: &str = "3";
const NOT_FOUND: &str = "5";
const UNIMPLEMENTED: &str = "12";

/// Serves one connection.
pub(super) async fn serve(client: &HealthClient, stream: TcpStream) -> io::Result<()> {
    let mut builder = Builder::new();
    builder
        .max_concurrent_streams(STREAMS)
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .max_header_list_size(4096)
        .max_frame_size(WINDOW)
        .max_concurrent_reset_streams(STREAMS as usize)
        .max_send_buffer_size(WINDOW as usize);
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
                    calls.spawn_local(async move { call(&shared, request, respond).await });
                }
                None => return Ok(()),
            },
            Some(_) = calls.join_next() => {}
        }
    }
}

async fn call(
    shared: &super::Shared,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let watch = match request.uri().path() {
        "/grpc.health.v1.Health/Check" => false,
        "/grpc.health.v1.Health/Watch" => true,
        _ => return only_status(&mut respond, UNIMPLEMENTED),
    };
    let read = timeout(CHECK_TIMEOUT, body(request.into_body())).await;
    let Some(asked) = read.unwrap_or(None) else {
        return only_status(&mut respond, INVALID);
    };
    let scope = grpc::scope(&asked.service);
    let serving = || grpc::serving(scope.and_then(|scope: Scope| shared.status(scope)));
    if !watch && serving() == Serving::ServiceUnknown {
        return only_status(&mut respond, NOT_FOUND);
    }
    let Ok(mut stream) = respond.send_response(head(None), false) else {
        return;
    };
    let mut changes = shared.changes.subscribe();
    let mut last = serving();
    if send(&mut stream, last).is_err() {
        return;
    }
    if watch {
        // Ends when the watcher goes, or the program does.
        loop {
            let gone = std::future::poll_fn(|context| stream.poll_reset(context));
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { break },
                _ = gone => return,
            }
            let now = serving();
            if now == last {
                continue;
            }
            last = now;
            // A watcher that reads nothing must not make this remember all that it missed.
            if stream.capacity() == 0 || send(&mut stream, now).is_err() {
                stream.send_reset(Reason::ENHANCE_YOUR_CALM);
                return;
            }
        }
    }
    let _ = stream.send_trailers(status(OK));
}

fn send(stream: &mut SendStream<Bytes>, serving: Serving) -> Result<(), h2::Error> {
    let frame = grpc::frame(&Response {
        status: serving as i32,
    });
    // Room for the next as well, whose lack shows a watcher that does not read.
    stream.reserve_capacity(frame.len() * 2);
    stream.send_data(frame.into(), false)
}

async fn body(mut stream: RecvStream) -> Option<grpc::Request> {
    let mut bytes = Vec::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.ok()?;
        if bytes.len() + chunk.len() > grpc::LONGEST {
            return None;
        }
        bytes.extend_from_slice(&chunk);
        stream.flow_control().release_capacity(chunk.len()).ok()?;
        if let Some(request) = grpc::request(&bytes).ok()? {
            return Some(request);
        }
    }
    None
}

fn head(code: Option<&'static str>) -> http::Response<()> {
    let mut head = http::Response::new(());
    head.headers_mut()
        .insert("content-type", HeaderValue::from_static("application/grpc"));
    if let Some(code) = code {
        head.headers_mut()
            .insert("grpc-status", HeaderValue::from_static(code));
    }
    head
}

fn status(code: &'static str) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert("grpc-status", HeaderValue::from_static(code));
    map
}

/// An answer without a message: gRPC's trailers-only form.
fn only_status(respond: &mut SendResponse<Bytes>, code: &'static str) {
    let _ = respond.send_response(head(Some(code)), true);
}

//! Rendering of responses as HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use redwinglatch_body::{BodySender, body_channel};
use redwinglatch_core::{Refusal, RunStatus};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{CallerEvent, CallerResponse, ServedBy};

pub(crate) type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Number of frames buffered between the source of a stream and its connection.
const STREAM_BUFFER_FRAMES: usize = 64;

#[derive(Serialize)]
struct ErrorDocument<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: &'a str,
    message: &'a str,
    ran: RunStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
    #[serde(skip_serializing_if = "<[SocketAddr]>::is_empty")]
    entries: &'a [SocketAddr],
    remedy: &'a str,
}

#[derive(Serialize)]
struct TokenDocument<'a> {
    index: u32,
    text: &'a str,
}

#[derive(Serialize)]
struct DoneDocument<'a> {
    done: bool,
    finish_reason: &'a str,
    tokens: u32,
}

/// Renders a response; a separate task writes the events of a stream.
pub(crate) fn render_response(
    response: CallerResponse,
    keep_alive: Duration,
    write_stall: Duration,
) -> Response<ResponseBody> {
    match response {
        CallerResponse::Entries(entries) => json_response(200, &entries),
        CallerResponse::Complete { served_by, status, content_type, body } => {
            let mut response = complete_response(status, &content_type, body);
            if let Some(served_by) = served_by {
                add_served_by_headers(&mut response, &served_by);
            }
            response
        }
        CallerResponse::Refused { refusal, entries } => refusal_response(&refusal, &entries),
        CallerResponse::Stream { served_by, events } => {
            let (sender, body) = body_channel(STREAM_BUFFER_FRAMES);
            tokio::spawn(write_events(events, sender, keep_alive, write_stall));
            let mut response = Response::new(body.map_err(std::io::Error::other).boxed());
            set_content_type(&mut response, "text/event-stream");
            add_served_by_headers(&mut response, &served_by);
            response
        }
    }
}

/// Renders a refusal as a JSON error document.
pub(crate) fn refusal_response(
    refusal: &Refusal,
    entries: &[SocketAddr],
) -> Response<ResponseBody> {
    let mut response =
        json_response(refusal.reason.http_status(), &error_document(refusal, entries));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(1000);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn error_document<'a>(refusal: &'a Refusal, entries: &'a [SocketAddr]) -> ErrorDocument<'a> {
    ErrorDocument {
        error: ErrorBody {
            code: refusal.reason.code(),
            message: &refusal.detail,
            ran: refusal.ran,
            retry_after_ms: refusal.retry_after_ms,
            entries,
            remedy: refusal.reason.remedy(),
        },
    }
}

fn json_response(status: u16, document: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(document).expect("documents have string keys only");
    complete_response(status, "application/json", Bytes::from(body))
}

fn complete_response(status: u16, content_type: &str, body: Bytes) -> Response<ResponseBody> {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    set_content_type(&mut response, content_type);
    response
}

fn set_content_type(response: &mut Response<ResponseBody>, content_type: &str) {
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
}

fn add_served_by_headers(response: &mut Response<ResponseBody>, served_by: &ServedBy) {
    let headers = response.headers_mut();
    if let Some(adapter) = &served_by.adapter {
        if let Ok(name) = HeaderValue::from_str(&adapter.adapter) {
            headers.insert("x-redwinglatch-adapter", name);
        }
        headers.insert("x-redwinglatch-version", HeaderValue::from(adapter.version));
    }
    if let Ok(backend) = HeaderValue::from_str(&served_by.backend.to_string()) {
        headers.insert("x-redwinglatch-backend", backend);
    }
}

/// Writes the events of a stream, which is complete only with its last one.
async fn write_events(
    mut events: mpsc::Receiver<CallerEvent>,
    sender: BodySender,
    keep_alive: Duration,
    write_stall: Duration,
) {
    let mut keep_alive_ticks = interval(keep_alive);
    keep_alive_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    keep_alive_ticks.reset();
    loop {
        let (frame, is_last) = tokio::select! {
            event = events.recv() => match event {
                Some(event) => render_event(&event),
                None => {
                    log::info!("callers: a stream breaks off; its source ended early");
                    return;
                }
            },
            _ = keep_alive_ticks.tick() => (Bytes::from_static(b": keep-alive\n\n"), false),
        };
        keep_alive_ticks.reset();
        match timeout(write_stall, sender.send(frame)).await {
            Ok(Ok(())) if is_last => return sender.finish(),
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                log::info!("callers: a stream breaks off; its caller stopped reading");
                return;
            }
        }
    }
}

fn render_event(event: &CallerEvent) -> (Bytes, bool) {
    match event {
        CallerEvent::Token { index, text } => {
            (event_frame(&TokenDocument { index: *index, text }), false)
        }
        CallerEvent::Done { finish_reason, tokens } => {
            (event_frame(&DoneDocument { done: true, finish_reason, tokens: *tokens }), true)
        }
        CallerEvent::Failed(refusal) => (event_frame(&error_document(refusal, &[])), true),
    }
}

fn event_frame(document: &impl Serialize) -> Bytes {
    let mut frame = b"data: ".to_vec();
    serde_json::to_writer(&mut frame, document).expect("documents have string keys only");
    frame.extend_from_slice(b"\n\n");
    Bytes::from(frame)
}

#[cfg(test)]
mod tests;

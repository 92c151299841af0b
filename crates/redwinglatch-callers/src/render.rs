//! From answers to HTTP responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use redwinglatch_core::{Refusal, RunStatus};
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::{CallerAnswer, CallerEvent, RanOn};

pub(crate) type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Frames buffered between the stream's source and the connection.
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

/// Renders an answer; streams are written by a task of their own.
pub(crate) fn render_answer(
    answer: CallerAnswer,
    keep_alive: Duration,
    write_stall: Duration,
) -> Response<ResponseBody> {
    match answer {
        CallerAnswer::Entries(entries) => json_response(200, &entries),
        CallerAnswer::Whole { ran_on, status, content_type, body } => {
            let mut response = whole_response(status, &content_type, body);
            if let Some(ran_on) = ran_on {
                add_ran_on(&mut response, &ran_on);
            }
            response
        }
        CallerAnswer::Refused { refusal, entries } => refusal_response(&refusal, &entries),
        CallerAnswer::Stream { ran_on, events } => {
            let (sender, body) = Channel::new(STREAM_BUFFER_FRAMES);
            tokio::spawn(write_events(events, sender, keep_alive, write_stall));
            let mut response = Response::new(body.boxed());
            set_content_type(&mut response, "text/event-stream");
            add_ran_on(&mut response, &ran_on);
            response
        }
    }
}

/// Renders a refusal as the typed JSON error.
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
    whole_response(status, "application/json", Bytes::from(body))
}

fn whole_response(status: u16, content_type: &str, body: Bytes) -> Response<ResponseBody> {
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

fn add_ran_on(response: &mut Response<ResponseBody>, ran_on: &RanOn) {
    let headers = response.headers_mut();
    if let Some(adapter) = &ran_on.adapter {
        if let Ok(name) = HeaderValue::from_str(&adapter.adapter) {
            headers.insert("x-redwinglatch-adapter", name);
        }
        headers.insert("x-redwinglatch-version", HeaderValue::from(adapter.version));
    }
    if let Ok(backend) = HeaderValue::from_str(&ran_on.backend.to_string()) {
        headers.insert("x-redwinglatch-backend", backend);
    }
}

async fn write_events(
    mut events: mpsc::Receiver<CallerEvent>,
    mut sender: http_body_util::channel::Sender<Bytes, std::io::Error>,
    keep_alive: Duration,
    write_stall: Duration,
) {
    let mut ticks = interval(keep_alive);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.reset();
    loop {
        let (frame, last) = tokio::select! {
            event = events.recv() => match event {
                Some(event) => render_event(&event),
                // The source ended without a last event; an aborted body tells the caller so.
                None => break sender.abort(std::io::Error::other("stream ended early")),
            },
            _ = ticks.tick() => (Bytes::from_static(b": keep-alive\n\n"), false),
        };
        ticks.reset();
        match timeout(write_stall, sender.send(Frame::data(frame))).await {
            Ok(Ok(())) if !last => {}
            Ok(_) => break,
            Err(_) => break sender.abort(std::io::Error::other("caller stopped reading")),
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

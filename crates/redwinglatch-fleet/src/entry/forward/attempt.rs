//! One attempt of a request at one backend server.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HeaderValue},
};
use tokio::time::Instant;

use crate::{
    entry::{App, in_flight::InFlight, placing::PlaceGuard, refusal::whole, view::Chosen},
    http::{Body, ConnectionLease, SendError},
    message::FleetMessage,
};

use super::{Prepared, headers};

/// The largest answer of a plain service; it is read as a whole before any of it is passed on.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The rank of the most urgent requests at an engine; lower numbers are left free.
const FIRST_PRIORITY: u8 = 2;
/// The last rank that engines know.
const LAST_PRIORITY: u8 = 9;

/// One attempt.
pub(crate) struct Attempt<'a> {
    pub(crate) app: &'a Arc<App>,
    pub(crate) prepared: &'a Prepared,
    pub(crate) chosen: &'a Chosen,
    /// The place that the coordinator holds for the request.
    pub(crate) place: Option<PlaceGuard>,
    /// The last event that the caller has, if the stream goes on elsewhere.
    pub(crate) last_event_id: Option<HeaderValue>,
}

/// How an attempt ended.
pub(crate) enum Outcome {
    /// The whole answer.
    Answer(Response<Body>),
    /// The head of a stream.
    Stream(StartedStream),
    /// Nothing was sent.
    NotSent,
    /// The server says that the request did not run.
    NotRun,
    /// The request may have run, and there is no usable answer.
    MaybeRan,
}

/// A stream whose head has arrived.
pub(crate) struct StartedStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) lease: ConnectionLease,
    pub(crate) in_flight: InFlight,
}

impl Attempt<'_> {
    /// Sends the request and reads the answer, or its head if it is a stream.
    pub(crate) async fn send(mut self) -> Outcome {
        let place = self.place.take();
        let Attempt { app, prepared, chosen, .. } = self;
        let in_flight = InFlight::start(app, chosen.key, prepared.model.clone(), place);
        let request = self.request();
        let (response, lease) = match app.client.send(chosen.address, request).await {
            Ok(answer) => answer,
            Err(error) => {
                self.log_failure(&error.to_string());
                app.view().failed(app.now_ms(), chosen.key);
                if matches!(error, SendError::NotSent { .. }) {
                    app.client.close_idle(chosen.address);
                    return Outcome::NotSent;
                }
                return Outcome::MaybeRan;
            }
        };
        let names = &app.dialect.headers;
        let (parts, body) = response.into_parts();
        if !self.is_own_answer(&parts.headers) {
            self.log_failure("the answer belongs to another request");
            return Outcome::MaybeRan;
        }
        if parts.headers.contains_key(&names.not_run)
            || parts.status == StatusCode::MISDIRECTED_REQUEST
        {
            self.refused(parts.status);
            drain(body, lease).await;
            return Outcome::NotRun;
        }
        app.view().answered(chosen.key);
        let is_success = parts.status.is_success();
        let stamped = parts.headers.contains_key(&names.response_stamp);
        if (is_success && !stamped) || parts.headers.contains_key(CONTENT_ENCODING) {
            self.log_failure("the answer is not the server's own");
            return Outcome::MaybeRan;
        }
        let headers = headers::for_caller(parts.headers);
        if is_success && prepared.route().kind.is_stream() {
            let status = parts.status;
            return Outcome::Stream(StartedStream { status, headers, body, lease, in_flight });
        }
        match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
            Ok(body) => {
                lease.reuse();
                let mut response = Response::new(whole(body.to_bytes()));
                *response.status_mut() = parts.status;
                *response.headers_mut() = headers;
                Outcome::Answer(response)
            }
            Err(error) => {
                self.log_failure(&format!("the answer broke off: {error}"));
                Outcome::MaybeRan
            }
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let Attempt { app, prepared, chosen, last_event_id, .. } = self;
        let names = &app.dialect.headers;
        let mut request = Request::new(Full::new(prepared.body.clone()));
        *request.method_mut() = prepared.method.clone();
        *request.uri_mut() = prepared.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&prepared.headers);
        let left = prepared.deadline.saturating_duration_since(Instant::now());
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(&names.deadline_ms, HeaderValue::from(left_ms));
        match HeaderValue::from_str(&chosen.id) {
            Ok(id) => drop(headers.insert(&names.expected_backend, id)),
            Err(error) => log::warn!("request: the server id {:?} is unusable: {error}", chosen.id),
        }
        if prepared.model.is_some() {
            let priority = FIRST_PRIORITY.saturating_add(prepared.route().priority);
            let priority = HeaderValue::from(u16::from(priority.min(LAST_PRIORITY)));
            headers.insert(&names.priority, priority);
        }
        if let Some(version) = chosen.version {
            headers.insert(&names.expected_version, HeaderValue::from(version));
        }
        if let Some(last) = last_event_id {
            headers.insert(&names.last_event_id, last.clone());
        }
        request
    }

    fn is_own_answer(&self, headers: &HeaderMap) -> bool {
        let echoed = headers.get(&self.app.dialect.headers.request_id);
        match (echoed, &self.prepared.request_id) {
            (Some(echoed), Some(id)) => echoed.as_bytes() == id.as_bytes(),
            _ => true,
        }
    }

    /// Learns from a refusal.
    fn refused(&self, status: StatusCode) {
        let Attempt { app, prepared, chosen, .. } = self;
        log::info!(
            "request: id={} backend={} refused={status} model={:?}",
            prepared.request_id.as_deref().unwrap_or("-"),
            chosen.id,
            prepared.model,
        );
        let mut view = app.view();
        if status != StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        match &prepared.model {
            Some(model) => {
                view.adapter_gone(chosen.key, model);
                let (engine, model) = (chosen.key, model.clone());
                view.send_coordinator(FleetMessage::ModelNotLoaded { engine, model });
            }
            None => view.replaced(app.now_ms(), chosen.key),
        }
    }

    fn log_failure(&self, reason: &str) {
        log::info!(
            "request: id={} backend={} failed: {reason}",
            self.prepared.request_id.as_deref().unwrap_or("-"),
            self.chosen.id,
        );
    }
}

/// Reads a short answer to its end, so that the connection can be used again.
async fn drain(body: Incoming, lease: ConnectionLease) {
    const MAX_REFUSAL_BYTES: usize = 64 << 10;
    if Limited::new(body, MAX_REFUSAL_BYTES).collect().await.is_ok() {
        lease.reuse();
    }
}

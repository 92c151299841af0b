//! One attempt to send a request to a backend server.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, CONTENT_TYPE, HeaderValue},
};
use redwinglatch_body::BufferError;
use tokio::time::timeout;

use crate::{
    brittle_services::BrittleService,
    entry::{
        EntryContext, fleet_view::SelectedBackend, in_flight::InFlight, placement::PlacementGuard,
    },
    http::{Body, BodyFraming, ConnectionLease, SendError, unavailable_for_ms},
    ids::SoftwareVersion,
    limited_servers::RequestLimit,
    message::FleetMessage,
};

use super::{PreparedRequest, headers};

/// Maximum size of a response that is not a stream; it is buffered before any of it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Time for which the rest of a rejection is awaited.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Engine priority of the most urgent requests; lower numbers stay unused.
const MOST_URGENT_PRIORITY: u8 = 2;
/// Lowest priority that engines know.
const LEAST_URGENT_PRIORITY: u8 = 9;

/// One attempt to send a request.
pub(crate) struct BackendAttempt<'a> {
    pub(crate) context: &'a Arc<EntryContext>,
    pub(crate) prepared: &'a PreparedRequest,
    pub(crate) selected: &'a SelectedBackend,
    /// The coordinator's placement of the request, if it made one.
    pub(crate) placement: Option<PlacementGuard>,
    /// The id of the last event that the caller received, if the attempt resumes a stream.
    pub(crate) last_event_id: Option<HeaderValue>,
}

/// Outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The complete response arrived.
    Response(Response<Body>),
    /// The head of a streamed response arrived.
    Stream(Box<StartedStream>),
    /// Nothing was sent.
    NotSent,
    /// The server states that it did not execute the request.
    NotRun,
    /// The request may have been executed, but there is no usable response.
    MaybeRan,
}

/// A stream whose head has arrived.
pub(crate) struct StartedStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Incoming,
    pub(crate) framing: BodyFraming,
    pub(crate) lease: ConnectionLease,
    pub(crate) in_flight: InFlight,
    /// The software version of the server.
    pub(crate) software: SoftwareVersion,
}

impl BackendAttempt<'_> {
    /// Sends the request and reads the response, or only its head if it is a stream.
    pub(crate) async fn send(mut self) -> AttemptOutcome {
        let placement = self.placement.take();
        let BackendAttempt { context, prepared, selected, .. } = self;
        let in_flight = InFlight::start(context, selected.key, prepared.model.clone(), placement);
        let request = self.request();
        let sent_ms = context.now_ms();
        context.fleet_view().record_sent(sent_ms, selected.key);
        if context.fleet_view().is_limited(selected.key) {
            context.metrics.record_limited_request();
        }
        let (response, lease) = match context.client.send(selected.address, request).await {
            Ok(response) => response,
            Err(error) => {
                self.log_failure(&error.to_string());
                let now_ms = context.now_ms();
                context.fleet_view().record_failure(now_ms, selected.key);
                match error {
                    SendError::NotSent { failure, .. } => {
                        context.metrics.record_backend_failure(failure.label());
                        context.fleet_view().record_connect_failure(now_ms, selected.key);
                        context.client.close_idle(selected.address);
                        return AttemptOutcome::NotSent;
                    }
                    SendError::MaybeSent { is_new, has_answered, .. } => {
                        context.metrics.record_backend_failure("no_response");
                        let mut view = context.fleet_view();
                        if has_answered {
                            view.record_heard(now_ms, selected.key);
                        }
                        match (is_new, has_answered) {
                            (true, true) => view.record_connected(now_ms, selected.key),
                            (true, false) => view.record_connect_failure(now_ms, selected.key),
                            (false, _) => {}
                        }
                        drop(view);
                        prepared.record_failure(context, selected.key, selected.address, 0);
                        return AttemptOutcome::MaybeRan;
                    }
                }
            }
        };
        {
            let now_ms = context.now_ms();
            let mut view = context.fleet_view();
            view.record_heard(now_ms, selected.key);
            if lease.is_new() {
                view.record_connected(now_ms, selected.key);
            }
        }
        let names = &context.dialect.headers;
        let (parts, body) = response.into_parts();
        self.record_announcements(parts.status, &parts.headers);
        self.record_request_limit(sent_ms, &parts.headers);
        self.record_brittleness(sent_ms, &parts.headers);
        if !self.has_own_request_id(&parts.headers) {
            self.log_failure("the response has the id of another request");
            return AttemptOutcome::MaybeRan;
        }
        let states_no_run = parts.headers.contains_key(&names.not_run)
            || parts.status == StatusCode::MISDIRECTED_REQUEST;
        // An answer that belongs to no request, or to another one, may carry no id.
        let has_id = prepared.request_id.is_none() || parts.headers.contains_key(&names.request_id);
        if states_no_run && !has_id && !prepared.route().kind.may_repeat() {
            self.log_failure(&format!("{} without the id of the request", parts.status));
            return AttemptOutcome::MaybeRan;
        }
        if states_no_run {
            self.record_rejection(parts.status);
            tokio::spawn(drain_body(body, lease));
            return AttemptOutcome::NotRun;
        }
        if !prepared.route().kind.may_repeat() && is_promise_of_no_run(parts.status) {
            self.log_failure(&format!(
                "{} doesn't state that the request wasn't run",
                parts.status
            ));
            return AttemptOutcome::MaybeRan;
        }
        let is_success = parts.status.is_success();
        let has_stamp = parts.headers.contains_key(&names.response_stamp);
        let is_unidentified = is_success && !(has_stamp && has_id);
        if is_unidentified || parts.headers.contains_key(CONTENT_ENCODING) {
            self.log_failure("the response has no stamp or id, or has a content encoding");
            return AttemptOutcome::MaybeRan;
        }
        let framing = BodyFraming::of(&parts.headers);
        let headers = headers::for_caller(parts.headers);
        if is_success && prepared.route().kind.is_stream() && may_be_event_stream(&headers) {
            let status = parts.status;
            context.fleet_view().record_response(selected.key);
            return AttemptOutcome::Stream(Box::new(StartedStream {
                status,
                headers,
                body,
                framing,
                lease,
                in_flight,
                software: selected.software,
            }));
        }
        match context.buffer_budget.read(body, MAX_RESPONSE_BYTES).await {
            Ok(body) => {
                lease.reuse();
                context.fleet_view().record_response(selected.key);
                if is_success {
                    prepared.record_completion(context);
                }
                let mut response = Response::new(body.map_err(|never| match never {}).boxed());
                *response.status_mut() = parts.status;
                *response.headers_mut() = headers;
                AttemptOutcome::Response(response)
            }
            Err(error) => {
                self.log_failure(&error.to_string());
                if !matches!(error, BufferError::NoRoom) {
                    context.fleet_view().record_failure(context.now_ms(), selected.key);
                }
                prepared.record_failure(context, selected.key, selected.address, 0);
                AttemptOutcome::MaybeRan
            }
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let BackendAttempt { context, prepared, selected, last_event_id, .. } = self;
        let names = &context.dialect.headers;
        let mut request = prepared.to_send(context);
        let headers = request.headers_mut();
        match HeaderValue::from_str(&selected.id) {
            Ok(id) => drop(headers.insert(&names.expected_backend, id)),
            Err(error) => {
                log::warn!("request: the server id {:?} is unusable: {error}", selected.id);
            }
        }
        if prepared.model.is_some() {
            let priority = MOST_URGENT_PRIORITY.saturating_add(prepared.priority());
            let priority = HeaderValue::from(u16::from(priority.min(LEAST_URGENT_PRIORITY)));
            headers.insert(&names.priority, priority);
        }
        if let Some(version) = selected.version {
            headers.insert(&names.expected_version, HeaderValue::from(version));
        }
        if let Some(last) = last_event_id {
            headers.insert(&names.last_event_id, last.clone());
        }
        request
    }

    /// Records what a response says of its server, whatever becomes of the request.
    fn record_announcements(&self, status: StatusCode, headers: &HeaderMap) {
        let BackendAttempt { context, selected, .. } = self;
        if context.dialect.headers.announce_stop(headers)
            && context.fleet_view().record_leaving(selected.key)
        {
            log::info!(
                "entry: server {} announced its stop and gets no more requests",
                selected.id
            );
        }
        if let Some(hold_ms) = unavailable_for_ms(status, headers) {
            context.fleet_view().record_hold(selected.key, context.now_ms() + hold_ms);
            log::info!("entry: server {} wants no requests for {hold_ms} ms", selected.id);
        }
    }

    /// Records the request limit that a response names, or that it names none.
    fn record_request_limit(&self, sent_ms: u64, headers: &HeaderMap) {
        let BackendAttempt { context, selected, .. } = self;
        let names = &context.dialect.headers;
        let named = match names.request_limit(headers) {
            Ok(named) => named,
            Err(value) => {
                log::warn!("entry: server {} names an unreadable limit {value:?}", selected.id);
                return;
            }
        };
        if named.is_none() && !self.is_from_run(headers) {
            return;
        }
        let now_ms = context.now_ms();
        let limit = RequestLimit { server: selected.key, rate: named };
        if context.fleet_view().record_request_limit(now_ms, sent_ms, limit) {
            match named {
                Some(rate) => {
                    log::info!("entry: server {} takes {rate} requests a second", selected.id);
                }
                None => log::info!("entry: server {} names no limit any more", selected.id),
            }
        }
    }

    /// Returns whether a response shows what its server no longer says. A rejection, or a response that belongs to
    /// no request, may leave it out.
    fn is_from_run(&self, headers: &HeaderMap) -> bool {
        let names = &self.context.dialect.headers;
        let has_id = self.prepared.request_id.is_none() || headers.contains_key(&names.request_id);
        has_id && headers.contains_key(&names.response_stamp)
    }

    /// Records whether a response says that its server falls over when it must turn requests away.
    fn record_brittleness(&self, sent_ms: u64, headers: &HeaderMap) {
        let BackendAttempt { context, prepared, selected, .. } = self;
        let named = context.dialect.headers.max_rejections_per_s(headers).unwrap_or_else(|value| {
            log::warn!("entry: server {} names unreadable rejections {value:?}", selected.id);
            Some(0)
        });
        if named.is_none() && !self.is_from_run(headers) {
            return;
        }
        let service = prepared.service.clone();
        let brittle = BrittleService { service, max_rejections_per_s: named };
        let now_ms = context.now_ms();
        if context.fleet_view().record_brittle_answer(now_ms, sent_ms, brittle) {
            match named {
                Some(rejections) => log::info!(
                    "entry: servers of {} fall over beyond {rejections} rejections a second",
                    prepared.service
                ),
                None => log::info!("entry: servers of {} are sound again", prepared.service),
            }
        }
    }

    fn has_own_request_id(&self, headers: &HeaderMap) -> bool {
        let response_id = headers.get(&self.context.dialect.headers.request_id);
        match (response_id, &self.prepared.request_id) {
            (Some(response_id), Some(id)) => response_id.as_bytes() == id.as_bytes(),
            _ => true,
        }
    }

    /// Logs a rejection and updates the view: status 421 means that the adapter is not loaded on the
    /// engine, or that another server has taken over the address.
    fn record_rejection(&self, status: StatusCode) {
        let BackendAttempt { context, prepared, selected, .. } = self;
        log::info!(
            "request: id={} backend={} refused={status} model={:?}",
            prepared.request_id.as_deref().unwrap_or("-"),
            selected.id,
            prepared.model,
        );
        let now_ms = context.now_ms();
        let mut view = context.fleet_view();
        if status != StatusCode::MISDIRECTED_REQUEST {
            return view.record_full(now_ms, selected.key);
        }
        match &prepared.model {
            Some(model) => {
                view.remove_model_location(selected.key, model);
                let (engine, model) = (selected.key, model.clone());
                view.send_to_coordinator(&FleetMessage::ModelNotLoaded { engine, model });
            }
            None => view.record_replacement(now_ms, selected.key),
        }
    }

    fn log_failure(&self, reason: &str) {
        log::info!(
            "request: id={} backend={} parts={} digest={:x} caller={} path_lost={} failed: {reason}",
            self.prepared.request_id.as_deref().unwrap_or("-"),
            self.selected.id,
            self.prepared.logged_parts(),
            self.prepared.digests().content,
            self.prepared.caller(),
            self.context.fleet_view().is_path_lost(&self.prepared.service),
        );
    }
}

/// Returns whether callers take the status for the promise that their request has not run and never will,
/// and repeat it. A server that runs a request may answer with any status.
fn is_promise_of_no_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether the body may consist of events; one of another type is complete by its framing alone.
fn may_be_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_none_or(|value| value.trim_start().starts_with("text/event-stream"))
}

/// Reads a short response to its end, so that the connection can be reused; closes it if there is no end.
async fn drain_body(body: Incoming, lease: ConnectionLease) {
    const MAX_REJECTION_BYTES: usize = 64 << 10;
    let collected = Limited::new(body, MAX_REJECTION_BYTES).collect();
    if let Ok(Ok(_)) = timeout(REJECTION_TIMEOUT, collected).await {
        lease.reuse();
    }
}

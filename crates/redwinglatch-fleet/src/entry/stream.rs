//! Forwards the events of a stream to the caller as they arrive.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, body::Incoming, header::HeaderValue};
use redwinglatch_body::{BodySender, body_channel};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    entry::forward::{AttemptOutcome, BackendAttempt},
    http::{Body, BodyFraming},
    ids::{BackendKey, SoftwareVersion, StreamKey},
};

use super::{
    EntryContext,
    event_buffer::EventBuffer,
    fleet_view::SelectedBackend,
    forward::{MAX_SENDS, PreparedRequest, RequestAttempts, StartedStream, find_backend},
    in_flight::{CallerRequest, InFlight},
    placement::PlacementGuard,
    refusal::RefusalReason,
};

/// Number of chunks queued for a slow caller before reading from the server pauses.
const QUEUE_CHUNKS: usize = 64;
/// Time without progress after which a resumable stream is resumed at another server.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes of an event that count as progress. A stalled server may send a byte now and then; one that is sound sends an
/// event of this size, or an end of one, in far less than [`RESUME_TIMEOUT`].
const PROGRESS_BYTES: usize = 512;
/// Servers that must have nothing left of a stream that goes on before its answer ends as complete. Nothing else tells the
/// end of a stream: the first server may have broken off after its last event, or the next one may answer with no events
/// though some are missing.
const AGREEING_SERVERS: u32 = 2;
/// The outcome of a stream that ends without its last event, in log lines and counters.
const BROKEN_OFF_OUTCOME: &str = "broken_off";

/// How the body of a stream from one server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyEnd {
    BetweenEvents,
    InsideEvent,
    /// Reading failed, for example because the connection was reset.
    Error,
    /// The server went on without the end of an event.
    EventTooLarge,
}

impl BodyEnd {
    /// Returns whether a body that ended like this is a complete stream of `events` events.
    ///
    /// A length or chunks only show that nothing was lost on the way: a server may end them inside an event.
    /// Without them, a body without events is taken for one of a server that crashed before the first.
    fn is_complete(self, framing: BodyFraming, events: u64) -> bool {
        let is_delimited = framing != BodyFraming::ConnectionClose;
        self == BodyEnd::BetweenEvents && (is_delimited || events > 0)
    }

    /// Returns the label of a body's framing and end in the metrics.
    fn label(self, framing: BodyFraming) -> &'static str {
        match (framing, self) {
            (BodyFraming::Length, BodyEnd::BetweenEvents) => "length_between_events",
            (BodyFraming::Length, BodyEnd::InsideEvent) => "length_inside_event",
            (BodyFraming::Length, BodyEnd::Error) => "length_error",
            (BodyFraming::Chunked, BodyEnd::BetweenEvents) => "chunked_between_events",
            (BodyFraming::Chunked, BodyEnd::InsideEvent) => "chunked_inside_event",
            (BodyFraming::Chunked, BodyEnd::Error) => "chunked_error",
            (BodyFraming::ConnectionClose, BodyEnd::BetweenEvents) => "close_between_events",
            (BodyFraming::ConnectionClose, BodyEnd::InsideEvent) => "close_inside_event",
            (BodyFraming::ConnectionClose, BodyEnd::Error) => "close_error",
            (BodyFraming::Length, BodyEnd::EventTooLarge) => "length_event_too_large",
            (BodyFraming::Chunked, BodyEnd::EventTooLarge) => "chunked_event_too_large",
            (BodyFraming::ConnectionClose, BodyEnd::EventTooLarge) => "close_event_too_large",
        }
    }
}

/// Result of reading a stream from one server.
enum ReadResult {
    Complete,
    /// The stream goes on here, and the server has no events left.
    NothingLeft,
    /// The stream ended early.
    Interrupted,
    /// The server has sent no end of an event and hardly any bytes for [`RESUME_TIMEOUT`].
    Silent,
    /// The caller disconnected, or the deadline passed.
    Stopped,
}

/// A server that goes on with a stream.
struct Successor {
    selected: SelectedBackend,
    placement: Option<PlacementGuard>,
}

/// Starts forwarding a stream and returns the response for the caller.
pub(crate) fn forward(
    context: &Arc<EntryContext>,
    prepared: PreparedRequest,
    started: StartedStream,
    attempts: RequestAttempts,
    caller: Arc<CallerRequest>,
    received_at: Instant,
) -> Response<Body> {
    let (sender, body) = body_channel(QUEUE_CHUNKS);
    let mut response = Response::new(body.map_err(Into::into).boxed());
    *response.status_mut() = started.status;
    *response.headers_mut() = started.headers.clone();
    let is_resumable = prepared.route().kind.may_repeat();
    let name = prepared.log_name();
    let forwarder = StreamForwarder {
        context: Arc::clone(context),
        prepared,
        attempts,
        sender,
        received_at,
        timings: StreamTimings::default(),
        events: EventBuffer::new(is_resumable),
        has_broken_off: false,
        empty_rests: 0,
        _caller: caller,
    };
    let context = Arc::clone(context);
    tokio::spawn(async move {
        // A forwarder that is dropped breaks the body off, so that the caller doesn't take it for complete.
        tokio::select! {
            () = forwarder.run(started) => {}
            () = context.until_given_up() => {
                context.metrics.record_refusal(BROKEN_OFF_OUTCOME);
                log::info!(
                    "request: {name} outcome={BROKEN_OFF_OUTCOME} why=stopping after_ms={}",
                    received_at.elapsed().as_millis(),
                );
            }
        }
    });
    response
}

/// Time to the first event and largest gap of a stream, as it arrived from its servers.
#[derive(Debug, Default)]
struct StreamTimings {
    first_event_ms: Option<u128>,
    largest_gap_ms: u128,
}

impl StreamTimings {
    /// Records the arrival of a part; `last_at` is the arrival of the previous part.
    fn record_arrival(&mut self, last_at: &mut Instant, received_at: Instant) {
        let now = Instant::now();
        let gap = now.duration_since(*last_at);
        *last_at = now;
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(now.duration_since(received_at).as_millis());
        } else {
            self.largest_gap_ms = self.largest_gap_ms.max(gap.as_millis());
        }
    }
}

/// Forwards one stream, over several servers if it is resumed.
struct StreamForwarder {
    context: Arc<EntryContext>,
    prepared: PreparedRequest,
    attempts: RequestAttempts,
    received_at: Instant,
    timings: StreamTimings,
    sender: BodySender,
    events: EventBuffer,
    /// A server broke the stream off, so the caller takes the answer for complete only by the word of another.
    has_broken_off: bool,
    /// Servers that had no events left.
    empty_rests: u32,
    _caller: Arc<CallerRequest>,
}

impl StreamForwarder {
    /// Forwards the stream until it is complete, cannot be resumed or is no longer wanted.
    async fn run(mut self, mut started: StartedStream) {
        self.attempts.maybe_executed += 1;
        loop {
            let StartedStream { mut body, framing, lease, in_flight, software, .. } = started;
            self.events.start_body();
            let backend = in_flight.backend();
            let mut has_nothing_left = false;
            // A silent server may still go on, so it is left only for one that takes the stream over.
            let successor = loop {
                match self.forward_body(&mut body, framing, software, &in_flight).await {
                    ReadResult::Complete => {
                        lease.reuse();
                        self.record_completion(backend);
                        return self.sender.finish();
                    }
                    ReadResult::NothingLeft => {
                        has_nothing_left = true;
                        break None;
                    }
                    ReadResult::Stopped => return,
                    ReadResult::Interrupted => break None,
                    ReadResult::Silent => match self.find_successor().await {
                        Ok(successor) => break Some(successor),
                        Err(why) => self.log_silence(backend, why),
                    },
                }
            };
            drop(in_flight);
            if has_nothing_left {
                lease.reuse();
                self.empty_rests += 1;
                if self.empty_rests >= AGREEING_SERVERS {
                    self.record_completion(backend);
                    return self.sender.finish();
                }
            } else {
                drop(lease);
                self.has_broken_off = true;
                self.context.fleet_view().record_failure(self.context.now_ms(), backend);
            }
            let can_resume = self.events.can_resume();
            log::info!(
                "request: id={} stream broke off, resumable={can_resume} silent={} nothing_left={has_nothing_left}",
                self.prepared.request_id.as_deref().unwrap_or("-"),
                successor.is_some(),
            );
            let resumed =
                if can_resume { self.resume(successor).await } else { Err("not_resumable") };
            match resumed {
                Ok(next) => started = next,
                // The whole answer to a caller that took its stream up.
                Err(_) if has_nothing_left && !self.has_broken_off => {
                    self.record_completion(backend);
                    return self.sender.finish();
                }
                Err(why) => return self.record_interruption(why),
            }
        }
    }

    /// Returns whether the current body is the rest of a stream of which the caller may have events.
    fn is_rest(&self) -> bool {
        self.events.can_resume() && (self.has_broken_off || self.prepared.is_take_up(&self.context))
    }

    /// Counts how a server's body ended, logs it unless the body was delimited and ended between events,
    /// and returns whether the stream is complete.
    fn end_body(
        &self,
        backend: BackendKey,
        framing: BodyFraming,
        error: Option<&hyper::Error>,
    ) -> ReadResult {
        let end = match error {
            Some(_) => BodyEnd::Error,
            None if self.events.is_event_too_large() => BodyEnd::EventTooLarge,
            None if self.events.is_inside_event() => BodyEnd::InsideEvent,
            None => BodyEnd::BetweenEvents,
        };
        self.context.metrics.record_stream_end(end.label(framing));
        let events = self.events.event_count();
        if end != BodyEnd::BetweenEvents || framing == BodyFraming::ConnectionClose {
            log::info!(
                "request: id={} backend={:x} body_end={} events={events} parts={} error={}",
                self.prepared.request_id.as_deref().unwrap_or("-"),
                backend.0,
                end.label(framing),
                self.prepared.logged_parts(),
                error.map_or_else(|| "-".to_owned(), ToString::to_string),
            );
        }
        if end.is_complete(framing, events) {
            let has_nothing_left = events == 0 && self.is_rest();
            return if has_nothing_left { ReadResult::NothingLeft } else { ReadResult::Complete };
        }
        let address = self.context.fleet_view().backend_address(backend);
        if let Some(address) = address {
            self.prepared.record_failure(&self.context, backend, address, events);
        }
        ReadResult::Interrupted
    }

    /// Logs that a silent stream stays at its server.
    fn log_silence(&self, backend: BackendKey, why: &str) {
        log::info!(
            "request: id={} backend={:x} is silent; the stream can't be resumed elsewhere: {why}",
            self.prepared.request_id.as_deref().unwrap_or("-"),
            backend.0,
        );
    }

    /// Counts and logs a stream that ends without its last event.
    fn record_interruption(&self, why: &str) {
        self.context.metrics.record_refusal(BROKEN_OFF_OUTCOME);
        log::info!(
            "request: {} outcome={BROKEN_OFF_OUTCOME} why={why} after_ms={}",
            self.prepared.log_name(),
            self.received_at.elapsed().as_millis(),
        );
    }

    /// Counts a complete stream, and logs it if its first event or its largest gap missed the route's
    /// objectives.
    fn record_completion(&self, backend: BackendKey) {
        self.prepared.record_completion(&self.context);
        let route = self.prepared.route();
        let first_event_ms = self.timings.first_event_ms.unwrap_or_default();
        let gap_ms = self.timings.largest_gap_ms;
        self.context.metrics.record_stream_times(first_event_ms, gap_ms);
        if first_event_ms <= u128::from(route.objective_ms)
            && gap_ms <= u128::from(route.gap_objective_ms)
        {
            return;
        }
        log::info!(
            "request: id={} late first_event_ms={first_event_ms} largest_gap_ms={gap_ms} \
             spent_ms={} model={:?} backend={:x}",
            self.prepared.request_id.as_deref().unwrap_or("-"),
            self.prepared.spent_ms,
            self.prepared.model,
            backend.0,
        );
    }

    /// Forwards the body of one server's response.
    async fn forward_body(
        &mut self,
        body: &mut Incoming,
        framing: BodyFraming,
        software: SoftwareVersion,
        in_flight: &InFlight,
    ) -> ReadResult {
        let mut is_first = true;
        let mut read_at = Instant::now();
        let mut progress_at = Instant::now();
        let mut bytes_since_progress = 0;
        loop {
            let since_progress = progress_at.elapsed();
            let limit = if self.may_send_again() {
                RESUME_TIMEOUT.saturating_sub(since_progress)
            } else {
                Duration::MAX
            };
            let next = async {
                tokio::select! {
                    frame = timeout(limit, body.frame()) => Some(frame),
                    () = self.sender.closed() => None,
                }
            };
            let frame = match timeout_at(self.prepared.deadline, next).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return ReadResult::Silent,
                Ok(None) | Err(_) => return ReadResult::Stopped,
            };
            if std::mem::take(&mut is_first) {
                in_flight.first_event();
            }
            self.timings.record_arrival(&mut read_at, self.received_at);
            let data = match frame {
                None => return self.end_body(in_flight.backend(), framing, None),
                Some(Err(error)) => {
                    return self.end_body(in_flight.backend(), framing, Some(&error));
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let now_ms = self.context.now_ms();
            self.context.fleet_view().record_heard(now_ms, in_flight.backend());
            bytes_since_progress += data.len();
            let events = self.events.event_count();
            let ready = self.events.push(data);
            if self.events.is_event_too_large() {
                return self.end_body(in_flight.backend(), framing, None);
            }
            let has_progressed =
                self.events.event_count() > events || bytes_since_progress >= PROGRESS_BYTES;
            if !ready.is_empty() {
                self.bind_to_version(software);
                if self.sender.send(ready).await.is_err() {
                    return ReadResult::Stopped;
                }
            }
            if has_progressed {
                // Taken after the data was queued, because a slow reader is no silence of the server.
                progress_at = Instant::now();
                bytes_since_progress = 0;
            }
        }
    }

    /// Binds a stream that may go on elsewhere to the software version of its first event.
    fn bind_to_version(&mut self, software: SoftwareVersion) {
        if self.prepared.software_version.is_some() || !self.prepared.route().kind.may_repeat() {
            return;
        }
        self.prepared.software_version = Some(software);
        if let Some(id) = &self.prepared.request_id {
            let now_ms = self.context.now_ms();
            self.context.fleet_view().stream_began(now_ms, StreamKey::new(id), software);
        }
    }

    /// Returns whether the route allows another send of this stream.
    fn may_send_again(&self) -> bool {
        let route = self.prepared.route();
        self.events.can_resume()
            && self.attempts.maybe_executed < route.max_attempts
            && self.attempts.sent < MAX_SENDS
    }

    /// Finds another server that can go on with the stream, and charges the retry budget.
    async fn find_successor(&self) -> Result<Successor, &'static str> {
        if !self.may_send_again() {
            return Err("attempts_used");
        }
        let found =
            find_backend(&self.context, &self.prepared, &self.attempts.excluded, self.received_at)
                .await;
        let (selected, placement) = found.map_err(|reason| reason.code())?;
        let now_ms = self.context.now_ms();
        if !self.context.retry_budget().try_take_retry(now_ms, &self.prepared.service) {
            return Err("no_budget");
        }
        Ok(Successor { selected, placement })
    }

    /// Resumes the stream at another server after the last complete event, or returns why it cannot.
    async fn resume(
        &mut self,
        mut successor: Option<Successor>,
    ) -> Result<StartedStream, &'static str> {
        loop {
            let Successor { selected, placement } = match successor.take() {
                Some(successor) => successor,
                None => self.find_successor().await?,
            };
            self.context.metrics.record_retry("stream_resumed");
            self.attempts.sent += 1;
            self.attempts.excluded.push(selected.key);
            let last_event_id =
                self.events.last_event_id().and_then(|id| HeaderValue::from_bytes(id).ok());
            let attempt = BackendAttempt {
                context: &self.context,
                prepared: &self.prepared,
                selected: &selected,
                placement,
                last_event_id,
            };
            let sent = timeout_at(self.prepared.deadline, attempt.send()).await;
            match sent.map_err(|_| RefusalReason::TimedOut.code())? {
                AttemptOutcome::Stream(started) => {
                    self.attempts.maybe_executed += 1;
                    log::info!(
                        "request: id={} goes on after event {} backend={} version={}",
                        self.prepared.request_id.as_deref().unwrap_or("-"),
                        self.events
                            .last_event_id()
                            .map_or("-".into(), |id| { String::from_utf8_lossy(id).into_owned() }),
                        selected.id,
                        selected.software_version,
                    );
                    return Ok(*started);
                }
                AttemptOutcome::Response(_) | AttemptOutcome::MaybeRan => {
                    self.attempts.maybe_executed += 1;
                }
                AttemptOutcome::NotSent | AttemptOutcome::NotRun => {}
            }
        }
    }
}

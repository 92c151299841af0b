//! Passes on the events of a stream as they arrive.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body as HttpBody, Frame, Incoming},
    header::HeaderValue,
};
use thiserror::Error;
use tokio::{
    sync::mpsc,
    time::{Instant, timeout, timeout_at},
};

use crate::{
    entry::forward::{Attempt, Outcome},
    http::Body,
    ids::BackendKey,
};

use super::{
    App,
    forward::{Prepared, StartedStream, Tries, find_backend},
    in_flight::{CallerRequest, InFlight},
    refusal::Reason,
};

/// Pieces that wait for a slow caller before the server is no longer read.
const QUEUE_PIECES: usize = 64;
/// How long a resumable stream may be silent before it goes on elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// An event larger than this is passed on in parts.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// The outcome of a stream that ends without its last event, in log lines and counters.
const BROKEN_OFF: &str = "broken_off";

/// A part of an answer on its way to the caller.
enum Piece {
    Data(Bytes),
    /// The answer is complete.
    End,
}

/// Why a stream broke off.
#[derive(Debug, Error)]
#[error("the stream broke off")]
struct BrokenOff;

/// A body that counts as complete only after [`Piece::End`].
struct PieceBody {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl HttpBody for PieceBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.pieces.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Piece::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Poll::Ready(Some(Piece::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => Poll::Ready(Some(Err(Box::new(BrokenOff)))),
        }
    }
}

/// How reading from one server ended.
enum End {
    Complete,
    /// The server broke off or went silent.
    Broken,
    /// The caller is gone, or the time is up.
    Over,
}

/// Starts to pass on a stream and returns the caller's answer.
pub(crate) fn forward(
    app: &Arc<App>,
    prepared: Prepared,
    started: StartedStream,
    tries: Tries,
    caller: CallerRequest,
    received_at: Instant,
) -> Response<Body> {
    let (sender, pieces) = mpsc::channel(QUEUE_PIECES);
    let mut response = Response::new(PieceBody { pieces, ended: false }.boxed());
    *response.status_mut() = started.status;
    *response.headers_mut() = started.headers.clone();
    let pump = Pump {
        app: Arc::clone(app),
        prepared,
        tries,
        sender,
        received_at,
        times: StreamTimes::default(),
        partial: BytesMut::new(),
        last_event_id: None,
        _caller: caller,
    };
    tokio::spawn(pump.run(started));
    response
}

/// How evenly a stream arrived from its servers.
#[derive(Debug, Default)]
struct StreamTimes {
    first_event_ms: Option<u128>,
    largest_gap_ms: u128,
}

impl StreamTimes {
    /// Takes the arrival of a part; `last_at` is that of the part before.
    fn read(&mut self, last_at: &mut Instant, received_at: Instant) {
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

struct Pump {
    app: Arc<App>,
    prepared: Prepared,
    tries: Tries,
    received_at: Instant,
    times: StreamTimes,
    sender: mpsc::Sender<Piece>,
    /// An event that hasn't arrived as a whole.
    partial: BytesMut,
    last_event_id: Option<Bytes>,
    _caller: CallerRequest,
}

impl Pump {
    async fn run(mut self, mut started: StartedStream) {
        self.tries.runs += 1;
        let resumable = self.prepared.route().kind.may_repeat();
        loop {
            let StartedStream { body, lease, in_flight, .. } = started;
            let end = self.read(body, resumable, &in_flight).await;
            let backend = in_flight.backend();
            drop(in_flight);
            match end {
                End::Complete => {
                    lease.reuse();
                    self.log_late(backend);
                    // The caller may be gone.
                    let _ = self.sender.send(Piece::End).await;
                    return;
                }
                End::Over => return,
                End::Broken => {}
            }
            drop(lease);
            self.app.view().failed(self.app.now_ms(), backend);
            log::info!(
                "request: id={} stream broke off, resumable={resumable}",
                self.prepared.request_id.as_deref().unwrap_or("-"),
            );
            self.partial.clear();
            let resumed = if resumable { self.resume().await } else { Err("not_resumable") };
            match resumed {
                Ok(next) => started = next,
                Err(why) => return self.give_up(why),
            }
        }
    }

    /// Counts and logs a stream that ends without its last event.
    fn give_up(&self, why: &str) {
        self.app.metrics.record_refusal(BROKEN_OFF);
        log::info!(
            "request: {} outcome={BROKEN_OFF} why={why} after_ms={}",
            self.prepared.log_name(),
            self.received_at.elapsed().as_millis(),
        );
    }

    /// Counts a complete stream, and logs it if its first event or whose pauses missed the route's objective.
    fn log_late(&self, backend: BackendKey) {
        let route = self.prepared.route();
        let first_event_ms = self.times.first_event_ms.unwrap_or_default();
        let gap_ms = self.times.largest_gap_ms;
        self.app.metrics.record_stream_times(first_event_ms, gap_ms);
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

    async fn read(&mut self, mut body: Incoming, resumable: bool, in_flight: &InFlight) -> End {
        let mut is_first = true;
        let mut read_at = Instant::now();
        loop {
            let limit = if resumable { SILENCE_LIMIT } else { Duration::MAX };
            let next = async {
                tokio::select! {
                    frame = timeout(limit, body.frame()) => Some(frame),
                    () = self.sender.closed() => None,
                }
            };
            let frame = match timeout_at(self.prepared.deadline, next).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) => return End::Broken,
                Ok(None) | Err(_) => return End::Over,
            };
            if std::mem::take(&mut is_first) {
                in_flight.first_event();
            }
            self.times.read(&mut read_at, self.received_at);
            let data = match frame {
                None if self.partial.is_empty() => return End::Complete,
                None => return End::Broken,
                Some(Err(error)) => {
                    log::debug!("request: the stream of a server ends: {error}");
                    return End::Broken;
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            let ready = if resumable { self.whole_events(&data) } else { data };
            if !ready.is_empty() && self.sender.send(Piece::Data(ready)).await.is_err() {
                return End::Over;
            }
        }
    }

    /// Takes what has arrived up to the end of the last whole event.
    fn whole_events(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let end = self.partial.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
        let end = match end {
            Some(end) => end,
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.len(),
            None => return Bytes::new(),
        };
        let events = self.partial.split_to(end).freeze();
        let ids = events.split(|byte| *byte == b'\n').rev();
        let last = ids.filter_map(|line| line.strip_prefix(b"id:")).next();
        if let Some(id) = last {
            self.last_event_id = Some(Bytes::copy_from_slice(id.trim_ascii()));
        }
        events
    }

    /// Goes on at another server after the last whole event, or tells why it can't.
    async fn resume(&mut self) -> Result<StartedStream, &'static str> {
        loop {
            if self.tries.runs >= self.prepared.route().max_attempts {
                return Err("attempts_used");
            }
            let found =
                find_backend(&self.app, &self.prepared, &self.tries.tried, self.received_at).await;
            let (chosen, place) = found.map_err(|reason| reason.code())?;
            if !self.app.budgets().take_repeat(self.app.now_ms(), &self.prepared.service) {
                return Err("no_budget");
            }
            self.app.metrics.record_retry("stream_resumed");
            self.tries.tried.push(chosen.key);
            let last_event_id =
                self.last_event_id.as_ref().and_then(|id| HeaderValue::from_bytes(id).ok());
            let attempt = Attempt {
                app: &self.app,
                prepared: &self.prepared,
                chosen: &chosen,
                place,
                last_event_id,
            };
            let sent = timeout_at(self.prepared.deadline, attempt.send()).await;
            match sent.map_err(|_| Reason::TimedOut.code())? {
                Outcome::Stream(started) => {
                    self.tries.runs += 1;
                    return Ok(started);
                }
                Outcome::Answer(_) | Outcome::MaybeRan => self.tries.runs += 1,
                Outcome::NotSent | Outcome::NotRun => {}
            }
        }
    }
}

//! Streams that callers take up after their answers broke off.

use std::{sync::Arc, time::Duration};

use hyper::http::request::Parts;
use redwinglatch_routing::Route;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    entry::{EntryContext, refusal::RefusalReason, stream_versions::StreamQuestion},
    ids::{SoftwareVersion, StreamKey},
    message::StreamVersionReply,
};

/// Time for which the answers of the core processes are awaited.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of core processes whose answers are awaited.
const MAX_REPLIES: usize = 32;
/// Time for which core processes that have just started are asked again.
const START_WAIT: Duration = Duration::from_millis(1_200);
/// Interval between these questions.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a version that this process has never listed is awaited on the backend list.
const LIST_WAIT: Duration = Duration::from_millis(1_500);
/// Interval between checks during that time.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Where a stream that a caller takes up goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TakeUp {
    pub(super) service: Box<str>,
    pub(super) version: SoftwareVersion,
}

/// Returns the stream that a request takes up, if it does. One whose first attempt isn't named gets a key of its
/// own, which no process knows.
pub(super) fn taken_up_stream(context: &EntryContext, parts: &Parts) -> Option<StreamKey> {
    let names = &context.dialect.headers;
    let text = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let resumes = text(&names.resumes);
    if resumes.is_none() && !parts.headers.contains_key(&names.last_event_id) {
        return None;
    }
    let attempt = resumes.or_else(|| text(&names.request_id)).unwrap_or_default();
    Some(StreamKey::new(attempt))
}

/// Finds the service and software version at which a stream goes on.
pub(super) async fn resolve(
    context: &Arc<EntryContext>,
    route: &Route,
    stream: StreamKey,
    received_at: Instant,
) -> Result<TakeUp, RefusalReason> {
    let version = find_version(context, route, stream, received_at).await?;
    let list_wait_ends_at = received_at + LIST_WAIT;
    loop {
        let was_listed = {
            let view = context.fleet_view();
            if let Some(service) = view.service_with_version(route, version) {
                return Ok(TakeUp { service, version });
            }
            view.was_version_listed(version)
        };
        if was_listed || Instant::now() >= list_wait_ends_at {
            return Err(RefusalReason::StreamVersionGone);
        }
        sleep(LIST_CHECK_INTERVAL).await;
    }
}

/// Finds the software version that began a stream.
async fn find_version(
    context: &Arc<EntryContext>,
    route: &Route,
    stream: StreamKey,
    received_at: Instant,
) -> Result<SoftwareVersion, RefusalReason> {
    let wait_ends_at = received_at + START_WAIT;
    let waited_ms = received_at.elapsed().as_millis() as u64;
    let received_ms = context.now_ms().saturating_sub(waited_ms);
    loop {
        let known = context.fleet_view().stream_version(stream);
        if let Some(version) = known {
            return Ok(version);
        }
        let replies = ask_core_processes(context, stream).await;
        let (decided, may_change) = decide(context, route, stream, received_ms, &replies);
        if decided.is_ok() || !may_change || Instant::now() >= wait_ends_at {
            return decided;
        }
        if replies.is_empty() {
            context.list_wanted.notify_one();
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Decides at which version a stream goes on by what this process and core processes know. Also returns whether a
/// moment later more may be known: core processes may be starting or be connected again, and without these this
/// process may fetch the backend list.
fn decide(
    context: &EntryContext,
    route: &Route,
    stream: StreamKey,
    received_ms: u64,
    replies: &[StreamVersionReply],
) -> (Result<SoftwareVersion, RefusalReason>, bool) {
    let now_ms = context.now_ms();
    let mut view = context.fleet_view();
    let possible = view.possible_versions(now_ms, route);
    let cores = view.recent_cores(now_ms);
    let question = StreamQuestion { stream, received_ms, possible: &possible, replies, cores };
    if let Some(version) = view.decide_stream_version(now_ms, &question) {
        view.stream_version_learned(now_ms, stream, version);
        return (Ok(version), false);
    }
    let may_change =
        if replies.is_empty() { possible.len() <= 1 } else { !question.has_current_replies() };
    let versions = possible.len();
    (Err(RefusalReason::StreamVersionUnknown { versions, replies: replies.len() }), may_change)
}

/// Asks all connected core processes which version began a stream, and returns their answers up to the first
/// that knows it.
async fn ask_core_processes(
    context: &Arc<EntryContext>,
    stream: StreamKey,
) -> Vec<StreamVersionReply> {
    let (sender, mut receiver) = mpsc::channel(MAX_REPLIES);
    let (id, asked) = context.fleet_view().ask_for_stream_version(stream, sender);
    let deadline = Instant::now() + REPLY_TIMEOUT;
    let mut replies: Vec<StreamVersionReply> = Vec::new();
    while replies.len() < asked && replies.iter().all(|reply| reply.began.is_none()) {
        match timeout_at(deadline, receiver.recv()).await {
            Ok(Some(reply)) => replies.push(reply),
            Ok(None) | Err(_) => break,
        }
    }
    context.fleet_view().end_stream_version_question(id);
    replies
}

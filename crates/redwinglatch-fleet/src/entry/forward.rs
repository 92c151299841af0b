//! Forwards a request to a backend server and returns its response.

mod attempt;
mod attempts;
mod customer;
mod find_backend;
mod headers;
mod prepared_request;
mod take_up;
mod way;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use redwinglatch_body::{BufferError, BufferReservation};
use redwinglatch_routing::{RequestKind, RouteTable};
use tokio::time::{Instant, timeout_at};

use crate::{
    REQUEST_PLACED_TARGET,
    http::{Body, ReadBodyError, RequestConnection},
};

use super::{
    EntryContext, GIVE_UP_MARGIN_MS, customer_caps,
    fleet_view::BackendSelection,
    in_flight::CallerRequest,
    peers::TriedPeers,
    refusal::{RefusalReason, refusal_response},
    relay::{self, RelayOutcome, RequestOrigin},
};

pub(crate) use self::{
    attempt::{AttemptOutcome, BackendAttempt, StartedStream},
    attempts::{MAX_SENDS, RequestAttempts},
    customer::PassedOnCustomer,
    find_backend::find_backend,
    headers::for_caller as headers_for_caller,
    prepared_request::PreparedRequest,
};
use self::{
    find_backend::select_backend,
    prepared_request::{ChosenRoute, host_of, prepare},
    way::{Way, choose_way},
};

/// Time that a request waits for the first configuration and backend list of a process that has just
/// started; after the loss of all core processes, their election takes about as long.
const STATE_WAIT: Duration = Duration::from_millis(1_400);
/// Interval between checks during that time.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a request that an engine rejected is retried.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Length to which paths are truncated in log lines.
const MAX_LOGGED_PATH_CHARS: usize = 120;
/// Time that a busy engine may need for the first event of a stream.
const BUSY_FIRST_EVENT_MS: u64 = 800;
/// Time that a busy engine needs per output token.
const BUSY_TOKEN_MS: u64 = 14;
/// Time after SIGTERM during which new streams are accepted; they must end within the grace period.
const DRAIN_ACCEPT_STREAMS_MS: u64 = 2_900;

/// Multiple of the longest answer of a service lately that a request may take, and time beyond it.
const LONGEST_ANSWER_FACTOR: u64 = 2;
const ANSWER_SLACK_MS: u64 = 100;

/// Serves one request; `earlier` are the attempts of a process that has passed it on.
pub(crate) async fn serve(
    context: &Arc<EntryContext>,
    request: Request<Incoming>,
    origin: RequestOrigin,
    earlier: RequestAttempts,
) -> Response<Body> {
    let received_at = Instant::now();
    let caller = Arc::new(CallerRequest::start(context));
    let (parts, body) = request.into_parts();
    let unrouted_name = unrouted_log_name(context, &parts);
    let refuse = |name: &str, reason: RefusalReason| {
        let mut response = refuse_request(context, name, received_at, reason);
        if origin == RequestOrigin::Process && reason.may_be_served_elsewhere() {
            relay::mark_for_elsewhere(&mut response);
        }
        response
    };
    let admitted = tokio::select! {
        biased;
        () = context.until_given_up() => Err(RefusalReason::Draining),
        admitted = admit(context, parts, body, origin, received_at) => admitted,
    };
    let prepared = match admitted {
        Ok(prepared) => prepared,
        Err(reason) => return refuse(&unrouted_name, reason),
    };
    let name = prepared.log_name();
    let charged = match customer_caps::charge(context, &prepared, received_at).await {
        Ok(charged) => charged,
        Err(reason) => return refuse(&prepared.log_name_with_customer(), reason),
    };
    let objective_ms = u128::from(prepared.route().objective_ms);
    let answered = tokio::select! {
        biased;
        answered = forward_with_retries(context, prepared, earlier, caller, received_at) => answered,
        // The request may be at a server.
        () = context.until_given_up() => Err(RefusalReason::Failed),
    };
    let response = match answered {
        Ok(response) => response,
        Err(reason) => {
            if let Some(charged) = charged
                && !reason.may_have_run()
            {
                charged.refused();
            }
            return refuse(&name, reason);
        }
    };
    if let Some(charged) = charged
        && is_refusal_of_process(context, &response)
    {
        charged.refused();
    }
    let after_ms = received_at.elapsed().as_millis();
    context.metrics.record_response_time(after_ms);
    if after_ms > objective_ms || !response.status().is_success() {
        let status = response.status().as_u16();
        log::info!("request: {name} outcome={status} after_ms={after_ms}");
    }
    response
}

/// Returns whether another process has refused a request that was passed on to it. Backend servers stamp their
/// responses.
fn is_refusal_of_process(context: &EntryContext, response: &Response<Body>) -> bool {
    let is_refusal = matches!(
        response.status(),
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    is_refusal && !response.headers().contains_key(&context.dialect.headers.response_stamp)
}

/// Counts and logs the rejection of a request, and returns its error response.
fn refuse_request(
    context: &EntryContext,
    log_name: &str,
    received_at: Instant,
    reason: RefusalReason,
) -> Response<Body> {
    context.metrics.record_refusal(reason.code());
    let after_ms = received_at.elapsed().as_millis();
    // An outdated configuration is told from a path that no configuration has.
    let state = if reason == RefusalReason::NoRoute { known_state(context) } else { String::new() };
    log::info!(
        "request: {log_name} outcome={} after_ms={after_ms}{}{state}",
        reason.code(),
        reason.inputs()
    );
    refusal_response(context.dialect, reason)
}

/// Returns the fields of a log line that tell which configuration this process has and how old its word of a leader is.
fn known_state(context: &EntryContext) -> String {
    let version = context.fleet_view().version();
    match context.state_sources().leader_age_ms(context.now_ms()) {
        Some(age_ms) => format!(" config={version} leader_age_ms={age_ms}"),
        None => format!(" config={version} leader_age_ms=-"),
    }
}

/// Returns the fields that identify a request in log lines before its route is known.
fn unrouted_log_name(context: &EntryContext, parts: &Parts) -> String {
    let id = parts.headers.get(&context.dialect.headers.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    let path: String = parts.uri.path().chars().take(MAX_LOGGED_PATH_CHARS).collect();
    format!("id={id} route=- host={} path={path}", host_of(parts).unwrap_or("-"))
}

/// Finds the route of a request and reads its body.
async fn admit(
    context: &Arc<EntryContext>,
    parts: Parts,
    body: Incoming,
    origin: RequestOrigin,
    received_at: Instant,
) -> Result<PreparedRequest, RefusalReason> {
    let host = host_of(&parts).ok_or(RefusalReason::Malformed)?;
    let table = wait_for_state(context, received_at).await.ok_or(RefusalReason::NoConfiguration)?;
    let route = table.find(host, parts.uri.path()).ok_or(RefusalReason::NoRoute)?;
    // Checked before the body is read, so that callers without a key take no memory.
    let customer = customer::identify(&table, route, &parts, origin)?;
    let connection = parts.extensions.get::<RequestConnection>();
    let body = read_body(connection, body, table.configuration().limits.body_bytes).await?;
    let take_up = match take_up::taken_up_stream(context, &parts) {
        Some(stream) if table.route(route).kind == (RequestKind::Stream { resumable: true }) => {
            Some(take_up::resolve(context, table.route(route), stream, received_at).await?)
        }
        _ => None,
    };
    let chosen = ChosenRoute { table, route, customer, take_up };
    let prepared = prepare(context, parts, body, chosen, origin, received_at);
    match (&prepared.model, prepared.engine_spec()) {
        (Some(model), Some(spec)) if !spec.serves(model) => Err(RefusalReason::UnknownModel),
        (Some(model), Some(spec)) if !spec.fits(model) => Err(RefusalReason::DoesNotFit),
        _ => Ok(prepared),
    }
}

/// Returns the configuration; a process that has just started waits for it and for the backend list.
async fn wait_for_state(context: &EntryContext, received_at: Instant) -> Option<Arc<RouteTable>> {
    loop {
        {
            let view = context.fleet_view();
            let has_waited = received_at.elapsed() >= STATE_WAIT;
            if (view.table().is_some() && view.has_backends()) || has_waited {
                return view.table();
            }
        }
        tokio::time::sleep(STATE_CHECK_INTERVAL).await;
    }
}

/// Returns whether the process is draining and the request might not end in time.
///
/// A request without a stream is served all the same if there is no other entry process for it.
fn cannot_end_before_stop(context: &EntryContext, prepared: &PreparedRequest) -> bool {
    let Some(since_ms) = context.fleet_view().draining_since_ms() else { return false };
    let now_ms = context.now_ms();
    let (draining_ms, grace_ms) = (now_ms.saturating_sub(since_ms), context.settings.grace_ms);
    if prepared.route().kind.is_stream() {
        return !can_end_before_stop(draining_ms, grace_ms, prepared.max_output_tokens);
    }
    let time_left_ms = grace_ms.saturating_sub(GIVE_UP_MARGIN_MS).saturating_sub(draining_ms);
    let remaining = prepared.deadline.saturating_duration_since(Instant::now());
    let longest_ms = context.answer_times().longest_ms(now_ms, &prepared.service);
    !can_be_answered_within(time_left_ms, longest_ms, remaining.as_millis() as u64)
        && context.fleet_view().has_other_ready_entry()
}

/// Sends a request to backend servers until there is a response or no further attempt is allowed.
async fn forward_with_retries(
    context: &Arc<EntryContext>,
    prepared: PreparedRequest,
    mut attempts: RequestAttempts,
    caller: Arc<CallerRequest>,
    received_at: Instant,
) -> Result<Response<Body>, RefusalReason> {
    if cannot_end_before_stop(context, &prepared) {
        return Err(RefusalReason::Draining);
    }
    let mut tried_peers = TriedPeers::new();
    loop {
        if !attempts.allow_another(prepared.route()) {
            return Err(final_reason(&attempts, RefusalReason::RefusedByBackends));
        }
        let way = choose_way(context, &prepared, &attempts);
        if way != Way::Own {
            match relay::send(context, &prepared, &attempts, &mut tried_peers, &caller).await {
                RelayOutcome::Answered(response) => return Ok(response),
                RelayOutcome::NotSent if way == Way::OtherProcess => {
                    return Err(final_reason(&attempts, RefusalReason::ServersUnreachable));
                }
                RelayOutcome::NotSent => {}
                RelayOutcome::MaybeRan => {
                    attempts.sent += 1;
                    attempts.maybe_executed += 1;
                    continue;
                }
            }
        }
        if !std::mem::replace(&mut attempts.is_counted, true) {
            // A request that another process sends on counts there.
            context.retry_budget().count_request(context.now_ms(), &prepared.service);
        }
        let (selected, placement) =
            match find_backend(context, &prepared, &attempts.excluded, received_at).await {
                Ok(found) => found,
                Err(reason) => return Err(final_reason(&attempts, reason)),
            };
        log::info!(
            target: REQUEST_PLACED_TARGET,
            "request: {} backend={} version={} resumes={} by={} config={} after_ms={} tries={}",
            prepared.log_name(),
            selected.id,
            selected.software_version,
            prepared.resumes.as_deref().unwrap_or("-"),
            if placement.as_ref().is_some_and(|placement| placement.epoch() > 0) {
                "coordinator"
            } else {
                "entry"
            },
            prepared.table.configuration().version,
            received_at.elapsed().as_millis(),
            attempts.sent,
        );
        if attempts.sent > 0 {
            let now_ms = context.now_ms();
            if !context.retry_budget().try_take_retry(now_ms, &prepared.service) {
                return Err(final_reason(&attempts, RefusalReason::RefusedByBackends));
            }
            let has_maybe_run = attempts.maybe_executed > 0;
            context.metrics.record_retry(if has_maybe_run { "maybe_ran" } else { "not_run" });
        }
        context.metrics.record_placing_time(received_at.elapsed().as_millis());
        attempts.sent += 1;
        attempts.excluded.push(selected.key);
        let attempt = BackendAttempt {
            context,
            prepared: &prepared,
            selected: &selected,
            placement,
            last_event_id: None,
        };
        let sent_ms = context.now_ms();
        let outcome = timeout_at(prepared.deadline, attempt.send()).await;
        if !prepared.route().kind.is_stream() {
            let now_ms = context.now_ms();
            context.answer_times().record(
                now_ms,
                &prepared.service,
                now_ms.saturating_sub(sent_ms),
            );
        }
        let Ok(outcome) = outcome else {
            context.fleet_view().record_failure(context.now_ms(), selected.key);
            return Err(RefusalReason::TimedOut);
        };
        match outcome {
            AttemptOutcome::Response(response) => {
                if response.status().is_server_error()
                    && prepared.route().kind == RequestKind::Idempotent
                    && can_retry_executed(context, &prepared, &mut attempts)
                {
                    continue;
                }
                return Ok(response);
            }
            AttemptOutcome::Stream(started) => {
                return Ok(super::stream::forward(
                    context,
                    prepared,
                    *started,
                    attempts,
                    caller,
                    received_at,
                ));
            }
            AttemptOutcome::NotSent => attempts.unreached.push(selected.key),
            AttemptOutcome::NotRun if prepared.model.is_some() => {
                // The engine is full, is executing an order for the adapter or has unloaded it. It
                // may accept the request soon, so it stays a candidate if there is no other.
                let has_other = matches!(
                    select_backend(context, &prepared, &attempts.excluded),
                    BackendSelection::Selected(_)
                );
                if !has_other {
                    attempts.excluded.pop();
                    tokio::time::sleep(NOT_RUN_RETRY_DELAY).await;
                }
            }
            AttemptOutcome::NotRun => {}
            AttemptOutcome::MaybeRan => attempts.maybe_executed += 1,
        }
    }
}

/// Returns whether a stream that starts now ends before the draining process must stop.
fn can_end_before_stop(draining_ms: u64, grace_ms: u64, output_tokens: u32) -> bool {
    let longest_ms = BUSY_FIRST_EVENT_MS + u64::from(output_tokens) * BUSY_TOKEN_MS;
    draining_ms <= DRAIN_ACCEPT_STREAMS_MS && draining_ms + longest_ms <= grace_ms
}

/// Returns whether a request without a stream is answered within this time, by the longest answer of its service lately
/// and the time until its deadline.
fn can_be_answered_within(time_left_ms: u64, longest_ms: Option<u64>, remaining_ms: u64) -> bool {
    let expected_ms = longest_ms.map_or(u64::MAX, |longest_ms| {
        longest_ms.saturating_mul(LONGEST_ANSWER_FACTOR).saturating_add(ANSWER_SLACK_MS)
    });
    expected_ms.min(remaining_ms) <= time_left_ms
}

/// Counts an executed but failed attempt, and returns whether the request may be retried on another
/// server.
fn can_retry_executed(
    context: &EntryContext,
    prepared: &PreparedRequest,
    attempts: &mut RequestAttempts,
) -> bool {
    attempts.maybe_executed += 1;
    if attempts.maybe_executed >= prepared.route().max_attempts || attempts.sent >= MAX_SENDS {
        return false;
    }
    // The retry is charged to the budget when it is sent; this only checks for another server.
    matches!(select_backend(context, prepared, &attempts.excluded), BackendSelection::Selected(_))
}

/// Returns the reason to report to the caller: one that states that the request was not executed is
/// allowed only if no attempt may have been executed.
fn final_reason(attempts: &RequestAttempts, reason: RefusalReason) -> RefusalReason {
    if attempts.maybe_executed > 0 { RefusalReason::Failed } else { reason }
}

async fn read_body(
    connection: Option<&RequestConnection>,
    body: Incoming,
    limit_bytes: usize,
) -> Result<(Bytes, BufferReservation), RefusalReason> {
    let connection = connection.ok_or(RefusalReason::Malformed)?;
    match connection.read_body(body, limit_bytes).await {
        Ok(body) => Ok(body.into_bytes()),
        Err(ReadBodyError::Buffer(BufferError::TooLarge { .. })) => Err(RefusalReason::TooLarge),
        Err(ReadBodyError::Buffer(BufferError::NoRoom)) => Err(RefusalReason::NoRoom),
        Err(ReadBodyError::Buffer(BufferError::Interrupted(error))) => {
            log::info!("request: cannot read the request body: {error}");
            Err(RefusalReason::Malformed)
        }
        Err(ReadBodyError::Stalled) => Err(RefusalReason::BodyIncomplete),
    }
}

#[cfg(test)]
mod tests;

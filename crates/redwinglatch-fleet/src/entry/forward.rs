//! Forwards a request to a backend server and returns its response.

mod attempt;
mod find_backend;
mod headers;
mod take_up;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    body::Incoming,
    header::{HOST, HeaderValue},
    http::request::Parts,
};
use redwinglatch_body::{BufferError, BufferReservation};
use redwinglatch_routing::{EngineSpec, RequestKind, Route, RouteKey, RouteTable};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    http::{Body, PeerAddress},
    ids::{BackendKey, ModelName, SoftwareVersion, StreamKey},
    message::{PlaceRequest, shared_parts},
    request_digests::RequestDigests,
};

use crate::REQUEST_PLACED_TARGET;

use super::{
    EntryContext, ended_servers,
    fleet_view::BackendSelection,
    in_flight::CallerRequest,
    peers::TriedPeers,
    refusal::{RefusalReason, refusal_response},
    relay::{self, RelayOutcome, RequestOrigin},
    request_outcomes,
};

pub(crate) use self::{
    attempt::{AttemptOutcome, BackendAttempt, StartedStream},
    find_backend::find_backend,
    headers::for_caller as headers_for_caller,
};
use self::{find_backend::select_backend, take_up::TakeUp};

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a request waits for the first configuration and backend list of a process that has just
/// started; after the loss of all core processes, their election takes about as long.
const STATE_WAIT: Duration = Duration::from_millis(1_400);
/// Interval between checks during that time.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a request that an engine rejected is retried.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Number of output tokens assumed for a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;
/// Maximum number of times that a request is sent, whether or not it was executed.
pub(crate) const MAX_SENDS: u32 = 4;
/// Length to which paths are truncated in log lines.
const MAX_LOGGED_PATH_CHARS: usize = 120;
/// Time that a busy engine may need for the first event of a stream.
const BUSY_FIRST_EVENT_MS: u64 = 800;
/// Time that a busy engine needs per output token.
const BUSY_TOKEN_MS: u64 = 14;
/// Time after SIGTERM during which new streams are accepted; they must end within the grace period.
const DRAIN_ACCEPT_STREAMS_MS: u64 = 2_900;

/// A routed request with the data that each attempt needs.
pub(crate) struct PreparedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    _body_reservation: BufferReservation,
    origin: RequestOrigin,
    pub(crate) request_id: Option<Box<str>>,
    /// The caller's attempt that brought the first event of the stream which the request takes up.
    resumes: Option<Box<str>>,
    /// The software version at which the stream goes on, once it has begun.
    pub(crate) software_version: Option<SoftwareVersion>,
    pub(crate) model: Option<ModelName>,
    pub(crate) service: Box<str>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: RouteKey,
    pub(crate) deadline: Instant,
    /// The part of the route's timeout that the caller's earlier attempts used.
    pub(crate) spent_ms: u64,
    /// Time from the arrival of the request until the caller leaves unless the first event has
    /// arrived.
    pub(crate) patience_ms: u64,
    prompt_tokens: u32,
    output_tokens: u32,
    max_output_tokens: u32,
    prompt_parts: Vec<(u64, u32)>,
    host: Box<str>,
    caller: IpAddr,
    digests: OnceLock<RequestDigests>,
}

impl PreparedRequest {
    /// Returns whether the request may be sent to servers of a software version.
    fn allows_version(&self, version: SoftwareVersion) -> bool {
        self.software_version.is_none_or(|wanted| wanted == version)
    }

    /// Returns the fields that identify the request in log lines.
    pub(crate) fn log_name(&self) -> String {
        format!(
            "id={} route={} model={}",
            self.request_id.as_deref().unwrap_or("-"),
            self.route().name,
            self.model.as_deref().unwrap_or("-"),
        )
    }

    pub(crate) fn origin(&self) -> RequestOrigin {
        self.origin
    }

    /// Returns the address of the caller.
    pub(crate) fn caller(&self) -> IpAddr {
        self.caller
    }

    /// Returns the request as it is sent on, with the remaining time.
    pub(crate) fn to_send(&self, context: &EntryContext) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert(&context.dialect.headers.deadline_ms, HeaderValue::from(remaining_ms));
        request
    }

    /// Returns the digests of the request, which are computed when they are first needed.
    pub(crate) fn digests(&self) -> RequestDigests {
        let PreparedRequest { method, host, uri, body, caller, .. } = self;
        *self.digests.get_or_init(|| RequestDigests::of(method, host, uri, body, *caller))
    }

    /// Reports that a server may have ended under the request, which broke off after some events. Only of a
    /// server without an engine this process finds out whether it has; the coordinator asks engines for their
    /// reports.
    pub(crate) fn record_failure(
        &self,
        context: &Arc<EntryContext>,
        server: BackendKey,
        address: SocketAddr,
        events: u64,
    ) {
        let suspect = request_outcomes::suspect(events, self.shared_parts(), || self.digests());
        let Some(suspect) = suspect else { return };
        if self.engine_spec().is_some() {
            let now_ms = context.now_ms();
            context.fleet_view().request_failed(now_ms, server, suspect, false);
            return;
        }
        let context = Arc::clone(context);
        tokio::spawn(async move {
            let has_ended = ended_servers::has_ended(&context, server, address).await;
            let now_ms = context.now_ms();
            context.fleet_view().request_failed(now_ms, server, suspect, has_ended);
        });
    }

    /// Records a complete answer.
    pub(crate) fn record_completion(&self, context: &EntryContext) {
        let (now_ms, digests) = (context.now_ms(), self.digests());
        context.fleet_view().request_completed(now_ms, self.shared_parts(), digests);
    }

    /// Returns the prompt parts that other requests may share.
    pub(crate) fn shared_parts(&self) -> &[(u64, u32)] {
        shared_parts(&self.prompt_parts)
    }

    /// Returns the prompt parts that other requests may share, for log lines.
    pub(crate) fn logged_parts(&self) -> String {
        let shared = self.shared_parts().iter();
        let ids: Vec<String> = shared.map(|(id, _)| format!("{id:x}")).collect();
        if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
    }

    fn place_request(&self, excluded: &[BackendKey], received_at: Instant) -> PlaceRequest {
        let route = self.route();
        let elapsed_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        PlaceRequest {
            service: self.service.clone(),
            model: self.model.clone().unwrap_or_default(),
            priority: route.priority,
            objective_ms: route.objective_ms,
            spent_ms: self.spent_ms.saturating_add(elapsed_ms),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            prompt_parts: self.prompt_parts.clone(),
            excluded_engines: excluded.to_vec(),
            patience_ms: self.patience_ms.saturating_sub(elapsed_ms),
        }
    }

    pub(crate) fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    /// Returns the engine specification of the service, or `None` for a service without engines.
    fn engine_spec(&self) -> Option<&EngineSpec> {
        let mut services = self.table.engine_services();
        services.find(|(service, _)| service.name == self.service).map(|(_, spec)| spec)
    }
}

/// Attempts to send a request.
#[derive(Default)]
pub(crate) struct RequestAttempts {
    /// Number of times that the request was sent.
    pub(crate) sent: u32,
    /// Number of attempts that may have been executed.
    pub(crate) maybe_executed: u32,
    /// Number of attempts whose connections failed before anything was sent.
    not_sent: u32,
    /// Whether the request counts for the retry budget.
    is_counted: bool,
    /// Servers that must not receive the request again.
    pub(crate) excluded: SmallVec<[BackendKey; 4]>,
}

impl RequestAttempts {
    /// Returns whether the request may be sent once more.
    fn allow_another(&self, route: &Route) -> bool {
        self.sent < MAX_SENDS
            && self.maybe_executed < route.max_attempts.max(1)
            && (self.maybe_executed == 0 || route.kind.may_repeat())
    }
}

/// Serves one request.
pub(crate) async fn serve(
    context: &Arc<EntryContext>,
    request: Request<Incoming>,
    origin: RequestOrigin,
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
    let prepared = match admit(context, parts, body, origin, received_at).await {
        Ok(prepared) => prepared,
        Err(reason) => return refuse(&unrouted_name, reason),
    };
    let name = prepared.log_name();
    let objective_ms = u128::from(prepared.route().objective_ms);
    let response = match forward_with_retries(context, prepared, caller, received_at).await {
        Ok(response) => response,
        Err(reason) => return refuse(&name, reason),
    };
    let after_ms = received_at.elapsed().as_millis();
    context.metrics.record_response_time(after_ms);
    if after_ms > objective_ms || !response.status().is_success() {
        let status = response.status().as_u16();
        log::info!("request: {name} outcome={status} after_ms={after_ms}");
    }
    response
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
    log::info!(
        "request: {log_name} outcome={} after_ms={after_ms}{}",
        reason.code(),
        reason.inputs()
    );
    refusal_response(context.dialect, reason)
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
    let body = read_body(context, body, table.configuration().limits.body_bytes).await?;
    let take_up = match taken_up_stream(context, &parts) {
        Some(stream) if table.route(route).kind == (RequestKind::Stream { resumable: true }) => {
            Some(take_up::resolve(context, table.route(route), stream, received_at).await?)
        }
        _ => None,
    };
    let prepared =
        prepare(context, parts, body, ChosenRoute { table, route, take_up }, origin, received_at);
    match (&prepared.model, prepared.engine_spec()) {
        (Some(model), Some(spec)) if !spec.serves(model) => Err(RefusalReason::UnknownModel),
        _ => Ok(prepared),
    }
}

/// Returns the stream that a request takes up, if it does. One whose first attempt isn't named gets a key of its
/// own, which no process knows.
fn taken_up_stream(context: &EntryContext, parts: &Parts) -> Option<StreamKey> {
    let names = &context.dialect.headers;
    let text = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let resumes = text(&names.resumes);
    if resumes.is_none() && !parts.headers.contains_key(&names.last_event_id) {
        return None;
    }
    let attempt = resumes.or_else(|| text(&names.request_id)).unwrap_or_default();
    Some(StreamKey::new(attempt))
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

/// Returns whether the process is draining and the request is a stream that might not end in time.
fn cannot_end_before_stop(context: &EntryContext, prepared: &PreparedRequest) -> bool {
    let draining_since_ms = context.fleet_view().draining_since_ms();
    draining_since_ms.is_some_and(|since_ms| {
        let draining_ms = context.now_ms().saturating_sub(since_ms);
        let most_tokens = prepared.max_output_tokens;
        prepared.route().kind.is_stream()
            && !can_end_before_stop(draining_ms, context.settings.grace_ms, most_tokens)
    })
}

/// Sends a request to backend servers until there is a response or no further attempt is allowed.
async fn forward_with_retries(
    context: &Arc<EntryContext>,
    prepared: PreparedRequest,
    caller: Arc<CallerRequest>,
    received_at: Instant,
) -> Result<Response<Body>, RefusalReason> {
    if cannot_end_before_stop(context, &prepared) {
        return Err(RefusalReason::Draining);
    }
    let mut attempts = RequestAttempts::default();
    let mut tried_peers = TriedPeers::new();
    loop {
        if !attempts.allow_another(prepared.route()) {
            return Err(final_reason(&attempts, RefusalReason::RefusedByBackends));
        }
        let way = choose_way(context, &prepared, &attempts);
        if way != Way::Own {
            match relay::send(context, &prepared, &mut tried_peers, &caller).await {
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
        let Ok(outcome) = timeout_at(prepared.deadline, attempt.send()).await else {
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
                    started,
                    attempts,
                    caller,
                    received_at,
                ));
            }
            AttemptOutcome::NotSent => attempts.not_sent += 1,
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

/// The ways on which a request may reach a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// This process sends it to a server.
    Own,
    /// Another process sends it, or else this one.
    OtherProcessFirst,
    /// Only another process can send it.
    OtherProcess,
}

/// Connections to different servers that must fail before another process is asked, although the path to the
/// service doesn't count as lost.
const MAX_UNSENT_ATTEMPTS: u32 = 2;

/// Chooses the way of the next attempt.
///
/// A request that another process has passed on isn't passed on again: where the path is lost, it is refused.
fn choose_way(
    context: &EntryContext,
    prepared: &PreparedRequest,
    attempts: &RequestAttempts,
) -> Way {
    let now_ms = context.now_ms();
    let view = context.fleet_view();
    let is_lost = view.is_path_lost(&prepared.service);
    let may_use_kept =
        attempts.not_sent == 0 && view.has_sound_connections(now_ms, &prepared.service);
    if is_lost && !may_use_kept {
        Way::OtherProcess
    } else if attempts.not_sent >= MAX_UNSENT_ATTEMPTS && prepared.origin == RequestOrigin::Caller {
        Way::OtherProcessFirst
    } else {
        Way::Own
    }
}

/// Returns whether a stream that starts now ends before the draining process must stop.
fn can_end_before_stop(draining_ms: u64, grace_ms: u64, output_tokens: u32) -> bool {
    let longest_ms = BUSY_FIRST_EVENT_MS + u64::from(output_tokens) * BUSY_TOKEN_MS;
    draining_ms <= DRAIN_ACCEPT_STREAMS_MS && draining_ms + longest_ms <= grace_ms
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

/// The route of a request, and where the stream goes on that it takes up.
struct ChosenRoute {
    table: Arc<RouteTable>,
    route: RouteKey,
    take_up: Option<TakeUp>,
}

fn prepare(
    context: &EntryContext,
    parts: Parts,
    (body, body_reservation): (Bytes, BufferReservation),
    ChosenRoute { table, route, take_up }: ChosenRoute,
    origin: RequestOrigin,
    received_at: Instant,
) -> PreparedRequest {
    let names = &context.dialect.headers;
    let bound_service = take_up.as_ref().and_then(|bound| table.service_named(&bound.service));
    let drawn_service = || table.service(table.draw_service(route, &mut fastrand::Rng::new()));
    let spec = bound_service.unwrap_or_else(drawn_service);
    let text = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let model = spec.engine.is_some().then(|| text(&names.model).map(ModelName::from)).flatten();
    let timeout_ms = table.route(route).timeout_ms;
    let asked_ms = text(&names.deadline_ms).and_then(|text| text.trim().parse::<u64>().ok());
    let limit_ms = asked_ms.map_or(timeout_ms, |asked_ms| asked_ms.min(timeout_ms));
    let peer = parts.extensions.get::<PeerAddress>();
    let tokens = headers::tokens(&parts.headers, names);
    // A caller that retries states its remaining time.
    let spent_ms = asked_ms.map_or(0, |asked_ms| timeout_ms.saturating_sub(asked_ms));
    let route_spec = table.route(route);
    let patience_ms =
        (context.dialect.caller_patience_ms)(route_spec.objective_ms, route_spec.gap_objective_ms);
    PreparedRequest {
        spent_ms,
        patience_ms: patience_ms.min(limit_ms),
        prompt_tokens: tokens.prompt,
        output_tokens: tokens.expected_output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        max_output_tokens: tokens.max_output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        prompt_parts: headers::prompt_parts(&parts.headers, names),
        host: host_of(&parts).unwrap_or_default().into(),
        caller: peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |PeerAddress(address)| *address),
        digests: OnceLock::new(),
        origin,
        request_id: text(&names.request_id).map(Box::from),
        resumes: text(&names.resumes).map(Box::from),
        software_version: take_up.map(|bound| bound.version),
        model,
        service: spec.name.clone(),
        headers: headers::for_backend(&parts.headers, names),
        method: parts.method,
        uri: headers::origin_form(&parts.uri),
        body,
        _body_reservation: body_reservation,
        route,
        deadline: received_at + Duration::from_millis(limit_ms),
        table,
    }
}

fn host_of(parts: &Parts) -> Option<&str> {
    let host = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then_some(name)
}

async fn read_body(
    context: &EntryContext,
    mut body: Incoming,
    limit_bytes: usize,
) -> Result<(Bytes, BufferReservation), RefusalReason> {
    let read = async {
        let read = context.buffer_budget.read(&mut body, limit_bytes).await;
        if matches!(read, Err(BufferError::NoRoom)) {
            // A caller that is still sending would not read the refusal.
            while let Some(Ok(_)) = body.frame().await {}
        }
        read
    };
    match timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.into_bytes()),
        Ok(Err(BufferError::TooLarge { .. })) => Err(RefusalReason::TooLarge),
        Ok(Err(BufferError::NoRoom)) => Err(RefusalReason::NoRoom),
        Ok(Err(BufferError::Interrupted(error))) => {
            log::info!("request: cannot read the request body: {error}");
            Err(RefusalReason::Malformed)
        }
        Err(_) => Err(RefusalReason::BodyIncomplete),
    }
}

#[cfg(test)]
mod tests;

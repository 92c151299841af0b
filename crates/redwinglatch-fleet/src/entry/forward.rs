//! Forwards one request to a backend server and returns its answer.

mod attempt;
mod headers;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, Uri, body::Incoming, header::HOST, http::request::Parts,
};
use redwinglatch_routing::{EngineSpec, RequestKind, Route, RouteKey, RouteTable};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    http::Body,
    ids::{BackendKey, ModelName},
    message::PlaceRequest,
};

use crate::REQUEST_PLACED_TARGET;

use super::{
    App,
    in_flight::CallerRequest,
    placing::{self, PlaceGuard, Placement},
    refusal::{Reason, refuse},
    view::{Choice, Chosen},
};

pub(crate) use self::attempt::{Attempt, Outcome, StartedStream};

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a request waits for a new coordinator when no engine holds its adapter.
const COORDINATOR_WAIT: Duration = Duration::from_millis(400);
/// How often the coordinator is asked again meanwhile.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// How long to wait after an engine refused a request.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);
/// Output tokens of a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;
/// How often one request is sent at most, whether it ran or not.
const MAX_ARRIVALS: u32 = 4;
/// The part of a path that log lines show.
const MAX_LOGGED_PATH_CHARS: usize = 120;
/// How long the first event of a stream may take on a busy engine.
const FIRST_EVENT_MS: u64 = 800;
/// How long a busy engine takes for a token.
const TOKEN_MS: u64 = 14;
/// How long after SIGTERM new streams are still taken; they must end within the grace period.
const LAST_STREAM_MS: u64 = 2_900;

/// A request with all that each attempt needs.
pub(crate) struct Prepared {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: Option<Box<str>>,
    pub(crate) model: Option<ModelName>,
    pub(crate) service: Box<str>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: RouteKey,
    pub(crate) deadline: Instant,
    /// How much of the caller's time was used by earlier attempts.
    pub(crate) spent_ms: u64,
    prompt_tokens: u32,
    output_tokens: u32,
    most_output_tokens: u32,
    prompt_parts: Vec<(u64, u32)>,
}

impl Prepared {
    /// How log lines name the request.
    pub(crate) fn log_name(&self) -> String {
        format!(
            "id={} route={} model={}",
            self.request_id.as_deref().unwrap_or("-"),
            self.route().name,
            self.model.as_deref().unwrap_or("-"),
        )
    }

    fn place_request(&self, tried: &[BackendKey], received_at: Instant) -> PlaceRequest {
        let route = self.route();
        let age_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let left = self.deadline.saturating_duration_since(Instant::now());
        PlaceRequest {
            service: self.service.clone(),
            model: self.model.clone().unwrap_or_default(),
            priority: route.priority,
            objective_ms: route.objective_ms,
            spent_ms: self.spent_ms.saturating_add(age_ms),
            remaining_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            prompt_parts: self.prompt_parts.clone(),
            excluded_engines: tried.to_vec(),
        }
    }

    pub(crate) fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    /// What the engines of the service serve; `None` for a plain service.
    fn engine_spec(&self) -> Option<&EngineSpec> {
        let mut services = self.table.engine_services();
        services.find(|(service, _)| service.name == self.service).map(|(_, spec)| spec)
    }
}

/// How often a request was sent, and where.
#[derive(Default)]
pub(crate) struct Tries {
    pub(crate) arrivals: u32,
    /// Attempts that may have run.
    pub(crate) runs: u32,
    pub(crate) tried: SmallVec<[BackendKey; 4]>,
}

/// Answers one request of a caller.
pub(crate) async fn serve(app: &Arc<App>, request: Request<Incoming>) -> Response<Body> {
    let received_at = Instant::now();
    let caller = CallerRequest::start(app);
    let (parts, body) = request.into_parts();
    let unrouted_name = unrouted_log_name(app, &parts);
    let prepared = match admit(app, parts, body, received_at).await {
        Ok(prepared) => prepared,
        Err(reason) => return refuse_request(app, &unrouted_name, received_at, reason),
    };
    let name = prepared.log_name();
    let objective_ms = u128::from(prepared.route().objective_ms);
    let response = match run(app, prepared, caller, received_at).await {
        Ok(response) => response,
        Err(reason) => return refuse_request(app, &name, received_at, reason),
    };
    let after_ms = received_at.elapsed().as_millis();
    app.metrics.record_response_time(after_ms);
    if after_ms > objective_ms || !response.status().is_success() {
        let status = response.status().as_u16();
        log::info!("request: {name} outcome={status} after_ms={after_ms}");
    }
    response
}

/// Counts and logs the final refusal of a request.
fn refuse_request(
    app: &App,
    log_name: &str,
    received_at: Instant,
    reason: Reason,
) -> Response<Body> {
    app.metrics.record_refusal(reason.code());
    let after_ms = received_at.elapsed().as_millis();
    log::info!("request: {log_name} outcome={} after_ms={after_ms}", reason.code());
    refuse(app.dialect, reason)
}

/// How log lines name a request before its route is known.
fn unrouted_log_name(app: &App, parts: &Parts) -> String {
    let id = parts.headers.get(&app.dialect.headers.request_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("-");
    let path: String = parts.uri.path().chars().take(MAX_LOGGED_PATH_CHARS).collect();
    format!("id={id} route=- host={} path={path}", host_of(parts).unwrap_or("-"))
}

/// Finds the route of a request and reads its body.
async fn admit(
    app: &App,
    parts: Parts,
    body: Incoming,
    received_at: Instant,
) -> Result<Prepared, Reason> {
    let table = app.view().table().ok_or(Reason::NoConfiguration)?;
    let host = host_of(&parts).ok_or(Reason::Malformed)?;
    let route = table.find(host, parts.uri.path()).ok_or(Reason::NoRoute)?;
    let body = read_body(body, table.configuration().limits.body_bytes).await?;
    let prepared = prepare(app, parts, body, table, route, received_at);
    match (&prepared.model, prepared.engine_spec()) {
        (Some(model), Some(spec)) if !spec.serves(model) => Err(Reason::UnknownModel),
        _ => Ok(prepared),
    }
}

/// Whether a request is a stream that could not end before the process must.
fn comes_too_late(app: &App, prepared: &Prepared) -> bool {
    let draining_since_ms = app.view().draining_since_ms();
    draining_since_ms.is_some_and(|since_ms| {
        let draining_ms = app.now_ms().saturating_sub(since_ms);
        let most_tokens = prepared.most_output_tokens;
        prepared.route().kind.is_stream()
            && !ends_before_stop(draining_ms, app.settings.grace_ms, most_tokens)
    })
}

async fn run(
    app: &Arc<App>,
    prepared: Prepared,
    caller: CallerRequest,
    received_at: Instant,
) -> Result<Response<Body>, Reason> {
    if comes_too_late(app, &prepared) {
        return Err(Reason::Draining);
    }
    app.budgets().count_request(app.now_ms(), &prepared.service);
    let mut tries = Tries::default();
    loop {
        let (chosen, place) = match find_backend(app, &prepared, &tries.tried, received_at).await {
            Ok(found) => found,
            Err(reason) => return Err(give_up(&tries, reason)),
        };
        log::info!(
            target: REQUEST_PLACED_TARGET,
            "request: {} backend={} by={} config={} after_ms={} tries={}",
            prepared.log_name(),
            chosen.id,
            if place.is_some() { "coordinator" } else { "entry" },
            prepared.table.configuration().version,
            received_at.elapsed().as_millis(),
            tries.arrivals,
        );
        let may_send_again = tries.arrivals < MAX_ARRIVALS
            && tries.runs < prepared.route().max_attempts.max(1)
            && (tries.runs == 0 || prepared.route().kind.may_repeat());
        if !may_send_again {
            return Err(give_up(&tries, Reason::RefusedByBackends));
        }
        if tries.arrivals > 0 {
            app.metrics.record_retry(if tries.runs > 0 { "maybe_ran" } else { "not_run" });
        }
        if tries.arrivals > 0 && !app.budgets().take_repeat(app.now_ms(), &prepared.service) {
            return Err(give_up(&tries, Reason::RefusedByBackends));
        }
        app.metrics.record_placing_time(received_at.elapsed().as_millis());
        tries.arrivals += 1;
        tries.tried.push(chosen.key);
        let attempt =
            Attempt { app, prepared: &prepared, chosen: &chosen, place, last_event_id: None };
        let Ok(outcome) = timeout_at(prepared.deadline, attempt.send()).await else {
            app.view().failed(app.now_ms(), chosen.key);
            return Err(Reason::TimedOut);
        };
        match outcome {
            Outcome::Answer(response) => {
                if response.status().is_server_error()
                    && prepared.route().kind == RequestKind::Idempotent
                    && can_repeat(app, &prepared, &mut tries)
                {
                    continue;
                }
                return Ok(response);
            }
            Outcome::Stream(started) => {
                return Ok(super::stream::forward(
                    app,
                    prepared,
                    started,
                    tries,
                    caller,
                    received_at,
                ));
            }
            Outcome::NotSent => {}
            Outcome::NotRun if prepared.model.is_some() => {
                // The adapter was in an order's way or is gone; the same engine may take it soon.
                tries.tried.pop();
                tokio::time::sleep(REFUSED_PAUSE).await;
            }
            Outcome::NotRun => {}
            Outcome::MaybeRan => tries.runs += 1,
        }
    }
}

/// Finds a backend server for a request, and waits for one where that makes sense.
pub(crate) async fn find_backend(
    app: &Arc<App>,
    prepared: &Prepared,
    tried: &[BackendKey],
    received_at: Instant,
) -> Result<(Chosen, Option<PlaceGuard>), Reason> {
    let give_up_at = Instant::now() + COORDINATOR_WAIT;
    loop {
        if prepared.model.is_some() {
            match placing::place(app, prepared.place_request(tried, received_at)).await {
                Placement::Placed { engine, version, place } => {
                    if let Choice::Use(chosen) = app.view().placed(engine, version) {
                        return Ok((chosen, Some(place)));
                    }
                }
                Placement::Refused { retry_after_ms } => {
                    return Err(Reason::Overloaded { retry_after_ms });
                }
                Placement::NoCoordinator => {}
            }
        }
        match choose(app, prepared, tried) {
            Choice::Use(chosen) => return Ok((chosen, None)),
            Choice::Nothing => return Err(Reason::NoBackend),
            Choice::Load(loaded) => {
                if Instant::now() >= give_up_at {
                    return Err(Reason::NotLoaded);
                }
                if timeout(ASK_INTERVAL, loaded.notified()).await.is_err() {
                    log::debug!("request: still waits for its adapter");
                }
            }
        }
    }
}

/// Whether a stream that starts now ends before a process that drains must end.
fn ends_before_stop(draining_ms: u64, grace_ms: u64, output_tokens: u32) -> bool {
    let longest_ms = FIRST_EVENT_MS + u64::from(output_tokens) * TOKEN_MS;
    draining_ms <= LAST_STREAM_MS && draining_ms + longest_ms <= grace_ms
}

/// Whether a request that ran and failed may go to another server.
fn can_repeat(app: &App, prepared: &Prepared, tries: &mut Tries) -> bool {
    tries.runs += 1;
    if tries.runs >= prepared.route().max_attempts || tries.arrivals >= MAX_ARRIVALS {
        return false;
    }
    // The repeat is taken from the budget when it is sent; this only looks for another server.
    matches!(choose(app, prepared, &tries.tried), Choice::Use(_))
}

pub(crate) fn choose(app: &App, prepared: &Prepared, tried: &[BackendKey]) -> Choice {
    let mut view = app.view();
    let (now_ms, data_centre) = (app.now_ms(), &app.settings.data_centre);
    match &prepared.model {
        Some(model) => view.choose_engine(now_ms, &prepared.service, model, data_centre, tried),
        None => view.choose_plain(now_ms, &prepared.service, data_centre, tried),
    }
}

/// "Not run" may be told only if no attempt may have run.
fn give_up(tries: &Tries, reason: Reason) -> Reason {
    if tries.runs > 0 { Reason::Failed } else { reason }
}

fn prepare(
    app: &App,
    parts: Parts,
    body: Bytes,
    table: Arc<RouteTable>,
    route: RouteKey,
    received_at: Instant,
) -> Prepared {
    let names = &app.dialect.headers;
    let service = table.draw_service(route, &mut fastrand::Rng::new());
    let spec = table.service(service);
    let text = |name| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let model = spec.engine.is_some().then(|| text(&names.model).map(ModelName::from)).flatten();
    let timeout_ms = table.route(route).timeout_ms;
    let asked_ms = text(&names.deadline_ms).and_then(|text| text.trim().parse::<u64>().ok());
    let limit_ms = asked_ms.map_or(timeout_ms, |asked_ms| asked_ms.min(timeout_ms));
    let tokens = headers::tokens(&parts.headers, names);
    // A caller that comes back states what is left of its time.
    let spent_ms = asked_ms.map_or(0, |asked_ms| timeout_ms.saturating_sub(asked_ms));
    Prepared {
        spent_ms,
        prompt_tokens: tokens.prompt,
        output_tokens: tokens.likely_output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        most_output_tokens: tokens.most_output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        prompt_parts: headers::prompt_parts(&parts.headers, names),
        request_id: text(&names.request_id).map(Box::from),
        model,
        service: spec.name.clone(),
        headers: headers::for_backend(&parts.headers, names),
        method: parts.method,
        uri: headers::origin_form(&parts.uri),
        body,
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

async fn read_body(body: Incoming, limit_bytes: usize) -> Result<Bytes, Reason> {
    match timeout(BODY_TIMEOUT, Limited::new(body, limit_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(error)) => {
            log::info!("request: the body broke off: {error}");
            Err(Reason::Malformed)
        }
        Err(_) => Err(Reason::BodyIncomplete),
    }
}

#[cfg(test)]
mod tests;

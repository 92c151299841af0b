//! A request that is ready to be sent.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, OnceLock},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Uri,
    header::{HOST, HeaderValue},
    http::request::Parts,
};
use redwinglatch_body::BufferReservation;
use redwinglatch_routing::{
    CustomerKey, CustomerSpec, EngineSpec, Route, RouteKey, RouteTable, UsageUnit,
};
use tokio::time::Instant;

use crate::{
    HeaderNames,
    entry::{EntryContext, ended_servers, relay::RequestOrigin, request_outcomes},
    http::PeerAddress,
    ids::{BackendKey, ModelName, SoftwareVersion},
    message::{PlaceRequest, shared_parts},
    request_digests::RequestDigests,
    suspects::FailedRequest,
};

use super::{headers, take_up::TakeUp};

/// Number of output tokens assumed for a request that states no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 200;

/// Beginning of the ids of requests whose callers have given none.
const OWN_ID_PREFIX: &str = "entry-";

/// The route of a request, its customer, and where the stream goes on that it takes up.
pub(super) struct ChosenRoute {
    pub(super) table: Arc<RouteTable>,
    pub(super) route: RouteKey,
    pub(super) customer: Option<CustomerKey>,
    pub(super) take_up: Option<TakeUp>,
}

pub(super) fn prepare(
    context: &EntryContext,
    parts: Parts,
    (body, body_reservation): (Bytes, BufferReservation),
    ChosenRoute { table, route, customer, take_up }: ChosenRoute,
    origin: RequestOrigin,
    received_at: Instant,
) -> PreparedRequest {
    let names = &context.dialect.headers;
    let (own_id, headers) = identify(names, &parts.headers, &table, customer);
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
        stated_tokens: tokens.stated,
        max_output_tokens: tokens.max_output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        prompt_parts: headers::prompt_parts(&parts.headers, &names.prompt_parts),
        host: host_of(&parts).unwrap_or_default().into(),
        caller: peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |PeerAddress(address)| *address),
        digests: OnceLock::new(),
        origin,
        request_id: own_id.or_else(|| text(&names.request_id).map(Box::from)),
        resumes: text(&names.resumes).map(Box::from),
        software_version: take_up.map(|bound| bound.version),
        model,
        service: spec.name.clone(),
        headers,
        customer,
        method: parts.method,
        uri: headers::origin_form(&parts.uri),
        body,
        _body_reservation: body_reservation,
        route,
        deadline: received_at + Duration::from_millis(limit_ms),
        table,
    }
}

/// Returns the headers that are forwarded, and the id that this process gives to a request whose caller has given none.
///
/// Only the id tells the answer to a request from a late second copy of the answer to an earlier one on the same
/// connection.
fn identify(
    names: &HeaderNames,
    headers: &HeaderMap,
    table: &RouteTable,
    customer: Option<CustomerKey>,
) -> (Option<Box<str>>, HeaderMap) {
    let mut headers = headers::for_backend(headers, names, table, customer);
    if headers.get(&names.request_id).is_some_and(|id| !id.as_bytes().trim_ascii().is_empty()) {
        return (None, headers);
    }
    let id = format!("{OWN_ID_PREFIX}{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
    match HeaderValue::from_str(&id) {
        Ok(value) => drop(headers.insert(&names.request_id, value)),
        Err(error) => log::error!("request: the id {id:?} can't be sent: {error}"),
    }
    (Some(id.into()), headers)
}

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
    pub(super) resumes: Option<Box<str>>,
    /// The software version at which the stream goes on, once it has begun.
    pub(crate) software_version: Option<SoftwareVersion>,
    pub(crate) model: Option<ModelName>,
    pub(crate) service: Box<str>,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) route: RouteKey,
    /// The customer that sends the request, if it carries an API key.
    customer: Option<CustomerKey>,
    pub(crate) deadline: Instant,
    /// The part of the route's timeout that the caller's earlier attempts used.
    pub(crate) spent_ms: u64,
    /// Time from the arrival of the request until the caller leaves unless the first event has
    /// arrived.
    pub(crate) patience_ms: u64,
    prompt_tokens: u32,
    output_tokens: u32,
    pub(super) max_output_tokens: u32,
    /// The sum of the token counts that the request states, if it states any.
    stated_tokens: Option<u64>,
    prompt_parts: Vec<(u64, u32)>,
    host: Box<str>,
    caller: IpAddr,
    digests: OnceLock<RequestDigests>,
}

impl PreparedRequest {
    /// Returns whether the request may be sent to servers of a software version.
    pub(super) fn allows_version(&self, version: SoftwareVersion) -> bool {
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

    /// Returns these fields and the customer.
    pub(super) fn log_name_with_customer(&self) -> String {
        let customer = self.customer().map_or("-", |customer| &customer.name);
        format!("{} customer={customer:?}", self.log_name())
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

    /// Returns whether the caller goes on with a stream of which it has events.
    pub(crate) fn is_take_up(&self, context: &EntryContext) -> bool {
        self.headers.contains_key(&context.dialect.headers.last_event_id)
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
        let failed_ms = context.now_ms();
        if self.engine_spec().is_some() {
            let request = FailedRequest { server, suspect, has_ended: false };
            context.fleet_view().request_failed(failed_ms, failed_ms, request);
            return;
        }
        let context = Arc::clone(context);
        tokio::spawn(async move {
            let has_ended = ended_servers::has_ended(&context, server, address).await;
            let request = FailedRequest { server, suspect, has_ended };
            let now_ms = context.now_ms();
            context.fleet_view().request_failed(now_ms, failed_ms, request);
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

    pub(super) fn place_request(
        &self,
        excluded: &[BackendKey],
        received_at: Instant,
    ) -> PlaceRequest {
        let route = self.route();
        let elapsed_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        PlaceRequest {
            service: self.service.clone(),
            model: self.model.clone().unwrap_or_default(),
            priority: self.priority(),
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

    /// Returns the customer that sends the request.
    pub(crate) fn customer(&self) -> Option<&CustomerSpec> {
        self.customer.map(|customer| self.table.customer(customer))
    }

    /// Returns the usage of the request in a customer's unit.
    pub(crate) fn usage(&self, unit: UsageUnit) -> u64 {
        match unit {
            UsageUnit::Requests => 1,
            UsageUnit::Tokens { unstated_tokens } => {
                self.stated_tokens.unwrap_or(u64::from(unstated_tokens))
            }
        }
    }

    /// Returns the priority of the request, where 0 is the most urgent.
    pub(super) fn priority(&self) -> u8 {
        let of_customer = self.customer().and_then(|customer| customer.priority);
        of_customer.unwrap_or(self.route().priority)
    }

    pub(crate) fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    /// Returns the engine specification of the service, or `None` for a service without engines.
    pub(super) fn engine_spec(&self) -> Option<&EngineSpec> {
        let mut services = self.table.engine_services();
        services.find(|(service, _)| service.name == self.service).map(|(_, spec)| spec)
    }
}

pub(super) fn host_of(parts: &Parts) -> Option<&str> {
    let host = match parts.uri.host() {
        Some(host) => host,
        None => parts.headers.get(HOST)?.to_str().ok()?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    (!name.is_empty()).then_some(name)
}

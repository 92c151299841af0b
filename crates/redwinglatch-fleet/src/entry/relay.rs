//! Requests that one entry process passes on to another, because it doesn't reach their servers.
//!
//! The other process serves such a request like that of a caller, with the caller's address, its remaining time, the
//! attempts of the first process and at least the configuration that this one has in force. It never passes a request
//! on again.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    header::{CONTENT_LENGTH, HeaderName, HeaderValue},
};
use redwinglatch_body::body_channel;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    REQUEST_PLACED_TARGET,
    http::{self, Body, ConnectionLease, PeerAddress, SendError, ServerLimits},
};

use super::{
    EntryContext, ended_servers,
    forward::{self, PassedOnCustomer, PreparedRequest, RequestAttempts},
    in_flight::CallerRequest,
    peers::{MAX_PEERS_PER_REQUEST, TriedPeers},
    refusal::full_body,
};

/// The address of the caller.
const CALLER: HeaderName = HeaderName::from_static("redwinglatch-relay-caller");
/// The name of the customer that sends the request.
const CUSTOMER: HeaderName = HeaderName::from_static("redwinglatch-relay-customer");
/// The version of the configuration that the sender has in force.
const CONFIGURATION: HeaderName = HeaderName::from_static("redwinglatch-relay-configuration");
/// The attempts of the sender.
const ATTEMPTS: HeaderName = HeaderName::from_static("redwinglatch-relay-attempts");
/// States in an answer that another process may serve the request, which has not run.
const ELSEWHERE: HeaderName = HeaderName::from_static("redwinglatch-relay-elsewhere");
/// Time for which the sender's configuration is awaited.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(300);
/// Interval between checks during that time.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of chunks queued for a slow caller before reading from the other process pauses.
const QUEUE_CHUNKS: usize = 64;

/// How a request reached this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOrigin {
    Caller,
    /// Another entry process has passed it on.
    Process,
}

/// The outcome of passing a request on.
pub(super) enum RelayOutcome {
    /// The answer for the caller.
    Answered(Response<Body>),
    /// No process can send the request on; it has not run.
    NotSent,
    /// The request may have run, but there is no answer.
    MaybeRan,
}

/// Serves the requests that other entry processes pass on, until `stop` is true.
pub(super) async fn run(
    listener: TcpListener,
    context: Arc<EntryContext>,
    stop: watch::Receiver<bool>,
) {
    let memory = context.server_memory("relay", context.memory.relay.clone());
    let handler = move |request| {
        let context = Arc::clone(&context);
        async move {
            let mut response = serve(Arc::clone(&context), request).await;
            context.close_while_draining(&mut response);
            response
        }
    };
    http::serve(listener, ServerLimits::default, memory, stop, handler).await;
}

async fn serve(context: Arc<EntryContext>, mut request: Request<Incoming>) -> Response<Body> {
    if let Some(response) = ended_servers::answer(&context, request.uri().path()).await {
        return response;
    }
    let text =
        |name: &HeaderName| request.headers().get(name).and_then(|value| value.to_str().ok());
    let caller: Option<IpAddr> = text(&CALLER).and_then(|text| text.parse().ok());
    let configuration = text(&CONFIGURATION).and_then(|text| text.parse().ok()).unwrap_or_default();
    let attempts = text(&ATTEMPTS).map(RequestAttempts::of_other_process).unwrap_or_default();
    let customer = text(&CUSTOMER).map(|name| PassedOnCustomer(name.into()));
    let request_id = request.headers().get(&context.dialect.headers.request_id).cloned();
    for name in [CALLER, CUSTOMER, CONFIGURATION, ATTEMPTS] {
        request.headers_mut().remove(name);
    }
    if let Some(caller) = caller {
        request.extensions_mut().insert(PeerAddress(caller));
    }
    if let Some(customer) = customer {
        request.extensions_mut().insert(customer);
    }
    wait_for_configuration(&context, configuration).await;
    context.metrics.record_relay("received");
    let mut response = forward::serve(&context, request, RequestOrigin::Process, attempts).await;
    // The sender finds its answer by the id, which a refusal of this process doesn't have.
    if let Some(id) = request_id {
        let name = context.dialect.headers.request_id.clone();
        response.headers_mut().entry(name).or_insert(id);
    }
    response
}

/// Waits until this process has a configuration that is at least as new as that of the sender.
async fn wait_for_configuration(context: &EntryContext, version: u64) {
    let deadline = Instant::now() + CONFIGURATION_WAIT;
    while context.fleet_view().version() < version && Instant::now() < deadline {
        sleep(CONFIGURATION_CHECK_INTERVAL).await;
    }
}

/// Marks a refusal after which another process may serve the request.
pub(super) fn mark_for_elsewhere(response: &mut Response<Body>) {
    response.headers_mut().insert(ELSEWHERE, HeaderValue::from_static("1"));
}

/// Passes a request on to other entry processes until one can send it on.
pub(super) async fn send(
    context: &Arc<EntryContext>,
    prepared: &PreparedRequest,
    attempts: &RequestAttempts,
    tried: &mut TriedPeers,
    caller: &Arc<CallerRequest>,
) -> RelayOutcome {
    while prepared.origin() == RequestOrigin::Caller && tried.len() < MAX_PEERS_PER_REQUEST {
        let Some((peer, address)) = context.choose_peer(&prepared.service, tried) else { break };
        tried.push(peer);
        log::info!(
            target: REQUEST_PLACED_TARGET,
            "request: {} passed_on={peer} tries={}",
            prepared.log_name(),
            tried.len(),
        );
        let in_flight = PeerRequest::start(context, peer);
        let request = build_request(context, prepared, attempts);
        let sent = timeout_at(prepared.deadline, context.client.send(address, request)).await;
        let (response, lease) = match sent {
            Ok(Ok(answered)) => answered,
            Ok(Err(error)) => {
                log::info!("request: {} passed_on={peer} failed: {error}", prepared.log_name());
                context.metrics.record_relay("failed");
                let now_ms = context.now_ms();
                context.fleet_view().peer_failed(now_ms, peer);
                match error {
                    SendError::NotSent { .. } => continue,
                    SendError::MaybeSent { .. } => return RelayOutcome::MaybeRan,
                }
            }
            Err(_) => return RelayOutcome::MaybeRan,
        };
        if response.headers().contains_key(ELSEWHERE) {
            context.metrics.record_relay("elsewhere");
            let now_ms = context.now_ms();
            context.fleet_view().peer_unreachable(now_ms, peer, &prepared.service);
            tokio::spawn(finish(response.into_body(), lease));
            continue;
        }
        context.metrics.record_relay("sent");
        context.fleet_view().peer_answered(peer, &prepared.service);
        return RelayOutcome::Answered(forward_answer(response, lease, in_flight, caller));
    }
    RelayOutcome::NotSent
}

fn build_request(
    context: &EntryContext,
    prepared: &PreparedRequest,
    attempts: &RequestAttempts,
) -> Request<Full<Bytes>> {
    let mut request = prepared.to_send(context);
    let headers = request.headers_mut();
    // Callers must not choose a customer on a route that needs no key.
    headers.remove(CUSTOMER);
    let customer = prepared.customer().map(|customer| (CUSTOMER, customer.name.to_string()));
    let fields = [(CALLER, prepared.caller().to_string()), (ATTEMPTS, attempts.to_string())];
    for (name, text) in fields.into_iter().chain(customer) {
        match HeaderValue::from_str(&text) {
            Ok(value) => drop(headers.insert(name, value)),
            Err(error) => log::error!("request: {text:?} can't be passed on: {error}"),
        }
    }
    headers.insert(CONFIGURATION, HeaderValue::from(prepared.table.configuration().version));
    request
}

/// Returns the answer of another process for the caller, and forwards its body as it arrives. A length that the other
/// process states is kept: it has the whole body.
fn forward_answer(
    response: Response<Incoming>,
    lease: ConnectionLease,
    in_flight: PeerRequest,
    caller: &Arc<CallerRequest>,
) -> Response<Body> {
    let (parts, mut incoming) = response.into_parts();
    let mut headers = forward::headers_for_caller(parts.headers);
    if incoming.is_end_stream() {
        lease.reuse();
        let mut forwarded = Response::new(full_body(Bytes::new()));
        *forwarded.status_mut() = parts.status;
        *forwarded.headers_mut() = headers;
        return forwarded;
    }
    if let Some(length) = incoming.size_hint().exact() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    let (sender, body) = body_channel(QUEUE_CHUNKS);
    let caller = Arc::clone(caller);
    tokio::spawn(async move {
        // Both count the request for as long as its answer is forwarded.
        let (in_flight, _caller) = (in_flight, caller);
        let given_up = in_flight.context.until_given_up();
        tokio::pin!(given_up);
        loop {
            let frame = tokio::select! {
                frame = incoming.frame() => frame,
                () = sender.closed() => return,
                () = &mut given_up => return,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && sender.send(data).await.is_err()
                    {
                        return;
                    }
                }
                Some(Err(error)) => {
                    return log::info!("request: an answer of another process broke off: {error}");
                }
                None => {
                    lease.reuse();
                    return sender.finish();
                }
            }
        }
    });
    let mut forwarded = Response::new(body.map_err(Into::into).boxed());
    *forwarded.status_mut() = parts.status;
    *forwarded.headers_mut() = headers;
    forwarded
}

/// Reads the rest of a short answer, so that the connection can be reused.
async fn finish(body: Incoming, lease: ConnectionLease) {
    if body.collect().await.is_ok() {
        lease.reuse();
    }
}

/// Counts a request that is passed on to another process for as long as it exists.
struct PeerRequest {
    context: Arc<EntryContext>,
    peer: SocketAddr,
}

impl PeerRequest {
    fn start(context: &Arc<EntryContext>, peer: SocketAddr) -> PeerRequest {
        context.fleet_view().peer_request_started(peer);
        PeerRequest { context: Arc::clone(context), peer }
    }
}

impl Drop for PeerRequest {
    fn drop(&mut self) {
        self.context.fleet_view().peer_request_ended(self.peer);
    }
}

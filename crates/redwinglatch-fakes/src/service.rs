//! A fake of a plain service.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::json as json_value;
use tokio::{
    sync::watch,
    time::{Duration, Instant, sleep},
};

use crate::{
    connection_control::ConnectionControl,
    response::{ResponseBody, json, leaving, not_run, read_body, refusal},
    server::FakeServer,
    time_limit::expect_within_limit,
};

/// The settings of a [`FakeService`], in builder style.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    work_ms: u64,
    data_centre: Box<str>,
}

impl ServiceSettings {
    /// Settings of a service that responds without a delay.
    #[must_use]
    pub fn new() -> ServiceSettings {
        ServiceSettings { work_ms: 0, data_centre: "hall-a".into() }
    }

    /// Sets how long a run takes.
    #[must_use]
    pub fn work_ms(mut self, work_ms: u64) -> ServiceSettings {
        self.work_ms = work_ms;
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn data_centre(mut self, data_centre: impl Into<Box<str>>) -> ServiceSettings {
        self.data_centre = data_centre.into();
        self
    }
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings::new()
    }
}

/// A fault injected into one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// Rejects the request before running it, with `x-not-run: true`.
    RefuseBeforeRun,
    /// Resets the connection before running.
    ResetBeforeRun,
    /// Runs and then resets the connection without a response.
    ResetAfterRun,
    /// Runs and then responds with status 500.
    ErrorAfterRun,
    /// Runs and then stalls the connection, which stays open without a response.
    StallAfterRun,
}

/// One run of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRun {
    /// The `idempotency-key` of the request, or else its path.
    pub key: Box<str>,
    /// The method.
    pub method: Box<str>,
    /// The path with its query.
    pub path: Box<str>,
    /// When the run began.
    pub start: Instant,
    /// When the run ended; `None` while it is active.
    pub end: Option<Instant>,
}

#[derive(Debug)]
struct ServiceState {
    settings: ServiceSettings,
    runs: Vec<ServiceRun>,
    faults: VecDeque<ServiceFault>,
    is_leaving: bool,
}

struct ServiceContext {
    state: Mutex<ServiceState>,
    changes: watch::Sender<u64>,
}

impl ServiceContext {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("the service's mutex is not poisoned")
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }
}

/// A plain service that accepts any method and path and counts its runs per key.
///
/// The response is JSON with the key, the path, the number of runs of that key, and the size of the
/// request body.
pub struct FakeService {
    context: Arc<ServiceContext>,
    server: FakeServer,
}

impl FakeService {
    /// Starts a service on a free loopback port; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(settings: ServiceSettings) -> io::Result<FakeService> {
        let state =
            ServiceState { settings, runs: Vec::new(), faults: VecDeque::new(), is_leaving: false };
        let context =
            Arc::new(ServiceContext { state: Mutex::new(state), changes: watch::Sender::new(0) });
        let handler_context = context.clone();
        let server = FakeServer::start(move |request, connection| {
            handle_request(handler_context.clone(), connection, request)
        })?;
        Ok(FakeService { context, server })
    }

    /// The service's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The service's data centre.
    #[must_use]
    pub fn data_centre(&self) -> Box<str> {
        self.context.state().settings.data_centre.clone()
    }

    /// Every run so far.
    #[must_use]
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.context.state().runs.clone()
    }

    /// Returns the number of runs of each key.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<Box<str>, usize> {
        self.runs().into_iter().fold(HashMap::new(), |mut counts, run| {
            *counts.entry(run.key).or_default() += 1;
            counts
        })
    }

    /// The number of established connections.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.server.connection_count()
    }

    /// Waits until `count` connections are established.
    ///
    /// # Panics
    ///
    /// Panics after 60 s.
    pub async fn wait_for_connections(&self, count: usize) {
        expect_within_limit(
            "the expected number of connections",
            self.server.wait_for_connections(count),
        )
        .await;
    }

    /// Waits until `condition` is true of the runs; checked after each change.
    ///
    /// # Panics
    ///
    /// Panics after 60 s.
    pub async fn wait_until(&self, condition: impl Fn(&[ServiceRun]) -> bool) {
        let mut changes = self.context.changes.subscribe();
        let wait = async {
            loop {
                changes.borrow_and_update();
                if condition(&self.context.state().runs) || changes.changed().await.is_err() {
                    return;
                }
            }
        };
        expect_within_limit("the condition on the runs", wait).await;
    }

    /// Injects `fault` into the next request; each call queues a fault for one further request.
    pub fn inject_fault(&self, fault: ServiceFault) {
        self.context.state().faults.push_back(fault);
    }

    /// Sets whether new requests are rejected with `x-leaving: true`; running ones end normally.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.context.state().is_leaving = is_leaving;
    }

    /// Stops reading and writing on all established connections without closing them; new
    /// connections work.
    pub fn stall_connections(&self) {
        self.server.stall_connections(false);
    }

    /// Stops reading and writing on established connections without a request in progress.
    pub fn stall_idle_connections(&self) {
        self.server.stall_connections(true);
    }

    /// Resets every established connection.
    pub fn reset_connections(&self) {
        self.server.reset_connections();
    }

    /// Refuses new connections; established ones stay open.
    pub async fn refuse_connections(&self) {
        self.server.refuse_connections().await;
    }

    /// Accepts new connections again on the same port.
    ///
    /// # Errors
    ///
    /// Fails when another process has taken the port.
    pub fn accept_connections(&self) -> io::Result<()> {
        self.server.accept_connections()
    }

    /// Stops the service and closes its connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

async fn handle_request(
    context: Arc<ServiceContext>,
    connection: Arc<ConnectionControl>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if request.uri().path() == "/health" {
        return json(StatusCode::OK, &json_value!({}));
    }
    let path: Box<str> = request.uri().to_string().into();
    let method: Box<str> = request.method().as_str().into();
    let key = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok());
    let key: Box<str> = key.map_or_else(|| path.clone(), Into::into);
    let Some(body) = read_body(request.into_body()).await else {
        return not_run(refusal(413, "too_large", "the body is too large"));
    };
    let (work_ms, fault, index) = {
        let mut state = context.state();
        if state.is_leaving {
            return leaving(not_run(refusal(503, "leaving", "the service is leaving")));
        }
        let fault = state.faults.pop_front();
        match fault {
            Some(ServiceFault::RefuseBeforeRun) => {
                return not_run(refusal(503, "overloaded", "rejection injected by the test"));
            }
            Some(ServiceFault::ResetBeforeRun) => {
                connection.reset();
                return refusal(500, "reset", "the connection was reset");
            }
            _ => {}
        }
        let start = Instant::now();
        let run = ServiceRun { key: key.clone(), method, path: path.clone(), start, end: None };
        state.runs.push(run);
        (state.settings.work_ms, fault, state.runs.len() - 1)
    };
    context.notify();
    if work_ms > 0 {
        sleep(Duration::from_millis(work_ms)).await;
    }
    context.state().runs[index].end = Some(Instant::now());
    context.notify();
    match fault {
        Some(ServiceFault::ResetAfterRun) => connection.reset(),
        Some(ServiceFault::StallAfterRun) => connection.stall(),
        Some(ServiceFault::ErrorAfterRun) => {
            return refusal(500, "internal", "failed after the run");
        }
        _ => {}
    }
    let count = context.state().runs.iter().filter(|run| run.key == key).count();
    let value = json_value!({ "key": key, "path": path, "runs": count, "body_bytes": body.len() });
    json(StatusCode::OK, &value)
}

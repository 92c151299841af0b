//! A fake plain service.

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
    answer::{AnswerBody, json, leaving, not_run, read_body, refusal},
    link::Link,
    server::FakeServer,
    wait::within_limit,
};

/// The settings of a [`FakeService`], in builder style.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    work_ms: u64,
    data_centre: Box<str>,
}

impl ServiceSettings {
    /// Describes a service that answers at once.
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

/// A fault shown on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceFault {
    /// Refuses before running, with `x-not-run: true`.
    RefuseBeforeRun,
    /// Resets the connection before running.
    ResetBeforeRun,
    /// Runs and then resets the connection without an answer.
    ResetAfterRun,
    /// Runs and then answers 500.
    ErrorAfterRun,
    /// Runs and then never answers.
    SilentAfterRun,
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
    leaving: bool,
}

struct Shared {
    state: Mutex<ServiceState>,
    changes: watch::Sender<u64>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("the service's lock is sound")
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }
}

/// A plain service that answers any method and path and counts its runs per key.
///
/// The answer is JSON with the key, the path, the number of runs of that key, and the size of the
/// request body.
pub struct FakeService {
    shared: Arc<Shared>,
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
            ServiceState { settings, runs: Vec::new(), faults: VecDeque::new(), leaving: false };
        let shared = Arc::new(Shared { state: Mutex::new(state), changes: watch::Sender::new(0) });
        let handler_shared = shared.clone();
        let server =
            FakeServer::start(move |request, link| answer(handler_shared.clone(), link, request))?;
        Ok(FakeService { shared, server })
    }

    /// The service's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The service's data centre.
    #[must_use]
    pub fn data_centre(&self) -> Box<str> {
        self.shared.state().settings.data_centre.clone()
    }

    /// Every run so far.
    #[must_use]
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared.state().runs.clone()
    }

    /// How many runs each key had.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<Box<str>, usize> {
        self.runs().into_iter().fold(HashMap::new(), |mut counts, run| {
            *counts.entry(run.key).or_default() += 1;
            counts
        })
    }

    /// How many connections are established.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.server.connection_count()
    }

    /// Waits until `count` connections are established.
    ///
    /// # Panics
    ///
    /// Panics when that takes more than 60 s.
    pub async fn wait_for_connections(&self, count: usize) {
        within_limit("the connections", self.server.wait_for_connections(count)).await;
    }

    /// Waits until a condition over the runs holds; checked after each change.
    ///
    /// # Panics
    ///
    /// Panics when that takes more than 60 s.
    pub async fn wait_until(&self, condition: impl Fn(&[ServiceRun]) -> bool) {
        let mut changes = self.shared.changes.subscribe();
        let wait = async {
            loop {
                changes.borrow_and_update();
                if condition(&self.shared.state().runs) || changes.changed().await.is_err() {
                    return;
                }
            }
        };
        within_limit("the condition over the runs", wait).await;
    }

    /// Shows `fault` on the next request; each call adds one for a further request.
    pub fn fault_next(&self, fault: ServiceFault) {
        self.shared.state().faults.push_back(fault);
    }

    /// Refuses new requests with `x-leaving: true`; running ones end normally.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Stops reading and writing on every established connection; new connections work.
    pub fn go_silent(&self) {
        self.server.go_silent(false);
    }

    /// Stops reading and writing on established connections that have no request in progress.
    pub fn go_silent_when_idle(&self) {
        self.server.go_silent(true);
    }

    /// Resets every established connection.
    pub fn reset_connections(&self) {
        self.server.reset_connections();
    }

    /// Refuses new connections; established ones continue.
    pub async fn refuse_connections(&self) {
        self.server.refuse_connections().await;
    }

    /// Accepts connections again on the same port.
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

async fn answer(
    shared: Arc<Shared>,
    link: Arc<Link>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
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
        let mut state = shared.state();
        if state.leaving {
            return leaving(not_run(refusal(503, "leaving", "the service is leaving")));
        }
        let fault = state.faults.pop_front();
        match fault {
            Some(ServiceFault::RefuseBeforeRun) => {
                return not_run(refusal(503, "overloaded", "refused by the test"));
            }
            Some(ServiceFault::ResetBeforeRun) => {
                link.reset();
                return refusal(500, "reset", "the connection is reset");
            }
            _ => {}
        }
        let start = Instant::now();
        let run = ServiceRun { key: key.clone(), method, path: path.clone(), start, end: None };
        state.runs.push(run);
        (state.settings.work_ms, fault, state.runs.len() - 1)
    };
    shared.notify();
    if work_ms > 0 {
        sleep(Duration::from_millis(work_ms)).await;
    }
    shared.state().runs[index].end = Some(Instant::now());
    shared.notify();
    match fault {
        Some(ServiceFault::ResetAfterRun) => link.reset(),
        Some(ServiceFault::SilentAfterRun) => link.go_silent(),
        Some(ServiceFault::ErrorAfterRun) => {
            return refusal(500, "internal", "failed after the run");
        }
        _ => {}
    }
    let count = shared.state().runs.iter().filter(|run| run.key == key).count();
    let value = json_value!({ "key": key, "path": path, "runs": count, "body_bytes": body.len() });
    json(StatusCode::OK, &value)
}

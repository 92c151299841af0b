//! A fake of the platform, which lists backend servers.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Serialize;
use serde_json::json as json_value;
use tokio::time::{Duration, Instant};

use crate::{
    response::{ResponseBody, json, raw_json, refusal},
    server::FakeServer,
};

/// The state of a listed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance accepts work.
    Live,
    /// The instance is leaving.
    Leaving,
}

#[derive(Debug, Clone, Serialize)]
struct ListEntry {
    pool: Box<str>,
    address: SocketAddr,
    data_centre: Box<str>,
    state: InstanceState,
}

/// The settings of a [`FakePlatform`], in builder style.
#[derive(Debug, Clone, Default)]
pub struct PlatformSettings {
    lag_ms: u64,
}

impl PlatformSettings {
    /// Settings of a platform whose list is empty and never lags.
    #[must_use]
    pub fn new() -> PlatformSettings {
        PlatformSettings::default()
    }

    /// Sets the delay before a change appears in the list.
    #[must_use]
    pub fn lag_ms(mut self, lag_ms: u64) -> PlatformSettings {
        self.lag_ms = lag_ms;
        self
    }
}

#[derive(Debug)]
struct PlatformState {
    lag_ms: u64,
    fail_next: u32,
    request_count: u64,
    planned_bodies: VecDeque<String>,
    current: Vec<ListEntry>,
    /// Versions of the list with their creation times: the newest one that is at least as old as
    /// the lag, and all later ones.
    versions: VecDeque<(Instant, Vec<ListEntry>)>,
}

impl PlatformState {
    fn record_change(&mut self) {
        self.versions.push_back((Instant::now(), self.current.clone()));
    }

    fn visible_entries(&mut self) -> &[ListEntry] {
        let lag = Duration::from_millis(self.lag_ms);
        while self.versions.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.versions.pop_front();
        }
        self.versions.front().map_or(&[], |(_, entries)| entries)
    }
}

/// The platform's list of live and leaving backend servers and instances.
pub struct FakePlatform {
    state: Arc<Mutex<PlatformState>>,
    server: FakeServer,
}

impl FakePlatform {
    /// Starts a platform on a free loopback port; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(settings: PlatformSettings) -> io::Result<FakePlatform> {
        let mut platform = PlatformState {
            lag_ms: settings.lag_ms,
            fail_next: 0,
            request_count: 0,
            planned_bodies: VecDeque::new(),
            current: Vec::new(),
            versions: VecDeque::new(),
        };
        platform.record_change();
        let state = Arc::new(Mutex::new(platform));
        let handler_state = state.clone();
        let server = FakeServer::start(move |request, _| {
            let response = handle_request(&handler_state, &request);
            async { response }
        })?;
        Ok(FakePlatform { state, server })
    }

    /// The platform's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an instance to a pool, or changes its data centre and state.
    pub fn set(&self, pool: &str, address: SocketAddr, data_centre: &str, state: InstanceState) {
        let mut platform = self.state();
        platform.current.retain(|entry| *entry.pool != *pool || entry.address != address);
        let (pool, data_centre) = (pool.into(), data_centre.into());
        platform.current.push(ListEntry { pool, address, data_centre, state });
        platform.record_change();
    }

    /// Removes an instance from all pools.
    pub fn remove(&self, address: SocketAddr) {
        let mut platform = self.state();
        platform.current.retain(|entry| entry.address != address);
        platform.record_change();
    }

    /// Sets the delay before a change appears in the list.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.state().lag_ms = lag_ms;
    }

    /// Responds to the next `count` requests with status 503.
    pub fn fail_next(&self, count: u32) {
        self.state().fail_next += count;
    }

    /// Responds to one of the next requests with `body` instead of the list; bodies are queued.
    pub fn respond_next_with(&self, body: String) {
        self.state().planned_bodies.push_back(body);
    }

    /// The number of requests for the list so far.
    #[must_use]
    pub fn request_count(&self) -> u64 {
        self.state().request_count
    }

    /// Stops reading and writing on all established connections without closing them; new
    /// connections work.
    pub fn stall_connections(&self) {
        self.server.stall_connections(false);
    }

    /// Stops the platform and closes its connections.
    pub fn stop(&self) {
        self.server.stop();
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("the platform's mutex is not poisoned")
    }
}

fn handle_request(
    state: &Mutex<PlatformState>,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    match request.uri().path() {
        "/health" => json(StatusCode::OK, &json_value!({})),
        "/instances" => {
            let mut platform = state.lock().expect("the platform's mutex is not poisoned");
            platform.request_count += 1;
            if platform.fail_next > 0 {
                platform.fail_next -= 1;
                return refusal(503, "unavailable", "failure injected by the test");
            }
            match platform.planned_bodies.pop_front() {
                Some(body) => raw_json(body),
                None => {
                    json(StatusCode::OK, &json_value!({ "instances": platform.visible_entries() }))
                }
            }
        }
        path => refusal(404, "not_found", path),
    }
}

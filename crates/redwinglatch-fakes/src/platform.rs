//! The fake platform with its list of instances.

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
    answer::{AnswerBody, json, raw_json, refusal},
    server::FakeServer,
};

/// The state of an instance in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance takes work.
    Live,
    /// The instance is leaving.
    Leaving,
}

#[derive(Debug, Clone, Serialize)]
struct Entry {
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
    /// Describes a platform whose list is empty and never lags.
    #[must_use]
    pub fn new() -> PlatformSettings {
        PlatformSettings::default()
    }

    /// Sets the time after which a change appears in the list.
    #[must_use]
    pub fn lag_ms(mut self, lag_ms: u64) -> PlatformSettings {
        self.lag_ms = lag_ms;
        self
    }
}

#[derive(Debug)]
struct PlatformStateInner {
    lag_ms: u64,
    fail_next: u32,
    requests: u64,
    answers: VecDeque<String>,
    current: Vec<Entry>,
    /// Lists with the time of their change; holds one older than the lag and all later ones.
    versions: VecDeque<(Instant, Vec<Entry>)>,
}

impl PlatformStateInner {
    fn note_change(&mut self) {
        self.versions.push_back((Instant::now(), self.current.clone()));
    }

    fn visible(&mut self) -> &[Entry] {
        let lag = Duration::from_millis(self.lag_ms);
        while self.versions.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.versions.pop_front();
        }
        self.versions.front().map_or(&[], |(_, entries)| entries)
    }
}

/// The platform's list of live and leaving backend servers and instances.
pub struct FakePlatform {
    state: Arc<Mutex<PlatformStateInner>>,
    server: FakeServer,
}

impl FakePlatform {
    /// Starts a platform on a free loopback port; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(settings: PlatformSettings) -> io::Result<FakePlatform> {
        let mut inner = PlatformStateInner {
            lag_ms: settings.lag_ms,
            fail_next: 0,
            requests: 0,
            answers: VecDeque::new(),
            current: Vec::new(),
            versions: VecDeque::new(),
        };
        inner.note_change();
        let state = Arc::new(Mutex::new(inner));
        let handler_state = state.clone();
        let server = FakeServer::start(move |request, _| {
            let answer = answer(&handler_state, &request);
            async { answer }
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
        let mut inner = self.state();
        inner.current.retain(|entry| *entry.pool != *pool || entry.address != address);
        let (pool, data_centre) = (pool.into(), data_centre.into());
        inner.current.push(Entry { pool, address, data_centre, state });
        inner.note_change();
    }

    /// Removes an instance from all pools.
    pub fn remove(&self, address: SocketAddr) {
        let mut inner = self.state();
        inner.current.retain(|entry| entry.address != address);
        inner.note_change();
    }

    /// Sets the time after which a change appears in the list.
    pub fn set_lag_ms(&self, lag_ms: u64) {
        self.state().lag_ms = lag_ms;
    }

    /// Answers the next `count` requests with 503.
    pub fn fail_next(&self, count: u32) {
        self.state().fail_next += count;
    }

    /// Answers one of the next requests with `body` instead of the list.
    pub fn answer_next(&self, body: String) {
        self.state().answers.push_back(body);
    }

    /// How many requests for the list arrived.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.state().requests
    }

    /// Stops reading and writing on every established connection; new connections work.
    pub fn go_silent(&self) {
        self.server.go_silent(false);
    }

    /// Stops the platform and closes its connections.
    pub fn stop(&self) {
        self.server.stop();
    }

    fn state(&self) -> MutexGuard<'_, PlatformStateInner> {
        self.state.lock().expect("the platform's lock is sound")
    }
}

fn answer(state: &Mutex<PlatformStateInner>, request: &Request<Incoming>) -> Response<AnswerBody> {
    match request.uri().path() {
        "/health" => json(StatusCode::OK, &json_value!({})),
        "/instances" => {
            let mut inner = state.lock().expect("the platform's lock is sound");
            inner.requests += 1;
            if inner.fail_next > 0 {
                inner.fail_next -= 1;
                return refusal(503, "unavailable", "failed by the test");
            }
            match inner.answers.pop_front() {
                Some(body) => raw_json(body),
                None => json(StatusCode::OK, &json_value!({ "instances": inner.visible() })),
            }
        }
        path => refusal(404, "not_found", path),
    }
}

//! A fake weight store with a limited load rate.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json as json_value;
use tokio::{
    sync::Notify,
    time::{Duration, Instant, timeout},
};

use crate::{
    answer::{AnswerBody, json, refusal},
    server::FakeServer,
};

/// The settings of a [`FakeWeightStore`], in builder style.
#[derive(Debug, Clone)]
pub struct WeightStoreSettings {
    loads_per_s: f64,
    parallel_loads: usize,
    adapters: HashSet<(Box<str>, u32)>,
}

impl WeightStoreSettings {
    /// Describes an empty store without a rate limit.
    #[must_use]
    pub fn new() -> WeightStoreSettings {
        WeightStoreSettings {
            loads_per_s: f64::INFINITY,
            parallel_loads: 1,
            adapters: HashSet::new(),
        }
    }

    /// Sets the loads per second that the store completes when it is busy.
    #[must_use]
    pub fn loads_per_s(mut self, loads_per_s: f64) -> WeightStoreSettings {
        self.loads_per_s = loads_per_s;
        self
    }

    /// Sets how many loads run at full speed; further ones slow all of them down.
    #[must_use]
    pub fn parallel_loads(mut self, parallel_loads: usize) -> WeightStoreSettings {
        self.parallel_loads = parallel_loads.max(1);
        self
    }

    /// Adds one version of an adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: impl Into<Box<str>>, version: u32) -> WeightStoreSettings {
        self.adapters.insert((adapter.into(), version));
        self
    }
}

impl Default for WeightStoreSettings {
    fn default() -> WeightStoreSettings {
        WeightStoreSettings::new()
    }
}

#[derive(Debug)]
struct StoreState {
    settings: WeightStoreSettings,
    active: usize,
    /// Full-speed milliseconds that every active load has had since the start.
    served_ms: f64,
    updated: Instant,
    completed: Vec<(Box<str>, u32)>,
    fail_next: u32,
}

impl StoreState {
    /// The share of full speed that each active load gets.
    fn speed(&self) -> f64 {
        (self.settings.parallel_loads as f64 / self.active.max(1) as f64).min(1.0)
    }

    fn update(&mut self) {
        self.served_ms += self.updated.elapsed().as_secs_f64() * 1000.0 * self.speed();
        self.updated = Instant::now();
    }
}

struct Shared {
    state: Mutex<StoreState>,
    changed: Notify,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("the store's lock is sound")
    }
}

/// A weight store that serves `GET /weights/{adapter}/{version}` at a limited rate.
pub struct FakeWeightStore {
    shared: Arc<Shared>,
    server: FakeServer,
}

impl FakeWeightStore {
    /// Starts a store on a free loopback port; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(settings: WeightStoreSettings) -> io::Result<FakeWeightStore> {
        let state = StoreState {
            settings,
            active: 0,
            served_ms: 0.0,
            updated: Instant::now(),
            completed: Vec::new(),
            fail_next: 0,
        };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Notify::new() });
        let handler_shared = shared.clone();
        let server = FakeServer::start(move |request, _| answer(handler_shared.clone(), request))?;
        Ok(FakeWeightStore { shared, server })
    }

    /// The store's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The completed loads in order.
    #[must_use]
    pub fn loads(&self) -> Vec<(Box<str>, u32)> {
        self.shared.state().completed.clone()
    }

    /// How many loads are under way.
    #[must_use]
    pub fn active_loads(&self) -> usize {
        self.shared.state().active
    }

    /// Adds one version of an adapter.
    pub fn add(&self, adapter: impl Into<Box<str>>, version: u32) {
        self.shared.state().settings.adapters.insert((adapter.into(), version));
    }

    /// Removes one version of an adapter.
    pub fn remove(&self, adapter: &str, version: u32) {
        self.shared.state().settings.adapters.remove(&(adapter.into(), version));
    }

    /// Answers the next `count` loads with 500.
    pub fn fail_next(&self, count: u32) {
        self.shared.state().fail_next += count;
    }

    /// Stops reading and writing on every established connection; new connections work.
    pub fn go_silent(&self) {
        self.server.go_silent(false);
    }

    /// Stops the store and closes its connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Counts a load as active until dropped, even when its connection is closed.
struct ActiveLoad<'a>(&'a Shared);

impl<'a> ActiveLoad<'a> {
    fn begin(shared: &'a Shared) -> ActiveLoad<'a> {
        let mut state = shared.state();
        state.update();
        state.active += 1;
        drop(state);
        shared.changed.notify_waiters();
        ActiveLoad(shared)
    }
}

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.update();
        state.active -= 1;
        drop(state);
        self.0.changed.notify_waiters();
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    if path == "/health" {
        return json(StatusCode::OK, &json_value!({}));
    }
    let wanted = path
        .strip_prefix("/weights/")
        .and_then(|rest| rest.rsplit_once('/'))
        .and_then(|(adapter, version)| Some((Box::from(adapter), version.parse().ok()?)));
    let (Some(wanted), &Method::GET) = (wanted, request.method()) else {
        return refusal(404, "not_found", path);
    };
    {
        let mut state = shared.state();
        if state.fail_next > 0 {
            state.fail_next -= 1;
            return refusal(500, "internal", "failed by the test");
        }
        if !state.settings.adapters.contains(&wanted) {
            return refusal(404, "unknown_adapter", path);
        }
    }
    serve_load(&shared).await;
    shared.state().completed.push(wanted);
    json(StatusCode::OK, &json_value!({ "weights": true }))
}

/// Waits until a load that begins now has had its full-speed time.
async fn serve_load(shared: &Shared) {
    let _active = ActiveLoad::begin(shared);
    let target_ms = {
        let state = shared.state();
        let alone_ms = state.settings.parallel_loads as f64 * 1000.0 / state.settings.loads_per_s;
        state.served_ms + alone_ms
    };
    loop {
        let changed = shared.changed.notified();
        let left = {
            let mut state = shared.state();
            state.update();
            Duration::from_secs_f64(((target_ms - state.served_ms) / state.speed()).max(0.0) / 1e3)
        };
        if left < Duration::from_micros(100) {
            return;
        }
        let _ = timeout(left, changed).await;
    }
}

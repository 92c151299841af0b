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
    response::{ResponseBody, json, refusal},
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
    /// Settings of an empty store without a rate limit.
    #[must_use]
    pub fn new() -> WeightStoreSettings {
        WeightStoreSettings {
            loads_per_s: f64::INFINITY,
            parallel_loads: 1,
            adapters: HashSet::new(),
        }
    }

    /// Sets how many loads per second the store completes under continuous load.
    #[must_use]
    pub fn loads_per_s(mut self, loads_per_s: f64) -> WeightStoreSettings {
        self.loads_per_s = loads_per_s;
        self
    }

    /// Sets how many concurrent loads run at full speed; more loads slow all of them down.
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
    active_loads: usize,
    /// Total time for which a load active since the store's start would have been served, in
    /// milliseconds at full speed.
    served_ms: f64,
    updated_at: Instant,
    completed: Vec<(Box<str>, u32)>,
    fail_next: u32,
}

impl StoreState {
    /// Returns the speed of each active load as a fraction of full speed.
    fn load_speed(&self) -> f64 {
        (self.settings.parallel_loads as f64 / self.active_loads.max(1) as f64).min(1.0)
    }

    fn update(&mut self) {
        self.served_ms += self.updated_at.elapsed().as_secs_f64() * 1000.0 * self.load_speed();
        self.updated_at = Instant::now();
    }
}

struct StoreContext {
    state: Mutex<StoreState>,
    changed: Notify,
}

impl StoreContext {
    fn state(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("the store's mutex is not poisoned")
    }
}

/// A weight store that serves `GET /weights/{adapter}/{version}` at a limited rate.
pub struct FakeWeightStore {
    context: Arc<StoreContext>,
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
            active_loads: 0,
            served_ms: 0.0,
            updated_at: Instant::now(),
            completed: Vec::new(),
            fail_next: 0,
        };
        let context = Arc::new(StoreContext { state: Mutex::new(state), changed: Notify::new() });
        let handler_context = context.clone();
        let server =
            FakeServer::start(move |request, _| handle_request(handler_context.clone(), request))?;
        Ok(FakeWeightStore { context, server })
    }

    /// The store's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The completed loads, in order of completion.
    #[must_use]
    pub fn loads(&self) -> Vec<(Box<str>, u32)> {
        self.context.state().completed.clone()
    }

    /// The number of loads in progress.
    #[must_use]
    pub fn active_loads(&self) -> usize {
        self.context.state().active_loads
    }

    /// Adds one version of an adapter.
    pub fn add(&self, adapter: impl Into<Box<str>>, version: u32) {
        self.context.state().settings.adapters.insert((adapter.into(), version));
    }

    /// Removes one version of an adapter.
    pub fn remove(&self, adapter: &str, version: u32) {
        self.context.state().settings.adapters.remove(&(adapter.into(), version));
    }

    /// Responds to the next `count` loads with status 500.
    pub fn fail_next(&self, count: u32) {
        self.context.state().fail_next += count;
    }

    /// Stops reading and writing on all established connections without closing them; new
    /// connections work.
    pub fn stall_connections(&self) {
        self.server.stall_connections(false);
    }

    /// Stops the store and closes its connections.
    pub fn stop(&self) {
        self.server.stop();
    }
}

/// Counts a load as active until dropped, also when its connection is closed early.
struct ActiveLoad<'a>(&'a StoreContext);

impl<'a> ActiveLoad<'a> {
    fn begin(context: &'a StoreContext) -> ActiveLoad<'a> {
        let mut state = context.state();
        state.update();
        state.active_loads += 1;
        drop(state);
        context.changed.notify_waiters();
        ActiveLoad(context)
    }
}

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.update();
        state.active_loads -= 1;
        drop(state);
        self.0.changed.notify_waiters();
    }
}

async fn handle_request(
    context: Arc<StoreContext>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path == "/health" {
        return json(StatusCode::OK, &json_value!({}));
    }
    let requested = path
        .strip_prefix("/weights/")
        .and_then(|rest| rest.rsplit_once('/'))
        .and_then(|(adapter, version)| Some((Box::from(adapter), version.parse().ok()?)));
    let (Some(requested), &Method::GET) = (requested, request.method()) else {
        return refusal(404, "not_found", path);
    };
    {
        let mut state = context.state();
        if state.fail_next > 0 {
            state.fail_next -= 1;
            return refusal(500, "internal", "failure injected by the test");
        }
        if !state.settings.adapters.contains(&requested) {
            return refusal(404, "unknown_adapter", path);
        }
    }
    serve_load(&context).await;
    context.state().completed.push(requested);
    json(StatusCode::OK, &json_value!({ "weights": true }))
}

/// Waits until a load that starts now has been served for as long as it takes at full speed.
async fn serve_load(context: &StoreContext) {
    let _active = ActiveLoad::begin(context);
    let target_ms = {
        let state = context.state();
        let full_speed_ms =
            state.settings.parallel_loads as f64 * 1000.0 / state.settings.loads_per_s;
        state.served_ms + full_speed_ms
    };
    loop {
        let changed = context.changed.notified();
        let remaining = {
            let mut state = context.state();
            state.update();
            Duration::from_secs_f64(
                ((target_ms - state.served_ms) / state.load_speed()).max(0.0) / 1e3,
            )
        };
        if remaining < Duration::from_micros(100) {
            return;
        }
        let _ = timeout(remaining, changed).await;
    }
}

//! The fake engine and its controls.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
};

use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Duration, sleep},
};

use crate::{
    EngineSettings, Eviction, OrderRecord, RunRecord, StreamFault, engine_routes,
    engine_state::EngineState, server::FakeServer, wait::within_limit,
};

/// The engine's state with a signal for each change.
pub(crate) struct Shared {
    state: Mutex<EngineState>,
    changes: watch::Sender<u64>,
    this: Weak<Shared>,
}

impl Shared {
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("the engine's lock is sound")
    }

    pub(crate) fn notify(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }

    pub(crate) fn handle(&self) -> Arc<Shared> {
        self.this.upgrade().expect("the engine is alive while it is borrowed")
    }

    pub(crate) fn note_delivered(&self, record: usize, tokens: u32) {
        let mut state = self.state();
        let delivered = &mut state.records[record].tokens_delivered;
        *delivered = tokens.max(*delivered);
        drop(state);
        self.notify();
    }

    pub(crate) async fn wait_until(&self, condition: impl Fn(&EngineState) -> bool) {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if condition(&self.state()) {
                return;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}

/// A model engine with adapter slots, batches and streams, over HTTP on loopback.
pub struct FakeEngine {
    shared: Arc<Shared>,
    server: FakeServer,
    steps: JoinHandle<()>,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(settings: EngineSettings) -> io::Result<FakeEngine> {
        let shared = Arc::new_cyclic(|this| Shared {
            state: Mutex::new(EngineState::new(settings, 0)),
            changes: watch::Sender::new(0),
            this: this.clone(),
        });
        let handler_shared = shared.clone();
        let server = FakeServer::start(move |request, link| {
            engine_routes::answer(handler_shared.clone(), link, request)
        })?;
        shared.state().set_port(server.address().port());
        let steps = tokio::spawn(run_steps(shared.clone()));
        Ok(FakeEngine { shared, server, steps })
    }

    /// The engine's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The engine's data centre.
    #[must_use]
    pub fn data_centre(&self) -> Box<str> {
        self.shared.state().settings.data_centre.clone()
    }

    /// The engine's boot id, which changes with each cold restart.
    #[must_use]
    pub fn boot_id(&self) -> Box<str> {
        self.shared.state().boot_id.clone()
    }

    /// Every run so far, in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.shared.state().records.clone()
    }

    /// Every unload so far, carried out or refused because the adapter was in use.
    #[must_use]
    pub fn evictions(&self) -> Vec<Eviction> {
        self.shared.state().evictions.clone()
    }

    /// Every order so far.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.shared.state().orders.clone()
    }

    /// Whether an adapter is loaded and ready.
    #[must_use]
    pub fn is_loaded(&self, adapter: &str, version: u32) -> bool {
        self.shared.state().is_ready(adapter, version)
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

    /// Waits until a condition over the records holds; checked after each change.
    ///
    /// # Panics
    ///
    /// Panics when that takes more than 60 s.
    pub async fn wait_until(&self, condition: impl Fn(&[RunRecord]) -> bool) {
        let wait = self.shared.wait_until(|state| condition(&state.records));
        within_limit("the condition over the runs", wait).await;
    }

    /// Waits until `count` requests are in the batch.
    ///
    /// # Panics
    ///
    /// Panics when that takes more than 60 s.
    pub async fn wait_for_batch(&self, count: usize) {
        let wait = self.shared.wait_until(|state| state.running_count() == count);
        within_limit("the batch", wait).await;
    }

    /// Places an adapter in a free slot without an order; returns whether a slot was free.
    pub fn preload(&self, adapter: &str, version: u32) -> bool {
        let mut state = self.shared.state();
        let reserved = state.reserve_slot(adapter, version).is_ok();
        if reserved {
            state.finish_load(adapter, version, true);
        }
        drop(state);
        self.shared.notify();
        reserved
    }

    /// Keeps each run from generating more than `tokens` tokens, until called with `None`.
    pub fn hold_at(&self, tokens: Option<u32>) {
        self.shared.state().hold_at = tokens;
        self.shared.notify();
    }

    /// Lets the next `count` loads fail with `load_failed`.
    pub fn fail_next_loads(&self, count: u32) {
        self.shared.state().fail_loads += count;
    }

    /// Refuses the next `count` completions with `status` and `code`.
    ///
    /// `not_run` decides whether the refusal carries `x-not-run: true`.
    pub fn refuse_next(&self, count: u32, status: u16, code: &str, not_run: bool) {
        let mut state = self.shared.state();
        (0..count).for_each(|_| state.refusals.push_back((status, code.into(), not_run)));
    }

    /// Shows `fault` on the next stream, opened or resumed, when it reaches token `index`.
    ///
    /// Each call adds a fault for one more stream.
    pub fn fault_next_stream(&self, index: u32, fault: StreamFault) {
        self.shared.state().faults.push_back((index, fault));
    }

    /// Says in reports and refusals that the engine is leaving; running streams continue.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
        self.shared.notify();
    }

    /// Sets the age of reports.
    pub fn set_report_lag_ms(&self, report_lag_ms: u64) {
        self.shared.state().settings.report_lag_ms = report_lag_ms;
    }

    /// Never answers the next `count` report requests.
    pub fn lose_next_reports(&self, count: u32) {
        self.shared.state().lost_reports += count;
    }

    /// Sets the time after which an event becomes visible.
    pub fn set_event_lag_ms(&self, event_lag_ms: u64) {
        self.shared.state().settings.event_lag_ms = event_lag_ms;
    }

    /// Loses the next `count` cache events, which leaves a gap in their sequence.
    pub fn lose_next_events(&self, count: u32) {
        self.shared.state().prefixes.drop_next(count);
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

    /// Restarts cold: connections are reset, and slots, runs and finished streams are lost.
    ///
    /// The records of runs, orders and evictions are kept.
    pub fn restart_cold(&self) {
        self.shared.state().restart_cold();
        self.server.reset_connections();
        self.shared.notify();
    }

    /// Stops the engine and closes its connections.
    pub fn stop(&self) {
        self.steps.abort();
        self.server.stop();
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn run_steps(shared: Arc<Shared>) {
    let step = Duration::from_millis(shared.state().settings.step_ms);
    loop {
        shared.wait_until(EngineState::has_work).await;
        if step.is_zero() {
            tokio::task::yield_now().await;
        } else {
            sleep(step).await;
        }
        shared.state().step();
        shared.notify();
    }
}

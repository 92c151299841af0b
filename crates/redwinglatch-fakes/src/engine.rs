//! The fake engine and the methods by which tests control it.

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
    engine_state::EngineState, server::FakeServer, time_limit::expect_within_limit,
};

/// The engine's state and the counter that notifies waiters of its changes.
pub(crate) struct EngineContext {
    state: Mutex<EngineState>,
    changes: watch::Sender<u64>,
    weak_self: Weak<EngineContext>,
}

impl EngineContext {
    pub(crate) fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("the engine's mutex is not poisoned")
    }

    pub(crate) fn notify(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }

    pub(crate) fn to_arc(&self) -> Arc<EngineContext> {
        self.weak_self.upgrade().expect("the context is borrowed, so a strong reference exists")
    }

    pub(crate) fn record_delivered(&self, record_index: usize, tokens: u32) {
        let mut state = self.state();
        let delivered = &mut state.records[record_index].tokens_delivered;
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
    context: Arc<EngineContext>,
    server: FakeServer,
    step_task: JoinHandle<()>,
}

impl FakeEngine {
    /// Starts an engine on a free loopback port; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when no loopback port can be bound.
    pub fn start(settings: EngineSettings) -> io::Result<FakeEngine> {
        let context = Arc::new_cyclic(|weak_self| EngineContext {
            state: Mutex::new(EngineState::new(settings, 0)),
            changes: watch::Sender::new(0),
            weak_self: weak_self.clone(),
        });
        let handler_context = context.clone();
        let server = FakeServer::start(move |request, connection| {
            engine_routes::handle_request(handler_context.clone(), connection, request)
        })?;
        context.state().set_port(server.address().port());
        let step_task = tokio::spawn(run_steps(context.clone()));
        Ok(FakeEngine { context, server, step_task })
    }

    /// The engine's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The engine's data centre.
    #[must_use]
    pub fn data_centre(&self) -> Box<str> {
        self.context.state().settings.data_centre.clone()
    }

    /// The engine's boot id, which changes with each cold restart.
    #[must_use]
    pub fn boot_id(&self) -> Box<str> {
        self.context.state().boot_id.clone()
    }

    /// Every run so far, in order of arrival.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        self.context.state().records.clone()
    }

    /// Every unload so far, whether executed or rejected because the adapter was in use.
    #[must_use]
    pub fn evictions(&self) -> Vec<Eviction> {
        self.context.state().evictions.clone()
    }

    /// Every order so far, including rejected ones.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderRecord> {
        self.context.state().orders.clone()
    }

    /// Whether an adapter is loaded and ready.
    #[must_use]
    pub fn is_loaded(&self, adapter: &str, version: u32) -> bool {
        self.context.state().is_ready(adapter, version)
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

    /// Waits until `condition` is true of the run records; checked after each change.
    ///
    /// # Panics
    ///
    /// Panics after 60 s.
    pub async fn wait_until(&self, condition: impl Fn(&[RunRecord]) -> bool) {
        let wait = self.context.wait_until(|state| condition(&state.records));
        expect_within_limit("the condition on the run records", wait).await;
    }

    /// Waits until `count` requests are in the batch.
    ///
    /// # Panics
    ///
    /// Panics after 60 s.
    pub async fn wait_for_batch(&self, count: usize) {
        let wait = self.context.wait_until(|state| state.running_count() == count);
        expect_within_limit("the expected batch size", wait).await;
    }

    /// Loads an adapter into a free slot without an order; returns whether a slot was free.
    pub fn preload(&self, adapter: &str, version: u32) -> bool {
        let mut state = self.context.state();
        let is_reserved = state.reserve_slot(adapter, version).is_ok();
        if is_reserved {
            state.finish_load(adapter, version, true);
        }
        drop(state);
        self.context.notify();
        is_reserved
    }

    /// Pauses each run after `tokens` tokens; `None` resumes the paused runs.
    pub fn hold_at(&self, tokens: Option<u32>) {
        self.context.state().hold_at = tokens;
        self.context.notify();
    }

    /// Fails the next `count` loads with `load_failed`.
    pub fn fail_next_loads(&self, count: u32) {
        self.context.state().loads_to_fail += count;
    }

    /// Rejects the next `count` completions with `status` and `code`.
    ///
    /// If `not_run` is set, the response carries `x-not-run: true`.
    pub fn refuse_next(&self, count: u32, status: u16, code: &str, not_run: bool) {
        let mut state = self.context.state();
        (0..count).for_each(|_| state.injected_refusals.push_back((status, code.into(), not_run)));
    }

    /// Injects `fault` into the next stream, opened or resumed, when it reaches token `index`.
    ///
    /// Each call queues a fault for one further stream.
    pub fn inject_stream_fault(&self, index: u32, fault: StreamFault) {
        self.context.state().stream_faults.push_back((index, fault));
    }

    /// Sets whether the engine is leaving: its reports say so and it rejects new completions;
    /// running streams continue.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.context.state().is_leaving = is_leaving;
        self.context.notify();
    }

    /// Sets by how much reports lag behind the engine's state.
    pub fn set_report_lag_ms(&self, report_lag_ms: u64) {
        self.context.state().settings.report_lag_ms = report_lag_ms;
    }

    /// Never responds to the next `count` report requests.
    pub fn lose_next_reports(&self, count: u32) {
        self.context.state().reports_to_lose += count;
    }

    /// Sets the time after which an event becomes visible.
    pub fn set_event_lag_ms(&self, event_lag_ms: u64) {
        self.context.state().settings.event_lag_ms = event_lag_ms;
    }

    /// Drops the next `count` cache events, which leaves a gap in their sequence numbers.
    pub fn lose_next_events(&self, count: u32) {
        self.context.state().prefixes.drop_next(count);
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

    /// Simulates a cold restart: resets the connections and discards slots, runs and finished
    /// streams.
    ///
    /// The records of runs, orders and evictions are kept.
    pub fn restart_cold(&self) {
        self.context.state().restart_cold();
        self.server.reset_connections();
        self.context.notify();
    }

    /// Stops the engine and closes its connections.
    pub fn stop(&self) {
        self.step_task.abort();
        self.server.stop();
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn run_steps(context: Arc<EngineContext>) {
    let step = Duration::from_millis(context.state().settings.step_ms);
    loop {
        context.wait_until(EngineState::has_work).await;
        if step.is_zero() {
            tokio::task::yield_now().await;
        } else {
            sleep(step).await;
        }
        context.state().step();
        context.notify();
    }
}

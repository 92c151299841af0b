//! Entry process, which serves callers and forwards their requests to backend servers.

mod answer_times;
mod backend_health;
mod brittle_rooms;
mod budget;
mod core_links;
mod customer_caps;
mod directory;
mod ended_servers;
mod event_buffer;
mod event_scanner;
mod fleet_view;
mod forward;
mod front;
mod grant;
mod hold;
mod in_flight;
mod path_checks;
mod peers;
mod placement;
mod ready_entries;
mod refusal;
mod relay;
mod request_limits;
mod request_outcomes;
mod state_sources;
mod stream;
mod stream_versions;
mod unstarted_streams;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::{
    Response,
    header::{CONNECTION, HeaderValue},
};
use redwinglatch_admission::CustomerCredits;
use redwinglatch_body::{BufferBudget, SharedMemory};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{Notify, watch},
    task::JoinHandle,
    time::timeout,
};

use crate::{
    Dialect, FleetError, ProcessSettings, SettingsError,
    clock::Clock,
    http::{self, HttpClient, ServerLimits, ServerMemory},
    memory::EntryMemory,
    metrics::{self, Metrics},
    tasks,
};

use self::{answer_times::AnswerTimes, budget::RetryBudget, state_sources::StateSources};
pub(crate) use self::{fleet_view::FleetView, stream_versions::stream_lifetime_ms};

/// Time before the end of the grace period at which the process stops accepting connections.
const STOP_ACCEPTING_MARGIN_MS: u64 = 1_600;
/// Time before the end of the grace period at which requests in flight are answered without their servers, and streams
/// are broken off.
const GIVE_UP_MARGIN_MS: u64 = 550;
/// Time before the end of the grace period at which the process ends even with requests in flight.
const EXIT_MARGIN_MS: u64 = 250;
/// Interval between checks for the end of the last request.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks for expired idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State that the tasks of an entry process share.
pub(crate) struct EntryContext {
    pub(crate) settings: ProcessSettings,
    pub(crate) dialect: &'static Dialect,
    pub(crate) clock: Clock,
    pub(crate) client: Arc<HttpClient>,
    pub(crate) metrics: Arc<Metrics>,
    /// The memory that clients may hold.
    pub(crate) memory: EntryMemory,
    /// The memory for responses that are buffered as a whole.
    pub(crate) buffer_budget: BufferBudget,
    fleet_view: Mutex<FleetView>,
    retry_budget: Mutex<RetryBudget>,
    state_sources: Mutex<StateSources>,
    customer_credits: Mutex<CustomerCredits>,
    answer_times: Mutex<AnswerTimes>,
    /// Notified when a process without core processes needs a new backend list.
    list_wanted: Notify,
    /// Whether the process gives up the requests in flight, because it is about to end.
    gives_up: watch::Sender<bool>,
}

impl EntryContext {
    pub(crate) fn fleet_view(&self) -> MutexGuard<'_, FleetView> {
        // The view is consistent after every statement that changes it, so a poisoned lock is usable.
        self.fleet_view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn state_sources(&self) -> MutexGuard<'_, StateSources> {
        self.state_sources.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn customer_credits(&self) -> MutexGuard<'_, CustomerCredits> {
        self.customer_credits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.answer_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what a server of this process needs to count the memory of its clients.
    pub(crate) fn server_memory(&self, name: &'static str, memory: SharedMemory) -> ServerMemory {
        ServerMemory { name, memory, metrics: Arc::clone(&self.metrics) }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Waits until the process gives up the requests in flight, because it is about to end.
    pub(crate) async fn until_given_up(&self) {
        // An error means that the sender is dropped, which this context keeps.
        let _ = self.gives_up.subscribe().wait_for(|gives_up| *gives_up).await;
    }

    /// Makes the connection of a response close after it while the process is draining, so that its peer sends the next
    /// request elsewhere.
    fn close_while_draining<Body>(&self, response: &mut Response<Body>) {
        if self.fleet_view().draining_since_ms().is_some() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Chooses another entry process for a request to a service, and returns its address for callers and that
    /// for requests from other processes.
    fn choose_peer(&self, service: &str, tried: &[SocketAddr]) -> Option<(SocketAddr, SocketAddr)> {
        let relay_port = self.settings.relay_port?;
        let (now_ms, data_centre) = (self.now_ms(), &self.settings.data_centre);
        let peer = self.fleet_view().choose_peer(now_ms, service, data_centre, tried)?;
        Some((peer, SocketAddr::new(peer.ip(), relay_port)))
    }
}

/// Runs an entry process.
pub(crate) async fn run(
    settings: ProcessSettings,
    dialect: &'static Dialect,
) -> Result<(), FleetError> {
    // Installed first, because a signal ends a process that has no handler for it.
    let mut terminate = signal(SignalKind::terminate())?;
    let hangup = signal(SignalKind::hangup())?;
    let missing = |key| SettingsError::Missing { section: "listen", key };
    let front = settings.front.ok_or(missing("front"))?;
    let ready = settings.ready.ok_or(missing("ready"))?;
    let directory = settings.directory.ok_or(missing("directory"))?;
    let front_listener = http::bind(front)?;
    let ready_listener = http::bind(ready)?;
    let directory_listener = http::bind(directory)?;
    log::info!("entry: {} starts at {front}", settings.name);
    let memory = EntryMemory::new(settings.limits);
    let context = Arc::new(EntryContext {
        dialect,
        clock: Clock::start(),
        client: HttpClient::new(dialect.headers.request_id.clone()),
        metrics: Arc::default(),
        buffer_budget: BufferBudget::of(&memory.front),
        memory,
        fleet_view: Mutex::new(FleetView::new(front)),
        state_sources: Mutex::new(StateSources::new(front, settings.data_centre.clone())),
        retry_budget: Mutex::new(RetryBudget::new(settings.retry_budget)),
        customer_credits: Mutex::default(),
        answer_times: Mutex::default(),
        list_wanted: Notify::new(),
        gives_up: watch::Sender::new(false),
        settings,
    });
    let (stop, stopped) = watch::channel(false);
    core_links::start(&context, hangup);
    tasks::spawn_essential("path checks", path_checks::run(Arc::clone(&context)));
    // The readiness check and the metrics are served until the process ends.
    let (_serve_ready, ready_stopped) = watch::channel(false);
    if let Some(address) = context.settings.metrics {
        let (listener, metrics) = (http::bind(address)?, Arc::clone(&context.metrics));
        tasks::spawn_essential(
            "metrics",
            http::serve(
                listener,
                ServerLimits::brief,
                context.server_memory("metrics", context.memory.metrics.clone()),
                ready_stopped.clone(),
                move |request| metrics::serve_page(Arc::clone(&metrics), request),
            ),
        );
    }
    let ready_context = Arc::clone(&context);
    tasks::spawn_essential(
        "readiness",
        http::serve(
            ready_listener,
            ServerLimits::brief,
            context.server_memory("ready", context.memory.ready.clone()),
            ready_stopped,
            move |request| directory::ready(Arc::clone(&ready_context), request),
        ),
    );
    let directory_context = Arc::clone(&context);
    let mut servers = vec![tasks::spawn_essential(
        "directory",
        http::serve(
            directory_listener,
            ServerLimits::brief,
            context.server_memory("directory", context.memory.directory.clone()),
            stopped.clone(),
            move |request| directory::resolve(Arc::clone(&directory_context), request),
        ),
    )];
    if let Some(relay_port) = context.settings.relay_port {
        let listener = http::bind(SocketAddr::new(front.ip(), relay_port))?;
        let relay = relay::run(listener, Arc::clone(&context), stopped.clone());
        servers.push(tasks::spawn_essential("relay", relay));
    }
    let front = front::run(front_listener, Arc::clone(&context), stopped);
    servers.push(tasks::spawn_essential("front", front));
    let idle_context = Arc::clone(&context);
    tasks::spawn_essential("idle connections", async move {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            idle_context.client.close_expired();
        }
    });
    terminate.recv().await;
    drain(&context, &stop, servers).await;
    Ok(())
}

/// Drains the process: callers move to other entry processes while the requests in flight finish.
async fn drain(context: &EntryContext, stop: &watch::Sender<bool>, servers: Vec<JoinHandle<()>>) {
    let grace_ms = context.settings.grace_ms;
    let started_ms = context.now_ms();
    log::info!("entry: SIGTERM; the process ends within {grace_ms} ms");
    context.fleet_view().start_draining(started_ms);
    core_links::send_status(context);
    tokio::time::sleep(Duration::from_millis(grace_ms.saturating_sub(STOP_ACCEPTING_MARGIN_MS)))
        .await;
    // An error means that no listener is running.
    let _ = stop.send(true);
    let ended = async {
        for server in servers {
            // A panic has ended the process.
            let _ = server.await;
        }
        while context.fleet_view().requests_in_flight() > 0 {
            tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
        }
    };
    tokio::pin!(ended);
    let remaining = |margin_ms| {
        let end_ms = started_ms.saturating_add(grace_ms).saturating_sub(margin_ms);
        Duration::from_millis(end_ms.saturating_sub(context.now_ms()))
    };
    if timeout(remaining(GIVE_UP_MARGIN_MS), &mut ended).await.is_err() {
        let in_flight = context.fleet_view().requests_in_flight();
        log::info!("entry: the grace period is over; {in_flight} requests in flight are given up");
        context.gives_up.send_replace(true);
        // Only connections whose peers stopped reading remain.
        let _ = timeout(remaining(EXIT_MARGIN_MS), &mut ended).await;
    }
    log::info!(
        "entry: the process ends with {} requests in flight",
        context.fleet_view().requests_in_flight()
    );
}

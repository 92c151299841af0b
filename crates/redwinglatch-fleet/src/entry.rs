//! An entry process: serves callers and forwards their requests.

mod budget;
mod core_links;
mod directory;
mod forward;
mod front;
mod in_flight;
mod placing;
mod refusal;
mod stream;
mod view;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::{
    Dialect, FleetError, ProcessSettings, SettingsError,
    clock::Clock,
    http::{self, HttpClient, ServerLimits},
    metrics::{self, Metrics},
};

use self::{budget::RetryBudgets, view::View};

/// How long before the end of the grace period the process stops taking connections.
const LAST_ANSWERS_MS: u64 = 1_600;
/// How long before the end of the grace period the process ends in any case.
const END_MARGIN_MS: u64 = 250;
/// How often the end of the last request is looked for.
const END_CHECK: Duration = Duration::from_millis(20);
/// How often idle connections are looked through.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// What the tasks of an entry process share.
pub(crate) struct App {
    pub(crate) settings: ProcessSettings,
    pub(crate) dialect: &'static Dialect,
    pub(crate) clock: Clock,
    pub(crate) client: Arc<HttpClient>,
    pub(crate) metrics: Arc<Metrics>,
    view: Mutex<View>,
    budgets: Mutex<RetryBudgets>,
}

impl App {
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        // The state is valid between any two statements that change it.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }
}

/// Runs an entry process.
pub(crate) async fn run(
    settings: ProcessSettings,
    dialect: &'static Dialect,
) -> Result<(), FleetError> {
    let missing = |key| SettingsError::Missing { section: "listen", key };
    let front = settings.front.ok_or(missing("front"))?;
    let ready = settings.ready.ok_or(missing("ready"))?;
    let directory = settings.directory.ok_or(missing("directory"))?;
    let front_listener = http::bind(front)?;
    let ready_listener = http::bind(ready)?;
    let directory_listener = http::bind(directory)?;
    log::info!("entry: {} starts at {front}", settings.name);
    let app = Arc::new(App {
        dialect,
        clock: Clock::start(),
        client: HttpClient::new(),
        metrics: Arc::default(),
        view: Mutex::new(View::new(front)),
        budgets: Mutex::new(RetryBudgets::new(settings.retry_budget)),
        settings,
    });
    let (stop, stopped) = watch::channel(false);
    core_links::start(&app);
    // The platform asks until the process ends.
    let (_serve_ready, ready_until) = watch::channel(false);
    if let Some(address) = app.settings.metrics {
        let (listener, counted) = (http::bind(address)?, Arc::clone(&app.metrics));
        tokio::spawn(http::serve(
            listener,
            ServerLimits::default,
            ready_until.clone(),
            move |request| metrics::serve_page(Arc::clone(&counted), request),
        ));
    }
    let ready_app = Arc::clone(&app);
    tokio::spawn(http::serve(ready_listener, ServerLimits::default, ready_until, move |request| {
        directory::ready(Arc::clone(&ready_app), request)
    }));
    let directory_app = Arc::clone(&app);
    tokio::spawn(http::serve(
        directory_listener,
        ServerLimits::default,
        stopped.clone(),
        move |request| directory::resolve(Arc::clone(&directory_app), request),
    ));
    tokio::spawn(front::run(front_listener, Arc::clone(&app), stopped));
    let idle_app = Arc::clone(&app);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(IDLE_CHECK).await;
            idle_app.client.close_expired();
        }
    });
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            log::info!("entry: SIGHUP; new seeds apply at the next start");
        }
    });
    let mut terminate = signal(SignalKind::terminate())?;
    terminate.recv().await;
    drain(&app, &stop).await;
    Ok(())
}

/// Lets callers move to other entry processes and ends after the last request.
async fn drain(app: &App, stop: &watch::Sender<bool>) {
    let grace_ms = app.settings.grace_ms;
    let started_ms = app.now_ms();
    log::info!("entry: SIGTERM; the process ends within {grace_ms} ms");
    app.view().start_draining(started_ms);
    core_links::report_now(app);
    tokio::time::sleep(Duration::from_millis(grace_ms.saturating_sub(LAST_ANSWERS_MS))).await;
    // An error means that no listener is left.
    let _ = stop.send(true);
    while app.view().requests() > 0 && app.now_ms() + END_MARGIN_MS < started_ms + grace_ms {
        tokio::time::sleep(END_CHECK).await;
    }
    log::info!("entry: the process ends with {} requests in flight", app.view().requests());
}

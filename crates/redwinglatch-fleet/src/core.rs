//! A core process: the replicated log, the operators' API and the coordinator of engines.

mod control_api;
mod driver;
mod links;
mod lister;
mod orders;
mod planner;
mod start;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::{mpsc, watch},
};

use crate::{
    Dialect, FleetError, ProcessSettings, SettingsError,
    clock::Clock,
    http::{self, ServerLimits},
    metrics::{self, Metrics},
};

pub(crate) use lister::fetch as fetch_list;

/// Inputs that wait for the driver before senders wait.
const INPUT_QUEUE: usize = 16_384;
/// How long operators' calls in flight may take after SIGTERM.
const STOP_PAUSE: Duration = Duration::from_millis(300);

/// Runs a core process.
///
/// Without a data folder it only waits for its end: a replica that forgets what it has acknowledged
/// must not vote, and a process that ended at once would be started again and again.
pub(crate) async fn run(
    settings: ProcessSettings,
    dialect: &'static Dialect,
) -> Result<(), FleetError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let Some(folder) = settings.data_dir.clone() else {
        log::warn!("core: {} has no data folder, so the process stays idle", settings.name);
        terminate.recv().await;
        return Ok(());
    };
    let clock = Clock::start();
    let control =
        settings.control.ok_or(SettingsError::Missing { section: "listen", key: "control" })?;
    let link = SocketAddr::new(control.ip(), settings.link_port);
    let control_listener = http::bind(control)?;
    let link_listener = http::bind(link)?;
    let (inputs, received) = mpsc::channel(INPUT_QUEUE);
    let (stop, stopped) = watch::channel(false);
    let started = start::open(&folder, &settings, link, clock)?;
    log::info!(
        "core: {} starts at {link} as replica {} of the log, joining={}",
        settings.name,
        started.replica.id(),
        started.joining,
    );
    tokio::spawn(links::accept(link_listener, inputs.clone()));
    tokio::spawn(control_api::run(control_listener, stopped, inputs.clone(), dialect));
    if let Some(address) = settings.list_address {
        tokio::spawn(lister::run(address, inputs.clone(), dialect));
    }
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            log::info!("core: SIGHUP; the settings of a core process apply at its next start");
        }
    });
    let counted = Arc::new(Metrics::default());
    if let Some(address) = settings.metrics {
        let (listener, counted) = (http::bind(address)?, Arc::clone(&counted));
        let handler = move |request| metrics::serve_page(Arc::clone(&counted), request);
        tokio::spawn(http::serve(listener, ServerLimits::default, stop.subscribe(), handler));
    }
    let driver =
        driver::Driver::new(settings, dialect, (clock, counted), link, started, inputs.clone());
    let driver = driver.run(received);
    tokio::pin!(driver);
    tokio::select! {
        result = &mut driver => return result,
        _ = terminate.recv() => log::info!("core: SIGTERM; the process stops"),
    }
    // The listener is closed, so that operators turn to another process, and another replica takes
    // the lead before this one is gone.
    let _ = stop.send(true);
    let _ = inputs.send(driver::Input::Stopping).await;
    tokio::select! {
        result = driver => result,
        () = tokio::time::sleep(STOP_PAUSE) => Ok(()),
    }
}

//! A core process: the replicated log, the operators' API and the coordinator of engines.

mod announced_backends;
mod announced_locations;
mod backend_list;
mod compressed_configuration;
mod control_api;
mod driver;
mod entry_links;
mod links;
mod member_choice;
mod orders;
mod placement_query;
mod planner;
mod start;
mod stream_records;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::{mpsc, watch},
};

use crate::{
    Dialect, FleetError, ProcessSettings, SettingsError,
    clock::Clock,
    http::{self, ServerLimits, ServerMemory},
    memory::CoreMemory,
    metrics::Metrics,
    seeds::SeedFile,
    tasks,
};

pub use self::placement_query::PlacementAnswer;
use self::{driver::DriverEvent, placement_query::PlacementQueries, stream_records::StreamRecords};
pub(crate) use backend_list::fetch as fetch_backend_list;
pub(crate) use compressed_configuration::decompress as decompress_configuration;

/// Capacity of the driver's event queue; senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 16_384;
/// Time for which the process goes on after SIGTERM, so that the leadership is transferred.
const STOP_PAUSE: Duration = Duration::from_millis(300);
/// Time that operators' requests in flight have to complete after SIGTERM; each is answered within 900 ms.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Runs a core process.
///
/// Without a data directory it stays idle until SIGTERM: a replica that forgets what it has
/// acknowledged must not vote, and a process that exited at once would be restarted again and
/// again.
pub(crate) async fn run(
    settings: ProcessSettings,
    dialect: &'static Dialect,
) -> Result<(), FleetError> {
    let mut terminate = signal(SignalKind::terminate())?;
    // Installed before anything that waits, because SIGHUP ends a process without a handler.
    let hangup = signal(SignalKind::hangup())?;
    let Some(data_dir) = settings.data_dir.clone() else {
        log::warn!("core: {} has no data directory, so the process stays idle", settings.name);
        terminate.recv().await;
        return Ok(());
    };
    let clock = Clock::start();
    let control =
        settings.control.ok_or(SettingsError::Missing { section: "listen", key: "control" })?;
    let link = SocketAddr::new(control.ip(), settings.link_port);
    let control_listener = http::bind(control)?;
    let link_listener = http::bind(link)?;
    let (events, received) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (stop, stopped) = watch::channel(false);
    let start_state = start::open(&data_dir, &settings, link, clock)?;
    log::info!(
        "core: {} starts at {link} as replica {} of the log, joining={}; on disk: configuration {}, log up to index {}, \
         term {}, known core processes {:?}",
        settings.name,
        start_state.replica.id(),
        start_state.is_joining,
        start_state.state.version,
        start_state.replica.last_index(),
        start_state.replica.term(),
        start_state.core_addresses,
    );
    let metrics = Arc::new(Metrics::default());
    tasks::spawn_essential(
        "links",
        links::accept(link_listener, events.clone(), Arc::clone(&metrics)),
    );
    let memory = CoreMemory::new(settings.limits);
    let server_memory = |name, memory| ServerMemory { name, memory, metrics: Arc::clone(&metrics) };
    let control_server = tasks::spawn_essential(
        "control",
        control_api::run(
            control_listener,
            server_memory("control", memory.control),
            stopped,
            events.clone(),
            dialect,
        ),
    );
    let (coordinator_state, is_coordinator) = watch::channel(false);
    if let Some(address) = settings.list_address {
        tasks::spawn_essential(
            "backend list",
            backend_list::run(address, events.clone(), dialect, is_coordinator),
        );
    }
    if let Some(address) = settings.metrics {
        let memory = server_memory("metrics", memory.metrics);
        let listener = http::bind(address)?;
        let queries = PlacementQueries::new(events.clone(), Arc::clone(&metrics), dialect);
        let handler = move |request| placement_query::serve(queries.clone(), request);
        let limits = ServerLimits::brief;
        tasks::spawn_essential(
            "metrics",
            http::serve(listener, limits, memory, stop.subscribe(), handler),
        );
    }
    let (stream_records, recorded_streams) = StreamRecords::open(&data_dir, clock);
    let (is_replaced, mut replaced) = watch::channel(false);
    let (lacks_leader, leader_lacking) = watch::channel(false);
    if let Some(file) = SeedFile::of(&settings) {
        tasks::spawn_essential("seeds", follow_seeds(file, hangup, leader_lacking, events.clone()));
    }
    let context = driver::DriverContext {
        dialect,
        clock,
        metrics,
        coordinator_state,
        stream_records,
        is_replaced,
        lacks_leader,
    };
    let events_of_driver = events.clone();
    let driver = driver::Driver::new(
        settings,
        context,
        link,
        start_state,
        &recorded_streams,
        events_of_driver,
    );
    let driver = driver.run(received);
    tokio::pin!(driver);
    tokio::select! {
        result = &mut driver => return result,
        _ = terminate.recv() => log::info!("core: SIGTERM received; stopping"),
    }
    // The listener is closed so that operators use another process, and leadership is transferred
    // before this process exits.
    let _ = stop.send(true);
    let _ = events.send(DriverEvent::Stopping).await;
    let all_answered = async {
        tokio::time::sleep(STOP_PAUSE).await;
        let remaining = STOP_TIMEOUT.saturating_sub(STOP_PAUSE);
        // The value is dropped at once: while it is borrowed, the driver can't set another one, and both run in this task.
        let replacement = async { replaced.wait_for(|replaced| *replaced).await.is_ok() };
        let replacement = tokio::time::timeout(remaining, replacement);
        let answers = tokio::time::timeout(remaining, control_server);
        let (replacement, answers) = tokio::join!(replacement, answers);
        if replacement.is_err() {
            log::warn!("core: the process ends as a voter of the log although there is a learner");
        }
        if answers.is_err() {
            log::warn!("core: the process ends with requests of operators in flight");
        }
    };
    tokio::select! {
        result = driver => result,
        () = all_answered => Ok(()),
    }
}

/// Passes the seeds that the settings file names later to the driver, also without a signal while the process hears no
/// leader.
async fn follow_seeds(
    file: SeedFile,
    hangup: Signal,
    lacks_leader: watch::Receiver<bool>,
    events: mpsc::Sender<DriverEvent>,
) {
    let add = async |links| {
        // The driver ends only with the process.
        let _ = events.send(DriverEvent::SeedsRead(links)).await;
    };
    file.follow(hangup, || *lacks_leader.borrow(), add).await;
}

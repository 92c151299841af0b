//! Links of an entry process to the core processes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use redwinglatch_routing::RouteTable;

use crate::{
    clock::Lag,
    core,
    ids::BackendKey,
    link,
    message::{Backend, EntryHello, FleetMessage},
};

use super::App;

/// How long to wait before another connection attempt.
const REDIAL_PAUSE: Duration = Duration::from_millis(250);
/// How often the lag of the process is measured.
const TICK: Duration = Duration::from_millis(50);
/// After how many ticks the core processes learn what this process does.
const TICKS_PER_REPORT: u32 = 5;
/// How long the whole configuration is awaited from the leader before another process is asked.
const NOTICE_PAUSE: Duration = Duration::from_millis(120);
/// How long without any core process before this process polls the list itself.
const ALONE_LIMIT_MS: u64 = 1_500;
/// How often it does so.
const ALONE_POLL: Duration = Duration::from_millis(1_000);

/// Keeps links to the core processes, and reports to them.
pub(crate) fn start(app: &Arc<App>) {
    for seed in app.settings.seeds.clone() {
        add_core(app, SocketAddr::new(seed.ip(), app.settings.link_port));
    }
    tokio::spawn(report(Arc::clone(app)));
    tokio::spawn(list_when_alone(Arc::clone(app)));
}

/// Tells the core processes at once what this process does.
pub(crate) fn report_now(app: &App) {
    let mut view = app.view();
    let report = view.take_report();
    view.send_cores(&FleetMessage::EntryStatus(report));
}

fn add_core(app: &Arc<App>, address: SocketAddr) {
    if app.view().add_core(address) {
        tokio::spawn(dial(Arc::clone(app), address));
    }
}

async fn report(app: Arc<App>) {
    let mut lag = Lag::default();
    let mut was_slow = false;
    loop {
        for _ in 0..TICKS_PER_REPORT {
            tokio::time::sleep(TICK).await;
            lag.tick(app.now_ms(), TICK);
        }
        if lag.is_slow() != was_slow {
            was_slow = lag.is_slow();
            log::warn!("entry: the process is slow: {was_slow}; callers are told accordingly");
            app.view().set_slow(was_slow);
        }
        report_now(&app);
    }
}

async fn dial(app: Arc<App>, address: SocketAddr) {
    let Some(front) = app.settings.front else { return };
    let hello = EntryHello {
        incarnation: fastrand::u64(..),
        front,
        data_centre: app.settings.data_centre.clone(),
    };
    loop {
        match link::connect(address).await {
            Ok(stream) => {
                let (sender, mut reader) = link::split(stream);
                sender.send(FleetMessage::EntryHello(hello.clone()));
                app.view().core_connected(address, sender.clone());
                log::info!("entry: connected to the core process at {address}");
                report_now(&app);
                let ended = loop {
                    match reader.next().await {
                        Ok(message) => received(&app, address, &sender, message),
                        Err(error) => break error,
                    }
                };
                app.view().core_lost(address);
                log::warn!("entry: lost the core process at {address}: {ended}");
            }
            Err(error) => log::debug!("entry: cannot connect to {address}: {error}"),
        }
        tokio::time::sleep(REDIAL_PAUSE).await;
    }
}

fn received(app: &Arc<App>, core: SocketAddr, sender: &link::LinkSender, message: FleetMessage) {
    match message {
        FleetMessage::Ping => {}
        FleetMessage::ConfigurationNotice { version } => {
            if version > app.view().version() {
                let (app, sender) = (Arc::clone(app), sender.clone());
                tokio::spawn(async move {
                    tokio::time::sleep(NOTICE_PAUSE).await;
                    if version > app.view().version() {
                        sender.send(FleetMessage::ConfigurationRequest);
                    }
                });
            }
        }
        FleetMessage::Configuration { version, document } => {
            take_configuration(app, version, &document);
        }
        FleetMessage::Versions(versions) => app.view().set_versions(versions),
        FleetMessage::BackendsNotice { digest } => {
            if digest != app.view().backends_digest() {
                sender.send(FleetMessage::BackendsRequest);
            }
        }
        FleetMessage::Backends { digest, entries } => app.view().set_backends(digest, entries),
        FleetMessage::EntryEndpoints(members) => {
            let count = {
                let mut view = app.view();
                view.set_members(core, members);
                view.usable_entries().len()
            };
            app.budgets().set_instances(count);
        }
        FleetMessage::CoreAddresses(addresses) => {
            for address in addresses {
                add_core(app, address);
            }
        }
        FleetMessage::ModelLocations { epoch, locations } => {
            let mut view = app.view();
            if view.follow_coordinator(core, epoch) {
                view.set_holdings(locations);
            }
        }
        FleetMessage::ModelLocationChanges { epoch, changes } => {
            let mut view = app.view();
            if view.follow_coordinator(core, epoch) {
                view.change_holdings(changes);
            }
        }
        FleetMessage::PlaceReply { id, reply } => app.view().place_replied(id, reply),
        FleetMessage::BackendLoads { in_flight, unresponsive, store_limit } => {
            app.view().set_loads(&in_flight, &unresponsive, store_limit);
        }
        other => log::debug!("entry: an unexpected message is ignored: {other:?}"),
    }
}

fn take_configuration(app: &App, version: u64, document: &[u8]) {
    if version <= app.view().version() {
        return;
    }
    let table = (app.dialect.decode_configuration)(document).and_then(|configuration| {
        RouteTable::new(configuration).map_err(|fault| fault.to_string().into())
    });
    match table {
        Ok(table) => {
            log::info!("entry: configuration {version} is in force");
            app.view().set_table(table);
        }
        Err(error) => log::error!("entry: configuration {version} can't be read: {error}"),
    }
}

/// Polls the platform's list while no core process can be reached, so that leaving servers are
/// still noticed.
async fn list_when_alone(app: Arc<App>) {
    let Some(address) = app.settings.list_address else { return };
    let mut connected_ms = 0;
    loop {
        tokio::time::sleep(ALONE_POLL).await;
        if app.view().connected_cores() > 0 {
            connected_ms = app.now_ms();
            continue;
        }
        if app.now_ms() < connected_ms + ALONE_LIMIT_MS {
            continue;
        }
        match core::fetch_backend_list(&app.client, address, app.dialect).await {
            Ok((entries, _)) => {
                let backends = entries.into_iter().map(|entry| Backend {
                    key: BackendKey::new(&entry.id, entry.address, entry.started_unix_ms),
                    id: entry.id,
                    service: entry.service,
                    address: entry.address,
                    data_centre: entry.data_centre,
                    slots: entry.slots,
                    leaving: entry.leaving,
                });
                // No digest of a core process equals this one, so its next list is taken.
                app.view().set_backends(0, backends.collect());
            }
            Err(error) => log::warn!("entry: the list can't be fetched: {error}"),
        }
    }
}
